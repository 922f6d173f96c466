"""The endpoints as listed by discovery: which ones serve, and when those that left are removed."""

from molehill import interface
from molehill.decisions import slow_start
from molehill.decisions.endpoint import EJECTED, HEALTHY, SLOW_START, Destination, Endpoint
from molehill.decisions.limiter import SECOND, Limiter
from molehill.decisions.state import State

# jittered; with a shorter delay, many relays that were refused keep discovery overloaded
LIST_RETRY_DELAY = 2 * SECOND
# longer than slow starts and gaps in the list: a host that returns sooner keeps its state
FORGET_AFTER = 30 * SECOND


def settings_of_kind(settings: interface.Settings, number: int) -> interface.HostKind:
    """Returns the settings of a kind; an unknown one takes a single callback in a call."""
    return settings.kinds[number] if number < len(settings.kinds) else interface.HostKind(False, 1)


class EndpointList:
    """Keeps the endpoints and destinations of the state in step with the list."""

    def __init__(self, state: State, kind_count: int) -> None:
        """Makes a list for that many kinds; higher kind numbers count as the last one."""
        self.state, self.kind_count = state, kind_count

    def apply_update(self, update: interface.HostListUpdate) -> None:
        """Applies an update from discovery, or schedules a retry if the request failed."""
        state = self.state
        if update.scope is interface.ListScope.FAILED:
            retry_at = state.now + int(LIST_RETRY_DELAY * (0.5 + state.random()))
            state.schedule(retry_at, self._watch_list, None)
            return
        if update.scope is interface.ListScope.RESTORED and state.settings.list_on_request:
            self._watch_list(None)
        if update.scope is not interface.ListScope.UPDATE:
            listed_ids = {entry.host for entry in update.entries}
            for endpoint in [e for e in state.endpoints.values() if e.id not in listed_ids]:
                self._set_serving(endpoint, False)
        newly_serving = []
        for entry in update.entries:
            endpoint = state.endpoints.get(entry.host) or self._add_endpoint(entry)
            if (
                state.settings.weights_are_rates
                and endpoint.limiter.advertised_rate != entry.weight
            ):
                state.changed_destinations.note([endpoint.destination])
                endpoint.limiter.advertised_rate = entry.weight
            was_serving = endpoint.is_serving
            self._set_serving(endpoint, entry.condition is interface.Condition.UP)
            if endpoint.is_serving and not was_serving:
                newly_serving.append(endpoint)
        if update.scope is not interface.ListScope.RESTORED:
            for endpoint in newly_serving:
                self._share_health_of_route(endpoint)

    def _share_health_of_route(self, endpoint: Endpoint) -> None:
        """Rule 4: a host that joins a destination without a healthy host is limited as the others.

        A destination in an outage, or in slow start after it, is cold with all its hosts.
        """
        state = self.state
        destination = state.destination_of(endpoint)
        others = [
            host
            for host in destination.endpoints
            if host is not endpoint and host.limiter is endpoint.limiter
        ]
        if endpoint.state is not HEALTHY or not others:
            return
        if any(host.state is HEALTHY for host in others):
            return
        warmest = min(others, key=lambda host: (host.state is EJECTED, host.state_since))
        endpoint.state, endpoint.state_since = warmest.state, warmest.state_since
        if endpoint.state is SLOW_START:
            interval = slow_start.call_interval(state.settings, endpoint, destination, state.now)
            endpoint.next_call_at = state.now + interval
        is_ejected = endpoint.state is EJECTED
        text = f"host {endpoint.id} joins destination {endpoint.destination}, which is cold"
        state.actions.append(interface.ReportHealth(endpoint.id, is_ejected, text))

    def _watch_list(self, _: None) -> None:
        self.state.actions.append(interface.WatchHostList())

    def _add_endpoint(self, entry: interface.HostEntry) -> Endpoint:
        state = self.state
        destination = state.ensure_destination(entry.destination)
        destination.known_endpoint_count += 1
        state.changed_destinations.note([entry.destination])
        kind = settings_of_kind(state.settings, entry.kind)
        endpoint = state.endpoints[entry.host] = Endpoint(
            entry,
            kind.callbacks_per_call,
            min(entry.kind, self.kind_count - 1),
            Limiter(state.now) if kind.separate_routes else destination.limiter,
            EJECTED if entry.ejected else HEALTHY,  # rule 4
            state.now,
        )
        return endpoint

    def _set_serving(self, endpoint: Endpoint, is_serving: bool) -> None:
        """Rule 3: an endpoint that is draining or gone gets no new calls from now on."""
        state = self.state
        if endpoint.is_serving != is_serving:
            endpoint.is_serving = is_serving
            self._serving_changed(endpoint, state.ensure_destination(endpoint.destination))
        if not is_serving:
            state.schedule(state.now + FORGET_AFTER, self._forget_endpoint, endpoint.id)

    def _serving_changed(self, endpoint: Endpoint, destination: Destination) -> None:
        state, number = self.state, endpoint.destination
        if endpoint.is_serving:
            destination.endpoints.append(endpoint)
        else:
            destination.endpoints.remove(endpoint)
        destination.usual_endpoint_count = max(
            destination.usual_endpoint_count, len(destination.endpoints)
        )
        if not endpoint.is_serving:
            state.schedule(state.now + FORGET_AFTER, self._reset_usual_count, number)
        elif endpoint.state is HEALTHY:
            # Hosts are replaced faster than the backoff after refusals ends, and a new host has not
            # caused it.
            endpoint.limiter.paused_until = endpoint.limiter.retry_after_until
            endpoint.limiter.bad_rounds = 0
        state.destinations_to_check[number] = True

    def _forget_endpoint(self, host: interface.Id) -> None:
        """Removes an endpoint that left, and its destination if it was the last one there.

        Hosts come and go all day, so without this the state would grow without bound.
        """
        state = self.state
        endpoint = state.endpoints.get(host)
        if endpoint is None or endpoint.is_serving:
            return
        destination = state.destination_of(endpoint)
        is_last = destination.known_endpoint_count == 1
        in_use = is_last and (destination.waiting_count or destination.calls_in_flight)
        if endpoint.calls_in_flight or in_use:
            state.schedule(state.now + FORGET_AFTER, self._forget_endpoint, host)
            return
        del state.endpoints[host]
        destination.known_endpoint_count -= 1
        if is_last:
            del state.destinations[endpoint.destination]

    def _reset_usual_count(self, number: int) -> None:
        """Sets the usual count to the current one.

        By now clients have adapted to fewer hosts, or others have replaced those that left.
        """
        destination = self.state.destinations.get(number)
        if destination is not None:
            destination.usual_endpoint_count = len(destination.endpoints)
