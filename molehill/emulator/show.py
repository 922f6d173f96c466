"""A run as readable text: times, party and event, with the relay's own log lines in between."""

from molehill.config import MS
from molehill.emulator.run import Run
from molehill.emulator.world import START


def timeline(scenario, about=(), last: int = 200):
    """Return the verdict and the last lines of the run that name one of `about` (all, if empty)."""
    run = Run(scenario)
    verdict = run.play()
    rows = [
        (at, n, who, f"{what} " + " ".join(f"{name}={value}" for name, value in facts.items()))
        for n, (at, who, what, facts) in enumerate(run.world.trace)
    ]
    for node in run.nodes.values():
        rows += [
            (at, 1 << 40, node.name, "says " + line.partition("event=")[2])
            for at, line in node.log_lines
        ]
    rows.sort(key=lambda row: row[:2])
    lines = [
        f"{(at - START) / MS:12.3f} {who:>10}  {text}"
        for at, _, who, text in rows
        if not about or any(word in who or word in text for word in about)
    ]
    failure = verdict["failure"]
    end = (
        [
            f"rule {failure['rule']} broken at {failure['at_ms']:.3f} ms: {failure['text']} {failure['facts']}"
        ]
        if failure
        else ["all rules kept"]
    )
    return verdict, lines[-last:] + end
