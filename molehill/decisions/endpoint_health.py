"""Applies the outcome of a call to its endpoint.

The outcome changes the window, ejects the endpoint or returns it to service, and sets the backoff
after failures and refusals.
"""

from molehill import interface
from molehill.decisions import slow_start
from molehill.decisions.endpoint import EJECTED, HEALTHY, SLOW_START, Call, Endpoint
from molehill.decisions.limiter import (
    DECREASE_FACTOR,
    REFUSAL_DECREASE_FACTOR,
    SECOND,
    TIMEOUT_DEVIATIONS,
)
from molehill.decisions.state import State
from molehill.interface import Result

OUTAGE_FAILURES = 2  # since the last successful answer; a single one may concern only its call
# smoothing, and the share of failures that ejects: three in a row, no fewer
FAILURE_SMOOTHING, EJECTION_FAILURE_SHARE = 0.25, 0.5
# A timeout that is noticed later than this says nothing about a route: the relay itself stood still,
# and an answer may have come in time.
LATE_TIMEOUT = SECOND // 10


def _is_caused_by_host(call: Call, result: Result) -> bool:
    """Whether the outcome tells anything about the host."""
    unrelated = _is_idle_reset(call, result) or result in (Result.NOT_SENT, Result.CANCELLED)
    return not unrelated


def _is_idle_reset(call: Call, result: Result) -> bool:
    """Whether a connection that had been idle broke, perhaps without the host's doing."""
    return result is Result.RESET and call.idle_time > 0


def _answer_was_due(call: Call, event: interface.Outcome) -> bool:
    """Whether the call would have been answered by its end, had the host been well.

    A callback's deadline cuts a timeout short, perhaps before an answer could be expected.
    """
    if event.result is not Result.TIMEOUT:
        return True
    limiter, expected_within = call.endpoint.limiter, slow_start.REFUSAL_BACKOFF
    if limiter.latency:
        expected_within = limiter.latency + TIMEOUT_DEVIATIONS * limiter.deviation
    return event.duration >= min(call.timeout, expected_within)


class EndpointHealth:
    """Judges endpoints by the outcomes of their calls."""

    def __init__(self, state: State) -> None:
        self.state = state

    def count_outcome(self, call: Call, event: interface.Outcome) -> None:
        """Counts the outcome of a call.

        A call with several callbacks is counted once, and again for each further Retry-After.
        """
        endpoint, result, now = call.endpoint, event.result, self.state.now
        limiter, destination = endpoint.limiter, self.state.destination_of(endpoint)
        self._count_failures(call, event)
        cut_short = result is Result.TIMEOUT and event.duration < call.timeout
        if cut_short or not _is_caused_by_host(call, result):
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
        if _answer_was_due(call, event):
            endpoint.count_failure(call.sent_at)

    def count_for_route(self, call: Call, event: interface.Outcome) -> None:
        """Counts the outcome of a call for the failure run of its route, once for each call."""
        endpoint, result, now = call.endpoint, event.result, self.state.now
        run = endpoint.limiter.failure_run
        if result is Result.DELIVERED:
            self._report_return(endpoint)
            run.count_success(now)
            return
        if _is_idle_reset(call, result):
            run.count_idle_reset()
            return
        is_paced = result is Result.REFUSED and self._refusal_teaches_rate(endpoint)
        if is_paced or not _is_caused_by_host(call, result) or not _answer_was_due(call, event):
            return
        if result is Result.TIMEOUT and event.duration > call.time_limit + LATE_TIMEOUT:
            return
        run.count_failure(result, call.sent_at, now)
        self._eject_failing_route(endpoint)
        span = self.state.settings.overload_span
        if span and run.answered_at is not None and run.unanswered_span(now) < span:
            # If no call follows until then, a restart has to find the hosts ejected.
            self.state.schedule(run.answered_at + span, self._eject_failing_route, endpoint)

    def _refusal_teaches_rate(self, endpoint: Endpoint) -> bool:
        """Whether refusals of its route are due to a rate, which then limits the calls."""
        advertised = endpoint.limiter.advertised_rate > 0
        return advertised or not self.state.settings.limits_are_advertised

    def _fails_as_route(self, endpoint: Endpoint) -> bool:
        """Whether its route as a whole seems to be in an outage."""
        span, run = self.state.settings.overload_span, endpoint.limiter.failure_run
        return bool(span and run.failures and run.shows_outage(self.state.now, span))

    def _eject_failing_route(self, endpoint: Endpoint) -> None:
        """Rule 4: ejects the healthy hosts of a route that fails, as all may return cold.

        With few calls, or calls spread over several hosts, none of these fails often enough to be
        ejected for its own calls. The next call may be sent at once: it is the probe.
        """
        if not self._fails_as_route(endpoint):
            return
        state, limiter = self.state, endpoint.limiter
        destination = state.destinations.get(endpoint.destination)
        if destination is None:
            return  # all its hosts left, and were forgotten
        state.note_changes([endpoint.destination])
        for host in destination.endpoints:
            if host.limiter is limiter and host.state is HEALTHY:
                host.state, host.state_since = EJECTED, state.now
                text = f"host {host.id} closed: destination {host.destination} does not answer"
                state.actions.append(interface.ReportHealth(host.id, True, text))

    def _report_return(self, endpoint: Endpoint) -> None:
        """Logs that a route answers again after failures that may have been an outage.

        The line tells how the failures are spread over its hosts, and what limits the calls.
        """
        state, limiter, run = self.state, endpoint.limiter, endpoint.limiter.failure_run
        if not run.failures or run.unanswered_span(state.now) < (state.settings.overload_span or 0):
            return
        span = "no answer before"
        if run.answered_at is not None:
            span = f"{(state.now - run.answered_at) / SECOND:.1f} s after the last answer"
        text = (
            f"destination {endpoint.destination} answers again: {run.failures} failed calls,"
            f" {run.silent_failures} without an answer, {span};"
            f" {limiter.calls_in_flight} calls in flight, window {limiter.window:.0f}, hosts "
        )
        hosts = state.destination_of(endpoint).endpoints
        text += ", ".join(f"{host.id} {host.state} {host.failure_share:.2f}" for host in hosts)
        state.actions.append(interface.LogMessage(text))

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
            self._eject_failing_route(endpoint)
        if endpoint.state is not EJECTED:
            return True
        return endpoint.calls_in_flight == 0 and self._may_probe_route(endpoint)

    def _may_probe_route(self, endpoint: Endpoint) -> bool:
        """Whether a route that fails as a whole may get one more probe beside those in flight.

        A probe may hang until its timeout, so the next ones do not wait for it, but they are no
        denser than calls to a returning route.
        """
        state, limiter = self.state, endpoint.limiter
        if limiter.calls_in_flight == 0 or not self._fails_as_route(endpoint):
            return True
        destination = state.destination_of(endpoint)
        next_probe_at = limiter.last_used_at + slow_start.route_call_interval(
            state.settings, endpoint, destination, state.now
        )
        if next_probe_at > state.now:
            state.check_destination_at(endpoint.destination, next_probe_at)
        return next_probe_at <= state.now
