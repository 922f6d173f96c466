"""Failure detection among relays as one state machine: no input, no output, no clock. Standard library only.

SWIM with Lifeguard's refinements (round-robin targets in random order, indirect probes, suspicion before a loss, refutation by a rising
incarnation, rumours with bounded repeats, slower probes while this relay finds itself slow), and what one-sided cuts and pauses need:
a probe by a helper is answered to the helper *and* to whoever asked; a relay that hears no answer says `alone` by time alone, and neither it
nor one that has just stood still accuses anybody. docs/design/membership.md has the reasons.
"""

from dataclasses import dataclass, field
from math import ceil, log, log2
from typing import Any, NamedTuple, Optional

MS = 1_000_000
JOINING, ALIVE, SUSPECT, LOST, LEFT = "joining", "alive", "suspect", "lost", "left"
# of two words on one incarnation the higher one stands
STATE_PRECEDENCE = {JOINING: 0, ALIVE: 1, SUSPECT: 2, LOST: 3, LEFT: 4}
ALONE, NO_MAJORITY, CONNECTED, SUPERSEDED = "alone", "thinned", "connected", "superseded"
# asked to probe where no answer came: SWIM's figure; more pay little
INDIRECT_PROBES = 3
ACK_FORWARDERS = 2  # by whom an answer goes that its asker may not hear straight
# steps by which own probes slow down, one for each sign that this relay is the one that is late
MAX_LOCAL_HEALTH_MULTIPLIER = 3
# rumours in a message: with the head they fit 1,200 bytes (codec.py)
RUMOURS_PER_MESSAGE = 8
# a rumour is told so many times the logarithm of the fleet's size
RETRANSMIT_MULTIPLIER = 3
# suspicions from so many others shorten the wait to its least
MAX_CONFIRMATIONS = 3
# a suspect's time: so many rounds by log10 of the size; up to so many times that, alone in the suspicion
SUSPICION_MULTIPLIER, MAX_SUSPICION_MULTIPLIER = 5, 3
# smoothed round trips that a direct probe waits before helpers are asked
ACK_TIMEOUT_ROUND_TRIPS = 4
# rounds between words to one that is lost, or to a seed: a fleet that was cut in two finds itself
RECONNECT_PERIODS = 5
MAX_TOMBSTONES = 1024  # names forgotten, of which old rumours are not believed


@dataclass(frozen=True)
class Settings:
    """Spans in nanoseconds. `protocol_period`: one probe each; `min_ack_timeout`: least wait for an answer; `alone_after`: without an answer so long, alone;
    `stall_threshold`: not looked at for so long, this relay stood still; `forget_after`: one lost or left is forgotten; `sync_interval`: all is told to one."""

    protocol_period: int = 500 * MS
    min_ack_timeout: int = 100 * MS
    alone_after: int = 2000 * MS
    stall_threshold: int = 400 * MS
    forget_after: int = 600_000 * MS
    sync_interval: int = 15_000 * MS


class Identity(NamedTuple):
    """One process of a member. `generation` rises with each start, `token` is drawn at it, `incarnation` rises with each refutation."""

    name: str
    generation: int
    token: int
    incarnation: int

    def process_key(self):
        return self.generation, self.token

    def order_key(self):
        return self.generation, self.token, self.incarnation


class Rumour(NamedTuple):
    identity: Identity
    state: str
    address: tuple  # as it gives it itself
    reporter: str  # whose word it is


class Message(NamedTuple):
    """`kind`: ping, again (a ping that had no answer), ack, nack, ask, pass, word. `target`: who is to be probed, answered or reached; `sequence` of
    the sender, or of the one answered; `on_behalf_of`: of a ping by a helper the (name, seq) of the one who asked for it, of a pass (who answers, seq)."""

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
    identity: Identity
    address: tuple  # where this relay reaches it
    advertised_address: tuple  # as it gives it itself
    state: str
    state_since: int
    reporter: str
    last_heard_at: int = 0  # a message of its own came last; 0: never
    last_ack_at: int = 0  # it answered a probe of this relay last
    suspected_by: set = field(default_factory=set)
    suspicion_deadline: int = 0  # of a suspect: taken for lost then


@dataclass
class Probe:
    target: str
    started_at: int
    indirect_at: int  # helpers are asked
    expires_at: int
    nacks: int = 0
    requests_sent: int = 0  # helpers that were asked; 0: not yet


class Member:
    """`seeds`: name -> address of those that this relay is told of, itself aside; such an address stands over what rumours say.

    `outbox`: (address, Message) to send; `pending_syncs`: names to tell all to; `events`: facts for the log, in order. Whoever drives this empties them
    after each call, and calls `advance_clock` first whenever it gets to run.
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
        self.rumour_queue: dict[str, list] = {}  # name -> [rumour, times told]
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
        self.last_ack_at: Optional[int] = None  # when any probe was answered last
        self.leaving, self.superseded = False, False
        self.rival_pinged_at: dict[Any, Any] = {}
        self.outbox: list[Any] = []
        self.pending_syncs: list[str] = []
        self.events: list[Any] = []
        self.counts = dict.fromkeys(("refuted", "false_suspicions", "lost", "stood", "old"), 0)
        self.standing = ALONE
        self.standing_since = now

    def restore(self, own_identity, rumours, last_ack_at: int) -> None:
        """As the process before it in an upgrade was; `last_ack_at`: when that was answered last."""
        self.own_identity, self.last_ack_at = Identity(*own_identity), last_ack_at
        for rumour in rumours:
            self.apply_rumour(rumour, self.last_run_at)
        self.rumour_queue.clear()
        self.update_standing(self.last_run_at)

    # What is believed

    def expected_count(self) -> int:
        """Of how many a majority is asked: all that have not left, lost ones until they are forgotten."""
        return 1 + sum(p.state not in (LEFT, JOINING) for p in self.peers.values())

    def reached_count(self) -> int:
        return 1 + sum(p.state == ALIVE for p in self.peers.values())

    def heard_count(self, now: int) -> int:
        return sum(
            p.last_heard_at > 0 and now - p.last_heard_at <= self.probe_cycle_span()
            for p in self.peers.values()
        )

    def heard_by_count(self, now: int) -> int:
        return sum(
            p.last_ack_at > 0 and now - p.last_ack_at <= self.probe_cycle_span()
            for p in self.peers.values()
        )

    def probe_cycle_span(self) -> int:
        """Within it each peer has been probed once, and has answered."""
        return len(self.peers) * self.probe_interval() + self.settings.alone_after

    def current_standing(self, now: int) -> str:
        """Danger: one that hears nothing takes itself for the fleet. So the first thing is time: how long ago did anybody answer?"""
        if self.superseded:
            return SUPERSEDED
        if not self.seeds and not self.peers:
            return CONNECTED  # a fleet of one by its settings
        if self.last_ack_at is None or now - self.last_ack_at > self.settings.alone_after:
            return ALONE
        return CONNECTED if 2 * self.reached_count() > self.expected_count() else NO_MAJORITY

    def may_suspect(self) -> bool:
        return self.standing in (CONNECTED, NO_MAJORITY)

    # Time

    def advance_clock(self, now: int) -> None:
        """First of all, whenever this relay runs: how long it did not, and what follows from time alone."""
        stall_duration = now - self.last_run_at
        self.last_run_at = now
        if stall_duration > self.settings.stall_threshold:
            self.recover_from_stall(now, stall_duration)
        self.update_standing(now)

    def recover_from_stall(self, now: int, stall_duration: int) -> None:
        """Danger: old ears. Answers that were not read are no silence: what was asked is asked anew, suspects have the time again."""
        self.counts["stood"] += 1
        self.probes.clear()
        self.probes_for_others.clear()
        for peer in self.peers.values():
            if peer.state == SUSPECT:
                peer.suspicion_deadline += stall_duration
        self.next_period_at, self.next_sync_at = now, now
        self.events.append(("stood", {"ms": stall_duration // MS}))

    def update_standing(self, now: int) -> None:
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
        """When `tick` has something to do."""
        deadlines = [
            self.next_period_at,
            *(p.expires_at if p.requests_sent else p.indirect_at for p in self.probes.values()),
        ]
        deadlines += [p.suspicion_deadline for p in self.peers.values() if p.state == SUSPECT]
        if self.last_ack_at is not None and self.standing != ALONE:
            deadlines.append(self.last_ack_at + self.settings.alone_after + 1)
        return min(deadlines)

    def tick(self, now: int) -> None:
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
        self.tombstones[name] = self.peers.pop(name).identity
        while len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
        self.events.append(("forgotten", {"name": name}))

    # Probes

    def probe_interval(self) -> int:
        """A round's span. Danger: one that is slow for its own sake has to hear an answer before it takes itself for alone."""
        return min(
            self.settings.protocol_period * (1 + self.local_health_multiplier),
            max(self.settings.protocol_period, self.settings.alone_after // 2),
        )

    def begin_period(self, now: int) -> None:
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
        """Each once, in an order drawn anew: none waits longer than two turns through the ring."""
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
        return int(
            max(
                self.settings.min_ack_timeout,
                ACK_TIMEOUT_ROUND_TRIPS
                * (self.smoothed_round_trip + 2 * self.round_trip_deviation),
            )
        ) * (1 + self.local_health_multiplier)

    def send_probe(self, name: str, now: int) -> None:
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
        peer = self.peers.get(probe.target)
        probe.requests_sent = 1  # also without any: it was tried
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
        """Nobody's way led there and back. Danger: it may be this relay that hears nothing; helpers that say no speak against that."""
        peer = self.peers.get(probe.target)
        if probe.nacks < probe.requests_sent - 1:
            self.local_health_multiplier = min(
                MAX_LOCAL_HEALTH_MULTIPLIER, self.local_health_multiplier + 1
            )
        self.update_standing(now)
        # Danger: one that has just gone deaf accuses whom it probes until it knows. So it accuses only on a word from anybody since.
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

    # What comes

    def receive(self, now: int, message: Message, source) -> None:
        """`source`: the address that it came from, at which its sender is answered; None where that tells nothing, as of a stream. Call
        `advance_clock` before."""
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
            peer.address = tuple(origin)  # where it is now, whatever seeds and rumours say
        for rumour in message.rumours:
            self.apply_rumour(rumour, now)
        getattr(self, "on_" + message.kind)(message, peer, now)
        self.update_standing(now)

    def admit_sender(self, now: int, message: Message, source) -> Optional[Peer]:
        sender = message.sender
        peer, tombstone = self.peers.get(sender.name), self.tombstones.get(sender.name)
        if peer is None and tombstone is not None and sender.order_key() <= tombstone.order_key():
            # it is told so, and comes back by a turn more
            self.counts["old"] += 1
            self.send(
                source,
                "word",
                subject=None,
                rumours=(Rumour(tombstone, LOST, message.address, self.own_identity.name),),
            )
            return None
        if peer is not None and sender.process_key() < peer.identity.process_key():
            # another process has that name since: it is told so
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
        if message.target != self.own_identity.name:
            return  # meant for one that had this address before
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
            # Danger: the helper may hear this one and not be heard by whoever asked. So the answer goes both ways.
            name, sequence = message.on_behalf_of
            if name in self.peers or name in self.seeds:
                self.send(
                    self.peers[name].address if name in self.peers else self.seeds[name],
                    "ack",
                    sequence=sequence,
                    target=self.own_identity.name,
                )

    def on_again(self, message: Message, peer: Peer, now: int) -> None:
        """Danger: the asker is heard here, and does not hear this one. So others pass the answer on."""
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
        requester = self.peers.get(message.target)
        if requester is not None and message.on_behalf_of is not None:
            self.send(
                requester.address, "ack", sequence=message.sequence, target=message.on_behalf_of[0]
            )

    def on_ack(self, message: Message, peer: Peer, now: int) -> None:
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
                # else it is open which of the two was answered
                if probe.requests_sent == 0:
                    elapsed = now - probe.started_at
                    self.round_trip_deviation += (
                        abs(elapsed - self.smoothed_round_trip) - self.round_trip_deviation
                    ) / 4
                    self.smoothed_round_trip += (elapsed - self.smoothed_round_trip) / 8
            if target.state == JOINING:
                self.set_state(target, ALIVE, now, self.own_identity.name)

    def on_nack(self, message: Message, peer: Peer, now: int) -> None:
        probe = self.probes.get(message.sequence)
        if probe is not None and probe.target == message.target:
            probe.nacks += 1
            self.last_ack_at = now  # the helper was reached, and is heard

    def on_ask(self, message: Message, peer: Peer, now: int) -> None:
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
        pass

    def send_nack(self, sequence: int) -> None:
        """What was asked for another did not come in time: it hears that this relay at least heard the wish."""
        name, requester_sequence, target, _ = self.probes_for_others.pop(sequence)
        if name in self.peers:
            self.send(self.peers[name].address, "nack", sequence=requester_sequence, target=target)

    # Rumours

    def apply_rumour(self, rumour: Rumour, now: int) -> None:
        identity, state = rumour.identity, rumour.state
        if self.superseded:
            # Danger: it would take a higher number yet, and both processes would give up
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
        """Its name is another process's now. Danger: what the one before did not answer is no sign against this one."""
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
        """The one place in which what is believed of a peer changes."""
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
        """One more that suspects it: less time for it to be heard."""
        if reporter not in peer.suspected_by and len(peer.suspected_by) <= MAX_CONFIRMATIONS:
            peer.suspected_by.add(reporter)
            peer.suspicion_deadline = min(
                peer.suspicion_deadline,
                peer.state_since + self.suspicion_timeout(len(peer.suspected_by)),
            )
            self.queue_rumour(peer, reporter)

    def suspicion_timeout(self, suspicions: int) -> int:
        """How long a suspect has: Lifeguard's curve, from the most with one accuser to the least with MAX_CONFIRMATIONS more."""
        min_timeout = (
            SUSPICION_MULTIPLIER
            * max(1.0, log(max(2, self.expected_count()), 10))
            * self.settings.protocol_period
        )
        max_timeout = MAX_SUSPICION_MULTIPLIER * min_timeout
        # a small fleet has no more to say so
        confirmations_needed = max(1, min(MAX_CONFIRMATIONS, self.expected_count() - 2))
        share = min(1.0, log(suspicions) / log(confirmations_needed + 1))
        return int(max(min_timeout, max_timeout - (max_timeout - min_timeout) * share))

    def queue_rumour(self, peer: Peer, reporter=None) -> None:
        self.rumour_queue[peer.identity.name] = [
            Rumour(peer.identity, peer.state, peer.advertised_address, reporter or peer.reporter),
            0,
        ]

    def apply_rumour_about_self(self, rumour: Rumour, now: int) -> None:
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
            # An earlier process of this relay whose number went with the folder, or another one that lives: asked, before it is believed.
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
        """Another process says that it has this one's name: the higher start stays, for all alike."""
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

    # What goes

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
        """`subject`: what is believed of that one goes first, so that it can answer a suspicion at once."""
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
        """All that is believed, for one that is told all."""
        return tuple(
            [Rumour(self.own_identity, ALIVE, self.address, self.own_identity.name)]
            + [
                Rumour(p.identity, p.state, p.advertised_address, p.reporter)
                for p in self.peers.values()
            ]
        )

    def apply_rumours(self, rumours, now: int) -> None:
        for rumour in rumours:
            self.apply_rumour(rumour, now)
        self.update_standing(now)

    def leave(self, now: int) -> None:
        """Says goodbye to as many as a rumour needs; whoever drives this sends it, and stops."""
        self.leaving = True
        leave_rumour = Rumour(self.own_identity, LEFT, self.address, self.own_identity.name)
        recipients = [p for p in self.peers.values() if p.state in (ALIVE, SUSPECT)]
        for peer in self.random_source.sample(
            recipients, min(len(recipients), RUMOURS_PER_MESSAGE)
        ):
            self.send(peer.address, "word", rumours=(leave_rumour,))
