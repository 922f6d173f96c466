"""Ids that are lately over, of which a copy may still come: a table that forgets the oldest."""

from collections import OrderedDict
from typing import Any, Iterator, Optional


class RecentIds:
    """Keeps a value for each of the last `capacity` ids."""

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.values: OrderedDict[str, Any] = OrderedDict()

    def add(self, callback_id: str, value: Any) -> None:
        """One more; the oldest is forgotten where there are too many. An id that is there keeps its place."""
        self.values[callback_id] = value
        while len(self.values) > self.capacity:
            self.values.popitem(last=False)

    def get(self, callback_id: str) -> Optional[Any]:
        """Its value; None where it is not known, or was added with None."""
        return self.values.get(callback_id)

    def newest_first(self) -> Iterator[tuple[str, Any]]:
        """Ids and values."""
        return reversed(self.values.items())

    def __contains__(self, callback_id: str) -> bool:
        return callback_id in self.values

    def __iter__(self) -> Iterator[str]:
        return iter(self.values)

    def __len__(self) -> int:
        return len(self.values)
