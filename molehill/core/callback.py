"""Defines a callback as the reducer holds it, its states, and a call that has not ended."""

# States of a callback; the strings are written to log lines.
# RECEIVED: read from the client; the decision module has not received it yet.
# LOGGED: in the log, and the answer 202 has been requested.
# ACKNOWLEDGED: the client has been told that it is accepted.
# NOTICE_PENDING: ended, and the platform has not answered its final notice yet.
# COMPLETED: nothing is left to do for it.
RECEIVED, LOGGED, ACKNOWLEDGED, NOTICE_PENDING, COMPLETED = (
    "arrived",
    "taken",
    "held",
    "owed",
    "over",
)
NEXT_STATES = {
    None: (RECEIVED, ACKNOWLEDGED),
    RECEIVED: (LOGGED, COMPLETED),
    LOGGED: (ACKNOWLEDGED, NOTICE_PENDING, COMPLETED),
    ACKNOWLEDGED: (NOTICE_PENDING, COMPLETED),
    NOTICE_PENDING: (COMPLETED,),
    COMPLETED: (),
}
# log bytes of a callback besides its own text and body: fixed fields, attempts, its end
RECORD_OVERHEAD = 600


class Callback:
    """One callback, from its submission until it is completed.

    Times are nanoseconds of the relay's clock.
    """

    __slots__ = (
        "id",
        "callback_class",
        "tenant",
        "key",
        "destination",
        "deadline",
        "idempotency_key",
        "body",
        "state",
        "clients",
        "attempts",
        "ran_at",
        "ran_zone",
        "call",
        "current_attempt",
        "rejected",
        "retry_after",
        "log_bytes",
        "digest",
        "notice_not_before",
        "notice_not_after",
        "unread_calls",
    )

    def __init__(self, submission, digest):
        # identifies a copy of the request; None: unknown, as it was read from an older log
        self.digest = digest
        self.id, self.callback_class, self.tenant, self.key = (
            submission.id,
            submission.callback_class,
            submission.tenant,
            submission.key,
        )
        self.destination, self.deadline, self.idempotency_key, self.body = (
            submission.destination,
            submission.deadline,
            submission.idempotency_key,
            submission.body,
        )
        self.state, self.clients, self.call = None, [], None
        self.attempts, self.ran_at, self.ran_zone = 0, None, None
        # earliest time of its final notice: a call of it may still be on its way
        self.notice_not_before = 0
        # latest time of its final notice, if later than its deadline allows: the process that
        # accepted the callback has ended
        self.notice_not_after = 0
        # call that was given up -> until when its host may read it; None: there was none yet
        self.unread_calls = None
        # current_attempt: when the attempt in flight started, and its host's zone
        self.current_attempt, self.rejected, self.retry_after = None, False, 0
        self.log_bytes = (
            RECORD_OVERHEAD
            + 2 * (len(self.id) + len(self.key or "") + len(self.idempotency_key or ""))
            + len(self.body)
        )

    def add_unread_call(self, call: int, deadline: int) -> None:
        """Records that a call was given up, and that its host may read it until `deadline`."""
        if self.unread_calls is None:
            self.unread_calls = {}
        self.unread_calls[call] = deadline

    def earliest_notice(self) -> int:
        """Returns the time from which its notice can no longer be read before one of its calls."""
        return (
            max(self.notice_not_before, *self.unread_calls.values())
            if self.unread_calls
            else self.notice_not_before
        )


class PendingCall:
    """A call that is queued or in flight.

    `timeouts`: a (callback id, timeout in nanoseconds) for each callback. `is_logged`: its attempts
    are in the log, as its bytes may have been sent. `deadline`: when it is given up.
    """

    __slots__ = ("number", "host", "timeouts", "ids", "created_at", "is_logged", "deadline")

    def __init__(self, number, host, timeouts, now, is_logged=False):
        self.number, self.host, self.timeouts, self.created_at, self.is_logged = (
            number,
            host,
            timeouts,
            now,
            is_logged,
        )
        self.ids = [callback_id for callback_id, _ in timeouts]
        self.deadline = 0
