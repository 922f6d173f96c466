"""Simulates the members of one fleet on a discrete-event clock.

The simulation injects latency, message loss, one-way cuts, pauses and kills. Tests and benchmarks
use it. Times and spans are in nanoseconds.
"""

from collections import deque
from heapq import heappop, heappush
from itertools import count
from random import Random

from molehill.membership.member import ALIVE, ALONE, CONNECTED, LOST, MS, SUSPECT, Member, Settings

MAX_DUPLICATE_DELAY = 4000 * MS
MAX_UNREAD_DATAGRAMS = 256  # kept for a paused member until it resumes


class SimulatedFleet:
    """Runs members on one simulated network.

    `members` maps the names of the running members to their `Member`; `cuts` holds the
    (sender, receiver) links that deliver nothing; `events` holds (time, name, event, facts).
    """

    def __init__(
        self,
        size: int,
        seed: int = 1,
        settings=None,
        loss_rate: float = 0.0,
        latency=(1 * MS, 3 * MS),
        seeds: int = 3,
    ):
        # Share of datagrams that are delivered twice, the second time up to MAX_DUPLICATE_DELAY
        # after they were sent.
        self.duplicate_rate = 0.0
        self.settings, self.random_source, self.loss_rate, self.latency = (
            settings or Settings(),
            Random(f"fleet {seed}"),
            loss_rate,
            latency,
        )
        self.now, self.scheduled, self.tie_breaker, self.cuts = 1_000 * MS, [], count(), set()
        self.names = [f"r{n}" for n in range(size)]
        (
            self.members,
            self.paused_until,
            self.unread_datagrams,
            self.generations,
            self.bytes,
            self.messages_sent,
            self.events,
        ) = (
            {},
            {},
            {},
            {},
            {},
            0,
            [],
        )
        self.seed_count = seeds
        for name in self.names:
            self.start(name)

    def address(self, name):
        """Return the simulated address of a member."""
        return name, 7000

    def start(self, name, generation=None):
        """Start a new process of a member; its generation defaults to the next one."""
        self.generations[name] = generation or self.generations.get(name, 0) + 1
        seeds = {
            other: self.address(other)
            for other in self.names[: self.seed_count + 1]
            if other != name
        }
        self.members[name] = Member(
            self.settings,
            name,
            self.address(name),
            self.generations[name],
            seeds,
            Random(f"{name} {self.random_source.random()}"),
            self.now,
        )
        self.schedule_tick(name, self.random_source.randrange(self.settings.protocol_period))

    def kill(self, name):
        """Stop a member without a message to the others."""
        del self.members[name]

    def pause(self, name, span):
        """Stop a member from running for `span`; datagrams to it wait."""
        self.paused_until[name] = self.now + span
        self.unread_datagrams[name] = deque()
        self.schedule(self.now + span, self.resume, name)

    def resume(self, name):
        """Let a paused member process the datagrams that have waited, and run its timers."""
        del self.paused_until[name]
        member = self.members.get(name)
        if member is None:
            return
        for message, source in self.unread_datagrams.pop(name):
            member.advance_clock(self.now)
            member.receive(self.now, message, source)
            self.flush(name)
        self.tick(name, member)

    # The clock

    def schedule(self, when, action, *args):
        """Call `action(*args)` at the time `when`."""
        heappush(self.scheduled, (when, next(self.tie_breaker), action, args))

    def schedule_tick(self, name, span):
        """Run a member's timers after `span`, unless its process has ended by then."""
        self.schedule(self.now + max(0, span), self.tick, name, self.members[name])

    def tick(self, name, member):
        """Run a member's timers and schedule the next run."""
        if self.members.get(name) is not member or name in self.paused_until:
            return
        member.tick(self.now)
        self.flush(name)
        self.schedule_tick(
            name,
            min(max(member.next_deadline() - self.now, MS), self.settings.stall_threshold // 4),
        )

    def run(self, span):
        """Advance the clock by `span` and run all that is due."""
        until = self.now + span
        while self.scheduled and self.scheduled[0][0] <= until:
            self.now, _, action, args = heappop(self.scheduled)
            action(*args)
        self.now = until

    # Messages

    def flush(self, name):
        """Send a member's messages, run its syncs and collect its events."""
        member = self.members[name]
        outbox, member.outbox = member.outbox, []
        for address, message in outbox:
            self.messages_sent += 1
            other = address[0]
            if (name, other) not in self.cuts and self.random_source.random() >= self.loss_rate:
                self.schedule(
                    self.now + self.random_source.randrange(*self.latency),
                    self.deliver,
                    other,
                    message,
                    self.address(name),
                )
                if self.duplicate_rate and self.random_source.random() < self.duplicate_rate:
                    self.schedule(
                        self.now + self.random_source.randrange(MAX_DUPLICATE_DELAY),
                        self.deliver,
                        other,
                        message,
                        self.address(name),
                    )
        pending_syncs, member.pending_syncs = member.pending_syncs, []
        for other in pending_syncs:
            if (
                not {(name, other), (other, name)} & self.cuts
                and other in self.members
                and other not in self.paused_until
            ):
                receiver = self.members[other]
                receiver.advance_clock(self.now)
                receiver.apply_rumours(member.all_rumours(), self.now)
                member.apply_rumours(receiver.all_rumours(), self.now)
                self.flush(other)
        events, member.events = member.events, []
        self.events += [(self.now, name, event, facts) for event, facts in events]

    def deliver(self, name, message, source):
        """Hand a message to a member, or keep it while the member is paused."""
        if name in self.paused_until:
            if len(self.unread_datagrams[name]) < MAX_UNREAD_DATAGRAMS:
                self.unread_datagrams[name].append((message, source))
        elif name in self.members:
            member = self.members[name]
            member.advance_clock(self.now)
            member.receive(self.now, message, source)
            self.flush(name)

    # Views and cuts

    def states_seen_by(self, name):
        """Return the state of each peer in one member's view, by name."""
        return {peer.identity.name: peer.state for peer in self.members[name].peers.values()}

    def states_of(self, name, among=None):
        """Return the states that others see one member in; None where it is unknown."""
        return {
            self.members[other].peers[name].state if name in self.members[other].peers else None
            for other in among or self.members
            if other != name
        }

    def all_alive(self):
        """Return whether each running member sees all the others as alive, and no other peer."""
        return all(
            set(self.states_seen_by(name).values()) <= {ALIVE}
            and len(self.states_seen_by(name)) == len(self.members) - 1
            for name in self.members
        )

    def cut(self, left, right, both=True):
        """Cut the links from `left` to `right` and, with `both`, the links back."""
        links = {(a, b) for a in left for b in right if a != b}
        self.cuts |= links | ({(b, a) for a, b in links} if both else set())

    def heal(self):
        """Restore all links."""
        self.cuts.clear()


def agreement_bound(fleet) -> int:
    """Return the span after the last fault within which all views agree, in nanoseconds.

    It covers the pings to lost members every five protocol periods, refutations and gossip.
    """
    return 40 * fleet.settings.protocol_period


def invariant_violation(fleet, newest_believed) -> str:
    """Return which invariant the fleet's state breaks, or "".

    `newest_believed` holds the newest incarnation that each viewer has believed so far; the caller
    keeps it from one call to the next.
    """
    for viewer, member in fleet.members.items():
        if (
            member.standing == CONNECTED
            and member.seeds
            and (
                member.last_ack_at is None
                or member.last_run_at - member.last_ack_at > fleet.settings.alone_after
            )
        ):
            return f"{viewer} reports connected although nobody answered it"
        for peer in member.peers.values():
            key = viewer, member.own_identity.process_key(), peer.identity.name
            if newest_believed.get(key, (0, 0, 0)) > peer.identity.order_key():
                return f"{viewer} believes an older incarnation of {peer.identity.name}"
            newest_believed[key] = peer.identity.order_key()
            actual = fleet.members.get(peer.identity.name)
            if (
                actual is not None
                and actual.own_identity.process_key() == peer.identity.process_key()
                and peer.identity.incarnation > actual.own_identity.incarnation
            ):
                return f"{viewer} believes an incarnation that {peer.identity.name} never had"
    return ""


def unfounded_suspicion(fleet, since: int, excused=()) -> str:
    """Describe a suspicion or loss after `since` that no fault explains; return "" without one.

    Unfounded are a suspicion or loss declared by a member that is alone, and a loss between members
    that had no fault. `excused` names the members that had one.
    """
    for when, viewer, event, facts in fleet.events:
        if when < since or event != "member" or facts["now"] not in (SUSPECT, LOST):
            continue
        if (
            facts["by"] == viewer
            and viewer in fleet.members
            and fleet.members[viewer].standing == ALONE
            and fleet.members[viewer].standing_since < when
        ):
            return f"{viewer} is alone and reports a failure of {facts['name']}"
        if facts["now"] == LOST and viewer not in excused and facts["name"] not in excused:
            return f"{viewer} lost {facts['name']}, which had no fault"
    return ""


def run_random_faults(seed: int):
    """Run a random scenario and return what was wrong, or None.

    The scenario mixes message loss, duplicates, kills, restarts, pauses, and one-way and two-way
    cuts.
    """
    random_source = Random(seed)
    fleet = SimulatedFleet(random_source.choice([3, 5, 8, 12]), seed=seed)
    fleet.run(10 * fleet.settings.protocol_period)
    fleet.loss_rate, fleet.duplicate_rate = (
        random_source.choice([0.0, 0.05, 0.2, 0.4]),
        random_source.choice([0.0, 0.1, 0.5]),
    )
    newest_believed: dict = {}
    for _ in range(25):
        name, draw = random_source.choice(fleet.names), random_source.random()
        if draw < 0.25 and name in fleet.members and name not in fleet.paused_until:
            fleet.pause(name, random_source.choice([200, 390, 1000, 3000]) * MS)
        elif (
            draw < 0.4
            and name in fleet.members
            and name not in fleet.paused_until
            and len(fleet.members) > 2
        ):
            fleet.kill(name)
        elif draw < 0.6:
            [
                fleet.start(gone)
                for gone in fleet.names
                if gone not in fleet.members and gone not in fleet.paused_until
            ]
        elif draw < 0.8:
            fleet.cut(
                [name], random_source.sample(fleet.names, 2), both=random_source.random() < 0.3
            )
        else:
            fleet.heal()
        fleet.run(random_source.randrange(300, 2500) * MS)
        if found := invariant_violation(fleet, newest_believed) or unfounded_suspicion(
            fleet, 0, fleet.names
        ):
            return found
    fleet.heal()
    fleet.loss_rate = fleet.duplicate_rate = 0.0
    fleet.run(8 * fleet.settings.protocol_period)
    [fleet.start(gone) for gone in fleet.names if gone not in fleet.members]
    until = fleet.now + 2 * agreement_bound(fleet)
    while not (fleet.all_alive() and all(m.standing == CONNECTED for m in fleet.members.values())):
        if fleet.now > until:
            return f"no agreement: { {n: (m.standing, fleet.states_seen_by(n)) for n, m in fleet.members.items()} }"
        fleet.run(fleet.settings.protocol_period)
        if found := invariant_violation(fleet, newest_believed):
            return found
    return None
