"""What the stand-ins and the rig saw in one run, as typed events in the order in which they were seen.

Times are seconds of the monotonic clock from the run's beginning.
"""

import time
from dataclasses import dataclass, field
from typing import Optional


@dataclass(slots=True, frozen=True)
class HandedIn:
    """A client wrote a request, once more if a close crossed it. `span`: seconds from then in which it may be delivered."""

    at: float
    id: str
    effect: str
    span: float


@dataclass(slots=True, frozen=True)
class Answered:
    """A client read the relay's answer."""

    at: float
    id: str
    status: int


@dataclass(slots=True, frozen=True)
class Unanswered:
    """A client's connection ended with no answer. `first`: the request was the first on its connection."""

    at: float
    id: str
    first: bool


@dataclass(slots=True, frozen=True)
class GaveUp:
    """A client waited as long as clients wait for an answer, and closed its connection."""

    at: float
    id: str


@dataclass(slots=True, frozen=True)
class Left:
    """A client closed its connection behind the answer that its request is taken on: the request is withdrawn."""

    at: float
    id: str


@dataclass(slots=True, frozen=True)
class Call:
    """A host read the last byte of a call.

    `first_byte`: when the first one left the relay, at the soonest; `patience`: seconds it was told; `accepted`: when the host's
    system had the connection; `given_up`: the relay had ended its sending before the host read it.
    """

    at: float
    id: str
    host: str
    first_byte: float
    patience: Optional[float]
    accepted: float = 0.0
    given_up: bool = False


@dataclass(slots=True, frozen=True)
class Replied:
    """A host wrote its answer to a call."""

    at: float
    id: str
    host: str
    status: int


@dataclass(slots=True, frozen=True)
class Notice:
    """The platform read the notice that ends a request."""

    at: float
    id: str
    result: str


@dataclass(slots=True, frozen=True)
class Told:
    """Discovery wrote to the relay that a host has this status."""

    at: float
    host: str
    status: str


@dataclass(slots=True, frozen=True)
class Process:
    """Something happened to the relay's process: `started`, `ready`, `crashed`, or a signal's name."""

    at: float
    what: str


@dataclass(slots=True, frozen=True)
class Held:
    """The relay's process was stopped until then, for `span` seconds."""

    at: float
    span: float


@dataclass(slots=True, frozen=True)
class RigLate:
    """The rig itself was late by that much: what it stamped since may have happened as much sooner."""

    at: float
    late: float


@dataclass
class History:
    """Events in the order in which they were seen; `now()` stamps them."""

    started_at: float = field(default_factory=time.monotonic)
    events: list = field(default_factory=list)
    max_pause: float = 0.0  # seconds for which the relay's process is held up at most
    withdrawn_ids: set = field(
        default_factory=set
    )  # ids of requests whose client left behind its answer

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def record(self, event_type, *fields) -> None:
        self.events.append(event_type(self.now(), *fields))

    def insert(self, event) -> None:
        """An event that was seen a moment ago, at its place."""
        at = len(self.events)
        while at and self.events[at - 1].at > event.at:
            at -= 1
        self.events.insert(at, event)

    def of_type(self, *event_types) -> list:
        return [event for event in self.events if isinstance(event, event_types)]

    def for_request(self, request_id: str) -> list:
        """The story of one request."""
        return [event for event in self.events if getattr(event, "id", None) == request_id]
