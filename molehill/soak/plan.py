"""Describes what happens in one run: faults, drains, restarts and the clients' behavior."""

from dataclasses import dataclass, field

DESTINATIONS, HOSTS_PER_DESTINATION = 3, 3
HOSTS = [f"h{d}-{n}" for d in range(DESTINATIONS) for n in range(HOSTS_PER_DESTINATION)]
# hosts of this destination take several messages a call
BUNDLE_DESTINATION, SINGLE_KIND, BUNDLE_KIND, BUNDLE_SIZE = 2, "m", "b", 5
# what a host does with a call while it is in one of these modes
NOT_READING = "not reading"
KILL_DELAY_S = 3.7  # from SIGTERM to SIGKILL: the shortest time that the platform's rules allow
REPLACEMENT_DRAIN_S = 8.0  # a drain counts as told 6 s after it, whatever became of the list
START_DELAY_S = 0.6  # from SIGKILL to the start of the next process


@dataclass(slots=True)
class HostFault:
    """A host is in the mode `mode` for `duration` seconds from `at` on."""

    at: float
    duration: float
    host: str
    mode: str


@dataclass(slots=True)
class Drain:
    """A host's status becomes `leaving`, and `active` again after `duration` seconds."""

    at: float
    duration: float
    host: str


@dataclass(slots=True)
class Outage:
    """Discovery answers 503, also to its watches; notices are still accepted."""

    at: float
    duration: float


@dataclass(slots=True)
class StalledLists:
    """From `at` on, the next `count` lists stop in the middle; their connections stay open."""

    at: float
    count: int


@dataclass(slots=True)
class Silence:
    """From `at` on, discovery ignores the requests that wait then and the next `count` ones.

    Their connections stay open. Requests after those are answered.
    """

    at: float
    count: int = 0


@dataclass(slots=True)
class SlowDiscovery:
    """For `duration` seconds from `at` on, discovery takes `delay` seconds for each answer."""

    at: float
    duration: float
    delay: float


@dataclass(slots=True)
class CrowdedDiscovery:
    """For `duration` seconds from `at` on, discovery is up, and turns each new request away.

    It does so `wait` seconds after the request, by 503, or by a reset if `resets`. A request that
    waits for news already is answered as ever.
    """

    at: float
    duration: float
    wait: float = 0.0
    resets: bool = False


@dataclass(slots=True)
class Move:
    """Discovery moves to another address, which the relay is told by SIGHUP.

    `silent`: so many of the first requests there are ignored; `frozen`: the process is stopped so
    many seconds before the SIGHUP, so that what it is sent meanwhile lies unread.
    """

    at: float
    silent: int = 0
    frozen: float = 0.0


@dataclass(slots=True)
class Replacement:
    """A host's status becomes `leaving`, and `drain` seconds later it has left.

    `vacant` seconds after that a host of another destination is active at its address; until then
    nobody listens there.
    """

    at: float
    host: str
    vacant: float = 0.0
    drain: float = REPLACEMENT_DRAIN_S


@dataclass(slots=True)
class Restart:
    """The relay gets these signals (separated by spaces) in order, and is started again.

    `behind_answer`: each SIGKILL follows at once on the next answer that accepts a request;
    `frozen`: the process is stopped so many seconds before each SIGKILL, so that what it is sent
    meanwhile stays unread;
    `startup_kills`: the processes that are started next are killed so many seconds after their
    start, whether they are ready or not.
    """

    at: float
    signals: str
    behind_answer: bool = False
    startup_kills: tuple[float, ...] = ()
    frozen: float = 0.0


@dataclass(slots=True)
class Attack:
    """For `duration` seconds from `at` on, a process runs clients of molehill/soak/attackers.py.

    `kind`: the name of what they send; `is_frozen`: the relay's process is stopped meanwhile.
    """

    at: float
    duration: float
    kind: str
    clients: int = 1
    is_frozen: bool = False


@dataclass(slots=True)
class Shim:
    """The relay's machine has a fault; `kind` and `value` are those of molehill/fleet/shims.py."""

    at: float
    duration: float
    kind: str
    value: float


@dataclass(slots=True)
class Copies:
    """A share of all answers is written once more, up to `max_delay` seconds later.

    Of these copies, a share of `cut_share` ends in the middle. `distinct_bodies`: no two answers
    with 200 have the same body; otherwise all have.
    """

    share: float = 0.0
    max_delay: float = 0.0
    cut_share: float = 0.0
    distinct_bodies: bool = True


@dataclass(slots=True)
class Plan:
    """What happens in one run; times are seconds since its start.

    `latency`: seconds that a call's bytes take to its host.
    """

    seed: int
    duration: float
    latency: float = 0.0
    clients: int = 40
    idle_clients: int = 0  # clients that connect and send nothing
    flooding_clients: int = 0  # clients that send nearly all of a large request, and stay
    sockets: int = 256  # descriptors that the relay's configuration allows
    paused: bool = False  # the process is stopped several times a second
    max_pause: float = 0.15  # longest of these stops, in seconds
    # seconds by which a third of the new connections to hosts are read late at most
    max_read_delay: float = 0.0
    withdraw_share: float = 0.0  # share of requests after whose 202 the client closes
    # times at which all clients withdraw their requests at once
    withdraw_bursts: list = field(default_factory=list)
    host_faults: list = field(default_factory=list)
    drains: list = field(default_factory=list)
    outages: list = field(default_factory=list)
    stalled_lists: list = field(default_factory=list)
    silences: list = field(default_factory=list)
    slow_discovery: list = field(default_factory=list)
    crowded_discovery: list = field(default_factory=list)
    moves: list = field(default_factory=list)
    replacements: list = field(default_factory=list)
    restarts: list = field(default_factory=list)
    attacks: list = field(default_factory=list)
    shims: list = field(default_factory=list)
    copies: Copies = field(default_factory=Copies)
