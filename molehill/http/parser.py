"""HTTP/1.1 messages: an incremental, bounded parser of requests and responses, and a builder."""

import re
from dataclasses import dataclass, field
from typing import Optional

MAX_HEAD_BYTES = 16 * 1024  # ample for the few short headers of the protocol
MAX_HEAD_LINES = 128  # a header takes some hundred bytes of memory besides its own
MAX_EMPTY_LINES = 16  # before a request
MAX_BODY_BYTES = 64 * 1024  # the protocol's limit
REASON_PHRASES = {
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
CHUNK_LINE = re.compile(rb"[0-9A-Fa-f]{1,6}[ \t]*(;.*)?")
MAX_CHUNK_LINE_BYTES = 256  # of a chunk's length and its extensions
TOKEN_BYTES = frozenset(
    b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)


class MalformedMessage(Exception):
    """A message that breaks the protocol; `status` is the one to answer a request with."""

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    """The start line and the headers of a message; header names are in lower case."""

    start_line: tuple[str, ...]  # method, target, version; or version, status, reason
    headers: dict[str, str]
    keep_alive: bool  # the connection may carry another message
    content_length: Optional[int]  # bytes of the body; None without that header
    is_chunked: bool = False  # the body comes in chunks; in responses only

    @property
    def status(self) -> int:
        """Returns the status code of a response."""
        return int(self.start_line[1])


@dataclass(slots=True)
class ChunkScan:
    """How far a chunked body has been read: up to `position` of the buffer, where a line begins."""

    position: int = 0
    in_trailer: bool = False
    body: bytearray = field(default_factory=bytearray)


class Parser:
    """Finds one head after another in a buffer, and scans only the bytes that are new."""

    def __init__(self, buffer, reads_responses: bool, max_body_bytes: int = MAX_BODY_BYTES):
        """`reads_responses`: responses, else requests; `max_body_bytes`: the limit of a body."""
        self.buffer, self.reads_responses, self.scanned, self.max_body_bytes = (
            buffer,
            reads_responses,
            0,
            max_body_bytes,
        )
        self.empty_line_count = 0  # before the next head
        self.chunk_scan = ChunkScan()
        self.raw_head = b""  # the latest head, until its message is complete
        # the first 64 bytes of the latest head, even if that was malformed
        self.start_line_bytes = b""

    def next_head(self) -> Optional[Head]:
        """Returns the next head once it is complete, else None; raises MalformedMessage."""
        buffer = self.buffer
        while not self.reads_responses and buffer.peek(2) == b"\r\n":
            buffer.take(2)  # empty lines before a request are skipped
            self.scanned, self.empty_line_count = 0, self.empty_line_count + 1
            if self.empty_line_count > MAX_EMPTY_LINES:
                raise MalformedMessage(400, "empty lines in place of a request")
        end = buffer.find(b"\r\n\r\n", max(0, self.scanned - 3))
        if end < 0:
            self.scanned = len(buffer)
            if self.scanned > MAX_HEAD_BYTES:
                raise MalformedMessage(431, "the head is too long")
            return None
        self.scanned = self.empty_line_count = 0
        if end > MAX_HEAD_BYTES:
            raise MalformedMessage(431, "the head is too long")
        self.start_line_bytes = buffer.peek(64)
        self.raw_head = buffer.take(end + 4)
        return self._parse_head(self.raw_head[:-4])

    def chunked_body(self) -> Optional[bytes]:
        """Returns a chunked body once it is complete, else None; raises MalformedMessage.

        Until it is complete, nothing is taken from the buffer. Each call goes on where the one
        before has ended.
        """
        buffer, scan = self.buffer, self.chunk_scan
        while (end := buffer.find(b"\r\n", scan.position)) >= 0:
            line = buffer.peek(end - scan.position, scan.position)
            if scan.in_trailer:  # the trailer's lines, up to an empty one
                scan.position = end + 2
                if not line:
                    buffer.take(scan.position)
                    self.chunk_scan = ChunkScan()
                    return bytes(scan.body)
                continue
            size = self._chunk_size(line)
            data_end = end + 2 + size
            if not size:
                scan.in_trailer, scan.position = True, data_end
                continue
            if not b"\r\n".startswith(buffer.peek(2, data_end)):
                raise MalformedMessage(400, "a chunk's data is not followed by CRLF")
            if data_end + 2 > len(buffer):
                return None
            scan.body += buffer.peek(size, end + 2)
            scan.position = data_end + 2
        if len(buffer) - scan.position > MAX_CHUNK_LINE_BYTES:
            raise MalformedMessage(400, "not the length of a chunk")
        return None

    def _chunk_size(self, line: bytes) -> int:
        if not CHUNK_LINE.fullmatch(line):
            raise MalformedMessage(400, "not the length of a chunk")
        size = int(line.partition(b";")[0], 16)
        if size > self.max_body_bytes:
            raise MalformedMessage(413, "the body is too long")
        return size

    def _parse_head(self, raw_head: bytes) -> Head:
        if (
            b"\0" in raw_head
            or b"\n" in raw_head.replace(b"\r\n", b"")
            or b"\r" in raw_head.replace(b"\r\n", b"")
        ):
            raise MalformedMessage(400, "a stray control byte in the head")
        if raw_head.count(b"\r\n") >= MAX_HEAD_LINES:
            raise MalformedMessage(431, "the head has too many lines")
        lines = raw_head.decode("latin-1").split("\r\n")
        start_line = tuple(lines[0].split(" ", 2))
        if self.reads_responses:
            start_line = start_line if len(start_line) == 3 else (*start_line, "")
            version, rest = start_line[0], start_line[1:]
            if len(rest) != 2 or len(rest[0]) != 3 or not (rest[0].isascii() and rest[0].isdigit()):
                raise MalformedMessage(400, "not a status line")
        else:
            if len(start_line) != 3 or not start_line[0] or not start_line[1]:
                raise MalformedMessage(400, "not a request line")
            version = start_line[2]
        if version not in ("HTTP/1.1", "HTTP/1.0"):
            raise MalformedMessage(
                505 if version.startswith("HTTP/") else 400, "not a version that is spoken here"
            )
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if not colon or not name or not TOKEN_BYTES.issuperset(name.encode("latin-1")):
                raise MalformedMessage(400, "a line that is no header")
            name, value = name.lower(), value.strip(" \t")
            if name in headers and name == "content-length" and headers[name] != value:
                raise MalformedMessage(400, "two lengths")
            headers[name] = (
                f"{headers[name]}, {value}"
                if name in headers and name != "content-length"
                else value
            )
        connection_options = headers.get("connection", "").lower()
        keep_alive = "close" not in connection_options and (
            version == "HTTP/1.1" or "keep-alive" in connection_options
        )
        is_chunked = "transfer-encoding" in headers
        # With both headers, one side may read as a body what the other reads as the next request
        # (request smuggling).
        if is_chunked and "content-length" in headers:
            raise MalformedMessage(400, "a length and a transfer encoding")
        if is_chunked and not (
            self.reads_responses and headers["transfer-encoding"].lower() == "chunked"
        ):
            raise MalformedMessage(501, "no transfer encodings here")
        return Head(start_line, headers, keep_alive, self._content_length(headers), is_chunked)

    def _content_length(self, headers) -> Optional[int]:
        text = headers.get("content-length")
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()) or len(text) > 12:
            raise MalformedMessage(400, "not a length")
        if int(text) > self.max_body_bytes:
            raise MalformedMessage(413, "the body is too long")
        return int(text)


def cookie_value(headers: dict[str, str], name: str) -> Optional[str]:
    """Returns the value of a request's cookie, without quotes, or None if it has no such cookie."""
    for part in headers.get("cookie", "").replace(",", ";").split(";"):
        key, separator, value = part.strip().partition("=")
        if separator and key == name:
            return value.strip('"')
    return None


def _build_message(start_line: str, headers, body: bytes) -> bytes:
    lines = [
        start_line,
        *(f"{name}: {value}" for name, value in headers),
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode("latin-1") + body


def build_request(method: str, target: str, host: str, headers=(), body: bytes = b"") -> bytes:
    """Returns the bytes of a request; `headers` are pairs of name and value."""
    return _build_message(f"{method} {target} HTTP/1.1", [("Host", host), *headers], body)


def build_response(status: int, headers=(), body: bytes = b"", close: bool = False) -> bytes:
    """Returns the bytes of a response; `close`: it announces that the connection ends with it."""
    ending = [("Connection", "close")] if close else []
    return _build_message(
        f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}", [*headers, *ending], body
    )
