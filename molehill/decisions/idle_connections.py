"""Idle connections: for which kinds of endpoints none is kept, and which are too old to be used."""

from molehill.decisions.endpoint import Attempt
from molehill.interface import Result

# calls: seconds of a small relay's, as a crowd takes to thin; each a handshake dearer
SCARCE_CALLS = 32
LOSS_GAIN = 0.25  # smoothing
LOSS_MARGIN = 0.5  # share of lost calls beyond that of new connections: three
TRIED_AGAIN = 0.98  # some three dozen calls later an old one is tried again


class IdleConnections:
    """What the calls of late tell of connections that had been idle."""

    # what is handed over to the next process: the row's key -> the field
    HANDED_OVER = {"worn_span": "suspect_span", "worn": "lost_when_idle", "new": "lost_when_new"}

    def __init__(self, kinds: int, kept_for: int) -> None:
        self.scarce = [0] * max(1, kinds)  # by kind: calls for which no idle connection is kept
        self.suspect_span = kept_for  # idle for so long, a connection may be gone unseen
        # share of calls that were lost, smoothed: on connections idle for longer, and on new ones
        self.lost_when_idle, self.lost_when_new = 0.0, 0.0

    def rows(self) -> dict:
        """What was measured, for the next process of this relay."""
        measured = {key: getattr(self, name) for key, name in self.HANDED_OVER.items()}
        return {"tight": self.scarce, **measured}

    def take_over(self, row: dict) -> None:
        """What an earlier process measured."""
        for key, name in self.HANDED_OVER.items():
            if key in row:
                setattr(self, name, row[key])
        if len(row.get("tight", ())) == len(self.scarce):
            self.scarce = row["tight"]

    def is_scarce(self, kind: int, result: Result) -> bool:
        """Counts one call's result. Danger: idle connections of many relays fill a host that takes few: none is kept once one
        failed, and as one kind takes few, handshakes are paid for at all of it."""
        self.scarce[kind] = (
            SCARCE_CALLS if result is Result.NO_CONNECT else max(0, self.scarce[kind] - 1)
        )
        return self.scarce[kind] > 0

    def count_loss(self, attempt: Attempt, result: Result, took: int) -> None:
        """Danger: dropped unseen, they lose the next call: most calls on long idle ones are lost, few on new."""
        lost = result is Result.RESET or result is Result.TIMEOUT and took >= attempt.time_out
        if lost and attempt.idle:
            self.suspect_span = min(self.suspect_span, attempt.idle)
        if not attempt.idle:
            self.lost_when_new += (lost - self.lost_when_new) * LOSS_GAIN / 2
        elif attempt.idle >= self.suspect_span:
            self.lost_when_idle += (lost - self.lost_when_idle) * LOSS_GAIN

    def is_suspect(self, idle: int) -> bool:
        """Whether a connection that was idle for so long is rather closed than used."""
        if not 0 < self.suspect_span <= idle:
            return False
        if self.lost_when_idle <= LOSS_MARGIN + self.lost_when_new:
            return False
        self.lost_when_idle *= TRIED_AGAIN
        return True
