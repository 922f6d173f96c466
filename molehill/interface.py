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
class Effect(Enum):
    IDEMPOTENT = "rerunnable"  # may run again
    DEDUPLICATED = "ticketed"  # carries a mark by which a repeat is known for a while
    AT_MOST_ONCE = "exclusive"  # must never run twice


class Result(Enum):  # likewise
    DELIVERED = "fulfilled"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # turned away unseen
    TIMEOUT = "timeout"  # no answer in time; may have run
    NO_CONNECT = "no_connect"  # no connection; never ran
    RESET = "reset"  # connection broke; may have run
    CANCELLED = "cancelled"  # called off; may have run
    NOT_SENT = "not_sent"  # never left the relay

    @property
    def may_run_still(self):
        return self in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)

    @property
    def may_have_run(self):  # though it is not known to have been delivered
        return self is Result.ERROR or self.may_run_still


class Condition(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Scope(Enum):
    UPDATE = "update"  # changed entries only
    WHOLE = "whole"  # the complete list
    RESTORED = "restored"  # the complete list as last held, perhaps old
    FAILED = "failed"  # asking failed or the subscription broke


@dataclass(slots=True)
class Category:
    effect: Effect
    goal: int  # wanted within this span
    abandon: int  # given up after this span
    payoff: float
    # share of the payoff left at the abandon time (or the floor when halving)
    late_share: float
    window: int  # deduplicated: how long a repeat is dropped
    same_zone: bool  # deduplicated: only hosts of the first launch's zone drop repeats
    all_hosts: bool  # deduplicated: every host of the destination drops repeats
    ordered: bool  # callbacks of one key go in turn


@dataclass(slots=True)
class Tenant:
    share: float
    quota: Optional[float]  # callbacks a second over all relays within its share


@dataclass(slots=True)
class Kind:
    apart: bool  # hosts of a destination are separate routes
    per_call: int  # callbacks in one call at most


@dataclass(slots=True)
class Settings:
    categories: list[Category]
    tenants: list[Tenant] = field(default_factory=list)
    kinds: list[Kind] = field(default_factory=list)
    zone_fees: list[float] = field(default_factory=list)
    relays: int = 1
    slots: int = 1  # calls out at once
    max_held: Optional[int] = None
    max_launches: int = 1
    tells_return: bool = False  # clients receive the time to come back
    max_return: int = 0  # the longest such time a client keeps to
    list_on_request: bool = False
    halving: bool = False  # the payoff falls by half a goal time; else evenly to late_share
    over_share_payoff: float = 1.0
    units_are_rates: bool = False
    fall_span: Optional[int] = None
    fall_multiple: Optional[float] = None
    cold_from: Optional[float] = None
    ramp_time: Optional[int] = None
    connection_idle: int = 0  # an idle connection is closed after this span
    tells_limit: bool = False  # answers tell a host's limit in calls a second where it has one
    settle: int = 0  # rest of a key after a launch that may still run


@dataclass(slots=True)
class HostEntry:
    host: Id
    zone: int
    kind: int
    destination: int
    condition: Condition
    units: float
    # an earlier process of this relay saw it fail, and not long enough well since
    away: bool = False


@dataclass(slots=True)
class ListNews:
    scope: Scope
    entries: list[HostEntry]


@dataclass(slots=True)
# a call that an earlier process of this relay wrote; its outcomes come to this one
class Underway:
    number: int
    host: Id
    sent: int
    time_out: int


@dataclass(slots=True)
class NewCallback:
    callback: Id
    category: int
    tenant: int
    key: Optional[str]
    abandon_at: int
    destination: int
    launches: int = 0  # from here on: what an earlier process of this relay did with it
    ran_at: Optional[int] = None  # when the first launch that may have run was sent
    ran_zone: Optional[int] = None  # where that was
    rests_until: int = 0  # until when its key rests
    under: Optional[Underway] = None  # its last launch is out in that call
    taken: bool = False  # an earlier process or module had taken it on


@dataclass(slots=True)
class Outcome:
    callback: Id
    launch: int
    host: Id
    result: Result
    took: int
    wait: int  # told wait, 0 for none
    closed: bool
    # the limit that the answer tells, calls a second from all relays; 0: none
    told_rate: float = 0.0
    spent: bool = False  # the host says that it has had all its launches
    unsent: bool = False  # the relay itself kept it back: it counts as no launch
    # share of that limit that is left, as the answer tells; None: not told
    told_left: Optional[float] = None


@dataclass(slots=True)
class Timer:
    token: str


@dataclass(slots=True)
class Withdrawn:
    callback: Id


@dataclass(slots=True)
# the relay ends at that time; what it holds is taken up again after its restart
class Stopping:
    at: int


@dataclass(slots=True)
class Learnt:  # what an earlier process's module told by `learnt`
    rows: list[dict]


@dataclass(slots=True)
# in place of those before; what is held keeps its category as it came
class NewSettings:
    settings: Settings


# Actions


@dataclass(slots=True)
class Launch:
    callback: Id
    host: Id
    time_out: int


@dataclass(slots=True)
class Reject:
    callback: Id
    come_back: int  # 0 for no guidance


@dataclass(slots=True)
class Fail:
    callback: Id


@dataclass(slots=True)
class Wake:
    span: int
    token: str


@dataclass(slots=True)
class CloseIdle:  # closes this relay's idle connections to the host
    host: Id


@dataclass(slots=True)
class FollowList:
    pass


@dataclass(slots=True)
class Health:  # a host is closed for its failures (away), or answers again
    host: Id
    away: bool
    text: str
