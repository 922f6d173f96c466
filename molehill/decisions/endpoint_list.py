"""The list of endpoints as discovery tells it: who serves, who drains, and when what left is forgotten."""

from molehill import interface as it
from molehill.decisions.endpoint import CLOSED, OPEN, Destination, Endpoint
from molehill.decisions.limiter import SECOND, Limiter
from molehill.decisions.state import State

# jittered; sooner, many relays that were turned away keep the list overloaded
ASK_AGAIN = 2 * SECOND
# longer than ramps and gaps in the list: one that comes back sooner is known
FORGOTTEN_AFTER = 30 * SECOND


def kind_of(settings: it.Settings, number: int) -> it.Kind:
    """The settings of a kind of endpoints; one that is not known takes a callback a call."""
    return settings.kinds[number] if number < len(settings.kinds) else it.Kind(False, 1)


class EndpointList:
    """Keeps the state's endpoints and destinations as listed."""

    def __init__(self, state: State, kinds: int) -> None:
        """`kinds`: how many are told apart."""
        self.state, self.kinds = state, kinds

    def news(self, news: it.ListNews) -> None:
        """Discovery told something, or could not be asked."""
        state = self.state
        if news.scope is it.Scope.FAILED:
            again = state.now + int(ASK_AGAIN * (0.5 + state.random()))
            state.at(again, self._follow, None)
            return
        if news.scope is it.Scope.RESTORED and state.settings.list_on_request:
            self._follow(None)
        if news.scope is not it.Scope.UPDATE:
            named = {entry.host for entry in news.entries}
            for endpoint in [e for e in state.endpoints.values() if e.id not in named]:
                self._set_serving(endpoint, False)
        for entry in news.entries:
            endpoint = state.endpoints.get(entry.host) or self._add(entry)
            if state.settings.units_are_rates:
                endpoint.limiter.told_rate = entry.units
            self._set_serving(endpoint, entry.condition is it.Condition.UP)

    def _follow(self, _: None) -> None:
        self.state.actions.append(it.FollowList())

    def _add(self, entry: it.HostEntry) -> Endpoint:
        state = self.state
        destination = state.destination(entry.destination)
        destination.known += 1
        kind = kind_of(state.settings, entry.kind)
        endpoint = state.endpoints[entry.host] = Endpoint(
            entry,
            kind.per_call,
            min(entry.kind, self.kinds - 1),
            Limiter(state.now) if kind.apart else destination.limiter,
            CLOSED if entry.away else OPEN,  # rule 4
            state.now,
        )
        return endpoint

    def _set_serving(self, endpoint: Endpoint, up: bool) -> None:
        """Rule 3: an endpoint that drains or is gone gets nothing new from this moment."""
        state = self.state
        if endpoint.up != up:
            endpoint.up = up
            self._changed(endpoint, state.destination(endpoint.destination))
        if not up:
            state.at(state.now + FORGOTTEN_AFTER, self._forget, endpoint.id)

    def _changed(self, endpoint: Endpoint, destination: Destination) -> None:
        state, number = self.state, endpoint.destination
        if endpoint.up:
            destination.endpoints.append(endpoint)
        else:
            destination.endpoints.remove(endpoint)
        destination.usual = max(destination.usual, len(destination.endpoints))
        if not endpoint.up:
            state.at(state.now + FORGOTTEN_AFTER, self._forget_usual, number)
        elif endpoint.state is OPEN:
            # Danger: hosts are replaced faster than rests after refusals end. A new one gave no cause.
            endpoint.limiter.paused_until = endpoint.limiter.told_wait_until
            endpoint.limiter.bad_rounds = 0
        state.to_look_at[number] = True

    def _forget(self, host: it.Id) -> None:
        """Danger: hosts come and go all day. What left is forgotten, with its destination if the last."""
        state = self.state
        endpoint = state.endpoints.get(host)
        if endpoint is None or endpoint.up:
            return
        destination = state.destination_of(endpoint)
        last = destination.known == 1
        in_use = last and (destination.waiting or destination.calls_out)
        if endpoint.calls_out or in_use:
            state.at(state.now + FORGOTTEN_AFTER, self._forget, host)
            return
        del state.endpoints[host]
        destination.known -= 1
        if last:
            del state.destinations[endpoint.destination]

    def _forget_usual(self, number: int) -> None:
        """By now clients have got used to fewer hosts, or others have come in place of those that left."""
        destination = self.state.destinations.get(number)
        if destination is not None:
            destination.usual = len(destination.endpoints)
