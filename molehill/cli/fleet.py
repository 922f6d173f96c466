"""Implements `molehill fleet`, which runs several relays, on the virtual clock or as processes.

Processes are connected by links that faults can disturb. Exit codes: 0 kept, 1 a property broken,
2 bad input (the message names the key), 3 void or unknown (the run proves nothing).
"""

import json
import shutil
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from urllib.request import urlopen

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from molehill.cli.emulate import EXIT_BROKEN, EXIT_KEPT, load_scenario, parse_seeds, print_json
from molehill.emulator import scenario as scenarios
from molehill.emulator.mutations import MUTATIONS
from molehill.emulator.scenario import STAGES
from molehill.fleet import checker, generator
from molehill.fleet import compare as compares
from molehill.fleet import play as plays
from molehill.fleet import show as stories

EXIT_INCONCLUSIVE = 3
ADMIN_TIMEOUT_S, MAX_PAGE_BYTES = 5, 1 << 22  # seconds; bytes, over ten thousand members
EXIT_CODES = {
    checker.KEPT: EXIT_KEPT,
    checker.BROKEN: EXIT_BROKEN,
    checker.UNKNOWN: EXIT_INCONCLUSIVE,
    checker.VOID: EXIT_INCONCLUSIVE,
}
stage_option = click.option(
    "--stage", type=click.Choice(STAGES), default="processes", show_default=True
)


def load_or_draw_scenario(path, stage, seed=None, members=False, soak=False):
    """Loads a file's scenario, with another seed if one is given; without a file, draws one."""
    if path is None and seed is not None:
        return (
            generator.draw_membership_scenario(seed)
            if members
            else generator.draw_soak_scenario(seed)
            if soak
            else generator.draw_scenario(seed)
        )
    scenario = load_scenario(path, None, (), stage)
    return scenario if seed is None else plays.with_seed(scenario, seed)


def play_scenario(scenario, stage: str, folder=None, older=None, mutation=None) -> dict:
    """Runs a scenario and returns its verdict; raises click.UsageError for bad input.

    `older`: the commit that `older` faults start.
    """
    with TemporaryDirectory(prefix="molehill-older-") as directory:
        try:
            older_tree = compares.checkout(older, Path(directory)) if older else None
            return plays.play(scenario, stage, folder, older=older_tree, mistake=mutation)
        except (scenarios.ScenarioError, compares.InvalidCandidate) as error:
            raise click.UsageError(str(error)) from None


def print_verdict(verdict) -> None:
    """Prints a verdict for people: its word, what is wrong, what each fault hit, the figures."""
    out = Console(highlight=False, soft_wrap=True)
    colour = {checker.KEPT: "green", checker.BROKEN: "red"}.get(verdict["word"], "yellow")
    out.print(f"[{colour}]{verdict['word']}[/] on stage {verdict['stage']}, seed {verdict['seed']}")
    for row in verdict["findings"]:
        if row["word"] != checker.KEPT:
            out.print(
                f"  {row['property']}: {row['word']}: {row['text']} {row['facts'] if row['property'] != 'faults hit' else ''}",
                markup=False,
            )
        for hit in row["facts"].get("touched", ()):
            out.print(
                f"  {hit['kind']} on {hit['who']} at {hit['at_ms']} ms touched {hit['count']}",
                markup=False,
            )
    out.print(
        "  " + ", ".join(f"{name} {value}" for name, value in verdict["summary"].items()),
        markup=False,
    )
    if "late_ms" in verdict:
        out.print(f"  the rig was {verdict['late_ms']} ms late at most")


@click.group()
def fleet() -> None:
    """Runs several relays under faults, as processes on this machine or emulated.

    One history of the run gives one verdict.
    """


scenario_argument = click.argument("scenario", required=False, type=click.Path())
mutation_option = click.option(
    "--mutation",
    "--planted",
    "mutation",
    type=click.Choice(sorted(MUTATIONS)),
    help="Puts this known mistake into each relay.",
)
members_option = click.option(
    "--members", is_flag=True, help="Seeds draw scenarios of relays that are members of a fleet."
)
soak_option = click.option(
    "--soak",
    is_flag=True,
    help="Seeds draw also stepped clocks, failing system calls and a failing disk.",
)
older_option = click.option("--older", metavar="REV", help="The commit that `older` faults start.")


def with_play_options(command):
    """Adds the options that select the scenario, the stage and the version of the relays."""
    for option in (
        older_option,
        soak_option,
        members_option,
        mutation_option,
        stage_option,
        scenario_argument,
    ):
        command = option(command)
    return command


@fleet.command()
@with_play_options
@click.option(
    "--seed",
    type=int,
    help="Replaces the scenario's seed; without a scenario, one is drawn from it.",
)
@click.option(
    "--out", type=click.Path(), help="Folder for histories, logs and the verdict (processes only)."
)
@click.option("--json", "as_json", is_flag=True, help="The verdict as a line of JSON.")
def run(scenario, stage, seed, mutation, members, soak, older, out, as_json) -> None:
    """Runs one scenario and prints its verdict."""
    verdict = play_scenario(
        load_or_draw_scenario(scenario, stage, seed, members, soak), stage, out, older, mutation
    )
    if out and stage == "processes":
        (Path(out) / plays.VERDICT).write_text(
            json.dumps(verdict, indent=1, sort_keys=True), encoding="utf-8"
        )
    (print_json if as_json else print_verdict)(verdict)
    sys.exit(EXIT_CODES[verdict["word"]])


@fleet.command()
@with_play_options
@click.option("--seeds", required=True, metavar="A..B")
@click.option(
    "--out",
    type=click.Path(),
    help="Folder that keeps the files of runs whose verdict is not `kept`.",
)
@click.option("--first", is_flag=True, help="Stops at the first broken run.")
def sweep(scenario, stage, seeds, mutation, members, soak, older, out, first) -> None:
    """Runs one scenario with many seeds, or the scenarios that the seeds draw.

    Prints a line for each finding that is not `kept`, then a summary in JSON.
    """
    verdicts = []
    with Progress(
        TextColumn("seed {task.fields[seed]}"),
        BarColumn(),
        TimeElapsedColumn(),
        console=Console(stderr=True),
    ) as bar:
        seed_range = parse_seeds(seeds)
        task = bar.add_task("", total=len(seed_range), seed=seed_range[0])
        for seed in seed_range:
            bar.update(task, seed=seed)
            folder = Path(out) / str(seed) if out and stage == "processes" else None
            verdicts.append(
                play_scenario(
                    load_or_draw_scenario(scenario, stage, seed, members, soak),
                    stage,
                    folder,
                    older,
                    mutation,
                )
            )
            if not verdicts[-1]["ok"]:
                for row in verdicts[-1]["findings"]:
                    if row["word"] != checker.KEPT:
                        click.echo(
                            f"seed {seed}: {row['word']}: {row['property']}: {row['text']} {json.dumps(row['facts'])[:300]}"
                        )
            elif folder:
                shutil.rmtree(folder, ignore_errors=True)
            bar.advance(task)
            if first and verdicts[-1]["word"] == checker.BROKEN:
                break
    words = plays.count_words(verdicts)
    print_json(
        {
            "words": words,
            "seeds": len(verdicts),
            "late_ms": max((v.get("late_ms", 0) for v in verdicts), default=0),
        }
    )
    sys.exit(
        next(
            (
                EXIT_CODES[word]
                for word in (checker.BROKEN, checker.VOID, checker.UNKNOWN)
                if word in words
            ),
            EXIT_KEPT,
        )
    )


def find_kept_run(folder) -> Path:
    """Returns the folder if it holds the files of a run; raises click.UsageError otherwise."""
    if not (Path(folder) / plays.SCENARIO).is_file():
        raise click.UsageError(f"{folder}: no run was kept here (`fleet run --out` keeps one)")
    return Path(folder)


@fleet.command()
@click.argument("folder", type=click.Path())
@click.option(
    "--about",
    multiple=True,
    help="Shows only what names this callback, host or relay; may be repeated.",
)
@click.option("--from", "first", type=float, metavar="MS")
@click.option("--to", "last", type=float, metavar="MS")
def show(folder, about, first, last) -> None:
    """Prints the events of a callback, host, relay or span of time from a kept run."""
    directory = find_kept_run(folder)
    try:
        lines = stories.event_lines(directory, about, first, last)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    for line in lines:
        click.echo(line)


@fleet.command("members")
@click.argument("where")
@click.option("--json", "as_json", is_flag=True)
def members_of(where, as_json) -> None:
    """Prints each relay's view of the members.

    WHERE is the admin address of a relay (ADDRESS:PORT), or the folder of a kept run.
    """
    if Path(where).is_dir():
        views = stories.views(find_kept_run(where))
    else:
        try:
            with urlopen(f"http://{where}/fleet", timeout=ADMIN_TIMEOUT_S) as page:
                views = [json.loads(page.read(MAX_PAGE_BYTES))]
        except (OSError, ValueError) as error:
            raise click.UsageError(
                f"{where}: neither a kept run nor an admin address that lists members: {error}"
            ) from None
    if as_json:
        return print_json(views)
    for view in views:
        click.echo(
            f"{view['name']}: {view['standing']} for {view['since_ms'] / 1000:.1f} s, reaches {view['reached']} of {view['expected']}, "
            f"hears {view['hears']}, heard by {view['heard_by']}"
        )
        for row in view["members"]:
            click.echo(
                f"    {row['name']:<20} {row['state']:<8} for {row['since_ms'] / 1000:.1f} s by {row['by']}'s word, number {row['number']}.{row['turn']}, "
                f"at {row['address']}"
            )


@fleet.command()
@click.argument("folder", type=click.Path())
@click.argument("target", type=click.Path())
def report(folder, target) -> None:
    """Writes an HTML page about a kept run."""
    from molehill.fleet import report as reports  # importing its plots takes a second

    reports.write(find_kept_run(folder), Path(target))
    click.echo(target)


@fleet.command()
@click.argument("scenario", type=click.Path())
@click.argument("a")
@click.argument("b")
@stage_option
@click.option("--seeds", required=True, metavar="A..B")
def compare(scenario, a, b, stage, seeds) -> None:
    """Compares B with A on paired seeds; figures are ratios B/A.

    A and B are each a commit, or KEY=VALUE[,KEY=VALUE] of the scenario.
    """
    try:
        found = compares.compare(
            load_or_draw_scenario(scenario, stage),
            a,
            b,
            parse_seeds(seeds),
            stage,
            lambda seed, rows: click.echo(f"seed {seed}: {json.dumps(rows)}", err=True),
        )
    except compares.InvalidCandidate as error:
        raise click.UsageError(str(error)) from None
    print_json(found)
