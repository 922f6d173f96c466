"""Merges the histories of the processes of a run into one: (time, who, what, facts), in order.

Times are those of the emulator's world (START when load begins). The stamps of all processes come
from one monotonic clock, and are taken before an action and after an observation: so a cause is
before its effect. `doubt` is how much earlier than its stamp an observed event may have happened:
the largest lateness of any stand-in (the conductor observes nothing, it only acts).
"""

from pathlib import Path

import msgspec

from molehill.emulator.world import START


class History:
    """The events of one run.

    `rows`: those up to the end of the run; `rest`: later ones, in order as well; `doubt`: in ns;
    `folder`: where the files are that events name.
    """

    def __init__(self, rows, doubt: int = 0, folder=None, rest=()):
        self.rows, self.doubt, self.folder, self.rest = rows, doubt, folder, list(rest)
        self.lateness = {}  # process of the rig -> its largest lateness in ns


def read(folder) -> History:
    """Reads the history in the folder of a run. Raises ValueError if the run did not begin."""
    folder, lines = Path(folder), []
    for path in sorted(folder.glob("*.history")):
        for n, line in enumerate(path.read_bytes().splitlines()):
            try:
                stamp, process, who, what, facts = msgspec.json.decode(line)
            except (msgspec.DecodeError, ValueError):
                continue  # the cut off last line of a process that was killed
            lines.append((stamp, process, n, who, what, facts))
    lines.sort(key=lambda row: row[:3])
    begun = [facts for *_, what, facts in lines if what == "begins"]
    if not begun:
        raise ValueError(f"{folder}: no run begins here")
    zero, rows, rest, late = begun[0]["zero"], [], [], {}
    over = next((stamp for stamp, *_, what, _ in lines if what == "ends"), lines[-1][0])
    for stamp, process, _, who, what, facts in lines:
        if what == "lateness":
            late[process] = facts["most"]
        # What precedes the run (starts, the first lists) is part of it; what its end causes is not.
        (rows if stamp <= over else rest).append((START + stamp - zero, who, what, facts))
    history = History(
        resolve_proxy_events(rows),
        max((span for process, span in late.items() if process != "conductor"), default=0),
        folder,
        rest,
    )
    history.lateness, history.wall = late, begun[0]["wall"]
    return history


def resolve_proxy_events(rows):
    """Resolves the proxies' events to the numbers that the far ends gave to their connections.

    Calls that a proxy held back get the time at which the relay wrote them.
    """
    numbers, held, made = {}, {}, []
    for now, who, what, facts in rows:
        if what == "accepted":
            numbers[facts["peer"]] = facts["conn"]
        elif what == "hung up" and "peer" in facts:
            if facts["peer"] not in numbers:
                continue
            facts = {"conn": numbers[facts["peer"]]}
        elif what == "held":
            held.setdefault(facts["peer"], []).append((now, now - facts["span"]))
        made.append((now, who, what, facts))
    if not held:
        return made
    peers = {}
    for n, (now, who, what, facts) in enumerate(made):
        if what == "accepted":
            peers[facts["conn"]] = facts["peer"]
        elif what == "call" and peers.get(facts["conn"]) in held:
            # How late the host's loop woke is not known, so all that was forwarded since the call
            # before is taken for this one's.
            rows, since = held[peers[facts["conn"]]], facts["since"]
            while rows and rows[0][0] <= now:
                since = min(since, rows.pop(0)[1])
            made[n] = now, who, what, {**facts, "since": since}
    return made
