"""Accounts for the space of a segmented log: what to move, what to remove, what still fits. Pure.

Segments are in the order of their numbers. A callback's whole state is in one of them; later
records about it are in the same segment or a later one. So the oldest segment can be removed at
once if it holds no live state. Space is freed by moving states out of the oldest segment, some
after each append.
"""

from collections import OrderedDict

BLOCK_SIZE = 512  # bytes; files are counted in whole blocks
# Share of the space for states and the records that may follow about them. At three quarters, a
# full round over the log writes three bytes for each byte that it frees; with a greater share, it
# writes twice that and more for the last eighth.
STATE_SHARE = 3 / 4


def round_to_blocks(size: int) -> int:
    """Rounds a size in bytes up to whole blocks."""
    return -(-size // BLOCK_SIZE) * BLOCK_SIZE


class Segment:
    """One segment: its number, its size in bytes and the live states in it."""

    __slots__ = ("number", "size", "states")

    def __init__(self, number: int, size: int):
        self.number, self.size = number, size
        # callback id -> bytes of its state here, in the order written
        self.states: OrderedDict[str, int] = OrderedDict()


class Space:
    """The space that all segments share.

    `max_bytes`: bytes that all segments may take, in whole blocks. `segment_size`: bytes of one
    segment. Raises ValueError if `max_bytes` holds fewer than eight segments.
    """

    def __init__(self, max_bytes: int, segment_size: int):
        if max_bytes < 8 * round_to_blocks(segment_size):
            raise ValueError(f"{max_bytes} bytes hold fewer than eight segments of {segment_size}")
        self.max_bytes, self.segment_size = max_bytes, segment_size
        self.segments: OrderedDict[int, Segment] = OrderedDict()
        self.locations: dict[str, Segment] = {}  # callback id -> segment of its state
        self.reserved: dict[str, int] = {}  # id -> bytes that may yet be written about it
        # bytes of all files, in blocks; of live states; that may yet be written about them
        self.used_bytes = self.live_bytes = self.reserved_bytes = 0
        # bytes due to be moved that did not yet make up a whole state
        self.bytes_to_move = 0.0

    # Accounting of written bytes and states

    def add_segment(self, number: int, size: int) -> None:
        """Adds a segment with a header of `size` bytes; it is the open one from now on."""
        self.segments[number] = Segment(number, size)
        self.used_bytes += round_to_blocks(size)

    def open_segment(self) -> Segment:
        """Returns the newest segment, to which everything is written."""
        return next(reversed(self.segments.values()))

    def fits(self, length: int) -> bool:
        """Whether `length` more bytes fit into the open segment.

        A record longer than a segment gets a separate segment.
        """
        return bool(self.segments) and self.open_segment().size + length <= self.segment_size

    def add_bytes(self, length: int, callback_id=None) -> None:
        """Counts bytes written to the open segment.

        If `callback_id` is given, they are taken from the bytes reserved for it.
        """
        segment = self.open_segment()
        self.used_bytes += round_to_blocks(segment.size + length) - round_to_blocks(segment.size)
        segment.size += length
        if callback_id in self.reserved:
            bytes_left = max(0, self.reserved[callback_id] - length)
            self.reserved_bytes += bytes_left - self.reserved[callback_id]
            self.reserved[callback_id] = bytes_left

    def add_state(self, callback_id: str, length: int, may_write: int) -> None:
        """Records that the open segment now has the whole state of a callback.

        `may_write`: bytes that may yet be written about it.
        """
        self.remove_state(callback_id)
        segment = self.open_segment()
        segment.states[callback_id], self.locations[callback_id], self.reserved[callback_id] = (
            length,
            segment,
            may_write,
        )
        self.live_bytes, self.reserved_bytes = (
            self.live_bytes + length,
            self.reserved_bytes + may_write,
        )

    def remove_state(self, callback_id: str) -> None:
        """Forgets a state that is no longer needed, or was moved; an unknown id is ignored."""
        segment = self.locations.pop(callback_id, None)
        if segment is not None:
            self.live_bytes -= segment.states.pop(callback_id)
            self.reserved_bytes -= self.reserved.pop(callback_id)

    def remove_segment(self, number: int) -> None:
        """Records that the file of that segment has been removed."""
        self.used_bytes -= round_to_blocks(self.segments.pop(number).size)

    # Decisions

    def can_admit(self, length: int, may_write: int) -> bool:
        """Whether a new callback fits with all that may be written about it; else it is refused."""
        return (
            self.live_bytes + self.reserved_bytes + length + may_write
            <= self.max_bytes * STATE_SHARE - self.segment_size
        )

    def empty_segments(self) -> list[int]:
        """Returns the segments to remove now: the oldest without live states, not the open one."""
        result = []
        for segment in self.segments.values():
            if segment.states or segment is self.open_segment():
                break
            result.append(segment.number)
        return result

    def states_to_move(self, appended: int) -> list[str]:
        """Returns the callbacks whose states are to be moved after `appended` bytes were appended.

        For each appended byte, live bytes divided by free bytes are moved: so before the space is
        used up, all states have been moved once, and everything that is not live is gone. With much
        space free, almost nothing is moved.
        """
        free = max(self.max_bytes - self.used_bytes - self.segment_size, BLOCK_SIZE)
        oldest, result = next(iter(self.segments.values()), None), []
        if oldest is None or oldest is self.open_segment():
            return result
        self.bytes_to_move += appended * self.live_bytes / free
        for callback_id, length in oldest.states.items():
            if self.bytes_to_move < length:
                break
            self.bytes_to_move -= length
            result.append(callback_id)
        return result
