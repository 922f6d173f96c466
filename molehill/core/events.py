"""What the reducer is told and what it asks for. Times are whole nanoseconds of the relay's one clock."""

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Optional

from molehill import interface
from molehill.core.permission import Refusal


@dataclass(slots=True)
class Submission:
    """A callback as a client hands it in."""

    id: str
    callback_class: int
    tenant: int
    key: Optional[str]
    destination: int
    deadline: int
    idempotency_key: Optional[str]  # the idempotency key, passed on unchanged
    body: bytes

    def digest(self) -> bytes:
        """16 bytes that tell apart what was handed in under one id. Not `deadline`: it counts from when a copy came."""
        fields = repr(
            (self.callback_class, self.tenant, self.key, self.destination, self.idempotency_key)
        ).encode()
        return blake2b(fields + b"\n" + self.body, digest_size=16).digest()


@dataclass(slots=True)
class Host:
    id: str
    address: tuple[str, int]
    zone: int
    kind: int
    destination: int
    condition: interface.Condition
    weight: float
    zone_name: str = ""
    kind_name: str = ""


@dataclass(slots=True)
class AttemptOutcome:
    """What became of one callback of a call."""

    id: str
    result: interface.Result
    retry_after: int = 0
    completed: bool = False
    attempts_exhausted: bool = False
    unsent: bool = False  # kept back by this relay: no launch
    reason: Optional[Refusal] = None  # why it was not sent, where that is known


# Events


@dataclass(slots=True)
class Startup:  # the log has been read: take up what is owed
    pass


@dataclass(slots=True)
class Submitted:
    client: object  # whom to answer; given back as it came
    submission: Submission


@dataclass(slots=True)
class AnswerWritten:  # the answer that it is taken on has been written to that client
    id: str
    client: object


@dataclass(slots=True)
class AnswerNotWritten:  # that client was gone before, or its time for an answer is up
    id: str
    client: object


@dataclass(slots=True)
class AppendFailed:  # the log would not take these records
    records: list


@dataclass(slots=True)
class EndNotLogged:  # the time of an ended callback is up, and the log has not taken its end
    id: str


@dataclass(slots=True)
class LogWritable:  # the log takes records again
    pass


@dataclass(slots=True)
class CallConnected:  # a connection is up, and the call's first byte is about to go
    call: int


@dataclass(slots=True)
class CallEnded:
    call: int
    duration: int
    outcomes: list[AttemptOutcome]
    advertised_rate: float = 0.0
    advertised_left: Optional[float] = None
    written_at: Optional[int] = None  # when its last byte went; None: it did not go
    # given up with no byte of an answer: till then the host may read it, unless `HostFinishedReading` tells; None: it has read it, or never will
    unread_until: Optional[int] = None


@dataclass(slots=True)
# the host of a call that was given up reads no more of it; `confirmed`: it has ended the connection or answered, else nobody looks any more
class HostFinishedReading:
    call: int
    confirmed: bool


@dataclass(slots=True)
class NoticesDelivered:  # the platform has the notices for these
    ids: list[str]


@dataclass(slots=True)
class HostListReceived:
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
class PauseCalls:
    paused: bool


@dataclass(slots=True)
# what an earlier process handed over beside the log; before Begin
class HandoverReceived:
    # (number, host, ids, start, until): out, and their ends come to this process
    calls: list
    lost_ids: list[str]  # out in calls that are not among them: they may have run
    retry_times: dict  # route -> end of a told wait
    learned_state: list[dict]  # for the module, as the earlier one told it


@dataclass(slots=True)
class SettingsChanged:  # new settings; `class_names`: their categories', in order
    settings: interface.Settings
    class_names: list[str]


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
    retry_after: int = 0
    reason: str = ""  # what it counts as, where the status does not tell


@dataclass(slots=True)
class OutgoingCallback:
    id: str
    idempotency_key: Optional[str]
    body: bytes
    deadline: int  # given up at that time


@dataclass(slots=True)
class Call:
    number: int
    host: str
    address: tuple[str, int]
    is_bundle: bool  # whether this kind of host takes several callbacks a call
    callbacks: list[OutgoingCallback]


@dataclass(slots=True)
class Abort:  # close a call's connection; nothing more is told of it
    call: int


@dataclass(slots=True)
class Notify:
    id: str
    rejected: bool
    retry_after: int
    not_before: int = 0  # the notice goes no sooner
    deadline: int = 0  # when its callback's time is up: till then it waits for a log that fails


@dataclass(slots=True)
class NotSent:  # a log line: a callback that was chosen for that host did not go there
    id: str
    host: str
    reason: Refusal
    state: str = ""  # of the callback; empty: nothing of it is kept
    time_left: int = 0  # nanoseconds until its time is up
    attempts: int = 0


@dataclass(slots=True)
class WatchHostList:
    pass


@dataclass(slots=True)
class CloseIdle:
    host: str


@dataclass(slots=True)
class LogMessage:  # a log line
    text: str
