"""The decisions of a molehill relay: which callback is launched where and when, repeated, held, denied or scrapped.

Called as `relay = Relay(settings, seed)`, then `actions = relay.step(now, events)` once a batch, with all that has
come in by `now`; the types of both lists stand in molehill/interface.py. No clock, no input or output of its own.
docs/design.md tells what is kept of the design page, what was changed, and when each exception acts.
"""
from heapq import heappop, heappush
from random import Random

from molehill import interface as it
from molehill.interface import Effect, Result

SECOND = 1_000_000_000

# States of a callback. TURN: an earlier one of its key is not over; QUEUED: may be launched; OUT: a launch has no
# outcome yet; OVER: it has its final answer.
TURN, QUEUED, OUT, OVER = "turn", "queued", "out", "over"
WAITING = (TURN, QUEUED)
# States of a host. OPEN: fed by the window alone; CLOSED: one trial at a time; RAMP: back, fed under the budget.
OPEN, CLOSED, RAMP = "open", "closed", "ramp"

RAN = frozenset((Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED))        # may have run
DOUBT = frozenset((Result.TIMEOUT, Result.RESET, Result.CANCELLED))                    # may run still


class Callback:
    __slots__ = ("id", "row", "lane", "key", "due", "goal", "dest", "state", "payoff", "launches", "bound",
                 "zone", "ticket", "call", "sent")

    def __init__(self, new, row, lane, payoff):
        self.id, self.row, self.lane, self.key = new.callback, row, lane, new.key
        self.due, self.goal = new.abandon_at, new.abandon_at - row.abandon + row.goal
        self.dest, self.state, self.payoff = new.destination, None, payoff
        self.launches, self.bound, self.zone = 0, False, None   # bound: a launch may have run
        self.ticket, self.call, self.sent = 0, None, 0          # ticket: until when a repeat is known


class Limiter:
    """The design's limiter, one a route: a fractional limit, calls out, a recent best and a pause."""
    __slots__ = ("limit", "out", "smooth", "dev", "now_best", "last_best", "window_at", "paused", "started", "sick",
                 "back_off", "used", "told", "pace", "credit", "credit_at", "count", "count_at", "served")

    def __init__(self, now):
        self.limit, self.out, self.started, self.sick = START_LIMIT, 0, True, False
        self.smooth, self.dev, self.now_best, self.last_best, self.window_at = None, 0, None, None, now
        self.paused, self.back_off, self.used = 0, 0, now
        self.told, self.pace, self.credit, self.credit_at = 0.0, 0.0, 0.0, now   # calls a second; 0: not known
        self.count, self.count_at, self.served = 0, now, 0.0


START_LIMIT = 2.0                 # the design's start, and its minimum of 1 below
MIN_LIMIT = 1.0
CUT = 0.9                         # the design's answer to a slow answer
TOLERANCE = 2.0                   # the design's default; its tighter values misread long tails even when smoothed
BASELINE = 5 * SECOND             # the design's baseline window
PAUSE = 300_000_000               # open in the design (1 s there): a quarter of its default costs less than idling
FORGET = 180 * SECOND             # "some minutes" after which an idle destination's state is dropped


class Relay:
    def __init__(self, settings, seed):
        self.set = settings
        self.random = Random(seed).random
        self.now = 0
        self.actions = []
        self.held = {}            # callbacks that are not over, and those over with a launch out
        self.hosts = {}           # host id -> dense index into the arrays below
        self.h_id, self.h_zone, self.h_kind, self.h_dest, self.h_up, self.h_units = [], [], [], [], [], []
        self.h_route, self.h_out, self.h_state, self.h_bad, self.h_full, self.h_told = [], [], [], [], [], []
        self.h_next, self.h_back, self.h_done, self.h_count, self.h_since, self.h_probe = [], [], [], [], [], []
        self.dests = {}           # destination -> its hosts, calls out, sickness, lanes of waiting callbacks
        self.keys = {}            # key -> callbacks in the order taken
        self.rests = {}           # key -> until when it rests
        self.timers, self.wake_at, self.serial = [], None, 0
        self.out = 0
        self.dirty = {}
        self.starved = {}         # destinations that only lack a slot
        self.ask_tries = 0
        self.quota = [[0.0, 0] for _ in settings.tenants]
        self.last = ""
        self.typical = None       # smoothed latency over all routes, for routes not yet known

    # Entry

    def step(self, now, events):
        self.now, self.actions = now, []
        for event in events:
            kind = type(event)
            if kind is it.Outcome:
                self._outcome(event)
            elif kind is it.NewCallback:
                self._taken(event)
            elif kind is it.ProbeResult:
                self._probed(event)
            elif kind is it.ListNews:
                self._news(event)
            elif kind is it.Withdrawn and event.callback in self.held:
                self._move(self.held[event.callback], OVER)
        self._ring()
        self._launch_all()
        if self.timers and (self.wake_at is None or self.timers[0][0] < self.wake_at or self.wake_at <= now):
            self.wake_at = max(self.timers[0][0], now + 1)
            self.actions.append(it.Wake(self.wake_at - now, "wake"))
        return self.actions

    def _at(self, when, what, ref):
        self.serial += 1
        heappush(self.timers, (when, self.serial, what, ref))

    def _ring(self):
        timers = self.timers
        while timers and timers[0][0] <= self.now:
            _, _, what, ref = heappop(timers)
            if what == "due":
                callback = self.held.get(ref)
                if callback is not None and callback.state in (TURN, QUEUED):
                    self._give_up(callback)
            elif what == "dest":
                self.dirty[ref] = True
            elif what == "key":
                self._next_turn(ref)
            elif what == "ask":
                self.actions.append(it.FollowList())

    # The callback's state machine

    def _move(self, callback, state):
        """Every change of a callback's state."""
        before, callback.state = callback.state, state
        dest = self._dest(callback.dest)
        dest["waiting"] += (state in WAITING) - (before in WAITING)
        if state is QUEUED:
            lanes = dest["lanes"]
            self.serial += 1
            # A launch that failed gives way by a second, so that one callback does not spend all its launches on
            # trials of a destination that is down.
            heappush(lanes[callback.lane], (callback.goal + callback.launches * SECOND, self.serial, callback))
            self.dirty[callback.dest] = True
        if state is OVER and before is not OVER:
            if callback.call is None:
                del self.held[callback.id]
            if callback.key is not None:
                self._next_turn(callback.key)

    def _taken(self, new):
        row = self.set.categories[new.category]
        payoff, over = row.payoff, 0
        if self.set.tenants and new.tenant < len(self.set.tenants) and self._over_share(new.tenant):
            payoff, over = payoff * self.set.over_share_payoff, 1
        key = new.key if row.ordered else None
        callback = Callback(new, row, 2 * new.category + over, payoff)
        callback.key = key
        self.held[callback.id] = callback
        self._move(callback, TURN)
        if callback.due <= self.now:
            return self._give_up(callback)
        self._make_room()
        self._at(callback.due, "due", callback.id)
        if key is None:
            return self._move(callback, QUEUED)
        line = self.keys.setdefault(key, [])
        line.append(callback)
        self._next_turn(key)

    def _make_room(self):
        """Callbacks of a destination that does not take them must not fill the relay, or newcomers for healthy ones
        are turned away at its door: while it is nearly full, the longest queue gives up its oldest at once."""
        limit = self.set.max_held
        if limit is None or len(self.held) < limit - limit // 16:
            return
        longest = None
        for dest in self.dests.values():
            if longest is None or dest["waiting"] > longest["waiting"]:
                longest = dest
        least = None
        for callback in self._heads(longest):
            if least is None or self._worth(callback, self.now) < self._worth(least, self.now):
                least = callback
        if least is not None:
            self._give_up(least, SECOND)

    def _over_share(self, tenant):
        """A bucket a tenant at this relay's even part of the tenant's quota; beyond it the payoff is small."""
        quota, bucket = self.set.tenants[tenant].quota, self.quota[tenant]
        if not quota:
            return False
        rate = quota / self.set.relays
        # Depth of two seconds: a clump inside the share should not read as beyond it.
        bucket[0] = min(2.0 * rate, bucket[0] + rate * (self.now - bucket[1]) / SECOND) if bucket[1] else 2.0 * rate
        bucket[1] = self.now
        if bucket[0] < 1.0:
            return True
        bucket[0] -= 1.0
        return False

    def _next_turn(self, key):
        """Order: the oldest of a key goes once all before it are over, have no launch out, and the key has rested."""
        line = self.keys.get(key)
        while line and line[0].state is OVER and line[0].call is None:
            line.pop(0)
        if not line:
            self.keys.pop(key, None)
            if self.rests.get(key, 0) <= self.now:
                self.rests.pop(key, None)
            return
        first = line[0]
        if first.state is TURN:
            rest = self.rests.get(key, 0)
            if rest > self.now:
                self._at(rest, "key", key)
            else:
                self._move(first, QUEUED)

    def _may_launch(self, callback):
        """Rule 2: whether the category allows another launch at all, now."""
        if callback.launches >= self.set.max_launches or callback.due <= self.now:
            return False
        if not callback.bound or callback.row.effect is Effect.RERUNNABLE:
            return True
        return callback.row.effect is Effect.TICKETED and self.now < callback.ticket

    def _give_up(self, callback, come_back=0):
        """The final answer for what is not delivered: denied where that is harmless, else scrapped."""
        row = callback.row
        harmless = (not callback.bound or row.effect is Effect.RERUNNABLE
                    or row.effect is Effect.TICKETED and row.all_hosts)
        if harmless and self.now < callback.due:
            span = min(come_back, self.set.max_return) if self.set.tells_return else 0
            self.actions.append(it.Deny(callback.id, span))
        else:
            self.actions.append(it.Scrap(callback.id))
        self._move(callback, OVER)

    # What comes back

    def _outcome(self, event):
        callback = self.held.get(event.callback)
        if callback is None or callback.call is None:
            return
        call, result = callback.call, event.result
        callback.call = None
        host, h = event.host, call[0]
        call[1] -= 1
        dest = self.dests[self.h_dest[h]]
        if call[1] == 0:
            self.out -= 1
            dest["out"] -= 1
            self.h_out[h] -= 1
            self.h_route[h].out -= 1
            self.dirty[self.h_dest[h]] = True
        if not call[3] or result is Result.FULL and event.wait:
            call[3] = True
            self._judge(h, dest, call[2], call[4], result, event.took, event.wait)
        self._report(h, event.report)
        if result in RAN:
            if not callback.bound:
                callback.bound, callback.zone = True, self.h_zone[h]
                callback.ticket = callback.sent + callback.row.window
            if result in DOUBT and callback.key is not None:
                self.rests[callback.key] = self.now + self.set.settle
        if callback.state is OVER or event.closed:
            self._move(callback, OVER)
            self.held.pop(event.callback, None)
            if callback.key is not None:
                self._next_turn(callback.key)
        elif not self._may_launch(callback):
            self._give_up(callback)
        elif callback.key is not None and self.rests.get(callback.key, 0) > self.now:
            self._move(callback, TURN)
            self._next_turn(callback.key)
        else:
            self._move(callback, QUEUED)

    def _judge(self, h, dest, sent, call_span, result, took, wait):
        """The limiter's and the host's answer to one call. A call of several callbacks is judged once."""
        lim, now = self.h_route[h], self.now
        lim.used, self.last = now, result.value
        if result is Result.NOT_SENT or result is Result.CANCELLED:
            return
        if result is Result.TIMEOUT and took < call_span:
            return                            # cut short by its abandon time: says nothing of the host
        if result is Result.FULL:
            lim.limit, lim.started, lim.sick = max(MIN_LIMIT, lim.limit / 2), False, True
            dest["sick"] = True
            lim.paused = max(lim.paused, now + (wait or PAUSE))
            self._at(lim.paused, "dest", self.h_dest[h])
            # Refused while answers came at their usual pace: an allowance, not a queue, and latency will not show it.
            # The rate served lately becomes a crawl delay beside the window, and creeps up with each good answer.
            seen = max(lim.served, lim.count * SECOND / max(SECOND, now - lim.count_at))
            lim.pace = max(LEAST_PACE, PACE_CUT * (min(seen, lim.pace) if lim.pace else seen))
            lim.credit = min(lim.credit, 0.0)
            if self.h_full[h] == 0:
                self.h_told[h] = now
            self.h_full[h] += 1
            # Shut, not merely full: nothing but refusals for a while, or told to stay away for longer than any
            # allowance takes to refill. One that other relays keep full lets some call through in that time.
            if self.h_full[h] >= FULL_ROUNDS and now - self.h_told[h] > LONG_WAIT or wait > LONG_WAIT \
                    or self.h_state[h] is CLOSED:
                self._close(h)
            return
        good = result is Result.FULFILLED
        if good:
            self.h_full[h] = 0
            lim.back_off = 0
            lim.count += 1
            if now - lim.count_at >= RATE_SPAN:
                lim.served, lim.count, lim.count_at = lim.count * SECOND / (now - lim.count_at), 0, now
            if lim.pace:
                lim.pace += PACE_STEP
            smooth = lim.smooth
            # Smoothed as TCP smooths round trips, since single answers here have tails longer than any tolerance.
            if smooth is None:
                lim.smooth, lim.dev = took, took // 2
            else:
                lim.dev += (abs(took - smooth) - lim.dev) // 4
                lim.smooth += (took - smooth) // 8
            self.typical = lim.smooth if self.typical is None else self.typical + (lim.smooth - self.typical) // 16
            if now - lim.window_at > BASELINE:
                lim.last_best = lim.now_best if now - lim.window_at <= 2 * BASELINE else None
                lim.now_best, lim.window_at = None, now
            lim.now_best = lim.smooth if lim.now_best is None else min(lim.now_best, lim.smooth)
            best = lim.now_best if lim.last_best is None else min(lim.now_best, lim.last_best)
        if not good or lim.smooth > TOLERANCE * best:
            lim.limit, lim.started, lim.sick = max(MIN_LIMIT, lim.limit * CUT), False, True
            dest["sick"] = True
        else:
            lim.limit = min(lim.limit + (1.0 if lim.started else 1.0 / lim.limit), float(self.set.slots))
            lim.sick = dest["sick"] = False
        if result is Result.TIMEOUT:
            lim.back_off = min(lim.back_off + 1, 2)
        self._health(h, good, sent)

    # Health of a host

    def _health(self, h, good, sent):
        now = self.now
        if good:
            self._served(h)
        # Share of failures, smoothed: three in a row close a host, single errors among answers do not.
        self.h_bad[h] += ((0.0 if good else 1.0) - self.h_bad[h]) * 0.25
        if good and self.h_state[h] is CLOSED and sent >= self.h_since[h]:
            self.h_state[h], self.h_back[h], self.h_bad[h], self.h_full[h] = RAMP, now, 0.0, 0
            self._note(f"host {self.h_id[h]} answers again, fed slowly")
        elif not good and (self.h_bad[h] > 0.5 or self.h_state[h] is CLOSED):
            self._close(h)
        elif self.h_state[h] is RAMP and self.h_bad[h] > 0.4:
            self.h_back[h] = now              # many of its calls still fail: as cold as at its return

    def _close(self, h):
        if self.h_state[h] is OPEN:
            self._note(f"host {self.h_id[h]} closed after {self.last}")
        if self.h_state[h] is not CLOSED:
            self.h_since[h] = self.now
        self.h_state[h] = CLOSED
        self.h_next[h] = max(self.h_next[h], self.now + self._gap(h))
        self._at(self.h_next[h], "dest", self.h_dest[h])

    def _served(self, h):
        """Calls served a second, the largest of the last spans, as what the host can do for this relay."""
        if self.now - self.h_count[h][0] > 2 * SECOND:
            rate = self.h_count[h][1] * SECOND / (self.now - self.h_count[h][0])
            self.h_done[h] = max(rate, self.h_done[h] * 0.95)
            self.h_count[h] = [self.now, 0]
        self.h_count[h][1] += 1

    def _gap(self, h):
        """Between two calls to a host that was away: the budget of the returning rule, as if all relays fed it."""
        s = self.set
        if not s.fall_multiple or not s.cold_from:
            return SECOND
        warm = 0.0
        if self.h_state[h] is RAMP and s.ramp_time:
            warm = min(1.0, (self.now - self.h_back[h]) / s.ramp_time)
        can = self.h_done[h]
        if self.h_units[h] > 0:
            share = 1 if self.h_route[h] is not self.dests[self.h_dest[h]]["lim"] else \
                max(1, len(self.dests[self.h_dest[h]]["hosts"]))
            can = max(can, self.h_units[h] / s.relays / share)
        rate = SAFETY * s.fall_multiple * (s.cold_from + (1.0 - s.cold_from) * warm) * max(can, LEAST_RATE)
        return min(int(SECOND / rate), 2 * SECOND)

    def _probed(self, event):
        h = self.hosts.get(event.host)
        if h is None:
            return
        self.h_out[h] -= 1
        self.dirty[self.h_dest[h]] = True
        if event.result is Result.FULFILLED:
            self.h_probe[h], self.h_next[h] = True, self.now
        else:
            self.h_probe[h] = False
            self._close(h)

    def _report(self, h, report):
        at = self.set.report_limit
        if report is not None and at is not None and at < len(report) and report[at] > 0:
            for other in self.dests[self.h_dest[h]]["hosts"]:
                if self.h_route[other] is self.h_route[h]:
                    self.h_units[other] = self.h_route[h].told = report[at]

    # The list

    def _dest(self, number):
        dest = self.dests.get(number)
        if dest is None:
            dest = self.dests[number] = {"hosts": [], "out": 0, "sick": False, "lim": Limiter(self.now), "waiting": 0,
                                         "lanes": [[] for _ in range(2 * len(self.set.categories))]}
        return dest

    def _news(self, news):
        if news.scope is it.Scope.FAILED:
            # Asked again after a growing, jittered pause: the list may be overloaded by everybody asking.
            self.ask_tries = min(self.ask_tries + 1, 5)
            self._at(self.now + int(SECOND * 0.25 * 2 ** self.ask_tries * (0.5 + self.random())), "ask", 0)
            return
        if news.scope is it.Scope.RESTORED:
            if self.set.list_on_request:
                self.actions.append(it.FollowList())
        else:
            self.ask_tries = 0
        if news.scope is not it.Scope.UPDATE:
            named = {entry.host: True for entry in news.entries}
            for host in self.hosts:
                if host not in named:
                    self._listed(self.hosts[host], False)
        for entry in news.entries:
            h = self.hosts.get(entry.host)
            if h is None:
                h = self._add(entry)
            if self.set.units_are_rates:
                self.h_units[h] = self.h_route[h].told = entry.units
            self._listed(h, entry.condition is it.Condition.UP)

    def _add(self, entry):
        h = self.hosts[entry.host] = len(self.h_id)
        kind = self.set.kinds[entry.kind] if entry.kind < len(self.set.kinds) else it.Kind(False, 1)
        dest = self._dest(entry.destination)
        for array, value in ((self.h_id, entry.host), (self.h_zone, entry.zone), (self.h_kind, kind),
                             (self.h_dest, entry.destination), (self.h_up, False), (self.h_units, 0.0),
                             (self.h_route, Limiter(self.now) if kind.apart else dest["lim"]), (self.h_out, 0),
                             (self.h_state, OPEN), (self.h_bad, 0.0), (self.h_full, 0), (self.h_told, 0),
                             (self.h_next, 0), (self.h_back, 0), (self.h_done, 0.0), (self.h_count, [self.now, 0]),
                             (self.h_since, 0), (self.h_probe, False)):
            array.append(value)
        return h

    def _listed(self, h, up):
        if self.h_up[h] != up:
            self.h_up[h] = up
            hosts = self.dests[self.h_dest[h]]["hosts"]
            if up:
                hosts.append(h)
            else:
                hosts.remove(h)
            self.dirty[self.h_dest[h]] = True

    # Launching

    def _launch_all(self):
        dirty, self.dirty = self.dirty, {}
        for number in dirty:
            self.starved.pop(number, None)
        for number in sorted(self.starved, key=self.starved.get) if self.out < self.set.slots else []:
            del self.starved[number]
            self._launch_dest(number)
        for number in dirty:
            self._launch_dest(number)
        self.dirty = {}

    def _launch_dest(self, number):
        dest = self._dest(number)
        while True:
            callback = self._head(dest)
            if callback is None or not dest["hosts"]:
                return
            if self.out >= self.set.slots:
                self.starved[number] = self.now
                return
            # The slot share: three quarters of the slots while healthy, half while sick, one at least.
            share = max(1, self.set.slots * (2 if dest["sick"] else 3) // 4)
            if dest["out"] >= share:
                return
            h = self._pick(dest, callback)
            if h is None:
                return
            self._send(dest, h, callback)

    def _heads(self, dest):
        """The oldest of each lane; what may not be launched any more is given up on the way."""
        heads = []
        for lane in dest["lanes"]:
            while lane:
                callback = lane[0][2]
                if callback.state is QUEUED and self._may_launch(callback):
                    break
                heappop(lane)
                if callback.state is QUEUED:
                    self._give_up(callback)
            if lane:
                heads.append(lane[0][2])
        return heads

    def _head(self, dest):
        """The callback whose delay by the look-ahead would lose the most payoff, among the lanes' heads."""
        best, best_loss = None, -1.0
        for callback in self._heads(dest):
            loss = self._worth(callback, self.now) - self._worth(callback, self.now + LOOK_AHEAD)
            loss += 1e-3 * callback.payoff
            if loss > best_loss:
                best, best_loss = callback, loss
        return best

    def _worth(self, callback, at):
        row = callback.row
        late = at - callback.goal
        if late <= 0:
            return callback.payoff
        if at >= callback.due:
            return 0.0
        if self.set.halving:
            return callback.payoff * max(row.late_share, 0.5 ** (late / row.goal) if row.goal else 0.0)
        span = row.abandon - row.goal
        return callback.payoff * (1.0 - (1.0 - row.late_share) * late / span if span > 0 else row.late_share)

    def _pick(self, dest, callback):
        """One host at random, odds in step with its room; a dearer zone only when no cheaper one has room."""
        now, fees = self.now, self.set.zone_fees
        rooms, total, fee = [], 0.0, None
        for h in dest["hosts"]:
            lim = self.h_route[h]
            if callback.bound and callback.row.same_zone and callback.row.effect is Effect.TICKETED \
                    and self.h_zone[h] != callback.zone:
                continue
            if lim.paused > now or lim.out >= int(lim.limit) or not self._paced(lim, h):
                continue
            if self.h_state[h] is not OPEN:
                if self.h_next[h] > now:
                    self._at(self.h_next[h], "dest", self.h_dest[h])
                    continue
                if self.h_state[h] is CLOSED:
                    if self.h_out[h] > 0:
                        continue
                    if self.set.may_probe and not self.h_probe[h]:
                        # Silence costs a probe, not a slot and a callback's launch.
                        self.h_out[h] += 1
                        self.h_next[h] = now + self._gap(h)
                        self.actions.append(it.Probe(self.h_id[h]))
                        continue
                elif now - self.h_back[h] >= (self.set.ramp_time or 0):
                    self.h_state[h] = OPEN
            cost = 0.0
            if lim is not dest["lim"] and self.h_zone[h] < len(fees):
                cost = fees[self.h_zone[h]]
            if fee is None or cost < fee:
                rooms, total, fee = [], 0.0, cost
            elif cost > fee:
                continue
            share = lim.limit if lim is not dest["lim"] else lim.limit / len(dest["hosts"])
            room = max(share - self.h_out[h], 0.25) * (1.0 - self.h_bad[h])
            total += room
            rooms.append((h, total))
        if not rooms:
            return None
        drawn = self.random() * total
        for h, upto in rooms:
            if drawn < upto:
                return h
        return rooms[-1][0]

    def _paced(self, lim, h):
        """Whether the crawl delay allows a call now; a told rate bounds what was learnt from refusals."""
        rate = min(lim.pace, lim.told) if lim.pace and lim.told else lim.pace or lim.told
        if not rate:
            return True
        now = self.now
        lim.credit = min(max(1.0, rate * PACE_DEPTH), lim.credit + rate * (now - lim.credit_at) / SECOND)
        lim.credit_at = now
        if lim.credit >= 1.0:
            return True
        self._at(now + int((1.0 - lim.credit) / rate * SECOND) + 1, "dest", self.h_dest[h])
        return False

    def _send(self, dest, h, first):
        """One call: the callback and, where the kind takes several, the next ones of the same destination."""
        lim = self.h_route[h]
        if self.now - lim.used > FORGET and lim.out == 0:
            lim.__init__(self.now)
        lim.used = self.now
        lim.credit -= 1.0
        call = [h, 0, self.now, False, self._time_out(lim, first)]
        callback = first
        while callback is not None and call[1] < self.h_kind[h].per_call:
            if callback is not first and callback.bound and callback.row.same_zone \
                    and callback.zone != self.h_zone[h]:
                break
            heappop(dest["lanes"][callback.lane])
            self._move(callback, OUT)
            callback.call, callback.sent = call, self.now
            callback.launches += 1
            call[1] += 1
            self.actions.append(it.Launch(callback.id, self.h_id[h],
                                          max(1, min(call[4], callback.due - self.now))))
            callback = self._head(dest) if self.h_state[h] is not CLOSED else None
        self.out += 1
        dest["out"] += 1
        self.h_out[h] += 1
        lim.out += 1
        if self.h_state[h] is not OPEN:
            self.h_next[h] = self.now + self._gap(h)
            self.h_probe[h] = False

    def _time_out(self, lim, callback):
        """Learnt as TCP learns it, doubled while nothing comes; what may not be repeated waits to the end."""
        if callback.row.effect is Effect.EXCLUSIVE:
            return callback.due - self.now
        if lim.smooth is None:
            span = 6 * self.typical if self.typical else callback.row.goal
        else:
            span = lim.smooth + 6 * lim.dev
        return max(span, LEAST_TIME_OUT) << lim.back_off

    def _note(self, text):
        self.actions.append(it.Note(text))


PACE_CUT = 0.9                    # the design's cut, applied to the rate seen when a refusal comes
PACE_STEP = 0.1                   # calls a second a good answer: about a tenth of a small allowance in ten answers
PACE_DEPTH = 0.3                  # seconds of the pace that may go at once: the least depth a limiter plausibly has
LEAST_PACE = 0.5                  # calls a second: one call in two seconds still learns that there is room
RATE_SPAN = 2 * SECOND            # over which the served rate is taken: longer than any span an allowance is counted in
FULL_ROUNDS = 4                   # refusals in a row, over LONG_WAIT, that read as shut
LONG_WAIT = 3 * SECOND            # longer than any span in which an allowance plausibly refills
SAFETY = 1.2                      # peaks seen are below what a host can do, so more than one of the budget is safe
LEAST_RATE = 0.5                  # calls a second a host is thought to manage when nothing is known of it
LOOK_AHEAD = SECOND               # about one round of a short queue
LEAST_TIME_OUT = SECOND           # below this a new connection's handshakes would read as silence
