"""Discovery: the list that is known at the start, and the watch that follows it."""

import json
from functools import partial
from typing import Optional

from molehill import interface
from molehill.config import MS, SECOND, ConfigError, address
from molehill.core import events as ev
from molehill.core.host_list import restore_host_list
from molehill.http import parser as http
from molehill.http.stream import HttpStream
from molehill.invariants import check_invariant
from molehill.runtime.stream import Broken, Late, Single

# a watch that went silent is noticed within this and the next figure
HOLD = 10 * SECOND
FIRST_HOLD = MS  # of a process's first watch: whether there is news, at once
ANSWER_WITHIN = 1500 * MS  # after the hold; what is told counts as known 2 s after it
# A whole list has no hold: what it would tell counts as known 6 s after it fell silent. Longer each time, should it be so slow.
WHOLE_WITHIN, WHOLE_MOST = 5 * SECOND, 20 * SECOND
# after an answer that came at once with no news: half of what ends a watch
PAUSE = 100 * MS
# The list is the one body that grows with the fleet. Danger: bounded as the others, one of some hundreds of hosts is never read,
# and the relay calls whom it knew at its start. An entry takes some 160 bytes, indented 300, so this holds 3,500 at the least;
# beyond, a thirty-second of the memory: it stands there as bytes, as text and as entries at once.
LIST_LEAST, LIST_PART = 1 << 20, 32
CONDITIONS = {
    "active": interface.Condition.UP,
    "leaving": interface.Condition.DRAINING,
    "left": interface.Condition.GONE,
}


def read_list(text, config):
    """The version, whether it is the whole list, and its entries; raises ValueError on anything else."""
    try:
        data = json.loads(text) if isinstance(text, (bytes, str)) else text
        rows, version, whole = (
            data.get("endpoints", []),
            int(data.get("index", 0)),
            bool(data.get("snapshot")),
        )
        return (
            version,
            whole,
            [host for host in (read_host(row, config) for row in rows) if host is not None],
        )
    except (AttributeError, KeyError, TypeError, OverflowError, RecursionError) as error:
        raise ValueError(f"not a list of hosts: {error!r}") from None


def read_host(row, config):
    """One entry, or None for one that can't be read: it shall not take the others with it."""
    try:
        # an unknown one is a plain kind
        kind = config.kinds.get(row.get("type"), len(config.kinds))
        host = ev.Host(
            str(row["name"]),
            address(row["address"], "address"),
            0,
            kind,
            int(row["group"]),
            CONDITIONS.get(row["status"], interface.Condition.DRAINING),
            float(row.get("weight") or 0.0),
        )
        host.zone_name, host.kind_name = str(row.get("zone")), str(row.get("type"))
        host.zone = config.zones.setdefault(host.zone_name, len(config.zones))
        return host
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError, ConfigError):
        check_invariant(False, "entry_of_the_list", row=repr(row)[:200])
        return None


def listed(host: ev.Host, config) -> dict:
    """A host as an entry of the list."""
    name_of = (
        {n: name for name, n in config.kinds.items()},
        {n: name for name, n in config.zones.items()},
    )
    status = next(word for word, condition in CONDITIONS.items() if condition is host.condition)
    return {
        "name": host.id,
        "address": "%s:%d" % host.address,
        "zone": name_of[1].get(host.zone),
        "status": status,
        "type": name_of[0].get(host.kind),
        "group": host.destination,
        "weight": host.weight,
    }


class Silent(Late):
    """Discovery took a call and tells nothing, or only half."""


class Discovery:
    def __init__(self, scheduler, config, budget, post, told=None):
        """`told`: the list as the log has it, of molehill/core/host_list.py."""
        self.scheduler, self.config, self.post, self.told = scheduler, config, post, told
        self.clock, self.watching = scheduler.clock, False
        self.answered = False  # has discovery answered this process, or one that handed over
        self.version: Optional[int] = 0  # to watch from; None: the whole list is asked for
        kind = partial(HttpStream, most=max(LIST_LEAST, config.memory // LIST_PART))
        self.line, self.moves = (
            Single(scheduler, lambda: config.discovery, "discovery", budget, kind),
            0,
        )

    def begin(self, known=None) -> None:
        """The list as this relay last had it: `known` by the process before it, else by the log and the file; none at all rather
        than no start."""
        hosts: list[ev.Host] = []
        version: Optional[int] = 0
        self.answered = known is not None
        try:
            if known is None:
                entries, version = restore_host_list(self.told, self.config.known, self.source())
                known = {"endpoints": entries, "index": version or 0}
            listed_version, _, hosts = read_list(known, self.config)
            self.version = listed_version if version is not None else None
        except ValueError as error:
            check_invariant(False, "list_at_the_start", error=str(error))
        self.post(
            ev.HostListReceived(interface.ListScope.RESTORED, hosts, self.version, self.source())
        )

    def source(self) -> str:
        return "%s:%d" % self.config.discovery

    def watch(self) -> None:
        if not self.watching:
            self.watching = True
            self.scheduler.spawn(self._watch)

    def move(self) -> None:
        """Discovery has another address: its whole list at once, as it may count in another way."""
        self.moves, self.version = self.moves + 1, None
        self.line.close()
        self.watch()

    def _watch(self) -> None:
        """Watches one after another, each at once after the last, until one fails; a move only begins anew."""
        try:
            moves = None
            while moves != self.moves:
                moves = self.moves
                try:
                    while True:
                        self._follow()
                except (Broken, Late, http.Malformed, ValueError):
                    self.line.close()
        finally:
            self.line.close()
            self.watching = False
            self.post(ev.HostListReceived(interface.ListScope.FAILED))

    def _follow(self) -> None:
        began, before, patience, again = self.clock(), self.version, WHOLE_WITHIN, True
        source, first = self.source(), not self.answered
        while True:
            try:
                version, whole, hosts = self._ask(patience)
                break
            except Silent:
                # Danger: the watch that takes its place may be silent too. Rested after that, as after a failure, the relay has
                # no watch while what it misses counts as told. Each waits its whole time, so nobody is pressed by this.
                self.line.close()
                patience = min(2 * patience, WHOLE_MOST)
            except Late:  # it never came up: once more at once
                self.line.close()
                if not again:
                    raise
                again = False
        # Danger: a discovery that counts anew would keep its news until it has caught up.
        self.version = version if whole or version >= (before or 0) else None
        if whole or hosts or first:
            scope = interface.ListScope.WHOLE if whole else interface.ListScope.UPDATE
            self.post(ev.HostListReceived(scope, hosts, version, source))
        if version == before and self.clock() - began < PAUSE:
            self.scheduler.sleep(began + PAUSE)

    def _ask(self, patience):
        holds_answer = self.version is not None and self.answered
        until = self.clock() + (HOLD + ANSWER_WITHIN if holds_answer else patience)
        stream = self.line.get(self.clock() + self.config.connect_time_out)
        target = "/registry/instances"  # the whole list, at once
        if self.version is not None:
            hold = HOLD if self.answered else FIRST_HOLD
            target += f"?from={self.version}&hold_ms={hold // MS}"
        stream.send(http.request("GET", target, "%s:%d" % self.config.discovery), until)
        try:
            head = stream.answer(until)
            body = stream.body(head, until)
        except Late as error:
            raise Silent() from error
        if head.status != 200:
            raise ValueError(f"status {head.status}")
        if not head.keep:
            self.line.close()
        self.answered = True
        return read_list(body, self.config)
