"""Hosts many instances of the decision module on the bench's wire: standard input in, standard output out."""

import gc
import sys

from molehill import config
from molehill import interface as it
from molehill.benchlink import codec
from molehill.decisions.dispatcher import Dispatcher


class Host:
    """The instances of one process. They share this table and nothing else."""

    def __init__(self, lines):
        self.lines = lines
        self.number = 0  # of the line read last
        self.instances: dict[int, Dispatcher] = {}
        # where an instance's reports hold the told limit
        self.places: dict[int, tuple | None] = {}
        self.tables: dict[int, list[it.HostEntry]] = {}

    def next_line(self) -> str:
        line = self.lines.readline()
        self.number += 1
        return line

    def entries(self, buffer: str, count: str) -> None:
        rows = []
        for _ in range(codec.whole(count)):
            parts = self.next_line().split()
            if len(parts) < 7 or parts[0] != "host":
                raise codec.WireError("a 'host' line with its values was due")
            rows.append(codec.entry(parts[1:]))
        self.tables[codec.whole(buffer)] = rows

    def batch(self, now: int) -> str:
        """Reads events up to 'commit' and gives the reply; each instance gets its own in order of arrival."""
        pending: dict[int, list] = {}
        out: list[str] = []

        while True:
            line = self.next_line()
            if not line:
                raise codec.WireError("input ended inside a batch")
            parts = line.split()
            name = parts[0] if parts else ""
            if name == "commit":
                break
            if name == "table" and len(parts) > 2:
                self.entries(parts[1], parts[2])
                continue
            if len(parts) < 2:
                raise codec.WireError("an event without its values")
            number = codec.whole(parts[1])
            if name == "launch":
                if len(parts) < 3:
                    raise codec.WireError("'launch' lacks values")
                given = codec.pairs(parts[3:])
                self.instances[number] = Dispatcher(config.settings(given), codec.whole(parts[2]))
                self.places[number] = config.limit_places(given)
                pending[number] = []
                continue
            if name not in codec.EVENTS and name not in codec.UNUSED | {
                "power_off",
                "sync",
                "reply",
            }:
                raise codec.WireError(f"unknown event '{name}'")
            if number not in self.instances:
                if name == "power_off":
                    continue
                raise codec.WireError(f"instance {number} has not been launched")
            events = pending.setdefault(number, [])
            if name == "power_off":
                del self.instances[number], pending[number], self.places[number]
            elif name == "sync":
                if len(parts) < 3:
                    raise codec.WireError("'sync' lacks values")
                scope = codec.named(parts[2], codec.SCOPES)
                rows = []
                if scope is not it.Scope.FAILED:
                    if len(parts) < 4 or codec.whole(parts[3]) not in self.tables:
                        raise codec.WireError("'sync' names a table that was not declared")
                    rows = self.tables[codec.whole(parts[3])]
                events.append(it.ListNews(scope, rows))
            elif name == "reply":
                if len(parts) < 9:
                    raise codec.WireError("'reply' lacks values")
                events.append(codec.outcome(parts[2:], self.places[number]))
            elif name not in codec.UNUSED:
                least, read = codec.EVENTS[name]
                values = parts[2:]
                if len(values) < least:
                    raise codec.WireError(f"'{name}' lacks values")
                events.append(read(values))
        for number, events in pending.items():
            try:
                actions = self.instances[number].step(now, events)
                out.extend(codec.action_line(number, action) for action in actions)
            except Exception as error:  # the module broke: the wire has a word for that
                out.append(
                    f"crash {number} {type(error).__name__}: {' '.join(str(error).split())}\n"
                )
        return "".join(out)

    def run(self, write, flush) -> None:
        while True:
            line = self.next_line()
            if not line:
                return
            parts = line.split()
            if not parts:
                continue
            if parts[0] != "round" or len(parts) < 2:
                raise codec.WireError("a 'round' line was due")
            write(self.batch(codec.nanos(parts[1])) + "ready\n")
            flush()


def main() -> int:
    gc.freeze()
    host = Host(sys.stdin)
    try:
        host.run(sys.stdout.write, sys.stdout.flush)
    except (config.ConfigError, UnicodeDecodeError, BrokenPipeError) as error:
        print(f"benchlink: line {host.number}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
