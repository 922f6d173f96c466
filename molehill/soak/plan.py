"""What happens in one run, drawn from its seed."""

from dataclasses import dataclass, field
from random import Random

DESTINATIONS, HOSTS_PER_DESTINATION = 3, 3
HOSTS = [f"h{d}-{n}" for d in range(DESTINATIONS) for n in range(HOSTS_PER_DESTINATION)]
# what a host does with a call while it is in that mode
NOT_READING = "not reading"
FAULT_MODES = ("hang", "reset", "refuse", "wait", "down", "error", "slow")
KILL_DELAY_S = 3.7  # seconds from SIGTERM to SIGKILL: the soonest that the platform's page allows
START_DELAY_S = 0.6  # seconds from SIGKILL to the next process
SIGNAL_SERIES = (
    "SIGTERM",
    "SIGKILL",
    "SIGTERM",
    "SIGHUP SIGTERM",
    "SIGTERM SIGTERM SIGHUP",
    "SIGKILL SIGKILL",
)


@dataclass(slots=True)
class HostFault:
    """A host is in that mode for a while."""

    at: float
    duration: float
    host: str
    mode: str


@dataclass(slots=True)
class Drain:
    """A host turns `leaving`, and back to `active` after the span."""

    at: float
    duration: float
    host: str


@dataclass(slots=True)
class Outage:
    """Discovery answers 503 and ends its watches; notices are taken."""

    at: float
    duration: float


@dataclass(slots=True)
class Restart:
    """The relay is ended by these signals, one after another, and started again."""

    at: float
    signals: str


@dataclass(slots=True)
class Shim:
    """The relay's machine is wrong in that way for a while; `value` as of molehill/fleet/shims.py."""

    at: float
    duration: float
    kind: str
    value: float


@dataclass(slots=True)
class Plan:
    """Times in seconds from the run's beginning. `latency`: what a call's bytes take to its host."""

    seed: int
    duration: float
    latency: float = 0.0
    clients: int = 40
    idle_clients: int = 0  # clients that connect and say nothing
    paused: bool = False  # the process is stopped for up to `max_pause`, several times a second
    max_pause: float = 0.15
    max_read_delay: float = (
        0.0  # a third of new connections to hosts are read late by up to so much
    )
    withdraw_share: float = 0.0  # share of requests behind whose 202 the client leaves
    withdraw_bursts: list = field(
        default_factory=list
    )  # seconds at which all clients leave at once
    host_faults: list = field(default_factory=list)
    drains: list = field(default_factory=list)
    outages: list = field(default_factory=list)
    restarts: list = field(default_factory=list)
    shims: list = field(default_factory=list)


SHIM_VALUES = {
    "disk": (28, 5),  # ENOSPC, EIO
    "connect": (99, 101, 105),  # EADDRNOTAVAIL, ENETUNREACH, ENOBUFS
    "accept": (103, 24),  # ECONNABORTED, EMFILE
    "wall_ms": (3_600_000, -3_600_000),
    "slow_ms": (1, 2),
}


def draw_plan(seed: int, duration: float = 20.0) -> Plan:
    """A run of that many seconds. Drains are laid around the ends of processes, so that one crosses the other."""
    rng = Random(f"soak {seed}")
    plan = Plan(seed, duration)
    plan.latency = rng.choice([0.0, 0.01, 0.04])
    plan.paused = rng.random() < 0.6
    plan.idle_clients = rng.choice([0, 0, 60])
    # half of the hosts at once: requests wait to the end of their time
    for _ in range(rng.randrange(1, 4)):
        at, fault_duration = rng.uniform(1, duration - 4), rng.uniform(1, 6)
        for host in rng.sample(HOSTS, rng.randrange(2, len(HOSTS))):
            plan.host_faults.append(HostFault(at, fault_duration, host, rng.choice(FAULT_MODES)))
    at = rng.uniform(2, 5)
    while at < duration - 5 and rng.random() < 0.9:
        restart = Restart(at, rng.choice(SIGNAL_SERIES))
        plan.restarts.append(restart)
        for _ in range(rng.randrange(1, 3)):
            before = rng.uniform(-2.4, 0.5)
            drain = Drain(max(0.5, at - before), rng.uniform(4, 9), rng.choice(HOSTS))
            plan.drains.append(drain)
        if rng.random() < 0.3:
            plan.outages.append(Outage(at + KILL_DELAY_S * ("TERM" in restart.signals), 2.5))
        at += 6.0 + rng.uniform(0, 3)
    if rng.random() < 0.5:
        kind = rng.choice(list(SHIM_VALUES))
        value = float(rng.choice(SHIM_VALUES[kind]))
        begins = (
            plan.restarts[0].at - 1
            if plan.restarts and rng.random() < 0.6
            else rng.uniform(1, duration - 4)
        )
        plan.shims.append(Shim(max(0.5, begins), rng.uniform(0.3, 3), kind, value))
    draw_lateness(plan)
    for rows in (plan.host_faults, plan.drains):
        rows.sort(key=lambda row: row.at)
    return plan


READ_DELAYS_S = (0.0, 0.09, 0.25, 0.5, 1.5, 2.5)  # the last is beyond the time-out of a connect
MAX_PAUSES_S = (0.15, 0.15, 0.3)  # the last is beyond what the platform's page allows for


def draw_lateness(plan: Plan) -> None:
    """Hosts that read late or not at all for a while, and clients that leave; a stream of chance of its own keeps the other draws."""
    rng = Random(f"soak lateness {plan.seed}")
    plan.max_read_delay = rng.choice(READ_DELAYS_S)
    plan.max_pause = rng.choice(MAX_PAUSES_S)
    plan.withdraw_share = rng.choice((0.0, 0.0, 0.1))
    if rng.random() < 0.3:
        plan.withdraw_bursts = [rng.uniform(1, plan.duration - 2) for _ in range(2)]
    if rng.random() < 0.3:
        host = rng.choice(HOSTS)
        at, fault_duration = rng.uniform(1, plan.duration - 4), rng.uniform(0.3, 3)
        plan.host_faults.append(HostFault(at, fault_duration, host, NOT_READING))
