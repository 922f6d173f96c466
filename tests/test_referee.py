"""The referee alone: each rule broken by hand, in events as the stand-ins tell them, beside the same day kept."""

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


class Day:
    """Tells a referee what happens, in milliseconds from the start."""

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


def lost(day):
    day.take(0, "a", span=1000)
    return 1000 + LOST_AFTER // MS + 1


def noticed(day):
    day.take(0, "a", span=1000)
    day.tell(900, "platform", "notice", id="a", result="dead", wait=0, relay="relay0")
    return 2000


def two_answers(day):
    noticed(day)
    day.tell(950, "platform", "notice", id="a", result="bounced", wait=0, relay="relay0")
    return 960


def after_notice(day):
    noticed(day)  # given, though its answer never went
    day.call(1000, "a")
    return 1001


def after_notice_on_a_disk_that_took_nothing(day):
    day.tell(100, "script", "fault", kind="disk_full", falls_on="relay0", span=1000, worth=0.0)
    return after_notice(day)


def after_delivery(day):
    day.take(0, "a")
    day.answer(20, day.call(10, "a"))
    day.call(200, "a")
    return 201


def delivery_unknown_to_a_killed_one(day):
    day.take(0, "a")
    day.answer(20, day.call(10, "a"))
    day.tell(21, "relay0", "hung up", conn=1)
    day.tell(21, "relay0", "killed", life=1)
    day.tell(600, "relay0", "started", life=2)
    day.tell(600, "relay0", "ready", life=2)
    day.answer(640, day.call(620, "a"))
    return 641


def answers_that_cross_the_hang_up(day):
    day.take(0, "a")
    first = day.call(10, "a", conn=7)
    day.tell(100, "relay0", "hung up", conn=7)
    day.answer(101, first)
    second = day.call(200, "a", conn=8)
    day.answer(300, second)
    day.tell(301, "relay0", "hung up", conn=8)
    day.answer(510, day.call(500, "a"))
    return 520


def two_at_once(day):
    day.take(0, "a")
    day.call(10, "a")
    day.call(20, "a", host="h2-0")
    return 21


def after_a_hang_up(day):
    day.take(0, "a")
    day.call(10, "a", conn=77)
    day.tell(100, "relay0", "hung up", conn=77)
    day.answer(130, day.call(120, "a"))
    return 200


def exclusive_again(day):
    day.take(0, "a", "refund", key="k")
    day.answer(20, day.call(10, "a"), 500)
    day.call(600, "a")
    return 601


def exclusive_again_after_a_refusal(day):
    day.take(0, "a", "refund", key="k")
    day.answer(20, day.call(10, "a"), 503)
    day.answer(700, day.call(600, "a"))
    return 800


def ticketed_late(day, at=2100):
    day.take(0, "a", "status", span=5000)
    day.answer(20, day.call(10, "a"), 500)
    day.answer(at + 10, day.call(at, "a"))
    return at + 20


def ticketed_elsewhere(day):
    day.take(0, "a", "near", span=5000)
    day.answer(20, day.call(10, "a"), 500)
    day.call(100, "a", zone="b")
    return 101


def nobody_s(day):
    day.call(10, "a")
    return 11


def other_words(day):
    day.take(0, "a")
    day.call(10, "a", bodies=["b"])
    return 11


def drained(day, at=1100):
    day.take(0, "a")
    day.tell(10, "platform", "told", relay="relay0", host="h1-0", status="leaving")
    day.answer(at + 60, day.call(at + 50, "a", since=at))
    return at + 100


def pushed(day, known=10):
    day.tell(10, "h1-0", "fell over", calls=12, known=known, able=1.0)
    return 11


def out_of_order(day, over=False):
    day.take(0, "a", "status", key="k", span=5000)
    day.take(5, "b", "status", key="k", span=5000)
    if over:
        day.answer(15, day.call(10, "a"))
    day.answer(30, day.call(20, "b"))
    return 40


def in_its_rest(day, at=500):
    day.take(0, "a", "status", key="k", span=5000)
    day.call(10, "a", conn=5)
    day.tell(100, "relay0", "hung up", conn=5)
    day.answer(at + 10, day.call(at, "a"))
    return at + 20


def rest_of_a_stranger_s_copy(day):
    """A stranger's call under an id that is also a keyed one's: that key rests for nothing."""
    day.take(0, "a", "status", key="k", status=503)
    day.take(1, "a", "status", key="other", body="copy", who="strangers")
    day.call(10, "a", conn=5, bodies=["copy"])
    day.tell(100, "relay0", "hung up", conn=5)
    day.take(110, "b", "status", key="k", span=5000)
    day.answer(130, day.call(120, "b"))
    return 200


def in_a_wait(day, at=500, host="h1-1", first="h1-0"):
    day.take(0, "a", destination=int(first[1]))
    day.take(0, "b", destination=int(first[1]))
    day.answer(20, day.call(10, "a", host=first), 429, 1000)
    day.answer(at + 10, day.call(at, "b", host=host))
    return at + 20


def at_a_kill(day, data):
    day.take(0, "one-more")
    day.tell(10, "relay0", "killed", life=1)
    day.referee.left_on_disk("relay0", {"/state/log": data})
    return 11


def rows_left(day):
    day.referee.close({"relay0": {"held": 0, "calls": 3}}, {})
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
        (lambda day: ticketed_late(day, 2000), None),
        (ticketed_elsewhere, 2),
        (nobody_s, 2),
        (other_words, 2),
        (drained, 3),
        (lambda day: drained(day, 1000), None),
        (pushed, 4),
        (lambda day: pushed(day, 7), None),
        (out_of_order, 5),
        (lambda day: out_of_order(day, True), None),
        (in_its_rest, 5),
        (lambda day: in_its_rest(day, 601), None),
        (rest_of_a_stranger_s_copy, None),
        (in_a_wait, 6),
        (lambda day: in_a_wait(day, 110), None),
        (lambda day: in_a_wait(day, host="h2-1", first="h2-0"), None),
        (lambda day: at_a_kill(day, b"nothing of it"), 1),
        (lambda day: at_a_kill(day, b"..one-more.."), None),
        (rows_left, 0),
    ],
)
def test_each_rule_is_broken_by_what_breaks_it_and_by_nothing_beside_it(story, rule):
    day = Day()
    assert day.end(story(day)) == rule


def test_a_machine_that_stands_still_or_is_down_owes_nothing_until_it_had_its_time():
    day = Day()
    day.take(0, "a", span=1000)
    day.tell(900, "relay0", "frozen", until=START + 3 * SECOND)
    assert day.end(3340) is None and day.end(3500) == 1
    day = Day()
    day.take(0, "a", span=1000)
    day.tell(900, "relay0", "killed", life=1)
    assert day.end(9000) is None
    day.tell(9000, "relay0", "ready", life=2)
    assert day.end(10_400) is None and day.end(10_700) == 1


@pytest.mark.parametrize("after,delivered", [(90, 1), (110, 0)])
def test_an_answer_after_the_time_that_its_host_was_told_is_no_delivery(after, delivered):
    day = Day()
    day.take(0, "a")
    day.take(0, "short", span=60)  # the call's time is the first of its callbacks'
    day.answer(10 + after, day.call(10, "a"), ids=["a"])
    day.take(300, "b")
    day.take(300, "c", span=100)
    day.answer(after + 300, day.call(301, "b", "c"), ids=["b", "c"])
    assert day.referee.counts["delivered"] == 3 * delivered


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
def test_over_half_of_what_a_restart_finds_untried_given_up_with_no_call_fails_the_day(
    ends, called, broken
):
    day = Day()
    for ident in "abc":
        day.take(0, ident, span=5000)
    # less than half of its time is left when the relay is back: not among them
    day.take(0, "d", span=1200)
    day.tell(600, "relay0", "killed", life=1)
    day.tell(1000, "relay0", "started", life=2)
    day.tell(1000, "relay0", "ready", life=2)
    for ident in called:
        day.answer(1300, day.call(1200, ident), status=503)
    for at, ident in sorted(zip([1100, *ends], "dabc")):
        day.tell(at, "platform", "notice", id=ident, result="dead", wait=0, relay="relay0")
        day.tell(at, "platform", "notice answered", id=ident)
    assert day.end(6000) is None
    day.referee.close({}, {})
    assert bool(day.world.failure) is broken and day.referee.counts["untried at a restart"] == 3


@pytest.mark.parametrize("since, rule", [(START + 20 * MS, None), (START + 118 * MS, 1)])
def test_a_standstill_that_ends_later_than_was_told_began_when_it_did(since, rule):
    """An answer that lay unread over the end of its call's time says nothing; one that was there long before the standstill does."""
    day = Day()
    day.take(0, "a")
    call = day.call(10, "a")
    if since < START + 100 * MS:
        day.tell(20, "relay0", "frozen", until=START + 119 * MS)
    day.answer(15 if rule else 50, call)
    day.tell(120, "relay0", "frozen", until=START + 120 * MS, since=since)
    day.call(300, "a")
    assert day.end(301) == rule
