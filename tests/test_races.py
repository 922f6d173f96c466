"""Races of two parties on loopback sockets.

Each race is brought about by construction at a chosen moment, none by waiting for it.
"""

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
from tests.harness import REQUEST, delivered, kill_and_restart

PLAIN = REQUEST.replace(b"notice", b"plain")  # at most once, where a notice is deduplicated


def read_to_end(sock):
    """Reads up to the end of a connection; returns the data and how it ended, "end" or "reset".

    A reset may discard data that arrived before it.
    """
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
    """Closes a socket by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def act_once(monkeypatch, cls, name, act, when=lambda stream: True):
    """Runs `act(stream)` right after the next call of a method for which `when(stream)` holds.

    Nothing else happens in between. Returns a list that is not empty once `act` has run.
    """
    method, done = getattr(cls, name), []

    def crossed(self, *given):
        result = method(self, *given)
        if not done and when(self):
            done.append(1)
            act(self)
        return result

    monkeypatch.setattr(cls, name, crossed)
    return done


def accept_and_read(harness, listener, wanted):
    """Returns the connection on which `wanted` comes, and the data read.

    Connections of processes that have ended are skipped.
    """
    for _ in range(20):
        sock = harness.accept(listener)
        text = b""
        for _ in range(60):
            harness.advance(5 * MS)
            more = drain(sock)
            if more is None:
                break
            text += more
            if wanted in text and (more := drain(sock)) is not None:
                return sock, text + more
    raise AssertionError(f"{wanted!r} did not come")


# Clients


@pytest.mark.parametrize("more", [REQUEST % b"id2", b"\r\n", b"half a li", b"x" * 100_000])
@pytest.mark.parametrize("read", [True, False])
def test_unread_bytes_do_not_reset_a_closing_202(harness, more, read):
    """Bytes behind a request that closes its connection must not cost the client its answer.

    A close over unread bytes is a reset, which discards the 202. If the bytes were read as a
    request, it would be relayed and never answered.
    """
    client = harness.connect_client()
    ask = (
        (REQUEST % b"id1")
        .replace(b"Host", b"Connection: close\r\nHost")
        .replace(b"Req-Id", b"Connection: close\r\nReq-Id")
    )
    client.send(ask + more if read else ask)
    harness.relay.engine.suspend()  # the request is read; its answer waits until the rest arrived
    harness.run_rounds()
    if not read:
        client.send(more)
    harness.relay.engine.resume()
    harness.run_rounds()
    harness.advance(50 * MS)
    client.shutdown(socket.SHUT_WR)
    harness.advance(50 * MS)
    text, how = read_to_end(client)
    assert text.startswith(b"HTTP/1.1 202") and text.count(b"HTTP/1.1") == 1 and how == "end"
    assert list(harness.relay.core.callbacks) == ["id1"] and not harness.relay.clients.connections


def test_request_after_closing_answer_is_discarded(harness):
    client = harness.connect_client()
    client.send((REQUEST % b"id1").replace(b"Req-Id", b"Connection: close\r\nReq-Id"))
    harness.read_until(client, b"HTTP/1.1 202")
    assert (
        drain(client) is None and harness.relay.clients.connections
    ), "the relay's side of the connection is closed, and the client's not yet"
    client.send(REQUEST % b"id2")
    harness.advance(250 * MS)
    assert (
        list(harness.relay.core.callbacks) == ["id1"]
        and not harness.relay.clients.connections
        and harness.relay.budget.used["client"] == 0
    )


@pytest.mark.parametrize("how", ["room", "end"])
def test_request_racing_idle_close_is_not_accepted(harness, monkeypatch, how):
    """A request that crosses the close of an idle connection is not read.

    Its client sends it once more; read and not answered, it would be lost.
    """
    client = harness.connect_client()
    client.send(b"GET /health/live HTTP/1.1\r\n\r\n")
    harness.read_until(client, b"200 OK")
    harness.clock.now += 3 * SECOND
    crossed = act_once(
        monkeypatch,
        HttpStream,
        "is_quiet",
        lambda stream: client.send(REQUEST % b"id1"),
        lambda stream: stream.kind == "client",
    )
    if how == "room":
        assert harness.relay.clients.close_longest_idle(FOR_NEW_CONNECTION)
    else:
        harness.relay.clients.close_idle_connections()
    harness.run_rounds()
    text, ended = read_to_end(client)
    assert (
        crossed
        and not text
        and ended == "reset"
        and not harness.relay.core.callbacks
        and not harness.relay.clients.connections
    )
    again = harness.connect_client()
    again.send(REQUEST % b"id1")
    harness.read_until(again, b"HTTP/1.1 202")
    assert list(harness.relay.core.callbacks) == ["id1"]


@pytest.mark.parametrize("lies", ["whole", "all but a byte"])
def test_request_racing_shutdown_is_accepted_whole_or_not(harness, lies):
    client = harness.connect_client()
    client.send(b"GET /health/live HTTP/1.1\r\n\r\n")
    harness.read_until(client, b"200 OK")
    harness.relay.shutdown.begin()
    harness.advance(3295 * MS)
    harness.relay.clients.close_idle_connections = lambda: None  # it comes too late for that check
    harness.advance(10 * MS)
    harness.clock.now = harness.relay.shutdown.requested_at + 3499 * MS
    client.send((REQUEST % b"id1")[: None if lies == "whole" else -1])
    # In one round: the bytes, and the time at which incomplete requests are dropped.
    harness.clock.now += 2 * MS
    harness.advance(100 * MS)
    text, how = read_to_end(client)
    assert harness.relay.scheduler.stopped
    assert (list(harness.relay.core.callbacks), text.startswith(b"HTTP/1.1 202")) in (
        (["id1"], True),
        ([], False),
    )
    assert lies == "whole" or not text


@pytest.mark.parametrize("leave", [reset, socket.socket.close])
def test_client_leaving_before_202_withdraws_callback(harness, leave):
    client = harness.connect_client()
    client.send(REQUEST % b"id1")
    harness.relay.engine.suspend()
    harness.run_rounds()
    leave(client)
    harness.open_sockets.remove(client)
    harness.relay.engine.resume()
    harness.advance(50 * MS)
    assert not harness.relay.core.callbacks and not harness.relay.hosts.calls_in_flight
    kill_and_restart(harness)
    assert not harness.relay.core.callbacks, "nor does the next process have it"


@pytest.mark.parametrize("span,left", [(b"900", "owed"), (b"9000", None)])
def test_partial_202_does_not_count_as_accepted(harness, span, left):
    """A partial 202 at the callback's deadline must not count as received by the client.

    The relay would think it accepted, the client would not, and nobody would deliver it.
    """
    client = harness.connect_client()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
    harness.run_rounds()
    (conn,) = harness.relay.clients.connections
    conn.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
    client.send((REQUEST % b"id1").replace(b"Req-Id", b"Req-Deadline-Ms: %s\r\nReq-Id" % span))
    harness.relay.engine.suspend()
    harness.run_rounds()
    try:
        # Fills both buffers with bytes before the answer, which are never read.
        while True:
            conn.stream.sock.send(b"x" * 4096)
    except BlockingIOError:
        pass
    harness.relay.engine.resume()
    harness.run_rounds()
    assert harness.relay.core.callbacks["id1"].state == "taken"
    harness.advance(1100 * MS)
    assert not harness.relay.hosts.calls_in_flight and not harness.relay.clients.connections
    assert [c.state for c in harness.relay.core.callbacks.values()] == [left] * bool(
        left
    ), "ended at its deadline, or returned to the client"


# Hosts


def submit_callback(harness, ask, number=b"id1"):
    client = harness.connect_client()
    client.send(ask % number)
    harness.read_until(client, b"HTTP/1.1 202")
    return client


@pytest.mark.parametrize("close,proven", [(reset, True), (socket.socket.close, False)])
@pytest.mark.parametrize("ask", [REQUEST, PLAIN])
def test_call_racing_close_of_idle_host_connection(harness, monkeypatch, ask, close, proven):
    """A host closes an idle connection while a call is sent on it.

    If the system refuses the call before its last byte is sent, the call never ran and is sent at
    once on a new connection. If the system accepts it, nothing proves that the host did not run it:
    a callback that may be repeated is, any other ends by a notice.
    """
    submit_callback(harness, ask, b"id0")
    host = harness.accept(harness.host)
    harness.read_until(host, b"\r\n\r\nab")
    host.send(delivered())
    harness.advance(20 * MS)
    assert harness.relay.hosts.idle_connections["h1"]

    def closes(stream):
        close(host)
        harness.open_sockets.remove(host)

    crossed = act_once(
        monkeypatch, HttpStream, "is_quiet", closes, lambda stream: stream.kind == "host"
    )
    submit_callback(harness, ask)
    if proven or ask is REQUEST:
        again = harness.accept(harness.host)
        assert crossed and b"Req-Id: id1" in harness.read_until(again, b"\r\n\r\nab")
        assert (
            harness.relay.core.callbacks["id1"].attempts == 2 - proven
            and (harness.relay.core.callbacks["id1"].ran_at is None) == proven
        )
    else:
        harness.advance(500 * MS)
        assert (
            crossed
            and harness.relay.core.callbacks["id1"].state == "owed"
            and not harness.relay.core.callbacks["id1"].rejected
        )
        assert list(harness.relay.notices.unanswered) == ["id1"]


@pytest.mark.parametrize("meanwhile", ["time up", "draining", "removed", "told to wait"])
def test_late_connection_carries_no_forbidden_call(harness, monkeypatch, meanwhile):
    """Rules 1, 3 and 6 must hold at the first byte of a call, however long the connect took."""
    from molehill import interface as it

    core = harness.relay.core

    def happens(stream):
        if meanwhile == "time up":
            harness.clock.now += 5 * SECOND
        elif meanwhile == "told to wait":
            core.hosts.retry_times[core._route(core.hosts["h1"])] = harness.clock.now + 3 * SECOND
        else:
            hosts = (
                []
                if meanwhile == "removed"
                else [ev.Host("h1", core.hosts["h1"].address, 0, 0, 3, it.Condition.DRAINING, 1.0)]
            )
            harness.relay.engine.post_event(ev.HostListReceived(it.ListScope.WHOLE, hosts))

    up = act_once(monkeypatch, Stream, "connect", happens, lambda stream: stream.kind == "host")
    submit_callback(harness, PLAIN)
    host = harness.accept(harness.host)
    harness.advance(100 * MS)
    assert up and drain(host) is None, "closed, and nothing was written on it"
    callback = core.callbacks["id1"]
    assert callback.ran_at is None and callback.attempts == 0
    assert (callback.state == "owed") == (meanwhile == "time up")


def test_kill_during_connect_leaves_callback_untried(harness, monkeypatch):
    """A kill before the first byte must not give up a callback that must not run twice.

    The log has its attempt, though no host has received a byte of it.
    """
    hung = []
    act_once(
        monkeypatch,
        Stream,
        "connect",
        lambda stream: (hung.append(stream), stream.scheduler.wait()),
        lambda stream: stream.kind == "host",
    )
    submit_callback(harness, PLAIN)
    harness.advance(20 * MS)
    assert hung and harness.relay.core.calls
    silent = harness.accept(harness.host)
    harness.run_rounds, turn = lambda rounds=0: None, harness.run_rounds
    kill_and_restart(harness)
    harness.run_rounds = turn
    # Killed once more, before the process that resumed it has run a round.
    kill_and_restart(harness)
    harness.confirm_list()
    _, text = accept_and_read(harness, harness.host, b"\r\n\r\nab")
    assert (
        not drain(silent)
        and b"Req-Id: id1" in text
        and harness.relay.core.callbacks["id1"].attempts == 1
    )


def test_kill_after_first_byte_may_have_run(harness, monkeypatch):
    act_once(
        monkeypatch,
        HttpStream,
        "send",
        lambda stream: stream.scheduler.wait(),
        lambda stream: stream.kind == "host",
    )
    submit_callback(harness, PLAIN)
    host = harness.accept(harness.host)
    harness.read_until(host, b"\r\n\r\nab")
    kill_and_restart(harness)
    harness.advance(200 * MS)
    assert (
        harness.relay.core.callbacks["id1"].state == "owed"
        and not harness.relay.core.callbacks["id1"].rejected
        and not harness.relay.hosts.calls_in_flight
    )


# Discovery and notices


def read_request_line(harness, sock):
    return harness.read_until(sock, b"\r\n\r\n").split(b" HTTP")[0]


@pytest.mark.parametrize(
    "begun", [b"", b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"index": 5,']
)
def test_moved_discovery_is_asked_at_once(harness, begun):
    """A new address of discovery is asked at once, and the old one's answer is discarded.

    Otherwise the request in flight is waited out, or what still comes from the old address is taken
    for the new one's list.
    """
    old = harness.accept(harness.platform)
    read_request_line(harness, old)
    old.send(begun)
    harness.advance(8 * SECOND, step=50 * MS)
    moved = harness.open_listener()
    harness.relay.config.discovery = moved.getsockname()
    old.send(b"x" * (99 - 12)) if begun else None  # unread in the very round of the change
    harness.relay.discovery.change_address()
    new = harness.accept(moved)
    assert (
        read_request_line(harness, new) == b"GET /registry/instances"
        and harness.relay.discovery.version is None
    )
    assert harness.clock.now - harness.relay.scheduler.clock() == 0 and list(
        harness.relay.core.hosts
    ) == ["h1"]
    harness.advance(2400 * MS, step=50 * MS)
    with pytest.raises(BlockingIOError):
        moved.accept()
    harness.advance(200 * MS)
    assert (
        read_request_line(harness, harness.accept(moved)) == b"GET /registry/instances"
    ), "the new one is silent too and is asked again within the 4 s after SIGHUP"


def test_silent_watch_does_not_delay_shutdown(harness):
    read_request_line(harness, harness.accept(harness.platform))
    harness.advance(10 * SECOND, step=50 * MS)
    harness.relay.shutdown.begin()
    harness.advance(3400 * MS)
    assert harness.relay.scheduler.stopped


def test_unanswered_notice_passes_to_next_process(
    harness,
):
    submit_callback(harness, (PLAIN).replace(b"Req-Id", b"Req-Deadline-Ms: 300\r\nReq-Id"))
    harness.read_until(harness.accept(harness.host), b"\r\n\r\nab")
    harness.advance(400 * MS)
    texts = []
    for lives in range(3):
        sock, text = accept_and_read(harness, harness.platform, b"}\n")
        texts.append(text)
        if lives < 2:  # read, and not answered
            harness.relay.shutdown.begin()
            harness.advance(3600 * MS)
            assert harness.relay.scheduler.stopped and list(harness.relay.core.callbacks) == ["id1"]
            kill_and_restart(harness)
    sock.send(b"HTTP/1.1 204 No Content\r\n\r\n")
    harness.advance(50 * MS)
    assert (
        all(b'"ref":"id1","result":"dead"' in text for text in texts)
        and not harness.relay.core.callbacks
    )
    kill_and_restart(harness)
    assert not harness.relay.core.callbacks


def remove_list_records(harness):
    """Removes the host list from the log, as in logs of the versions that did not write it."""
    rows, store = [], Store(str(harness.folder), harness.relay.store.max_bytes, Disk())
    store.read()
    store.replay(lambda record, body: rows.append((record, body)))
    assert store.rewrite([row for row in rows if row[0]["k"] != "list"])
    store.close()


@pytest.mark.parametrize("ask", [REQUEST, PLAIN])
def test_untried_callback_waits_for_host_list_after_restart(harness, ask):
    """If discovery is down at a restart, accepted callbacks must not be rejected.

    Their destination is not known until the host list comes.
    """
    harness.relay.hosts.start_call = lambda call: harness.relay.engine.post_event(
        ev.CallEnded(
            call.number,
            0,
            [ev.AttemptOutcome(m.id, Result.NOT_SENT, unsent=True) for m in call.callbacks],
        )
    )
    submit_callback(harness, ask.replace(b"Req-Id", b"Req-Deadline-Ms: 12000\r\nReq-Id"))
    full = harness.config()
    harness.config = lambda **given: replace(full, known={})
    remove_list_records(harness)
    kill_and_restart(harness)
    harness.advance(2 * SECOND)
    assert (
        harness.relay.core.callbacks["id1"].state == "held" and not harness.relay.notices.unanswered
    )
    watch, _ = accept_and_read(harness, harness.platform, b"/registry")
    body = json.dumps({**full.known, "snapshot": True, "index": 9}).encode()
    watch.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    assert b"Req-Id: id1" in accept_and_read(harness, harness.host, b"\r\n\r\nab")[1]


@pytest.mark.parametrize("answers", [True, False])
def test_first_call_after_kill_waits_for_discovery(harness, answers):
    """The first call after a kill waits for discovery's answer, within a limit.

    What discovery sent to the old process counts as told, even if a kill came before it was read.
    """
    submit_callback(harness, REQUEST)
    harness.advance(500 * MS)
    kill_and_restart(harness)
    began, watches, called = harness.clock.now, [], None
    while called is None and harness.clock.now < began + SECOND:
        harness.advance(10 * MS)
        request = harness.read_at_platform(watches)
        if answers and b"hold_ms=1 " in request:
            leaving = dict(harness.config().known["endpoints"][0], status="leaving")
            text = json.dumps({"index": 2, "endpoints": [leaving]}).encode()
            watches[-1].send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        called = next((call for call in harness.relay.core.calls.values()), None)
    if answers:
        assert called is None, "the host was told to drain before"
    else:
        assert harness.clock.now - began >= 300 * MS
