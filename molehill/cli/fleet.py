"""`molehill fleet`: several relays, on the virtual clock or as processes with cables between them.

Exit codes: 0 kept, 1 a property broken, 2 bad input, key named, 3 void or unknown: the run shows nothing.
"""
import json
import sys
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from molehill.cli.emulate import BROKEN, KEPT, given, say, seeds_of
from molehill.emulator import scenario as scenarios
from molehill.emulator.scenario import STAGES
from molehill.fleet import checker
from molehill.fleet import play as plays

NOTHING_SHOWN = 3
EXITS = {checker.KEPT: KEPT, checker.BROKEN: BROKEN, checker.UNKNOWN: NOTHING_SHOWN, checker.VOID: NOTHING_SHOWN}
stage_option = click.option("--stage", type=click.Choice(STAGES), default="processes", show_default=True)


def loaded(path, seed=None):
    made = given(path, None, ())
    return made if seed is None else plays.seeded(made, seed)


def played(scenario, stage: str, folder=None, tree=None) -> dict:
    try:
        return plays.play(scenario, stage, folder, tree)
    except scenarios.ScenarioError as error:
        raise click.UsageError(str(error)) from None


def tell(verdict) -> None:
    """For people: the word, what is wrong, what each fault touched, the figures."""
    out = Console(highlight=False, soft_wrap=True)
    colour = {checker.KEPT: "green", checker.BROKEN: "red"}.get(verdict["word"], "yellow")
    out.print(f"[{colour}]{verdict['word']}[/] on stage {verdict['stage']}, seed {verdict['seed']}")
    for row in verdict["findings"]:
        if row["word"] != checker.KEPT:
            out.print(f"  {row['property']}: {row['word']}: {row['text']} {row['facts'] if row['property'] != 'faults hit' else ''}", markup=False)
        for hit in row["facts"].get("touched", ()):
            out.print(f"  {hit['kind']} on {hit['who']} at {hit['at_ms']} ms touched {hit['count']}", markup=False)
    out.print("  " + ", ".join(f"{name} {value}" for name, value in verdict["summary"].items()), markup=False)
    if "late_ms" in verdict:
        out.print(f"  the rig was {verdict['late_ms']} ms late at most")


@click.group()
def fleet() -> None:
    """Several relays under faults, as processes on this machine or emulated; one history, one verdict."""


@fleet.command()
@click.argument("scenario", type=click.Path())
@stage_option
@click.option("--seed", type=int, help="In place of the scenario's.")
@click.option("--out", type=click.Path(), help="Keeps histories, logs and the verdict there (processes).")
@click.option("--json", "as_json", is_flag=True, help="The verdict as a line of JSON.")
def run(scenario, stage, seed, out, as_json) -> None:
    """Plays one scenario and prints its verdict."""
    verdict = played(loaded(scenario, seed), stage, out)
    if out and stage == "processes":
        (Path(out) / plays.VERDICT).write_text(json.dumps(verdict, indent=1, sort_keys=True), encoding="utf-8")
    (say if as_json else tell)(verdict)
    sys.exit(EXITS[verdict["word"]])


@fleet.command()
@click.argument("scenario", type=click.Path())
@stage_option
@click.option("--seeds", required=True, metavar="A..B")
@click.option("--out", type=click.Path(), help="Keeps the folders of runs that were not kept there.")
def sweep(scenario, stage, seeds, out) -> None:
    """Plays one scenario with many seeds, one after another: a line for each that is not kept, then a summary in JSON."""
    made, verdicts = loaded(scenario), []
    with Progress(TextColumn("seed {task.fields[seed]}"), BarColumn(), TimeElapsedColumn(), console=Console(stderr=True)) as bar:
        todo = seeds_of(seeds)
        task = bar.add_task("", total=len(todo), seed=todo[0])
        for seed in todo:
            bar.update(task, seed=seed)
            folder = Path(out) / str(seed) if out and stage == "processes" else None
            verdicts.append(played(plays.seeded(made, seed), stage, folder))
            if not verdicts[-1]["ok"]:
                for row in verdicts[-1]["findings"]:
                    if row["word"] != checker.KEPT:
                        click.echo(f"seed {seed}: {row['word']}: {row['property']}: {row['text']} {json.dumps(row['facts'])[:300]}")
            elif folder:
                plays.shutil.rmtree(folder, ignore_errors=True)
            bar.advance(task)
    words = plays.words(verdicts)
    say({"words": words, "seeds": len(verdicts), "late_ms": max((v.get("late_ms", 0) for v in verdicts), default=0)})
    sys.exit(next((EXITS[word] for word in (checker.BROKEN, checker.VOID, checker.UNKNOWN) if word in words), KEPT))
