"""One request for the host list on one connection, in a task of its own."""

from dataclasses import dataclass
from typing import Callable, Optional, cast

from molehill.config import MS, Config
from molehill.core import events as ev
from molehill.http import parser as http
from molehill.http.host_list_format import parse_list
from molehill.http.list_request import ListRequest
from molehill.http.list_stream import ListStream
from molehill.runtime.stream import ConnectionBroken, PersistentConnection, TimedOut

STATUS_OK = 200


class UnreadableAnswer(Exception):
    """An answer that has begun, and then broke off or is no list; the text is the reason."""


class StoppedAnswer(Exception):
    """An answer that has begun and did not go on in time."""


class RefusedRequest(Exception):
    """Discovery answered with another status than 200; the text has it."""


# of an exchange; TimedOut: the request could not be sent in time
EXCHANGE_ERRORS = (
    ConnectionBroken,
    http.MalformedMessage,
    UnreadableAnswer,
    StoppedAnswer,
    RefusedRequest,
    TimedOut,
)


@dataclass(slots=True, frozen=True)
class ListAnswer:
    """An answer of discovery, with the fields of a `ParsedList`."""

    version: int
    is_whole: bool
    hosts: list[ev.Host]
    unreadable: list[str]
    keep_alive: bool


@dataclass(slots=True, frozen=True)
class ExchangeLimits:
    """Spans in nanoseconds.

    `connect`: for the connection to come up; `patience`: after which another request is to be sent
    beside this one; `stall`, `whole_answer`: see `ListStream.expect_answer`.
    """

    connect: int
    patience: int
    stall: int
    whole_answer: int


class ListExchange:
    """Sends a request and reads its answer, for as long as that takes or until it is closed.

    `answer` or `error` is set once it `is_over`. `patience_ends_at`: None until the request was
    sent. `is_late`: another request was sent beside it. `is_kept`: that one was answered, and this
    one's answer had begun to come. `is_reported`: an outcome was reported.
    """

    def __init__(
        self,
        config: Config,
        connection: PersistentConnection,
        request: ListRequest,
        limits: ExchangeLimits,
        on_change: Callable[["ListExchange"], None],
    ):
        """`on_change` is called as the request was sent, and as the exchange is over."""
        self.config, self.connection, self.request, self.limits = (
            config,
            connection,
            request,
            limits,
        )
        self.on_change: Optional[Callable[[ListExchange], None]] = on_change
        self.clock = connection.scheduler.clock
        self.stream: Optional[ListStream] = None
        self.answer: Optional[ListAnswer] = None
        self.error: Optional[Exception] = None
        self.patience_ends_at: Optional[int] = None
        self.is_over = self.is_late = self.is_kept = self.is_reported = False

    def run(self) -> None:
        """Runs the exchange to its end, unless it was given up before it began."""
        if self.on_change is None:
            return
        self.error = ConnectionBroken("fault")  # unless nothing unexpected is raised
        try:
            self.answer = self._exchange()
            self.error = None
        except EXCHANGE_ERRORS as error:
            self.error = error
        finally:
            self.is_over = True
            self._report_change()

    def has_begun_answer(self) -> bool:
        """Returns whether bytes of the answer have come; then it goes on within its limits."""
        return self.stream is not None and self.stream.began_at is not None

    def has_unread(self) -> bool:
        """Returns whether an answer, or a part of one, has come that nobody has used."""
        if self.is_over:
            return self.answer is not None and not self.is_reported
        stream = self.stream
        return stream is not None and (self.has_begun_answer() or stream.has_unread())

    def close(self) -> None:
        """Gives the request up; nothing more is reported."""
        self.on_change = None
        self.connection.close()

    def _report_change(self) -> None:
        if self.on_change is not None:
            self.on_change(self)

    def _exchange(self) -> ListAnswer:
        limits = self.limits
        until = self.clock() + limits.connect
        stream = self.stream = cast(ListStream, self.connection.get_stream(until))
        stream.expect_answer(limits.stall, limits.whole_answer)
        stream.send(self._build_request(), self.clock() + limits.patience)
        self.request.sent_at = self.clock()
        self.patience_ends_at = self.request.sent_at + limits.patience
        self._report_change()
        head, body = self._read_answer(stream)
        if head.status != STATUS_OK:
            raise RefusedRequest(f"status {head.status}")
        try:
            parsed = parse_list(body, self.config)
        except ValueError as error:
            raise UnreadableAnswer(str(error)) from error
        return ListAnswer(*parsed, keep_alive=head.keep_alive)

    def _build_request(self) -> bytes:
        target = "/registry/instances"  # the whole list, at once
        if self.request.version is not None:
            target += f"?from={self.request.version}&hold_ms={self.request.hold // MS}"
        return http.build_request("GET", target, "%s:%d" % self.config.discovery)

    def _read_answer(self, stream: ListStream) -> tuple[http.Head, bytes]:
        try:
            head = stream.read_response_head(None)
            return head, stream.read_body(head, None)
        except TimedOut as error:
            raise StoppedAnswer() from error
        except (ConnectionBroken, http.MalformedMessage) as error:
            if stream.began_at is None:
                raise
            raise UnreadableAnswer(str(error)) from error
