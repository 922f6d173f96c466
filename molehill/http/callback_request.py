"""What a client hands in, checked: from a request's headers and body to a callback, or the error that the client is told."""

from typing import Optional

from molehill.config import MS, SECOND
from molehill.core import events as ev
from molehill.http import parser as http

MAX_TIME_LIMIT = 24 * 3600 * SECOND  # no deadline is taken as further off: keeps figures sane
MAX_TEXT_LENGTH = 1024  # characters of ids and keys; they are held and logged
MAX_NUMBER_DIGITS = 15


def parse_callback(headers: dict[str, str], body: bytes, config, now: int) -> ev.Submission:
    """The callback that a request hands in at `now`, in nanoseconds; raises Malformed with what is wrong."""
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
    """The last `dest` that the header tells; raises Malformed if it tells none."""
    destination = None
    for part in headers.get("x-consignee", "").replace(";", ",").split(","):
        name, _, value = part.strip().partition("=")
        if name == "dest":
            destination = parse_number(value)
    if destination is None:
        raise http.MalformedMessage(400, "X-Consignee tells no dest")
    return destination


def parse_time_limit(headers: dict[str, str], default: int) -> int:
    """Nanoseconds in which the callback may be delivered, as told, or else as its class has them; raises Malformed."""
    if "req-deadline-ms" not in headers:
        return default
    milliseconds = parse_number(headers["req-deadline-ms"])
    if milliseconds is None:
        raise http.MalformedMessage(400, "Req-Deadline-Ms is not a whole number")
    return min(milliseconds * MS, MAX_TIME_LIMIT)


def is_plain_text(text: str) -> bool:
    """Whether a text may be an id or a key."""
    return (
        len(text) <= MAX_TEXT_LENGTH and text.isascii() and text.isprintable() and " " not in text
    )


def parse_number(text: str) -> Optional[int]:
    """A whole number of no more digits than any figure here has, or None."""
    return (
        int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS else None
    )


def format_seconds(span: int) -> str:
    """Nanoseconds as decimal seconds, rounded up to a millisecond."""
    millis = -(-span // MS)
    return f"{millis // 1000}.{millis % 1000:03d}"
