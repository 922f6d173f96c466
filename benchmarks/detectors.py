"""Implements the core of two other failure detectors, for comparison in `membership.py fleets`.

Both are written from their publications, and run on the same simulated network and clock and with
the same counts as `Member`. Neither has process identities or a wire format.

`Accrual` sends heartbeats from each member to each other, and derives a suspicion level (phi) from
the intervals between them.

`Observers` follows Rapid, without its fast path: a few observers in fixed rings watch each member.
If enough of them alert, and no member is between the two watermarks, the members vote, and the view
changes once a majority votes alike. A removed member that is heard again returns at once; in the
published protocol it has to join.
"""

from collections import defaultdict, deque
from math import erfc, log10, sqrt
from types import SimpleNamespace

from molehill.membership.member import ALIVE, LOST, MS, SUSPECT


class Detector:
    """Provides the part of `Member` that tests/simulated_fleet.py uses.

    These are `outbox`, `pending_syncs`, `events`, `peers` by name, `tick`, `advance_clock`,
    `receive` and `next_deadline`. Subclasses implement `tick` and `receive`. Times are in
    nanoseconds.
    """

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
        """Do nothing: these detectors do not detect their own stalls."""

    def next_deadline(self):
        """Return the time at which `tick` next has something to do."""
        return self.next_period_at

    def set_state(self, name, state) -> None:
        """Set the state of a peer and record an event if it changed."""
        peer = self.peers[name]
        if peer.state != state:
            peer.state = state
            self.events.append(("member", {"name": name, "now": state, "by": self.name}))

    def send(self, name, message) -> None:
        """Queue a message to a peer."""
        self.outbox.append(((name, 7000), message))


class Accrual(Detector):
    """Implements the phi accrual failure detector."""

    # WINDOW_SIZE is the number of intervals kept. A member is suspected at the published level of
    # phi, 8, and lost at twice that.
    WINDOW_SIZE, SUSPECT_PHI, LOST_PHI = 100, 8.0, 16.0

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.intervals = defaultdict(
            lambda: deque([self.settings.protocol_period / MS], maxlen=self.WINDOW_SIZE)
        )
        self.last_heartbeat_at = {name: self.started_at for name in self.peers}

    def phi(self, name, now) -> float:
        """Return the suspicion level of a peer."""
        intervals, elapsed = self.intervals[name], (now - self.last_heartbeat_at[name]) / MS
        mean = sum(intervals) / len(intervals)
        deviation = max(
            sqrt(sum((interval - mean) ** 2 for interval in intervals) / len(intervals)),
            self.settings.min_ack_timeout / MS,
        )
        return -log10(max(0.5 * erfc((elapsed - mean) / deviation / sqrt(2)), 1e-300))

    def tick(self, now) -> None:
        """Send heartbeats when they are due, and update the state of each peer."""
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
        """Record the interval since the sender's last heartbeat."""
        name = source[0]
        self.intervals[name].append((now - self.last_heartbeat_at[name]) / MS)
        self.last_heartbeat_at[name] = now


class Observers(Detector):
    """Implements detection by several observers and a vote, as in Rapid."""

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
        """Probe the observed members, broadcast alerts about silent ones, and vote."""
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
        """Record a message and send it to all peers."""
        self.record(message)
        for name in self.peers:
            self.send(name, message)

    def record(self, message) -> None:
        """Record an alert or a vote."""
        if message[0] == "alert":
            self.alerts[message[1]].add(message[2])
        elif message[0] == "vote":
            self.votes[message[1]].add(message[2])

    def decide(self) -> None:
        """Vote if the alerts are stable, and apply each cut that has a majority."""
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
        if stable and not unstable:  # votes again each period, because a vote may be lost
            self.proposals.add(stable)
            self.broadcast(("vote", stable, self.name))
        for cut, voters in self.votes.items():
            if len(voters) > self.QUORUM * (1 + sum(p.state == ALIVE for p in self.peers.values())):
                for name in cut:
                    if name in self.peers:
                        self.set_state(name, LOST)

    def readmit(self, name) -> None:
        """Return a removed member to the view, and drop the alerts and votes against it."""
        self.alerts.pop(name, None)
        self.votes = defaultdict(
            set, {cut: voters for cut, voters in self.votes.items() if name not in cut}
        )
        self.proposals = {cut for cut in self.proposals if name not in cut}
        self.set_state(name, ALIVE)

    def receive(self, now, message, source) -> None:
        """Answer a probe, note an answer, or record an alert or a vote."""
        if self.peers[source[0]].state == LOST:
            self.readmit(source[0])
        if message == ("probe",):
            self.send(source[0], ("answer",))
        elif message == ("answer",):
            self.missed_probes[source[0]] = 0
            self.probed_at.pop(source[0], None)
        else:
            self.record(message)
