"""Reads and checks the configuration and sets defaults, for the relay and the bench's adapter.

A message about a faulty value names its key: `settings.allowed.connIdleMs: 'x' is not a time`.
"""

import json
import os
import re
from dataclasses import dataclass, fields, replace
from typing import Optional

from molehill import interface
from molehill.required_keys import (
    DEDUPLICATION_KEYS,
    MissingKey,
    RequiredKeys,
    check_required_keys,
    find_required_keys,
)

EFFECTS = {
    "idempotent": interface.DeliverySemantics.IDEMPOTENT,
    "deduplicated": interface.DeliverySemantics.DEDUPLICATED,
    "at_most_once": interface.DeliverySemantics.AT_MOST_ONCE,
}
NS_DIGITS = 6  # a millisecond has 10^6 nanoseconds
MS = 10**NS_DIGITS
SECOND = 1000 * MS
NUMBER_PATTERN = re.compile(
    r"(-?)([0-9]{1,30})(?:\.([0-9]{0,30}))?(?:[eE]([+-]?[0-9]{1,3}))?$", re.ASCII
)


class ConfigError(Exception):
    """A value can't be used; the text begins with its key."""


def parse_nanoseconds(text: str, digits: int = NS_DIGITS) -> int:
    """Converts text in units of 10^digits ns, by default milliseconds, to whole nanoseconds.

    The conversion is exact; fractions of a nanosecond are truncated. Raises ConfigError.
    """
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
    """Returns the whole number that the text spells; raises ConfigError."""
    try:
        return int(text)
    except ValueError:
        raise ConfigError(f"'{text}' is not a whole number") from None


def parse_float(text: str) -> float:
    """Returns the number that the text spells; raises ConfigError."""
    try:
        return float(text)
    except ValueError:
        raise ConfigError(f"'{text}' is not a number") from None


def parse_choice(text: str, table: dict):
    """Returns the value of this name in the table; raises ConfigError for another name."""
    try:
        return table[text]
    except KeyError:
        raise ConfigError(f"'{text}' is not one of {', '.join(table)}") from None


def parse_flag(text: str) -> bool:
    """Returns whether the text means true; any other text than "true" and "1" means false."""
    return text in ("true", "1")


def flatten(value, path: str = "") -> dict[str, str]:
    """Converts nested JSON to the bench's path=value pairs.

    A list of scalars becomes one value with commas, a list of objects gets a `.count` and a path
    for each index.
    """
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
    """A number as the file spells it, distinct from a string that the file has for a number."""


def reject_constant(text):
    """Refuses NaN and the infinities, which Python's JSON parser would accept."""
    raise ConfigError(f"{text} is not a finite number")


def scalar(value) -> str:
    """Returns a JSON scalar as the bench spells it; "-" stands for null."""
    return (
        "-"
        if value is None
        else ("false", "true")[value]
        if isinstance(value, bool)
        else str(value)
    )


class ValueReader:
    """Reads values by path; absent ones ('-' or empty) get the default.

    `prefix` is put before the path in errors.
    """

    def __init__(self, values: dict[str, str], prefix: str = ""):
        self.values, self.prefix = values, prefix

    def get(self, path, parse, default):
        """Returns the parsed value of a path, or the default; raises ConfigError with the path."""
        text = self.values.get(path, "")
        if text in ("", "-"):
            return default
        try:
            return parse(text)
        except ConfigError as error:
            raise ConfigError(f"{self.prefix}{path}: {error}") from None

    def read_list(self, path, parse=str):
        """Returns the parsed items of a value with commas; an absent value gives an empty list."""
        return self.get(path, lambda text: [parse(part) for part in text.split(",")], [])


def parse_settings(values: dict[str, str], prefix: str = "") -> interface.Settings:
    """Returns the decision module's settings; ignores unknown keys, absent ones get defaults."""
    reader = ValueReader(values, prefix)
    get, read_list = reader.get, reader.read_list
    callback_classes = []
    for n in range(get("grades.count", parse_integer, 0)):
        key_path = f"grades.{n}."
        scope = values.get(key_path + "dedupScope", "")
        callback_classes.append(
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
        callback_classes=callback_classes,
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
        drain_grace=get("guarantees.drainGraceMs", parse_nanoseconds, DEFAULT_DRAIN_GRACE),
        key_cooldown=get("guarantees.settleAfterDoubtMs", parse_nanoseconds, 0),
    )


def limit_field_indexes(values: dict[str, str]):
    """Returns the positions in hosts' reports of the limit and of the share of it that is left.

    The limit is in calls per second. Returns None if reports have no limit.
    """
    fields = values.get("telemetry.fields", "").split(",")
    return (
        (fields.index("x1"), fields.index("x0") if "x0" in fields else None)
        if "x1" in fields
        else None
    )


@dataclass(slots=True)
class FleetConfig:
    """Settings of membership among relays."""

    name: str  # of the fleet; messages with another fleet's name are ignored
    listen: tuple[str, int]  # for datagrams and streams
    seeds: dict  # name of a relay -> its address, without this relay itself
    keys: list  # bytes; the first signs, signatures of both are accepted
    bytes_per_s: int  # limit for what this relay sends
    durations: dict  # name in membership's settings -> nanoseconds


# Name in the file -> name in membership's settings.
FLEET_DURATIONS = {
    "roundMs": "protocol_period",
    "floorMs": "min_ack_timeout",
    "aloneAfterMs": "alone_after",
    "stalledMs": "stall_threshold",
    "forgetAfterMs": "forget_after",
    "syncEveryMs": "sync_interval",
}
# Membership's own defaults, repeated because this module must not import membership.
DEFAULT_ROUND, DEFAULT_ALONE_AFTER = 500 * MS, 2000 * MS
# 300 relays use a third of it (docs/design/membership.md).
DEFAULT_FLEET_BYTES_PER_S = 20_000
FLEET_SOCKETS = 6  # one for datagrams, a listener, four streams
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # bytes


@dataclass(slots=True)
class TraceFile:
    """The trace file; `max_bytes` limits it and the rotated one before it together."""

    path: str
    max_bytes: int


DEFAULT_TRACE_MB = 64  # a day's traffic of a busy relay takes some hundred MB


@dataclass(slots=True)
class Config:
    """The checked configuration of a relay; spans are nanoseconds."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: str  # folder
    seed: int
    settings: interface.Settings
    callback_classes: dict[str, int]  # name that a client gives -> index; the next three likewise
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    known: dict  # the last known host list, in discovery's format
    period: int  # least span between two steps of the decision module
    connect_time_out: int
    sockets: int  # connections in all
    client_sockets: int  # of `sockets`, for clients
    # Of `client_sockets`, how many may be idle after their answer before some are closed.
    client_idle: int
    disk: int  # bytes
    memory: int  # bytes
    admin: Optional[tuple[str, int]] = None  # address of the admin server; None: no server
    fleet: Optional[FleetConfig] = None  # None: membership is not imported
    trace: Optional[TraceFile] = None  # None: tracing is off
    # The value in the file that was read last, even if a variable overrides it.
    discovery_in_file: Optional[str] = None
    # What a later file must have; one that lacks a key of it is rejected.
    required_keys: RequiredKeys = RequiredKeys()


# The defaults are the users' figures on all their deployments.
DEFAULT_CONNECT_TIMEOUT = 1500 * MS
DEFAULT_DRAIN_GRACE = 500 * MS  # the shortest of the known deployments
DEFAULT_PERIOD = 5 * MS
# The users' maximum on scored days, so the defaults are never too large.
DEFAULT_SOCKETS, DEFAULT_DISK_MB, DEFAULT_MEMORY_MB = (
    1024,
    3,
    192,
)
# Idle connections are not used in the last part of their idle time, so that a request in transit
# does not cross the close.
IDLE_MARGIN = 200 * MS
# Descriptors that are not sockets: standard streams, log (2), signals (2), one spare.
RESERVED_DESCRIPTORS = 8
# Clients hold a third of a relay's descriptors at most, including idle connections. Idle ones that
# the relay keeps open for nobody would shut out new requests before the relay itself runs short of
# anything. An eighth leaves clients five eighths of their share for active requests. Incident
# rcb7e34 in docs/status.md shows the fault.
CLIENT_IDLE_DIVISOR = 8
# Concurrent connections of operators: a few people and a scraper, and as many again that hold a
# connection and send nothing.
MAX_ADMIN_CONNECTIONS = 8
# Connections that calls don't use: discovery, notices, and a spare for each.
RESERVED_OUTGOING = 4
# Enough for standard streams, log, discovery, notices, a listener and a few connections per side.
MIN_SOCKETS = 32


def parse_address(text, key: str) -> tuple[str, int]:
    """Returns host and port of ADDRESS:PORT, an IPv6 address in brackets; raises ConfigError."""
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
    """Reads the file that ROUTER_CONFIG names; values from the environment win over the file's.

    On SIGHUP `previous` is the configuration in use. Then the file's `discovery` is newer than the
    environment of the start, and wins, and the file must have each key that the previous one had.
    Raises ConfigError.
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
        try:
            check_required_keys(values, previous.required_keys)
        except MissingKey as error:
            raise ConfigError(f"{error}: missing; the previous file has it") from None
        environ = {
            key: text
            for key, text in environ.items()
            if key != "ROUTER_DISCOVERY" or "discovery" not in values
        }
    return parse_config(values, environ)


def check_positive(value, key: str) -> None:
    """Raises ConfigError for a value that is not a JSON number above 0; accepts an absent one."""
    is_number = isinstance(value, (int, NumberText)) and not isinstance(value, bool)
    if value is not None and not (is_number and 0 < float(value) < 1e15):
        raise ConfigError(f"{key}: {value!r} is not a positive number")


def read_object(values: dict, key: str, prefix: str = "") -> dict:
    """Returns the JSON object under a key, empty if absent; raises ConfigError for other values."""
    value = values.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{prefix}{key}: not an object")
    return value


def read_objects(values: dict, key: str) -> list[dict]:
    """Returns the list of objects under a key of `settings`; else raises ConfigError."""
    value = values.get(key, [])
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        raise ConfigError(f"settings.{key}: not a list of objects")
    return value


def read_key_file(path: str) -> list[bytes]:
    """Reads one or two keys in hex, one per line, from a file that only its owner may read.

    Raises ConfigError.
    """
    try:
        with open(path, encoding="ascii") as file:
            if os.fstat(file.fileno()).st_mode & 0o077:
                raise ConfigError(f"fleet.keyFile: {path}: readable by others than its owner")
            return parse_hex_keys(file.read().split(), "fleet.keyFile")
    except (OSError, ValueError) as error:
        raise ConfigError(f"fleet.keyFile: {path}: {error}") from None


def parse_hex_keys(texts, key: str) -> list[bytes]:
    """Returns the keys that the texts spell in hex; raises ConfigError."""
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
    """Parses `fleet` of the file; returns None, i.e. membership is off, if it is absent.

    The file may have the `keys` themselves if all of it is as secret as a key file.
    """
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
            "fleet.aloneAfterMs: under twice fleet.roundMs; one lost answer would mark it as alone"
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
    """Parses `trace` of the file; returns None, i.e. tracing is off, if it is absent."""
    rows = read_object(values, "trace")
    if not rows:
        return None
    for key in rows:
        if key not in ("file", "mb"):
            raise ConfigError(f"trace.{key}: unknown; one of file, mb")
    if not isinstance(rows.get("file"), str) or not rows["file"]:
        raise ConfigError("trace.file: missing; it names the file that the trace is written to")
    check_positive(rows.get("mb"), "trace.mb")
    max_bytes = ValueReader(flatten(rows), "trace.").get("mb", parse_float, DEFAULT_TRACE_MB)
    return TraceFile(rows["file"], int(max_bytes * 1_000_000))


DEDUP_SCOPES = ("all", "zone", "cell")


def check_class(row: dict, key_path: str) -> None:
    """Raises ConfigError for a callback class that lacks what its semantics need.

    A default instead would be a guarantee that nobody configured, and the relay could serve by it
    for a day before anybody notices.
    """
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
    """Builds the configuration from the file's values and the environment; raises ConfigError."""
    settings_object, limits, known = (
        read_object(values, "settings"),
        read_object(values, "limits"),
        read_object(values, "known"),
    )
    pairs = flatten(settings_object)
    reader, limit_reader = ValueReader(pairs, "settings."), ValueReader(flatten(limits), "limits.")
    parsed = parse_settings(pairs, "settings.")
    if not parsed.callback_classes:
        raise ConfigError("settings.grades: has no callback class")
    if len(name_indexes(settings_object, "grades")) != len(parsed.callback_classes):
        raise ConfigError("settings.grades: two classes have the same name")
    for n, row in enumerate(read_objects(settings_object, "grades")):
        check_class(row, f"settings.grades.{n}.")
    check_positive(
        read_object(settings_object, "allowed", "settings.").get("maxAttempts"),
        "settings.allowed.maxAttempts",
    )
    state = environ.get("ROUTER_STATE") or values.get("state")
    if not state:
        raise ConfigError("ROUTER_STATE: not set; it names the persistent folder")
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
    # Descriptors of operators (with the admin listener and two for an upgrade), of membership and
    # of the trace are set aside, so that neither side starves the other.
    available = (
        sockets
        - RESERVED_DESCRIPTORS
        - (MAX_ADMIN_CONNECTIONS + 3 if admin else 0)
        - (FLEET_SOCKETS if fleet_config else 0)
        - (1 if trace_config else 0)
    )
    # Half is for calls and idle connections to hosts, and at least enough for max_calls; but at
    # least a quarter is for clients.
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
        # On sockets the host list is sent only on request.
        settings=replace(
            parsed,
            list_on_request=True,
            # Each call needs a connection.
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
        required_keys=find_required_keys(values),
        discovery_in_file=str(values["discovery"]) if "discovery" in values else None,
    )


# Fields that SIGHUP applies.
APPLIED_ON_RELOAD = (
    "discovery",
    "settings",
    "callback_classes",
    "tenants",
    "fleet",
    "required_keys",
)
# Fields that are new with each start, or learned.
NOT_COMPARED = ("seed", "known", "zones", "discovery_in_file")
# Fields of `settings` that are fixed at the start, because existing objects are built from them.
FIXED_SETTINGS = ("kinds", "zone_fees", "connection_idle", "list_on_request")


def changes_at_next_start(old: Config, new: Config) -> list[str]:
    """Returns the names of the values that differ and apply only from the next start on."""
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
    """Updates `old` from a file that was read again, except what applies only at the next start."""
    new.settings = replace(
        new.settings,
        **{name: getattr(old.settings, name) for name in FIXED_SETTINGS},
        max_calls=min(new.settings.max_calls, old.sockets - old.client_sockets - RESERVED_OUTGOING),
    )
    for name in APPLIED_ON_RELOAD:
        setattr(old, name, getattr(new, name))


def name_indexes(settings_object: dict, key: str) -> dict[str, int]:
    """Returns name -> index for a list of names or of objects with a `name`."""
    rows = settings_object.get(key) or []
    if not isinstance(rows, list):
        raise ConfigError(f"settings.{key}: not a list")
    found = [str(row.get("name", "")) if isinstance(row, dict) else str(row) for row in rows]
    return {name: n for n, name in enumerate(found)}
