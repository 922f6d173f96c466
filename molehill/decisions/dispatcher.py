"""Ties the decisions together by events.

Called as `dispatcher = Dispatcher(settings, seed)`, then `actions = dispatcher.step(now, events)` once a batch with all that
came in by `now`; the types of both lists stand in molehill/interface.py. docs/design.md tells what is kept of the design page,
what was changed, and when each exception acts.
"""

from typing import Callable

from molehill import interface as it
from molehill.decisions.admission import Admission
from molehill.decisions.callback import OVER, WAITING, WAITING_FOR_KEY
from molehill.decisions.endpoint import Attempt
from molehill.decisions.endpoint_health import EndpointHealth
from molehill.decisions.endpoint_list import EndpointList
from molehill.decisions.idle_connections import IdleConnections
from molehill.decisions.launching import Launching
from molehill.decisions.lifecycle import Lifecycle
from molehill.decisions.state import State


class Dispatcher:
    """The decisions of one relay."""

    def __init__(self, settings: it.Settings, seed: it.Id) -> None:
        self.state = State(settings, seed)
        self.lifecycle = Lifecycle(self.state)
        self.admission = Admission(self.state, self.lifecycle)
        self.health = EndpointHealth(self.state)
        self.connections = IdleConnections(len(settings.kinds), settings.connection_idle)
        self.list = EndpointList(self.state, len(self.connections.scarce))
        self.launching = Launching(self.state, self.lifecycle, self.health, self.connections)
        self.on: dict[type, Callable] = {
            it.Outcome: self._outcome,
            it.NewCallback: self.admission.take_on,
            it.ListNews: self.list.news,
            it.Withdrawn: self._withdrawn,
            it.Stopping: self._stopping,
            it.NewSettings: self._new_settings,
            it.Learnt: self._take_over,
        }

    def step(self, now: int, events: list) -> list:
        """What is to be done, in order, behind these events; `now` never falls. Events of other types are passed over."""
        self.state.now, self.state.actions, self.admission.joined = now, [], {}
        for event in events:
            handle = self.on.get(type(event))
            if handle is not None:
                handle(event)
        self._run_timers()
        self.launching.launch_all()
        span = self.state.timers.wake_after(now)
        if span is not None:
            self.state.actions.append(it.Wake(span, "wake"))
        return self.state.actions

    def _run_timers(self) -> None:
        """What a timer was set for is found by the clock."""
        while (due := self.state.timers.take_due(self.state.now)) is not None:
            work, subject = due
            if work is None:
                self.state.to_look_at.setdefault(subject)
            else:
                work(subject)

    def _outcome(self, event: it.Outcome) -> None:
        callback = self.state.held.get(event.callback)
        if callback is None or callback.attempt is None:
            return
        attempt, callback.attempt = callback.attempt, None
        attempt.callbacks -= 1
        if attempt.callbacks == 0:
            self._call_over(attempt, event)
        self._count(attempt, event)
        if event.result.may_have_run:
            self.lifecycle.set_may_have_run(callback, attempt.sent, attempt.endpoint.zone)
            if event.result.may_run_still and callback.key is not None:
                rests_until = self.state.now + self.state.settings.settle
                self.lifecycle.rest_key(callback.key, rests_until)
        if event.spent:
            callback.launches = self.state.settings.max_launches
        else:
            callback.launches -= event.unsent
        if callback.state is OVER or event.closed:
            self.lifecycle.move(callback, OVER)
            self.state.held.pop(callback.id, None)
        elif not self.lifecycle.may_launch(callback):
            self.lifecycle.give_up(callback)
        else:
            self.lifecycle.move(callback, WAITING_FOR_KEY)
        self.lifecycle.next_of_key(callback.key)

    def _call_over(self, attempt: Attempt, event: it.Outcome) -> None:
        """The last callback of a call has its outcome."""
        state, endpoint = self.state, attempt.endpoint
        state.count_calls(endpoint, -1)
        state.to_look_at[endpoint.destination] = True
        endpoint.idle_since = 0 if event.result.may_run_still else state.now
        scarce = self.connections.is_scarce(endpoint.kind, event.result)
        if scarce and not endpoint.calls_out and not state.destination_of(endpoint).waiting:
            endpoint.idle_since = 0
            state.actions.append(it.CloseIdle(endpoint.id))
        self.connections.count_loss(attempt, event.result, event.took)

    def _count(self, attempt: Attempt, event: it.Outcome) -> None:
        limiter, now = attempt.endpoint.limiter, self.state.now
        limiter.told_wait_until = max(limiter.told_wait_until, now + event.wait)
        limiter.paused_until = max(limiter.paused_until, limiter.told_wait_until)  # rule 6
        if not attempt.judged:
            # first: a refusal is judged by the limit that it tells
            share = event.told_left
            if share is not None and event.result is it.Result.FULL:
                share = 0.0
            limiter.told(event.told_rate, share)
        if not attempt.judged or event.wait:
            # a call of several is judged once, but each told wait counts
            attempt.judged = True
            self.health.judge(attempt, event)

    def _withdrawn(self, event: it.Withdrawn) -> None:
        callback = self.state.held.get(event.callback)
        if callback is not None:
            self.lifecycle.move(callback, OVER)

    def _stopping(self, event: it.Stopping) -> None:
        # danger: cut off there, a call may have run; so none goes shortly before
        self.state.ends_at = event.at

    def _new_settings(self, event: it.NewSettings) -> None:
        """New settings count for what comes and for each launch from here on; what is held keeps its category."""
        state = self.state
        state.settings = event.settings
        self.admission.quotas.grow(len(event.settings.tenants))
        waiting = [callback for callback in state.held.values() if callback.state in WAITING]
        for callback in [c for c in waiting if not self.lifecycle.may_launch(c)]:
            # fewer launches may be allowed: it is answered at once
            self.lifecycle.give_up(callback)
        state.to_look_at.update(dict.fromkeys(state.destinations, True))

    # What was measured, handed over to the next process of this relay

    def learnt(self) -> list[dict]:
        """What was measured, as plain rows."""
        rows: list[dict] = []
        for number, destination in self.state.destinations.items():
            rows.append(
                {
                    "dest": number,
                    "asked": destination.requests,
                    "asked_at": destination.requests_since,
                    "sick": destination.strained,
                    "route": destination.limiter.rows(),
                }
            )
        for host, endpoint in self.state.endpoints.items():
            shared = endpoint.limiter is self.state.destination_of(endpoint).limiter
            route = {} if shared else endpoint.limiter.rows()
            rows.append({"host": host, **endpoint.rows(), "route": route})
        return rows + [self.connections.rows()]

    def _take_over(self, event: it.Learnt) -> None:
        """Danger: begun anew in the middle of a day, windows and rates push where the earlier process had learnt not to."""
        for row in event.rows:
            if row.get("dest") in self.state.destinations:
                self._take_over_destination(row)
            elif row.get("host") in self.state.endpoints:
                self._take_over_endpoint(row)
            else:
                self.connections.take_over(row)

    def _take_over_destination(self, row: dict) -> None:
        destination = self.state.destinations[row["dest"]]
        destination.requests, destination.requests_since = row["asked"], row["asked_at"]
        destination.strained = row["sick"]
        self.state.look_at(row["dest"], row["route"]["paused"])
        destination.limiter.take_over(row["route"])

    def _take_over_endpoint(self, row: dict) -> None:
        endpoint = self.state.endpoints[row["host"]]
        endpoint.take_over(row)
        look_at = max(row["h_next"], row["route"].get("paused", 0))
        self.state.look_at(endpoint.destination, look_at)
        endpoint.limiter.take_over(row["route"])
