"""The copy of the host list and the learned state that the next process gets before a handover.

These grow with the number of hosts, and an upgrade must not stop the relay for as long as it takes
to send them. So they are sent while the old process still serves, and what changes meanwhile is
sent again. Only the last changes are left for the handover itself, however long the list is.
"""

from itertools import islice
from typing import Any, Iterator, Optional

from molehill.http.host_list_format import list_entry

ROWS_PER_MESSAGE = 32  # encoding a message stops the loop
# The passes end once so little has changed during one that it fits in the pause.
FEW_DESTINATIONS, FEW_HOSTS = 32, 32
MAX_PASSES = 8  # a relay that changes faster than it is copied hands over what is left

Message = dict[str, Any]


class CopySource:
    """The old process's side: what the next process has not been sent yet, or not since it changed.

    It outlives a handover that breaks off, and goes on from there with the same next process.
    """

    def __init__(self, process, number: int):
        """Begins a copy of everything that this process has; `number` tells it from others."""
        self.process, self.number = process, number
        self.module: Any = None  # whose changes are tracked
        self.last_part: tuple[list[str], list[int]] = [], []
        # ordered sets, as keys
        self.pending_hosts: dict[str, None] = {}
        self.pending_destinations: dict[int, None] = {}
        process.core.hosts.changed_entries.track()
        self.pending_hosts.update(dict.fromkeys(process.core.hosts))
        self.collect_changes()

    def collect_changes(self) -> None:
        """Adds what has changed since the last call to what is to be sent."""
        core = self.process.core
        self.pending_hosts.update(dict.fromkeys(core.hosts.changed_entries.take()))
        if core.module is not self.module:  # it was rebuilt after a fault
            self.module = core.module
            self.module.state.changed_destinations.track()
            self.pending_destinations.update(dict.fromkeys(self.module.state.destinations))
        changed = self.module.state.changed_destinations.take()
        self.pending_destinations.update(dict.fromkeys(changed))

    def is_nearly_complete(self) -> bool:
        """Whether what is left fits in the pause."""
        few_destinations = len(self.pending_destinations) <= FEW_DESTINATIONS
        return few_destinations and len(self.pending_hosts) <= FEW_HOSTS

    def take_messages(self) -> Iterator[Message]:
        """Yields messages with everything that is to be sent now; it then counts as sent."""
        while self.pending_hosts:
            yield {"k": "rows", "hosts": self._take_hosts(), "learned": []}
        hosts_by_destination = self.module.hosts_by_destination()
        while self.pending_destinations:
            numbers = _take(self.pending_destinations, ROWS_PER_MESSAGE)
            rows = self.module.learned_rows(numbers, hosts_by_destination)
            for start in range(0, len(rows), ROWS_PER_MESSAGE):
                part = rows[start : start + ROWS_PER_MESSAGE]
                yield {"k": "rows", "hosts": [], "learned": part}

    def _take_hosts(self) -> list[dict]:
        hosts, config = self.process.core.hosts, self.process.config
        names = _take(self.pending_hosts, ROWS_PER_MESSAGE)
        return [list_entry(hosts[name], config) for name in names if name in hosts]

    def last_messages(self) -> list[Message]:
        """Returns what is left, for the pause; `undo_last` has it sent again."""
        self.collect_changes()
        self.last_part = list(self.pending_hosts), list(self.pending_destinations)
        general = {"k": "rows", "hosts": [], "learned": [self.module.general_row()]}
        return [*self.take_messages(), general]

    def undo_last(self) -> None:
        """Notes that the handover broke off: nobody knows which of its messages arrived."""
        hosts, destinations = self.last_part
        self.pending_hosts.update(dict.fromkeys(hosts))
        self.pending_destinations.update(dict.fromkeys(destinations))


def _take(pending: dict, count: int) -> list:
    """Removes and returns the first `count` keys."""
    taken = list(islice(pending, count))
    for key in taken:
        del pending[key]
    return taken


class ReceivedCopy:
    """The new process's side: the latest row of each host and of each learned item."""

    def __init__(self, number: Optional[int] = None):
        self.number = number  # of the copy, as the old process told it
        self.is_whole = False  # everything has been received once
        self.hosts: dict[str, dict] = {}
        self.learned: dict[tuple, dict] = {}

    def add_hosts(self, rows: list[dict]) -> None:
        """Stores hosts, in discovery's form; KeyError for a row without a name."""
        for row in rows:
            self.hosts[row["name"]] = row

    def add_learned(self, rows: list[dict]) -> None:
        """Stores rows of the decision module's learned state."""
        for row in rows:
            self.learned[row.get("dest"), row.get("host")] = row
