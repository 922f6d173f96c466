"""Idle connections: for which kinds of endpoints none is kept, and which are too old to be used."""

from molehill.decisions.endpoint import Call
from molehill.interface import Result

# calls: seconds of a small relay's, as a crowd takes to thin; each a handshake dearer
SCARCE_CALLS = 32
LOSS_SMOOTHING = 0.25  # smoothing
LOSS_MARGIN = 0.5  # share of lost calls beyond that of new connections: three
IDLE_LOSS_DECAY = 0.98  # some three dozen calls later an old one is tried again


class IdleConnections:
    """What the calls of late tell of connections that had been idle."""

    # what is handed over to the next process: the row's key -> the field
    HANDED_OVER = {"worn_span": "suspect_span", "worn": "idle_loss_share", "new": "new_loss_share"}

    def __init__(self, kind_count: int, max_idle: int) -> None:
        self.scarce_calls = [0] * max(
            1, kind_count
        )  # by kind: calls for which no idle connection is kept
        self.suspect_span = max_idle  # idle for so long, a connection may be gone unseen
        # share of calls that were lost, smoothed: on connections idle for longer, and on new ones
        self.idle_loss_share, self.new_loss_share = 0.0, 0.0

    def handover_row(self) -> dict:
        """What was measured, for the next process of this relay."""
        measured = {key: getattr(self, name) for key, name in self.HANDED_OVER.items()}
        return {"tight": self.scarce_calls, **measured}

    def restore_row(self, row: dict) -> None:
        """What an earlier process measured."""
        for key, name in self.HANDED_OVER.items():
            if key in row:
                setattr(self, name, row[key])
        if len(row.get("tight", ())) == len(self.scarce_calls):
            self.scarce_calls = row["tight"]

    def update_scarcity(self, kind: int, result: Result) -> bool:
        """Counts one call's result. Danger: idle connections of many relays fill a host that takes few: none is kept once one
        failed, and as one kind takes few, handshakes are paid for at all of it."""
        self.scarce_calls[kind] = (
            SCARCE_CALLS if result is Result.NO_CONNECT else max(0, self.scarce_calls[kind] - 1)
        )
        return self.scarce_calls[kind] > 0

    def count_loss(self, call: Call, result: Result, duration: int) -> None:
        """Danger: dropped unseen, they lose the next call: most calls on long idle ones are lost, few on new."""
        lost = result is Result.RESET or result is Result.TIMEOUT and duration >= call.timeout
        if lost and call.idle_time:
            self.suspect_span = min(self.suspect_span, call.idle_time)
        if not call.idle_time:
            self.new_loss_share += (lost - self.new_loss_share) * LOSS_SMOOTHING / 2
        elif call.idle_time >= self.suspect_span:
            self.idle_loss_share += (lost - self.idle_loss_share) * LOSS_SMOOTHING

    def is_suspect(self, idle_time: int) -> bool:
        """Whether a connection that was idle for so long is rather closed than used."""
        if not 0 < self.suspect_span <= idle_time:
            return False
        if self.idle_loss_share <= LOSS_MARGIN + self.new_loss_share:
            return False
        self.idle_loss_share *= IDLE_LOSS_DECAY
        return True
