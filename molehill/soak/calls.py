"""Reads what a host receives: one message, or several in a bundle, as the platform's page has it."""

from dataclasses import dataclass

SINGLE_TARGET, BUNDLE_TARGET = "/events", "/events/bundle"
NO_KEY = "-"  # in a bundle, for a message without an idempotency key


class MalformedCall(Exception):
    """A call that no host can read; the text says why."""


@dataclass(slots=True, frozen=True)
class ReceivedMessage:
    """One message of a call."""

    id: str
    idempotency_key: str
    body: bytes


def parse_call(line: str, headers: dict[str, str], body: bytes) -> list[ReceivedMessage]:
    """Returns the messages of a call; raises MalformedCall.

    `line`: the request line; `headers`: by name in lower case.
    """
    method, _, rest = line.partition(" ")
    target = rest.partition(" ")[0]
    if method != "POST" or target not in (SINGLE_TARGET, BUNDLE_TARGET):
        raise MalformedCall(f"not a call: {line!r}")
    if target == BUNDLE_TARGET:
        return parse_bundle(body)
    if not headers.get("req-id"):
        raise MalformedCall("no Req-Id")
    return [ReceivedMessage(headers["req-id"], headers.get("idempotency-key", ""), body)]


def parse_bundle(body: bytes) -> list[ReceivedMessage]:
    """Returns the messages of a bundle's body, each a line of id, key and length, then its bytes."""
    messages: list[ReceivedMessage] = []
    while body:
        line, separator, rest = body.partition(b"\r\n")
        fields = line.decode("latin-1").split(" ")
        if not separator or len(fields) != 3 or not fields[2].isdigit():
            raise MalformedCall(f"not a line of a bundle: {line[:80]!r}")
        length = int(fields[2])
        if rest[length : length + 2] != b"\r\n":
            raise MalformedCall("a message's length does not fit")
        key = "" if fields[1] == NO_KEY else fields[1]
        messages.append(ReceivedMessage(fields[0], key, rest[:length]))
        body = rest[length + 2 :]
    if not messages or len({message.id for message in messages}) < len(messages):
        raise MalformedCall("an empty bundle, or one that names a message twice")
    return messages


def bundle_answer(statuses: dict[str, int]) -> bytes:
    """Returns the body of the answer with 200 to a bundle; `statuses`: by message id."""
    words = {200: "delivered", 410: "over"}
    return "".join(f"{id} {words[status]}\r\n" for id, status in statuses.items()).encode()
