"""Keeps the last list of hosts that this relay received, in the log so that it survives a restart.

A host that was listed as draining may not get a call from the next process either, and `known` in
the configuration file may be older than what the earlier process received. Plain data, no input or
output.
"""

import json
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, Iterable, NamedTuple, Optional

from molehill import interface

STATUS_NAMES = {
    interface.Condition.UP: "active",
    interface.Condition.DRAINING: "leaving",
    interface.Condition.GONE: "left",
}
ACTIVE, LEFT = STATUS_NAMES[interface.Condition.UP], STATUS_NAMES[interface.Condition.GONE]
# How far a status is from active. If either of two lists may be the newer one, the status that is
# further from active counts.
SEVERITY = {ACTIVE: 0, "leaving": 1, LEFT: 2}
ROW_OVERHEAD = 60  # bytes of a row in the log besides its texts
LEFT_HOSTS_KEPT = 1024  # hosts that left, the latest ones


class HostRow(NamedTuple):
    """A host in the log: its fields in this order, with the status names of discovery."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float

    def as_entry(self) -> dict:
        """Returns the row in discovery's form."""
        return self._asdict()


def row_from_host(host) -> HostRow:
    """Returns the row of an `events.Host`."""
    return HostRow(
        host.id,
        "%s:%d" % host.address,
        host.zone_name,
        host.kind_name,
        host.destination,
        STATUS_NAMES[host.condition],
        host.weight,
    )


@dataclass
class ReceivedList:
    """The last list received from discovery.

    `rows`: the listed hosts, by name. `left`: hosts that were listed before, by name, the latest
    last. `version`: discovery's version of the list, None before one was received. `source`:
    discovery's address. `file_digest`: of the configuration file's list (see `digest_file_list`)
    that was read before this list was received; "" if that isn't known.
    """

    rows: dict[str, HostRow] = field(default_factory=dict)
    left: dict[str, HostRow] = field(default_factory=dict)
    version: Optional[int] = None
    source: str = ""
    file_digest: str = ""
    log_bytes: int = 0  # bytes that the rows take in the log

    def load(self, record: dict) -> None:
        """Loads a record of the log.

        Raises KeyError, TypeError or ValueError for a record that can't be used, and then changes
        nothing.
        """
        rows = [HostRow(*row) for row in record["rows"]]
        version, source = int(record["version"]), str(record["source"])
        file_digest = str(record.get("file", ""))  # absent in logs of earlier releases
        for row in rows:
            self._store_row(row)
        self.version, self.source, self.file_digest = version, source, file_digest

    def as_record(self, rows: Iterable[HostRow]) -> dict:
        """Returns the fields of a record with these rows."""
        return {
            "version": self.version,
            "source": self.source,
            "file": self.file_digest,
            "rows": list(rows),
        }

    def all_rows(self) -> list[HostRow]:
        """Returns the rows of hosts that left, then those of the listed hosts."""
        return [*self.left.values(), *self.rows.values()]

    def update(
        self,
        hosts,
        is_complete: bool,
        version: Optional[int],
        source: str,
        file_digest: Optional[str] = None,
    ) -> Optional[list[HostRow]]:
        """Applies a received list, and returns the rows that changed; None: nothing is to be logged.

        `is_complete`: hosts that are not among `hosts` have left. `version`: None for a list that
        is not from discovery or in discovery's form; such a list changes nothing before a version
        is known. `file_digest`: of the file's list that was read before; None: as before.
        """
        if version is None and self.version is None:
            return None
        received = [row_from_host(host) for host in hosts]
        if is_complete:
            received_names = {row.name for row in received}
            missing_rows = [row for name, row in self.rows.items() if name not in received_names]
            received += [row._replace(status=LEFT) for row in missing_rows]
        changed = [row for row in received if self._is_change(row)]
        for row in changed:
            self._store_row(row)
        origin = self.source, self.file_digest
        if version is not None:
            self.version, self.source = version, source
        if file_digest is not None:
            self.file_digest = file_digest
        # The next process weighs the log's list against the file's by its origin, too.
        has_new_origin = (self.source, self.file_digest) != origin
        return changed if changed or has_new_origin else None

    def _is_change(self, row: HostRow) -> bool:
        before = self.rows.get(row.name)
        return before is not None if row.status == LEFT else before != row

    def _store_row(self, row: HostRow) -> None:
        for table in (self.rows, self.left):
            before = table.pop(row.name, None)
            if before is not None:
                self.log_bytes -= row_bytes(before)
        (self.left if row.status == LEFT else self.rows)[row.name] = row
        self.log_bytes += row_bytes(row)
        if len(self.left) > LEFT_HOSTS_KEPT:
            oldest = self.left.pop(next(iter(self.left)))
            self.log_bytes -= row_bytes(oldest)


def row_bytes(row: HostRow) -> int:
    """Estimates the bytes that a row takes in the log."""
    return ROW_OVERHEAD + len(row.name) + len(row.address) + len(row.zone) + len(row.type)


class RestoredList(NamedTuple):
    """The list that a process starts with.

    `entries` are in discovery's form. `version`: the one to watch from; None: the whole list is
    requested.
    """

    entries: list
    version: Optional[int]


def digest_file_list(file_list: Any) -> str:
    """Returns a text that tells the file's list (`known`) apart from other ones."""
    text = json.dumps(file_list, sort_keys=True, default=str)
    return blake2b(text.encode(), digest_size=8).hexdigest()


def restore_host_list(
    received: Optional[ReceivedList], file_list, source: str, file_digest: str = ""
) -> RestoredList:
    """Returns the list to start with, from the log's and the file's (`known`, in discovery's form).

    The log's list is used if it was received after this list of the file was read, as
    `file_digest` tells, or if its version is the same or higher and discovery has the same address.
    Otherwise the file may be newer, or discovery may have moved or restarted its versions. Then the
    versions don't tell which list is newer, and each host gets the status of the two that is
    further from active. Raises ValueError if neither is a list of hosts.
    """
    entries, version = file_entries(file_list)
    if received is None or received.version is None:
        if entries is None:
            raise ValueError("known: not a list of hosts")
        return RestoredList(entries, version)
    entries = entries or []
    log_is_newer = bool(file_digest) and received.file_digest == file_digest
    if log_is_newer or (received.source == source and received.version >= version):
        watched_version = received.version if received.source == source else None
        return RestoredList([row.as_entry() for row in received.rows.values()], watched_version)
    # names as text, as the reader of discovery's lists converts them
    by_name = {str(row["name"]): row for row in entries if isinstance(row, dict) and "name" in row}
    logged = {**received.left, **received.rows}
    merged = [merge_status(row, logged.get(name)) for name, row in by_name.items()]
    file_is_newer = received.source == source and bool(file_list.get("snapshot"))
    if not file_is_newer:
        merged += [row.as_entry() for name, row in received.rows.items() if name not in by_name]
    return RestoredList(merged, None)


def file_entries(file_list) -> tuple[Optional[list], int]:
    """Returns the file's entries and version; None and 0 if it holds no list of hosts."""
    try:
        entries, version = file_list.get("endpoints", []), int(file_list.get("index") or 0)
    except (AttributeError, TypeError, ValueError):
        return None, 0
    return (entries, version) if isinstance(entries, list) else (None, 0)


def merge_status(entry: dict, row: Optional[HostRow]) -> dict:
    """Returns the file's entry, with the log's status if that is further from active."""
    if row is None:
        return entry
    statuses = (str(entry.get("status")), row.status)
    return {**entry, "status": max(statuses, key=lambda status: SEVERITY.get(status, 1))}
