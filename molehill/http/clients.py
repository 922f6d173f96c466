"""The client side: takes connections, reads requests, answers them."""

import errno
from collections import Counter
from enum import Enum

from molehill.config import MS, OUTGOING, SECOND
from molehill.core import events as ev
from molehill.http import hand_in
from molehill.http import parser as http
from molehill.http.stream import HttpStream
from molehill.invariants import check_invariant
from molehill.runtime.scheduler import LATE, READ
from molehill.runtime.stream import PASSING, Broken, Late, finish, listening
from molehill.runtime.trace import NO_TRACE, Step

# A client that sends no whole request is owed an end within three seconds of connecting. Both fit in, and half a
# second of the relay's own lateness; true clients connect to send at once, and wait 0.4 s for the answer.
FIRST_WITHIN = 1500 * MS  # for the first byte of a connection
READ_WITHIN = SECOND  # for the rest of a request that has begun
# an answer is a few bytes: a client that does not take them is gone
WRITE_WITHIN = SECOND
ANSWER_WITHIN = SECOND  # clients wait 0.4 s: whoever had no answer by now is gone
# idle this long, it may be closed without harm: the protocol's figure
LEFT = 2 * SECOND
# what a client still sends after an error is read away so that it sees the answer,
LINGER = 200 * MS
# up to so much: of a body that goes on and on it has to see a close
LINGER_MOST = 4 * 64 * 1024
# clients wait no longer for an answer: what was sent before, nobody asks for any more
STOOD_MOST = 400 * MS
# from the start: what came while it went on is read by then, and what that was followed by
SURE_AFTER = SECOND


# What a connection has carried tells what its idling is worth. How long one has to have stood before it is closed for
# others, by the need: a place for a new connection, or a place among the idle ones; None: not for that.
NEW, ONCE, AGAIN = "new", "once", "again"
ROOM, CROWD = 0, 1
MAY_GO = {  # in the order in which they go
    # Without a byte yet: many times a client's round trip. Danger: its first request may be on its way.
    NEW: (150 * MS, None),
    # Asked once and stayed: many times the span in which one that goes on asks again. Most never do.
    ONCE: (SECOND, 100 * MS),
    # Asked on: idle this long, it is not about to carry a request.
    AGAIN: (SECOND, SECOND),
}


class CloseReason(Enum):
    """Why a client's connection ended; the values stand in the log's counts."""

    CLIENT = "ended by its client"
    LAST_ANSWER = "its answer said so"
    MALFORMED = "no request that can be read"
    LATE = "nothing came in time"
    UNANSWERED = "no answer in time"
    ROOM = "idle, room for others"
    SHUTDOWN_IDLE = "idle at the shutdown"
    SHUTDOWN_UNFINISHED = "no whole request at the shutdown"
    HAND_OVER = "passed to the next process"
    HAND_OVER_BUSY = "no answer in time for a hand-over"


# With these the relay closes of itself, and may do so only where no request has been read and not answered.
OWES_NOTHING = (CloseReason.ROOM, CloseReason.SHUTDOWN_IDLE, CloseReason.SHUTDOWN_UNFINISHED)


class Conn:
    """A client's connection; `ask` is the id of the request that waits for its answer; `number`: as the trace knows it."""

    def __init__(self, stream, number: int):
        self.number = number
        self.stream, self.task, self.ask, self.reply, self.kind = stream, None, None, None, NEW
        self.busy = False  # its request is whole, and the answer not written yet
        self.reason = None  # why it ends
        self.since = stream.scheduler.clock()


class Clients:
    def __init__(self, scheduler, config, budget, post):
        self.scheduler, self.config, self.budget, self.post = scheduler, config, budget, post
        self.clock, self.conns, self.ready, self.closing = scheduler.clock, {}, False, False
        self.listener, self.counts, self.short = None, Counter(), False
        self.trace, self.serial = NO_TRACE, 0
        self.first_waits = self.clock()  # since when some may have waited to be accepted
        # told of each request that never reaches the core; set when wiring
        self.turned_away = lambda kind: None
        # no request is begun; tasks that wait for that to end
        self.held_back, self.gated = False, []
        # how long what is read right after the start may have waited
        self.unread = STOOD_MOST
        # from when on what is read tells by itself how long it has waited
        self.sure = 0
        # connections between requests, the one idle longest first
        self.idle = {kind: {} for kind in MAY_GO}
        budget.idlers["left client"] = lambda: self.close_idlest(ROOM, LEFT)
        budget.idlers["client"] = lambda: self.close_idlest(ROOM)

    def begin(self, unread: int = STOOD_MOST) -> None:
        """Serves from here on; `unread`: how long what is read now may have waited for this process."""
        self.ready, self.sure, self.unread = (
            True,
            self.clock() + SURE_AFTER,
            min(unread, STOOD_MOST),
        )

    def listen(self, listener=None) -> None:
        """Takes connections, on the listener that an earlier process handed over or on a new one."""
        try:
            self.listener = listener or listening(self.scheduler.machine, self.config.listen)
        except OSError as error:
            if error.errno not in PASSING:
                raise
            self.counts["listen failed"] += 1
        self.budget.take("listener")
        self.scheduler.spawn_kept(self.serve_listener)

    def serve_listener(self) -> None:
        """Danger: a restart in a moment in which the machine lacks something must not be a relay that will not start."""
        while self.listener is None and not self.closing:
            self.scheduler.sleep(self.clock() + self.PAUSE)
            try:
                self.listener = listening(self.scheduler.machine, self.config.listen)
            except OSError:
                self.counts["listen failed"] += 1
        self.accept()

    def can_serve(self) -> bool:
        return self.ready and (self.listener is not None or self.closing)

    PAUSE = 20 * MS  # between tries while no connection can be taken
    # of accept(2) in a row, as each may have failed for one connection alone
    RETRIES_AT_ONCE = 16

    def accept(self) -> None:
        failures = 0  # in a row
        while self.listener is not None:
            if self.held_back:
                self.scheduler.wait(self.listener.fileno(), 0)
                continue
            self.short = not self.budget.take("client", OUTGOING)
            # meanwhile answers end their connections, where nothing can be lost
            if self.short:
                self.scheduler.sleep(self.clock() + self.PAUSE)
                continue
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                self.budget.give("client")
                if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                    self.scheduler.wait(self.listener.fileno(), READ)
                    self.first_waits = self.scheduler.task_came_after()
                    continue
                failures += 1
                self.counts["accept failed"] += 1
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.close_idlest(ROOM)
                    self.scheduler.sleep(self.clock() + self.PAUSE)
                elif failures <= self.RETRIES_AT_ONCE:
                    self.scheduler.pause()
                else:
                    self.scheduler.sleep(self.clock() + self.PAUSE)
                continue
            failures = 0
            self.open(sock).stream.empty_at = self.first_waits

    def open(self, sock, data=b"", kind=NEW) -> Conn:
        """Serves a connection whose place in the budget is taken; `data`: what was read of it before."""
        self.serial += 1
        stream = HttpStream(self.scheduler, sock, "client", self.budget, answers=False)
        conn = Conn(stream, self.serial)
        conn.kind = kind
        conn.stream.refill(data)
        self.conns[conn] = True
        self.stand(conn)
        conn.task = self.scheduler.spawn(self.serve, conn)
        return conn

    def stand(self, conn) -> None:
        """Between two requests, or before the first: it may be closed for others from here on."""
        conn.stream.idle_since = self.clock()
        self.idle[conn.kind][conn] = True

    def stir(self, conn) -> None:
        """A request begins on it, or it is over."""
        conn.stream.idle_since = 0
        self.idle[conn.kind].pop(conn, None)

    def close_idlest(self, need: int, least: int = 0) -> bool:
        """Closes the connection that can best be spared for `need`, if one has stood long enough for its kind, and for
        `least` if it has been served.

        Danger: a request may be on its way on it. Danger: a silent crowd keeps all others out.
        """
        now = self.clock()
        for kind, spans in MAY_GO.items():
            span = spans[need]
            if span is None:
                continue
            for conn in self.idle[kind]:
                if now - conn.stream.idle_since < (span if kind is NEW else max(span, least)):
                    break
                if conn.stream.quiet():
                    self.close(conn, CloseReason.ROOM)
                    return True
        return False

    def close(self, conn, reason: CloseReason) -> None:
        """Ends a connection, for the first reason that it is given. The one place where this side does."""
        check_invariant(
            reason not in OWES_NOTHING or not conn.busy, "closed_owing_nothing", reason=reason.value
        )
        if conn.reason is None:
            conn.reason = reason
            self.counts[f"closed: {reason.value}"] += 1
        self.stir(conn)
        conn.stream.close()

    def crowded(self, conn) -> bool:
        """Whether this connection is to end with its first answer, since as many stand idle as may and none can go.

        Danger: clients have a bounded number of connections to a relay. Those that idle here for nobody keep their
        next requests out, while the relay itself is short of nothing.
        """
        if len(self.idle[ONCE]) + len(self.idle[AGAIN]) < self.config.client_idle:
            return False
        return not self.close_idlest(CROWD) and conn.kind is NEW

    def serve(self, conn) -> None:
        reason = CloseReason.CLIENT
        try:
            while self.exchange(conn):
                pass
            reason = CloseReason.LAST_ANSWER
        except Late:
            reason = CloseReason.UNANSWERED if conn.busy else CloseReason.LATE
        except (Broken, OSError):
            pass
        finally:
            self.conns.pop(conn, None)
            self.close(conn, reason)
            self.trace.record(
                Step.CONNECTION_CLOSED, conn.ask, connection=conn.number, reason=conn.reason.value
            )

    def exchange(self, conn) -> bool:
        """One request and its answer; whether the connection goes on."""
        stream = conn.stream
        try:
            if len(stream.buffer):
                # requests sent in a row don't hold up the other connections
                self.scheduler.pause()
            else:
                self.stand(conn)
                stream.read(conn.since + FIRST_WITHIN if conn.kind is NEW else None)
            while self.held_back:
                self.gated.append(conn.task)
                self.scheduler.wait()
                if not stream.open:
                    raise Broken("given to the next process")
            self.stir(conn)
            head, body = self.request(stream)
            conn.busy = True
            status, headers, text = self.route(conn, head, body)
        except http.Malformed as error:
            conn.busy = True
            self.counts["malformed"] += 1
            stream.send(
                http.answer(error.status, body=str(error).encode(), close=True),
                self.clock() + WRITE_WITHIN,
            )
            self.finish(conn, CloseReason.MALFORMED)
            return False
        close = not head.keep or self.closing or self.short or self.crowded(conn)
        conn.kind = ONCE if conn.kind is NEW else AGAIN
        data = http.answer(status, headers, text, close)
        if conn.ask is None:
            stream.send(data, self.clock() + WRITE_WITHIN)
        else:
            self.tell(conn, data)
        if close:
            self.finish(conn, CloseReason.LAST_ANSWER)
            return False
        conn.busy = False
        return True

    def finish(self, conn, reason: CloseReason) -> None:
        """Ends a connection behind its last answer; till then it counts as busy, so that neither an end nor an upgrade cuts it.

        Danger: closed over bytes that lie unread or are on their way, it is reset, and a 202 that was just written is lost with
        it. What comes once the sending has ended is read away and never handed over, as its answer could not be written.
        """
        conn.reason = reason
        self.counts[f"closed: {reason.value}"] += 1
        finish(conn.stream, LINGER, LINGER_MOST)

    def request(self, stream):
        """A request's head and body."""
        until = self.clock() + READ_WITHIN
        try:
            head = stream.head(until)
            length = head.length or 0
            if (
                head.headers.get("expect", "").lower() == "100-continue"
                and len(stream.buffer) < length
            ):
                stream.send(b"HTTP/1.1 100 Continue\r\n\r\n", until)
            body, stream.parser.raw = stream.body(head, until) if length else b"", b""
            return head, body
        except Late:
            raise http.Malformed(408, "the request did not get whole in time") from None

    def route(self, conn, head, body):
        method, target, _ = head.first
        path = target.partition("?")[0]
        if path == "/health/ready":
            return (200 if self.ready else 503), (), b""
        if path == "/health/live":
            return 200, (), b""
        if path != "/api":
            return 404, (), b""
        if method != "POST":
            return 405, (("Allow", "POST"),), b""
        if not self.ready:
            self.turned_away(head.headers.get("req-kind", ""))
            return 503, (), b""
        fresh = hand_in.fresh(head.headers, body, self.config, self.clock())
        fresh.deadline -= self.unread_for(conn)
        conn.ask, conn.reply = fresh.id, None
        self.trace.record(
            Step.HANDED_IN, fresh.id, connection=conn.number, left=fresh.deadline - self.clock()
        )
        self.post(ev.Submitted(conn, fresh))
        until = self.clock() + ANSWER_WITHIN
        while conn.reply is None:
            # danger: the answer may have come in the same turn, and what it took on must not be withdrawn
            if self.scheduler.wait(until=until) == LATE and conn.reply is None:
                # Withdrawn, it has surely not run. Danger: closed without an answer, it is lost to its client.
                self.post(ev.AnswerNotWritten(fresh.id, conn))
                conn.reply = conn.reply or (503, 0, "not answered")
        status, wait, why = conn.reply
        self.counts[why or status] += 1
        return status, ((("Retry-After", hand_in.seconds(wait)),) if wait else ()), b""

    def unread_for(self, conn) -> int:
        """Nanoseconds that the request read now on `conn` may have waited to be read; its time runs from when it was sent.

        Danger: what came in while this process stood still would be ended late. So would a first request that came while its
        connection waited to be accepted, be it for want of descriptors.
        Danger: right after a start nothing tells how long what is read has waited; it may be as long as any client waits.
        """
        now = self.clock()
        span = now - conn.stream.came_after
        if now < self.sure:
            span = max(span, self.unread)
        return min(span, STOOD_MOST)

    def answer(self, effect) -> None:
        """The core's answer to a request."""
        conn = effect.client
        conn.reply = (effect.status, effect.retry_after, effect.reason)
        self.scheduler.resume(conn.task)

    def tell(self, conn, data) -> None:
        """Writes the answer; the core learns whether the client was still there for one that it is taken on."""
        ask, conn.ask, told = conn.ask, None, conn.reply[0] == 202
        try:
            if conn.stream.ended():
                raise Broken("gone before its answer")
            conn.stream.send(data, self.clock() + WRITE_WITHIN)
        except (Broken, Late):
            if told:
                self.counts["gone"] += 1
                self.trace.record(Step.WITHDRAWN, ask, connection=conn.number)
                self.post(ev.AnswerNotWritten(ask, conn))
            raise
        self.trace.record(Step.ANSWER_WRITTEN, ask, connection=conn.number, status=conn.reply[0])
        if told:
            self.post(ev.AnswerWritten(ask, conn))

    # An upgrade: the connections pass to the next process

    def hold(self) -> None:
        """Takes no connection and begins no request; what has begun is finished."""
        self.held_back = True

    def calm(self) -> bool:
        return not any(conn.busy for conn in self.conns)

    def go_on(self, rows, unread: int) -> None:
        """Takes back what `give` gave; what is read now may have waited for `unread`."""
        self.begin(unread)
        for row in rows:
            self.adopt(*row)
        self.held_back, gated, self.gated = False, self.gated, []
        for task in gated:
            self.scheduler.resume(task)
        if self.listener is not None:
            self.scheduler.cut(self.listener.fileno())

    def drop_busy(self) -> None:
        """Those whose answer can't be written in time: the core learns that they have not heard."""
        for conn in self.conns:
            if conn.busy:
                self.close(conn, CloseReason.HAND_OVER_BUSY)

    def give(self):
        """The connections, as rows (message, body, socket). Nothing of them is used here any more."""
        rows = []
        for conn in [conn for conn in self.conns if conn.stream.open]:
            conn.reason = CloseReason.HAND_OVER
            sock, data = conn.stream.detach()
            rows.append(({"k": "client", "kind": conn.kind}, data, sock))
        return rows

    def adopt(self, message, data, sock) -> None:
        """A connection that an earlier process gave, or that comes back."""
        if not self.budget.take("client", OUTGOING):
            sock.close()
            return
        self.open(sock, data, next((kind for kind in MAY_GO if kind == message["kind"]), NEW))

    # The end

    def let_go(self) -> None:
        """Takes what still waits to be accepted; then new connections are refused, kept ones end with an answer."""
        listener, self.listener, self.closing = self.listener, None, True
        if listener is None:
            return
        failures = 0
        while self.budget.take("client", OUTGOING):
            try:
                sock, _ = listener.accept()
            except OSError as error:
                self.budget.give("client")
                failures += 1
                if (
                    error.errno in (errno.EAGAIN, errno.EWOULDBLOCK)
                    or failures > self.RETRIES_AT_ONCE
                ):
                    break
                # danger: with one connection that is gone, those behind it would be reset
                continue
            self.open(sock)
        self.listener = listener
        self.close_listener()

    def close_listener(self) -> None:
        listener, self.listener = self.listener, None
        if listener is not None:
            self.scheduler.cut(listener.fileno())
            listener.close()
            self.budget.give("listener")

    def close_idle(self) -> None:
        """Closes what no request is on its way on, so that none is read from here on but such as lie there already; those get
        their answer. Danger: one that this process has read, and not answered, when it ends is lost to its client."""
        for conn in [conn for conn in self.conns if conn.stream.idle_since and conn.stream.quiet()]:
            self.close(conn, CloseReason.SHUTDOWN_IDLE)

    def close_unfinished(self) -> None:
        """What has not got whole by now is not read any more."""
        for conn in [conn for conn in self.conns if not conn.busy]:
            self.close(conn, CloseReason.SHUTDOWN_UNFINISHED)
