"""HTTP/1.1 messages with a Content-Length, for the stand-ins.

This code shares nothing with the relay's.
"""


class MessageReader:
    """Splits bytes into messages: (first line, headers by lower-case name, body, sent_at).

    `sent_at` is when the first byte of the message was sent.
    """

    def __init__(self):
        self.data, self.since = b"", None

    def feed(self, data: bytes, sent_at: int) -> list:
        """Add data, and return the messages that are complete."""
        if not self.data:
            self.since = sent_at
        self.data += data
        found = []
        while True:
            head, mark, rest = self.data.partition(b"\r\n\r\n")
            if not mark:
                return found
            lines = head.decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(rest) < length:
                return found
            found.append((lines[0], headers, rest[:length], self.since))
            self.data, self.since = rest[length:], sent_at


def answer(status: int, headers=(), body: bytes = b"") -> bytes:
    """Return the bytes of a response."""
    lines = [
        f"HTTP/1.1 {status} Said",
        *(f"{name}: {value}" for name, value in headers),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def request(method: str, target: str, headers=(), body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: app.svc",
        *(f"{name}: {value}" for name, value in headers),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body
