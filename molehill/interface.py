"""Types that pass between the decision module and its carrier (the simulator or a real relay).

The carrier hands events and settings to the module and gets actions back. All times and spans are
integers in nanoseconds of one monotonic clock; ids are returned as they were received. Nothing here
makes a decision: an absent setting is None, and the module interprets it.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Optional, Union

# Callbacks and hosts have the carrier's ids: integers in the simulator's protocol, text on sockets.
Id = Union[int, str]


class DeliverySemantics(Enum):
    """What a class of callbacks allows after an attempt that may have run.

    The values are those of the log on disk, which older versions wrote.
    """

    IDEMPOTENT = "rerunnable"  # may run again
    DEDUPLICATED = "ticketed"  # carries a token by which hosts recognize a repeat for a while
    AT_MOST_ONCE = "exclusive"  # must never run twice


class Result(Enum):
    """How one attempt of a callback ended.

    The values are those of the log on disk, which older versions wrote.
    """

    DELIVERED = "fulfilled"
    ERROR = "error"  # answered with an error; may have run
    REFUSED = "full"  # rejected by the host without processing
    TIMEOUT = "timeout"  # no answer in time; may have run
    NO_CONNECT = "no_connect"  # no connection; never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # cancelled by the relay; may have run
    NOT_SENT = "not_sent"  # never left the relay

    @property
    def may_still_run(self):
        """Whether the host may still execute the callback after this result."""
        return self in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)

    @property
    def may_have_run(self):
        """Whether the host may have executed it, though it is not known to have been delivered."""
        return self is Result.ERROR or self.may_still_run


class Condition(Enum):
    """The state of a host as listed by discovery."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What a host list update covers."""

    UPDATE = "update"  # changed entries only
    WHOLE = "whole"  # the complete list
    RESTORED = "restored"  # the complete list as last stored, possibly outdated
    FAILED = "failed"  # the request failed or the subscription broke


@dataclass(slots=True)
class CallbackClass:
    """Settings of one class of callbacks."""

    semantics: DeliverySemantics
    target_latency: int  # delivery is wanted within this span
    time_limit: int  # delivery is given up after this span
    value: float
    # share of the value that is left at the deadline (or its floor when the value halves)
    late_value_share: float
    deduplication_window: int  # deduplicated: how long hosts drop a repeat
    deduplicated_in_zone: bool  # deduplicated: only hosts of the first attempt's zone drop repeats
    deduplicated_everywhere: bool  # deduplicated: every host of the destination drops repeats
    ordered: bool  # callbacks of one key are delivered in order


@dataclass(slots=True)
class Tenant:
    """Settings of one tenant."""

    share: float
    quota: Optional[float]  # callbacks a second within its share, over all relays


@dataclass(slots=True)
class HostKind:
    """Settings of one kind of host."""

    separate_routes: bool  # each host has its own limiter; else those of a destination share one
    callbacks_per_call: int  # at most, in one call


@dataclass(slots=True)
class Settings:
    """Settings of the decision module; None: not set."""

    callback_classes: list[CallbackClass]
    tenants: list[Tenant] = field(default_factory=list)
    kinds: list[HostKind] = field(default_factory=list)
    zone_fees: list[float] = field(default_factory=list)
    relay_count: int = 1
    max_calls: int = 1  # in flight at once
    max_pending: Optional[int] = None
    max_attempts: int = 1
    sends_retry_after: bool = False  # rejections carry a Retry-After
    max_retry_after: int = 0  # the longest Retry-After that clients follow
    list_on_request: bool = False  # the host list has to be requested
    # past its target, the value halves every target_latency; else it falls linearly to
    # late_value_share
    value_halves: bool = False
    over_quota_value_factor: float = 1.0
    weights_are_rates: bool = False
    overload_span: Optional[int] = None
    overload_multiple: Optional[float] = None
    cold_capacity_share: Optional[float] = None
    slow_start_time: Optional[int] = None
    connection_idle: int = 0  # an idle connection is closed after this span
    # a host that has a limit advertises it in its answers, in calls a second
    limits_are_advertised: bool = False
    drain_grace: int = 0  # for how long a draining host may get calls after its drain is known
    key_cooldown: int = 0  # no attempt for a key for this span after one that may still run


@dataclass(slots=True)
class HostEntry:
    """One host of the host list."""

    host: Id
    zone: int
    kind: int
    destination: int
    condition: Condition
    weight: float
    # an earlier process of this relay saw it fail, and it was not healthy long enough since
    ejected: bool = False


@dataclass(slots=True)
class HostListUpdate:
    """Event: discovery sent host entries, or could not be reached."""

    scope: ListScope
    entries: list[HostEntry]


@dataclass(slots=True)
class HandedOverCall:
    """A call that an earlier process of this relay sent; this process receives its outcomes."""

    number: int
    host: Id
    sent_at: int
    timeout: int


@dataclass(slots=True)
class NewCallback:
    """Event: a callback arrived, or an earlier process or module had accepted it.

    The fields from `attempts` on say what an earlier process of this relay did with it.
    """

    callback: Id
    callback_class: int
    tenant: int
    key: Optional[str]
    deadline: int
    destination: int
    attempts: int = 0
    may_have_run_at: Optional[int] = None  # when the first attempt that may have run was sent
    may_have_run_zone: Optional[int] = None  # the zone of that attempt's host
    key_cooldown_until: int = 0  # end of its key's cooldown
    handed_over_call: Optional[HandedOverCall] = None  # the call with its last attempt, in flight
    already_accepted: bool = False  # an earlier process or module had accepted it


@dataclass(slots=True)
class Outcome:
    """Event: an attempt of a callback ended."""

    callback: Id
    attempt_number: int
    host: Id
    result: Result
    duration: int
    retry_after: int  # the host's Retry-After; 0: none
    completed: bool
    # limit in the answer, in calls a second from all relays together; 0: none
    advertised_rate: float = 0.0
    attempts_exhausted: bool = False  # the host says that the callback has had all its attempts
    unsent: bool = False  # the relay itself held it back: it does not count as an attempt
    # remaining share of that limit, as advertised in the answer; None: not advertised
    advertised_share_left: Optional[float] = None


@dataclass(slots=True)
class TimerExpired:
    """Event: the timer of an earlier `SetTimer` expired."""

    token: str


@dataclass(slots=True)
class CallbackWithdrawn:
    """Event: the carrier has completed the callback; nothing more is to be done for it."""

    callback: Id


@dataclass(slots=True)
class RelayStopping:
    """Event: the relay stops at the given time; pending callbacks are resumed after its restart."""

    stops_at: int


@dataclass(slots=True)
class LearnedState:
    """Event: the rows that an earlier process's module returned from `learned_state`."""

    rows: list[dict]


@dataclass(slots=True)
class NewSettings:
    """Event: new settings replace the old; pending callbacks keep the class settings they had."""

    settings: Settings


# Actions


@dataclass(slots=True)
class StartAttempt:
    """Action: send the callback to the host; `timeout` limits the attempt."""

    callback: Id
    host: Id
    timeout: int


@dataclass(slots=True)
class Reject:
    """Action: answer the callback with a rejection; its client may send it again."""

    callback: Id
    retry_after: int  # 0: none


@dataclass(slots=True)
class Fail:
    """Action: report the callback as failed."""

    callback: Id


@dataclass(slots=True)
class SetTimer:
    """Action: deliver `TimerExpired` with this token after the delay."""

    delay: int
    token: str


@dataclass(slots=True)
class CloseIdle:
    """Action: close this relay's idle connections to the host."""

    host: Id


@dataclass(slots=True)
class WatchHostList:
    """Action: subscribe to the host list, or request it again."""


@dataclass(slots=True)
class ReportHealth:
    """Action: report that a host was ejected for its failures, or that it answers again."""

    host: Id
    ejected: bool
    text: str


@dataclass(slots=True)
class LogMessage:
    """Action: write a line to the relay's log."""

    text: str
