"""Idle connections: for which kinds of endpoints none is kept, and which are too old for use."""

from molehill.decisions.endpoint import Call
from molehill.interface import Result

# calls that a small relay makes in some seconds, the time in which a host has room for connections
# again; each of them costs one handshake more
SCARCE_CALLS = 32
LOSS_SMOOTHING = 0.25
LOSS_MARGIN = 0.5  # excess of lost calls over those on new connections; reached by three losses
IDLE_LOSS_DECAY = 0.98  # after about 36 calls an old connection is tried again


class IdleConnections:
    """Measures by recent calls whether connections that had been idle can still be used."""

    # handed over to the next process: key in the row -> attribute
    HANDED_OVER = {"worn_span": "suspect_span", "worn": "idle_loss_share", "new": "new_loss_share"}

    def __init__(self, kind_count: int, max_idle: int) -> None:
        # by kind: number of calls to come that leave no idle connection behind
        self.scarce_calls = [0] * max(1, kind_count)
        # a connection idle for this long may have been dropped without notice, in nanoseconds
        self.suspect_span = max_idle
        # smoothed share of lost calls: on connections idle for at least that long, and on new ones
        self.idle_loss_share, self.new_loss_share = 0.0, 0.0

    def handover_row(self) -> dict:
        """Returns the learned state for the next process of this relay."""
        measured = {key: getattr(self, name) for key, name in self.HANDED_OVER.items()}
        return {"tight": self.scarce_calls, **measured}

    def restore_row(self, row: dict) -> None:
        """Restores an earlier process's learned state; what the row lacks stays as it is."""
        for key, name in self.HANDED_OVER.items():
            if key in row:
                setattr(self, name, row[key])
        if len(row.get("tight", ())) == len(self.scarce_calls):
            self.scarce_calls = row["tight"]

    def update_scarcity(self, kind: int, result: Result) -> bool:
        """Counts a call's result; returns whether no idle connection is to be kept for this kind.

        Idle connections of many relays fill a host that accepts few, so none is kept once a connect
        failed. Because all hosts of a kind accept as few, this costs handshakes at all of them.
        """
        self.scarce_calls[kind] = (
            SCARCE_CALLS if result is Result.NO_CONNECT else max(0, self.scarce_calls[kind] - 1)
        )
        return self.scarce_calls[kind] > 0

    def count_loss(self, call: Call, result: Result, duration: int) -> None:
        """Counts whether a call was lost: a connection dropped without notice loses the next call.

        Then most calls on connections that were idle for long are lost, and few on new ones.
        """
        lost = result is Result.RESET or result is Result.TIMEOUT and duration >= call.timeout
        if lost and call.idle_time:
            self.suspect_span = min(self.suspect_span, call.idle_time)
        if not call.idle_time:
            self.new_loss_share += (lost - self.new_loss_share) * LOSS_SMOOTHING / 2
        elif call.idle_time >= self.suspect_span:
            self.idle_loss_share += (lost - self.idle_loss_share) * LOSS_SMOOTHING

    def is_suspect(self, idle_time: int) -> bool:
        """Whether a connection that was idle for this long should be closed instead of used."""
        if not 0 < self.suspect_span <= idle_time:
            return False
        if self.idle_loss_share <= LOSS_MARGIN + self.new_loss_share:
            return False
        self.idle_loss_share *= IDLE_LOSS_DECAY
        return True
