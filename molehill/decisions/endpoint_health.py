"""Applies the outcome of a call to its endpoint.

The outcome changes the window, ejects the endpoint or returns it to service, and sets the backoff
after failures and refusals.
"""

from molehill import interface
from molehill.decisions import slow_start
from molehill.decisions.call_outcomes import answer_was_due, is_caused_by_host
from molehill.decisions.endpoint import EJECTED, HEALTHY, SLOW_START, Call, Endpoint
from molehill.decisions.limiter import DECREASE_FACTOR, REFUSAL_DECREASE_FACTOR
from molehill.decisions.route_health import RouteHealth
from molehill.decisions.state import State
from molehill.interface import Result

OUTAGE_FAILURES = 2  # since the last successful answer; a single one may concern only its call
# smoothing, and the share of failures that ejects: three in a row, no fewer
FAILURE_SMOOTHING, EJECTION_FAILURE_SHARE = 0.25, 0.5


class EndpointHealth:
    """Judges endpoints by the outcomes of their calls."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.routes = RouteHealth(state)

    def count_outcome(self, call: Call, event: interface.Outcome) -> None:
        """Counts the outcome of a call.

        A call with several callbacks is counted once, and again for each further Retry-After.
        """
        endpoint, result, now = call.endpoint, event.result, self.state.now
        limiter, destination = endpoint.limiter, self.state.destination_of(endpoint)
        self._count_failures(call, event)
        cut_short = result is Result.TIMEOUT and event.duration < call.timeout
        if cut_short or not is_caused_by_host(call, result):
            return
        succeeded = result is Result.DELIVERED
        if not succeeded:
            limiter.count_failure(call.sent_at, now)
        if result is Result.REFUSED:
            self._handle_refusal(endpoint, event)
            return
        slow = succeeded and limiter.is_slow(event.duration, now)
        if succeeded:
            limiter.count_success(now)
        if not succeeded or slow:
            limiter.decrease(DECREASE_FACTOR)
        else:
            limiter.increase(self.state.settings.max_calls)
        destination.is_degraded = not succeeded or slow
        self.update_state(endpoint, succeeded, call.sent_at, result)

    def _count_failures(self, call: Call, event: interface.Outcome) -> None:
        """Counts timeouts, and begins slow start at the first successful answer after an outage.

        A relay with few calls sees too few failures to eject a host that is silent for seconds, and
        would limit it by the window alone when it returns cold. So a successful answer counts as a
        return if the failures before it span at least overload_span.
        """
        endpoint, overload_span = call.endpoint, self.state.settings.overload_span
        if event.result is Result.DELIVERED:
            enough_failures = (
                endpoint.state is HEALTHY and endpoint.failures_since_success >= OUTAGE_FAILURES
            )
            if (
                enough_failures
                and overload_span
                and call.sent_at - endpoint.failing_since >= overload_span
            ):
                self._begin_slow_start(endpoint)
            endpoint.failures_since_success = 0
            return
        if event.result is not Result.TIMEOUT:
            # Other failures are no outage: a connect may fail because the host has no room for more
            # connections, and an error may concern a single call.
            return
        if answer_was_due(call, event):
            endpoint.count_failure(call.sent_at)

    def _return_route(self, endpoint: Endpoint) -> None:
        """Begins slow start of the endpoint, and of those that were ejected with its route only."""
        self._begin_slow_start(endpoint)
        for host in self.state.destination_of(endpoint).endpoints:
            is_failing = host.failure_share > EJECTION_FAILURE_SHARE
            if host.limiter is endpoint.limiter and host.state is EJECTED and not is_failing:
                self._begin_slow_start(host)

    def _begin_slow_start(self, endpoint: Endpoint) -> None:
        """Limits the endpoint to the rate of slow start until it is warm."""
        endpoint.state, endpoint.state_since = SLOW_START, self.state.now
        endpoint.failure_share = 0.0
        endpoint.next_call_at = self.state.now + self.call_interval(endpoint)
        text = f"host {endpoint.id} answers again"
        self.state.actions.append(interface.ReportHealth(endpoint.id, False, text))

    def call_interval(self, endpoint: Endpoint) -> int:
        """Returns `slow_start.call_interval` for the endpoint, in nanoseconds."""
        state = self.state
        return slow_start.call_interval(
            state.settings, endpoint, state.destination_of(endpoint), state.now
        )

    def _backoff(self, endpoint: Endpoint) -> int:
        state = self.state
        destination = state.destination_of(endpoint)
        return slow_start.backoff(state.settings, endpoint, destination, state.now, state.random())

    def _handle_refusal(self, endpoint: Endpoint, event: interface.Outcome) -> None:
        state, limiter = self.state, endpoint.limiter
        destination, now = state.destination_of(endpoint), state.now
        limit_missing = (
            limiter.advertised_rate and not event.advertised_rate and not event.retry_after
        )
        if limit_missing and len(destination.endpoints) > 1:
            # A draining host refuses calls before the list says so, and the pause must not stop the
            # others. All serving hosts advertise the limit; one that refuses without it refuses
            # for itself only.
            endpoint.next_call_at = max(endpoint.next_call_at, now + self._backoff(endpoint))
            state.check_destination_at(endpoint.destination, endpoint.next_call_at)
            return
        limiter.decrease(REFUSAL_DECREASE_FACTOR)
        destination.is_degraded = True
        limiter.paused_until = max(
            limiter.paused_until, now + event.retry_after + self._backoff(endpoint)
        )
        state.check_destination_at(endpoint.destination, limiter.paused_until)
        limiter.learn_rate_from_refusal(
            now, state.settings.relay_count, state.settings.limits_are_advertised
        )
        if endpoint.state is EJECTED:
            self._eject(endpoint, Result.REFUSED)

    def update_state(
        self, endpoint: Endpoint, succeeded: bool, sent_at: int, result: Result
    ) -> None:
        """Ejects the endpoint or returns it to service after a call that was sent at that time."""
        failure = 0.0 if succeeded else 1.0
        endpoint.failure_share += (failure - endpoint.failure_share) * FAILURE_SMOOTHING
        if succeeded:
            if endpoint.state is EJECTED and sent_at >= endpoint.state_since:
                self._return_route(endpoint)
            return
        limiter = endpoint.limiter
        if limiter.bad_rounds > 1:
            until = max(endpoint.next_call_at, self.state.now + self._backoff(endpoint))
            endpoint.next_call_at = until
            # A timeout or a reset does not pause the limiter: it may concern the connection alone.
            if result in (Result.ERROR, Result.NO_CONNECT):
                limiter.paused_until = max(limiter.paused_until, until)
                # Without this check, waiting callbacks stay queued if no new one arrives.
                self.state.check_destination_at(endpoint.destination, until)
        if endpoint.failure_share > EJECTION_FAILURE_SHARE or endpoint.state is EJECTED:
            self._eject(endpoint, result)

    def _eject(self, endpoint: Endpoint, result: Result) -> None:
        state = self.state
        if endpoint.state is not EJECTED:
            text = f"host {endpoint.id} closed: {result.value}"
            state.actions.append(interface.ReportHealth(endpoint.id, True, text))
            endpoint.state, endpoint.state_since = EJECTED, state.now
        start = max(state.now, endpoint.limiter.paused_until)
        interval = int(self.call_interval(endpoint) * (0.5 + state.random()))
        endpoint.next_call_at = max(endpoint.next_call_at, start + interval)
        state.check_destination_at(endpoint.destination, endpoint.next_call_at)

    def may_call(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint may get a call now.

        An ejected endpoint gets one probe at a time, then calls at the rate of slow start.
        """
        state = self.state
        if endpoint.next_call_at > state.now:
            state.check_destination_at(endpoint.destination, endpoint.next_call_at)
            return False
        slow_start_time = state.settings.slow_start_time or 0
        if endpoint.state is SLOW_START and state.now - endpoint.state_since >= slow_start_time:
            endpoint.state = HEALTHY
        if endpoint.state is HEALTHY:
            self.routes.eject_if_failing(endpoint)
        if endpoint.state is not EJECTED:
            return True
        return endpoint.calls_in_flight == 0 and self.routes.may_probe(endpoint)
