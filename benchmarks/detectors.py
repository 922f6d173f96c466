"""Cores of two other failure detectors, written from what is published of them, for `membership.py fleets`: one network, one clock, one count.

`Accrual`: heartbeats from each to each, a level of suspicion from the gaps between them. `Observers`: each is watched by a few in fixed
rings; alerts of enough of them, and of no doubtful middle, are voted on, and a view changes once a majority votes alike (Rapid's way, its fast
path left out). One that was taken out and is heard again is back at once, which the published one makes a join. Neither has names or wires.
"""

from collections import defaultdict, deque
from math import erfc, log10, sqrt
from types import SimpleNamespace

from molehill.membership.member import ALIVE, LOST, MS, SUSPECT


class Detector:
    """What tests/simulated_fleet.py drives: `outbox`, `pending_syncs`, `events`, `peers` by name, `tick`, `advance_clock`, `receive`, `next_deadline`."""

    def __init__(self, settings, name, address, generation, seeds, random_source, now, names):
        self.settings, self.name, self.random_source, self.next_period_at = (
            settings,
            name,
            random_source,
            now,
        )
        self.own_identity = SimpleNamespace(
            name=name, generation=generation, process_key=lambda: (generation, 0)
        )
        self.outbox, self.pending_syncs, self.events = [], [], []
        self.peers = {
            n: SimpleNamespace(identity=SimpleNamespace(name=n), state=ALIVE)
            for n in names
            if n != name
        }
        self.standing, self.seeds = "connected", seeds
        self.started_at = now

    def advance_clock(self, now) -> None:
        pass

    def next_deadline(self):
        return self.next_period_at

    def set_state(self, name, state) -> None:
        peer = self.peers[name]
        if peer.state != state:
            peer.state = state
            self.events.append(("member", {"name": name, "now": state, "by": self.name}))

    def send(self, name, message) -> None:
        self.outbox.append(((name, 7000), message))


class Accrual(Detector):
    # gaps remembered; suspected, and taken for lost, at that level (as published: 8; twice that)
    WINDOW_SIZE, SUSPECT_PHI, LOST_PHI = 100, 8.0, 16.0

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.intervals = defaultdict(
            lambda: deque([self.settings.protocol_period / MS], maxlen=self.WINDOW_SIZE)
        )
        self.last_heartbeat_at = {name: self.started_at for name in self.peers}

    def phi(self, name, now) -> float:
        intervals, elapsed = self.intervals[name], (now - self.last_heartbeat_at[name]) / MS
        mean = sum(intervals) / len(intervals)
        deviation = max(
            sqrt(sum((interval - mean) ** 2 for interval in intervals) / len(intervals)),
            self.settings.min_ack_timeout / MS,
        )
        return -log10(max(0.5 * erfc((elapsed - mean) / deviation / sqrt(2)), 1e-300))

    def tick(self, now) -> None:
        if now >= self.next_period_at:
            self.next_period_at = now + self.settings.protocol_period
            for name in self.peers:
                self.send(name, "beat")
        for name in self.peers:
            phi = self.phi(name, now)
            self.set_state(
                name, LOST if phi > self.LOST_PHI else SUSPECT if phi > self.SUSPECT_PHI else ALIVE
            )

    def receive(self, now, message, source) -> None:
        name = source[0]
        self.intervals[name].append((now - self.last_heartbeat_at[name]) / MS)
        self.last_heartbeat_at[name] = now


class Observers(Detector):
    RINGS, HIGH_WATERMARK, LOW_WATERMARK, MAX_MISSED_PROBES, QUORUM = 6, 5, 2, 3, 0.5

    def __init__(self, *arguments):
        super().__init__(*arguments)
        members = sorted([*self.peers, self.name])
        self.ring_count = min(self.RINGS, len(members) - 1)
        position = members.index(self.name)
        self.subjects = {
            members[(position + step) % len(members)] for step in range(1, self.ring_count + 1)
        }
        self.missed_probes, self.probed_at, self.alerts, self.votes, self.proposals = (
            defaultdict(int),
            {},
            defaultdict(set),
            defaultdict(set),
            set(),
        )

    def tick(self, now) -> None:
        if now < self.next_period_at:
            return
        self.next_period_at = now + self.settings.protocol_period
        for name in self.subjects:
            if name in self.probed_at and self.peers[name].state == ALIVE:
                self.missed_probes[name] += 1
                if self.missed_probes[name] >= self.MAX_MISSED_PROBES:
                    self.broadcast(("alert", name, self.name))
                if self.missed_probes[name] == self.MAX_MISSED_PROBES:
                    self.events.append(("member", {"name": name, "now": SUSPECT, "by": self.name}))
            self.probed_at[name] = now
            self.send(name, ("probe",))
        self.decide()

    def broadcast(self, message) -> None:
        self.record(message)
        for name in self.peers:
            self.send(name, message)

    def record(self, message) -> None:
        if message[0] == "alert":
            self.alerts[message[1]].add(message[2])
        elif message[0] == "vote":
            self.votes[message[1]].add(message[2])

    def decide(self) -> None:
        high_watermark = min(self.HIGH_WATERMARK, self.ring_count)
        stable = frozenset(
            n
            for n, observers in self.alerts.items()
            if len(observers) >= high_watermark
            and self.peers.get(n, self).__dict__.get("state") == ALIVE
        )
        unstable = [
            n
            for n, observers in self.alerts.items()
            if self.LOW_WATERMARK <= len(observers) < high_watermark
        ]
        if stable and not unstable:  # said again each round: a vote that is lost would stay so
            self.proposals.add(stable)
            self.broadcast(("vote", stable, self.name))
        for cut, voters in self.votes.items():
            if len(voters) > self.QUORUM * (1 + sum(p.state == ALIVE for p in self.peers.values())):
                for name in cut:
                    if name in self.peers:
                        self.set_state(name, LOST)

    def readmit(self, name) -> None:
        self.alerts.pop(name, None)
        self.votes = defaultdict(
            set, {cut: voters for cut, voters in self.votes.items() if name not in cut}
        )
        self.proposals = {cut for cut in self.proposals if name not in cut}
        self.set_state(name, ALIVE)

    def receive(self, now, message, source) -> None:
        if self.peers[source[0]].state == LOST:
            self.readmit(source[0])
        if message == ("probe",):
            self.send(source[0], ("answer",))
        elif message == ("answer",):
            self.missed_probes[source[0]] = 0
            self.probed_at.pop(source[0], None)
        else:
            self.record(message)
