"""Runs the command line as `molehill` or `python -m molehill.cli`."""

import click

from molehill.cli.emulate import emulate
from molehill.cli.fleet import fleet
from molehill.cli.soak import soak
from molehill.cli.trace import trace


@click.group()
def main() -> None:
    """Tools for the relay: emulate it, test it under faults, and inspect its traces."""


main.add_command(emulate)
main.add_command(fleet)
main.add_command(soak)
main.add_command(trace)

if __name__ == "__main__":
    main(prog_name="molehill")
