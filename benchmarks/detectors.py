"""Cores of two other failure detectors, written from what is published of them, for `membership.py fleets`: one network, one clock, one count.

`Accrual`: heartbeats from each to each, a level of suspicion from the gaps between them. `Observers`: each is watched by a few in fixed
rings; alerts of enough of them, and of no doubtful middle, are voted on, and a view changes once a majority votes alike (Rapid's way, its fast
path left out). One that was taken out and is heard again is back at once, which the published one makes a join. Neither has names or wires.
"""

from collections import defaultdict, deque
from math import erfc, log10, sqrt
from types import SimpleNamespace

from molehill.membership.member import ALIVE, LOST, MS, SUSPECT


class Core:
    """What tests/members.py drives: `out`, `syncs`, `news`, `peers` by name, `tick`, `turn`, `hear`, `due`."""

    def __init__(self, settings, name, address, number, seeds, chance, now, names):
        self.set, self.name, self.chance, self.next = settings, name, chance, now
        self.me = SimpleNamespace(name=name, number=number, process=lambda: (number, 0))
        self.out, self.syncs, self.news = [], [], []
        self.peers = {
            n: SimpleNamespace(who=SimpleNamespace(name=n), state=ALIVE) for n in names if n != name
        }
        self.standing, self.seeds = "connected", seeds
        self.began = now

    def turn(self, now) -> None:
        pass

    def due(self):
        return self.next

    def believe(self, name, state) -> None:
        peer = self.peers[name]
        if peer.state != state:
            peer.state = state
            self.news.append(("member", {"name": name, "now": state, "by": self.name}))

    def say(self, name, what) -> None:
        self.out.append(((name, 7000), what))


class Accrual(Core):
    # gaps remembered; suspected, and taken for lost, at that level (as published: 8; twice that)
    GAPS, LEVEL, LOST_AT = 100, 8.0, 16.0

    def __init__(self, *given):
        super().__init__(*given)
        self.gaps = defaultdict(lambda: deque([self.set.round / MS], maxlen=self.GAPS))
        self.last = {name: self.began for name in self.peers}

    def level(self, name, now) -> float:
        gaps, waited = self.gaps[name], (now - self.last[name]) / MS
        mean = sum(gaps) / len(gaps)
        spread = max(sqrt(sum((g - mean) ** 2 for g in gaps) / len(gaps)), self.set.floor / MS)
        return -log10(max(0.5 * erfc((waited - mean) / spread / sqrt(2)), 1e-300))

    def tick(self, now) -> None:
        if now >= self.next:
            self.next = now + self.set.round
            for name in self.peers:
                self.say(name, "beat")
        for name in self.peers:
            level = self.level(name, now)
            self.believe(
                name, LOST if level > self.LOST_AT else SUSPECT if level > self.LEVEL else ALIVE
            )

    def hear(self, now, message, source) -> None:
        name = source[0]
        self.gaps[name].append((now - self.last[name]) / MS)
        self.last[name] = now


class Observers(Core):
    RINGS, HIGH, LOW, MISSED, QUORUM = 6, 5, 2, 3, 0.5

    def __init__(self, *given):
        super().__init__(*given)
        everybody = sorted([*self.peers, self.name])
        self.rings = min(self.RINGS, len(everybody) - 1)
        at = everybody.index(self.name)
        self.subjects = {
            everybody[(at + step) % len(everybody)] for step in range(1, self.rings + 1)
        }
        self.missed, self.asked, self.alerts, self.votes, self.voted = (
            defaultdict(int),
            {},
            defaultdict(set),
            defaultdict(set),
            set(),
        )

    def tick(self, now) -> None:
        if now < self.next:
            return
        self.next = now + self.set.round
        for name in self.subjects:
            if name in self.asked and self.peers[name].state == ALIVE:
                self.missed[name] += 1
                if self.missed[name] >= self.MISSED:
                    self.everywhere(("alert", name, self.name))
                if self.missed[name] == self.MISSED:
                    self.news.append(("member", {"name": name, "now": SUSPECT, "by": self.name}))
            self.asked[name] = now
            self.say(name, ("probe",))
        self.decide()

    def everywhere(self, what) -> None:
        self.take(what)
        for name in self.peers:
            self.say(name, what)

    def take(self, what) -> None:
        if what[0] == "alert":
            self.alerts[what[1]].add(what[2])
        elif what[0] == "vote":
            self.votes[what[1]].add(what[2])

    def decide(self) -> None:
        high = min(self.HIGH, self.rings)
        sure = frozenset(
            n
            for n, by in self.alerts.items()
            if len(by) >= high and self.peers.get(n, self).__dict__.get("state") == ALIVE
        )
        doubtful = [n for n, by in self.alerts.items() if self.LOW <= len(by) < high]
        if sure and not doubtful:  # said again each round: a vote that is lost would stay so
            self.voted.add(sure)
            self.everywhere(("vote", sure, self.name))
        for cut, by in self.votes.items():
            if len(by) > self.QUORUM * (1 + sum(p.state == ALIVE for p in self.peers.values())):
                for name in cut:
                    if name in self.peers:
                        self.believe(name, LOST)

    def back(self, name) -> None:
        self.alerts.pop(name, None)
        self.votes = defaultdict(
            set, {cut: by for cut, by in self.votes.items() if name not in cut}
        )
        self.voted = {cut for cut in self.voted if name not in cut}
        self.believe(name, ALIVE)

    def hear(self, now, message, source) -> None:
        if self.peers[source[0]].state == LOST:
            self.back(source[0])
        if message == ("probe",):
            self.say(source[0], ("answer",))
        elif message == ("answer",):
            self.missed[source[0]] = 0
            self.asked.pop(source[0], None)
        else:
            self.take(message)
