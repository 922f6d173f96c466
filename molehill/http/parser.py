"""HTTP/1.1 heads: an incremental, bounded parser for both sides, and a writer."""

import re
from dataclasses import dataclass
from typing import Optional

HEAD_MOST = 16 * 1024  # ample for the few short headers of the protocol
BODY_MOST = 64 * 1024  # the protocol's bound
REASONS = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
CHUNK = re.compile(rb"[0-9A-Fa-f]{1,6}[ \t]*(;.*)?")
CHUNK_LINE_MOST = 256  # of a chunk's length and what may stand beside it
TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


class Malformed(Exception):
    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    first: tuple[str, ...]  # method, target, version; or version, status, reason
    headers: dict[str, str]
    keep: bool  # the connection may carry another message
    length: Optional[int]  # of the body; None where no header tells it
    chunked: bool = False  # the body comes in chunks, in answers only

    @property
    def status(self) -> int:
        return int(self.first[1])


class Parser:
    """Finds one head after another in a buffer, each time looking only at bytes that are new."""

    def __init__(self, buffer, answers: bool, most: int = BODY_MOST):
        """`most`: bytes of a body."""
        self.buffer, self.answers, self.seen, self.most = buffer, answers, 0, most
        self.raw = b""  # the head read last, until its message is whole
        # the start of the head read last, also of one that was malformed
        self.line = b""

    def head(self) -> Optional[Head]:
        """The next head once it is whole, else None; raises Malformed."""
        buffer = self.buffer
        while not self.answers and buffer.peek(2) == b"\r\n":
            buffer.take(2)  # empty lines before a request are passed over
            self.seen = 0
        end = buffer.find(b"\r\n\r\n", max(0, self.seen - 3))
        if end < 0:
            self.seen = len(buffer)
            if self.seen > HEAD_MOST:
                raise Malformed(431, "the head is too long")
            return None
        self.seen = 0
        if end > HEAD_MOST:
            raise Malformed(431, "the head is too long")
        self.line = buffer.peek(64)
        self.raw = buffer.take(end + 4)
        return self._read(self.raw[:-4])

    def chunked(self) -> Optional[bytes]:
        """A body in chunks once it is whole, else None; nothing is taken from the buffer before. Raises Malformed."""
        data, at, ended = self.buffer.peek(len(self.buffer)), 0, False
        parts: list[bytes] = []
        while (end := data.find(b"\r\n", at)) >= 0:
            line, at = data[at:end], end + 2
            if ended:  # the lines of a trailer, and an empty one
                if not line:
                    self.buffer.take(at)
                    return b"".join(parts)
                continue
            if not CHUNK.fullmatch(line):
                raise Malformed(400, "not the length of a chunk")
            size = int(line.partition(b";")[0], 16)
            if size > self.most:
                raise Malformed(413, "the body is too long")
            ended = not size
            if size:
                parts.append(data[at : at + size])
                at += size + 2
                if not b"\r\n".startswith(data[at - 2 : at]):
                    raise Malformed(400, "a chunk of another length")
                if at > len(data):
                    return None
        if len(data) - at > CHUNK_LINE_MOST:
            raise Malformed(400, "not the length of a chunk")
        return None

    def _read(self, raw: bytes) -> Head:
        if b"\0" in raw or b"\n" in raw.replace(b"\r\n", b"") or b"\r" in raw.replace(b"\r\n", b""):
            raise Malformed(400, "a stray control byte in the head")
        lines = raw.decode("latin-1").split("\r\n")
        first = tuple(lines[0].split(" ", 2))
        if self.answers:
            first = first if len(first) == 3 else (*first, "")
            version, rest = first[0], first[1:]
            if len(rest) != 2 or len(rest[0]) != 3 or not (rest[0].isascii() and rest[0].isdigit()):
                raise Malformed(400, "not a status line")
        else:
            if len(first) != 3 or not first[0] or not first[1]:
                raise Malformed(400, "not a request line")
            version = first[2]
        if version not in ("HTTP/1.1", "HTTP/1.0"):
            raise Malformed(
                505 if version.startswith("HTTP/") else 400, "not a version that is spoken here"
            )
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if not colon or not name or not TOKEN.issuperset(name.encode("latin-1")):
                raise Malformed(400, "a line that is no header")
            name, value = name.lower(), value.strip(" \t")
            if name in headers and name == "content-length" and headers[name] != value:
                raise Malformed(400, "two lengths")
            headers[name] = (
                f"{headers[name]}, {value}"
                if name in headers and name != "content-length"
                else value
            )
        said = headers.get("connection", "").lower()
        keep = "close" not in said and (version == "HTTP/1.1" or "keep-alive" in said)
        chunked = "transfer-encoding" in headers
        # Danger: with a length beside it, one side may take for a body what the other takes for the next request.
        if chunked and "content-length" in headers:
            raise Malformed(400, "a length and a transfer encoding")
        if chunked and not (self.answers and headers["transfer-encoding"].lower() == "chunked"):
            raise Malformed(501, "no transfer encodings here")
        return Head(first, headers, keep, self._length(headers), chunked)

    def _length(self, headers) -> Optional[int]:
        text = headers.get("content-length")
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()) or len(text) > 12:
            raise Malformed(400, "not a length")
        if int(text) > self.most:
            raise Malformed(413, "the body is too long")
        return int(text)


def cookie(headers: dict[str, str], name: str) -> Optional[str]:
    for part in headers.get("cookie", "").replace(",", ";").split(";"):
        key, eq, value = part.strip().partition("=")
        if eq and key == name:
            return value.strip('"')
    return None


def _lines(first: str, headers, body: bytes) -> bytes:
    lines = [
        first,
        *(f"{name}: {value}" for name, value in headers),
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode("latin-1") + body


def request(method: str, target: str, host: str, headers=(), body: bytes = b"") -> bytes:
    return _lines(f"{method} {target} HTTP/1.1", [("Host", host), *headers], body)


def answer(status: int, headers=(), body: bytes = b"", close: bool = False) -> bytes:
    ending = [("Connection", "close")] if close else []
    return _lines(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", [*headers, *ending], body)
