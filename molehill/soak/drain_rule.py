"""The rule on draining hosts: no call to a host later than the grace after its drain counts as told.

What discovery has written to the relay counts as told at once. What it has to tell counts as told
some seconds later, whether or not it arrived. It is handed a `History` and uses none of the relay's
code.
"""

from dataclasses import dataclass
from typing import Optional

from molehill.soak.finding import Finding
from molehill.soak.history import (
    DISCOVERY_MOVED,
    OUTAGE_END,
    OUTAGE_START,
    Call,
    Changed,
    History,
    ListAnswered,
    ListDropped,
    ListRequested,
    ListStalled,
    Process,
    Told,
    shim_end_text,
    shim_start_text,
)

PAST_GRACE = "sent past the grace"
# after a drain counts as told: the grace period, the slack of the limits, a paused process
DRAIN_GRACE_S = 1.0 + 0.05 + 0.15
UNTOLD_LIMIT_S = 6.0  # after discovery has a change, or a list with it stopped in the middle
HELD_LIMIT_S = 2.0  # after the hold of a request that waited for news as the change came
MOVED_LIMIT_S = 4.0  # after the SIGHUP that moves discovery
ACTIVE = "active"
NEVER = float("inf")


@dataclass(slots=True)
class UntoldChange:
    """A host's drain that discovery has not written to the relay; `told_at`: when it counts so."""

    changed_at: float
    told_at: float


class DrainRule:
    """Follows one history, event by event, and collects the calls that break the rule."""

    def __init__(self) -> None:
        self.told: dict[str, float] = {}  # draining host -> when it was written to the relay
        self.untold: dict[str, UntoldChange] = {}
        self.hold_ends: dict[int, float] = {}  # of requests that wait
        self.is_down = False
        self.disk_failed_at: Optional[float] = None
        self.found: list[Finding] = []
        self.handlers = {
            Changed: self._on_changed,
            Told: self._on_told,
            ListStalled: self._on_stalled,
            ListRequested: self._on_requested,
            ListAnswered: self._on_answered,
            ListDropped: self._on_dropped,
            Process: self._on_process,
            Call: self._on_call,
        }

    def apply(self, event) -> None:
        """Applies the next event."""
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)

    def _on_changed(self, event) -> None:
        if event.status == ACTIVE:
            self.untold.pop(event.host, None)
            return
        hold_end = max(self.hold_ends.values(), default=-NEVER)
        told_at = max(event.at + UNTOLD_LIMIT_S, hold_end + HELD_LIMIT_S)
        change = UntoldChange(event.at, NEVER if self.is_down else told_at)
        self.untold.setdefault(event.host, change)

    def _on_told(self, event) -> None:
        self.untold.pop(event.host, None)
        if event.status == ACTIVE:
            self.told.pop(event.host, None)
        else:
            self.told[event.host] = min(event.at, self.told.get(event.host, event.at))

    def _on_stalled(self, event) -> None:
        if event.status == ACTIVE:
            return
        change = self.untold.setdefault(event.host, UntoldChange(event.at, NEVER))
        change.told_at = min(change.told_at, event.at + UNTOLD_LIMIT_S)

    def _on_requested(self, event) -> None:
        self.hold_ends[event.number] = event.at + event.hold

    def _on_answered(self, event) -> None:
        self.hold_ends.pop(event.number, None)

    def _on_dropped(self, event) -> None:
        """A request that was given up or turned away has no hold any more."""
        self.hold_ends.pop(event.number, None)
        if self.hold_ends:
            return
        for change in [row for row in self.untold.values() if row.told_at != NEVER]:
            earliest = change.changed_at + UNTOLD_LIMIT_S
            change.told_at = max(earliest, min(change.told_at, event.at))

    def _on_process(self, event) -> None:
        if event.what == OUTAGE_START:
            self.is_down = True  # what it had to tell before counts all the same
        elif event.what == OUTAGE_END:
            self.is_down = False
            for change in self.untold.values():
                if change.told_at == NEVER:
                    change.told_at = event.at + UNTOLD_LIMIT_S
        elif event.what == DISCOVERY_MOVED:
            for change in self.untold.values():
                if change.told_at != NEVER:
                    change.told_at = min(change.told_at, event.at + MOVED_LIMIT_S)
        else:
            self._on_disk(event)

    def _on_disk(self, event) -> None:
        """What was told while the disk failed can't survive a kill during that time."""
        if event.what == shim_start_text("disk"):
            self.disk_failed_at = event.at
        elif event.what == shim_end_text("disk"):
            self.disk_failed_at = None
        elif event.what == "SIGKILL" and self.disk_failed_at is not None:
            self.told = {host: at for host, at in self.told.items() if at < self.disk_failed_at}

    def _on_call(self, event) -> None:
        self._check(event, self.told.get(event.host), "told")
        change = self.untold.get(event.host)
        if event.host not in self.told and change is not None:
            self._check(event, change.told_at, "counted as told")

    def _check(self, call, told_at: Optional[float], what: str) -> None:
        if told_at is None or call.first_byte - told_at <= DRAIN_GRACE_S:
            return
        text = f"{call.host} {what} {call.first_byte - told_at:.2f} s before"
        self.found.append(Finding(PAST_GRACE, call.at, call.id, text))


def past_grace(history: History) -> list[Finding]:
    """Reports calls to draining hosts, whichever process of the relay was told."""
    rule = DrainRule()
    for event in history.events:
        rule.apply(event)
    return rule.found
