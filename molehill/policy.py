"""The decisions of a molehill relay: which callback is launched where and when, repeated, rejected or failed.

Called as `relay = Relay(settings, seed)`, then `actions = relay.step(now, events)` once a batch with all that
came in by `now`; the types of both lists stand in molehill/interface.py. It has no clock, input or output.
docs/design.md tells what is kept of the design page, what was changed, and when each exception acts.
"""

from heapq import heappop, heappush
from math import log2
from random import Random

from molehill import interface as it
from molehill.interface import Effect, Result

SECOND = 1_000_000_000
# A callback. TURN: an earlier one of its key is not over, or the key rests; QUEUED: may be launched; OUT: a
# launch has no outcome yet; OVER: it has its final answer.
TURN, QUEUED, OUT, OVER = "turn", "queued", "out", "over"
WAITING = (TURN, QUEUED)
# A host. OPEN: fed by the window alone; CLOSED: one trial at a time; RAMP: back, fed under the budget.
OPEN, CLOSED, RAMP = "open", "closed", "ramp"


class Callback:
    def __init__(self, new, row, payoff, over):
        self.id, self.row, self.payoff, self.lane = new.callback, row, payoff, (new.category, over)
        self.key, self.due, self.goal = (
            None,
            new.abandon_at,
            new.abandon_at - row.abandon + row.goal,
        )
        self.dest, self.state, self.launches, self.call = new.destination, None, new.launches, None
        self.kept = False  # found untried by a restart
        # may have run, and is known only there;
        self.ran, self.zone, self.stale = False, None, self.due
        # if so, it may go till then
        self.repeat_until = self.due if row.effect is Effect.IDEMPOTENT else 0


class Limiter:
    """The design's limiter, one a route: limit, calls out, recent best, pause; beside it the crawl delay."""

    START, LEAST = 2.0, 1.0  # the design's figures

    def __init__(self, now, told=0.0):
        self.limit, self.out, self.fresh, self.paused, self.used = self.START, 0, True, 0, now
        # till when a told wait binds: what is left of a pause is a rest
        self.waits = 0
        self.smooth, self.dev, self.now_best, self.last_best, self.window_at = (
            None,
            0,
            None,
            None,
            now,
        )
        # calls a second; 0: none
        self.pace, self.told, self.credit, self.credit_at = 0.0, told, 0.0, now
        # share of the told limit that is left, smoothed; None: not told
        self.left = None
        # bad rounds
        self.count, self.count_at, self.served, self.rounds, self.bad_at = 0, now, 0.0, 0, 0


class Destination:
    def __init__(self, now):
        self.hosts, self.lanes, self.limiter = [], {}, Limiter(now)
        # asked since
        self.out, self.waiting, self.sick, self.asked, self.asked_at = 0, 0, False, 0.0, now
        self.known = 0  # hosts of it, listed or not
        # hosts that were listed as up at once, the most of late
        self.usual = 0


class Relay:
    def __init__(self, settings, seed):
        self.set, self.random, self.now, self.actions = settings, Random(seed).random, 0, []
        # callbacks that are not over, and those over with a launch out
        self.held = {}
        self.dests, self.keys, self.rests, self.out = {}, {}, {}, 0
        # destinations to look at; those that lacked only a slot
        self.dirty, self.starved = {}, {}
        self.timers, self.wake_at, self.serial, self.ends = [], None, 0, float("inf")
        self.quota = [[float("inf"), 0] for _ in settings.tenants]
        self.on = {
            it.Outcome: self._outcome,
            it.NewCallback: self._taken,
            it.ListNews: self._news,
            it.Withdrawn: self._withdrawn,
            it.Stopping: self._stopping,
            it.NewSettings: self._retuned,
            it.Learnt: self._learnt,
        }
        # host id -> index into the arrays below; indices to use again
        self.hosts, self.spare = {}, []
        # from state on: health; calls out; share of failures; next call at; state, idle connection since; kind; failed calls since
        # its last good answer, and when the first of them was sent
        self.rows = (
            self.h_id,
            self.h_zone,
            self.h_size,
            self.h_dest,
            self.h_up,
            self.h_route,
            self.h_state,
            self.h_out,
            self.h_bad,
            self.h_next,
            self.h_since,
            self.h_free,
            self.h_kind,
            self.h_fails,
            self.h_failing,
        ) = [[] for _ in range(15)]
        # by kind: calls for which no idle connection is kept
        self.tight = [0] * max(1, len(settings.kinds))
        self.worn_span, self.worn, self.new = settings.connection_idle, 0.0, 0.0

    def step(self, now, events):
        self.now, self.actions, self.joined = now, [], {}
        for event in [event for event in events if type(event) in self.on]:
            self.on[type(event)](event)
        self._ring()  # what a timer was set for is found by the clock
        self._launch_all()
        if self.timers and (
            self.wake_at is None or self.timers[0][0] < self.wake_at or self.wake_at <= now
        ):
            self.wake_at = max(self.timers[0][0], now + 1)
            self.actions.append(it.Wake(self.wake_at - now, "wake"))
        return self.actions

    def _at(self, when, work, ref):
        self.serial += 1
        heappush(self.timers, (when, self.serial, work, ref))

    def _ring(self):
        while self.timers and self.timers[0][0] <= self.now:
            _, _, work, ref = heappop(self.timers)
            work(ref) if work else self.dirty.setdefault(ref)  # without: a destination to look at

    def _time_up(self, number):
        callback = self.held.get(number)
        if callback is None or callback.state not in WAITING:
            return
        if not self._may_launch(callback):
            self._give_up(callback)
        elif self.now < callback.due:
            # Danger: too late by a latency that has fallen since, it may wait for its turn, and nothing else looks at it.
            self._at(callback.due, self._time_up, number)

    def _move(self, callback, state):
        """Every change of a callback's state."""
        state = QUEUED if state is TURN and callback.key is None else state
        before, callback.state = callback.state, state
        dest = self._dest(callback.dest)
        dest.waiting += (state in WAITING) - (before in WAITING)
        if state is QUEUED:
            # Danger: after an outage all that waits is late alike, and oldest first nothing is in time again.
            # What loses no more by waiting goes after the rest. One whose launch failed yields a second.
            callback.late, self.serial = self.now >= callback.stale, self.serial + 1
            pair = dest.lanes.setdefault((callback.lane, callback.ran, callback.zone), ([], []))
            heappush(
                pair[callback.late],
                (callback.goal + callback.launches * SECOND, self.serial, callback),
            )
            self.dirty[callback.dest] = True
        elif state is OVER and before is not OVER:
            if callback.call is None:
                del self.held[callback.id]
            self._next_turn(callback.key)

    ASKED_SPAN = 60 * SECOND  # a minute of traffic outweighs its clumps

    def _taken(self, new):
        # Danger: a start while discovery is down knows old hosts or none. What was taken on before is not turned away for
        # that, nor for what came with it in this one moment: it had its place and its share when it came.
        if not (new.taken or new.destination in self.dests and self.dests[new.destination].known):
            return self.actions.append(it.Reject(new.callback, self._back()))
        row, over = (
            self.set.categories[new.category],
            not new.taken and self._over_share(new.tenant),
        )
        callback = Callback(
            new, row, row.payoff * (self.set.over_share_payoff if over else 1.0), over
        )
        if self.set.halving and row.late_share > 0.0:  # its payoff falls no more from then on
            callback.stale = callback.goal - int(row.goal * log2(row.late_share))
        self.held[callback.id] = callback
        if row.ordered and new.key is not None:
            callback.key = new.key
            self.keys.setdefault(new.key, []).append(callback)
            if new.rests_until > self.now:
                self._settle(new.key, new.rests_until)
        if new.ran_at is not None:
            self._may_have_run(callback, new.ran_at, new.ran_zone)
        self._join(callback, new.under) if new.under else self._move(callback, TURN)
        dest = self._dest(callback.dest)
        if self.now - dest.asked_at > self.ASKED_SPAN:
            dest.asked, dest.asked_at = dest.asked / 2, self.now - self.ASKED_SPAN // 2
        dest.asked += 1
        callback.kept = new.taken and not new.launches
        self._make_room() if not new.taken else None
        self._at(
            callback.due if self._may_launch(callback) else self.now, self._time_up, callback.id
        )
        self._next_turn(callback.key)

    def _join(self, callback, under):
        """Its launch by an earlier process is out, and its outcome comes here."""
        h = self.hosts[under.host]
        call = callback.call = self.joined.setdefault(
            under.number, [h, 0, under.sent, False, under.time_out, 0]
        )
        if call[1] == 0:
            self._count_out(h, 1)
        call[1] += 1
        self._move(callback, OUT)

    def _count_out(self, h, by):
        self.out, self.h_out[h] = self.out + by, self.h_out[h] + by
        for counts in (self.dests[self.h_dest[h]], self.h_route[h]):
            counts.out += by

    HANDED = ("h_state", "h_bad", "h_next", "h_since", "h_free", "h_fails", "h_failing")

    def learnt(self):
        """What was measured, as plain rows for the next process of this relay."""
        rows = [
            {
                "dest": n,
                "asked": d.asked,
                "asked_at": d.asked_at,
                "sick": d.sick,
                "route": self._measured(d.limiter),
            }
            for n, d in self.dests.items()
        ]
        for host, h in self.hosts.items():
            lim = self.h_route[h]
            rows.append(
                {
                    "host": host,
                    **{name: getattr(self, name)[h] for name in self.HANDED},
                    "route": self._measured(lim)
                    if lim is not self.dests[self.h_dest[h]].limiter
                    else {},
                }
            )
        return rows + [
            {"tight": self.tight, "worn_span": self.worn_span, "worn": self.worn, "new": self.new}
        ]

    @staticmethod
    def _measured(lim):
        return {name: value for name, value in vars(lim).items() if name != "out"}

    def _learnt(self, event):
        """Danger: begun anew in the middle of a day, windows and paces push where the earlier process had learnt not to."""
        for row in event.rows:
            if row.get("dest") in self.dests:
                of = self.dests[row["dest"]]
                lim, of.asked, of.asked_at, of.sick = (
                    of.limiter,
                    row["asked"],
                    row["asked_at"],
                    row["sick"],
                )
                self._at(row["route"]["paused"], None, row["dest"])
            elif (h := self.hosts.get(row.get("host"))) is not None:
                lim = self.h_route[h]
                for name in self.HANDED:
                    getattr(self, name)[h] = row[name]
                self.h_state[h] = next(
                    (state for state in (OPEN, RAMP) if state == row["h_state"]), CLOSED
                )
                self._at(max(row["h_next"], row["route"].get("paused", 0)), None, self.h_dest[h])
            else:
                self.__dict__.update(
                    {name: row[name] for name in ("worn_span", "worn", "new") if name in row}
                )
                self.tight = (
                    row["tight"] if len(row.get("tight", ())) == len(self.tight) else self.tight
                )
                continue
            vars(lim).update(
                {name: value for name, value in row["route"].items() if name in vars(lim)}
            )

    def _withdrawn(self, event):
        self._move(self.held[event.callback], OVER) if event.callback in self.held else None

    def _stopping(self, event):
        # danger: cut off there, a call may have run; so none goes shortly before
        self.ends = event.at

    def _retuned(self, event):
        """New settings count for what comes and for each launch from here on; what is held keeps its category."""
        more = len(event.settings.tenants) - len(self.quota)
        self.set, self.quota = event.settings, self.quota + [[float("inf"), 0] for _ in range(more)]
        for callback in [
            c for c in self.held.values() if c.state in WAITING and not self._may_launch(c)
        ]:
            # fewer launches may be allowed: it is answered at once
            self._give_up(callback)
        self.dirty.update(dict.fromkeys(self.dests, True))

    def _may_have_run(self, callback, sent, zone):
        """Rule 2: from the first such launch on, a deduplicated one goes only where and while it is known."""
        if not callback.ran and callback.row.effect is Effect.DEDUPLICATED:
            callback.zone = None if callback.row.all_hosts else zone
            # a new connection takes its time
            callback.repeat_until = sent + callback.row.window * 15 // 16
            self._at(callback.repeat_until, self._time_up, callback.id)
        callback.ran = True

    def _settle(self, key, until):
        self.rests[key] = max(until, self.rests.get(key, 0))
        self._at(until, self._next_turn, key)

    def _over_share(self, tenant):
        """A bucket a tenant, two seconds deep for clumps, at an even part of its quota; beyond is less."""
        if tenant >= len(self.set.tenants) or not self.set.tenants[tenant].quota:
            return False
        rate, bucket = self.set.tenants[tenant].quota / self.set.relays, self.quota[tenant]
        bucket[:] = (
            min(max(1.0, 2.0 * rate), bucket[0] + rate * (self.now - bucket[1]) / SECOND),
            self.now,
        )
        bucket[0] -= (fits := bucket[0] >= 1.0)
        return not fits

    def _make_room(self):
        """Danger: callbacks for a sick destination fill the relay, newcomers for healthy ones are turned away
        at its door. While it is nearly full, what holds a place for the least payoff gives way at once; but not what
        a restart found untried."""
        limit = self.set.max_held  # a sixteenth of it: what may come in one batch
        full = limit is not None and len(self.held) >= limit - limit // 16
        waiting = (
            [c for c in self.held.values() if c.state in WAITING and (c.launches or not c.kept)]
            if full
            else []
        )
        if waiting:
            self._give_up(min(waiting, key=self._keeping))

    def _keeping(self, callback):
        """Payoff when its turn comes, as things look, for the time that it takes a place."""
        to, at = self._dest(callback.dest), callback.due
        for h in to.hosts:
            turn = to.waiting * (self.h_route[h].smooth or SECOND) / self.h_route[h].limit
            at = min(at, max(self.now, self.h_route[h].paused, self.h_next[h]) + int(turn))
        return self._worth(callback, at) / (at - self.now + SECOND)

    def _next_turn(self, key):
        """Rule 5: a key's oldest goes once all before it are over, with no launch out, and the key rested."""
        line = self.keys.get(key, [])
        while line and line[0].state is OVER and line[0].call is None:
            line.pop(0)
        rested = self.rests.get(key, 0) <= self.now
        if line and rested and line[0].state is TURN:
            self._move(line[0], QUEUED)
        elif not line and rested:
            self.keys.pop(key, None), self.rests.pop(key, None)

    def _may_launch(self, callback):
        """Rule 2: whether it may be launched now. Danger: in a long queue all go too late for an answer."""
        ends = min(callback.due, callback.repeat_until) if callback.ran else callback.due
        # bounded, so that a slow spell long past shuts nobody out
        hosts = self._dest(callback.dest).hosts
        took = max(
            self.EDGE,
            min([callback.row.abandon // 16, *(self.h_route[h].now_best or 0 for h in hosts)]),
        )
        return callback.launches < self.set.max_launches and self.now + took < ends

    # a client counts from when it sent: its way here and one batch, as batches are no closer
    EDGE = SECOND // 200

    def _back(self):  # when a rejected one may come again: a queue thins by then
        return min(SECOND, self.set.max_return) if self.set.tells_return else 0

    def _give_up(self, callback):
        """The final answer for what is not delivered: rejected where that is harmless, else failed."""
        effect = callback.row.effect
        harmless = self.now < callback.due - (self.EDGE if callback.ran else 0) and (
            not callback.ran
            or effect is Effect.IDEMPOTENT
            or effect is Effect.DEDUPLICATED
            and callback.row.all_hosts
        )
        self.actions.append(
            it.Reject(callback.id, self._back()) if harmless else it.Fail(callback.id)
        )
        self._move(callback, OVER)

    def _outcome(self, event):
        if (callback := self.held.get(event.callback)) is None or callback.call is None:
            return
        call, result, callback.call = callback.call, event.result, None
        h, dest = call[0], self.dests[self.h_dest[call[0]]]
        call[1] -= 1
        if call[1] == 0:
            self._count_out(h, -1)
            self.dirty[self.h_dest[h]] = True
            self._connection(h, call, result, event.took)
        lim = self.h_route[h]
        lim.waits = max(lim.waits, self.now + event.wait)
        lim.paused = max(lim.paused, lim.waits)  # rule 6
        if not call[3]:
            # first: a refusal is judged by the limit that it tells
            self._told(lim, event)
        if not call[3] or event.wait:
            # a call of several is judged once, but each told wait counts
            call[3] = True
            self._judge(h, dest, call, event)
        if result.may_have_run:
            self._may_have_run(callback, call[2], self.h_zone[h])
            if result.may_run_still and callback.key is not None:
                self._settle(callback.key, self.now + self.set.settle)
        callback.launches = (
            self.set.max_launches if event.spent else callback.launches - event.unsent
        )
        if callback.state is OVER or event.closed:
            self._move(callback, OVER)
            self.held.pop(callback.id, None)
        elif not self._may_launch(callback):
            self._give_up(callback)
        else:
            self._move(callback, TURN)
        self._next_turn(callback.key)

    # calls: seconds of a small relay's, as a crowd takes to thin; each a handshake dearer
    SCARCE = 32
    # smoothing, and share of lost calls beyond that of new connections: three
    WORN_GAIN, WORN = 0.25, 0.5

    def _connection(self, h, call, result, took):
        """Danger: idle connections of many relays fill a host that takes few: none is kept once one failed.
        Danger: dropped unseen, they lose the next call: most calls on long idle ones are lost, few on new."""
        self.h_free[h] = 0 if result.may_run_still else self.now
        # danger: as one kind takes few, handshakes are paid for at all
        kind = self.h_kind[h]
        self.tight[kind] = (
            self.SCARCE if result is Result.NO_CONNECT else max(0, self.tight[kind] - 1)
        )
        if self.tight[kind] and not self.h_out[h] and not self.dests[self.h_dest[h]].waiting:
            self.h_free[h] = 0
            self.actions.append(it.CloseIdle(self.h_id[h]))
        lost = result is Result.RESET or result is Result.TIMEOUT and took >= call[4]
        self.worn_span = min(self.worn_span, call[5]) if lost and call[5] else self.worn_span
        if not call[5]:
            self.new += (lost - self.new) * self.WORN_GAIN / 2
        elif call[5] >= self.worn_span:
            self.worn += (lost - self.worn) * self.WORN_GAIN

    CUT = 0.9  # the design's answer to a slow answer
    TOLERANCE = 2.0  # the design's default; 3, and smoothing over 16 answers, gained nothing
    PACE_STEP = 0.1  # calls a second for a good answer: a small allowance is regained in seconds
    RATE_SPAN = 2 * SECOND  # for served rates: no shorter than spans that allowances count in

    def _judge(self, h, dest, call, event):
        lim, now, result = self.h_route[h], self.now, event.result
        self._count_failures(h, lim, call, event)
        apart = (
            result is Result.TIMEOUT and event.took < call[4] or result is Result.RESET and call[5]
        )
        if apart or result in (Result.NOT_SENT, Result.CANCELLED):
            # a time-out cut by an abandon time, a kept connection's reset: not the host's doing
            return
        if result is not Result.DELIVERED and call[2] >= lim.bad_at:
            lim.rounds, lim.bad_at = lim.rounds + 1, now
        if result is Result.FULL:
            return self._refused(h, dest, lim, event)
        if good := result is Result.DELIVERED:
            # Danger: tails beyond any tolerance read as slow. Slow is what is slow itself and in the mean.
            best = self._best(lim, event.took)
            slow = min(event.took, lim.smooth) > self.TOLERANCE * best
            lim.rounds, lim.count = 0, lim.count + 1
            if now - lim.count_at >= self.RATE_SPAN:
                lim.served, lim.count, lim.count_at = (
                    lim.count * SECOND / (now - lim.count_at),
                    0,
                    now,
                )
            lim.pace += self.PACE_STEP if lim.pace else 0.0
        if not good or slow:
            lim.limit, lim.fresh, dest.sick = max(lim.LEAST, lim.limit * self.CUT), False, True
        else:
            lim.limit = min(lim.limit + (1.0 if lim.fresh else 1.0 / lim.limit), self.set.slots)
            dest.sick = False
        self._health(h, good, call[2], result)

    FAILURES = 2  # since the last good answer: one alone may be a call's own bad luck

    def _count_failures(self, h, lim, call, event):
        """Danger: a relay with few calls sees too few failures to close a host that is silent for seconds, and feeds it by the
        window alone as it returns, cold. So a good answer after failures that span as much as the settings count in is a return."""
        if event.result is Result.DELIVERED:
            if (
                self.h_state[h] is OPEN
                and self.h_fails[h] >= self.FAILURES
                and self.set.fall_span
                and call[2] - self.h_failing[h] >= self.set.fall_span
            ):
                self._returns(h)
            self.h_fails[h] = 0
            return
        if event.result is not Result.TIMEOUT:
            # Danger: no connection may be had for want of room at the host, and errors be single calls': no outage either.
            return
        # cut short by a callback's time it counts too, if an answer would have come by then
        wanted = lim.smooth + self.DEVIATIONS * lim.dev if lim.smooth else self.PAUSE
        if event.took >= min(call[4], wanted):
            self.h_failing[h] = self.h_failing[h] if self.h_fails[h] else call[2]
            self.h_fails[h] += 1

    def _returns(self, h):
        """From now on it is fed under the budget until it is warm."""
        self.h_state[h], self.h_since[h], self.h_bad[h] = RAMP, self.now, 0.0
        self.h_next[h] = self.now + self._gap(h)
        self.actions.append(it.Health(self.h_id[h], False, f"host {self.h_id[h]} answers again"))

    BASELINE = 5 * SECOND  # the design's baseline window

    def _best(self, lim, took):
        """The least latency, smoothed as TCP smooths round trips, in this baseline window and the last."""
        lim.dev += (abs(took - lim.smooth) - lim.dev) // 4 if lim.smooth else took // 2
        lim.smooth = lim.smooth + (took - lim.smooth) // 8 if lim.smooth else took
        if self.now - lim.window_at > self.BASELINE:
            lim.last_best = lim.now_best if self.now - lim.window_at <= 2 * self.BASELINE else None
            lim.now_best, lim.window_at = None, self.now
        lim.now_best = min(lim.smooth, lim.now_best or lim.smooth)
        return min(lim.now_best, lim.last_best or lim.now_best)

    # callbacks a second, of this relay; a new one is taken as ten seconds old
    def _asked(self, dest):
        return max(1.0, dest.asked) * SECOND / max(self.now - dest.asked_at, 10 * SECOND)

    # of the rest with each bad round in a row; doubling still pushed returning destinations over
    GROWTH = 4

    def _rest(self, h):
        """Danger: many relays with few callbacks each try a sick destination often, or all at the end of a
        told wait, and push it over as it returns. Each rests half its time between two, longer each round."""
        longest, told = self._gap(h), self.h_route[h].told
        # a told limit explains one refusal
        rounds = min(self.h_route[h].rounds - (2 if told else 1), 4)
        first = max(self.PAUSE, min(SECOND / self._asked(self.dests[self.h_dest[h]]), longest))
        span = min(first * self.GROWTH**rounds, longest) if rounds >= 0 else self.PAUSE
        return int(span * (0.5 + self.random()))

    PAUSE = SECOND * 3 // 10  # where a refusal tells no wait; 1 s idles much of a small allowance
    LEAST_PACE = 0.5  # calls a second: one call in two seconds still learns that there is room

    def _refused(self, h, dest, lim, event):
        if lim.told and not event.told_rate and not event.wait and len(dest.hosts) > 1:
            # Danger: a host that drains refuses before the list tells, and the others stand still with it.
            # All that serve tell the limit; one that refuses without it does so for itself.
            self.h_next[h] = max(self.h_next[h], self.now + self._rest(h))
            return self._at(self.h_next[h], None, self.h_dest[h])
        lim.limit, lim.fresh, dest.sick = max(lim.LEAST, lim.limit / 2), False, True
        lim.paused = max(lim.paused, self.now + event.wait + self._rest(h))
        self._at(lim.paused, None, self.h_dest[h])
        # Danger: at an allowance latency stays flat. So the rate served becomes the guide's crawl delay.
        # Where answers tell allowances and none was told, there is none: refused at a drain or a full queue.
        got = max(lim.served, lim.count * SECOND / max(SECOND, self.now - lim.count_at))
        if lim.told or not self.set.tells_limit:
            lim.pace = max(
                self.LEAST_PACE, lim.told / self.set.relays, self.CUT * min(got, lim.pace or got)
            )
        lim.credit, lim.credit_at = 0.0, self.now
        if self.h_state[h] is CLOSED:
            self._close(h, Result.FULL)

    # smoothing and share of failures that closes: three in a row, no fewer
    BAD_GAIN, MOSTLY_BAD = 0.25, 0.5

    def _health(self, h, good, sent, result):
        self.h_bad[h] += ((0.0 if good else 1.0) - self.h_bad[h]) * self.BAD_GAIN
        if good and self.h_state[h] is CLOSED and sent >= self.h_since[h]:
            self._returns(h)
        if not good and self.h_route[h].rounds > 1:
            until = self.h_next[h] = max(self.h_next[h], self.now + self._rest(h))
            # not silence: that may be the connection's own
            if result in (Result.ERROR, Result.NO_CONNECT):
                self.h_route[h].paused = max(self.h_route[h].paused, until)
                self._at(until, None, self.h_dest[h])  # danger: nothing new comes, and it waits on
        if not good and (self.h_bad[h] > self.MOSTLY_BAD or self.h_state[h] is CLOSED):
            self._close(h, result)

    def _close(self, h, result):
        if self.h_state[h] is not CLOSED:
            self.actions.append(
                it.Health(self.h_id[h], True, f"host {self.h_id[h]} closed: {result.value}")
            )
            self.h_state[h], self.h_since[h] = CLOSED, self.now
        start = max(self.now, self.h_route[h].paused)
        self.h_next[h] = max(self.h_next[h], start + int(self._gap(h) * (0.5 + self.random())))
        self._at(self.h_next[h], None, self.h_dest[h])

    BUDGET = 1.7  # relays that saw no failure bring calls too: those that did may bring two thirds

    def _gap(self, h):
        """Rule 4: the span between two calls to a host that was away. What it can do is about what is asked
        of it, and a relay's fair part is what that relay is asked for, or an even part of a told rate. Danger: it can do no more
        for its siblings being away, so each host counts for its part of a usual list."""
        s, dest = self.set, self.dests[self.h_dest[h]]
        cold = s.cold_from or 1.0  # no such rule: as warm as ever
        warm = (
            (self.now - self.h_since[h]) / s.ramp_time
            if self.h_state[h] is RAMP and s.ramp_time
            else 0.0
        )
        lim, hosts = self.h_route[h], max(1, dest.usual, len(dest.hosts))
        told = lim.told / s.relays / (hosts if lim is dest.limiter else 1)
        can = max(self.BUDGET * self._asked(dest) / hosts, told)
        rate = can * (s.fall_multiple or 1.0) * (cold + (1.0 - cold) * min(1.0, warm))
        return int(min(SECOND / rate, s.ramp_time or SECOND))

    def _dest(self, number):
        return self.dests.get(number) or self.dests.setdefault(number, Destination(self.now))

    # jittered; sooner, many relays that were turned away keep the list overloaded
    ASK_AGAIN = 2 * SECOND

    def _news(self, news):
        if news.scope is it.Scope.FAILED:
            again = self.now + int(self.ASK_AGAIN * (0.5 + self.random()))
            return self._at(again, lambda _: self.actions.append(it.FollowList()), 0)
        if news.scope is it.Scope.RESTORED and self.set.list_on_request:
            self.actions.append(it.FollowList())
        if news.scope is not it.Scope.UPDATE:
            named = {entry.host: True for entry in news.entries}
            for h in [h for host, h in self.hosts.items() if host not in named]:
                self._listed(h, False)
        for entry in news.entries:
            h = self.hosts[entry.host] if entry.host in self.hosts else self._add(entry)
            self.h_route[h].told = entry.units if self.set.units_are_rates else self.h_route[h].told
            self._listed(h, entry.condition is it.Condition.UP)

    def _add(self, entry):
        h = self.hosts[entry.host] = self.spare.pop() if self.spare else len(self.h_id)
        self._dest(entry.destination).known += 1
        kind = self.set.kinds[entry.kind] if entry.kind < len(self.set.kinds) else it.Kind(False, 1)
        route = Limiter(self.now) if kind.apart else self._dest(entry.destination).limiter
        row = (
            entry.host,
            entry.zone,
            kind.per_call,
            entry.destination,
            False,
            route,
            CLOSED if entry.away else OPEN,
            0,
            0.0,
            0,
            self.now,
            0,  # rule 4
            min(entry.kind, len(self.tight) - 1),
            0,
            0,
        )
        for array, value in zip(self.rows, row):
            array[h : h + 1] = [value]
        return h

    # longer than ramps and gaps in the list: one that comes back sooner is known
    LEFT = 30 * SECOND

    def _drop(self, host):
        """Danger: hosts come and go all day. What left is forgotten, with its destination if the last."""
        if (h := self.hosts.get(host)) is None or self.h_up[h]:
            return
        number = self.h_dest[h]
        last = self.dests[number].known == 1
        if self.h_out[h] or last and (self.dests[number].waiting or self.dests[number].out):
            return self._at(self.now + self.LEFT, self._drop, host)
        self.spare.append(self.hosts.pop(host))
        self.dests[number].known -= 1
        self.dests.pop(number if last else None, None)

    def _listed(self, h, up):
        """Rule 3: a host that drains or is gone gets nothing new from this moment."""
        if self.h_up[h] != up:
            self.h_up[h], hosts = up, self._dest(self.h_dest[h]).hosts
            (hosts.append if up else hosts.remove)(h)
            self._count_usual(self.h_dest[h])
            if not up:
                self._at(self.now + self.LEFT, self._forget_usual, self.h_dest[h])
            if up and self.h_state[h] is OPEN:
                # Danger: hosts are replaced faster than rests after refusals end. A new one gave no cause.
                self.h_route[h].paused, self.h_route[h].rounds = self.h_route[h].waits, 0
            self.dirty[self.h_dest[h]] = True
        self._at(self.now + self.LEFT, self._drop, self.h_id[h]) if not up else None

    def _count_usual(self, number):
        dest = self._dest(number)
        dest.usual = max(dest.usual, len(dest.hosts))

    def _forget_usual(self, number):
        """By now clients have got used to fewer hosts, or others have come in place of those that left."""
        if number in self.dests:
            self.dests[number].usual = len(self.dests[number].hosts)

    def _launch_all(self):
        dirty, self.dirty = {**self.starved, **self.dirty}, {}
        for number in sorted(dirty, key=self._urgency, reverse=True) if self.starved else dirty:
            self.starved.pop(number, None)
            self._launch_dest(number)
            if self.out >= self.set.slots:
                self.starved[number] = True

    def _launch_dest(self, number):
        dest = self._dest(number)
        # The slot share: three quarters of the slots while healthy, half while sick, one at least.
        while (
            dest.out < max(1, self.set.slots * (2 if dest.sick else 3) // 4)
            and self.out < self.set.slots
        ):
            h = None
            for callback in self._heads(dest):
                h = self._pick(dest, callback)
                if h is not None or callback.zone is None:
                    # only one bound to a zone may lack a route that others have
                    break
            if h is None:
                return
            self._send(dest, h, callback)

    LOOK_AHEAD = SECOND  # about one round of a short queue

    def _heads(self, dest):
        """The oldest of each lane, first the one whose delay by the look-ahead loses the most payoff."""
        heads = []
        for lane, late in [
            (lane, late) for lanes in dest.lanes.values() for late, lane in enumerate(lanes)
        ]:
            while lane and (
                lane[0][2].state is not QUEUED
                or not self._may_launch(lane[0][2])
                or not late
                and self.now >= lane[0][2].stale
            ):
                callback = heappop(lane)[2]
                if callback.state is QUEUED:
                    self._move(callback, QUEUED) if self._may_launch(callback) else self._give_up(
                        callback
                    )
            if lane:
                callback = lane[0][2]
                worth = self._worth(callback, self.now)
                after = late or callback.payoff < callback.row.payoff  # over its tenant's share
                loss = (
                    worth
                    if after
                    else 1.001 * worth - self._worth(callback, self.now + self.LOOK_AHEAD)
                )
                heads.append((after, -loss, lane[0][1], callback))
        return [head[3] for head in sorted(heads)]

    def _urgency(self, number):
        """Danger: short of slots, slow destinations take most of their time. So: payoff for a slot's time."""
        to = self._dest(number)
        heads = self._heads(to) if to.hosts and self.out < self.set.slots else []
        return (
            self._worth(heads[0], self.now) / (self.h_route[to.hosts[0]].smooth or SECOND)
            if heads
            else 0
        )

    def _worth(self, callback, at):
        row, late = callback.row, at - callback.goal
        if late <= 0 or at >= callback.due:
            return callback.payoff if late <= 0 else 0.0
        if self.set.halving:
            return callback.payoff * max(
                row.late_share, 0.5 ** (late / row.goal) if row.goal else 0.0
            )
        return callback.payoff * (
            1.0 - (1.0 - row.late_share) * late / max(1, row.abandon - row.goal)
        )

    # times the odds for a host with an idle connection: a handshake is time, work and a price
    KEPT = 3.0

    def _pick(self, dest, callback):
        """One host at random, odds in step with its room; a dearer zone only when no cheaper one has room."""
        now, fees, rooms, total, least = self.now, self.set.zone_fees, [], 0.0, None
        for h in dest.hosts:
            lim = self.h_route[h]
            # Danger: small calls spend an allowance counted in calls. The upper half is for full ones.
            small = dest.waiting < self.h_size[h] > 1
            if (
                callback.zone not in (None, self.h_zone[h])
                or lim.paused > now
                or lim.out >= int(lim.limit / 2 + 0.5 if small else lim.limit)
                or now + 2 * (lim.smooth or SECOND) > self.ends
                or not self._paced(lim, h)
                or not self._may_try(h)
            ):
                continue
            apart = lim is not dest.limiter
            fee = fees[self.h_zone[h]] if apart and self.h_zone[h] < len(fees) else 0.0
            if least is None or fee < least:
                rooms, total, least = [], 0.0, fee
            if fee == least:
                share = lim.limit if apart else lim.limit / len(dest.hosts)
                total += (
                    max(share - self.h_out[h], 0.25)
                    * (1.0 - self.h_bad[h])
                    * (self.KEPT if now - self.h_free[h] < self.set.connection_idle else 1.0)
                )
                rooms.append((total, h))
        drawn = self.random() * total if rooms else 0.0
        return next((h for upto, h in rooms if drawn < upto), None)

    PACE_DEPTH = 0.3  # seconds of the pace that may go at once: a limiter has at least that depth

    # a fifth of an even part with nothing left, five with all: even with half, a span's mean
    SPREAD = 5.0
    # calls a second, at least, likewise: where an even part is a call in a minute
    SELDOM, OFTEN = 1 / 3, 2.0
    # of the pace for a lone one where a call takes several: it waits thrice as long, no more
    LONE = 1 / 3
    # smoothing: what is told is up to a second old, and falls and rises with each span
    LEFT_GAIN = 0.25

    def _told(self, lim, event):
        """Danger: refused calls use a told limit up, and many relays that each learn from refusals alone run
        into it all day. So each calls at its even part, more while much is left, less while little is."""
        lim.told = event.told_rate or lim.told
        if event.told_left is not None:
            left = 0.0 if event.result is Result.FULL else event.told_left
            lim.left = left if lim.left is None else lim.left + (left - lim.left) * self.LEFT_GAIN

    def _paced(self, lim, h):
        """Whether the crawl delay allows a call now; a told rate bounds what was learnt from refusals."""
        if lim.left is None:
            rate = min(lim.pace, lim.told) if lim.pace and lim.told else lim.pace or lim.told
        else:
            part = lim.told / self.set.relays
            # Danger: refused calls use the limit up, and what all wait for, tried again each few seconds, leaves
            # nothing for anyone. Each further bad round in a row halves how often, to the part's own least.
            seldom = self.SELDOM / 2 ** min(max(0, lim.rounds - 1), 6)
            low, high = max(part / self.SPREAD, seldom), max(part * self.SPREAD, self.OFTEN)
            rate = min(lim.told, low * max(1.0, high / low) ** lim.left)
            if part > self.SELDOM:  # else nothing gathers in time
                # Danger: small calls spend a limit counted in calls. One waits for more to go with it, unless much
                # is left: half of it is a span's mean where all is used. Keys' lines go one by one, never full.
                full = self.dests[self.h_dest[h]].waiting / self.h_size[h]
                rate *= min(1.0, max(self.LONE, full, 2.0 * lim.left - 1.0))
        if not rate:
            lim.credit, lim.credit_at = 1.0, self.now
            return True
        lim.credit += rate * (self.now - lim.credit_at) / SECOND
        lim.credit, lim.credit_at = min(max(1.0, rate * self.PACE_DEPTH), lim.credit), self.now
        if lim.credit < 1.0:
            self._at(self.now + int((1.0 - lim.credit) / rate * SECOND) + 1, None, self.h_dest[h])
        return lim.credit >= 1.0

    def _may_try(self, h):
        """Whether a host that was away may get a call now: one trial at a time, then under the budget."""
        if self.h_next[h] > self.now:
            self._at(self.h_next[h], None, self.h_dest[h])
            return False
        if self.h_state[h] is RAMP and self.now - self.h_since[h] >= (self.set.ramp_time or 0):
            self.h_state[h] = OPEN
        return self.h_state[h] is not CLOSED or self.h_out[h] == 0

    FORGET = 180 * SECOND  # "some minutes" after which an idle destination's state is dropped

    def _send(self, dest, h, callback):
        """One call: the callback and, where the kind takes several, the next ones of the same destination."""
        lim, now = self.h_route[h], self.now
        if now - lim.used > self.FORGET and lim.out == 0 and lim.paused <= now:
            lim.__init__(now, lim.told)
        # else closed
        idle = now - self.h_free[h] if now - self.h_free[h] < self.set.connection_idle else 0
        if 0 < self.worn_span <= idle and self.worn > self.WORN + self.new:
            # some three dozen calls later one is tried again
            idle, self.worn = 0, self.worn * 0.98
            self.actions.append(it.CloseIdle(self.h_id[h]))
        # callbacks, sent, judged, cap
        call = [h, 0, now, False, self._time_out(lim, callback), idle]
        while callback is not None and call[1] < self.h_size[h]:
            heappop(dest.lanes[callback.lane, callback.ran, callback.zone][callback.late])
            self._move(callback, OUT)
            callback.call, callback.launches, call[1] = call, callback.launches + 1, call[1] + 1
            self.actions.append(
                it.Launch(callback.id, self.h_id[h], min(call[4], callback.due - self.EDGE - now))
            )
            more = (
                self._heads(dest)
                if call[1] < self.h_size[h] and self.h_state[h] is not CLOSED
                else []
            )
            callback = next((c for c in more if c.zone in (None, self.h_zone[h])), None)
        lim.used, lim.credit, self.h_free[h] = now, lim.credit - 1.0, 0
        self._count_out(h, 1)
        if self.h_state[h] is not OPEN:
            self.h_next[h] = now + self._gap(h)

    DEVIATIONS = 6  # of latency beyond its mean that an answer may take; TCP: 4
    LEAST_TIME_OUT = SECOND  # below this a new connection's handshakes would read as silence

    def _time_out(self, lim, callback):
        """Learnt as TCP learns it, doubled while nothing comes. What may not be repeated is over with it, so it
        waits for its goal time at least. Danger: to the end, those out at hosts that hang hold all slots."""
        span = lim.smooth + self.DEVIATIONS * lim.dev if lim.smooth else callback.row.goal
        span = max(span, self.LEAST_TIME_OUT) << min(lim.rounds, 2)  # more outlasts the trouble
        exclusive = callback.row.effect is Effect.AT_MOST_ONCE
        return min(max(span, callback.row.goal), callback.due - self.now) if exclusive else span
