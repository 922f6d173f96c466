"""Holds all state of a relay except its decisions, and is the one place where that state changes.

`Core.reduce` takes an event and returns effects, which the caller carries out in order. The reducer
does no input or output and reads no clock. `Step` events drive the decision module of
molehill/decisions/ with all events since the last step. The calls that it asks for become effects.
They are delayed only while a call may not start yet: the client has not been told that the callback
is accepted, or an earlier callback of the same key ended with a final notice that the platform has
not answered.
"""

from collections import Counter
from dataclasses import replace
from heapq import heappop, heappush
from typing import Optional

from molehill import interface
from molehill.config import DEFAULT_CONNECT_TIMEOUT, MS
from molehill.core import events as ev
from molehill.core import permission, recovery
from molehill.core.callback import (
    ACKNOWLEDGED,
    COMPLETED,
    LOGGED,
    NEXT_STATES,
    NOTICE_PENDING,
    RECEIVED,
    Callback,
    PendingCall,
)
from molehill.core.classes import ClassTable
from molehill.core.final_notices import FinalNotices
from molehill.core.host_list import ReceivedList
from molehill.core.host_table import HostTable
from molehill.core.list_updates import ListUpdates
from molehill.core.metrics import DELIVERED, FAULTED, THROTTLED, Metrics
from molehill.core.permission import Refusal
from molehill.core.recent_ids import RecentIds
from molehill.core.zones import ZoneTable
from molehill.interface import Result
from molehill.invariants import check_invariant

# HTTP statuses of answers to clients
STATUS_ACCEPTED, STATUS_UNAVAILABLE, STATUS_FAILED = 202, 503, 500

# completed ids that are kept to recognize a request sent again: minutes of traffic
COMPLETED_IDS_KEPT = 4096
# ids refused or failed before they were accepted: kept for longer than a copy is on its way
REFUSED_IDS_KEPT = 1024


DEFAULT_ZONE_COUNT = 16  # where zones have no names


class Core:
    """The callbacks, calls and hosts of one relay.

    `reduce` is the only entry point, except for the log's records, which are loaded at a start.
    """

    def __init__(
        self,
        settings,
        seed,
        make_module,
        log_capacity,
        names=None,
        connect_timeout=DEFAULT_CONNECT_TIMEOUT,
        zones=None,
    ):
        """Starts with empty state, until the log's records are loaded.

        `make_module(settings, seed)` returns the decision module. `log_capacity`: bytes of the log
        that callbacks and the host list may take up. `names`: the settings' class names, which the
        metrics and the log use; their numbers by default. `connect_timeout`: nanoseconds, see
        core/final_notices.py. `zones`: number of each zone by its name, shared with the reader of
        host lists; by default names are the numbers as text.
        """
        default_zones = {str(number): number for number in range(DEFAULT_ZONE_COUNT)}
        self.zones = ZoneTable(default_zones if zones is None else zones)
        self.final_notices = FinalNotices(connect_timeout)
        self.seed, self.make_module, self.log_capacity = seed, make_module, log_capacity
        names = [str(n) for n in range(len(settings.callback_classes))] if names is None else names
        self.classes, self.metrics = ClassTable(names, settings.callback_classes), Metrics(names)
        # shares one list of classes with the decision module
        self.settings = replace(settings, callback_classes=self.classes.definitions)
        self.received_list = ReceivedList()  # the list of hosts as it is in the log
        # the log was written by an earlier process, which handed nothing over
        self.is_restart = False
        self.is_handover = False  # an earlier process handed its state over
        self.recovery = recovery.Recovery(self)
        self.module, self.inbox, self.now, self.effects = (
            make_module(self.settings, seed),
            [],
            0,
            [],
        )
        self.callbacks: dict[str, Callback] = {}  # in order of submission
        # log bytes in use; callbacks that the module has not ended
        self.log_bytes_used, self.open_count = 0, 0
        self.recently_completed = RecentIds(COMPLETED_IDS_KEPT)  # id -> digest of its contents
        # id -> digest of its contents, and the status that it was answered with
        self.recently_refused = RecentIds(REFUSED_IDS_KEPT)
        self.calls, self.queued_calls, self.last_call_number = {}, {}, 0
        self.keys_awaiting_notice: dict[str, int] = {}
        # pending callbacks of ordered classes, by key, in order of submission
        self.callbacks_by_key: dict[str, dict[str, Callback]] = {}
        # why callbacks were not sent, since the last log line of counts
        self.refusal_counts: Counter[Refusal] = Counter()
        self.cooldowns: dict[str, int] = {}
        # while the log is read: keys with an attempt whose outcome is not in the log
        self.unsettled_keys: dict[str, bool] = {}
        self.hosts = HostTable(self.metrics)
        self.overdue_checks, self.wake_at, self.stop_at = [], None, None
        # whether no call may be started; calls that an earlier process wrote, by number
        self.calls_paused, self.inherited_calls = False, {}
        # the log takes no records: no call is started either
        self.log_failing = False
        # after a restart no call is started before discovery has answered or failed, or this time
        # has come
        self.list_deadline: Optional[int] = None
        self.list_updates = ListUpdates(self)
        self.handlers = {
            ev.Startup: self._on_start,
            ev.Submitted: self._on_submitted,
            ev.AnswerWritten: self._on_answer_written,
            ev.AnswerNotWritten: self._on_answer_not_written,
            ev.AppendFailed: self._on_append_failed,
            ev.EndNotLogged: self._on_end_not_logged,
            ev.LogWritable: self._on_log_writable,
            ev.CallConnected: self._on_call_connected,
            ev.CallEnded: self._on_call_ended,
            ev.HostFinishedReading: self._on_host_finished_reading,
            ev.NoticesDelivered: self._on_notices_delivered,
            **self.list_updates.handlers,
            ev.Step: self._on_step,
            ev.Stop: self._on_stop,
            ev.SettingsChanged: self._on_settings_changed,
            ev.PauseCalls: self._on_pause_calls,
            ev.HandoverReceived: self._on_handover_received,
        }

    def reduce(self, now, event):
        """Applies one event at time `now` (nanoseconds) and returns its effects, in order."""
        self.now, self.effects = max(now, self.now), []
        try:
            self.handlers[type(event)](event)
        # A fault here or in the module: the module is rebuilt as after a restart, so that
        # nothing is lost.
        except Exception as error:
            check_invariant(False, "reduce", what=type(event).__name__, error=repr(error))
            self._restart_module()
        return self.effects

    def next_step_at(self):
        """Returns when the module must be stepped even if no event arrives.

        None means that it needs no step until an event arrives.
        """
        times = [
            time
            for time in (
                self.wake_at,
                self.overdue_checks[0][0] if self.overdue_checks else None,
                self.list_deadline,
            )
            if time is not None
        ]
        times += [self._queued_until(call) for call in self.queued_calls.values()]
        return min(times, default=None)

    # The log

    def log_record(self, kind, body=b"", **fields):
        """Appends a record of this kind to the log."""
        self.effects.append(ev.Append({"k": kind, **fields}, body))

    def load(self, record, body):
        """Applies one record of the log at a start; later records override earlier ones."""
        self.recovery.load(record, body)
        self.is_restart = self.is_restart or record["k"] == "list"

    def load_corrupt(self, data):
        """Handles bytes of the log that can't be read."""
        self.recovery.load_corrupt(data)

    def snapshot(self):
        """Yields the records of everything pending; a log of just these replaces a longer one."""
        return recovery.snapshot(self)

    def set_health(self, host, ejected, at):
        """Records that a host was ejected, or has answered again since `at` (nanoseconds)."""
        slow_start_end = None if ejected else at + (self.settings.slow_start_time or 0)
        self.hosts.set_health(host, slow_start_end)

    def find_callbacks(self, ids):
        """Returns the callbacks with these ids; unknown ids are skipped."""
        return [self.callbacks[callback_id] for callback_id in ids if callback_id in self.callbacks]

    # Callbacks

    def set_state(self, callback, state):
        """Changes a callback's state; every such change is made here."""
        before = callback.state
        check_invariant(
            state in NEXT_STATES[before],
            "callback_state",
            id=callback.id,
            before=before,
            after=state,
        )
        callback.state = state
        if before is None:
            self.log_bytes_used += callback.log_bytes
            if (
                callback.key is not None
                and self.settings.callback_classes[callback.callback_class].ordered
            ):
                self.callbacks_by_key.setdefault(callback.key, {})[callback.id] = callback
        self.open_count += (state in (RECEIVED, LOGGED, ACKNOWLEDGED)) - (
            before in (RECEIVED, LOGGED, ACKNOWLEDGED)
        )
        self.metrics.open_requests += (state in (LOGGED, ACKNOWLEDGED)) - (
            before in (LOGGED, ACKNOWLEDGED)
        )
        key = callback.key
        if state is NOTICE_PENDING and key is not None:
            self.keys_awaiting_notice[key] = self.keys_awaiting_notice.get(key, 0) + 1
        if before is NOTICE_PENDING and key is not None:
            self.keys_awaiting_notice[key] -= 1
            if not self.keys_awaiting_notice[key]:
                del self.keys_awaiting_notice[key]
        if state in (NOTICE_PENDING, COMPLETED) and callback.body:
            self.log_bytes_used -= len(callback.body)
            callback.log_bytes, callback.body = callback.log_bytes - len(callback.body), b""
        if state is COMPLETED:
            self.log_bytes_used -= callback.log_bytes
            del self.callbacks[callback.id]
            same_key = self.callbacks_by_key.get(key)
            if same_key is not None:
                same_key.pop(callback.id, None)
                if not same_key:
                    del self.callbacks_by_key[key]
            if before in (ACKNOWLEDGED, NOTICE_PENDING):
                self.recently_completed.add(callback.id, callback.digest)

    # half of what the rules allow between a callback's deadline and its loss
    OVERDUE_CHECK_DELAY = 150 * MS

    def _on_submitted(self, event):
        submission, digest = event.submission, event.submission.digest()
        existing = self.callbacks.get(submission.id)
        known_digest = (
            existing.digest if existing is not None else self.recently_completed.get(submission.id)
        )
        # Another client may use an id that is not its own, before or after the real request. A
        # client that is told "accepted" for contents that it did not submit goes on with the next
        # callback of its key. After a refusal, either client may submit again under a new id.
        if known_digest is not None and known_digest != digest:
            self._count_end(submission, THROTTLED)
            self.effects.append(
                ev.Answer(event.client, submission.id, STATUS_UNAVAILABLE, reason="id of another")
            )
        elif existing is not None:
            self._answer_copy(existing, event.client)
        elif submission.id in self.recently_completed:
            self.effects.append(ev.Answer(event.client, submission.id, STATUS_ACCEPTED))
        # Otherwise a copy of a request that already had its final answer would be accepted, and
        # sent to a host after that answer.
        elif (refused := self.recently_refused.get(submission.id)) is not None and refused[
            0
        ] == digest:
            answer = ev.Answer(event.client, submission.id, refused[1], reason="refused before")
            self.effects.append(answer)
        else:
            self._accept_new(Callback(submission, digest), event.client)

    def _answer_copy(self, existing, client):
        """Answers a request that was sent again on a new connection.

        Each of its connections gets the answer.
        """
        if existing.state in (RECEIVED, LOGGED):
            existing.clients.append(client)
        if existing.state is not RECEIVED:
            self.effects.append(ev.Answer(client, existing.id, STATUS_ACCEPTED))

    def _accept_new(self, callback, client):
        full = (
            self.settings.max_pending is not None and self.open_count >= self.settings.max_pending
        )
        if (
            full
            or self.log_bytes_used + self.received_list.log_bytes + callback.log_bytes
            > self.log_capacity
        ):
            self._count_end(callback, THROTTLED)
            self.recently_refused.add(callback.id, (callback.digest, STATUS_UNAVAILABLE))
            self.effects.append(ev.Answer(client, callback.id, STATUS_UNAVAILABLE))
            return
        self.callbacks[callback.id] = callback
        callback.clients.append(client)
        self.set_state(callback, RECEIVED)
        self._offer_to_module(callback)

    def _answer_clients(self, callback, status, retry_after=0):
        """Answers on every connection on which the callback was submitted."""
        self.effects += [
            ev.Answer(client, callback.id, status, retry_after) for client in callback.clients
        ]

    def _count_end(self, callback, outcome):
        """Counts the end of a callback, once for each callback, whatever happens to it later."""
        self.metrics.end_counts[self.classes.names[callback.callback_class]][outcome] += 1

    def count_rejected(self, name):
        """Counts a request of that class that was refused before it reached the reducer."""
        if name in self.classes.numbers:
            self.metrics.end_counts[name][THROTTLED] += 1

    def _offer_to_module(self, callback):
        """Passes a callback to the module, with its history under earlier processes or modules."""
        cooldown_until = self.cooldowns.get(callback.key, 0) if callback.key is not None else 0
        self.inbox.append(
            interface.NewCallback(
                callback.id,
                callback.callback_class,
                callback.tenant,
                callback.key,
                callback.deadline,
                callback.destination,
                callback.attempts,
                callback.ran_at,
                callback.ran_zone,
                cooldown_until if cooldown_until > self.now else 0,
                self.inherited_calls.get(callback.call),
                callback.state is not RECEIVED,
            )
        )
        heappush(
            self.overdue_checks, (callback.deadline + self.OVERDUE_CHECK_DELAY, callback.id, False)
        )

    def _on_answer_written(self, event):
        """Marks the callback as acknowledged once its own client has been answered.

        An answer to another client's copy, written late, must not count as the acknowledgement.
        """
        callback = self.callbacks.get(event.id)
        if callback is not None and callback.state is LOGGED and event.client in callback.clients:
            callback.clients.clear()
            self.set_state(callback, ACKNOWLEDGED)
            self.start_ready_calls()

    def _on_answer_not_written(self, event):
        callback = self.callbacks.get(event.id)
        if (
            callback is None
            or callback.state not in (RECEIVED, LOGGED)
            or event.client not in callback.clients
        ):
            return
        callback.clients.remove(event.client)
        if not callback.clients:
            self._withdraw(callback)

    def _withdraw(self, callback, logged=True):
        """Drops a callback that no client was told is accepted; the client may submit it again."""
        self.inbox.append(interface.CallbackWithdrawn(callback.id))
        if logged:
            self.log_record("over", ids=[callback.id])
        self.set_state(callback, COMPLETED)
        for call in list(self.queued_calls.values()):
            if callback.id in call.ids:
                self._unqueue(call, [callback.id])
        self.start_ready_calls()

    def _on_append_failed(self, event):
        """Refuses the callbacks and cancels the attempts whose records could not be written.

        No call starts until the log takes records again: otherwise attempts would be refused as
        fast as the module asks for them, and each would open a connection to its host for nothing.
        """
        self.log_failing = True
        for record in event.records:
            if record["k"] == "taken" and record["id"] in self.callbacks:
                callback = self.callbacks[record["id"]]
                self._count_end(callback, THROTTLED)
                self._answer_clients(callback, STATUS_UNAVAILABLE)
                self.recently_refused.add(callback.id, (callback.digest, STATUS_UNAVAILABLE))
                self._withdraw(callback, logged=False)
            elif record["k"] == "launch":
                call = self.calls.get(record["call"])
                if call is not None:
                    call.is_logged = False
                    self.effects.append(ev.Abort(call.number))
                    self._on_call_ended(
                        ev.CallEnded(
                            call.number,
                            0,
                            [
                                ev.AttemptOutcome(
                                    i, Result.NOT_SENT, unsent=True, reason=Refusal.NOT_LOGGED
                                )
                                for i in call.ids
                            ],
                        )
                    )

    def _on_end_not_logged(self, event):
        """Sends the notice of a callback whose end the log has not taken by its deadline.

        A rejection becomes a failure: if a kill lost an unlogged rejection that was already sent,
        the next process would report the callback as failed, since its deadline has passed.
        """
        callback = self.callbacks.get(event.id)
        if callback is None or callback.state is not NOTICE_PENDING:
            return
        if callback.rejected:
            counts = self.metrics.end_counts[self.classes.names[callback.callback_class]]
            counts[THROTTLED] -= 1
            counts[FAULTED] += 1
            callback.rejected, callback.retry_after = False, 0
            self.log_record("owed", id=callback.id, denied=False, wait=0)
        self._send_notice(callback)

    def _on_log_writable(self, _):
        self.log_failing = False
        self.start_ready_calls()

    # Calls

    def _end_callback(self, callback, rejected, retry_after):
        """Ends a callback without a delivery, by a rejection or a failure."""
        self._count_end(callback, THROTTLED if rejected else FAULTED)
        if callback.state is RECEIVED:
            status = STATUS_UNAVAILABLE if rejected else STATUS_FAILED
            self._answer_clients(callback, status, retry_after)
            self.recently_refused.add(callback.id, (callback.digest, status))
            self.set_state(callback, COMPLETED)
            return
        callback.rejected, callback.retry_after = rejected, retry_after
        self.log_record("owed", id=callback.id, denied=rejected, wait=retry_after)
        self.set_state(callback, NOTICE_PENDING)
        self._send_notice(callback)

    def _send_notice(self, callback):
        not_before = self.final_notices.not_before(callback)
        self.effects.append(
            ev.Notify(
                callback.id, callback.rejected, callback.retry_after, not_before, callback.deadline
            )
        )

    def _on_host_finished_reading(self, event):
        for callback in self.find_callbacks(self.final_notices.pop_call(event.call)):
            was_unread = event.confirmed and callback.unread_calls.pop(event.call, None) is not None
            if was_unread and callback.state is NOTICE_PENDING:
                self._send_notice(callback)

    def _on_step(self, _):
        now, events, self.inbox = self.now, self.inbox, []
        if self.list_deadline is not None and self.list_deadline <= now:
            self.list_deadline = None
        self._expire_queued_calls(events)
        if self.wake_at is not None and self.wake_at <= now:
            self.wake_at = None
            events.append(interface.TimerExpired("wake"))
        actions = self.module.step(now, events)
        ended = {a.callback for a in actions if type(a) in (interface.Reject, interface.Fail)}
        for event in events:
            if type(event) is interface.NewCallback and event.callback not in ended:
                self._accept(event.callback)
        for action in actions:
            self._run_action(action)
        attempts = [action for action in actions if type(action) is interface.StartAttempt]
        self._queue_calls(attempts)
        self.start_ready_calls()
        self._check_overdue()

    def _accept(self, callback_id):
        """Accepts a callback that the module keeps; its client is answered once it is logged."""
        callback = self.callbacks.get(callback_id)
        if callback is not None and callback.state is RECEIVED:
            self.log_record("taken", callback.body, **recovery.submitted_fields(callback))
            self.set_state(callback, LOGGED)
            self._answer_clients(callback, STATUS_ACCEPTED)

    def _run_action(self, action):
        """Carries out one action of the module other than an attempt."""
        kind = type(action)
        if kind is interface.SetTimer:
            self.wake_at = self.now + action.delay
        elif kind is interface.WatchHostList:
            self.effects.append(ev.WatchHostList())
        elif kind is interface.CloseIdle:
            self.effects.append(ev.CloseIdle(action.host))
        elif kind is interface.ReportHealth:
            self.set_health(action.host, action.ejected, self.now)
            self.log_record("health", host=action.host, away=action.ejected, at=self.now)
            self.effects.append(ev.LogMessage(action.text))
        elif kind is interface.LogMessage:
            self.effects.append(ev.LogMessage(action.text))
        elif kind in (interface.Reject, interface.Fail) and action.callback in self.callbacks:
            rejected = kind is interface.Reject
            retry_after = action.retry_after if rejected else 0
            self._end_callback(self.callbacks[action.callback], rejected, retry_after)

    def _queue_calls(self, attempts):
        """Groups attempts into queued calls, each with as many callbacks as its host takes."""
        timeouts_by_host = {}
        for attempt in attempts:
            timeouts_by_host.setdefault(attempt.host, []).append(
                (attempt.callback, attempt.timeout)
            )
        for host, timeouts in timeouts_by_host.items():
            size = self._kind_of(self.hosts[host]).callbacks_per_call
            for start in range(0, len(timeouts), size):
                self.last_call_number += 1
                call = PendingCall(
                    self.last_call_number, host, timeouts[start : start + size], self.now
                )
                self.queued_calls[self.last_call_number] = call

    def _kind_of(self, host):
        return (
            self.settings.kinds[host.kind]
            if host.kind < len(self.settings.kinds)
            else interface.HostKind(False, 1)
        )

    def _expire_queued_calls(self, events):
        """Gives queued calls whose time is up back to the module."""
        for call in list(self.queued_calls.values()):
            if self._queued_until(call) <= self.now:
                for callback in self.find_callbacks(call.ids):
                    is_past_deadline = self.now >= callback.deadline
                    reason = (
                        Refusal.TIME_UP if is_past_deadline else self.list_updates.queue_refusal()
                    )
                    self._report_not_sent(callback.id, call.host, reason)
                self._unqueue(call, list(call.ids))
        events += self.inbox
        self.inbox = []

    def _check_overdue(self):
        """Ends callbacks past their deadline that the module has not ended in its own step."""
        while self.overdue_checks and self.overdue_checks[0][0] <= self.now:
            _, callback_id, is_second_check = heappop(self.overdue_checks)
            callback = self.callbacks.get(callback_id)
            if callback is None or callback.state not in (LOGGED, ACKNOWLEDGED):
                continue
            # this check belongs to a callback withdrawn earlier under the same id
            if callback.deadline + self.OVERDUE_CHECK_DELAY > self.now:
                continue
            # after a stall of the process, the outcome of the callback's call may not be read yet
            if callback.call is not None and not is_second_check:
                heappush(
                    self.overdue_checks,
                    (self.now + self.OVERDUE_CHECK_DELAY // 2, callback_id, True),
                )
                continue
            check_invariant(False, "ended_in_time", id=callback_id, out=callback.call is not None)
            self._end_callback(callback, False, 0)
            self.inbox.append(interface.CallbackWithdrawn(callback_id))

    # A call waits this long for a notice to be answered; then others may use its slot.
    QUEUE_TIMEOUT = 1000 * MS

    def _queued_until(self, call):
        return min(
            [
                max(call.created_at + self.QUEUE_TIMEOUT, self.list_deadline or 0),
                *(callback.deadline for callback in self.find_callbacks(call.ids)),
            ]
        )

    def _is_blocked(self, callback):
        return callback.state is LOGGED or callback.key in self.keys_awaiting_notice

    def start_ready_calls(self):
        """Starts the queued calls that may start now."""
        if self.calls_paused or self.log_failing or self.list_deadline is not None:
            return
        if self.queued_calls and self.list_updates.has_expired(self.now):
            self.list_updates.note_expiry()
            return
        for call in list(self.queued_calls.values()):
            if not any(self._is_blocked(callback) for callback in self.find_callbacks(call.ids)):
                self._start_call(call)

    def _start_call(self, call):
        host = self.hosts[call.host]
        ready = [
            callback.id
            for callback in self.find_callbacks(call.ids)
            if self._may_start(callback, host)
        ]
        self._unqueue(call, [callback_id for callback_id in call.ids if callback_id not in ready])
        if not call.ids:
            return
        del self.queued_calls[call.number]
        self.calls[call.number], callbacks = call, []
        for callback_id, timeout in call.timeouts:
            if callback_id in call.ids:
                callback = self.callbacks[callback_id]
                callback.call, callback.current_attempt, callback.attempts = (
                    call.number,
                    (self.now, host.zone),
                    callback.attempts + 1,
                )
                callbacks.append(
                    ev.OutgoingCallback(
                        callback.id,
                        callback.idempotency_key,
                        callback.body,
                        min(call.created_at + timeout, callback.deadline),
                    )
                )
        call.deadline = min(entry.deadline for entry in callbacks)
        self.effects.append(
            ev.Call(
                call.number,
                host.id,
                host.address,
                self._kind_of(host).callbacks_per_call > 1,
                callbacks,
            )
        )

    def _on_call_connected(self, event):
        """Logs the attempts of a call once its connection is up.

        If they were logged earlier, a callback that no host has seen would count after a kill as
        one that may have run, and one that must not run twice would be given up untried.
        """
        call = self.calls.get(event.call)
        if call is not None and not call.is_logged:
            for callback in self.find_callbacks(call.ids):
                if callback.call == call.number:
                    callback.current_attempt = self.now, callback.current_attempt[1]
            self._log_attempts(call)

    def _log_attempts(self, call):
        current_callbacks = [c for c in self.find_callbacks(call.ids) if c.call == call.number]
        call.is_logged = True
        if current_callbacks:
            at, zone = current_callbacks[0].current_attempt
            self.log_record(
                "launch",
                ids=[c.id for c in current_callbacks],
                at=at,
                zone=zone,
                zone_name=self.zones.name_of(zone),
                call=call.number,
            )

    def _route(self, host):
        return host.id if self._kind_of(host).separate_routes else host.destination

    def _may_start(self, callback, host) -> bool:
        """Whether a call with this callback may be started at that host now; reports a refusal."""
        first = (
            next(iter(self.callbacks_by_key.get(callback.key, {}).values()), callback) is callback
        )
        refusal = permission.check_start(
            callback, callback.state is ACKNOWLEDGED, first, self.stop_at, self.now
        ) or self._host_refusal(callback, host, self.now)
        if refusal is not None:
            self._report_not_sent(callback.id, host.id, refusal)
        return refusal is None

    def _report_not_sent(self, callback_id, host, reason) -> None:
        """Counts and logs why a callback was not sent to the host that was chosen for it."""
        self.refusal_counts[reason] += 1
        self.metrics.not_sent[reason] += 1
        check_invariant(not reason.is_fault, "may_be_sent", id=callback_id, why=reason.value)
        callback = self.callbacks.get(callback_id)
        effect = ev.NotSent(callback_id, host, reason)
        if callback is not None:
            effect.state, effect.time_left = callback.state, callback.deadline - self.now
            effect.attempts = callback.attempts
        self.effects.append(effect)

    def _not_sent_reason(self, outcome) -> Refusal:
        """Returns why a callback was not sent.

        A host's answer "over" (410) may mean an end by this relay, or one that this relay does not
        know of.
        """
        callback = self.callbacks.get(outcome.id)
        if outcome.reason is Refusal.HOST_SAYS_OVER and (
            callback is None or callback.state is not ACKNOWLEDGED
        ):
            return Refusal.CALLED_AFTER_END
        return outcome.reason

    def _host_refusal(self, callback, host, now) -> Optional[Refusal]:
        return permission.check_route(
            host,
            self.list_updates.has_expired(now),
            self.hosts.retry_times.get(self._route(host), 0),
            now,
        ) or permission.check_repeat(
            callback, self.settings.callback_classes[callback.callback_class], now
        )

    def refusal(self, call_number, now) -> Optional[Refusal]:
        """Returns why that call may not be written any more, or None. Changes nothing.

        Connecting and appending the attempts to the log take time. Meanwhile callbacks may end,
        hosts may begin to drain, and deduplication windows may run out.
        """
        call = self.calls.get(call_number)
        if call is None:
            return Refusal.CALLED_OFF
        host = self.hosts[call.host]
        for callback_id in call.ids:
            callback = self.callbacks.get(callback_id)
            is_pending = callback is not None and callback.state is ACKNOWLEDGED
            refusal = permission.check_call(
                callback, call_number, is_pending, call.deadline, self.stop_at, now
            )
            refusal = refusal or self._host_refusal(callback, host, now)
            if refusal is not None:
                return refusal
        return None

    def _unqueue(self, call, ids):
        """Takes callbacks out of a queued call; their attempts never left the relay."""
        self.inbox += [
            interface.Outcome(callback_id, 0, call.host, Result.NOT_SENT, 0, 0, False, unsent=True)
            for callback_id in ids
        ]
        call.ids = [callback_id for callback_id in call.ids if callback_id not in ids]
        if not call.ids:
            self.queued_calls.pop(call.number, None)

    def settle_attempt(self, callback, result, at, unsent=False):
        """Records what an attempt's outcome means for later attempts and for its key.

        `at`: when it ended, in nanoseconds. `unsent`: it never left the relay, and isn't counted.
        """
        attempt, callback.current_attempt, callback.call = callback.current_attempt, None, None
        callback.attempts -= unsent
        if attempt is not None and result.may_have_run and callback.ran_at is None:
            callback.ran_at, callback.ran_zone = attempt
        if result.may_still_run and callback.key is not None and self.settings.key_cooldown:
            self.cooldowns[callback.key] = max(
                self.cooldowns.get(callback.key, 0), at + self.settings.key_cooldown
            )

    def _on_call_ended(self, event):
        call = self.calls.get(event.call)
        if not check_invariant(call is not None, "end_of_a_call_that_is_out", call=event.call):
            return
        outcomes = [outcome for outcome in event.outcomes if outcome.id in call.ids]
        check_invariant(len(outcomes) == len(event.outcomes), "one_outcome_each", call=event.call)
        # it counts as an attempt, though as one that never ran
        if not call.is_logged and any(not outcome.unsent for outcome in outcomes):
            self._log_attempts(call)
        call.ids = [
            callback_id
            for callback_id in call.ids
            if all(outcome.id != callback_id for outcome in outcomes)
        ]
        if not call.ids:
            del self.calls[event.call]
        logged = [
            row
            for outcome in outcomes
            if (row := self._end_attempt(call, outcome, event)) is not None
        ]
        if logged and call.is_logged:  # else the log has no attempt to end
            self.log_record("end", ends=logged, at=self.now)
        self.start_ready_calls()
        if len(self.cooldowns) > 2 * len(self.callbacks) + 64:
            self.cooldowns = {
                key: until for key, until in self.cooldowns.items() if until > self.now
            }

    def _end_attempt(self, call, outcome, event) -> Optional[list]:
        """Applies the outcome of one callback of a call that has ended.

        Returns its row for the log, or None if this is no longer the callback's current call.
        """
        if outcome.reason is not None:
            self._report_not_sent(outcome.id, call.host, self._not_sent_reason(outcome))
        if outcome.retry_after:
            self.hosts.set_retry_time(
                self._route(self.hosts[call.host]), self.now + outcome.retry_after
            )
        callback = self.callbacks.get(outcome.id)
        if callback is None or callback.call != call.number:
            self._post_outcome(call, outcome, event, completed=True, attempts=1)
            return None
        attempts, may_still_run = callback.attempts, outcome.result.may_still_run
        self.final_notices.call_ended(
            callback, call.number, event.written_at, event.unread_until, may_still_run
        )
        self.settle_attempt(callback, outcome.result, self.now, outcome.unsent)
        completed = outcome.completed and callback.state is not NOTICE_PENDING
        if completed:
            self._count_end(callback, DELIVERED if outcome.result is Result.DELIVERED else FAULTED)
            self.set_state(callback, COMPLETED)
        self._post_outcome(call, outcome, event, outcome.completed, attempts)
        return [outcome.id, outcome.result.value, completed, outcome.unsent]

    def _post_outcome(self, call, outcome, event, completed: bool, attempts: int) -> None:
        """Queues an outcome for the decision module; `attempts` of the callback count this one."""
        self.inbox.append(
            interface.Outcome(
                outcome.id,
                attempts - 1,
                call.host,
                outcome.result,
                event.duration,
                outcome.retry_after,
                completed,
                event.advertised_rate,
                outcome.attempts_exhausted,
                outcome.unsent,
                advertised_share_left=event.advertised_left,
            )
        )

    def _on_notices_delivered(self, event):
        ids = [c.id for c in self.find_callbacks(event.ids) if c.state is NOTICE_PENDING]
        for callback_id in ids:
            self.set_state(self.callbacks[callback_id], COMPLETED)
        if ids:
            self.log_record("over", ids=ids)
            self.start_ready_calls()

    # Host list, settings, start and stop

    def _on_settings_changed(self, event):
        """Applies new settings, which the module gets with its next step.

        Pending callbacks keep their class, also over a restart.
        """
        self.classes.update(
            event.class_names,
            event.settings.callback_classes,
            {c.callback_class for c in self.callbacks.values()},
        )
        self.settings = replace(event.settings, callback_classes=self.classes.definitions)
        self.metrics.add_classes(event.class_names)
        self.effects += [ev.Append(record) for record in self.classes.records()]
        self.inbox.append(interface.NewSettings(self.settings))

    # Longer than a list that stops in the middle is waited for (http/list_stream.py), so that the
    # request after it can be answered.
    LIST_TIMEOUT = 2000 * MS

    def _on_start(self, _):
        """Resumes everything pending after the log has been read.

        Attempts that were in flight when the process ended may have run. After a restart, calls
        wait for discovery: a list that it sent to the earlier process counts as received by this
        relay, even if that process was killed before it read the list.
        """
        if self.is_restart:
            self.list_deadline = self.now + self.LIST_TIMEOUT
        elif self.is_handover:
            self.list_updates.lease.taken_over(self.now)
        else:
            self.list_updates.lease.started(self.now)
        self.list_updates.log_lease()
        if self.hosts.refused_addresses:
            self.effects.append(ev.ConfirmHostList())
        self.effects += [ev.Append(record) for record in self.classes.records()]
        interrupted_callbacks = [
            callback
            for callback in self.callbacks.values()
            if callback.current_attempt is not None and callback.call is None
        ]
        for callback in interrupted_callbacks:
            self.final_notices.delay_after_recovery(
                callback, callback.current_attempt[0] or self.now
            )
            self.settle_attempt(callback, Result.RESET, self.now)
        if not self.is_handover:
            self.final_notices.extend_after_start(self.callbacks.values(), self.now)
        for key in self.unsettled_keys:
            self.cooldowns[key] = max(
                self.cooldowns.get(key, 0), self.now + self.settings.key_cooldown
            )
        self.unsettled_keys = {}
        # otherwise, after another kill, the next process would not know these keys' cooldowns
        if interrupted_callbacks:
            self.log_record(
                "end",
                ends=[[c.id, Result.RESET.value, False, False] for c in interrupted_callbacks],
                at=self.now,
            )
        for callback in self.callbacks.values():
            if callback.state is NOTICE_PENDING:
                # its notice is sent by this process, which therefore counts its end
                self._count_end(callback, THROTTLED if callback.rejected else FAULTED)
                self._send_notice(callback)
            else:
                self._offer_to_module(callback)
        self.inherited_calls = {}

    def _on_pause_calls(self, event):
        self.calls_paused = event.paused
        self.start_ready_calls()

    def handover_state(self):
        """Returns, as plain data for the next process, the routes' retry times.

        The log holds the rest, except for the module's learned state.
        """
        return {"waits": list(self.hosts.retry_times.items())}

    def _on_handover_received(self, event):
        """Takes over the calls, retry times and learned state of the earlier process.

        If a call that was handed over counted as ended, its callback would run twice.
        """
        self.is_restart, self.is_handover = False, True
        for call_number, host, ids, start, deadline in event.calls:
            call = PendingCall(
                call_number, host, [(callback_id, 0) for callback_id in ids], start, is_logged=True
            )
            call.deadline, self.calls[call_number] = deadline, call
            self.inherited_calls[call_number] = interface.HandedOverCall(
                call_number, host, start, deadline - start
            )
            self.last_call_number = max(self.last_call_number, call_number)
            for callback in self.find_callbacks(ids):
                callback.call = call_number
        unsent = [
            c
            for c in self.callbacks.values()
            if c.current_attempt is not None and c.call is None and c.id not in event.lost_ids
        ]
        # the earlier process had not completely written these calls, and no longer will
        for callback in unsent:
            self.settle_attempt(callback, Result.NOT_SENT, self.now, True)
        if unsent:
            self.log_record(
                "end",
                ends=[[c.id, Result.NOT_SENT.value, False, True] for c in unsent],
                at=self.now,
            )
        self.hosts.retry_times.update(event.retry_times)
        self.inbox.append(interface.LearnedState(event.learned_state))

    def _restart_module(self):
        """Rebuilds the module after a fault in it or in the reducer, as after a restart.

        The calls of this process are given up first.
        """
        for call in self.calls.values():
            self.effects.append(ev.Abort(call.number))
        interrupted_callbacks = [c for c in self.callbacks.values() if c.call is not None]
        for callback in interrupted_callbacks:
            was_logged = (
                self.calls[callback.call].is_logged if callback.call in self.calls else True
            )
            if was_logged and callback.current_attempt is not None:
                self.final_notices.delay_after_recovery(callback, callback.current_attempt[0])
            self.settle_attempt(
                callback, Result.RESET if was_logged else Result.NOT_SENT, self.now, not was_logged
            )
            if was_logged:
                self.log_record(
                    "end", ends=[[callback.id, Result.RESET.value, False, False]], at=self.now
                )
        self.calls, self.queued_calls, self.inbox, self.wake_at, self.overdue_checks = (
            {},
            {},
            [],
            None,
            [],
        )
        self.seed += 1
        self.module = self.make_module(self.settings, self.seed)
        self.list_updates.on_list_received(
            ev.HostListReceived(interface.ListScope.RESTORED, list(self.hosts.values()))
        )
        for callback in self.callbacks.values():
            if callback.state is not NOTICE_PENDING:
                self._offer_to_module(callback)
        if self.stop_at is not None:
            self.inbox.append(interface.RelayStopping(self.stop_at))

    def _on_stop(self, event):
        self.stop_at = event.at
        self.inbox.append(interface.RelayStopping(event.at))
