"""Drives a Space as an engine would, in memory: for tests and measurements of what it decides."""

from molehill.storage.space import Space

HEAD = 40  # bytes of a segment's head


class Disk:
    """Rolls, writes, moves, unlinks. Counts bytes asked for and written, and the most states moved after one append."""

    def __init__(self, most, size):
        self.space, self.serial, self.asked, self.written, self.longest = (
            Space(most, size),
            0,
            0,
            0,
            0,
        )

    def write(self, length, ident=None):
        if not self.space.fits(length):
            self.serial += 1
            self.space.opened(self.serial, HEAD)
        self.space.wrote(length, ident)
        self.written += length
        assert self.space.used <= self.space.most, "the room is used up"

    def append(self, length, ident=None, state=None):
        self.write(length, ident)
        self.asked += length
        if state:
            self.space.begins(ident, length, state)
        moved = self.space.to_move(length)
        self.longest = max(self.longest, len(moved))
        for one in moved:
            size, left = self.space.places[one].owed[one], self.space.reserved[one]
            self.write(size)
            self.space.begins(one, size, left)
        for number in self.space.empty():
            assert not self.space.segments[number].owed and number == next(
                iter(self.space.segments)
            )
            self.space.dropped(number)
