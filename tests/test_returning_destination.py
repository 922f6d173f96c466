"""Tests of rule 4 for a destination with several hosts that is seldom called in its outage."""

import pytest

from molehill import interface
from molehill.decisions.failure_run import FailureRun
from tests.core_harness import MS, SECOND, DecisionHarness, Result, callback_class, settings

CAPACITY = 8.0  # calls a second of the whole destination
SERVICE_TIME = 250 * MS
CLUMP = 24  # callbacks at once, as many as it takes in 3 s
COLD_SHARE, SLOW_START_TIME, MULTIPLE, FALL_SPAN = 0.14, 11 * SECOND, 2.5, 1500 * MS


class Destination:
    """A destination of some hosts with a relay's decisions; all of them fail in an outage."""

    def __init__(self, host_count, max_calls=48, kind_is_separate=False):
        given = settings(
            max_calls=max_calls,
            overload_span=FALL_SPAN,
            overload_multiple=MULTIPLE,
            cold_capacity_share=COLD_SHARE,
            slow_start_time=SLOW_START_TIME,
            callback_classes=[callback_class(goal=2000, abandon=20000)],
            kinds=[interface.HostKind(kind_is_separate, 1)],
            limits_are_advertised=True,  # a refusal without a limit teaches no rate
        )
        self.harness = DecisionHarness(
            given, hosts=[(n, 0, 0, 1) for n in range(1, host_count + 1)]
        )
        self.failure = None  # how calls end in the outage

    def run(self, span, interval=None):
        """Lets time pass, with a new callback each `interval` nanoseconds."""
        harness = self.harness
        until, next_at = harness.now + span, harness.now
        while harness.now < until:
            if interval and harness.now >= next_at:
                harness.submit()
                next_at += interval
            harness.advance(10 * MS)
            for number, (_, sent, _) in list(harness.in_flight.items()):
                self.end_call(number, harness.now - sent)

    def end_call(self, number, age):
        if number not in self.harness.in_flight:
            return
        if self.failure is None and age >= SERVICE_TIME:
            self.harness.answer(number)
        elif self.failure not in (None, Result.TIMEOUT):
            self.harness.answer(number, self.failure)

    def most_over_budget(self, returned_at):
        """Returns calls less what a cold destination bears, in the worst span after the return."""
        times = [at for at, _ in self.harness.sent if at >= returned_at]
        worst = -float("inf")
        for first in times:
            age = first + FALL_SPAN - returned_at
            warm = min(1.0, COLD_SHARE + (1 - COLD_SHARE) * age / SLOW_START_TIME)
            calls = MULTIPLE * CAPACITY * warm * FALL_SPAN / SECOND
            count = sum(first <= at < first + FALL_SPAN for at in times)
            worst = max(worst, count - calls - 3 * calls**0.5 - 3)
        return worst


def play_outage(destination, before_return, failure=Result.TIMEOUT):
    """Plays ten seconds of outage; the only callback comes this long before its end."""
    destination.run(8 * SECOND, interval=156 * MS)
    destination.run(SECOND)
    destination.failure = failure
    destination.run(10 * SECOND - before_return)
    destination.harness.submit()
    destination.run(before_return)
    destination.failure = None


def play_clump(destination):
    """Plays the return with a clump 0.2 s behind it; returns `most_over_budget`."""
    returned_at, harness = destination.harness.now, destination.harness
    destination.run(200 * MS)
    sent = len(harness.sent)
    for _ in range(CLUMP):
        harness.submit()
        destination.run(10 * MS)
    destination.run(12 * SECOND)
    assert len(harness.sent) - sent >= CLUMP, "all are sent"
    return destination.most_over_budget(returned_at)


@pytest.mark.parametrize(
    "failure, before_return",
    [
        (Result.TIMEOUT, 9 * SECOND),
        (Result.TIMEOUT, 4 * SECOND),
        (Result.TIMEOUT, 1100 * MS),  # a single one, with a second call out at the return
        (Result.NO_CONNECT, 9 * SECOND),
        (Result.ERROR, 9 * SECOND),
        (Result.RESET, 9 * SECOND),
        (Result.ERROR, 500 * MS),
        (Result.REFUSED, 9 * SECOND),
        (Result.REFUSED, 1100 * MS),
    ],
)
@pytest.mark.parametrize("host_count", [1, 2, 3, 4])
def test_failures_spread_over_hosts_are_an_outage(failure, before_return, host_count):
    """Guards against a clump at full speed for a destination whose hosts each failed a call or two."""
    destination = Destination(host_count)
    play_outage(destination, before_return, failure)
    assert play_clump(destination) <= 0


@pytest.mark.parametrize("next_process", ["killed", "upgraded"])
def test_outage_seen_by_earlier_process_limits_the_next(next_process):
    """Guards against a next process that knows nothing of failures spread over hosts."""
    destination = Destination(4)
    play_outage(destination, 9 * SECOND)
    harness = destination.harness
    rows = harness.dispatcher.learned_state()
    ejected = set(harness.ejected_hosts)
    entries = [
        interface.HostEntry(*row, interface.Condition.UP, 1.0, ejected=row[0] in ejected)
        for row in harness.host_rows.values()
    ]
    harness.start(entries)
    if next_process == "upgraded":
        harness.step([interface.LearnedState(rows)])
    assert play_clump(destination) <= 0


def test_host_listed_in_an_outage_is_limited():
    """Guards against a new host that takes a returning destination's whole clump at once."""
    destination = Destination(2)
    play_outage(destination, 9 * SECOND)
    harness = destination.harness
    harness.host_rows[9] = (9, 0, 0, 1)
    new_host = interface.HostEntry(9, 0, 0, 1, interface.Condition.UP, 1.0)
    harness.step([harness.list_news(interface.ListScope.UPDATE, [new_host])])
    assert play_clump(destination) <= 0


@pytest.mark.parametrize("failure", [Result.NO_CONNECT, Result.ERROR, Result.TIMEOUT])
def test_isolated_failure_beside_answers_limits_nothing(failure):
    """Guards against a slow start after a failure with answers of the other hosts around it."""
    destination = Destination(4)
    harness = destination.harness
    destination.run(8 * SECOND, interval=156 * MS)
    number = harness.submit()
    if failure is Result.TIMEOUT:
        host, sent, _ = harness.in_flight[number]
        harness.in_flight[number] = (host, sent + 5 * SECOND, sent + SECOND)  # never answered
    else:
        harness.answer(number, failure)
    destination.run(3 * SECOND, interval=156 * MS)
    sent = len(harness.sent)
    for _ in range(CLUMP):
        harness.submit()
    destination.run(500 * MS)
    assert len(harness.sent) - sent >= 8 and not harness.ejected_hosts


@pytest.mark.parametrize("others_fail, is_outage", [(1, True), (0, False)])
def test_resets_of_idle_connections_count_beside_another_failure(others_fail, is_outage):
    """Guards against a crash that is seen as lost idle connections alone, and the reverse."""
    run = FailureRun()
    run.count_success(SECOND)
    for _ in range(3):
        run.count_idle_reset()
    for _ in range(others_fail):
        run.count_failure(Result.RESET, SECOND, 2 * SECOND)
    assert run.shows_outage(3 * SECOND, FALL_SPAN) is is_outage


def test_standstill_of_the_relay_is_no_outage():
    """Guards against a slow start of destinations whose answers the relay itself read too late."""
    destination = Destination(4)
    harness = destination.harness
    destination.run(8 * SECOND, interval=156 * MS)
    number = harness.submit()
    harness.now += 3 * SECOND  # longer than the timeout
    harness.answer(number, Result.TIMEOUT)
    destination.run(500 * MS)
    assert not any("closed" in text for text in harness.health_messages)


def test_route_that_is_forgotten_before_its_outage_shows():
    """Guards against a fault of the module when a check of the route outlives its destination."""
    classes = [callback_class("exclusive", goal=60000, abandon=120000)]
    harness = DecisionHarness(settings(callback_classes=classes), hosts=((1, 0, 0, 1),))
    harness.answer(harness.submit())  # the window is three then
    first, second, third = (harness.submit() for _ in range(3))
    gone = interface.HostEntry(1, 0, 0, 1, interface.Condition.GONE, 1.0)
    harness.step([harness.list_news(interface.ListScope.UPDATE, [gone])])
    harness.advance(29500 * MS)
    harness.answer(first)
    harness.advance(300 * MS)
    harness.answer(second, Result.ERROR)
    harness.answer(third, Result.ERROR)
    harness.advance(3 * SECOND)
    assert not harness.dispatcher.state.destinations
