"""Heads and buffers: the same however the bytes are cut, bounded, and never anything worse than Malformed."""

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from molehill.http import parser as http
from molehill.runtime.buffer import Buffer

STEADY = profile(derandomize=True, deadline=None, database=None)


def feed(buffer, data):
    while data:
        with buffer.space() as space:
            count = min(len(space), len(data))
            if not count:
                return False
            space[:count] = data[:count]
        buffer.filled(count)
        data = data[count:]
    return True


def heads(data, cuts=(), answers=False):
    """Heads found when the bytes come in pieces."""
    buffer = Buffer(100_000)
    parser, found, at = http.Parser(buffer, answers), [], 0
    for cut in [*sorted(cuts), len(data)]:
        feed(buffer, data[at:cut])
        at = max(at, cut)
        while (head := parser.head()) is not None:
            found.append(head)
            buffer.take(head.length or 0)
    return found


WHOLE = (
    b"\r\nPOST /api HTTP/1.1\r\nReq-Id: 9b\r\nContent-Length: 0\r\nCookie: a=1; subject=k\r\n\r\n"
    b"GET /health/ready HTTP/1.0\r\nX: y\r\n\r\n"
)


@given(st.lists(st.integers(0, len(WHOLE)), max_size=8))
@STEADY
def test_a_head_reads_the_same_however_its_bytes_come(cuts):
    first, second = heads(WHOLE, cuts)
    assert first.first == ("POST", "/api", "HTTP/1.1") and first.keep and first.length == 0
    assert (
        http.cookie(first.headers, "subject") == "k" and http.cookie(first.headers, "other") is None
    )
    assert not second.keep and second.length is None


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
@STEADY
def test_whatever_comes_is_read_or_malformed(data, answers):
    try:
        for head in heads(data + b"\r\n\r\n", answers=answers):
            assert head.length is None or 0 <= head.length <= http.BODY_MOST
            assert not answers or 0 <= head.status <= 999
    except http.Malformed as error:
        assert error.status in http.REASONS


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
        (b"X" * (http.HEAD_MOST + 1), 431),
    ],
)
def test_malformed_heads_are_told_by_status(lines, status):
    with pytest.raises(http.Malformed) as caught:
        heads(lines + b"\r\n\r\n")
    assert caught.value.status == status


def test_a_head_without_an_end_is_cut_at_the_bound():
    with pytest.raises(http.Malformed) as caught:
        heads(b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * http.HEAD_MOST)
    assert caught.value.status == 431


def test_what_is_written_is_read_back():
    data = http.answer(202, [("Retry-After", "0.500")], b"body", close=True) + http.answer(204)
    first, second = heads(data, answers=True)
    assert (first.status, first.keep, first.length, first.headers["retry-after"]) == (
        202,
        False,
        4,
        "0.500",
    )
    assert second.status == 204 and second.keep
    (head,) = heads(http.request("POST", "/events", "h:1", [("Req-Id", "x")], b"123"))
    assert head.headers == {"host": "h:1", "req-id": "x", "content-length": "3"}


@given(st.lists(st.tuples(st.booleans(), st.integers(1, 9000)), max_size=40))
@STEADY
def test_a_buffer_gives_back_what_went_in_and_stays_within_its_bound(moves):
    buffer, held, count = Buffer(20_000), b"", 0
    for put, size in moves:
        if put:
            data = bytes((count + n) % 251 for n in range(size))
            count += size
            if len(held) + size > 20_000:
                continue
            assert feed(buffer, data)
            held += data
        else:
            assert buffer.take(size) == held[:size]
            held = held[size:]
        assert buffer.peek(len(held)) == held and len(buffer.data) <= 20_000
        if held:
            assert buffer.find(held[-1:]) == held.find(held[-1:])
    assert not feed(buffer, bytes(20_001))
