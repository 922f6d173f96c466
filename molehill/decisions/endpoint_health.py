"""What a call's outcome says of its endpoint: window, ejection, return, and the rests behind failures and refusals."""

from molehill import interface as it
from molehill.decisions import slow_start
from molehill.decisions.endpoint import CLOSED, OPEN, SLOW_START, Attempt, Endpoint
from molehill.decisions.limiter import DECREASE, DEVIATIONS, REFUSAL_DECREASE
from molehill.decisions.state import State
from molehill.interface import Result

FAILURES = 2  # since the last good answer: one alone may be a call's own bad luck
# smoothing and share of failures that closes: three in a row, no fewer
FAILURE_GAIN, MOSTLY_FAILING = 0.25, 0.5


class EndpointHealth:
    """Judges endpoints by the outcomes of their calls."""

    def __init__(self, state: State) -> None:
        self.state = state

    def judge(self, attempt: Attempt, event: it.Outcome) -> None:
        """Counts a call's outcome, once a call."""
        endpoint, result, now = attempt.endpoint, event.result, self.state.now
        limiter, destination = endpoint.limiter, self.state.destination_of(endpoint)
        self._count_failures(attempt, event)
        cut_short = result is Result.TIMEOUT and event.took < attempt.time_out
        idle_reset = result is Result.RESET and attempt.idle
        if cut_short or idle_reset or result in (Result.NOT_SENT, Result.CANCELLED):
            return  # not the host's doing
        good = result is Result.DELIVERED
        if not good:
            limiter.count_bad(attempt.sent, now)
        if result is Result.FULL:
            self._refused(endpoint, event)
            return
        slow = good and limiter.is_slow(event.took, now)
        if good:
            limiter.count_served(now)
        if not good or slow:
            limiter.shut(DECREASE)
        else:
            limiter.open(self.state.settings.slots)
        destination.strained = not good or slow
        self.count(endpoint, good, attempt.sent, result)

    def _count_failures(self, attempt: Attempt, event: it.Outcome) -> None:
        """Danger: a relay with few calls sees too few failures to close a host that is silent for seconds, and feeds it by the
        window alone as it returns, cold. So a good answer after failures that span as much as the settings count in is a return."""
        endpoint, fall_span = attempt.endpoint, self.state.settings.fall_span
        if event.result is Result.DELIVERED:
            enough = endpoint.state is OPEN and endpoint.failures >= FAILURES
            if enough and fall_span and attempt.sent - endpoint.failing_since >= fall_span:
                self._returns(endpoint)
            endpoint.failures = 0
            return
        if event.result is not Result.TIMEOUT:
            # Danger: no connection may be had for want of room at the host, and errors be single calls': no outage either.
            return
        # cut short by a callback's time it counts too, if an answer would have come by then
        limiter, wanted = endpoint.limiter, slow_start.REFUSED_PAUSE
        if limiter.latency:
            wanted = limiter.latency + DEVIATIONS * limiter.deviation
        if event.took >= min(attempt.time_out, wanted):
            endpoint.count_failure(attempt.sent)

    def _returns(self, endpoint: Endpoint) -> None:
        """From now on it is fed under the budget until it is warm."""
        endpoint.state, endpoint.state_since = SLOW_START, self.state.now
        endpoint.failure_share = 0.0
        endpoint.next_call_at = self.state.now + self.call_gap(endpoint)
        text = f"host {endpoint.id} answers again"
        self.state.actions.append(it.Health(endpoint.id, False, text))

    def call_gap(self, endpoint: Endpoint) -> int:
        """As of slow_start.call_gap."""
        state = self.state
        return slow_start.call_gap(
            state.settings, endpoint, state.destination_of(endpoint), state.now
        )

    def _rest(self, endpoint: Endpoint) -> int:
        state = self.state
        destination = state.destination_of(endpoint)
        return slow_start.rest(state.settings, endpoint, destination, state.now, state.random())

    def _refused(self, endpoint: Endpoint, event: it.Outcome) -> None:
        state, limiter = self.state, endpoint.limiter
        destination, now = state.destination_of(endpoint), state.now
        tells_nothing = limiter.told_rate and not event.told_rate and not event.wait
        if tells_nothing and len(destination.endpoints) > 1:
            # Danger: a host that drains refuses before the list tells, and the others stand still with it.
            # All that serve tell the limit; one that refuses without it does so for itself.
            endpoint.next_call_at = max(endpoint.next_call_at, now + self._rest(endpoint))
            state.look_at(endpoint.destination, endpoint.next_call_at)
            return
        limiter.shut(REFUSAL_DECREASE)
        destination.strained = True
        limiter.paused_until = max(limiter.paused_until, now + event.wait + self._rest(endpoint))
        state.look_at(endpoint.destination, limiter.paused_until)
        limiter.rate_after_refusal(now, state.settings.relays, state.settings.tells_limit)
        if endpoint.state is CLOSED:
            self._close(endpoint, Result.FULL)

    def count(self, endpoint: Endpoint, good: bool, sent: int, result: Result) -> None:
        """One answer or failure more, of a call sent at that time: whether it is closed, or back."""
        failed = 0.0 if good else 1.0
        endpoint.failure_share += (failed - endpoint.failure_share) * FAILURE_GAIN
        if good:
            if endpoint.state is CLOSED and sent >= endpoint.state_since:
                self._returns(endpoint)
            return
        limiter = endpoint.limiter
        if limiter.bad_rounds > 1:
            until = max(endpoint.next_call_at, self.state.now + self._rest(endpoint))
            endpoint.next_call_at = until
            # not silence: that may be the connection's own
            if result in (Result.ERROR, Result.NO_CONNECT):
                limiter.paused_until = max(limiter.paused_until, until)
                # danger: nothing new comes, and it waits on
                self.state.look_at(endpoint.destination, until)
        if endpoint.failure_share > MOSTLY_FAILING or endpoint.state is CLOSED:
            self._close(endpoint, result)

    def _close(self, endpoint: Endpoint, result: Result) -> None:
        state = self.state
        if endpoint.state is not CLOSED:
            text = f"host {endpoint.id} closed: {result.value}"
            state.actions.append(it.Health(endpoint.id, True, text))
            endpoint.state, endpoint.state_since = CLOSED, state.now
        start = max(state.now, endpoint.limiter.paused_until)
        gap = int(self.call_gap(endpoint) * (0.5 + state.random()))
        endpoint.next_call_at = max(endpoint.next_call_at, start + gap)
        state.look_at(endpoint.destination, endpoint.next_call_at)

    def may_try(self, endpoint: Endpoint) -> bool:
        """Whether one that was away may get a call now: one trial at a time, then under the budget."""
        state = self.state
        if endpoint.next_call_at > state.now:
            state.look_at(endpoint.destination, endpoint.next_call_at)
            return False
        warm_after = state.settings.ramp_time or 0
        if endpoint.state is SLOW_START and state.now - endpoint.state_since >= warm_after:
            endpoint.state = OPEN
        return endpoint.state is not CLOSED or endpoint.calls_out == 0
