"""A callback as the core holds it, its states, and a call that is not over."""

# A callback. ARRIVED: read, the module has not seen it; TAKEN: in the log, 202 asked for; HELD: the client has
# heard; OWED: ended, its notice not answered yet; OVER: nothing is owed.
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
# bytes of the log for a callback beside its own text: fixed fields, launches, its end
RECORD_OVERHEAD = 600


class Callback:
    """One callback, from its hand-in until nothing is owed for it. Times are nanoseconds of the relay's clock."""

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
        # by which a copy is known; None: unknown, an older log's
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
        # its final notice goes no sooner: a call of it may still be on its way
        self.notice_not_before = 0
        # and this late at the most, where that is later than its time allows: it outlived a process
        self.notice_not_after = 0
        # calls of it that were given up -> until when their hosts may read them; None: there was none yet
        self.unread_calls = None
        # current_attempt: when the launch that is out went
        self.current_attempt, self.rejected, self.retry_after = None, False, 0
        self.log_bytes = (
            RECORD_OVERHEAD
            + 2 * (len(self.id) + len(self.key or "") + len(self.idempotency_key or ""))
            + len(self.body)
        )

    def add_unread_call(self, call: int, deadline: int) -> None:
        """That call of it was given up, and its host may read it till then."""
        if self.unread_calls is None:
            self.unread_calls = {}
        self.unread_calls[call] = deadline

    def earliest_notice(self) -> int:
        """When its notice can't be read before a call of it any more."""
        return (
            max(self.notice_not_before, *self.unread_calls.values())
            if self.unread_calls
            else self.notice_not_before
        )


class PendingCall:
    """A call that is parked or out; `is_logged`: the log has it, as its bytes may have gone; `deadline`: when it is given up."""

    __slots__ = ("number", "host", "timeouts", "ids", "created_at", "is_logged", "deadline")

    def __init__(self, number, host, timeouts, now, is_logged=False):
        self.number, self.host, self.timeouts, self.created_at, self.is_logged = (
            number,
            host,
            timeouts,
            now,
            is_logged,
        )
        self.ids = [number for number, _ in timeouts]
        self.deadline = 0
