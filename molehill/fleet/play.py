"""Plays a scenario on either stage (emulated or processes): a verdict of the same form for both."""

import shutil
import tempfile
from collections import Counter
from contextlib import nullcontext
from pathlib import Path

from msgspec.structs import replace

from molehill.emulator import run as emulated
from molehill.emulator import scenario as scenarios
from molehill.emulator.mutations import mutated
from molehill.fleet import checker, history
from molehill.fleet.conductor import RigError, Run
from molehill.fleet.mutations import mutated as rig_mutated

# checked after an emulated run: its referee has judged the rules, and nothing is ever late
ON_VIRTUAL_CLOCK = ("faults hit", "causes first", "cuts hold")
SCENARIO, VERDICT = "scenario.toml", "verdict.json"


def play(scenario, stage: str, folder=None, **programs) -> dict:
    """Plays a scenario and returns its verdict.

    `folder`: where a run on processes leaves its files, which are otherwise deleted; `programs`:
    `tree`, `older`, `mistake` of conductor.Run.

    Raises ScenarioError for what can't be played on that stage.
    """
    scenarios.for_stage(scenario, stage)
    if stage == "emulated":
        with mutated(programs["mistake"]) if programs.get("mistake") else nullcontext():
            return on_virtual_clock(scenario)
    made = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="molehill-fleet-"))
    try:
        return on_processes(scenario, made, **programs)
    finally:
        if folder is None:
            shutil.rmtree(made, ignore_errors=True)


def on_virtual_clock(scenario) -> dict:
    run, rows = emulated.Run(scenario), []
    run.world.watchers.append(lambda *row: rows.append(row))
    told = run.play()
    failure = told["failure"]
    verdict = checker.check(
        history.History(rows),
        scenario,
        {name: checker.PROPERTIES[name] for name in ON_VIRTUAL_CLOCK},
    )
    word = checker.KEPT if failure is None else checker.BROKEN
    text = "" if failure is None else f"rule {failure['rule']}: {failure['text']}"
    findings = [
        checker.Finding(
            "six rules",
            word,
            text,
            dict(failure["facts"], at_ms=failure["at_ms"]) if failure else {},
        )._asdict()
    ]
    if failure is None:
        findings += verdict["findings"]
        word = verdict["word"]
    return {
        "stage": "emulated",
        "seed": scenario.seed,
        "word": word,
        "ok": word == checker.KEPT,
        "findings": findings,
        "digest": told["digest"],
        "summary": {k: v for k, v in told.items() if k not in ("ok", "failure", "seed", "digest")},
    }


def on_processes(scenario, folder: Path, **programs) -> dict:
    folder.mkdir(parents=True, exist_ok=True)
    (folder / SCENARIO).write_text(scenarios.dump(scenario), encoding="utf-8")
    try:
        Run(scenario, folder, **programs).play()
        with (
            rig_mutated(programs["rig_mistake"], "checker")
            if programs.get("rig_mistake")
            else nullcontext()
        ):
            verdict = judge(folder, scenario)
    except RigError as error:
        verdict = {
            "word": checker.VOID,
            "ok": False,
            "findings": [checker.Finding("played", checker.VOID, str(error), {})._asdict()],
            "summary": {},
        }
    return {"stage": "processes", "seed": scenario.seed, **verdict}


def judge(folder: Path, scenario=None) -> dict:
    """Returns the verdict on a run from the files in its folder."""
    scenario = scenario or scenarios.load((folder / SCENARIO).read_text(encoding="utf-8"))
    told = history.read(folder)
    verdict = checker.check(told, scenario)
    return {**verdict, "late_ms": round(told.doubt / 1e6, 1), "summary": told.summary}


def with_seed(scenario, seed: int):
    """Returns the scenario with another seed."""
    return replace(scenario, seed=seed)


def count_words(verdicts) -> dict:
    """Counts verdicts by their word."""
    return dict(sorted(Counter(verdict["word"] for verdict in verdicts).items()))
