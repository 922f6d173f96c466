"""Implements `molehill trace`, which reads the trace file of a relay.

The file is `trace.file` of the relay's configuration.

Exit codes: 0 nothing found, 1 a call after the end of its callback, 2 bad input.
"""

import json
from collections import defaultdict
from pathlib import Path
from typing import Any, Iterator

import click

from molehill.runtime.trace import Step

NS_PER_MS = 1_000_000
ACCEPTED_STATUS = 202
END_STEPS = (Step.NOTICE_WRITTEN, Step.ANSWERED)


def read_steps(path: Path) -> Iterator[dict[str, Any]]:
    """Yields the steps in the previous file `PATH.1`, then those in the file.

    A line that is incomplete because the relay was killed is skipped.
    """
    for part in (Path(f"{path}.1"), path):
        if not part.exists():
            continue
        for line in part.read_text(encoding="utf-8", errors="replace").splitlines():
            try:
                row = json.loads(line)
                row["step"] = Step(row["step"])
            except (ValueError, KeyError, TypeError):
                continue
            yield row


def find_steps(rows: list[dict[str, Any]], ident: str) -> list[dict[str, Any]]:
    """Returns the steps of one callback, and the ends of the connections that received it."""
    own = [row for row in rows if row["id"] == ident]
    connections = {row["connection"] for row in own if row["step"] is Step.HANDED_IN}
    closed = [
        row
        for row in rows
        if row["step"] is Step.CONNECTION_CLOSED
        and row["id"] != ident
        and row["connection"] in connections
    ]
    return sorted(own + closed, key=lambda row: row["at"])


def find_calls_after_end(rows: list[dict[str, Any]]) -> dict[str, str]:
    """Finds calls that break the order of a callback's end; returns a text for each id.

    Such a call was written after the end, or its host may have read it only then.
    """
    ended: dict[str, int] = {}
    unread: dict[str, set[int]] = defaultdict(set)
    found: dict[str, str] = {}
    for row in rows:
        ident, step = row["id"], row["step"]
        if step is Step.CALL_WRITTEN:
            unread[ident].add(row["call"])
            if ident in ended:
                late = (row["at"] - ended[ident]) / NS_PER_MS
                found[ident] = f"call {row['call']} written {late:.1f} ms behind its end"
        elif step is Step.CALL_ENDED and row["result"] != "timeout":
            unread[ident].discard(row["call"])
        elif step is Step.HOST_ENDED_CONNECTION:
            unread[ident].discard(row["call"])
        elif step in END_STEPS and row.get("status") != ACCEPTED_STATUS and ident not in ended:
            ended[ident] = row["at"]
            if unread[ident]:
                found[ident] = f"calls {sorted(unread[ident])} not known to be read at its end"
    return found


@click.group()
def trace() -> None:
    """Reads the trace file of a relay."""


@trace.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.argument("ident")
def show(file: Path, ident: str) -> None:
    """Prints the steps of one callback, with milliseconds since the first one."""
    steps = find_steps(list(read_steps(file)), ident)
    if not steps:
        raise click.UsageError(f"{file} has nothing of {ident}")
    for row in steps:
        facts = {key: value for key, value in row.items() if key not in ("at", "step", "id")}
        since = (row["at"] - steps[0]["at"]) / NS_PER_MS
        text = " ".join(f"{key}={value}" for key, value in facts.items())
        click.echo(f"{since:12.3f} ms  {row['step'].value}  {text}")


@trace.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
def behind(file: Path) -> None:
    """Lists the ids with a call that was written, or may have been read, after their end."""
    found = find_calls_after_end(list(read_steps(file)))
    for ident, text in found.items():
        click.echo(f"{ident}: {text}")
    click.echo(f"{len(found)} callbacks")
    if found:
        raise SystemExit(1)
