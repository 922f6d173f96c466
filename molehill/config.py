"""Configuration: read, checked and given defaults in this one place, for the relay and for the bench's adapter.

A message about a faulty value names its key: `settings.allowed.connIdleMs: 'x' is not a time`.
"""

import json
import os
import re
from dataclasses import dataclass, fields, replace
from typing import Optional

from molehill import interface

EFFECTS = {
    "idempotent": interface.DeliverySemantics.IDEMPOTENT,
    "deduplicated": interface.DeliverySemantics.DEDUPLICATED,
    "at_most_once": interface.DeliverySemantics.AT_MOST_ONCE,
}
NS_DIGITS = 6  # a millisecond holds 10^6 nanoseconds
MS = 10**NS_DIGITS
SECOND = 1000 * MS
NUMBER = re.compile(r"(-?)([0-9]{1,30})(?:\.([0-9]{0,30}))?(?:[eE]([+-]?[0-9]{1,3}))?$", re.ASCII)


class ConfigError(Exception):
    """A value that can't be used; the text names the key."""


def nanos(text: str, digits: int = NS_DIGITS) -> int:
    """Milliseconds (10^digits ns) as text to whole nanoseconds, exactly; what lies below a nanosecond is cut."""
    found = NUMBER.match(text)
    if not found:
        raise ConfigError(f"'{text}' is not a time")
    sign, whole_part, part, power = found.groups()
    part = part or ""
    shift = digits - len(part) + int(power or 0)
    number = int(whole_part + part)
    value = number * 10**shift if shift >= 0 else number // 10**-shift
    return -value if sign else value


def whole(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise ConfigError(f"'{text}' is not a whole number") from None


def real(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        raise ConfigError(f"'{text}' is not a number") from None


def named(text: str, table: dict):
    try:
        return table[text]
    except KeyError:
        raise ConfigError(f"'{text}' is not one of {', '.join(table)}") from None


def flag(text: str) -> bool:
    return text in ("true", "1")


def flat(value, path: str = "") -> dict[str, str]:
    """Nested JSON as the bench's path=value pairs: rows of scalars by commas, rows of objects by count."""
    if isinstance(value, dict):
        return {
            key: text
            for name, part in value.items()
            for key, text in flat(part, f"{path}.{name}" if path else name).items()
        }
    if isinstance(value, list) and any(isinstance(part, (dict, list)) for part in value):
        pairs = {f"{path}.count": str(len(value))}
        for n, part in enumerate(value):
            pairs.update(flat(part, f"{path}.{n}"))
        return pairs
    if isinstance(value, list):
        return {path: ",".join(scalar(part) for part in value)}
    return {path: scalar(value)}


class Figure(str):
    """A number as the file spells it; other text in its place is no number."""


def no_number(text):
    raise ConfigError(f"{text} is no number that can be used")


LISTS = ("known", "fleet.seeds")
DEDUPLICATED_ONLY = ("dedupScope", "dedupWindowMs")


def keys_of(value, path: str = "") -> set[str]:
    """The keys that a file names, by path; by `*` those that each row of a list has, but for what only some effects need.
    Not those below lists by name: of hosts, which is none of ours, and of seeds, which come and go."""
    found = {path} if path else set()
    if isinstance(value, dict) and path not in LISTS:
        for name, part in value.items():
            found |= keys_of(part, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and value and all(isinstance(row, dict) for row in value):
        common = set.intersection(*(keys_of(row, f"{path}.*") for row in value))
        found |= {key for key in common if not key.endswith(DEDUPLICATED_ONLY)}
    return found


def scalar(value) -> str:
    return (
        "-"
        if value is None
        else ("false", "true")[value]
        if isinstance(value, bool)
        else str(value)
    )


class Reader:
    """Values by path; absent ones ('-' or empty) get the default."""

    def __init__(self, given: dict[str, str], prefix: str = ""):
        self.given, self.prefix = given, prefix

    def get(self, path, read, absent):
        text = self.given.get(path, "")
        if text in ("", "-"):
            return absent
        try:
            return read(text)
        except ConfigError as error:
            raise ConfigError(f"{self.prefix}{path}: {error}") from None

    def row(self, path, read=str):
        return self.get(path, lambda text: [read(part) for part in text.split(",")], [])


def settings(given: dict[str, str], prefix: str = "") -> interface.Settings:
    """What the module goes by; unknown keys are passed over, absent ones left to the defaults."""
    reader = Reader(given, prefix)
    get, row = reader.get, reader.row
    categories = []
    for n in range(get("grades.count", whole, 0)):
        at = f"grades.{n}."
        scope = given.get(at + "dedupScope", "")
        categories.append(
            interface.CallbackClass(
                get(
                    at + "semantics",
                    lambda text: named(text, EFFECTS),
                    interface.DeliverySemantics.AT_MOST_ONCE,
                ),
                get(at + "aimMs", nanos, 0),
                get(at + "deadlineMs", nanos, 0),
                get(at + "worth", real, 1.0),
                get(at + "lateShare", real, 0.0),
                get(at + "dedupWindowMs", nanos, 0),
                scope == "zone",
                scope == "all",
                get(at + "serialByKey", flag, False),
            )
        )
    tenants = [
        interface.Tenant(
            get(f"parties.{n}.share", real, 0.0), get(f"parties.{n}.quotaPerS", real, None)
        )
        for n in range(get("parties.count", whole, 0))
    ]
    apart, per_call = row("extra.kindApart", flag), row("extra.perCall", whole)
    kinds = [
        interface.HostKind(
            n < len(apart) and apart[n], max(1, per_call[n]) if n < len(per_call) else 1
        )
        for n in range(max(len(apart), len(per_call)))
    ]
    return interface.Settings(
        callback_classes=categories,
        tenants=tenants,
        kinds=kinds,
        zone_fees=row("extra.feeByZone", real),
        relay_count=get("balancers", whole, 1),
        max_calls=get("extra.maxCalls", whole, 1),
        max_pending=get("allowed.maxOpen", whole, None),
        max_attempts=get("allowed.maxAttempts", whole, 1),
        sends_retry_after=get("allowed.retryAfter", flag, False),
        max_retry_after=get("allowed.maxRetryAfterMs", nanos, 0),
        list_on_request=given.get("discovery") == "on_request",
        value_halves=given.get("extra.fades") == "halving",
        over_quota_value_factor=get("overShareWorth", real, 1.0),
        weights_are_rates=given.get("weightSource") in ("nominal", "rough"),
        overload_span=get("guarantees.fallMs", nanos, None),
        overload_multiple=get("guarantees.tipMultiple", real, None),
        cold_capacity_share=get("guarantees.coldFrom", real, None),
        slow_start_time=get("guarantees.rampTimeMs", nanos, None),
        connection_idle=get("allowed.connIdleMs", nanos, 0),
        limits_are_advertised=limit_places(given) is not None
        and given.get("telemetry.how") == "piggyback",
        key_cooldown=get("guarantees.settleAfterDoubtMs", nanos, 0),
    )


def limit_places(given: dict[str, str]):
    """Where reports hold the limit in calls a second and the share of it that is left; None without the limit."""
    fields = given.get("telemetry.fields", "").split(",")
    return (
        (fields.index("x1"), fields.index("x0") if "x0" in fields else None)
        if "x1" in fields
        else None
    )


@dataclass(slots=True)
class Fleet:
    """Membership among relays: who this one is to others, whom it is told of, what it may say."""

    name: str  # of the fleet: what bears another name is not read
    listen: tuple[str, int]  # datagrams and streams
    seeds: dict  # name of a relay -> its address; this one's own is passed over
    keys: list  # bytes; the first signs, both are believed
    bytes_per_s: int
    spans: dict  # of membership's settings, by name, in ns


# name in the file -> its name in membership's settings
FLEET_SPANS = {
    "roundMs": "round",
    "floorMs": "floor",
    "aloneAfterMs": "alone_after",
    "stalledMs": "stalled",
    "forgetAfterMs": "forget_after",
    "syncEveryMs": "sync_every",
}
# membership's own defaults: config imports nothing of it
ROUND, ALONE_AFTER = 500 * MS, 2000 * MS
# a second; 300 relays use a third of it (docs/design/membership.md)
FLEET_BYTES = 20_000
FLEET_SOCKETS = 6  # datagrams, a listener, four streams
KEY_LEAST, KEY_MOST = 16, 64  # bytes


@dataclass(slots=True)
class TraceFile:
    """Where the steps of each callback are written; `room`: bytes of it and the one before it together."""

    path: str
    room: int


TRACE_MB = 64  # a day's traffic of a busy relay takes some hundred


@dataclass(slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: str
    seed: int
    settings: interface.Settings
    categories: dict[str, int]  # by the name that a client gives
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    known: dict  # the list as last had, in discovery's form
    period: int  # least span between two steps of the module
    connect_time_out: int
    sockets: int  # connections in all, and those that clients may have of them
    client_sockets: int
    # of those, how many may stand idle after their answer before some are ended
    client_idle: int
    disk: int  # bytes
    memory: int
    admin: Optional[tuple[str, int]] = None  # the operators' door; None: none is opened
    fleet: Optional[Fleet] = None  # None: nothing of membership is imported
    trace: Optional[TraceFile] = None  # None: no steps are written
    # as the file that was read last has it, whatever a variable says
    discovery_in_file: Optional[str] = None
    # keys that the file's settings name: a later file without one of them is broken
    required: tuple = ()


CONNECT_TIME_OUT = 1500 * MS  # where no setting tells: the users' figure on all their deployments
PERIOD = 5 * MS  # likewise
SOCKETS, DISK_MB, MEMORY_MB = 1024, 3, 192  # likewise: the most on scored days, so never too much
# idle connections are used no longer so early: a request on its way crosses no end
IDLE_MARGIN = 200 * MS
# descriptors beside sockets: standard streams, log twice, signals twice, one to spare
STANDING = 8
# Clients hold a third of a relay's descriptors at most, idle connections among them: those that the relay keeps open for
# nobody shut out new requests before the relay is short of anything itself. An eighth leaves clients five eighths of
# theirs for what is under way. Tried on incident rcb7e34: see docs/status.md.
IDLE_SHARE = 8
# operators' calls at once: a few people and a scraper, and as many that hold one and say nothing
ADMIN_SEATS = 8
# beside calls: discovery, notices, one to spare for each; kept free for them
OUTGOING = 4
# standard streams, log, discovery, notices, a listener and a few of each side
LEAST_SOCKETS = 32


def address(text, key: str) -> tuple[str, int]:
    host, colon, port = str(text).rpartition(":")
    if (
        not colon
        or not host
        or not port.isascii()
        or not port.isdigit()
        or not 0 < int(port) < 65536
    ):
        raise ConfigError(f"{key}: '{text}' is not ADDRESS:PORT")
    return host.strip("[]"), int(port)


def load(environ, again: Optional[Config] = None) -> Config:
    """The file that ROUTER_CONFIG names; single values of it may also come from the environment, which wins.

    Read on SIGHUP, `again` is what was taken last: the file's `discovery` is newer than the environment of the start, and
    wins; and the file has to name each key that the one before did.
    """
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG: not set; it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            given = json.load(file, parse_float=Figure, parse_constant=no_number)
    except (OSError, ValueError, RecursionError, ConfigError) as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {error}") from None
    if not isinstance(given, dict):
        raise ConfigError(f"ROUTER_CONFIG: {path}: not an object")
    if again is not None:
        # Danger: defaults in place of what a cut or mistyped file lacks would be new settings that nobody wrote.
        whole_file(given, again)
        environ = {
            key: text
            for key, text in environ.items()
            if key != "ROUTER_DISCOVERY" or "discovery" not in given
        }
    return check(given, environ)


def whole_file(given: dict, before: Config) -> None:
    """Raises for a key that the file before named, in each row of its kind, and this one does not."""

    def look(value, path, wanted):
        for name in sorted(wanted):
            at = f"{path}.{name}" if path else name
            parts = (
                value
                if name == "*" and isinstance(value, list)
                else [value[name]]
                if isinstance(value, dict) and name in value
                else None
            )
            if parts is None:
                raise ConfigError(f"{at}: missing; the file before has it")
            for n, part in enumerate(parts):
                if wanted[name]:
                    look(part, f"{path}.{n}" if name == "*" else at, wanted[name])

    tree: dict = {}
    for key in before.required:
        at = tree
        for name in key.split("."):
            at = at.setdefault(name, {})
    look(given, "", tree)


def positive(value, key: str) -> None:
    """Raises for what is not a number above 0 as JSON writes one; for what is not there it does not."""
    right = isinstance(value, (int, Figure)) and not isinstance(value, bool)
    if value is not None and not (right and 0 < float(value) < 1e15):
        raise ConfigError(f"{key}: {value!r} is not a positive number")


def part(given: dict, key: str, prefix: str = "") -> dict:
    value = given.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{prefix}{key}: not an object")
    return value


def part_list(given: dict, key: str) -> list[dict]:
    value = given.get(key, [])
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        raise ConfigError(f"settings.{key}: not a list of objects")
    return value


def keys_from(path: str) -> list[bytes]:
    """One or two keys in hex, a line each, from a file that nobody but its owner may read."""
    try:
        with open(path, encoding="ascii") as file:
            if os.fstat(file.fileno()).st_mode & 0o077:
                raise ConfigError(f"fleet.keyFile: {path}: others than its owner may read it")
            return hex_keys(file.read().split(), "fleet.keyFile")
    except (OSError, ValueError) as error:
        raise ConfigError(f"fleet.keyFile: {path}: {error}") from None


def hex_keys(words, key: str) -> list[bytes]:
    try:
        keys = [bytes.fromhex(word) for word in words]
    except (TypeError, ValueError):
        raise ConfigError(f"{key}: not keys in hex") from None
    if not 1 <= len(keys) <= 2 or not all(KEY_LEAST <= len(one) <= KEY_MOST for one in keys):
        raise ConfigError(f"{key}: one or two keys of {KEY_LEAST} to {KEY_MOST} bytes are needed")
    return keys


def fleet(given: dict, own: str) -> Optional[Fleet]:
    """`fleet` of the file: off without it. `keys` stand in it themselves where the whole file is as secret as a key file."""
    rows = part(given, "fleet")
    if not rows:
        return None
    reader, seeds = (
        Reader(
            flat({name: value for name, value in rows.items() if name not in ("seeds", "keys")}),
            "fleet.",
        ),
        part(rows, "seeds", "fleet."),
    )
    known = {"name", "listen", "seeds", "keys", "keyFile", "bytesPerS", *FLEET_SPANS}
    for name in rows:
        if name not in known:
            raise ConfigError(f"fleet.{name}: unknown; one of {', '.join(sorted(known))}")
    spans = {}
    for key, name in FLEET_SPANS.items():
        positive(rows.get(key), f"fleet.{key}")
        value = reader.get(key, nanos, None)
        if value is not None:
            spans[name] = value
    if spans.get("alone_after", ALONE_AFTER) < 2 * spans.get("round", ROUND):
        raise ConfigError(
            "fleet.aloneAfterMs: less than twice fleet.roundMs, so one lost answer would make it alone"
        )
    positive(rows.get("bytesPerS"), "fleet.bytesPerS")
    if "keyFile" not in rows and "keys" not in rows:
        raise ConfigError("fleet.keyFile: missing; it names the file with the fleet's key")
    keys = (
        keys_from(str(rows["keyFile"]))
        if "keyFile" in rows
        else hex_keys(rows["keys"] if isinstance(rows["keys"], list) else [], "fleet.keys")
    )
    return Fleet(
        str(rows.get("name", "fleet")),
        address(rows.get("listen"), "fleet.listen"),
        {name: address(at, f"fleet.seeds.{name}") for name, at in seeds.items() if name != own},
        keys,
        reader.get("bytesPerS", whole, FLEET_BYTES),
        spans,
    )


def trace_file(given: dict) -> Optional[TraceFile]:
    """`trace` of the file: off without it."""
    rows = part(given, "trace")
    if not rows:
        return None
    for key in rows:
        if key not in ("file", "mb"):
            raise ConfigError(f"trace.{key}: unknown; one of file, mb")
    if not isinstance(rows.get("file"), str) or not rows["file"]:
        raise ConfigError("trace.file: missing; it names the file that the steps are written to")
    positive(rows.get("mb"), "trace.mb")
    room = Reader(flat(rows), "trace.").get("mb", real, TRACE_MB)
    return TraceFile(rows["file"], int(room * 1_000_000))


SCOPES = ("all", "zone", "cell")


def check_class(row: dict, at: str) -> None:
    """Raises for a class of message that lacks what its effect needs. Danger: a default in its place is a promise that nobody made,
    and the relay would serve by it for a day before anybody asks."""
    needed: tuple[str, ...] = ("name", "semantics", "deadlineMs")
    if row.get("semantics") == "deduplicated":
        needed += DEDUPLICATED_ONLY
        if row.get("dedupScope", "all") not in SCOPES:
            raise ConfigError(
                f"{at}dedupScope: '{row['dedupScope']}' is not one of {', '.join(SCOPES)}"
            )
        positive(row.get("dedupWindowMs"), f"{at}dedupWindowMs")
    for key in needed:
        if row.get(key) in (None, "", "-"):
            raise ConfigError(f"{at}{key}: missing")
    positive(row["deadlineMs"], f"{at}deadlineMs")


def check(given: dict, environ) -> Config:
    nested, limits, known = part(given, "settings"), part(given, "limits"), part(given, "known")
    pairs = flat(nested)
    reader, limit = Reader(pairs, "settings."), Reader(flat(limits), "limits.")
    made = settings(pairs, "settings.")
    if not made.callback_classes:
        raise ConfigError("settings.grades: no class of message is given")
    if len(names(nested, "grades")) != len(made.callback_classes):
        raise ConfigError("settings.grades: two classes have one name")
    for n, row in enumerate(part_list(nested, "grades")):
        check_class(row, f"settings.grades.{n}.")
    positive(
        part(nested, "allowed", "settings.").get("maxAttempts"), "settings.allowed.maxAttempts"
    )
    state = environ.get("ROUTER_STATE") or given.get("state")
    if not state:
        raise ConfigError("ROUTER_STATE: not set; it names the folder that lasts")
    seed_text = str(given.get("seed", "0"))
    try:
        seed = int(seed_text, 16)
    except ValueError:
        raise ConfigError(f"seed: '{seed_text}' is not a hex number") from None
    sockets = limit.get("sockets", whole, SOCKETS)
    if sockets < LEAST_SOCKETS:
        raise ConfigError(
            f"limits.sockets: {sockets} is under the {LEAST_SOCKETS} that a relay needs"
        )
    admin = environ.get("ROUTER_ADMIN") or given.get("admin")
    name = environ.get("ROUTER_NAME") or str(given.get("name", "relay"))
    members, traced = fleet(given, name), trace_file(given)
    # Set aside, with an upgrade's two: neither side starves the other.
    most = (
        sockets
        - STANDING
        - (ADMIN_SEATS + 3 if admin else 0)
        - (FLEET_SOCKETS if members else 0)
        - (1 if traced else 0)
    )
    # Half is for calls and idle connections to hosts, and a slot's worth at least; a quarter at least for clients.
    outgoing = min(max(made.max_calls + OUTGOING, most // 2), most * 3 // 4)
    disk, memory = limit.get("disk_mb", real, DISK_MB), limit.get("memory_mb", real, MEMORY_MB)
    for key, value in (("disk_mb", disk), ("memory_mb", memory)):
        if not 0 < value < 1e9:
            raise ConfigError(f"limits.{key}: {value} is not a size in megabytes")
    return Config(
        name=name,
        listen=address(environ.get("ROUTER_LISTEN") or given.get("listen"), "ROUTER_LISTEN"),
        discovery=address(
            environ.get("ROUTER_DISCOVERY") or given.get("discovery"),
            "ROUTER_DISCOVERY" if environ.get("ROUTER_DISCOVERY") else "discovery",
        ),
        state=state,
        seed=seed,
        # on sockets the list never comes unasked
        settings=replace(
            made,
            list_on_request=True,
            # no more calls than can have a connection
            max_calls=min(made.max_calls, outgoing - OUTGOING),
            connection_idle=max(
                0, made.connection_idle - max(made.connection_idle // 10, IDLE_MARGIN)
            ),
        ),
        categories=names(nested, "grades"),
        tenants=names(nested, "parties"),
        zones=names(nested, "azs"),
        kinds=names(nested, "machineTypes"),
        known=known,
        period=reader.get("periodMs", nanos, PERIOD),
        connect_time_out=reader.get("allowed.connectTimeoutMs", nanos, CONNECT_TIME_OUT),
        sockets=most,
        client_sockets=most - outgoing,
        client_idle=min(sockets // IDLE_SHARE, most - outgoing),
        disk=int(disk * 1_000_000),
        memory=int(memory * 1_000_000),
        admin=address(admin, "ROUTER_ADMIN" if environ.get("ROUTER_ADMIN") else "admin")
        if admin
        else None,
        fleet=members,
        trace=traced,
        required=tuple(keys_of(given)),
        discovery_in_file=str(given["discovery"]) if "discovery" in given else None,
    )


# taken at SIGHUP
AT_ONCE = ("discovery", "settings", "categories", "tenants", "fleet", "required")
# new with each start, or learnt
LEFT_ALONE = ("seed", "known", "zones", "discovery_in_file")
# of `settings`: built into what stands
BOUND = ("kinds", "zone_fees", "connection_idle", "list_on_request")


def waiting(old: Config, new: Config) -> list[str]:
    """What differs and counts from the next start on."""
    found = [
        field.name
        for field in fields(old)
        if field.name not in (*AT_ONCE, *LEFT_ALONE)
        and getattr(old, field.name) != getattr(new, field.name)
    ]
    if (old.fleet is None) != (new.fleet is None):
        found.append("fleet")
    return found + [
        f"settings.{name}"
        for name in BOUND
        if getattr(old.settings, name) != getattr(new.settings, name)
    ]


def retake(old: Config, new: Config) -> None:
    """Has `old` go by what a file read again says, but for what counts from the next start on."""
    new.settings = replace(
        new.settings,
        **{name: getattr(old.settings, name) for name in BOUND},
        max_calls=min(new.settings.max_calls, old.sockets - old.client_sockets - OUTGOING),
    )
    for name in AT_ONCE:
        setattr(old, name, getattr(new, name))


def names(nested: dict, key: str) -> dict[str, int]:
    rows = nested.get(key) or []
    if not isinstance(rows, list):
        raise ConfigError(f"settings.{key}: not a list")
    found = [str(row.get("name", "")) if isinstance(row, dict) else str(row) for row in rows]
    return {name: n for n, name in enumerate(found)}
