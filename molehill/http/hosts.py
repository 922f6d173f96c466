"""Calls to hosts: kept connections, one call at a time on each, and what came back read as an outcome."""

from collections import Counter
from dataclasses import replace
from typing import Optional

from molehill.config import MS, OUTGOING, address
from molehill.core import events as ev
from molehill.core.permission import Refusal
from molehill.http import answers
from molehill.http import parser as http
from molehill.http.given_up import GivenUpCalls
from molehill.http.idle_connections import IdleConnections
from molehill.http.stream import HttpStream
from molehill.interface import Result
from molehill.runtime.stream import Broken, Late, LocalError, Short, connected
from molehill.runtime.trace import NO_TRACE, Step

# looks at idle connections: an ended one gives its descriptor back soon
SWEEP = 200 * MS
# before a call is given back for which this machine lacked something
LOCAL_ERROR_REST = 20 * MS
# for the rest of an answer whose outcome is known: pieces come close together
REST_WITHIN = 250 * MS
# no answer comes within it: a host has to read the call, do its work and write
SOONEST = MS


class Running:
    """A call that is out; `written`: its last byte has gone on its connection; `fresh`: it is the first one on that."""

    def __init__(self, call, start):
        self.call, self.start, self.written, self.fresh = call, start, False, False
        self.written_at = None  # when its last byte went
        self.unread_until = None  # given up unanswered: how long its host may still read it
        self.given_up = False  # its connection is kept for the host's end


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
        self.idle = IdleConnections(self.clock, config.settings.connection_idle)
        self.streams: dict[int, HttpStream] = {}  # call -> its connection
        self.running: dict[int, Running] = {}  # calls out, by number
        self.aborted: set[int] = set()
        # to the next process: nothing is begun any more; calls that may come back
        self.given, self.lent = False, {}
        self.out, self.counts = 0, Counter()  # calls out; outcomes by name, for the log
        self.given_up = GivenUpCalls(scheduler, post, config.settings.max_calls)
        budget.idlers["host"] = lambda: self.given_up.close_oldest() or self.idle.close_oldest()
        scheduler.at(self.clock() + SWEEP, self.sweep)

    # Idle connections

    def sweep(self) -> None:
        self.scheduler.at(self.clock() + SWEEP, self.sweep)
        self.idle.close_useless()

    def close_idle(self, host) -> None:
        self.idle.close_host(host)

    # An upgrade: the connections pass to the next process

    def calm(self) -> bool:
        return all(running.written for running in self.running.values())

    def give(self):
        """Rows (message, body, socket) for calls that are written and for idle connections. What is in none was not written
        whole, and never ran. Nothing of it is used here any more."""
        rows, self.given, self.lent = [], True, {}
        self.given_up.close_all()
        for number, running in self.running.items():
            stream, call = self.streams.get(number), running.call
            if (
                not running.written
                or not stream.open
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
                        "start": running.start,
                        "members": [[m.id, m.deadline] for m in call.callbacks],
                    },
                    data,
                    sock,
                )
            )
            # its task here has nothing more to tell of it
            self.lent[number], call.callbacks = replace(call), []
        return rows + self.idle.hand_over()

    def go_on(self, rows) -> None:
        """Takes back what `give` gave: the next process is gone, and what it had of these connections it never used."""
        self.given, lent, self.lent = False, self.lent, {}
        for message, data, sock in rows:
            call = lent.get(message["n"]) if message["k"] == "call" else None
            if not self.adopt(message, data, sock, call) and call is not None:
                self._end(
                    call, message["start"], call.callbacks, ev.AttemptOutcome("", Result.RESET)
                )

    def adopt(self, message, data, sock, call=None) -> bool:
        """A connection that an earlier process gave, or that comes back with its call; whether it can be used. Raises ValueError
        and the like for no such row."""
        if message["k"] == "call":
            call = call or ev.Call(
                message["n"],
                message["host"],
                address(message["at"], "at"),
                message["bundle"],
                [
                    ev.OutgoingCallback(number, None, b"", until)
                    for number, until in message["members"]
                ],
            )
        if not self.budget.take("host", OUTGOING):
            sock.close()
            return False
        stream = HttpStream(self.scheduler, sock, "host", self.budget)
        stream.refill(data)
        if message["k"] == "idle":
            self.idle.put(message["host"], stream, message["since"])
            return True
        self.out += 1
        running = Running(call, message["start"])
        running.written_at = self.clock()  # by the earlier process, at the latest now
        self.running[call.number], self.streams[call.number] = running, stream
        self.scheduler.spawn(self._call, call, stream)
        return True

    # Calls

    def call(self, call) -> None:
        self.out += 1
        self.running[call.number] = Running(call, self.clock())
        self.scheduler.spawn(self._call, call)

    def abort(self, number) -> None:
        self.aborted.add(number)
        if number in self.streams:
            self.streams[number].close()

    def _call(self, call, stream=None) -> None:
        """Carries a call to its end; `stream`: the connection on which an earlier process wrote it."""
        running = self.running[call.number]
        start = running.start
        try:
            stream = stream or self._written(call, start)
            if stream is not None:
                running.written = True
                self._answered(call, stream, start)
        finally:
            self.out -= 1
            self.streams.pop(call.number, None)
            kept = stream is not None and (stream.idle_since or running.given_up)
            if stream is not None and not kept:
                stream.close()
            # a fault of this code: nothing is known, so each may have run
            if call.callbacks:
                self._end(call, start, call.callbacks, ev.AttemptOutcome("", Result.RESET))
            del self.running[call.number]
            self.aborted.discard(call.number)

    def _end(self, call, start, members, end, told=(0.0, None), wait=0, came=None) -> None:
        self._report(
            call, start, [replace(end, id=m.id, retry_after=wait) for m in members], told, came
        )

    def _report(self, call, start, ends, told=(0.0, None), came=None) -> None:
        """What became of these; `came`: when the answer's head did, which is what its latency goes by."""
        ended = {end.id for end in ends}
        if self.trace.is_on:
            self._trace_ended(call, ends)
        self.counts.update(end.result.value for end in ends)
        call.callbacks = [m for m in call.callbacks if m.id not in ended]
        if ends and call.number not in self.aborted:
            took = (came or self.clock()) - start
            running = self.running[call.number]
            rate, left = told
            self.post(
                ev.CallEnded(
                    call.number, took, ends, rate, left, running.written_at, running.unread_until
                )
            )

    def _written(self, call, start):
        """A connection with the whole request written on it, or None once the call's end is reported."""
        until, running = ends(call), self.running[call.number]
        if not self._may_go(call, start):
            return None
        for stream in (self.idle.take(call.host), None):
            fresh = stream is None
            try:
                if fresh:
                    within = min(until, start + self.config.connect_time_out)
                    stream = connected(
                        self.scheduler,
                        call.address,
                        "host",
                        self.budget,
                        HttpStream,
                        within,
                        OUTGOING,
                    )
                    self.counts["connected"] += 1
                self.streams[call.number], stream.idle_since, stream.parser.line = stream, 0, b""
                running.fresh = fresh
                if not self._may_go(call, start):
                    stream.close()
                    return None
                # in the log before its first byte; where that fails, the call is aborted
                self.post(ev.CallConnected(call.number))
                # Danger: the log was written anew or its disk was slow, and the call's time is up.
                if not self._may_go(call, start):
                    stream.close()
                    return None
                begun = self.clock()
                stream.send(self._request(call), until)
                running.written_at = self.clock()
                self.figures.relayed += len(call.callbacks)
                if self.trace.is_on:
                    self._trace_written(call, fresh, until)
                # More than the last answer, if no answer to this can have come. Danger: after a standstill in between, one can.
                if not fresh and stream.unread() and self.clock() < begun + SOONEST:
                    stream.close()
                    self._end(call, start, call.callbacks, ev.AttemptOutcome("", Result.RESET))
                    return None
                return stream
            except Short as error:  # this relay's own trouble: it tells nothing of the host
                if stream is not None:
                    stream.close()
                why = Refusal.NO_DESCRIPTOR
                if isinstance(error, LocalError):
                    # Danger: asked for anew as fast as it fails, it takes the whole core.
                    why = Refusal.LOCAL_ERROR
                    self.scheduler.sleep(min(until, self.clock() + LOCAL_ERROR_REST))
                self._end(call, start, call.callbacks, kept_back(why))
                return None
            except (Broken, Late) as error:
                if stream is not None:
                    stream.close()  # before the last byte: it never ran
                if fresh or isinstance(error, Late):
                    break  # else a kept connection broke: once more on a new one
        self._end(call, start, call.callbacks, ev.AttemptOutcome("", Result.NO_CONNECT))
        return None

    def _trace_ended(self, call, ends) -> None:
        for end in ends:
            self.trace.record(
                Step.CALL_ENDED,
                end.id,
                call=call.number,
                host=call.host,
                result=end.result.value,
                why=end.reason.name.lower() if end.reason is not None else None,
            )

    def _trace_written(self, call, fresh: bool, until: int) -> None:
        left = until - self.clock()
        for member in call.callbacks:
            self.trace.record(
                Step.CALL_WRITTEN,
                member.id,
                call=call.number,
                host=call.host,
                fresh=fresh,
                left=left,
            )

    def _may_go(self, call, start) -> bool:
        """Whether its time is not up, and the relay was not told meanwhile to wait, or that the host drains; else the call's end.

        Danger: a connection comes up in the very turn in which the call's time is up, and it is sent on after its end."""
        refusal = self._refusal(call)
        if refusal is not None:
            self._end(call, start, call.callbacks, kept_back(refusal))
        return refusal is None

    def _refusal(self, call) -> Optional[Refusal]:
        now = self.clock()
        if self.given:
            return Refusal.HAND_OVER
        if call.number in self.aborted:
            return Refusal.CALLED_OFF
        if now >= ends(call):
            return Refusal.TIME_UP
        return self.refusal(call.number, now)

    def _request(self, call) -> bytes:
        now, host = self.clock(), "%s:%d" % call.address
        wait = max(1, -(-(ends(call) - now) // MS))  # up: never less than what is really waited
        headers = [("Req-Deadline-Ms", str(wait))]
        if not call.is_bundle:
            member = call.callbacks[0]
            headers.insert(0, ("Req-Id", member.id))
            if member.idempotency_key is not None:
                headers.append(("Idempotency-Key", member.idempotency_key))
            return http.request("POST", "/events", host, headers, member.body)
        body = b"".join(
            f"{m.id} {m.idempotency_key or '-'} {len(m.body)}\r\n".encode("latin-1")
            + m.body
            + b"\r\n"
            for m in call.callbacks
        )
        return http.request("POST", "/events/bundle", host, headers, body)

    def _answered(self, call, stream, start) -> None:
        """Reads the answer whole, as till then the host holds the call, and reports what it says.

        Danger: half an answer that turned away proves nothing. Of one that is spoilt, only a first line with 200 to a
        call of one stands. So for that, and for an error, which proves as little, the rest is not waited for long.
        """
        until, came, settled, end = ends(call), None, False, None
        try:
            head, came = stream.answer(until), self.clock()
            settled = not call.is_bundle and head.status in (200, 500)
            body = stream.body(head, min(until, came + REST_WITHIN) if settled else until)
        except (Broken, Late, http.Malformed) as error:
            seen = stream.parser.line or stream.buffer.peek(64)
            if isinstance(error, Late) and not settled:
                end = ev.AttemptOutcome("", Result.TIMEOUT)
            elif not call.is_bundle and seen.startswith(b"HTTP/1.1 200 ") and b"\r\n" in seen:
                end = answers.STATUS[200]
            else:
                end = answers.STATUS[500] if settled else ev.AttemptOutcome("", Result.RESET)
        # Danger: an answer that comes once the call's time is up is no delivery, whatever it says: the host has given the call up
        # by then, as this relay told it to. What is read too late, since this relay stood still, may be such a one, and it
        # tells nothing of the host.
        known_at = came if settled and came is not None else self.clock()
        if (end is None or end.result is not Result.TIMEOUT) and known_at > until:
            end = ev.AttemptOutcome("", Result.CANCELLED)
        if end is not None:
            return self._useless(
                call, stream, start, end, came if end.result is not Result.TIMEOUT else None
            )
        if head.keep and self.idle.keep > 0 and stream.quiet():
            stream.parser.raw = b""
            self.idle.put(call.host, stream, self.clock())
        else:
            stream.close()
        told = answers.told_limit(head, self.config.settings.limits_are_advertised)
        wait = answers.retry_after(head)
        if call.is_bundle and head.status == 200:
            ended = answers.outcomes_by_line(call.callbacks, body, wait)
            self._report(call, start, ended, told, came)
            return
        end = answers.outcome(head, self.running[call.number].fresh)
        self._end(call, start, call.callbacks, end, told, wait, came)

    def _useless(self, call, stream, start, end, came) -> None:
        """No answer to it comes on that connection any more that would be worth having: nor may it carry another call."""
        if end.result is Result.TIMEOUT and not stream.parser.line and not len(stream.buffer):
            self._give_up(call, stream)
        else:
            stream.close()
        self._end(call, start, call.callbacks, end, came=came)

    def _give_up(self, call, stream) -> None:
        """Ends the sending of a call with no byte of an answer. Its host may read it later; how much later is bounded as for a
        connection that does not come up."""
        running = self.running[call.number]
        until = running.written_at + self.config.connect_time_out
        if call.number in self.aborted or until <= self.clock():
            stream.close()
            return
        running.unread_until, running.given_up = until, True
        self.given_up.keep(call.number, [member.id for member in call.callbacks], stream, until)


def kept_back(why: Refusal) -> ev.AttemptOutcome:
    """The end of a callback that never left this relay."""
    return ev.AttemptOutcome("", Result.NOT_SENT, unsent=True, reason=why)


def ends(call) -> int:
    """When a call is given up: as soon as one of its members' time is up. It is one call, to the host as well, and has one time."""
    return min(member.deadline for member in call.callbacks)
