"""Defines the events that the reducer is handed and the effects that it returns.

Times are whole nanoseconds of the relay's clock.
"""

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Optional, Sequence

from molehill import interface
from molehill.core.list_lease import ListOutcome
from molehill.core.permission import Refusal


@dataclass(slots=True)
class Submission:
    """A callback as a client submits it."""

    id: str
    callback_class: int
    tenant: int
    key: Optional[str]
    destination: int
    deadline: int
    idempotency_key: Optional[str]  # passed on unchanged
    body: bytes

    def digest(self) -> bytes:
        """Returns 16 bytes that tell apart submissions under the same id.

        `deadline` is left out, as it counts from the arrival of each copy.
        """
        fields = repr(
            (self.callback_class, self.tenant, self.key, self.destination, self.idempotency_key)
        ).encode()
        return blake2b(fields + b"\n" + self.body, digest_size=16).digest()


@dataclass(slots=True)
class Host:
    """A host of the list, as discovery describes it."""

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
    """The outcome of one callback of a call; `retry_after` in nanoseconds."""

    id: str
    result: interface.Result
    retry_after: int = 0
    completed: bool = False
    attempts_exhausted: bool = False
    unsent: bool = False  # kept back by this relay: it counts as no attempt
    reason: Optional[Refusal] = None  # why it was not sent, where that is known


# Events


@dataclass(slots=True)
class Startup:
    """The log has been read: the core resumes everything pending."""


@dataclass(slots=True)
class Submitted:
    """A client has submitted a callback."""

    client: object  # whom to answer; returned unchanged in the answer
    submission: Submission


@dataclass(slots=True)
class AnswerWritten:
    """The answer 202, which accepts the callback, has been written to that client."""

    id: str
    client: object


@dataclass(slots=True)
class AnswerNotWritten:
    """That client disconnected before its answer was written, or waited too long for it."""

    id: str
    client: object


@dataclass(slots=True)
class AppendFailed:
    """The log did not take these records."""

    records: list


@dataclass(slots=True)
class EndNotLogged:
    """The deadline of an ended callback has passed, and the log has not taken its end."""

    id: str


@dataclass(slots=True)
class LogWritable:
    """The log takes records again."""


@dataclass(slots=True)
class CallConnected:
    """A call's connection is up, and its first byte is about to be sent."""

    call: int


@dataclass(slots=True)
class CallEnded:
    """A call has ended, for all or some of its callbacks."""

    call: int
    duration: int
    outcomes: list[AttemptOutcome]
    advertised_rate: float = 0.0
    advertised_left: Optional[float] = None
    written_at: Optional[int] = None  # when its last byte was sent; None: it was not sent
    # Given up without a byte of an answer: until this time the host may read the call, unless a
    # `HostFinishedReading` comes first. None: the host has read it, or never will.
    unread_until: Optional[int] = None


@dataclass(slots=True)
class ConnectionRefused:
    """Nobody listens at this address any more, which the list of hosts still has."""

    address: tuple[str, int]


@dataclass(slots=True)
class HostListConfirmed:
    """Discovery has answered: all hosts that are listed now are so at their addresses."""


@dataclass(slots=True)
class HostFinishedReading:
    """The host of a call that was given up reads no more of it, as far as the relay can tell.

    `confirmed`: it has ended the connection or answered; otherwise the connection isn't watched any
    more.
    """

    call: int
    confirmed: bool


@dataclass(slots=True)
class NoticesDelivered:
    """The platform has received the final notices of these callbacks."""

    ids: list[str]


@dataclass(slots=True)
class ListRequestSent:
    """Discovery was asked for the list; it may hold the request for `hold` until there is news."""

    hold: int


@dataclass(slots=True)
class ListRequestEnded:
    """A request for the list has ended; an answer has been applied by then.

    `began_at`: when the first bytes of an answer came that has not been read whole; `held_for`: how
    long a request that discovery may hold was out, 0 for others.
    """

    outcome: ListOutcome
    began_at: Optional[int] = None
    held_for: int = 0


@dataclass(slots=True)
class DiscoveryMoved:
    """The configuration names another address of discovery."""


@dataclass(slots=True)
class HostListReceived:
    """A list of hosts, or a part of one, has been received or restored, or could not be fetched."""

    scope: interface.ListScope
    hosts: list[Host] = field(default_factory=list)
    # version of the received list; None: it is not from discovery or a list in discovery's form
    version: Optional[int] = None
    source: str = ""  # discovery's address
    # of the file's list that was read before (`digest_file_list` of molehill/core/host_list.py);
    # None: it is not known
    file_digest: Optional[str] = None
    # names of entries that could not be read: these hosts may be about to leave
    unreadable: Sequence[str] = ()


@dataclass(slots=True)
class Step:
    """The decision module is to process the events that arrived since the last step."""


@dataclass(slots=True)
class Stop:
    """The process will end at the time `at`."""

    at: int


@dataclass(slots=True)
class PauseCalls:
    """No call is started while `paused`, as the next process of this relay is to take over."""

    paused: bool


@dataclass(slots=True)
class HandoverReceived:
    """State that an earlier process handed over besides the log; comes before `Startup`."""

    # (number, host, ids, start, deadline) of calls in flight, whose outcomes this process gets
    calls: list
    lost_ids: list[str]  # in flight in calls that are not among `calls`: they may have run
    retry_times: dict  # route -> end of a host's Retry-After
    learned_state: list[dict]  # of the earlier process's decision module


@dataclass(slots=True)
class SettingsChanged:
    """New settings have been loaded; `class_names`: the names of their classes, in order."""

    settings: interface.Settings
    class_names: list[str]


# Effects


@dataclass(slots=True)
class Append:
    """Append a record, and the body that belongs to it, to the log."""

    record: dict
    body: bytes = b""


@dataclass(slots=True)
class Answer:
    """Answer a client with an HTTP status; `retry_after` in nanoseconds."""

    client: object
    id: str
    status: int
    retry_after: int = 0
    reason: str = ""  # why the client gets this status, where the status alone does not say it


@dataclass(slots=True)
class OutgoingCallback:
    """A callback as it is sent in a call."""

    id: str
    idempotency_key: Optional[str]
    body: bytes
    deadline: int  # when this attempt is given up


@dataclass(slots=True)
class Call:
    """Start a call to a host, with one or several callbacks."""

    number: int
    host: str
    address: tuple[str, int]
    is_bundle: bool  # whether this kind of host takes several callbacks in one call
    callbacks: list[OutgoingCallback]


@dataclass(slots=True)
class Abort:
    """Close a call's connection; no further event of the call is expected."""

    call: int


@dataclass(slots=True)
class Notify:
    """Send the platform the final notice of a callback; `retry_after` in nanoseconds."""

    id: str
    rejected: bool
    retry_after: int
    not_before: int = 0  # earliest time of the notice
    deadline: int = 0  # of the callback: until then the notice waits for a failing log


@dataclass(slots=True)
class NotSent:
    """Write a log line: a callback that was chosen for that host was not sent there."""

    id: str
    host: str
    reason: Refusal
    state: str = ""  # of the callback; empty: it is not known any more
    time_left: int = 0  # nanoseconds until its deadline
    attempts: int = 0


@dataclass(slots=True)
class WatchHostList:
    """Ask discovery for the list of hosts."""


@dataclass(slots=True)
class ConfirmHostList:
    """Ask discovery soon for the present list, without waiting for a change.

    `refused_address`: the address that has refused a connection, if it is a new one.
    """

    refused_address: Optional[tuple[str, int]] = None


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a host."""

    host: str


@dataclass(slots=True)
class LogMessage:
    """Write a log line."""

    text: str
