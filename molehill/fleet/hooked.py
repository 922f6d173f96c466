"""Runs the relay's `main` with changes of the rig: `python -m molehill.fleet.hooked SPEC`.

SPEC is JSON. `clock_ms`: offset of the wall clock in ms. `drift`, `drift_from`: share of each
second that the monotonic clock gains (0.02: 2 % fast) since that reading of it. `mistake`: a
mutation of the emulator that is planted. `shim`: the control file of molehill/fleet/shims.py. No
production start command uses this module.
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
    """Returns a monotonic clock in ns that gains the share `drift` since the reading `since`."""
    return lambda: (now := time.monotonic_ns()) + int((now - since) * drift)


def play(spec: dict) -> int:
    """Runs the relay with the changes of `spec`; returns its exit code."""
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
