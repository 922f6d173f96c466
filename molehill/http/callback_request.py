"""Parses a client's request: from headers and body to a callback, or the error for the client."""

from typing import Optional

from molehill.config import MS, SECOND
from molehill.core import events as ev
from molehill.http import parser as http

MAX_TIME_LIMIT = 24 * 3600 * SECOND  # longer ones are cut to this, so that sums stay in range
MAX_TEXT_LENGTH = 1024  # characters of ids and keys, which are kept and logged
MAX_NUMBER_DIGITS = 15


def parse_callback(headers: dict[str, str], body: bytes, config, now: int) -> ev.Submission:
    """Returns the callback of a request that is read at `now`, in nanoseconds.

    Raises MalformedMessage, whose text tells the client what is wrong.
    """
    callback_id, kind = headers.get("req-id", ""), headers.get("req-kind", "")
    if not callback_id or not is_plain_text(callback_id):
        raise http.MalformedMessage(400, "Req-Id is missing or not an id")
    if kind not in config.callback_classes:
        raise http.MalformedMessage(400, "Req-Kind is not a class that is served here")
    callback_class = config.callback_classes[kind]
    class_settings = config.settings.callback_classes[callback_class]
    key = http.cookie_value(headers, "subject") if class_settings.ordered else None
    idempotency_key = headers.get("idempotency-key")
    destination, time_limit = (
        parse_destination(headers),
        parse_time_limit(headers, class_settings.time_limit),
    )
    for text in (key, idempotency_key):
        if text is not None and not is_plain_text(text):
            raise http.MalformedMessage(400, "a key that is too long or not printable")
    tenant = config.tenants.get(headers.get("req-owner", ""), 0)
    return ev.Submission(
        callback_id,
        callback_class,
        tenant,
        key or None,
        destination,
        now + time_limit,
        idempotency_key,
        body,
    )


def parse_destination(headers: dict[str, str]) -> int:
    """Returns the last `dest` of the header; raises MalformedMessage if it has none."""
    destination = None
    for part in headers.get("x-consignee", "").replace(";", ",").split(","):
        name, _, value = part.strip().partition("=")
        if name == "dest":
            destination = parse_number(value)
    if destination is None:
        raise http.MalformedMessage(400, "X-Consignee tells no dest")
    return destination


def parse_time_limit(headers: dict[str, str], default: int) -> int:
    """Returns the callback's time limit in nanoseconds: the header's, or else `default`.

    Raises MalformedMessage.
    """
    if "req-deadline-ms" not in headers:
        return default
    milliseconds = parse_number(headers["req-deadline-ms"])
    if milliseconds is None:
        raise http.MalformedMessage(400, "Req-Deadline-Ms is not a whole number")
    return min(milliseconds * MS, MAX_TIME_LIMIT)


def is_plain_text(text: str) -> bool:
    """Whether a text can be an id or a key: printable ASCII without spaces, and not too long."""
    return (
        len(text) <= MAX_TEXT_LENGTH and text.isascii() and text.isprintable() and " " not in text
    )


def parse_number(text: str) -> Optional[int]:
    """Returns a non-negative whole number of at most MAX_NUMBER_DIGITS digits, or None."""
    return (
        int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS else None
    )


def format_seconds(span: int) -> str:
    """Formats nanoseconds as decimal seconds, rounded up to a millisecond."""
    millis = -(-span // MS)
    return f"{millis // 1000}.{millis % 1000:03d}"
