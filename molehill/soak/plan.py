"""What happens in one run, drawn from its seed."""

from dataclasses import dataclass, field
from random import Random

DESTINATIONS, HOSTS_EACH = 3, 3
HOSTS = [f"h{d}-{n}" for d in range(DESTINATIONS) for n in range(HOSTS_EACH)]
# what a host does with a call while it is in that mode
NOT_READING = "not reading"
MODES = ("hang", "reset", "refuse", "wait", "down", "error", "slow")
KILL_AFTER = 3.7  # seconds from SIGTERM to SIGKILL: the soonest that the platform's page allows
START_AFTER = 0.6  # seconds from SIGKILL to the next process
ENDS = (
    "SIGTERM",
    "SIGKILL",
    "SIGTERM",
    "SIGHUP SIGTERM",
    "SIGTERM SIGTERM SIGHUP",
    "SIGKILL SIGKILL",
)


@dataclass(slots=True)
class Trouble:
    """A host is in that mode for a while."""

    at: float
    span: float
    host: str
    mode: str


@dataclass(slots=True)
class Drain:
    """A host turns `leaving`, and back to `active` after the span."""

    at: float
    span: float
    host: str


@dataclass(slots=True)
class Outage:
    """Discovery answers 503 and ends its watches; notices are taken."""

    at: float
    span: float


@dataclass(slots=True)
class End:
    """The relay is ended by these signals, one after another, and started again."""

    at: float
    signals: str


@dataclass(slots=True)
class Shim:
    """The relay's machine is wrong in that way for a while; `worth` as of molehill/fleet/shims.py."""

    at: float
    span: float
    kind: str
    worth: float


@dataclass(slots=True)
class Plan:
    """Times in seconds from the run's beginning. `latency`: what a call's bytes take to its host."""

    seed: int
    span: float
    latency: float = 0.0
    clients: int = 40
    crowd: int = 0  # clients that connect and say nothing
    held_up: bool = False  # the process is stopped for up to `held_most`, several times a second
    held_most: float = 0.15
    read_late: float = 0.0  # a third of new connections to hosts are read late by up to so much
    leaving: float = 0.0  # share of requests behind whose 202 the client leaves
    bursts: list = field(default_factory=list)  # seconds at which all clients leave at once
    troubles: list = field(default_factory=list)
    drains: list = field(default_factory=list)
    outages: list = field(default_factory=list)
    ends: list = field(default_factory=list)
    shims: list = field(default_factory=list)


SHIMS = {
    "disk": (28, 5),  # ENOSPC, EIO
    "connect": (99, 101, 105),  # EADDRNOTAVAIL, ENETUNREACH, ENOBUFS
    "accept": (103, 24),  # ECONNABORTED, EMFILE
    "wall_ms": (3_600_000, -3_600_000),
    "slow_ms": (1, 2),
}


def drawn(seed: int, span: float = 20.0) -> Plan:
    """A run of that many seconds. Drains are laid around the ends of processes, so that one crosses the other."""
    chance = Random(f"soak {seed}")
    plan = Plan(seed, span)
    plan.latency = chance.choice([0.0, 0.01, 0.04])
    plan.held_up = chance.random() < 0.6
    plan.crowd = chance.choice([0, 0, 60])
    # half of the hosts at once: requests wait to the end of their time
    for _ in range(chance.randrange(1, 4)):
        at, length = chance.uniform(1, span - 4), chance.uniform(1, 6)
        for host in chance.sample(HOSTS, chance.randrange(2, len(HOSTS))):
            plan.troubles.append(Trouble(at, length, host, chance.choice(MODES)))
    at = chance.uniform(2, 5)
    while at < span - 5 and chance.random() < 0.9:
        end = End(at, chance.choice(ENDS))
        plan.ends.append(end)
        for _ in range(chance.randrange(1, 3)):
            before = chance.uniform(-2.4, 0.5)
            drain = Drain(max(0.5, at - before), chance.uniform(4, 9), chance.choice(HOSTS))
            plan.drains.append(drain)
        if chance.random() < 0.3:
            plan.outages.append(Outage(at + KILL_AFTER * ("TERM" in end.signals), 2.5))
        at += 6.0 + chance.uniform(0, 3)
    if chance.random() < 0.5:
        kind = chance.choice(list(SHIMS))
        worth = float(chance.choice(SHIMS[kind]))
        begins = (
            plan.ends[0].at - 1
            if plan.ends and chance.random() < 0.6
            else chance.uniform(1, span - 4)
        )
        plan.shims.append(Shim(max(0.5, begins), chance.uniform(0.3, 3), kind, worth))
    draw_lateness(plan)
    for rows in (plan.troubles, plan.drains):
        rows.sort(key=lambda row: row.at)
    return plan


READ_LATE = (0.0, 0.09, 0.25, 0.5, 1.5, 2.5)  # the last is beyond the time-out of a connect
HELD_MOST = (0.15, 0.15, 0.3)  # the last is beyond what the platform's page allows for


def draw_lateness(plan: Plan) -> None:
    """Hosts that read late or not at all for a while, and clients that leave; a stream of chance of its own keeps the other draws."""
    chance = Random(f"soak lateness {plan.seed}")
    plan.read_late = chance.choice(READ_LATE)
    plan.held_most = chance.choice(HELD_MOST)
    plan.leaving = chance.choice((0.0, 0.0, 0.1))
    if chance.random() < 0.3:
        plan.bursts = [chance.uniform(1, plan.span - 2) for _ in range(2)]
    if chance.random() < 0.3:
        host = chance.choice(HOSTS)
        at, length = chance.uniform(1, plan.span - 4), chance.uniform(0.3, 3)
        plan.troubles.append(Trouble(at, length, host, NOT_READING))
