"""Rules on the relay's process: it runs, serves, keeps its limits, and sends what clients sent.

Each is handed a `History` and returns `Finding`s. They use none of the relay's code.
"""

from typing import Iterator, Optional

from molehill.soak.finding import Finding
from molehill.soak.history import (
    Answered,
    Call,
    HandedIn,
    History,
    Malformed,
    Message,
    OverLimit,
    Process,
)

CRASHED, NOT_STARTED, HUNG, OVER_LIMIT, NOT_HANDED_IN, WRONG_HOST = (
    "crashed",
    "did not start",
    "answered nobody",
    "over a limit",
    "sent what no client handed in",
    "sent to a host of another destination",
)
NOT_READY = "not ready"  # text of a `Process` event
CRASH_PREFIX = "crashed: "
# A relay that serves answers or refuses each request in a fraction of it.
MAX_SILENCE_S = 3.0


def crash_text(code: int) -> str:
    """Returns the text of the `Process` event for an exit that nobody asked for."""
    return f"{CRASH_PREFIX}{code}"


def crashed(history: History) -> list[Finding]:
    """Reports exits of the relay's process that the rig did not cause."""
    return [
        Finding(CRASHED, event.at, "", event.what)
        for event in history.of_type(Process)
        if event.what.startswith(CRASH_PREFIX)
    ]


def did_not_start(history: History) -> list[Finding]:
    """Reports processes that were not ready in time after their start."""
    return [
        Finding(NOT_STARTED, event.at, "", event.what)
        for event in history.of_type(Process)
        if event.what == NOT_READY
    ]


def over_limits(history: History) -> list[Finding]:
    """Reports when the process held more than its configuration allows, once for each resource."""
    found: dict[str, Finding] = {}
    for event in history.of_type(OverLimit):
        text = f"{event.used} of {event.limit} {event.resource}"
        found.setdefault(event.resource, Finding(OVER_LIMIT, event.at, "", text))
    return list(found.values())


def answered_nobody(history: History) -> list[Finding]:
    """Reports spans in which a ready process answered none of the requests that clients wrote."""
    silent_since, found = None, []
    for event in history.of_type(Process, HandedIn, Answered):
        if isinstance(event, Process):
            silent_since = event.at if event.what == "ready" else None
        elif isinstance(event, Answered):
            silent_since = None if silent_since is None else event.at
        elif silent_since is not None and event.at - silent_since > MAX_SILENCE_S:
            text = f"no answer to anybody since {silent_since:.3f}"
            found.append(Finding(HUNG, event.at, event.id, text, stamped=silent_since))
            silent_since = None
    return found


def calls_with_requests(history: History) -> Iterator[tuple[Call, Optional[Message]]]:
    """Yields each call whose contents are known, with what its client handed in; None: nobody did."""
    messages: dict[str, Message] = {}
    for event in history.of_type(HandedIn, Call):
        if event.message is None:
            continue
        if isinstance(event, HandedIn):
            messages[event.id] = event.message
        else:
            yield event, messages.get(event.id)


def not_handed_in(history: History) -> list[Finding]:
    """Reports calls with other contents than their request, or with none that a client sent."""
    found = [
        Finding(NOT_HANDED_IN, event.at, "", f"{event.host}: {event.text}")
        for event in history.of_type(Malformed)
    ]
    for call, sent in calls_with_requests(history):
        contents = (call.message.idempotency_key, call.message.body)
        if sent is None or contents != (sent.idempotency_key, sent.body):
            text = f"{call.host} read {call.message}"
            found.append(Finding(NOT_HANDED_IN, call.at, call.id, text[:200]))
    return found


def sent_to_wrong_host(history: History) -> list[Finding]:
    """Reports calls to a host of another destination than the client's."""
    return [
        Finding(WRONG_HOST, call.at, call.id, call.host)
        for call, sent in calls_with_requests(history)
        if sent is not None and sent.destination != call.message.destination
    ]


PROCESS_RULES = (
    crashed,
    did_not_start,
    over_limits,
    answered_nobody,
    not_handed_in,
    sent_to_wrong_host,
)
