"""How long an upgrade takes, and how long nobody is served, by the number of listed hosts.

    python benchmarks/upgrade.py --hosts 100 1000 3200 10000 --cores 1

Two processes of one relay on this machine, started as the platform starts them; no discovery and no
clients. `--cores 1` binds both to one core. Not part of CI. Absolute times depend on the machine;
compare the sizes of one run.
"""

import argparse
import json
import os
import re
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from datetime import datetime
from pathlib import Path
from socket import socket

CHECKOUT = Path(__file__).resolve().parents[1]
HOSTS_PER_DESTINATION = 1.5
START_LIMIT = 30.0  # seconds for a process to get ready
POLL_INTERVAL = 0.01  # seconds
SETTINGS = {
    "allowed": {
        "cancel": True,
        "connIdleMs": 10000.0,
        "connectTimeoutMs": 1500.0,
        "maxAttempts": 8,
        "maxOpen": 600,
        "maxRetryAfterMs": 2000.0,
        "parallelTries": False,
        "peers": False,
        "probing": False,
        "retryAfter": True,
        "streamsPerConn": 1,
    },
    "azs": ["zone-1"],
    "balancers": 1,
    "discovery": "on_request",
    "clientHabits": {"marksRetry": True},
    "extra": {
        "fades": "linear",
        "kindApart": [False],
        "perCall": [1],
        "maxCalls": 12,
        "refusalCost": 0.0,
        "feeByZone": [0.0],
    },
    "grades": [
        {
            "name": "update",
            "aimMs": 3000.0,
            "deadlineMs": 12000.0,
            "lateShare": 0.5,
            "semantics": "idempotent",
            "stream": False,
            "worth": 1.0,
        }
    ],
    "guarantees": {
        "answerSlackMs": 20.0,
        "askWithinMs": 10000.0,
        "coldFrom": 0.17,
        "drainGraceMs": 1000.0,
        "fallMs": 1500.0,
        "rampTimeMs": 10000.0,
        "settleAfterDoubtMs": 100.0,
        "tipMultiple": 2.0,
    },
    "machineTypes": ["hosts"],
    "me": 0,
    "overShareWorth": 0.1,
    "parties": [],
    "periodMs": 5.0,
    "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
    "weightSource": "silent",
    "workload": "deliver",
    "worthBy": "request",
}


def free_address() -> str:
    """Returns an address of loopback that was free a moment ago."""
    with socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % sock.getsockname()[1]


def write_config(folder: Path, host_count: int) -> Path:
    """Writes the configuration of a relay that knows that many hosts."""
    hosts = [
        {
            "name": f"host-{n:08x}",
            "address": f"127.0.0.1:{20000 + n}",
            "zone": "zone-1",
            "type": "hosts",
            "group": 1 + int(n / HOSTS_PER_DESTINATION),
            "status": "active",
            "weight": 1.0,
            "since_ms": 0,
        }
        for n in range(host_count)
    ]
    config = {
        "name": "relay",
        "listen": free_address(),
        "discovery": free_address(),
        "state": str(folder / "state"),
        "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 12},
        "known": {"index": 1, "snapshot": True, "endpoints": hosts},
        "settings": SETTINGS,
    }
    path = folder / "config.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    return path


class RelayProcess:
    """A process of the relay; `log` is the file with its log lines."""

    def __init__(self, folder: Path, config: Path, cores: int):
        self.admin, self.log = free_address(), folder / f"{time.monotonic_ns()}.log"
        environment = {**os.environ, "ROUTER_CONFIG": str(config), "ROUTER_ADMIN": self.admin}
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "molehill"], cwd=CHECKOUT, env=environment, stderr=log
            )
        if cores:
            os.sched_setaffinity(self.process.pid, sorted(os.sched_getaffinity(0))[:cores])

    def wait_ready(self) -> float:
        """Returns the seconds until it says that it is ready; RuntimeError if it does not."""
        started_at = time.monotonic()
        while time.monotonic() < started_at + START_LIMIT:
            try:
                with urllib.request.urlopen(f"http://{self.admin}/ready", timeout=1):
                    return time.monotonic() - started_at
            except (urllib.error.URLError, OSError):
                time.sleep(POLL_INTERVAL)
        raise RuntimeError(f"not ready in {START_LIMIT} s: {self.log.read_text()[-500:]}")

    def log_line(self, event: str) -> str:
        """Returns the last log line of that event; RuntimeError if there is none."""
        found = [line for line in self.log.read_text().splitlines() if f"event='{event}'" in line]
        if not found:
            raise RuntimeError(f"no line '{event}': {self.log.read_text()[-500:]}")
        return found[-1]


def fact(line: str, name: str) -> int:
    """Returns the number that a log line has for this name."""
    return int(re.search(rf"\b{name}=(\d+)", line)[1])


def logged_at(line: str) -> datetime:
    """Returns when the line was logged."""
    return datetime.fromisoformat(re.search(r"timestamp='([^']+)Z'", line)[1])


def measure(host_count: int, cores: int) -> dict:
    """Plays one upgrade; returns its times in milliseconds."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        config = write_config(folder, host_count)
        old = RelayProcess(folder, config, cores)
        processes = [old]
        try:
            old.wait_ready()
            new = RelayProcess(folder, config, cores)
            processes.append(new)
            yes = new.wait_ready()
            handed_over = old.log_line("handed over")
            start = logged_at(new.log_line("ready")) - logged_at(handed_over)
            return {
                "hosts": host_count,
                "yes_ms": round(yes * 1000),
                "copy_ms": fact(old.log_line("copied"), "ms"),
                "pause_old_ms": fact(handed_over, "ms"),
                "pause_new_ms": round(start.total_seconds() * 1000),
            }
        finally:
            for relay in processes:
                relay.process.kill()
                relay.process.wait()


def main() -> None:
    """Prints a line of JSON for each size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, nargs="+", default=[100, 1000, 3200, 10000])
    parser.add_argument("--cores", type=int, default=1, help="for both processes; 0: all")
    arguments = parser.parse_args()
    for host_count in arguments.hosts:
        print(json.dumps(measure(host_count, arguments.cores)), flush=True)


if __name__ == "__main__":
    main()
