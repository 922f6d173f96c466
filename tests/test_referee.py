"""The referee alone: each rule is broken by hand-written events, next to the same events kept."""

import pytest

from molehill.config import MS, SECOND
from molehill.emulator.referee import LOST_AFTER, Referee
from molehill.emulator.scenario import Category, EndpointPlan, ProgramPlan, Scenario
from molehill.emulator.world import START, World

CATEGORIES = [
    Category("status", "deduplicated", 5000, ordered=True, window_ms=2000),
    Category("rate", "idempotent", 3000),
    Category("refund", "at_most_once", 4000, ordered=True),
    Category("near", "deduplicated", 5000, window_ms=2000, scope="zone"),
]


class EventScript:
    """Sends events to a referee, at times in milliseconds from the start."""

    def __init__(self):
        self.world = World(1)
        self.set = Scenario(
            seed=1,
            span_ms=1000,
            relays=1,
            categories=CATEGORIES,
            settle_ms=500,
            endpoints=[EndpointPlan(1), EndpointPlan(2, kind="apart")],
            programs=[ProgramPlan(1.0, [1])],
        )
        self.referee, self.calls = Referee(self.world, self.set), 0
        self.tell(0, "relay0", "started", life=1)
        self.tell(0, "relay0", "ready", life=1)

    def tell(self, at, who, what, **facts):
        self.world.run(START + at * MS)
        self.world.tell(who, what, **facts)

    def take(
        self,
        at,
        id,
        category="rate",
        key=None,
        span=3000,
        body=None,
        who="program0",
        destination=1,
        status=202,
    ):
        self.tell(at, who, "wants", message=id, category=category)
        self.tell(
            at,
            who,
            "asked",
            id=id,
            message=id,
            relay="relay0",
            category=category,
            key=key,
            destination=destination,
            due=START + (at + span) * MS,
            mark=None,
            body=body or id,
        )
        if status:
            self.tell(at, who, "heard", id=id, status=status, wait=0, relay="relay0")

    def call(self, at, *ids, host="h1-0", conn=None, zone="a", since=None, bodies=None):
        self.calls += 1
        number = f"{host}/{self.calls}"
        self.tell(
            at,
            host,
            "call",
            call=number,
            relay="relay0",
            conn=conn or self.calls,
            ids=list(ids),
            marks=[None] * len(ids),
            since=START + (at if since is None else since) * MS,
            bodies=list(bodies or ids),
            host=host,
            destination=int(host[1]),
            zone=zone,
            patience="100",
        )
        return number

    def answer(self, at, call, status=200, wait=0, ids=()):
        self.tell(
            at,
            call.split("/")[0],
            "call answered",
            call=call,
            status=status,
            wait=wait * MS,
            ids=list(ids),
        )

    def end(self, at):
        self.world.run(START + at * MS)
        return self.world.failure and self.world.failure["rule"]


def lost(script):
    script.take(0, "a", span=1000)
    return 1000 + LOST_AFTER // MS + 1


def noticed(script):
    script.take(0, "a", span=1000)
    script.tell(900, "platform", "notice", id="a", result="dead", wait=0, relay="relay0")
    return 2000


def two_answers(script):
    noticed(script)
    script.tell(950, "platform", "notice", id="a", result="bounced", wait=0, relay="relay0")
    return 960


def after_notice(script):
    noticed(script)  # final, although the notice was never answered
    script.call(1000, "a")
    return 1001


def after_notice_on_a_disk_that_took_nothing(script):
    script.tell(100, "script", "fault", kind="disk_full", falls_on="relay0", span=1000, worth=0.0)
    return after_notice(script)


def after_delivery(script):
    script.take(0, "a")
    script.answer(20, script.call(10, "a"))
    script.call(200, "a")
    return 201


def delivery_unknown_to_a_killed_one(script):
    script.take(0, "a")
    script.answer(20, script.call(10, "a"))
    script.tell(21, "relay0", "hung up", conn=1)
    script.tell(21, "relay0", "killed", life=1)
    script.tell(600, "relay0", "started", life=2)
    script.tell(600, "relay0", "ready", life=2)
    script.answer(640, script.call(620, "a"))
    return 641


def answers_that_cross_the_hang_up(script):
    script.take(0, "a")
    first = script.call(10, "a", conn=7)
    script.tell(100, "relay0", "hung up", conn=7)
    script.answer(101, first)
    second = script.call(200, "a", conn=8)
    script.answer(300, second)
    script.tell(301, "relay0", "hung up", conn=8)
    script.answer(510, script.call(500, "a"))
    return 520


def two_at_once(script):
    script.take(0, "a")
    script.call(10, "a")
    script.call(20, "a", host="h2-0")
    return 21


def after_a_hang_up(script):
    script.take(0, "a")
    script.call(10, "a", conn=77)
    script.tell(100, "relay0", "hung up", conn=77)
    script.answer(130, script.call(120, "a"))
    return 200


def exclusive_again(script):
    script.take(0, "a", "refund", key="k")
    script.answer(20, script.call(10, "a"), 500)
    script.call(600, "a")
    return 601


def exclusive_again_after_a_refusal(script):
    script.take(0, "a", "refund", key="k")
    script.answer(20, script.call(10, "a"), 503)
    script.answer(700, script.call(600, "a"))
    return 800


def ticketed_late(script, at=2100):
    script.take(0, "a", "status", span=5000)
    script.answer(20, script.call(10, "a"), 500)
    script.answer(at + 10, script.call(at, "a"))
    return at + 20


def ticketed_elsewhere(script):
    script.take(0, "a", "near", span=5000)
    script.answer(20, script.call(10, "a"), 500)
    script.call(100, "a", zone="b")
    return 101


def nobody_s(script):
    script.call(10, "a")
    return 11


def other_words(script):
    script.take(0, "a")
    script.call(10, "a", bodies=["b"])
    return 11


def drained(script, at=1100):
    script.take(0, "a")
    script.tell(10, "platform", "told", relay="relay0", host="h1-0", status="leaving")
    script.answer(at + 60, script.call(at + 50, "a", since=at))
    return at + 100


def pushed(script, known=10):
    script.tell(10, "h1-0", "fell over", calls=12, known=known, able=1.0)
    return 11


def out_of_order(script, over=False):
    script.take(0, "a", "status", key="k", span=5000)
    script.take(5, "b", "status", key="k", span=5000)
    if over:
        script.answer(15, script.call(10, "a"))
    script.answer(30, script.call(20, "b"))
    return 40


def in_its_rest(script, at=500):
    script.take(0, "a", "status", key="k", span=5000)
    script.call(10, "a", conn=5)
    script.tell(100, "relay0", "hung up", conn=5)
    script.answer(at + 10, script.call(at, "a"))
    return at + 20


def rest_of_a_stranger_s_copy(script):
    """A stranger's call under an id of an ordered callback starts no cooldown of that key."""
    script.take(0, "a", "status", key="k", status=503)
    script.take(1, "a", "status", key="other", body="copy", who="strangers")
    script.call(10, "a", conn=5, bodies=["copy"])
    script.tell(100, "relay0", "hung up", conn=5)
    script.take(110, "b", "status", key="k", span=5000)
    script.answer(130, script.call(120, "b"))
    return 200


def in_a_wait(script, at=500, host="h1-1", first="h1-0"):
    script.take(0, "a", destination=int(first[1]))
    script.take(0, "b", destination=int(first[1]))
    script.answer(20, script.call(10, "a", host=first), 429, 1000)
    script.answer(at + 10, script.call(at, "b", host=host))
    return at + 20


def at_a_kill(script, data):
    script.take(0, "one-more")
    script.tell(10, "relay0", "killed", life=1)
    script.referee.left_on_disk("relay0", {"/state/log": data})
    return 11


def rows_left(script):
    script.referee.close({"relay0": {"held": 0, "calls": 3}}, {})
    return 1


@pytest.mark.parametrize(
    "story,rule",
    [
        (lost, 1),
        (noticed, None),
        (two_answers, 1),
        (after_notice, 1),
        (after_notice_on_a_disk_that_took_nothing, None),
        (after_delivery, 1),
        (delivery_unknown_to_a_killed_one, None),
        (answers_that_cross_the_hang_up, None),
        (two_at_once, 2),
        (after_a_hang_up, None),
        (exclusive_again, 2),
        (exclusive_again_after_a_refusal, None),
        (ticketed_late, 2),
        (lambda script: ticketed_late(script, 2000), None),
        (ticketed_elsewhere, 2),
        (nobody_s, 2),
        (other_words, 2),
        (drained, 3),
        (lambda script: drained(script, 1000), None),
        (pushed, 4),
        (lambda script: pushed(script, 7), None),
        (out_of_order, 5),
        (lambda script: out_of_order(script, True), None),
        (in_its_rest, 5),
        (lambda script: in_its_rest(script, 601), None),
        (rest_of_a_stranger_s_copy, None),
        (in_a_wait, 6),
        (lambda script: in_a_wait(script, 110), None),
        (lambda script: in_a_wait(script, host="h2-1", first="h2-0"), None),
        (lambda script: at_a_kill(script, b"nothing of it"), 1),
        (lambda script: at_a_kill(script, b"..one-more.."), None),
        (rows_left, 0),
    ],
)
def test_each_rule_is_broken_only_by_its_own_violation(story, rule):
    script = EventScript()
    assert script.end(story(script)) == rule


def test_nothing_is_overdue_while_a_machine_stands_still_or_is_down():
    script = EventScript()
    script.take(0, "a", span=1000)
    script.tell(900, "relay0", "frozen", until=START + 3 * SECOND)
    assert script.end(3340) is None and script.end(3500) == 1
    script = EventScript()
    script.take(0, "a", span=1000)
    script.tell(900, "relay0", "killed", life=1)
    assert script.end(9000) is None
    script.tell(9000, "relay0", "ready", life=2)
    assert script.end(10_400) is None and script.end(10_700) == 1


@pytest.mark.parametrize("after,delivered", [(90, 1), (110, 0)])
def test_an_answer_after_the_time_that_its_host_was_told_is_no_delivery(after, delivered):
    script = EventScript()
    script.take(0, "a")
    script.take(0, "short", span=60)  # a call's time limit is its callbacks' earliest deadline
    script.answer(10 + after, script.call(10, "a"), ids=["a"])
    script.take(300, "b")
    script.take(300, "c", span=100)
    script.answer(after + 300, script.call(301, "b", "c"), ids=["b", "c"])
    assert script.referee.counts["delivered"] == 3 * delivered


@pytest.mark.parametrize(
    "ends,called,broken",
    [
        ([1500, 1600, 1700], (), True),
        ([1500, 1600, 4600], (), True),
        ([1500, 4600, 4700], (), False),
        ([4600, 4700, 4800], (), False),
        ([1500, 1600, 1700], "abc", False),
        ([1500, 1600, 1700], "ab", False),
    ],
)
def test_giving_up_over_half_of_the_untried_after_a_restart_fails(ends, called, broken):
    script = EventScript()
    for ident in "abc":
        script.take(0, ident, span=5000)
    # Less than half of its time is left when the relay is back, so it does not count.
    script.take(0, "d", span=1200)
    script.tell(600, "relay0", "killed", life=1)
    script.tell(1000, "relay0", "started", life=2)
    script.tell(1000, "relay0", "ready", life=2)
    for ident in called:
        script.answer(1300, script.call(1200, ident), status=503)
    for at, ident in sorted(zip([1100, *ends], "dabc")):
        script.tell(at, "platform", "notice", id=ident, result="dead", wait=0, relay="relay0")
        script.tell(at, "platform", "notice answered", id=ident)
    assert script.end(6000) is None
    script.referee.close({}, {})
    assert (
        bool(script.world.failure) is broken and script.referee.counts["untried at a restart"] == 3
    )


@pytest.mark.parametrize("since, rule", [(START + 20 * MS, None), (START + 118 * MS, 1)])
def test_a_standstill_that_ends_later_than_was_told_began_when_it_did(since, rule):
    """An answer may lie unread until after its call's time limit if the relay stood still.

    An answer that arrived long before the standstill has no such excuse.
    """
    script = EventScript()
    script.take(0, "a")
    call = script.call(10, "a")
    if since < START + 100 * MS:
        script.tell(20, "relay0", "frozen", until=START + 119 * MS)
    script.answer(15 if rule else 50, call)
    script.tell(120, "relay0", "frozen", until=START + 120 * MS, since=since)
    script.call(300, "a")
    assert script.end(301) == rule
