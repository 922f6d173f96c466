"""The story of one callback, host, relay or span, out of a kept run: stand-ins' events and the relays' own log lines, in order."""
import re
from datetime import datetime

from molehill.config import MS
from molehill.emulator.world import START
from molehill.fleet import history

STAMP = re.compile(r"timestamp='([^']+)'")
PRIVATE = ("figures", "traffic", "cpu", "lateness", "accepted", "held")      # the rig's own bookkeeping


def log_rows(folder, told):
    """(time, relay, line) of what relays wrote; their wall clock is set beside the rig's as the run began."""
    for path in sorted(folder.glob("relay*.log")):
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
            found = STAMP.search(line)
            if found:
                moment = datetime.fromisoformat(found.group(1).replace("Z", "+00:00"))
                at = START + int(moment.timestamp() * 1000) * MS - told.wall
                yield at, path.stem, "says " + STAMP.sub("", line).strip()


def callback_names(told, word: str) -> set[str]:
    """A callback is known by its program's number and by an id for each time it was handed in."""
    names = {word}
    for _, _, what, facts in told.rows:
        if what == "asked" and word in (facts["id"], facts["message"]):
            names |= {facts["id"], facts["message"]}
    return names - {None}


def story(folder, about=(), first_ms=None, last_ms=None) -> list[str]:
    """Lines that name one of `about` (all, if empty), within the span."""
    told = history.read(folder)
    names = {name for word in about for name in callback_names(told, word)}
    patterns = [re.compile(rf"(?<![\w.-]){re.escape(name)}(?![\w-]|\.\d)") for name in names]
    rows = [(at, n, who, f"{what} " + " ".join(f"{name}={value}" for name, value in facts.items()))
            for n, (at, who, what, facts) in enumerate(told.rows) if what not in PRIVATE]
    rows += [(at, 1 << 40, who, text) for at, who, text in log_rows(folder, told)]
    lines = []
    for at, _, who, text in sorted(rows, key=lambda row: row[:2]):
        ms = (at - START) / MS
        if (first_ms is None or ms >= first_ms) and (last_ms is None or ms <= last_ms) and (
                not patterns or any(p.search(who) or p.search(text) for p in patterns)):
            lines.append(f"{ms:12.3f} {who:>10}  {text}")
    return lines
