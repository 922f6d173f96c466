"""The relay's own `main` with something of the rig's in its process: `python -m molehill.fleet.hooked SPEC`, SPEC being JSON.

`clock_ms`: its wall clock is so far off. `drift`, `drift_from`: its monotonic clock gains that share of each second (0.02: 2 % fast) since
that reading of it. `mistake`: one of the emulator's known mistakes is put into it. `shim`: the control file of molehill/fleet/shims.py. No `run` line uses this.
"""

import json
import sys
import time
from contextlib import nullcontext

from molehill.__main__ import main
from molehill.config import MS
from molehill.fleet.shims import ShimmedKernel
from molehill.runtime.kernel import Kernel


def drifting_clock(drift: float, since: int):
    return lambda: (now := time.monotonic_ns()) + int((now - since) * drift)


def play(spec: dict) -> int:
    mistake = nullcontext()
    if spec.get("mistake"):
        from molehill.emulator.mutations import mutated

        mistake = mutated(spec["mistake"])
    off = int(spec.get("clock_ms", 0) * MS)
    clocks = (
        drifting_clock(spec.get("drift", 0.0), spec.get("drift_from", 0)),
        lambda: time.time_ns() + off,
    )
    with mistake:
        return main(ShimmedKernel(spec["shim"], *clocks) if "shim" in spec else Kernel(*clocks))


if __name__ == "__main__":
    sys.exit(play(json.loads(sys.argv[1])))
