"""Drives the core: hands it events, carries out its effects in order, and has the module stepped in batches."""
from collections import Counter

from molehill.config import MS
from molehill.core import events as ev
from molehill.holds import counts, holds


class Engine:
    def __init__(self, scheduler, core, store, log, period):
        self.scheduler, self.core, self.store, self.log, self.period = scheduler, core, store, log, period
        self.clock, self.queue, self.busy = scheduler.clock, [], False
        self.last, self.planned, self.stuck = 0, None, False
        self.clients = self.hosts = self.notices = self.discovery = None     # set when wiring

    def post(self, event) -> None:
        """Takes an event at once; one that comes from carrying out effects waits for the rest of them."""
        self.queue.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.queue:
                self.carry(self.core.reduce(self.clock(), self.queue.pop(0)))
            self.keep_small()
        finally:
            self.busy = False
            self.plan()

    def freeze(self) -> None:
        """Nothing changes any more: what comes waits, for `thaw` or for nobody."""
        self.busy = True

    def thaw(self) -> None:
        self.busy = False
        self.post(ev.Step())

    def keep_small(self) -> None:
        if self.store.wants_rewrite():
            failed, self.stuck = self.stuck, not self.store.rewrite(self.core.snapshot())
            if self.stuck and not failed:
                self.log.warning("log not rewritten", size=self.store.size)

    def carry(self, effects) -> None:
        rows = []
        for effect in effects:
            kind = type(effect)
            if kind is ev.Append:
                rows.append((effect.record, effect.body))
                continue
            rows = self.flush(rows)
            try:
                self.carry_out(effect, kind)
            except Exception as error:     # the effects that come after it still go
                holds(False, "effect", what=kind.__name__, error=repr(error))
        self.flush(rows)

    def carry_out(self, effect, kind) -> None:
        if kind is ev.Answer:
            self.clients.answer(effect)
        elif kind is ev.Call:
            self.hosts.call(effect)
        elif kind is ev.Notify:
            self.notices.notify(effect)
        elif kind is ev.CloseIdle:
            self.hosts.close_idle(effect.host)
        elif kind is ev.Abort:
            self.hosts.abort(effect.call)
        elif kind is ev.Watch:
            self.discovery.watch()
        else:
            self.log.info(effect.text)

    def flush(self, rows):
        """Writes records; what the log does not take, not even written anew, goes back to the core."""
        if rows and not self.store.append(rows) and not self.store.rewrite(self.core.snapshot()):
            self.log.error("log full or failing", records=len(rows), size=self.store.size)
            self.queue.append(ev.Unlogged([record for record, _ in rows]))
        return []

    def plan(self) -> None:
        """Has the module stepped as soon as the period allows if anything came in, else when it is due."""
        due = self.clock() if self.core.inbox else self.core.next_step()
        if due is None:
            return
        due = max(due, self.last + self.period)
        if self.planned is None or due < self.planned:
            self.planned = due
            self.scheduler.at(due, self.step, due)

    def step(self, planned) -> None:
        if planned != self.planned:
            return                         # an earlier one took its place
        self.planned, self.last = None, self.clock()
        self.post(ev.Step())

    COUNTS_EVERY = 10_000 * MS             # a line on what was done, unless nothing was

    def keep_counting(self) -> None:
        self.scheduler.at(self.clock() + self.COUNTS_EVERY, self.keep_counting)
        done, self.hosts.counts = dict(sorted(self.hosts.counts.items())), Counter()
        came, self.clients.counts = dict(sorted(self.clients.counts.items(), key=str)), Counter()
        stood, self.scheduler.most_stood = self.scheduler.most_stood, 0
        if done or came or self.core.held:
            self.log.info("counts", clients=came, stood_ms=stood // MS, held=len(self.core.held), out=self.hosts.out, outcomes=done,
                          notices=len(self.notices.waiting), log_bytes=self.store.size, broken=sum(counts.values()))

    FLUSH_EVERY = 100 * MS                 # for log lines that nobody took at once

    def keep_flushing(self, sink) -> None:
        self.scheduler.at(self.clock() + self.FLUSH_EVERY, self.keep_flushing, sink)
        sink.flush()
