"""Generate a scenario from a seed: parties, load, and faults, some of them aimed at time limits.

`weights`: fault kind -> its frequency relative to the others (1 by default; 0: never). All
randomness comes from the seed.
"""

from random import Random

from msgspec.structs import replace

from molehill.emulator.scenario import (
    FAULTS,
    Category,
    EndpointPlan,
    Fault,
    ProgramPlan,
    Scenario,
    StrangersPlan,
    Surge,
    check,
)

EDGE_MS = 50  # largest distance of an aimed fault from a time limit
DRAIN_MS, RESTART_MS = 1000, 600
# Share of destinations whose capacity is little more than their load.
LOW_CAPACITY_SHARE = 0.4
# Least and most capacity of such a destination, as a multiple of its load. A relay assumes a
# capacity of 1.7 times the demand (decisions/slow_start.py, CAPACITY_OVER_DEMAND), and clients that
# retry raise the demand by up to a half: with less, a relay that keeps to its budget may overload
# the host; with much more, no relay can.
CAPACITY_RANGE = (2.5, 4.0)
# Share of outages that affect all hosts of a destination: "mostly", by the requirements.
WHOLE_OUTAGE_SHARE = 0.6
# Such an outage lasts long enough to leave the hosts cold, and ends while load still arrives.
OUTAGE_START_MS, OUTAGE_SPAN_MS = 3000, (5000, 7000)
OUTAGES = ("silent", "erring", "refusing", "dead", "vanished")
# kind -> (weight, least and most span in ms, least and most worth)
KINDS = {
    "kill": (2, (0, 0), (0, 0)),
    "kill_step": (6, (0, 0), (1, 600)),
    "kill_again": (3, (0, 0), (1, 60)),
    "restart": (2, (0, 0), (0, 0)),
    "hup": (1, (0, 0), (0, 0)),
    "spoil": (0, (0, 0), (0, 0)),
    "freeze": (2, (50, 1500), (0, 0)),
    "lose_disk": (1, (0, 0), (0, 0)),
    "disk_full": (1, (200, 2000), (0, 0)),
    "disk_failing": (1, (50, 1500), (0, 0)),
    "short_writes": (1, (500, 4000), (0.05, 0.9)),
    "few_descriptors": (1, (500, 3000), (0.3, 0.8)),
    "silent": (4, (300, 6000), (0, 0)),
    "erring": (3, (300, 5000), (0, 0)),
    "refusing": (2, (300, 5000), (0, 0)),
    "shut": (2, (300, 5000), (0, 0)),
    "slow": (2, (500, 5000), (2, 60)),
    "spoilt": (2, (100, 3000), (0, 0)),
    "dead": (3, (300, 5000), (0, 0)),
    "vanished": (3, (300, 5000), (0, 0)),
    "drain": (4, (1500, 6000), (0, 0)),
    "lag": (1, (1000, 5000), (100, 4000)),
    "outage": (1, (300, 4000), (0, 0)),
    "lost_answers": (2, (500, 5000), (0.1, 0.9)),
    "move": (1, (0, 0), (0, 0)),
}
OPTIONAL_KINDS = {  # same fields; drawn only where weights name them
    "upgrade": (3, (0, 0), (0, 0)),
    "upgrade_new_dies": (3, (0, 0), (1, 250)),
    "upgrade_old_dies": (3, (0, 0), (1, 250)),
    "upgrade_new_hangs": (1, (100, 6000), (1, 250)),
    "upgrade_old_hangs": (1, (100, 6000), (1, 250)),
    "wall_step": (4, (0, 0), (-4_000_000, 4_000_000)),
    "herd": (2, (0, 0), (0.3, 1)),
    "zone_dark": (2, (500, 6000), (0, 1)),
    "lower": (3, (2000, 8000), (0.2, 0.9)),
    "copies": (4, (500, 6000), (1, 300)),
}
ALL_KINDS = {**KINDS, **OPTIONAL_KINDS}
EFFECTS = ("idempotent", "deduplicated", "at_most_once")


def customer_settings(seed: int) -> dict:
    """Return settings that another customer might have, as fields of a scenario.

    They are its classes, the callbacks in a call, and how much is held.
    """
    chance, rows = Random(f"customer {seed}"), []
    for n in range(chance.randint(1, 6)):
        effect, span = chance.choice(EFFECTS), chance.choice([1000, 2000, 4000, 8000, 15000])
        rows.append(
            Category(
                f"class-{n}",
                effect,
                span,
                goal_ms=int(span * chance.choice([0.05, 0.25, 0.6])),
                payoff=chance.choice([1.0, 1.0, 4.0]),
                ordered=chance.random() < 0.5,
                window_ms=chance.choice([span // 4, span, 2 * span])
                if effect == "deduplicated"
                else 0,
                scope=chance.choice(["all", "zone"]),
            )
        )
    return {
        "categories": rows,
        "per_call": chance.choice([1, 2, 4, 10]),
        "slots": chance.choice([1, 2, 8, 32]),
        "max_held": chance.choice([8, 60, 400]),
        "settle_ms": chance.choice([0, 150, 500, 1500]),
    }


def make(
    seed: int, weights=None, span_ms: int = 10_000, relays: int = 3, customers: bool = False
) -> Scenario:
    """Return the scenario of that seed.

    `customers`: draw settings too, so that each seed plays another customer.
    """
    chance = Random(f"day {seed}")
    window = chance.choice([1500, 2500, 6000])
    categories = [
        Category(
            "status",
            "deduplicated",
            chance.choice([3000, 5000, 9000]),
            ordered=True,
            window_ms=window,
            scope=chance.choice(["all", "zone"]),
        ),
        Category("rate", "idempotent", chance.choice([2000, 4000])),
        Category(
            "refund",
            "at_most_once",
            chance.choice([3000, 6000]),
            payoff=4.0,
            ordered=chance.random() < 0.7,
        ),
    ]
    drawn = customer_settings(seed) if customers else {}
    if customers:
        categories = drawn["categories"]
        window = max([c.window_ms for c in categories]) or window
    endpoints = [
        EndpointPlan(
            destination=n + 1,
            hosts=chance.choice([1, 2, 2, 3]),
            kind=chance.choice(["plain", "apart", "bundle"]),
            span_ms=chance.choice([5.0, 20.0, 20.0, 80.0]),
            slots=chance.choice([4, 16, 32]),
            queue=chance.choice([0, 8, 32]),
            rate=chance.choice([0, 0, 15, 40]),
        )
        for n in range(chance.choice([2, 3, 4]))
    ]
    places = [e.destination for e in endpoints]
    programs = [
        ProgramPlan(
            rate=chance.choice([10.0, 25.0, 50.0]),
            destinations=places,
            keys=chance.choice([1, 5, 30]),
            heeds=chance.random() < 0.7,
            leaves=chance.choice([0.0, 0.0, 0.03]),
        )
        for _ in range(2)
    ]
    if chance.random() < 0.4:
        programs.append(
            ProgramPlan(
                rate=chance.choice([20.0, 60.0]),
                destinations=places,
                once=True,
                categories=[c.name for c in categories if c.name == "rate"],
            )
        )
    surges = [
        Surge(chance.randrange(span_ms), chance.randrange(200, 2000), chance.choice([2.0, 5.0]))
        for _ in range(chance.choice([0, 0, 1]))
    ]
    more = 1 + sum(s.span_ms * (s.by - 1) for s in surges) / span_ms
    for endpoint in endpoints:
        if chance.random() < LOW_CAPACITY_SHARE:
            limit_capacity(chance, endpoint, sum(p.rate for p in programs) * more / len(places))
    strangers = StrangersPlan(
        copies=chance.choice([0.0, 0.05, 0.2]), rate=chance.choice([0.0, 0.0, 10.0])
    )
    hosts = [f"h{e.destination}-{n}" for e in endpoints for n in range(e.hosts)]
    who = {"relay": [f"relay{n}" for n in range(relays)], "host": hosts, "platform": ["platform"]}
    faults = []
    weight_by_kind = {
        kind: row[0] * (weights or {}).get(kind, int(kind in KINDS))
        for kind, row in ALL_KINDS.items()
    }
    for _ in range(chance.randrange(1, 9)):
        kind = chance.choices(list(weight_by_kind), list(weight_by_kind.values()))[0]
        fault = make_fault(
            chance, kind, chance.choice(who[FAULTS[kind]]), chance.randrange(500, span_ms)
        )
        faults += [fault, *boundary_faults(chance, fault, window, categories, who)]
        if kind in OUTAGES and chance.random() < WHOLE_OUTAGE_SHARE:
            place = fault.who.split("-")[0]
            fault.at_ms, fault.span_ms = (
                fault.at_ms % OUTAGE_START_MS,
                max(fault.span_ms, chance.randrange(*OUTAGE_SPAN_MS)),
            )
            faults += [
                replace(fault, who=host)
                for host in hosts
                if host != fault.who and host.split("-")[0] == place
            ]
    day = check(
        Scenario(
            seed=seed,
            span_ms=span_ms,
            relays=relays,
            categories=categories,
            endpoints=endpoints,
            programs=programs,
            faults=sorted(faults, key=lambda f: (f.at_ms, f.kind, f.who)),
            surges=surges,
            strangers=strangers,
            sockets=chance.choice([96, 128, 256]),
            max_held=chance.choice([60, 400]),
            slots=chance.choice([8, 32]),
            disk_kb=chance.choice([120, 300, 3000]),
            settle_ms=chance.choice([300, 500, 1500]),
        )
    )
    return check(replace(day, **drawn))


def limit_capacity(chance, endpoint: EndpointPlan, load: float) -> None:
    """Fit the destination's slots to `load`, in callbacks a second for all its hosts."""
    endpoint.span_ms, endpoint.rate, endpoint.queue = chance.choice([60.0, 120.0]), 0, 32
    capacity = chance.uniform(*CAPACITY_RANGE) * load / endpoint.hosts
    endpoint.slots = max(1, round(capacity * endpoint.span_ms / 1000))


def make_fault(chance, kind: str, who: str, at_ms: int) -> Fault:
    """Draw a fault's span and severity from the ranges of its kind."""
    _, (least, most), (low, high) = ALL_KINDS[kind]
    worth = chance.uniform(low, high)
    return Fault(
        kind,
        at_ms,
        who,
        chance.randrange(least, most + 1),
        round(worth, 2) if high <= 1 else float(int(worth)),
    )


def boundary_faults(chance, fault: Fault, window: int, categories, who) -> list[Fault]:
    """Half of the time, move the fault's end or add a fault within 50 ms of a time limit.

    Returns the added faults.
    """
    if chance.random() < 0.5:
        return []
    near = chance.randrange(-EDGE_MS, EDGE_MS + 1)
    relay = chance.choice(who["relay"])
    if fault.kind == "drain":  # a relay freezes just before the grace period ends
        return [Fault("freeze", fault.at_ms + DRAIN_MS - 200, relay, max(1, 200 + near))]
    if fault.kind in ("silent", "vanished", "dead", "erring", "spoilt"):
        bound = chance.choice([window, *(c.span_ms for c in categories)])
        fault.span_ms = max(1, bound + near)  # it ends when a window or a time limit does
        return [
            Fault(
                "kill_step",
                fault.at_ms + max(0, bound + near - 20),
                relay,
                0,
                float(chance.randrange(1, 40)),
            )
        ]
    # Calls that may have run, and a Retry-After that ends when their window does.
    if fault.kind == "shut":
        # A relay retries some time after the received Retry-After has passed.
        fault.span_ms = window - chance.randrange(400)
        return [Fault("erring", max(0, fault.at_ms - 60), fault.who, 60)]
    # Callbacks that wait meanwhile are for a host that stays down; they have to be ended in time.
    if fault.kind == "freeze":
        fault.span_ms = 380 + near
        return [
            Fault("dead", max(0, fault.at_ms - 100), host, 7500)
            for host in who["host"]
            if chance.random() < 0.6
        ]
    if fault.kind in ("short_writes", "disk_full", "disk_failing"):
        return [
            Fault(
                "kill_step",
                fault.at_ms + chance.randrange(fault.span_ms),
                fault.who,
                0,
                float(chance.randrange(1, 200)),
            )
        ]
    if fault.kind == "lost_answers":
        return [
            Fault(
                "kill_step",
                fault.at_ms + chance.randrange(fault.span_ms),
                relay,
                0,
                float(chance.randrange(1, 60)),
            )
        ]
    # A second kill during the recovery.
    if fault.kind in ("kill", "kill_step", "lose_disk"):
        return [
            Fault(
                "kill_step",
                fault.at_ms + RESTART_MS + chance.randrange(1, 60),
                fault.who,
                0,
                float(chance.randrange(1, 60)),
            )
        ]
    return []
