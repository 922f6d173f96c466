"""Computes figures of a run from its history: pure functions that return plain data."""

from collections import defaultdict

from hdrh.histogram import HdrHistogram

from molehill.config import SECOND
from molehill.emulator.world import START

LEAST_US, MOST_US, DIGITS = 1, 600_000_000, 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def delivery(history) -> dict:
    """Delivery latency by percentile, with the count.

    In ms, from the time at which a callback is due at its program to its host's answer.
    """
    due_at, message_by_id, seen = {}, {}, set()
    row = HdrHistogram(LEAST_US, MOST_US, DIGITS)
    for now, who, what, facts in history.rows:
        if what == "wants":
            due_at[facts["message"]] = now
        elif what == "asked" and facts["message"] is not None:
            message_by_id[facts["id"]] = facts["message"]
        elif what == "call answered" and facts["status"] == 200:
            for ident in facts["ids"]:
                message = message_by_id.get(ident)
                if message in due_at and message not in seen:
                    seen.add(message)
                    row.record_value(max(LEAST_US, (now - due_at[message]) // 1000))
    return {
        "count": row.get_total_count(),
        **{
            f"p{share:g}": round(row.get_value_at_percentile(share) / 1000, 2)
            for share in PERCENTILES
        },
    }


def by_second(history) -> list[tuple[int, int, int]]:
    """Returns (second, callbacks that came due in it, how many of those were delivered)."""
    due_at, message_by_id, rows, seen = {}, {}, defaultdict(lambda: [0, 0]), set()
    for now, who, what, facts in history.rows:
        if what == "wants":
            due_at[facts["message"]] = (now - START) // SECOND
            rows[due_at[facts["message"]]][0] += 1
        elif what == "asked" and facts["message"] is not None:
            message_by_id[facts["id"]] = facts["message"]
        elif what == "call answered" and facts["status"] == 200:
            for message in {message_by_id.get(ident) for ident in facts["ids"]} - seen - {None}:
                seen.add(message)
                rows[due_at[message]][1] += 1
    return [(second, *rows[second]) for second in sorted(rows)]


def costs(history) -> dict:
    """CPU seconds by process, and bytes that the stand-ins exchanged with each relay.

    Those of a relay are of its last process only.
    """
    cpu, traffic = {}, defaultdict(lambda: [0, 0])
    for _, who, what, facts in [*history.rows, *history.rest]:
        if what == "figures":
            cpu[who] = facts["cpu"]
        elif what == "cpu":
            cpu[who] = facts["spent"]
        elif what == "traffic":
            for name, (heard, said) in facts["bytes"].items():
                if name.startswith("relay") and who != "cables":
                    traffic[name][0] += heard
                    traffic[name][1] += said
    relays = sum(spent for who, spent in cpu.items() if who.startswith("relay"))
    whole = sum(cpu.values())
    return {
        "cpu_s": {who: round(spent, 2) for who, spent in sorted(cpu.items())},
        "bytes": dict(sorted(traffic.items())),
        "rig_share": round(1 - relays / whole, 3) if whole else None,
    }


def fault_spans(history, scenario) -> list[tuple[str, float, float]]:
    """Returns (fault and target, from, to) in seconds of the run, for plots."""
    rows = [
        (f"{f.kind} {f.who}", f.at_ms / 1000, (f.at_ms + max(f.span_ms, 50)) / 1000)
        for f in scenario.faults
    ]
    down = {}
    for now, who, what, facts in history.rows:
        if what in ("killed", "ended"):
            down[who] = (now - START) / SECOND
        elif what == "ready" and who in down:
            rows.append((f"{who} away", down.pop(who), (now - START) / SECOND))
    return rows
