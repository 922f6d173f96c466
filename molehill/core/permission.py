"""Decides whether a callback may be sent to a host now; no other place decides this.

The check is made when a call is started, when its connection is up, and again after the append of
its attempts, right before its first byte.

The decision module chooses the host of each callback; these rules hold whatever it chooses. Some
refusals are ordinary: the state changes between the choice and the call, and the callback is
returned to the module. The module has to exclude the other cases (`Refusal.is_fault`) itself. They
are refused as well, and counted as broken invariants.

The rules, by number:
1. An accepted callback gets exactly one final answer, over restarts and upgrades. A callback that
   is given up is answered at once.
2. No callback takes effect twice: it has one attempt at a time, and is repeated only as its class
   allows.
3. A host that is draining or gone gets no new call after the drain's grace period.
4. A host that returns after an outage gets no more calls than slow start's budget allows (kept by
   the decision module, not by this one).
5. Callbacks of one key are sent in order, with a cooldown after an attempt that may still run.
6. A Retry-After is respected.
"""

from enum import Enum
from typing import Optional

from molehill import interface


class Refusal(Enum):
    """Why a callback may not be sent now; the values are written to log lines."""

    CLIENT_NOT_TOLD = "its client has not been told that it is taken on"
    TIME_UP = "its time is up"
    HOST_NOT_UP = "the host is not listed as up"
    TOLD_TO_WAIT = "the route was told to wait"
    WINDOW_OVER = "it may have run, and the window for repeats is over"
    RELAY_ENDS = "the relay ends before an answer could come"
    MAY_HAVE_RUN = "it may have run, and runs at most once"
    CALL_IS_OUT = "another call of it is out"
    KEY_BUSY = "an earlier one of its key is not over"
    KEY_BLOCKED = "an earlier notice of its key went unanswered for too long"
    ENDED = "it has its end, or was withdrawn"
    HAND_OVER = "the next process takes over"
    CALLED_OFF = "the call was called off"
    NO_DESCRIPTOR = "no descriptor to spare"
    LOCAL_ERROR = "this machine lacked a port, a route or a buffer"
    LINE_BUSY = "all slots of this relay at the host are taken"
    HOST_SAYS_OVER = "the host says that it is over (410), and this relay has not ended it"
    CALLED_AFTER_END = "the host says that it is over (410), as this relay had ended it"
    HOST_SAYS_SPENT = "the host says that it had all its attempts (504)"
    LIST_OUTDATED = "discovery has not confirmed the list of hosts for too long"
    NOT_LOGGED = "the log did not take its launch"

    @property
    def is_fault(self) -> bool:
        """Whether the decision module had to exclude this case itself."""
        return self in FAULTS


FAULTS = (
    Refusal.MAY_HAVE_RUN,
    Refusal.CALL_IS_OUT,
    Refusal.KEY_BUSY,
    Refusal.CALLED_AFTER_END,
)


def check_repeat(callback, callback_class: interface.CallbackClass, now: int) -> Optional[Refusal]:
    """Returns why a callback may not be repeated now (rule 2).

    None means that it may, or that no attempt of it may have run.
    """
    if (
        callback.ran_at is None
        or callback_class.semantics is interface.DeliverySemantics.IDEMPOTENT
    ):
        return None
    if callback_class.semantics is interface.DeliverySemantics.AT_MOST_ONCE:
        return Refusal.MAY_HAVE_RUN
    return (
        Refusal.WINDOW_OVER
        if now >= callback.ran_at + callback_class.deduplication_window
        else None
    )


def check_route(host, list_expired: bool, retry_at: int, now: int) -> Optional[Refusal]:
    """Returns why nothing may be sent to that host now, or None (rules 3 and 6).

    `list_expired`: nobody can tell whether it still is to get calls (core/list_lease.py).
    `retry_at`: end of the Retry-After of its route.
    """
    if list_expired:
        return Refusal.LIST_OUTDATED
    if host.condition is not interface.Condition.UP:
        return Refusal.HOST_NOT_UP
    return Refusal.TOLD_TO_WAIT if now < retry_at else None


def check_call(
    callback, call_number: int, is_pending: bool, deadline: int, stop_at: Optional[int], now: int
) -> Optional[Refusal]:
    """Returns why a callback of a call in flight may not be written any more, or None (rule 1).

    `callback`: None once it is no longer known. `call_number`, `deadline`: of the call, and when it
    is given up. `is_pending`: the callback has not ended yet.
    """
    if callback is None or not is_pending:
        return Refusal.ENDED
    if callback.call != call_number:
        return Refusal.CALL_IS_OUT
    if now >= deadline:
        return Refusal.TIME_UP
    return Refusal.RELAY_ENDS if stop_at is not None and now >= stop_at else None


def check_start(
    callback, acknowledged: bool, first_of_key: bool, stop_at: Optional[int], now: int
) -> Optional[Refusal]:
    """Returns why no call with a callback may be started now, or None (rules 1 and 5).

    `acknowledged`: its client has been told that it is accepted, and it has not ended yet.
    `first_of_key`: no earlier callback of its key is pending.
    """
    if callback.call is not None:
        return Refusal.CALL_IS_OUT
    if not acknowledged:
        return Refusal.CLIENT_NOT_TOLD
    if now >= callback.deadline:
        return Refusal.TIME_UP
    if not first_of_key:
        return Refusal.KEY_BUSY
    return Refusal.RELAY_ENDS if stop_at is not None and now >= stop_at else None
