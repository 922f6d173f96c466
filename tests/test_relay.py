"""One whole relay on loopback sockets and a manual clock: delivery, shutdown, restart, reload."""

import json
import signal
import socket
from dataclasses import replace
from zlib import crc32

import pytest

from molehill.core.host_list import digest_file_list
from molehill.relay import log_limits
from molehill.store import HEADER
from tests.core_harness import MS, SECOND, drain, net_config, net_config_fields
from tests.harness import REQUEST, delivered


def test_callbacks_of_a_key_are_delivered_in_order(harness):
    client = harness.connect_client()
    client.send(REQUEST % b"id1")
    harness.read_until(client, b"HTTP/1.1 202")
    client.send(REQUEST % b"id2")
    harness.read_until(client, b"HTTP/1.1 202")
    host = harness.accept(harness.host)
    text = harness.read_until(host, b"\r\n\r\nab")
    assert b"Req-Id: id1" in text and b"id2" not in text
    host.send(delivered())
    assert b"Req-Id: id2" in harness.read_until(host, b"\r\n\r\nab")
    assert list(harness.relay.core.callbacks) == ["id2"]


def test_sigterm_drains_and_restart_resumes_pending_callbacks(harness):
    client, other = harness.connect_client(), harness.connect_client()
    client.send(REQUEST % b"id1")
    harness.read_until(client, b"HTTP/1.1 202")
    host = harness.accept(harness.host)
    harness.read_until(host, b"\r\n\r\nab")
    harness.relay.shutdown.begin()
    other.send(b"GET /health/live HTTP/1.1\r\n\r\n")
    harness.advance(2900 * MS)
    assert b"200 OK" in drain(other)
    other.send(REQUEST % b"id2")
    assert b"Connection: close" not in harness.read_until(other, b"HTTP/1.1 202")
    late = harness.connect_client()
    harness.advance(100 * MS)
    for sock, number in ((other, b"id3"), (late, b"id4")):
        sock.send(REQUEST % number)
        assert b"Connection: close" in harness.read_until(sock, b"HTTP/1.1 202")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(harness.address)
    assert not harness.relay.scheduler.stopped
    harness.advance(500 * MS)
    assert harness.relay.scheduler.stopped, "well before 3.7 s"
    harness.relay.store.close()
    first, _ = harness.relay, harness.start_process()
    assert (
        list(harness.relay.core.callbacks)
        == ["id1", "id2", "id3", "id4"]
        == list(first.core.callbacks)
    )
    harness.confirm_list()
    again = harness.accept(harness.host)
    assert b"Req-Id: id1" in harness.read_until(
        again, b"\r\n\r\nab"
    ), "in the order in which they were handed in"
    assert harness.relay.core.callbacks["id1"].attempts == first.core.callbacks["id1"].attempts + 1


def test_pending_notice_is_sent_after_restart(harness):
    client = harness.connect_client()
    client.send(REQUEST % b"id1")
    harness.read_until(client, b"HTTP/1.1 202")
    harness.relay.store.close()
    harness.clock.now += 16 * SECOND
    harness.start_process()
    assert not harness.relay.core.callbacks or harness.relay.core.callbacks["id1"].state == "owed"
    for _ in range(3):
        platform = harness.accept(harness.platform)
        text = harness.read_until(platform, b"\r\n\r\n")
        if b"/v2/finals" in text:
            break
    assert b'{"ref":"id1","result":"dead"}' in text
    platform.send(b"HTTP/1.1 204 No Content\r\n\r\n")
    harness.advance(50 * MS)
    assert not harness.relay.core.callbacks


def test_sighup_rejects_bad_file_and_moves_discovery(harness, tmp_path, monkeypatch):
    relay, file, logged = harness.relay, tmp_path / "config.json", []
    relay.log = type(
        "Log",
        (),
        {
            "error": lambda _, text, **facts: logged.append(facts["error"]),
            "info": lambda _, text, **facts: logged.append(facts),
        },
    )()
    monkeypatch.setenv("ROUTER_CONFIG", str(file))
    # The same address as at the start.
    monkeypatch.setenv("ROUTER_DISCOVERY", "%s:%d" % harness.platform.getsockname())
    relay.signals, other = socket.socketpair()
    harness.open_sockets += [other, relay.signals]
    relay.signals.setblocking(False)
    relay.scheduler.spawn(relay.read_signals)
    client = harness.connect_client()
    client.send(REQUEST % b"id1")
    harness.read_until(client, b"HTTP/1.1 202")
    harness.read_until(harness.accept(harness.host), b"\r\n\r\nab")
    old = [harness.accept(harness.platform)]
    harness.advance(15_100 * MS, step=50 * MS)
    old.append(harness.accept(harness.platform))
    assert list(relay.notices.unanswered) == ["id1"], "sent, and not answered"
    for text in (
        "{",
        json.dumps(net_config_fields(discovery="nowhere", known={})),
        json.dumps(net_config_fields(settings={}, known={})),
    ):
        file.write_text(text)
        other.send(bytes([signal.SIGHUP]))
        harness.run_rounds()
    assert [text.split(":")[0] for text in logged] == [
        "ROUTER_CONFIG",
        "discovery",
        "settings.allowed",
    ]
    assert relay.config.discovery == harness.platform.getsockname()
    moved = harness.open_listener()
    file.write_text(
        json.dumps(
            net_config_fields(
                discovery="%s:%d" % moved.getsockname(), limits={"disk_mb": 1}, known={}
            )
        )
    )
    other.send(bytes([signal.SIGHUP]))
    harness.run_rounds()
    assert relay.discovery.file_digest == digest_file_list({}), "lists are newer than this file's"
    texts = []
    for sock in (harness.accept(moved), harness.accept(moved)):
        texts.append(harness.read_until(sock, b"\r\n\r\n"))
        if b"finals" in texts[-1]:
            sock.send(b"HTTP/1.1 204 No Content\r\n\r\n")
    harness.advance(50 * MS)
    assert sorted(text.split(b" HTTP")[0] for text in texts) == [
        b"GET /registry/instances",
        b"POST /v2/finals",
    ]
    assert logged[-1]["at_next_start"] == ["listen", "state", "disk"] and not relay.core.callbacks
    other.send(bytes([signal.SIGTERM, signal.SIGHUP, signal.SIGTERM]))
    harness.advance(3600 * MS, step=50 * MS)
    assert relay.scheduler.stopped and client.send(b"x")


def test_shutdown_reads_no_request_that_it_cannot_answer(
    harness,
):
    """A request must not be lost that becomes complete in the round in which the relay ends.

    If it were read then, it would never be answered.
    """
    relay, client = harness.relay, harness.connect_client()
    client.send(REQUEST % b"id1")
    harness.read_until(client, b"HTTP/1.1 202")  # its call is in flight at a host that hangs
    seen, moved = [], relay.shutdown.change_state
    relay.shutdown.change_state = lambda state: (
        seen.append((state, (harness.clock.now - began) // (100 * MS))),
        moved(state),
    )
    began = harness.clock.now
    for _ in range(3):
        relay.shutdown.begin()  # only the first call has an effect
    harness.advance(2900 * MS)
    client.send(REQUEST % b"id2")
    assert b"Connection: close" not in harness.read_until(client, b"HTTP/1.1 202")
    other = harness.connect_client()
    harness.advance(200 * MS)
    with pytest.raises(OSError):
        socket.create_connection(harness.address)
    other.send((REQUEST % b"id3")[:-1])
    harness.advance(300 * MS)
    assert (
        drain(client) is None and not relay.scheduler.stopped
    ), "idle connections are closed, one with a request begun is waited for"
    harness.advance(began + 3499 * MS - harness.clock.now)
    harness.clock.now = began + 3510 * MS
    harness.run_rounds(1)
    other.send(b"b")  # between two polls
    harness.run_rounds(3)
    assert (
        relay.scheduler.stopped
        and "id3" not in relay.core.callbacks
        and set(relay.core.callbacks) == {"id1", "id2"}
    )
    assert seen == [
        ("stopping", 0),
        ("letting go", 30),
        ("last answers", 33),
        ("cutting", 35),
        ("ended", 35),
    ]


def test_torn_and_unreadable_log_records_are_reported(harness, capfd):
    """One unreadable record must not prevent the start, and truncated bytes must be reported."""
    client = harness.connect_client()
    client.send(REQUEST % b"id1")
    harness.read_until(client, b"HTTP/1.1 202")
    harness.relay.store.close()
    payload = b"[" * 100_000 + b"\n"
    with open(harness.relay.store.path, "ab") as log:
        log.write(HEADER.pack(len(payload), crc32(payload)) + payload + b"torn")
    capfd.readouterr()
    harness.start_process()
    log_text = capfd.readouterr().err
    assert "level='warning' event='log read' cut=4 held=1 odd=1" in log_text and list(
        harness.relay.core.callbacks
    ) == ["id1"]


def test_log_limits_leave_room_on_disk_and_in_memory():
    for disk, memory in ((3 * 10**6, 192 * 10**6), (10**9, 64 * 10**6)):
        files, owed = log_limits(replace(net_config(), disk=disk, memory=memory))
        assert files < disk and files < memory // 3 and owed * 2 < files


def test_failed_write_rewrites_log_without_rejections(harness, monkeypatch):
    store, errors, failing = harness.relay.store, [], []
    monkeypatch.setattr(
        harness.relay.engine,
        "log",
        type(
            "Log",
            (),
            {"info": lambda *_, **__: None, "error": lambda _, text, **__: errors.append(text)},
        )(),
    )
    write = store._write
    store._write = lambda fd, data: False if failing and failing.pop() else write(fd, data)
    client, host = harness.connect_client(), None
    for number in range(6):
        failing[:] = [True] if number > 2 else []
        client.send(REQUEST % b"id%d" % number)
        harness.read_until(client, b"HTTP/1.1 202")
        assert not failing
        host = host or harness.accept(harness.host)
        harness.read_until(host, b"\r\n\r\nab")
        host.send(delivered())
        harness.advance(20 * MS)
    assert (
        not errors
        and not harness.relay.core.callbacks
        and list(harness.relay.core.recently_completed) == [f"id{n}" for n in range(6)]
    )
    store.close()
    harness.start_process()
    assert not harness.relay.core.callbacks and harness.relay.core.log_bytes_used == 0
