"""Small hand-written scenarios for tests and benchmarks, each with only what it is about."""

from molehill.emulator.scenario import (
    Category,
    EndpointPlan,
    Fault,
    ProgramPlan,
    Scenario,
    StrangersPlan,
    check,
)


def simple_scenario(**given) -> Scenario:
    """Two destinations, one relay, about eighty callbacks, no fault; `given` replaces fields."""
    rows = dict(
        seed=1,
        span_ms=2000,
        relays=1,
        endpoints=[EndpointPlan(1), EndpointPlan(2, kind="bundle")],
        categories=[
            Category("status", "deduplicated", 3000, ordered=True, window_ms=1500),
            Category("refund", "at_most_once", 3000, ordered=True),
        ],
        programs=[ProgramPlan(40.0, [1, 2], keys=4)],
    )
    return check(Scenario(**{**rows, **given}))


def upgrade_scenario(kind: str, step: int, span_ms: int = 0, seed: int = 1) -> Scenario:
    """An upgrade during slow calls, in which `kind` (new_dies, old_hangs, ...) occurs at `step`."""
    rows = [
        Category("status", "deduplicated", 3000, ordered=True, window_ms=2500),
        Category("rate", "idempotent", 2000),
        Category("refund", "at_most_once", 3000, payoff=4.0, ordered=True),
    ]
    return simple_scenario(
        seed=seed,
        span_ms=2500,
        categories=rows,
        programs=[ProgramPlan(40.0, [1, 2], keys=5)],
        endpoints=[EndpointPlan(1, span_ms=80.0), EndpointPlan(2, kind="bundle", span_ms=40.0)],
        strangers=StrangersPlan(copies=0.1),
        faults=[Fault(f"upgrade_{kind}", 1000, "relay0", span_ms, float(step))],
    )
