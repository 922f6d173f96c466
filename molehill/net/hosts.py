"""Calls to hosts: kept connections, one call at a time on each, and what came back read as an outcome."""
from collections import Counter
from dataclasses import replace

from molehill.config import MS, OUTGOING, SECOND, ConfigError, nanos, real
from molehill.core import events as ev
from molehill.interface import Result
from molehill.net import http
from molehill.net.stream import Broken, Late, Short, connected

SECOND_DIGITS = 9
SWEEP = 200 * MS                   # looks at idle connections: an ended one gives its descriptor back soon
REST_WITHIN = SECOND               # for the rest of an answer whose outcome is known
# status -> outcome of a call of one; 200 in a call of several is read line by line
STATUS = {200: ev.End("", Result.FULFILLED, closed=True), 500: ev.End("", Result.ERROR),
          429: ev.End("", Result.FULL), 503: ev.End("", Result.FULL),
          400: ev.End("", Result.FULL), 413: ev.End("", Result.FULL),
          410: ev.End("", Result.NOT_SENT, closed=True), 504: ev.End("", Result.NOT_SENT, spent=True)}
LINES = {"delivered": STATUS[200], "failed": STATUS[500], "refused": STATUS[503], "over": STATUS[410],
         "spent": STATUS[504]}
KEPT_BACK = ev.End("", Result.NOT_SENT, unsent=True)
OTHER = ev.End("", Result.ERROR)   # an answer that the protocol does not know: it may have run


class Hosts:
    def __init__(self, scheduler, config, budget, post, may_send):
        self.scheduler, self.config, self.budget, self.post, self.may_send = \
            scheduler, config, budget, post, may_send
        self.clock = scheduler.clock
        self.idle: dict[str, list] = {}        # host -> its idle connections, the one used last at the end
        self.streams: dict[int, object] = {}   # call -> its connection
        self.aborted: set[int] = set()
        self.out, self.counts = 0, Counter()   # calls out; outcomes by name, for the log
        self.keep = config.settings.connection_idle
        budget.idlers["host"] = self.close_idlest
        scheduler.at(self.clock() + SWEEP, self.sweep)

    # Idle connections

    def sweep(self) -> None:
        self.scheduler.at(self.clock() + SWEEP, self.sweep)
        oldest = self.clock() - self.keep
        for host, streams in list(self.idle.items()):
            for stream in [s for s in streams if s.idle_since <= oldest or not s.quiet()]:
                streams.remove(stream)
                stream.close()
            if not streams:
                del self.idle[host]

    def close_idle(self, host) -> None:
        for stream in self.idle.pop(host, ()):
            stream.close()

    def close_idlest(self) -> bool:
        found = [(streams[0].idle_since, host) for host, streams in self.idle.items() if streams]
        if not found:
            return False
        self.idle[min(found)[1]].pop(0).close()
        return True

    def kept(self, call):
        """The idle connection used last, if one is still good."""
        streams = self.idle.get(call.host, [])
        while streams:
            stream = streams.pop()
            if stream.idle_since > self.clock() - self.keep and stream.quiet():
                return stream
            stream.close()
        return None

    # Calls

    def call(self, call) -> None:
        self.out += 1
        self.scheduler.spawn(self._call, call)

    def abort(self, number) -> None:
        self.aborted.add(number)
        if number in self.streams:
            self.streams[number].close()

    def _call(self, call) -> None:
        start, stream = self.clock(), None
        try:
            stream = self._written(call, start)
            if stream is not None:
                self._answered(call, stream, start)
        finally:
            self.out -= 1
            self.streams.pop(call.number, None)
            if stream is not None and not stream.idle_since:
                stream.close()
            if call.members:               # a fault of this code: nothing is known, so each may have run
                self._end(call, start, call.members, ev.End("", Result.RESET))
            self.aborted.discard(call.number)

    def _end(self, call, start, members, end, told=0.0, wait=0) -> None:
        self._report(call, start, [replace(end, id=m.id, wait=wait) for m in members], told)

    def _report(self, call, start, ends, told=0.0) -> None:
        ended = {end.id for end in ends}
        self.counts.update(end.result.value for end in ends)
        call.members = [m for m in call.members if m.id not in ended]
        if ends and call.number not in self.aborted:
            self.post(ev.Ended(call.number, self.clock() - start, ends, told))

    def _written(self, call, start):
        """A connection with the whole request written on it, or None once the call's end is reported."""
        until = min(member.until for member in call.members)
        if not self._may_go(call, start):
            return None
        for stream in (self.kept(call), None):
            fresh = stream is None
            try:
                if fresh:
                    within = min(until, start + self.config.connect_time_out)
                    stream = connected(self.scheduler, call.address, "host", self.budget, within, OUTGOING)
                    self.counts["connected"] += 1
                self.streams[call.number], stream.idle_since, stream.parser.line = stream, 0, b""
                if not self._may_go(call, start):
                    stream.close()
                    return None
                stream.send(self._request(call), until)
                return stream
            except Short:                  # this relay's own trouble: it tells nothing of the host
                self._end(call, start, call.members, KEPT_BACK)
                return None
            except (Broken, Late) as error:
                if stream is not None:
                    stream.close()         # before the last byte: it never ran
                if fresh or isinstance(error, Late):
                    break                  # else a kept connection broke: once more on a new one
        self._end(call, start, call.members, ev.End("", Result.NO_CONNECT))
        return None

    def _may_go(self, call, start) -> bool:
        """Whether the relay was not told meanwhile to wait, or that the host drains; else the call's end."""
        if self.may_send(call.host) and call.number not in self.aborted:
            return True
        self._end(call, start, call.members, KEPT_BACK)
        return False

    def _request(self, call) -> bytes:
        now, host = self.clock(), "%s:%d" % call.address
        wait = max(1, (max(member.until for member in call.members) - now) // MS)
        headers = [("Req-Deadline-Ms", str(wait))]
        if not call.bundle:
            member = call.members[0]
            headers.insert(0, ("Req-Id", member.id))
            if member.mark is not None:
                headers.append(("Idempotency-Key", member.mark))
            return http.request("POST", "/events", host, headers, member.body)
        body = b"".join(f"{m.id} {m.mark or '-'} {len(m.body)}\r\n".encode("latin-1") + m.body + b"\r\n"
                        for m in call.members)
        return http.request("POST", "/events/bundle", host, headers, body)

    def _answered(self, call, stream, start) -> None:
        head = body = None
        try:
            while body is None:
                until = min(member.until for member in call.members)
                try:
                    head = head or stream.head(until)
                    if 100 <= head.status < 200:
                        head, stream.parser.line = None, b""    # an interim answer
                    elif call.bundle and head.status == 200:
                        body = stream.body(head, until)
                    else:
                        body = b""         # not waited for: the status tells the end
                except Late:
                    now = self.clock()
                    self._end(call, start, [m for m in call.members if m.until <= now],
                              ev.End("", Result.TIMEOUT))
                    if not call.members:
                        return
        except (Broken, http.Malformed):
            seen = stream.parser.line or stream.buffer.peek(64)
            served = head is None and not call.bundle and seen.startswith(b"HTTP/1.1 200 ") and b"\r\n" in seen
            end = STATUS[200] if served else ev.End("", Result.RESET)
            self._end(call, start, call.members, end)
            return
        told, wait = self._told_rate(head), retry_after(head)
        if call.bundle and head.status == 200:
            self._report(call, start, self._lines(call, body, wait), told)
        else:
            end = STATUS.get(head.status, OTHER)
            if head.status == 503 and head.headers.get("x-line-busy") == "1":
                end = ev.End("", Result.NOT_SENT)
                self.counts["line busy"] += 1
            self._end(call, start, call.members, end, told, wait)
            try:
                stream.body(head, self.clock() + REST_WITHIN)
            except (Broken, Late):
                return
        if head.keep and self.keep > 0 and stream.quiet():
            stream.idle_since = self.clock()
            self.idle.setdefault(call.host, []).append(stream)

    def _lines(self, call, body, wait):
        """Each callback's end by the answer's lines; one that no line names may have run."""
        told = {}
        for line in body.decode("latin-1").splitlines():
            ident, _, word = line.strip().rpartition(" ")
            told[ident.strip()] = LINES.get(word, OTHER)
        ends = []
        for m in call.members:
            end = told.get(m.id, ev.End("", Result.RESET))
            ends.append(replace(end, id=m.id, wait=wait if end.result is Result.FULL else 0))
        if wait and not any(end.wait for end in ends):
            ends[0].wait = wait            # the wait binds whatever became of each
        return ends

    def _told_rate(self, head) -> float:
        if self.config.tells_limit:
            for part in head.headers.get("srv-load", "").split(","):
                name, _, value = part.strip().partition("=")
                try:
                    rate = real(value) if name == "x1" else 0.0
                except ConfigError:
                    rate = 0.0
                if 0.0 < rate < 1e9:
                    return rate
        return 0.0


def retry_after(head) -> int:
    """The told wait in nanoseconds, whole or decimal seconds; 0 where none is told."""
    try:
        return max(0, min(nanos(head.headers.get("retry-after", "0"), SECOND_DIGITS), 3600 * SECOND))
    except ConfigError:
        return 0
