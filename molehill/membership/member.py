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
RANK = {JOINING: 0, ALIVE: 1, SUSPECT: 2, LOST: 3, LEFT: 4}
ALONE, THINNED, CONNECTED, SUPERSEDED = "alone", "thinned", "connected", "superseded"
# asked to probe where no answer came: SWIM's figure; more pay little
HELPERS = 3
PASSERS = 2  # by whom an answer goes that its asker may not hear straight
# steps by which own probes slow down, one for each sign that this relay is the one that is late
SLOW_MOST = 3
# rumours in a message: with the head they fit 1,200 bytes (wire.py)
CARRIED = 8
# a rumour is told so many times the logarithm of the fleet's size
REPEATS = 3
# suspicions from so many others shorten the wait to its least
CONFIRMED_BY = 3
# a suspect's time: so many rounds by log10 of the size; up to so many times that, alone in the suspicion
WAIT_LEAST, WAIT_MOST = 5, 3
# smoothed round trips that a direct probe waits before helpers are asked
ROUND_TRIPS = 4
# rounds between words to one that is lost, or to a seed: a fleet that was cut in two finds itself
BACK_EVERY = 5
GRAVES = 1024  # names forgotten, of which old rumours are not believed


@dataclass(frozen=True)
class Settings:
    """Spans in nanoseconds. `round`: one probe each; `floor`: least wait for an answer; `alone_after`: without an answer so long, alone;
    `stalled`: not looked at for so long, this relay stood still; `forget_after`: one lost or left is forgotten; `sync_every`: all is told to one."""

    round: int = 500 * MS
    floor: int = 100 * MS
    alone_after: int = 2000 * MS
    stalled: int = 400 * MS
    forget_after: int = 600_000 * MS
    sync_every: int = 15_000 * MS


class Who(NamedTuple):
    """One process of a member. `number` rises with each start, `token` is drawn at it, `turn` rises with each refutation."""

    name: str
    number: int
    token: int
    turn: int

    def process(self):
        return self.number, self.token

    def order(self):
        return self.number, self.token, self.turn


class Rumour(NamedTuple):
    who: Who
    state: str
    address: tuple  # as it gives it itself
    by: str  # whose word it is


class Message(NamedTuple):
    """`kind`: ping, again (a ping that had no answer), ack, nack, ask, pass, word. `target`: who is to be probed, answered or reached; `seq` of
    the sender, or of the one answered; `asked`: of a ping by a helper the (name, seq) of the one who asked for it, of a pass (who answers, seq)."""

    kind: str
    sender: Who
    address: tuple
    standing: str
    seq: int = 0
    target: str = ""
    asked: Optional[tuple] = None
    rumours: tuple = ()


@dataclass
class Peer:
    who: Who
    address: tuple  # where this relay reaches it
    told: tuple  # as it gives it itself
    state: str
    since: int
    by: str
    heard: int = 0  # a message of its own came last; 0: never
    answered: int = 0  # it answered a probe of this relay last
    accusers: set = field(default_factory=set)
    until: int = 0  # of a suspect: taken for lost then


@dataclass
class Probe:
    target: str
    began: int
    asks_at: int  # helpers are asked
    over_at: int
    nacks: int = 0
    asked: int = 0  # helpers that were asked; 0: not yet


class Member:
    """`seeds`: name -> address of those that this relay is told of, itself aside; such an address stands over what rumours say.

    `out`: (address, Message) to send; `syncs`: names to tell all to; `news`: facts for the log, in order. Whoever drives this empties them
    after each call, and calls `turn` first whenever it gets to run.
    """

    def __init__(
        self, settings: Settings, name: str, address, number: int, seeds: dict, chance, now: int
    ):
        self.set, self.chance, self.seeds, self.address = (
            settings,
            chance,
            dict(seeds),
            tuple(address),
        )
        self.me = Who(name, number, chance.getrandbits(32), 0)
        self.peers: dict[str, Peer] = {}
        self.graves: dict[str, Who] = {}
        self.ring: list[str] = []
        self.probes: dict[int, Any] = {}
        self.helped: dict[int, Any] = {}
        self.seq = 0
        self.rumours: dict[str, list] = {}  # name -> [rumour, times told]
        self.slow, self.trip, self.trip_dev = 0, settings.floor / ROUND_TRIPS, 0.0
        self.looked, self.next_round, self.next_sync, self.rounds = now, now, now, 0
        self.answered: Optional[int] = None  # when any probe was answered last
        self.leaving, self.superseded = False, False
        self.asked_self: dict[Any, Any] = {}
        self.out: list[Any] = []
        self.syncs: list[str] = []
        self.news: list[Any] = []
        self.counts = dict.fromkeys(("refuted", "false_suspicions", "lost", "stood", "old"), 0)
        self.standing = ALONE
        self.since = now

    def goes_on(self, me, rumours, answered: int) -> None:
        """As the process before it in an upgrade was; `answered`: when that was answered last."""
        self.me, self.answered = Who(*me), answered
        for rumour in rumours:
            self.told(rumour, self.looked)
        self.rumours.clear()
        self.look_at_self(self.looked)

    # What is believed

    def expected(self) -> int:
        """Of how many a majority is asked: all that have not left, lost ones until they are forgotten."""
        return 1 + sum(p.state not in (LEFT, JOINING) for p in self.peers.values())

    def reached(self) -> int:
        return 1 + sum(p.state == ALIVE for p in self.peers.values())

    def hears(self, now: int) -> int:
        return sum(p.heard > 0 and now - p.heard <= self.span() for p in self.peers.values())

    def heard_by(self, now: int) -> int:
        return sum(p.answered > 0 and now - p.answered <= self.span() for p in self.peers.values())

    def span(self) -> int:
        """Within it each peer has been probed once, and has answered."""
        return len(self.peers) * self.pace() + self.set.alone_after

    def stands(self, now: int) -> str:
        """Danger: one that hears nothing takes itself for the fleet. So the first thing is time: how long ago did anybody answer?"""
        if self.superseded:
            return SUPERSEDED
        if not self.seeds and not self.peers:
            return CONNECTED  # a fleet of one by its settings
        if self.answered is None or now - self.answered > self.set.alone_after:
            return ALONE
        return CONNECTED if 2 * self.reached() > self.expected() else THINNED

    def may_accuse(self) -> bool:
        return self.standing in (CONNECTED, THINNED)

    # Time

    def turn(self, now: int) -> None:
        """First of all, whenever this relay runs: how long it did not, and what follows from time alone."""
        stood = now - self.looked
        self.looked = now
        if stood > self.set.stalled:
            self.woke(now, stood)
        self.look_at_self(now)

    def woke(self, now: int, stood: int) -> None:
        """Danger: old ears. Answers that were not read are no silence: what was asked is asked anew, suspects have the time again."""
        self.counts["stood"] += 1
        self.probes.clear()
        self.helped.clear()
        for peer in self.peers.values():
            if peer.state == SUSPECT:
                peer.until += stood
        self.next_round, self.next_sync = now, now
        self.news.append(("stood", {"ms": stood // MS}))

    def look_at_self(self, now: int) -> None:
        standing = self.stands(now)
        if standing != self.standing:
            self.news.append(
                (
                    "standing",
                    {
                        "was": self.standing,
                        "now": standing,
                        "reached": self.reached(),
                        "expected": self.expected(),
                    },
                )
            )
            self.standing, self.since = standing, now

    def due(self) -> int:
        """When `tick` has something to do."""
        times = [
            self.next_round,
            *(p.over_at if p.asked else p.asks_at for p in self.probes.values()),
        ]
        times += [p.until for p in self.peers.values() if p.state == SUSPECT]
        if self.answered is not None and self.standing != ALONE:
            times.append(self.answered + self.set.alone_after + 1)
        return min(times)

    def tick(self, now: int) -> None:
        self.turn(now)
        if self.superseded or self.leaving:
            self.next_round = now + self.set.round
            return
        for seq, probe in list(self.probes.items()):
            if probe.asked == 0 and now >= probe.asks_at:
                self.ask_helpers(seq, probe)
            if now >= probe.over_at:
                del self.probes[seq]
                self.unanswered(probe, now)
        for seq, (*_, until) in list(self.helped.items()):
            if now >= until:
                self.not_heard(seq)
        for name, peer in list(self.peers.items()):
            if peer.state == SUSPECT and now >= peer.until and self.may_accuse():
                self.counts["lost"] += 1
                self.believe(peer, LOST, now, self.me.name)
            elif peer.state in (LOST, LEFT) and now - peer.since >= self.set.forget_after:
                self.forget(name)
        if now >= self.next_round:
            self.begin_round(now)
        self.look_at_self(now)

    def forget(self, name: str) -> None:
        self.graves[name] = self.peers.pop(name).who
        while len(self.graves) > GRAVES:
            del self.graves[next(iter(self.graves))]
        self.news.append(("forgotten", {"name": name}))

    # Probes

    def pace(self) -> int:
        """A round's span. Danger: one that is slow for its own sake has to hear an answer before it takes itself for alone."""
        return min(self.set.round * (1 + self.slow), max(self.set.round, self.set.alone_after // 2))

    def begin_round(self, now: int) -> None:
        self.next_round = now + self.pace()
        self.rounds += 1
        name = self.next_target()
        if name is not None:
            self.probe(name, now)
        if self.rounds % BACK_EVERY == 1:
            self.call_back()
        if now >= self.next_sync:
            names = [
                n for n, p in self.peers.items() if p.state in (ALIVE, SUSPECT, JOINING)
            ] or list(self.seeds)
            if names:
                self.next_sync = now + self.set.sync_every
                self.syncs.append(self.chance.choice(names))

    def next_target(self) -> Optional[str]:
        """Each once, in an order drawn anew: none waits longer than two turns through the ring."""
        for _ in range(len(self.ring) + 1):
            if not self.ring:
                self.ring = [
                    n for n, p in self.peers.items() if p.state in (JOINING, ALIVE, SUSPECT)
                ]
                self.chance.shuffle(self.ring)
                if not self.ring:
                    return None
            name = self.ring.pop()
            if name in self.peers and self.peers[name].state in (JOINING, ALIVE, SUSPECT):
                return name
        return None

    def wait(self) -> int:
        return int(max(self.set.floor, ROUND_TRIPS * (self.trip + 2 * self.trip_dev))) * (
            1 + self.slow
        )

    def probe(self, name: str, now: int) -> None:
        self.seq += 1
        over = now + self.pace()
        self.probes[self.seq] = Probe(
            name, now, min(now + self.wait(), over - self.set.floor), over
        )
        self.say(self.peers[name].address, "ping", seq=self.seq, target=name, about=name)

    def ask_helpers(self, seq: int, probe: Probe) -> None:
        peer = self.peers.get(probe.target)
        probe.asked = 1  # also without any: it was tried
        if peer is None:
            return
        self.say(peer.address, "again", seq=seq, target=probe.target, about=probe.target)
        helpers = [
            n for n, p in self.peers.items() if n != probe.target and p.state in (ALIVE, SUSPECT)
        ]
        for name in self.chance.sample(helpers, min(HELPERS, len(helpers))):
            self.say(self.peers[name].address, "ask", seq=seq, target=probe.target)
            probe.asked += 1

    def unanswered(self, probe: Probe, now: int) -> None:
        """Nobody's way led there and back. Danger: it may be this relay that hears nothing; helpers that say no speak against that."""
        peer = self.peers.get(probe.target)
        if probe.nacks < probe.asked - 1:
            self.slow = min(SLOW_MOST, self.slow + 1)
        self.look_at_self(now)
        # Danger: one that has just gone deaf accuses whom it probes until it knows. So it accuses only on a word from anybody since.
        answered = self.answered or 0
        if peer is None or not self.may_accuse() or answered < probe.began:
            return
        if peer.state == JOINING:
            self.forget(probe.target)
        elif peer.state == ALIVE:
            self.believe(peer, SUSPECT, now, self.me.name)
        elif peer.state == SUSPECT:
            self.accuse(peer, self.me.name)

    def call_back(self) -> None:
        names = [n for n, p in self.peers.items() if p.state == LOST]
        names += [n for n in self.seeds if n not in self.peers]
        if names:
            name = self.chance.choice(names)
            peer = self.peers.get(name)
            self.say(
                peer.address if peer else self.seeds[name], "ping", seq=0, target=name, about=name
            )

    # What comes

    def hear(self, now: int, message: Message, source) -> None:
        """`source`: the address that it came from, at which its sender is answered; None where that tells nothing, as of a stream. Call
        `turn` before."""
        sender = message.sender
        if sender.name == self.me.name:
            return self.meets_itself(sender, source or message.address)
        if self.superseded:
            return
        heard_at, source = source, source or self.seeds.get(sender.name, message.address)
        peer = self.meets(now, message, tuple(source))
        if peer is None:
            return
        if heard_at is not None:
            peer.address = tuple(heard_at)  # where it is now, whatever seeds and rumours say
        for rumour in message.rumours:
            self.told(rumour, now)
        getattr(self, "on_" + message.kind)(message, peer, now)
        self.look_at_self(now)

    def meets(self, now: int, message: Message, source) -> Optional[Peer]:
        sender = message.sender
        peer, grave = self.peers.get(sender.name), self.graves.get(sender.name)
        if peer is None and grave is not None and sender.order() <= grave.order():
            # it is told so, and comes back by a turn more
            self.counts["old"] += 1
            self.say(
                source,
                "word",
                about=None,
                rumours=(Rumour(grave, LOST, message.address, self.me.name),),
            )
            return None
        if peer is not None and sender.process() < peer.who.process():
            # another process has that name since: it is told so
            self.counts["old"] += 1
            self.say(
                source, "word", rumours=(Rumour(peer.who, peer.state, peer.told, self.me.name),)
            )
            return None
        if peer is None:
            peer = self.peers[sender.name] = Peer(
                sender, source, message.address, JOINING, now, sender.name
            )
            self.graves.pop(sender.name, None)
            self.ring.append(sender.name)
            self.believe(peer, ALIVE, now, sender.name)
        elif sender.process() > peer.who.process():
            self.another(peer, sender, message.address, source)
            self.believe(peer, ALIVE, now, sender.name)
        elif sender.turn > peer.who.turn and peer.state != LEFT:
            peer.who = sender
            self.believe(peer, ALIVE, now, sender.name)
        elif peer.state == JOINING:
            self.believe(peer, ALIVE, now, sender.name)
        peer.heard = now
        return peer

    def on_ping(self, message: Message, peer: Peer, now: int) -> None:
        if message.target != self.me.name:
            return  # meant for one that had this address before
        if message.seq:
            self.say(peer.address, "ack", seq=message.seq, target=self.me.name, about=peer.who.name)
        else:
            self.say(peer.address, "word", about=peer.who.name)
        if message.asked is not None:
            # Danger: the helper may hear this one and not be heard by whoever asked. So the answer goes both ways.
            name, seq = message.asked
            if name in self.peers or name in self.seeds:
                self.say(
                    self.peers[name].address if name in self.peers else self.seeds[name],
                    "ack",
                    seq=seq,
                    target=self.me.name,
                )

    def on_again(self, message: Message, peer: Peer, now: int) -> None:
        """Danger: the asker is heard here, and does not hear this one. So others pass the answer on."""
        self.on_ping(message, peer, now)
        if message.target == self.me.name:
            helpers = [
                p.address
                for n, p in self.peers.items()
                if p is not peer and p.state in (ALIVE, SUSPECT)
            ]
            for address in self.chance.sample(helpers, min(PASSERS, len(helpers))):
                self.say(
                    address,
                    "pass",
                    seq=message.seq,
                    target=peer.who.name,
                    asked=(self.me.name, message.seq),
                )

    def on_pass(self, message: Message, peer: Peer, now: int) -> None:
        there = self.peers.get(message.target)
        if there is not None and message.asked is not None:
            self.say(there.address, "ack", seq=message.seq, target=message.asked[0])

    def on_ack(self, message: Message, peer: Peer, now: int) -> None:
        if message.seq in self.helped and self.helped[message.seq][2] == message.target:
            name, seq, *_ = self.helped.pop(message.seq)
            if name in self.peers:
                self.say(self.peers[name].address, "ack", seq=seq, target=message.target)
            return
        probe = self.probes.get(message.seq)
        if probe is None or probe.target != message.target:
            return
        del self.probes[message.seq]
        self.answered = now
        self.slow = max(0, self.slow - 1)
        target = self.peers.get(probe.target)
        if target is not None:
            if peer is target:
                target.answered = now
                # else it is open which of the two was answered
                if probe.asked == 0:
                    took = now - probe.began
                    self.trip_dev += (abs(took - self.trip) - self.trip_dev) / 4
                    self.trip += (took - self.trip) / 8
            if target.state == JOINING:
                self.believe(target, ALIVE, now, self.me.name)

    def on_nack(self, message: Message, peer: Peer, now: int) -> None:
        probe = self.probes.get(message.seq)
        if probe is not None and probe.target == message.target:
            probe.nacks += 1
            self.answered = now  # the helper was reached, and is heard

    def on_ask(self, message: Message, peer: Peer, now: int) -> None:
        target = self.peers.get(message.target)
        address = target.address if target is not None else self.seeds.get(message.target)
        if address is None:
            return
        self.seq += 1
        self.helped[self.seq] = peer.who.name, message.seq, message.target, now + self.set.floor
        self.say(
            address,
            "ping",
            seq=self.seq,
            target=message.target,
            asked=(peer.who.name, message.seq),
            about=message.target,
        )

    def on_word(self, message: Message, peer: Peer, now: int) -> None:
        pass

    def not_heard(self, seq: int) -> None:
        """What was asked for another did not come in time: it hears that this relay at least heard the wish."""
        name, theirs, target, _ = self.helped.pop(seq)
        if name in self.peers:
            self.say(self.peers[name].address, "nack", seq=theirs, target=target)

    # Rumours

    def told(self, rumour: Rumour, now: int) -> None:
        who, state = rumour.who, rumour.state
        if self.superseded:
            # Danger: it would take a higher number yet, and both processes would give up
            return
        if who.name == self.me.name:
            return self.told_of_self(rumour, now)
        peer, grave = self.peers.get(who.name), self.graves.get(who.name)
        if peer is None:
            if state in (JOINING, ALIVE) and not (
                grave is not None and who.order() <= grave.order()
            ):
                self.graves.pop(who.name, None)
                self.peers[who.name] = peer = Peer(
                    who,
                    self.seeds.get(who.name, rumour.address),
                    rumour.address,
                    JOINING,
                    now,
                    rumour.by,
                )
                self.ring.insert(self.chance.randrange(len(self.ring) + 1), who.name)
                if state == ALIVE:
                    self.believe(peer, ALIVE, now, rumour.by)
            return
        if who.process() != peer.who.process():
            if who.process() > peer.who.process():
                self.another(peer, who, rumour.address, self.seeds.get(who.name, rumour.address))
                self.believe(peer, ALIVE if state == JOINING else state, now, rumour.by)
            return
        if who.turn > peer.who.turn or who.turn == peer.who.turn and RANK[state] > RANK[peer.state]:
            peer.who = who
            if state != peer.state:
                self.believe(peer, ALIVE if state == JOINING else state, now, rumour.by)
        elif who.turn == peer.who.turn and state == peer.state == SUSPECT:
            self.accuse(peer, rumour.by)

    def another(self, peer: Peer, who: Who, told, address) -> None:
        """Its name is another process's now. Danger: what the one before did not answer is no sign against this one."""
        self.news.append(
            (
                "another process",
                {"name": who.name, "number": who.number, "moved": peer.told != told},
            )
        )
        peer.who, peer.told, peer.address, peer.answered = who, told, address, 0
        self.probes = {seq: probe for seq, probe in self.probes.items() if probe.target != who.name}

    def believe(self, peer: Peer, state: str, now: int, by: str) -> None:
        """The one place in which what is believed of a peer changes."""
        before, peer.state, peer.since, peer.by = peer.state, state, now, by
        if before == SUSPECT and state == ALIVE:
            self.counts["false_suspicions"] += 1
        peer.accusers.clear()
        if state == SUSPECT:
            peer.accusers.add(by)
            peer.until = now + self.patience(1)
        self.news.append(
            (
                "member",
                {
                    "name": peer.who.name,
                    "was": before,
                    "now": state,
                    "number": peer.who.number,
                    "turn": peer.who.turn,
                    "by": by,
                },
            )
        )
        self.spread(peer)

    def accuse(self, peer: Peer, by: str) -> None:
        """One more that suspects it: less time for it to be heard."""
        if by not in peer.accusers and len(peer.accusers) <= CONFIRMED_BY:
            peer.accusers.add(by)
            peer.until = min(peer.until, peer.since + self.patience(len(peer.accusers)))
            self.spread(peer, by)

    def patience(self, accusers: int) -> int:
        """How long a suspect has: Lifeguard's curve, from the most with one accuser to the least with CONFIRMED_BY more."""
        least = WAIT_LEAST * max(1.0, log(max(2, self.expected()), 10)) * self.set.round
        most = WAIT_MOST * least
        # a small fleet has no more to say so
        enough = max(1, min(CONFIRMED_BY, self.expected() - 2))
        share = min(1.0, log(accusers) / log(enough + 1))
        return int(max(least, most - (most - least) * share))

    def spread(self, peer: Peer, by=None) -> None:
        self.rumours[peer.who.name] = [Rumour(peer.who, peer.state, peer.told, by or peer.by), 0]

    def told_of_self(self, rumour: Rumour, now: int) -> None:
        who = rumour.who
        if who.process() == self.me.process():
            if who.turn >= self.me.turn and rumour.state in (SUSPECT, LOST) and not self.leaving:
                self.counts["refuted"] += 1
                self.slow = min(SLOW_MOST, self.slow + 1)
                self.me = self.me._replace(turn=who.turn + 1)
                self.rumours[self.me.name] = [Rumour(self.me, ALIVE, self.address, self.me.name), 0]
                self.news.append(
                    ("refuted", {"state": rumour.state, "by": rumour.by, "turn": self.me.turn})
                )
        elif who.process() > self.me.process():
            # An earlier process of this relay whose number went with the folder, or another one that lives: asked, before it is believed.
            if (
                rumour.address == self.address
                or self.asked_self.get(who.process(), now) < now - 2 * self.set.round
            ):
                self.asked_self.clear()
                self.me = self.me._replace(number=who.number + 1, turn=0)
                self.rumours[self.me.name] = [Rumour(self.me, ALIVE, self.address, self.me.name), 0]
                self.news.append(("renumbered", {"number": self.me.number}))
            else:
                self.asked_self.setdefault(who.process(), now)
                self.say(rumour.address, "ping", target=self.me.name)

    def meets_itself(self, sender: Who, source) -> None:
        """Another process says that it has this one's name: the higher start stays, for all alike."""
        if sender.process() > self.me.process():
            if not self.superseded:
                self.superseded = True
                self.news.append(
                    ("superseded", {"number": sender.number, "address": "%s:%d" % tuple(source)})
                )
            self.look_at_self(self.looked)
        elif sender.process() < self.me.process():
            self.counts["old"] += 1
            self.say(source, "word")

    # What goes

    def say(
        self,
        address,
        kind: str,
        seq: int = 0,
        target: str = "",
        asked=None,
        about=None,
        rumours=None,
    ) -> None:
        """`about`: what is believed of that one goes first, so that it can answer a suspicion at once."""
        if rumours is None:
            rumours = self.carried(about)
        self.out.append(
            (
                tuple(address),
                Message(
                    kind, self.me, self.address, self.standing, seq, target, asked, tuple(rumours)
                ),
            )
        )

    def carried(self, about) -> list[Rumour]:
        first = []
        peer = self.peers.get(about) if about else None
        if peer is not None and peer.state in (SUSPECT, LOST):
            first.append(Rumour(peer.who, peer.state, peer.told, peer.by))
        most = REPEATS * ceil(log2(len(self.peers) + 2))
        rows = sorted(
            (
                (times, name)
                for name, (_, times) in self.rumours.items()
                if name != about or not first
            )
        )
        for _, name in rows[: CARRIED - len(first)]:
            row = self.rumours[name]
            row[1] += 1
            first.append(row[0])
            if row[1] >= most:
                del self.rumours[name]
        return first

    def everything(self) -> tuple:
        """All that is believed, for one that is told all."""
        return tuple(
            [Rumour(self.me, ALIVE, self.address, self.me.name)]
            + [Rumour(p.who, p.state, p.told, p.by) for p in self.peers.values()]
        )

    def learn_all(self, rumours, now: int) -> None:
        for rumour in rumours:
            self.told(rumour, now)
        self.look_at_self(now)

    def leave(self, now: int) -> None:
        """Says goodbye to as many as a rumour needs; whoever drives this sends it, and stops."""
        self.leaving = True
        goodbye = Rumour(self.me, LEFT, self.address, self.me.name)
        there = [p for p in self.peers.values() if p.state in (ALIVE, SUSPECT)]
        for peer in self.chance.sample(there, min(len(there), CARRIED)):
            self.say(peer.address, "word", rumours=(goodbye,))
