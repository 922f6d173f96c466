"""The lease on the host list: when it runs out, and that no call is begun without it."""

import pytest

from molehill import interface
from molehill.config import MS, SECOND
from molehill.core import events as ev
from molehill.core.list_lease import WRITE_DELAY, ListLease, ListOutcome
from molehill.core.permission import Refusal
from tests.harness import REQUEST

S, HOLD, GRACE = SECOND, 10 * SECOND, SECOND
END_OF_GRACE = GRACE - WRITE_DELAY


def answered(at):
    return lambda lease: lease.answered(at)


def sent(at, hold=0):
    return lambda lease: lease.request_sent(at, hold)


def ended(at, outcome, began_at=None, held_for=0):
    return lambda lease: lease.request_ended(at, outcome, began_at, held_for)


def restored(current_at, missed_at=None):
    return lambda lease: lease.restore(current_at, missed_at)


def moved(at):
    return lambda lease: lease.discovery_moved(at)


SILENT, FAILED, STOPPED = ListOutcome.SILENT, ListOutcome.FAILED, ListOutcome.STOPPED
LATE = ListOutcome.CONNECTING_LATE
LOCAL, UNREACHABLE = ListOutcome.LOCAL_ERROR, ListOutcome.UNREACHABLE
CURRENT = [answered(10 * S)]
WATCH = [*CURRENT, sent(10 * S, HOLD)]
IGNORED = [*WATCH, ended(21 * S, SILENT), sent(21 * S), ended(24 * S, SILENT)]


@pytest.mark.parametrize(
    "steps, expires_at",
    [
        ([], None),  # nobody was asked yet
        ([sent(3 * S)], 3 * S),  # an earlier process may have known more
        ([lambda lease: lease.started(3 * S), sent(4 * S)], 9 * S),
        ([lambda lease: lease.taken_over(3 * S), sent(4 * S)], 5 * S),
        (CURRENT, 16 * S),
        (WATCH, 22 * S),  # the hold and 2 s
        ([*WATCH, ended(13 * S, ListOutcome.INTERRUPTED), sent(13 * S)], 16 * S),
        ([*WATCH, ended(19 * S, ListOutcome.INTERRUPTED), sent(19 * S)], 19 * S),
        ([*WATCH, ended(21 * S, SILENT), sent(21 * S), sent(24 * S)], 21 * S),
        ([*WATCH, ended(21 * S, SILENT), sent(21 * S), answered(23 * S)], 29 * S),
        ([*WATCH, ended(14 * S, STOPPED, 13 * S), sent(14 * S)], 19 * S),
        ([sent(3 * S), ended(5 * S, STOPPED, 4 * S), sent(5 * S)], 3 * S),
        ([*WATCH, ended(13 * S, ListOutcome.UNREADABLE), sent(13 * S)], 13 * S),
        ([*WATCH, ended(21 * S, SILENT), sent(21 * S), ended(22 * S, FAILED)], 16 * S),
        ([*WATCH, ended(21 * S, SILENT), sent(21 * S), ended(22 * S, UNREACHABLE)], 22 * S),
        ([*IGNORED, ended(25 * S, UNREACHABLE)], 21 * S),  # the news was there before
        ([*IGNORED, ended(25 * S, UNREACHABLE), sent(27 * S)], 21 * S),
        ([*IGNORED, answered(25 * S), ended(26 * S, UNREACHABLE)], None),
        ([*IGNORED, answered(25 * S), ended(26 * S, FAILED)], 31 * S),
        ([*CURRENT, sent(10 * S), ended(12 * S, FAILED), sent(14 * S)], 16 * S),
        (
            [*CURRENT, sent(10 * S), ended(12 * S, FAILED), sent(14 * S), ended(15 * S, FAILED)],
            16 * S,
        ),
        ([*WATCH, ended(12 * S, FAILED, held_for=2 * S)], 16 * S),  # it may have waited its turn
        ([*WATCH, ended(13 * S, FAILED, held_for=3 * S)], 19 * S),  # news would have come by it
        ([*WATCH, ended(19 * S, FAILED, held_for=9 * S)], 22 * S),  # or it was ignored
        ([*WATCH, ended(13 * S, ListOutcome.UNREADABLE), ended(14 * S, UNREACHABLE)], 13 * S),
        ([*WATCH, ended(14 * S, STOPPED, 13 * S), ended(15 * S, UNREACHABLE)], 19 * S),
        ([*WATCH, moved(11 * S), ended(12 * S, FAILED)], 15 * S),
        ([sent(3 * S), ended(6 * S, SILENT), sent(6 * S), ended(7 * S, UNREACHABLE)], None),
        ([sent(3 * S), ended(4 * S, FAILED), sent(5 * S)], 4 * S),
        ([restored(2 * S), sent(3 * S)], 3 * S),  # news may have lain unread in the kill
        ([restored(2 * S), sent(3 * S), ended(4 * S, FAILED)], 8 * S),
        ([restored(2 * S), sent(3 * S), ended(4 * S, FAILED), sent(6 * S)], 8 * S),
        ([restored(None, 0), ended(7 * S, UNREACHABLE), sent(8 * S)], 0),
        ([*WATCH, ended(40 * S, UNREACHABLE), sent(42 * S)], 46 * S),
        ([*WATCH, ended(40 * S, ListOutcome.NOT_CONNECTED), sent(42 * S)], 46 * S),
        ([*CURRENT, ended(14 * S, LATE), sent(15 * S), ended(15 * S, FAILED)], 16 * S),
        ([*CURRENT, ended(14 * S, LATE), ended(15 * S, ListOutcome.NOT_CONNECTED)], None),
        ([ended(3 * S, LOCAL), ended(5 * S, LOCAL), sent(6 * S)], 3 * S),
        ([*WATCH, ended(19 * S, LOCAL), sent(21 * S)], 19 * S),
        ([*WATCH, ended(19 * S, UNREACHABLE), ended(21 * S, LOCAL), sent(22 * S)], 25 * S),
        ([*WATCH, moved(11 * S)], 15 * S),
        ([*WATCH, moved(19 * S), sent(19 * S)], 19 * S),
        ([ended(9 * S, UNREACHABLE), moved(19 * S), sent(20 * S)], 20 * S),
    ],
)
def test_the_lease_runs_out_as_news_counts_as_known(steps, expires_at):
    lease = ListLease()
    for step in steps:
        step(lease)
    assert lease.expires_at == expires_at
    if expires_at is not None:
        assert not lease.has_expired(expires_at + END_OF_GRACE - 1, GRACE)
        assert lease.has_expired(expires_at + END_OF_GRACE, GRACE)


def test_no_call_is_begun_without_a_lease_and_calls_begin_with_the_answer(harness):
    """Guards against calls to hosts that drain while discovery is silent."""
    core = harness.relay.core
    harness.advance(6 * S)
    harness.clock.now += core.settings.drain_grace
    client = harness.connect_client()
    client.send(REQUEST % b"id1")
    harness.read_until(client, b"HTTP/1.1 202")
    harness.advance(1200 * MS)
    with pytest.raises(BlockingIOError):
        harness.host.accept()
    assert core.metrics.not_sent[Refusal.LIST_OUTDATED]
    harness.confirm_list()
    assert b"Req-Id: id1" in harness.read_until(harness.accept(harness.host), b"\r\n\r\nab")


def test_a_call_whose_connection_comes_up_without_a_lease_is_not_written(harness):
    client = harness.connect_client()
    harness.relay.engine.post_event(ev.ListRequestSent(0))
    client.send(REQUEST % b"id1")
    harness.read_until(client, b"HTTP/1.1 202")
    host = harness.accept(harness.host)
    core, call = harness.relay.core, next(iter(harness.relay.core.calls))
    core.list_updates.lease.pending_at = harness.clock.now - core.settings.drain_grace
    assert core.refusal(call, harness.clock.now) is Refusal.LIST_OUTDATED
    host.close()


def test_a_host_whose_entry_can_not_be_read_gets_no_call(harness):
    """Guards against a drain that is written to the relay, and dropped with the rest of its entry."""
    harness.confirm_list()
    core = harness.relay.core
    (name,) = core.hosts
    harness.relay.engine.post_event(
        ev.HostListReceived(interface.ListScope.UPDATE, version=9, unreadable=[name, "unknown"])
    )
    assert core.hosts[name].condition is interface.Condition.DRAINING
    assert list(core.hosts) == [name]
    client = harness.connect_client()
    client.send(REQUEST % b"id1")
    harness.advance(200 * MS)
    with pytest.raises(BlockingIOError):
        harness.host.accept()
