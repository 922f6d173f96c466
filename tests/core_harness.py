"""Harnesses that play everything around one relay, and check its six rules after every step."""

import socket

from molehill import config, interface
from molehill.core import events as ev
from molehill.core.permission import Refusal
from molehill.core.reducer import Core
from molehill.decisions.dispatcher import Dispatcher
from molehill.http.stream import HttpStream
from molehill.runtime.kernel import Disk, Kernel
from molehill.runtime.scheduler import Scheduler
from molehill.runtime.stream import DescriptorBudget
from molehill.store import Store

MS = 1_000_000
SECOND = 1000 * MS
Result = interface.Result
MAY_HAVE_RUN = (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED)


def callback_class(
    effect="rerunnable",
    goal=1000,
    abandon=5000,
    payoff=1.0,
    window=3000,
    same_zone=False,
    ordered=False,
):
    """Returns a callback class; `goal`, `abandon` and `window` are in milliseconds."""
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
    """Returns settings for tests, with the given fields replaced."""
    base = dict(
        callback_classes=[callback_class()],
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
    """Returns the decision module's state of the first host that it was given."""
    return next(iter(module.state.endpoints.values()))


class DecisionHarness:
    """Plays clients, hosts and time around a decision module, and checks the rules.

    `hosts`: (id, zone, kind, destination) of each.
    """

    def __init__(self, given, hosts=((1, 0, 0, 1), (2, 1, 0, 1)), seed=7):
        self.settings, self.host_rows = given, {h[0]: h for h in hosts}
        self.now, self.seed, self.last_number = SECOND, seed, 0
        self.start([interface.HostEntry(*h, interface.Condition.UP, 1.0) for h in hosts])

    def start(self, entries):
        """Starts a new module; after a kill and a restart it knows only the list of hosts."""
        self.dispatcher = Dispatcher(self.settings, self.seed)
        (
            self.open_callbacks,
            self.in_flight,
            self.completed,
            self.sent,
            self.retry_times,
            self.cooldowns,
        ) = {}, {}, {}, [], {}, {}
        self.is_up, self.failures, self.ejected_at, self.health_messages, self.closed_idle = (
            {},
            {},
            {},
            [],
            [],
        )
        self.list_requests, self.ejected_hosts = 0, set()
        self.step([self.list_news(interface.ListScope.RESTORED, entries)])

    def list_news(self, scope, entries):
        """Returns the event of a received list, and notes which hosts are up."""
        if scope is not interface.ListScope.UPDATE:
            self.is_up = {}
        self.is_up.update({e.host: e.condition is interface.Condition.UP for e in entries})
        return interface.HostListUpdate(scope, list(entries))

    def route(self, host):
        """Returns the route of a host, for which a Retry-After holds."""
        _, _, kind, destination = self.host_rows[host]
        return host if self.settings.kinds[kind].separate_routes else -destination

    def submit(self, cat=0, destination=1, key=None, tenant=0, abandon=None):
        """Submits a callback of the class number `cat`, and returns its id.

        `abandon`: its time limit in nanoseconds; that of its class by default.
        """
        self.last_number += 1
        row = self.settings.callback_classes[cat]
        deadline = self.now + (row.time_limit if abandon is None else abandon)
        self.open_callbacks[self.last_number] = dict(
            row=row, key=key if row.ordered else None, deadline=deadline, attempts=[]
        )
        self.step(
            [interface.NewCallback(self.last_number, cat, tenant, key, deadline, destination)]
        )
        return self.last_number

    def outcome(self, number, result, wait=0, told=(0.0, None)):
        """Ends a callback's attempt in flight, and returns its outcome.

        `wait`: the host's Retry-After in nanoseconds. `told`: the advertised rate and share left.
        """
        host, sent, _ = self.in_flight.pop(number)
        entry = self.open_callbacks.get(number)
        if result in MAY_HAVE_RUN and entry is not None:
            entry.setdefault("bound", (sent, self.host_rows[host][1]))
        if (
            result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
            and entry is not None
            and entry["key"]
        ):
            self.cooldowns[entry["key"]] = self.now + self.settings.key_cooldown
        if result is Result.DELIVERED:
            self.failures[host] = 0
            if number in self.open_callbacks:
                self.completed[number] = self.open_callbacks.pop(number)
        elif result not in (Result.REFUSED, Result.CANCELLED) and (
            result is not Result.TIMEOUT or entry and entry["deadline"] > self.now
        ):
            self.failures[host] = self.failures.get(host, 0) + 1
            if self.failures[host] == 4:
                self.ejected_at[host] = self.now
        if result is Result.REFUSED and wait:
            route = self.route(host)
            self.retry_times[route] = max(self.retry_times.get(route, 0), self.now + wait)
        attempts = len(entry["attempts"]) - 1 if entry else 0
        return interface.Outcome(
            number,
            attempts,
            host,
            result,
            self.now - sent,
            wait if result is Result.REFUSED else 0,
            number in self.completed,
            told[0],
            advertised_share_left=told[1],
        )

    def answer(self, number, result=Result.DELIVERED, wait=0, told=(0.0, None)):
        """Ends a callback's attempt in flight and steps the module; see `outcome`."""
        self.step([self.outcome(number, result, wait, told)])

    def advance(self, span):
        """Lets time pass: attempts past their timeout end unanswered, and timers expire."""
        until = self.now + span
        while self.now < until:
            nexts = [end for _, _, end in self.in_flight.values()] + [self.wake or until]
            self.now = min(until, max(self.now + 1, min(nexts)))
            late = [n for n, (_, _, end) in self.in_flight.items() if end <= self.now]
            events = [self.outcome(n, Result.TIMEOUT) for n in late]
            self.step(events + [interface.TimerExpired("wake")])

    def step(self, events=()):
        """Steps the module, carries out its actions, and checks the rules."""
        self.wake = (
            None
            if any(type(e) is interface.TimerExpired for e in events)
            else getattr(self, "wake", None)
        )
        for action in self.dispatcher.step(self.now, list(events)):
            getattr(self, "on_" + type(action).__name__.lower())(action)
        for number, entry in self.open_callbacks.items():
            assert entry["deadline"] > self.now, f"rule 1: {number} has no final answer in time"
        share = max(1, self.settings.max_calls * 3 // 4)
        for destination in {h[3] for h in self.host_rows.values()}:
            sends = [
                (h, sent)
                for h, sent, _ in self.in_flight.values()
                if self.host_rows[h][3] == destination
            ]
            size = (
                self.settings.kinds[self.host_rows[sends[0][0]][2]].callbacks_per_call
                if sends
                else 1
            )
            calls = sum(-(-sends.count(call) // size) for call in set(sends))
            assert calls <= share, "the slot share is kept"

    def on_settimer(self, action):
        assert action.delay > 0
        self.wake = min(self.wake or self.now + action.delay, self.now + action.delay)

    def on_reporthealth(self, action):
        self.health_messages.append(action.text)
        (self.ejected_hosts.add if action.ejected else self.ejected_hosts.discard)(action.host)

    def on_logmessage(self, action):
        self.health_messages.append(action.text)

    def on_closeidle(self, action):
        assert action.host in self.host_rows
        self.closed_idle.append(action.host)

    def on_watchhostlist(self, _):
        self.list_requests += 1

    def on_startattempt(self, action):
        number, host, now = action.callback, action.host, self.now
        assert (
            number in self.open_callbacks and number not in self.in_flight
        ), "rules 1, 2: pending, and no attempt in flight"
        entry = self.open_callbacks[number]
        row = entry["row"]
        assert (
            entry["deadline"] > now
            and len(entry["attempts"]) < self.settings.max_attempts
            and action.timeout > 0
        )
        if "bound" in entry:
            sent, zone = entry["bound"]
            assert (
                row.semantics is not interface.DeliverySemantics.AT_MOST_ONCE
            ), "rule 2: an at-most-once callback that may have run"
            if row.semantics is interface.DeliverySemantics.DEDUPLICATED:
                assert now <= sent + row.deduplication_window, "rule 2: a repeat after the window"
                assert (
                    row.deduplicated_everywhere or self.host_rows[host][1] == zone
                ), "rule 2: a repeat out of scope"
        assert self.is_up.get(host), "rule 3: a new call to a host that is draining or gone"
        if (
            self.failures.get(host, 0) >= 4
            and self.settings.kinds[self.host_rows[host][2]].callbacks_per_call == 1
        ):
            probes = [
                h
                for h, sent, _ in self.in_flight.values()
                if h == host and sent >= self.ejected_at[host]
            ]
            assert not probes, "rule 4: one probe at a time"
        assert (
            self.retry_times.get(self.route(host), 0) <= now
        ), "rule 6: a call before the Retry-After is over"
        if entry["key"]:
            assert (
                self.cooldowns.get(entry["key"], 0) <= now
            ), "rule 5: a call during the key's cooldown"
            ended = [(n, self.completed[n]) for n in self.in_flight if n in self.completed]
            for other, earlier in list(self.open_callbacks.items()) + ended:
                assert other >= number or earlier["key"] != entry["key"], "rule 5: out of order"
        entry["attempts"].append(host)
        self.in_flight[number] = (host, now, min(now + action.timeout, entry["deadline"]))
        self.sent.append((now, host))

    def on_reject(self, action):
        entry = self.open_callbacks[action.callback]
        row = entry["row"]
        assert action.callback not in self.in_flight, "rule 2: rejected with an attempt in flight"
        assert (
            "bound" not in entry
            or row.semantics is interface.DeliverySemantics.IDEMPOTENT
            or (
                row.semantics is interface.DeliverySemantics.DEDUPLICATED
                and row.deduplicated_everywhere
            )
        ), "rule 2: rejected though it may have run"
        self.completed[action.callback] = self.open_callbacks.pop(action.callback)

    def on_fail(self, action):
        self.completed[action.callback] = self.open_callbacks.pop(action.callback)


class ManualClock:
    """A clock that tests set by hand, in nanoseconds."""

    def __init__(self, now=1000 * SECOND):
        self.now = now

    def __call__(self):
        return self.now


class CoreHarness:
    """Carries out the core's effects with a real log, and checks the rules as seen from outside.

    A kill may come between any two effects; the next process reads only the log.
    """

    def __init__(self, folder, given, hosts, make_module=Dispatcher, max_bytes=400_000):
        self.folder, self.settings, self.make_module, self.max_bytes = (
            str(folder),
            given,
            make_module,
            max_bytes,
        )
        self.now, self.last_number, self.effects_left = 1000 * SECOND, 0, None
        self.hosts = {
            h[0]: ev.Host(h[0], ("127.0.0.1", 1), *h[1:], interface.Condition.UP, 1.0)
            for h in hosts
        }
        self.acknowledged, self.ended, self.notices, self.submitted, self.first_run_at = (
            {},
            {},
            {},
            {},
            {},
        )
        self.answers, self.in_flight, self.retry_times, self.gone_clients, self.messages = (
            {},
            {},
            {},
            set(),
            [],
        )
        self.maybe_acknowledged, self.counted_ends = set(), {}
        # connects_slowly: connections don't come up by themselves
        self.process_number, self.sent, self.last_logged_ids, self.connects_slowly = (
            0,
            {},
            [],
            False,
        )
        self.start()

    def start(self):
        """Starts a process on the log as it is."""
        self.store = Store(self.folder, self.max_bytes, Disk())
        self.core = Core(
            self.settings, self.process_number, self.make_module, self.max_bytes * 7 // 20
        )
        self.store.replay(self.core.load)
        self.in_flight, self.retry_times, self.queue, self.process_number, self.connected = (
            {},
            {},
            [],
            self.process_number + 1,
            set(),
        )
        # callback -> how it ended in this process; None: in an earlier one, as the log tells
        self.counted_ends = {i: None for i in self.ended if i not in self.core.callbacks}
        self.post(ev.HostListReceived(interface.ListScope.RESTORED, list(self.hosts.values())))
        self.post(ev.Startup())
        self.step()

    def kill(self):
        """Kills the process and starts the next one.

        The remaining effects are not carried out; calls in flight may have run.
        """
        self.queue, self.notices, self.core = [], {}, None
        # logged: the next process can't know which clients were answered
        self.maybe_acknowledged |= {r["id"] for r in self.read_records() if r["k"] == "taken"}
        self.first_run_at.update(
            {
                m.id: self.sent[m.id]
                for n, (_, ms) in self.in_flight.items()
                if n in self.connected
                for m in ms
                if m.id not in self.first_run_at
            }
        )
        self.store.close()
        self.start()

    def post(self, event):
        """Hands an event to the core, and carries out its effects and what follows from them."""
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
            if type(event) is ev.CallConnected and event.call in self.in_flight:
                self.connection_up(event.call)
        if self.store.needs_rewrite():
            assert self.store.rewrite(self.core.snapshot())

    def step(self):
        """Steps the decision module, and checks the metrics."""
        self.post(ev.Step())
        self.check_metrics()

    def check_metrics(self):
        """Checks the metrics against what was seen from outside during this process."""
        ends = list(self.counted_ends.values())
        for name in ("fulfilled", "throttled", "faulted"):
            assert sum(row[name] for row in self.core.metrics.end_counts.values()) == ends.count(
                name
            ), name
        held = [c.state for c in self.core.callbacks.values()]
        assert self.core.metrics.open_requests == held.count("taken") + held.count("held")
        assert self.core.metrics.registry_entries == sum(
            h.condition is not interface.Condition.GONE for h in self.core.hosts.values()
        )

    def advance(self, span):
        """Lets `span` nanoseconds pass; calls past a deadline time out."""
        until = self.now + span
        while self.now < until:
            next_step_at = self.core.next_step_at()
            ends = [member.deadline for _, members in self.in_flight.values() for member in members]
            self.now = max(
                self.now + 1,
                min([until, *ends, *([next_step_at] if next_step_at is not None else [])]),
            )
            for number, (call, members) in list(self.in_flight.items()):
                if number in self.in_flight and any(m.deadline <= self.now for m in members):
                    self.end_call(
                        number, Result.TIMEOUT if number in self.connected else Result.NO_CONNECT
                    )
            self.step()

    def submit(
        self, cat=0, destination=1, key=None, span=None, gone=False, body=b"body", step=True
    ):
        """Submits a callback of the class number `cat`, and returns its id.

        `span`: its time limit in nanoseconds; that of its class by default. `gone`: its client is
        gone before the answer. `step`: whether the module is stepped after it.
        """
        self.last_number += 1
        number, row = f"c{self.last_number:04d}", self.settings.callback_classes[cat]
        deadline = self.now + (row.time_limit if span is None else span)
        self.submitted[number] = (row, key if row.ordered else None, deadline, self.last_number)
        if gone:
            self.gone_clients.add(number)
        self.post(
            ev.Submitted(
                f"client of {number}",
                ev.Submission(
                    number, cat, 0, key if row.ordered else None, destination, deadline, None, body
                ),
            )
        )
        if step:
            self.step()
        return number

    def connection_up(self, number):
        """Marks a call's connection as up: from here on its bytes may be at the host."""
        members = self.in_flight[number][1]
        assert self.last_logged_ids == [
            m.id for m in members
        ], "an attempt is logged before its bytes are sent"
        self.sent.update({m.id: self.now for m in members})
        self.connected.add(number)

    def end_call(self, number, result, wait=0, ids=None, **more):
        """Ends a call, for all its callbacks or those in `ids`.

        `wait`: the host's Retry-After in nanoseconds. `more`: further fields of the outcomes.
        """
        if number not in self.connected and result not in (Result.NO_CONNECT, Result.NOT_SENT):
            process_number = self.process_number
            self.post(ev.CallConnected(number))
            if (
                process_number != self.process_number
            ):  # killed while it was logged: the call is gone
                return
        call, members = self.in_flight[number]
        ids = [m.id for m in members] if ids is None else ids
        left = [m for m in members if m.id not in ids]
        self.in_flight[number] = (call, left)
        if not left:
            del self.in_flight[number]
        for i in ids:
            if result not in (Result.REFUSED, Result.NO_CONNECT, Result.NOT_SENT):
                self.first_run_at.setdefault(i, self.sent[i])
        if wait:
            self.retry_times[self.hosts[call.host].destination] = self.now + wait
        self.post(
            ev.CallEnded(
                number,
                50 * MS if result is Result.DELIVERED else self.now,
                [
                    ev.AttemptOutcome(i, result, wait, result is Result.DELIVERED, **more)
                    for i in ids
                ],
            )
        )

    def on_append(self, effect):
        assert self.store.append([(effect.record, effect.body)])
        if effect.record["k"] == "launch":
            self.last_logged_ids = effect.record["ids"]
        # killed before this, it may be delivered again if a repeat is harmless
        if effect.record["k"] == "end":
            for i in [i for i, _, over, _ in effect.record["ends"] if over]:
                self.ended.setdefault(i, "fulfilled")
                self.counted_ends.setdefault(i, "fulfilled")

    def on_answer(self, effect):
        self.answers[effect.id] = effect.status
        if effect.status != 202:
            self.counted_ends.setdefault(
                effect.id, "throttled" if effect.status == 503 else "faulted"
            )
            return
        assert (
            any(r["k"] == "taken" and r["id"] == effect.id for r in self.read_records())
            or effect.id in self.ended
        ), "accepted before it is in the log"
        if effect.id in self.gone_clients:
            self.queue.append(ev.AnswerNotWritten(effect.id, effect.client))
        else:
            self.acknowledged[effect.id] = True
            self.queue.append(ev.AnswerWritten(effect.id, effect.client))

    def read_records(self):
        """Reads the records of the log as it is on disk."""
        other, found = Store(self.folder, self.max_bytes, Disk()), []
        other.replay(lambda record, body: found.append(record))
        other.close()
        return found

    def on_call(self, effect):
        host = self.hosts[effect.host]
        assert host.condition is interface.Condition.UP, "rule 3"
        assert self.retry_times.get(host.destination, 0) <= self.now, "rule 6"
        for m in effect.callbacks:
            row, key, deadline, order = self.submitted[m.id]
            assert (
                m.id in self.acknowledged or m.id in self.maybe_acknowledged
            ), "nothing is sent before its client was answered"
            assert m.id not in self.ended and m.deadline <= deadline, "rule 1: sent after its end"
            assert all(
                m.id != o.id for _, ms in self.in_flight.values() for o in ms
            ), "rule 2: two attempts at once"
            if m.id in self.first_run_at:
                assert row.semantics is not interface.DeliverySemantics.AT_MOST_ONCE, "rule 2"
                assert (
                    row.semantics is interface.DeliverySemantics.IDEMPOTENT
                    or self.now <= self.first_run_at[m.id] + row.deduplication_window
                ), "rule 2"
            for other, (_, its_key, _, its_order) in self.submitted.items():
                if (
                    key is not None
                    and its_key == key
                    and its_order < order
                    and other in self.acknowledged
                ):
                    assert (
                        other in self.ended
                    ), "rule 5: an earlier callback of its key has not ended"
                    assert all(
                        other != o.id for _, ms in self.in_flight.values() for o in ms
                    ), "rule 5: an earlier callback of its key is still in flight"
        self.in_flight[effect.number] = (effect, list(effect.callbacks))
        if not self.connects_slowly:
            self.queue.append(ev.CallConnected(effect.number))

    def on_notify(self, effect):
        row = self.submitted[effect.id][0]
        assert (
            not effect.rejected
            or effect.id not in self.first_run_at
            or row.semantics is not interface.DeliverySemantics.AT_MOST_ONCE
        ), "rule 2"
        self.notices[effect.id] = effect
        self.counted_ends.setdefault(effect.id, "throttled" if effect.rejected else "faulted")

    def answer_notices(self):
        """Has the platform answer all notices that were sent."""
        ids, self.notices = list(self.notices), {}
        for i in ids:
            self.ended.setdefault(i, "notice")
        self.post(ev.NoticesDelivered(ids))

    def on_abort(self, effect):
        self.in_flight.pop(effect.call, None)

    def on_notsent(self, effect):
        assert effect.reason in Refusal

    def on_watchhostlist(self, _):
        self.messages.append("watch")

    def on_closeidle(self, effect):
        self.messages.append(("close", effect.host))

    def on_logmessage(self, effect):
        self.messages.append(effect.text)


class NetHarness:
    """A scheduler on a manual clock, with socket pairs as connections."""

    def __init__(self, sockets=50):
        self.clock = ManualClock()
        self.scheduler, self.budget, self.events = (
            Scheduler(Kernel(self.clock)),
            DescriptorBudget(sockets),
            [],
        )

    def post(self, event):
        self.events.append(event)

    def settle(self, rounds=30):
        """Runs every task that can run without time passing."""
        for _ in range(rounds):
            self.scheduler.run_once(block=False)

    def advance(self, span, step=50 * MS):
        until = self.clock.now + span
        while self.clock.now < until:
            self.clock.now = min(until, self.clock.now + step)
            self.settle(4)

    def pair(self, kind="host", make=HttpStream, **how):
        """Returns a stream of the relay, and the socket of the other party."""
        ours, theirs = socket.socketpair()
        theirs.setblocking(False)
        assert self.budget.acquire(kind)
        return make(self.scheduler, ours, kind, self.budget, **how), theirs

    def intercept_connections(self, monkeypatch):
        """Replaces new connections by socket pairs.

        Returns the list of the other ends, and a list to put errors into, which the next attempts
        to connect raise.
        """
        made, refusals = [], []

        def opened(scheduler, address, kind, budget, make, spare=0):
            if refusals:
                raise refusals.pop(0)
            stream, theirs = self.pair(kind, make=make)
            stream.connect = lambda *_: None
            made.append(theirs)
            return stream

        monkeypatch.setattr("molehill.runtime.stream.open_stream", opened)
        return made, refusals


def drain(sock):
    """Reads what has arrived; returns None if the stream has ended and nothing was left."""
    data = b""
    try:
        while piece := sock.recv(65536):
            data += piece
    except BlockingIOError:
        return data
    except ConnectionError:
        pass
    return data or None


def net_config_fields(**given):
    """Returns the fields of a configuration file for tests, with the given ones replaced."""
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
    """Returns the configuration of `net_config_fields`, parsed."""
    return config.parse_config(net_config_fields(**given), {})
