"""Reads from a host's answer the outcome of its call, its Retry-After and its advertised limit.

All functions are pure: they take a head and a body.
"""

import re
from dataclasses import replace
from typing import Optional

from molehill.config import SECOND, ConfigError, parse_nanoseconds
from molehill.core import events as ev
from molehill.core.permission import Refusal
from molehill.http.parser import Head
from molehill.interface import Result

SECOND_DECIMALS = 9  # decimal places of seconds, down to a nanosecond
MAX_RETRY_AFTER = 3600 * SECOND
# outcome of a call with one callback by status; a 200 to a bundle is read line by line
END_BY_STATUS = {
    200: ev.AttemptOutcome("", Result.DELIVERED, completed=True),
    500: ev.AttemptOutcome("", Result.ERROR),
    429: ev.AttemptOutcome("", Result.REFUSED),
    503: ev.AttemptOutcome("", Result.REFUSED),
    400: ev.AttemptOutcome("", Result.REFUSED),
    413: ev.AttemptOutcome("", Result.REFUSED),
    410: ev.AttemptOutcome("", Result.NOT_SENT, completed=True, reason=Refusal.HOST_SAYS_OVER),
    504: ev.AttemptOutcome(
        "", Result.NOT_SENT, attempts_exhausted=True, reason=Refusal.HOST_SAYS_SPENT
    ),
}
END_BY_WORD = {
    "delivered": END_BY_STATUS[200],
    "failed": END_BY_STATUS[500],
    "refused": END_BY_STATUS[503],
    "over": END_BY_STATUS[410],
    "spent": END_BY_STATUS[504],
}
LOAD_REPORT = re.compile(
    r"\w+=\d+(\.\d+)?([eE][+-]?\d+)?( *, *\w+=\d+(\.\d+)?([eE][+-]?\d+)?)*", re.ASCII
)
NO_CONNECTION_ROOM = ev.AttemptOutcome("", Result.NO_CONNECT)
LINE_BUSY = ev.AttemptOutcome("", Result.NOT_SENT, reason=Refusal.LINE_BUSY)
# an answer that the protocol doesn't define: the callback may have run
UNKNOWN_ANSWER = ev.AttemptOutcome("", Result.ERROR)


def call_ends(
    call: ev.Call, head: Head, body: bytes, on_new_connection: bool
) -> list[ev.AttemptOutcome]:
    """Returns the outcome that an answer gives to each callback of its call.

    `on_new_connection`: the call was the first on its connection.
    """
    wait = retry_after(head)
    if call.is_bundle and head.status == 200:
        return ends_by_line(call.callbacks, body, wait)
    end = call_end(head, on_new_connection)
    return [replace(end, id=member.id, retry_after=wait) for member in call.callbacks]


def distinguishes_its_call(head: Head, body: bytes, ends: list[ev.AttemptOutcome]) -> bool:
    """Returns whether an answer can be taken for different from those to all other calls.

    The body of an answer with 200 differs from call to call at most hosts. A callback that was
    delivered is in no later call, so the lines of a bundle's answer do not come again either.
    """
    return head.status == 200 and bool(body) and all(end.result is Result.DELIVERED for end in ends)


def call_end(head, on_new_connection: bool) -> ev.AttemptOutcome:
    """Returns the outcome that an answer's head gives to the callbacks of its call.

    `on_new_connection`: the call was the first on its connection.
    """
    if head.status != 503:
        return END_BY_STATUS.get(head.status, UNKNOWN_ANSWER)
    if head.headers.get("x-line-busy") == "1":
        return LINE_BUSY
    # A host with as many connections as it accepts answers like this, and only to relays that have
    # none. If that were read as a used-up limit, relays with idle connections would keep them, and
    # the other relays would wait although the host has capacity.
    if not head.keep_alive and on_new_connection:
        return NO_CONNECTION_ROOM
    return END_BY_STATUS[503]


def ends_by_line(members, body: bytes, wait: int) -> list[ev.AttemptOutcome]:
    """Returns each callback's outcome by the lines of a bundle's answer.

    A callback that no line names may have run. `wait`: the answer's Retry-After in nanoseconds.
    """
    reported = {}
    for line in body.decode("latin-1").splitlines():
        callback_id, _, word = line.strip().rpartition(" ")
        reported[callback_id.strip()] = END_BY_WORD.get(word, UNKNOWN_ANSWER)
    ends = []
    for member in members:
        end = reported.get(member.id, ev.AttemptOutcome("", Result.RESET))
        ends.append(
            replace(end, id=member.id, retry_after=wait if end.result is Result.REFUSED else 0)
        )
    if wait and not any(end.retry_after for end in ends):
        ends[0].retry_after = wait  # Retry-After applies whatever the outcomes
    return ends


def advertised_limit(head, is_advertised: bool) -> tuple[float, Optional[float]]:
    """Returns the advertised limit in calls a second, and the share of it that is left.

    `is_advertised`: whether the settings let hosts advertise one. Without a limit they are 0 and
    None, and likewise if any field of the load report is malformed.
    """
    report = head.headers.get("srv-load", "")
    if not is_advertised or not LOAD_REPORT.fullmatch(report):
        return 0.0, None
    values = dict(part.strip().split("=") for part in report.split(","))
    rate, remaining_share = float(values.get("x1", 0.0)), float(values.get("x0", -1.0))
    if not 0.0 < rate < 1e9:
        return 0.0, None
    return rate, min(remaining_share, 1.0) if remaining_share >= 0.0 else None


def retry_after(head) -> int:
    """Returns Retry-After, whole or decimal seconds, in nanoseconds; 0 if there is none."""
    try:
        wait = parse_nanoseconds(head.headers.get("retry-after", "0"), SECOND_DECIMALS)
    except ConfigError:
        return 0
    return max(0, min(wait, MAX_RETRY_AFTER))
