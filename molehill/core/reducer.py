"""All state of a relay but its decisions, and the one place where it changes: an event in, effects out.

No input, output or clock here. Effects are to be carried out in order. The module in molehill/decisions/ is driven
by `Step` events with all that came in since the last one; what it asks for comes out as effects, held back only
where a call may not go yet: its client has not heard that the callback is taken on, or an earlier callback of its
key ended by a notice that the platform has not answered.
"""

from collections import Counter
from dataclasses import replace
from heapq import heappop, heappush
from typing import Optional

from molehill import interface
from molehill.config import CONNECT_TIME_OUT, MS
from molehill.core import events as ev
from molehill.core import permission, recovery
from molehill.core.callback import ARRIVED, HELD, NEXT, OVER, OWED, TAKEN, Callback, PendingCall
from molehill.core.classes import Classes
from molehill.core.figures import DELIVERED, FAULTED, THROTTLED, Figures
from molehill.core.final_notices import FinalNotices
from molehill.core.host_list import ToldList
from molehill.core.host_table import HostTable
from molehill.core.permission import Refusal
from molehill.core.recent_ids import RecentIds
from molehill.interface import Result
from molehill.invariants import check_invariant

TAKEN_ON, DENIED, FAILED = 202, 503, 500  # answers to clients


# ids lately over, by which a request sent again is known: minutes of traffic
DONE_KEPT = 4096
# ids lately refused or failed before they were taken on: longer than a copy is on its way
REFUSED_KEPT = 1024


class Core:
    """One relay's callbacks, calls and hosts. `reduce` is the one way in but for the log's records at a start."""

    def __init__(
        self, settings, seed, make_module, log_room, names=None, connect_time_out=CONNECT_TIME_OUT
    ):
        """`names`: those of the settings' categories, by which figures and the log know them; else their numbers.
        `connect_time_out`: as of core/final_notices.py."""
        self.final_notices = FinalNotices(connect_time_out)
        self.seed, self.make_module, self.log_room = seed, make_module, log_room
        names = [str(n) for n in range(len(settings.callback_classes))] if names is None else names
        self.classes, self.figures = Classes(names, settings.callback_classes), Figures(names)
        # one list: the module reads the same rows
        self.set = replace(settings, callback_classes=self.classes.rows)
        self.told = ToldList()  # the list of hosts as the log has it
        self.restarted = False  # the log is an earlier process's, which handed nothing over
        self.inherited = False  # an earlier process handed over
        self.recovery = recovery.Recovery(self)
        self.module, self.inbox, self.now, self.effects = make_module(self.set, seed), [], 0, []
        self.held: dict[str, Callback] = {}  # in the order in which they were handed in
        self.used, self.open = 0, 0  # log bytes taken up; callbacks the module has
        self.done = RecentIds(DONE_KEPT)  # id lately over -> its contents
        self.refused = RecentIds(REFUSED_KEPT)  # id -> its contents and the answer that it got
        self.calls, self.parked, self.serial = {}, {}, 0
        self.owed_keys: dict[str, int] = {}
        # those that go in turn and are not over, in the order of hand-in
        self.by_key: dict[str, dict[str, Callback]] = {}
        # why callbacks were not sent, since the last line of counts
        self.refusals: Counter[Refusal] = Counter()
        self.rests: dict[str, int] = {}
        # while the log is read: keys with a launch whose end it does not tell
        self.unsettled: dict[str, bool] = {}
        self.hosts = HostTable(self.figures)
        self.guards, self.wake_at, self.stop_at = [], None, None
        # no call is begun; calls that an earlier process wrote, by number
        self.held_back, self.under = False, {}
        # the log takes no records: no call is begun either
        self.log_fails = False
        # after a restart no call is begun before discovery has answered or failed, or till then
        self.list_by: Optional[int] = None
        self.on = {
            ev.Begin: self._begin,
            ev.Arrived: self._arrived,
            ev.Heard: self._heard,
            ev.Unheard: self._unheard,
            ev.Unlogged: self._unlogged,
            ev.EndUnlogged: self._end_unlogged,
            ev.LogWorks: self._log_works,
            ev.Begun: self._begun,
            ev.Ended: self._ended,
            ev.HostDone: self._host_done,
            ev.Noticed: self._noticed,
            ev.Listed: self._listed,
            ev.Step: self._step,
            ev.Stop: self._stop,
            ev.Retuned: self._retuned,
            ev.Hold: self._hold,
            ev.Inherited: self._inherited,
        }

    def reduce(self, now, event):
        self.now, self.effects = max(now, self.now), []
        try:
            self.on[type(event)](event)
        # a fault here or in the module: made anew as after a restart, nothing is lost
        except Exception as error:
            check_invariant(False, "reduce", what=type(event).__name__, error=repr(error))
            self._start_again()
        return self.effects

    def next_step(self):
        """When the module is to be stepped though nothing comes in; None: not before something does."""
        times = [
            when
            for when in (
                self.wake_at,
                self.guards[0][0] if self.guards else None,
                self.list_by,
            )
            if when is not None
        ]
        times += [self._parked_until(out) for out in self.parked.values()]
        return min(times, default=None)

    # The log

    def _log(self, kind, body=b"", **fields):
        self.effects.append(ev.Append({"k": kind, **fields}, body))

    def load(self, record, body):
        """One record of the log, as it is read again at a start; later ones override."""
        self.recovery.load(record, body)
        self.restarted = self.restarted or record["k"] == "list"

    def load_spoilt(self, data):
        """Bytes of the log that can't be read."""
        self.recovery.load_spoilt(data)

    def snapshot(self):
        """The records that say all that is owed now; a log of just these replaces a longer one."""
        return recovery.snapshot(self)

    def set_health(self, host, away, at):
        """It was closed, or answers again since `at`."""
        ramp_over = None if away else at + (self.set.slow_start_time or 0)
        self.hosts.set_health(host, ramp_over)

    def known(self, ids):
        return [self.held[number] for number in ids if number in self.held]

    # Callbacks

    def move(self, callback, state):
        """Every change of a callback's state."""
        before = callback.state
        check_invariant(
            state in NEXT[before], "callback_state", id=callback.id, before=before, after=state
        )
        callback.state = state
        if before is None:
            self.used += callback.room
            if callback.key is not None and self.set.callback_classes[callback.category].ordered:
                self.by_key.setdefault(callback.key, {})[callback.id] = callback
        self.open += (state in (ARRIVED, TAKEN, HELD)) - (before in (ARRIVED, TAKEN, HELD))
        self.figures.open_requests += (state in (TAKEN, HELD)) - (before in (TAKEN, HELD))
        key = callback.key
        if state is OWED and key is not None:
            self.owed_keys[key] = self.owed_keys.get(key, 0) + 1
        if before is OWED and key is not None:
            self.owed_keys[key] -= 1
            if not self.owed_keys[key]:
                del self.owed_keys[key]
        if state in (OWED, OVER) and callback.body:
            self.used -= len(callback.body)
            callback.room, callback.body = callback.room - len(callback.body), b""
        if state is OVER:
            self.used -= callback.room
            del self.held[callback.id]
            line = self.by_key.get(key)
            if line is not None:
                line.pop(callback.id, None)
                if not line:
                    del self.by_key[key]
            if before in (HELD, OWED):
                self.done.add(callback.id, callback.contents)

    # half of what the rules leave between the abandon time and a lost callback
    GUARD = 150 * MS

    def _arrived(self, event):
        fresh, contents = event.fresh, event.fresh.contents()
        known = self.held.get(fresh.id)
        its_contents = known.contents if known is not None else self.done.get(fresh.id)
        # Danger: a stranger uses an id that is not its own, before or after the true request. Told "taken on" for what it
        # did not hand in, a client goes on with its key's next. Refused, either may come again under a new id.
        if its_contents is not None and its_contents != contents:
            self._count(fresh, THROTTLED)
            self.effects.append(ev.Answer(event.client, fresh.id, DENIED, why="id of another"))
        elif known is not None:
            self._copy_arrived(known, event.client)
        elif fresh.id in self.done:
            self.effects.append(ev.Answer(event.client, fresh.id, TAKEN_ON))
        # Danger: a copy of what had its final answer is taken on, and sent on behind that.
        elif (refused := self.refused.get(fresh.id)) is not None and refused[0] == contents:
            answer = ev.Answer(event.client, fresh.id, refused[1], why="refused before")
            self.effects.append(answer)
        else:
            self._new_arrived(Callback(fresh, contents), event.client)

    def _copy_arrived(self, known, client):
        """It was sent again on a new connection: both get the answer."""
        if known.state in (ARRIVED, TAKEN):
            known.clients.append(client)
        if known.state is not ARRIVED:
            self.effects.append(ev.Answer(client, known.id, TAKEN_ON))

    def _new_arrived(self, callback, client):
        full = self.set.max_pending is not None and self.open >= self.set.max_pending
        if full or self.used + self.told.room + callback.room > self.log_room:
            self._count(callback, THROTTLED)
            self.refused.add(callback.id, (callback.contents, DENIED))
            self.effects.append(ev.Answer(client, callback.id, DENIED))
            return
        self.held[callback.id] = callback
        callback.clients.append(client)
        self.move(callback, ARRIVED)
        self._hand_over(callback)

    def _answer(self, callback, status, wait=0):
        """To every connection on which it was handed in."""
        self.effects += [
            ev.Answer(client, callback.id, status, wait) for client in callback.clients
        ]

    def _count(self, c, end):
        """Each callback's end is counted here, once, whatever comes of it later."""
        self.figures.ends[self.classes.names[c.category]][end] += 1

    def turned_away(self, name):
        """A request of that class was refused before it came here."""
        if name in self.classes.current:
            self.figures.ends[name][THROTTLED] += 1

    def _hand_over(self, c):
        """Tells the module of a callback, with all that an earlier process or module did with it."""
        rests = self.rests.get(c.key, 0) if c.key is not None else 0
        self.inbox.append(
            interface.NewCallback(
                c.id,
                c.category,
                c.tenant,
                c.key,
                c.due,
                c.destination,
                c.launches,
                c.ran_at,
                c.ran_zone,
                rests if rests > self.now else 0,
                self.under.get(c.call),
                c.state is not ARRIVED,
            )
        )
        heappush(self.guards, (c.due + self.GUARD, c.id, False))

    def _heard(self, event):
        """Danger: an answer to another's copy, written late, must not count as the word of this one's client."""
        callback = self.held.get(event.id)
        if callback is not None and callback.state is TAKEN and event.client in callback.clients:
            callback.clients.clear()
            self.move(callback, HELD)
            self._release()

    def _unheard(self, event):
        callback = self.held.get(event.id)
        if (
            callback is None
            or callback.state not in (ARRIVED, TAKEN)
            or event.client not in callback.clients
        ):
            return
        callback.clients.remove(event.client)
        if not callback.clients:
            self._withdraw(callback)

    def _withdraw(self, callback, logged=True):
        """Nobody was told that it is taken on: it is the client's again."""
        self.inbox.append(interface.CallbackWithdrawn(callback.id))
        if logged:
            self._log("over", ids=[callback.id])
        self.move(callback, OVER)
        for out in list(self.parked.values()):
            if callback.id in out.ids:
                self._unpark(out, [callback.id])
        self._release()

    def _unlogged(self, event):
        """What could not be written: callbacks not taken on after all, launches that do not go.

        Danger: with launches refused as fast as they are asked for, each opens a connection at its host for nothing.
        """
        self.log_fails = True
        for record in event.records:
            if record["k"] == "taken" and record["id"] in self.held:
                callback = self.held[record["id"]]
                self._count(callback, THROTTLED)
                self._answer(callback, DENIED)
                self.refused.add(callback.id, (callback.contents, DENIED))
                self._withdraw(callback, logged=False)
            elif record["k"] == "launch":
                out = self.calls.get(record["call"])
                if out is not None:
                    out.begun = False
                    self.effects.append(ev.Abort(out.number))
                    self._ended(
                        ev.Ended(
                            out.number,
                            0,
                            [
                                ev.End(i, Result.NOT_SENT, unsent=True, why=Refusal.NOT_LOGGED)
                                for i in out.ids
                            ],
                        )
                    )

    def _end_unlogged(self, event):
        """Danger: told as turned away and forgotten by a kill, it is told as failed by the next process, as its time is up."""
        callback = self.held.get(event.id)
        if callback is None or callback.state is not OWED:
            return
        if callback.denied:
            ends = self.figures.ends[self.classes.names[callback.category]]
            ends[THROTTLED] -= 1
            ends[FAULTED] += 1
            callback.denied, callback.wait = False, 0
            self._log("owed", id=callback.id, denied=False, wait=0)
        self._notify(callback)

    def _log_works(self, _):
        self.log_fails = False
        self._release()

    # Calls

    def _end_callback(self, callback, denied, wait):
        """A final answer that is not a delivery."""
        self._count(callback, THROTTLED if denied else FAULTED)
        if callback.state is ARRIVED:
            status = DENIED if denied else FAILED
            self._answer(callback, status, wait)
            self.refused.add(callback.id, (callback.contents, status))
            self.move(callback, OVER)
            return
        callback.denied, callback.wait = denied, wait
        self._log("owed", id=callback.id, denied=denied, wait=wait)
        self.move(callback, OWED)
        self._notify(callback)

    def _notify(self, callback):
        not_before = self.final_notices.not_before(callback)
        self.effects.append(
            ev.Notify(callback.id, callback.denied, callback.wait, not_before, callback.due)
        )

    def _host_done(self, event):
        for callback in self.known(self.final_notices.host_done(event.call)):
            was_unread = event.seen and callback.unread.pop(event.call, None) is not None
            if was_unread and callback.state is OWED:
                self._notify(callback)

    def _step(self, _):
        now, batch, self.inbox = self.now, self.inbox, []
        if self.list_by is not None and self.list_by <= now:
            self.list_by = None
        self._ring(batch)
        if self.wake_at is not None and self.wake_at <= now:
            self.wake_at = None
            batch.append(interface.TimerExpired("wake"))
        actions = self.module.step(now, batch)
        ended = {a.callback for a in actions if type(a) in (interface.Reject, interface.Fail)}
        for event in batch:
            if type(event) is interface.NewCallback and event.callback not in ended:
                self._take_on(event.callback)
        for action in actions:
            self._carry_out(action)
        launches = [action for action in actions if type(action) is interface.StartAttempt]
        self._park(launches)
        self._release()
        self._guard()

    def _take_on(self, number):
        """The module keeps it: the client is told once that is logged."""
        callback = self.held.get(number)
        if callback is not None and callback.state is ARRIVED:
            self._log("taken", callback.body, **recovery.as_handed_in(callback))
            self.move(callback, TAKEN)
            self._answer(callback, TAKEN_ON)

    def _carry_out(self, action):
        """One action of the module that is no launch."""
        kind = type(action)
        if kind is interface.SetTimer:
            self.wake_at = self.now + action.delay
        elif kind is interface.WatchHostList:
            self.effects.append(ev.Watch())
        elif kind is interface.CloseIdle:
            self.effects.append(ev.CloseIdle(action.host))
        elif kind is interface.ReportHealth:
            self.set_health(action.host, action.ejected, self.now)
            self._log("health", host=action.host, away=action.ejected, at=self.now)
            self.effects.append(ev.Say(action.text))
        elif kind in (interface.Reject, interface.Fail) and action.callback in self.held:
            denied = kind is interface.Reject
            wait = action.retry_after if denied else 0
            self._end_callback(self.held[action.callback], denied, wait)

    def _park(self, launches):
        """Launches become calls, as many callbacks in each as its host takes."""
        by_host = {}
        for launch in launches:
            by_host.setdefault(launch.host, []).append((launch.callback, launch.timeout))
        for host, spans in by_host.items():
            size = self._kind(self.hosts[host]).callbacks_per_call
            for at in range(0, len(spans), size):
                self.serial += 1
                call = PendingCall(self.serial, host, spans[at : at + size], self.now)
                self.parked[self.serial] = call

    def _kind(self, host):
        return (
            self.set.kinds[host.kind]
            if host.kind < len(self.set.kinds)
            else interface.HostKind(False, 1)
        )

    def _ring(self, batch):
        """Parked calls whose time is up."""
        for out in list(self.parked.values()):
            if self._parked_until(out) <= self.now:
                for callback in self.known(out.ids):
                    late = self.now >= callback.due
                    why = Refusal.TIME_UP if late else Refusal.KEY_BLOCKED
                    self._not_sent(callback.id, out.host, why)
                self._unpark(out, list(out.ids))
        batch += self.inbox
        self.inbox = []

    def _guard(self):
        """Callbacks past their time that the module, having had its turn, has not ended."""
        while self.guards and self.guards[0][0] <= self.now:
            _, number, again = heappop(self.guards)
            callback = self.held.get(number)
            if callback is None or callback.state not in (TAKEN, HELD):
                continue
            # danger: the guard of one withdrawn earlier under the same id
            if callback.due + self.GUARD > self.now:
                continue
            # after a standstill its outcome may be on its way
            if callback.call is not None and not again:
                heappush(self.guards, (self.now + self.GUARD // 2, number, True))
                continue
            check_invariant(False, "ended_in_time", id=number, out=callback.call is not None)
            self._end_callback(callback, False, 0)
            self.inbox.append(interface.CallbackWithdrawn(number))

    PARKED = 1000 * MS  # while notices go unanswered: then others may have the slot

    def _parked_until(self, out):
        return min([out.since + self.PARKED, *(callback.due for callback in self.known(out.ids))])

    def _blocked(self, callback):
        return callback.state is TAKEN or callback.key in self.owed_keys

    def _release(self):
        """Sends off the parked calls that may go now."""
        if self.held_back or self.log_fails or self.list_by is not None:
            return
        for out in list(self.parked.values()):
            if not any(self._blocked(callback) for callback in self.known(out.ids)):
                self._go(out)

    def _go(self, out):
        host = self.hosts[out.host]
        ready = [c.id for c in self.known(out.ids) if self._may_begin(c, host)]
        self._unpark(out, [number for number in out.ids if number not in ready])
        if not out.ids:
            return
        del self.parked[out.number]
        self.calls[out.number], members = out, []
        for number, span in out.spans:
            if number in out.ids:
                c = self.held[number]
                c.call, c.sent, c.launches = out.number, (self.now, host.zone), c.launches + 1
                members.append(ev.Member(c.id, c.mark, c.body, min(out.since + span, c.due)))
        out.until = min(member.until for member in members)
        self.effects.append(
            ev.Call(
                out.number, host.id, host.address, self._kind(host).callbacks_per_call > 1, members
            )
        )

    def _begun(self, event):
        """Danger: logged as out while its connection still comes up, a callback that no host has seen is taken for one that may
        have run after a kill, and one that must not run twice is given up untried."""
        out = self.calls.get(event.call)
        if out is not None and not out.begun:
            for callback in self.known(out.ids):
                if callback.call == out.number:
                    callback.sent = self.now, callback.sent[1]
            self._log_launch(out)

    def _log_launch(self, out):
        ours = [c for c in self.known(out.ids) if c.call == out.number]
        out.begun = True
        if ours:
            self._log(
                "launch",
                ids=[c.id for c in ours],
                at=ours[0].sent[0],
                zone=ours[0].sent[1],
                call=out.number,
            )

    def _route(self, host):
        return host.id if self._kind(host).separate_routes else host.destination

    def _may_begin(self, callback, host) -> bool:
        """Whether a call of it may be begun there now."""
        first = next(iter(self.by_key.get(callback.key, {}).values()), callback) is callback
        refusal = permission.of_begin(
            callback, callback.state is HELD, first, self.stop_at, self.now
        ) or self._of_host(callback, host, self.now)
        if refusal is not None:
            self._not_sent(callback.id, host.id, refusal)
        return refusal is None

    def _not_sent(self, number, host, why) -> None:
        """Counts and logs why a callback that was chosen for a host did not go there."""
        self.refusals[why] += 1
        self.figures.not_sent[why] += 1
        check_invariant(not why.is_fault, "may_be_sent", id=number, why=why.value)
        callback = self.held.get(number)
        told = ev.NotSent(number, host, why)
        if callback is not None:
            told.state, told.left = callback.state, callback.due - self.now
            told.launches = callback.launches
        self.effects.append(told)

    def _reason(self, end) -> Refusal:
        """Why it was not sent; a host that says "over" may mean an end by this relay, or one that it was never told of."""
        callback = self.held.get(end.id)
        if end.why is Refusal.HOST_SAYS_OVER and (callback is None or callback.state is not HELD):
            return Refusal.CALLED_AFTER_END
        return end.why

    def _of_host(self, callback, host, now) -> Optional[Refusal]:
        return permission.of_route(
            host, self.hosts.waits.get(self._route(host), 0), now
        ) or permission.of_repeat(callback, self.set.callback_classes[callback.category], now)

    def refusal(self, number, now) -> Optional[Refusal]:
        """Why that call may not be written any more, or None. Changes nothing.

        Danger: a connection takes its time to come up, as does the append of a launch. Meanwhile callbacks end, hosts drain, and
        windows run out.
        """
        out = self.calls.get(number)
        if out is None:
            return Refusal.CALLED_OFF
        host = self.hosts[out.host]
        for ident in out.ids:
            callback = self.held.get(ident)
            held = callback is not None and callback.state is HELD
            refusal = permission.of_call(callback, number, held, out.until, self.stop_at, now)
            refusal = refusal or self._of_host(callback, host, now)
            if refusal is not None:
                return refusal
        return None

    def _unpark(self, out, ids):
        """Launches that never left the relay."""
        self.inbox += [
            interface.Outcome(number, 0, out.host, Result.NOT_SENT, 0, 0, False, unsent=True)
            for number in ids
        ]
        out.ids = [number for number in out.ids if number not in ids]
        if not out.ids:
            self.parked.pop(out.number, None)

    def settle_launch(self, callback, result, at, unsent=False):
        """What a launch's outcome leaves behind for later ones and for other callbacks of the key."""
        sent, callback.sent, callback.call = callback.sent, None, None
        callback.launches -= unsent
        if sent is not None and result.may_have_run and callback.ran_at is None:
            callback.ran_at, callback.ran_zone = sent
        if result.may_still_run and callback.key is not None and self.set.key_cooldown:
            self.rests[callback.key] = max(
                self.rests.get(callback.key, 0), at + self.set.key_cooldown
            )

    def _ended(self, event):
        out = self.calls.get(event.call)
        if not check_invariant(out is not None, "end_of_a_call_that_is_out", call=event.call):
            return
        ends = [end for end in event.ends if end.id in out.ids]
        check_invariant(len(ends) == len(event.ends), "one_outcome_each", call=event.call)
        # it counts as a launch, if one that never ran
        if not out.begun and any(not end.unsent for end in ends):
            self._log_launch(out)
        out.ids = [number for number in out.ids if all(end.id != number for end in ends)]
        if not out.ids:
            del self.calls[event.call]
        ended = [row for end in ends if (row := self._end_launch(out, end, event)) is not None]
        if ended and out.begun:  # else the log never had it as out
            self._log("end", ends=ended, at=self.now)
        self._release()
        if len(self.rests) > 2 * len(self.held) + 64:
            self.rests = {key: until for key, until in self.rests.items() if until > self.now}

    def _end_launch(self, out, end, event) -> Optional[list]:
        """One callback of a call that has ended; its row for the log, None if the call is not its own any more."""
        if end.why is not None:
            self._not_sent(end.id, out.host, self._reason(end))
        if end.wait:
            self.hosts.add_wait(self._route(self.hosts[out.host]), self.now + end.wait)
        callback = self.held.get(end.id)
        if callback is None or callback.call != out.number:
            self._tell_outcome(out, end, event, closed=True, launches=1)
            return None
        launches, doubt = callback.launches, end.result.may_still_run
        self.final_notices.call_ended(
            callback, out.number, event.written_at, event.unread_until, doubt
        )
        self.settle_launch(callback, end.result, self.now, end.unsent)
        over = end.closed and callback.state is not OWED
        if over:
            self._count(callback, DELIVERED if end.result is Result.DELIVERED else FAULTED)
            self.move(callback, OVER)
        self._tell_outcome(out, end, event, end.closed, launches)
        return [end.id, end.result.value, over, end.unsent]

    def _tell_outcome(self, out, end, event, closed: bool, launches: int) -> None:
        """The decision module is to hear of it; `launches` of the callback, with this one."""
        self.inbox.append(
            interface.Outcome(
                end.id,
                launches - 1,
                out.host,
                end.result,
                event.took,
                end.wait,
                closed,
                event.told_rate,
                end.spent,
                end.unsent,
                advertised_share_left=event.told_left,
            )
        )

    def _noticed(self, event):
        ids = [c.id for c in self.known(event.ids) if c.state is OWED]
        for number in ids:
            self.move(self.held[number], OVER)
        if ids:
            self._log("over", ids=ids)
            self._release()

    # The list, the start and the end

    def _listed(self, event):
        if event.scope is not interface.ListScope.FAILED:
            whole = event.scope is not interface.ListScope.UPDATE
            changed = self.told.take(event.hosts, whole, event.version, event.source)
            # before anything of it is acted on; danger: the next process knows only what is written
            if changed:
                self._log("list", **self.told.record(changed))
            useless = self.hosts.take_list(event.hosts, whole)
            self.effects += [ev.CloseIdle(host) for host in useless]
        busy = {out.host for out in (*self.calls.values(), *self.parked.values())}
        self.hosts.forget(busy, self.now)
        if event.scope is not interface.ListScope.RESTORED and self.list_by is not None:
            self.list_by = None
            self._release()
        self.inbox.append(
            interface.HostListUpdate(
                event.scope,
                [
                    interface.HostEntry(
                        h.id,
                        h.zone,
                        h.kind,
                        h.destination,
                        h.condition,
                        h.units,
                        self.hosts.is_away(h.id, self.now),
                    )
                    for h in event.hosts
                ],
            )
        )

    def _retuned(self, event):
        """New settings. What is held keeps its category, also over a restart; the module hears of it with the next step."""
        self.classes.renew(
            event.names, event.settings.callback_classes, {c.category for c in self.held.values()}
        )
        self.set = replace(event.settings, callback_classes=self.classes.rows)
        self.figures.name(event.names)
        self.effects += [ev.Append(record) for record in self.classes.records()]
        self.inbox.append(interface.NewSettings(self.set))

    # many times what discovery takes to answer; what waits so long loses little of its time
    LIST_WITHIN = 300 * MS

    def _begin(self, _):
        """After a start: launches that were out when the process ended may have run; all that is owed goes on.

        Danger: what discovery wrote to the process before, which was killed with it unread, counts as told.
        """
        if self.restarted:
            self.list_by = self.now + self.LIST_WITHIN
        self.effects += [ev.Append(record) for record in self.classes.records()]
        out = [
            callback
            for callback in self.held.values()
            if callback.sent is not None and callback.call is None
        ]
        for callback in out:
            self.final_notices.recovered(callback, callback.sent[0] or self.now)
            self.settle_launch(callback, Result.RESET, self.now)
        if not self.inherited:
            self.final_notices.started(self.held.values(), self.now)
        for key in self.unsettled:
            self.rests[key] = max(self.rests.get(key, 0), self.now + self.set.key_cooldown)
        self.unsettled = {}
        # danger: the next process, after another kill, would not know of the rest that these keys have now
        if out:
            self._log(
                "end", ends=[[c.id, Result.RESET.value, False, False] for c in out], at=self.now
            )
        for callback in self.held.values():
            if callback.state is OWED:
                # its end is this process's to bring about
                self._count(callback, THROTTLED if callback.denied else FAULTED)
                self._notify(callback)
            else:
                self._hand_over(callback)
        self.under = {}

    def _hold(self, event):
        self.held_back = event.on
        self._release()

    def estate(self):
        """What the log does not tell, for `Inherited` in the next process, as plain data."""
        return {"waits": list(self.hosts.waits.items())}, self.module.learned_state()

    def _inherited(self, event):
        """Danger: a call that goes on with the next process, taken for ended, has its callback run twice."""
        self.restarted, self.inherited = False, True
        for number, host, ids, start, until in event.calls:
            out = PendingCall(number, host, [(i, 0) for i in ids], start, begun=True)
            out.until, self.calls[number] = until, out
            self.under[number] = interface.HandedOverCall(number, host, start, until - start)
            self.serial = max(self.serial, number)
            for callback in self.known(ids):
                callback.call = number
        unsent = [
            c
            for c in self.held.values()
            if c.sent is not None and c.call is None and c.id not in event.lost
        ]
        # the earlier process had not written these calls whole, and does not any more
        for callback in unsent:
            self.settle_launch(callback, Result.NOT_SENT, self.now, True)
        if unsent:
            self._log(
                "end",
                ends=[[c.id, Result.NOT_SENT.value, False, True] for c in unsent],
                at=self.now,
            )
        self.hosts.waits.update(event.waits)
        self.inbox.append(interface.LearnedState(event.learnt))

    def _start_again(self):
        """The same after the module or this code broke, with this process's calls given up first."""
        for out in self.calls.values():
            self.effects.append(ev.Abort(out.number))
        ends = [c for c in self.held.values() if c.call is not None]
        for callback in ends:
            begun = self.calls[callback.call].begun if callback.call in self.calls else True
            if begun and callback.sent is not None:
                self.final_notices.recovered(callback, callback.sent[0])
            self.settle_launch(
                callback, Result.RESET if begun else Result.NOT_SENT, self.now, not begun
            )
            if begun:
                self._log(
                    "end", ends=[[callback.id, Result.RESET.value, False, False]], at=self.now
                )
        self.calls, self.parked, self.inbox, self.wake_at, self.guards = {}, {}, [], None, []
        self.seed += 1
        self.module = self.make_module(self.set, self.seed)
        self._listed(ev.Listed(interface.ListScope.RESTORED, list(self.hosts.values())))
        for callback in self.held.values():
            if callback.state is not OWED:
                self._hand_over(callback)
        if self.stop_at is not None:
            self.inbox.append(interface.RelayStopping(self.stop_at))

    def _stop(self, event):
        self.stop_at = event.at
        self.inbox.append(interface.RelayStopping(event.at))
