"""Runs many instances of the decision module for the simulator.

It reads the simulator's text protocol from standard input and writes replies to standard output.
"""

import gc
import sys

from molehill import config, interface
from molehill.benchlink import codec
from molehill.decisions.dispatcher import Dispatcher


class InstanceServer:
    """Holds the instances of one process; they share nothing but this object."""

    def __init__(self, input_lines):
        self.input_lines = input_lines
        self.line_number = 0  # of the last line read
        self.instances: dict[int, Dispatcher] = {}
        # where an instance's telemetry fields hold the advertised limit
        self.limit_positions: dict[int, tuple | None] = {}
        self.host_tables: dict[int, list[interface.HostEntry]] = {}

    def read_line(self) -> str:
        """Returns the next line with its line end; an empty text at the end of input."""
        line = self.input_lines.readline()
        self.line_number += 1
        return line

    def read_host_table(self, table: str, count: str) -> None:
        """Reads the `count` lines of a host table, and keeps it under its number.

        Raises ConfigError if a line is not a valid 'host' line.
        """
        rows = []
        for _ in range(codec.parse_integer(count)):
            fields = self.read_line().split()
            if len(fields) < 7 or fields[0] != "host":
                raise codec.WireError("expected a 'host' line with its values")
            rows.append(codec.parse_host_entry(fields[1:]))
        self.host_tables[codec.parse_integer(table)] = rows

    def run_batch(self, now: int) -> str:
        """Reads events up to 'commit', runs a step of each instance concerned, returns the reply.

        Each instance gets its own events in order of arrival. Raises ConfigError if a line is
        invalid; an exception in an instance becomes a 'crash' line in the reply.
        """
        batches: dict[int, list] = {}
        replies: list[str] = []

        while True:
            line = self.read_line()
            if not line:
                raise codec.WireError("input ended inside a batch")
            fields = line.split()
            event_name = fields[0] if fields else ""
            if event_name == "commit":
                break
            if event_name == "table" and len(fields) > 2:
                self.read_host_table(fields[1], fields[2])
                continue
            if len(fields) < 2:
                raise codec.WireError("an event lacks its values")
            instance = codec.parse_integer(fields[1])
            if event_name == "launch":
                if len(fields) < 3:
                    raise codec.WireError("'launch' lacks values")
                settings_by_path = codec.parse_pairs(fields[3:])
                self.instances[instance] = Dispatcher(
                    config.parse_settings(settings_by_path), codec.parse_integer(fields[2])
                )
                self.limit_positions[instance] = config.limit_field_indexes(settings_by_path)
                batches[instance] = []
                continue
            if event_name not in codec.EVENT_PARSERS and event_name not in codec.IGNORED_EVENTS | {
                "power_off",
                "sync",
                "reply",
            }:
                raise codec.WireError(f"unknown event '{event_name}'")
            if instance not in self.instances:
                if event_name == "power_off":
                    continue
                raise codec.WireError(f"instance {instance} has not been launched")
            events = batches.setdefault(instance, [])
            if event_name == "power_off":
                del self.instances[instance], batches[instance], self.limit_positions[instance]
            elif event_name == "sync":
                if len(fields) < 3:
                    raise codec.WireError("'sync' lacks values")
                scope = codec.parse_choice(fields[2], codec.SCOPES)
                rows = []
                if scope is not interface.ListScope.FAILED:
                    if len(fields) < 4 or codec.parse_integer(fields[3]) not in self.host_tables:
                        raise codec.WireError("'sync' names a table that was not declared")
                    rows = self.host_tables[codec.parse_integer(fields[3])]
                events.append(interface.HostListUpdate(scope, rows))
            elif event_name == "reply":
                if len(fields) < 9:
                    raise codec.WireError("'reply' lacks values")
                events.append(codec.parse_outcome(fields[2:], self.limit_positions[instance]))
            elif event_name not in codec.IGNORED_EVENTS:
                minimum, parse = codec.EVENT_PARSERS[event_name]
                values = fields[2:]
                if len(values) < minimum:
                    raise codec.WireError(f"'{event_name}' lacks values")
                events.append(parse(values))
        for instance, events in batches.items():
            try:
                actions = self.instances[instance].step(now, events)
                replies.extend(codec.format_action(instance, action) for action in actions)
            except Exception as error:  # the protocol reports it as a crash
                replies.append(
                    f"crash {instance} {type(error).__name__}: {' '.join(str(error).split())}\n"
                )
        return "".join(replies)

    def run(self, write, flush) -> None:
        """Answers batches until the input ends; WireError if one does not begin with 'round'."""
        while True:
            line = self.read_line()
            if not line:
                return
            fields = line.split()
            if not fields:
                continue
            if fields[0] != "round" or len(fields) < 2:
                raise codec.WireError("expected a 'round' line")
            write(self.run_batch(codec.parse_nanoseconds(fields[1])) + "ready\n")
            flush()


def main() -> int:
    """Serves the simulator; returns the exit code, 2 after invalid input or a closed pipe."""
    gc.freeze()
    server = InstanceServer(sys.stdin)
    try:
        server.run(sys.stdout.write, sys.stdout.flush)
    except (config.ConfigError, UnicodeDecodeError, BrokenPipeError) as error:
        print(f"benchlink: line {server.line_number}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
