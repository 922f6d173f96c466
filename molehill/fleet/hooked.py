"""The relay's own `main` with something of the rig's in its process: `python -m molehill.fleet.hooked SPEC`, SPEC being JSON.

`clock_ms`, `drift`: its wall clock is so far off at its start, and gains that share of each second (0.02: 2 % fast). `mistake`: one of the
emulator's known mistakes is put into it. No `run` line uses this.
"""
import json
import sys
import time
from contextlib import nullcontext

from molehill.__main__ import main
from molehill.config import MS
from molehill.runtime.kernel import Kernel, wall_clock


def off_clock(clock_ms: float, drift: float):
    """As the relay's own, but off: it only advances, and is never set."""
    base, first = wall_clock(), time.monotonic_ns()
    return lambda: base() + int(clock_ms * MS) + int((time.monotonic_ns() - first) * drift)


def play(spec: dict) -> int:
    mistake = nullcontext()
    if spec.get("mistake"):
        from molehill.emulator.mutations import mutated
        mistake = mutated(spec["mistake"])
    with mistake:
        return main(Kernel(off_clock(spec.get("clock_ms", 0), spec.get("drift", 0.0))))


if __name__ == "__main__":
    sys.exit(play(json.loads(sys.argv[1])))
