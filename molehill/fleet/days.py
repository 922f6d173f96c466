"""Days drawn from a seed for either stage: the emulator's rough days with the kinds that processes can play, and ways that are cut or slow."""
from random import Random

from msgspec.structs import replace

from molehill.emulator import generator
from molehill.emulator.scenario import EMULATED_ONLY, FAULTS, Fault, Scenario, check

# kind -> (weight, least and most worth)
WAYS = {"cut": (6, (0, 0)), "burst": (1, (0, 0)), "delay": (2, (10, 800)), "narrow": (1, (500, 20_000))}
MOST_MS = 4000
BACK_MS = 1500                         # a host that was avoided has calls again by then, or soon
# What counts steps of the relay has no like on processes; the rest of the emulator's kinds stays as often as there.
WEIGHTS = {**{kind: 0 for kind in EMULATED_ONLY}, "upgrade": 1, "kill": 6, "freeze": 4}


def drawn(seed: int, relays: int = 3, span_ms: int = 5000, ways: int = 2, weights=None) -> Scenario:
    made = generator.make(seed, {**WEIGHTS, **(weights or {})}, span_ms, relays)
    chance = Random(f"ways {seed}")
    hosts = [f"h{e.destination}-{n}" for e in made.endpoints for n in range(e.hosts)]
    faults = [fault for fault in made.faults if fault.kind not in EMULATED_ONLY]       # edges aim some beside others
    for _ in range(chance.randrange(ways + 1)):
        kind = chance.choices(list(WAYS), [weight for weight, _ in WAYS.values()])[0]
        one, other = chance.choice([*(f"relay{n}" for n in range(relays)), "relays"]), chance.choice([*hosts, "hosts", "platform", "platform"])
        who = chance.choice([f"{one}>{other}", f"{other}>{one}", f"{one}<>{other}"])
        worth = float(int(chance.uniform(*WAYS[kind][1])))
        faults.append(Fault(kind, chance.randrange(300, span_ms), who, chance.randrange(200, MOST_MS), worth))
    return check(replace(made, faults=apart(sorted(faults, key=lambda f: (f.at_ms, f.kind, f.who)))))


def apart(faults) -> list[Fault]:
    """Without those that fall on a host while another fault has it, or soon after: they would touch nothing, and void the day."""
    kept, until = [], {}
    for fault in faults:
        if FAULTS[fault.kind] == "host":
            if fault.at_ms < until.get(fault.who, 0):
                continue
            until[fault.who] = fault.at_ms + fault.span_ms + BACK_MS
        kept.append(fault)
    return kept
