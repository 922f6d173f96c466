"""Translates between the simulator's text protocol and the types of molehill/interface.py."""

from molehill import interface
from molehill.config import (
    NS_DIGITS,
    ConfigError,
    parse_choice,
    parse_float,
    parse_integer,
    parse_nanoseconds,
)

RESULTS = {
    "S": interface.Result.DELIVERED,
    "E": interface.Result.ERROR,
    "F": interface.Result.REFUSED,
    "T": interface.Result.TIMEOUT,
    "C": interface.Result.NO_CONNECT,
    "R": interface.Result.RESET,
    "X": interface.Result.CANCELLED,
    "N": interface.Result.NOT_SENT,
}
CONDITIONS = {
    "up": interface.Condition.UP,
    "draining": interface.Condition.DRAINING,
    "removed": interface.Condition.GONE,
}
SCOPES = {
    "update": interface.ListScope.UPDATE,
    "replace": interface.ListScope.WHOLE,
    "restored": interface.ListScope.RESTORED,
    "unavailable": interface.ListScope.FAILED,
}


class WireError(ConfigError):
    """A line that the protocol does not allow."""


def format_milliseconds(span: int) -> str:
    """Formats a span of nanoseconds in milliseconds, rounded up to whole microseconds."""
    microseconds = -(-span // 1000)
    return f"{microseconds // 1000}.{microseconds % 1000:03d}"


def parse_optional(text: str, parse, default):
    """Returns the parsed text, or the default for '-'."""
    return default if text == "-" else parse(text)


def advertised_limit(fields: list[str], index: int, positions):
    """Returns the limit in calls a second and its remaining share, from an outcome's telemetry.

    The telemetry is the field at `index`; `positions` say where it holds the two values, None: not
    at all. Without a limit the result is 0.0 and None.
    """
    values = (
        fields[index].split(",")
        if positions is not None and len(fields) > index and fields[index] != "-"
        else []
    )
    rate, share_left = (
        parse_float(values[n]) if n is not None and len(values) > n else None
        for n in positions or (None, None)
    )
    return rate or 0.0, share_left if rate else None


def parse_host_entry(fields: list[str]) -> interface.HostEntry:
    """Parses the values of a 'host' line; ConfigError if one is invalid."""
    return interface.HostEntry(
        parse_integer(fields[0]),
        parse_optional(fields[1], parse_integer, 0),
        parse_optional(fields[2], parse_integer, 0),
        parse_integer(fields[3]),
        parse_choice(fields[4], CONDITIONS),
        parse_optional(fields[5], parse_float, 0.0),
    )


def parse_new_callback(fields: list[str]) -> interface.NewCallback:
    """Parses the values of a 'new_request' event; ConfigError if one is invalid."""
    return interface.NewCallback(
        parse_integer(fields[0]),
        parse_integer(fields[1]),
        parse_optional(fields[2], parse_integer, 0),
        parse_optional(fields[3], str, None),
        parse_nanoseconds(fields[4]),
        parse_integer(fields[6]),
    )


def parse_outcome(fields: list[str], positions) -> interface.Outcome:
    """Parses the values of a 'reply' event; `positions` as in `advertised_limit`.

    A Retry-After counts for refusals only. Raises ConfigError if a value is invalid.
    """
    result = parse_choice(fields[3], RESULTS)
    retry_after_ms = parse_optional(fields[1], parse_integer, 0)
    rate, share_left = advertised_limit(fields, 7, positions)
    return interface.Outcome(
        parse_integer(fields[0]),
        parse_integer(fields[5]),
        parse_integer(fields[6]),
        result,
        parse_nanoseconds(fields[2]),
        retry_after_ms * 10**NS_DIGITS if result is interface.Result.REFUSED else 0,
        fields[4] == "1",
        rate,
        advertised_share_left=share_left,
    )


# event name -> least number of values after the instance, and their parser
EVENT_PARSERS = {
    "new_request": (7, parse_new_callback),
    "timer": (1, lambda fields: interface.TimerExpired(fields[0])),
    "dropped": (1, lambda fields: interface.CallbackWithdrawn(parse_integer(fields[0]))),
}
# events of peers, streams and probes: the decision module uses none of them
IGNORED_EVENTS = {
    "whisper",
    "ack_first",
    "probe_result",
}


def parse_pairs(pairs: list[str]) -> dict[str, str]:
    """Parses the path=value pairs of a 'launch' event; WireError if one is malformed."""
    values_by_path = {}
    for text in pairs:
        path, separator, value = text.partition("=")
        if not separator:
            raise WireError(f"'{text}' is not path=value")
        values_by_path[path] = value
    return values_by_path


def format_action(instance: int, action) -> str:
    """Formats an action of an instance as a line; TypeError for an unknown type."""
    if type(action) is interface.StartAttempt:
        return f"deliver {instance} {action.callback} {action.host} {format_milliseconds(action.timeout)}\n"
    if type(action) is interface.SetTimer:
        return f"defer {instance} {format_milliseconds(action.delay)} {action.token}\n"
    if type(action) is interface.Reject:
        return f"reject {instance} {action.callback} {format_milliseconds(action.retry_after)}\n"
    if type(action) is interface.Fail:
        return f"abort {instance} {action.callback}\n"
    if type(action) is interface.CloseIdle:
        return f"release {instance} {action.host}\n"
    if type(action) is interface.WatchHostList:
        return f"listen {instance} 1\n"
    if type(action) in (interface.ReportHealth, interface.LogMessage):
        return f"note_down {instance} {' '.join(action.text.split())}\n"
    raise TypeError(f"no message for action {action!r}")
