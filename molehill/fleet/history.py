"""One history out of those that the processes wrote: (time, who, what, facts), in order, from the run's beginning on.

Time is that of the emulator's world (START when load begins). Stamps of two processes are of one monotonic clock, taken before an act and
after a sight: of two that are tied by a cause, the cause is first. `doubt`: how much earlier than its stamp a thing that was seen may
have happened: the most that any stand-in was late (the conductor sees nothing, it acts).
"""

from pathlib import Path

import msgspec

from molehill.emulator.world import START


class History:
    """`rows`: the run; `rest`: what came before load began or after its end, in order as well; `folder`: where files lie that it names."""

    def __init__(self, rows, doubt: int = 0, folder=None, rest=()):
        self.rows, self.doubt, self.folder, self.rest = rows, doubt, folder, list(rest)
        self.lateness = {}  # process of the rig -> by how much it was late at most


def read(folder) -> History:
    """Of a run's folder. Raises ValueError for one whose run did not begin."""
    folder, lines = Path(folder), []
    for path in sorted(folder.glob("*.history")):
        for n, line in enumerate(path.read_bytes().splitlines()):
            try:
                stamp, process, who, what, facts = msgspec.json.decode(line)
            except (msgspec.DecodeError, ValueError):
                continue  # the last line of a process that was cut off
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
        # What led up to the run (starts, the first lists) is part of it; what its end brings is not.
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
    """Rows with names for what a cable saw of a connection that the far end numbered, and calls with the time at which they were written."""
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
            # Danger: by how much the host's loop woke late is not known. So what was passed on since the call before is this one's.
            rows, since = held[peers[facts["conn"]]], facts["since"]
            while rows and rows[0][0] <= now:
                since = min(since, rows.pop(0)[1])
            made[n] = now, who, what, {**facts, "since": since}
    return made
