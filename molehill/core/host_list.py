"""The list of hosts as this relay was last told it, kept in the log so that it outlasts the process.

A host that was told to drain may get no call of the next process either, and the file's `known` may be older than what the process
before was told. Plain data, no input or output.
"""

from dataclasses import dataclass, field
from typing import Iterable, NamedTuple, Optional

from molehill import interface

STATUS_NAMES = {
    interface.Condition.UP: "active",
    interface.Condition.DRAINING: "leaving",
    interface.Condition.GONE: "left",
}
ACTIVE, LEFT = STATUS_NAMES[interface.Condition.UP], STATUS_NAMES[interface.Condition.GONE]
# how far a status is from active: of two lists that may each be the newer one, the further counts
SEVERITY = {ACTIVE: 0, "leaving": 1, LEFT: 2}
ROW_OVERHEAD = 60  # bytes of a row in the log beside its texts


class HostRow(NamedTuple):
    """A host in the log, in the order of these fields, with the words of discovery."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float

    def as_entry(self) -> dict:
        """The same in discovery's form."""
        return self._asdict()


def row_from_host(host) -> HostRow:
    """The row of a host of molehill/core/events.py."""
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
    """`rows`: the hosts that are listed, by name; `version`: discovery's, None before anything was told; `source`: its address."""

    rows: dict[str, HostRow] = field(default_factory=dict)
    version: Optional[int] = None
    source: str = ""
    log_bytes: int = 0  # bytes that the rows take in the log

    def load(self, record: dict) -> None:
        """A record of the log. Raises KeyError, TypeError and ValueError for one of no use, and takes nothing of it."""
        rows = [HostRow(*row) for row in record["rows"]]
        version, source = int(record["version"]), str(record["source"])
        for row in rows:
            self._store_row(row)
        self.version, self.source = version, source

    def as_record(self, rows: Iterable[HostRow]) -> dict:
        """The fields of a record with these rows."""
        return {"version": self.version, "source": self.source, "rows": list(rows)}

    def update(
        self, hosts, is_complete: bool, version: Optional[int], source: str
    ) -> list[HostRow]:
        """Takes what was told, and gives the rows that changed; `is_complete`: hosts that are not among `hosts` have left."""
        if version is None and self.version is None:
            return []
        received = [row_from_host(host) for host in hosts]
        if is_complete:
            named = {row.name for row in received}
            missing = [row for name, row in self.rows.items() if name not in named]
            received += [row._replace(status=LEFT) for row in missing]
        changed = [row for row in received if self._is_change(row)]
        for row in changed:
            self._store_row(row)
        if version is not None:
            self.version, self.source = version, source
        return changed

    def _is_change(self, row: HostRow) -> bool:
        before = self.rows.get(row.name)
        return before is not None if row.status == LEFT else before != row

    def _store_row(self, row: HostRow) -> None:
        before = self.rows.pop(row.name, None)
        if before is not None:
            self.log_bytes -= row_bytes(before)
        if row.status != LEFT:
            self.rows[row.name] = row
            self.log_bytes += row_bytes(row)


def row_bytes(row: HostRow) -> int:
    return ROW_OVERHEAD + len(row.name) + len(row.address) + len(row.zone) + len(row.type)


class RestoredList(NamedTuple):
    """What a process begins with: entries in discovery's form; the version to watch from, None: the whole list is asked for."""

    entries: list
    version: Optional[int]


def restore_host_list(received: Optional[ReceivedList], file_list, source: str) -> RestoredList:
    """The list at a start, out of the log's and the file's `known`, which is in discovery's form. Raises ValueError for no list.

    The log's counts where its version is the same or higher and discovery has the same address. Else the file may be newer, or
    discovery moved or counts anew: no version tells, and a host counts by the word of the two lists that is further from active.
    """
    entries, version = file_entries(file_list)
    if received is None or received.version is None:
        if entries is None:
            raise ValueError("known: not a list of hosts")
        return RestoredList(entries, version)
    entries = entries or []
    if received.source == source and received.version >= version:
        return RestoredList([row.as_entry() for row in received.rows.values()], received.version)
    # names as text, as the reader of discovery's lists takes them
    by_name = {str(row["name"]): row for row in entries if isinstance(row, dict) and "name" in row}
    merged = [merge_status(row, received.rows.get(name)) for name, row in by_name.items()]
    file_is_newer = received.source == source and bool(file_list.get("snapshot"))
    if not file_is_newer:
        merged += [row.as_entry() for name, row in received.rows.items() if name not in by_name]
    return RestoredList(merged, None)


def file_entries(file_list) -> tuple[Optional[list], int]:
    """The file's entries and version; None and 0 where it is no list of hosts."""
    try:
        entries, version = file_list.get("endpoints", []), int(file_list.get("index") or 0)
    except (AttributeError, TypeError, ValueError):
        return None, 0
    return (entries, version) if isinstance(entries, list) else (None, 0)


def merge_status(entry: dict, row: Optional[HostRow]) -> dict:
    """The file's entry, with the log's status where that is further from active."""
    if row is None:
        return entry
    statuses = (str(entry.get("status")), row.status)
    return {**entry, "status": max(statuses, key=lambda status: SEVERITY.get(status, 1))}
