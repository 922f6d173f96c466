"""Passes events to the modules that decide, and returns their actions.

Create a `Dispatcher(settings, seed)`, then call `actions = dispatcher.step(now, events)` once a
batch with all events up to `now`. molehill/interface.py defines the types of both lists.
docs/design.md says what is kept of the design page, what was changed, and when each exception
applies.
"""

from typing import Callable, Iterable

from molehill import interface
from molehill.decisions.admission import Admission
from molehill.decisions.call_scheduler import CallScheduler
from molehill.decisions.callback import COMPLETED, WAITING_FOR_KEY, WAITING_STATES
from molehill.decisions.endpoint import Call, Endpoint
from molehill.decisions.endpoint_health import EndpointHealth
from molehill.decisions.endpoint_list import EndpointList
from molehill.decisions.idle_connections import IdleConnections
from molehill.decisions.lifecycle import Lifecycle
from molehill.decisions.state import State


class Dispatcher:
    """Decides for one relay; it reads no clock and does no input or output."""

    def __init__(self, settings: interface.Settings, seed: interface.Id) -> None:
        self.state = State(settings, seed)
        self.lifecycle = Lifecycle(self.state)
        self.admission = Admission(self.state, self.lifecycle)
        self.health = EndpointHealth(self.state)
        self.idle_connections = IdleConnections(len(settings.kinds), settings.connection_idle)
        self.endpoint_list = EndpointList(self.state, len(self.idle_connections.scarce_calls))
        self.call_scheduler = CallScheduler(
            self.state, self.lifecycle, self.health, self.idle_connections
        )
        self.handlers: dict[type, Callable] = {
            interface.Outcome: self._handle_outcome,
            interface.NewCallback: self.admission.accept,
            interface.HostListUpdate: self.endpoint_list.apply_update,
            interface.CallbackWithdrawn: self._handle_withdrawn,
            interface.RelayStopping: self._handle_stopping,
            interface.NewSettings: self._apply_settings,
            interface.LearnedState: self._restore_learned_state,
        }

    def step(self, now: int, events: list) -> list:
        """Handles the events and returns the resulting actions in order.

        `now` is in nanoseconds and never decreases. Events of unknown types are ignored.
        """
        self.state.now, self.state.actions, self.admission.handed_over_calls = now, [], {}
        for event in events:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event)
        self._run_timers()
        self.call_scheduler.start_calls()
        delay = self.state.timers.next_wake_delay(now)
        if delay is not None:
            self.state.actions.append(interface.SetTimer(delay, "wake"))
        return self.state.actions

    def _run_timers(self) -> None:
        """Runs the tasks whose time has come, whatever timer event arrived."""
        while (expired := self.state.timers.pop_due(self.state.now)) is not None:
            task, argument = expired
            if task is None:
                self.state.destinations_to_check.setdefault(argument)
            else:
                task(argument)

    def _handle_outcome(self, event: interface.Outcome) -> None:
        callback = self.state.callbacks_by_id.get(event.callback)
        if callback is None or callback.call is None:
            return
        call, callback.call = callback.call, None
        self.state.changed_destinations.note([call.endpoint.destination])
        call.pending_callbacks -= 1
        if call.pending_callbacks == 0:
            self._complete_call(call, event)
        self._update_limiter(call, event)
        if event.result.may_have_run:
            self.lifecycle.mark_may_have_run(callback, call.sent_at, call.endpoint.zone)
            if event.result.may_still_run and callback.key is not None:
                cooldown_until = self.state.now + self.state.settings.key_cooldown
                self.lifecycle.start_key_cooldown(callback.key, cooldown_until)
        if event.attempts_exhausted:
            callback.attempts = self.state.settings.max_attempts
        else:
            callback.attempts -= event.unsent
        if callback.state is COMPLETED or event.completed:
            self.lifecycle.set_state(callback, COMPLETED)
            self.state.callbacks_by_id.pop(callback.id, None)
        elif not self.lifecycle.may_attempt(callback):
            self.lifecycle.give_up(callback)
        else:
            self.lifecycle.set_state(callback, WAITING_FOR_KEY)
        self.lifecycle.advance_key(callback.key)

    def _complete_call(self, call: Call, event: interface.Outcome) -> None:
        """Completes a call once its last callback has an outcome."""
        state, endpoint = self.state, call.endpoint
        state.count_calls(endpoint, -1)
        state.destinations_to_check[endpoint.destination] = True
        endpoint.idle_since = 0 if event.result.may_still_run else state.now
        scarce = self.idle_connections.update_scarcity(endpoint.kind, event.result)
        if (
            scarce
            and not endpoint.calls_in_flight
            and not state.destination_of(endpoint).waiting_count
        ):
            endpoint.idle_since = 0
            state.actions.append(interface.CloseIdle(endpoint.id))
        self.idle_connections.count_loss(call, event.result, event.duration)

    def _update_limiter(self, call: Call, event: interface.Outcome) -> None:
        limiter, now = call.endpoint.limiter, self.state.now
        limiter.retry_after_until = max(limiter.retry_after_until, now + event.retry_after)
        limiter.paused_until = max(limiter.paused_until, limiter.retry_after_until)  # rule 6
        if not call.outcome_counted:
            # This comes first because a refusal is judged by the limit that it advertises.
            share_left = event.advertised_share_left
            if share_left is not None and event.result is interface.Result.REFUSED:
                share_left = 0.0
            limiter.set_advertised(event.advertised_rate, share_left)
        is_first = not call.outcome_counted
        if is_first or event.retry_after:
            # A call with several callbacks is judged once, but each Retry-After counts.
            call.outcome_counted = True
            self.health.count_outcome(call, event)
        if is_first:
            self.health.routes.count_outcome(call, event)

    def _handle_withdrawn(self, event: interface.CallbackWithdrawn) -> None:
        callback = self.state.callbacks_by_id.get(event.callback)
        if callback is not None:
            self.lifecycle.set_state(callback, COMPLETED)

    def _handle_stopping(self, event: interface.RelayStopping) -> None:
        # A call that the stop cuts off may have run, so none is started shortly before it.
        self.state.stops_at = event.stops_at

    def _apply_settings(self, event: interface.NewSettings) -> None:
        """Applies new settings to new callbacks and new attempts.

        Pending callbacks keep the class settings that they were accepted with.
        """
        state = self.state
        state.settings = event.settings
        self.admission.tenant_quotas.add_buckets(len(event.settings.tenants))
        waiting = [
            callback
            for callback in state.callbacks_by_id.values()
            if callback.state in WAITING_STATES
        ]
        for callback in [c for c in waiting if not self.lifecycle.may_attempt(c)]:
            # The new max_attempts may be lower: callbacks beyond it are answered at once.
            self.lifecycle.give_up(callback)
        state.destinations_to_check.update(dict.fromkeys(state.destinations, True))

    # Learned state, handed over to the next process of this relay

    def learned_state(self) -> list[dict]:
        """Returns the learned state as rows of plain values, for `interface.LearnedState`."""
        rows = self.learned_rows(self.state.destinations, self.hosts_by_destination())
        return [*rows, self.general_row()]

    def learned_rows(
        self, destinations: Iterable[int], hosts: dict[int, list[Endpoint]]
    ) -> list[dict]:
        """Returns the rows of some destinations; `hosts`: as `hosts_by_destination` returns them."""
        rows = []
        for number in destinations:
            if number in self.state.destinations:
                rows.append(self._destination_row(number))
                rows += [self._endpoint_row(endpoint) for endpoint in hosts.get(number, ())]
        return rows

    def general_row(self) -> dict:
        """Returns the row of what was learned of kinds of hosts."""
        return self.idle_connections.handover_row()

    def hosts_by_destination(self) -> dict[int, list[Endpoint]]:
        """Returns all known endpoints, listed or not, by the number of their destination."""
        hosts: dict[int, list[Endpoint]] = {}
        for endpoint in self.state.endpoints.values():
            hosts.setdefault(endpoint.destination, []).append(endpoint)
        return hosts

    def _destination_row(self, number: int) -> dict:
        destination = self.state.destinations[number]
        return {
            "dest": number,
            "asked": destination.recent_callbacks,
            "asked_at": destination.recent_callbacks_since,
            "sick": destination.is_degraded,
            "route": destination.limiter.handover_row(),
        }

    def _endpoint_row(self, endpoint: Endpoint) -> dict:
        shared = endpoint.limiter is self.state.destination_of(endpoint).limiter
        route = {} if shared else endpoint.limiter.handover_row()
        return {"host": endpoint.id, **endpoint.handover_row(), "route": route}

    def _restore_learned_state(self, event: interface.LearnedState) -> None:
        """Restores what an earlier process had learned about hosts and destinations that are known.

        Without it, a restart during the day overloads hosts whose limits the earlier process knew.
        """
        for row in event.rows:
            if row.get("dest") in self.state.destinations:
                self._restore_destination(row)
            elif row.get("host") in self.state.endpoints:
                self._restore_endpoint(row)
            else:
                self.idle_connections.restore_row(row)

    def _restore_destination(self, row: dict) -> None:
        destination = self.state.destinations[row["dest"]]
        destination.recent_callbacks, destination.recent_callbacks_since = (
            row["asked"],
            row["asked_at"],
        )
        destination.is_degraded = row["sick"]
        self._check_later(row["dest"], row["route"]["paused"])
        destination.limiter.restore_row(row["route"])

    def _restore_endpoint(self, row: dict) -> None:
        endpoint = self.state.endpoints[row["host"]]
        endpoint.restore_row(row)
        check_at = max(row["h_next"], row["route"].get("paused", 0))
        self._check_later(endpoint.destination, check_at)
        endpoint.limiter.restore_row(row["route"])

    def _check_later(self, destination: int, when: int) -> None:
        """Has the destination checked at that time, unless it has passed."""
        if when > self.state.now:
            self.state.check_destination_at(destination, when)
