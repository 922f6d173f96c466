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
NUMBER_PATTERN = re.compile(
    r"(-?)([0-9]{1,30})(?:\.([0-9]{0,30}))?(?:[eE]([+-]?[0-9]{1,3}))?$", re.ASCII
)


class ConfigError(Exception):
    """A value that can't be used; the text names the key."""


def parse_nanoseconds(text: str, digits: int = NS_DIGITS) -> int:
    """Milliseconds (10^digits ns) as text to whole nanoseconds, exactly; what lies below a nanosecond is cut."""
    found = NUMBER_PATTERN.match(text)
    if not found:
        raise ConfigError(f"'{text}' is not a time")
    sign, whole_part, fraction, exponent = found.groups()
    fraction = fraction or ""
    shift = digits - len(fraction) + int(exponent or 0)
    number = int(whole_part + fraction)
    value = number * 10**shift if shift >= 0 else number // 10**-shift
    return -value if sign else value


def parse_integer(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise ConfigError(f"'{text}' is not a whole number") from None


def parse_float(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        raise ConfigError(f"'{text}' is not a number") from None


def parse_choice(text: str, table: dict):
    try:
        return table[text]
    except KeyError:
        raise ConfigError(f"'{text}' is not one of {', '.join(table)}") from None


def parse_flag(text: str) -> bool:
    return text in ("true", "1")


def flatten(value, path: str = "") -> dict[str, str]:
    """Nested JSON as the bench's path=value pairs: rows of scalars by commas, rows of objects by count."""
    if isinstance(value, dict):
        return {
            key: text
            for name, part in value.items()
            for key, text in flatten(part, f"{path}.{name}" if path else name).items()
        }
    if isinstance(value, list) and any(isinstance(part, (dict, list)) for part in value):
        pairs = {f"{path}.count": str(len(value))}
        for n, part in enumerate(value):
            pairs.update(flatten(part, f"{path}.{n}"))
        return pairs
    if isinstance(value, list):
        return {path: ",".join(scalar(part) for part in value)}
    return {path: scalar(value)}


class NumberText(str):
    """A number as the file spells it; other text in its place is no number."""


def reject_constant(text):
    raise ConfigError(f"{text} is no number that can be used")


OPAQUE_PATHS = ("known", "fleet.seeds")
DEDUPLICATION_KEYS = ("dedupScope", "dedupWindowMs")


def key_paths(value, path: str = "") -> set[str]:
    """The keys that a file names, by path; by `*` those that each row of a list has, but for what only some effects need.
    Not those below lists by name: of hosts, which is none of ours, and of seeds, which come and go."""
    found = {path} if path else set()
    if isinstance(value, dict) and path not in OPAQUE_PATHS:
        for name, part in value.items():
            found |= key_paths(part, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and value and all(isinstance(row, dict) for row in value):
        common = set.intersection(*(key_paths(row, f"{path}.*") for row in value))
        found |= {key for key in common if not key.endswith(DEDUPLICATION_KEYS)}
    return found


def scalar(value) -> str:
    return (
        "-"
        if value is None
        else ("false", "true")[value]
        if isinstance(value, bool)
        else str(value)
    )


class ValueReader:
    """Values by path; absent ones ('-' or empty) get the default."""

    def __init__(self, values: dict[str, str], prefix: str = ""):
        self.values, self.prefix = values, prefix

    def get(self, path, parse, default):
        text = self.values.get(path, "")
        if text in ("", "-"):
            return default
        try:
            return parse(text)
        except ConfigError as error:
            raise ConfigError(f"{self.prefix}{path}: {error}") from None

    def read_list(self, path, parse=str):
        return self.get(path, lambda text: [parse(part) for part in text.split(",")], [])


def parse_settings(values: dict[str, str], prefix: str = "") -> interface.Settings:
    """What the module goes by; unknown keys are passed over, absent ones left to the defaults."""
    reader = ValueReader(values, prefix)
    get, read_list = reader.get, reader.read_list
    categories = []
    for n in range(get("grades.count", parse_integer, 0)):
        key_path = f"grades.{n}."
        scope = values.get(key_path + "dedupScope", "")
        categories.append(
            interface.CallbackClass(
                get(
                    key_path + "semantics",
                    lambda text: parse_choice(text, EFFECTS),
                    interface.DeliverySemantics.AT_MOST_ONCE,
                ),
                get(key_path + "aimMs", parse_nanoseconds, 0),
                get(key_path + "deadlineMs", parse_nanoseconds, 0),
                get(key_path + "worth", parse_float, 1.0),
                get(key_path + "lateShare", parse_float, 0.0),
                get(key_path + "dedupWindowMs", parse_nanoseconds, 0),
                scope == "zone",
                scope == "all",
                get(key_path + "serialByKey", parse_flag, False),
            )
        )
    tenants = [
        interface.Tenant(
            get(f"parties.{n}.share", parse_float, 0.0),
            get(f"parties.{n}.quotaPerS", parse_float, None),
        )
        for n in range(get("parties.count", parse_integer, 0))
    ]
    apart, per_call = (
        read_list("extra.kindApart", parse_flag),
        read_list("extra.perCall", parse_integer),
    )
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
        zone_fees=read_list("extra.feeByZone", parse_float),
        relay_count=get("balancers", parse_integer, 1),
        max_calls=get("extra.maxCalls", parse_integer, 1),
        max_pending=get("allowed.maxOpen", parse_integer, None),
        max_attempts=get("allowed.maxAttempts", parse_integer, 1),
        sends_retry_after=get("allowed.retryAfter", parse_flag, False),
        max_retry_after=get("allowed.maxRetryAfterMs", parse_nanoseconds, 0),
        list_on_request=values.get("discovery") == "on_request",
        value_halves=values.get("extra.fades") == "halving",
        over_quota_value_factor=get("overShareWorth", parse_float, 1.0),
        weights_are_rates=values.get("weightSource") in ("nominal", "rough"),
        overload_span=get("guarantees.fallMs", parse_nanoseconds, None),
        overload_multiple=get("guarantees.tipMultiple", parse_float, None),
        cold_capacity_share=get("guarantees.coldFrom", parse_float, None),
        slow_start_time=get("guarantees.rampTimeMs", parse_nanoseconds, None),
        connection_idle=get("allowed.connIdleMs", parse_nanoseconds, 0),
        limits_are_advertised=limit_field_indexes(values) is not None
        and values.get("telemetry.how") == "piggyback",
        key_cooldown=get("guarantees.settleAfterDoubtMs", parse_nanoseconds, 0),
    )


def limit_field_indexes(values: dict[str, str]):
    """Where reports hold the limit in calls a second and the share of it that is left; None without the limit."""
    fields = values.get("telemetry.fields", "").split(",")
    return (
        (fields.index("x1"), fields.index("x0") if "x0" in fields else None)
        if "x1" in fields
        else None
    )


@dataclass(slots=True)
class FleetConfig:
    """Membership among relays: who this one is to others, whom it is told of, what it may say."""

    name: str  # of the fleet: what bears another name is not read
    listen: tuple[str, int]  # datagrams and streams
    seeds: dict  # name of a relay -> its address; this one's own is passed over
    keys: list  # bytes; the first signs, both are believed
    bytes_per_s: int
    durations: dict  # of membership's settings, by name, in ns


# name in the file -> its name in membership's settings
FLEET_DURATIONS = {
    "roundMs": "protocol_period",
    "floorMs": "min_ack_timeout",
    "aloneAfterMs": "alone_after",
    "stalledMs": "stall_threshold",
    "forgetAfterMs": "forget_after",
    "syncEveryMs": "sync_interval",
}
# membership's own defaults: config imports nothing of it
DEFAULT_ROUND, DEFAULT_ALONE_AFTER = 500 * MS, 2000 * MS
# a second; 300 relays use a third of it (docs/design/membership.md)
DEFAULT_FLEET_BYTES_PER_S = 20_000
FLEET_SOCKETS = 6  # datagrams, a listener, four streams
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # bytes


@dataclass(slots=True)
class TraceFile:
    """Where the steps of each callback are written; `max_bytes`: bytes of it and the one before it together."""

    path: str
    max_bytes: int


DEFAULT_TRACE_MB = 64  # a day's traffic of a busy relay takes some hundred


@dataclass(slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: str
    seed: int
    settings: interface.Settings
    callback_classes: dict[str, int]  # by the name that a client gives
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
    fleet: Optional[FleetConfig] = None  # None: nothing of membership is imported
    trace: Optional[TraceFile] = None  # None: no steps are written
    # as the file that was read last has it, whatever a variable says
    discovery_in_file: Optional[str] = None
    # keys that the file's settings name: a later file without one of them is broken
    required_keys: tuple = ()


DEFAULT_CONNECT_TIMEOUT = (
    1500 * MS
)  # where no setting tells: the users' figure on all their deployments
DEFAULT_PERIOD = 5 * MS  # likewise
DEFAULT_SOCKETS, DEFAULT_DISK_MB, DEFAULT_MEMORY_MB = (
    1024,
    3,
    192,
)  # likewise: the most on scored days, so never too much
# idle connections are used no longer so early: a request on its way crosses no end
IDLE_MARGIN = 200 * MS
# descriptors beside sockets: standard streams, log twice, signals twice, one to spare
RESERVED_DESCRIPTORS = 8
# Clients hold a third of a relay's descriptors at most, idle connections among them: those that the relay keeps open for
# nobody shut out new requests before the relay is short of anything itself. An eighth leaves clients five eighths of
# theirs for what is under way. Tried on incident rcb7e34: see docs/status.md.
CLIENT_IDLE_DIVISOR = 8
# operators' calls at once: a few people and a scraper, and as many that hold one and say nothing
MAX_ADMIN_CONNECTIONS = 8
# beside calls: discovery, notices, one to spare for each; kept free for them
RESERVED_OUTGOING = 4
# standard streams, log, discovery, notices, a listener and a few of each side
MIN_SOCKETS = 32


def parse_address(text, key: str) -> tuple[str, int]:
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


def load(environ, previous: Optional[Config] = None) -> Config:
    """The file that ROUTER_CONFIG names; single values of it may also come from the environment, which wins.

    Read on SIGHUP, `previous` is what was taken last: the file's `discovery` is newer than the environment of the start, and
    wins; and the file has to name each key that the one before did.
    """
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG: not set; it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            values = json.load(file, parse_float=NumberText, parse_constant=reject_constant)
    except (OSError, ValueError, RecursionError, ConfigError) as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {error}") from None
    if not isinstance(values, dict):
        raise ConfigError(f"ROUTER_CONFIG: {path}: not an object")
    if previous is not None:
        # Danger: defaults in place of what a cut or mistyped file lacks would be new settings that nobody wrote.
        check_keys_present(values, previous)
        environ = {
            key: text
            for key, text in environ.items()
            if key != "ROUTER_DISCOVERY" or "discovery" not in values
        }
    return parse_config(values, environ)


def check_keys_present(values: dict, previous: Config) -> None:
    """Raises for a key that the file before named, in each row of its kind, and this one does not."""

    def check_level(value, path, expected):
        for name in sorted(expected):
            key_path = f"{path}.{name}" if path else name
            parts = (
                value
                if name == "*" and isinstance(value, list)
                else [value[name]]
                if isinstance(value, dict) and name in value
                else None
            )
            if parts is None:
                raise ConfigError(f"{key_path}: missing; the file before has it")
            for n, part in enumerate(parts):
                if expected[name]:
                    check_level(part, f"{path}.{n}" if name == "*" else key_path, expected[name])

    tree: dict = {}
    for key in previous.required_keys:
        node = tree
        for name in key.split("."):
            node = node.setdefault(name, {})
    check_level(values, "", tree)


def check_positive(value, key: str) -> None:
    """Raises for what is not a number above 0 as JSON writes one; for what is not there it does not."""
    is_number = isinstance(value, (int, NumberText)) and not isinstance(value, bool)
    if value is not None and not (is_number and 0 < float(value) < 1e15):
        raise ConfigError(f"{key}: {value!r} is not a positive number")


def read_object(values: dict, key: str, prefix: str = "") -> dict:
    value = values.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{prefix}{key}: not an object")
    return value


def read_objects(values: dict, key: str) -> list[dict]:
    value = values.get(key, [])
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        raise ConfigError(f"settings.{key}: not a list of objects")
    return value


def read_key_file(path: str) -> list[bytes]:
    """One or two keys in hex, a line each, from a file that nobody but its owner may read."""
    try:
        with open(path, encoding="ascii") as file:
            if os.fstat(file.fileno()).st_mode & 0o077:
                raise ConfigError(f"fleet.keyFile: {path}: others than its owner may read it")
            return parse_hex_keys(file.read().split(), "fleet.keyFile")
    except (OSError, ValueError) as error:
        raise ConfigError(f"fleet.keyFile: {path}: {error}") from None


def parse_hex_keys(texts, key: str) -> list[bytes]:
    try:
        keys = [bytes.fromhex(word) for word in texts]
    except (TypeError, ValueError):
        raise ConfigError(f"{key}: not keys in hex") from None
    if not 1 <= len(keys) <= 2 or not all(
        MIN_KEY_BYTES <= len(one) <= MAX_KEY_BYTES for one in keys
    ):
        raise ConfigError(
            f"{key}: one or two keys of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes are needed"
        )
    return keys


def parse_fleet(values: dict, own_name: str) -> Optional[FleetConfig]:
    """`fleet` of the file: off without it. `keys` stand in it themselves where the whole file is as secret as a key file."""
    rows = read_object(values, "fleet")
    if not rows:
        return None
    reader, seeds = (
        ValueReader(
            flatten({name: value for name, value in rows.items() if name not in ("seeds", "keys")}),
            "fleet.",
        ),
        read_object(rows, "seeds", "fleet."),
    )
    known = {"name", "listen", "seeds", "keys", "keyFile", "bytesPerS", *FLEET_DURATIONS}
    for name in rows:
        if name not in known:
            raise ConfigError(f"fleet.{name}: unknown; one of {', '.join(sorted(known))}")
    durations = {}
    for key, name in FLEET_DURATIONS.items():
        check_positive(rows.get(key), f"fleet.{key}")
        value = reader.get(key, parse_nanoseconds, None)
        if value is not None:
            durations[name] = value
    if durations.get("alone_after", DEFAULT_ALONE_AFTER) < 2 * durations.get(
        "protocol_period", DEFAULT_ROUND
    ):
        raise ConfigError(
            "fleet.aloneAfterMs: less than twice fleet.roundMs, so one lost answer would make it alone"
        )
    check_positive(rows.get("bytesPerS"), "fleet.bytesPerS")
    if "keyFile" not in rows and "keys" not in rows:
        raise ConfigError("fleet.keyFile: missing; it names the file with the fleet's key")
    keys = (
        read_key_file(str(rows["keyFile"]))
        if "keyFile" in rows
        else parse_hex_keys(rows["keys"] if isinstance(rows["keys"], list) else [], "fleet.keys")
    )
    return FleetConfig(
        str(rows.get("name", "fleet")),
        parse_address(rows.get("listen"), "fleet.listen"),
        {
            name: parse_address(text, f"fleet.seeds.{name}")
            for name, text in seeds.items()
            if name != own_name
        },
        keys,
        reader.get("bytesPerS", parse_integer, DEFAULT_FLEET_BYTES_PER_S),
        durations,
    )


def parse_trace_file(values: dict) -> Optional[TraceFile]:
    """`trace` of the file: off without it."""
    rows = read_object(values, "trace")
    if not rows:
        return None
    for key in rows:
        if key not in ("file", "mb"):
            raise ConfigError(f"trace.{key}: unknown; one of file, mb")
    if not isinstance(rows.get("file"), str) or not rows["file"]:
        raise ConfigError("trace.file: missing; it names the file that the steps are written to")
    check_positive(rows.get("mb"), "trace.mb")
    max_bytes = ValueReader(flatten(rows), "trace.").get("mb", parse_float, DEFAULT_TRACE_MB)
    return TraceFile(rows["file"], int(max_bytes * 1_000_000))


DEDUP_SCOPES = ("all", "zone", "cell")


def check_class(row: dict, key_path: str) -> None:
    """Raises for a class of message that lacks what its effect needs. Danger: a default in its place is a promise that nobody made,
    and the relay would serve by it for a day before anybody asks."""
    needed: tuple[str, ...] = ("name", "semantics", "deadlineMs")
    if row.get("semantics") == "deduplicated":
        needed += DEDUPLICATION_KEYS
        if row.get("dedupScope", "all") not in DEDUP_SCOPES:
            raise ConfigError(
                f"{key_path}dedupScope: '{row['dedupScope']}' is not one of {', '.join(DEDUP_SCOPES)}"
            )
        check_positive(row.get("dedupWindowMs"), f"{key_path}dedupWindowMs")
    for key in needed:
        if row.get(key) in (None, "", "-"):
            raise ConfigError(f"{key_path}{key}: missing")
    check_positive(row["deadlineMs"], f"{key_path}deadlineMs")


def parse_config(values: dict, environ) -> Config:
    settings_object, limits, known = (
        read_object(values, "settings"),
        read_object(values, "limits"),
        read_object(values, "known"),
    )
    pairs = flatten(settings_object)
    reader, limit_reader = ValueReader(pairs, "settings."), ValueReader(flatten(limits), "limits.")
    parsed = parse_settings(pairs, "settings.")
    if not parsed.callback_classes:
        raise ConfigError("settings.grades: no class of message is given")
    if len(name_indexes(settings_object, "grades")) != len(parsed.callback_classes):
        raise ConfigError("settings.grades: two classes have one name")
    for n, row in enumerate(read_objects(settings_object, "grades")):
        check_class(row, f"settings.grades.{n}.")
    check_positive(
        read_object(settings_object, "allowed", "settings.").get("maxAttempts"),
        "settings.allowed.maxAttempts",
    )
    state = environ.get("ROUTER_STATE") or values.get("state")
    if not state:
        raise ConfigError("ROUTER_STATE: not set; it names the folder that lasts")
    seed_text = str(values.get("seed", "0"))
    try:
        seed = int(seed_text, 16)
    except ValueError:
        raise ConfigError(f"seed: '{seed_text}' is not a hex number") from None
    sockets = limit_reader.get("sockets", parse_integer, DEFAULT_SOCKETS)
    if sockets < MIN_SOCKETS:
        raise ConfigError(
            f"limits.sockets: {sockets} is under the {MIN_SOCKETS} that a relay needs"
        )
    admin = environ.get("ROUTER_ADMIN") or values.get("admin")
    name = environ.get("ROUTER_NAME") or str(values.get("name", "relay"))
    fleet_config, trace_config = parse_fleet(values, name), parse_trace_file(values)
    # Set aside, with an upgrade's two: neither side starves the other.
    available = (
        sockets
        - RESERVED_DESCRIPTORS
        - (MAX_ADMIN_CONNECTIONS + 3 if admin else 0)
        - (FLEET_SOCKETS if fleet_config else 0)
        - (1 if trace_config else 0)
    )
    # Half is for calls and idle connections to hosts, and a slot's worth at least; a quarter at least for clients.
    outgoing = min(max(parsed.max_calls + RESERVED_OUTGOING, available // 2), available * 3 // 4)
    disk, memory = (
        limit_reader.get("disk_mb", parse_float, DEFAULT_DISK_MB),
        limit_reader.get("memory_mb", parse_float, DEFAULT_MEMORY_MB),
    )
    for key, value in (("disk_mb", disk), ("memory_mb", memory)):
        if not 0 < value < 1e9:
            raise ConfigError(f"limits.{key}: {value} is not a size in megabytes")
    return Config(
        name=name,
        listen=parse_address(environ.get("ROUTER_LISTEN") or values.get("listen"), "ROUTER_LISTEN"),
        discovery=parse_address(
            environ.get("ROUTER_DISCOVERY") or values.get("discovery"),
            "ROUTER_DISCOVERY" if environ.get("ROUTER_DISCOVERY") else "discovery",
        ),
        state=state,
        seed=seed,
        # on sockets the list never comes unasked
        settings=replace(
            parsed,
            list_on_request=True,
            # no more calls than can have a connection
            max_calls=min(parsed.max_calls, outgoing - RESERVED_OUTGOING),
            connection_idle=max(
                0, parsed.connection_idle - max(parsed.connection_idle // 10, IDLE_MARGIN)
            ),
        ),
        callback_classes=name_indexes(settings_object, "grades"),
        tenants=name_indexes(settings_object, "parties"),
        zones=name_indexes(settings_object, "azs"),
        kinds=name_indexes(settings_object, "machineTypes"),
        known=known,
        period=reader.get("periodMs", parse_nanoseconds, DEFAULT_PERIOD),
        connect_time_out=reader.get(
            "allowed.connectTimeoutMs", parse_nanoseconds, DEFAULT_CONNECT_TIMEOUT
        ),
        sockets=available,
        client_sockets=available - outgoing,
        client_idle=min(sockets // CLIENT_IDLE_DIVISOR, available - outgoing),
        disk=int(disk * 1_000_000),
        memory=int(memory * 1_000_000),
        admin=parse_address(admin, "ROUTER_ADMIN" if environ.get("ROUTER_ADMIN") else "admin")
        if admin
        else None,
        fleet=fleet_config,
        trace=trace_config,
        required_keys=tuple(key_paths(values)),
        discovery_in_file=str(values["discovery"]) if "discovery" in values else None,
    )


# taken at SIGHUP
APPLIED_ON_RELOAD = (
    "discovery",
    "settings",
    "callback_classes",
    "tenants",
    "fleet",
    "required_keys",
)
# new with each start, or learnt
NOT_COMPARED = ("seed", "known", "zones", "discovery_in_file")
# of `settings`: built into what stands
FIXED_SETTINGS = ("kinds", "zone_fees", "connection_idle", "list_on_request")


def changes_at_next_start(old: Config, new: Config) -> list[str]:
    """What differs and counts from the next start on."""
    found = [
        field.name
        for field in fields(old)
        if field.name not in (*APPLIED_ON_RELOAD, *NOT_COMPARED)
        and getattr(old, field.name) != getattr(new, field.name)
    ]
    if (old.fleet is None) != (new.fleet is None):
        found.append("fleet")
    return found + [
        f"settings.{name}"
        for name in FIXED_SETTINGS
        if getattr(old.settings, name) != getattr(new.settings, name)
    ]


def apply_reload(old: Config, new: Config) -> None:
    """Has `old` go by what a file read again says, but for what counts from the next start on."""
    new.settings = replace(
        new.settings,
        **{name: getattr(old.settings, name) for name in FIXED_SETTINGS},
        max_calls=min(new.settings.max_calls, old.sockets - old.client_sockets - RESERVED_OUTGOING),
    )
    for name in APPLIED_ON_RELOAD:
        setattr(old, name, getattr(new, name))


def name_indexes(settings_object: dict, key: str) -> dict[str, int]:
    rows = settings_object.get(key) or []
    if not isinstance(rows, list):
        raise ConfigError(f"settings.{key}: not a list")
    found = [str(row.get("name", "")) if isinstance(row, dict) else str(row) for row in rows]
    return {name: n for n, name in enumerate(found)}
