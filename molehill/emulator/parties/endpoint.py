"""A partner's endpoint: one host of a destination, with limits, a queue, draining, outages and a
cold start.

Modes: well; silent (reads, answers nothing); erring (500); refusing (503); shut (429, with a Retry-
After until it opens); slow; spoilt (answers noise); dead (process gone); vanished (machine gone).
MODES says how each behaves.
"""

from collections import deque

from molehill.config import MS, SECOND
from molehill.emulator.parties.wire import MessageReader, answer

# mode -> (whether relays see its calls fail, what it does with a call)
MODES = {
    "well": (False, "serve"),
    "slow": (False, "serve"),
    "silent": (True, "nothing"),
    "erring": (True, "error"),
    "refusing": (True, "refuse"),
    "shut": (True, "shut"),
    "spoilt": (True, "noise"),
    "dead": (True, "nothing"),
    "vanished": (True, "nothing"),
}
# The requirements' figures for rule 4: how long a host is cold after an outage; the share of its
# capacity that it has when cold; it fails when it gets more than OVERLOAD_FACTOR times its capacity
# for OVERLOAD_SPAN.
SLOW_START_SPAN, COLD_SHARE, OVERLOAD_FACTOR, OVERLOAD_SPAN = 10 * SECOND, 0.17, 2.0, 1500 * MS
# What it bears beyond that, to allow for random variation: a multiple of the root of its capacity
# in that time, and a number of calls. The second pair is for capacities below FEW_CALLS.
FEW_CALLS = 30
SLACK, SLACK_OF_FEW = (2.0, 2), (3.0, 3)
# Least duration of an outage that leaves a host cold: the shortest such outage of the bench.
OUTAGE = 5 * SECOND


def slow_start_budget(calls: float) -> float:
    """Return the calls that a returning host bears in OVERLOAD_SPAN.

    `calls` is its capacity in that time by the settings.
    """
    roots, more = SLACK_OF_FEW if calls < FEW_CALLS else SLACK
    return calls + roots * calls**0.5 + more


class Endpoint:
    """A host of a destination.

    `plan`: destination, zone, kind, span (ns for a call), slots, queue, rate (calls a second; 0: no
    limit).
    """

    def __init__(self, world, network, name: str, address, plan):
        self.world, self.network, self.name, self.address, self.plan = (
            world,
            network,
            name,
            address,
            plan,
        )
        self.machine, self.mode, self.slowness, self.reopens_at = (
            network.machine(name),
            "well",
            1,
            0,
        )
        self.busy_slots, self.queue, self.serial, self.draining = 0, deque(), 0, False
        self.admitted_at, self.down_since, self.up_since, self.seen_failing = (
            deque(),
            None,
            None,
            set(),
        )
        # counts_refusals: refused calls count towards the limit too
        self.recent_calls, self.counts_refusals, self.usual_rate = deque(), False, plan.rate
        self.conns, self.listener = {}, None
        # While above 0, each answer is written once more, this many ms later at most.
        self.max_copy_delay_ms = 0.0
        # Greatest share of its budget that it received after an outage.
        self.max_budget_share = 0.0
        self.open()

    def open(self) -> None:
        """Listen for connections."""
        self.listener = self.network.serve(self.machine, self.address, self.accepted)

    def accepted(self, sock) -> None:
        self.conns[sock] = MessageReader()
        sock.listen_to(self.receive, self.close_connection, self.close_connection)

    def close_connection(self, sock) -> None:
        self.conns.pop(sock, None)
        self.world.tell(self.name, "call connection over", conn=sock.number)
        sock.close()

    def set_mode(self, mode: str, slowness: int = 1, reopens_at: int = 0) -> None:
        """Change the mode, by the fault script.

        `reopens_at`: when a host that is shut refuses no more calls.
        """
        self.reopens_at = reopens_at
        before, self.mode, self.slowness = self.mode, mode, slowness
        self.world.tell(self.name, "mode", before=before, after=mode)
        now = self.world.now
        if MODES[mode][0] and not MODES[before][0]:
            self.down_since, self.up_since = now, None
            self.machine.failed_connectors.clear()
        if MODES[before][0] and not MODES[mode][0]:
            cold = self.down_since is not None and now - self.down_since >= OUTAGE
            self.up_since, self.down_since = now if cold else None, None
            if not cold:
                self.seen_failing.clear()
        if mode == "dead" and before != "dead":
            self.machine.die()
            self.conns, self.busy_slots, self.queue = {}, 0, deque()
        elif mode == "vanished":
            self.machine.vanish()
        if before == "dead" and mode != "dead":
            self.open()
        elif before == "vanished" and mode != "vanished":
            self.machine.back()
            self.conns, self.busy_slots, self.queue = {}, 0, deque()

    def forget_relay(self, relay: str) -> None:
        """Forget that the relay saw failures: one that was started anew knows nothing of them."""
        self.seen_failing.discard(relay)
        self.machine.failed_connectors.discard(relay)

    # Calls

    def receive(self, sock, data: bytes, sent_at: int) -> None:
        reader = self.conns.get(sock)
        if reader is None:
            return
        for first, headers, body, since in reader.feed(data, sent_at):
            self.receive_call(sock, first.split(" ")[1], headers, body, since)

    def receive_call(self, sock, target, headers, body, since) -> None:
        if target == "/events/bundle":
            ids = []
            while body:
                line, _, rest = body.partition(b"\r\n")
                ident, mark, length = line.decode().split(" ")
                ids.append((ident, None if mark == "-" else mark, rest[: int(length)]))
                body = rest[int(length) + 2 :]
        else:
            ids = [(headers["req-id"], headers.get("idempotency-key"), body)]
        self.serial += 1
        number = f"{self.name}/{self.serial}"
        relay = sock.peer.machine.name
        self.world.tell(
            self.name,
            "call",
            call=number,
            relay=relay,
            conn=sock.number,
            ids=[i for i, _, _ in ids],
            since=since,
            marks=[m for _, m, _ in ids],
            bodies=[body_prefix(b) for _, _, b in ids],
            host=self.name,
            destination=self.plan.destination,
            zone=self.plan.zone,
            patience=headers.get("req-deadline-ms"),
        )
        self.check_overload(relay)
        failing, what = MODES[self.mode]
        if failing:
            self.seen_failing.add(relay)
        call = (sock, number, ids, target == "/events/bundle")
        if what == "error":
            self.answer_later(call, 5 * MS, 500)
        elif what == "refuse":
            self.answer_later(call, 1 * MS, 503)
        elif what == "shut":
            self.answer_later(call, MS, 429, max(MS, self.reopens_at - self.world.now))
        elif what == "noise":
            self.world.after(5 * MS, self.send_noise, sock, number)
        elif what == "serve":
            self.admit_call(call)

    def check_overload(self, relay: str) -> None:
        """Let a cold host fail when it gets too many calls (the host's side of rule 4).

        The events state how many of the calls came from relays that saw it fail: the referee blames
        the relays only if most did.
        """
        now = self.world.now
        self.recent_calls.append((now, relay))
        while self.recent_calls and self.recent_calls[0][0] < now - OVERLOAD_SPAN:
            self.recent_calls.popleft()
        if self.up_since is None or MODES[self.mode][0]:
            return
        along = (now - self.up_since) / SLOW_START_SPAN
        if along >= 1:
            self.up_since = None
            self.seen_failing.clear()
            return
        able = self.capacity() * (COLD_SHARE + (1 - COLD_SHARE) * along)
        counted = [who for at, who in self.recent_calls if at >= self.up_since]
        bears = OVERLOAD_FACTOR * able * OVERLOAD_SPAN / SECOND
        budget = slow_start_budget(bears)
        known = sum(
            who in self.seen_failing or who in self.machine.failed_connectors for who in counted
        )
        if len(counted) > self.max_budget_share * budget:
            self.max_budget_share = len(counted) / budget
            self.world.tell(
                self.name, "slow start", calls=len(counted), known=known, budget=round(budget, 3)
            )
        if len(counted) > budget:
            self.world.tell(
                self.name, "fell over", calls=len(counted), known=known, able=round(able, 3)
            )
            self.set_mode("erring")

    def capacity(self) -> float:
        """Return the calls a second that it can process; calls refused by its rate limit cost
        nothing.
        """
        return self.plan.slots * SECOND / max(1, self.plan.span)

    def lower_limit(self, share: float) -> None:
        """Lower the rate limit to a share of the usual one; 1.0 restores it.

        A host without a limit gets that share of its capacity. While it is lowered, refused calls
        count towards the limit.
        """
        lower = share < 1.0
        self.plan.rate, self.counts_refusals = (
            max(1, int((self.usual_rate or self.capacity()) * share)) if lower else self.usual_rate,
            lower,
        )

    def admit_call(self, call) -> None:
        now = self.world.now
        if self.draining:
            return self.answer_later(call, MS, 503)
        if self.plan.rate:
            while self.admitted_at and self.admitted_at[0] <= now - SECOND:
                self.admitted_at.popleft()
            if len(self.admitted_at) >= self.plan.rate:
                wait = self.admitted_at[0] + SECOND - now
                if self.counts_refusals:
                    self.admitted_at.append(now)
                return self.answer_later(call, MS, 429, max(MS, wait))
            self.admitted_at.append(now)
        if self.busy_slots < self.plan.slots:
            self.start_call(call)
        elif len(self.queue) < self.plan.queue:
            self.queue.append(call)
        else:
            self.answer_later(call, MS, 503)

    def start_call(self, call) -> None:
        self.busy_slots += 1
        span = int(self.plan.span * self.slowness * (0.5 + self.world.chance.random()))
        self.world.after(span, self.finish_call, call, self.machine.boots)

    def finish_call(self, call, boots: int) -> None:
        if boots != self.machine.boots:
            return
        self.busy_slots = max(0, self.busy_slots - 1)
        if MODES[self.mode][1] == "serve":
            self.send_answer(call, 200)
        elif MODES[self.mode][1] == "error":
            self.send_answer(call, 500)
        while self.queue and self.busy_slots < self.plan.slots:
            waiting = self.queue.popleft()
            if waiting[0] in self.conns:
                self.start_call(waiting)

    def answer_later(self, call, span: int, status: int, wait: int = 0) -> None:
        self.world.after(span, self.send_answer, call, status, wait)

    def send_answer(self, call, status: int, wait: int = 0) -> None:
        sock, number, ids, bundle = call
        if sock.closed or sock not in self.conns or sock.error:
            return
        headers = [("Retry-After", f"{wait / SECOND:.3f}")] if wait else []
        if self.plan.rate:
            left = max(
                0.0,
                1 - sum(at > self.world.now - SECOND for at in self.admitted_at) / self.plan.rate,
            )
            headers.append(("Srv-Load", f"x0={left:.2f},x1={self.plan.rate}"))
        body = b""
        if status == 200:
            # No two answers to single calls have the same body.
            lines = [f"{ident} delivered\r\n" for ident, _, _ in ids] if bundle else [number]
            body = "".join(lines).encode()
        # The Retry-After as the header has it: to a millisecond.
        told = int(round(wait / SECOND, 3) * SECOND) if wait else 0
        self.world.tell(
            self.name,
            "call answered",
            call=number,
            status=status,
            wait=told,
            ids=[i for i, _, _ in ids],
        )
        data = answer(status, headers, body)
        sock.put(data)
        if self.max_copy_delay_ms:
            delay = int(self.world.chance.uniform(0, self.max_copy_delay_ms) * MS)
            self.world.after(delay, self.send_copy, sock, number, data)

    def send_copy(self, sock, number, data: bytes) -> None:
        """Write an answer once more, unless its connection has ended."""
        if sock in self.conns and not (sock.closed or sock.error):
            self.world.tell(self.name, "answer copied", call=number)
            sock.put(data)

    def send_noise(self, sock, number) -> None:
        if sock in self.conns and not sock.closed:
            self.world.tell(self.name, "call spoilt", call=number)
            sock.put(b"\x00\x7fnoise, no status line\r\n\r\n")


def body_prefix(body: bytes) -> str:
    """Return a short text that identifies a body in events.

    The stand-ins' bodies are short and distinct.
    """
    return body[:40].decode("latin-1")
