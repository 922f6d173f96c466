"""Numbers the zones of hosts, and says what a zone of the log means in this process.

A number is only valid in the process that gave it: another configuration, or another order in which
hosts turn up, gives other numbers. The log names zones.
"""

from typing import Optional

# Zone of an attempt that is in the log by a number only: no host is in it, so that a callback which
# hosts of one zone recognize is sent nowhere.
UNKNOWN_ZONE = -1


class ZoneTable:
    """Zones by name; shares its dict of numbers with the reader of host lists."""

    def __init__(self, numbers: dict[str, int]) -> None:
        self.numbers = numbers

    def number_of(self, name: str) -> int:
        """Returns the number of the zone; a new one for a name that has none."""
        return self.numbers.setdefault(name, len(self.numbers))

    def name_of(self, number: Optional[int]) -> Optional[str]:
        """Returns the name of the zone with this number, or None if there is none."""
        return next((name for name, known in self.numbers.items() if known == number), None)

    def resolve(self, name: Optional[str], logged_number: Optional[int]) -> Optional[int]:
        """Returns this process's number for a zone of the log, or None if the log has no zone.

        `logged_number`: the number in the process that wrote it; alone, as older releases wrote it,
        it says nothing.
        """
        if name is not None:
            return self.number_of(name)
        return None if logged_number is None else UNKNOWN_ZONE
