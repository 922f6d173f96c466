"""Members of one fleet on a clock moved by a heap: latencies, losses, cuts by direction, pauses, kills. Used by tests and measurements."""
from collections import deque
from heapq import heappop, heappush
from itertools import count
from random import Random

from molehill.membership.member import ALIVE, MS, Member, Settings

UNREAD = 256                           # datagrams that a paused one finds when it wakes


class Fleet:
    """`m`: name -> Member of those that run; `cuts`: (from, to) through which nothing comes."""

    def __init__(self, size: int, seed: int = 1, settings=None, loss: float = 0.0, latency=(1 * MS, 3 * MS), seeds: int = 3):
        self.set, self.chance, self.loss, self.latency = settings or Settings(), Random(f"fleet {seed}"), loss, latency
        self.now, self.heap, self.serial, self.cuts = 1_000 * MS, [], count(), set()
        self.names = [f"r{n}" for n in range(size)]
        self.m, self.asleep, self.unread, self.numbers, self.bytes, self.sent, self.news = {}, {}, {}, {}, {}, 0, []
        self.n_seeds = seeds
        for name in self.names:
            self.start(name)

    def address(self, name):
        return name, 7000

    def start(self, name, number=None):
        self.numbers[name] = number or self.numbers.get(name, 0) + 1
        seeds = {other: self.address(other) for other in self.names[:self.n_seeds + 1] if other != name}
        self.m[name] = Member(self.set, name, self.address(name), self.numbers[name], seeds, Random(f"{name} {self.chance.random()}"), self.now)
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
                self.at(self.now + self.chance.randrange(*self.latency), self.comes, other, message, self.address(name))
        syncs, member.syncs = member.syncs, []
        for other in syncs:
            if not {(name, other), (other, name)} & self.cuts and other in self.m and other not in self.asleep:
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
        return {self.m[other].peers[name].state if name in self.m[other].peers else None for other in among or self.m if other != name}

    def all_alive(self):
        return all(set(self.view(name).values()) <= {ALIVE} and len(self.view(name)) == len(self.m) - 1 for name in self.m)

    def cut(self, left, right, both=True):
        ways = {(a, b) for a in left for b in right if a != b}
        self.cuts |= ways | ({(b, a) for a, b in ways} if both else set())

    def heal(self):
        self.cuts.clear()
