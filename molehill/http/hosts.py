"""Calls to hosts: kept connections, one call at a time on each, and what came back read as an outcome."""

from collections import Counter
from dataclasses import replace
from typing import Optional

from molehill.config import MS, RESERVED_OUTGOING, parse_address
from molehill.core import events as ev
from molehill.core.permission import Refusal
from molehill.http import host_responses
from molehill.http import parser as http
from molehill.http.idle_connections import IdleConnections
from molehill.http.stream import HttpStream
from molehill.http.timed_out_calls import TimedOutCalls
from molehill.interface import Result
from molehill.runtime.stream import (
    ConnectionBroken,
    LocalError,
    NoDescriptor,
    TimedOut,
    connect_stream,
)
from molehill.runtime.trace import NO_TRACE, Step

# looks at idle connections: an ended one gives its descriptor back soon
SWEEP_INTERVAL = 200 * MS
# before a call is given back for which this machine lacked something
LOCAL_ERROR_DELAY = 20 * MS
# for the rest of an answer whose outcome is known: pieces come close together
REMAINDER_TIMEOUT = 250 * MS
# no answer comes within it: a host has to read the call, do its work and write
MIN_ANSWER_TIME = MS


class RunningCall:
    """A call that is out; `is_written`: its last byte has gone on its connection; `on_new_connection`: it is the first one on that."""

    def __init__(self, call, started_at):
        self.call, self.started_at, self.is_written, self.on_new_connection = (
            call,
            started_at,
            False,
            False,
        )
        self.written_at = None  # when its last byte went
        self.unread_until = None  # given up unanswered: how long its host may still read it
        self.awaits_host_close = False  # its connection is kept for the host's end


class Hosts:
    def __init__(self, scheduler, config, budget, post, refusal, figures):
        self.scheduler, self.config, self.budget, self.post, self.refusal = (
            scheduler,
            config,
            budget,
            post,
            refusal,
        )
        self.clock, self.figures, self.trace = scheduler.clock, figures, NO_TRACE
        self.idle_connections = IdleConnections(self.clock, config.settings.connection_idle)
        self.streams: dict[int, HttpStream] = {}  # call -> its connection
        self.running_calls: dict[int, RunningCall] = {}  # calls out, by number
        self.aborted: set[int] = set()
        # to the next process: nothing is begun any more; calls that may come back
        self.is_handed_over, self.handed_over_calls = False, {}
        self.calls_in_flight, self.counts = 0, Counter()  # calls out; outcomes by name, for the log
        self.timed_out_calls = TimedOutCalls(scheduler, post, config.settings.max_calls)
        budget.idle_closers["host"] = (
            lambda: self.timed_out_calls.close_oldest() or self.idle_connections.close_oldest()
        )
        scheduler.call_at(self.clock() + SWEEP_INTERVAL, self.sweep_idle)

    # Idle connections

    def sweep_idle(self) -> None:
        self.scheduler.call_at(self.clock() + SWEEP_INTERVAL, self.sweep_idle)
        self.idle_connections.close_unusable()

    def close_idle_connections(self, host) -> None:
        self.idle_connections.close_host(host)

    # An upgrade: the connections pass to the next process

    def is_quiescent(self) -> bool:
        return all(running.is_written for running in self.running_calls.values())

    def hand_over(self):
        """Rows (message, body, socket) for calls that are written and for idle connections. What is in none was not written
        whole, and never ran. Nothing of it is used here any more."""
        rows, self.is_handed_over, self.handed_over_calls = [], True, {}
        self.timed_out_calls.close_all()
        for number, running in self.running_calls.items():
            stream, call = self.streams.get(number), running.call
            if (
                not running.is_written
                or not stream.is_open
                or not call.callbacks
                or number in self.aborted
            ):
                if stream is not None:
                    stream.close()
                continue
            sock, data = stream.detach()
            rows.append(
                (
                    {
                        "k": "call",
                        "n": number,
                        "host": call.host,
                        "at": "%s:%d" % call.address,
                        "bundle": call.is_bundle,
                        "start": running.started_at,
                        "members": [[m.id, m.deadline] for m in call.callbacks],
                    },
                    data,
                    sock,
                )
            )
            # its task here has nothing more to tell of it
            self.handed_over_calls[number], call.callbacks = replace(call), []
        return rows + self.idle_connections.hand_over()

    def take_back(self, rows) -> None:
        """Takes back what `hand_over` gave: the next process is gone, and what it had of these connections it never used."""
        self.is_handed_over, handed_over_calls, self.handed_over_calls = (
            False,
            self.handed_over_calls,
            {},
        )
        for message, data, sock in rows:
            call = handed_over_calls.get(message["n"]) if message["k"] == "call" else None
            if not self.adopt_connection(message, data, sock, call) and call is not None:
                self._report_same_end(
                    call, message["start"], call.callbacks, ev.AttemptOutcome("", Result.RESET)
                )

    def adopt_connection(self, message, data, sock, call=None) -> bool:
        """A connection that an earlier process gave, or that comes back with its call; whether it can be used. Raises ValueError
        and the like for no such row."""
        if message["k"] == "call":
            call = call or ev.Call(
                message["n"],
                message["host"],
                parse_address(message["at"], "at"),
                message["bundle"],
                [
                    ev.OutgoingCallback(callback_id, None, b"", until)
                    for callback_id, until in message["members"]
                ],
            )
        if not self.budget.acquire("host", RESERVED_OUTGOING):
            sock.close()
            return False
        stream = HttpStream(self.scheduler, sock, "host", self.budget)
        stream.restore_unread(data)
        if message["k"] == "idle":
            self.idle_connections.put(message["host"], stream, message["since"])
            return True
        self.calls_in_flight += 1
        running = RunningCall(call, message["start"])
        running.written_at = self.clock()  # by the earlier process, at the latest now
        self.running_calls[call.number], self.streams[call.number] = running, stream
        self.scheduler.spawn(self._run_call, call, stream)
        return True

    # Calls

    def start_call(self, call) -> None:
        self.calls_in_flight += 1
        self.running_calls[call.number] = RunningCall(call, self.clock())
        self.scheduler.spawn(self._run_call, call)

    def abort_call(self, number) -> None:
        self.aborted.add(number)
        if number in self.streams:
            self.streams[number].close()

    def _run_call(self, call, stream=None) -> None:
        """Carries a call to its end; `stream`: the connection on which an earlier process wrote it."""
        running = self.running_calls[call.number]
        started_at = running.started_at
        try:
            stream = stream or self._write_call(call, started_at)
            if stream is not None:
                running.is_written = True
                self._read_answer(call, stream, started_at)
        finally:
            self.calls_in_flight -= 1
            self.streams.pop(call.number, None)
            stays_open = stream is not None and (stream.idle_since or running.awaits_host_close)
            if stream is not None and not stays_open:
                stream.close()
            # a fault of this code: nothing is known, so each may have run
            if call.callbacks:
                self._report_same_end(
                    call, started_at, call.callbacks, ev.AttemptOutcome("", Result.RESET)
                )
            del self.running_calls[call.number]
            self.aborted.discard(call.number)

    def _report_same_end(
        self, call, started_at, members, end, advertised=(0.0, None), wait=0, answered_at=None
    ) -> None:
        self._report_ends(
            call,
            started_at,
            [replace(end, id=m.id, retry_after=wait) for m in members],
            advertised,
            answered_at,
        )

    def _report_ends(
        self, call, started_at, ends, advertised=(0.0, None), answered_at=None
    ) -> None:
        """What became of these; `answered_at`: when the answer's head did, which is what its latency goes by."""
        ended = {end.id for end in ends}
        if self.trace.is_on:
            self._trace_ends(call, ends)
        self.counts.update(end.result.value for end in ends)
        call.callbacks = [m for m in call.callbacks if m.id not in ended]
        if ends and call.number not in self.aborted:
            latency = (answered_at or self.clock()) - started_at
            running = self.running_calls[call.number]
            rate, left = advertised
            self.post(
                ev.CallEnded(
                    call.number, latency, ends, rate, left, running.written_at, running.unread_until
                )
            )

    def _write_call(self, call, started_at):
        """A connection with the whole request written on it, or None once the call's end is reported."""
        until, running = call_deadline(call), self.running_calls[call.number]
        if not self._may_write(call, started_at):
            return None
        for stream in (self.idle_connections.take(call.host), None):
            on_new_connection = stream is None
            try:
                if on_new_connection:
                    connect_deadline = min(until, started_at + self.config.connect_time_out)
                    stream = connect_stream(
                        self.scheduler,
                        call.address,
                        "host",
                        self.budget,
                        HttpStream,
                        connect_deadline,
                        RESERVED_OUTGOING,
                    )
                    self.counts["connected"] += 1
                self.streams[call.number], stream.idle_since, stream.parser.start_line_bytes = (
                    stream,
                    0,
                    b"",
                )
                running.on_new_connection = on_new_connection
                if not self._may_write(call, started_at):
                    stream.close()
                    return None
                # in the log before its first byte; where that fails, the call is aborted
                self.post(ev.CallConnected(call.number))
                # Danger: the log was written anew or its disk was slow, and the call's time is up.
                if not self._may_write(call, started_at):
                    stream.close()
                    return None
                write_started_at = self.clock()
                stream.send(self._build_request(call), until)
                running.written_at = self.clock()
                self.figures.relayed += len(call.callbacks)
                if self.trace.is_on:
                    self._trace_written(call, on_new_connection, until)
                # More than the last answer, if no answer to this can have come. Danger: after a standstill in between, one can.
                if (
                    not on_new_connection
                    and stream.has_unread()
                    and self.clock() < write_started_at + MIN_ANSWER_TIME
                ):
                    stream.close()
                    self._report_same_end(
                        call, started_at, call.callbacks, ev.AttemptOutcome("", Result.RESET)
                    )
                    return None
                return stream
            except NoDescriptor as error:  # this relay's own trouble: it tells nothing of the host
                if stream is not None:
                    stream.close()
                refusal = Refusal.NO_DESCRIPTOR
                if isinstance(error, LocalError):
                    # Danger: asked for anew as fast as it fails, it takes the whole core.
                    refusal = Refusal.LOCAL_ERROR
                    self.scheduler.sleep_until(min(until, self.clock() + LOCAL_ERROR_DELAY))
                self._report_same_end(call, started_at, call.callbacks, not_sent_end(refusal))
                return None
            except (ConnectionBroken, TimedOut) as error:
                if stream is not None:
                    stream.close()  # before the last byte: it never ran
                if on_new_connection or isinstance(error, TimedOut):
                    break  # else a kept connection broke: once more on a new one
        self._report_same_end(
            call, started_at, call.callbacks, ev.AttemptOutcome("", Result.NO_CONNECT)
        )
        return None

    def _trace_ends(self, call, ends) -> None:
        for end in ends:
            self.trace.record(
                Step.CALL_ENDED,
                end.id,
                call=call.number,
                host=call.host,
                result=end.result.value,
                why=end.reason.name.lower() if end.reason is not None else None,
            )

    def _trace_written(self, call, on_new_connection: bool, until: int) -> None:
        left = until - self.clock()
        for member in call.callbacks:
            self.trace.record(
                Step.CALL_WRITTEN,
                member.id,
                call=call.number,
                host=call.host,
                fresh=on_new_connection,
                left=left,
            )

    def _may_write(self, call, started_at) -> bool:
        """Whether its time is not up, and the relay was not told meanwhile to wait, or that the host drains; else the call's end.

        Danger: a connection comes up in the very turn in which the call's time is up, and it is sent on after its end."""
        refusal = self._refusal(call)
        if refusal is not None:
            self._report_same_end(call, started_at, call.callbacks, not_sent_end(refusal))
        return refusal is None

    def _refusal(self, call) -> Optional[Refusal]:
        now = self.clock()
        if self.is_handed_over:
            return Refusal.HAND_OVER
        if call.number in self.aborted:
            return Refusal.CALLED_OFF
        if now >= call_deadline(call):
            return Refusal.TIME_UP
        return self.refusal(call.number, now)

    def _build_request(self, call) -> bytes:
        now, host = self.clock(), "%s:%d" % call.address
        wait = max(
            1, -(-(call_deadline(call) - now) // MS)
        )  # up: never less than what is really waited
        headers = [("Req-Deadline-Ms", str(wait))]
        if not call.is_bundle:
            member = call.callbacks[0]
            headers.insert(0, ("Req-Id", member.id))
            if member.idempotency_key is not None:
                headers.append(("Idempotency-Key", member.idempotency_key))
            return http.build_request("POST", "/events", host, headers, member.body)
        body = b"".join(
            f"{m.id} {m.idempotency_key or '-'} {len(m.body)}\r\n".encode("latin-1")
            + m.body
            + b"\r\n"
            for m in call.callbacks
        )
        return http.build_request("POST", "/events/bundle", host, headers, body)

    def _read_answer(self, call, stream, started_at) -> None:
        """Reads the answer whole, as till then the host holds the call, and reports what it says.

        Danger: half an answer that turned away proves nothing. Of one that is spoilt, only a first line with 200 to a
        call of one stands. So for that, and for an error, which proves as little, the rest is not waited for long.
        """
        until, answered_at, outcome_known, end = call_deadline(call), None, False, None
        try:
            head, answered_at = stream.read_response_head(until), self.clock()
            outcome_known = not call.is_bundle and head.status in (200, 500)
            body = stream.read_body(
                head, min(until, answered_at + REMAINDER_TIMEOUT) if outcome_known else until
            )
        except (ConnectionBroken, TimedOut, http.MalformedMessage) as error:
            start_received = stream.parser.start_line_bytes or stream.buffer.peek(64)
            if isinstance(error, TimedOut) and not outcome_known:
                end = ev.AttemptOutcome("", Result.TIMEOUT)
            elif (
                not call.is_bundle
                and start_received.startswith(b"HTTP/1.1 200 ")
                and b"\r\n" in start_received
            ):
                end = host_responses.END_BY_STATUS[200]
            else:
                end = (
                    host_responses.END_BY_STATUS[500]
                    if outcome_known
                    else ev.AttemptOutcome("", Result.RESET)
                )
        # Danger: an answer that comes once the call's time is up is no delivery, whatever it says: the host has given the call up
        # by then, as this relay told it to. What is read too late, since this relay stood still, may be such a one, and it
        # tells nothing of the host.
        known_at = answered_at if outcome_known and answered_at is not None else self.clock()
        if (end is None or end.result is not Result.TIMEOUT) and known_at > until:
            end = ev.AttemptOutcome("", Result.CANCELLED)
        if end is not None:
            return self._end_without_answer(
                call,
                stream,
                started_at,
                end,
                answered_at if end.result is not Result.TIMEOUT else None,
            )
        if head.keep_alive and self.idle_connections.max_idle_time > 0 and stream.is_quiet():
            stream.parser.raw_head = b""
            self.idle_connections.put(call.host, stream, self.clock())
        else:
            stream.close()
        advertised = host_responses.advertised_limit(
            head, self.config.settings.limits_are_advertised
        )
        wait = host_responses.retry_after(head)
        if call.is_bundle and head.status == 200:
            ended = host_responses.ends_by_line(call.callbacks, body, wait)
            self._report_ends(call, started_at, ended, advertised, answered_at)
            return
        end = host_responses.call_end(head, self.running_calls[call.number].on_new_connection)
        self._report_same_end(call, started_at, call.callbacks, end, advertised, wait, answered_at)

    def _end_without_answer(self, call, stream, started_at, end, answered_at) -> None:
        """No answer to it comes on that connection any more that would be worth having: nor may it carry another call."""
        if (
            end.result is Result.TIMEOUT
            and not stream.parser.start_line_bytes
            and not len(stream.buffer)
        ):
            self._await_host_close(call, stream)
        else:
            stream.close()
        self._report_same_end(call, started_at, call.callbacks, end, answered_at=answered_at)

    def _await_host_close(self, call, stream) -> None:
        """Ends the sending of a call with no byte of an answer. Its host may read it later; how much later is bounded as for a
        connection that does not come up."""
        running = self.running_calls[call.number]
        until = running.written_at + self.config.connect_time_out
        if call.number in self.aborted or until <= self.clock():
            stream.close()
            return
        running.unread_until, running.awaits_host_close = until, True
        self.timed_out_calls.await_host_close(
            call.number, [member.id for member in call.callbacks], stream, until
        )


def not_sent_end(refusal: Refusal) -> ev.AttemptOutcome:
    """The end of a callback that never left this relay."""
    return ev.AttemptOutcome("", Result.NOT_SENT, unsent=True, reason=refusal)


def call_deadline(call) -> int:
    """When a call is given up: as soon as one of its members' time is up. It is one call, to the host as well, and has one time."""
    return min(member.deadline for member in call.callbacks)
