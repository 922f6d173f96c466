"""The list of hosts as this relay was last told it, kept in the log so that it outlasts the process.

A host that was told to drain may get no call of the next process either, and the file's `known` may be older than what the process
before was told. Plain data, no input or output.
"""

from dataclasses import dataclass, field
from typing import Iterable, NamedTuple, Optional

from molehill import interface

STATUS = {
    interface.Condition.UP: "active",
    interface.Condition.DRAINING: "leaving",
    interface.Condition.GONE: "left",
}
ACTIVE, LEFT = STATUS[interface.Condition.UP], STATUS[interface.Condition.GONE]
# how far a status is from active: of two lists that may each be the newer one, the further counts
SEVERITY = {ACTIVE: 0, "leaving": 1, LEFT: 2}
ROW_ROOM = 60  # bytes of a row in the log beside its texts


class HostRow(NamedTuple):
    """A host in the log, in the order of these fields, with the words of discovery."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float

    def entry(self) -> dict:
        """The same in discovery's form."""
        return self._asdict()


def row_of(host) -> HostRow:
    """The row of a host of molehill/core/events.py."""
    return HostRow(
        host.id,
        "%s:%d" % host.address,
        host.zone_name,
        host.kind_name,
        host.destination,
        STATUS[host.condition],
        host.units,
    )


@dataclass
class ToldList:
    """`rows`: the hosts that are listed, by name; `version`: discovery's, None before anything was told; `source`: its address."""

    rows: dict[str, HostRow] = field(default_factory=dict)
    version: Optional[int] = None
    source: str = ""
    room: int = 0  # bytes that the rows take in the log

    def load(self, record: dict) -> None:
        """A record of the log. Raises KeyError, TypeError and ValueError for one of no use, and takes nothing of it."""
        rows = [HostRow(*row) for row in record["rows"]]
        version, source = int(record["version"]), str(record["source"])
        for row in rows:
            self._put(row)
        self.version, self.source = version, source

    def record(self, rows: Iterable[HostRow]) -> dict:
        """The fields of a record with these rows."""
        return {"version": self.version, "source": self.source, "rows": list(rows)}

    def take(self, hosts, whole: bool, version: Optional[int], source: str) -> list[HostRow]:
        """Takes what was told, and gives the rows that changed; `whole`: hosts that are not among `hosts` have left."""
        if version is None and self.version is None:
            return []
        told = [row_of(host) for host in hosts]
        if whole:
            named = {row.name for row in told}
            missing = [row for name, row in self.rows.items() if name not in named]
            told += [row._replace(status=LEFT) for row in missing]
        changed = [row for row in told if self._differs(row)]
        for row in changed:
            self._put(row)
        if version is not None:
            self.version, self.source = version, source
        return changed

    def _differs(self, row: HostRow) -> bool:
        before = self.rows.get(row.name)
        return before is not None if row.status == LEFT else before != row

    def _put(self, row: HostRow) -> None:
        before = self.rows.pop(row.name, None)
        if before is not None:
            self.room -= room_of(before)
        if row.status != LEFT:
            self.rows[row.name] = row
            self.room += room_of(row)


def room_of(row: HostRow) -> int:
    return ROW_ROOM + len(row.name) + len(row.address) + len(row.zone) + len(row.type)


class Restored(NamedTuple):
    """What a process begins with: entries in discovery's form; the version to watch from, None: the whole list is asked for."""

    entries: list
    version: Optional[int]


def restored(told: Optional[ToldList], known, source: str) -> Restored:
    """The list at a start, out of the log's and the file's `known`, which is in discovery's form. Raises ValueError for no list.

    The log's counts where its version is the same or higher and discovery has the same address. Else the file may be newer, or
    discovery moved or counts anew: no version tells, and a host counts by the word of the two lists that is further from active.
    """
    entries, version = entries_of(known)
    if told is None or told.version is None:
        if entries is None:
            raise ValueError("known: not a list of hosts")
        return Restored(entries, version)
    entries = entries or []
    if told.source == source and told.version >= version:
        return Restored([row.entry() for row in told.rows.values()], told.version)
    # names as text, as the reader of discovery's lists takes them
    by_name = {str(row["name"]): row for row in entries if isinstance(row, dict) and "name" in row}
    merged = [further(row, told.rows.get(name)) for name, row in by_name.items()]
    file_is_newer = told.source == source and bool(known.get("snapshot"))
    if not file_is_newer:
        merged += [row.entry() for name, row in told.rows.items() if name not in by_name]
    return Restored(merged, None)


def entries_of(known) -> tuple[Optional[list], int]:
    """The file's entries and version; None and 0 where it is no list of hosts."""
    try:
        entries, version = known.get("endpoints", []), int(known.get("index") or 0)
    except (AttributeError, TypeError, ValueError):
        return None, 0
    return (entries, version) if isinstance(entries, list) else (None, 0)


def further(entry: dict, row: Optional[HostRow]) -> dict:
    """The file's entry, with the log's status where that is further from active."""
    if row is None:
        return entry
    statuses = (str(entry.get("status")), row.status)
    return {**entry, "status": max(statuses, key=lambda status: SEVERITY.get(status, 1))}
