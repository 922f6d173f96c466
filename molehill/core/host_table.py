"""What the core knows of each host: its row of the list, whether it was away, and waits that its route was told.

No input, output or clock here; all times are nanoseconds of the relay's clock.
"""

from typing import Any, Iterable, Iterator, NamedTuple, Optional

from molehill import interface
from molehill.config import SECOND
from molehill.core import events as ev
from molehill.core.figures import Figures

# longer than any gap in the list: a host that is back sooner is the one known
LEFT_KEPT = 60 * SECOND


class Shown(NamedTuple):
    """How a host counts in the gauges of the list."""

    listed: bool = False
    avoided: bool = False


class HostTable:
    """Hosts by their id, those that left lately with them."""

    def __init__(self, figures: Figures):
        self.figures = figures
        self.known: dict[str, ev.Host] = {}
        self.waits: dict[object, int] = {}  # route -> end of a told wait
        # host -> None while closed, then when its ramp is over
        self.away: dict[str, Optional[int]] = {}
        self.left: dict[str, int] = {}  # host that is not listed -> since when
        self.shown: dict[str, Shown] = {}  # of hosts that are listed

    def __getitem__(self, host: str) -> ev.Host:
        return self.known[host]

    def __contains__(self, host: str) -> bool:
        return host in self.known

    def __iter__(self) -> Iterator[str]:
        return iter(self.known)

    def __len__(self) -> int:
        return len(self.known)

    def values(self) -> Iterable[ev.Host]:
        """All that are known."""
        return self.known.values()

    def set_health(self, host: str, ramp_over: Optional[int]) -> None:
        """Rule 4 over restarts: a host is away from its closing (None) until it has answered for the whole ramp."""
        self.away[host] = ramp_over
        self._show(host)

    def is_away(self, host: str, now: int) -> bool:
        """Whether it was closed and has not yet answered for the whole ramp."""
        if host not in self.away:
            return False
        ramp_over = self.away[host]
        return ramp_over is None or now < ramp_over

    def _show(self, number: str) -> None:
        """Keeps the gauges of the list: what of this host counts in them now."""
        host = self.known.get(number)
        listed = host is not None and host.condition is not interface.Condition.GONE
        serving = host is not None and host.condition is interface.Condition.UP
        avoided = listed and (not serving or self.away.get(number, 0) is None)
        before = self.shown.get(number, Shown())
        self.figures.registry_entries += listed - before.listed
        self.figures.out_of_rotation += avoided - before.avoided
        if listed:
            self.shown[number] = Shown(listed, avoided)
        else:
            self.shown.pop(number, None)

    def take_list(self, hosts: list[ev.Host], whole: bool) -> list[str]:
        """The list, or what changed of it; ids of hosts whose idle connections are of no use any more."""
        if whole:
            named = {host.id for host in hosts}
            for host in [host for host in self.known.values() if host.id not in named]:
                host.condition = interface.Condition.GONE
                self._show(host.id)
        useless = []
        for host in hosts:
            before = self.known.get(host.id, host)
            self.known[host.id] = host
            if host.condition is interface.Condition.GONE or before.address != host.address:
                useless.append(host.id)
            self._show(host.id)
        return useless

    def add_wait(self, route: object, until: int) -> None:
        """A host told that route to wait."""
        self.waits[route] = max(self.waits.get(route, 0), until)

    def forget(self, busy: set[Any], now: int) -> None:
        """Drops what is kept of hosts that left long ago and are not `busy`; waits and ramps that are over."""
        for number in [*self.known, *self.away]:
            host = self.known.get(number)
            listed = host is not None and host.condition is not interface.Condition.GONE
            if number in busy or listed:
                self.left.pop(number, None)
            elif now - self.left.setdefault(number, now) > LEFT_KEPT:
                self.known.pop(number, None)
                self.away.pop(number, None)
                self.left.pop(number, None)
        self.waits = {route: until for route, until in self.waits.items() if until > now}
        self.away = {host: until for host, until in self.away.items() if self.is_away(host, now)}
