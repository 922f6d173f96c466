"""Which segments stand, what of each is still owed, how much to move forward now, and whether a newcomer fits. Pure.

Segments are in the order of their numbers. A callback's whole state lies in one of them; what is written of it later lies there or
behind. So a segment that is the oldest and holds no state that is still owed can go at once, and the room that is free comes from
moving states out of the oldest, a piece a turn.
"""

from collections import OrderedDict

BLOCK = 512  # files count in whole blocks of so many bytes
# Share of the room that states and what they may yet write can take. At three quarters, a full round over the log writes three
# bytes for each that it frees; at more, twice that and over for the last eighth.
SHARE = 3 / 4


def blocks(size: int) -> int:
    return -(-size // BLOCK) * BLOCK


class Segment:
    __slots__ = ("number", "size", "owed")

    def __init__(self, number: int, size: int):
        self.number, self.size = number, size
        # id -> bytes of its state here, the first written first
        self.owed: OrderedDict[str, int] = OrderedDict()


class Space:
    """`most`: bytes that all segments may take, in whole blocks; `segment`: bytes of one. ValueError if `most` holds under eight."""

    def __init__(self, most: int, segment: int):
        if most < 8 * blocks(segment):
            raise ValueError(f"{most} bytes hold no eight segments of {segment}")
        self.most, self.segment = most, segment
        self.segments: OrderedDict[int, Segment] = OrderedDict()
        self.places: dict[str, Segment] = {}  # id -> where its state lies
        self.reserved: dict[str, int] = {}  # id -> bytes that it may yet write
        # bytes in blocks; of states; that may yet come
        self.used = self.owed = self.promised = 0
        # bytes to be moved that were not a whole state's yet
        self.due = 0.0

    # What was written

    def opened(self, number: int, size: int) -> None:
        """A new segment stands, with a head of `size` bytes; all that is written from now on goes there."""
        self.segments[number] = Segment(number, size)
        self.used += blocks(size)

    def open(self) -> Segment:
        return next(reversed(self.segments.values()))

    def fits(self, length: int) -> bool:
        """Whether the open segment takes so much more. What is longer than a segment has one to itself."""
        return bool(self.segments) and self.open().size + length <= self.segment

    def wrote(self, length: int, ident=None) -> None:
        """So many bytes went to the open segment, out of what `ident` may write if one is named."""
        segment = self.open()
        self.used += blocks(segment.size + length) - blocks(segment.size)
        segment.size += length
        if ident in self.reserved:
            left = max(0, self.reserved[ident] - length)
            self.promised += left - self.reserved[ident]
            self.reserved[ident] = left

    def begins(self, ident: str, length: int, may_write: int) -> None:
        """The whole state of a callback lies in the open segment from now on; `may_write`: bytes that may yet come of it."""
        self.over(ident)
        segment = self.open()
        segment.owed[ident], self.places[ident], self.reserved[ident] = length, segment, may_write
        self.owed, self.promised = self.owed + length, self.promised + may_write

    def over(self, ident: str) -> None:
        """Nothing is owed of it any more, or its state has moved. One that is not known is passed over."""
        segment = self.places.pop(ident, None)
        if segment is not None:
            self.owed -= segment.owed.pop(ident)
            self.promised -= self.reserved.pop(ident)

    def dropped(self, number: int) -> None:
        """The file of that segment is gone."""
        self.used -= blocks(self.segments.pop(number).size)

    # What to do

    def may_take(self, length: int, may_write: int) -> bool:
        """Whether a newcomer fits, with all that it may write: else it has to be refused."""
        return self.owed + self.promised + length + may_write <= self.most * SHARE - self.segment

    def empty(self) -> list[int]:
        """The segments that can go now: the oldest ones that hold nothing owed, never the open one."""
        found = []
        for segment in self.segments.values():
            if segment.owed or segment is self.open():
                break
            found.append(segment.number)
        return found

    def to_move(self, appended: int) -> list[str]:
        """The callbacks whose states are to be written anew now, after so many bytes were appended.

        As many bytes for each that was appended as states weigh against the free room: so before the room is used up, all
        states have been moved once, and all that is not owed has gone. With much room free that is next to nothing.
        """
        free = max(self.most - self.used - self.segment, BLOCK)
        oldest, found = next(iter(self.segments.values()), None), []
        if oldest is None or oldest is self.open():
            return found
        self.due += appended * self.owed / free
        for ident, length in oldest.owed.items():
            if self.due < length:
                break
            self.due -= length
            found.append(ident)
        return found
