"""Notices to the platform: each is sent again until it is answered."""

import json

from molehill.config import MS
from molehill.core import events as ev
from molehill.http import parser as http
from molehill.http.stream import HttpStream
from molehill.runtime.stream import Broken, Late, Single
from molehill.runtime.trace import NO_TRACE, Step

# notices in one request: under 64 KiB with the longest ids, 1,024 characters
BATCH = 50
# an answer comes at once; a lost request is sent again inside the rules' 300 ms
FIRST_WITHIN = 120 * MS
# after a second quick failure, then doubled: a few more fit into the 300 ms
PAUSE = 10 * MS
# at most for an answer, half of it between tries, while none comes
LONGEST = 2000 * MS
IDLE = 2000 * MS  # a connection that stood longer is not used again


class Declined(Broken):
    """Answered, but not by 204."""


class Notices:
    def __init__(self, scheduler, config, budget, post):
        self.scheduler, self.config, self.post, self.answered = scheduler, config, post, 0
        self.clock, self.waiting, self.task = scheduler.clock, {}, None
        self.later = {}  # those that may not go yet
        self.resting, self.failed, self.given = False, 0, {}
        # when the notices that wait for their answer were begun; `hurried`: cut short for a new one
        self.posted, self.hurried = 0, False
        self.trace = NO_TRACE
        self.line = Single(scheduler, lambda: config.discovery, "notices", budget, HttpStream)

    def notify(self, effect) -> None:
        """Sends it, at its time; told again with an earlier time, it goes then."""
        if effect.id in self.waiting:
            return
        if effect.not_before > self.clock():
            self.later[effect.id] = effect
            self.scheduler.at(effect.not_before, self._now, effect)
        else:
            self.later.pop(effect.id, None)
            self._send(effect)

    def _now(self, effect) -> None:
        if self.later.get(effect.id) is effect:
            del self.later[effect.id]
            self._send(effect)

    def _send(self, effect) -> None:
        self.waiting[effect.id] = effect
        if self.task is None:
            self.task = self.scheduler.spawn_kept(self._send_all)
        # danger: a new one shall not be late for what became of others
        elif self.resting:
            self.scheduler.at(self.failed + PAUSE, self._wake)
        else:
            self.scheduler.at(self.posted + FIRST_WITHIN, self._hurry, self.posted)

    def _wake(self) -> None:
        if self.resting and self.clock() >= self.failed + PAUSE:
            self.scheduler.resume(self.task)

    def _hurry(self, posted: int) -> None:
        """Danger: after lost answers the others' notices wait longer for theirs than this one has time."""
        if self.task is not None and not self.resting and self.posted == posted:
            self.hurried = True
            self.line.close()

    def calm(self) -> bool:
        """Whether none is out. Those that may not go yet pass to a next process by the log, like all that are owed."""
        return not self.waiting

    @property
    def owed(self) -> int:
        """Notices that are not answered yet."""
        return len(self.waiting) + len(self.later)

    def give(self) -> None:
        """What is not answered is the next process's to send; there it is owed by the log."""
        self.given, self.waiting, self.later = {**self.waiting, **self.later}, {}, {}
        self.line.close()

    def go_on(self) -> None:
        """Danger: the next process is gone, and what it was to send is still owed."""
        given, self.given = self.given, {}
        for notice in given.values():
            self.notify(notice)

    def move(self) -> None:
        """The platform has another address: what was posted and not answered goes there too."""
        self.line.close()

    def _send_all(self) -> None:
        tries, most = 0, BATCH
        while self.waiting:
            batch = list(self.waiting.values())[:most]
            span = min(FIRST_WITHIN << min(tries, 8), LONGEST)
            self.posted = self.clock()
            try:
                self._post(batch, self.posted + span)
            except (Broken, Late, http.Malformed) as error:
                self.line.close()
                tries += 1
                # one that can't be read shall not hold up the others
                if isinstance(error, Declined):
                    most = 1
                    if batch[0].id in self.waiting:
                        self.waiting[batch[0].id] = self.waiting.pop(batch[0].id)
                # the first failure may be a kept connection's: at once on a new one
                hurried, self.hurried = self.hurried, False
                if tries > 1 and not hurried:
                    self.resting, self.failed = True, self.clock()
                    self.scheduler.sleep(self.failed + min(PAUSE << min(tries, 8), LONGEST) // 2)
                    self.resting = False
                continue
            tries, most = 0, min(2 * most, BATCH)
            for notice in batch:
                self.waiting.pop(notice.id, None)
                self.trace.record(Step.NOTICE_ANSWERED, notice.id)
            self.post(ev.NoticesDelivered([notice.id for notice in batch]))
        self.task = None

    def _post(self, batch, until) -> None:
        if self.clock() - self.answered > IDLE:
            self.line.close()
        stream = self.line.get(until)
        rows = []
        for notice in batch:
            row = {"ref": notice.id, "result": "bounced" if notice.rejected else "dead"}
            if notice.rejected and notice.retry_after:
                row["wait_ms"] = -(-notice.retry_after // MS)
            rows.append(json.dumps(row, separators=(",", ":")) + "\n")
        data = http.request(
            "POST", "/v2/finals", "%s:%d" % self.config.discovery, (), "".join(rows).encode()
        )
        stream.send(data, until)
        for notice in batch:
            self.trace.record(Step.NOTICE_WRITTEN, notice.id, denied=notice.rejected)
        head = stream.answer(until)
        if head.status != 204:
            raise Declined(f"status {head.status}")
        self.answered = self.clock()
        if not head.keep:
            self.line.close()
