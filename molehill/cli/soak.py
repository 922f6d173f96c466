"""Implements `molehill soak`, which runs one relay as a real process under drawn faults.

Exit codes: 0 kept, 1 a rule broken, 2 bad input, 3 a run could not be completed.
"""

import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import click

from molehill.cli.emulate import parse_seeds
from molehill.soak.draw import draw_plan
from molehill.soak.oracle import count_unread_calls
from molehill.soak.rig import RunError, play

MAX_PRINTED_FINDINGS = 5  # findings of a run that are printed with their events
NOT_PLAYED, VOID = "not played", "void, the rig was late"


def play_seed(seed: int, span: float, out: Path, mutation: str) -> tuple[Counter, list[str]]:
    """Runs one seed; returns how often each rule was broken and the lines of the report."""
    try:
        findings, history = play(draw_plan(seed, span), out / f"seed-{seed}", mutation)
    except RunError as error:
        return Counter({NOT_PLAYED: 1}), [f"seed {seed}: not played: {error}"]
    counts = Counter(VOID if finding.void else finding.rule for finding in findings)
    kinds = Counter(type(event).__name__ for event in history.events)
    word = ", ".join(f"{rule}: {n}" for rule, n in counts.items()) or "kept"
    lines = [f"seed {seed}: {word} ({kinds['HandedIn']} asked, {kinds['Call']} calls)"]
    lines[0] += "; " + ", ".join(
        f"{count} {what}" for what, count in count_unread_calls(history).items()
    )
    for finding in findings[:MAX_PRINTED_FINDINGS]:
        word = " (void)" if finding.void else ""
        lines.append(f"  {finding.rule}{word} at {finding.at:.3f}: {finding.id}: {finding.text}")
        lines += [f"    {event}" for event in history.for_request(finding.id)]
    return counts, lines


@click.group()
def soak():
    """Soak-tests one relay on loopback.

    Hosts fail and leave, the relay is restarted and paused, and its machine fails.
    """


@soak.command()
@click.option("--seeds", default="1..1", show_default=True, help="A..B: one run for each.")
@click.option(
    "--span",
    default=20.0,
    show_default=True,
    help="Seconds of a run in which clients send requests.",
)
@click.option("--jobs", default=1, show_default=True, help="Number of runs at the same time.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder for the relay's logs.")
@click.option("--mutation", default="", help="A known mistake to put into the relay.")
def run(seeds, span, jobs, out, mutation):
    """Runs these seeds, and prints each broken rule with the events of its request."""
    out = out or Path(tempfile.mkdtemp(prefix="molehill-soak-"))
    totals, broken = Counter(), 0
    with ProcessPoolExecutor(jobs) as pool:
        work = partial(play_seed, span=span, out=out, mutation=mutation)
        for counts, lines in pool.map(work, parse_seeds(seeds)):
            totals.update(counts)
            broken += bool(set(counts) - {NOT_PLAYED, VOID})
            click.echo("\n".join(lines))
    click.echo(f"{len(parse_seeds(seeds))} runs, {broken} broken: {dict(totals)}; logs in {out}")
    if broken or totals[NOT_PLAYED]:
        raise SystemExit(1 if broken else 3)
