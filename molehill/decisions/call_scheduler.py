"""Chooses which callbacks are sent now, and to which endpoint."""

from heapq import heappop
from typing import Optional

from molehill import interface
from molehill.decisions import pacing
from molehill.decisions.callback import IN_FLIGHT, QUEUED, Callback
from molehill.decisions.endpoint import EJECTED, HEALTHY, Call, Destination, Endpoint
from molehill.decisions.endpoint_health import EndpointHealth
from molehill.decisions.idle_connections import IdleConnections
from molehill.decisions.lifecycle import CLIENT_DELAY, Lifecycle
from molehill.decisions.limiter import SECOND
from molehill.decisions.state import State

# quarters of max_calls that one destination may use
HEALTHY_QUARTERS, DEGRADED_QUARTERS = 3, 2
LOOK_AHEAD = SECOND  # about the time in which a short queue is served once
TIE_BREAK_FACTOR = 1.001  # of two that lose the same by waiting, the more valuable is sent first
# factor on the odds of a host with an idle connection: a handshake costs time, work and a fee
IDLE_CONNECTION_ODDS = 3.0
MIN_ROOM = 0.25  # calls, for the odds
LIMITER_RESET_AFTER = 180 * SECOND  # a limiter unused for this long forgets what it measured


class CallScheduler:
    """Starts the calls that are allowed now, first for callbacks that lose the most by waiting."""

    def __init__(
        self,
        state: State,
        lifecycle: Lifecycle,
        health: EndpointHealth,
        idle_connections: IdleConnections,
    ) -> None:
        self.state, self.lifecycle = state, lifecycle
        self.health, self.idle_connections = health, idle_connections
        self.destinations_at_limit: dict[int, bool] = {}  # limited by max_calls alone

    def start_calls(self) -> None:
        """Starts calls to each destination that has to be checked.

        While max_calls limits them, destinations with the most value for a call's time come first.
        """
        state = self.state
        candidates = {**self.destinations_at_limit, **state.destinations_to_check}
        state.destinations_to_check = {}
        state.changed_destinations.note(candidates)
        order = (
            sorted(candidates, key=self._value_per_time, reverse=True)
            if self.destinations_at_limit
            else candidates
        )
        for number in order:
            self.destinations_at_limit.pop(number, None)
            self._start_calls_for(state.ensure_destination(number))
            if state.calls_in_flight >= state.settings.max_calls:
                self.destinations_at_limit[number] = True

    def _start_calls_for(self, destination: Destination) -> None:
        state, max_calls = self.state, self.state.settings.max_calls
        while state.calls_in_flight < max_calls:
            quarters = DEGRADED_QUARTERS if destination.is_degraded else HEALTHY_QUARTERS
            if destination.calls_in_flight >= max(1, max_calls * quarters // 4):
                return
            chosen = self._choose_next(destination)
            if chosen is None:
                return
            self._start_call(destination, *chosen)

    def _choose_next(self, destination: Destination) -> Optional[tuple[Endpoint, Callback]]:
        """Returns the next callback and its endpoint; None if nothing can be sent now."""
        for callback in self._queue_heads(destination):
            endpoint = self._pick_endpoint(destination, callback)
            if endpoint is not None:
                return endpoint, callback
            if callback.repeat_zone is None:
                # Only a callback bound to a zone can lack an endpoint where others have one.
                return None
        return None

    def _queue_heads(self, destination: Destination) -> list[Callback]:
        """Returns the head of each queue, first the one that loses the most value in LOOK_AHEAD."""
        heads = []
        for queues in list(destination.queues.values()):
            for at_value_floor, queue in enumerate(queues):
                self._drop_stale_heads(queue, at_value_floor)
                if queue:
                    _, serial, callback = queue[0]
                    heads.append((*self._priority(callback, at_value_floor), serial, callback))
        return [head[-1] for head in sorted(heads)]

    def _drop_stale_heads(self, queue: list, at_value_floor: int) -> None:
        """Removes callbacks from the queue's head that are no longer to be sent from this queue."""
        while queue:
            callback = queue[0][2]
            if callback.state is QUEUED and self.lifecycle.may_attempt(callback):
                if at_value_floor or self.state.now < callback.value_floor_at:
                    return
            heappop(queue)
            if callback.state is not QUEUED:
                continue
            if self.lifecycle.may_attempt(callback):
                self.lifecycle.set_state(callback, QUEUED)
            else:
                self.lifecycle.give_up(callback)

    def _priority(self, callback: Callback, at_value_floor: int) -> tuple[bool, float]:
        now, value_halves = self.state.now, self.state.settings.value_halves
        current_value = callback.value_at(now, value_halves)
        over_quota = callback.value < callback.callback_class.value
        if at_value_floor or over_quota:
            return True, -current_value
        return False, -(
            TIE_BREAK_FACTOR * current_value - callback.value_at(now + LOOK_AHEAD, value_halves)
        )

    def _value_per_time(self, number: int) -> float:
        """Returns the value that a destination's first callback has for the time of its call.

        Without this order, slow destinations take most of the calls' time when calls are scarce.
        """
        state, destination = self.state, self.state.ensure_destination(number)
        if not destination.endpoints or state.calls_in_flight >= state.settings.max_calls:
            return 0
        heads = self._queue_heads(destination)
        if not heads:
            return 0
        latency = destination.endpoints[0].limiter.latency or SECOND
        return heads[0].value_at(state.now, state.settings.value_halves) / latency

    def _pick_endpoint(self, destination: Destination, callback: Callback) -> Optional[Endpoint]:
        """Picks an endpoint at random, with odds proportional to its room.

        A zone with a higher fee is used only when no cheaper one has room.
        """
        cumulative_odds: list[tuple[float, Endpoint]] = []
        total_odds, least_fee = 0.0, None
        for endpoint in destination.endpoints:
            if not self._has_room(destination, endpoint, callback):
                continue
            fee = self._zone_fee(destination, endpoint)
            if least_fee is None or fee < least_fee:
                cumulative_odds, total_odds, least_fee = [], 0.0, fee
            if fee == least_fee:
                total_odds += self._endpoint_odds(destination, endpoint)
                cumulative_odds.append((total_odds, endpoint))
        if not cumulative_odds:
            return None
        drawn_odds = self.state.random() * total_odds
        return next((endpoint for bound, endpoint in cumulative_odds if drawn_odds < bound), None)

    def _has_room(self, destination: Destination, endpoint: Endpoint, callback: Callback) -> bool:
        limiter, now = endpoint.limiter, self.state.now
        if callback.repeat_zone not in (None, endpoint.zone) or limiter.paused_until > now:
            return False
        # Small calls use up a limit that counts calls, so the window's upper half is for full ones.
        is_small = destination.waiting_count < endpoint.callbacks_per_call > 1
        if limiter.calls_in_flight >= int(limiter.window / 2 + 0.5 if is_small else limiter.window):
            return False
        if now + 2 * (limiter.latency or SECOND) > self.state.stops_at:
            return False
        return self._rate_allows(endpoint) and self.health.may_call(endpoint)

    def _rate_allows(self, endpoint: Endpoint) -> bool:
        """Whether the rate allows a call now; an advertised rate bounds the learned one."""
        state = self.state
        call_fill = state.destination_of(endpoint).waiting_count / endpoint.callbacks_per_call
        rate = pacing.allowed_rate(endpoint.limiter, state.settings.relay_count, call_fill)
        delay = pacing.delay_until_credit(endpoint.limiter, rate, state.now)
        if delay:
            state.check_destination_at(endpoint.destination, state.now + delay)
        return not delay

    def _zone_fee(self, destination: Destination, endpoint: Endpoint) -> float:
        fees = self.state.settings.zone_fees
        if endpoint.limiter is destination.limiter or endpoint.zone >= len(fees):
            return 0.0
        return fees[endpoint.zone]

    def _endpoint_odds(self, destination: Destination, endpoint: Endpoint) -> float:
        window_share = endpoint.limiter.window
        if endpoint.limiter is destination.limiter:
            window_share /= len(destination.endpoints)
        room = max(window_share - endpoint.calls_in_flight, MIN_ROOM)
        has_idle_connection = (
            self.state.now - endpoint.idle_since < self.state.settings.connection_idle
        )
        return (
            room
            * (1.0 - endpoint.failure_share)
            * (IDLE_CONNECTION_ODDS if has_idle_connection else 1.0)
        )

    def _start_call(self, destination: Destination, endpoint: Endpoint, callback: Callback) -> None:
        """Starts a call with this callback.

        If the host's kind takes several, the call also has the destination's next callbacks.
        """
        state, limiter, now = self.state, endpoint.limiter, self.state.now
        is_unused = (
            now - limiter.last_used_at > LIMITER_RESET_AFTER and limiter.calls_in_flight == 0
        )
        if is_unused and limiter.paused_until <= now:
            limiter.reset(now, limiter.advertised_rate)
        idle_time = endpoint.idle_time(now, state.settings.connection_idle)
        if self.idle_connections.is_suspect(idle_time):
            idle_time = 0
            state.actions.append(interface.CloseIdle(endpoint.id))
        call = Call(endpoint, now, limiter.call_timeout(callback, now), idle_time)
        next_callback: Optional[Callback] = callback
        while next_callback is not None and call.pending_callbacks < endpoint.callbacks_per_call:
            self._add_to_call(destination, call, next_callback)
            next_callback = self._next_for_call(destination, call)
        limiter.last_used_at = now
        limiter.credit -= 1.0
        endpoint.idle_since = 0
        state.count_calls(endpoint, 1)
        if endpoint.state is not HEALTHY:
            endpoint.next_call_at = now + self.health.call_interval(endpoint)

    def _add_to_call(self, destination: Destination, call: Call, callback: Callback) -> None:
        queue_key = (callback.queue_group, callback.may_have_run, callback.repeat_zone)
        heappop(destination.queues[queue_key][callback.is_at_value_floor])
        self.lifecycle.set_state(callback, IN_FLIGHT)
        callback.call = call
        callback.attempts += 1
        call.pending_callbacks += 1
        timeout = min(call.timeout, callback.deadline - CLIENT_DELAY - self.state.now)
        call.time_limit = min(call.time_limit, timeout)
        self.state.actions.append(interface.StartAttempt(callback.id, call.endpoint.id, timeout))

    def _next_for_call(self, destination: Destination, call: Call) -> Optional[Callback]:
        endpoint = call.endpoint
        if call.pending_callbacks >= endpoint.callbacks_per_call or endpoint.state is EJECTED:
            return None
        heads = self._queue_heads(destination)
        return next((head for head in heads if head.repeat_zone in (None, endpoint.zone)), None)
