"""Judges a route as a whole: a destination, or a single endpoint where routes are separate.

Rule 4 speaks of a destination, and the more hosts it has, the fewer of a relay's calls fail at each.
"""

from molehill import interface
from molehill.decisions import slow_start
from molehill.decisions.call_outcomes import (
    answer_was_due,
    is_caused_by_host,
    is_idle_reset,
    was_noticed_late,
)
from molehill.decisions.endpoint import EJECTED, HEALTHY, Call, Endpoint
from molehill.decisions.limiter import SECOND
from molehill.decisions.state import State
from molehill.interface import Result


class RouteHealth:
    """Ejects the hosts of a route that fails as a whole, and limits the probes of it."""

    def __init__(self, state: State) -> None:
        self.state = state

    def count_outcome(self, call: Call, event: interface.Outcome) -> None:
        """Counts the outcome of a call for the failure run of its route, once for each call."""
        endpoint, result, now = call.endpoint, event.result, self.state.now
        run = endpoint.limiter.failure_run
        if result is Result.DELIVERED:
            self._report_return(endpoint)
            run.count_success(now)
            return
        if is_idle_reset(call, result):
            run.count_idle_reset()
            return
        if not self._shows_failure(call, event):
            return
        run.count_failure(result, call.sent_at, now)
        self.eject_if_failing(endpoint)
        span = self.state.settings.overload_span
        if span and run.answered_at is not None and run.unanswered_span(now) < span:
            # If no call follows until then, a restart has to find the hosts ejected.
            self.state.schedule(run.answered_at + span, self.eject_if_failing, endpoint)

    def _shows_failure(self, call: Call, event: interface.Outcome) -> bool:
        """Whether an outcome other than a delivery speaks against the route."""
        if event.result is Result.REFUSED:
            limits_are_advertised = self.state.settings.limits_are_advertised
            # A rate that was learned from refusals, or is advertised, limits the calls by itself.
            return not call.endpoint.limiter.refusal_teaches_rate(limits_are_advertised)
        if event.result is Result.TIMEOUT:
            return answer_was_due(call, event) and not was_noticed_late(call, event)
        return is_caused_by_host(call, event.result)

    def is_failing(self, endpoint: Endpoint) -> bool:
        """Whether its route as a whole seems to be in an outage."""
        span, run = self.state.settings.overload_span, endpoint.limiter.failure_run
        return bool(span and run.shows_outage(self.state.now, span))

    def eject_if_failing(self, endpoint: Endpoint) -> None:
        """Rule 4: ejects the healthy hosts of a route that fails, as all may return cold.

        With few calls, or calls spread over several hosts, none of these fails often enough to be
        ejected for its own calls. The next call may be sent at once: it is the probe.
        """
        if not self.is_failing(endpoint):
            return
        state, limiter = self.state, endpoint.limiter
        destination = state.destinations.get(endpoint.destination)
        if destination is None:
            return  # all its hosts left, and were forgotten
        state.changed_destinations.note([endpoint.destination])
        for host in destination.endpoints:
            if host.limiter is limiter and host.state is HEALTHY:
                host.state, host.state_since = EJECTED, state.now
                text = f"host {host.id} closed: destination {host.destination} does not answer"
                state.actions.append(interface.ReportHealth(host.id, True, text))

    def may_probe(self, endpoint: Endpoint) -> bool:
        """Whether a route that fails as a whole may get one more probe beside those in flight.

        A probe may hang until its timeout, so the next ones do not wait for it, but they are no
        denser than calls to a returning route.
        """
        state, limiter = self.state, endpoint.limiter
        if limiter.calls_in_flight == 0 or not self.is_failing(endpoint):
            return True
        destination = state.destination_of(endpoint)
        next_probe_at = limiter.last_used_at + slow_start.route_call_interval(
            state.settings, endpoint, destination, state.now
        )
        if next_probe_at > state.now:
            state.check_destination_at(endpoint.destination, next_probe_at)
        return next_probe_at <= state.now

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
