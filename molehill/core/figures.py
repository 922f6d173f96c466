"""The figures that operators read: each counted in the one place where the reducer or the network makes that change.

Counts run from the start of the process. Gauges are kept as changes happen, never by a walk over all that is held.
"""

from collections import Counter

from molehill.core.permission import Refusal

DELIVERED, THROTTLED, FAULTED = "fulfilled", "throttled", "faulted"
ENDS = (DELIVERED, THROTTLED, FAULTED)
COUNTS, GAUGES = (
    ("relayed", "cfg_accepted", "cfg_invalid"),
    ("open_requests", "registry_entries", "out_of_rotation"),
)
PREFIX = "router"


class Figures:
    """`ends`: class of callback -> how many ended in each way; one that vanished keeps its row."""

    def __init__(self, classes):
        self.ends: dict[str, dict[str, int]] = {}
        self.relayed = self.cfg_accepted = self.cfg_invalid = 0
        self.open_requests = self.registry_entries = self.out_of_rotation = 0
        self.not_sent: Counter[Refusal] = Counter()  # callbacks that were chosen and did not go
        self.name(classes)

    def name(self, classes) -> None:
        for one in classes:
            self.ends.setdefault(one, dict.fromkeys(ENDS, 0))

    def text(self) -> str:
        """A line a figure: `router.NAME:VALUE|c` (a count) or `|g` (a gauge)."""
        rows = [
            (f"{end}.{one}", counts[end], "c") for one, counts in self.ends.items() for end in ENDS
        ]
        rows += [(f"not_sent.{why.name.lower()}", n, "c") for why, n in self.not_sent.items()]
        rows += [(name, getattr(self, name), "c") for name in COUNTS] + [
            (name, getattr(self, name), "g") for name in GAUGES
        ]
        return "".join(f"{PREFIX}.{name}:{value}|{kind}\n" for name, value, kind in rows)
