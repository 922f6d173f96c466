"""Discovery: the list that is known at the start, and the watch that follows it."""
import json

from molehill import interface as it
from molehill.config import ConfigError, address
from molehill.core import events as ev
from molehill.net import http
from molehill.net.stream import Broken, Late, connected

MS = 1_000_000
SECOND = 1000 * MS
HOLD = 10 * SECOND                 # a watch that went silent is noticed within this and the next figure
ANSWER_WITHIN = 1500 * MS          # after the hold; what is told counts as known 2 s after it
CONDITIONS = {"active": it.Condition.UP, "leaving": it.Condition.DRAINING, "left": it.Condition.GONE}


def read_list(text, config):
    """The version, whether it is the whole list, and its entries; raises ValueError on anything else."""
    data = json.loads(text) if isinstance(text, (bytes, str)) else text
    try:
        hosts = []
        for row in data.get("endpoints", []):
            kind = config.kinds.get(row.get("type"), 0)
            hosts.append(ev.Host(str(row["name"]), address(row["address"], "address"),
                                 config.zones.get(row.get("zone"), 0), kind, int(row["group"]),
                                 CONDITIONS[row["status"]], float(row.get("weight", 0.0))))
        return int(data.get("index", 0)), bool(data.get("snapshot", False)), hosts
    except (AttributeError, KeyError, TypeError, ConfigError) as error:
        raise ValueError(f"not a list of hosts: {error!r}") from None


class Discovery:
    def __init__(self, scheduler, config, budget, post):
        self.scheduler, self.config, self.budget, self.post = scheduler, config, budget, post
        self.clock, self.version, self.watching, self.stream = scheduler.clock, 0, False, None

    def begin(self) -> None:
        """The list as this relay last had it."""
        self.version, _, hosts = read_list(self.config.known, self.config)
        self.post(ev.Listed(it.Scope.RESTORED, hosts))

    def watch(self) -> None:
        if not self.watching:
            self.watching = True
            self.scheduler.spawn(self._watch)

    def _watch(self) -> None:
        """Watches one after another, each at once after the last, until one fails."""
        try:
            while True:
                try:
                    version, whole, hosts = self._ask()
                except Late:               # silent beyond its hold: once more, on a new connection
                    self._close()
                    version, whole, hosts = self._ask()
                self.version = version
                if whole or hosts:
                    self.post(ev.Listed(it.Scope.WHOLE if whole else it.Scope.UPDATE, hosts))
        except (Broken, Late, http.Malformed, ValueError):
            pass
        self._close()
        self.watching = False
        self.post(ev.Listed(it.Scope.FAILED))

    def _ask(self):
        until = self.clock() + HOLD + ANSWER_WITHIN
        if self.stream is None or not self.stream.quiet():
            self._close()
            within = self.clock() + self.config.connect_time_out
            self.stream = connected(self.scheduler, self.config.discovery, "discovery", self.budget, within)
        target = f"/registry/instances?from={self.version}&hold_ms={HOLD // MS}"
        self.stream.send(http.request("GET", target, "%s:%d" % self.config.discovery), until)
        return read_list(*fetch(self.stream, until, self.config))

    def _close(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None


def fetch(stream, until, config):
    head = stream.head(until)
    body = stream.body(head, until)
    if head.status != 200:
        raise ValueError(f"status {head.status}")
    if not head.keep:
        stream.close()
    return body, config
