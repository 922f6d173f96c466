"""What must hold: asserted in debug builds, counted and reported in release builds (`python -O`)."""

counts: dict[str, int] = {}
# called with (name, count, facts) at each breach in release builds; set when wiring
report = None


def holds(condition, name, **facts) -> bool:
    """Gives whether the condition holds, so that callers can go on safely where it does not."""
    if condition:
        return True
    assert False, f"{name}: {facts}"
    counts[name] = counts.get(name, 0) + 1
    if report is not None:
        report(name, counts[name], facts)
    return False
