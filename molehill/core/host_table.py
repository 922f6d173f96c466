"""Holds what the core knows of each host: its list entry, its ejection, its route's Retry-After.

This module does no input or output and reads no clock; all times are nanoseconds of the relay's
clock.
"""

from typing import Any, Iterable, Iterator, NamedTuple, Optional

from molehill import interface
from molehill.config import SECOND
from molehill.core import events as ev
from molehill.core.metrics import Metrics
from molehill.decisions.changed_keys import ChangedKeys

# longer than any gap in the list: a host that returns sooner counts as the same host
REMOVED_HOST_RETENTION = 60 * SECOND


class GaugeState(NamedTuple):
    """What a host adds to the gauges of the list."""

    listed: bool = False
    unavailable: bool = False


class HostTable:
    """Hosts by id, including those that left the list recently."""

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        self.by_id: dict[str, ev.Host] = {}
        self.retry_times: dict[object, int] = {}  # route -> end of its Retry-After
        # host -> None while it is ejected, then the end of its slow start
        self.ejected: dict[str, Optional[int]] = {}
        self.unlisted_since: dict[str, int] = {}  # unlisted host -> since when
        self.gauge_states: dict[str, GaugeState] = {}  # of hosts that are listed
        # Addresses at which nobody listened, since discovery last answered. The host may have left,
        # and another one, of another destination, may listen there soon.
        self.refused_addresses: set[tuple[str, int]] = set()
        self.changed_entries: ChangedKeys[str] = ChangedKeys()  # hosts, in their list entry

    def __getitem__(self, host: str) -> ev.Host:
        return self.by_id[host]

    def __contains__(self, host: str) -> bool:
        return host in self.by_id

    def __iter__(self) -> Iterator[str]:
        return iter(self.by_id)

    def __len__(self) -> int:
        return len(self.by_id)

    def values(self) -> Iterable[ev.Host]:
        """Returns all known hosts."""
        return self.by_id.values()

    def set_health(self, host: str, slow_start_end: Optional[int]) -> None:
        """Records a host's ejection, also over restarts (for rule 4 of core/permission.py).

        It counts as ejected while `slow_start_end` is None, and then until `slow_start_end`, when
        it has answered for the whole slow start.
        """
        self.ejected[host] = slow_start_end
        self._update_gauges(host)

    def is_ejected(self, host: str, now: int) -> bool:
        """Whether it was ejected and has not yet answered for the whole slow start."""
        if host not in self.ejected:
            return False
        slow_start_end = self.ejected[host]
        return slow_start_end is None or now < slow_start_end

    def _update_gauges(self, host_id: str) -> None:
        """Updates the gauges of the list to the present state of this host."""
        host = self.by_id.get(host_id)
        listed = host is not None and host.condition is not interface.Condition.GONE
        serving = host is not None and host.condition is interface.Condition.UP
        unavailable = listed and (not serving or self.ejected.get(host_id, 0) is None)
        before = self.gauge_states.get(host_id, GaugeState())
        self.metrics.registry_entries += listed - before.listed
        self.metrics.out_of_rotation += unavailable - before.unavailable
        if listed:
            self.gauge_states[host_id] = GaugeState(listed, unavailable)
        else:
            self.gauge_states.pop(host_id, None)

    def apply_list(self, hosts: list[ev.Host], is_complete: bool) -> list[str]:
        """Applies the whole list (`is_complete`) or its changes.

        Returns the ids of hosts whose idle connections can't be used any more.
        """
        if is_complete:
            listed_ids = {host.id for host in hosts}
            for host in [host for host in self.by_id.values() if host.id not in listed_ids]:
                host.condition = interface.Condition.GONE
                self.changed_entries.note([host.id])
                self._update_gauges(host.id)
        hosts_with_stale_connections = []
        for host in hosts:
            before = self.by_id.get(host.id, host)
            if self.by_id.get(host.id) != host:
                self.changed_entries.note([host.id])
            self.by_id[host.id] = host
            if host.condition is interface.Condition.GONE or before.address != host.address:
                hosts_with_stale_connections.append(host.id)
            self._update_gauges(host.id)
        return hosts_with_stale_connections

    def may_connect(self, address: tuple[str, int]) -> bool:
        """Returns whether a listed host is taken to be at its address, so that it may be called."""
        return address not in self.refused_addresses

    def set_retry_time(self, route: object, until: int) -> None:
        """Records a host's Retry-After for its route; a later end that is known already stays."""
        self.retry_times[route] = max(self.retry_times.get(route, 0), until)

    def drop_expired(self, busy: set[Any], now: int) -> None:
        """Forgets hosts that left long ago and are not `busy`, and what has expired.

        That is the Retry-After of routes and the slow start of hosts.
        """
        for host_id in [*self.by_id, *self.ejected]:
            host = self.by_id.get(host_id)
            listed = host is not None and host.condition is not interface.Condition.GONE
            if host_id in busy or listed:
                self.unlisted_since.pop(host_id, None)
            elif now - self.unlisted_since.setdefault(host_id, now) > REMOVED_HOST_RETENTION:
                self.by_id.pop(host_id, None)
                self.ejected.pop(host_id, None)
                self.unlisted_since.pop(host_id, None)
        self.retry_times = {
            route: until for route, until in self.retry_times.items() if until > now
        }
        self.ejected = {
            host: until for host, until in self.ejected.items() if self.is_ejected(host, now)
        }
