"""Plain cases: what each rule and each defence is there for, on the module alone."""

import json
from pathlib import Path
from random import Random

import pytest

from molehill import interface as it
from molehill.decisions.dispatcher import Dispatcher
from molehill.decisions.endpoint import SLOW_START
from tests.ledger import MS, SECOND, R, World, category, first_endpoint, settings

LEARNT_BY_EARLIER_TEXT = Path(__file__).parent / "data" / "learnt_2026_12_03.json"


def feed(world, every, span, result=R.DELIVERED, took=50, **callback):
    """A callback each `every` ms for `span` ms; launches are answered after `took` ms. Gives the launches."""
    before = len(world.sent)
    for _ in range(span // every):
        world.take(**callback)
        world.advance(min(took, every) * MS)
        for number in sorted(
            n for n, (_, sent, _) in world.out.items() if sent + took * MS <= world.now
        ):
            if number in world.out:
                world.answer(number, result)
        world.advance(max(0, every - took) * MS)
    return world.sent[before:]


def test_window_grows_on_good_answers_and_halves_with_a_pause_on_a_refusal():
    world = World(settings(slots=100), hosts=((1, 0, 0, 1),))
    for _ in range(40):
        world.take()
    assert len(world.out) == 2
    for _ in range(6):
        world.answer(min(world.out))
    # one more for each good answer until the first slowdown
    assert len(world.out) == 8
    world.answer(min(world.out), R.FULL, 500 * MS)
    sent = len(world.sent)
    world.advance(499 * MS)
    assert len(world.sent) == sent
    assert first_endpoint(world.relay).limiter.window == 4.0


def test_a_latency_that_stays_over_twice_the_best_cuts_the_window_and_an_old_best_expires():
    world = World(settings(slots=100, categories=[category(abandon=60000)]), hosts=((1, 0, 0, 1),))
    feed(world, 100, 4000, took=50)
    limiter = first_endpoint(world.relay).limiter
    grown = limiter.window
    feed(world, 300, 6000, took=290)
    cut = limiter.window
    assert cut < grown / 2
    feed(world, 300, 15000, took=290)
    assert limiter.window > cut + 2


def test_slot_share_leaves_slots_for_other_destinations_while_one_hangs():
    world = World(settings(slots=4), hosts=((1, 0, 0, 1), (2, 0, 0, 2)))
    for _ in range(20):
        world.take()
    world.advance(300 * MS)
    assert sum(1 for host, _, _ in world.out.values() if host == 1) <= 3
    number = world.take(destination=2)
    assert number in world.out


@pytest.mark.parametrize(
    "effect,result,again",
    [
        ("rerunnable", R.TIMEOUT, True),
        ("ticketed", R.ERROR, True),
        ("exclusive", R.NO_CONNECT, True),
        ("exclusive", R.FULL, True),
        ("exclusive", R.ERROR, False),
        ("exclusive", R.RESET, False),
    ],
)
def test_a_repeat_only_where_the_category_allows(effect, result, again):
    world = World(settings(categories=[category(effect, abandon=9000, window=9000)]))
    number = world.take()
    world.answer(number, result)
    world.advance(100 * MS)
    while again and not world.out and number in world.open:  # a refusal asks for a rest
        world.advance(100 * MS)
    assert (number in world.out) == again and (number in world.open) == again


def test_what_no_answer_can_reach_any_more_is_given_up_and_what_is_behind_it_served():
    world = World(settings(slots=1, categories=[category(abandon=1600)]), hosts=((1, 0, 0, 1),))
    feed(world, 100, 1000, took=60)
    world.take()
    late, good = world.take(abandon=110 * MS), world.take(abandon=800 * MS)
    world.advance(60 * MS)
    sent = len(world.sent)
    world.answer(next(iter(world.out)))
    assert late in world.final and list(world.out) == [good] and len(world.sent) == sent + 1


def test_a_ticket_that_ran_out_ends_the_callback_at_once():
    rows = [category("ticketed", window=1000, abandon=9000)]
    world = World(settings(categories=rows), hosts=((1, 0, 0, 1),))
    number = world.take()
    world.advance(100 * MS)
    world.step([world.news(it.Scope.WHOLE, [])])
    world.answer(number, R.ERROR)
    world.advance(950 * MS)
    assert number in world.final


def test_a_callback_bound_to_a_zone_does_not_block_the_others():
    rows = [category("ticketed", window=4000, same_zone=True)]
    world = World(
        settings(categories=rows, kinds=[it.Kind(True, 1)]), hosts=((1, 0, 0, 1), (2, 1, 0, 1))
    )
    bound = world.take()
    zone_host = world.out[bound][0]
    drains = it.HostEntry(zone_host, zone_host - 1, 0, 1, it.Condition.DRAINING, 1.0)
    world.step([world.news(it.Scope.UPDATE, [drains])])
    world.answer(bound, R.ERROR)
    other = world.take()
    assert bound not in world.out and other in world.out


def test_a_returning_host_is_fed_under_the_budget():
    world = World(settings(slots=40, categories=[category(abandon=20000)]), hosts=((1, 0, 0, 1),))
    feed(world, 100, 8000)
    feed(world, 100, 6000, result=R.NO_CONNECT)
    assert any("closed" in note for note in world.notes)
    back = world.now
    launches = [when for when, _ in feed(world, 100, 12000)]
    for start in launches:
        cold = min(1.0, 0.2 + 0.8 * max(0, start + 1500 * MS - back) / (10 * SECOND))
        in_span = sum(1 for when in launches if start <= when < start + 1500 * MS)
        assert cold == 1.0 or in_span <= 2.0 * cold * 17 * 1.5 + 1  # it can do more than is asked
    assert len(launches) > 60  # and it is fed again


def drained(world, host):
    world.step(
        [
            world.news(
                it.Scope.UPDATE, [it.HostEntry(*world.table[host], it.Condition.DRAINING, 1.0)]
            )
        ]
    )


@pytest.mark.parametrize("together", [True, False])
def test_a_host_that_returns_alone_bears_no_more_than_beside_the_other(together):
    """Danger: taken to bear all that its destination is asked for, one whose sibling drains is given twice what it can do."""
    world = World(settings(slots=40, categories=[category(abandon=20000)]))
    feed(world, 50, 8000)
    feed(world, 50, 6000, result=R.NO_CONNECT)
    if not together:
        drained(world, 2)
    back, able = world.now, 1.7 * 20 / 2  # of each host: what is asked of both, with room
    launches = [when for when, host in feed(world, 50, 8000) if host == 1]
    assert len(launches) > 20
    for start in launches:
        cold = 0.2 + 0.8 * min(1.0, max(0, start + 1500 * MS - back) / (10 * SECOND))
        calls = 2.0 * cold * able * 1.5
        assert (
            sum(start <= when < start + 1500 * MS for when in launches)
            <= calls + 3 * calls**0.5 + 3
        )


@pytest.mark.parametrize(
    "failures, pause, result, returns",
    [
        (2, 2500, R.TIMEOUT, True),
        (2, 300, R.TIMEOUT, False),
        (1, 900, R.TIMEOUT, False),
        (2, 900, R.NO_CONNECT, False),  # scarce connections are no outage
    ],
)
def test_few_failures_over_a_long_time_are_an_outage_too(failures, pause, result, returns):
    """Danger: a relay with few slots sees two calls fail in five seconds, and feeds the host by the window alone as it returns."""
    world = World(settings(slots=2, categories=[category(abandon=60000)]), hosts=((1, 0, 0, 1),))
    feed(world, 100, 8000)
    for _ in range(failures):
        world.take()
        while not world.out:
            world.advance(20 * MS)
        world.advance(pause * MS)
        world.answer(min(world.out), result)
    for _ in range(60):
        world.take()
    while not world.out:
        world.advance(20 * MS)
    back, sent = world.now, len(world.sent)
    while world.now < back + 1500 * MS:
        world.advance(20 * MS)
        for number in list(world.out):
            world.answer(number)
    able = 1.7 * 10
    calls = 2.0 * 0.2 * able * 1.5
    assert (len(world.sent) - sent <= calls + 3 * calls**0.5 + 3) == returns


def test_what_waits_goes_when_the_rest_after_failures_is_over_though_nothing_new_comes():
    world = World(settings(slots=40, categories=[category(abandon=60000)]), hosts=((1, 0, 0, 1),))
    number = world.take()
    for _ in range(2):
        world.answer(number, R.NO_CONNECT)
    world.advance(20 * MS)
    assert not world.out
    before = len(world.sent)
    world.advance(20 * SECOND)  # longer than the longest rest
    assert len(world.sent) > before


def test_a_told_wait_is_heeded_for_every_host_of_the_destination():
    world = World(settings(slots=40))
    feed(world, 50, 4000)
    world.answer(world.take(), R.FULL, 2 * SECOND)
    before = len(world.sent)
    for _ in range(5):
        world.take()
    world.advance(1990 * MS)
    assert len(world.sent) == before
    world.advance(300 * MS)
    assert len(world.sent) > before


def test_relays_told_the_same_wait_do_not_return_in_the_same_moment():
    firsts = []
    for seed in range(8):
        world = World(settings(relays=8), seed=seed)
        world.answer(world.take(), R.FULL, 4 * SECOND)
        before = len(world.sent)
        while len(world.sent) == before:
            world.take(abandon=8 * SECOND)
            world.advance(10 * MS)
        firsts.append(world.now)
    assert max(firsts) - min(firsts) > SECOND


def test_refusals_teach_a_pace_below_the_allowance():
    world = World(settings(slots=40, categories=[category(abandon=60000)]), hosts=((1, 0, 0, 1),))
    allowance, refused, served = [], 0, 0
    # thirty seconds at a destination that takes five a second
    for _ in range(1500):
        world.take()
        world.advance(20 * MS)
        for number in sorted(
            n for n, (_, sent, _) in world.out.items() if sent + 20 * MS <= world.now
        ):
            allowance = [t for t in allowance if t > world.now - SECOND]
            if len(allowance) < 5:
                allowance.append(world.now)
                served += 1
                world.answer(number)
            elif number in world.out:
                refused += 1
                world.answer(number, R.FULL)
    assert served > 100 and refused < served / 3


class Allowance:
    """A told limit that many relays share: refused calls use it up too, and what is left is told late."""

    def __init__(self, rate, depth, every):
        self.rate, self.depth, self.every = rate, depth, every
        self.left, self.at, self.shown, self.shown_at, self.served, self.refused = (
            depth,
            0,
            1.0,
            0,
            0,
            0,
        )

    def call(self, now):
        self.left, self.at = min(self.depth, self.left + self.rate * (now - self.at) / SECOND), now
        if now - self.shown_at >= self.every:
            self.shown, self.shown_at = max(0.0, self.left / self.depth), now
        good, self.left = self.left >= 1.0, self.left - 1.0
        self.served, self.refused = self.served + good, self.refused + (not good)
        return R.DELIVERED if good else R.FULL, (self.rate, self.shown)


@pytest.mark.parametrize("asked", [0.8, 1.3])
def test_many_relays_at_one_told_limit_use_it_without_running_into_it(asked):
    relays, rate = 20, 20.0
    given = settings(
        relays=relays,
        slots=5,
        max_held=90,
        tells_limit=True,
        categories=[category(goal=3000, abandon=12000)],
    )
    worlds = [World(given, hosts=((1, 0, 0, 1),), seed=seed) for seed in range(relays)]
    limit, chance = Allowance(rate, rate / 2, 500 * MS), Random(5)
    for turn in range(1200):  # half a minute in steps of 25 ms
        for world in worlds:
            if turn % 40 == 0 and chance.random() < 0.1:
                for _ in range(4):  # some come in clumps
                    world.take()
            if chance.random() < (asked - 0.4) * rate / relays / 40:
                world.take()
            world.advance(25 * MS)
            for number in [
                n for n, (_, sent, _) in world.out.items() if sent + 25 * MS <= world.now
            ]:
                result, told = limit.call(world.now)
                world.answer(number, result, told=told)
    came = sum(world.serial for world in worlds)
    assert limit.served > 0.8 * min(came, 30 * rate) and limit.refused < 0.08 * limit.served


def test_a_call_that_is_not_full_waits_longer_at_a_told_limit_unless_much_of_it_is_left():
    spans = []
    for waiting, size, left in ((10, 10, 0.5), (1, 1, 0.5), (1, 10, 0.5), (1, 10, 0.95)):
        world = World(
            settings(
                relays=40,
                slots=8,
                tells_limit=True,
                kinds=[it.Kind(False, size)],
                categories=[category(abandon=12000)],
            ),
            hosts=((1, 0, 0, 1),),
        )
        # half of it is left: an even part, a call a second
        world.answer(world.take(), told=(40.0, left))
        before, since = len(world.sent), world.now
        for _ in range(waiting):
            world.take()
        while len(world.sent) == before:
            world.advance(10 * MS)
        spans.append(world.now - since)
        assert len(world.sent) == before + waiting
    assert spans[0] < 1100 * MS and spans[1] < 1100 * MS and spans[2] > 2 * spans[0]
    assert spans[3] < spans[1] / 2


def test_a_refusal_that_tells_no_limit_rests_the_one_host_where_others_told_it():
    world = World(settings(tells_limit=True), hosts=((1, 0, 0, 1), (2, 0, 0, 1)))
    world.answer(world.take(), told=(50.0, 0.9))
    number = world.take()
    world.advance(50 * MS)
    drains = world.out[number][0]
    world.answer(number, R.FULL)  # before the list tells
    world.advance(100 * MS)
    assert (
        world.out[number][0] != drains
        and world.relay.state.destinations[1].limiter.paused_until <= world.now
    )


@pytest.mark.parametrize("wait", [0, 2 * SECOND])
def test_a_host_that_is_new_on_the_list_ends_a_rest_but_no_told_wait(wait):
    world = World(settings(tells_limit=True), hosts=((1, 0, 0, 1), (2, 0, 0, 1)))
    world.step([world.news(it.Scope.WHOLE, [it.HostEntry(1, 0, 0, 1, it.Condition.UP, 1.0)])])
    number = world.take()
    for n in range(4):
        while number not in world.out:
            world.advance(10 * MS)
        world.answer(number, R.FULL, wait if n == 3 else 0, told=(50.0, 0.0))
    told_until = world.now + wait
    assert world.relay.state.destinations[1].limiter.paused_until > told_until + 100 * MS
    world.step([world.news(it.Scope.UPDATE, [it.HostEntry(2, 0, 0, 1, it.Condition.UP, 1.0)])])
    assert world.relay.state.destinations[1].limiter.paused_until == told_until


@pytest.mark.parametrize(
    "tells,told,paced", [(True, 0.0, False), (True, 30.0, True), (False, 0.0, True)]
)
def test_a_refusal_teaches_no_pace_where_allowances_are_told_and_none_was(tells, told, paced):
    world = World(settings(tells_limit=tells), hosts=((1, 0, 0, 1),))
    feed(world, 100, 1000)
    first_endpoint(world.relay).limiter.told_rate = told
    world.take()
    world.answer(next(iter(world.out)), R.FULL)  # as of a host that drains
    assert bool(first_endpoint(world.relay).limiter.learnt_rate) == paced


def test_short_of_slots_the_quick_destination_goes_first():
    hosts = [(d, 0, 0, d) for d in (1, 2, 3, 4)]
    world = World(settings(slots=4, categories=[category(abandon=30000)]), hosts=hosts)
    feed(world, 900, 4500, took=800, destination=1)
    feed(world, 100, 1000, took=50, destination=2)
    feed(world, 100, 1000, took=50, destination=3)
    busy = [world.take(destination=d) for d in (3, 3, 3, 4)]
    slow, quick = world.take(destination=1), world.take(destination=2)
    assert set(world.out) == set(busy)
    world.answer(busy[0])
    assert quick in world.out and slow not in world.out


def test_a_full_relay_gives_way_for_callbacks_of_healthy_destinations():
    world = World(settings(max_held=40, slots=20), hosts=((1, 0, 0, 1), (2, 0, 0, 2)))
    for _ in range(60):
        world.take(destination=1)  # nothing answers there
    number = world.take(destination=2)
    assert len(world.open) <= 40 and number in world.out


def test_time_outs_cut_by_the_abandon_time_are_not_held_against_the_host():
    world = World(settings(), hosts=((1, 0, 0, 1),))
    feed(world, 100, 2000)
    for _ in range(12):
        world.take(abandon=40 * MS)
        world.advance(60 * MS)
    assert not world.notes


def test_a_list_call_that_fails_is_made_again_later():
    world = World(settings(list_on_request=True))
    assert world.asked == 1
    world.step([it.ListNews(it.Scope.FAILED, [])])
    assert world.asked == 1
    world.advance(3 * SECOND)
    assert world.asked == 2


def test_hosts_that_come_and_go_leave_nothing_behind_and_one_that_is_back_soon_is_known():
    world = World(
        settings(categories=[category("exclusive", goal=90_000, abandon=100_000)]),
        hosts=((0, 0, 0, 1),),
    )
    relay = world.relay

    def tell(*rows):
        world.table.update({host: (host, 0, 0, destination) for host, destination, _ in rows})
        world.step(
            [
                world.news(
                    it.Scope.UPDATE,
                    [
                        it.HostEntry(*world.table[host], condition, 1.0)
                        for host, _, condition in rows
                    ],
                )
            ]
        )

    for number in range(1, 40):
        tell((number - 1, max(1, number - 1), it.Condition.GONE), (number, number, it.Condition.UP))
        world.take(destination=number)
        world.answer(next(iter(world.out)))
        world.advance(4 * SECOND)
    assert (
        len(relay.state.endpoints) <= 12 and len(relay.state.destinations) <= 12
    ), "half a minute's worth"
    world.take(destination=39)
    tell((39, 39, it.Condition.GONE))
    world.advance(31 * SECOND)
    assert 39 in relay.state.endpoints, "a call is out there"
    world.answer(next(iter(world.out)))
    world.advance(31 * SECOND)
    assert (
        not relay.state.endpoints
        and not relay.state.destinations
        and not relay.state.held
        and not relay.lifecycle.keys
    )
    tell((50, 7, it.Condition.UP))
    relay.state.endpoints[50].state = "closed"
    tell((50, 7, it.Condition.GONE))
    world.advance(10 * SECOND)
    tell((50, 7, it.Condition.UP))
    assert relay.state.endpoints[50].state == "closed" and len(relay.state.endpoints) == 1


def test_a_destination_that_no_list_ever_named_is_denied_at_once_and_leaves_no_row():
    world = World(settings())
    number = world.take(destination=77)
    assert (
        number in world.final
        and not world.sent
        and 77 not in world.relay.state.destinations
        and not world.relay.state.held
    )


def test_callbacks_fill_a_call_of_a_kind_that_takes_several():
    world = World(settings(kinds=[it.Kind(False, 5)], slots=4), hosts=((1, 0, 0, 1),))
    for _ in range(12):
        world.take()
    world.answer(min(world.out))
    assert (
        len(world.out) == 10
        and world.relay.state.calls_out == 2
        and world.relay.state.destinations[1].waiting == 1
    )


def test_idle_connections_are_given_back_once_one_was_turned_away_for_some_calls_only():
    world = World(settings(), hosts=((1, 0, 0, 1), (2, 0, 0, 2)))
    world.answer(world.take())
    assert not world.closed
    world.answer(world.take(destination=2), R.NO_CONNECT)
    # one host that goes is no shortage: a busy relay keeps its connections
    for _ in range(40):
        world.answer(world.take())
    assert world.closed[-1] == 1 and len(world.closed) < 35


@pytest.mark.parametrize("kept", [True, False])
def test_a_reset_of_a_kept_connection_is_not_held_against_the_host(kept):
    world = World(
        settings(connection_idle=10 * SECOND, categories=[category(abandon=60000)]),
        hosts=((1, 0, 0, 1),),
    )
    feed(world, 100, 2000)
    limiter = first_endpoint(world.relay).limiter
    before = limiter.window
    first_endpoint(world.relay).idle_since = world.now - 50 * MS if kept else -60 * SECOND
    world.answer(world.take(), R.RESET)
    assert (
        (limiter.window == before)
        == (limiter.bad_rounds == 0)
        == (first_endpoint(world.relay).failure_share == 0.0)
        == kept
    )


@pytest.mark.parametrize(
    "result,wait", [(R.FULL, 0), (R.FULL, 700), (R.TIMEOUT, 0), (R.NO_CONNECT, 0)]
)
def test_many_relays_with_one_callback_each_do_not_return_together(result, wait):
    again = []  # thirty relays, the same trouble at the same moment
    for seed in range(30):
        world = World(
            settings(relays=30, categories=[category(abandon=20000)]), ((1, 0, 0, 1),), seed
        )
        number, start = world.take(), world.now
        while number in world.open and world.now < start + 18 * SECOND:
            if number in world.out:
                world.answer(number, result, wait * MS)
            world.advance(50 * MS)
        again += [when - start for when, _ in world.sent]
    for at in (4, 6, 8, 10, 12):  # seconds; all thirty came every two seconds
        assert sum(at * SECOND <= when < (at + 2) * SECOND for when in again) <= 20


def test_idle_connections_that_lose_calls_are_closed_before_the_next_use():
    hosts = [(d, 0, 0, d) for d in range(1, 13)]
    world = World(settings(connection_idle=10 * SECOND, slots=20), hosts)
    lost = 0
    for _ in range(3):
        for destination in range(1, 13):
            number = world.take(destination=destination)
            kept = destination not in world.closed[-1:]
            used_before = [host for when, host in world.sent[:-1] if host == destination]
            # every connection idle for over two seconds is gone
            dropped = bool(used_before) and kept
            lost += dropped
            world.answer(number, R.RESET if dropped else R.DELIVERED)
            for other in sorted(world.out):
                world.answer(other)
            world.advance(200 * MS)
    assert 3 <= lost <= 6 and not any("closed" in note for note in world.notes)


def test_what_can_lose_no_more_by_waiting_goes_after_what_can():
    rows = [category(goal=1000, abandon=20000)]
    world = World(settings(categories=rows, halving=True, slots=1), hosts=((1, 0, 0, 1),))
    world.step(
        [world.news(it.Scope.UPDATE, [it.HostEntry(1, 0, 0, 1, it.Condition.DRAINING, 1.0)])]
    )
    for _ in range(2):
        world.take()
    world.advance(2100 * MS)  # the goal time, and the time to half the payoff
    fresh = world.take()
    world.step([world.news(it.Scope.UPDATE, [it.HostEntry(1, 0, 0, 1, it.Condition.UP, 1.0)])])
    assert set(world.out) == {fresh}


def test_failed_connects_at_one_host_after_the_other_rest_the_whole_destination():
    hosts = [(h, 0, 0, 1) for h in (1, 2, 3)]
    world = World(settings(relays=30, categories=[category(abandon=20000)]), hosts)
    number = world.take()
    world.answer(number, R.NO_CONNECT)
    world.answer(number, R.NO_CONNECT)
    world.take()
    world.advance(2 * SECOND)
    assert len(world.sent) == 2 and len({h for _, h in world.sent}) <= 2 and len(world.open) == 2


def test_a_kind_that_takes_few_connections_costs_the_others_none():
    world = World(
        settings(kinds=[it.Kind(False, 1), it.Kind(False, 1)]), hosts=((1, 0, 0, 1), (2, 0, 1, 2))
    )
    number = world.take(destination=2)
    world.answer(number, R.NO_CONNECT)
    world.answer(world.take(destination=1))
    assert world.closed == [2]
    while number not in world.out:
        world.advance(10 * MS)
    world.answer(number)
    assert world.closed == [2, 2]


def test_exclusive_ones_at_a_host_that_hangs_give_their_slots_back_but_not_before_their_goal_time():
    """Danger: held to the end, those out at hosts that hang take all slots from the others."""
    world = World(
        settings(categories=[category("exclusive", goal=2000, abandon=20_000)]),
        hosts=((1, 0, 0, 1),),
    )
    feed(world, 20, 20)
    number = world.take()
    world.advance(1900 * MS)
    assert number in world.out
    world.advance(200 * MS)
    assert number in world.final and not world.relay.state.calls_out


def test_where_refusals_use_a_told_limit_up_tries_grow_seldom_till_one_is_taken():
    """Danger: where an even part is a call in a quarter of a minute, tries each few seconds leave nothing for anyone."""
    world = World(
        settings(
            tells_limit=True,
            relays=200,
            ramp_time=SECOND,
            max_launches=12,
            categories=[category(abandon=400_000)],
        ),
        hosts=((1, 0, 0, 1),),
    )
    number, at = world.take(), []
    for _ in range(6000):
        if number in world.out:
            at.append(world.now)
            world.answer(number, R.FULL, told=(14.0, 0.0))
        world.advance(50 * MS)
    gaps = [b - a for a, b in zip(at, at[1:])]
    assert len(gaps) > 4 and gaps[0] < 4 * SECOND and gaps[4] > 3 * gaps[0]


def test_what_looks_too_late_in_one_moment_and_not_in_the_next_still_ends_with_its_time():
    """Danger: looked at once as it came, and never again while it waits for its turn, it was ended by the core's guard alone."""
    world = World(settings(slots=100, categories=[category(ordered=True)]), hosts=((1, 0, 0, 1),))
    world.take(key="a")
    other = world.take(key="c")
    limiter = first_endpoint(world.relay).limiter
    limiter.latency = limiter.best = 200 * MS
    world.advance(5 * MS)
    late, due = 99, world.now + 185 * MS
    world.open[late] = dict(row=world.set.categories[0], key="a", due=due, launches=[])
    # in one batch: too late by the latency known so far, then an answer that comes sooner
    world.step([it.NewCallback(late, 0, 0, "a", due, 1), world.outcome(other, R.DELIVERED)])
    assert late in world.open
    world.advance(190 * MS)
    assert late in world.final


def test_what_an_earlier_text_had_measured_is_taken_over_whole():
    rows = json.loads(LEARNT_BY_EARLIER_TEXT.read_text(encoding="utf-8"))
    module = Dispatcher(settings(kinds=[it.Kind(True, 1)]), 1)
    entry = it.HostEntry("h1", 0, 0, 3, it.Condition.UP, 0.0)
    module.step(3 * SECOND, [it.ListNews(it.Scope.WHOLE, [entry]), it.Learnt(rows)])
    assert module.learnt() == rows
    assert first_endpoint(module).state is SLOW_START
