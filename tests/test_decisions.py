"""Plain cases: what each rule and each defence is there for, on the module alone."""

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


def run_load(world, interval, span, result=Result.DELIVERED, latency=50, **callback):
    """A callback each `interval` ms for `span` ms; launches are answered after `latency` ms. Gives the launches."""
    before = len(world.sent)
    for _ in range(span // interval):
        world.submit(**callback)
        world.advance(min(latency, interval) * MS)
        for number in sorted(
            n for n, (_, sent, _) in world.in_flight.items() if sent + latency * MS <= world.now
        ):
            if number in world.in_flight:
                world.answer(number, result)
        world.advance(max(0, interval - latency) * MS)
    return world.sent[before:]


def test_window_grows_on_success_and_halves_on_refusal():
    world = DecisionHarness(settings(max_calls=100), hosts=((1, 0, 0, 1),))
    for _ in range(40):
        world.submit()
    assert len(world.in_flight) == 2
    for _ in range(6):
        world.answer(min(world.in_flight))
    # one more for each good answer until the first slowdown
    assert len(world.in_flight) == 8
    world.answer(min(world.in_flight), Result.REFUSED, 500 * MS)
    sent = len(world.sent)
    world.advance(499 * MS)
    assert len(world.sent) == sent
    assert first_endpoint(world.dispatcher).limiter.window == 4.0


def test_high_latency_decreases_window_until_baseline_expires():
    world = DecisionHarness(
        settings(max_calls=100, callback_classes=[callback_class(abandon=60000)]),
        hosts=((1, 0, 0, 1),),
    )
    run_load(world, 100, 4000, latency=50)
    limiter = first_endpoint(world.dispatcher).limiter
    grown = limiter.window
    run_load(world, 300, 6000, latency=290)
    cut = limiter.window
    assert cut < grown / 2
    run_load(world, 300, 15000, latency=290)
    assert limiter.window > cut + 2


def test_hanging_destination_leaves_calls_for_others():
    world = DecisionHarness(settings(max_calls=4), hosts=((1, 0, 0, 1), (2, 0, 0, 2)))
    for _ in range(20):
        world.submit()
    world.advance(300 * MS)
    assert sum(1 for host, _, _ in world.in_flight.values() if host == 1) <= 3
    number = world.submit(destination=2)
    assert number in world.in_flight


@pytest.mark.parametrize(
    "effect,result,retry_allowed",
    [
        ("rerunnable", Result.TIMEOUT, True),
        ("ticketed", Result.ERROR, True),
        ("exclusive", Result.NO_CONNECT, True),
        ("exclusive", Result.REFUSED, True),
        ("exclusive", Result.ERROR, False),
        ("exclusive", Result.RESET, False),
    ],
)
def test_retry_only_where_semantics_allow(effect, result, retry_allowed):
    world = DecisionHarness(
        settings(callback_classes=[callback_class(effect, abandon=9000, window=9000)])
    )
    number = world.submit()
    world.answer(number, result)
    world.advance(100 * MS)
    while (
        retry_allowed and not world.in_flight and number in world.open_callbacks
    ):  # a refusal asks for a rest
        world.advance(100 * MS)
    assert (number in world.in_flight) == retry_allowed and (
        number in world.open_callbacks
    ) == retry_allowed


def test_expired_callback_does_not_block_the_next():
    world = DecisionHarness(
        settings(max_calls=1, callback_classes=[callback_class(abandon=1600)]),
        hosts=((1, 0, 0, 1),),
    )
    run_load(world, 100, 1000, latency=60)
    world.submit()
    late, good = world.submit(abandon=110 * MS), world.submit(abandon=800 * MS)
    world.advance(60 * MS)
    sent = len(world.sent)
    world.answer(next(iter(world.in_flight)))
    assert (
        late in world.completed and list(world.in_flight) == [good] and len(world.sent) == sent + 1
    )


def test_callback_ends_when_deduplication_window_closes():
    rows = [callback_class("ticketed", window=1000, abandon=9000)]
    world = DecisionHarness(settings(callback_classes=rows), hosts=((1, 0, 0, 1),))
    number = world.submit()
    world.advance(100 * MS)
    world.step([world.list_news(interface.ListScope.WHOLE, [])])
    world.answer(number, Result.ERROR)
    world.advance(950 * MS)
    assert number in world.completed


def test_zone_bound_callback_does_not_block_others():
    rows = [callback_class("ticketed", window=4000, same_zone=True)]
    world = DecisionHarness(
        settings(callback_classes=rows, kinds=[interface.HostKind(True, 1)]),
        hosts=((1, 0, 0, 1), (2, 1, 0, 1)),
    )
    bound = world.submit()
    zone_host = world.in_flight[bound][0]
    drains = interface.HostEntry(zone_host, zone_host - 1, 0, 1, interface.Condition.DRAINING, 1.0)
    world.step([world.list_news(interface.ListScope.UPDATE, [drains])])
    world.answer(bound, Result.ERROR)
    other = world.submit()
    assert bound not in world.in_flight and other in world.in_flight


def test_returning_host_gets_slow_start():
    world = DecisionHarness(
        settings(max_calls=40, callback_classes=[callback_class(abandon=20000)]),
        hosts=((1, 0, 0, 1),),
    )
    run_load(world, 100, 8000)
    run_load(world, 100, 6000, result=Result.NO_CONNECT)
    assert any("closed" in note for note in world.health_messages)
    back = world.now
    attempt_times = [when for when, _ in run_load(world, 100, 12000)]
    for start in attempt_times:
        cold = min(1.0, 0.2 + 0.8 * max(0, start + 1500 * MS - back) / (10 * SECOND))
        in_span = sum(1 for when in attempt_times if start <= when < start + 1500 * MS)
        assert cold == 1.0 or in_span <= 2.0 * cold * 17 * 1.5 + 1  # it can do more than is asked
    assert len(attempt_times) > 60  # and it is fed again


def drain_host(world, host):
    world.step(
        [
            world.list_news(
                interface.ListScope.UPDATE,
                [interface.HostEntry(*world.host_rows[host], interface.Condition.DRAINING, 1.0)],
            )
        ]
    )


@pytest.mark.parametrize("together", [True, False])
def test_host_returning_alone_gets_only_its_share(together):
    """Danger: taken to bear all that its destination is asked for, one whose sibling drains is given twice what it can do."""
    world = DecisionHarness(
        settings(max_calls=40, callback_classes=[callback_class(abandon=20000)])
    )
    run_load(world, 50, 8000)
    run_load(world, 50, 6000, result=Result.NO_CONNECT)
    if not together:
        drain_host(world, 2)
    back, capacity = world.now, 1.7 * 20 / 2  # of each host: what is asked of both, with room
    attempt_times = [when for when, host in run_load(world, 50, 8000) if host == 1]
    assert len(attempt_times) > 20
    for start in attempt_times:
        cold = 0.2 + 0.8 * min(1.0, max(0, start + 1500 * MS - back) / (10 * SECOND))
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
        (2, 900, Result.NO_CONNECT, False),  # scarce connections are no outage
    ],
)
def test_few_failures_over_long_span_are_an_outage(failures, pause, result, is_outage):
    """Danger: a relay with few slots sees two calls fail in five seconds, and feeds the host by the window alone as it returns."""
    world = DecisionHarness(
        settings(max_calls=2, callback_classes=[callback_class(abandon=60000)]),
        hosts=((1, 0, 0, 1),),
    )
    run_load(world, 100, 8000)
    for _ in range(failures):
        world.submit()
        while not world.in_flight:
            world.advance(20 * MS)
        world.advance(pause * MS)
        world.answer(min(world.in_flight), result)
    for _ in range(60):
        world.submit()
    while not world.in_flight:
        world.advance(20 * MS)
    back, sent = world.now, len(world.sent)
    while world.now < back + 1500 * MS:
        world.advance(20 * MS)
        for number in list(world.in_flight):
            world.answer(number)
    capacity = 1.7 * 10
    calls = 2.0 * 0.2 * capacity * 1.5
    assert (len(world.sent) - sent <= calls + 3 * calls**0.5 + 3) == is_outage


def test_waiting_callback_is_sent_when_backoff_ends():
    world = DecisionHarness(
        settings(max_calls=40, callback_classes=[callback_class(abandon=60000)]),
        hosts=((1, 0, 0, 1),),
    )
    number = world.submit()
    for _ in range(2):
        world.answer(number, Result.NO_CONNECT)
    world.advance(20 * MS)
    assert not world.in_flight
    before = len(world.sent)
    world.advance(20 * SECOND)  # longer than the longest rest
    assert len(world.sent) > before


def test_retry_after_holds_for_whole_destination():
    world = DecisionHarness(settings(max_calls=40))
    run_load(world, 50, 4000)
    world.answer(world.submit(), Result.REFUSED, 2 * SECOND)
    before = len(world.sent)
    for _ in range(5):
        world.submit()
    world.advance(1990 * MS)
    assert len(world.sent) == before
    world.advance(300 * MS)
    assert len(world.sent) > before


def test_relays_with_same_retry_after_return_apart():
    first_calls_at = []
    for seed in range(8):
        world = DecisionHarness(settings(relay_count=8), seed=seed)
        world.answer(world.submit(), Result.REFUSED, 4 * SECOND)
        before = len(world.sent)
        while len(world.sent) == before:
            world.submit(abandon=8 * SECOND)
            world.advance(10 * MS)
        first_calls_at.append(world.now)
    assert max(first_calls_at) - min(first_calls_at) > SECOND


def test_refusals_teach_rate_below_limit():
    world = DecisionHarness(
        settings(max_calls=40, callback_classes=[callback_class(abandon=60000)]),
        hosts=((1, 0, 0, 1),),
    )
    served_at, refused, served = [], 0, 0
    # thirty seconds at a destination that takes five a second
    for _ in range(1500):
        world.submit()
        world.advance(20 * MS)
        for number in sorted(
            n for n, (_, sent, _) in world.in_flight.items() if sent + 20 * MS <= world.now
        ):
            served_at = [t for t in served_at if t > world.now - SECOND]
            if len(served_at) < 5:
                served_at.append(world.now)
                served += 1
                world.answer(number)
            elif number in world.in_flight:
                refused += 1
                world.answer(number, Result.REFUSED)
    assert served > 100 and refused < served / 3


class SharedLimit:
    """A told limit that many relays share: refused calls use it up too, and what is left is told late."""

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
    worlds = [DecisionHarness(given, hosts=((1, 0, 0, 1),), seed=seed) for seed in range(relays)]
    limit, random = SharedLimit(rate, rate / 2, 500 * MS), Random(5)
    for step in range(1200):  # half a minute in steps of 25 ms
        for world in worlds:
            if step % 40 == 0 and random.random() < 0.1:
                for _ in range(4):  # some come in clumps
                    world.submit()
            if random.random() < (demand - 0.4) * rate / relays / 40:
                world.submit()
            world.advance(25 * MS)
            for number in [
                n for n, (_, sent, _) in world.in_flight.items() if sent + 25 * MS <= world.now
            ]:
                result, told = limit.call(world.now)
                world.answer(number, result, told=told)
    callback_count = sum(world.last_number for world in worlds)
    assert (
        limit.served > 0.8 * min(callback_count, 30 * rate) and limit.refused < 0.08 * limit.served
    )


def test_partly_filled_call_waits_at_advertised_limit():
    spans = []
    for waiting, size, left in ((10, 10, 0.5), (1, 1, 0.5), (1, 10, 0.5), (1, 10, 0.95)):
        world = DecisionHarness(
            settings(
                relay_count=40,
                max_calls=8,
                limits_are_advertised=True,
                kinds=[interface.HostKind(False, size)],
                callback_classes=[callback_class(abandon=12000)],
            ),
            hosts=((1, 0, 0, 1),),
        )
        # half of it is left: an even part, a call a second
        world.answer(world.submit(), told=(40.0, left))
        before, since = len(world.sent), world.now
        for _ in range(waiting):
            world.submit()
        while len(world.sent) == before:
            world.advance(10 * MS)
        spans.append(world.now - since)
        assert len(world.sent) == before + waiting
    assert spans[0] < 1100 * MS and spans[1] < 1100 * MS and spans[2] > 2 * spans[0]
    assert spans[3] < spans[1] / 2


def test_refusal_without_limit_pauses_only_that_host():
    world = DecisionHarness(
        settings(limits_are_advertised=True), hosts=((1, 0, 0, 1), (2, 0, 0, 1))
    )
    world.answer(world.submit(), told=(50.0, 0.9))
    number = world.submit()
    world.advance(50 * MS)
    drains = world.in_flight[number][0]
    world.answer(number, Result.REFUSED)  # before the list tells
    world.advance(100 * MS)
    assert (
        world.in_flight[number][0] != drains
        and world.dispatcher.state.destinations[1].limiter.paused_until <= world.now
    )


@pytest.mark.parametrize("wait", [0, 2 * SECOND])
def test_new_host_ends_backoff_but_not_retry_after(wait):
    world = DecisionHarness(
        settings(limits_are_advertised=True), hosts=((1, 0, 0, 1), (2, 0, 0, 1))
    )
    world.step(
        [
            world.list_news(
                interface.ListScope.WHOLE,
                [interface.HostEntry(1, 0, 0, 1, interface.Condition.UP, 1.0)],
            )
        ]
    )
    number = world.submit()
    for n in range(4):
        while number not in world.in_flight:
            world.advance(10 * MS)
        world.answer(number, Result.REFUSED, wait if n == 3 else 0, told=(50.0, 0.0))
    retry_after_until = world.now + wait
    assert (
        world.dispatcher.state.destinations[1].limiter.paused_until > retry_after_until + 100 * MS
    )
    world.step(
        [
            world.list_news(
                interface.ListScope.UPDATE,
                [interface.HostEntry(2, 0, 0, 1, interface.Condition.UP, 1.0)],
            )
        ]
    )
    assert world.dispatcher.state.destinations[1].limiter.paused_until == retry_after_until


@pytest.mark.parametrize(
    "limits_advertised,advertised_rate,learns_rate",
    [(True, 0.0, False), (True, 30.0, True), (False, 0.0, True)],
)
def test_refusal_teaches_no_rate_where_limits_are_advertised(
    limits_advertised, advertised_rate, learns_rate
):
    world = DecisionHarness(
        settings(limits_are_advertised=limits_advertised), hosts=((1, 0, 0, 1),)
    )
    run_load(world, 100, 1000)
    first_endpoint(world.dispatcher).limiter.advertised_rate = advertised_rate
    world.submit()
    world.answer(next(iter(world.in_flight)), Result.REFUSED)  # as of a host that drains
    assert bool(first_endpoint(world.dispatcher).limiter.learned_rate) == learns_rate


def test_fast_destination_goes_first_at_call_limit():
    hosts = [(d, 0, 0, d) for d in (1, 2, 3, 4)]
    world = DecisionHarness(
        settings(max_calls=4, callback_classes=[callback_class(abandon=30000)]), hosts=hosts
    )
    run_load(world, 900, 4500, latency=800, destination=1)
    run_load(world, 100, 1000, latency=50, destination=2)
    run_load(world, 100, 1000, latency=50, destination=3)
    busy = [world.submit(destination=d) for d in (3, 3, 3, 4)]
    slow, quick = world.submit(destination=1), world.submit(destination=2)
    assert set(world.in_flight) == set(busy)
    world.answer(busy[0])
    assert quick in world.in_flight and slow not in world.in_flight


def test_full_relay_makes_room_for_healthy_destinations():
    world = DecisionHarness(
        settings(max_pending=40, max_calls=20), hosts=((1, 0, 0, 1), (2, 0, 0, 2))
    )
    for _ in range(60):
        world.submit(destination=1)  # nothing answers there
    number = world.submit(destination=2)
    assert len(world.open_callbacks) <= 40 and number in world.in_flight


def test_timeouts_cut_by_deadline_do_not_count_against_host():
    world = DecisionHarness(settings(), hosts=((1, 0, 0, 1),))
    run_load(world, 100, 2000)
    for _ in range(12):
        world.submit(abandon=40 * MS)
        world.advance(60 * MS)
    assert not world.health_messages


def test_failed_list_request_is_retried():
    world = DecisionHarness(settings(list_on_request=True))
    assert world.list_requests == 1
    world.step([interface.HostListUpdate(interface.ListScope.FAILED, [])])
    assert world.list_requests == 1
    world.advance(3 * SECOND)
    assert world.list_requests == 2


def test_gone_hosts_are_forgotten_unless_back_soon():
    world = DecisionHarness(
        settings(callback_classes=[callback_class("exclusive", goal=90_000, abandon=100_000)]),
        hosts=((0, 0, 0, 1),),
    )
    relay = world.dispatcher

    def update_list(*rows):
        world.host_rows.update({host: (host, 0, 0, destination) for host, destination, _ in rows})
        world.step(
            [
                world.list_news(
                    interface.ListScope.UPDATE,
                    [
                        interface.HostEntry(*world.host_rows[host], condition, 1.0)
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
        world.submit(destination=number)
        world.answer(next(iter(world.in_flight)))
        world.advance(4 * SECOND)
    assert (
        len(relay.state.endpoints) <= 12 and len(relay.state.destinations) <= 12
    ), "half a minute's worth"
    world.submit(destination=39)
    update_list((39, 39, interface.Condition.GONE))
    world.advance(31 * SECOND)
    assert 39 in relay.state.endpoints, "a call is out there"
    world.answer(next(iter(world.in_flight)))
    world.advance(31 * SECOND)
    assert (
        not relay.state.endpoints
        and not relay.state.destinations
        and not relay.state.callbacks_by_id
        and not relay.lifecycle.callbacks_by_key
    )
    update_list((50, 7, interface.Condition.UP))
    relay.state.endpoints[50].state = "closed"
    update_list((50, 7, interface.Condition.GONE))
    world.advance(10 * SECOND)
    update_list((50, 7, interface.Condition.UP))
    assert relay.state.endpoints[50].state == "closed" and len(relay.state.endpoints) == 1


def test_unlisted_destination_is_rejected_and_not_kept():
    world = DecisionHarness(settings())
    number = world.submit(destination=77)
    assert (
        number in world.completed
        and not world.sent
        and 77 not in world.dispatcher.state.destinations
        and not world.dispatcher.state.callbacks_by_id
    )


def test_call_takes_several_callbacks():
    world = DecisionHarness(
        settings(kinds=[interface.HostKind(False, 5)], max_calls=4), hosts=((1, 0, 0, 1),)
    )
    for _ in range(12):
        world.submit()
    world.answer(min(world.in_flight))
    assert (
        len(world.in_flight) == 10
        and world.dispatcher.state.calls_in_flight == 2
        and world.dispatcher.state.destinations[1].waiting_count == 1
    )


def test_failed_connect_closes_idle_connections_for_some_calls():
    world = DecisionHarness(settings(), hosts=((1, 0, 0, 1), (2, 0, 0, 2)))
    world.answer(world.submit())
    assert not world.closed_idle
    world.answer(world.submit(destination=2), Result.NO_CONNECT)
    # one host that goes is no shortage: a busy relay keeps its connections
    for _ in range(40):
        world.answer(world.submit())
    assert world.closed_idle[-1] == 1 and len(world.closed_idle) < 35


@pytest.mark.parametrize("kept", [True, False])
def test_reset_of_idle_connection_does_not_count_against_host(kept):
    world = DecisionHarness(
        settings(connection_idle=10 * SECOND, callback_classes=[callback_class(abandon=60000)]),
        hosts=((1, 0, 0, 1),),
    )
    run_load(world, 100, 2000)
    limiter = first_endpoint(world.dispatcher).limiter
    before = limiter.window
    first_endpoint(world.dispatcher).idle_since = world.now - 50 * MS if kept else -60 * SECOND
    world.answer(world.submit(), Result.RESET)
    assert (
        (limiter.window == before)
        == (limiter.bad_rounds == 0)
        == (first_endpoint(world.dispatcher).failure_share == 0.0)
        == kept
    )


@pytest.mark.parametrize(
    "result,wait",
    [(Result.REFUSED, 0), (Result.REFUSED, 700), (Result.TIMEOUT, 0), (Result.NO_CONNECT, 0)],
)
def test_relays_with_one_callback_each_return_apart(result, wait):
    attempt_times = []  # thirty relays, the same trouble at the same moment
    for seed in range(30):
        world = DecisionHarness(
            settings(relay_count=30, callback_classes=[callback_class(abandon=20000)]),
            ((1, 0, 0, 1),),
            seed,
        )
        number, start = world.submit(), world.now
        while number in world.open_callbacks and world.now < start + 18 * SECOND:
            if number in world.in_flight:
                world.answer(number, result, wait * MS)
            world.advance(50 * MS)
        attempt_times += [when - start for when, _ in world.sent]
    for at in (4, 6, 8, 10, 12):  # seconds; all thirty came every two seconds
        assert sum(at * SECOND <= when < (at + 2) * SECOND for when in attempt_times) <= 20


def test_idle_connections_that_lose_calls_are_closed():
    hosts = [(d, 0, 0, d) for d in range(1, 13)]
    world = DecisionHarness(settings(connection_idle=10 * SECOND, max_calls=20), hosts)
    lost = 0
    for _ in range(3):
        for destination in range(1, 13):
            number = world.submit(destination=destination)
            kept = destination not in world.closed_idle[-1:]
            used_before = [host for when, host in world.sent[:-1] if host == destination]
            # every connection idle for over two seconds is gone
            dropped = bool(used_before) and kept
            lost += dropped
            world.answer(number, Result.RESET if dropped else Result.DELIVERED)
            for other in sorted(world.in_flight):
                world.answer(other)
            world.advance(200 * MS)
    assert 3 <= lost <= 6 and not any("closed" in note for note in world.health_messages)


def test_callback_at_value_floor_goes_last():
    rows = [callback_class(goal=1000, abandon=20000)]
    world = DecisionHarness(
        settings(callback_classes=rows, value_halves=True, max_calls=1), hosts=((1, 0, 0, 1),)
    )
    world.step(
        [
            world.list_news(
                interface.ListScope.UPDATE,
                [interface.HostEntry(1, 0, 0, 1, interface.Condition.DRAINING, 1.0)],
            )
        ]
    )
    for _ in range(2):
        world.submit()
    world.advance(2100 * MS)  # the goal time, and the time to half the payoff
    fresh = world.submit()
    world.step(
        [
            world.list_news(
                interface.ListScope.UPDATE,
                [interface.HostEntry(1, 0, 0, 1, interface.Condition.UP, 1.0)],
            )
        ]
    )
    assert set(world.in_flight) == {fresh}


def test_failed_connects_at_several_hosts_pause_destination():
    hosts = [(h, 0, 0, 1) for h in (1, 2, 3)]
    world = DecisionHarness(
        settings(relay_count=30, callback_classes=[callback_class(abandon=20000)]), hosts
    )
    number = world.submit()
    world.answer(number, Result.NO_CONNECT)
    world.answer(number, Result.NO_CONNECT)
    world.submit()
    world.advance(2 * SECOND)
    assert (
        len(world.sent) == 2
        and len({h for _, h in world.sent}) <= 2
        and len(world.open_callbacks) == 2
    )


def test_scarce_connections_of_one_kind_spare_others():
    world = DecisionHarness(
        settings(kinds=[interface.HostKind(False, 1), interface.HostKind(False, 1)]),
        hosts=((1, 0, 0, 1), (2, 0, 1, 2)),
    )
    number = world.submit(destination=2)
    world.answer(number, Result.NO_CONNECT)
    world.answer(world.submit(destination=1))
    assert world.closed_idle == [2]
    while number not in world.in_flight:
        world.advance(10 * MS)
    world.answer(number)
    assert world.closed_idle == [2, 2]


def test_at_most_once_call_times_out_after_target_latency():
    """Danger: held to the end, those out at hosts that hang take all slots from the others."""
    world = DecisionHarness(
        settings(callback_classes=[callback_class("exclusive", goal=2000, abandon=20_000)]),
        hosts=((1, 0, 0, 1),),
    )
    run_load(world, 20, 20)
    number = world.submit()
    world.advance(1900 * MS)
    assert number in world.in_flight
    world.advance(200 * MS)
    assert number in world.completed and not world.dispatcher.state.calls_in_flight


def test_retries_slow_down_while_refusals_exhaust_limit():
    """Danger: where an even part is a call in a quarter of a minute, tries each few seconds leave nothing for anyone."""
    world = DecisionHarness(
        settings(
            limits_are_advertised=True,
            relay_count=200,
            slow_start_time=SECOND,
            max_attempts=12,
            callback_classes=[callback_class(abandon=400_000)],
        ),
        hosts=((1, 0, 0, 1),),
    )
    number, attempt_times = world.submit(), []
    for _ in range(6000):
        if number in world.in_flight:
            attempt_times.append(world.now)
            world.answer(number, Result.REFUSED, told=(14.0, 0.0))
        world.advance(50 * MS)
    gaps = [b - a for a, b in zip(attempt_times, attempt_times[1:])]
    assert len(gaps) > 4 and gaps[0] < 4 * SECOND and gaps[4] > 3 * gaps[0]


def test_callback_judged_late_once_still_ends_at_deadline():
    """Danger: looked at once as it came, and never again while it waits for its turn, it was ended by the core's guard alone."""
    world = DecisionHarness(
        settings(max_calls=100, callback_classes=[callback_class(ordered=True)]),
        hosts=((1, 0, 0, 1),),
    )
    world.submit(key="a")
    other = world.submit(key="c")
    limiter = first_endpoint(world.dispatcher).limiter
    limiter.latency = limiter.baseline_latency = 200 * MS
    world.advance(5 * MS)
    late, due = 99, world.now + 185 * MS
    world.open_callbacks[late] = dict(
        row=world.settings.callback_classes[0], key="a", deadline=due, attempts=[]
    )
    # in one batch: too late by the latency known so far, then an answer that comes sooner
    world.step(
        [interface.NewCallback(late, 0, 0, "a", due, 1), world.outcome(other, Result.DELIVERED)]
    )
    assert late in world.open_callbacks
    world.advance(190 * MS)
    assert late in world.completed


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
