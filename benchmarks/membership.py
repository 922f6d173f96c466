"""Checks and measures the membership state machine, beside plain SWIM and two other detectors.

    # every order of messages, losses, pauses, restarts and ticks, to a depth
    python benchmarks/membership.py model --relays 3 --depth 7
    # a row a mutation: which scenario found it, with which seed
    python benchmarks/membership.py mutations --seeds 40
    # detection time, false suspicions an hour and relay, messages a relay and second
    python benchmarks/membership.py fleets --relays 3 30 300
    # the decoder with corrupt packets
    python benchmarks/membership.py spoilt --packets 1000000
    # CPU time and memory of one member among 300
    python benchmarks/membership.py cost

CI does not run this. Networks, clocks and pauses are simulated, so only counts and ratios are
meaningful.
"""

import argparse
import copy
import os
import time
import tracemalloc
from collections import deque
from contextlib import nullcontext
from multiprocessing import Pool
from random import Random

from benchmarks.detectors import Accrual, Observers
from molehill.membership.codec import InvalidMessage, MessageCodec
from molehill.membership.member import (
    ALIVE,
    ALONE,
    CONNECTED,
    LOST,
    MS,
    SUSPECT,
    Member,
    Message,
    Settings,
)
from tests.membership_mutations import MUTATIONS, mutated
from tests.simulated_fleet import (
    SimulatedFleet,
    agreement_bound,
    invariant_violation,
    run_random_faults,
    unfounded_suspicion,
)

SECOND, ALL_TO_ALL_LIMIT = 1000 * MS, 50


# Model checking


class ModelState:
    """Represents one state of the model: the members and the messages between them.

    `members` maps names to members; `in_flight` holds (receiver, message, source) for each message
    sent but not delivered; `newest_believed` holds the newest incarnations that each member has
    believed; `trace` holds the moves that led here.
    """

    def __init__(self, size: int):
        self.now, self.in_flight, self.newest_believed, self.trace, self.start_counts = (
            1000 * MS,
            (),
            {},
            (),
            {},
        )
        names = [f"r{n}" for n in range(size)]
        self.members = {}
        for n, name in enumerate(names):
            seeds = {other: (other, 7000) for other in names if other != name}
            self.members[name] = Member(
                Settings(), name, (name, 7000), 1, seeds, Random(n), self.now
            )
            self.start_counts[name] = 1

    def copy(self) -> "ModelState":
        """Return a copy that shares the members until `copy_member` copies one."""
        successor = copy.copy(self)
        successor.members, successor.newest_believed, successor.start_counts = (
            dict(self.members),
            dict(self.newest_believed),
            dict(self.start_counts),
        )
        return successor

    def copy_member(self, name: str) -> Member:
        """Replace a member by a copy that belongs to this state alone, and return it."""
        self.members[name] = member = copy.deepcopy(self.members[name])
        return member

    def collect_outbox(self, name: str) -> None:
        """Move a member's messages into `in_flight`."""
        member = self.members[name]
        self.in_flight += tuple(
            (address[0], message, (name, 7000)) for address, message in member.outbox
        )
        member.outbox, member.pending_syncs = [], []

    def state_key(self):
        """Return a hash of all that decides how the state goes on."""
        rows = []
        for name, member in self.members.items():
            peers = tuple(
                sorted(
                    (
                        p.identity,
                        p.state,
                        p.state_since,
                        p.suspicion_deadline,
                        p.last_heard_at,
                        p.last_ack_at,
                    )
                    for p in member.peers.values()
                )
            )
            rows.append(
                (
                    name,
                    member.own_identity,
                    member.standing,
                    member.last_ack_at,
                    member.last_run_at,
                    member.next_period_at,
                    member.local_health_multiplier,
                    tuple(
                        sorted(
                            (s, p.target, p.requests_sent, p.nacks)
                            for s, p in member.probes.items()
                        )
                    ),
                    tuple(sorted(member.probes_for_others)),
                    peers,
                )
            )
        return hash(
            (
                tuple(rows),
                tuple(
                    sorted(
                        (to, m.kind, m.sender, m.sequence, m.target, m.rumours)
                        for to, m, _ in self.in_flight
                    )
                ),
                self.now,
            )
        )

    def moves(self):
        """Yield the (action, subject) moves that are possible; equal messages count once."""
        for n, (to, message, source) in enumerate(self.in_flight):
            if n and self.in_flight[n] in self.in_flight[:n]:
                continue
            yield ("deliver", n)
            yield ("lose", n)
        for name in self.members:
            yield ("tick", name)
            yield ("pause", name)
            if self.start_counts[name] < 2:
                yield ("restart", name)

    def apply_move(self, move) -> "ModelState":
        """Return the state after a move; this state stays as it is."""
        successor, (action, subject) = self.copy(), move
        successor.trace = self.trace + (
            move
            if action not in ("deliver", "lose")
            else (
                action,
                f"{self.in_flight[subject][1].kind} "
                f"{self.in_flight[subject][2][0]}>{self.in_flight[subject][0]}",
            ),
        )
        if action in ("deliver", "lose"):
            to, message, source = self.in_flight[subject]
            successor.in_flight = self.in_flight[:subject] + self.in_flight[subject + 1 :]
            if action == "deliver":
                member = successor.copy_member(to)
                successor.now += MS
                member.advance_clock(successor.now)
                member.receive(successor.now, message, source)
                successor.collect_outbox(to)
        elif action == "tick":
            member = successor.copy_member(subject)
            successor.now = max(
                successor.now,
                min(member.next_deadline(), member.last_run_at + member.settings.stall_threshold),
            )
            member.tick(successor.now)
            successor.collect_outbox(subject)
        # The member is paused for longer than alone_after, then runs its timers.
        elif action == "pause":
            member = successor.copy_member(subject)
            successor.now = max(
                successor.now,
                member.last_run_at + member.settings.alone_after + member.settings.stall_threshold,
            )
            member.tick(successor.now)
            successor.collect_outbox(subject)
        else:
            old = successor.members[subject]
            successor.start_counts[subject] += 1
            successor.members[subject] = Member(
                old.settings,
                subject,
                old.address,
                old.own_identity.generation + 1,
                old.seeds,
                Random(subject),
                successor.now,
            )
        return successor

    def find_violation(self) -> str:
        """Return which rule the state or its new events break, or ""."""
        found = invariant_violation(self, self.newest_believed)
        for name, member in self.members.items():
            for event, facts in member.events:
                if (
                    event == "member"
                    and facts["by"] == name
                    and facts["now"] in (SUSPECT, LOST)
                    and facts["was"] == ALIVE
                    and facts["now"] == LOST
                ):
                    found = found or f"{name} lost {facts['name']} without suspecting it"
                if (
                    event == "member"
                    and facts["by"] == name
                    and facts["now"] in (SUSPECT, LOST)
                    and member.standing == ALONE
                    and member.standing_since < member.last_run_at
                ):
                    found = found or f"{name} is alone and reports a failure of {facts['name']}"
            member.events.clear()
        return found

    @property
    def settings(self):
        return Settings()


def check_model(size: int, depth: int, max_states: int, mutation=None):
    """Explore the model and return (states, violation or None, its trace, depth completed).

    The search is breadth first, so the first violation has the shortest trace.
    """
    with mutated(mutation) if mutation else nullcontext():
        start = ModelState(size)
        # First all members learn of each other: the model is about faults, not about joining.
        for _ in range(4):
            for name in start.members:
                start.now += 100 * MS
                start.members[name].tick(start.now)
                start.collect_outbox(name)
            while start.in_flight:
                (to, message, source), start.in_flight = start.in_flight[0], start.in_flight[1:]
                start.now += MS
                start.members[to].advance_clock(start.now)
                start.members[to].receive(start.now, message, source)
                start.collect_outbox(to)
        start.find_violation()
        seen, queue, finished = {start.state_key()}, deque([(start, 0)]), 0
        while queue:
            state, level = queue.popleft()
            finished = level
            if level >= depth or len(seen) >= max_states:
                break
            for move in state.moves():
                successor = state.apply_move(move)
                violation = successor.find_violation()
                if violation:
                    return len(seen), violation, successor.trace, level
                key = successor.state_key()
                if key not in seen:
                    seen.add(key)
                    queue.append((successor, level + 1))
        return len(seen), None, (), finished


# Mutations


def run_scripted_faults(seed: int) -> str:
    """Run scenarios with one fault each and return what was wrong, or "".

    The faults are: a pause, a member that receives nothing, one-way cuts that a helper bridges,
    message loss, a pause during a suspicion, and two processes with one name.
    """
    random_source, newest_believed = Random(seed), {}

    def settled_fleet(size):
        fleet = SimulatedFleet(size, seed=seed)
        fleet.run(12 * fleet.settings.protocol_period)
        fleet.events.clear()
        return fleet, fleet.now

    def heal_and_agree(fleet):
        fleet.heal()
        until = fleet.now + agreement_bound(fleet)
        while not fleet.all_alive():
            if fleet.now > until:
                return "no agreement after the last fault"
            fleet.run(fleet.settings.protocol_period)
        return ""

    fleet, began = settled_fleet(
        random_source.choice([3, 5, 8])
    )  # one member is paused; there is no other fault
    paused = random_source.choice(fleet.names)
    fleet.pause(paused, random_source.choice([1000, 3000]) * MS)
    for _ in range(30):
        fleet.run(fleet.settings.protocol_period)
        if found := invariant_violation(fleet, newest_believed) or unfounded_suspicion(
            fleet, began, [paused]
        ):
            return found
    if any(
        row[1] == paused
        and row[2] == "member"
        and row[3]["by"] == paused
        and row[3]["now"] in (SUSPECT, LOST)
        for row in fleet.events
    ):
        return f"{paused} resumed and reported a failure of another member"
    if found := heal_and_agree(fleet):
        return found
    fleet, began = settled_fleet(5)  # one member receives nothing
    fleet.cut([n for n in fleet.names if n != "r2"], ["r2"], both=False)
    fleet.run(fleet.settings.alone_after + fleet.settings.stall_threshold)
    if fleet.members["r2"].standing != ALONE:
        return "r2 receives nothing and does not report itself as alone"
    fleet.run(40 * fleet.settings.protocol_period)
    if (
        found := unfounded_suspicion(fleet, began, ["r2"])
        or next(
            (
                f"r2 reports a failure of {row[3]['name']}"
                for row in fleet.events
                if row[2] == "member" and row[3]["by"] == "r2" and row[3]["now"] != ALIVE
            ),
            "",
        )
        or heal_and_agree(fleet)
    ):
        return found
    fleet, began = settled_fleet(3)  # each answer can go through a helper
    fleet.cuts = (
        {("r0", "r1"), ("r1", "r2"), ("r2", "r0")}
        if random_source.random() < 0.5
        else {("r1", "r0"), ("r0", "r2")}
    )
    fleet.run(60 * fleet.settings.protocol_period)
    if len(fleet.cuts) == 3 and any(m.standing != CONNECTED for m in fleet.members.values()):
        return "not all members are connected although a helper bridges each one-way cut"
    if found := next(
        (
            f"{viewer} lost {row['name']} although it answers through a helper"
            for _, viewer, event, row in fleet.events
            if event == "member" and row["now"] == LOST
        ),
        "",
    ):
        return found
    fleet, began = settled_fleet(8)  # one datagram in five is lost, and nothing else
    fleet.loss_rate = 0.2
    fleet.run(60 * SECOND)
    if found := unfounded_suspicion(fleet, began):
        return found
    # A member is paused while it suspects another.
    fleet = SimulatedFleet(3, seed=seed, settings=Settings(alone_after=10_000 * MS))
    fleet.run(12 * fleet.settings.protocol_period)
    fleet.cut(["r2"], ["r0", "r1"])
    for _ in range(60):
        if fleet.states_seen_by("r0").get("r2") != SUSPECT:
            fleet.run(100 * MS)
    fleet.events.clear()
    fleet.pause("r0", 8000 * MS)
    fleet.run(7900 * MS)
    fleet.heal()
    fleet.run(300 * MS)
    if any(
        row[1] == "r0" and row[2] == "member" and row[3]["now"] == LOST and row[3]["by"] == "r0"
        for row in fleet.events
    ):
        return "r0 resumed and declared the member lost that it had suspected before"
    # A second process has the same name, at another address.
    fleet, began = settled_fleet(4)
    old = fleet.members["r1"]
    fleet.names.append("twin")
    fleet.members["twin"] = Member(
        fleet.settings, "r1", ("twin", 7000), 2, {"r0": ("r0", 7000)}, Random(seed), fleet.now
    )
    fleet.schedule_tick("twin", 0)
    fleet.run(agreement_bound(fleet))
    if old.standing == CONNECTED or {
        m.peers["r1"].identity.generation
        for n, m in fleet.members.items()
        if n not in ("twin", "r1")
    } != {2}:
        return "two processes go on under one name"
    return ""


def detect_mutation(job):
    """Return (mutation, seed, scenario, violation) of the first run that detects the mutation."""
    mutation, seeds = job
    with mutated(mutation):
        for seed in range(1, seeds + 1):
            for scenario, run_scenario in (
                ("scripted faults", run_scripted_faults),
                ("random faults", run_random_faults),
            ):
                if found := run_scenario(seed):
                    return mutation, seed, scenario, found[:90]
    return mutation, None, "", ""


def find_mutations(seeds: int, jobs: int) -> None:
    """Print what the unmutated member breaks, and what detects each mutation."""
    unmutated = [
        found
        for seed in range(1, seeds + 1)
        for found in (run_scripted_faults(seed), run_random_faults(seed))
        if found
    ]
    print(f"no mutation: {len(unmutated)} of {2 * seeds} runs show a violation {unmutated[:2]}")
    with Pool(jobs) as pool:
        for mutation, seed, name, found in pool.imap_unordered(
            detect_mutation, [(mutation, seeds) for mutation in MUTATIONS]
        ):
            print(
                f"| {mutation} | {f'{seed}, {name}: {found}' if seed else f'not in {seeds}'} |",
                flush=True,
            )


# Fleets


class PlainSwim(Member):
    """Runs the algorithm of the SWIM paper.

    It has indirect probes, a fixed suspicion timeout, refutation and gossip. It does not detect
    that it is slow itself or that it receives nothing.
    """

    def may_suspect(self) -> bool:
        return True

    def recover_from_stall(self, now, stall_duration) -> None:
        pass

    def probe_interval(self) -> int:
        return self.settings.protocol_period

    def suspicion_timeout(self, suspicions: int) -> int:
        return super().suspicion_timeout(4)  # the shortest one of Member

    def handle_probe_timeout(self, probe, now) -> None:
        self.last_ack_at = now  # suspects the target whatever it receives
        super().handle_probe_timeout(probe, now)

    def on_ping(self, message, peer, now) -> None:
        super().on_ping(message._replace(on_behalf_of=None), peer, now)


def detector_factory(detector, size):
    """Return a function that builds `detector` with the names of all `size` members."""
    names = [f"r{n}" for n in range(size)]
    return lambda *arguments: detector(*arguments, names)


DETECTORS = {
    "ours": lambda size: Member,
    "plain SWIM": lambda size: PlainSwim,
    "accrual": lambda size: detector_factory(Accrual, size),
    "observers": lambda size: detector_factory(Observers, size),
}


def detector_names(size: int) -> list[str]:
    """Return the detectors to run on a fleet of `size` members.

    Above ALL_TO_ALL_LIMIT members only `ours` and `plain SWIM` run, because the number of
    heartbeats from each member to each other is known without a run.
    """
    return [
        name for name in DETECTORS if size <= ALL_TO_ALL_LIMIT or name in ("ours", "plain SWIM")
    ]


def measure_fleet(job) -> dict:
    """Run one detector on one fleet and return its figures."""
    size, loss, detector, seconds, seed = job
    import tests.simulated_fleet as simulated_fleet

    original, simulated_fleet.Member = simulated_fleet.Member, DETECTORS[detector](size)
    try:
        fleet = SimulatedFleet(size, seed=seed, loss_rate=loss)
        fleet.run(30 * SECOND)
        fleet.events.clear()
        fleet.messages_sent, random_source, began = 0, Random(seed), fleet.now
        stalls = []
        # Every five seconds a random member is paused for up to three seconds.
        while fleet.now - began < seconds * SECOND:
            fleet.run(5 * SECOND)
            paused, span = (
                random_source.choice(fleet.names),
                random_source.randrange(200, 3000) * MS,
            )
            stalls.append((paused, fleet.now, fleet.now + span + fleet.settings.protocol_period))
            fleet.pause(paused, span)
        fleet.run(5 * SECOND)
        # A suspicion is false if its subject is not paused, nor was until just before.
        false_suspicions = sum(
            row[2] == "member"
            and row[3]["now"] == SUSPECT
            and row[3]["by"] == row[1]
            and not any(
                paused == row[3]["name"] and begin <= row[0] <= end for paused, begin, end in stalls
            )
            for row in fleet.events
        )
        lost = sum(
            row[2] == "member" and row[3]["now"] == LOST and row[3]["by"] == row[1]
            for row in fleet.events
        )
        sent = fleet.messages_sent / size / (fleet.now - began) * SECOND
        fleet.run(20 * SECOND)
        fleet.kill("r1")
        killed_at = fleet.now
        while fleet.states_of("r1") - {LOST, None} and fleet.now - killed_at < 120 * SECOND:
            fleet.run(100 * MS)
        return {
            "size": size,
            "loss": loss,
            "detector": detector,
            "false": false_suspicions,
            "lost": lost,
            "messages": sent,
            "knows_s": (fleet.now - killed_at) / SECOND,
        }
    finally:
        simulated_fleet.Member = original


def compare_detectors(sizes, seconds: int, jobs: int, seeds: int) -> None:
    """Print the mean figures of each detector, by fleet size and message loss."""
    todo = [
        (size, loss, detector, seconds, seed)
        for size in sizes
        for loss in (0.01, 0.05, 0.2)
        for detector in detector_names(size)
        for seed in range(1, seeds + 1)
    ]
    with Pool(jobs) as pool:
        rows = pool.map(measure_fleet, todo, chunksize=1)
    for size in sizes:
        for loss in (0.01, 0.05, 0.2):
            lines = []
            for detector in detector_names(size):
                matching = [
                    r
                    for r in rows
                    if (r["size"], r["loss"], r["detector"]) == (size, loss, detector)
                ]
                mean = {
                    name: sum(r[name] for r in matching) / len(matching)
                    for name in ("false", "lost", "messages", "knows_s")
                }
                hours = seconds / 3600
                lines.append(
                    f"{detector}: {mean['false'] / hours / size:.1f} false suspicions "
                    f"and {mean['lost'] / hours / size:.2f} losses "
                    f"an hour and relay, {mean['messages']:.1f} messages a second, "
                    f"a dead member detected after {mean['knows_s']:.1f} s"
                )
            print(f"{size} relays, {loss:.0%} lost:", *lines, sep="\n    ", flush=True)


# Codec and cost


def measure_decoder(packets: int) -> None:
    """Decode corrupt packets, and print how many are rejected and the mean time."""
    codec, random_source = MessageCodec("north", [b"k" * 32]), Random(1)
    fleet = SimulatedFleet(12)
    fleet.run(5 * SECOND)
    rows = [
        codec.encode(
            Message(
                "ping", m.own_identity, m.address, m.standing, 1, "r1", None, m.all_rumours()[:8]
            )
        )
        for m in fleet.members.values()
    ]
    rejected = decoded = 0
    began = time.perf_counter()
    for n in range(packets):
        data = bytearray(random_source.choice(rows))
        # Half of the packets are signed after the change, so that they reach the decoder.
        if n % 2:
            body = data[18:]
            body[random_source.randrange(len(body))] = random_source.randrange(256)
            body = (
                bytes(body[: random_source.randrange(1, len(body) + 1)])
                if n % 4 == 1
                else bytes(body)
            )
            data = bytes(data[:2]) + codec.compute_mac(0, body) + body
        else:
            data[random_source.randrange(len(data))] ^= random_source.randrange(1, 256)
        try:
            codec.decode(bytes(data))
            decoded += 1
        except InvalidMessage:
            rejected += 1
    elapsed = time.perf_counter() - began
    print(
        f"{packets} corrupt packets: {rejected} rejected, "
        f"{decoded} still decoded (correctly signed), no other error; "
        f"{elapsed / packets * 1e6:.1f} us each"
    )


def measure_cost() -> None:
    """Print the CPU time, memory and traffic of one member among 300."""
    fleet = SimulatedFleet(300)
    fleet.run(60 * SECOND)
    codec, member = MessageCodec("north", [b"k" * 32]), fleet.members["r7"]
    tracemalloc.start()
    member_copy = copy.deepcopy(member)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    bytes_out, cpu_seconds, began = 0, 0.0, fleet.now
    received = []
    deliver = SimulatedFleet.deliver

    def record_delivery(self, name, message, source):
        if name == "r7":
            received.append((self.now, message, source))
        deliver(self, name, message, source)

    fleet.deliver = record_delivery.__get__(fleet)
    fleet.run(30 * SECOND)
    start = time.process_time()
    member_copy.last_run_at = began
    ticked_to = began
    for now, message, source in received:
        data = codec.encode(message)
        call_started = time.process_time()
        while ticked_to < now:
            ticked_to += member_copy.settings.stall_threshold // 4
            member_copy.tick(min(ticked_to, now))
        member_copy.advance_clock(now)
        member_copy.receive(now, codec.decode(data), source)
        for _, reply in member_copy.outbox:
            bytes_out += len(codec.encode(reply))
        member_copy.outbox.clear()
        member_copy.events.clear()
        cpu_seconds += time.process_time() - call_started
    del start
    print(
        f"one of 300: {cpu_seconds / 30 * 100:.2f} % of a core, {size / 1e6:.2f} MB of state, "
        f"{bytes_out / 30:.0f} bytes sent a second, "
        f"{len(received) / 30:.1f} messages received a second"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=["model", "mutations", "fleets", "spoilt", "cost"])
    parser.add_argument("--relays", type=int, nargs="+", default=[3])
    parser.add_argument("--depth", type=int, default=7)
    parser.add_argument("--states", type=int, default=300_000)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--seconds", type=int, default=300)
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("--packets", type=int, default=1_000_000)
    arguments = parser.parse_args()
    if arguments.what == "model":
        for size in arguments.relays:
            states, violation, trace, level = check_model(size, arguments.depth, arguments.states)
            print(
                f"{size} relays: {states} states, depth {level} completed: "
                f"{violation or 'no violation'} {trace}",
                flush=True,
            )
            for mutation in MUTATIONS:
                states, violation, trace, _ = check_model(
                    size, arguments.depth, arguments.states // 4, mutation
                )
                if violation:
                    print(
                        f"  {mutation}: {violation} after {states} states, "
                        f"in {len(trace)} moves: {trace}",
                        flush=True,
                    )
    elif arguments.what == "mutations":
        find_mutations(arguments.seeds, arguments.jobs)
    elif arguments.what == "fleets":
        compare_detectors(arguments.relays, arguments.seconds, arguments.jobs, arguments.seeds)
    elif arguments.what == "spoilt":
        measure_decoder(arguments.packets)
    else:
        measure_cost()
