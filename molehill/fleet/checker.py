"""Checks the history of a run: a table of properties, each a pure function that returns findings.

It uses nothing of the relays' code. A finding is kept, broken, unknown (the history does not allow
a decision) or void (the rig did not do what the run was to show). The word of the run is the first
in VERDICT_ORDER that a finding has; nothing counts as kept because it was not checked.
"""

import re
from bisect import bisect_left, bisect_right
from collections import Counter, namedtuple

from molehill.config import MS, SECOND
from molehill.emulator.referee import AFTER_READY, Referee
from molehill.emulator.scenario import FAULTS, directions
from molehill.emulator.world import START, World
from molehill.fleet import members

KEPT, UNKNOWN, BROKEN, VOID = "kept", "unknown", "broken", "void"
VERDICT_ORDER = (VOID, BROKEN, UNKNOWN, KEPT)  # the first that a finding has is the word of the run
# A rig that was later voids the run: a relay on the same cores was as late, and rule 1 allows it
# 350 ms.
MAX_RIG_LATENESS = 250 * MS
# The conductor may be later, behind its script: it observes nothing that is judged, and stamps what
# it does at the time at which it does it.
CONDUCTOR, MAX_CONDUCTOR_LATENESS = "conductor", SECOND
# A longer stall that a relay reports, and no fault caused, is put down to the machine: void.
MAX_STALL = 250 * MS
# A relay stalled by itself if its stall is STALL_RATIO times that of any other, among at least
# STALL_PEERS relays.
STALL_PEERS, STALL_RATIO = 5, 5
IN_FLIGHT_TIME = 5 * MS  # for what is in flight when a cut begins
EFFECT_LEAD_TIME = SECOND  # what happened so long before a kill or a pause counts as touched by it

Finding = namedtuple("Finding", "property word text facts")


def six_rules(history, scenario) -> list[Finding]:
    """Feeds the emulator's referee from the history; the rig's lateness widens its bounds."""
    world = World(scenario.seed)
    referee = Referee(world, scenario, history.doubt)
    for now, who, what, facts in history.rows:
        world.run(now)
        if world.failure is not None:
            break
        world.now = now
        if what == "left on disk":
            referee.left_on_disk(who, {"": (history.folder / facts["file"]).read_bytes()})
        world.tell(who, what, **facts)
    failure = world.failure
    history.summary = referee.summary()
    if failure is not None:
        return [
            Finding(
                "six rules",
                BROKEN,
                f"rule {failure['rule']}: {failure['text']}",
                {"at_ms": failure["at_ms"], **failure["facts"]},
            )
        ]
    asked = Counter(what for _, _, what, _ in history.rows)
    if not asked["heard"] or not asked["call"]:
        return [
            Finding(
                "six rules", UNKNOWN, "nobody was served: nothing was there to judge", dict(asked)
            )
        ]
    left = [t.id for rows in referee.taken.values() for t in rows if t.state == "held" and t.owed]
    if left:
        return [
            Finding(
                "six rules",
                UNKNOWN,
                "taken on, and the run was over before its end could be told",
                {"ids": left[:5], "count": len(left)},
            )
        ]
    return [Finding("six rules", KEPT, "", {})]


def no_crash(history, scenario) -> list[Finding]:
    """No relay ended that the rig had not ended."""
    rows = [(who, facts) for _, who, what, facts in history.rows if what == "crashed"]
    return [
        Finding("no crash", BROKEN, "a relay ended that nobody had ended", {"relay": who, **facts})
        for who, facts in rows[:5]
    ] or [Finding("no crash", KEPT, "", {})]


def invariants(history, scenario) -> list[Finding]:
    """No relay logged a traceback or a broken invariant.

    Release builds, which have no asserts, count broken invariants and log them.
    """
    if history.folder is None:
        return []  # emulated: invariants are asserted as they are checked
    for path in sorted(history.folder.glob("relay*.log")):
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
            if "broken invariant" in line or line.startswith("Traceback"):
                return [
                    Finding(
                        "invariants",
                        BROKEN,
                        "a relay says that one of its invariants is broken",
                        {"relay": path.stem, "line": line[:300]},
                    )
                ]
    return [Finding("invariants", KEPT, "", {})]


def faults_hit(history, scenario) -> list[Finding]:
    """Each fault has touched something; otherwise the run shows nothing about it."""
    counts = count_touched(history, scenario)
    idle = [
        f"{f.kind} on {f.who} at {f.at_ms} ms"
        for f, count in zip(scenario.faults, counts)
        if not count
    ]
    facts = {
        "touched": [
            {"kind": f.kind, "who": f.who, "at_ms": f.at_ms, "count": n}
            for f, n in zip(scenario.faults, counts)
        ]
    }
    return (
        [Finding("faults hit", VOID, f"touched nothing: {', '.join(idle)}", facts)]
        if idle
        else [Finding("faults hit", KEPT, "", facts)]
    )


def causes_first(history, scenario) -> list[Finding]:
    """A call comes after its callback was asked for, and an answer after its call.

    Otherwise the timestamps of two processes can't be compared.
    """
    asked, called = {}, {}
    for now, who, what, facts in history.rows:
        if what == "asked":
            asked.setdefault(facts["id"], now)
        elif what == "call":
            called[facts["call"]] = now
            early = [ident for ident in facts["ids"] if ident not in asked]
            if early:
                return [
                    Finding(
                        "causes first",
                        VOID,
                        "a call stands before its callback was asked for",
                        {"ids": early[:3], "call": facts["call"]},
                    )
                ]
        elif what == "call answered" and facts["call"] not in called:
            return [
                Finding(
                    "causes first",
                    VOID,
                    "an answer stands before its call",
                    {"call": facts["call"]},
                )
            ]
    return [Finding("causes first", KEPT, "", {})]


def cuts_hold(history, scenario) -> list[Finding]:
    """Nothing that a relay sends passes a cut; checked at the receiver, not at the proxy."""
    slack = history.doubt + IN_FLIGHT_TIME
    cuts = {}
    for fault in scenario.faults:
        for a, b in directions(scenario, fault.who) if fault.kind == "cut" else ():
            cuts.setdefault((a, b), []).append(
                (
                    START + fault.at_ms * MS + slack,
                    START + (fault.at_ms + fault.span_ms) * MS - slack,
                )
            )
    for now, who, what, facts in history.rows:
        way = {
            "call": lambda: (facts["relay"], facts["host"]),
            "notice": lambda: (facts["relay"], "platform"),
        }.get(what, lambda: None)()
        for begun, over in cuts.get(way, ()):
            if begun < now < over:
                return [
                    Finding(
                        "cuts hold",
                        VOID,
                        "something came through a cut",
                        {"way": "%s>%s" % way, "what": what, "at_ms": (now - START) / MS},
                    )
                ]
    return [Finding("cuts hold", KEPT, "", {})]


def rig_in_time(history, scenario) -> list[Finding]:
    """The machine ran the rig and the relays without long delays."""
    if history.folder is None:
        return []
    facts = {process: round(late / MS, 1) for process, late in history.lateness.items()}
    silent = [process for process, late in history.lateness.items() if late < 0] or ["all"] * (
        not facts
    )
    if silent:
        return [Finding("rig in time", VOID, f"nothing tells how late these were: {silent}", facts)]
    stood = longest_stalls(history, scenario)
    for process, late in history.lateness.items():
        bound = MAX_CONDUCTOR_LATENESS if process == CONDUCTOR else MAX_RIG_LATENESS
        if late > bound:
            return [
                Finding(
                    "rig in time",
                    VOID,
                    f"{process} was {facts[process]} ms late, {bound // MS} at most",
                    facts,
                )
            ]
    if stalled_alone(stood, history.lateness):
        return [
            Finding(
                "rig in time",
                BROKEN,
                f"of all on this machine one relay alone stood: {stood} ms",
                facts,
            )
        ]
    if stood and max(stood.values()) > MAX_STALL / MS:
        return [
            Finding(
                "rig in time", VOID, f"relays stood {stood} ms, {MAX_STALL // MS} at most", facts
            )
        ]
    return [
        Finding(
            "rig in time", KEPT, "", {**facts, **{f"{who} stood": ms for who, ms in stood.items()}}
        )
    ]


def stalled_alone(stood: dict, late: dict) -> bool:
    """Whether a relay stalled by itself: no stand-in and no other relay was late by nearly as much.

    `stood`: relay -> ms; `late`: process of the rig -> ns.
    """
    spans = sorted(stood.values())
    if len(spans) < STALL_PEERS or spans[-1] <= MAX_STALL / MS:
        return False
    others = max(
        [spans[-2], *(span / MS for process, span in late.items() if process != CONDUCTOR)]
    )
    return spans[-1] > STALL_RATIO * others


def longest_stalls(history, scenario) -> dict:
    """Longest stall in ms that each relay logged, for those that no fault of the script stalled."""
    made_to = {f.who for f in scenario.faults if f.kind in ("freeze", "starve", "upgrade")}
    found = {}
    for path in sorted(history.folder.glob("relay*.log")):
        spans = [
            float(ms)
            for ms in re.findall(
                r"\bstood_ms=([0-9.]+)", path.read_text(encoding="utf-8", errors="replace")
            )
        ]
        if spans and path.stem not in made_to:
            found[path.stem] = max(spans)
    return found


def figures_consistent(history, scenario) -> list[Finding]:
    """Compares the relays' own counts with what their hosts saw.

    Relays that a fault ended or cut off are left out.
    """
    if history.folder is None:
        return []  # the emulator compares them itself
    said = {
        who: facts["rows"]
        for _, who, what, facts in [*history.rows, *history.rest]
        if what == "figures"
    }
    troubled = {f.who for f in scenario.faults if FAULTS[f.kind] == "relay"} | {
        name
        for f in scenario.faults
        if FAULTS[f.kind] == "pair"
        for name in re.split("[<>,]+", f.who)
    }
    if not said:
        return [Finding("figures", UNKNOWN, "no relay told its figures", {})]
    for who, rows in said.items():
        if int(rows.get("open_requests", 0)):
            return [
                Finding(
                    "figures",
                    BROKEN,
                    "requests are open after all is over",
                    {"relay": who, "open_requests": rows["open_requests"]},
                )
            ]
        if (
            who in troubled
            or {"relays", "hosts", "platform"} & troubled
            or any(f.kind in ("herd", "zone_dark", "dead", "vanished") for f in scenario.faults)
        ):
            continue
        relayed = sum(
            len(facts["ids"])
            for _, _, what, facts in history.rows
            if what == "call" and facts["relay"] == who
        )
        if abs(relayed - int(rows["relayed"])) > max(3, relayed / 50):
            return [
                Finding(
                    "figures",
                    BROKEN,
                    "calls counted by the relay and by hosts differ",
                    {"relay": who, "said": rows["relayed"], "seen": relayed},
                )
            ]
    return [Finding("figures", KEPT, "", {})]


def membership(history, scenario) -> list[Finding]:
    """Checks membership (molehill/fleet/members.py).

    Unknown where a fault changes the clocks that relays log with; broken if none logged anything.
    """
    if scenario.fleet is None or history.folder is None:
        return []
    if any(f.kind in ("clock", "drift") for f in scenario.faults):
        return [
            Finding(
                "membership",
                UNKNOWN,
                "relays' clocks are off, so what they say can't be set beside the script",
                {},
            )
        ]
    if not members.membership_events(history.folder, history):
        return [Finding("membership", BROKEN, "no relay said a word of others", {})]
    return [
        Finding(name, word, text, facts)
        for word, name, text, facts in members.check(history, scenario)
    ] or [Finding("membership", KEPT, "", {})]


# What a fault touches: kind -> (how long before the fault it counts as well, predicate on events)
def touches_relay(fault, who, what, facts) -> bool:
    return what in ("asked", "call", "notice") and facts.get("relay") == fault.who


def touches_host(fault, who, what, facts) -> bool:
    return what == "call" and facts["host"] == fault.who


def touches_refusal(fault, who, what, facts) -> bool:
    return what == "call answered" and facts["status"] == 429


def touches_call(fault, who, what, facts) -> bool:
    return what == "call"


def touches_platform(fault, who, what, facts) -> bool:
    return what in ("notice", "told")


EFFECTS_BY_TARGET = {
    "relay": (EFFECT_LEAD_TIME, touches_relay),
    "host": (EFFECT_LEAD_TIME, touches_host),
    "platform": (EFFECT_LEAD_TIME, touches_call),
}
EFFECTS_BY_KIND = {
    "lower": (0, touches_refusal),
    "lost_answers": (0, touches_platform),
    "silent": (0, touches_host),
    "erring": (0, touches_host),
    "refusing": (0, touches_host),
    "shut": (0, touches_host),
    "slow": (0, touches_host),
    "spoilt": (0, touches_host),
    "drain": (EFFECT_LEAD_TIME, touches_host),
}


def count_touched(history, scenario) -> list[int]:
    """Number of events that each fault of the scenario touched, in the order of the scenario."""
    times = [row[0] for row in history.rows]
    did, hits = Counter(), Counter()
    for _, _, what, facts in history.rows:
        if what == "cable did":
            did[facts["kind"], facts["falls_on"], facts["at_ms"]] += facts["touched"]
        elif what == "hit":
            hits[facts["kind"], facts["falls_on"], facts["at_ms"]] += 1
    found = []
    for fault in scenario.faults:
        place = fault.kind, fault.who, fault.at_ms
        if FAULTS[fault.kind] == "pair" or fault.kind == "flood":
            found.append(did[place])
            continue
        if history.folder is not None and FAULTS[fault.kind] == "relay" and not hits[place]:
            found.append(0)  # there was no process to signal
            continue
        before, touches = EFFECTS_BY_KIND.get(fault.kind, EFFECTS_BY_TARGET[FAULTS[fault.kind]])
        begun = START + fault.at_ms * MS
        first, last = (
            bisect_left(times, begun - before),
            bisect_right(times, begun + max(fault.span_ms * MS, AFTER_READY)),
        )
        found.append(sum(touches(fault, *row[1:]) for row in history.rows[first:last]))
    return found


PROPERTIES = {
    "six rules": six_rules,
    "no crash": no_crash,
    "invariants": invariants,
    "faults hit": faults_hit,
    "rig in time": rig_in_time,
    "figures": figures_consistent,
    "causes first": causes_first,
    "cuts hold": cuts_hold,
    "membership": membership,
}


def check(history, scenario, properties=None) -> dict:
    """The verdict as plain data: `word`, `ok` and the findings of all properties."""
    findings = [
        finding
        for look in (properties or PROPERTIES).values()
        for finding in look(history, scenario)
    ]
    words = {finding.word for finding in findings}
    word = next((w for w in VERDICT_ORDER if w in words), UNKNOWN)
    return {
        "word": word,
        "ok": word == KEPT,
        "findings": [finding._asdict() for finding in findings],
    }
