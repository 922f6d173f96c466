"""Draws the plan of a run from a seed.

Each kind of fault has a random stream of its own, so that a new kind leaves the other draws of a
seed as they were.
"""

from random import Random

from molehill.soak.plan import (
    HOSTS,
    KILL_DELAY_S,
    NOT_READING,
    REPLACEMENT_DRAIN_S,
    Copies,
    CrowdedDiscovery,
    Drain,
    HostFault,
    Move,
    Outage,
    Plan,
    Replacement,
    Restart,
    Shim,
    Silence,
    SlowDiscovery,
    StalledLists,
)

FAULT_MODES = ("hang", "reset", "refuse", "wait", "down", "error", "slow")
SIGNAL_SERIES = (
    "SIGTERM",
    "SIGKILL",
    "SIGTERM",
    "SIGHUP SIGTERM",
    "SIGTERM SIGTERM SIGHUP",
    "SIGKILL SIGKILL",
)
SHIM_VALUES = {
    "disk": (28, 5),  # ENOSPC, EIO
    "connect": (99, 101, 105),  # EADDRNOTAVAIL, ENETUNREACH, ENOBUFS
    "accept": (103, 24),  # ECONNABORTED, EMFILE
    "wall_ms": (3_600_000, -3_600_000),
    "slow_ms": (1, 2),
}


def draw_plan(seed: int, duration: float = 20.0) -> Plan:
    """Returns the plan of a run of `duration` seconds.

    Drains are placed around the restarts, so that the two overlap.
    """
    rng = Random(f"soak {seed}")
    plan = Plan(seed, duration)
    plan.latency = rng.choice([0.0, 0.01, 0.04])
    plan.paused = rng.random() < 0.6
    plan.idle_clients = rng.choice([0, 0, 60])
    # About half of the hosts fail at once, so that requests wait until their deadline.
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
    plan.copies = draw_copies(seed)
    draw_stalled_lists(plan)
    draw_discovery(plan)
    draw_crowded_discovery(plan)
    draw_kill_series(plan)
    draw_replacements(plan)
    for rows in (plan.host_faults, plan.drains):
        rows.sort(key=lambda row: row.at)
    return plan


READ_DELAYS_S = (0.0, 0.09, 0.25, 0.5, 1.5, 2.5)  # the last exceeds the connect timeout
MAX_PAUSES_S = (0.15, 0.15, 0.3)  # the last exceeds what the platform's rules allow for


def draw_lateness(plan: Plan) -> None:
    """Adds hosts that read late or not at all for a while, and clients that withdraw requests.

    It has a random stream of its own, so that the other draws of a seed stay the same.
    """
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


STALLED_DRAIN_S = 14.0  # longer than a relay may go without the list, and the grace


def draw_stalled_lists(plan: Plan) -> None:
    """Adds lists that stop in the middle as a host drains, from a random stream of its own.

    A run that ends before such a drain does could not show a call past its grace.
    """
    if plan.duration < STALLED_DRAIN_S:
        return
    rng = Random(f"soak lists {plan.seed}")
    if rng.random() < 0.3:
        at = rng.uniform(1, 4)
        plan.stalled_lists.append(StalledLists(at, rng.choice((1, 1, 2))))
        plan.drains.append(Drain(at + 0.1, STALLED_DRAIN_S, rng.choice(HOSTS)))


SILENT_REQUESTS = (0, 1, 1, 2, 3)  # behind the one that waits
ANSWER_DELAYS_S = (0.5, 1.5, 3.0, 4.5)  # around the relay's own time-outs
MOVE_INTERVAL_S = 0.7  # between two moves of discovery


def draw_discovery(plan: Plan) -> None:
    """Adds discovery that is silent, slow or moves, from a random stream of its own."""
    rng = Random(f"soak discovery {plan.seed}")
    if rng.random() < 0.4:
        at = rng.uniform(0.5, 4)
        plan.silences.append(Silence(at, rng.choice(SILENT_REQUESTS)))
        drained = rng.sample(HOSTS, 2)
        plan.drains += [Drain(at + rng.uniform(0.1, 2), plan.duration, host) for host in drained]
    if rng.random() < 0.3:
        at, span = rng.uniform(1, plan.duration - 4), rng.uniform(2, 8)
        plan.slow_discovery.append(SlowDiscovery(at, span, rng.choice(ANSWER_DELAYS_S)))
    if rng.random() < 0.4:
        at = rng.uniform(2, plan.duration - 2)
        plan.moves = [Move(at, rng.choice((0, 0, 1, 2)))]
        if rng.random() < 0.3:
            plan.moves.append(Move(at + MOVE_INTERVAL_S))


CROWD_WAITS_S = (0.0, 0.0, 0.5, 2.0)  # until discovery turns a request away
CROWDED_S = 4.0, 14.0  # shortest and longest; news counts as known after 6 s


def draw_crowded_discovery(plan: Plan) -> None:
    """Adds a discovery that turns requests away, from a random stream of its own.

    Hosts drain as it begins and later, and some moves find the process stopped.
    """
    rng = Random(f"soak crowd {plan.seed}")
    for move in plan.moves:
        move.frozen = rng.choice((0.0, MAX_FROZEN_S))
    if rng.random() < 0.4:
        at = rng.uniform(0.5, max(1.0, plan.duration - 8))
        wait, resets = rng.choice(CROWD_WAITS_S), rng.random() < 0.3
        crowd = CrowdedDiscovery(at, rng.uniform(*CROWDED_S), wait, resets)
        plan.crowded_discovery.append(crowd)
        drained = rng.sample(HOSTS, 2)
        plan.drains += [Drain(at + rng.uniform(0.1, 3), plan.duration, host) for host in drained]


MAX_STARTUP_S = 0.5  # a process is ready by then, on a machine that is not busy


MAX_FROZEN_S = 0.1
MIN_FLOODED_S = 14.0  # a shorter run is little else but the flood's begin


def draw_kill_series(plan: Plan) -> None:
    """Adds kills behind an answer and during a start, and a flood; has a random stream of its own.

    A kill during a start makes a restart longer, so that a short run has no room for several.
    """
    rng = Random(f"soak kills {plan.seed}")
    flooding_clients = rng.choice((0, 0, 60))
    if plan.duration >= MIN_FLOODED_S:
        plan.flooding_clients = flooding_clients
    for restart in plan.restarts:
        restart.behind_answer = rng.random() < 0.5
        count = rng.choice((0, 0, 1, 2))
        restart.startup_kills = tuple(rng.uniform(0, MAX_STARTUP_S) for _ in range(count))
        if not restart.behind_answer:
            restart.frozen = rng.choice((0.0, 0.0, MAX_FROZEN_S))


def draw_replacements(plan: Plan) -> None:
    """Adds hosts whose address another host takes, from a random stream of its own."""
    if plan.duration < REPLACEMENT_DRAIN_S + 4:
        return
    rng = Random(f"soak replacements {plan.seed}")
    busy = {row.host for row in (*plan.drains, *plan.host_faults)}
    free = [host for host in HOSTS if host not in busy]
    for host in rng.sample(free, min(len(free), rng.choice((0, 1, 2)))):
        at = rng.uniform(0.5, plan.duration - REPLACEMENT_DRAIN_S - 3)
        plan.replacements.append(Replacement(at, host, rng.choice((0.0, 1.0, 2.0))))


COPY_DELAYS_S = (0.0, 0.01, 0.1, 1.0)  # the longest is beyond the time of most calls


def draw_copies(seed: int) -> Copies:
    """Draws which answers are written twice, from a random stream of its own."""
    rng = Random(f"soak copies {seed}")
    return Copies(
        share=rng.choice((0.0, 0.05, 0.3)),
        max_delay=rng.choice(COPY_DELAYS_S),
        cut_share=rng.choice((0.0, 0.0, 0.3)),
        distinct_bodies=rng.random() < 0.8,
    )
