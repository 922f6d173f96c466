"""Many seeds on many cores; the same run twice; a failing one made smaller. A worker is a process of its own."""

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

# seeds with the greatest share of slow start's budget, in a summary
WORST_KEPT = 5
# then a fresh process: what killed relays leave behind goes with the old one
RUNS_A_WORKER = 50


def from_seed(seed: int, weights=None, customers=False):
    return generator.make(seed, weights, customers=customers)


def play_one(scenario, mistake=None) -> dict:
    """The verdict; with a known mistake put into the relay, if one is named."""
    with mutated(mistake) if mistake else nullcontext():
        return play(scenario)


def _play_seed(job) -> dict:
    seed, mistake, weights, customers = job
    return play_one(from_seed(seed, weights, customers), mistake)


class Results:
    """Verdicts by seed, kept as lines of JSON in a file so that a sweep can go on where it was stopped.

    Raises ValueError for a file that holds something else; a last line that was cut off is played again.
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
        self.rows[verdict["seed"]] = verdict
        if self.path:
            with self.path.open("a", encoding="utf-8") as file:
                file.write(json.dumps(verdict, sort_keys=True) + "\n")

    def summary(self) -> dict:
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
    """Yields each seed's verdict as it comes, those that `results` has at once."""
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
    """Digests of two runs: here, and in a process that hashes in another way."""
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
    return (
        bool(one) and bool(other) and (one["rule"], one["text"]) == (other["rule"], other["text"])
    )


def smaller_scenarios(scenario):
    """Scenarios with a little less of something, the largest steps first."""
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
    """The scenario with what hangs in the air taken out, or None where it can't stand."""
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
    """The smallest scenario found in so many runs that fails as this one does, its verdict, and the runs it took.

    Raises ValueError where the scenario fails in no way.
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
