"""The parser of heads, and buffers.

Heads are the same however the bytes are split, they are bounded, and the only error that bytes can
raise is MalformedMessage.
"""

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from molehill.http import parser as http
from molehill.runtime.buffer import Buffer

DETERMINISTIC = profile(derandomize=True, deadline=None, database=None)


def fill_buffer(buffer, data):
    while data:
        with buffer.free_space() as space:
            count = min(len(space), len(data))
            if not count:
                return False
            space[:count] = data[:count]
        buffer.mark_filled(count)
        data = data[count:]
    return True


def parse_heads(data, cuts=(), reads_responses=False):
    """Returns the heads that are found if the bytes arrive in pieces, split at `cuts`."""
    buffer = Buffer(100_000)
    parser, found, at = http.Parser(buffer, reads_responses), [], 0
    for cut in [*sorted(cuts), len(data)]:
        fill_buffer(buffer, data[at:cut])
        at = max(at, cut)
        while (head := parser.next_head()) is not None:
            found.append(head)
            buffer.take(head.content_length or 0)
    return found


TWO_REQUESTS = (
    b"\r\nPOST /api HTTP/1.1\r\nReq-Id: 9b\r\nContent-Length: 0\r\nCookie: a=1; subject=k\r\n\r\n"
    b"GET /health/ready HTTP/1.0\r\nX: y\r\n\r\n"
)


@given(st.lists(st.integers(0, len(TWO_REQUESTS)), max_size=8))
@DETERMINISTIC
def test_heads_parse_the_same_in_any_pieces(cuts):
    first, second = parse_heads(TWO_REQUESTS, cuts)
    assert (
        first.start_line == ("POST", "/api", "HTTP/1.1")
        and first.keep_alive
        and first.content_length == 0
    )
    assert (
        http.cookie_value(first.headers, "subject") == "k"
        and http.cookie_value(first.headers, "other") is None
    )
    assert not second.keep_alive and second.content_length is None


@given(
    st.one_of(
        st.binary(max_size=300),
        st.lists(
            st.sampled_from(
                [
                    b"GET / HTTP/1.1",
                    b"\r\n",
                    b"\n",
                    b"\r",
                    b"Content-Length: ",
                    b"5",
                    b"-1",
                    b":",
                    b" ",
                    b"HTTP/1.1 200",
                    b"\xff",
                    b"Transfer-Encoding: chunked",
                    b"A: b",
                    b"\0",
                ]
            ),
            max_size=14,
        ).map(b"".join),
    ),
    st.booleans(),
)
@DETERMINISTIC
def test_arbitrary_bytes_raise_nothing_but_malformed(data, reads_responses):
    try:
        for head in parse_heads(data + b"\r\n\r\n", reads_responses=reads_responses):
            assert head.content_length is None or 0 <= head.content_length <= http.MAX_BODY_BYTES
            assert not reads_responses or 0 <= head.status <= 999
    except http.MalformedMessage as error:
        assert error.status in http.REASON_PHRASES


@pytest.mark.parametrize(
    "lines,status",
    [
        (b"POST /api", 400),
        (b"POST  HTTP/1.1", 400),
        (b"POST /api HTTP/2.0", 505),
        (b"POST /api SMTP", 400),
        (b"POST /api HTTP/1.1\r\nno header", 400),
        (b"POST /api HTTP/1.1\r\nbad name: x", 400),
        (b"POST /api HTTP/1.1\r\nA: b\r\n folded", 400),
        (b"POST /api HTTP/1.1\r\nA: b\nC: d", 400),
        (b"POST /api HTTP/1.1\r\nA: \0", 400),
        (b"POST /api HTTP/1.1\r\nContent-Length: +5", 400),
        (b"POST /api HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6", 400),
        (b"POST /api HTTP/1.1\r\nContent-Length: 65537", 413),
        (b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked", 501),
        (b"X" * (http.MAX_HEAD_BYTES + 1), 431),
        (b"\r\n" * (http.MAX_EMPTY_LINES + 1), 400),
        (b"POST /api HTTP/1.1" + b"\r\nA: b" * http.MAX_HEAD_LINES, 431),
    ],
)
def test_each_malformed_head_has_its_status(lines, status):
    with pytest.raises(http.MalformedMessage) as caught:
        parse_heads(lines + b"\r\n\r\n")
    assert caught.value.status == status


def test_an_endless_head_is_rejected_at_the_limit():
    with pytest.raises(http.MalformedMessage) as caught:
        parse_heads(b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * http.MAX_HEAD_BYTES)
    assert caught.value.status == 431


def test_built_messages_parse_back():
    data = http.build_response(
        202, [("Retry-After", "0.500")], b"body", close=True
    ) + http.build_response(204)
    first, second = parse_heads(data, reads_responses=True)
    assert (first.status, first.keep_alive, first.content_length, first.headers["retry-after"]) == (
        202,
        False,
        4,
        "0.500",
    )
    assert second.status == 204 and second.keep_alive
    (head,) = parse_heads(http.build_request("POST", "/events", "h:1", [("Req-Id", "x")], b"123"))
    assert head.headers == {"host": "h:1", "req-id": "x", "content-length": "3"}


@given(st.lists(st.tuples(st.booleans(), st.integers(1, 9000)), max_size=40))
@DETERMINISTIC
def test_a_buffer_returns_its_bytes_within_its_limit(operations):
    buffer, expected, count = Buffer(20_000), b"", 0
    for is_write, size in operations:
        if is_write:
            data = bytes((count + n) % 251 for n in range(size))
            count += size
            if len(expected) + size > 20_000:
                continue
            assert fill_buffer(buffer, data)
            expected += data
        else:
            assert buffer.take(size) == expected[:size]
            expected = expected[size:]
        assert buffer.peek(len(expected)) == expected and len(buffer.data) <= 20_000
        if expected:
            assert buffer.find(expected[-1:]) == expected.find(expected[-1:])
    assert not fill_buffer(buffer, bytes(20_001))


class CountingBuffer(Buffer):
    """A buffer that counts the bytes that are looked at."""

    peeked = 0

    def peek(self, count, *offset):
        data = Buffer.peek(self, count, *offset)
        self.peeked += len(data)
        return data


CHUNKED = b"3;x\r\nabc\r\n" + b"1\r\nd\r\n" * 500 + b"0\r\nA: b\r\n\r\nHTTP"


@pytest.mark.parametrize("piece", [1, 7, 100, len(CHUNKED)])
def test_a_body_in_many_small_chunks_is_read_once(piece):
    """Guards against a loop that stands for seconds behind one host's answer."""
    buffer, body = CountingBuffer(100_000), None
    parser = http.Parser(buffer, reads_responses=True)
    for at in range(0, len(CHUNKED), piece):
        fill_buffer(buffer, CHUNKED[at : at + piece])
        body = body or parser.chunked_body()
    assert body == b"abc" + b"d" * 500 and buffer.peek(100) == b"HTTP"
    assert buffer.peeked <= 3 * len(CHUNKED) + 10 * (len(CHUNKED) // piece)
