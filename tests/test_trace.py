"""The trace file has a callback's steps in order, stays within its limit, and survives errors."""

import errno
import json

from click.testing import CliRunner

from molehill.cli.trace import find_calls_after_end, read_steps
from molehill.cli.trace import trace as command
from molehill.runtime.kernel import Disk, Kernel
from molehill.runtime.trace import Step, Trace
from tests.core_harness import MS, SECOND, ManualClock
from tests.harness import REQUEST, RelayHarness


def test_show_prints_steps_of_a_callback_in_order(tmp_path):
    path = tmp_path / "trace"
    harness = RelayHarness(tmp_path / "state", trace={"file": str(path)})
    client = harness.connect_client()
    client.send(REQUEST.replace(b"Content", b"Req-Deadline-Ms: 30\r\nContent") % b"id1")
    harness.read_until(client, b"HTTP/1.1 202")
    client.close()
    harness.read_until(harness.accept(harness.host), b"\r\n\r\nab")
    platforms, heard = [], b""
    while b'"ref":"id1"' not in heard:
        harness.advance(5 * MS)
        heard += harness.read_at_platform(platforms)
    harness.close()
    output = CliRunner().invoke(command, ["show", str(path), "id1"]).output
    steps = [line.split(" ms  ")[1].split("  ")[0] for line in output.splitlines()]
    closed = steps.pop(steps.index(Step.CONNECTION_CLOSED.value))
    assert closed and "ended by its client" in output
    wanted = [Step.HANDED_IN, Step.ANSWERED, Step.ANSWER_WRITTEN, Step.CALL_WRITTEN]
    wanted += [Step.CALL_ENDED, Step.ENDED, Step.NOTICE_WRITTEN]
    assert steps == [step.value for step in wanted]
    assert CliRunner().invoke(command, ["show", str(path), "id2"]).exit_code == 2


def test_calls_after_the_final_result_are_listed(tmp_path):
    def rows(*steps):
        return [
            {"at": n, "id": "a", **facts, "step": step} for n, (step, facts) in enumerate(steps)
        ]

    written = (Step.CALL_WRITTEN, {"call": 1})
    given_up = (Step.CALL_ENDED, {"call": 1, "result": "timeout"})
    read, notified = (Step.HOST_ENDED_CONNECTION, {"call": 1}), (Step.NOTICE_WRITTEN, {})
    refused = (Step.ANSWERED, {"status": 503})
    assert not find_calls_after_end(rows(written, given_up, read, notified))
    assert (
        "not known to be read" in find_calls_after_end(rows(written, given_up, notified, read))["a"]
    )
    assert "written" in find_calls_after_end(rows(refused, written))["a"]


class FailingDisk(Disk):
    failing = False

    @classmethod
    def rename(cls, old, new):
        if cls.failing:
            raise OSError(errno.EIO, "rename")
        Disk.rename(old, new)


def test_trace_stays_within_its_limit_and_survives_disk_errors(tmp_path):
    machine, path, room = Kernel(ManualClock()), tmp_path / "trace", 4000
    machine.disk = FailingDisk()
    trace = Trace(machine, str(path), room)
    for n in range(300):
        FailingDisk.failing = n > 200
        trace.record(Step.HANDED_IN, f"id{n}", left=SECOND)
        assert sum(file.stat().st_size for file in tmp_path.iterdir()) <= room
    kept = [row["id"] for row in read_steps(path)]
    assert 20 < len(kept) < 60 and kept == sorted(kept, key=lambda ident: int(ident[2:]))
    with open(path, "ab") as file:
        file.write(json.dumps({"at": 1, "step": "handed in", "id": "torn"}).encode()[:20])
    assert [row["id"] for row in read_steps(path)] == kept
