"""The admin server: its answers, that silent connections block no others, and the metrics' text."""

import re
import socket
from pathlib import Path

import pytest

from molehill.config import MAX_ADMIN_CONNECTIONS
from molehill.core.metrics import Metrics
from molehill.core.permission import Refusal
from molehill.http.admin import AdminServer
from tests.core_harness import MS, SECOND, NetHarness, drain


class AdminHarness:
    def __init__(self):
        self.net, self.ready, self.figures, self.sockets = NetHarness(), True, Metrics(["c"]), []
        self.admin = AdminServer(
            self.net.scheduler, ("127.0.0.1", 0), lambda: self.ready, self.figures.render
        )
        self.address = self.admin.listener.getsockname()

    def call(self, data=b""):
        sock = socket.create_connection(self.address)
        sock.setblocking(False)
        self.sockets.append(sock)
        sock.send(data) if data else None
        self.net.settle()
        return sock

    def close(self):
        self.admin.close()
        for sock in self.sockets:
            sock.close()


@pytest.fixture
def harness():
    made = AdminHarness()
    yield made
    made.close()


@pytest.mark.parametrize(
    "ready,request_bytes,status,body",
    [
        (True, b"GET /ready HTTP/1.1\r\n\r\n", 200, b"ready"),
        (False, b"GET /ready HTTP/1.1\r\n\r\n", 503, b"not ready"),
        (
            False,
            b"GET /metrics?x HTTP/1.1\r\n\r\n",
            200,
            b"router.fulfilled.c:0|c\nrouter.throttled.c:0|c\nrouter.faulted.c:0|c\n"
            b"router.relayed:0|c\nrouter.cfg_accepted:0|c\nrouter.cfg_invalid:0|c\nrouter.open_requests:0|g\n"
            b"router.registry_entries:0|g\nrouter.out_of_rotation:0|g\n",
        ),
        (True, b"GET /api HTTP/1.1\r\n\r\n", 404, b""),
        (True, b"POST /ready HTTP/1.1\r\n\r\n", 405, b""),
        (True, b"nonsense\r\n\r\n", 400, b""),
        (True, b"GET /ready HTTP/1.1\r\nX: " + b"x" * 20_000, 400, b""),
    ],
)
def test_a_request_is_answered_and_its_connection_closed(
    harness, ready, request_bytes, status, body
):
    harness.ready = ready
    sock = harness.call(request_bytes)
    harness.net.advance(300 * MS)
    text = drain(sock)
    assert (
        text.startswith(b"HTTP/1.1 %d " % status) and body in text and b"Connection: close" in text
    )
    assert drain(sock) is None and harness.admin.connection_budget.total() == 0


def test_silent_connections_block_no_others_and_leak_nothing(harness):
    silent = [harness.call(b"GET /re" if n % 2 else b"") for n in range(5 * MAX_ADMIN_CONNECTIONS)]
    assert harness.admin.connection_budget.total() <= MAX_ADMIN_CONNECTIONS
    for _ in range(3):
        assert b"200 OK" in drain(
            harness.call(b"GET /ready HTTP/1.1\r\n\r\n")
        ), "answered at once, though all connections are taken"
    assert (
        drain(silent[0]) is None and drain(silent[-1]) == b""
    ), "the connection that has had the most time is closed first"
    harness.net.advance(3 * SECOND)
    assert (
        drain(silent[-1]) is None
        and harness.admin.connection_budget.total() == 0
        and not harness.admin.reading_streams
    )
    assert list(harness.net.scheduler.waiters) == [harness.admin.listener.fileno()]


def test_the_operators_page_lists_every_metric():
    page = (Path(__file__).parent.parent / "docs/operate/daily.md").read_text()
    figures = Metrics(["C"])
    figures.not_sent[Refusal.TIME_UP] = 1  # a reason has a row once it has occurred
    lines = figures.render().replace("not_sent.time_up:", "not_sent.REASON:").splitlines()
    printed = {line.partition(":")[0] for line in lines}
    assert set(re.findall(r"^\| `(router\.[\w.]+)`", page, re.M)) == printed
