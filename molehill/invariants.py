"""What must hold: asserted in debug builds, counted and reported in release builds (`python -O`)."""

breach_counts: dict[str, int] = {}
# called with (name, count, facts) at each breach in release builds; set when wiring
report_breach = None


def check_invariant(condition, name, **facts) -> bool:
    """Gives whether the condition holds, so that callers can go on safely where it does not."""
    if condition:
        return True
    assert False, f"{name}: {facts}"
    breach_counts[name] = breach_counts.get(name, 0) + 1
    if report_breach is not None:
        report_breach(name, breach_counts[name], facts)
    return False
