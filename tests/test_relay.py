"""One relay whole, on loopback sockets and a clock moved by hand: a callback through, an end in order, a restart."""

import json
import signal
import socket
from dataclasses import replace
from zlib import crc32

import pytest

from molehill.core.reducer import Core
from molehill.relay import log_room
from molehill.store import HEADER
from tests.core_harness import MS, SECOND, drain, net_config, net_config_fields
from tests.place import ASK


def test_a_callback_goes_through_and_one_of_its_key_waits_for_it(place):
    client = place.client()
    client.send(ASK % b"id1")
    place.hear(client, b"HTTP/1.1 202")
    client.send(ASK % b"id2")
    place.hear(client, b"HTTP/1.1 202")
    host = place.accept(place.host)
    text = place.hear(host, b"\r\n\r\nab")
    assert b"Req-Id: id1" in text and b"id2" not in text
    host.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert b"Req-Id: id2" in place.hear(host, b"\r\n\r\nab")
    assert list(place.relay.core.callbacks) == ["id2"]


def test_after_sigterm_it_serves_on_lets_go_and_what_it_holds_is_taken_up_by_the_next(place):
    client, other = place.client(), place.client()
    client.send(ASK % b"id1")
    place.hear(client, b"HTTP/1.1 202")
    host = place.accept(place.host)
    place.hear(host, b"\r\n\r\nab")
    place.relay.shutdown.begin()
    other.send(b"GET /health/live HTTP/1.1\r\n\r\n")
    place.advance(2900 * MS)
    assert b"200 OK" in drain(other)
    other.send(ASK % b"id2")
    assert b"Connection: close" not in place.hear(other, b"HTTP/1.1 202")
    late = place.client()
    place.advance(100 * MS)
    for sock, number in ((other, b"id3"), (late, b"id4")):
        sock.send(ASK % number)
        assert b"Connection: close" in place.hear(sock, b"HTTP/1.1 202")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(place.address)
    assert not place.relay.scheduler.stopped
    place.advance(500 * MS)
    assert place.relay.scheduler.stopped, "well before 3.7 s"
    place.relay.store.close()
    first, _ = place.relay, place.start()
    assert (
        list(place.relay.core.callbacks)
        == ["id1", "id2", "id3", "id4"]
        == list(first.core.callbacks)
    )
    place.advance(Core.LIST_TIMEOUT)  # discovery says nothing here
    again = place.accept(place.host)
    assert b"Req-Id: id1" in place.hear(
        again, b"\r\n\r\nab"
    ), "in the order in which they were handed in"
    assert place.relay.core.callbacks["id1"].attempts == first.core.callbacks["id1"].attempts + 1


def test_a_notice_that_is_owed_is_sent_after_a_restart_too(place):
    client = place.client()
    client.send(ASK % b"id1")
    place.hear(client, b"HTTP/1.1 202")
    place.relay.store.close()
    place.clock.now += 16 * SECOND
    place.start()
    assert not place.relay.core.callbacks or place.relay.core.callbacks["id1"].state == "owed"
    for _ in range(3):
        platform = place.accept(place.platform)
        text = place.hear(platform, b"\r\n\r\n")
        if b"/v2/finals" in text:
            break
    assert b'{"ref":"id1","result":"dead"}' in text
    platform.send(b"HTTP/1.1 204 No Content\r\n\r\n")
    place.advance(50 * MS)
    assert not place.relay.core.callbacks


def test_on_sighup_a_faulty_file_is_named_and_a_good_one_moves_watch_and_notices(
    place, tmp_path, monkeypatch
):
    relay, file, said = place.relay, tmp_path / "config.json", []
    relay.log = type(
        "Log",
        (),
        {
            "error": lambda _, text, **facts: said.append(facts["error"]),
            "info": lambda _, text, **facts: said.append(facts),
        },
    )()
    monkeypatch.setenv("ROUTER_CONFIG", str(file))
    # as it was at the start
    monkeypatch.setenv("ROUTER_DISCOVERY", "%s:%d" % place.platform.getsockname())
    relay.signals, other = socket.socketpair()
    place.open += [other, relay.signals]
    relay.signals.setblocking(False)
    relay.scheduler.spawn(relay.on_signals)
    client = place.client()
    client.send(ASK % b"id1")
    place.hear(client, b"HTTP/1.1 202")
    place.hear(place.accept(place.host), b"\r\n\r\nab")
    old = [place.accept(place.platform)]
    place.advance(15_100 * MS, step=50 * MS)
    old.append(place.accept(place.platform))
    assert list(relay.notices.unanswered) == ["id1"], "posted, and not answered"
    for text in (
        "{",
        json.dumps(net_config_fields(discovery="nowhere", known={})),
        json.dumps(net_config_fields(settings={}, known={})),
    ):
        file.write_text(text)
        other.send(bytes([signal.SIGHUP]))
        place.turn()
    assert [text.split(":")[0] for text in said] == [
        "ROUTER_CONFIG",
        "discovery",
        "settings.allowed",
    ]
    assert relay.config.discovery == place.platform.getsockname()
    moved = place.listener()
    file.write_text(
        json.dumps(
            net_config_fields(
                discovery="%s:%d" % moved.getsockname(), limits={"disk_mb": 1}, known={}
            )
        )
    )
    other.send(bytes([signal.SIGHUP]))
    place.turn()
    texts = []
    for sock in (place.accept(moved), place.accept(moved)):
        texts.append(place.hear(sock, b"\r\n\r\n"))
        if b"finals" in texts[-1]:
            sock.send(b"HTTP/1.1 204 No Content\r\n\r\n")
    place.advance(50 * MS)
    assert sorted(text.split(b" HTTP")[0] for text in texts) == [
        b"GET /registry/instances",
        b"POST /v2/finals",
    ]
    assert said[-1]["at_next_start"] == ["listen", "state", "disk"] and not relay.core.callbacks
    other.send(bytes([signal.SIGTERM, signal.SIGHUP, signal.SIGTERM]))
    place.advance(3600 * MS, step=50 * MS)
    assert relay.scheduler.stopped and client.send(b"x")


def test_a_relay_that_was_told_to_end_goes_from_state_to_state_and_reads_nothing_that_it_can_t_answer(
    place,
):
    """Danger: a request that gets whole in the very turn in which the relay ends is read, never answered, and lost."""
    relay, client = place.relay, place.client()
    client.send(ASK % b"id1")
    place.hear(client, b"HTTP/1.1 202")  # its call is out at a host that hangs
    seen, moved = [], relay.shutdown.move
    relay.shutdown.move = lambda state: (
        seen.append((state, (place.clock.now - began) // (100 * MS))),
        moved(state),
    )
    began = place.clock.now
    for _ in range(3):
        relay.shutdown.begin()  # told again, it goes on with the first
    place.advance(2900 * MS)
    client.send(ASK % b"id2")
    assert b"Connection: close" not in place.hear(client, b"HTTP/1.1 202")
    other = place.client()
    place.advance(200 * MS)
    with pytest.raises(OSError):
        socket.create_connection(place.address)
    other.send((ASK % b"id3")[:-1])
    place.advance(300 * MS)
    assert (
        drain(client) is None and not relay.scheduler.stopped
    ), "idle ones are closed, one with a request begun is waited for"
    place.advance(began + 3499 * MS - place.clock.now)
    place.clock.now = began + 3510 * MS
    place.turn(1)
    other.send(b"b")  # between two looks at what has come
    place.turn(3)
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


def test_a_log_with_a_torn_tail_and_a_record_that_can_t_be_read_is_read_and_the_relay_says_so(
    place, capfd
):
    """Danger: one odd record keeps the relay from its start, or what was cut off is told to nobody."""
    client = place.client()
    client.send(ASK % b"id1")
    place.hear(client, b"HTTP/1.1 202")
    place.relay.store.close()
    payload = b"[" * 100_000 + b"\n"
    with open(place.relay.store.path, "ab") as log:
        log.write(HEADER.pack(len(payload), crc32(payload)) + payload + b"torn")
    capfd.readouterr()
    place.start()
    said = capfd.readouterr().err
    assert "level='warning' event='log read' cut=4 held=1 odd=1" in said and list(
        place.relay.core.callbacks
    ) == ["id1"]


def test_the_log_s_files_leave_room_on_the_disk_and_in_memory():
    for disk, memory in ((3 * 10**6, 192 * 10**6), (10**9, 64 * 10**6)):
        files, owed = log_room(replace(net_config(), disk=disk, memory=memory))
        assert files < disk and files < memory // 3 and owed * 2 < files


def test_a_failed_write_has_the_log_written_anew_and_nobody_is_refused_for_it(place, monkeypatch):
    store, errors, failing = place.relay.store, [], []
    monkeypatch.setattr(
        place.relay.engine,
        "log",
        type(
            "Log",
            (),
            {"info": lambda *_, **__: None, "error": lambda _, text, **__: errors.append(text)},
        )(),
    )
    write = store._write
    store._write = lambda fd, data: False if failing and failing.pop() else write(fd, data)
    client, host = place.client(), None
    for number in range(6):
        failing[:] = [True] if number > 2 else []
        client.send(ASK % b"id%d" % number)
        place.hear(client, b"HTTP/1.1 202")
        assert not failing
        host = host or place.accept(place.host)
        place.hear(host, b"\r\n\r\nab")
        host.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        place.advance(20 * MS)
    assert (
        not errors
        and not place.relay.core.callbacks
        and list(place.relay.core.recently_completed) == [f"id{n}" for n in range(6)]
    )
    store.close()
    place.start()
    assert not place.relay.core.callbacks and place.relay.core.log_bytes_used == 0
