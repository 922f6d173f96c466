"""Tests of the decision module alone: one case for each rule and each protection."""

import json
from pathlib import Path
from random import Random

import pytest

from molehill import interface
from molehill.decisions.dispatcher import Dispatcher
from molehill.decisions.endpoint import SLOW_START
from tests.core_harness import (
    MS,
    SECOND,
    DecisionHarness,
    Result,
    callback_class,
    first_endpoint,
    settings,
)

LEARNED_STATE_OF_OLDER_VERSION = Path(__file__).parent / "data" / "learnt_2026_12_03.json"


def run_load(harness, interval, span, result=Result.DELIVERED, latency=50, **callback):
    """Submits a callback each `interval` ms for `span` ms; returns the attempts that this causes.

    Attempts are answered after `latency` ms.
    """
    before = len(harness.sent)
    for _ in range(span // interval):
        harness.submit(**callback)
        harness.advance(min(latency, interval) * MS)
        for number in sorted(
            n for n, (_, sent, _) in harness.in_flight.items() if sent + latency * MS <= harness.now
        ):
            if number in harness.in_flight:
                harness.answer(number, result)
        harness.advance(max(0, interval - latency) * MS)
    return harness.sent[before:]


def test_window_grows_on_success_and_halves_on_refusal():
    harness = DecisionHarness(settings(max_calls=100), hosts=((1, 0, 0, 1),))
    for _ in range(40):
        harness.submit()
    assert len(harness.in_flight) == 2
    for _ in range(6):
        harness.answer(min(harness.in_flight))
    # one more for each successful answer until the first slow one
    assert len(harness.in_flight) == 8
    harness.answer(min(harness.in_flight), Result.REFUSED, 500 * MS)
    sent = len(harness.sent)
    harness.advance(499 * MS)
    assert len(harness.sent) == sent
    assert first_endpoint(harness.dispatcher).limiter.window == 4.0


def test_high_latency_decreases_window_until_baseline_expires():
    harness = DecisionHarness(
        settings(max_calls=100, callback_classes=[callback_class(abandon=60000)]),
        hosts=((1, 0, 0, 1),),
    )
    run_load(harness, 100, 4000, latency=50)
    limiter = first_endpoint(harness.dispatcher).limiter
    increased_window = limiter.window
    run_load(harness, 300, 6000, latency=290)
    decreased_window = limiter.window
    assert decreased_window < increased_window / 2
    run_load(harness, 300, 15000, latency=290)
    assert limiter.window > decreased_window + 2


def test_hanging_destination_leaves_calls_for_others():
    harness = DecisionHarness(settings(max_calls=4), hosts=((1, 0, 0, 1), (2, 0, 0, 2)))
    for _ in range(20):
        harness.submit()
    harness.advance(300 * MS)
    assert sum(1 for host, _, _ in harness.in_flight.values() if host == 1) <= 3
    number = harness.submit(destination=2)
    assert number in harness.in_flight


@pytest.mark.parametrize(
    "semantics,result,retry_allowed",
    [
        ("rerunnable", Result.TIMEOUT, True),
        ("ticketed", Result.ERROR, True),
        ("exclusive", Result.NO_CONNECT, True),
        ("exclusive", Result.REFUSED, True),
        ("exclusive", Result.ERROR, False),
        ("exclusive", Result.RESET, False),
    ],
)
def test_retry_only_where_semantics_allow(semantics, result, retry_allowed):
    harness = DecisionHarness(
        settings(callback_classes=[callback_class(semantics, abandon=9000, window=9000)])
    )
    number = harness.submit()
    harness.answer(number, result)
    harness.advance(100 * MS)
    # a refusal causes a backoff
    while retry_allowed and not harness.in_flight and number in harness.open_callbacks:
        harness.advance(100 * MS)
    assert (number in harness.in_flight) == retry_allowed and (
        number in harness.open_callbacks
    ) == retry_allowed


def test_expired_callback_does_not_block_the_next():
    harness = DecisionHarness(
        settings(max_calls=1, callback_classes=[callback_class(abandon=1600)]),
        hosts=((1, 0, 0, 1),),
    )
    run_load(harness, 100, 1000, latency=60)
    harness.submit()
    late, good = harness.submit(abandon=110 * MS), harness.submit(abandon=800 * MS)
    harness.advance(60 * MS)
    sent = len(harness.sent)
    harness.answer(next(iter(harness.in_flight)))
    assert (
        late in harness.completed
        and list(harness.in_flight) == [good]
        and len(harness.sent) == sent + 1
    )


def test_callback_ends_when_deduplication_window_closes():
    rows = [callback_class("ticketed", window=1000, abandon=9000)]
    harness = DecisionHarness(settings(callback_classes=rows), hosts=((1, 0, 0, 1),))
    number = harness.submit()
    harness.advance(100 * MS)
    harness.step([harness.list_news(interface.ListScope.WHOLE, [])])
    harness.answer(number, Result.ERROR)
    harness.advance(950 * MS)
    assert number in harness.completed


def test_zone_bound_callback_does_not_block_others():
    rows = [callback_class("ticketed", window=4000, same_zone=True)]
    harness = DecisionHarness(
        settings(callback_classes=rows, kinds=[interface.HostKind(True, 1)]),
        hosts=((1, 0, 0, 1), (2, 1, 0, 1)),
    )
    bound = harness.submit()
    zone_host = harness.in_flight[bound][0]
    draining_entry = interface.HostEntry(
        zone_host, zone_host - 1, 0, 1, interface.Condition.DRAINING, 1.0
    )
    harness.step([harness.list_news(interface.ListScope.UPDATE, [draining_entry])])
    harness.answer(bound, Result.ERROR)
    other = harness.submit()
    assert bound not in harness.in_flight and other in harness.in_flight


def test_returning_host_gets_slow_start():
    harness = DecisionHarness(
        settings(max_calls=40, callback_classes=[callback_class(abandon=20000)]),
        hosts=((1, 0, 0, 1),),
    )
    run_load(harness, 100, 8000)
    run_load(harness, 100, 6000, result=Result.NO_CONNECT)
    assert any("closed" in note for note in harness.health_messages)
    returned_at = harness.now
    attempt_times = [when for when, _ in run_load(harness, 100, 12000)]
    for start in attempt_times:
        cold = min(1.0, 0.2 + 0.8 * max(0, start + 1500 * MS - returned_at) / (10 * SECOND))
        in_span = sum(1 for when in attempt_times if start <= when < start + 1500 * MS)
        # its capacity exceeds the demand
        assert cold == 1.0 or in_span <= 2.0 * cold * 17 * 1.5 + 1
    assert len(attempt_times) > 60  # it gets its full load again


def drain_host(harness, host):
    harness.step(
        [
            harness.list_news(
                interface.ListScope.UPDATE,
                [interface.HostEntry(*harness.host_rows[host], interface.Condition.DRAINING, 1.0)],
            )
        ]
    )


@pytest.mark.parametrize("both_return", [True, False])
def test_host_returning_alone_gets_only_its_share(both_return):
    """Guards against overloading the only host that returns.

    Expected to take the whole demand of its destination while the other host drains, it would get
    twice its capacity.
    """
    harness = DecisionHarness(
        settings(max_calls=40, callback_classes=[callback_class(abandon=20000)])
    )
    run_load(harness, 50, 8000)
    run_load(harness, 50, 6000, result=Result.NO_CONNECT)
    if not both_return:
        drain_host(harness, 2)
    returned_at, capacity = (
        harness.now,
        1.7 * 20 / 2,
    )  # of each host: half the demand, with a margin
    attempt_times = [when for when, host in run_load(harness, 50, 8000) if host == 1]
    assert len(attempt_times) > 20
    for start in attempt_times:
        cold = 0.2 + 0.8 * min(1.0, max(0, start + 1500 * MS - returned_at) / (10 * SECOND))
        calls = 2.0 * cold * capacity * 1.5
        assert (
            sum(start <= when < start + 1500 * MS for when in attempt_times)
            <= calls + 3 * calls**0.5 + 3
        )


@pytest.mark.parametrize(
    "failures, pause, result, is_outage",
    [
        (2, 2500, Result.TIMEOUT, True),
        (2, 300, Result.TIMEOUT, False),
        (1, 900, Result.TIMEOUT, False),
        (2, 900, Result.NO_CONNECT, False),  # a lack of connections is not an outage
    ],
)
def test_few_failures_over_long_span_are_an_outage(failures, pause, result, is_outage):
    """Guards against limiting a returning host by the window alone.

    A relay with a low max_calls sees only two calls fail in five seconds, too few to eject a host.
    """
    harness = DecisionHarness(
        settings(max_calls=2, callback_classes=[callback_class(abandon=60000)]),
        hosts=((1, 0, 0, 1),),
    )
    run_load(harness, 100, 8000)
    for _ in range(failures):
        harness.submit()
        while not harness.in_flight:
            harness.advance(20 * MS)
        harness.advance(pause * MS)
        harness.answer(min(harness.in_flight), result)
    for _ in range(60):
        harness.submit()
    while not harness.in_flight:
        harness.advance(20 * MS)
    returned_at, sent = harness.now, len(harness.sent)
    while harness.now < returned_at + 1500 * MS:
        harness.advance(20 * MS)
        for number in list(harness.in_flight):
            harness.answer(number)
    capacity = 1.7 * 10
    calls = 2.0 * 0.2 * capacity * 1.5
    assert (len(harness.sent) - sent <= calls + 3 * calls**0.5 + 3) == is_outage


def test_waiting_callback_is_sent_when_backoff_ends():
    harness = DecisionHarness(
        settings(max_calls=40, callback_classes=[callback_class(abandon=60000)]),
        hosts=((1, 0, 0, 1),),
    )
    number = harness.submit()
    for _ in range(2):
        harness.answer(number, Result.NO_CONNECT)
    harness.advance(20 * MS)
    assert not harness.in_flight
    before = len(harness.sent)
    harness.advance(20 * SECOND)  # longer than the longest backoff
    assert len(harness.sent) > before


def test_retry_after_holds_for_whole_destination():
    harness = DecisionHarness(settings(max_calls=40))
    run_load(harness, 50, 4000)
    harness.answer(harness.submit(), Result.REFUSED, 2 * SECOND)
    before = len(harness.sent)
    for _ in range(5):
        harness.submit()
    harness.advance(1990 * MS)
    assert len(harness.sent) == before
    harness.advance(300 * MS)
    assert len(harness.sent) > before


def test_relays_with_same_retry_after_return_apart():
    first_calls_at = []
    for seed in range(8):
        harness = DecisionHarness(settings(relay_count=8), seed=seed)
        harness.answer(harness.submit(), Result.REFUSED, 4 * SECOND)
        before = len(harness.sent)
        while len(harness.sent) == before:
            harness.submit(abandon=8 * SECOND)
            harness.advance(10 * MS)
        first_calls_at.append(harness.now)
    assert max(first_calls_at) - min(first_calls_at) > SECOND


def test_refusals_teach_rate_below_limit():
    harness = DecisionHarness(
        settings(max_calls=40, callback_classes=[callback_class(abandon=60000)]),
        hosts=((1, 0, 0, 1),),
    )
    served_at, refused, served = [], 0, 0
    # thirty seconds at a destination that serves five calls a second
    for _ in range(1500):
        harness.submit()
        harness.advance(20 * MS)
        for number in sorted(
            n for n, (_, sent, _) in harness.in_flight.items() if sent + 20 * MS <= harness.now
        ):
            served_at = [t for t in served_at if t > harness.now - SECOND]
            if len(served_at) < 5:
                served_at.append(harness.now)
                served += 1
                harness.answer(number)
            elif number in harness.in_flight:
                refused += 1
                harness.answer(number, Result.REFUSED)
    assert served > 100 and refused < served / 3


class SharedLimit:
    """An advertised limit that many relays share.

    Refused calls use it up too, and its remaining share is advertised with a delay.
    """

    def __init__(self, rate, depth, update_interval):
        self.rate, self.depth, self.update_interval = rate, depth, update_interval
        (
            self.remaining,
            self.updated_at,
            self.reported_share,
            self.reported_at,
            self.served,
            self.refused,
        ) = (
            depth,
            0,
            1.0,
            0,
            0,
            0,
        )

    def call(self, now):
        self.remaining, self.updated_at = (
            min(self.depth, self.remaining + self.rate * (now - self.updated_at) / SECOND),
            now,
        )
        if now - self.reported_at >= self.update_interval:
            self.reported_share, self.reported_at = max(0.0, self.remaining / self.depth), now
        good, self.remaining = self.remaining >= 1.0, self.remaining - 1.0
        self.served, self.refused = self.served + good, self.refused + (not good)
        return Result.DELIVERED if good else Result.REFUSED, (self.rate, self.reported_share)


@pytest.mark.parametrize("demand", [0.8, 1.3])
def test_many_relays_share_advertised_limit_with_few_refusals(demand):
    relays, rate = 20, 20.0
    given = settings(
        relay_count=relays,
        max_calls=5,
        max_pending=90,
        limits_are_advertised=True,
        callback_classes=[callback_class(goal=3000, abandon=12000)],
    )
    harnesses = [DecisionHarness(given, hosts=((1, 0, 0, 1),), seed=seed) for seed in range(relays)]
    limit, random = SharedLimit(rate, rate / 2, 500 * MS), Random(5)
    for step in range(1200):  # half a minute in steps of 25 ms
        for harness in harnesses:
            if step % 40 == 0 and random.random() < 0.1:
                for _ in range(4):  # some arrive in bursts
                    harness.submit()
            if random.random() < (demand - 0.4) * rate / relays / 40:
                harness.submit()
            harness.advance(25 * MS)
            for number in [
                n for n, (_, sent, _) in harness.in_flight.items() if sent + 25 * MS <= harness.now
            ]:
                result, advertised = limit.call(harness.now)
                harness.answer(number, result, told=advertised)
    callback_count = sum(harness.last_number for harness in harnesses)
    assert (
        limit.served > 0.8 * min(callback_count, 30 * rate) and limit.refused < 0.08 * limit.served
    )


def test_partly_filled_call_waits_at_advertised_limit():
    spans = []
    for waiting, size, left in ((10, 10, 0.5), (1, 1, 0.5), (1, 10, 0.5), (1, 10, 0.95)):
        harness = DecisionHarness(
            settings(
                relay_count=40,
                max_calls=8,
                limits_are_advertised=True,
                kinds=[interface.HostKind(False, size)],
                callback_classes=[callback_class(abandon=12000)],
            ),
            hosts=((1, 0, 0, 1),),
        )
        # with half of the limit left the rate is an even share, one call a second
        harness.answer(harness.submit(), told=(40.0, left))
        before, since = len(harness.sent), harness.now
        for _ in range(waiting):
            harness.submit()
        while len(harness.sent) == before:
            harness.advance(10 * MS)
        spans.append(harness.now - since)
        assert len(harness.sent) == before + waiting
    assert spans[0] < 1100 * MS and spans[1] < 1100 * MS and spans[2] > 2 * spans[0]
    assert spans[3] < spans[1] / 2


def test_refusal_without_limit_pauses_only_that_host():
    harness = DecisionHarness(
        settings(limits_are_advertised=True), hosts=((1, 0, 0, 1), (2, 0, 0, 1))
    )
    harness.answer(harness.submit(), told=(50.0, 0.9))
    number = harness.submit()
    harness.advance(50 * MS)
    draining_host = harness.in_flight[number][0]
    harness.answer(number, Result.REFUSED)  # before the list says so
    harness.advance(100 * MS)
    assert (
        harness.in_flight[number][0] != draining_host
        and harness.dispatcher.state.destinations[1].limiter.paused_until <= harness.now
    )


@pytest.mark.parametrize("retry_after", [0, 2 * SECOND])
def test_new_host_ends_backoff_but_not_retry_after(retry_after):
    harness = DecisionHarness(
        settings(limits_are_advertised=True), hosts=((1, 0, 0, 1), (2, 0, 0, 1))
    )
    harness.step(
        [
            harness.list_news(
                interface.ListScope.WHOLE,
                [interface.HostEntry(1, 0, 0, 1, interface.Condition.UP, 1.0)],
            )
        ]
    )
    number = harness.submit()
    for n in range(4):
        while number not in harness.in_flight:
            harness.advance(10 * MS)
        harness.answer(number, Result.REFUSED, retry_after if n == 3 else 0, told=(50.0, 0.0))
    retry_after_until = harness.now + retry_after
    assert (
        harness.dispatcher.state.destinations[1].limiter.paused_until > retry_after_until + 100 * MS
    )
    harness.step(
        [
            harness.list_news(
                interface.ListScope.UPDATE,
                [interface.HostEntry(2, 0, 0, 1, interface.Condition.UP, 1.0)],
            )
        ]
    )
    assert harness.dispatcher.state.destinations[1].limiter.paused_until == retry_after_until


@pytest.mark.parametrize(
    "limits_advertised,advertised_rate,learns_rate",
    [(True, 0.0, False), (True, 30.0, True), (False, 0.0, True)],
)
def test_refusal_teaches_no_rate_where_limits_are_advertised(
    limits_advertised, advertised_rate, learns_rate
):
    harness = DecisionHarness(
        settings(limits_are_advertised=limits_advertised), hosts=((1, 0, 0, 1),)
    )
    run_load(harness, 100, 1000)
    first_endpoint(harness.dispatcher).limiter.advertised_rate = advertised_rate
    harness.submit()
    harness.answer(next(iter(harness.in_flight)), Result.REFUSED)  # as from a draining host
    assert bool(first_endpoint(harness.dispatcher).limiter.learned_rate) == learns_rate


def test_fast_destination_goes_first_at_call_limit():
    hosts = [(d, 0, 0, d) for d in (1, 2, 3, 4)]
    harness = DecisionHarness(
        settings(max_calls=4, callback_classes=[callback_class(abandon=30000)]), hosts=hosts
    )
    run_load(harness, 900, 4500, latency=800, destination=1)
    run_load(harness, 100, 1000, latency=50, destination=2)
    run_load(harness, 100, 1000, latency=50, destination=3)
    busy = [harness.submit(destination=d) for d in (3, 3, 3, 4)]
    slow, quick = harness.submit(destination=1), harness.submit(destination=2)
    assert set(harness.in_flight) == set(busy)
    harness.answer(busy[0])
    assert quick in harness.in_flight and slow not in harness.in_flight


def test_full_relay_makes_room_for_healthy_destinations():
    harness = DecisionHarness(
        settings(max_pending=40, max_calls=20), hosts=((1, 0, 0, 1), (2, 0, 0, 2))
    )
    for _ in range(60):
        harness.submit(destination=1)  # nothing answers there
    number = harness.submit(destination=2)
    assert len(harness.open_callbacks) <= 40 and number in harness.in_flight


def test_timeouts_cut_by_deadline_do_not_count_against_host():
    harness = DecisionHarness(settings(), hosts=((1, 0, 0, 1),))
    run_load(harness, 100, 2000)
    for _ in range(12):
        harness.submit(abandon=40 * MS)
        harness.advance(60 * MS)
    assert not harness.health_messages


def test_failed_list_request_is_retried():
    harness = DecisionHarness(settings(list_on_request=True))
    assert harness.list_requests == 1
    harness.step([interface.HostListUpdate(interface.ListScope.FAILED, [])])
    assert harness.list_requests == 1
    harness.advance(3 * SECOND)
    assert harness.list_requests == 2


def test_gone_hosts_are_forgotten_unless_back_soon():
    harness = DecisionHarness(
        settings(callback_classes=[callback_class("exclusive", goal=90_000, abandon=100_000)]),
        hosts=((0, 0, 0, 1),),
    )
    relay = harness.dispatcher

    def update_list(*rows):
        harness.host_rows.update({host: (host, 0, 0, destination) for host, destination, _ in rows})
        harness.step(
            [
                harness.list_news(
                    interface.ListScope.UPDATE,
                    [
                        interface.HostEntry(*harness.host_rows[host], condition, 1.0)
                        for host, _, condition in rows
                    ],
                )
            ]
        )

    for number in range(1, 40):
        update_list(
            (number - 1, max(1, number - 1), interface.Condition.GONE),
            (number, number, interface.Condition.UP),
        )
        harness.submit(destination=number)
        harness.answer(next(iter(harness.in_flight)))
        harness.advance(4 * SECOND)
    assert (
        len(relay.state.endpoints) <= 12 and len(relay.state.destinations) <= 12
    ), "half a minute's worth"
    harness.submit(destination=39)
    update_list((39, 39, interface.Condition.GONE))
    harness.advance(31 * SECOND)
    assert 39 in relay.state.endpoints, "a call is out there"
    harness.answer(next(iter(harness.in_flight)))
    harness.advance(31 * SECOND)
    assert (
        not relay.state.endpoints
        and not relay.state.destinations
        and not relay.state.callbacks_by_id
        and not relay.lifecycle.callbacks_by_key
    )
    update_list((50, 7, interface.Condition.UP))
    relay.state.endpoints[50].state = "closed"
    update_list((50, 7, interface.Condition.GONE))
    harness.advance(10 * SECOND)
    update_list((50, 7, interface.Condition.UP))
    assert relay.state.endpoints[50].state == "closed" and len(relay.state.endpoints) == 1


def test_unlisted_destination_is_rejected_and_not_kept():
    harness = DecisionHarness(settings())
    number = harness.submit(destination=77)
    assert (
        number in harness.completed
        and not harness.sent
        and 77 not in harness.dispatcher.state.destinations
        and not harness.dispatcher.state.callbacks_by_id
    )


def test_call_takes_several_callbacks():
    harness = DecisionHarness(
        settings(kinds=[interface.HostKind(False, 5)], max_calls=4), hosts=((1, 0, 0, 1),)
    )
    for _ in range(12):
        harness.submit()
    harness.answer(min(harness.in_flight))
    assert (
        len(harness.in_flight) == 10
        and harness.dispatcher.state.calls_in_flight == 2
        and harness.dispatcher.state.destinations[1].waiting_count == 1
    )


def test_failed_connect_closes_idle_connections_for_some_calls():
    harness = DecisionHarness(settings(), hosts=((1, 0, 0, 1), (2, 0, 0, 2)))
    harness.answer(harness.submit())
    assert not harness.closed_idle
    harness.answer(harness.submit(destination=2), Result.NO_CONNECT)
    # one host that leaves is no lack of connections: a busy relay keeps its own
    for _ in range(40):
        harness.answer(harness.submit())
    assert harness.closed_idle[-1] == 1 and len(harness.closed_idle) < 35


@pytest.mark.parametrize("was_idle", [True, False])
def test_reset_of_idle_connection_does_not_count_against_host(was_idle):
    harness = DecisionHarness(
        settings(connection_idle=10 * SECOND, callback_classes=[callback_class(abandon=60000)]),
        hosts=((1, 0, 0, 1),),
    )
    run_load(harness, 100, 2000)
    limiter = first_endpoint(harness.dispatcher).limiter
    before = limiter.window
    first_endpoint(harness.dispatcher).idle_since = (
        harness.now - 50 * MS if was_idle else -60 * SECOND
    )
    harness.answer(harness.submit(), Result.RESET)
    assert (
        (limiter.window == before)
        == (limiter.bad_rounds == 0)
        == (first_endpoint(harness.dispatcher).failure_share == 0.0)
        == was_idle
    )


@pytest.mark.parametrize(
    "result,retry_after",
    [(Result.REFUSED, 0), (Result.REFUSED, 700), (Result.TIMEOUT, 0), (Result.NO_CONNECT, 0)],
)
def test_relays_with_one_callback_each_return_apart(result, retry_after):
    attempt_times = []  # of thirty relays with the same failure at the same time
    for seed in range(30):
        harness = DecisionHarness(
            settings(relay_count=30, callback_classes=[callback_class(abandon=20000)]),
            ((1, 0, 0, 1),),
            seed,
        )
        number, start = harness.submit(), harness.now
        while number in harness.open_callbacks and harness.now < start + 18 * SECOND:
            if number in harness.in_flight:
                harness.answer(number, result, retry_after * MS)
            harness.advance(50 * MS)
        attempt_times += [when - start for when, _ in harness.sent]
    for at in (4, 6, 8, 10, 12):  # seconds; the fault: all thirty called every two seconds
        assert sum(at * SECOND <= when < (at + 2) * SECOND for when in attempt_times) <= 20


def test_idle_connections_that_lose_calls_are_closed():
    hosts = [(d, 0, 0, d) for d in range(1, 13)]
    harness = DecisionHarness(settings(connection_idle=10 * SECOND, max_calls=20), hosts)
    lost = 0
    for _ in range(3):
        for destination in range(1, 13):
            number = harness.submit(destination=destination)
            kept = destination not in harness.closed_idle[-1:]
            used_before = [host for when, host in harness.sent[:-1] if host == destination]
            # every connection idle for over two seconds has been dropped
            dropped = bool(used_before) and kept
            lost += dropped
            harness.answer(number, Result.RESET if dropped else Result.DELIVERED)
            for other in sorted(harness.in_flight):
                harness.answer(other)
            harness.advance(200 * MS)
    assert 3 <= lost <= 6 and not any("closed" in note for note in harness.health_messages)


def test_callback_at_value_floor_goes_last():
    rows = [callback_class(goal=1000, abandon=20000)]
    harness = DecisionHarness(
        settings(callback_classes=rows, value_halves=True, max_calls=1), hosts=((1, 0, 0, 1),)
    )
    harness.step(
        [
            harness.list_news(
                interface.ListScope.UPDATE,
                [interface.HostEntry(1, 0, 0, 1, interface.Condition.DRAINING, 1.0)],
            )
        ]
    )
    for _ in range(2):
        harness.submit()
    harness.advance(2100 * MS)  # the target latency, and the time until the value has halved
    fresh = harness.submit()
    harness.step(
        [
            harness.list_news(
                interface.ListScope.UPDATE,
                [interface.HostEntry(1, 0, 0, 1, interface.Condition.UP, 1.0)],
            )
        ]
    )
    assert set(harness.in_flight) == {fresh}


def test_failed_connects_at_several_hosts_pause_destination():
    hosts = [(h, 0, 0, 1) for h in (1, 2, 3)]
    harness = DecisionHarness(
        settings(relay_count=30, callback_classes=[callback_class(abandon=20000)]), hosts
    )
    number = harness.submit()
    harness.answer(number, Result.NO_CONNECT)
    harness.answer(number, Result.NO_CONNECT)
    harness.submit()
    harness.advance(2 * SECOND)
    assert (
        len(harness.sent) == 2
        and len({h for _, h in harness.sent}) <= 2
        and len(harness.open_callbacks) == 2
    )


def test_scarce_connections_of_one_kind_spare_others():
    harness = DecisionHarness(
        settings(kinds=[interface.HostKind(False, 1), interface.HostKind(False, 1)]),
        hosts=((1, 0, 0, 1), (2, 0, 1, 2)),
    )
    number = harness.submit(destination=2)
    harness.answer(number, Result.NO_CONNECT)
    harness.answer(harness.submit(destination=1))
    assert harness.closed_idle == [2]
    while number not in harness.in_flight:
        harness.advance(10 * MS)
    harness.answer(number)
    assert harness.closed_idle == [2, 2]


def test_at_most_once_call_times_out_after_target_latency():
    """Guards against calls to hosts that hang: held to their deadlines, they use up max_calls."""
    harness = DecisionHarness(
        settings(callback_classes=[callback_class("exclusive", goal=2000, abandon=20_000)]),
        hosts=((1, 0, 0, 1),),
    )
    run_load(harness, 20, 20)
    number = harness.submit()
    harness.advance(1900 * MS)
    assert number in harness.in_flight
    harness.advance(200 * MS)
    assert number in harness.completed and not harness.dispatcher.state.calls_in_flight


def test_retries_slow_down_while_refusals_exhaust_limit():
    """Guards against retries that use up an advertised limit.

    Where an even share is one call in a quarter of a minute, retries every few seconds by all
    relays leave nothing for any of them.
    """
    harness = DecisionHarness(
        settings(
            limits_are_advertised=True,
            relay_count=200,
            slow_start_time=SECOND,
            max_attempts=12,
            callback_classes=[callback_class(abandon=400_000)],
        ),
        hosts=((1, 0, 0, 1),),
    )
    number, attempt_times = harness.submit(), []
    for _ in range(6000):
        if number in harness.in_flight:
            attempt_times.append(harness.now)
            harness.answer(number, Result.REFUSED, told=(14.0, 0.0))
        harness.advance(50 * MS)
    gaps = [b - a for a, b in zip(attempt_times, attempt_times[1:])]
    assert len(gaps) > 4 and gaps[0] < 4 * SECOND and gaps[4] > 3 * gaps[0]


def test_callback_judged_late_once_still_ends_at_deadline():
    """Guards against a callback that only the core's own deadline check completed.

    It was checked once on arrival, and never again while it waited for its key.
    """
    harness = DecisionHarness(
        settings(max_calls=100, callback_classes=[callback_class(ordered=True)]),
        hosts=((1, 0, 0, 1),),
    )
    harness.submit(key="a")
    other = harness.submit(key="c")
    limiter = first_endpoint(harness.dispatcher).limiter
    limiter.latency = limiter.baseline_latency = 200 * MS
    harness.advance(5 * MS)
    late, deadline = 99, harness.now + 185 * MS
    harness.open_callbacks[late] = dict(
        row=harness.settings.callback_classes[0], key="a", deadline=deadline, attempts=[]
    )
    # in one batch: too late by the latency known so far, then an answer with a lower latency
    harness.step(
        [
            interface.NewCallback(late, 0, 0, "a", deadline, 1),
            harness.outcome(other, Result.DELIVERED),
        ]
    )
    assert late in harness.open_callbacks
    harness.advance(190 * MS)
    assert late in harness.completed


def test_learned_state_of_older_version_is_restored():
    rows = json.loads(LEARNED_STATE_OF_OLDER_VERSION.read_text(encoding="utf-8"))
    module = Dispatcher(settings(kinds=[interface.HostKind(True, 1)]), 1)
    entry = interface.HostEntry("h1", 0, 0, 3, interface.Condition.UP, 0.0)
    module.step(
        3 * SECOND,
        [
            interface.HostListUpdate(interface.ListScope.WHOLE, [entry]),
            interface.LearnedState(rows),
        ],
    )
    assert module.learned_state() == rows
    assert first_endpoint(module).state is SLOW_START
