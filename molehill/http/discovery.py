"""Discovery: the list that is known at the start, and the watch that follows it."""

import json
from functools import partial
from typing import Optional

from molehill import interface
from molehill.config import MS, SECOND, ConfigError, parse_address
from molehill.core import events as ev
from molehill.core.host_list import restore_host_list
from molehill.http import parser as http
from molehill.http.stream import HttpStream
from molehill.invariants import check_invariant
from molehill.runtime.stream import ConnectionBroken, PersistentConnection, TimedOut

# a watch that went silent is noticed within this and the next figure
WATCH_HOLD = 10 * SECOND
FIRST_WATCH_HOLD = MS  # of a process's first watch: whether there is news, at once
ANSWER_TIMEOUT = 1500 * MS  # after the hold; what is told counts as known 2 s after it
# A whole list has no hold: what it would tell counts as known 6 s after it fell silent. Longer each time, should it be so slow.
WHOLE_LIST_TIMEOUT, MAX_WHOLE_LIST_TIMEOUT = 5 * SECOND, 20 * SECOND
# after an answer that came at once with no news: half of what ends a watch
MIN_WATCH_INTERVAL = 100 * MS
# The list is the one body that grows with the fleet. Danger: bounded as the others, one of some hundreds of hosts is never read,
# and the relay calls whom it knew at its start. An entry takes some 160 bytes, indented 300, so this holds 3,500 at the least;
# beyond, a thirty-second of the memory: it stands there as bytes, as text and as entries at once.
MIN_LIST_BYTES, LIST_MEMORY_DIVISOR = 1 << 20, 32
CONDITION_BY_STATUS = {
    "active": interface.Condition.UP,
    "leaving": interface.Condition.DRAINING,
    "left": interface.Condition.GONE,
}


def parse_list(text, config):
    """The version, whether it is the whole list, and its entries; raises ValueError on anything else."""
    try:
        data = json.loads(text) if isinstance(text, (bytes, str)) else text
        rows, version, is_whole = (
            data.get("endpoints", []),
            int(data.get("index", 0)),
            bool(data.get("snapshot")),
        )
        return (
            version,
            is_whole,
            [host for host in (parse_host(row, config) for row in rows) if host is not None],
        )
    except (AttributeError, KeyError, TypeError, OverflowError, RecursionError) as error:
        raise ValueError(f"not a list of hosts: {error!r}") from None


def parse_host(row, config):
    """One entry, or None for one that can't be read: it shall not take the others with it."""
    try:
        # an unknown one is a plain kind
        kind = config.kinds.get(row.get("type"), len(config.kinds))
        host = ev.Host(
            str(row["name"]),
            parse_address(row["address"], "address"),
            0,
            kind,
            int(row["group"]),
            CONDITION_BY_STATUS.get(row["status"], interface.Condition.DRAINING),
            float(row.get("weight") or 0.0),
        )
        host.zone_name, host.kind_name = str(row.get("zone")), str(row.get("type"))
        host.zone = config.zones.setdefault(host.zone_name, len(config.zones))
        return host
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError, ConfigError):
        check_invariant(False, "entry_of_the_list", row=repr(row)[:200])
        return None


def list_entry(host: ev.Host, config) -> dict:
    """A host as an entry of the list."""
    name_of = (
        {n: name for name, n in config.kinds.items()},
        {n: name for name, n in config.zones.items()},
    )
    status = next(
        word for word, condition in CONDITION_BY_STATUS.items() if condition is host.condition
    )
    return {
        "name": host.id,
        "address": "%s:%d" % host.address,
        "zone": name_of[1].get(host.zone),
        "status": status,
        "type": name_of[0].get(host.kind),
        "group": host.destination,
        "weight": host.weight,
    }


class ResponseTimeout(TimedOut):
    """Discovery took a call and tells nothing, or only half."""


class Discovery:
    def __init__(self, scheduler, config, budget, post, logged_list=None):
        """`logged_list`: the list as the log has it, of molehill/core/host_list.py."""
        self.scheduler, self.config, self.post, self.logged_list = (
            scheduler,
            config,
            post,
            logged_list,
        )
        self.clock, self.is_watching = scheduler.clock, False
        self.has_answered = False  # has discovery answered this process, or one that handed over
        self.version: Optional[int] = 0  # to watch from; None: the whole list is asked for
        make_stream = partial(
            HttpStream, max_body_bytes=max(MIN_LIST_BYTES, config.memory // LIST_MEMORY_DIVISOR)
        )
        self.connection, self.address_changes = (
            PersistentConnection(
                scheduler, lambda: config.discovery, "discovery", budget, make_stream
            ),
            0,
        )

    def restore_list(self, known=None) -> None:
        """The list as this relay last had it: `known` by the process before it, else by the log and the file; none at all rather
        than no start."""
        hosts: list[ev.Host] = []
        version: Optional[int] = 0
        self.has_answered = known is not None
        try:
            if known is None:
                entries, version = restore_host_list(
                    self.logged_list, self.config.known, self.source()
                )
                known = {"endpoints": entries, "index": version or 0}
            listed_version, _, hosts = parse_list(known, self.config)
            self.version = listed_version if version is not None else None
        except ValueError as error:
            check_invariant(False, "list_at_the_start", error=str(error))
        self.post(
            ev.HostListReceived(interface.ListScope.RESTORED, hosts, self.version, self.source())
        )

    def source(self) -> str:
        return "%s:%d" % self.config.discovery

    def start_watch(self) -> None:
        if not self.is_watching:
            self.is_watching = True
            self.scheduler.spawn(self._run_watches)

    def change_address(self) -> None:
        """Discovery has another address: its whole list at once, as it may count in another way."""
        self.address_changes, self.version = self.address_changes + 1, None
        self.connection.close()
        self.start_watch()

    def _run_watches(self) -> None:
        """Watches one after another, each at once after the last, until one fails; a move only begins anew."""
        try:
            address_changes = None
            while address_changes != self.address_changes:
                address_changes = self.address_changes
                try:
                    while True:
                        self._watch_once()
                except (ConnectionBroken, TimedOut, http.MalformedMessage, ValueError):
                    self.connection.close()
        finally:
            self.connection.close()
            self.is_watching = False
            self.post(ev.HostListReceived(interface.ListScope.FAILED))

    def _watch_once(self) -> None:
        began, known_version, timeout, may_retry = (
            self.clock(),
            self.version,
            WHOLE_LIST_TIMEOUT,
            True,
        )
        source, is_first = self.source(), not self.has_answered
        while True:
            try:
                version, is_whole, hosts = self._request_list(timeout)
                break
            except ResponseTimeout:
                # Danger: the watch that takes its place may be silent too. Rested after that, as after a failure, the relay has
                # no watch while what it misses counts as told. Each waits its whole time, so nobody is pressed by this.
                self.connection.close()
                timeout = min(2 * timeout, MAX_WHOLE_LIST_TIMEOUT)
            except TimedOut:  # it never came up: once more at once
                self.connection.close()
                if not may_retry:
                    raise
                may_retry = False
        # Danger: a discovery that counts anew would keep its news until it has caught up.
        self.version = version if is_whole or version >= (known_version or 0) else None
        if is_whole or hosts or is_first:
            scope = interface.ListScope.WHOLE if is_whole else interface.ListScope.UPDATE
            self.post(ev.HostListReceived(scope, hosts, version, source))
        if version == known_version and self.clock() - began < MIN_WATCH_INTERVAL:
            self.scheduler.sleep_until(began + MIN_WATCH_INTERVAL)

    def _request_list(self, timeout):
        holds_answer = self.version is not None and self.has_answered
        until = self.clock() + (WATCH_HOLD + ANSWER_TIMEOUT if holds_answer else timeout)
        stream = self.connection.get_stream(self.clock() + self.config.connect_time_out)
        target = "/registry/instances"  # the whole list, at once
        if self.version is not None:
            hold = WATCH_HOLD if self.has_answered else FIRST_WATCH_HOLD
            target += f"?from={self.version}&hold_ms={hold // MS}"
        stream.send(http.build_request("GET", target, "%s:%d" % self.config.discovery), until)
        try:
            head = stream.read_response_head(until)
            body = stream.read_body(head, until)
        except TimedOut as error:
            raise ResponseTimeout() from error
        if head.status != 200:
            raise ValueError(f"status {head.status}")
        if not head.keep_alive:
            self.connection.close()
        self.has_answered = True
        return parse_list(body, self.config)
