"""A connection that is used again may carry bytes of an earlier answer: they must end no call."""

import pytest

from molehill.core import events as ev
from molehill.interface import Result
from tests.core_harness import MS
from tests.test_net import HostsHarness, response

FIRST_ANSWER = response(200, b"Srv-Load: x0=0.4,x1=25", body=b"c0ad9693e0852046")


def results(harness):
    """Returns the results of all calls so far, one for each callback."""
    ended = [event for event in harness.net.events if type(event) is ev.CallEnded]
    return [end.result for event in ended for end in event.outcomes]


def call_twice(harness, first_answer=FIRST_ANSWER, **second):
    """Starts a second call, on the connection of the first one if that is used again."""
    harness.call("a")
    harness.reply(first_answer)
    harness.net.advance(10 * MS)
    harness.call("b", **second)
    harness.net.advance(2 * MS)


@pytest.mark.parametrize(
    "answer,result",
    [
        (response(503), Result.REFUSED),
        (response(500), Result.ERROR),
        (response(200, body=b"another"), Result.DELIVERED),
        (b"", Result.RESET),
    ],
)
@pytest.mark.parametrize("copies", [1, 3])
def test_a_late_copy_of_a_200_does_not_end_the_next_call(monkeypatch, answer, result, copies):
    harness = HostsHarness(monkeypatch)
    call_twice(harness)
    for _ in range(copies):
        harness.reply(FIRST_ANSWER)
    assert results(harness) == [Result.DELIVERED], "the call is still out"
    harness.net.advance(80 * MS)
    harness.reply(answer, close=not answer)
    assert results(harness) == [Result.DELIVERED, result] and len(harness.peers) == 1


@pytest.mark.parametrize("status", [429, 500, 503, 504, 410, 400, 200])
def test_a_late_copy_of_an_answer_without_a_body_does_not_end_the_next_call(monkeypatch, status):
    """Such answers are alike, so that a copy can't be told from the next call's own answer."""
    harness = HostsHarness(monkeypatch)
    call_twice(harness, response(status))
    harness.peers[0].send(response(status))
    harness.net.settle()
    assert len(results(harness)) == 1, "the call is still out"
    harness.reply(response(200, body=b"own"))
    assert results(harness)[1:] == [Result.DELIVERED]


def test_a_late_copy_of_a_bundle_s_answer_is_skipped(monkeypatch):
    harness = HostsHarness(monkeypatch)
    harness.call("a", "b", bundle=True)
    first = response(200, body=b"a delivered\r\nb delivered\r\n")
    harness.reply(first)
    harness.net.advance(10 * MS)
    harness.call("c", "d", bundle=True)
    harness.net.advance(2 * MS)
    harness.reply(first)
    harness.reply(response(200, body=b"c delivered\r\nd refused\r\n"))
    assert results(harness) == [Result.DELIVERED] * 3 + [Result.REFUSED]
