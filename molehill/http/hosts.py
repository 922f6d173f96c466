"""Calls to hosts: persistent connections with one call at a time, and the outcomes of the calls.

`Hosts.start_call` is handed an `ev.Call` by the core. Its task writes the call on a connection,
reads the answer, and hands one or more `ev.CallEnded` with the outcome of each callback to `post`.
In an upgrade, written calls and idle connections are handed over to the next process.
"""

from collections import Counter
from dataclasses import replace
from typing import Optional

from molehill.config import MS, RESERVED_OUTGOING, parse_address
from molehill.core import events as ev
from molehill.core.permission import Refusal
from molehill.http import host_responses
from molehill.http import parser as http
from molehill.http.answer_reader import AnswerReader
from molehill.http.answer_variety import AnswerVariety
from molehill.http.host_connection import HostConnection
from molehill.http.idle_connections import CloseReason, IdleConnections
from molehill.http.timed_out_calls import TimedOutCalls
from molehill.interface import Result
from molehill.runtime.stream import (
    ConnectionBroken,
    ConnectionRefused,
    LocalError,
    NoDescriptor,
    TimedOut,
    connect_stream,
)
from molehill.runtime.trace import NO_TRACE, Step

# between checks of idle connections, so that one that has ended soon releases its file descriptor
SWEEP_INTERVAL = 200 * MS
# before the end of a call is reported that this machine had no resources for
LOCAL_ERROR_DELAY = 20 * MS
# No answer comes sooner: the host has to read the call, do its work and write.
MIN_ANSWER_TIME = MS


class AddressUnconfirmed(ConnectionBroken):
    """The host may have left its address, and another one may listen there."""


class RunningCall:
    """A call in flight.

    `is_written`: its last byte has been written to its connection. `on_new_connection`: it is the
    first call on that connection.
    """

    def __init__(self, call, started_at):
        self.call, self.started_at, self.is_written, self.on_new_connection = (
            call,
            started_at,
            False,
            False,
        )
        self.written_at = None  # when its last byte was written
        self.unread_until = None  # after a timeout: until when its host may still read it
        self.awaits_host_close = False  # its connection stays open until the host closes it


class Hosts:
    """Runs the calls to hosts.

    `post` takes the events for the core; `refusal(number, now)` returns why a call must not be
    written any more, or None.
    """

    def __init__(self, scheduler, config, budget, post, refusal, figures):
        self.scheduler, self.config, self.budget, self.post, self.refusal = (
            scheduler,
            config,
            budget,
            post,
            refusal,
        )
        self.clock, self.figures, self.trace = scheduler.clock, figures, NO_TRACE
        self.idle_connections = IdleConnections(
            self.clock, config.settings.connection_idle, self._count_closed
        )
        self.answer_variety = AnswerVariety()
        self.streams: dict[int, HostConnection] = {}  # call -> its connection
        self.running_calls: dict[int, RunningCall] = {}  # calls in flight, by number
        self.aborted: set[int] = set()
        # after the handover to the next process no call is started; these calls may be taken back
        self.is_handed_over, self.handed_over_calls = False, {}
        self.calls_in_flight, self.counts = 0, Counter()  # outcomes by name, for the log
        # whether a new connection to an address may be opened; set when the parts are connected
        self.may_connect = lambda address: True
        self.timed_out_calls = TimedOutCalls(scheduler, post, config.settings.max_calls)
        budget.idle_closers["host"] = (
            lambda: self.timed_out_calls.close_oldest() or self.idle_connections.close_oldest()
        )
        scheduler.call_at(self.clock() + SWEEP_INTERVAL, self.sweep_idle)

    # Idle connections

    def _count_closed(self, reason: CloseReason) -> None:
        self.counts[f"closed: {reason.value}"] += 1

    def sweep_idle(self) -> None:
        """Closes the idle connections that can't be used any more, now and every SWEEP_INTERVAL."""
        self.scheduler.call_at(self.clock() + SWEEP_INTERVAL, self.sweep_idle)
        self.idle_connections.close_unusable()

    def close_idle_connections(self, host) -> None:
        """Closes the idle connections to a host."""
        self.idle_connections.close_host(host)

    # Upgrade: the connections are handed over to the next process

    def is_quiescent(self) -> bool:
        """Whether every call in flight is written whole."""
        return all(running_call.is_written for running_call in self.running_calls.values())

    def hand_over(self):
        """Returns written calls and idle connections as rows (message, body, socket).

        This process uses them no more. A call without a row was not written whole, and never ran.
        """
        rows, self.is_handed_over, self.handed_over_calls = [], True, {}
        self.timed_out_calls.close_all()
        for number, running_call in self.running_calls.items():
            stream, call = self.streams.get(number), running_call.call
            if (
                not running_call.is_written
                or not stream.is_open
                or not call.callbacks
                or number in self.aborted
            ):
                if stream is not None:
                    stream.close()
                continue
            connection_row = stream.handover_row()
            sock, data = stream.detach()
            rows.append(
                (
                    {
                        **connection_row,
                        "k": "call",
                        "n": number,
                        "host": call.host,
                        "at": "%s:%d" % call.address,
                        "bundle": call.is_bundle,
                        "start": running_call.started_at,
                        "members": [[m.id, m.deadline] for m in call.callbacks],
                    },
                    data,
                    sock,
                )
            )
            # The call's task in this process has nothing left to report.
            self.handed_over_calls[number], call.callbacks = replace(call), []
        rows += self.idle_connections.hand_over()
        for row, _, _ in rows:
            row["varied"] = self.answer_variety.is_varied(row["host"])
        return rows

    def take_back(self, rows) -> None:
        """Takes back the rows of `hand_over` after a failed upgrade.

        The next process is gone, and never used the connections.
        """
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
        """Continues a connection that was handed over, or that is taken back with its `call`.

        Returns whether it can be used: without a file descriptor for it, it is closed, and an idle
        one if a release handed it over that did not tell its answers. Raises ConfigError,
        ValueError, KeyError or TypeError if the row is invalid.
        """
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
        knows_answers = "answers" in message
        is_useless = message["k"] == "idle" and not knows_answers
        calls_written = int(message.get("calls", 0))
        digests = {int(digest) for digest in message.get("answers", ())}
        if is_useless or not self.budget.acquire("host", RESERVED_OUTGOING):
            sock.close()
            return False
        stream = HostConnection(self.scheduler, sock, "host", self.budget)
        stream.restore_unread(data)
        stream.calls_written, stream.answer_digests = calls_written, digests
        if message.get("varied"):
            self.answer_variety.restore_varied(message["host"])
        if message["k"] == "idle":
            self.idle_connections.put(message["host"], stream, message["since"])
            return True
        self.calls_in_flight += 1
        running_call = RunningCall(call, message["start"])
        running_call.written_at = self.clock()  # the earlier process wrote it, at the latest now
        running_call.on_new_connection = stream.calls_written == 1
        self.running_calls[call.number], self.streams[call.number] = running_call, stream
        self.scheduler.spawn(self._run_call, call, stream)
        return True

    # Calls

    def start_call(self, call) -> None:
        """Starts a call in a separate task; its end is reported by `ev.CallEnded`."""
        self.calls_in_flight += 1
        self.running_calls[call.number] = RunningCall(call, self.clock())
        self.scheduler.spawn(self._run_call, call)

    def abort_call(self, number) -> None:
        """Aborts a call: no more of it is written, its connection is closed, no end is reported."""
        self.aborted.add(number)
        if number in self.streams:
            self.streams[number].close()

    def _run_call(self, call, stream=None) -> None:
        """Runs a call to its end; `stream`: the connection on which an earlier process wrote it."""
        running_call = self.running_calls[call.number]
        started_at = running_call.started_at
        try:
            stream = stream or self._write_call(call, started_at)
            if stream is not None:
                running_call.is_written = True
                self._read_answer(call, stream, started_at)
        finally:
            self.calls_in_flight -= 1
            self.streams.pop(call.number, None)
            stays_open = stream is not None and (
                stream.idle_since or running_call.awaits_host_close
            )
            if stream is not None and not stays_open:
                stream.close()
            # Callbacks are left without an outcome only after a fault of this code: as nothing is
            # known of them, each may have run.
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
        """Reports the outcomes of some or all callbacks of a call.

        `answered_at`: when the head of the answer was read, which the latency is measured by;
        without an answer the latency runs until now.
        """
        ended = {end.id for end in ends}
        if self.trace.is_on:
            self._trace_ends(call, ends)
        self.counts.update(end.result.value for end in ends)
        call.callbacks = [m for m in call.callbacks if m.id not in ended]
        if ends and call.number not in self.aborted:
            latency = (answered_at or self.clock()) - started_at
            running_call = self.running_calls[call.number]
            rate, share_left = advertised
            self.post(
                ev.CallEnded(
                    call.number,
                    latency,
                    ends,
                    rate,
                    share_left,
                    running_call.written_at,
                    running_call.unread_until,
                )
            )

    def _write_call(self, call, started_at):
        """Writes the whole request and returns its connection, or None if the call has ended.

        In the latter case its end has been reported. If an idle connection breaks before the last
        byte, the call is written once more on a new one.
        """
        until, running_call = call_deadline(call), self.running_calls[call.number]
        if not self._may_write(call, started_at):
            return None
        for stream in (self.idle_connections.take(call.host), None):
            on_new_connection = stream is None
            try:
                if on_new_connection:
                    connect_deadline = min(until, started_at + self.config.connect_time_out)
                    stream = self._connect(call.address, connect_deadline)
                self.streams[call.number], stream.idle_since, stream.parser.start_line_bytes = (
                    stream,
                    0,
                    b"",
                )
                running_call.on_new_connection = on_new_connection
                if not self._may_write(call, started_at):
                    stream.close()
                    return None
                # The attempt is logged before its first byte; if that fails, the call is aborted.
                self.post(ev.CallConnected(call.number))
                # While the log was rewritten or its disk was slow, the deadline may have passed.
                if not self._may_write(call, started_at):
                    stream.close()
                    return None
                write_started_at = self.clock()
                stream.send(self._build_request(call), until)
                running_call.written_at = self.clock()
                stream.calls_written += 1
                self.figures.relayed += len(call.callbacks)
                if self.trace.is_on:
                    self._trace_written(call, stream, until)
                # Unread bytes are excess bytes of the previous answer if no answer to this call can
                # have arrived yet. After a stall since the write one can have, so the clock is
                # checked.
                if (
                    not on_new_connection
                    and stream.has_unread()
                    and self.clock() < write_started_at + MIN_ANSWER_TIME
                ):
                    self._count_closed(CloseReason.UNREQUESTED_BYTES)
                    stream.close()
                    self._report_same_end(
                        call, started_at, call.callbacks, ev.AttemptOutcome("", Result.RESET)
                    )
                    return None
                return stream
            except NoDescriptor as error:  # this relay's shortage; it says nothing of the host
                if stream is not None:
                    stream.close()
                refusal = Refusal.NO_DESCRIPTOR
                if isinstance(error, LocalError):
                    # Without the delay the call would be started again as fast as it fails, which
                    # would use up the whole CPU core.
                    refusal = Refusal.LOCAL_ERROR
                    self.scheduler.sleep_until(min(until, self.clock() + LOCAL_ERROR_DELAY))
                self._report_same_end(call, started_at, call.callbacks, not_sent_end(refusal))
                return None
            except (ConnectionBroken, TimedOut) as error:
                if stream is not None:
                    stream.close()  # before the last byte, so the call never ran
                if on_new_connection or isinstance(error, TimedOut):
                    break  # otherwise an idle connection broke: retried on a new one
        self._report_same_end(
            call, started_at, call.callbacks, ev.AttemptOutcome("", Result.NO_CONNECT)
        )
        return None

    def _connect(self, address, deadline):
        """Returns a new connection to a host.

        Raises AddressUnconfirmed, or as connect_stream does; a refused connection is posted.
        """
        if not self.may_connect(address):
            self.counts["address not confirmed"] += 1
            raise AddressUnconfirmed("an address that refused a connection")
        try:
            stream = connect_stream(
                self.scheduler,
                address,
                "host",
                self.budget,
                HostConnection,
                deadline,
                RESERVED_OUTGOING,
            )
        except ConnectionRefused:
            self.post(ev.ConnectionRefused(address))
            raise
        self.counts["connected"] += 1
        return stream

    def _trace_ends(self, call, ends) -> None:
        written_at = self.running_calls[call.number].written_at
        since_written = None if written_at is None else self.clock() - written_at
        for end in ends:
            self.trace.record(
                Step.CALL_ENDED,
                end.id,
                call=call.number,
                host=call.host,
                result=end.result.value,
                since_written=since_written,
                why=end.reason.name.lower() if end.reason is not None else None,
            )

    def _trace_written(self, call, stream: HostConnection, until: int) -> None:
        time_left = until - self.clock()
        for member in call.callbacks:
            self.trace.record(
                Step.CALL_WRITTEN,
                member.id,
                call=call.number,
                host=call.host,
                address="%s:%d" % call.address,
                fresh=stream.calls_written == 1,
                host_connection=stream.number,
                calls_on_connection=stream.calls_written,
                left=time_left,
            )

    def _may_write(self, call, started_at) -> bool:
        """Whether a call may still be written; if not, reports its end.

        It may not after its deadline, nor if a Retry-After or the draining of its host has become
        known meanwhile. A connection can come up in the same turn in which the deadline passes, and
        without this check the call would be sent after its end.
        """
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
        # Rounded up: never less than the relay really waits.
        wait = max(1, -(-(call_deadline(call) - now) // MS))
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
        """Reads the whole answer, as the host holds the call until then, and reports the outcome."""
        until, end = call_deadline(call), None
        reader = AnswerReader(
            stream, call.is_bundle, self.clock, lambda: self._count_copy(call, stream)
        )
        try:
            head, body = reader.read(until)
        except (ConnectionBroken, TimedOut, http.MalformedMessage) as error:
            end = reader.outcome_of_failure(error, until)
        # An answer after the call's deadline is no delivery, whatever it says: by then the host has
        # given the call up, as this relay told it to. An answer that is read too late because this
        # relay was stalled may be such a one, and says nothing about the host.
        has_timed_out = end is not None and end.result is Result.TIMEOUT
        if not has_timed_out and reader.is_too_late(until):
            end = ev.AttemptOutcome("", Result.CANCELLED)
        # If only copies of earlier answers came, they may have been the host's answer.
        if end is not None and reader.copies_skipped:
            self.answer_variety.mark_alike(call.host)
        if end is not None:
            answered_at = None if has_timed_out else reader.answered_at
            return self._end_without_answer(call, stream, started_at, end, answered_at)
        running_call = self.running_calls[call.number]
        ends = host_responses.call_ends(call, head, body, running_call.on_new_connection)
        self._keep_or_close(call, stream, head, body, ends)
        advertised = host_responses.advertised_limit(
            head, self.config.settings.limits_are_advertised
        )
        self._report_ends(call, started_at, ends, advertised, reader.answered_at)

    def _count_copy(self, call, stream: HostConnection) -> None:
        self.counts["copies skipped"] += 1
        for member in call.callbacks:
            self.trace.record(
                Step.COPY_SKIPPED, member.id, call=call.number, host_connection=stream.number
            )

    def _keep_or_close(self, call, stream: HostConnection, head: http.Head, body, ends) -> None:
        """Keeps a connection for the next call if a copy of its last answer can be recognized."""
        can_recognize_copy = host_responses.distinguishes_its_call(head, body, ends)
        if can_recognize_copy and not call.is_bundle:
            if self.running_calls[call.number].on_new_connection:
                self.answer_variety.add_first_answer(call.host, body)
            can_recognize_copy = self.answer_variety.is_varied(call.host)
        stream.remember_answer(body)
        stream.parser.raw_head = b""
        may_keep = can_recognize_copy and head.keep_alive and stream.has_room_for_answers()
        if may_keep and self.idle_connections.max_idle_time > 0:
            self.idle_connections.put(call.host, stream, self.clock())
        else:
            stream.close()

    def _end_without_answer(self, call, stream, started_at, end, answered_at) -> None:
        """Reports the end of a call whose answer did not come, came too late or is malformed.

        No later answer on its connection would count, and the connection must not carry another
        call. It is closed, but after a timeout with no byte of an answer it first waits for the
        host to close it.
        """
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
        """Ends the sending side after a timeout with no byte of an answer; awaits the host's close.

        The host may read the call later; how much later is bounded by the same timeout as for a
        connection that does not come up.
        """
        running_call = self.running_calls[call.number]
        until = running_call.written_at + self.config.connect_time_out
        if call.number in self.aborted or until <= self.clock():
            stream.close()
            return
        running_call.unread_until, running_call.awaits_host_close = until, True
        self.timed_out_calls.await_host_close(
            call.number, [member.id for member in call.callbacks], stream, until
        )


def not_sent_end(refusal: Refusal) -> ev.AttemptOutcome:
    """Returns the outcome of a callback that never left this relay."""
    return ev.AttemptOutcome("", Result.NOT_SENT, unsent=True, reason=refusal)


def call_deadline(call) -> int:
    """Returns the time at which a call is given up: the earliest deadline of its callbacks.

    A call with several callbacks has one deadline, for the host too.
    """
    return min(member.deadline for member in call.callbacks)
