"""The bench's text wire, both ways. It translates and nothing else; molehill/interface.py has the types."""

from molehill import interface as it
from molehill.config import NS_DIGITS, ConfigError, named, nanos, real, whole

RESULTS = {
    "S": it.Result.DELIVERED,
    "E": it.Result.ERROR,
    "F": it.Result.FULL,
    "T": it.Result.TIMEOUT,
    "C": it.Result.NO_CONNECT,
    "R": it.Result.RESET,
    "X": it.Result.CANCELLED,
    "N": it.Result.NOT_SENT,
}
CONDITIONS = {
    "up": it.Condition.UP,
    "draining": it.Condition.DRAINING,
    "removed": it.Condition.GONE,
}
SCOPES = {
    "update": it.Scope.UPDATE,
    "replace": it.Scope.WHOLE,
    "restored": it.Scope.RESTORED,
    "unavailable": it.Scope.FAILED,
}


class WireError(ConfigError):
    """A line that the wire's page does not allow."""


def millis(span: int) -> str:
    """A span in nanoseconds to milliseconds, rounded up to the wire's microsecond."""
    micros = -(-span // 1000)
    return f"{micros // 1000}.{micros % 1000:03d}"


def maybe(text: str, read, absent):
    return absent if text == "-" else read(text)


def told_limit(p: list[str], at: int, places):
    """The report's limit in calls a second and the share of it that is left, at their places among the fields."""
    values = p[at].split(",") if places is not None and len(p) > at and p[at] != "-" else []
    rate, left = (
        real(values[n]) if n is not None and len(values) > n else None
        for n in places or (None, None)
    )
    return rate or 0.0, left if rate else None


def entry(parts: list[str]) -> it.HostEntry:
    return it.HostEntry(
        whole(parts[0]),
        maybe(parts[1], whole, 0),
        maybe(parts[2], whole, 0),
        whole(parts[3]),
        named(parts[4], CONDITIONS),
        maybe(parts[5], real, 0.0),
    )


def new_callback(p: list[str]) -> it.NewCallback:
    return it.NewCallback(
        whole(p[0]),
        whole(p[1]),
        maybe(p[2], whole, 0),
        maybe(p[3], str, None),
        nanos(p[4]),
        whole(p[6]),
    )


def outcome(p: list[str], places) -> it.Outcome:
    result = named(p[3], RESULTS)
    note = maybe(p[1], whole, 0)
    rate, left = told_limit(p, 7, places)
    return it.Outcome(
        whole(p[0]),
        whole(p[5]),
        whole(p[6]),
        result,
        nanos(p[2]),
        note * 10**NS_DIGITS if result is it.Result.FULL else 0,
        p[4] == "1",
        rate,
        told_left=left,
    )


# event name -> fewest values after the instance, how they are read
EVENTS = {
    "new_request": (7, new_callback),
    "timer": (1, lambda p: it.Timer(p[0])),
    "dropped": (1, lambda p: it.Withdrawn(whole(p[0]))),
}
UNUSED = {"whisper", "ack_first", "probe_result"}  # peers, streams, probes: the module uses none


def pairs(texts: list[str]) -> dict[str, str]:
    """The pairs of the launch message by path."""
    given = {}
    for text in texts:
        path, eq, value = text.partition("=")
        if not eq:
            raise WireError(f"'{text}' is not path=value")
        given[path] = value
    return given


def action_line(instance: int, action) -> str:
    if type(action) is it.Launch:
        return f"deliver {instance} {action.callback} {action.host} {millis(action.time_out)}\n"
    if type(action) is it.Wake:
        return f"defer {instance} {millis(action.span)} {action.token}\n"
    if type(action) is it.Reject:
        return f"reject {instance} {action.callback} {millis(action.come_back)}\n"
    if type(action) is it.Fail:
        return f"abort {instance} {action.callback}\n"
    if type(action) is it.CloseIdle:
        return f"release {instance} {action.host}\n"
    if type(action) is it.FollowList:
        return f"listen {instance} 1\n"
    if type(action) is it.Health:
        return f"note_down {instance} {' '.join(action.text.split())}\n"
    raise TypeError(f"no line for {action!r}")
