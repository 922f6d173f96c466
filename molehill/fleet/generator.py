"""Draws scenarios from a seed for either stage.

They are those of the emulator's generator, restricted to faults that processes can play, with
faults on the network paths between relays and other parties.
"""

import errno
from random import Random

from msgspec.structs import replace

from molehill.emulator import generator
from molehill.emulator.scenario import EMULATED_ONLY, FAULTS, Fault, FleetPlan, Scenario, check

# kind -> (weight, (least, most `worth`))
PATH_FAULTS = {
    "cut": (6, (0, 0)),
    "burst": (1, (0, 0)),
    "delay": (2, (10, 800)),
    "narrow": (1, (500, 20_000)),
}
MAX_PATH_FAULT_MS = 4000
HOST_RETURN_MS = 1500  # by then, or soon after, a host that was avoided gets calls again
# Faults that count steps of the relay have no equivalent on processes; the emulator's other kinds
# keep their weights.
FAULT_WEIGHTS = {**{kind: 0 for kind in EMULATED_ONLY}, "upgrade": 1, "kill": 6, "freeze": 4}


def draw_scenario(
    seed: int, relays: int = 3, span_ms: int = 5000, path_faults: int = 2, weights=None
) -> Scenario:
    """Draws a scenario with up to `path_faults` faults on network paths.

    `weights` override FAULT_WEIGHTS by kind of fault.
    """
    made = generator.make(seed, {**FAULT_WEIGHTS, **(weights or {})}, span_ms, relays)
    chance = Random(f"ways {seed}")
    hosts = [f"h{e.destination}-{n}" for e in made.endpoints for n in range(e.hosts)]
    # the edge cases of the emulator's generator add such kinds despite the weights
    faults = [fault for fault in made.faults if fault.kind not in EMULATED_ONLY]
    for _ in range(chance.randrange(path_faults + 1)):
        kind = chance.choices(list(PATH_FAULTS), [weight for weight, _ in PATH_FAULTS.values()])[0]
        one, other = (
            chance.choice([*(f"relay{n}" for n in range(relays)), "relays"]),
            chance.choice([*hosts, "hosts", "platform", "platform"]),
        )
        who = chance.choice([f"{one}>{other}", f"{other}>{one}", f"{one}<>{other}"])
        worth = float(int(chance.uniform(*PATH_FAULTS[kind][1])))
        faults.append(
            Fault(
                kind,
                chance.randrange(300, span_ms),
                who,
                chance.randrange(200, MAX_PATH_FAULT_MS),
                worth,
            )
        )
    return check(
        replace(
            made, faults=without_overlaps(sorted(faults, key=lambda f: (f.at_ms, f.kind, f.who)))
        )
    )


def without_overlaps(faults) -> list[Fault]:
    """Removes faults on a host that overlap an earlier one, or follow it soon.

    They would touch nothing and void the run.
    """
    kept, until = [], {}
    for fault in faults:
        if FAULTS[fault.kind] == "host":
            if fault.at_ms < until.get(fault.who, 0):
                continue
            until[fault.who] = fault.at_ms + fault.span_ms + HOST_RETURN_MS
        kept.append(fault)
    return kept


# for soaks, in addition to the emulator's kinds:
# kind -> (weight, (least, most span in ms), values of `worth`)
MACHINE_FAULTS = {
    "wall_step": (4, (0, 0), (3_600_000, -3_600_000, 10_000, -10_000, 900, -900)),
    "accept_error": (
        2,
        (200, 1500),
        (errno.ECONNABORTED, errno.EPROTO, errno.EMFILE, errno.ENOBUFS),
    ),
    "connect_error": (
        2,
        (200, 1500),
        (
            errno.EADDRNOTAVAIL,
            errno.ENETUNREACH,
            errno.ENOBUFS,
            errno.EINTR,
            errno.ETIMEDOUT,
            errno.EHOSTUNREACH,
        ),
    ),
    "disk_error": (3, (300, 4000), (errno.EIO, errno.ENOSPC)),
}  # a restart takes over a second, so the longest spans outlast it
# faults that end or start a process, which a soak combines with those, and within how many ms
PROCESS_END_FAULTS = ("kill", "kill", "restart", "upgrade", "hup", "freeze", "herd")
CROSSED_MS = 1600


def draw_soak_scenario(
    seed: int, relays: int = 10, span_ms: int = 4000, shims: int = 4
) -> Scenario:
    """Draws a scenario with `shims` faults of a relay's machine.

    About half of them are followed by a fault that ends or starts a process.
    """
    made, chance = (
        draw_scenario(seed, relays, span_ms, 1, {"dead": 0, "vanished": 0}),
        Random(f"soak {seed}"),
    )
    faults = list(made.faults)
    for _ in range(shims):
        kind = chance.choices(
            list(MACHINE_FAULTS), [weight for weight, *_ in MACHINE_FAULTS.values()]
        )[0]
        _, (least, most), worths = MACHINE_FAULTS[kind]
        fault = Fault(
            kind,
            chance.randrange(300, span_ms),
            f"relay{chance.randrange(relays)}",
            chance.randint(least, most),
            float(chance.choice(worths)),
        )
        faults.append(fault)
        if chance.random() < 0.5:
            end = chance.choice(PROCESS_END_FAULTS)
            at = fault.at_ms + chance.randrange(CROSSED_MS)
            faults.append(
                Fault(
                    end,
                    at,
                    "platform" if end == "herd" else fault.who,
                    chance.randrange(50, 600) if end == "freeze" else 0,
                    chance.choice([0.2, 0.4]) if end == "herd" else 0.0,
                )
            )
    categories = [replace(c, span_ms=min(c.span_ms, 4000)) for c in made.categories]
    return check(
        replace(
            made,
            categories=categories,
            faults=sorted(faults, key=lambda f: (f.at_ms, f.kind, f.who)),
        )
    )


MEMBERSHIP_SETTINGS = {"roundMs": 200, "aloneAfterMs": 800, "stalledMs": 300, "floorMs": 60}
AGREEMENT_MS = 11_000  # time for views to agree, for 8 relays and these settings


def draw_membership_scenario(seed: int) -> Scenario:
    """Draws a scenario of relays with membership.

    Its faults are pauses just under and over each bound, losses, cuts of one direction, of rings,
    between halves, of all that one relay receives or sends, kills and restarts, up to three at
    once. The end is quiet for long enough that all views agree again.
    """
    chance = Random(f"members {seed}")
    count = chance.choice([3, 3, 5, 5, 8])
    names = [f"relay{n}" for n in range(count)]
    faults, last = [], 0
    for _ in range(chance.randrange(1, 4)):
        who, at, span = (
            chance.choice(names),
            chance.randrange(500, 3000),
            chance.choice([1000, 3000, 6000]),
        )
        others = [name for name in names if name != who]
        half = chance.sample(names, count // 2)
        ring = [f"{names[n]}>{names[(n + 1) % count]}" for n in range(count)]
        made = chance.choice(
            [
                [Fault("freeze", at, who, chance.choice([200, 290, 1000, 3000, 6000]))],
                [Fault("kill", at, who)],
                [Fault("restart", at, who)],
                [Fault("upgrade", at, who)],
                [Fault("lose", at, "relays<>relays", span, chance.choice([0.05, 0.2, 0.4]))],
                [Fault("cut", at, f"relays>{who}", span)],
                [Fault("cut", at, f"{who}>relays", span)],
                [Fault("cut", at, f"{who}>{chance.choice(others)}", span)],
                [
                    Fault(
                        "cut",
                        at,
                        f"{','.join(half)}<>{','.join(n for n in names if n not in half)}",
                        span,
                    )
                ],
                [Fault("cut", at, way, span) for way in ring],
                [
                    Fault("repeat", at, "relays<>relays", span, 0.3),
                    Fault("reorder", at, "relays<>relays", span, 0.3),
                ],
                [Fault("spoil_bytes", at, "relays<>relays", span, 0.1)],
                [Fault("delay", at, f"{who}<>relays", span, 120.0)],
                [Fault("burst", at, f"{who}>relays", min(span, 3000))],
            ]
        )
        faults += made
        last = max(
            last, *(f.at_ms + f.span_ms + (4500 if f.kind == "restart" else 1500) for f in made)
        )
    calm = generator.make(
        seed, dict.fromkeys(FAULTS, 0) | {"hup": 1}, last + AGREEMENT_MS - 6000, count
    )
    kinds = [
        replace(e, kind="plain", rate=0, slots=32, span_ms=20.0, queue=32)
        for e in calm.endpoints[:2]
    ]
    places = [e.destination for e in kinds]
    return check(
        replace(
            calm,
            faults=sorted(faults, key=lambda f: (f.at_ms, f.kind, f.who)),
            fleet=FleetPlan(MEMBERSHIP_SETTINGS),
            endpoints=kinds,
            surges=[],
            programs=[
                replace(p, rate=20.0 + 10 * count, destinations=places, leaves=0.0)
                for p in calm.programs[:1]
            ],
            strangers=type(calm.strangers)(),
            sockets=256,
            disk_kb=3000,
            max_held=400,
            slots=32,
        )
    )
