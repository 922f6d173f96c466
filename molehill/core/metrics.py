"""Holds the metrics that operators read.

Each is updated in the one place where the reducer or the network makes that change. Counters start
at 0 with the process. Gauges are updated as changes happen, never by iterating over all callbacks
or hosts.
"""

from collections import Counter

from molehill.core.permission import Refusal

DELIVERED, THROTTLED, FAULTED = "fulfilled", "throttled", "faulted"
END_NAMES = (DELIVERED, THROTTLED, FAULTED)
COUNTS, GAUGES = (
    ("relayed", "cfg_accepted", "cfg_invalid"),
    ("open_requests", "registry_entries", "out_of_rotation"),
)
PREFIX = "router"


class Metrics:
    """Counters and gauges of one relay.

    `end_counts`: class name -> how many callbacks ended in each way. A class that was removed from
    the settings keeps its counts.
    """

    def __init__(self, classes):
        self.end_counts: dict[str, dict[str, int]] = {}
        self.relayed = self.cfg_accepted = self.cfg_invalid = 0
        self.open_requests = self.registry_entries = self.out_of_rotation = 0
        self.not_sent: Counter[Refusal] = (
            Counter()
        )  # callbacks that the module chose to send and that were not sent
        self.add_classes(classes)

    def add_classes(self, classes) -> None:
        """Starts the counts of classes, by name; those of known classes stay."""
        for class_name in classes:
            self.end_counts.setdefault(class_name, dict.fromkeys(END_NAMES, 0))

    def render(self) -> str:
        """Returns one line for each metric: `router.NAME:VALUE|c` (counter) or `|g` (gauge)."""
        rows = [
            (f"{end}.{class_name}", counts[end], "c")
            for class_name, counts in self.end_counts.items()
            for end in END_NAMES
        ]
        rows += [
            (f"not_sent.{reason.name.lower()}", count, "c")
            for reason, count in self.not_sent.items()
        ]
        rows += [(name, getattr(self, name), "c") for name in COUNTS] + [
            (name, getattr(self, name), "g") for name in GAUGES
        ]
        return "".join(f"{PREFIX}.{name}:{value}|{kind}\n" for name, value, kind in rows)
