"""Measures the fleet rig.

That is: mutations found, the same scenario on both stages, how many relays a machine carries, and a
large fleet emulated.

    python benchmarks/fleet.py mutations --seeds 8          # per mutation: the first drawn scenario that shows it, on both stages
    python benchmarks/fleet.py stages --seeds 5           # docs/five.toml on both stages, service compared
    python benchmarks/fleet.py long --relays 16 --seconds 600    # one long run on processes with faults throughout
    python benchmarks/fleet.py most --relays 8 16 32 64   # the rate that N relays bear with the rig in time; CPU time of both
    python benchmarks/fleet.py words --relays 30 100 300  # emulated, relays that send each other small datagrams

Not run in CI. Processes, sockets and clocks are real; all other parties are stand-ins on the same
cores.
"""

import argparse
import json
import resource
import socket
import time
from multiprocessing import get_context
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from msgspec import structs

from molehill.config import SECOND
from molehill.emulator import scenario as scenarios
from molehill.emulator.network import Datagrams
from molehill.emulator.run import Run
from molehill.emulator.sample_scenarios import simple_scenario
from molehill.emulator.scenario import (
    Category,
    EndpointPlan,
    Fault,
    FleetPlan,
    ProgramPlan,
    Scenario,
    check,
)
from molehill.fleet import figures, generator, history, play
from molehill.fleet.addresses import AddressPlan, claim_slot
from molehill.fleet.compare import confidence_interval
from molehill.fleet.conductor import cpu_seconds
from molehill.fleet.mutations import MUTATIONS as RIG_MUTATIONS
from molehill.fleet.proxy import Proxies
from molehill.fleet.sockets import Network
from molehill.fleet.world import World

FIVE = Path(__file__).parent.parent / "docs" / "five.toml"
# The emulator's mutations that show in network traffic -> the weights of faults that lead to them
RELAY_MUTATIONS = {
    "exclusive taken for rerunnable": {"vanished": 10, "silent": 10},
    "order of keys not kept": {"silent": 10},
    "launch not logged": {"kill": 40},
    "drain not heeded": {"drain": 40},
    "deadline read a second late": {"silent": 20, "dead": 20},
    "reset counts as never run": {"dead": 20},
    "key's rest forgotten": {"silent": 20},
    "wait heeded by host, not by destination": {"shut": 40},
    "ids with other contents taken for the same": {},
    "late answer ends another callback": {"silent": 10, "slow": 30},
    "notice that is owed not taken up": {"lost_answers": 30, "kill": 40},
}


def first_exposing_seed(mistake: str, seeds: int, stage: str, rig: bool):
    """Returns (seed, word, text) of the first scenario that shows the mutation, or None.

    The scenario must be kept without it.
    """
    for seed in range(1, seeds + 1):
        scenario = (
            cut_scenario(seed)
            if rig
            else generator.draw_scenario(seed, path_faults=0, weights=RELAY_MUTATIONS[mistake])
        )
        verdict = play.play(scenario, stage, **{"rig_mistake" if rig else "mistake": mistake})
        rows = [
            row
            for row in verdict["findings"]
            if row["word"] in (("broken", "void") if rig else ("broken",))
        ]
        if (
            rows
            and (rig or "rule 4" not in rows[0]["text"])
            and play.play(scenario, stage)["word"] in (("kept",) if rig else ("kept", "void"))
        ):
            return seed, rows[0]["word"], rows[0]["property"], rows[0]["text"][:90]
    return None


def cut_scenario(seed: int) -> Scenario:
    """Returns docs/five.toml with another seed."""
    return play.with_seed(scenarios.load(FIVE.read_text(encoding="utf-8")), seed)


def mutations(seeds: int, jobs: int = 2) -> None:
    """Prints for each mutation the first seed that shows it, on each stage."""
    todo = [
        (name, seeds, stage, False)
        for name in RELAY_MUTATIONS
        for stage in ("emulated", "processes")
    ]
    todo += [(name, seeds, "processes", True) for name in RIG_MUTATIONS]
    with get_context("spawn").Pool(jobs, maxtasksperchild=1) as pool:
        for name, stage, found in pool.imap_unordered(one, todo):
            print(
                f"| {name} | {stage} | {'%d | %s: %s: %s' % found if found else f'not in {seeds} | '} |",
                flush=True,
            )


def one(job):
    return job[0], job[2], first_exposing_seed(*job)


def compare_stages(seeds: int) -> None:
    """Prints verdicts and the difference in service between the stages."""
    rows = []
    for seed in range(1, seeds + 1):
        rows.append([play.play(cut_scenario(seed), stage) for stage in ("emulated", "processes")])
    gaps = [a["summary"]["service"] - b["summary"]["service"] for a, b in rows]
    print(
        f"{seeds} seeds of {FIVE.name}: emulated {[r[0]['word'] for r in rows]}, processes {[r[1]['word'] for r in rows]}; service emulated less "
        f"processes: mean {sum(gaps) / seeds:.4f}, from {min(gaps):.4f} to {max(gaps):.4f}"
    )


def large_scenario(relays: int, seconds: int, rate: float, faults=()) -> Scenario:
    """Returns a scenario of that many relays and callbacks per second, with eight hosts."""
    rows = [
        Category("status", "deduplicated", 5000, ordered=True, window_ms=2500),
        Category("rate", "idempotent", 3000),
        Category("refund", "at_most_once", 5000, payoff=4.0),
    ]
    return check(
        Scenario(
            seed=1,
            span_ms=seconds * 1000,
            relays=relays,
            categories=rows,
            sockets=512,
            slots=32,
            endpoints=[EndpointPlan(n + 1, hosts=2, slots=64) for n in range(4)],
            programs=[ProgramPlan(rate / 4, [1, 2, 3, 4], keys=200) for _ in range(4)],
            faults=list(faults),
        )
    )


def long_scenario(relays: int, seconds: int, rate: float) -> Scenario:
    """Returns a scenario with a fault every two seconds, each on the next relay.

    A kill, a pause, a one-way cut, a restart, an upgrade and a slow path take turns.
    """
    faults = []
    for n, at in enumerate(range(2000, seconds * 1000 - 6000, 2000)):
        who = f"relay{n % relays}"
        faults.append(
            [
                Fault("kill", at, who),
                Fault("freeze", at, who, 700),
                Fault("cut", at, f"{who}>hosts", 1500),
                Fault("restart", at, who),
                Fault("upgrade", at, who),
                Fault("delay", at, f"hosts>{who}", 1500, 100.0),
            ][n % 6]
        )
    return large_scenario(relays, seconds, rate, faults)


def measure_long_run(relays: int, seconds: int, rate: float) -> None:
    """Prints verdict, service and delivery latency of one long run on processes."""
    with TemporaryDirectory() as folder:
        verdict = play.play(long_scenario(relays, seconds, rate), "processes", folder)
        told = history.read(folder)
        print(
            json.dumps(
                {
                    "word": verdict["word"],
                    "late_ms": verdict.get("late_ms"),
                    "findings": [r for r in verdict["findings"] if r["word"] != "kept"],
                    "service": verdict["summary"].get("service"),
                    "wanted": verdict["summary"].get("wanted"),
                    "delivery_ms": figures.delivery(told),
                    **{k: v for k, v in figures.costs(told).items() if k == "rig_share"},
                }
            )[:3000]
        )


def measure_capacity(relays: int, rate: float) -> None:
    """Prints lateness, service and CPU time of a run of 10 s with so many relays at that rate."""
    with TemporaryDirectory() as folder:
        verdict = play.play(
            large_scenario(relays, 10, rate, [Fault("freeze", 3000, "relay0", 500)]),
            "processes",
            folder,
        )
        told = history.read(folder)
        costs = figures.costs(told)
        print(
            json.dumps(
                {
                    "relays": relays,
                    "rate": rate,
                    "word": verdict["word"],
                    "late_ms": verdict["late_ms"],
                    "service": verdict["summary"]["service"],
                    "delivery_ms": figures.delivery(told),
                    "rig_share": costs["rig_share"],
                    "cpu_s": round(sum(costs["cpu_s"].values()), 1),
                }
            ),
            flush=True,
        )


def emulate_datagrams(relays: int, seconds: int = 10) -> None:
    """Emulates relays whose machines each send 100 bytes to three others a second.

    A failure detector would send as much.
    """
    run = Run(
        simple_scenario(
            relays=relays,
            span_ms=seconds * 1000,
            programs=[ProgramPlan(100.0, [1, 2], keys=50)],
            faults=[
                Fault("lose", 1000, "relays>relay0", 5000, 0.2),
                Fault("cut", 3000, "relay1<>relays", 2000),
            ],
        )
    )
    received_count = [0]
    boxes = []
    for n, node in enumerate(run.nodes.values()):
        box = Datagrams(run.network, node.machine)
        box.bind((f"10.0.{n // 250 + 1}.{n % 250 + 1}", 7000))
        box.came = lambda *_: received_count.__setitem__(0, received_count[0] + 1)
        boxes.append(box)

    def send_datagrams(box) -> None:
        for other in run.world.chance.sample(boxes, 3):
            box.sendto(b"." * 100, other.address)
        run.world.after(SECOND, send_datagrams, box)

    for box in boxes:
        run.world.after(run.world.chance.randrange(SECOND), send_datagrams, box)
    began = time.perf_counter()
    verdict = run.play()
    took = time.perf_counter() - began
    print(
        f"{relays} relays: {'kept' if verdict['ok'] else verdict['failure']}, {verdict['virtual_s'] / took:.2f} virtual seconds a second, "
        f"{received_count[0]} words heard, {received_count[0] / relays:.1f} a relay, {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024} MB",
        flush=True,
    )


def measure_proxy(many: int = 5000) -> None:
    """Measures round trips of 100-byte datagrams.

    They go directly, through a proxy process, and directly with the faults drawn in the sender.
    """
    slot, held = claim_slot()
    scenario, address_plan = simple_scenario(relays=2), AddressPlan(slot)
    ends = []
    for n in (0, 1):
        ends.append(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        ends[n].bind((address_plan.relay(n)[0], 7000))
        ends[n].settimeout(2)
    other = get_context("fork").Process(target=serve_proxies, args=(scenario, slot), daemon=True)
    other.start()
    # a fixed wait for the proxy's start suffices: the first round trips are not counted either
    time.sleep(0.5)
    proxy_addresses = [
        (address_plan.membership(0, 1)[0], 8000),
        (address_plan.membership(1, 0)[0], 8000),
    ]
    chance, row = Random(1), {}

    def trips(there, back, drawn=False):
        took = []
        for _ in range(many):
            began = time.perf_counter()
            for sender, target, reader in ((ends[0], there, ends[1]), (ends[1], back, ends[0])):
                if drawn:
                    [chance.random() for _ in range(4)]
                sender.sendto(b"." * 100, target)
                reader.recv(2000)
            took.append((time.perf_counter() - began) * 1e6)
        return sorted(took[many // 10 :])

    for name, there, back, drawn in (
        ("straight", ends[1].getsockname(), ends[0].getsockname(), False),
        ("through a cable", *proxy_addresses, False),
        ("drawn in the process", ends[1].getsockname(), ends[0].getsockname(), True),
    ):
        took = trips(there, back, drawn)
        row[name] = f"{took[len(took) // 2]:.0f} us, 99th {took[len(took) * 99 // 100]:.0f}"
    spent = cpu_seconds(other.pid) / (2 * many) * 1e6
    other.terminate()
    held.close()
    print(f"round trip: {row}; a cable's own processor time a datagram: {spent:.0f} us")


def measure_flood(seeds: int, rate: float) -> None:
    """Compares the 99th percentile of delivery with and without forged datagrams.

    They are sent to each of three relays; runs of one seed with and without take turns.
    """
    rows = []
    for seed in range(1, seeds + 1):
        pair = []
        for worth in (rate, 1.0)[:: 1 if seed % 2 else -1]:
            scenario = play.with_seed(
                large_scenario(
                    3, 8, 120.0, [Fault("flood", 500, f"relay{n}", 7000, worth) for n in range(3)]
                ),
                seed,
            )
            with TemporaryDirectory() as folder:
                verdict = play.play(
                    structs.replace(scenario, fleet=FleetPlan()), "processes", folder
                )
                pair.append((worth, figures.delivery(history.read(folder)), verdict["word"]))
        rows.append(sorted(pair, key=lambda row: -row[0]))
    for name in ("p50", "p99"):
        ratios = [a[1][name] / b[1][name] for a, b in rows]
        print(
            f"{rate:.0f} forged a second and relay, {name}: {[a[1][name] for a, _ in rows]} ms for {[b[1][name] for _, b in rows]} without, ratio {confidence_interval(ratios)}, "
            f"{[a[2] for a, _ in rows]}",
            flush=True,
        )


def serve_proxies(scenario, slot: int) -> None:
    """Runs the proxies between two relays in this process."""
    world = World("cables", 1)
    Proxies(
        world,
        Network(world, ["relay0", "relay1"]),
        scenario,
        AddressPlan(slot),
        [("relay0", "relay1"), ("relay1", "relay0")],
    )
    world.run()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "what", choices=["mutations", "stages", "long", "most", "words", "cables", "flood"]
    )
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--relays", type=int, nargs="+", default=[16])
    parser.add_argument("--seconds", type=int, default=600)
    parser.add_argument("--rate", type=float, default=200.0)
    given = parser.parse_args()
    if given.what == "mutations":
        mutations(given.seeds, given.jobs)
    elif given.what == "stages":
        compare_stages(given.seeds)
    elif given.what == "flood":
        measure_flood(given.seeds, given.rate)
    elif given.what == "cables":
        measure_proxy()
    elif given.what == "long":
        measure_long_run(given.relays[0], given.seconds, given.rate)
    else:
        for count in given.relays:
            measure_capacity(count, given.rate) if given.what == "most" else emulate_datagrams(
                count
            )
