"""What a client hands in, checked: from a request's headers and body to a callback, or the error that the client is told."""

from typing import Optional

from molehill.config import MS, SECOND
from molehill.core import events as ev
from molehill.http import parser as http

LONGEST = 24 * 3600 * SECOND  # no deadline is taken as further off: keeps figures sane
TEXT_MOST = 1024  # characters of ids and keys; they are held and logged
NUMBER_DIGITS = 15


def fresh(headers: dict[str, str], body: bytes, config, now: int) -> ev.Submission:
    """The callback that a request hands in at `now`, in nanoseconds; raises Malformed with what is wrong."""
    ident, kind = headers.get("req-id", ""), headers.get("req-kind", "")
    if not ident or not plain(ident):
        raise http.Malformed(400, "Req-Id is missing or not an id")
    if kind not in config.categories:
        raise http.Malformed(400, "Req-Kind is not a class that is served here")
    category = config.categories[kind]
    row = config.settings.callback_classes[category]
    key = http.cookie(headers, "subject") if row.ordered else None
    mark = headers.get("idempotency-key")
    destination, span = destination_of(headers), span_of(headers, row.time_limit)
    for text in (key, mark):
        if text is not None and not plain(text):
            raise http.Malformed(400, "a key that is too long or not printable")
    tenant = config.tenants.get(headers.get("req-owner", ""), 0)
    return ev.Submission(ident, category, tenant, key or None, destination, now + span, mark, body)


def destination_of(headers: dict[str, str]) -> int:
    """The last `dest` that the header tells; raises Malformed if it tells none."""
    destination = None
    for part in headers.get("x-consignee", "").replace(";", ",").split(","):
        name, _, value = part.strip().partition("=")
        if name == "dest":
            destination = number(value)
    if destination is None:
        raise http.Malformed(400, "X-Consignee tells no dest")
    return destination


def span_of(headers: dict[str, str], abandon: int) -> int:
    """Nanoseconds in which the callback may be delivered, as told, or else as its class has them; raises Malformed."""
    if "req-deadline-ms" not in headers:
        return abandon
    given = number(headers["req-deadline-ms"])
    if given is None:
        raise http.Malformed(400, "Req-Deadline-Ms is not a whole number")
    return min(given * MS, LONGEST)


def plain(text: str) -> bool:
    """Whether a text may be an id or a key."""
    return len(text) <= TEXT_MOST and text.isascii() and text.isprintable() and " " not in text


def number(text: str) -> Optional[int]:
    """A whole number of no more digits than any figure here has, or None."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= NUMBER_DIGITS else None


def seconds(span: int) -> str:
    """Nanoseconds as decimal seconds, rounded up to a millisecond."""
    millis = -(-span // MS)
    return f"{millis // 1000}.{millis % 1000:03d}"
