"""Remembers recently completed ids, of which a copy may still come, and forgets the oldest."""

from collections import OrderedDict
from typing import Any, Iterator, Optional


class RecentIds:
    """A bounded mapping that keeps a value for each of the last `capacity` ids."""

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.values: OrderedDict[str, Any] = OrderedDict()

    def add(self, callback_id: str, value: Any) -> None:
        """Adds an id, and forgets the oldest beyond the capacity; a known id keeps its place."""
        self.values[callback_id] = value
        while len(self.values) > self.capacity:
            self.values.popitem(last=False)

    def get(self, callback_id: str) -> Optional[Any]:
        """Returns the id's value; None if it is unknown, or was added with None."""
        return self.values.get(callback_id)

    def newest_first(self) -> Iterator[tuple[str, Any]]:
        """Yields ids and values, the newest first."""
        return reversed(self.values.items())

    def __contains__(self, callback_id: str) -> bool:
        return callback_id in self.values

    def __iter__(self) -> Iterator[str]:
        return iter(self.values)

    def __len__(self) -> int:
        return len(self.values)
