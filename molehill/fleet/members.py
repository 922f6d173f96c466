"""Checks the properties of membership from the relays' logs, their `/fleet` pages and the script.

The bounds T1 to T4 are computed from the scenario by formulas of this file; nothing is taken from
the code that is checked.
"""

import ast
import re
from datetime import datetime
from math import ceil, log2, log10

from molehill.config import MS, SECOND
from molehill.emulator.scenario import FAULTS, directions
from molehill.emulator.world import START

TIMESTAMP = re.compile(r"timestamp='([^']+)'")
KEY_VALUE = re.compile(r"(\w+)=('(?:[^'\\]|\\.)*'|\S+)")
# the documented defaults, for what a scenario does not set
DEFAULT_MS = {"roundMs": 500, "aloneAfterMs": 2000, "stalledMs": 400, "floorMs": 100}
BYTES_PER_S, BURST_S = 20_000, 4
# T4: a lost relay is probed every 5 rounds, twice; it learns of it and refutes; and the rumour
# takes twice log2 of the size to spread
AGREEMENT_ROUNDS = 16
REJOIN_MS = 3000  # within it a killed relay has restarted and joined


def log_rows(folder, told):
    """Yields (time, relay, line) of the relays' logs.

    Their wall clock times are converted by the rig's wall clock at the start of the run.
    """
    for path in sorted(folder.glob("relay*.log")):
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
            found = TIMESTAMP.search(line)
            if found:
                moment = datetime.fromisoformat(found.group(1).replace("Z", "+00:00"))
                yield (
                    START + int(moment.timestamp() * 1_000_000) * 1000 - told.wall,
                    path.stem,
                    line,
                )


def membership_events(folder, told) -> list[tuple]:
    """Returns (time, relay, event, facts) of the log lines about membership, in order of time."""
    rows = []
    for now, relay, line in log_rows(folder, told):
        facts = {}
        for name, text in KEY_VALUE.findall(line):
            try:
                facts[name] = ast.literal_eval(text)
            except (ValueError, SyntaxError):
                facts[name] = text
        if facts.get("event") in (
            "member",
            "member begins",
            "standing",
            "refuted",
            "superseded",
            "another process",
            "stood",
        ):
            rows.append((now, relay, facts["event"], facts))
    return sorted(rows, key=lambda row: row[0])


class Bounds:
    """The bounds T1 to T4 in ns, widened by the `doubt` of the run."""

    def __init__(self, scenario, doubt: int):
        ms = {**DEFAULT_MS, **scenario.fleet.spans}
        self.round, n = int(ms["roundMs"] * MS), scenario.relays
        slowest = max(self.round, int(ms["aloneAfterMs"] * MS) // 2)
        wait = 15 * max(1.0, log10(max(2, n))) * self.round
        self.t2 = int(2 * n * slowest + wait) + doubt
        self.t3 = int((ms["aloneAfterMs"] + ms["stalledMs"]) * MS) + doubt
        self.t4 = (AGREEMENT_ROUNDS + 2 * ceil(log2(n))) * slowest + doubt
        self.t1 = self.t4


def trouble_spans(scenario) -> list[tuple[str, int, int]]:
    """Returns (relay, from, to) of the faults on a relay or on its paths to other relays.

    What a relay reports meanwhile may be wrong.
    """
    rows = []
    relays = {f"relay{n}" for n in range(scenario.relays)}
    for f in scenario.faults:
        begun, over = START + f.at_ms * MS, START + (f.at_ms + f.span_ms) * MS
        if FAULTS[f.kind] == "relay":
            rows.append(
                (f.who, begun, over + REJOIN_MS * MS + (4000 * MS if f.kind == "restart" else 0))
            )
        elif f.kind == "herd":
            rows += [(relay, begun, over + REJOIN_MS * MS) for relay in relays]
        elif FAULTS[f.kind] == "pair":
            ends = [set(way) for way in directions(scenario, f.who) if set(way) <= relays]
            rows += [(relay, begun, over) for relay in sorted(set().union(*ends))] if ends else []
    return rows


def cut_spans(scenario) -> list[tuple[str, int, int]]:
    """Returns (relay, from, to) where one `cut` separates a relay from all others, either way."""
    rows, relays = [], {f"relay{n}" for n in range(scenario.relays)}
    for f in scenario.faults:
        if f.kind == "cut":
            ways = directions(scenario, f.who)
            for relay in sorted(relays):
                others = relays - {relay}
                if {a for a, b in ways if b == relay} >= others or {
                    b for a, b in ways if a == relay
                } >= others:
                    rows.append((relay, START + f.at_ms * MS, START + (f.at_ms + f.span_ms) * MS))
    return rows


BROKEN, UNKNOWN = "broken", "unknown"


def check(history, scenario) -> list[tuple[str, str, str, dict]]:
    """Returns (word, property, text, facts) of each property that is broken or unknown."""
    bounds, rows = Bounds(scenario, history.doubt), membership_events(history.folder, history)
    return [
        found
        for look in (
            never_back,
            alone_in_time,
            lost_in_time,
            not_lost_for_nothing,
            agree_in_the_end,
            within_allowance,
        )
        for found in look(history, scenario, bounds, rows)
    ]


def never_back(history, scenario, bounds, rows):
    """No process goes back to an older incarnation and turn of another relay."""
    best = {}
    for now, relay, event, facts in rows:
        if event == "member begins":
            best = {place: known for place, known in best.items() if place[0] != relay}
        elif event == "member":
            place, known = (relay, facts["name"]), (facts["number"], facts["turn"])
            if known < best.get(place, (0, 0)):
                yield (
                    BROKEN,
                    "no view goes back",
                    "an older incarnation is believed again",
                    {"viewer": relay, "of": facts["name"], "was": best[place], "is": known},
                )
                return
            best[place] = known


def status_at(rows, relay: str, when: int):
    """Returns (the status that the relay logged of itself last, since when)."""
    last = "alone", 0
    for now, who, event, facts in rows:
        if now > when:
            break
        if who == relay and event == "standing":
            last = facts["now"], now
        elif who == relay and event == "member begins":
            last = "alone", now
    return last


def alone_in_time(history, scenario, bounds, rows):
    """A relay that hears nobody, or is heard by nobody, reports that it is alone within T3."""
    for relay, begun, over in cut_spans(scenario):
        when = begun + bounds.t3
        if (
            when < over
            and not is_busy(scenario, relay, begun, when)
            and status_at(rows, relay, when)[0] != "alone"
        ):
            yield (
                BROKEN,
                "alone in time",
                "a relay that hears nothing does not say so",
                {"relay": relay, "ms": bounds.t3 // MS},
            )


def is_busy(scenario, relay, begun, over) -> bool:
    """Whether another fault falls on the relay in that span, so that nothing can be concluded."""
    return any(
        who == relay and first < over and last > begun and first != begun
        for who, first, last in trouble_spans(scenario)
    )


def lost_in_time(history, scenario, bounds, rows):
    """Connected relays regard one that is cut off as lost within T2."""
    for relay, begun, over in cut_spans(scenario):
        when = begun + bounds.t2
        if when >= over or is_busy(scenario, relay, begun, when):
            continue
        for n in range(scenario.relays):
            viewer = f"relay{n}"
            if (
                viewer != relay
                and not is_busy(scenario, viewer, begun, when)
                and status_at(rows, viewer, when)[0] == "connected"
            ):
                states = [
                    facts["now"]
                    for now, who, event, facts in rows
                    if who == viewer
                    and event == "member"
                    and facts["name"] == relay
                    and now <= when
                ]
                if states and states[-1] != "lost":
                    yield (
                        BROKEN,
                        "lost in time",
                        "a connected relay does not know of one that is cut off",
                        {"viewer": viewer, "of": relay, "believes": states[-1]},
                    )


def not_lost_for_nothing(history, scenario, bounds, rows):
    """No connected relay regards a relay as lost on which no fault fell."""
    marks = trouble_spans(scenario)
    for now, viewer, event, facts in rows:
        if event == "member" and facts["now"] == "lost":
            reasons = [
                who
                for who, begun, over in marks
                if who in (viewer, facts["name"]) and begun <= now <= over + bounds.t1
            ]
            if not reasons and status_at(rows, viewer, now)[0] == "connected":
                yield (
                    BROKEN,
                    "not lost for nothing",
                    "a relay that answers is believed lost",
                    {"viewer": viewer, "of": facts["name"], "at_ms": (now - START) / MS},
                )
                return


def agree_in_the_end(history, scenario, bounds, rows):
    """T4 after the last fault, all running relays are connected and regard each other as alive."""
    views = {
        who: facts["view"]
        for _, who, what, facts in [*history.rows, *history.rest]
        if what == "view"
    }
    asked = [now for now, _, what, _ in [*history.rows, *history.rest] if what == "view"]
    last = max([over for _, _, over in trouble_spans(scenario)], default=START)
    if not views or asked[0] < last + bounds.t4:
        short = (last + bounds.t4 - asked[0]) // MS if asked else None
        yield (
            UNKNOWN,
            "views agree",
            "the run ended before they have to",
            {"ms_short": short, "bound_ms": bounds.t4 // MS},
        )
        return
    for viewer, view in views.items():
        wrong = {
            row["name"]: row["state"]
            for row in view["members"]
            if row["name"] in views and row["state"] != "alive"
        }
        if wrong or view["standing"] != "connected" or len(view["members"]) < len(views) - 1:
            yield (
                BROKEN,
                "views agree",
                "after the last fault not all are alive to all",
                {"viewer": viewer, "standing": view["standing"], "wrong": wrong},
            )
            return


def within_allowance(history, scenario, bounds, rows):
    """No relay sends more bytes for membership than its settings allow."""
    lives = {}
    for now, relay, event, _ in rows:
        if event == "member begins":
            lives[relay] = now
    for now, who, what, facts in [*history.rows, *history.rest]:
        if what == "figures" and who in lives and "fleet.bytes_out" in facts["rows"]:
            most = ((now - lives[who]) / SECOND + BURST_S) * BYTES_PER_S
            if int(facts["rows"]["fleet.bytes_out"]) > most:
                yield (
                    BROKEN,
                    "bytes within the allowance",
                    "more was said than the settings allow",
                    {"relay": who, "said": facts["rows"]["fleet.bytes_out"], "most": most},
                )
