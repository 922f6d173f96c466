"""A connection that is used again may carry bytes of an earlier answer: they must end no call."""

from contextlib import suppress

import pytest

from molehill.core import events as ev
from molehill.http.answer_variety import AnswerVariety
from molehill.interface import Result
from tests.core_harness import MS, SECOND, drain
from tests.test_net import DiscoveryHarness, HostsHarness, NoticesHarness, entry, response

FIRST_ANSWER = response(200, b"Srv-Load: x0=0.4,x1=25", body=b"c0ad9693e0852046")
OTHER_HEAD = response(200, b"Srv-Load: x0=0.1,x1=25", body=b"c0ad9693e0852046")


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
@pytest.mark.parametrize("copies", [[FIRST_ANSWER], [FIRST_ANSWER] * 3, [OTHER_HEAD]])
def test_a_late_copy_of_a_200_does_not_end_the_next_call(monkeypatch, answer, result, copies):
    harness = HostsHarness(monkeypatch)
    call_twice(harness)
    for copy in copies:
        harness.reply(copy)
    assert results(harness) == [Result.DELIVERED], "the call is still out"
    harness.net.advance(80 * MS)
    harness.reply(answer, close=not answer)
    assert results(harness) == [Result.DELIVERED, result] and len(harness.peers) == 1


def test_endless_late_copies_end_their_call(monkeypatch):
    harness = HostsHarness(monkeypatch)
    call_twice(harness)
    harness.reply(FIRST_ANSWER * 100)
    assert results(harness) == [Result.DELIVERED, Result.RESET]


@pytest.mark.parametrize("status", [429, 500, 503, 504, 410, 400, 200])
def test_a_late_copy_of_an_answer_without_a_body_does_not_end_the_next_call(monkeypatch, status):
    """Such answers are alike, so that a copy can't be told from the next call's own answer."""
    harness = HostsHarness(monkeypatch)
    call_twice(harness, response(status))
    with suppress(OSError):  # the relay has closed the connection
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


def test_a_host_that_answers_all_calls_alike_gets_a_connection_for_each(monkeypatch):
    """Taken for copies, its answers would leave delivered callbacks without their outcome."""
    harness = HostsHarness(monkeypatch)
    harness.hosts.answer_variety.any_is_varied = False
    for number in range(4):
        harness.call("a")
        harness.reply(response(200, body=b"accepted"))
        assert (
            results(harness)
            == [Result.DELIVERED] * len(harness.peers)
            == [Result.DELIVERED] * (number + 1)
        )
    for number in range(3):  # those of another host differ: from its third call on they show it
        harness.call("b", host="h2")
        harness.reply(response(200, body=b"%d" % number))
    assert len(harness.peers) == 6
    harness.call("c")
    assert len(harness.peers) == 7


def test_a_host_whose_answer_repeats_its_last_one_is_taken_to_answer_alike(monkeypatch):
    """The outcome of the call stays open, as the answer may be a copy; once is enough."""
    harness = HostsHarness(monkeypatch)
    same = response(200, body=b"accepted")
    call_twice(harness, same, span=SECOND)
    harness.reply(same)
    harness.net.advance(1100 * MS, step=50 * MS)
    assert results(harness) == [Result.DELIVERED, Result.TIMEOUT]
    for number in range(3):
        harness.call("c")
        harness.reply(same)
        assert len(harness.peers) == 2 + number
    for body in (b"1", b"2"):  # two that differ, on connections of their own
        harness.call("d")
        harness.reply(response(200, body=body))
    harness.call("e")
    assert len(harness.peers) == 5, "the last one is used again"
    restored = AnswerVariety()
    restored.any_is_varied = True
    restored.mark_alike("h1")  # before any first answer, as over an upgrade
    restored.add_first_answer("h1", b"1")
    assert not restored.is_varied("h1")


@pytest.mark.parametrize("length", [17, 40, len(FIRST_ANSWER) - 1])
def test_a_late_part_of_a_200_does_not_deliver_the_next_call(monkeypatch, length):
    """On its first use a connection that breaks behind a first line with 200 proves delivery."""
    harness = HostsHarness(monkeypatch)
    call_twice(harness)
    harness.reply(FIRST_ANSWER[:length], close=True)
    assert results(harness) == [Result.DELIVERED, Result.RESET]


@pytest.mark.parametrize("own", [response(503, b"Srv-Load: x0=0.1,x1=25"), response(500)])
def test_a_late_part_of_a_200_and_the_call_s_own_answer_deliver_nothing(monkeypatch, own):
    """The two together may read as one whole answer."""
    for length in range(12, len(FIRST_ANSWER)):
        harness = HostsHarness(monkeypatch)
        call_twice(harness)
        harness.reply(FIRST_ANSWER[:length])
        harness.peers[0].send(own)
        harness.net.advance(300 * MS)
        assert results(harness) == [Result.DELIVERED, Result.RESET], FIRST_ANSWER[:length]


def test_an_answer_in_pieces_on_a_used_connection_delivers(monkeypatch):
    harness = HostsHarness(monkeypatch)
    call_twice(harness)
    for byte in response(200, b"Srv-Load: x0=0.1,x1=25", body=b"another"):
        harness.peers[0].send(bytes([byte]))
        harness.net.advance(2 * MS)
    assert results(harness) == [Result.DELIVERED] * 2


def test_a_late_copy_does_not_confirm_that_a_timed_out_call_was_read(monkeypatch):
    """A notice that rests on it could reach the platform before the host reads the call."""
    harness = HostsHarness(monkeypatch)
    call_twice(harness, span=100 * MS)
    harness.net.advance(150 * MS, step=10 * MS)
    assert results(harness) == [Result.DELIVERED, Result.TIMEOUT]
    harness.reply(FIRST_ANSWER)
    assert type(harness.net.events[-1]) is ev.CallEnded, "whether it was read is not known yet"
    harness.reply(response(200, body=b"own"), close=True)
    assert harness.net.events[-1] == ev.HostFinishedReading(2, True)


def test_a_timed_out_call_s_endless_late_copies_are_read_no_longer_than_its_wait(monkeypatch):
    harness = HostsHarness(monkeypatch)
    call_twice(harness, span=100 * MS)
    harness.net.advance(150 * MS, step=10 * MS)
    for _ in range(200):
        with suppress(OSError):
            harness.peers[0].send(FIRST_ANSWER * 100)
        harness.net.advance(10 * MS)
    assert harness.net.events[-1] == ev.HostFinishedReading(2, False)
    assert harness.net.budget.total() == 0


def test_a_late_copy_of_an_answer_does_not_complete_the_next_notice(monkeypatch):
    harness = NoticesHarness(monkeypatch)
    harness.send_notices("a")
    harness.reply(204)
    harness.send_notices("b")
    with suppress(OSError):  # the relay has closed the connection
        harness.peers[0].send(response(204))
    harness.net.settle()
    assert [event.ids for event in harness.net.events] == [["a"]]
    harness.peers[-1].close()  # unread
    harness.net.settle()
    assert b'"ref":"b"' in drain(harness.peers[-1])
    harness.reply(204)
    assert [event.ids for event in harness.net.events] == [["a"], ["b"]]


@pytest.mark.parametrize("whole", [True, False])
def test_a_late_copy_of_an_older_list_brings_no_draining_host_back(monkeypatch, whole):
    harness = DiscoveryHarness(monkeypatch)
    harness.start_watch()
    harness.reply_list(41, entry(), whole=True)
    harness.net.advance(200 * MS)
    harness.reply_list(42, entry(status="leaving"))
    harness.net.advance(200 * MS)
    told = len(harness.net.events)
    harness.reply_list(41, entry(), whole=whole)
    harness.net.advance(200 * MS)
    assert len(harness.net.events) == told and len(harness.peers) == 2
    assert drain(harness.peers[1]).startswith(b"GET /registry/instances HTTP/1.1")
    harness.reply_list(42, entry(status="leaving"), whole=True)
    assert len(harness.net.events) == told + 1 and harness.discovery.version == 42
