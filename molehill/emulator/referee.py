"""Check the six rules of the requirements and the protocol after every event.

The referee knows nothing of the relay's code. It gets what crossed the wires (from the stand-ins),
the clock, and the contents of a relay's disk when it was killed. The first broken rule ends the
run. Time limits of the rules come from the scenario, each 50 ms longer.
"""

from collections import Counter, defaultdict, deque

from molehill.config import MS, SECOND
from molehill.emulator.scenario import FAULTS, directions
from molehill.emulator.world import START

SLACK = 50 * MS  # "each time limit is 50 ms longer"
LOST_AFTER = 300 * MS + SLACK  # after its deadline; a callback without an end by then is lost
AFTER_READY = 1500 * MS  # after a restart, no notice is overdue before this
DRAIN_GRACE = SECOND + SLACK  # grace after a host was listed as leaving
RETRY_AFTER_GRACE = 100 * MS  # calls this soon after a Retry-After was sent are allowed
# An answer this recent may be in flight when the relay hangs up, which then does not know of it.
CROSSING_SPAN = 2 * MS
# An answer this old is known to a relay that was up all the time.
ANSWER_READ_SPAN = 100 * MS
SIGTERM = 15
NO_END = 3600 * SECOND  # of a call that states no time limit
# Answers that are searched for those in flight at the start of a cut.
RECENT_ANSWERS = 200
WORST = 10  # length in seconds of the worst period that is reported
# An end this long before the deadline counts as given up; a request that is read right after a
# start may have waited 400 ms.
EARLY_FINAL_SPAN = 500 * MS
INFORMED_SHARE = 2 / 3  # share of the load that came from relays that saw the host fail


class PathFaults:
    """Keeps until when each direction between two parties is cut or slow, by the fault script.

    What was sent on such a direction is known to nobody before it arrives.
    """

    def __init__(self, scenario):
        self.scenario, self.until, self.delay = scenario, {}, {}

    def fault(self, now: int, kind: str, who: str, span: int, worth: float) -> list:
        """Record a fault, and return the directions that it affects."""
        ways = directions(self.scenario, who)
        for way in ways:
            if kind in ("cut", "burst"):
                self.until[way] = max(self.until.get(way, 0), now + span * MS)
            # When the last byte of a narrow path arrives is unknown: some seconds late.
            elif kind in ("delay", "narrow"):
                rows = self.delay.get(way, (0, 0))
                self.delay[way] = (
                    max(rows[0], now + span * MS),
                    max(rows[1], int(1.5 * worth * MS) if kind == "delay" else 2 * SECOND),
                )
        return ways

    def over(self, a: str, b: str) -> int:
        """Return the end of the last fault on that direction so far; long ago, if none was."""
        return max(
            self.until.get((a, b), -AFTER_READY - LOST_AFTER), self.delay.get((a, b), (0, 0))[0]
        )

    def reaches(self, now: int, a: str, b: str) -> int:
        """Return the latest time at which what `a` sends to `b` now may arrive.

        That is `now` on a direction without a fault.
        """
        until, (slow_until, by) = self.until.get((a, b), 0), self.delay.get((a, b), (0, 0))
        return max(now, until, now + by if now < slow_until else 0)


class AcceptedCallback:
    """A callback that a client knows to be accepted."""

    __slots__ = (
        "id",
        "body",
        "relay",
        "row",
        "key",
        "destination",
        "due",
        "order",
        "state",
        "owed",
        "told",
        "message",
    )

    def __init__(self, ask, owed):
        self.id, self.body, self.relay, self.row, self.key = (
            ask["id"],
            ask["body"],
            ask["relay"],
            ask["row"],
            ask["key"],
        )
        self.message = ask["message"]
        self.destination, self.due, self.order, self.state, self.owed = (
            ask["destination"],
            ask["due"],
            ask["order"],
            "held",
            owed,
        )
        self.told = False  # the platform has its notice; completed once that is answered


class Call:
    """A call that reached a host."""

    __slots__ = (
        "number",
        "relay",
        "life",
        "conn",
        "ids",
        "host",
        "zone",
        "began",
        "status",
        "answered",
        "over",
        "bodies",
        "known",
        "reached",
        "until",
    )

    def __init__(self, facts, life, now, until):
        # Time limit: the one sent to the host, or the earliest deadline of its callbacks.
        self.until = until
        self.number, self.relay, self.conn, self.ids = (
            facts["call"],
            facts["relay"],
            facts["conn"],
            facts["ids"],
        )
        self.host, self.zone, self.bodies, self.life = (
            facts["host"],
            facts["zone"],
            facts["bodies"],
            life,
        )
        self.began, self.status, self.answered, self.over, self.known = now, None, None, None, True
        self.reached = None  # latest time at which its answer arrives

    @property
    def may_have_run(self) -> bool:
        """Whether the host may have executed the callbacks of this call."""
        return self.status not in (429, 503, 410, 504)


class Referee:
    """Watches the events of a run, and sets the world's `failure` at the first broken rule.

    `doubt`: nanoseconds by which an event may have happened before its timestamp; 0 on the virtual
    clock.
    """

    def __init__(self, world, scenario, doubt: int = 0):
        self.world, self.scenario, self.doubt, self.path_faults = (
            world,
            scenario,
            doubt,
            PathFaults(scenario),
        )
        self.slack, self.lost_after, self.crossing, self.retry_after_grace = (
            SLACK + doubt,
            LOST_AFTER + 2 * doubt,
            CROSSING_SPAN + doubt,
            RETRY_AFTER_GRACE + doubt,
        )
        self.rows = {c.name: c for c in scenario.categories}
        self.kinds = {e.destination: e.kind for e in scenario.endpoints}
        self.asks, self.taken, self.calls = defaultdict(list), defaultdict(list), {}
        self.by_id, self.by_conn, self.hung_up_connections = (
            defaultdict(list),
            defaultdict(list),
            set(),
        )
        self.by_key, self.notice_sent_at, self.notice_answered_at, self.delivered, self.results = (
            defaultdict(list),
            {},
            {},
            {},
            {},
        )
        self.told, self.retry_after_until, self.cooldowns = {}, {}, {}
        self.life, self.ready_at, self.up, self.lost, self.disk_failing_until = (
            Counter(),
            {},
            {},
            {},
            {},
        )
        # (id, body) that a restart found without a call and with half of its time left -> its relay
        self.untried = {}
        self.standstills = {}  # relay -> (start, end) of its last standstill
        self.orders, self.counts, self.recent_answers = 0, Counter(), deque(maxlen=RECENT_ANSWERS)
        # Greatest share of the slow-start budget that a returning host received: of all, and of
        # those where most calls came from relays that saw it fail.
        self.budget_share = self.budget_share_known = 0.0
        # message -> second of its creation; connections that carried a call
        self.born, self.used = {}, set()
        # second -> value requested in it, and how much of that was delivered
        self.seconds = defaultdict(lambda: [0.0, 0.0])
        self.handlers = {
            "asked": self.asked,
            "heard": self.heard,
            "call": self.call,
            "call answered": self.answered,
            "call spoilt": self.spoilt,
            "hung up": self.hung_up,
            "call connection over": self.connection_closed,
            "notice": self.notice,
            "notice answered": self.notice_answered,
            "told": self.was_told,
            "fell over": self.fell_over,
            "slow start": self.returning,
            "started": self.started,
            "ready": self.ready,
            "killed": self.died,
            "ended": self.died,
            "disk lost": self.disk_lost,
            "wants": self.wants,
            "no connection left": self.count_crowded,
            "escaped": self.escaped,
            "frozen": self.record_standstill,
            "fault": self.fault,
            "signal": self.signalled,
        }
        world.watchers.append(self)

    def __call__(self, now, who, what, facts) -> None:
        work = self.handlers.get(what)
        if work is not None and self.world.failure is None:
            work(now, who, **facts)

    def breach(self, rule: int, text: str, **facts) -> None:
        """Record the run's first broken rule with its facts."""
        if self.world.failure is None:
            self.world.failure = {
                "rule": rule,
                "text": text,
                "at_ms": self.world.milliseconds(),
                "facts": {name: str(value) for name, value in facts.items()},
            }

    # Clients

    def wants(self, now, who, message, category) -> None:
        self.counts["wanted"] += 1
        self.born[message] = second = (now - START) // SECOND
        self.seconds[second][0] += self.rows[category].payoff
        self.counts["payoff wanted"] += self.rows[category].payoff

    def count_crowded(self, now, who, message, relay) -> None:
        self.counts["no connection left"] += 1

    def asked(self, now, who, category, **facts) -> None:
        # A key's callbacks are submitted one after another, so the order of requests is the order
        # of acceptance.
        self.orders += 1
        self.asks[facts["id"]].append(
            {**facts, "who": who, "row": self.rows[category], "order": self.orders, "at": now}
        )
        self.counts["asked"] += 1

    def heard(self, now, who, id, status, wait, relay) -> None:
        self.counts[f"heard {status}"] += 1
        if status not in (200, 202):
            return
        ask = next(a for a in self.asks[id] if a["who"] == who)
        taken = AcceptedCallback(ask, owed=who != "strangers")
        self.taken[id].append(taken)
        if taken.row.ordered and taken.key is not None and taken.owed:
            self.by_key[relay, taken.key].append(taken)
        if taken.owed:
            self.world.at(taken.due + self.lost_after, self.due, taken)
        if ask["at"] <= self.lost.get(relay, 0):  # the answer crossed the loss of the disk
            self.end(taken, "lost with its disk")
        if id in self.notice_answered_at:  # its notice may cross the answer
            taken.told = True
            self.end(taken, "noticed")
        if (id, taken.body) in self.delivered:
            self.end(taken, "delivered")

    def end(self, taken, how: str) -> None:
        if taken.state == "held":
            taken.state = how
            if how == "delivered" and taken.owed:
                self.counts["delivered"] += 1
                self.counts["payoff"] += taken.row.payoff
                self.seconds[self.born[taken.message]][1] += taken.row.payoff
            row = self.by_key.get((taken.relay, taken.key))
            if row and taken in row:
                row.remove(taken)
                if not row:
                    del self.by_key[taken.relay, taken.key]

    def due(self, taken) -> None:
        """Rule 1: each accepted callback has completed by now, unless its relay just came back."""
        if taken.state != "held" or taken.told or self.world.failure is not None:
            return
        now, ready = self.world.now, self.ready_at.get(taken.relay)
        # While it is cut from the platform in either direction, no connection comes up for a
        # notice; afterwards there has to be one, as after a start.
        heard = max(
            self.path_faults.over(*way)
            for way in ((taken.relay, "platform"), ("platform", taken.relay))
        )
        if not self.up.get(taken.relay) or now < max(
            ready + AFTER_READY,
            self.standstills.get(taken.relay, (0, 0))[1] + self.lost_after,
            heard + AFTER_READY + self.lost_after,
        ):
            self.world.after(100 * MS, self.due, taken)
            return
        self.breach(
            1,
            "taken on, and neither delivered nor ended in time",
            id=taken.id,
            relay=taken.relay,
            body=taken.body,
        )

    # Calls

    def call(self, now, who, **facts) -> None:
        relay, since, patience = facts["relay"], facts["since"], facts.get("patience")
        dues = [
            taken.due
            for ident, body in zip(facts["ids"], facts["bodies"])
            for taken in self.taken.get(ident, ())
            if taken.body == body and taken.due > now
        ]
        call = Call(
            facts,
            self.life[relay],
            now,
            min([*dues, since + int(patience) * MS if patience else now + NO_END]),
        )
        self.counts["calls"] += 1
        self.used.add(call.conn)
        route = (
            relay,
            call.host if self.kinds[facts["destination"]] == "apart" else facts["destination"],
        )
        told = self.told.get((relay, call.host))
        if told is not None and since > told + DRAIN_GRACE + self.doubt:
            self.breach(
                3,
                "a call to a host that drains or is gone",
                host=call.host,
                relay=relay,
                told_ms=(now - told) // MS,
            )
        until, written = self.retry_after_until.get(route, (0, 0))
        if written + self.retry_after_grace < since < until - MS - self.doubt:
            self.breach(
                6,
                "a call inside a told wait",
                relay=relay,
                route=route[1],
                early_ms=(until - since) // MS,
            )
        for ident, mark, body in zip(call.ids, facts["marks"], call.bodies):
            self.check_callback(now, since, call, ident, mark, body, facts["destination"])
        self.calls[call.number] = call
        if call.conn in self.hung_up_connections:
            call.over = now
        else:
            self.by_conn[call.conn].append(call)
        for ident in call.ids:
            self.by_id[ident].append(call)

    def check_callback(self, now, since, call, ident, mark, body, destination) -> None:
        """Check rules 1, 2 and 5 for one callback of a call."""
        ask = next((a for a in self.asks.get(ident, ()) if a["body"] == body), None)
        if (
            ask is None
            or ask["destination"] != destination
            or ask["who"] != "strangers"
            and ask["mark"] != mark
        ):
            return self.breach(
                2, "a call that nobody handed in so", id=ident, body=body, host=call.host
            )
        row = ask["row"]
        earlier = self.by_id.get(ident, ())
        # Otherwise the call was given up before it arrived: it waited on the network.
        for before in earlier if call.conn not in self.hung_up_connections else ():
            if before.over is None and before.answered is None:
                if not self.doubt:
                    return self.check_concurrent(before, call, ident)
                self.world.after(self.doubt, self.check_concurrent, before, call, ident)
        if ident in self.notice_sent_at and since > self.notice_sent_at[ident] + self.slack:
            return self.breach(
                1, "a call after its final answer, a notice", id=ident, call=call.number
            )
        ran = [c for c in earlier if c.may_have_run]
        for c in ran:
            if (
                c.status == 200
                and c.known
                and c.life == call.life
                and since > c.reached + ANSWER_READ_SPAN + self.doubt
                and not self.read_too_late(c)
            ):
                return self.breach(
                    1, "a call after its final answer, a delivery", id=ident, call=call.number
                )
        if ran and row.effect == "at_most_once":
            return self.breach(
                2, "an exclusive one again, though it may have run", id=ident, first=ran[0].number
            )
        if ran and row.effect == "deduplicated":
            # Measured from the start of the attempt; a wait on the network does not count.
            if since > ran[0].began + row.window_ms * MS + self.slack:
                return self.breach(
                    2,
                    "a ticketed one again outside its window",
                    id=ident,
                    late_ms=(now - ran[0].began) // MS,
                )
            if row.scope == "zone" and ran[0].zone != call.zone:
                return self.breach(2, "a ticketed one again outside its zone", id=ident)
        if not row.ordered or ask["key"] is None or ask["who"] == "strangers":
            return
        place = call.relay, ask["key"]
        for taken in self.by_key.get(place, ()):
            if taken.order < ask["order"]:
                return self.breach(
                    5,
                    "a key's callback before an earlier one was over",
                    id=ident,
                    earlier=taken.id,
                    key=ask["key"],
                )
        rest, by, begun = self.cooldowns.get(place, (0, None, 0))
        if begun <= since < rest - self.slack and by != call.number:
            self.breach(
                5,
                "a key's callback inside its rest",
                id=ident,
                key=ask["key"],
                early_ms=(rest - since) // MS,
                after=by,
            )

    def read_too_late(self, call) -> bool:
        """Return whether the answer reached the relay only after the call's time limit.

        The relay then cannot tell it from one that was written too late: the callback may be sent
        again as its class allows, and gets the same answer.
        """
        began, ended = self.standstills.get(call.relay, (0, 0))
        return (
            call.reached >= call.until
            or began <= call.reached + ANSWER_READ_SPAN
            and ended >= call.until
        )

    def check_concurrent(self, before, call, ident) -> None:
        """Check that the earlier call was over.

        The end of a connection is seen later than what the relay did next, so with `doubt` this
        runs again after that time.
        """
        if before.over is None and before.answered is None:
            self.breach(
                2,
                "two calls of one callback at once",
                id=ident,
                first=before.number,
                second=call.number,
            )

    def answered(self, now, who, call, status, wait, ids) -> None:
        done = self.calls[call]
        # The answer crossed the relay's hang-up: nobody received it.
        if done.over is not None:
            return
        done.status, done.answered, done.reached = (
            status,
            now,
            self.path_faults.reaches(now, done.host, done.relay),
        )
        self.recent_answers.append(done)
        if wait and done.life == self.life[done.relay]:
            destination = int(done.host.partition("-")[0][1:])
            route = (done.relay, done.host if self.kinds[destination] == "apart" else destination)
            self.retry_after_until[route] = max(
                self.retry_after_until.get(route, (0, 0)), (now + wait, done.reached)
            )
        if status == 200 and now > done.until + self.doubt:
            # The host's time limit has passed, so this answer is no delivery.
            done.known = False
            self.counts["late answers"] += 1
        elif status == 200:
            for ident, body in zip(done.ids, done.bodies):
                self.delivered[ident, body] = now
                for taken in self.taken.get(ident, ()):
                    if taken.body == body:
                        self.end(taken, "delivered")

    def spoilt(self, now, who, call) -> None:
        self.calls[call].status, self.calls[call].answered, self.calls[call].reached = 599, now, now

    def hung_up(self, now, who, conn) -> None:
        """End the calls of a connection that the relay closed; they may still run at the host."""
        self.hung_up_connections.add(conn)
        self.end_calls(now, conn)

    def connection_closed(self, now, who, conn) -> None:
        self.end_calls(now, conn)

    def end_calls(self, now, conn) -> None:
        for call in self.by_conn.pop(conn, ()):
            if call.over is not None:
                continue
            call.over = now
            call.known = call.known and (
                call.answered is None or now - call.reached > self.crossing
            )
            if call.answered is None and self.scenario.settle_ms:
                for ident, body in zip(call.ids, call.bodies):
                    # A stranger's callback under the same id has a key of its own.
                    for ask in self.asks.get(ident, ()):
                        if ask["body"] == body and ask["key"] is not None and ask["row"].ordered:
                            self.cooldowns[call.relay, ask["key"]] = (
                                now + self.scenario.settle_ms * MS,
                                call.number,
                                now,
                            )

    def returning(self, now, who, calls, known, budget) -> None:
        """Record the calls to a host that is back from an outage, the most so far."""
        self.budget_share = max(self.budget_share, calls / budget)
        if known >= INFORMED_SHARE * calls:
            self.budget_share_known = max(self.budget_share_known, calls / budget)

    def fell_over(self, now, who, calls, known, able) -> None:
        self.counts["fell over"] += 1
        if known >= INFORMED_SHARE * calls:
            self.breach(
                4,
                "a returning destination pushed over",
                host=who,
                calls=calls,
                known=known,
                able=able,
            )

    # The platform

    def notice(self, now, who, id, result, wait, relay) -> None:
        self.counts[f"notice {result}"] += 1
        # Otherwise the disk cannot keep it, and a relay that is killed then does not know it.
        if now >= self.disk_failing_until.get(relay, 0):
            self.notice_sent_at.setdefault(id, now)
            if self.results.setdefault(id, result) != result:
                self.breach(1, "two final answers that differ", id=id, relay=relay)
        for taken in self.taken.get(id, ()):
            taken.told = True
            if (
                (id, taken.body) in self.untried
                and not self.by_id.get(id)
                and now < taken.due - EARLY_FINAL_SPAN
            ):
                self.counts["given up untried after a restart"] += 1

    def notice_answered(self, now, who, id) -> None:
        self.notice_answered_at.setdefault(id, now)
        for taken in self.taken.get(id, ()):
            self.end(taken, "noticed")

    def was_told(self, now, who, relay, host, status) -> None:
        if status == "active":
            self.told.pop((relay, host), None)
        else:
            self.told.setdefault((relay, host), self.path_faults.reaches(now, "platform", relay))

    # Relays

    def started(self, now, who, life) -> None:
        self.life[who] = life
        self.counts["starts"] += 1
        for rows in (self.retry_after_until, self.told):
            for place in [place for place in rows if place[0] == who]:
                del rows[place]

    def ready(self, now, who, life) -> None:
        self.up[who], self.ready_at[who] = True, now if life > 1 else now - AFTER_READY
        if life > 1:
            for taken in [
                taken for rows in self.taken.values() for taken in rows if taken.relay == who
            ]:
                at = min(ask["at"] for ask in self.asks[taken.id] if ask["body"] == taken.body)
                if (
                    taken.state == "held"
                    and taken.owed
                    and not taken.told
                    and not self.by_id.get(taken.id)
                    and 2 * (taken.due - now) >= taken.due - at
                ):
                    self.untried[taken.id, taken.body] = who

    def record_standstill(self, now, who, until, since=None) -> None:
        """Record that a machine stands still; it owes nothing meanwhile.

        A later event may give `since`, when the standstill began.
        """
        began, ended = self.standstills.get(who, (0, 0))
        begins = now if since is None else since
        self.standstills[who] = (
            (min(began, begins) if begins <= ended else begins),
            max(until, ended),
        )

    def fault(self, now, who, kind, falls_on, span, worth) -> None:
        """Record a fault on the network or on a disk.

        A disk that takes no writes cannot keep which answer was given, if its relay is killed
        meanwhile.
        """
        if FAULTS[kind] == "pair":
            for host, relay in self.path_faults.fault(now, kind, falls_on, span, worth):
                # An answer that was just written is held back by the cut as well.
                for call in self.recent_answers:
                    if (call.host, call.relay) == (
                        host,
                        relay,
                    ) and now - call.answered <= self.crossing:
                        call.reached = self.path_faults.reaches(now, host, relay)
        if kind in ("disk_full", "disk_failing", "disk_error"):
            self.disk_failing_until[falls_on] = max(
                now + span * MS, self.disk_failing_until.get(falls_on, 0)
            )

    def signalled(self, now, who, number) -> None:
        """From SIGTERM on, no notice is overdue until the relay is ready again."""
        if number == SIGTERM:
            self.up[who] = False

    def died(self, now, who, life) -> None:
        self.up[who] = False

    def left_on_disk(self, relay: str, image: dict) -> None:
        """Check the disk at a kill: it holds all callbacks that are accepted and not completed."""
        data = b"".join(image.values())
        for rows in list(self.taken.values()):
            for taken in rows:
                if (
                    taken.relay == relay
                    and taken.state == "held"
                    and taken.owed
                    and taken.id.encode() not in data
                ):
                    self.breach(
                        1,
                        "taken on, and not on the disk when its relay was killed",
                        id=taken.id,
                        relay=relay,
                    )

    def disk_lost(self, now, who) -> None:
        self.lost[who] = now
        self.cooldowns = {place: rest for place, rest in self.cooldowns.items() if place[0] != who}
        for rows in self.taken.values():
            for taken in rows:
                if taken.relay == who:
                    self.end(taken, "lost with its disk")

    def escaped(self, now, who, error) -> None:
        self.breach(0, "a fault in the relay", relay=who, error=error)

    # End of the run

    def close(self, sizes, wrong_figures) -> None:
        """Check at the end that no relay holds anything and no metric is wrong."""
        for relay, rows in wrong_figures.items():
            if rows:
                self.breach(0, "untrue figures", relay=relay, said_and_counted=rows)
        for relay, rows in sizes.items():
            left = {name: count for name, count in rows.items() if count}
            if left:
                self.breach(0, "rows left in a relay that holds nothing", relay=relay, left=left)
        self.counts["untried at a restart"] = len(self.untried)
        # A single case proves nothing: a relay killed between the log record and the first byte
        # leaves a callback in doubt, and neither order of the two avoids that.
        if 1 < self.counts["given up untried after a restart"] and 2 * self.counts[
            "given up untried after a restart"
        ] > len(self.untried):
            self.breach(
                1,
                "over half of what restarts found untried was given up with no call",
                found=len(self.untried),
                given_up=self.counts["given up untried after a restart"],
            )
        asked = self.counts["asked"] + self.counts["no connection left"]
        if asked and self.counts["no connection left"] > self.scenario.crowd_share * asked:
            self.breach(
                0,
                "programs crowded out of their own connections",
                share=self.counts["no connection left"] / asked,
            )

    def summary(self) -> dict:
        """Return the figures of the run for its verdict."""
        wanted, delivered = self.counts["payoff wanted"], max(1, self.counts["delivered"])
        spans = [
            [sum(self.seconds[n][i] for n in range(at, at + WORST)) for i in (0, 1)]
            for at in range(max(1, max(self.seconds, default=0) + 2 - WORST))
        ]
        return {
            "service": round(self.counts["payoff"] / wanted, 6) if wanted else 1.0,
            "worst_10_s": round(
                min((done / asked for asked, done in spans if asked), default=1.0), 6
            ),
            "waste": round(
                1 - min(1.0, self.counts["delivered"] / max(1, self.counts["calls"])), 6
            ),
            "slow_start_share": round(self.budget_share, 3),
            "slow_start_share_known": round(self.budget_share_known, 3),
            "connections_a_callback": round(len(self.used) / delivered, 6),
            **{name: self.counts[name] for name in sorted(self.counts)},
        }
