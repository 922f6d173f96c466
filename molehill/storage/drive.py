"""Drives a `Space` in memory as a storage engine would, for tests and measurements."""

from molehill.storage.space import Space

HEADER_SIZE = 40  # bytes of a segment's header


class SpaceSimulator:
    """Adds segments, writes, moves states and removes segments as a `Space` decides.

    Counts the bytes requested (`appended`) and written (`written`), and the most states moved after
    one append (`most_moved`).
    """

    def __init__(self, max_bytes, segment_size):
        self.space, self.last_segment, self.appended, self.written, self.most_moved = (
            Space(max_bytes, segment_size),
            0,
            0,
            0,
            0,
        )

    def write(self, length, callback_id=None):
        """Writes `length` bytes to the open segment, or to a new one if they don't fit."""
        if not self.space.fits(length):
            self.last_segment += 1
            self.space.add_segment(self.last_segment, HEADER_SIZE)
        self.space.add_bytes(length, callback_id)
        self.written += length
        assert self.space.used_bytes <= self.space.max_bytes, "the space is used up"

    def append(self, length, callback_id=None, state=None):
        """Appends `length` bytes, then moves states and removes empty segments.

        `state`: given if the bytes are a callback's whole state; bytes that may yet follow it.
        """
        self.write(length, callback_id)
        self.appended += length
        if state:
            self.space.add_state(callback_id, length, state)
        moved = self.space.states_to_move(length)
        self.most_moved = max(self.most_moved, len(moved))
        for moved_id in moved:
            length_moved, left = (
                self.space.locations[moved_id].states[moved_id],
                self.space.reserved[moved_id],
            )
            self.write(length_moved)
            self.space.add_state(moved_id, length_moved, left)
        for segment_number in self.space.empty_segments():
            assert not self.space.segments[segment_number].states and segment_number == next(
                iter(self.space.segments)
            )
            self.space.remove_segment(segment_number)
