"""The soak's oracle reports what a relay's process may not do, and nothing else."""

import pytest

from molehill.soak.calls import MalformedCall, ReceivedMessage, parse_call
from molehill.soak.drain_rule import DRAIN_GRACE_S, past_grace
from molehill.soak.history import (
    DISCOVERY_MOVED,
    OUTAGE_END,
    OUTAGE_START,
    Answered,
    Call,
    Changed,
    HandedIn,
    History,
    ListAnswered,
    ListDropped,
    ListRequested,
    ListStalled,
    Malformed,
    Message,
    OverLimit,
    Process,
    Told,
    Unanswered,
)
from molehill.soak.oracle import judge
from molehill.soak.process_rules import NOT_READY, crash_text

SENT = Message(1, "m-a", b"body")
HANDED_IN = HandedIn(1.0, "a", "idempotent", 2.0, "", SENT)


def call_with(message: Message, request_id: str = "a") -> Call:
    return Call(1.1, request_id, "h1-0", 1.1, None, message=message)


@pytest.mark.parametrize(
    "events, rules",
    [
        ([HANDED_IN, call_with(SENT)], []),
        ([HANDED_IN, call_with(Message(1, "m-a", b"bod"))], ["sent what no client handed in"]),
        ([HANDED_IN, call_with(Message(1, "m-b", b"body"))], ["sent what no client handed in"]),
        ([call_with(SENT, "b")], ["sent what no client handed in"]),
        ([Malformed(1.0, "h1-0", "no Req-Id")], ["sent what no client handed in"]),
        (
            [HANDED_IN, call_with(Message(2, "m-a", b"body"))],
            ["sent to a host of another destination"],
        ),
        ([Process(1.0, crash_text(1))], ["crashed"]),
        ([Process(1.0, NOT_READY)], ["did not start"]),
        ([OverLimit(1.0, "memory", 97, 96), OverLimit(2.0, "memory", 98, 96)], ["over a limit"]),
        ([Process(0.0, "ready"), HandedIn(3.5, "a", "idempotent", 1.0)], ["answered nobody"]),
        ([HandedIn(3.5, "a", "idempotent", 1.0)], []),  # no process is ready
        (
            [
                Process(0.0, "ready"),
                HandedIn(2.0, "a", "idempotent", 1.0),
                Answered(2.5, "a", 503),
                HandedIn(4.0, "b", "idempotent", 1.0),
            ],
            [],
        ),
    ],
)
def test_the_soak_reports_crashes_hangs_and_messages_that_nobody_sent(events, rules):
    history = History(events=[*events, Process(9.0, "SIGKILL")])
    assert [found.rule for found in judge(history)] == rules


@pytest.mark.parametrize("is_crowded, at, found", [(True, 4.1, 0), (True, 2.0, 1), (False, 4.1, 1)])
def test_only_a_crowd_excuses_connections_closed_with_the_listener(is_crowded, at, found):
    history = History(events=[Process(1.0, "SIGTERM"), Unanswered(at, "a", True)])
    history.is_crowded = is_crowded
    assert len(judge(history)) == found


BUNDLE = b"a m-a 4\r\nbody\r\nb - 2\r\n\r\n\r\n"


def test_a_bundle_is_read_as_its_messages():
    expected = [ReceivedMessage("a", "m-a", b"body"), ReceivedMessage("b", "", b"\r\n")]
    assert parse_call("POST /events/bundle HTTP/1.1", {}, BUNDLE) == expected


@pytest.mark.parametrize(
    "target, headers, body",
    [
        ("/events", {}, b"body"),
        ("/other", {"req-id": "a"}, b"body"),
        ("/events/bundle", {}, b""),
        ("/events/bundle", {}, BUNDLE[:-1]),
        ("/events/bundle", {}, BUNDLE + BUNDLE),
        ("/events/bundle", {}, b"a m-a\r\nbody\r\n"),
    ],
)
def test_a_call_that_no_host_can_read_is_malformed(target, headers, body):
    with pytest.raises(MalformedCall):
        parse_call(f"POST {target} HTTP/1.1", headers, body)


DRAINS = Changed(2.0, "h", "leaving")
WATCH, DROPPED = ListRequested(1.0, 1, 10.0), ListDropped(9.0, 1)


@pytest.mark.parametrize(
    "events, told_at",
    [
        ([DRAINS], 8.0),  # 6 s after discovery had it
        ([DRAINS, Told(2.5, "h", "leaving")], 2.5),
        ([WATCH, DRAINS], 13.0),  # 2 s after the end of the hold
        ([WATCH, DRAINS, DROPPED], 9.0),
        ([WATCH, DRAINS, ListRequested(8.5, 2, 10.0), DROPPED], 13.0),
        ([WATCH, ListAnswered(1.5, 1), DRAINS], 8.0),
        ([WATCH, DRAINS, ListStalled(2.1, "h", "leaving")], 8.1),
        ([WATCH, DRAINS, Process(7.0, DISCOVERY_MOVED)], 11.0),
        ([DRAINS, Process(3.0, OUTAGE_START), Process(9.0, OUTAGE_END)], 8.0),
        ([Process(1.0, OUTAGE_START), DRAINS, Process(9.0, OUTAGE_END)], 15.0),
        ([WATCH, DRAINS, Process(7.0, OUTAGE_START), DROPPED, Process(9.5, OUTAGE_END)], 9.0),
        ([DRAINS, Process(8.5, OUTAGE_START), Process(9.0, OUTAGE_END)], 8.0),
        ([DRAINS, Changed(4.0, "h", "active")], None),
    ],
)
def test_a_drain_counts_as_told_in_time(events, told_at):
    for late in (-0.01, 0.01):
        first_byte = DRAIN_GRACE_S + late + (told_at or 50.0)
        call = Call(first_byte + 5.0, "a", "h", first_byte, None)
        found = past_grace(History(events=[*events, call]))
        assert bool(found) is (told_at is not None and late > 0)
