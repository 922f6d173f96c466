"""What a host's answer says: the outcome of its call, the wait and the limit that it tells. Pure functions over a head and a body."""

import re
from dataclasses import replace
from typing import Optional

from molehill.config import SECOND, ConfigError, nanos
from molehill.core import events as ev
from molehill.core.permission import Refusal
from molehill.interface import Result

SECOND_DIGITS = 9  # of a decimal second, down to a nanosecond
LONGEST_WAIT = 3600 * SECOND
# status -> outcome of a call of one; 200 in a call of several is read line by line
STATUS = {
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
LINES = {
    "delivered": STATUS[200],
    "failed": STATUS[500],
    "refused": STATUS[503],
    "over": STATUS[410],
    "spent": STATUS[504],
}
REPORT = re.compile(
    r"\w+=\d+(\.\d+)?([eE][+-]?\d+)?( *, *\w+=\d+(\.\d+)?([eE][+-]?\d+)?)*", re.ASCII
)
NO_ROOM = ev.AttemptOutcome("", Result.NO_CONNECT)
LINE_BUSY = ev.AttemptOutcome("", Result.NOT_SENT, reason=Refusal.LINE_BUSY)
OTHER = ev.AttemptOutcome(
    "", Result.ERROR
)  # an answer that the protocol does not know: it may have run


def outcome(head, fresh: bool) -> ev.AttemptOutcome:
    """Of a call of one, or of several that fare alike. `fresh`: the call was the first on its connection."""
    if head.status != 503:
        return STATUS.get(head.status, OTHER)
    if head.headers.get("x-line-busy") == "1":
        return LINE_BUSY
    # Danger: a host that holds as many connections as it takes says so by this, and only to those who have none. Taken for a
    # limit that is used up, relays that hold idle ones go on holding them, and the others wait for room that is there.
    if not head.keep and fresh:
        return NO_ROOM
    return STATUS[503]


def outcomes_by_line(members, body: bytes, wait: int) -> list[ev.AttemptOutcome]:
    """Each callback's end by the answer's lines; one that no line names may have run. `wait`: told with the answer, in ns."""
    told = {}
    for line in body.decode("latin-1").splitlines():
        ident, _, word = line.strip().rpartition(" ")
        told[ident.strip()] = LINES.get(word, OTHER)
    ends = []
    for member in members:
        end = told.get(member.id, ev.AttemptOutcome("", Result.RESET))
        ends.append(
            replace(end, id=member.id, retry_after=wait if end.result is Result.REFUSED else 0)
        )
    if wait and not any(end.retry_after for end in ends):
        ends[0].retry_after = wait  # the wait binds whatever became of each
    return ends


def told_limit(head, tells_limit: bool) -> tuple[float, Optional[float]]:
    """The limit in calls a second and the share of it that is left; 0 and None where none is told or the report is spoilt, be it in
    another field."""
    report = head.headers.get("srv-load", "")
    if not tells_limit or not REPORT.fullmatch(report):
        return 0.0, None
    values = dict(part.strip().split("=") for part in report.split(","))
    rate, left = float(values.get("x1", 0.0)), float(values.get("x0", -1.0))
    if not 0.0 < rate < 1e9:
        return 0.0, None
    return rate, min(left, 1.0) if left >= 0.0 else None


def retry_after(head) -> int:
    """The told wait in nanoseconds, whole or decimal seconds; 0 where none is told."""
    try:
        wait = nanos(head.headers.get("retry-after", "0"), SECOND_DIGITS)
    except ConfigError:
        return 0
    return max(0, min(wait, LONGEST_WAIT))
