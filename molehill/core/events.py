"""What the reducer is told and what it asks for. Times are whole nanoseconds of the relay's one clock."""

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Optional

from molehill import interface
from molehill.core.permission import Refusal


@dataclass(slots=True)
class Fresh:
    """A callback as a client hands it in."""

    id: str
    category: int
    tenant: int
    key: Optional[str]
    destination: int
    due: int
    mark: Optional[str]  # the idempotency key, passed on unchanged
    body: bytes

    def contents(self) -> bytes:
        """16 bytes that tell apart what was handed in under one id. Not `due`: it counts from when a copy came."""
        fields = repr((self.category, self.tenant, self.key, self.destination, self.mark)).encode()
        return blake2b(fields + b"\n" + self.body, digest_size=16).digest()


@dataclass(slots=True)
class Host:
    id: str
    address: tuple[str, int]
    zone: int
    kind: int
    destination: int
    condition: interface.Condition
    units: float
    zone_name: str = ""
    kind_name: str = ""


@dataclass(slots=True)
class End:
    """What became of one callback of a call."""

    id: str
    result: interface.Result
    wait: int = 0
    closed: bool = False
    spent: bool = False
    unsent: bool = False  # kept back by this relay: no launch
    why: Optional[Refusal] = None  # why it was not sent, where that is known


# Events


@dataclass(slots=True)
class Begin:  # the log has been read: take up what is owed
    pass


@dataclass(slots=True)
class Arrived:
    client: object  # whom to answer; given back as it came
    fresh: Fresh


@dataclass(slots=True)
class Heard:  # the answer that it is taken on has been written to that client
    id: str
    client: object


@dataclass(slots=True)
class Unheard:  # that client was gone before, or its time for an answer is up
    id: str
    client: object


@dataclass(slots=True)
class Unlogged:  # the log would not take these records
    records: list


@dataclass(slots=True)
class EndUnlogged:  # the time of an ended callback is up, and the log has not taken its end
    id: str


@dataclass(slots=True)
class LogWorks:  # the log takes records again
    pass


@dataclass(slots=True)
class Begun:  # a connection is up, and the call's first byte is about to go
    call: int


@dataclass(slots=True)
class Ended:
    call: int
    took: int
    ends: list[End]
    told_rate: float = 0.0
    told_left: Optional[float] = None
    written_at: Optional[int] = None  # when its last byte went; None: it did not go
    # given up with no byte of an answer: till then the host may read it, unless `HostDone` tells; None: it has read it, or never will
    unread_until: Optional[int] = None


@dataclass(slots=True)
# the host of a call that was given up reads no more of it; `seen`: it has ended the connection or answered, else nobody looks any more
class HostDone:
    call: int
    seen: bool


@dataclass(slots=True)
class Noticed:  # the platform has the notices for these
    ids: list[str]


@dataclass(slots=True)
class Listed:
    scope: interface.ListScope
    hosts: list[Host] = field(default_factory=list)
    version: Optional[int] = (
        None  # of the list that was told; None: not told by discovery or a list of its form
    )
    source: str = ""  # discovery's address


@dataclass(slots=True)
class Step:  # time for the module to look at what has come in
    pass


@dataclass(slots=True)
class Stop:  # the process ends at that time
    at: int


@dataclass(slots=True)
# the next process of this relay is to take over: no call is begun while it is on
class Hold:
    on: bool


@dataclass(slots=True)
# what an earlier process handed over beside the log; before Begin
class Inherited:
    # (number, host, ids, start, until): out, and their ends come to this process
    calls: list
    lost: list[str]  # out in calls that are not among them: they may have run
    waits: dict  # route -> end of a told wait
    learnt: list[dict]  # for the module, as the earlier one told it


@dataclass(slots=True)
class Retuned:  # new settings; `names`: their categories', in order
    settings: interface.Settings
    names: list[str]


# Effects


@dataclass(slots=True)
class Append:
    record: dict
    body: bytes = b""


@dataclass(slots=True)
class Answer:
    client: object
    id: str
    status: int
    wait: int = 0
    why: str = ""  # what it counts as, where the status does not tell


@dataclass(slots=True)
class Member:
    id: str
    mark: Optional[str]
    body: bytes
    until: int  # given up at that time


@dataclass(slots=True)
class Call:
    number: int
    host: str
    address: tuple[str, int]
    bundle: bool  # whether this kind of host takes several callbacks a call
    members: list[Member]


@dataclass(slots=True)
class Abort:  # close a call's connection; nothing more is told of it
    call: int


@dataclass(slots=True)
class Notify:
    id: str
    denied: bool
    wait: int
    not_before: int = 0  # the notice goes no sooner
    due: int = 0  # when its callback's time is up: till then it waits for a log that fails


@dataclass(slots=True)
class NotSent:  # a log line: a callback that was chosen for that host did not go there
    id: str
    host: str
    why: Refusal
    state: str = ""  # of the callback; empty: nothing of it is kept
    left: int = 0  # nanoseconds until its time is up
    launches: int = 0


@dataclass(slots=True)
class Watch:
    pass


@dataclass(slots=True)
class CloseIdle:
    host: str


@dataclass(slots=True)
class Say:  # a log line
    text: str
