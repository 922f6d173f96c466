"""Drives the core: hands it events, carries out its effects in order, and has the module stepped in batches."""

from collections import Counter

from molehill.config import MS
from molehill.core import events as ev
from molehill.invariants import breach_counts, check_invariant
from molehill.runtime.trace import NO_TRACE, Step


class Engine:
    def __init__(self, scheduler, core, store, log, period, log_clock):
        self.scheduler, self.core, self.store, self.log, self.period = (
            scheduler,
            core,
            store,
            log,
            period,
        )
        self.clock, self.queue, self.busy = scheduler.clock, [], False
        self.trace = NO_TRACE  # set when wiring
        self.log_clock = log_clock  # of molehill/log_clock.py
        self.last, self.planned = 0, None
        # rows that the log would not take, and has to have before any other
        self.unwritten = []
        self.rewrite_at = 0  # no rewrite is tried sooner
        self.refused = 0  # records refused since the log stopped taking them
        # notices of ends that stand in rows that are not written yet, by id
        self.withheld: dict[str, ev.Notify] = {}
        self.clients = self.hosts = self.notices = self.discovery = None  # set when wiring

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
        if self.store.needs_rewrite():
            self.rewrite()

    REWRITE_AGAIN = 100 * MS  # a failed rewrite costs as much as one that succeeds

    def rewrite(self) -> bool:
        """Has the log written anew with what is owed now, unless that failed a moment ago; whether it was."""
        if self.clock() < self.rewrite_at:
            return False
        rows = [(self.log_clock.as_record(self.scheduler.machine), b"")]
        rows += [(self.log_clock.to_log(record), body) for record, body in self.core.snapshot()]
        if not self.store.rewrite(rows):
            if not self.rewrite_at:
                self.log.warning("log not rewritten", size=self.store.size)
            self.rewrite_at = self.clock() + self.REWRITE_AGAIN
            return False
        # a rewrite has all that was unwritten
        self.rewrite_at, self.unwritten = 0, []
        self.release_all()
        return True

    TOGETHER_MOST = 256 * 1024  # bytes of bodies in one append, of several

    def carry(self, effects) -> None:
        """Writes all records of one event, then carries out the rest in order. Danger: with a write for each of a batch, a disk that
        takes some ms for it stops the loop."""
        rows: list[tuple[dict, bytes]] = []
        size = 0
        for effect in effects:
            if type(effect) is not ev.Append:
                continue
            if rows and size + len(effect.body) > self.TOGETHER_MOST:
                self.flush(rows)
                rows, size = [], 0
            rows.append((effect.record, effect.body))
            size += len(effect.body)
        self.flush(rows)
        for effect in effects:
            kind = type(effect)
            if kind is ev.Append:
                continue
            try:
                self.carry_out(effect, kind)
            except Exception as error:  # the effects that come after it still go
                check_invariant(False, "effect", what=kind.__name__, error=repr(error))

    def carry_out(self, effect, kind) -> None:
        if kind is ev.Answer:
            self.trace.record(Step.ANSWERED, effect.id, status=effect.status, why=effect.reason)
            self.clients.answer_request(effect)
        elif kind is ev.Call:
            self.hosts.start_call(effect)
        elif kind is ev.Notify:
            self.trace.record(
                Step.ENDED, effect.id, denied=effect.rejected, not_before=effect.not_before
            )
            self.notify(effect)
        elif kind is ev.CloseIdle:
            self.hosts.close_idle_connections(effect.host)
        elif kind is ev.Abort:
            self.hosts.abort_call(effect.call)
        elif kind is ev.WatchHostList:
            self.discovery.start_watch()
        elif kind is ev.NotSent:
            self.log_not_sent(effect)
        else:
            self.log.info(effect.text)

    def notify(self, effect) -> None:
        """Danger: an end that the log did not take is forgotten by a kill, and the next process tries what had its end. So it is told
        once the log has it, or once its time is up, as nothing is tried behind that."""
        if self.clock() < effect.deadline and any(
            record["k"] == "owed" and record["id"] == effect.id for record, _ in self.unwritten
        ):
            self.withheld[effect.id] = effect
            self.scheduler.at(effect.deadline, self.tell_unlogged, effect.id)
        else:
            self.notices.send_notice(effect)

    def tell_unlogged(self, number: str) -> None:
        """The time is up of a callback whose end is withheld."""
        if self.withheld.pop(number, None) is not None:
            self.post(ev.EndNotLogged(number))

    def release(self, number: str) -> None:
        effect = self.withheld.pop(number, None)
        if effect is not None:
            self.notices.send_notice(effect)

    def release_all(self) -> None:
        for number in list(self.withheld):
            self.release(number)

    NOT_SENT_LINES = 20  # of each reason, between two lines of counts

    def log_not_sent(self, effect) -> None:
        """A line for each of the first callbacks of a reason, at error level for what a fault of this relay alone can bring about."""
        if self.core.refusal_counts[effect.reason] > self.NOT_SENT_LINES:
            return
        say = self.log.error if effect.reason.is_fault else self.log.debug
        say(
            "not sent",
            id=effect.id,
            host=effect.host,
            why=effect.reason.name.lower(),
            state=effect.state,
            left_ms=effect.time_left // MS,
            launches=effect.attempts,
        )

    # kinds of record that the core can do without: what they tell has not happened yet
    REVERSIBLE = ("taken", "launch")

    def flush(self, rows) -> None:
        """Writes records. Of what the log does not take, not even written anew, the reversible goes back to the core, and the rest
        is written before anything else is."""
        if not rows:
            return
        rows = [(self.log_clock.to_log(record), body) for record, body in rows]
        if self.write(self.unwritten + rows):
            return
        if not self.refused:
            self.log.error("log full or failing", records=len(rows), size=self.store.size)
            self.scheduler.at(self.clock() + self.PROBE_EVERY, self.probe)
        self.refused += len(rows)
        self.unwritten += [row for row in rows if row[0]["k"] not in self.REVERSIBLE]
        self.queue.append(
            ev.AppendFailed([record for record, _ in rows if record["k"] in self.REVERSIBLE])
        )

    def write(self, rows) -> bool:
        """Whether the log has these rows now, and with them all that was unwritten."""
        if not self.store.append(rows) and not self.rewrite():
            return False
        self.unwritten = []
        self.release_all()
        if self.refused:
            self.log.warning("log written again", refused=self.refused)
            self.refused = 0
            self.queue.append(ev.LogWritable())
        return True

    PROBE_EVERY = 100 * MS  # while the log takes nothing

    def probe(self) -> None:
        """Looks whether the log takes records again, as no call is begun until it does."""
        if not self.refused:
            return
        if self.busy or not self.write(
            self.unwritten or [(self.log_clock.as_record(self.scheduler.machine), b"")]
        ):
            self.scheduler.at(self.clock() + self.PROBE_EVERY, self.probe)
        elif self.queue:
            self.post(self.queue.pop(0))

    def plan(self) -> None:
        """Has the module stepped as soon as the period allows if anything came in, else when it is due."""
        due = self.clock() if self.core.inbox else self.core.next_step_at()
        if due is None:
            return
        due = max(due, self.last + self.period)
        if self.planned is None or due < self.planned:
            self.planned = due
            self.scheduler.at(due, self.step, due)

    def step(self, planned) -> None:
        if planned != self.planned:
            return  # an earlier one took its place
        self.planned, self.last = None, self.clock()
        self.post(ev.Step())

    COUNTS_EVERY = 10_000 * MS  # a line on what was done, unless nothing was

    def keep_counting(self) -> None:
        self.scheduler.at(self.clock() + self.COUNTS_EVERY, self.keep_counting)
        done, self.hosts.counts = dict(sorted(self.hosts.counts.items())), Counter()
        came, self.clients.counts = dict(sorted(self.clients.counts.items(), key=str)), Counter()
        stood, self.scheduler.most_stood = self.scheduler.most_stood, 0
        kept_back, self.core.refusal_counts = (
            {why.name.lower(): n for why, n in self.core.refusal_counts.items()},
            Counter(),
        )
        if done or came or self.core.callbacks:
            self.log.info(
                "counts",
                clients=came,
                stood_ms=stood // MS,
                held=len(self.core.callbacks),
                out=self.hosts.calls_in_flight,
                outcomes=done,
                not_sent=kept_back,
                notices=self.notices.pending_count,
                log_bytes=self.store.size,
                broken=sum(breach_counts.values()),
            )

    FLUSH_EVERY = 100 * MS  # for log lines that nobody took at once

    def keep_flushing(self, sink) -> None:
        self.scheduler.at(self.clock() + self.FLUSH_EVERY, self.keep_flushing, sink)
        sink.flush()
