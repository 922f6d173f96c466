"""A scenario: plain data that says who exists, what load arrives, and which faults occur when.

It is read from TOML and written in the same form. Times are whole milliseconds from the start of
the run (`_ms`), shares are from 0 to 1. An invalid file raises ScenarioError, whose text names the
key, as `$.faults[2].at_ms`.
"""

import tomllib

import msgspec
import tomli_w


class ScenarioError(Exception):
    """A scenario that cannot be used; the text names the key."""


# Base of all parts of a scenario; unknown keys are errors.
class ScenarioPart(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    pass


class Category(ScenarioPart):
    """A class of callbacks."""

    name: str
    # idempotent, deduplicated or at_most_once, as the platform calls them
    effect: str
    span_ms: int  # time limit, from submission on
    goal_ms: int = 0
    payoff: float = 1.0
    ordered: bool = False
    window_ms: int = 0
    scope: str = "all"  # of deduplicated: zone or all

    @property
    def span(self) -> int:
        """Return the time limit in nanoseconds."""
        return self.span_ms * 1_000_000


class EndpointPlan(ScenarioPart):
    """The hosts of one destination."""

    destination: int
    hosts: int = 2
    kind: str = "plain"
    span_ms: float = 20.0  # usual duration of a call
    slots: int = 16
    queue: int = 32
    rate: int = 0  # calls a second and host; 0: no limit is advertised
    zones: int = 2


class ProgramPlan(ScenarioPart):
    """A program that submits callbacks."""

    rate: float  # callbacks a second
    destinations: list[int]
    keys: int = 20
    tries: int = 4
    heeds: bool = True
    once: bool = False
    leaves: float = 0.0
    categories: list[str] = []  # all, if empty


class Surge(ScenarioPart):
    """A time during which all programs submit `by` times their rate."""

    at_ms: int
    span_ms: int
    by: float


class StrangersPlan(ScenarioPart):
    """Misbehaving clients: share of copied ids, and other bad connections a second."""

    copies: float = 0.0
    rate: float = 0.0


class Fault(ScenarioPart):
    """A fault on `who`, for `span_ms`; the kind says what `worth` (its severity) means.

    `who` is a relay (relay0), a host (h3-0) or platform. For faults on the network between two
    parties it is `A>B` (what A sends to B) or `A<>B` (both directions), where A and B are names,
    separated by commas if several, or `relays`, `hosts`.
    """

    kind: str
    at_ms: int
    who: str
    span_ms: int = 0
    worth: float = 0.0


class FleetPlan(ScenarioPart):
    """Membership among the relays; spans as in a relay's file (`roundMs` and so on)."""

    spans: dict[str, float] = {}
    # Seeds of each relay when emulated. On real processes all others are, each behind its cable.
    seeds: int = 3


class Scenario(ScenarioPart):
    """All parties, load and faults of one run."""

    seed: int
    # How long load arrives; the run goes on until all accepted callbacks have completed.
    span_ms: int
    relays: int
    categories: list[Category]
    endpoints: list[EndpointPlan]
    programs: list[ProgramPlan]
    faults: list[Fault] = []
    surges: list[Surge] = []
    fleet: FleetPlan | None = None
    strangers: StrangersPlan = msgspec.field(default_factory=StrangersPlan)
    sockets: int = 256
    disk_kb: int = 3000
    max_held: int = 400
    slots: int = 32  # concurrent calls of one relay
    settle_ms: int = 500
    per_call: int = 4  # callbacks in a call to hosts of kind "bundle"
    # The run fails if programs find no free connection in more than this share of their tries.
    crowd_share: float = 0.2
    note: str = ""


# kind -> the kind of party that it affects; the comments say what `worth` means
FAULTS = {
    # Killed at once; killed after so many of its own steps (worth).
    "kill": "relay",
    "kill_step": "relay",
    # Killed, and killed again after so many steps of the recovery (worth).
    "kill_again": "relay",
    "restart": "relay",
    "hup": "relay",
    "spoil": "relay",
    "freeze": "relay",
    "lose_disk": "relay",
    "disk_full": "relay",
    "disk_failing": "relay",
    "short_writes": "relay",
    "few_descriptors": "relay",
    "silent": "host",
    "erring": "host",
    "refusing": "host",
    "shut": "host",
    "slow": "host",
    "spoilt": "host",
    "dead": "host",
    "vanished": "host",
    "drain": "host",
    # Each answer is written once more, up to so many ms later (worth).
    "copies": "host",
    "lag": "platform",
    "outage": "platform",
    "lost_answers": "platform",
    "move": "platform",
    # A second process is started beside the first; one of the two is killed or hangs after so many
    # of its own steps from then on (worth).
    "upgrade": "relay",
    "upgrade_new_dies": "relay",
    "upgrade_old_dies": "relay",
    "upgrade_new_hangs": "relay",
    "upgrade_old_hangs": "relay",
    # With many relays: a share of them is killed at once (worth), all hosts of one zone vanish
    # (worth: its index), the limits of all destinations are lowered to a share (worth).
    "herd": "platform",
    "zone_dark": "platform",
    "lower": "platform",
    # New settings at SIGHUP with so many allowed attempts (worth); 0: a broken file.
    "retune": "relay",
    # On the network between two parties. Bytes of a connection wait and arrive in order; datagrams
    # (the messages among relays) are lost, or wait.
    # Nothing gets through; or everything arrives at once at the end of the span.
    "cut": "pair",
    "burst": "pair",
    # Late by so many ms, plus or minus half (worth); limited to so many bytes a second (worth).
    "delay": "pair",
    "narrow": "pair",
    # Affects that share of datagrams (worth).
    "lose": "pair",
    "repeat": "pair",
    "reorder": "pair",
    "spoil_bytes": "pair",
    # On real processes only, except for wall_step.
    "starve": "relay",  # so many busy processes (worth) share its core
    # From its next start on its wall clock is so many ms off; it gains that share (worth).
    "clock": "relay",
    "drift": "relay",
    # Its wall clock is stepped by so many ms (worth), permanently. Its calls on sockets or on files
    # fail with that errno (worth).
    "wall_step": "relay",
    "accept_error": "relay",
    "connect_error": "relay",
    "disk_error": "relay",
    # So many forged datagrams a second (worth) arrive at its membership address.
    "flood": "relay",
    # Killed, and started from the older version of the program for that span.
    "older": "relay",
}

STREAM_FAULTS = ("cut", "burst", "delay", "narrow")
EMULATED_ONLY = (
    "kill_step",
    "kill_again",
    "spoil",
    "disk_failing",
    "short_writes",
    "upgrade_new_dies",
    "upgrade_old_dies",
    # These kinds count steps, or need a disk that fails on demand.
    "upgrade_new_hangs",
    "upgrade_old_hangs",
)
PROCESSES_ONLY = (
    "starve",
    "clock",
    "drift",
    "older",
    "flood",
    "accept_error",
    "connect_error",
    "disk_error",
)
# On real processes they need molehill/fleet/shims.py.
SHIMMED = ("wall_step", "accept_error", "connect_error", "disk_error")
STAGES = ("emulated", "processes")


def load(text: str) -> Scenario:
    """Read a scenario from TOML; raises ScenarioError."""
    try:
        return check(msgspec.convert(tomllib.loads(text), Scenario))
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"not TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise ScenarioError(str(error)) from None


def dump(scenario: Scenario) -> str:
    """Return the scenario as TOML."""
    return tomli_w.dumps(msgspec.to_builtins(scenario))


def check(scenario: Scenario) -> Scenario:
    """Check what the types do not express, and return the scenario; raises ScenarioError."""

    def require(condition, key, text):
        if not condition:
            raise ScenarioError(f"$.{key}: {text}")

    require(scenario.relays > 0, "relays", "at least one is needed")
    require(scenario.span_ms > 0, "span_ms", "must be positive")
    require(scenario.sockets >= 32, "sockets", "a relay needs 32")
    require(scenario.categories, "categories", "must not be empty")
    require(scenario.endpoints, "endpoints", "must not be empty")
    names, places = (
        {c.name for c in scenario.categories},
        {e.destination for e in scenario.endpoints},
    )
    for n, c in enumerate(scenario.categories):
        require(
            c.effect in ("idempotent", "deduplicated", "at_most_once"),
            f"categories[{n}].effect",
            f"'{c.effect}' is unknown",
        )
        require(
            c.scope in ("zone", "all"),
            f"categories[{n}].scope",
            f"'{c.scope}' is neither zone nor all",
        )
        require(c.span_ms > 0, f"categories[{n}].span_ms", "must be positive")
    for n, e in enumerate(scenario.endpoints):
        require(
            e.hosts > 0 and e.slots > 0 and e.zones > 0,
            f"endpoints[{n}]",
            "hosts, slots and zones are at least one",
        )
    for n, p in enumerate(scenario.programs):
        require(p.rate > 0, f"programs[{n}].rate", "must be positive")
        require(
            p.destinations and set(p.destinations) <= places,
            f"programs[{n}].destinations",
            "empty, or a destination without an endpoint",
        )
        require(set(p.categories) <= names, f"programs[{n}].categories", "a category is unknown")
    relays = {f"relay{n}" for n in range(scenario.relays)}
    hosts = {f"h{e.destination}-{n}" for e in scenario.endpoints for n in range(e.hosts)}
    for n, f in enumerate(scenario.faults):
        require(f.kind in FAULTS, f"faults[{n}].kind", f"'{f.kind}' is unknown")
        if FAULTS[f.kind] == "pair":
            ways = directions(scenario, f.who)
            require(
                ways,
                f"faults[{n}].who",
                f"'{f.who}' is not A>B or A<>B of a relay and another party, or of two relays",
            )
            among = all(a in relays and b in relays for a, b in ways)
            require(
                among or f.kind in STREAM_FAULTS,
                f"faults[{n}].kind",
                f"'{f.kind}' falls on datagrams, which only relays send each other",
            )
        else:
            fits = {"relay": relays, "host": hosts, "platform": {"platform"}}[FAULTS[f.kind]]
            require(
                f.who in fits,
                f"faults[{n}].who",
                f"'{f.who}' is not a {FAULTS[f.kind]} of this scenario",
            )
        require(f.at_ms >= 0 and f.span_ms >= 0, f"faults[{n}].at_ms", "times must not be negative")
    return scenario


def directions(scenario: Scenario, who: str) -> list[tuple[str, str]]:
    """Return (from, to) for each direction that `A>B` or `A<>B` names.

    Empty where it names none, or one without a relay at either end.
    """
    relays = [f"relay{n}" for n in range(scenario.relays)]
    hosts = [f"h{e.destination}-{n}" for e in scenario.endpoints for n in range(e.hosts)]
    known = {
        **{name: [name] for name in [*relays, *hosts, "platform"]},
        "relays": relays,
        "hosts": hosts,
    }
    left, arrow, right = who.partition("<>")
    both = bool(arrow)
    if not both:
        left, arrow, right = who.partition(">")
    sides = [
        [name for word in side.split(",") for name in known.get(word.strip(), [None])]
        for side in (left, right)
    ]
    if not arrow or None in sides[0] + sides[1]:
        return []
    ways = [(a, b) for a in sides[0] for b in sides[1] if a != b]
    ways += [(b, a) for a, b in ways] if both else []
    return ways if all(a in relays or b in relays for a, b in ways) else []


def for_stage(scenario: Scenario, stage: str) -> Scenario:
    """Return the scenario if that stage can play it; else raise ScenarioError for the fault."""
    other = EMULATED_ONLY if stage == "processes" else PROCESSES_ONLY
    for n, fault in enumerate(scenario.faults):
        if fault.kind in other:
            raise ScenarioError(
                f"$.faults[{n}].kind: '{fault.kind}' can't be played on stage {stage}"
            )
    return scenario
