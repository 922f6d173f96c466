"""Admission: which callbacks are accepted or rejected, and which is evicted when nearly full."""

from math import log2

from molehill import interface
from molehill.decisions.callback import IN_FLIGHT, WAITING_FOR_KEY, WAITING_STATES, Callback
from molehill.decisions.endpoint import Call
from molehill.decisions.lifecycle import Lifecycle
from molehill.decisions.limiter import SECOND
from molehill.decisions.state import State
from molehill.decisions.tenant_quotas import TenantQuotas

RESERVE_DIVISOR = 16  # 1/16 of max_pending stays free for what may arrive in one batch


class Admission:
    """Accepts callbacks, or rejects them where no host is known."""

    def __init__(self, state: State, lifecycle: Lifecycle) -> None:
        self.state, self.lifecycle = state, lifecycle
        self.tenant_quotas = TenantQuotas(len(state.settings.tenants))
        # calls of an earlier process that this step's events mention, by number
        self.handed_over_calls: dict[int, Call] = {}

    def accept(self, new_callback: interface.NewCallback) -> None:
        """Accepts a callback that arrived, or that an earlier process or module had accepted.

        A callback that arrived for a destination without known hosts is rejected.
        """
        state = self.state
        known_destination = state.destinations.get(new_callback.destination)
        # A relay that starts while discovery is down knows outdated hosts or none. Callbacks that
        # were accepted before are not rejected for that, nor because of others that arrive in the
        # same step: there was room and quota for them when they arrived.
        if not new_callback.already_accepted and (
            known_destination is None or not known_destination.known_endpoint_count
        ):
            state.actions.append(
                interface.Reject(new_callback.callback, self.lifecycle.reject_retry_after())
            )
            return
        callback = self._make_callback(new_callback)
        state.callbacks_by_id[callback.id] = callback
        if callback.callback_class.ordered and new_callback.key is not None:
            self.lifecycle.add_to_key(callback, new_callback.key)
            if new_callback.key_cooldown_until > state.now:
                self.lifecycle.start_key_cooldown(new_callback.key, new_callback.key_cooldown_until)
        if new_callback.may_have_run_at is not None:
            self.lifecycle.mark_may_have_run(
                callback, new_callback.may_have_run_at, new_callback.may_have_run_zone
            )
        if new_callback.handed_over_call:
            self._join_call(callback, new_callback.handed_over_call)
        else:
            self.lifecycle.set_state(callback, WAITING_FOR_KEY)
        state.ensure_destination(callback.destination).count_callback(state.now)
        state.changed_destinations.note([callback.destination])
        callback.untried_at_restart = new_callback.already_accepted and not new_callback.attempts
        if not new_callback.already_accepted:
            self._make_room()
        check_at = callback.deadline if self.lifecycle.may_attempt(callback) else state.now
        state.schedule(check_at, self.lifecycle.check_deadline, callback.id)
        self.lifecycle.advance_key(callback.key)

    def _make_callback(self, new_callback: interface.NewCallback) -> Callback:
        settings = self.state.settings
        callback_class = settings.callback_classes[new_callback.callback_class]
        over_quota = not new_callback.already_accepted and self.tenant_quotas.is_over_quota(
            settings, new_callback.tenant, self.state.now
        )
        value_factor = settings.over_quota_value_factor if over_quota else 1.0
        callback = Callback(
            new_callback, callback_class, callback_class.value * value_factor, over_quota
        )
        if settings.value_halves and callback_class.late_value_share > 0.0:
            # from this time on its value stays constant
            callback.value_floor_at = callback.target_time - int(
                callback_class.target_latency * log2(callback_class.late_value_share)
            )
        return callback

    def _join_call(self, callback: Callback, handed_over_call: interface.HandedOverCall) -> None:
        """Adds the callback to its call from an earlier process; the outcome will arrive here."""
        endpoint = self.state.endpoints[handed_over_call.host]
        call = self.handed_over_calls.setdefault(
            handed_over_call.number,
            Call(endpoint, handed_over_call.sent_at, handed_over_call.timeout),
        )
        callback.call = call
        if call.pending_callbacks == 0:
            self.state.count_calls(endpoint, 1)
        call.pending_callbacks += 1
        self.lifecycle.set_state(callback, IN_FLIGHT)

    def _make_room(self) -> None:
        """Evicts a waiting callback while the relay is nearly full.

        Otherwise callbacks for an overloaded destination fill the relay, and new ones for healthy
        destinations are rejected on arrival. The callback with the least expected value per time
        until its delivery is given up at once, but none that a restart found without an attempt.
        """
        limit, callbacks = self.state.settings.max_pending, self.state.callbacks_by_id
        if limit is None or len(callbacks) < limit - limit // RESERVE_DIVISOR:
            return
        waiting = [
            c
            for c in callbacks.values()
            if c.state in WAITING_STATES and (c.attempts or not c.untried_at_restart)
        ]
        if waiting:
            self.lifecycle.give_up(min(waiting, key=self._value_per_time))

    def _value_per_time(self, callback: Callback) -> float:
        """Returns the value at the expected delivery, relative to the time until then."""
        state = self.state
        destination, delivery_at = state.ensure_destination(callback.destination), callback.deadline
        for endpoint in destination.endpoints:
            limiter = endpoint.limiter
            queueing_time = destination.waiting_count * (limiter.latency or SECOND) / limiter.window
            available_at = max(state.now, limiter.paused_until, endpoint.next_call_at)
            delivery_at = min(delivery_at, available_at + int(queueing_time))
        return callback.value_at(delivery_at, state.settings.value_halves) / (
            delivery_at - state.now + SECOND
        )
