"""Types that pass between the decision module and whatever carries callbacks (bench or real relay).

All times are whole nanoseconds of one clock that only advances; ids are given back as they came.
Nothing here decides: an absent setting is left as None and read by the module.
"""

# Ids of callbacks and hosts are whatever the carrier has: numbers on the bench's wire, text on sockets.
from dataclasses import dataclass, field
from enum import Enum
from typing import Optional, Union

Id = Union[int, str]


# the values are those of the log on the disk, which older programs wrote
class DeliverySemantics(Enum):
    IDEMPOTENT = "rerunnable"  # may run again
    DEDUPLICATED = "ticketed"  # carries a mark by which a repeat is known for a while
    AT_MOST_ONCE = "exclusive"  # must never run twice


class Result(Enum):  # likewise
    DELIVERED = "fulfilled"
    ERROR = "error"  # answered with an error; may have run
    REFUSED = "full"  # turned away unseen
    TIMEOUT = "timeout"  # no answer in time; may have run
    NO_CONNECT = "no_connect"  # no connection; never ran
    RESET = "reset"  # connection broke; may have run
    CANCELLED = "cancelled"  # called off; may have run
    NOT_SENT = "not_sent"  # never left the relay

    @property
    def may_still_run(self):
        return self in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)

    @property
    def may_have_run(self):  # though it is not known to have been delivered
        return self is Result.ERROR or self.may_still_run


class Condition(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    UPDATE = "update"  # changed entries only
    WHOLE = "whole"  # the complete list
    RESTORED = "restored"  # the complete list as last held, perhaps old
    FAILED = "failed"  # asking failed or the subscription broke


@dataclass(slots=True)
class CallbackClass:
    semantics: DeliverySemantics
    target_latency: int  # wanted within this span
    time_limit: int  # given up after this span
    value: float
    # share of the payoff left at the abandon time (or the floor when halving)
    late_value_share: float
    deduplication_window: int  # deduplicated: how long a repeat is dropped
    deduplicated_in_zone: bool  # deduplicated: only hosts of the first launch's zone drop repeats
    deduplicated_everywhere: bool  # deduplicated: every host of the destination drops repeats
    ordered: bool  # callbacks of one key go in turn


@dataclass(slots=True)
class Tenant:
    share: float
    quota: Optional[float]  # callbacks a second over all relays within its share


@dataclass(slots=True)
class HostKind:
    separate_routes: bool  # hosts of a destination are separate routes
    callbacks_per_call: int  # callbacks in one call at most


@dataclass(slots=True)
class Settings:
    callback_classes: list[CallbackClass]
    tenants: list[Tenant] = field(default_factory=list)
    kinds: list[HostKind] = field(default_factory=list)
    zone_fees: list[float] = field(default_factory=list)
    relay_count: int = 1
    max_calls: int = 1  # calls out at once
    max_pending: Optional[int] = None
    max_attempts: int = 1
    sends_retry_after: bool = False  # clients receive the time to come back
    max_retry_after: int = 0  # the longest such time a client keeps to
    list_on_request: bool = False
    value_halves: bool = (
        False  # the payoff falls by half a goal time; else evenly to late_value_share
    )
    over_quota_value_factor: float = 1.0
    weights_are_rates: bool = False
    overload_span: Optional[int] = None
    overload_multiple: Optional[float] = None
    cold_capacity_share: Optional[float] = None
    slow_start_time: Optional[int] = None
    connection_idle: int = 0  # an idle connection is closed after this span
    limits_are_advertised: bool = (
        False  # answers tell a host's limit in calls a second where it has one
    )
    key_cooldown: int = 0  # rest of a key after a launch that may still run


@dataclass(slots=True)
class HostEntry:
    host: Id
    zone: int
    kind: int
    destination: int
    condition: Condition
    weight: float
    # an earlier process of this relay saw it fail, and not long enough well since
    ejected: bool = False


@dataclass(slots=True)
class HostListUpdate:
    scope: ListScope
    entries: list[HostEntry]


@dataclass(slots=True)
# a call that an earlier process of this relay wrote; its outcomes come to this one
class HandedOverCall:
    number: int
    host: Id
    sent_at: int
    timeout: int


@dataclass(slots=True)
class NewCallback:
    callback: Id
    callback_class: int
    tenant: int
    key: Optional[str]
    deadline: int
    destination: int
    attempts: int = 0  # from here on: what an earlier process of this relay did with it
    may_have_run_at: Optional[int] = None  # when the first launch that may have run was sent
    may_have_run_zone: Optional[int] = None  # where that was
    key_cooldown_until: int = 0  # until when its key rests
    handed_over_call: Optional[HandedOverCall] = None  # its last launch is out in that call
    already_accepted: bool = False  # an earlier process or module had taken it on


@dataclass(slots=True)
class Outcome:
    callback: Id
    attempt_number: int
    host: Id
    result: Result
    duration: int
    retry_after: int  # told wait, 0 for none
    completed: bool
    # the limit that the answer tells, calls a second from all relays; 0: none
    advertised_rate: float = 0.0
    attempts_exhausted: bool = False  # the host says that it has had all its launches
    unsent: bool = False  # the relay itself kept it back: it counts as no launch
    # share of that limit that is left, as the answer tells; None: not told
    advertised_share_left: Optional[float] = None


@dataclass(slots=True)
class TimerExpired:
    token: str


@dataclass(slots=True)
class CallbackWithdrawn:
    callback: Id


@dataclass(slots=True)
# the relay ends at that time; what it holds is taken up again after its restart
class RelayStopping:
    stops_at: int


@dataclass(slots=True)
class LearnedState:  # what an earlier process's module told by `learned_state`
    rows: list[dict]


@dataclass(slots=True)
# in place of those before; what is held keeps its category as it came
class NewSettings:
    settings: Settings


# Actions


@dataclass(slots=True)
class StartAttempt:
    callback: Id
    host: Id
    timeout: int


@dataclass(slots=True)
class Reject:
    callback: Id
    retry_after: int  # 0 for no guidance


@dataclass(slots=True)
class Fail:
    callback: Id


@dataclass(slots=True)
class SetTimer:
    delay: int
    token: str


@dataclass(slots=True)
class CloseIdle:  # closes this relay's idle connections to the host
    host: Id


@dataclass(slots=True)
class WatchHostList:
    pass


@dataclass(slots=True)
class ReportHealth:  # a host is closed for its failures (away), or answers again
    host: Id
    ejected: bool
    text: str
