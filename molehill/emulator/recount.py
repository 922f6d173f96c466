"""Count a relay's metrics again from what crossed the wires since its process began, without its
code.

The operators' page allows a difference of 1% (attempts 2%) or 3. At a kill it is unknown what the
process had received of the calls in progress, and so what the next one counts: as many more are
allowed (`unsure`), and one for each client that left without an answer.
"""

from collections import Counter, defaultdict, deque

from molehill.config import MS
from molehill.core.metrics import DELIVERED, FAULTED, THROTTLED
from molehill.emulator.referee import CROSSING_SPAN
from molehill.emulator.scenario import FAULTS, directions

SIGHUP = 1
HANDOVER_SPAN = 250 * MS  # longest pause of an upgrade, and what crosses its ends
BY_STATUS = {429: THROTTLED, 503: THROTTLED, 500: FAULTED}
BY_RESULT = {"bounced": THROTTLED, "dead": FAULTED}


class Recount:
    """Watches the events of a run and counts what each relay's metrics should show."""

    def __init__(self, world, scenario):
        # cut_parties: parties at either end of a path that had a fault
        self.scenario, self.cut_parties = scenario, set()
        # id -> class; call -> (relay, ids, connection); (relay, id) -> end seen in this process
        self.class_by_id, self.calls, self.ended = {}, {}, {}
        self.counts, self.written, self.unsure = defaultdict(Counter), Counter(), Counter()
        # relay -> [broken, valid] configuration files since its process began
        self.files = defaultdict(lambda: [0, 0])
        # relays whose file will be broken at the next SIGHUP
        self.broken = set()
        # relay -> requests without an answer: they may have been counted or not
        self.unanswered = defaultdict(set)
        # relay -> times of its recent ends
        self.recent_ends = defaultdict(lambda: deque(maxlen=100))
        # relay -> ids called and not ended: undecided at a kill
        self.ids_called = defaultdict(set)
        # recent_answers: connection -> (time, relay, callbacks) of its last answer
        self.world, self.has_silent_hosts, self.recent_answers = world, False, {}
        self.handlers = {
            "fault": self.fault,
            "signal": self.signal,
            "asked": self.asked,
            "heard": self.heard,
            "call": self.call,
            "call answered": self.answered,
            "notice": self.notice,
            "hung up": self.hung_up,
            "started": self.started,
            "took over": self.took_over,
        }
        world.watchers.append(
            lambda now, who, what, facts: self.handlers[what](who, **facts)
            if what in self.handlers
            else None
        )

    def fault(self, who, kind, falls_on, worth, **_) -> None:
        if kind == "retune" and not int(worth):
            self.broken.add(falls_on)
        # The wires do not show what was received across the fault, nor whether it counted.
        if FAULTS[kind] == "pair":
            self.cut_parties.update(
                name for way in directions(self.scenario, falls_on) for name in way
            )
        self.has_silent_hosts = self.has_silent_hosts or kind in ("vanished", "dead", "zone_dark")

    def signal(self, who, number) -> None:
        if number == SIGHUP:
            self.files[who][who not in self.broken] += 1
            self.broken.discard(who)

    def asked(self, who, id, category, relay, **_) -> None:
        self.class_by_id.setdefault(id, category)
        self.unanswered[relay].add((who, id))

    def heard(self, who, id, status, wait, relay) -> None:
        self.unanswered[relay].discard((who, id))
        if status in BY_STATUS:
            self.counts[relay][BY_STATUS[status], self.class_by_id.get(id)] += 1

    def call(self, who, call, relay, ids, conn, **_) -> None:
        self.calls[call] = relay, ids, conn
        self.written[relay] += len(ids)
        self.ids_called[relay].update(ids)

    def answered(self, who, call, status, ids, **_) -> None:
        relay, _, conn = self.calls[call]
        self.recent_answers = {
            c: row
            for c, row in self.recent_answers.items()
            if self.world.now - row[0] <= CROSSING_SPAN
        }
        self.recent_answers[conn] = self.world.now, relay, len(ids)
        for ident in ids if status == 200 else ():
            self.end(relay, ident, DELIVERED)

    def hung_up(self, who, conn) -> None:
        """Allow for an answer that crossed the hang-up and may have come too late to count."""
        written, relay, count = self.recent_answers.get(conn, (0, None, 0))
        if self.world.now - written <= CROSSING_SPAN:
            self.unsure[relay] += count

    def notice(self, who, id, result, wait, relay) -> None:
        self.end(relay, id, BY_RESULT[result])

    def end(self, relay, ident, how) -> None:
        self.ids_called[relay].discard(ident)
        self.recent_ends[relay].append(self.world.now)
        if (relay, ident) not in self.ended:
            self.ended[relay, ident] = how
            self.counts[relay][how, self.class_by_id.get(ident)] += 1

    def started(self, who, life) -> None:
        self.reset(who, len(self.ids_called.pop(who, ())))

    def took_over(self, who, life) -> None:
        """Start a new count; what ended during the handover was counted by either of the two
        processes.
        """
        self.reset(who, sum(self.world.now - at <= HANDOVER_SPAN for at in self.recent_ends[who]))

    def reset(self, who, unsure: int) -> None:
        self.unsure[who] = unsure
        self.counts[who], self.written[who] = Counter(), 0
        self.files.pop(who, None)
        self.ended = {place: how for place, how in self.ended.items() if place[0] != who}

    def wrong_figures(self, relay, figures) -> dict:
        """Return the metrics that differ from the recount by more than is allowed.

        The relay holds nothing at this time. The result is name -> (reported, counted).
        """
        if relay in self.cut_parties:
            return {}
        said = {
            (end, one): count
            for one, row in figures.end_counts.items()
            for end, count in row.items()
        }
        pairs = {
            f"{end}.{one}": (count, self.counts[relay][end, one])
            for (end, one), count in said.items()
        }
        # A host that vanished or died does not read what was written to it: the wires show too few.
        pairs["relayed"] = (
            min(figures.relayed, self.written[relay]) if self.has_silent_hosts else figures.relayed,
            self.written[relay],
        )
        pairs["cfg_invalid"], pairs["cfg_accepted"] = zip(
            (figures.cfg_invalid, figures.cfg_accepted), self.files[relay]
        )
        pairs["open_requests"] = figures.open_requests, 0
        unsure = self.unsure[relay] + len(self.unanswered[relay])
        return {
            name: (said, counted)
            for name, (said, counted) in pairs.items()
            if abs(said - counted)
            > (
                0
                if name.startswith("cfg")
                else unsure + max(3, counted * (2 if name == "relayed" else 1) / 100)
            )
        }
