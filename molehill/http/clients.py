"""The client side: takes connections, reads requests, answers them."""

import errno
from collections import Counter
from enum import Enum

from molehill.config import MS, RESERVED_OUTGOING, SECOND
from molehill.core import events as ev
from molehill.http import callback_request
from molehill.http import parser as http
from molehill.http.stream import HttpStream
from molehill.invariants import check_invariant
from molehill.runtime.scheduler import READ, TIMED_OUT
from molehill.runtime.stream import (
    TRANSIENT_ERRNOS,
    ConnectionBroken,
    TimedOut,
    end_sending_and_drain,
    open_listener,
)
from molehill.runtime.trace import NO_TRACE, Step

# A client that sends no whole request is owed an end within three seconds of connecting. Both fit in, and half a
# second of the relay's own lateness; true clients connect to send at once, and wait 0.4 s for the answer.
FIRST_BYTE_TIMEOUT = 1500 * MS  # for the first byte of a connection
REQUEST_TIMEOUT = SECOND  # for the rest of a request that has begun
# an answer is a few bytes: a client that does not take them is gone
WRITE_TIMEOUT = SECOND
ANSWER_TIMEOUT = SECOND  # clients wait 0.4 s: whoever had no answer by now is gone
# idle this long, it may be closed without harm: the protocol's figure
SAFE_IDLE_TIME = 2 * SECOND
# what a client still sends after an error is read away so that it sees the answer,
LINGER_TIMEOUT = 200 * MS
# up to so much: of a body that goes on and on it has to see a close
MAX_LINGER_BYTES = 4 * 64 * 1024
# clients wait no longer for an answer: what was sent before, nobody asks for any more
MAX_READ_DELAY = 400 * MS
# from the start: what came while it went on is read by then, and what that was followed by
STARTUP_SPAN = SECOND


# What a connection has carried tells what its idling is worth. How long one has to have stood before it is closed for
# others, by the need: a place for a new connection, or a place among the idle ones; None: not for that.
UNUSED, USED_ONCE, REUSED = "new", "once", "again"
FOR_NEW_CONNECTION, FOR_IDLE_LIMIT = 0, 1
MIN_IDLE_TIMES = {  # in the order in which they go
    # Without a byte yet: many times a client's round trip. Danger: its first request may be on its way.
    UNUSED: (150 * MS, None),
    # Asked once and stayed: many times the span in which one that goes on asks again. Most never do.
    USED_ONCE: (SECOND, 100 * MS),
    # Asked on: idle this long, it is not about to carry a request.
    REUSED: (SECOND, SECOND),
}


class CloseReason(Enum):
    """Why a client's connection ended; the values stand in the log's counts."""

    BY_CLIENT = "ended by its client"
    LAST_ANSWER = "its answer said so"
    MALFORMED = "no request that can be read"
    TIMEOUT = "nothing came in time"
    UNANSWERED = "no answer in time"
    MAKE_ROOM = "idle, room for others"
    SHUTDOWN_IDLE = "idle at the shutdown"
    SHUTDOWN_UNFINISHED = "no whole request at the shutdown"
    HAND_OVER = "passed to the next process"
    HAND_OVER_UNANSWERED = "no answer in time for a hand-over"


# With these the relay closes of itself, and may do so only where no request has been read and not answered.
IDLE_ONLY_REASONS = (
    CloseReason.MAKE_ROOM,
    CloseReason.SHUTDOWN_IDLE,
    CloseReason.SHUTDOWN_UNFINISHED,
)


class ClientConnection:
    """A client's connection; `request_id` is the id of the request that waits for its answer; `number`: as the trace knows it."""

    def __init__(self, stream, number: int):
        self.number = number
        self.stream, self.task, self.request_id, self.answer, self.usage = (
            stream,
            None,
            None,
            None,
            UNUSED,
        )
        self.has_open_request = False  # its request is whole, and the answer not written yet
        self.close_reason = None  # why it ends
        self.opened_at = stream.scheduler.clock()


class Clients:
    def __init__(self, scheduler, config, budget, post):
        self.scheduler, self.config, self.budget, self.post = scheduler, config, budget, post
        self.clock, self.connections, self.is_ready, self.is_closing = (
            scheduler.clock,
            {},
            False,
            False,
        )
        self.listener, self.counts, self.lacks_descriptors = None, Counter(), False
        self.trace, self.last_number = NO_TRACE, 0
        self.accept_wait_start = self.clock()  # since when some may have waited to be accepted
        # told of each request that never reaches the core; set when wiring
        self.on_rejected = lambda class_name: None
        # no request is begun; tasks that wait for that to end
        self.is_paused, self.paused_tasks = False, []
        # how long what is read right after the start may have waited
        self.startup_read_delay = MAX_READ_DELAY
        # from when on what is read tells by itself how long it has waited
        self.startup_until = 0
        # connections between requests, the one idle longest first
        self.idle_connections = {usage: {} for usage in MIN_IDLE_TIMES}
        budget.idle_closers["left client"] = lambda: self.close_longest_idle(
            FOR_NEW_CONNECTION, SAFE_IDLE_TIME
        )
        budget.idle_closers["client"] = lambda: self.close_longest_idle(FOR_NEW_CONNECTION)

    def start_serving(self, read_delay: int = MAX_READ_DELAY) -> None:
        """Serves from here on; `read_delay`: how long what is read now may have waited for this process."""
        self.is_ready, self.startup_until, self.startup_read_delay = (
            True,
            self.clock() + STARTUP_SPAN,
            min(read_delay, MAX_READ_DELAY),
        )

    def listen(self, listener=None) -> None:
        """Takes connections, on the listener that an earlier process handed over or on a new one."""
        try:
            self.listener = listener or open_listener(self.scheduler.machine, self.config.listen)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS:
                raise
            self.counts["listen failed"] += 1
        self.budget.acquire("listener")
        self.scheduler.spawn_supervised(self.serve_listener)

    def serve_listener(self) -> None:
        """Danger: a restart in a moment in which the machine lacks something must not be a relay that will not start."""
        while self.listener is None and not self.is_closing:
            self.scheduler.sleep_until(self.clock() + self.ACCEPT_RETRY_DELAY)
            try:
                self.listener = open_listener(self.scheduler.machine, self.config.listen)
            except OSError:
                self.counts["listen failed"] += 1
        self.accept_connections()

    def can_serve(self) -> bool:
        return self.is_ready and (self.listener is not None or self.is_closing)

    ACCEPT_RETRY_DELAY = 20 * MS  # between tries while no connection can be taken
    # of accept(2) in a row, as each may have failed for one connection alone
    IMMEDIATE_ACCEPT_RETRIES = 16

    def accept_connections(self) -> None:
        failures = 0  # in a row
        while self.listener is not None:
            if self.is_paused:
                self.scheduler.wait(self.listener.fileno(), 0)
                continue
            self.lacks_descriptors = not self.budget.acquire("client", RESERVED_OUTGOING)
            # meanwhile answers end their connections, where nothing can be lost
            if self.lacks_descriptors:
                self.scheduler.sleep_until(self.clock() + self.ACCEPT_RETRY_DELAY)
                continue
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                self.budget.release("client")
                if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                    self.scheduler.wait(self.listener.fileno(), READ)
                    self.accept_wait_start = self.scheduler.last_wait_arrived_after()
                    continue
                failures += 1
                self.counts["accept failed"] += 1
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.close_longest_idle(FOR_NEW_CONNECTION)
                    self.scheduler.sleep_until(self.clock() + self.ACCEPT_RETRY_DELAY)
                elif failures <= self.IMMEDIATE_ACCEPT_RETRIES:
                    self.scheduler.yield_now()
                else:
                    self.scheduler.sleep_until(self.clock() + self.ACCEPT_RETRY_DELAY)
                continue
            failures = 0
            self.open_connection(sock).stream.known_empty_at = self.accept_wait_start

    def open_connection(self, sock, data=b"", usage=UNUSED) -> ClientConnection:
        """Serves a connection whose place in the budget is taken; `data`: what was read of it before."""
        self.last_number += 1
        stream = HttpStream(self.scheduler, sock, "client", self.budget, reads_responses=False)
        connection = ClientConnection(stream, self.last_number)
        connection.usage = usage
        connection.stream.restore_unread(data)
        self.connections[connection] = True
        self.mark_idle(connection)
        connection.task = self.scheduler.spawn(self.serve_connection, connection)
        return connection

    def mark_idle(self, connection) -> None:
        """Between two requests, or before the first: it may be closed for others from here on."""
        connection.stream.idle_since = self.clock()
        self.idle_connections[connection.usage][connection] = True

    def mark_active(self, connection) -> None:
        """A request begins on it, or it is over."""
        connection.stream.idle_since = 0
        self.idle_connections[connection.usage].pop(connection, None)

    def close_longest_idle(self, purpose: int, min_idle: int = 0) -> bool:
        """Closes the connection that can best be spared for `purpose`, if one has stood long enough for its kind, and for
        `min_idle` if it has been served.

        Danger: a request may be on its way on it. Danger: a silent crowd keeps all others out.
        """
        now = self.clock()
        for usage, spans in MIN_IDLE_TIMES.items():
            span = spans[purpose]
            if span is None:
                continue
            for connection in self.idle_connections[usage]:
                if now - connection.stream.idle_since < (
                    span if usage is UNUSED else max(span, min_idle)
                ):
                    break
                if connection.stream.is_quiet():
                    self.close_connection(connection, CloseReason.MAKE_ROOM)
                    return True
        return False

    def close_connection(self, connection, reason: CloseReason) -> None:
        """Ends a connection, for the first reason that it is given. The one place where this side does."""
        check_invariant(
            reason not in IDLE_ONLY_REASONS or not connection.has_open_request,
            "closed_owing_nothing",
            reason=reason.value,
        )
        if connection.close_reason is None:
            connection.close_reason = reason
            self.counts[f"closed: {reason.value}"] += 1
        self.mark_active(connection)
        connection.stream.close()

    def exceeds_idle_limit(self, connection) -> bool:
        """Whether this connection is to end with its first answer, since as many stand idle as may and none can go.

        Danger: clients have a bounded number of connections to a relay. Those that idle here for nobody keep their
        next requests out, while the relay itself is short of nothing.
        """
        if (
            len(self.idle_connections[USED_ONCE]) + len(self.idle_connections[REUSED])
            < self.config.client_idle
        ):
            return False
        return not self.close_longest_idle(FOR_IDLE_LIMIT) and connection.usage is UNUSED

    def serve_connection(self, connection) -> None:
        reason = CloseReason.BY_CLIENT
        try:
            while self.serve_request(connection):
                pass
            reason = CloseReason.LAST_ANSWER
        except TimedOut:
            reason = CloseReason.UNANSWERED if connection.has_open_request else CloseReason.TIMEOUT
        except (ConnectionBroken, OSError):
            pass
        finally:
            self.connections.pop(connection, None)
            self.close_connection(connection, reason)
            self.trace.record(
                Step.CONNECTION_CLOSED,
                connection.request_id,
                connection=connection.number,
                reason=connection.close_reason.value,
            )

    def serve_request(self, connection) -> bool:
        """One request and its answer; whether the connection goes on."""
        stream = connection.stream
        try:
            if len(stream.buffer):
                # requests sent in a row don't hold up the other connections
                self.scheduler.yield_now()
            else:
                self.mark_idle(connection)
                stream.read(
                    connection.opened_at + FIRST_BYTE_TIMEOUT
                    if connection.usage is UNUSED
                    else None
                )
            while self.is_paused:
                self.paused_tasks.append(connection.task)
                self.scheduler.wait()
                if not stream.is_open:
                    raise ConnectionBroken("given to the next process")
            self.mark_active(connection)
            head, body = self.read_request(stream)
            connection.has_open_request = True
            status, headers, text = self.route_request(connection, head, body)
        except http.MalformedMessage as error:
            connection.has_open_request = True
            self.counts["malformed"] += 1
            stream.send(
                http.build_response(error.status, body=str(error).encode(), close=True),
                self.clock() + WRITE_TIMEOUT,
            )
            self.close_after_answer(connection, CloseReason.MALFORMED)
            return False
        close = (
            not head.keep_alive
            or self.is_closing
            or self.lacks_descriptors
            or self.exceeds_idle_limit(connection)
        )
        connection.usage = USED_ONCE if connection.usage is UNUSED else REUSED
        data = http.build_response(status, headers, text, close)
        if connection.request_id is None:
            stream.send(data, self.clock() + WRITE_TIMEOUT)
        else:
            self.write_answer(connection, data)
        if close:
            self.close_after_answer(connection, CloseReason.LAST_ANSWER)
            return False
        connection.has_open_request = False
        return True

    def close_after_answer(self, connection, reason: CloseReason) -> None:
        """Ends a connection behind its last answer; till then it counts as busy, so that neither an end nor an upgrade cuts it.

        Danger: closed over bytes that lie unread or are on their way, it is reset, and a 202 that was just written is lost with
        it. What comes once the sending has ended is read away and never handed over, as its answer could not be written.
        """
        connection.close_reason = reason
        self.counts[f"closed: {reason.value}"] += 1
        end_sending_and_drain(connection.stream, LINGER_TIMEOUT, MAX_LINGER_BYTES)

    def read_request(self, stream):
        """A request's head and body."""
        until = self.clock() + REQUEST_TIMEOUT
        try:
            head = stream.read_head(until)
            length = head.content_length or 0
            if (
                head.headers.get("expect", "").lower() == "100-continue"
                and len(stream.buffer) < length
            ):
                stream.send(b"HTTP/1.1 100 Continue\r\n\r\n", until)
            body, stream.parser.raw_head = stream.read_body(head, until) if length else b"", b""
            return head, body
        except TimedOut:
            raise http.MalformedMessage(408, "the request did not get whole in time") from None

    def route_request(self, connection, head, body):
        method, target, _ = head.start_line
        path = target.partition("?")[0]
        if path == "/health/ready":
            return (200 if self.is_ready else 503), (), b""
        if path == "/health/live":
            return 200, (), b""
        if path != "/api":
            return 404, (), b""
        if method != "POST":
            return 405, (("Allow", "POST"),), b""
        if not self.is_ready:
            self.on_rejected(head.headers.get("req-kind", ""))
            return 503, (), b""
        callback = callback_request.parse_callback(head.headers, body, self.config, self.clock())
        callback.deadline -= self.estimated_read_delay(connection)
        connection.request_id, connection.answer = callback.id, None
        self.trace.record(
            Step.HANDED_IN,
            callback.id,
            connection=connection.number,
            left=callback.deadline - self.clock(),
        )
        self.post(ev.Submitted(connection, callback))
        until = self.clock() + ANSWER_TIMEOUT
        while connection.answer is None:
            # danger: the answer may have come in the same turn, and what it took on must not be withdrawn
            if self.scheduler.wait(deadline=until) == TIMED_OUT and connection.answer is None:
                # Withdrawn, it has surely not run. Danger: closed without an answer, it is lost to its client.
                self.post(ev.AnswerNotWritten(callback.id, connection))
                connection.answer = connection.answer or (503, 0, "not answered")
        status, wait, reason = connection.answer
        self.counts[reason or status] += 1
        return (
            status,
            ((("Retry-After", callback_request.format_seconds(wait)),) if wait else ()),
            b"",
        )

    def estimated_read_delay(self, connection) -> int:
        """Nanoseconds that the request read now on `connection` may have waited to be read; its time runs from when it was sent.

        Danger: what came in while this process stood still would be ended late. So would a first request that came while its
        connection waited to be accepted, be it for want of descriptors.
        Danger: right after a start nothing tells how long what is read has waited; it may be as long as any client waits.
        """
        now = self.clock()
        span = now - connection.stream.arrived_after
        if now < self.startup_until:
            span = max(span, self.startup_read_delay)
        return min(span, MAX_READ_DELAY)

    def answer_request(self, effect) -> None:
        """The core's answer to a request."""
        connection = effect.client
        connection.answer = (effect.status, effect.retry_after, effect.reason)
        self.scheduler.resume(connection.task)

    def write_answer(self, connection, data) -> None:
        """Writes the answer; the core learns whether the client was still there for one that it is taken on."""
        request_id, connection.request_id, is_accepted = (
            connection.request_id,
            None,
            connection.answer[0] == 202,
        )
        try:
            if connection.stream.has_ended():
                raise ConnectionBroken("gone before its answer")
            connection.stream.send(data, self.clock() + WRITE_TIMEOUT)
        except (ConnectionBroken, TimedOut):
            if is_accepted:
                self.counts["gone"] += 1
                self.trace.record(Step.WITHDRAWN, request_id, connection=connection.number)
                self.post(ev.AnswerNotWritten(request_id, connection))
            raise
        self.trace.record(
            Step.ANSWER_WRITTEN,
            request_id,
            connection=connection.number,
            status=connection.answer[0],
        )
        if is_accepted:
            self.post(ev.AnswerWritten(request_id, connection))

    # An upgrade: the connections pass to the next process

    def pause_requests(self) -> None:
        """Takes no connection and begins no request; what has begun is finished."""
        self.is_paused = True

    def is_quiescent(self) -> bool:
        return not any(connection.has_open_request for connection in self.connections)

    def take_back(self, rows, read_delay: int) -> None:
        """Takes back what `hand_over` gave; what is read now may have waited for `read_delay`."""
        self.start_serving(read_delay)
        for row in rows:
            self.adopt_connection(*row)
        self.is_paused, paused_tasks, self.paused_tasks = False, self.paused_tasks, []
        for task in paused_tasks:
            self.scheduler.resume(task)
        if self.listener is not None:
            self.scheduler.cancel_wait(self.listener.fileno())

    def close_unanswered(self) -> None:
        """Those whose answer can't be written in time: the core learns that they have not heard."""
        for connection in self.connections:
            if connection.has_open_request:
                self.close_connection(connection, CloseReason.HAND_OVER_UNANSWERED)

    def hand_over(self):
        """The connections, as rows (message, body, socket). Nothing of them is used here any more."""
        rows = []
        for connection in [
            connection for connection in self.connections if connection.stream.is_open
        ]:
            connection.close_reason = CloseReason.HAND_OVER
            sock, data = connection.stream.detach()
            rows.append(({"k": "client", "kind": connection.usage}, data, sock))
        return rows

    def adopt_connection(self, message, data, sock) -> None:
        """A connection that an earlier process gave, or that comes back."""
        if not self.budget.acquire("client", RESERVED_OUTGOING):
            sock.close()
            return
        self.open_connection(
            sock,
            data,
            next((usage for usage in MIN_IDLE_TIMES if usage == message["kind"]), UNUSED),
        )

    # The end

    def stop_accepting(self) -> None:
        """Takes what still waits to be accepted; then new connections are refused, kept ones end with an answer."""
        listener, self.listener, self.is_closing = self.listener, None, True
        if listener is None:
            return
        failures = 0
        while self.budget.acquire("client", RESERVED_OUTGOING):
            try:
                sock, _ = listener.accept()
            except OSError as error:
                self.budget.release("client")
                failures += 1
                if (
                    error.errno in (errno.EAGAIN, errno.EWOULDBLOCK)
                    or failures > self.IMMEDIATE_ACCEPT_RETRIES
                ):
                    break
                # danger: with one connection that is gone, those behind it would be reset
                continue
            self.open_connection(sock)
        self.listener = listener
        self.close_listener()

    def close_listener(self) -> None:
        listener, self.listener = self.listener, None
        if listener is not None:
            self.scheduler.cancel_wait(listener.fileno())
            listener.close()
            self.budget.release("listener")

    def close_idle_connections(self) -> None:
        """Closes what no request is on its way on, so that none is read from here on but such as lie there already; those get
        their answer. Danger: one that this process has read, and not answered, when it ends is lost to its client."""
        for connection in [
            connection
            for connection in self.connections
            if connection.stream.idle_since and connection.stream.is_quiet()
        ]:
            self.close_connection(connection, CloseReason.SHUTDOWN_IDLE)

    def close_unfinished(self) -> None:
        """What has not got whole by now is not read any more."""
        for connection in [
            connection for connection in self.connections if not connection.has_open_request
        ]:
            self.close_connection(connection, CloseReason.SHUTDOWN_UNFINISHED)
