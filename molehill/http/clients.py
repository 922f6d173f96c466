"""The client side: accepts connections, reads requests and answers them.

Each connection has a task. A request for /api becomes an `ev.Submitted` that is handed to `post`;
the core's answer comes back by `Clients.answer_request`. In an upgrade the connections are handed
over to the next process, with the bytes that were read and not yet used.
"""

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

# A connection without a complete request must end within three seconds of connecting. The next two
# timeouts together leave half a second for delays of the relay itself. Genuine clients send as soon
# as they have connected, and wait 0.4 s for the answer.
FIRST_BYTE_TIMEOUT = 1500 * MS  # for the first byte of a connection
REQUEST_TIMEOUT = SECOND  # for the rest of a request that has begun
# An answer is a few bytes long: a client that doesn't take them is gone.
WRITE_TIMEOUT = SECOND
ANSWER_TIMEOUT = SECOND  # clients wait 0.4 s: one without an answer by now is gone
# The protocol allows closing a connection that has been idle for this long.
SAFE_IDLE_TIME = 2 * SECOND
# After an error the client's remaining bytes are read and discarded, so that it sees the answer.
# Both time and bytes are limited, as a client with an endless body has to see the connection close.
LINGER_TIMEOUT = 200 * MS
MAX_LINGER_BYTES = 4 * 64 * 1024
# Clients wait no longer than this for an answer; no client waits for an older request.
MAX_READ_DELAY = 400 * MS
# After this span from the start, all requests that arrived during the start have been read, and so
# have the requests that followed on those connections.
STARTUP_SPAN = SECOND


# The number of requests on a connection so far predicts whether it will be used again. The spans
# are how long it has to have been idle before it is closed in favour of others, by purpose: to make
# room for a new connection, or to get below the limit of idle connections. None: not closed for
# that purpose.
UNUSED, USED_ONCE, REUSED = "new", "once", "again"
FOR_NEW_CONNECTION, FOR_IDLE_LIMIT = 0, 1
MIN_IDLE_TIMES = {  # in the order in which they are closed
    # No byte received yet. The first request may be in transit, hence many times a client's round
    # trip.
    UNUSED: (150 * MS, None),
    # One request so far: many times the interval after which a client that continues sends its next
    # request. Most never do.
    USED_ONCE: (SECOND, 100 * MS),
    # Several requests: after this idle time another one is not imminent.
    REUSED: (SECOND, SECOND),
}


class CloseReason(Enum):
    """Why a client's connection ended; the log's counts use the values."""

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


# The relay closes a connection for these reasons on its own initiative, and may do so only if no
# request has been read from it that is not answered yet.
IDLE_ONLY_REASONS = (
    CloseReason.MAKE_ROOM,
    CloseReason.SHUTDOWN_IDLE,
    CloseReason.SHUTDOWN_UNFINISHED,
)


class ClientConnection:
    """A client's connection.

    `number` identifies it in the trace; `request_id` is the id of the request that waits for its
    answer, if there is one.
    """

    def __init__(self, stream, number: int):
        self.number = number
        self.stream, self.task, self.request_id, self.answer, self.usage = (
            stream,
            None,
            None,
            None,
            UNUSED,
        )
        self.has_open_request = False  # a request is complete, its answer not written yet
        self.close_reason = None  # a CloseReason once it ends
        self.opened_at = stream.scheduler.clock()


class Clients:
    """Accepts and serves the connections of clients; `post` takes the events for the core."""

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
        # since when a connection may have waited to be accepted
        self.accept_wait_start = self.clock()
        # called for each request that never reaches the core; set when the parts are connected
        self.on_rejected = lambda class_name: None
        # while paused no new request is read; these tasks wait for the pause to end
        self.is_paused, self.paused_tasks = False, []
        # how long a request that is read right after the start may have waited
        self.startup_read_delay = MAX_READ_DELAY
        # from then on `arrived_after` of a stream tells how long a request may have waited
        self.startup_until = 0
        # connections between requests, the longest idle first
        self.idle_connections = {usage: {} for usage in MIN_IDLE_TIMES}
        budget.idle_closers["left client"] = lambda: self.close_longest_idle(
            FOR_NEW_CONNECTION, SAFE_IDLE_TIME
        )
        budget.idle_closers["client"] = lambda: self.close_longest_idle(FOR_NEW_CONNECTION)

    def start_serving(self, read_delay: int = MAX_READ_DELAY) -> None:
        """Starts to accept callbacks.

        `read_delay`: how long, in nanoseconds, a request that is read now may have waited for this
        process.
        """
        self.is_ready, self.startup_until, self.startup_read_delay = (
            True,
            self.clock() + STARTUP_SPAN,
            min(read_delay, MAX_READ_DELAY),
        )

    def listen(self, listener=None) -> None:
        """Accepts connections, on the listener that an earlier process handed over or on a new one.

        A transient error is retried by `serve_listener`; other OSErrors are raised.
        """
        try:
            self.listener = listener or open_listener(self.scheduler.machine, self.config.listen)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS:
                raise
            self.counts["listen failed"] += 1
        self.budget.acquire("listener")
        self.scheduler.spawn_supervised(self.serve_listener)

    def serve_listener(self) -> None:
        """Opens the listener if that has failed, then accepts connections.

        A relay that is restarted while the machine is short of a resource has to come up
        nevertheless, so opening the listener is retried.
        """
        while self.listener is None and not self.is_closing:
            self.scheduler.sleep_until(self.clock() + self.ACCEPT_RETRY_DELAY)
            try:
                self.listener = open_listener(self.scheduler.machine, self.config.listen)
            except OSError:
                self.counts["listen failed"] += 1
        self.accept_connections()

    def can_serve(self) -> bool:
        """Whether callbacks are accepted and a listener is open, or was until the shutdown."""
        return self.is_ready and (self.listener is not None or self.is_closing)

    ACCEPT_RETRY_DELAY = 20 * MS  # while no connection can be accepted
    # after failures of accept(2) in a row, as each may concern a single connection only
    IMMEDIATE_ACCEPT_RETRIES = 16

    def accept_connections(self) -> None:
        """Accepts connections until the listener is closed."""
        failures = 0  # in a row
        while self.listener is not None:
            if self.is_paused:
                self.scheduler.wait(self.listener.fileno(), 0)
                continue
            self.lacks_descriptors = not self.budget.acquire("client", RESERVED_OUTGOING)
            # Meanwhile connections are closed after their answers, where no request can be lost.
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
        """Serves a connection for which a file descriptor of the budget has been acquired.

        `data`: bytes that were read from it before, and not used.
        """
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
        """Marks a connection as between requests, or before the first: it may be closed now."""
        connection.stream.idle_since = self.clock()
        self.idle_connections[connection.usage][connection] = True

    def mark_active(self, connection) -> None:
        """Marks a connection as in use, since a request begins, or as closed."""
        connection.stream.idle_since = 0
        self.idle_connections[connection.usage].pop(connection, None)

    def close_longest_idle(self, purpose: int, min_idle: int = 0) -> bool:
        """Closes the connection that is least needed, and returns whether there was one to close.

        It has to have been idle for the span in MIN_IDLE_TIMES for its usage and `purpose`, and for
        `min_idle` nanoseconds if it has carried a request: closed too early, it may have a request
        in transit; never closed, many silent connections would keep all others out.
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
        """Closes a connection and counts the first reason given for it.

        Every connection that the relay closes is closed by this method.
        """
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
        """Whether this connection is to end with its first answer.

        It is if the limit of idle connections is reached and none of them can be closed. Clients
        have a bounded number of connections to a relay: those that stay idle without being used
        again block the clients' next requests, although the relay itself is short of nothing.
        """
        if (
            len(self.idle_connections[USED_ONCE]) + len(self.idle_connections[REUSED])
            < self.config.client_idle
        ):
            return False
        return not self.close_longest_idle(FOR_IDLE_LIMIT) and connection.usage is UNUSED

    def serve_connection(self, connection) -> None:
        """Serves the requests of a connection until it ends."""
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
        """Serves one request and returns whether the connection stays open.

        Raises TimedOut and ConnectionBroken.
        """
        stream = connection.stream
        try:
            if len(stream.buffer):
                # Pipelined requests must not delay the other connections.
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
        """Ends a connection after its last answer.

        Until then it counts as busy, so that neither a shutdown nor an upgrade cuts it off. Closing
        a connection with bytes that are unread or in transit would reset it, and a 202 that was
        just written would be lost. Bytes that arrive once sending has ended are discarded and never
        become a callback, as its answer could not be written.
        """
        connection.close_reason = reason
        self.counts[f"closed: {reason.value}"] += 1
        end_sending_and_drain(connection.stream, LINGER_TIMEOUT, MAX_LINGER_BYTES)

    def read_request(self, stream):
        """Reads a request's head and body.

        Raises MalformedMessage, with status 408 if they don't arrive in time.
        """
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
        """Handles a request and returns status, headers and body of its answer.

        For a callback it waits for the core's answer. Raises MalformedMessage.
        """
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
            # The answer may have come in the same turn: a callback that it accepted must not be
            # withdrawn.
            if self.scheduler.wait(deadline=until) == TIMED_OUT and connection.answer is None:
                # Withdrawn, the callback certainly hasn't run. If the connection were closed
                # without an answer, the request would be lost to its client.
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
        """Returns how long, in nanoseconds, a request that is read now may have waited.

        The time limit of a callback runs from when the request was sent. Without this, the deadline
        would be too late for a request that arrived while this process was stalled, and for a first
        request that arrived while its connection waited to be accepted, for instance for lack of
        file descriptors. Right after a start the delay is unknown and may be as long as any client
        waits.
        """
        now = self.clock()
        span = now - connection.stream.arrived_after
        if now < self.startup_until:
            span = max(span, self.startup_read_delay)
        return min(span, MAX_READ_DELAY)

    def answer_request(self, effect) -> None:
        """Passes the core's answer, an `ev.Answer`, to the task of its request."""
        connection = effect.client
        connection.answer = (effect.status, effect.retry_after, effect.reason)
        self.scheduler.resume(connection.task)

    def write_answer(self, connection, data) -> None:
        """Writes an answer; if that accepts a callback, reports to the core whether it was written.

        Raises ConnectionBroken and TimedOut.
        """
        request_id, connection.request_id, is_accepted = (
            connection.request_id,
            None,
            connection.answer[0] == 202,
        )
        try:
            if connection.stream.peer_has_closed():
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

    # Upgrade: the connections are handed over to the next process

    def pause_requests(self) -> None:
        """Stops accepting connections and requests; requests that have begun are finished."""
        self.is_paused = True

    def is_quiescent(self) -> bool:
        """Whether no request waits for its answer."""
        return not any(connection.has_open_request for connection in self.connections)

    def take_back(self, rows, read_delay: int) -> None:
        """Takes back the rows of `hand_over` and resumes service after a failed upgrade.

        `read_delay`: how long, in nanoseconds, a request that is read now may have waited.
        """
        self.start_serving(read_delay)
        for row in rows:
            self.adopt_connection(*row)
        self.is_paused, paused_tasks, self.paused_tasks = False, self.paused_tasks, []
        for task in paused_tasks:
            self.scheduler.resume(task)
        if self.listener is not None:
            self.scheduler.cancel_wait(self.listener.fileno())

    def close_unanswered(self) -> None:
        """Closes connections whose answer can't be written in time.

        The core then learns that those clients had no answer.
        """
        for connection in self.connections:
            if connection.has_open_request:
                self.close_connection(connection, CloseReason.HAND_OVER_UNANSWERED)

    def hand_over(self):
        """Stops using the connections and returns them as rows (message, body, socket)."""
        rows = []
        for connection in [
            connection for connection in self.connections if connection.stream.is_open
        ]:
            connection.close_reason = CloseReason.HAND_OVER
            sock, data = connection.stream.detach()
            rows.append(({"k": "client", "kind": connection.usage}, data, sock))
        return rows

    def adopt_connection(self, message, data, sock) -> None:
        """Serves a connection that an earlier process handed over, or that is taken back.

        It is closed if no file descriptor is left for it.
        """
        if not self.budget.acquire("client", RESERVED_OUTGOING):
            sock.close()
            return
        self.open_connection(
            sock,
            data,
            next((usage for usage in MIN_IDLE_TIMES if usage == message["kind"]), UNUSED),
        )

    # Shutdown

    def stop_accepting(self) -> None:
        """Accepts the connections that wait for it, then closes the listener.

        From then on, new connections are refused, and existing ones end with their next answer.
        """
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
                # One connection that is gone must not end the loop: those behind it would be reset.
                continue
            self.open_connection(sock)
        self.listener = listener
        self.close_listener()

    def close_listener(self) -> None:
        """Closes the listener, if there is one."""
        listener, self.listener = self.listener, None
        if listener is not None:
            self.scheduler.cancel_wait(listener.fileno())
            listener.close()
            self.budget.release("listener")

    def close_idle_connections(self) -> None:
        """Closes the connections on which no request has arrived.

        From then on only requests are read that have arrived already, and those are answered. A
        request that has been read but not answered when this process ends is lost to its client.
        """
        for connection in [
            connection
            for connection in self.connections
            if connection.stream.idle_since and connection.stream.is_quiet()
        ]:
            self.close_connection(connection, CloseReason.SHUTDOWN_IDLE)

    def close_unfinished(self) -> None:
        """Closes the connections without a complete request."""
        for connection in [
            connection for connection in self.connections if not connection.has_open_request
        ]:
            self.close_connection(connection, CloseReason.SHUTDOWN_UNFINISHED)
