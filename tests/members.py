"""Members of one fleet on a clock moved by a heap: latencies, losses, cuts by direction, pauses, kills. Used by tests and measurements."""

from collections import deque
from heapq import heappop, heappush
from itertools import count
from random import Random

from molehill.membership.member import ALIVE, ALONE, CONNECTED, LOST, MS, SUSPECT, Member, Settings

LATE = 4000 * MS
UNREAD = 256  # datagrams that a paused one finds when it wakes


class Fleet:
    """`m`: name -> Member of those that run; `cuts`: (from, to) through which nothing comes."""

    def __init__(
        self,
        size: int,
        seed: int = 1,
        settings=None,
        loss: float = 0.0,
        latency=(1 * MS, 3 * MS),
        seeds: int = 3,
    ):
        # share of datagrams that come twice, the second time up to LATE behind the first
        self.late = 0.0
        self.set, self.chance, self.loss, self.latency = (
            settings or Settings(),
            Random(f"fleet {seed}"),
            loss,
            latency,
        )
        self.now, self.heap, self.serial, self.cuts = 1_000 * MS, [], count(), set()
        self.names = [f"r{n}" for n in range(size)]
        self.m, self.asleep, self.unread, self.numbers, self.bytes, self.sent, self.news = (
            {},
            {},
            {},
            {},
            {},
            0,
            [],
        )
        self.n_seeds = seeds
        for name in self.names:
            self.start(name)

    def address(self, name):
        return name, 7000

    def start(self, name, number=None):
        self.numbers[name] = number or self.numbers.get(name, 0) + 1
        seeds = {
            other: self.address(other) for other in self.names[: self.n_seeds + 1] if other != name
        }
        self.m[name] = Member(
            self.set,
            name,
            self.address(name),
            self.numbers[name],
            seeds,
            Random(f"{name} {self.chance.random()}"),
            self.now,
        )
        self.wake(name, self.chance.randrange(self.set.round))

    def kill(self, name):
        del self.m[name]

    def pause(self, name, span):
        self.asleep[name] = self.now + span
        self.unread[name] = deque()
        self.at(self.now + span, self.resume, name)

    def resume(self, name):
        del self.asleep[name]
        member = self.m.get(name)
        if member is None:
            return
        for message, source in self.unread.pop(name):
            member.turn(self.now)
            member.hear(self.now, message, source)
            self.carry(name)
        self.tick(name, member)

    # The clock

    def at(self, when, work, *args):
        heappush(self.heap, (when, next(self.serial), work, args))

    def wake(self, name, span):
        self.at(self.now + max(0, span), self.tick, name, self.m[name])

    def tick(self, name, member):
        if self.m.get(name) is not member or name in self.asleep:
            return
        member.tick(self.now)
        self.carry(name)
        self.wake(name, min(max(member.due() - self.now, MS), self.set.stalled // 4))

    def run(self, span):
        until = self.now + span
        while self.heap and self.heap[0][0] <= until:
            self.now, _, work, args = heappop(self.heap)
            work(*args)
        self.now = until

    # What is said

    def carry(self, name):
        member = self.m[name]
        out, member.out = member.out, []
        for address, message in out:
            self.sent += 1
            other = address[0]
            if (name, other) not in self.cuts and self.chance.random() >= self.loss:
                self.at(
                    self.now + self.chance.randrange(*self.latency),
                    self.comes,
                    other,
                    message,
                    self.address(name),
                )
                if self.late and self.chance.random() < self.late:
                    self.at(
                        self.now + self.chance.randrange(LATE),
                        self.comes,
                        other,
                        message,
                        self.address(name),
                    )
        syncs, member.syncs = member.syncs, []
        for other in syncs:
            if (
                not {(name, other), (other, name)} & self.cuts
                and other in self.m
                and other not in self.asleep
            ):
                there = self.m[other]
                there.turn(self.now)
                there.learn_all(member.everything(), self.now)
                member.learn_all(there.everything(), self.now)
                self.carry(other)
        news, member.news = member.news, []
        self.news += [(self.now, name, what, facts) for what, facts in news]

    def comes(self, name, message, source):
        if name in self.asleep:
            if len(self.unread[name]) < UNREAD:
                self.unread[name].append((message, source))
        elif name in self.m:
            member = self.m[name]
            member.turn(self.now)
            member.hear(self.now, message, source)
            self.carry(name)

    # What is believed

    def view(self, name):
        return {peer.who.name: peer.state for peer in self.m[name].peers.values()}

    def states_of(self, name, among=None):
        return {
            self.m[other].peers[name].state if name in self.m[other].peers else None
            for other in among or self.m
            if other != name
        }

    def all_alive(self):
        return all(
            set(self.view(name).values()) <= {ALIVE} and len(self.view(name)) == len(self.m) - 1
            for name in self.m
        )

    def cut(self, left, right, both=True):
        ways = {(a, b) for a in left for b in right if a != b}
        self.cuts |= ways | ({(b, a) for a, b in ways} if both else set())

    def heal(self):
        self.cuts.clear()


def agreed(fleet) -> int:
    """Within it, after the last fault, all views are one: calls to lost ones every five rounds, refutations, rumours."""
    return 40 * fleet.set.round


def unsound(fleet, best) -> str:
    """What no state may show; `best`: the newest incarnation that each viewer has believed so far, kept by the caller."""
    for viewer, member in fleet.m.items():
        if (
            member.standing == CONNECTED
            and member.seeds
            and (member.answered is None or member.looked - member.answered > fleet.set.alone_after)
        ):
            return f"{viewer} says connected, and nobody answered it"
        for peer in member.peers.values():
            place = viewer, member.me.process(), peer.who.name
            if best.get(place, (0, 0, 0)) > peer.who.order():
                return f"{viewer} believes an older incarnation of {peer.who.name}"
            best[place] = peer.who.order()
            known = fleet.m.get(peer.who.name)
            if (
                known is not None
                and known.me.process() == peer.who.process()
                and peer.who.turn > known.me.turn
            ):
                return f"{viewer} believes an incarnation that {peer.who.name} never had"
    return ""


def hasty(fleet, since: int, may=()) -> str:
    """An accusation by one that hears nobody, or of one to which nothing was done (`may`: names that were in trouble)."""
    for when, viewer, what, facts in fleet.news:
        if when < since or what != "member" or facts["now"] not in (SUSPECT, LOST):
            continue
        if (
            facts["by"] == viewer
            and viewer in fleet.m
            and fleet.m[viewer].standing == ALONE
            and fleet.m[viewer].since < when
        ):
            return f"{viewer} is alone and accuses {facts['name']}"
        if facts["now"] == LOST and viewer not in may and facts["name"] not in may:
            return f"{viewer} lost {facts['name']}, to which nothing was done"
    return ""


def rough(seed: int):
    """A day of losses, repeats by kills and restarts, pauses, cuts one way and both, all at once. What was wrong, or None."""
    chance = Random(seed)
    fleet = Fleet(chance.choice([3, 5, 8, 12]), seed=seed)
    fleet.run(10 * fleet.set.round)
    fleet.loss, fleet.late = chance.choice([0.0, 0.05, 0.2, 0.4]), chance.choice([0.0, 0.1, 0.5])
    best: dict = {}
    for _ in range(25):
        name, what = chance.choice(fleet.names), chance.random()
        if what < 0.25 and name in fleet.m and name not in fleet.asleep:
            fleet.pause(name, chance.choice([200, 390, 1000, 3000]) * MS)
        elif what < 0.4 and name in fleet.m and name not in fleet.asleep and len(fleet.m) > 2:
            fleet.kill(name)
        elif what < 0.6:
            [
                fleet.start(gone)
                for gone in fleet.names
                if gone not in fleet.m and gone not in fleet.asleep
            ]
        elif what < 0.8:
            fleet.cut([name], chance.sample(fleet.names, 2), both=chance.random() < 0.3)
        else:
            fleet.heal()
        fleet.run(chance.randrange(300, 2500) * MS)
        if found := unsound(fleet, best) or hasty(fleet, 0, fleet.names):
            return found
    fleet.heal()
    fleet.loss = fleet.late = 0.0
    fleet.run(8 * fleet.set.round)
    [fleet.start(gone) for gone in fleet.names if gone not in fleet.m]
    until = fleet.now + 2 * agreed(fleet)
    while not (fleet.all_alive() and all(m.standing == CONNECTED for m in fleet.m.values())):
        if fleet.now > until:
            return f"no agreement: { {n: (m.standing, fleet.view(n)) for n, m in fleet.m.items()} }"
        fleet.run(fleet.set.round)
        if found := unsound(fleet, best):
            return found
    return None
