"""Play many seeds on many cores, play a scenario twice, and shrink a failing one.

Each worker is a process of its own.
"""

import json
import os
import subprocess
import sys
from collections import Counter
from contextlib import nullcontext
from multiprocessing import get_context
from pathlib import Path

import msgspec

from molehill.emulator import generator
from molehill.emulator import scenario as scenarios
from molehill.emulator.mutations import mutated
from molehill.emulator.run import play

# Seeds in a summary with the greatest share of the slow-start budget.
WORST_KEPT = 5
# Then a new process starts: what killed relays leave in memory goes with the old one.
RUNS_A_WORKER = 50


def from_seed(seed: int, weights=None, customers=False):
    """Return the generated scenario of a seed."""
    return generator.make(seed, weights, customers=customers)


def play_one(scenario, mistake=None) -> dict:
    """Return the verdict; `mistake` names a known mistake that is planted into the relay."""
    with mutated(mistake) if mistake else nullcontext():
        return play(scenario)


def _play_seed(job) -> dict:
    seed, mistake, weights, customers = job
    return play_one(from_seed(seed, weights, customers), mistake)


class Results:
    """Verdicts by seed, kept as lines of JSON in a file so that a stopped sweep can resume.

    Raises ValueError for a file that holds something else; a truncated last line is played again.
    """

    def __init__(self, path=None):
        self.path, self.rows = path and Path(path), {}
        if self.path and self.path.exists():
            lines = self.path.read_text(encoding="utf-8").splitlines(keepends=True)
            whole = [line for line in lines if line.endswith("\n")]
            for line in whole:
                row = json.loads(line)
                self.rows[row["seed"]] = row
            if len(whole) != len(lines):
                self.path.write_text("".join(whole), encoding="utf-8")

    def add(self, verdict) -> None:
        """Keep a verdict and append it to the file."""
        self.rows[verdict["seed"]] = verdict
        if self.path:
            with self.path.open("a", encoding="utf-8") as file:
                file.write(json.dumps(verdict, sort_keys=True) + "\n")

    def summary(self) -> dict:
        """Return the totals over all verdicts."""
        rows = [self.rows[seed] for seed in sorted(self.rows)]
        failed = [row for row in rows if not row["ok"]]
        fed = sorted(
            ((row.get("slow_start_share", 0.0), row["seed"]) for row in rows), reverse=True
        )[:WORST_KEPT]
        kinds = Counter(
            f"rule {row['failure']['rule']}: {row['failure']['text']}" for row in failed
        )
        return {
            "seeds": len(rows),
            "failed": [row["seed"] for row in failed],
            "kinds": dict(sorted(kinds.items())),
            "slow_start_worst": {str(seed): share for share, seed in fed if share},
            "callbacks": sum(row.get("wanted", 0) for row in rows),
            "virtual_s": round(sum(row["virtual_s"] for row in rows)),
            "service": round(sum(row["service"] for row in rows) / len(rows), 4) if rows else None,
        }


def sweep(seeds, jobs: int, results: Results, mistake=None, weights=None, customers=False):
    """Yield each seed's verdict when it is available; those in `results` are not played again."""
    todo = []
    for seed in seeds:
        if seed in results.rows:
            yield results.rows[seed]
        else:
            todo.append((seed, mistake, weights, customers))
    if not todo:
        return
    with get_context("spawn").Pool(jobs, maxtasksperchild=RUNS_A_WORKER) as pool:
        for verdict in pool.imap_unordered(_play_seed, todo):
            results.add(verdict)
            yield verdict


def digests_of_two_runs(scenario) -> list[str]:
    """Return the digests of two runs: here, and in a process with another hash seed."""
    code = (
        "import sys; from molehill.emulator import scenario, run; "
        "print(run.play(scenario.load(sys.stdin.read()))['digest'])"
    )
    other = "1" if os.environ.get("PYTHONHASHSEED") != "1" else "2"
    done = subprocess.run(
        [sys.executable, "-c", code],
        input=scenarios.dump(scenario),
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": other},
    )
    return [play(scenario)["digest"], done.stdout.strip()]


def fails_alike(one, other) -> bool:
    """Return whether both fail with the same rule and text."""
    return (
        bool(one) and bool(other) and (one["rule"], one["text"]) == (other["rule"], other["text"])
    )


def smaller_scenarios(scenario):
    """Yield scenarios that have a little less of something, the largest reductions first."""
    change = msgspec.structs.replace
    lists = ("faults", "programs", "surges", "endpoints", "categories")
    for name in lists:
        rows = getattr(scenario, name)
        step = len(rows) // 2
        while step:
            for at in range(0, len(rows), step):
                yield change(scenario, **{name: rows[:at] + rows[at + step :]})
            step //= 2
    if scenario.relays > 1:
        yield change(scenario, relays=scenario.relays - 1)
    yield change(scenario, span_ms=scenario.span_ms // 2)
    yield change(scenario, span_ms=scenario.span_ms * 9 // 10)
    yield change(scenario, strangers=scenarios.StrangersPlan())
    for n, program in enumerate(scenario.programs):
        rows = list(scenario.programs)
        for less in (
            change(program, rate=program.rate / 2),
            change(program, leaves=0.0),
            change(program, tries=1),
        ):
            yield change(scenario, programs=rows[:n] + [less] + rows[n + 1 :])
    for n, fault in enumerate(scenario.faults):
        if fault.span_ms > 1:
            less = change(fault, span_ms=fault.span_ms // 2)
            yield change(scenario, faults=scenario.faults[:n] + [less] + scenario.faults[n + 1 :])


def without_dangling(scenario):
    """Return the scenario without references to removed parts, or None if it is not valid."""
    change, places = msgspec.structs.replace, {e.destination for e in scenario.endpoints}
    names = {c.name for c in scenario.categories}
    programs = [
        change(
            p,
            destinations=[d for d in p.destinations if d in places],
            categories=[c for c in p.categories if c in names],
        )
        for p in scenario.programs
        if not p.categories or names & set(p.categories)
    ]
    made = change(scenario, programs=[p for p in programs if p.destinations])
    relays = {f"relay{n}" for n in range(made.relays)} | {"platform"}
    hosts = {f"h{e.destination}-{n}" for e in made.endpoints for n in range(e.hosts)}
    made = change(made, faults=[f for f in made.faults if f.who in relays | hosts])
    try:
        return scenarios.check(made)
    except scenarios.ScenarioError:
        return None


def shrink(scenario, tries: int, mistake=None):
    """Return the smallest scenario found that fails as this one does, its verdict, and the count of
    runs.

    At most `tries` runs are made. Raises ValueError if the scenario does not fail.
    """
    verdict, played = play_one(scenario, mistake), 1
    if verdict["ok"]:
        raise ValueError("the scenario keeps all rules: there is nothing to shrink")
    better, seen = True, set()
    while better and played < tries:
        better = False
        for made in smaller_scenarios(scenario):
            made = without_dangling(made)
            text = made and scenarios.dump(made)
            if made is None or made == scenario or text in seen or played >= tries:
                continue
            seen.add(text)
            played += 1
            found = play_one(made, mistake)
            if fails_alike(verdict["failure"], found["failure"]):
                scenario, verdict, better = made, found, True
                break
    return scenario, verdict, played
