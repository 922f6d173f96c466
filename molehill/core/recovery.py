"""Recovery from the log: its records rebuild the core's state at a start, and a snapshot of that state replaces the log."""

import re
from typing import Iterator

from molehill import interface
from molehill.core import events as ev
from molehill.core.callback import ARRIVED, HELD, OVER, OWED, Callback
from molehill.interface import Result

RECORD_KIND = re.compile(rb'"k":"([a-z]+)"')
# kinds of record that are surely no launch
OTHER_KINDS = b"taken end owed over done class rest health list clock filler".split()
LONG_AGO = 0  # of a launch at an unknown time: before any window that is still open
# of the room for what is owed, in a snapshot for the latest ids over: seconds to minutes of traffic
DONE_PART = 8
DONE_ROOM = 48  # bytes of such an id beside its text: contents in hex, quotes and commas


class Recovery:
    """Puts records into `core`, of molehill/core/reducer.py, in the order in which they were written."""

    def __init__(self, core):
        self.core = core
        self.loaders = {
            "launch": self._load_launch,
            "end": self._load_end,
            "owed": self._load_owed,
            "over": self._load_over,
            "done": self._load_done,
            "class": core.classes.read,
            "rest": self._load_rest,
            "health": self._load_health,
            "list": core.told.load,
        }

    def load(self, record: dict, body: bytes) -> None:
        """One record; later ones override, kinds that are not known are passed over. Raises KeyError and the like for one of no
        use."""
        kind = record["k"]
        if kind == "taken":
            self._load_taken(record, body)
        elif kind in self.loaders:
            self.loaders[kind](record)

    def _load_taken(self, record, body):
        core = self.core
        if record["id"] in core.held:
            return
        fresh = ev.Fresh(
            record["id"],
            core.classes.read_number(record["category"]),
            record["tenant"],
            record["key"],
            record["destination"],
            record["due"],
            record["mark"],
            body,
        )
        told = record.get("contents")
        contents = bytes.fromhex(told) if told else fresh.contents() if body else None
        callback = core.held[fresh.id] = Callback(fresh, contents)
        callback.launches = record.get("launches", 0)
        callback.ran_at = record.get("ran_at")
        callback.ran_zone = record.get("ran_zone")
        core.figures.name([core.classes.names[callback.category]])
        core.move(callback, HELD)

    def _load_launch(self, record):
        for callback in self.core.known(record["ids"]):
            # Danger: a process ended under the launch before, and the next one only knew so in memory. Its window
            # and zone count from that first launch, not from this one.
            if callback.sent is not None:
                self.core.settle_launch(callback, Result.RESET, callback.sent[0])
            callback.launches += 1
            callback.sent = record["at"], record["zone"]

    def _load_end(self, record):
        for number, result, over, unsent in record["ends"]:
            for callback in self.core.known([number]):
                if Result(result).may_still_run and callback.sent is not None:
                    self.core.final_notices.recovered(callback, callback.sent[0])
                self.core.settle_launch(callback, Result(result), record["at"], unsent)
                if over:
                    self.core.move(callback, OVER)

    def _load_owed(self, record):
        for callback in self.core.known([record["id"]]):
            callback.denied, callback.wait = record["denied"], record["wait"]
            if callback.state is HELD:
                self.core.move(callback, OWED)

    def _load_over(self, record):
        for callback in self.core.known(record["ids"]):
            # over, while its call was out with others
            if callback.sent is not None and callback.key is not None:
                self.core.unsettled[callback.key] = True
            self.core.move(callback, OVER)

    def _load_done(self, record):
        for number, told in record["ids"]:
            self.core.done.add(number, bytes.fromhex(told) if told else None)

    def _load_rest(self, record):
        self.core.rests[record["key"]] = record["until"]

    def _load_health(self, record):
        self.core.set_health(record["host"], record["away"], record["at"])

    def load_spoilt(self, data: bytes) -> None:
        """Bytes of the log that can't be read.

        Danger: they may be a launch, whose callback would run twice. So those that it may have launched, all that look
        untried if it names none, count as launched, unless a repeat is harmless.
        """
        if not data.strip(b"\0"):  # a hole in the file
            return
        kind = RECORD_KIND.search(data)
        if kind is not None and kind[1] in OTHER_KINDS:
            return
        untried = [
            callback for callback in self.core.held.values() if self._looks_untried(callback)
        ]
        named = [callback for callback in untried if b'"%s"' % callback.id.encode() in data]
        for callback in named or untried:
            callback.launches += 1
            callback.sent = LONG_AGO, None

    def _looks_untried(self, callback) -> bool:
        effect = self.core.set.callback_classes[callback.category].semantics
        return (
            callback.sent is None
            and callback.ran_at is None
            and effect is not interface.DeliverySemantics.IDEMPOTENT
        )


def as_handed_in(callback) -> dict:
    """The fields of a `taken` record that never change."""
    row = {
        "id": callback.id,
        "category": callback.category,
        "tenant": callback.tenant,
        "key": callback.key,
        "destination": callback.destination,
        "due": callback.due,
        "mark": callback.mark,
    }
    if not callback.body and callback.contents:  # nothing to work them out from, or no longer
        row["contents"] = callback.contents.hex()
    return row


def snapshot(core) -> Iterator[tuple[dict, bytes]]:
    """The records, each with its body, that say all that is owed now."""
    for record in core.classes.records():
        yield record, b""
    for key, until in core.rests.items():
        yield {"k": "rest", "key": key, "until": until}, b""
    for host, until in core.hosts.away.items():
        if core.hosts.is_away(host, core.now):
            at = until and until - (core.set.slow_start_time or 0)
            yield {"k": "health", "host": host, "away": until is None, "at": at}, b""
    if core.told.version is not None:
        yield {"k": "list", **core.told.record(core.told.rows.values())}, b""
    lately = _lately_over(core)
    if lately:
        yield {"k": "done", "ids": lately}, b""
    for callback in core.held.values():
        if callback.state is not ARRIVED:
            yield from _records_of(core, callback)


def _lately_over(core) -> list:
    """Danger: forgotten with the log that told of them, a request that its client sends once more after a restart is taken
    on anew."""
    rows, room = [], core.log_room // DONE_PART
    for number, contents in core.done.newest_first():
        room -= len(number) + DONE_ROOM
        if room < 0:
            break
        rows.append([number, contents and contents.hex()])
    return rows[::-1]


def _records_of(core, callback) -> Iterator[tuple[dict, bytes]]:
    is_out = callback.sent is not None
    taken = {
        "k": "taken",
        **as_handed_in(callback),
        "launches": callback.launches - is_out,
        "ran_at": callback.ran_at,
        "ran_zone": callback.ran_zone,
    }
    yield taken, callback.body
    if is_out and (callback.call not in core.calls or core.calls[callback.call].begun):
        at, zone = callback.sent
        yield {"k": "launch", "ids": [callback.id], "at": at, "zone": zone}, b""
    if callback.state is OWED:
        yield (
            {"k": "owed", "id": callback.id, "denied": callback.denied, "wait": callback.wait},
            b"",
        )
