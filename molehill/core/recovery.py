"""Rebuilds the core's state from the log's records, and writes it as a snapshot.

The records are loaded at a start. A snapshot holds the records of everything pending, and a log of
just these replaces a longer one.
"""

import re
from typing import Iterable, Iterator, Optional

from molehill import interface
from molehill.config import parse_address
from molehill.core import events as ev
from molehill.core.callback import ACKNOWLEDGED, COMPLETED, NOTICE_PENDING, RECEIVED, Callback
from molehill.interface import Result

RECORD_KIND_PATTERN = re.compile(rb'"k":"([a-z]+)"')
# kinds of record that certainly hold no attempt (kind `launch`)
NON_ATTEMPT_KINDS = (
    b"taken end owed over done class rest health list refused lease missed clock filler".split()
)
# time of an attempt at an unknown time: before any deduplication window that is still open
LONG_AGO = 0
# share of the log capacity (1/8) for the latest completed ids in a snapshot: seconds to minutes of
# traffic
COMPLETED_IDS_DIVISOR = 8
# bytes of such an id besides its text: digest in hex, quotes and commas
COMPLETED_ID_OVERHEAD = 48


class Recovery:
    """Loads records into a `Core` (molehill/core/reducer.py), in the order they were written."""

    def __init__(self, core):
        self.core = core
        self.loaders = {
            "launch": self._load_launch,
            "end": self._load_end,
            "owed": self._load_owed,
            "over": self._load_over,
            "done": self._load_done,
            "class": core.classes.load_record,
            "rest": self._load_rest,
            "health": self._load_health,
            "list": core.received_list.load,
            "refused": self._load_refused,
            "lease": self._load_lease,
            "missed": self._load_missed_news,  # of earlier releases
        }

    def load(self, record: dict, body: bytes) -> None:
        """Loads one record; later records override earlier ones, unknown kinds are ignored.

        Raises KeyError, TypeError, ValueError or the like for a record that can't be used.
        """
        kind = record["k"]
        if kind == "taken":
            self._load_taken(record, body)
        elif kind in self.loaders:
            self.loaders[kind](record)

    def _load_taken(self, record, body):
        core = self.core
        if record["id"] in core.callbacks:
            return
        submission = ev.Submission(
            record["id"],
            core.classes.resolve_number(record["category"]),
            record["tenant"],
            record["key"],
            record["destination"],
            record["due"],
            record["mark"],
            body,
        )
        digest_hex = record.get("contents")
        digest = bytes.fromhex(digest_hex) if digest_hex else submission.digest() if body else None
        callback = core.callbacks[submission.id] = Callback(submission, digest)
        callback.attempts = record.get("launches", 0)
        callback.ran_at = record.get("ran_at")
        callback.ran_zone = core.zones.resolve(record.get("ran_zone_name"), record.get("ran_zone"))
        core.metrics.add_classes([core.classes.names[callback.callback_class]])
        core.set_state(callback, ACKNOWLEDGED)

    def _load_launch(self, record):
        zone = self.core.zones.resolve(record.get("zone_name"), record["zone"])
        for callback in self.core.find_callbacks(record["ids"]):
            # An earlier process ended during the previous attempt, and the next one only knew this
            # in memory. Window and zone count from that first attempt, not from this one.
            if callback.current_attempt is not None:
                self.core.settle_attempt(callback, Result.RESET, callback.current_attempt[0])
            callback.attempts += 1
            callback.current_attempt = record["at"], zone

    def _load_end(self, record):
        for callback_id, result, completed, unsent in record["ends"]:
            for callback in self.core.find_callbacks([callback_id]):
                if Result(result).may_still_run and callback.current_attempt is not None:
                    self.core.final_notices.delay_after_recovery(
                        callback, callback.current_attempt[0]
                    )
                self.core.settle_attempt(callback, Result(result), record["at"], unsent)
                if completed:
                    self.core.set_state(callback, COMPLETED)

    def _load_owed(self, record):
        for callback in self.core.find_callbacks([record["id"]]):
            callback.rejected, callback.retry_after = record["denied"], record["wait"]
            if callback.state is ACKNOWLEDGED:
                self.core.set_state(callback, NOTICE_PENDING)

    def _load_over(self, record):
        for callback in self.core.find_callbacks(record["ids"]):
            # completed while its call was still in flight
            if callback.current_attempt is not None and callback.key is not None:
                self.core.unsettled_keys[callback.key] = True
            self.core.set_state(callback, COMPLETED)

    def _load_done(self, record):
        for callback_id, digest_hex in record["ids"]:
            self.core.recently_completed.add(
                callback_id, bytes.fromhex(digest_hex) if digest_hex else None
            )

    def _load_rest(self, record):
        self.core.cooldowns[record["key"]] = record["until"]

    def _load_health(self, record):
        self.core.set_health(record["host"], record["away"], record["at"])

    def _load_refused(self, record):
        addresses = {parse_address(text, "addresses") for text in record["addresses"]}
        self.core.hosts.refused_addresses = addresses

    def _load_lease(self, record):
        self.core.list_updates.restore_lease(record["current"], record["missed"])

    def _load_missed_news(self, record):
        self.core.list_updates.restore_lease(None, LONG_AGO if record["news"] else None)

    def load_corrupt(self, data: bytes) -> None:
        """Handles bytes of the log that can't be read.

        They may be the record of an attempt, and its callback would run twice. So the callbacks
        that the bytes name and that look untried, or all that look untried if they name none, count
        as attempted, unless a repeat is harmless.
        """
        if not data.strip(b"\0"):  # a hole in the file
            return
        kind = RECORD_KIND_PATTERN.search(data)
        if kind is not None and kind[1] in NON_ATTEMPT_KINDS:
            return
        untried = [
            callback for callback in self.core.callbacks.values() if self._looks_untried(callback)
        ]
        named_callbacks = [
            callback for callback in untried if b'"%s"' % callback.id.encode() in data
        ]
        for callback in named_callbacks or untried:
            callback.attempts += 1
            callback.current_attempt = LONG_AGO, None

    def _looks_untried(self, callback) -> bool:
        semantics = self.core.settings.callback_classes[callback.callback_class].semantics
        return (
            callback.current_attempt is None
            and callback.ran_at is None
            and semantics is not interface.DeliverySemantics.IDEMPOTENT
        )


def refused_record(addresses: Iterable[tuple[str, int]]) -> dict:
    """Returns the record of all addresses that refused a connection; it replaces earlier ones."""
    return {"k": "refused", "addresses": sorted("%s:%d" % address for address in addresses)}


def lease_record(current_at: Optional[int], missed_at: Optional[int]) -> dict:
    """Returns the record of the host list's lease (core/list_lease.py); it replaces earlier ones."""
    return {"k": "lease", "current": current_at, "missed": missed_at}


def submitted_fields(callback) -> dict:
    """Returns the fields of a `taken` record that never change."""
    fields = {
        "id": callback.id,
        "category": callback.callback_class,
        "tenant": callback.tenant,
        "key": callback.key,
        "destination": callback.destination,
        "due": callback.deadline,
        "mark": callback.idempotency_key,
    }
    if not callback.body and callback.digest:  # no body to compute the digest from, or no longer
        fields["contents"] = callback.digest.hex()
    return fields


def snapshot(core) -> Iterator[tuple[dict, bytes]]:
    """Yields the records, each with its body, of everything pending."""
    for record in core.classes.records():
        yield record, b""
    for key, until in core.cooldowns.items():
        yield {"k": "rest", "key": key, "until": until}, b""
    for host, until in core.hosts.ejected.items():
        if core.hosts.is_ejected(host, core.now):
            at = until and until - (core.settings.slow_start_time or 0)
            yield {"k": "health", "host": host, "away": until is None, "at": at}, b""
    if core.hosts.refused_addresses:
        yield refused_record(core.hosts.refused_addresses), b""
    yield lease_record(*core.list_updates.lease.as_restored()), b""
    if core.received_list.version is not None:
        yield {"k": "list", **core.received_list.as_record(core.received_list.all_rows())}, b""
    recent = _recently_completed(core)
    if recent:
        yield {"k": "done", "ids": recent}, b""
    for callback in core.callbacks.values():
        if callback.state is not RECEIVED:
            yield from _records_of(core, callback)


def _recently_completed(core) -> list:
    """Returns the latest completed ids, as [id, digest in hex or None], oldest first.

    If they were lost with the replaced log, a request that its client sends again after a restart
    would be accepted anew.
    """
    rows, space_left = [], core.log_capacity // COMPLETED_IDS_DIVISOR
    for callback_id, digest in core.recently_completed.newest_first():
        space_left -= len(callback_id) + COMPLETED_ID_OVERHEAD
        if space_left < 0:
            break
        rows.append([callback_id, digest and digest.hex()])
    return rows[::-1]


def _records_of(core, callback) -> Iterator[tuple[dict, bytes]]:
    is_in_flight = callback.current_attempt is not None
    taken = {
        "k": "taken",
        **submitted_fields(callback),
        "launches": callback.attempts - is_in_flight,
        "ran_at": callback.ran_at,
        "ran_zone": callback.ran_zone,
        "ran_zone_name": core.zones.name_of(callback.ran_zone),
    }
    yield taken, callback.body
    if is_in_flight and (callback.call not in core.calls or core.calls[callback.call].is_logged):
        at, zone = callback.current_attempt
        launch = {"k": "launch", "ids": [callback.id], "at": at, "zone": zone}
        yield {**launch, "zone_name": core.zones.name_of(zone)}, b""
    if callback.state is NOTICE_PENDING:
        yield (
            {
                "k": "owed",
                "id": callback.id,
                "denied": callback.rejected,
                "wait": callback.retry_after,
            },
            b"",
        )
