"""Implements a SWIM failure detector for the relays of one fleet, as a pure state machine.

The module does no I/O and reads no clock: its caller passes in received messages, the current
time and a source of random numbers, and takes messages to send and events to log out of `Member`.
It uses the standard library only.

The protocol is SWIM with Lifeguard's refinements: round-robin probe targets in random order,
indirect probes, suspicion before a member is declared lost, refutation by a higher incarnation,
gossip with a bounded number of retransmissions, and a longer probe interval while this relay
detects that it is itself slow. Three additions handle one-way partitions and pauses:

- The target of an indirect probe acknowledges it to the helper *and* to the original requester.
- A relay that receives no answers reports itself as `alone`, on elapsed time only.
- A relay that is alone, or that has just resumed after a stall, suspects nobody.

docs/design/membership.md gives the reasons.
"""

from dataclasses import dataclass, field
from math import ceil, log, log2
from typing import Any, NamedTuple, Optional

MS = 1_000_000
JOINING, ALIVE, SUSPECT, LOST, LEFT = "joining", "alive", "suspect", "lost", "left"
# Of two rumours about the same incarnation, the one with the higher precedence wins.
STATE_PRECEDENCE = {JOINING: 0, ALIVE: 1, SUSPECT: 2, LOST: 3, LEFT: 4}
ALONE, NO_MAJORITY, CONNECTED, SUPERSEDED = "alone", "thinned", "connected", "superseded"
# Members asked to probe a target that did not answer. 3 is SWIM's figure; more add little.
INDIRECT_PROBES = 3
# Members that forward an ack which the prober may not receive directly.
ACK_FORWARDERS = 2
# Limit of Lifeguard's local health multiplier, which slows this relay's probes by one step for
# each sign that the relay itself is late.
MAX_LOCAL_HEALTH_MULTIPLIER = 3
# Together with the header, so many rumours fit into the 1,200 bytes of a message (codec.py).
RUMOURS_PER_MESSAGE = 8
# A rumour is sent this many times the logarithm (base 2) of the fleet's size.
RETRANSMIT_MULTIPLIER = 3
# This many confirmations by other members shorten the suspicion timeout to its minimum.
MAX_CONFIRMATIONS = 3
# The minimum suspicion timeout is SUSPICION_MULTIPLIER * max(1, log10(fleet size)) protocol
# periods; without confirmations the timeout is MAX_SUSPICION_MULTIPLIER times that.
SUSPICION_MULTIPLIER, MAX_SUSPICION_MULTIPLIER = 5, 3
# A direct probe waits for this many smoothed round trips before helpers are asked.
ACK_TIMEOUT_ROUND_TRIPS = 4
# Protocol periods between pings to a lost member or an unknown seed, so that a fleet that was
# partitioned merges again.
RECONNECT_PERIODS = 5
# Forgotten names that are kept, so that old rumours about them are rejected.
MAX_TOMBSTONES = 1024


@dataclass(frozen=True)
class Settings:
    """Holds the timing of the protocol, as spans in nanoseconds.

    `protocol_period`: one probe is sent in each.
    `min_ack_timeout`: the shortest wait for an ack.
    `alone_after`: without an answer for this long, the relay is alone.
    `stall_threshold`: without being run for this long, the relay has stalled.
    `forget_after`: a member that was lost or has left for this long is forgotten.
    `sync_interval`: the full state is exchanged with one member in each.
    """

    protocol_period: int = 500 * MS
    min_ack_timeout: int = 100 * MS
    alone_after: int = 2000 * MS
    stall_threshold: int = 400 * MS
    forget_after: int = 600_000 * MS
    sync_interval: int = 15_000 * MS


class Identity(NamedTuple):
    """Identifies one process of a member, and its incarnation.

    `generation` increases with each start, `token` is drawn at random at the start, and
    `incarnation` increases with each refutation.
    """

    name: str
    generation: int
    token: int
    incarnation: int

    def process_key(self):
        """Return the key that orders the processes of one name and tells them apart."""
        return self.generation, self.token

    def order_key(self):
        """Return the key that orders the processes of one name, and their incarnations."""
        return self.generation, self.token, self.incarnation


class Rumour(NamedTuple):
    """Reports the state of a member, as gossip between members."""

    identity: Identity
    state: str
    address: tuple  # as the member advertises it
    reporter: str  # name of the member that reported the state


class Message(NamedTuple):
    """Represents one message between two members.

    `kind`: `ping`; `again`, a ping repeated because it had no answer; `ack`; `nack`; `ask`, a
    request for an indirect probe; `pass`, an ack to be forwarded; `word`, which carries rumours
    only.
    `target`: name of the member that is to be probed, acknowledged or reached.
    `sequence`: the sender's own sequence number or, in an answer, that of the message answered.
    `on_behalf_of`: in a ping by a helper, the (name, sequence) of the member that requested it; in
    a pass, the (name, sequence) of the member that acknowledges.
    """

    kind: str
    sender: Identity
    address: tuple
    standing: str
    sequence: int = 0
    target: str = ""
    on_behalf_of: Optional[tuple] = None
    rumours: tuple = ()


@dataclass
class Peer:
    """Holds what this relay believes of another member. Times are in nanoseconds."""

    identity: Identity
    address: tuple  # where this relay reaches it
    advertised_address: tuple  # as it advertises it itself
    state: str
    state_since: int
    reporter: str
    last_heard_at: int = 0  # when its last message arrived; 0: never
    last_ack_at: int = 0  # when it last answered a probe of this relay; 0: never
    suspected_by: set = field(default_factory=set)
    suspicion_deadline: int = 0  # when a suspect is declared lost


@dataclass
class Probe:
    """Represents a probe of this relay that has not been answered. Times are in nanoseconds."""

    target: str
    started_at: int
    indirect_at: int  # when helpers are asked
    expires_at: int
    nacks: int = 0
    requests_sent: int = 0  # 1 + the number of helpers asked; 0: not asked yet


class Member:
    """Keeps this relay's view of the fleet and takes its part in the protocol.

    `seeds` maps names to addresses of the members that this relay is configured with, itself
    excluded; such an address takes precedence over an address in a rumour. `address` is the one
    that this relay advertises, `now` the current time in nanoseconds.

    The results collect in three lists: `outbox`, (address, Message) pairs to send; `pending_syncs`,
    names of members to exchange the full state with; `events`, (event, facts) pairs for the log, in
    order. The caller empties them after each call, and calls `advance_clock` first whenever it
    gets to run.
    """

    def __init__(
        self,
        settings: Settings,
        name: str,
        address,
        generation: int,
        seeds: dict,
        random_source,
        now: int,
    ):
        self.settings, self.random_source, self.seeds, self.address = (
            settings,
            random_source,
            dict(seeds),
            tuple(address),
        )
        self.own_identity = Identity(name, generation, random_source.getrandbits(32), 0)
        self.peers: dict[str, Peer] = {}
        self.tombstones: dict[str, Identity] = {}
        self.probe_order: list[str] = []
        self.probes: dict[int, Any] = {}
        self.probes_for_others: dict[int, Any] = {}
        self.sequence = 0
        self.rumour_queue: dict[str, list] = {}  # name -> [rumour, times sent]
        self.local_health_multiplier, self.smoothed_round_trip, self.round_trip_deviation = (
            0,
            settings.min_ack_timeout / ACK_TIMEOUT_ROUND_TRIPS,
            0.0,
        )
        self.last_run_at, self.next_period_at, self.next_sync_at, self.period_count = (
            now,
            now,
            now,
            0,
        )
        self.last_ack_at: Optional[int] = None  # when any probe was last answered
        self.leaving, self.superseded = False, False
        self.rival_pinged_at: dict[Any, Any] = {}
        self.outbox: list[Any] = []
        self.pending_syncs: list[str] = []
        self.events: list[Any] = []
        self.counts = dict.fromkeys(("refuted", "false_suspicions", "lost", "stood", "old"), 0)
        self.standing = ALONE
        self.standing_since = now

    def restore(self, own_identity, rumours, last_ack_at: int) -> None:
        """Take over the state of the previous process in an upgrade.

        `last_ack_at` is the time at which a probe of that process was last answered.
        """
        self.own_identity, self.last_ack_at = Identity(*own_identity), last_ack_at
        for rumour in rumours:
            self.apply_rumour(rumour, self.last_run_at)
        self.rumour_queue.clear()
        self.update_standing(self.last_run_at)

    # The view of the fleet

    def expected_count(self) -> int:
        """Return the fleet size that a majority is measured against, this relay included.

        Every member that has not left counts; a lost one counts until it is forgotten.
        """
        return 1 + sum(p.state not in (LEFT, JOINING) for p in self.peers.values())

    def reached_count(self) -> int:
        """Return the number of members believed alive, this relay included."""
        return 1 + sum(p.state == ALIVE for p in self.peers.values())

    def heard_count(self, now: int) -> int:
        """Return the number of peers heard from within one probe cycle."""
        return sum(
            p.last_heard_at > 0 and now - p.last_heard_at <= self.probe_cycle_span()
            for p in self.peers.values()
        )

    def heard_by_count(self, now: int) -> int:
        """Return the number of peers that acknowledged a probe within one probe cycle."""
        return sum(
            p.last_ack_at > 0 and now - p.last_ack_at <= self.probe_cycle_span()
            for p in self.peers.values()
        )

    def probe_cycle_span(self) -> int:
        """Return the span, in nanoseconds, in which each peer is probed once and can answer."""
        return len(self.peers) * self.probe_interval() + self.settings.alone_after

    def current_standing(self, now: int) -> str:
        """Return this relay's standing: superseded, alone, thinned (no majority) or connected.

        A relay that receives nothing could take itself for the whole fleet, so the time since the
        last answer from any member is checked before the majority.
        """
        if self.superseded:
            return SUPERSEDED
        if not self.seeds and not self.peers:
            return CONNECTED  # the settings define a fleet of one
        if self.last_ack_at is None or now - self.last_ack_at > self.settings.alone_after:
            return ALONE
        return CONNECTED if 2 * self.reached_count() > self.expected_count() else NO_MAJORITY

    def may_suspect(self) -> bool:
        """Return whether this relay hears enough of the fleet to suspect others."""
        return self.standing in (CONNECTED, NO_MAJORITY)

    # Time and timers

    def advance_clock(self, now: int) -> None:
        """Detect a stall of this relay and update its standing for the time that has passed.

        The caller calls this before anything else whenever the relay gets to run.
        """
        stall_duration = now - self.last_run_at
        self.last_run_at = now
        if stall_duration > self.settings.stall_threshold:
            self.recover_from_stall(now, stall_duration)
        self.update_standing(now)

    def recover_from_stall(self, now: int, stall_duration: int) -> None:
        """Discard conclusions from a silence that this relay's own stall has caused.

        Answers may have arrived that were not read, so pending probes are dropped, to be sent
        again, and each suspicion timeout is extended by the stall.
        """
        self.counts["stood"] += 1
        self.probes.clear()
        self.probes_for_others.clear()
        for peer in self.peers.values():
            if peer.state == SUSPECT:
                peer.suspicion_deadline += stall_duration
        self.next_period_at, self.next_sync_at = now, now
        self.events.append(("stood", {"ms": stall_duration // MS}))

    def update_standing(self, now: int) -> None:
        """Recompute the standing and record an event if it changed."""
        standing = self.current_standing(now)
        if standing != self.standing:
            self.events.append(
                (
                    "standing",
                    {
                        "was": self.standing,
                        "now": standing,
                        "reached": self.reached_count(),
                        "expected": self.expected_count(),
                    },
                )
            )
            self.standing, self.standing_since = standing, now

    def next_deadline(self) -> int:
        """Return the time at which `tick` next has something to do."""
        deadlines = [
            self.next_period_at,
            *(p.expires_at if p.requests_sent else p.indirect_at for p in self.probes.values()),
        ]
        deadlines += [p.suspicion_deadline for p in self.peers.values() if p.state == SUSPECT]
        if self.last_ack_at is not None and self.standing != ALONE:
            deadlines.append(self.last_ack_at + self.settings.alone_after + 1)
        return min(deadlines)

    def tick(self, now: int) -> None:
        """Run all timers that are due: probes, suspicions, forgetting and the next period."""
        self.advance_clock(now)
        if self.superseded or self.leaving:
            self.next_period_at = now + self.settings.protocol_period
            return
        for sequence, probe in list(self.probes.items()):
            if probe.requests_sent == 0 and now >= probe.indirect_at:
                self.request_indirect_probes(sequence, probe)
            if now >= probe.expires_at:
                del self.probes[sequence]
                self.handle_probe_timeout(probe, now)
        for sequence, (*_, deadline) in list(self.probes_for_others.items()):
            if now >= deadline:
                self.send_nack(sequence)
        for name, peer in list(self.peers.items()):
            if peer.state == SUSPECT and now >= peer.suspicion_deadline and self.may_suspect():
                self.counts["lost"] += 1
                self.set_state(peer, LOST, now, self.own_identity.name)
            elif (
                peer.state in (LOST, LEFT) and now - peer.state_since >= self.settings.forget_after
            ):
                self.forget(name)
        if now >= self.next_period_at:
            self.begin_period(now)
        self.update_standing(now)

    def forget(self, name: str) -> None:
        """Remove a peer and keep its identity, so that old rumours about it are rejected."""
        self.tombstones[name] = self.peers.pop(name).identity
        while len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
        self.events.append(("forgotten", {"name": name}))

    # Probes

    def probe_interval(self) -> int:
        """Return the time between two probes, in nanoseconds.

        It grows with the local health multiplier, up to half of `alone_after`: a relay that slows
        down its own probes must still receive an answer before it would call itself alone.
        """
        return min(
            self.settings.protocol_period * (1 + self.local_health_multiplier),
            max(self.settings.protocol_period, self.settings.alone_after // 2),
        )

    def begin_period(self, now: int) -> None:
        """Probe the next target and, where due, try to reconnect and plan a full sync."""
        self.next_period_at = now + self.probe_interval()
        self.period_count += 1
        name = self.next_target()
        if name is not None:
            self.send_probe(name, now)
        if self.period_count % RECONNECT_PERIODS == 1:
            self.try_reconnect()
        if now >= self.next_sync_at:
            names = [
                n for n, p in self.peers.items() if p.state in (ALIVE, SUSPECT, JOINING)
            ] or list(self.seeds)
            if names:
                self.next_sync_at = now + self.settings.sync_interval
                self.pending_syncs.append(self.random_source.choice(names))

    def next_target(self) -> Optional[str]:
        """Return the next probe target, or None without peers.

        Each round visits every peer once in a newly shuffled order, so no peer waits for longer
        than two rounds.
        """
        for _ in range(len(self.probe_order) + 1):
            if not self.probe_order:
                self.probe_order = [
                    n for n, p in self.peers.items() if p.state in (JOINING, ALIVE, SUSPECT)
                ]
                self.random_source.shuffle(self.probe_order)
                if not self.probe_order:
                    return None
            name = self.probe_order.pop()
            if name in self.peers and self.peers[name].state in (JOINING, ALIVE, SUSPECT):
                return name
        return None

    def ack_timeout(self) -> int:
        """Return how long a direct probe waits before helpers are asked, in nanoseconds."""
        return int(
            max(
                self.settings.min_ack_timeout,
                ACK_TIMEOUT_ROUND_TRIPS
                * (self.smoothed_round_trip + 2 * self.round_trip_deviation),
            )
        ) * (1 + self.local_health_multiplier)

    def send_probe(self, name: str, now: int) -> None:
        """Ping a peer and record the probe."""
        self.sequence += 1
        expires_at = now + self.probe_interval()
        self.probes[self.sequence] = Probe(
            name,
            now,
            min(now + self.ack_timeout(), expires_at - self.settings.min_ack_timeout),
            expires_at,
        )
        self.send(
            self.peers[name].address, "ping", sequence=self.sequence, target=name, subject=name
        )

    def request_indirect_probes(self, sequence: int, probe: Probe) -> None:
        """Repeat the ping and ask helpers to probe the target."""
        peer = self.peers.get(probe.target)
        probe.requests_sent = 1  # counts as asked even if there is no helper
        if peer is None:
            return
        self.send(
            peer.address, "again", sequence=sequence, target=probe.target, subject=probe.target
        )
        helpers = [
            n for n, p in self.peers.items() if n != probe.target and p.state in (ALIVE, SUSPECT)
        ]
        for name in self.random_source.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
            self.send(self.peers[name].address, "ask", sequence=sequence, target=probe.target)
            probe.requests_sent += 1

    def handle_probe_timeout(self, probe: Probe, now: int) -> None:
        """Suspect the target of a probe that got no ack, direct or through a helper.

        The cause may be that this relay itself receives nothing. Nacks from helpers speak against
        that; if some are missing, the local health multiplier increases. A joining target is
        forgotten instead of suspected.
        """
        peer = self.peers.get(probe.target)
        if probe.nacks < probe.requests_sent - 1:
            self.local_health_multiplier = min(
                MAX_LOCAL_HEALTH_MULTIPLIER, self.local_health_multiplier + 1
            )
        self.update_standing(now)
        # A relay that has just stopped receiving would suspect each target until it knows that it
        # is alone. So it suspects only if any member has answered it since the probe began.
        last_ack_at = self.last_ack_at or 0
        if peer is None or not self.may_suspect() or last_ack_at < probe.started_at:
            return
        if peer.state == JOINING:
            self.forget(probe.target)
        elif peer.state == ALIVE:
            self.set_state(peer, SUSPECT, now, self.own_identity.name)
        elif peer.state == SUSPECT:
            self.confirm_suspicion(peer, self.own_identity.name)

    def try_reconnect(self) -> None:
        """Ping a random lost member or seed that is not known yet."""
        names = [n for n, p in self.peers.items() if p.state == LOST]
        names += [n for n in self.seeds if n not in self.peers]
        if names:
            name = self.random_source.choice(names)
            peer = self.peers.get(name)
            self.send(
                peer.address if peer else self.seeds[name],
                "ping",
                sequence=0,
                target=name,
                subject=name,
            )

    # Received messages

    def receive(self, now: int, message: Message, source) -> None:
        """Process one message; call `advance_clock` before.

        `source` is the address that the message came from, and at which its sender is answered;
        None if that says nothing about the sender's address, as with a stream.
        """
        sender = message.sender
        if sender.name == self.own_identity.name:
            return self.resolve_name_conflict(sender, source or message.address)
        if self.superseded:
            return
        origin, source = source, source or self.seeds.get(sender.name, message.address)
        peer = self.admit_sender(now, message, tuple(source))
        if peer is None:
            return
        if origin is not None:
            # The actual source address overrides seeds and rumours.
            peer.address = tuple(origin)
        for rumour in message.rumours:
            self.apply_rumour(rumour, now)
        getattr(self, "on_" + message.kind)(message, peer, now)
        self.update_standing(now)

    def admit_sender(self, now: int, message: Message, source) -> Optional[Peer]:
        """Record that the sender is alive and return its peer, or None for an outdated identity."""
        sender = message.sender
        peer, tombstone = self.peers.get(sender.name), self.tombstones.get(sender.name)
        if peer is None and tombstone is not None and sender.order_key() <= tombstone.order_key():
            # The sender was forgotten. The reply tells it so, and it returns with a higher
            # incarnation.
            self.counts["old"] += 1
            self.send(
                source,
                "word",
                subject=None,
                rumours=(Rumour(tombstone, LOST, message.address, self.own_identity.name),),
            )
            return None
        if peer is not None and sender.process_key() < peer.identity.process_key():
            # A later process has this name. The reply tells the sender so.
            self.counts["old"] += 1
            self.send(
                source,
                "word",
                rumours=(
                    Rumour(
                        peer.identity, peer.state, peer.advertised_address, self.own_identity.name
                    ),
                ),
            )
            return None
        if peer is None:
            peer = self.peers[sender.name] = Peer(
                sender, source, message.address, JOINING, now, sender.name
            )
            self.tombstones.pop(sender.name, None)
            self.probe_order.append(sender.name)
            self.set_state(peer, ALIVE, now, sender.name)
        elif sender.process_key() > peer.identity.process_key():
            self.replace_process(peer, sender, message.address, source)
            self.set_state(peer, ALIVE, now, sender.name)
        elif sender.incarnation > peer.identity.incarnation and peer.state != LEFT:
            peer.identity = sender
            self.set_state(peer, ALIVE, now, sender.name)
        elif peer.state == JOINING:
            self.set_state(peer, ALIVE, now, sender.name)
        peer.last_heard_at = now
        return peer

    def on_ping(self, message: Message, peer: Peer, now: int) -> None:
        """Answer a probe; an indirect one is also answered to the member that requested it."""
        if message.target != self.own_identity.name:
            return  # meant for a member that had this address before
        if message.sequence:
            self.send(
                peer.address,
                "ack",
                sequence=message.sequence,
                target=self.own_identity.name,
                subject=peer.identity.name,
            )
        else:
            self.send(peer.address, "word", subject=peer.identity.name)
        if message.on_behalf_of is not None:
            # The helper may receive this ack without being able to reach the member that
            # requested the probe. So the ack goes to both.
            name, sequence = message.on_behalf_of
            if name in self.peers or name in self.seeds:
                self.send(
                    self.peers[name].address if name in self.peers else self.seeds[name],
                    "ack",
                    sequence=sequence,
                    target=self.own_identity.name,
                )

    def on_again(self, message: Message, peer: Peer, now: int) -> None:
        """Answer a repeated ping, and have other members forward the ack.

        The prober can reach this relay, but may not receive its messages.
        """
        self.on_ping(message, peer, now)
        if message.target == self.own_identity.name:
            helpers = [
                p.address
                for n, p in self.peers.items()
                if p is not peer and p.state in (ALIVE, SUSPECT)
            ]
            for address in self.random_source.sample(helpers, min(ACK_FORWARDERS, len(helpers))):
                self.send(
                    address,
                    "pass",
                    sequence=message.sequence,
                    target=peer.identity.name,
                    on_behalf_of=(self.own_identity.name, message.sequence),
                )

    def on_pass(self, message: Message, peer: Peer, now: int) -> None:
        """Forward another member's ack to the prober."""
        requester = self.peers.get(message.target)
        if requester is not None and message.on_behalf_of is not None:
            self.send(
                requester.address, "ack", sequence=message.sequence, target=message.on_behalf_of[0]
            )

    def on_ack(self, message: Message, peer: Peer, now: int) -> None:
        """Complete the probe, or pass the ack on to the member that requested the probe."""
        if (
            message.sequence in self.probes_for_others
            and self.probes_for_others[message.sequence][2] == message.target
        ):
            name, sequence, *_ = self.probes_for_others.pop(message.sequence)
            if name in self.peers:
                self.send(self.peers[name].address, "ack", sequence=sequence, target=message.target)
            return
        probe = self.probes.get(message.sequence)
        if probe is None or probe.target != message.target:
            return
        del self.probes[message.sequence]
        self.last_ack_at = now
        self.local_health_multiplier = max(0, self.local_health_multiplier - 1)
        target = self.peers.get(probe.target)
        if target is not None:
            if peer is target:
                target.last_ack_at = now
                # After a repeated ping it is unknown which of the two was answered.
                if probe.requests_sent == 0:
                    elapsed = now - probe.started_at
                    self.round_trip_deviation += (
                        abs(elapsed - self.smoothed_round_trip) - self.round_trip_deviation
                    ) / 4
                    self.smoothed_round_trip += (elapsed - self.smoothed_round_trip) / 8
            if target.state == JOINING:
                self.set_state(target, ALIVE, now, self.own_identity.name)

    def on_nack(self, message: Message, peer: Peer, now: int) -> None:
        """Count a helper's report that it got no ack from the target in time."""
        probe = self.probes.get(message.sequence)
        if probe is not None and probe.target == message.target:
            probe.nacks += 1
            self.last_ack_at = now  # the helper was reached, and its messages arrive

    def on_ask(self, message: Message, peer: Peer, now: int) -> None:
        """Probe the target for the member that asks."""
        target = self.peers.get(message.target)
        address = target.address if target is not None else self.seeds.get(message.target)
        if address is None:
            return
        self.sequence += 1
        self.probes_for_others[self.sequence] = (
            peer.identity.name,
            message.sequence,
            message.target,
            now + self.settings.min_ack_timeout,
        )
        self.send(
            address,
            "ping",
            sequence=self.sequence,
            target=message.target,
            on_behalf_of=(peer.identity.name, message.sequence),
            subject=message.target,
        )

    def on_word(self, message: Message, peer: Peer, now: int) -> None:
        """Do nothing more: `receive` has applied the rumours."""

    def send_nack(self, sequence: int) -> None:
        """Tell the requester that an indirect probe got no ack in time.

        The requester learns at least that its request reached this relay.
        """
        name, requester_sequence, target, _ = self.probes_for_others.pop(sequence)
        if name in self.peers:
            self.send(self.peers[name].address, "nack", sequence=requester_sequence, target=target)

    # Rumours

    def apply_rumour(self, rumour: Rumour, now: int) -> None:
        """Update the view from one rumour, unless it is outdated."""
        identity, state = rumour.identity, rumour.state
        if self.superseded:
            # This process would take a yet higher generation, and both processes would give up.
            return
        if identity.name == self.own_identity.name:
            return self.apply_rumour_about_self(rumour, now)
        peer, tombstone = self.peers.get(identity.name), self.tombstones.get(identity.name)
        if peer is None:
            if state in (JOINING, ALIVE) and not (
                tombstone is not None and identity.order_key() <= tombstone.order_key()
            ):
                self.tombstones.pop(identity.name, None)
                self.peers[identity.name] = peer = Peer(
                    identity,
                    self.seeds.get(identity.name, rumour.address),
                    rumour.address,
                    JOINING,
                    now,
                    rumour.reporter,
                )
                self.probe_order.insert(
                    self.random_source.randrange(len(self.probe_order) + 1), identity.name
                )
                if state == ALIVE:
                    self.set_state(peer, ALIVE, now, rumour.reporter)
            return
        if identity.process_key() != peer.identity.process_key():
            if identity.process_key() > peer.identity.process_key():
                self.replace_process(
                    peer, identity, rumour.address, self.seeds.get(identity.name, rumour.address)
                )
                self.set_state(peer, ALIVE if state == JOINING else state, now, rumour.reporter)
            return
        if (
            identity.incarnation > peer.identity.incarnation
            or identity.incarnation == peer.identity.incarnation
            and STATE_PRECEDENCE[state] > STATE_PRECEDENCE[peer.state]
        ):
            peer.identity = identity
            if state != peer.state:
                self.set_state(peer, ALIVE if state == JOINING else state, now, rumour.reporter)
        elif identity.incarnation == peer.identity.incarnation and state == peer.state == SUSPECT:
            self.confirm_suspicion(peer, rumour.reporter)

    def replace_process(self, peer: Peer, identity: Identity, advertised_address, address) -> None:
        """Record that a later process has taken over the peer's name.

        Pending probes of the name are dropped: that the earlier process did not answer is no
        evidence against this one.
        """
        self.events.append(
            (
                "another process",
                {
                    "name": identity.name,
                    "number": identity.generation,
                    "moved": peer.advertised_address != advertised_address,
                },
            )
        )
        peer.identity, peer.advertised_address, peer.address, peer.last_ack_at = (
            identity,
            advertised_address,
            address,
            0,
        )
        self.probes = {
            sequence: probe
            for sequence, probe in self.probes.items()
            if probe.target != identity.name
        }

    def set_state(self, peer: Peer, state: str, now: int, reporter: str) -> None:
        """Change the state of a peer, record the event and queue the rumour.

        No other method changes the state of an existing peer.
        """
        previous_state, peer.state, peer.state_since, peer.reporter = (
            peer.state,
            state,
            now,
            reporter,
        )
        if previous_state == SUSPECT and state == ALIVE:
            self.counts["false_suspicions"] += 1
        peer.suspected_by.clear()
        if state == SUSPECT:
            peer.suspected_by.add(reporter)
            peer.suspicion_deadline = now + self.suspicion_timeout(1)
        self.events.append(
            (
                "member",
                {
                    "name": peer.identity.name,
                    "was": previous_state,
                    "now": state,
                    "number": peer.identity.generation,
                    "turn": peer.identity.incarnation,
                    "by": reporter,
                },
            )
        )
        self.queue_rumour(peer)

    def confirm_suspicion(self, peer: Peer, reporter: str) -> None:
        """Record another member that suspects the peer, which shortens its suspicion timeout."""
        if reporter not in peer.suspected_by and len(peer.suspected_by) <= MAX_CONFIRMATIONS:
            peer.suspected_by.add(reporter)
            peer.suspicion_deadline = min(
                peer.suspicion_deadline,
                peer.state_since + self.suspicion_timeout(len(peer.suspected_by)),
            )
            self.queue_rumour(peer, reporter)

    def suspicion_timeout(self, suspicions: int) -> int:
        """Return how long a suspect has to refute, in nanoseconds.

        Lifeguard's curve falls from the maximum with one suspecting member to the minimum with
        MAX_CONFIRMATIONS more.
        """
        min_timeout = (
            SUSPICION_MULTIPLIER
            * max(1.0, log(max(2, self.expected_count()), 10))
            * self.settings.protocol_period
        )
        max_timeout = MAX_SUSPICION_MULTIPLIER * min_timeout
        # A small fleet has fewer members that could confirm.
        confirmations_needed = max(1, min(MAX_CONFIRMATIONS, self.expected_count() - 2))
        share = min(1.0, log(suspicions) / log(confirmations_needed + 1))
        return int(max(min_timeout, max_timeout - (max_timeout - min_timeout) * share))

    def queue_rumour(self, peer: Peer, reporter=None) -> None:
        """Queue the peer's state for gossip, replacing an earlier rumour about it."""
        self.rumour_queue[peer.identity.name] = [
            Rumour(peer.identity, peer.state, peer.advertised_address, reporter or peer.reporter),
            0,
        ]

    def apply_rumour_about_self(self, rumour: Rumour, now: int) -> None:
        """Refute a suspicion, or react to a later process that has this relay's name."""
        identity = rumour.identity
        if identity.process_key() == self.own_identity.process_key():
            if (
                identity.incarnation >= self.own_identity.incarnation
                and rumour.state in (SUSPECT, LOST)
                and not self.leaving
            ):
                self.counts["refuted"] += 1
                self.local_health_multiplier = min(
                    MAX_LOCAL_HEALTH_MULTIPLIER, self.local_health_multiplier + 1
                )
                self.own_identity = self.own_identity._replace(incarnation=identity.incarnation + 1)
                self.rumour_queue[self.own_identity.name] = [
                    Rumour(self.own_identity, ALIVE, self.address, self.own_identity.name),
                    0,
                ]
                self.events.append(
                    (
                        "refuted",
                        {
                            "state": rumour.state,
                            "by": rumour.reporter,
                            "turn": self.own_identity.incarnation,
                        },
                    )
                )
        elif identity.process_key() > self.own_identity.process_key():
            # Either an earlier process of this relay, whose generation was lost with its state
            # folder, or another live process. It is pinged before the rumour is believed.
            if (
                rumour.address == self.address
                or self.rival_pinged_at.get(identity.process_key(), now)
                < now - 2 * self.settings.protocol_period
            ):
                self.rival_pinged_at.clear()
                self.own_identity = self.own_identity._replace(
                    generation=identity.generation + 1, incarnation=0
                )
                self.rumour_queue[self.own_identity.name] = [
                    Rumour(self.own_identity, ALIVE, self.address, self.own_identity.name),
                    0,
                ]
                self.events.append(("renumbered", {"number": self.own_identity.generation}))
            else:
                self.rival_pinged_at.setdefault(identity.process_key(), now)
                self.send(rumour.address, "ping", target=self.own_identity.name)

    def resolve_name_conflict(self, sender: Identity, source) -> None:
        """Resolve that another process uses this relay's name: the later start wins.

        The rule is the same for every member, so that all settle on the same process.
        """
        if sender.process_key() > self.own_identity.process_key():
            if not self.superseded:
                self.superseded = True
                self.events.append(
                    (
                        "superseded",
                        {"number": sender.generation, "address": "%s:%d" % tuple(source)},
                    )
                )
            self.update_standing(self.last_run_at)
        elif sender.process_key() < self.own_identity.process_key():
            self.counts["old"] += 1
            self.send(source, "word")

    # Sent messages

    def send(
        self,
        address,
        kind: str,
        sequence: int = 0,
        target: str = "",
        on_behalf_of=None,
        subject=None,
        rumours=None,
    ) -> None:
        """Queue a message for `address`.

        The rumour about `subject` comes first if it is suspected or lost, so that it can refute at
        once. `rumours` replaces the rumours that would be selected.
        """
        if rumours is None:
            rumours = self.select_rumours(subject)
        self.outbox.append(
            (
                tuple(address),
                Message(
                    kind,
                    self.own_identity,
                    self.address,
                    self.standing,
                    sequence,
                    target,
                    on_behalf_of,
                    tuple(rumours),
                ),
            )
        )

    def select_rumours(self, subject) -> list[Rumour]:
        """Return the rumours for a message: first the subject's, then the least often sent."""
        selected = []
        peer = self.peers.get(subject) if subject else None
        if peer is not None and peer.state in (SUSPECT, LOST):
            selected.append(
                Rumour(peer.identity, peer.state, peer.advertised_address, peer.reporter)
            )
        max_transmissions = RETRANSMIT_MULTIPLIER * ceil(log2(len(self.peers) + 2))
        candidates = sorted(
            (
                (transmissions, name)
                for name, (_, transmissions) in self.rumour_queue.items()
                if name != subject or not selected
            )
        )
        for _, name in candidates[: RUMOURS_PER_MESSAGE - len(selected)]:
            entry = self.rumour_queue[name]
            entry[1] += 1
            selected.append(entry[0])
            if entry[1] >= max_transmissions:
                del self.rumour_queue[name]
        return selected

    def all_rumours(self) -> tuple:
        """Return the full state as rumours, for a sync."""
        return tuple(
            [Rumour(self.own_identity, ALIVE, self.address, self.own_identity.name)]
            + [
                Rumour(p.identity, p.state, p.advertised_address, p.reporter)
                for p in self.peers.values()
            ]
        )

    def apply_rumours(self, rumours, now: int) -> None:
        """Apply the rumours of a sync, and update the standing."""
        for rumour in rumours:
            self.apply_rumour(rumour, now)
        self.update_standing(now)

    def leave(self, now: int) -> None:
        """Queue messages that announce this relay's departure to a sample of the members.

        The rumour needs no more recipients to spread. The caller sends the messages and stops.
        """
        self.leaving = True
        leave_rumour = Rumour(self.own_identity, LEFT, self.address, self.own_identity.name)
        recipients = [p for p in self.peers.values() if p.state in (ALIVE, SUSPECT)]
        for peer in self.random_source.sample(
            recipients, min(len(recipients), RUMOURS_PER_MESSAGE)
        ):
            self.send(peer.address, "word", rumours=(leave_rumour,))
