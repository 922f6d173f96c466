"""How long an upgrade takes, and how long nobody is served, by the number of listed hosts.

    PYTHONPATH=. python benchmarks/upgrade.py --hosts 100 1000 3200 10000 --cores 1

Two processes of one relay on this machine, started as the platform starts them; no discovery and no
clients. `--cores 1` binds both to one core. Not part of CI. Absolute times depend on the machine;
compare the sizes of one run.
"""

import argparse
import itertools
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

from molehill.soak.rig import loopback_address, settings

CHECKOUT = Path(__file__).resolve().parents[1]
HOSTS_PER_DESTINATION = 1.5
START_LIMIT = 30.0  # seconds for a process to get ready
POLL_INTERVAL = 0.01  # seconds
ADDRESS = loopback_address(0)
LISTEN_PORT, DISCOVERY_PORT, FIRST_HOST_PORT = 8081, 8500, 20000
ADMIN_PORTS = itertools.count(9000)  # one for each process


def write_config(folder: Path, host_count: int) -> Path:
    """Writes the configuration of a relay that knows that many hosts."""
    relay_settings = settings()
    zone, kind = relay_settings["azs"][0], relay_settings["machineTypes"][0]
    hosts = [
        {
            "name": f"host-{n:08x}",
            "address": f"{ADDRESS}:{FIRST_HOST_PORT + n}",
            "zone": zone,
            "type": kind,
            "group": 1 + int(n / HOSTS_PER_DESTINATION),
            "status": "active",
            "weight": 1.0,
        }
        for n in range(host_count)
    ]
    config = {
        "name": "relay",
        "listen": f"{ADDRESS}:{LISTEN_PORT}",
        "discovery": f"{ADDRESS}:{DISCOVERY_PORT}",
        "state": str(folder / "state"),
        "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 12},
        "known": {"index": 1, "snapshot": True, "endpoints": hosts},
        "settings": relay_settings,
    }
    path = folder / "config.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    return path


class RelayProcess:
    """A process of the relay; `log` is the file with its log lines."""

    def __init__(self, folder: Path, config: Path, cores: int):
        self.admin = f"{ADDRESS}:{next(ADMIN_PORTS)}"
        self.log = folder / f"{self.admin}.log"
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
