"""A world around one relay: it plays what it is told and checks the six rules after every batch."""

import socket

from molehill import config, interface
from molehill.core import events as ev
from molehill.core.permission import Refusal
from molehill.core.reducer import Core
from molehill.decisions.dispatcher import Dispatcher
from molehill.http.stream import HttpStream
from molehill.runtime.kernel import Disk, Kernel
from molehill.runtime.scheduler import Scheduler
from molehill.runtime.stream import Budget
from molehill.store import Store

MS = 1_000_000
SECOND = 1000 * MS
R = interface.Result
MAY_HAVE_RUN = (R.ERROR, R.TIMEOUT, R.RESET, R.CANCELLED)


def category(
    effect="rerunnable",
    goal=1000,
    abandon=5000,
    payoff=1.0,
    window=3000,
    same_zone=False,
    ordered=False,
):
    return interface.CallbackClass(
        interface.DeliverySemantics(effect),
        goal * MS,
        abandon * MS,
        payoff,
        0.5,
        window * MS,
        same_zone,
        not same_zone,
        ordered,
    )


def settings(**given):
    base = dict(
        callback_classes=[category()],
        kinds=[interface.HostKind(False, 1)],
        max_calls=8,
        max_attempts=6,
        relay_count=2,
        max_pending=200,
        sends_retry_after=True,
        max_retry_after=2 * SECOND,
        overload_span=1500 * MS,
        overload_multiple=2.0,
        cold_capacity_share=0.2,
        slow_start_time=10 * SECOND,
        key_cooldown=100 * MS,
    )
    return interface.Settings(**{**base, **given})


def first_endpoint(module):
    """What the decision module keeps of the host that it was told of first."""
    return next(iter(module.state.endpoints.values()))


class World:
    """Hosts are (id, zone, kind, destination)."""

    def __init__(self, given, hosts=((1, 0, 0, 1), (2, 1, 0, 1)), seed=7):
        self.set, self.table = given, {h[0]: h for h in hosts}
        self.now, self.seed, self.serial = SECOND, seed, 0
        self.start([interface.HostEntry(*h, interface.Condition.UP, 1.0) for h in hosts])

    def start(self, entries):
        """A relay killed and started anew knows nothing but its list."""
        self.relay = Dispatcher(self.set, self.seed)
        self.open, self.out, self.final, self.sent, self.waits, self.rests = {}, {}, {}, [], {}, {}
        self.up, self.fails, self.shut, self.notes, self.closed = {}, {}, {}, [], []
        self.asked = 0
        self.step([self.news(interface.ListScope.RESTORED, entries)])

    def news(self, scope, entries):
        if scope is not interface.ListScope.UPDATE:
            self.up = {}
        self.up.update({e.host: e.condition is interface.Condition.UP for e in entries})
        return interface.HostListUpdate(scope, list(entries))

    def route(self, host):
        _, _, kind, destination = self.table[host]
        return host if self.set.kinds[kind].separate_routes else -destination

    def take(self, cat=0, destination=1, key=None, tenant=0, abandon=None):
        self.serial += 1
        row = self.set.callback_classes[cat]
        due = self.now + (row.time_limit if abandon is None else abandon)
        self.open[self.serial] = dict(
            row=row, key=key if row.ordered else None, due=due, launches=[]
        )
        self.step([interface.NewCallback(self.serial, cat, tenant, key, due, destination)])
        return self.serial

    def outcome(self, number, result, wait=0, told=(0.0, None)):
        """The outcome of the launch that a callback has out."""
        host, sent, _ = self.out.pop(number)
        entry = self.open.get(number)
        if result in MAY_HAVE_RUN and entry is not None:
            entry.setdefault("bound", (sent, self.table[host][1]))
        if result in (R.TIMEOUT, R.RESET, R.CANCELLED) and entry is not None and entry["key"]:
            self.rests[entry["key"]] = self.now + self.set.key_cooldown
        if result is R.DELIVERED:
            self.fails[host] = 0
            if number in self.open:
                self.final[number] = self.open.pop(number)
        elif result not in (R.REFUSED, R.CANCELLED) and (
            result is not R.TIMEOUT or entry and entry["due"] > self.now
        ):
            self.fails[host] = self.fails.get(host, 0) + 1
            if self.fails[host] == 4:
                self.shut[host] = self.now
        if result is R.REFUSED and wait:
            route = self.route(host)
            self.waits[route] = max(self.waits.get(route, 0), self.now + wait)
        attempts = len(entry["launches"]) - 1 if entry else 0
        return interface.Outcome(
            number,
            attempts,
            host,
            result,
            self.now - sent,
            wait if result is R.REFUSED else 0,
            number in self.final,
            told[0],
            advertised_share_left=told[1],
        )

    def answer(self, number, result=R.DELIVERED, wait=0, told=(0.0, None)):
        self.step([self.outcome(number, result, wait, told)])

    def advance(self, span):
        """Time passes; launches past their time-out end in silence, and the relay's own timers ring."""
        until = self.now + span
        while self.now < until:
            nexts = [end for _, _, end in self.out.values()] + [self.wake or until]
            self.now = min(until, max(self.now + 1, min(nexts)))
            late = [n for n, (_, _, end) in self.out.items() if end <= self.now]
            events = [self.outcome(n, R.TIMEOUT) for n in late]
            self.step(events + [interface.TimerExpired("wake")])

    def step(self, events=()):
        self.wake = (
            None
            if any(type(e) is interface.TimerExpired for e in events)
            else getattr(self, "wake", None)
        )
        for action in self.relay.step(self.now, list(events)):
            getattr(self, "on_" + type(action).__name__.lower())(action)
        for number, entry in self.open.items():
            assert entry["due"] > self.now, f"rule 1: {number} has no final answer in time"
        share = max(1, self.set.max_calls * 3 // 4)
        for destination in {h[3] for h in self.table.values()}:
            sends = [
                (h, sent) for h, sent, _ in self.out.values() if self.table[h][3] == destination
            ]
            size = self.set.kinds[self.table[sends[0][0]][2]].callbacks_per_call if sends else 1
            calls = sum(-(-sends.count(call) // size) for call in set(sends))
            assert calls <= share, "the slot share is kept"

    def on_settimer(self, action):
        assert action.delay > 0
        self.wake = min(self.wake or self.now + action.delay, self.now + action.delay)

    def on_reporthealth(self, action):
        self.notes.append(action.text)

    def on_closeidle(self, action):
        assert action.host in self.table
        self.closed.append(action.host)

    def on_watchhostlist(self, _):
        self.asked += 1

    def on_startattempt(self, action):
        number, host, now = action.callback, action.host, self.now
        assert number in self.open and number not in self.out, "rules 1, 2: open, and none out"
        entry = self.open[number]
        row = entry["row"]
        assert (
            entry["due"] > now
            and len(entry["launches"]) < self.set.max_attempts
            and action.timeout > 0
        )
        if "bound" in entry:
            sent, zone = entry["bound"]
            assert (
                row.semantics is not interface.DeliverySemantics.AT_MOST_ONCE
            ), "rule 2: an exclusive callback that may have run"
            if row.semantics is interface.DeliverySemantics.DEDUPLICATED:
                assert now <= sent + row.deduplication_window, "rule 2: a repeat after the window"
                assert (
                    row.deduplicated_everywhere or self.table[host][1] == zone
                ), "rule 2: a repeat out of scope"
        assert self.up.get(host), "rule 3: new work for a host that drains or is gone"
        if (
            self.fails.get(host, 0) >= 4
            and self.set.kinds[self.table[host][2]].callbacks_per_call == 1
        ):
            trials = [
                h for h, sent, _ in self.out.values() if h == host and sent >= self.shut[host]
            ]
            assert not trials, "rule 4: one trial at a time"
        assert self.waits.get(self.route(host), 0) <= now, "rule 6: a told wait"
        if entry["key"]:
            assert self.rests.get(entry["key"], 0) <= now, "rule 5: a key that rests"
            ended = [(n, self.final[n]) for n in self.out if n in self.final]
            for other, earlier in list(self.open.items()) + ended:
                assert other >= number or earlier["key"] != entry["key"], "rule 5: out of turn"
        entry["launches"].append(host)
        self.out[number] = (host, now, min(now + action.timeout, entry["due"]))
        self.sent.append((now, host))

    def on_reject(self, action):
        entry = self.open[action.callback]
        row = entry["row"]
        assert action.callback not in self.out, "rule 2: denied with a launch out"
        assert (
            "bound" not in entry
            or row.semantics is interface.DeliverySemantics.IDEMPOTENT
            or (
                row.semantics is interface.DeliverySemantics.DEDUPLICATED
                and row.deduplicated_everywhere
            )
        ), "rule 2: denied though it may have run"
        self.final[action.callback] = self.open.pop(action.callback)

    def on_fail(self, action):
        self.final[action.callback] = self.open.pop(action.callback)


class Ticks:
    """A clock that is moved by hand."""

    def __init__(self, now=1000 * SECOND):
        self.now = now

    def __call__(self):
        return self.now


class Wire:
    """Carries out the core's effects against a real log and checks the rules as seen from outside.

    A kill may fall between any two effects; the next process reads the log and nothing else.
    """

    def __init__(self, folder, given, hosts, make_module=Dispatcher, most=400_000):
        self.folder, self.set, self.make, self.most = str(folder), given, make_module, most
        self.now, self.serial, self.effects_left = 1000 * SECOND, 0, None
        self.hosts = {
            h[0]: ev.Host(h[0], ("127.0.0.1", 1), *h[1:], interface.Condition.UP, 1.0)
            for h in hosts
        }
        self.owed, self.ended, self.notices, self.rows, self.ran = {}, {}, {}, {}, {}
        self.answers, self.out, self.waits, self.gone, self.said = {}, {}, {}, set(), []
        self.unsure, self.counted = set(), {}
        # slow: connections do not come up by themselves
        self.starts, self.sent, self.logged, self.slow = 0, {}, [], False
        self.start()

    def start(self):
        self.store = Store(self.folder, self.most, Disk())
        self.core = Core(self.set, self.starts, self.make, self.most * 7 // 20)
        self.store.replay(self.core.load)
        self.out, self.waits, self.queue, self.starts, self.begun = (
            {},
            {},
            [],
            self.starts + 1,
            set(),
        )
        # callback -> how it ended in this life, None: in an earlier one, and the log says so
        self.counted = {i: None for i in self.ended if i not in self.core.held}
        self.post(ev.Listed(interface.ListScope.RESTORED, list(self.hosts.values())))
        self.post(ev.Begin())
        self.step()

    def kill(self):
        """Nothing that is left of the effects is carried out; calls that are out may have run."""
        self.queue, self.notices, self.core = [], {}, None
        # logged: it can't know who heard
        self.unsure |= {r["id"] for r in self.records() if r["k"] == "taken"}
        self.ran.update(
            {
                m.id: self.sent[m.id]
                for n, (_, ms) in self.out.items()
                if n in self.begun
                for m in ms
                if m.id not in self.ran
            }
        )
        self.store.close()
        self.start()

    def post(self, event):
        self.queue.append(event)
        while self.queue:
            event = self.queue.pop(0)
            for effect in self.core.reduce(self.now, event):
                if self.effects_left is not None:
                    self.effects_left -= 1
                    if self.effects_left < 0:
                        self.effects_left = None
                        return self.kill()
                getattr(self, "on_" + type(effect).__name__.lower())(effect)
            if type(event) is ev.Begun and event.call in self.out:
                self.goes(event.call)
        if self.store.wants_rewrite():
            assert self.store.rewrite(self.core.snapshot())

    def step(self):
        self.post(ev.Step())
        self.recount()

    def recount(self):
        """The figures against what was seen from outside in this life."""
        ends = list(self.counted.values())
        for name in ("fulfilled", "throttled", "faulted"):
            assert sum(row[name] for row in self.core.figures.ends.values()) == ends.count(
                name
            ), name
        held = [c.state for c in self.core.held.values()]
        assert self.core.figures.open_requests == held.count("taken") + held.count("held")
        assert self.core.figures.registry_entries == sum(
            h.condition is not interface.Condition.GONE for h in self.core.hosts.values()
        )

    def advance(self, span):
        until = self.now + span
        while self.now < until:
            due = self.core.next_step()
            ends = [member.until for _, members in self.out.values() for member in members]
            self.now = max(self.now + 1, min([until, *ends, *([due] if due is not None else [])]))
            for number, (call, members) in list(self.out.items()):
                if number in self.out and any(m.until <= self.now for m in members):
                    self.end(number, R.TIMEOUT if number in self.begun else R.NO_CONNECT)
            self.step()

    def take(self, cat=0, destination=1, key=None, span=None, gone=False, body=b"body", step=True):
        self.serial += 1
        number, row = f"c{self.serial:04d}", self.set.callback_classes[cat]
        due = self.now + (row.time_limit if span is None else span)
        self.rows[number] = (row, key if row.ordered else None, due, self.serial)
        if gone:
            self.gone.add(number)
        self.post(
            ev.Arrived(
                f"client of {number}",
                ev.Fresh(
                    number, cat, 0, key if row.ordered else None, destination, due, None, body
                ),
            )
        )
        if step:
            self.step()
        return number

    def goes(self, number):
        """Its connection is up: from here on its bytes may be at the host."""
        members = self.out[number][1]
        assert self.logged == [m.id for m in members], "a launch is logged before its bytes go"
        self.sent.update({m.id: self.now for m in members})
        self.begun.add(number)

    def end(self, number, result, wait=0, ids=None, **more):
        if number not in self.begun and result not in (R.NO_CONNECT, R.NOT_SENT):
            life = self.starts
            self.post(ev.Begun(number))
            if life != self.starts:  # killed as it was logged: that call is no more
                return
        call, members = self.out[number]
        ids = [m.id for m in members] if ids is None else ids
        left = [m for m in members if m.id not in ids]
        self.out[number] = (call, left)
        if not left:
            del self.out[number]
        for i in ids:
            if result not in (R.REFUSED, R.NO_CONNECT, R.NOT_SENT):
                self.ran.setdefault(i, self.sent[i])
        if wait:
            self.waits[self.hosts[call.host].destination] = self.now + wait
        self.post(
            ev.Ended(
                number,
                50 * MS if result is R.DELIVERED else self.now,
                [ev.End(i, result, wait, result is R.DELIVERED, **more) for i in ids],
            )
        )

    def on_append(self, effect):
        assert self.store.append([(effect.record, effect.body)])
        if effect.record["k"] == "launch":
            self.logged = effect.record["ids"]
        # killed before that, it may be delivered once more where a repeat is harmless
        if effect.record["k"] == "end":
            for i in [i for i, _, over, _ in effect.record["ends"] if over]:
                self.ended.setdefault(i, "fulfilled")
                self.counted.setdefault(i, "fulfilled")

    def on_answer(self, effect):
        self.answers[effect.id] = effect.status
        if effect.status != 202:
            self.counted.setdefault(effect.id, "throttled" if effect.status == 503 else "faulted")
            return
        assert (
            any(r["k"] == "taken" and r["id"] == effect.id for r in self.records())
            or effect.id in self.ended
        ), "taken on before it is in the log"
        if effect.id in self.gone:
            self.queue.append(ev.Unheard(effect.id, effect.client))
        else:
            self.owed[effect.id] = True
            self.queue.append(ev.Heard(effect.id, effect.client))

    def records(self):
        other, found = Store(self.folder, self.most, Disk()), []
        other.replay(lambda record, body: found.append(record))
        other.close()
        return found

    def on_call(self, effect):
        host = self.hosts[effect.host]
        assert host.condition is interface.Condition.UP, "rule 3"
        assert self.waits.get(host.destination, 0) <= self.now, "rule 6"
        for m in effect.members:
            row, key, due, order = self.rows[m.id]
            assert (
                m.id in self.owed or m.id in self.unsure
            ), "nothing is sent before its client heard"
            assert m.id not in self.ended and m.until <= due, "rule 1: sent after its end"
            assert all(
                m.id != o.id for _, ms in self.out.values() for o in ms
            ), "rule 2: two at once"
            if m.id in self.ran:
                assert row.semantics is not interface.DeliverySemantics.AT_MOST_ONCE, "rule 2"
                assert (
                    row.semantics is interface.DeliverySemantics.IDEMPOTENT
                    or self.now <= self.ran[m.id] + row.deduplication_window
                ), "rule 2"
            for other, (_, its_key, _, its_order) in self.rows.items():
                if key is not None and its_key == key and its_order < order and other in self.owed:
                    assert other in self.ended, "rule 5: an earlier one of its key is not over"
                    assert all(
                        other != o.id for _, ms in self.out.values() for o in ms
                    ), "rule 5: it is still out"
        self.out[effect.number] = (effect, list(effect.members))
        if not self.slow:
            self.queue.append(ev.Begun(effect.number))

    def on_notify(self, effect):
        row = self.rows[effect.id][0]
        assert (
            not effect.denied
            or effect.id not in self.ran
            or row.semantics is not interface.DeliverySemantics.AT_MOST_ONCE
        ), "rule 2"
        self.notices[effect.id] = effect
        self.counted.setdefault(effect.id, "throttled" if effect.denied else "faulted")

    def answer_notices(self):
        ids, self.notices = list(self.notices), {}
        for i in ids:
            self.ended.setdefault(i, "notice")
        self.post(ev.Noticed(ids))

    def on_abort(self, effect):
        self.out.pop(effect.call, None)

    def on_notsent(self, effect):
        assert effect.why in Refusal

    def on_watch(self, _):
        self.said.append("watch")

    def on_closeidle(self, effect):
        self.said.append(("close", effect.host))

    def on_say(self, effect):
        self.said.append(effect.text)


class Net:
    """A scheduler on a clock moved by hand, and connections that are socket pairs."""

    def __init__(self, sockets=50):
        self.clock = Ticks()
        self.scheduler, self.budget, self.events = (
            Scheduler(Kernel(self.clock)),
            Budget(sockets),
            [],
        )

    def post(self, event):
        self.events.append(event)

    def settle(self, rounds=30):
        """Runs all that can run without time passing."""
        for _ in range(rounds):
            self.scheduler.turn(block=False)

    def advance(self, span, step=50 * MS):
        until = self.clock.now + span
        while self.clock.now < until:
            self.clock.now = min(until, self.clock.now + step)
            self.settle(4)

    def pair(self, kind="host", make=HttpStream, **how):
        """A stream of the relay's and the other party's end."""
        ours, theirs = socket.socketpair()
        theirs.setblocking(False)
        assert self.budget.take(kind)
        return make(self.scheduler, ours, kind, self.budget, **how), theirs

    def catch(self, monkeypatch):
        """Has new connections made as pairs; gives the other ends, and a list of refusals to play."""
        made, refusals = [], []

        def opened(scheduler, address, kind, budget, make, spare=0):
            if refusals:
                raise refusals.pop(0)
            stream, theirs = self.pair(kind, make=make)
            stream.connect = lambda *_: None
            made.append(theirs)
            return stream

        monkeypatch.setattr("molehill.runtime.stream.opened", opened)
        return made, refusals


def drain(sock):
    """All that lies unread; None once the stream has ended with nothing before it."""
    data = b""
    try:
        while piece := sock.recv(65536):
            data += piece
    except BlockingIOError:
        return data
    except ConnectionError:
        pass
    return data or None


def net_given(**given):
    settings_given = dict(
        grades=[
            {
                "name": "notice",
                "semantics": "deduplicated",
                "dedupScope": "all",
                "dedupWindowMs": 9000,
                "deadlineMs": 15000,
                "serialByKey": True,
            },
            {"name": "plain", "semantics": "at_most_once", "deadlineMs": 4000},
        ],
        allowed={"connIdleMs": 10000, "connectTimeoutMs": 1500, "maxAttempts": 6},
        azs=["a"],
        machineTypes=["m"],
        telemetry={"fields": ["x0", "x1"], "how": "piggyback"},
    )
    return {
        "listen": "127.0.0.1:81",
        "discovery": "127.0.0.1:82",
        "state": "/x",
        "settings": settings_given,
        **given,
    }


def net_config(**given):
    return config.check(net_given(**given), {})
