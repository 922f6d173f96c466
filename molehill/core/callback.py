"""A callback as the core holds it, its states, and a call that is not over."""

# A callback. ARRIVED: read, the module has not seen it; TAKEN: in the log, 202 asked for; HELD: the client has
# heard; OWED: ended, its notice not answered yet; OVER: nothing is owed.
ARRIVED, TAKEN, HELD, OWED, OVER = "arrived", "taken", "held", "owed", "over"
NEXT = {
    None: (ARRIVED, HELD),
    ARRIVED: (TAKEN, OVER),
    TAKEN: (HELD, OWED, OVER),
    HELD: (OWED, OVER),
    OWED: (OVER,),
    OVER: (),
}
# bytes of the log for a callback beside its own text: fixed fields, launches, its end
RECORD_ROOM = 600


class Callback:
    """One callback, from its hand-in until nothing is owed for it. Times are nanoseconds of the relay's clock."""

    __slots__ = (
        "id",
        "category",
        "tenant",
        "key",
        "destination",
        "due",
        "mark",
        "body",
        "state",
        "clients",
        "launches",
        "ran_at",
        "ran_zone",
        "call",
        "sent",
        "denied",
        "wait",
        "room",
        "contents",
        "notice_from",
        "notice_latest",
        "unread",
    )

    def __init__(self, fresh, contents):
        # by which a copy is known; None: unknown, an older log's
        self.contents = contents
        self.id, self.category, self.tenant, self.key = (
            fresh.id,
            fresh.category,
            fresh.tenant,
            fresh.key,
        )
        self.destination, self.due, self.mark, self.body = (
            fresh.destination,
            fresh.due,
            fresh.mark,
            fresh.body,
        )
        self.state, self.clients, self.call = None, [], None
        self.launches, self.ran_at, self.ran_zone = 0, None, None
        # its final notice goes no sooner: a call of it may still be on its way
        self.notice_from = 0
        # and this late at the most, where that is later than its time allows: it outlived a process
        self.notice_latest = 0
        # calls of it that were given up -> until when their hosts may read them; None: there was none yet
        self.unread = None
        # sent: when the launch that is out went
        self.sent, self.denied, self.wait = None, False, 0
        self.room = (
            RECORD_ROOM
            + 2 * (len(self.id) + len(self.key or "") + len(self.mark or ""))
            + len(self.body)
        )

    def may_be_read(self, call: int, until: int) -> None:
        """That call of it was given up, and its host may read it till then."""
        if self.unread is None:
            self.unread = {}
        self.unread[call] = until

    def earliest_notice(self) -> int:
        """When its notice can't be read before a call of it any more."""
        return max(self.notice_from, *self.unread.values()) if self.unread else self.notice_from


class PendingCall:
    """A call that is parked or out; `begun`: the log has it, as its bytes may have gone; `until`: when it is given up."""

    __slots__ = ("number", "host", "spans", "ids", "since", "begun", "until")

    def __init__(self, number, host, spans, now, begun=False):
        self.number, self.host, self.spans, self.since, self.begun = number, host, spans, now, begun
        self.ids = [number for number, _ in spans]
        self.until = 0
