"""Implements `molehill emulate`, which runs whole relays on a virtual clock.

Exit codes: 0 all rules kept, 1 a rule broken, 2 bad input (the message names the key).
"""

import json
import sys
from pathlib import Path

import click

from molehill.emulator import generator
from molehill.emulator import scenario as scenarios
from molehill.emulator import show as timeline
from molehill.emulator import sweep as sweeps
from molehill.emulator.mutations import MUTATIONS

EXIT_KEPT, EXIT_BROKEN, EXIT_BAD_INPUT = 0, 1, 2


def load_scenario(path, seed, weights, stage="emulated", customers=False):
    """Loads a scenario from a file, or generates it from a seed.

    Raises click.UsageError for bad input, also where the file's scenario can't be run on that
    stage.
    """
    if (path is None) == (seed is None):
        raise click.UsageError("either SCENARIO or --seed")
    try:
        if path is None:
            return sweeps.from_seed(seed, parse_weights(weights), customers)
        return scenarios.for_stage(scenarios.load(Path(path).read_text(encoding="utf-8")), stage)
    except (OSError, UnicodeDecodeError, scenarios.ScenarioError) as error:
        raise click.UsageError(f"{path}: {error}") from None


def parse_weights(rows) -> dict[str, float]:
    """Parses `KIND=NUMBER` rows; raises click.UsageError that names the bad row."""
    weights_by_kind = {}
    for row in rows:
        kind, _, number = row.partition("=")
        try:
            weights_by_kind[kind] = float(number)
        except ValueError:
            raise click.UsageError(f"--weight {row}: not KIND=NUMBER") from None
        if kind not in generator.ALL_KINDS or weights_by_kind[kind] < 0:
            raise click.UsageError(
                f"--weight {row}: one of {', '.join(generator.ALL_KINDS)}, 0 or more"
            )
    return weights_by_kind


def parse_seeds(text: str) -> range:
    """Parses `A..B`, both inclusive; raises click.UsageError."""
    first, dots, last = text.partition("..")
    if not dots or not first.isdigit() or not last.isdigit() or int(last) < int(first):
        raise click.UsageError(f"--seeds {text}: not A..B")
    return range(int(first), int(last) + 1)


def print_json(verdict) -> None:
    """Prints a verdict as one line of JSON."""
    click.echo(json.dumps(verdict, sort_keys=True))


weight_option = click.option(
    "--weight",
    "weights",
    multiple=True,
    metavar="KIND=N",
    help="Relative frequency of a kind of fault; 0: never.",
)
customers_option = click.option(
    "--customers",
    is_flag=True,
    help="Draws settings too; each seed is another customer.",
)
scenario_options = [
    click.argument("scenario", required=False, type=click.Path()),
    click.option("--seed", type=int),
    weight_option,
    customers_option,
]


def with_scenario_options(command):
    """Adds the argument and options that select a scenario."""
    for option in reversed(scenario_options):
        command = option(command)
    return command


@click.group()
def emulate() -> None:
    """Runs whole relays on a virtual clock against stand-ins.

    Faults come from a seed, and a referee checks the six rules.
    """


@emulate.command()
@with_scenario_options
@click.option("--save", type=click.Path(), help="Writes the scenario to this file as TOML.")
def run(scenario, seed, weights, customers, save) -> None:
    """Runs one scenario and prints its verdict."""
    selected = load_scenario(scenario, seed, weights, customers=customers)
    if save:
        Path(save).write_text(scenarios.dump(selected), encoding="utf-8")
    verdict = sweeps.play_one(selected)
    print_json(verdict)
    sys.exit(EXIT_KEPT if verdict["ok"] else EXIT_BROKEN)


@emulate.command()
@with_scenario_options
def replay(scenario, seed, weights, customers) -> None:
    """Runs a scenario twice and compares the digests of all events.

    The second run is in a process with another hash seed.
    """
    selected = load_scenario(scenario, seed, weights, customers=customers)
    digests = sweeps.digests_of_two_runs(selected)
    click.echo(json.dumps({"same": digests[0] == digests[1], "digests": digests}))
    sys.exit(EXIT_KEPT if digests[0] == digests[1] else EXIT_BROKEN)


@emulate.command()
@click.option("--seeds", required=True, metavar="A..B")
@click.option("--jobs", type=click.IntRange(1, 256), default=1, show_default=True)
@click.option(
    "--out",
    type=click.Path(),
    help="File with a line of JSON for each seed; seeds that it holds are not run again.",
)
@click.option(
    "--mutation",
    "--planted",
    "mutation",
    type=click.Choice(sorted(MUTATIONS)),
    help="Puts this known mistake into the relay.",
)
@click.option("--first", is_flag=True, help="Stops at the first failing seed.")
@weight_option
@customers_option
def sweep(seeds, jobs, out, mutation, first, weights, customers) -> None:
    """Runs a range of seeds in parallel processes.

    Prints a line for each seed that fails, then a summary in JSON.
    """
    seed_range = parse_seeds(seeds)
    try:
        results = sweeps.Results(out)
    except (OSError, ValueError) as error:
        raise click.UsageError(f"--out {out}: {error}") from None
    with click.progressbar(length=len(seed_range), file=sys.stderr) as bar:
        for verdict in sweeps.sweep(
            seed_range, jobs, results, mutation, parse_weights(weights), customers
        ):
            bar.update(1)
            if not verdict["ok"]:
                click.echo(
                    f"seed {verdict['seed']}: rule {verdict['failure']['rule']}: {verdict['failure']['text']} "
                    f"at {verdict['failure']['at_ms']:.1f} ms {verdict['failure']['facts']}; "
                    f"molehill emulate show --seed {verdict['seed']}"
                    + " --customers" * customers
                    + "".join(f" --weight {row}" for row in weights)
                )
                if first:
                    break
    summary = results.summary()
    print_json(summary)
    sys.exit(EXIT_BROKEN if summary["failed"] else EXIT_KEPT)


@emulate.command()
@with_scenario_options
@click.option(
    "--out",
    type=click.Path(),
    help="File for the smaller scenario; without it, the scenario is printed.",
)
@click.option("--tries", type=click.IntRange(1), default=200, show_default=True)
def shrink(scenario, seed, weights, customers, out, tries) -> None:
    """Reduces a failing scenario as long as it breaks the same rule in the same way."""
    selected = load_scenario(scenario, seed, weights, customers=customers)
    try:
        small, verdict, played = sweeps.shrink(selected, tries)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    text = scenarios.dump(small)
    if out:
        Path(out).write_text(text, encoding="utf-8")
    else:
        click.echo(text)
    click.echo(f"{played} runs; {verdict['failure']}", err=True)
    sys.exit(EXIT_BROKEN)


@emulate.command()
@with_scenario_options
@click.option("--about", multiple=True, help="Shows only events that name this party, id or key.")
@click.option("--last", type=click.IntRange(1), default=200, show_default=True)
def show(scenario, seed, weights, customers, about, last) -> None:
    """Prints a readable timeline of a run, by party."""
    verdict, lines = timeline.timeline(
        load_scenario(scenario, seed, weights, customers=customers), about, last
    )
    for line in lines:
        click.echo(line)
    sys.exit(EXIT_KEPT if verdict["ok"] else EXIT_BROKEN)
