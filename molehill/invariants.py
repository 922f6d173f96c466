"""Invariants: asserted in debug builds, counted and reported in release builds (`python -O`)."""

# invariant name -> number of breaches in release builds
breach_counts: dict[str, int] = {}
# called with (name, count, facts) at each breach in release builds; set at startup
report_breach = None


def check_invariant(condition, name, **facts) -> bool:
    """Returns whether the condition holds, so that callers can continue safely where it does not.

    Raises AssertionError on a breach in debug builds; `facts` are values for the report.
    """
    if condition:
        return True
    assert False, f"{name}: {facts}"
    breach_counts[name] = breach_counts.get(name, 0) + 1
    if report_breach is not None:
        report_breach(name, breach_counts[name], facts)
    return False
