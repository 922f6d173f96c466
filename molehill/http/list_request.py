"""One request to discovery for the host list, from its start to its outcome, and its log lines."""

from dataclasses import dataclass, field
from typing import Any, Optional

from molehill.config import MS
from molehill.core import events as ev
from molehill.core.list_lease import ListOutcome

# Of a watch that asks for present changes only, as discovery has not answered the request before.
MIN_WATCH_HOLD = MS


@dataclass(slots=True)
class ListRequest:
    """A request for the host list; times are nanoseconds of the relay's clock.

    `number`: of the requests of this process; `source`: discovery's address; `version`: changes
    since then are requested, None: the whole list; `hold`: how long discovery may wait for news;
    `started_at`: when its connection was taken or begun; `sent_at`: when it was written, None: not
    yet.
    """

    number: int
    source: str
    version: Optional[int]
    hold: int
    started_at: int
    sent_at: Optional[int] = None

    def is_held(self) -> bool:
        """Returns whether discovery holds it until there is news, if there is none yet."""
        return self.hold > MIN_WATCH_HOLD

    def held_for(self, now: int) -> int:
        """Returns for how long it has been out, if discovery holds it until there is news."""
        return now - self.sent_at if self.sent_at is not None and self.is_held() else 0


@dataclass(slots=True)
class ListRequestEnded:
    """The end of a request: its outcome, the reason in words, and what an answer held."""

    request: ListRequest
    outcome: ListOutcome
    ended_at: int
    reason: str = ""
    version: Optional[int] = None
    hosts: list[ev.Host] = field(default_factory=list)


MAX_LOGGED_HOSTS = 50  # of an answer


class ListRequestLog:
    """Writes a log line when a request is sent, and one when it has ended."""

    def __init__(self, log: Any):
        """`log`: a structlog logger."""
        self.log = log

    def sent(self, request: ListRequest) -> None:
        """Logs a request that was written to its connection."""
        self.log.debug(
            "list requested",
            number=request.number,
            source=request.source,
            since_version=request.version,
            hold_ms=request.hold // MS,
        )

    def ended(self, ended: ListRequestEnded) -> None:
        """Logs the end of a request, with the hosts that an answer names."""
        request, hosts = ended.request, ended.hosts[:MAX_LOGGED_HOSTS]
        is_quiet = ended.outcome is ListOutcome.ANSWERED and not hosts
        log_method = self.log.debug if is_quiet else self.log.info
        log_method(
            "list request ended",
            number=request.number,
            source=request.source,
            outcome=ended.outcome.value,
            reason=ended.reason,
            was_sent=request.sent_at is not None,
            took_ms=(ended.ended_at - request.started_at) // MS,
            hold_ms=request.hold // MS,
            since_version=request.version,
            version=ended.version,
            host_count=len(ended.hosts),
            hosts={host.id: host.condition.name.lower() for host in hosts},
        )
