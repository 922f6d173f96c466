"""Lists the events of one callback, host, relay or span of a run from its folder.

These are the events of the stand-ins and the relays' own log lines, in order of time.
"""

import re

from molehill.config import MS
from molehill.emulator.world import START
from molehill.fleet import history
from molehill.fleet.members import TIMESTAMP, log_rows

# events for the rig itself
HIDDEN_EVENTS = ("figures", "view", "traffic", "cpu", "lateness", "accepted", "held")


def callback_names(told, word: str) -> set[str]:
    """All names of a callback: its program's number and an id for each time it was submitted."""
    names = {word}
    for _, _, what, facts in told.rows:
        if what == "asked" and word in (facts["id"], facts["message"]):
            names |= {facts["id"], facts["message"]}
    return names - {None}


def event_lines(folder, about=(), first_ms=None, last_ms=None) -> list[str]:
    """Returns lines that name one of `about` (all lines if it is empty) within the span."""
    told = history.read(folder)
    names = {name for word in about for name in callback_names(told, word)}
    patterns = [re.compile(rf"(?<![\w.-]){re.escape(name)}(?![\w-]|\.\d)") for name in names]
    rows = [
        (at, n, who, f"{what} " + " ".join(f"{name}={value}" for name, value in facts.items()))
        for n, (at, who, what, facts) in enumerate(told.rows)
        if what not in HIDDEN_EVENTS
    ]
    rows += [
        (at, 1 << 40, who, "says " + TIMESTAMP.sub("", line).strip())
        for at, who, line in log_rows(folder, told)
    ]
    lines = []
    for at, _, who, text in sorted(rows, key=lambda row: row[:2]):
        ms = (at - START) / MS
        if (
            (first_ms is None or ms >= first_ms)
            and (last_ms is None or ms <= last_ms)
            and (not patterns or any(p.search(who) or p.search(text) for p in patterns))
        ):
            lines.append(f"{ms:12.3f} {who:>10}  {text}")
    return lines


def views(folder) -> list[dict]:
    """Returns the view of the others that each relay had that was running at the end."""
    told = history.read(folder)
    return [facts["view"] for _, _, what, facts in [*told.rows, *told.rest] if what == "view"]
