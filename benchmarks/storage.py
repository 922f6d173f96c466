"""Measures the cost of the segmented storage against the present log.

    python benchmarks/storage.py codec --rounds 20000
        bytes and time for each record, by version, relative to the present log's version
    python benchmarks/storage.py room --rounds 30000
        bytes written for each byte appended, by share of live states and by lifetimes

Not part of CI. Absolute times depend on the machine; only ratios within one run are meaningful.
"""

import argparse
import time
from random import Random

from molehill.storage import codec
from molehill.storage.drive import SpaceSimulator
from molehill.storage.space import STATE_SHARE

BODY = (
    b'{"order": 123456, "state": "shipped", "lines": ['
    + b", ".join([b'{"sku": "A-1029", "count": 2}'] * 4)
    + b"]}"
)
# The records of one callback, with the fields that the core writes.
CALLBACK_RECORDS = [
    (
        {
            "k": "taken",
            "id": "9f2c7e1a-55d0-4f0b-a1d4-0c1e7b2a9d11",
            "category": 1,
            "tenant": 0,
            "key": "subject-48211",
            "destination": 37,
            "due": 1_800_000_024_123_456_789,
            "mark": "mark-9f2c7e1a",
            "contents": "q83vEjRWeJCrze8SNFZ4kA",
        },
        BODY,
    ),
    (
        {
            "k": "launch",
            "call": 48211,
            "ids": ["9f2c7e1a-55d0-4f0b-a1d4-0c1e7b2a9d11"],
            "at": 1_800_000_000_223_456_789,
            "zone": 1,
        },
        b"",
    ),
    (
        {
            "k": "end",
            "call": 48211,
            "ids": ["9f2c7e1a-55d0-4f0b-a1d4-0c1e7b2a9d11"],
            "results": ["fulfilled"],
            "at": 1_800_000_000_323_456_789,
        },
        b"",
    ),
]


def time_per_record(work, rows, rounds: int) -> float:
    """Returns microseconds for each record: the best of five runs, as the others were disturbed."""
    best = None
    for _ in range(5):
        started_at = time.perf_counter()
        for _ in range(rounds // 5):
            for row in rows:
                work(row)
        elapsed = time.perf_counter() - started_at
        best = min(best or elapsed, elapsed)
    return best / (rounds // 5 * len(rows)) * 1e6


def compare_codecs(rounds: int) -> None:
    """Prints sizes and times of each codec version, with ratios to the first one."""
    baseline = None
    for version in codec.VERSIONS:
        payloads = [codec.encode(version, *row) for row in CALLBACK_RECORDS]
        row = (
            sum(map(len, payloads)),
            time_per_record(lambda r: codec.encode(version, *r), CALLBACK_RECORDS, rounds),
            time_per_record(lambda p: codec.decode(version, p), payloads, rounds),
        )
        baseline = baseline or row
        print(
            f"version {version}: {row[0]} bytes a callback ({row[0] / baseline[0]:.2f}), "
            f"{row[1]:.2f} us to write a record "
            f"({row[1] / baseline[1]:.2f}), "
            f"{row[2]:.2f} us to read one ({row[2] / baseline[2]:.2f})"
        )


# bytes of a state, of each later record, of the whole space, of one segment
STATE_BYTES, RECORD_BYTES, MAX_BYTES, SEGMENT_SIZE = 300, 80, 1_000_000, 20_000


def compare_space(rounds: int) -> None:
    """Prints the bytes written for each byte appended, for live shares and lifetimes.

    Callbacks come and go, so that the given share of the permitted states is live. With "long
    first", half of them stay to the end.
    """
    for share in (0.5, 0.7, 0.85):
        for lifetimes in ("short", "mixed", "long first"):
            random, simulator, held = Random(5), SpaceSimulator(MAX_BYTES, SEGMENT_SIZE), []
            most = int(share * MAX_BYTES * STATE_SHARE * 0.9 / STATE_BYTES)
            for n in range(rounds):
                if len(held) < most and simulator.space.can_admit(STATE_BYTES, 2 * RECORD_BYTES):
                    simulator.append(STATE_BYTES, f"c{n}", 2 * RECORD_BYTES)
                    held.append(f"c{n}")
                    continue
                stays = most // 2 if lifetimes == "long first" else 0
                callback_id = held.pop(
                    stays + random.randrange(len(held) - stays) if lifetimes != "short" else 0
                )
                for _ in range(2):
                    simulator.append(RECORD_BYTES, callback_id)
                simulator.space.remove_state(callback_id)
            print(
                f"{simulator.space.live_bytes / MAX_BYTES:.2f} of the space live, "
                f"lifetimes {lifetimes}: "
                f"{simulator.written / simulator.appended:.2f} bytes written for each "
                f"appended, {simulator.most_moved} states moved at once at most"
            )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=["codec", "room"])
    parser.add_argument("--rounds", type=int, default=20_000)
    arguments = parser.parse_args()
    {"codec": compare_codecs, "room": compare_space}[arguments.what](arguments.rounds)
