"""What is launched now, and to which endpoint."""

from heapq import heappop
from typing import Optional

from molehill import interface as it
from molehill.decisions import pacing
from molehill.decisions.callback import OUT, QUEUED, Callback
from molehill.decisions.endpoint import CLOSED, OPEN, Attempt, Destination, Endpoint
from molehill.decisions.endpoint_health import EndpointHealth
from molehill.decisions.idle_connections import IdleConnections
from molehill.decisions.lifecycle import CLIENT_WAY, Lifecycle
from molehill.decisions.limiter import SECOND
from molehill.decisions.state import State

# quarters of the slots that one destination may take
SLOTS_HEALTHY, SLOTS_STRAINED = 3, 2
LOOK_AHEAD = SECOND  # about one round of a short queue
OLDER_FIRST = 1.001  # of two that lose alike
# times the odds for a host with an idle connection: a handshake is time, work and a price
KEPT_ODDS = 3.0
LEAST_ROOM = 0.25  # calls, for the odds
FORGOTTEN_AFTER = 180 * SECOND  # "some minutes" after which an idle destination's state is dropped


class Launching:
    """Launches what may go, first what loses the most by waiting."""

    def __init__(
        self,
        state: State,
        lifecycle: Lifecycle,
        health: EndpointHealth,
        connections: IdleConnections,
    ) -> None:
        self.state, self.lifecycle = state, lifecycle
        self.health, self.connections = health, connections
        self.starved: dict[int, bool] = {}  # destinations that lacked only a slot

    def launch_all(self) -> None:
        """In each destination that is to be looked at."""
        state = self.state
        numbers = {**self.starved, **state.to_look_at}
        state.to_look_at = {}
        order = sorted(numbers, key=self._urgency, reverse=True) if self.starved else numbers
        for number in order:
            self.starved.pop(number, None)
            self._launch(state.destination(number))
            if state.calls_out >= state.settings.slots:
                self.starved[number] = True

    def _launch(self, destination: Destination) -> None:
        state, slots = self.state, self.state.settings.slots
        while state.calls_out < slots:
            quarters = SLOTS_STRAINED if destination.strained else SLOTS_HEALTHY
            if destination.calls_out >= max(1, slots * quarters // 4):
                return
            chosen = self._choose(destination)
            if chosen is None:
                return
            self._send(destination, *chosen)

    def _choose(self, destination: Destination) -> Optional[tuple[Endpoint, Callback]]:
        """The callback that goes next, and where to."""
        for callback in self._heads(destination):
            endpoint = self._pick(destination, callback)
            if endpoint is not None:
                return endpoint, callback
            if callback.zone is None:
                return None  # only one bound to a zone may lack a route that others have
        return None

    def _heads(self, destination: Destination) -> list[Callback]:
        """The oldest of each lane, first the one whose delay by the look-ahead loses the most payoff."""
        heads = []
        for lanes in list(destination.lanes.values()):
            for late, lane in enumerate(lanes):
                self._drop_stale(lane, late)
                if lane:
                    _, serial, callback = lane[0]
                    heads.append((*self._priority(callback, late), serial, callback))
        return [head[-1] for head in sorted(heads)]

    def _drop_stale(self, lane: list, late: int) -> None:
        """Takes off the lane's head what is not to be launched from there any more."""
        while lane:
            callback = lane[0][2]
            if callback.state is QUEUED and self.lifecycle.may_launch(callback):
                if late or self.state.now < callback.stale:
                    return
            heappop(lane)
            if callback.state is not QUEUED:
                continue
            if self.lifecycle.may_launch(callback):
                self.lifecycle.move(callback, QUEUED)
            else:
                self.lifecycle.give_up(callback)

    def _priority(self, callback: Callback, late: int) -> tuple[bool, float]:
        now, halving = self.state.now, self.state.settings.halving
        worth = callback.worth(now, halving)
        over_share = callback.payoff < callback.category.payoff
        if late or over_share:
            return True, -worth
        return False, -(OLDER_FIRST * worth - callback.worth(now + LOOK_AHEAD, halving))

    def _urgency(self, number: int) -> float:
        """Danger: short of slots, slow destinations take most of their time. So: payoff for a slot's time."""
        state, destination = self.state, self.state.destination(number)
        if not destination.endpoints or state.calls_out >= state.settings.slots:
            return 0
        heads = self._heads(destination)
        if not heads:
            return 0
        latency = destination.endpoints[0].limiter.latency or SECOND
        return heads[0].worth(state.now, state.settings.halving) / latency

    def _pick(self, destination: Destination, callback: Callback) -> Optional[Endpoint]:
        """One endpoint at random, odds in step with its room; a dearer zone only when no cheaper one has room."""
        rooms: list[tuple[float, Endpoint]] = []
        total, least_fee = 0.0, None
        for endpoint in destination.endpoints:
            if not self._has_room(destination, endpoint, callback):
                continue
            fee = self._fee(destination, endpoint)
            if least_fee is None or fee < least_fee:
                rooms, total, least_fee = [], 0.0, fee
            if fee == least_fee:
                total += self._odds(destination, endpoint)
                rooms.append((total, endpoint))
        if not rooms:
            return None
        drawn = self.state.random() * total
        return next((endpoint for upto, endpoint in rooms if drawn < upto), None)

    def _has_room(self, destination: Destination, endpoint: Endpoint, callback: Callback) -> bool:
        limiter, now = endpoint.limiter, self.state.now
        if callback.zone not in (None, endpoint.zone) or limiter.paused_until > now:
            return False
        # Danger: small calls spend an allowance counted in calls. The upper half is for full ones.
        small = destination.waiting < endpoint.per_call > 1
        if limiter.calls_out >= int(limiter.window / 2 + 0.5 if small else limiter.window):
            return False
        if now + 2 * (limiter.latency or SECOND) > self.state.ends_at:
            return False
        return self._rate_allows(endpoint) and self.health.may_try(endpoint)

    def _rate_allows(self, endpoint: Endpoint) -> bool:
        """Whether the rate allows a call now; a told one bounds what was learnt from refusals."""
        state = self.state
        fullness = state.destination_of(endpoint).waiting / endpoint.per_call
        rate = pacing.allowed_rate(endpoint.limiter, state.settings.relays, fullness)
        wait = pacing.wait_for_credit(endpoint.limiter, rate, state.now)
        if wait:
            state.look_at(endpoint.destination, state.now + wait)
        return not wait

    def _fee(self, destination: Destination, endpoint: Endpoint) -> float:
        fees = self.state.settings.zone_fees
        if endpoint.limiter is destination.limiter or endpoint.zone >= len(fees):
            return 0.0
        return fees[endpoint.zone]

    def _odds(self, destination: Destination, endpoint: Endpoint) -> float:
        share = endpoint.limiter.window
        if endpoint.limiter is destination.limiter:
            share /= len(destination.endpoints)
        room = max(share - endpoint.calls_out, LEAST_ROOM)
        kept = self.state.now - endpoint.idle_since < self.state.settings.connection_idle
        return room * (1.0 - endpoint.failure_share) * (KEPT_ODDS if kept else 1.0)

    def _send(self, destination: Destination, endpoint: Endpoint, callback: Callback) -> None:
        """One call: the callback and, where the kind takes several, the next ones of the same destination."""
        state, limiter, now = self.state, endpoint.limiter, self.state.now
        unused = now - limiter.used_at > FORGOTTEN_AFTER and limiter.calls_out == 0
        if unused and limiter.paused_until <= now:
            limiter.reset(now, limiter.told_rate)
        idle = endpoint.idle_for(now, state.settings.connection_idle)
        if self.connections.is_suspect(idle):
            idle = 0
            state.actions.append(it.CloseIdle(endpoint.id))
        attempt = Attempt(endpoint, now, limiter.time_out(callback, now), idle)
        following: Optional[Callback] = callback
        while following is not None and attempt.callbacks < endpoint.per_call:
            self._add_to_call(destination, attempt, following)
            following = self._next_for(destination, attempt)
        limiter.used_at = now
        limiter.credit -= 1.0
        endpoint.idle_since = 0
        state.count_calls(endpoint, 1)
        if endpoint.state is not OPEN:
            endpoint.next_call_at = now + self.health.call_gap(endpoint)

    def _add_to_call(self, destination: Destination, attempt: Attempt, callback: Callback) -> None:
        lane = (callback.lane, callback.may_have_run, callback.zone)
        heappop(destination.lanes[lane][callback.late])
        self.lifecycle.move(callback, OUT)
        callback.attempt = attempt
        callback.launches += 1
        attempt.callbacks += 1
        time_out = min(attempt.time_out, callback.due - CLIENT_WAY - self.state.now)
        self.state.actions.append(it.Launch(callback.id, attempt.endpoint.id, time_out))

    def _next_for(self, destination: Destination, attempt: Attempt) -> Optional[Callback]:
        endpoint = attempt.endpoint
        if attempt.callbacks >= endpoint.per_call or endpoint.state is CLOSED:
            return None
        heads = self._heads(destination)
        return next((head for head in heads if head.zone in (None, endpoint.zone)), None)
