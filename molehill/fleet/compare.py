"""Compares two programs or two settings on paired seeds: a ratio with its confidence interval."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random
from statistics import mean

import msgspec

from molehill.emulator import scenario as scenarios
from molehill.fleet import figures, history
from molehill.fleet import play as plays
from molehill.fleet.conductor import CHECKOUT

DRAWS, SHARE = 2000, 0.95  # bootstrap samples; share of their means that the interval contains


class InvalidCandidate(ValueError):
    """A side of a comparison is neither a commit nor settings; the message names it."""


def checkout(revision: str, folder: Path) -> Path:
    """Extracts the program of that commit into `folder`. Raises InvalidCandidate."""
    folder.mkdir(parents=True, exist_ok=True)
    packed = subprocess.run(
        ["git", "-C", str(CHECKOUT), "archive", revision], capture_output=True, check=False
    )
    if packed.returncode:
        raise InvalidCandidate(
            f"{revision}: neither a commit here nor KEY=VALUE: {packed.stderr.decode(errors='replace').strip()[:200]}"
        )
    subprocess.run(["tar", "-x", "-C", str(folder)], input=packed.stdout, check=True)
    return folder


def with_settings(scenario, text: str):
    """Returns the scenario with `key=value,key=value` set in its plain fields.

    Raises InvalidCandidate.
    """
    rows = msgspec.to_builtins(scenario)
    for part in text.split(","):
        key, _, value = part.partition("=")
        if key not in scenario.__struct_fields__ or isinstance(getattr(scenario, key), list):
            raise InvalidCandidate(f"{key}: no plain field of a scenario")
        try:
            rows[key] = json.loads(value)
        except ValueError:
            rows[key] = value
    try:
        return scenarios.check(msgspec.convert(rows, scenarios.Scenario))
    except (msgspec.ValidationError, scenarios.ScenarioError) as error:
        raise InvalidCandidate(f"{text}: {error}") from None


class Candidate:
    """A side of a comparison: a commit, or `key=value` settings of the scenario."""

    def __init__(self, text: str, scenario, folder: Path):
        self.text, self.scenario, self.tree = text, scenario, None
        if "=" in text:
            self.scenario = with_settings(scenario, text)
        else:
            self.tree = checkout(text, folder)

    def play(self, seed: int, stage: str) -> dict:
        """Returns `word`, `service`, and on processes the 99th percentile of delivery latency."""
        scenario = plays.with_seed(self.scenario, seed)
        # the emulator of a commit plays the relay of that commit
        if stage == "emulated" and self.tree is not None:
            with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
                file.write(scenarios.dump(scenario))
                file.flush()
                done = subprocess.run(
                    [sys.executable, "-m", "molehill.cli", "emulate", "run", file.name],
                    cwd=self.tree,
                    capture_output=True,
                    text=True,
                    env={"PATH": "/usr/bin:/bin", "PYTHONPATH": str(self.tree)},
                    check=False,
                )
            if done.returncode not in (0, 1):
                raise InvalidCandidate(f"{self.text}: {done.stderr.strip()[-300:]}")
            told = json.loads(done.stdout)
            return {"word": "kept" if told["ok"] else "broken", "service": told["service"]}
        with tempfile.TemporaryDirectory(prefix="molehill-compare-") as folder:
            verdict = plays.play(scenario, stage, folder, tree=self.tree)
            row = {"word": verdict["word"], "service": verdict["summary"].get("service")}
            if stage == "processes" and row["service"] is not None:
                row["p99_ms"] = figures.delivery(history.read(folder))["p99"]
            return row


def confidence_interval(ratios, seed: int = 1):
    """Returns the mean of the ratios and the bounds that contain SHARE of the bootstrap means."""
    chance = Random(seed)
    means = sorted(mean(chance.choices(ratios, k=len(ratios))) for _ in range(DRAWS))
    edge = int(DRAWS * (1 - SHARE) / 2)
    return {
        "ratio": round(mean(ratios), 4),
        "from": round(means[edge], 4),
        "to": round(means[-edge - 1], 4),
        "pairs": len(ratios),
    }


def compare(scenario, a: str, b: str, seeds, stage: str, told=lambda seed, rows: None) -> dict:
    """Plays A and B on each seed in turn.

    Returns word counts, and for each figure the ratio B/A over pairs of which neither was void.
    """
    with tempfile.TemporaryDirectory(prefix="molehill-trees-") as trees:
        sides = [
            Candidate(text, scenario, Path(trees) / name) for name, text in (("a", a), ("b", b))
        ]
        pairs = []
        for n, seed in enumerate(seeds):
            # alternates the order, so that neither is always the second on a warm machine
            order = sides if n % 2 == 0 else sides[::-1]
            rows = {side.text: side.play(seed, stage) for side in order}
            pairs.append([rows[side.text] for side in sides])
            told(seed, rows)
    found = {"words": [plays.count_words(row) for row in zip(*pairs)]}
    for name in ("service", "p99_ms"):
        usable = [
            (x[name], y[name])
            for x, y in pairs
            if x.get(name) and y.get(name) and "void" not in (x["word"], y["word"])
        ]
        if usable:
            found[name] = confidence_interval([y / x for x, y in usable])
    return found
