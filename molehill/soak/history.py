"""Records what the stand-ins and the rig observe in one run, as typed events.

Events are in order of observation; their times are seconds of the monotonic clock since the run
started. The names of the classes and of their fields appear in `history.txt`, which a run with
findings leaves behind.
"""

import time
from dataclasses import dataclass, field
from typing import Optional


@dataclass(slots=True, frozen=True)
class Message:
    """What reaches a host unchanged: where a request has to go, its idempotency key, its body."""

    destination: int
    idempotency_key: str
    body: bytes


@dataclass(slots=True, frozen=True)
class HandedIn:
    """A client wrote a request, or wrote it again because the connection was closed meanwhile.

    `span`: seconds from `at` within which the request may be delivered; `key`: requests of one key
    are delivered in order, empty if the request has none; `message`: what a host is to be sent, or
    None where a test leaves it out.
    """

    at: float
    id: str
    effect: str
    span: float
    key: str = ""
    message: Optional[Message] = None


@dataclass(slots=True, frozen=True)
class Answered:
    """A client read the relay's answer."""

    at: float
    id: str
    status: int


@dataclass(slots=True, frozen=True)
class Unanswered:
    """A client's connection ended without an answer.

    `first`: the request was the first one on its connection.
    """

    at: float
    id: str
    first: bool


@dataclass(slots=True, frozen=True)
class GaveUp:
    """A client's timeout for the answer expired, and the client closed its connection."""

    at: float
    id: str


@dataclass(slots=True, frozen=True)
class Left:
    """A client closed its connection after its request was accepted, and so withdrew it."""

    at: float
    id: str


@dataclass(slots=True, frozen=True)
class Call:
    """A host read the last byte of a call.

    `first_byte`: the earliest time at which the call's first byte may have left the relay;
    `patience`: seconds left for the request according to the call, if it stated them;
    `accepted`: when the host's operating system accepted the connection;
    `given_up`: the relay had closed its side of the connection before the host read the call;
    `message`: what the call holds, with the host's own destination.
    """

    at: float
    id: str
    host: str
    first_byte: float
    patience: Optional[float]
    accepted: float = 0.0
    given_up: bool = False
    message: Optional[Message] = None


@dataclass(slots=True, frozen=True)
class Malformed:
    """A host read a call that is none: its head, form or length is wrong."""

    at: float
    host: str
    text: str


@dataclass(slots=True, frozen=True)
class OverLimit:
    """The relay's process held more of a resource than its configuration allows."""

    at: float
    resource: str
    used: int
    limit: int


@dataclass(slots=True, frozen=True)
class Replied:
    """A host wrote its answer to a call."""

    at: float
    id: str
    host: str
    status: int


@dataclass(slots=True, frozen=True)
class Copied:
    """A host wrote its answer to a call once more, whole or the first part of it."""

    at: float
    id: str
    host: str
    status: int


@dataclass(slots=True, frozen=True)
class Notice:
    """The platform read the final notice of a request."""

    at: float
    id: str
    result: str


@dataclass(slots=True, frozen=True)
class Told:
    """Discovery sent the relay this status of a host."""

    at: float
    host: str
    status: str


@dataclass(slots=True, frozen=True)
class Changed:
    """Discovery has this new status of a host to tell."""

    at: float
    host: str
    status: str


@dataclass(slots=True, frozen=True)
class ListRequested:
    """Discovery read a request for the list; it may wait for news for `hold` seconds."""

    at: float
    number: int
    hold: float


@dataclass(slots=True, frozen=True)
class ListAnswered:
    """Discovery began its answer to a request for the list, or refused it."""

    at: float
    number: int


@dataclass(slots=True, frozen=True)
class ListDropped:
    """The relay gave a request for the list up, or a crowded discovery turned it away."""

    at: float
    number: int


@dataclass(slots=True, frozen=True)
class ListStalled:
    """Discovery began to send the relay this status of a host, and fell silent in the middle."""

    at: float
    host: str
    status: str


OUTAGE_START, OUTAGE_END = "discovery down", "discovery up"  # texts of `Process` events
DISCOVERY_MOVED = "discovery moved"  # with the SIGHUP that follows


@dataclass(slots=True, frozen=True)
class Process:
    """Something happened to the relay's process, to its machine or to discovery.

    `what`: `started`, `ready`, `crashed: CODE`, the name of a signal that was sent, one of the
    texts above, or the start or end of a fault of the machine (`shim_start_text`,
    `shim_end_text`).
    """

    at: float
    what: str


def shim_start_text(kind: str) -> str:
    """Returns the text of the `Process` event at the start of a shim (molehill/soak/plan.py)."""
    return f"{kind} fails"


def shim_end_text(kind: str) -> str:
    """Returns the text of the `Process` event at the end of a shim."""
    return f"{kind} works"


@dataclass(slots=True, frozen=True)
class Held:
    """The relay's process was stopped for `span` seconds, and continued at `at`."""

    at: float
    span: float


@dataclass(slots=True, frozen=True)
class RigLate:
    """The rig's own event loop was `late` seconds late.

    Events recorded in that time may have happened up to `late` seconds before their timestamp.
    """

    at: float
    late: float


@dataclass(slots=True, frozen=True)
class Starved:
    """The relay's process could run, but got no processor core for `late` seconds until `at`."""

    at: float
    late: float


@dataclass
class History:
    """Holds the events of one run in order of observation; `now()` gives their timestamps."""

    started_at: float = field(default_factory=time.monotonic)
    events: list = field(default_factory=list)
    max_pause: float = 0.0  # longest time in seconds for which the rig stops the process
    # more clients are connected than the relay has descriptors for, so that new ones have to wait
    is_crowded: bool = False
    list_request_count: int = 0
    # ids of requests whose client closed its connection after the answer
    withdrawn_ids: set = field(default_factory=set)

    def now(self) -> float:
        """Returns the seconds since the run started."""
        return time.monotonic() - self.started_at

    def record(self, event_type, *fields) -> None:
        """Appends an event of that type with the current time and these fields."""
        self.events.append(event_type(self.now(), *fields))

    def record_list_request(self, hold: float) -> int:
        """Appends a `ListRequested` and returns its number."""
        self.list_request_count += 1
        self.record(ListRequested, self.list_request_count, hold)
        return self.list_request_count

    def insert(self, event) -> None:
        """Inserts an event that was observed earlier at its place in the order of time."""
        at = len(self.events)
        while at and self.events[at - 1].at > event.at:
            at -= 1
        self.events.insert(at, event)

    def of_type(self, *event_types) -> list:
        """Returns the events of these types, in order."""
        return [event for event in self.events if isinstance(event, event_types)]

    def for_request(self, request_id: str) -> list:
        """Returns the events of one request, in order."""
        return [event for event in self.events if getattr(event, "id", None) == request_id]
