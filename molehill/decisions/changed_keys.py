"""Notes which of many items have changed, so that a copy of them can be kept up to date."""

from typing import Generic, Iterable, Optional, TypeVar

Key = TypeVar("Key")


class ChangedKeys(Generic[Key]):
    """The keys of items that changed since they were last taken; none are noted before `track`."""

    def __init__(self) -> None:
        self.keys: Optional[set[Key]] = None

    def track(self) -> None:
        """Starts to note changes."""
        self.keys = set()

    def note(self, keys: Iterable[Key]) -> None:
        """Notes that these items have changed, or may have."""
        if self.keys is not None:
            self.keys.update(keys)

    def take(self) -> set[Key]:
        """Returns the keys noted since the last call."""
        taken, self.keys = self.keys or set(), set()
        return taken
