"""Tests of core/permission.py: which calls may be started and written, case by case."""

from types import SimpleNamespace

import pytest

from molehill import interface
from molehill.core import events as ev
from molehill.core import permission
from molehill.core.callback import PendingCall
from molehill.core.permission import Refusal
from tests.core_harness import SECOND, callback_class
from tests.harness import REQUEST

NOW = 100 * SECOND
REFUSAL_BY_EFFECT = {
    interface.DeliverySemantics.IDEMPOTENT: None,
    interface.DeliverySemantics.DEDUPLICATED: Refusal.WINDOW_OVER,
    interface.DeliverySemantics.AT_MOST_ONCE: Refusal.MAY_HAVE_RUN,
}


@pytest.mark.parametrize("effect", interface.DeliverySemantics)
@pytest.mark.parametrize("ran_ago", [None, 2, 3])
def test_repeat_depends_on_effect_and_window(effect, ran_ago):
    callback = SimpleNamespace(ran_at=None if ran_ago is None else NOW - ran_ago * SECOND)
    refusal = permission.check_repeat(callback, callback_class(effect.value, window=3000), NOW)
    within = effect is interface.DeliverySemantics.DEDUPLICATED and ran_ago == 2
    assert refusal is (None if ran_ago is None or within else REFUSAL_BY_EFFECT[effect])


@pytest.mark.parametrize(
    "wrong, refusal",
    [
        ({}, None),
        ({"call": 1}, Refusal.CALL_IS_OUT),
        ({"acknowledged": False}, Refusal.CLIENT_NOT_TOLD),
        ({"deadline": NOW}, Refusal.TIME_UP),
        ({"first": False}, Refusal.KEY_BUSY),
        ({"stop_at": NOW}, Refusal.RELAY_ENDS),
        ({"stop_at": NOW + 1}, None),
    ],
)
def test_each_reason_refuses_call_start(wrong, refusal):
    callback = SimpleNamespace(call=wrong.get("call"), deadline=wrong.get("deadline", NOW + 1))
    assert (
        permission.check_start(
            callback,
            wrong.get("acknowledged", True),
            wrong.get("first", True),
            wrong.get("stop_at"),
            NOW,
        )
        is refusal
    )


def test_forbidden_module_choice_is_not_sent(harness):
    """The rules hold whatever the module decides.

    A choice that it had to exclude is a broken invariant, and is not sent.
    """
    client = harness.connect_client()
    for ident in (b"id1", b"id2"):
        client.send(REQUEST % ident)
        harness.read_until(client, b"HTTP/1.1 202")
    harness.read_until(harness.accept(harness.host), b"\r\n\r\nab")
    core = harness.relay.core
    for ident, why in (("id1", "another call"), ("id2", "an earlier one")):
        out = PendingCall(99, "h1", [(ident, SECOND)], harness.clock.now)
        core.queued_calls[99] = out
        with pytest.raises(AssertionError, match=f"may_be_sent.*{why}"):
            core._start_call(out)
        assert 99 not in core.calls
        del core.queued_calls[99]


@pytest.mark.parametrize(
    "wrong, refusal",
    [
        ({}, None),
        ({"gone": True}, Refusal.ENDED),
        ({"is_pending": False}, Refusal.ENDED),
        ({"call": 2}, Refusal.CALL_IS_OUT),
        ({"deadline": NOW}, Refusal.TIME_UP),
        ({"stop_at": NOW}, Refusal.RELAY_ENDS),
    ],
)
def test_each_reason_refuses_call_write(wrong, refusal):
    callback = None if "gone" in wrong else SimpleNamespace(call=wrong.get("call", 1))
    is_pending, deadline = wrong.get("is_pending", True), wrong.get("deadline", NOW + 1)
    assert (
        permission.check_call(callback, 1, is_pending, deadline, wrong.get("stop_at"), NOW)
        is refusal
    )


@pytest.mark.parametrize("ended", [False, True])
def test_410_distinguishes_ended_from_withdrawn(harness, ended):
    client = harness.connect_client()
    client.send(REQUEST % b"id1")
    harness.read_until(client, b"HTTP/1.1 202")
    harness.read_until(harness.accept(harness.host), b"\r\n\r\nab")
    core = harness.relay.core
    callback, now = core.callbacks["id1"], harness.clock.now
    if ended:
        core._end_callback(callback, False, 0)
    over = ev.AttemptOutcome(
        "id1", interface.Result.NOT_SENT, completed=True, reason=Refusal.HOST_SAYS_OVER
    )
    event = ev.CallEnded(callback.call, SECOND, [over])
    if ended:
        with pytest.raises(AssertionError, match="may_be_sent.*had ended it"):
            core.handlers[ev.CallEnded](event)
    else:
        not_sent = [effect for effect in core.reduce(now, event) if type(effect) is ev.NotSent]
        assert [(row.reason, row.state) for row in not_sent] == [(Refusal.HOST_SAYS_OVER, "held")]
        assert not_sent[0].time_left == callback.deadline - now and not_sent[0].attempts == 1
