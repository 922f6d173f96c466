"""What may be sent, begun and closed: the one place that answers it, case by case."""

from types import SimpleNamespace

import pytest

from molehill import interface
from molehill.core import events as ev
from molehill.core import permission
from molehill.core.callback import PendingCall
from molehill.core.permission import Refusal
from tests.ledger import SECOND, category
from tests.place import ASK

NOW = 100 * SECOND
WAYS = {
    interface.DeliverySemantics.IDEMPOTENT: None,
    interface.DeliverySemantics.DEDUPLICATED: Refusal.WINDOW_OVER,
    interface.DeliverySemantics.AT_MOST_ONCE: Refusal.MAY_HAVE_RUN,
}


@pytest.mark.parametrize("effect", interface.DeliverySemantics)
@pytest.mark.parametrize("ran_ago", [None, 2, 3])
def test_what_may_have_run_goes_again_by_its_effect_and_window(effect, ran_ago):
    callback = SimpleNamespace(ran_at=None if ran_ago is None else NOW - ran_ago * SECOND)
    refusal = permission.of_repeat(callback, category(effect.value, window=3000), NOW)
    within = effect is interface.DeliverySemantics.DEDUPLICATED and ran_ago == 2
    assert refusal is (None if ran_ago is None or within else WAYS[effect])


@pytest.mark.parametrize(
    "wrong, refusal",
    [
        ({}, None),
        ({"call": 1}, Refusal.CALL_IS_OUT),
        ({"heard": False}, Refusal.CLIENT_NOT_TOLD),
        ({"due": NOW}, Refusal.TIME_UP),
        ({"first": False}, Refusal.KEY_BUSY),
        ({"stop_at": NOW}, Refusal.RELAY_ENDS),
        ({"stop_at": NOW + 1}, None),
    ],
)
def test_a_call_is_begun_only_where_nothing_stands_against_it(wrong, refusal):
    callback = SimpleNamespace(call=wrong.get("call"), due=wrong.get("due", NOW + 1))
    assert (
        permission.of_begin(
            callback, wrong.get("heard", True), wrong.get("first", True), wrong.get("stop_at"), NOW
        )
        is refusal
    )


def test_a_module_that_launches_what_is_out_or_out_of_turn_is_stopped_and_counted(place):
    """The rules hold whatever the module decides: what it had to exclude is a broken invariant, and is not sent."""
    client = place.client()
    for ident in (b"id1", b"id2"):
        client.send(ASK % ident)
        place.hear(client, b"HTTP/1.1 202")
    place.hear(place.accept(place.host), b"\r\n\r\nab")
    core = place.relay.core
    for ident, why in (("id1", "another call"), ("id2", "an earlier one")):
        out = PendingCall(99, "h1", [(ident, SECOND)], place.clock.now)
        core.parked[99] = out
        with pytest.raises(AssertionError, match=f"may_be_sent.*{why}"):
            core._go(out)
        assert 99 not in core.calls
        del core.parked[99]


@pytest.mark.parametrize(
    "wrong, refusal",
    [
        ({}, None),
        ({"gone": True}, Refusal.ENDED),
        ({"held": False}, Refusal.ENDED),
        ({"call": 2}, Refusal.CALL_IS_OUT),
        ({"until": NOW}, Refusal.TIME_UP),
        ({"stop_at": NOW}, Refusal.RELAY_ENDS),
    ],
)
def test_a_call_is_written_only_while_all_in_it_are_held_its_own_and_in_time(wrong, refusal):
    callback = None if "gone" in wrong else SimpleNamespace(call=wrong.get("call", 1))
    held, until = wrong.get("held", True), wrong.get("until", NOW + 1)
    assert permission.of_call(callback, 1, held, until, wrong.get("stop_at"), NOW) is refusal


@pytest.mark.parametrize("ended", [False, True])
def test_a_410_for_what_this_relay_ended_is_told_from_one_for_what_was_withdrawn(place, ended):
    client = place.client()
    client.send(ASK % b"id1")
    place.hear(client, b"HTTP/1.1 202")
    place.hear(place.accept(place.host), b"\r\n\r\nab")
    core = place.relay.core
    callback, now = core.held["id1"], place.clock.now
    if ended:
        core._end_callback(callback, False, 0)
    over = ev.End("id1", interface.Result.NOT_SENT, closed=True, why=Refusal.HOST_SAYS_OVER)
    event = ev.Ended(callback.call, SECOND, [over])
    if ended:
        with pytest.raises(AssertionError, match="may_be_sent.*had ended it"):
            core.on[ev.Ended](event)
    else:
        told = [effect for effect in core.reduce(now, event) if type(effect) is ev.NotSent]
        assert [(row.why, row.state) for row in told] == [(Refusal.HOST_SAYS_OVER, "held")]
        assert told[0].left == callback.due - now and told[0].launches == 1
