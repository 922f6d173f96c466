"""Two sides that meet at a chosen instant, on loopback sockets: each is brought there by construction, none by waiting."""

import json
import socket
import struct
from dataclasses import replace

import pytest

from molehill.core import events as ev
from molehill.http.clients import FOR_NEW_CONNECTION
from molehill.http.stream import HttpStream
from molehill.interface import Result
from molehill.runtime.kernel import Disk
from molehill.runtime.stream import Stream
from molehill.store import Store
from tests.core_harness import MS, SECOND, drain
from tests.place import ASK, kill

PLAIN = ASK.replace(b"notice", b"plain")  # at most once, where a notice is deduplicated
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def end_of(sock):
    """What a peer reads up to the end of its connection, and how that ends: in order, or by a reset that may eat what came before."""
    sock.setblocking(True)
    sock.settimeout(5)
    data = b""
    try:
        while piece := sock.recv(65536):
            data += piece
    except ConnectionResetError:
        return data, "reset"
    return data, "end"


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def once(monkeypatch, cls, name, act, when=lambda stream: True):
    """Has `act(stream)` happen right after the next call of that method for which `when` holds, before anything else does."""
    method, done = getattr(cls, name), []

    def crossed(self, *given):
        result = method(self, *given)
        if not done and when(self):
            done.append(1)
            act(self)
        return result

    monkeypatch.setattr(cls, name, crossed)
    return done


def comes(place, listener, wanted):
    """The connection on which that comes, and what came; those of processes that have ended are passed over."""
    for _ in range(20):
        sock = place.accept(listener)
        text = b""
        for _ in range(60):
            place.advance(5 * MS)
            more = drain(sock)
            if more is None:
                break
            text += more
            if wanted in text and (more := drain(sock)) is not None:
                return sock, text + more
    raise AssertionError(f"{wanted!r} did not come")


# Clients


@pytest.mark.parametrize("more", [ASK % b"id2", b"\r\n", b"half a li", b"x" * 100_000])
@pytest.mark.parametrize("read", [True, False])
def test_a_202_that_ends_its_connection_is_not_lost_to_what_lies_unread_behind_its_request(
    place, more, read
):
    """Danger: the close is a reset, which takes the 202 with it; or what came behind is read, answered by nobody, and sent on."""
    client = place.client()
    ask = (
        (ASK % b"id1")
        .replace(b"Host", b"Connection: close\r\nHost")
        .replace(b"Req-Id", b"Connection: close\r\nReq-Id")
    )
    client.send(ask + more if read else ask)
    place.relay.engine.freeze()  # it is read; its answer comes when the rest lies there
    place.turn()
    if not read:
        client.send(more)
    place.relay.engine.thaw()
    place.turn()
    place.advance(50 * MS)
    client.shutdown(socket.SHUT_WR)
    place.advance(50 * MS)
    text, how = end_of(client)
    assert text.startswith(b"HTTP/1.1 202") and text.count(b"HTTP/1.1") == 1 and how == "end"
    assert list(place.relay.core.callbacks) == ["id1"] and not place.relay.clients.connections


def test_a_request_that_comes_once_the_sending_has_ended_is_read_away_and_never_sent_on(place):
    client = place.client()
    client.send((ASK % b"id1").replace(b"Req-Id", b"Connection: close\r\nReq-Id"))
    place.hear(client, b"HTTP/1.1 202")
    assert (
        drain(client) is None and place.relay.clients.connections
    ), "its side of the connection has ended, and the other not yet"
    client.send(ASK % b"id2")
    place.advance(250 * MS)
    assert (
        list(place.relay.core.callbacks) == ["id1"]
        and not place.relay.clients.connections
        and place.relay.budget.used["client"] == 0
    )


@pytest.mark.parametrize("how", ["room", "end"])
def test_a_request_that_crosses_the_close_of_a_resting_connection_is_never_half_taken(
    place, monkeypatch, how
):
    """It was not read, so its client sends it once more; read and not answered, it would be lost."""
    client = place.client()
    client.send(b"GET /health/live HTTP/1.1\r\n\r\n")
    place.hear(client, b"200 OK")
    place.clock.now += 3 * SECOND
    crossed = once(
        monkeypatch,
        HttpStream,
        "quiet",
        lambda stream: client.send(ASK % b"id1"),
        lambda stream: stream.kind == "client",
    )
    if how == "room":
        assert place.relay.clients.close_longest_idle(FOR_NEW_CONNECTION)
    else:
        place.relay.clients.close_idle_connections()
    place.turn()
    text, ended = end_of(client)
    assert (
        crossed
        and not text
        and ended == "reset"
        and not place.relay.core.callbacks
        and not place.relay.clients.connections
    )
    again = place.client()
    again.send(ASK % b"id1")
    place.hear(again, b"HTTP/1.1 202")
    assert list(place.relay.core.callbacks) == ["id1"]


@pytest.mark.parametrize("lies", ["whole", "all but a byte"])
def test_a_request_in_the_socket_as_the_last_answers_are_cut_is_taken_whole_or_not_at_all(
    place, lies
):
    client = place.client()
    client.send(b"GET /health/live HTTP/1.1\r\n\r\n")
    place.hear(client, b"200 OK")
    place.relay.shutdown.begin()
    place.advance(3295 * MS)
    place.relay.clients.close_idle_connections = lambda: None  # it comes too late for that look
    place.advance(10 * MS)
    place.clock.now = place.relay.shutdown.told + 3499 * MS
    client.send((ASK % b"id1")[: None if lies == "whole" else -1])
    # both in one turn: the bytes, and the time of the cut
    place.clock.now += 2 * MS
    place.advance(100 * MS)
    text, how = end_of(client)
    assert place.relay.scheduler.stopped
    assert (list(place.relay.core.callbacks), text.startswith(b"HTTP/1.1 202")) in (
        (["id1"], True),
        ([], False),
    )
    assert lies == "whole" or not text


@pytest.mark.parametrize("leave", [reset, socket.socket.close])
def test_a_client_that_leaves_as_its_202_is_due_has_its_callback_back(place, leave):
    client = place.client()
    client.send(ASK % b"id1")
    place.relay.engine.freeze()
    place.turn()
    leave(client)
    place.open.remove(client)
    place.relay.engine.thaw()
    place.advance(50 * MS)
    assert not place.relay.core.callbacks and not place.relay.hosts.calls_in_flight
    kill(place)
    assert not place.relay.core.callbacks, "nor does the next process have it"


@pytest.mark.parametrize("span,left", [(b"900", "owed"), (b"9000", None)])
def test_a_202_that_is_written_in_part_when_its_client_takes_no_more_is_no_word_of_its_being_taken_on(
    place, span, left
):
    """Danger: half a 202 at the end of the callback's time, taken for heard, leaves it to nobody."""
    client = place.client()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
    place.turn()
    (conn,) = place.relay.clients.connections
    conn.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
    client.send((ASK % b"id1").replace(b"Req-Id", b"Req-Deadline-Ms: %s\r\nReq-Id" % span))
    place.relay.engine.freeze()
    place.turn()
    try:
        # what stands before it in both buffers is never read
        while True:
            conn.stream.sock.send(b"x" * 4096)
    except BlockingIOError:
        pass
    place.relay.engine.thaw()
    place.turn()
    assert place.relay.core.callbacks["id1"].state == "taken"
    place.advance(1100 * MS)
    assert not place.relay.hosts.calls_in_flight and not place.relay.clients.connections
    assert [c.state for c in place.relay.core.callbacks.values()] == [left] * bool(
        left
    ), "ended at its time, or the client's again"


# Hosts


def held_out(place, ask, number=b"id1"):
    client = place.client()
    client.send(ask % number)
    place.hear(client, b"HTTP/1.1 202")
    return client


@pytest.mark.parametrize("close,proven", [(reset, True), (socket.socket.close, False)])
@pytest.mark.parametrize("ask", [ASK, PLAIN])
def test_an_idle_host_connection_that_the_host_closes_as_a_call_is_written(
    place, monkeypatch, ask, close, proven
):
    """Refused by the system before the last byte went, the call never ran and goes at once on a new connection. Taken by it, nothing
    proves that the host did not run it: what may be repeated is, what must not ends by a notice."""
    held_out(place, ask, b"id0")
    host = place.accept(place.host)
    place.hear(host, b"\r\n\r\nab")
    host.send(OK)
    place.advance(20 * MS)
    assert place.relay.hosts.idle_connections["h1"]

    def closes(stream):
        close(host)
        place.open.remove(host)

    crossed = once(monkeypatch, HttpStream, "quiet", closes, lambda stream: stream.kind == "host")
    held_out(place, ask)
    if proven or ask is ASK:
        again = place.accept(place.host)
        assert crossed and b"Req-Id: id1" in place.hear(again, b"\r\n\r\nab")
        assert (
            place.relay.core.callbacks["id1"].attempts == 2 - proven
            and (place.relay.core.callbacks["id1"].ran_at is None) == proven
        )
    else:
        place.advance(500 * MS)
        assert (
            crossed
            and place.relay.core.callbacks["id1"].state == "owed"
            and not place.relay.core.callbacks["id1"].rejected
        )
        assert list(place.relay.notices.unanswered) == ["id1"]


@pytest.mark.parametrize("meanwhile", ["time up", "draining", "removed", "told to wait"])
def test_a_connection_that_comes_up_after_its_call_may_go_no_more_carries_not_a_byte(
    place, monkeypatch, meanwhile
):
    """Danger: rules 1, 3 and 6 at the first byte, however long the connection took."""
    from molehill import interface as it

    core = place.relay.core

    def happens(stream):
        if meanwhile == "time up":
            place.clock.now += 5 * SECOND
        elif meanwhile == "told to wait":
            core.hosts.retry_times[core._route(core.hosts["h1"])] = place.clock.now + 3 * SECOND
        else:
            hosts = (
                []
                if meanwhile == "removed"
                else [ev.Host("h1", core.hosts["h1"].address, 0, 0, 3, it.Condition.DRAINING, 1.0)]
            )
            place.relay.engine.post(ev.HostListReceived(it.ListScope.WHOLE, hosts))

    up = once(monkeypatch, Stream, "connect", happens, lambda stream: stream.kind == "host")
    held_out(place, PLAIN)
    host = place.accept(place.host)
    place.advance(100 * MS)
    assert up and drain(host) is None, "closed, and nothing was written on it"
    callback = core.callbacks["id1"]
    assert callback.ran_at is None and callback.attempts == 0
    assert (callback.state == "owed") == (meanwhile == "time up")


def test_a_kill_while_the_connection_comes_up_leaves_the_callback_untried_and_it_is_tried(
    place, monkeypatch
):
    """Danger: the log has it as out, and one that must not run twice is given up though no host has seen a byte of it."""
    hung = []
    once(
        monkeypatch,
        Stream,
        "connect",
        lambda stream: (hung.append(stream), stream.scheduler.wait()),
        lambda stream: stream.kind == "host",
    )
    held_out(place, PLAIN)
    place.advance(20 * MS)
    assert hung and place.relay.core.calls
    silent = place.accept(place.host)
    place.turn, turn = lambda rounds=0: None, place.turn
    kill(place)
    place.turn = turn
    # and once more, before a turn of the one that took it up
    kill(place)
    _, text = comes(place, place.host, b"\r\n\r\nab")
    assert (
        not drain(silent)
        and b"Req-Id: id1" in text
        and place.relay.core.callbacks["id1"].attempts == 1
    )


def test_a_kill_right_after_the_first_byte_leaves_it_as_one_that_may_have_run(place, monkeypatch):
    once(
        monkeypatch,
        HttpStream,
        "send",
        lambda stream: stream.scheduler.wait(),
        lambda stream: stream.kind == "host",
    )
    held_out(place, PLAIN)
    host = place.accept(place.host)
    place.hear(host, b"\r\n\r\nab")
    kill(place)
    place.advance(200 * MS)
    assert (
        place.relay.core.callbacks["id1"].state == "owed"
        and not place.relay.core.callbacks["id1"].rejected
        and not place.relay.hosts.calls_in_flight
    )


# Discovery and notices


def asks(place, sock):
    return place.hear(sock, b"\r\n\r\n").split(b" HTTP")[0]


@pytest.mark.parametrize(
    "begun", [b"", b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"index": 5,']
)
def test_a_sighup_that_moves_discovery_under_a_silent_watch_has_the_new_one_asked_at_once(
    place, begun
):
    """Danger: waited out, or what still comes of the old one taken for the new one's list."""
    old = place.accept(place.platform)
    asks(place, old)
    old.send(begun)
    place.advance(8 * SECOND, step=50 * MS)
    moved = place.listener()
    place.relay.config.discovery = moved.getsockname()
    old.send(b"x" * (99 - 12)) if begun else None  # lies there in the very turn of the move
    place.relay.discovery.change_address()
    new = place.accept(moved)
    assert asks(place, new) == b"GET /registry/instances" and place.relay.discovery.version is None
    assert place.clock.now - place.relay.scheduler.clock() == 0 and list(
        place.relay.core.hosts
    ) == ["h1"]
    place.advance(4900 * MS, step=50 * MS)
    with pytest.raises(BlockingIOError):
        moved.accept()
    place.advance(200 * MS)
    assert (
        asks(place, place.accept(moved)) == b"GET /registry/instances"
    ), "silent too, it is asked anew within 6 s"


def test_a_watch_that_is_silent_as_the_relay_ends_holds_nothing_up(place):
    asks(place, place.accept(place.platform))
    place.advance(10 * SECOND, step=50 * MS)
    place.relay.shutdown.begin()
    place.advance(3400 * MS)
    assert place.relay.scheduler.stopped


def test_a_notice_without_an_answer_at_the_end_is_the_next_process_s_and_so_on_until_it_has_one(
    place,
):
    held_out(place, (PLAIN).replace(b"Req-Id", b"Req-Deadline-Ms: 300\r\nReq-Id"))
    place.hear(place.accept(place.host), b"\r\n\r\nab")
    place.advance(400 * MS)
    texts = []
    for lives in range(3):
        sock, text = comes(place, place.platform, b"}\n")
        texts.append(text)
        if lives < 2:  # read, and not answered
            place.relay.shutdown.begin()
            place.advance(3600 * MS)
            assert place.relay.scheduler.stopped and list(place.relay.core.callbacks) == ["id1"]
            kill(place)
    sock.send(b"HTTP/1.1 204 No Content\r\n\r\n")
    place.advance(50 * MS)
    assert (
        all(b'"ref":"id1","result":"dead"' in text for text in texts)
        and not place.relay.core.callbacks
    )
    kill(place)
    assert not place.relay.core.callbacks


def forget_list(place):
    """Has the log say nothing of hosts, as one of the version before it had them in it."""
    rows, store = [], Store(str(place.folder), place.relay.store.max_bytes, Disk())
    store.read()
    store.replay(lambda record, body: rows.append((record, body)))
    assert store.rewrite([row for row in rows if row[0]["k"] != "list"])
    store.close()


@pytest.mark.parametrize("ask", [ASK, PLAIN])
def test_what_is_untried_waits_for_a_list_where_the_file_of_the_next_start_knows_no_host(
    place, ask
):
    """Danger: discovery is down at the restart, and what was taken on is turned away for a destination not heard of yet."""
    place.relay.hosts.start_call = lambda call: place.relay.engine.post(
        ev.CallEnded(
            call.number,
            0,
            [ev.AttemptOutcome(m.id, Result.NOT_SENT, unsent=True) for m in call.callbacks],
        )
    )
    held_out(place, ask.replace(b"Req-Id", b"Req-Deadline-Ms: 12000\r\nReq-Id"))
    full = place.config()
    place.config = lambda **given: replace(full, known={})
    forget_list(place)
    kill(place)
    place.advance(2 * SECOND)
    assert place.relay.core.callbacks["id1"].state == "held" and not place.relay.notices.unanswered
    watch, _ = comes(place, place.platform, b"/registry")
    body = json.dumps({**full.known, "snapshot": True, "index": 9}).encode()
    watch.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    assert b"Req-Id: id1" in comes(place, place.host, b"\r\n\r\nab")[1]


@pytest.mark.parametrize("answers", [True, False])
def test_after_a_kill_no_call_is_begun_before_discovery_answered_or_some_time_is_up(place, answers):
    """Danger: what it wrote to the process before, which was killed with it unread, counts as told."""
    held_out(place, ASK)
    place.advance(500 * MS)
    kill(place)
    began, watches, called = place.clock.now, [], None
    while called is None and place.clock.now < began + SECOND:
        place.advance(10 * MS)
        asked = place.platform_hears(watches)
        if answers and b"hold_ms=1 " in asked:
            leaving = dict(place.config().known["endpoints"][0], status="leaving")
            text = json.dumps({"index": 2, "endpoints": [leaving]}).encode()
            watches[-1].send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        called = next((call for call in place.relay.core.calls.values()), None)
    if answers:
        assert called is None, "the host was told to drain before"
    else:
        assert place.clock.now - began >= 300 * MS
