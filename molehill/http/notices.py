"""Final notices to the platform: each is sent again until it is answered.

`Notices.send_notice` is handed an `ev.Notify` by the core; the ids of answered notices are handed
to `post` in an `ev.NoticesDelivered`.
"""

import json

from molehill.config import MS
from molehill.core import events as ev
from molehill.http import parser as http
from molehill.http.stream import HttpStream
from molehill.runtime.stream import ConnectionBroken, PersistentConnection, TimedOut
from molehill.runtime.trace import NO_TRACE, Step

# notices in one request: less than 64 KiB even with the longest ids, of 1,024 characters
MAX_BATCH = 50
# An answer normally comes at once; a lost request is sent again within the 300 ms of the rules.
FIRST_TIMEOUT = 120 * MS
# Applies from the second quick failure on, doubled each time: a few more tries fit into the 300 ms.
RETRY_DELAY = 10 * MS
# The longest wait for an answer while none comes; half of it is the longest pause between tries.
MAX_TIMEOUT = 2000 * MS


class UnexpectedStatus(ConnectionBroken):
    """The platform answered with a status other than 204."""


class Notices:
    """Sends notices in batches, and again until they are answered.

    Each batch gets a connection of its own: all answers are alike, so that on one that had answered
    before a late copy would look like the answer to this batch.
    """

    def __init__(self, scheduler, config, budget, post):
        self.scheduler, self.config, self.post = scheduler, config, post
        self.clock, self.unanswered, self.task = scheduler.clock, {}, None
        self.scheduled = {}  # notices that must not be sent yet, by id
        self.is_backing_off, self.failed_at, self.handed_over = False, 0, {}
        # `sent_at`: when sending the present batch began; `was_cut_short`: whether the wait for its
        # answer was cut short for a new notice
        self.sent_at, self.was_cut_short = 0, False
        self.trace = NO_TRACE
        self.connection = PersistentConnection(
            scheduler, lambda: config.discovery, "notices", budget, HttpStream
        )

    def send_notice(self, effect) -> None:
        """Sends a notice at its `not_before`; a later effect for the same id replaces that time."""
        if effect.id in self.unanswered:
            return
        if effect.not_before > self.clock():
            self.scheduled[effect.id] = effect
            self.scheduler.call_at(effect.not_before, self._send_scheduled, effect)
        else:
            self.scheduled.pop(effect.id, None)
            self._enqueue(effect)

    def _send_scheduled(self, effect) -> None:
        if self.scheduled.get(effect.id) is effect:
            del self.scheduled[effect.id]
            self._enqueue(effect)

    def _enqueue(self, effect) -> None:
        self.unanswered[effect.id] = effect
        if self.task is None:
            self.task = self.scheduler.spawn_supervised(self._send_all)
        # The failures of other notices must not make a new one late.
        elif self.is_backing_off:
            self.scheduler.call_at(self.failed_at + RETRY_DELAY, self._retry_now)
        else:
            self.scheduler.call_at(self.sent_at + FIRST_TIMEOUT, self._cut_wait_short, self.sent_at)

    def _retry_now(self) -> None:
        if self.is_backing_off and self.clock() >= self.failed_at + RETRY_DELAY:
            self.scheduler.resume(self.task)

    def _cut_wait_short(self, sent_at: int) -> None:
        """Stops waiting for the present batch's answer, so that a new notice is sent in time.

        After lost answers the timeout of the others is longer than the rules leave for the new one.
        """
        if self.task is not None and not self.is_backing_off and self.sent_at == sent_at:
            self.was_cut_short = True
            self.connection.close()

    def is_quiescent(self) -> bool:
        """Whether no notice waits for its answer.

        Those that must not be sent yet reach the next process by the log, as all pending notices
        do.
        """
        return not self.unanswered

    @property
    def pending_count(self) -> int:
        """Returns the number of notices that are not answered yet."""
        return len(self.unanswered) + len(self.scheduled)

    def hand_over(self) -> None:
        """Stops sending.

        The next process sends the unanswered notices, which it finds pending in the log.
        """
        self.handed_over, self.unanswered, self.scheduled = (
            {**self.unanswered, **self.scheduled},
            {},
            {},
        )
        self.connection.close()

    def take_back(self) -> None:
        """Sends the handed-over notices after all, since the next process is gone."""
        handed_over, self.handed_over = self.handed_over, {}
        for notice in handed_over.values():
            self.send_notice(notice)

    def change_address(self) -> None:
        """Closes the connection: unanswered notices are sent again, to the new address."""
        self.connection.close()

    def _send_all(self) -> None:
        failures, batch_limit = 0, MAX_BATCH
        while self.unanswered:
            batch = list(self.unanswered.values())[:batch_limit]
            timeout = min(FIRST_TIMEOUT << min(failures, 8), MAX_TIMEOUT)
            self.sent_at = self.clock()
            try:
                self._send_batch(batch, self.sent_at + timeout)
            except (ConnectionBroken, TimedOut, http.MalformedMessage) as error:
                self.connection.close()
                failures += 1
                # A notice that the platform declines must not hold up the others: they are sent one
                # by one, and the declined one last.
                if isinstance(error, UnexpectedStatus):
                    batch_limit = 1
                    if batch[0].id in self.unanswered:
                        self.unanswered[batch[0].id] = self.unanswered.pop(batch[0].id)
                # The first failure may concern this connection alone: retried at once on a new one.
                was_cut_short, self.was_cut_short = self.was_cut_short, False
                if failures > 1 and not was_cut_short:
                    self.is_backing_off, self.failed_at = True, self.clock()
                    self.scheduler.sleep_until(
                        self.failed_at + min(RETRY_DELAY << min(failures, 8), MAX_TIMEOUT) // 2
                    )
                    self.is_backing_off = False
                continue
            failures, batch_limit = 0, min(2 * batch_limit, MAX_BATCH)
            for notice in batch:
                self.unanswered.pop(notice.id, None)
                self.trace.record(Step.NOTICE_ANSWERED, notice.id)
            self.post(ev.NoticesDelivered([notice.id for notice in batch]))
        self.task = None

    def _send_batch(self, batch, until) -> None:
        stream = self.connection.get_stream(until)
        rows = []
        for notice in batch:
            row = {"ref": notice.id, "result": "bounced" if notice.rejected else "dead"}
            if notice.rejected and notice.retry_after:
                row["wait_ms"] = -(-notice.retry_after // MS)
            rows.append(json.dumps(row, separators=(",", ":")) + "\n")
        data = http.build_request(
            "POST", "/v2/finals", "%s:%d" % self.config.discovery, (), "".join(rows).encode()
        )
        stream.send(data, until)
        for notice in batch:
            self.trace.record(Step.NOTICE_WRITTEN, notice.id, denied=notice.rejected)
        head = stream.read_response_head(until)
        if head.status != 204:
            raise UnexpectedStatus(f"status {head.status}")
        self.connection.close()
