"""Which segments stand, what of each is still owed, how much to move forward now, and whether a newcomer fits. Pure.

Segments are in the order of their numbers. A callback's whole state lies in one of them; what is written of it later lies there or
behind. So a segment that is the oldest and holds no state that is still owed can go at once, and the room that is free comes from
moving states out of the oldest, a piece a turn.
"""

from collections import OrderedDict

BLOCK_SIZE = 512  # files count in whole blocks of so many bytes
# Share of the room that states and what they may yet write can take. At three quarters, a full round over the log writes three
# bytes for each that it frees; at more, twice that and over for the last eighth.
STATE_SHARE = 3 / 4


def round_to_blocks(size: int) -> int:
    return -(-size // BLOCK_SIZE) * BLOCK_SIZE


class Segment:
    __slots__ = ("number", "size", "states")

    def __init__(self, number: int, size: int):
        self.number, self.size = number, size
        # id -> bytes of its state here, the first written first
        self.states: OrderedDict[str, int] = OrderedDict()


class Space:
    """`max_bytes`: bytes that all segments may take, in whole blocks; `segment_size`: bytes of one. ValueError if `max_bytes` holds under eight."""

    def __init__(self, max_bytes: int, segment_size: int):
        if max_bytes < 8 * round_to_blocks(segment_size):
            raise ValueError(f"{max_bytes} bytes hold no eight segments of {segment_size}")
        self.max_bytes, self.segment_size = max_bytes, segment_size
        self.segments: OrderedDict[int, Segment] = OrderedDict()
        self.locations: dict[str, Segment] = {}  # id -> where its state lies
        self.reserved: dict[str, int] = {}  # id -> bytes that it may yet write
        # bytes in blocks; of states; that may yet come
        self.used_bytes = self.live_bytes = self.reserved_bytes = 0
        # bytes to be moved that were not a whole state's yet
        self.bytes_to_move = 0.0

    # What was written

    def add_segment(self, number: int, size: int) -> None:
        """A new segment stands, with a head of `size` bytes; all that is written from now on goes there."""
        self.segments[number] = Segment(number, size)
        self.used_bytes += round_to_blocks(size)

    def open_segment(self) -> Segment:
        return next(reversed(self.segments.values()))

    def fits(self, length: int) -> bool:
        """Whether the open segment takes so much more. What is longer than a segment has one to itself."""
        return bool(self.segments) and self.open_segment().size + length <= self.segment_size

    def add_bytes(self, length: int, callback_id=None) -> None:
        """So many bytes went to the open segment, out of what `callback_id` may write if one is named."""
        segment = self.open_segment()
        self.used_bytes += round_to_blocks(segment.size + length) - round_to_blocks(segment.size)
        segment.size += length
        if callback_id in self.reserved:
            left = max(0, self.reserved[callback_id] - length)
            self.reserved_bytes += left - self.reserved[callback_id]
            self.reserved[callback_id] = left

    def add_state(self, callback_id: str, length: int, may_write: int) -> None:
        """The whole state of a callback lies in the open segment from now on; `may_write`: bytes that may yet come of it."""
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
        """Nothing is owed of it any more, or its state has moved. One that is not known is passed over."""
        segment = self.locations.pop(callback_id, None)
        if segment is not None:
            self.live_bytes -= segment.states.pop(callback_id)
            self.reserved_bytes -= self.reserved.pop(callback_id)

    def remove_segment(self, number: int) -> None:
        """The file of that segment is gone."""
        self.used_bytes -= round_to_blocks(self.segments.pop(number).size)

    # What to do

    def can_admit(self, length: int, may_write: int) -> bool:
        """Whether a newcomer fits, with all that it may write: else it has to be refused."""
        return (
            self.live_bytes + self.reserved_bytes + length + may_write
            <= self.max_bytes * STATE_SHARE - self.segment_size
        )

    def empty_segments(self) -> list[int]:
        """The segments that can go now: the oldest ones that hold nothing owed, never the open one."""
        result = []
        for segment in self.segments.values():
            if segment.states or segment is self.open_segment():
                break
            result.append(segment.number)
        return result

    def states_to_move(self, appended: int) -> list[str]:
        """The callbacks whose states are to be written anew now, after so many bytes were appended.

        As many bytes for each that was appended as states weigh against the free room: so before the room is used up, all
        states have been moved once, and all that is not owed has gone. With much room free that is next to nothing.
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
