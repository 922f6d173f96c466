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
        self.clock, self.queue, self.is_busy = scheduler.clock, [], False
        self.trace = NO_TRACE  # set when wiring
        self.log_clock = log_clock  # of molehill/log_clock.py
        self.last_step_at, self.planned_step_at = 0, None
        # rows that the log would not take, and has to have before any other
        self.unwritten_rows = []
        self.next_rewrite_at = 0  # no rewrite is tried sooner
        self.refused_records = 0  # records refused since the log stopped taking them
        # notices of ends that stand in rows that are not written yet, by id
        self.withheld_notices: dict[str, ev.Notify] = {}
        self.clients = self.hosts = self.notices = self.discovery = None  # set when wiring

    def post_event(self, event) -> None:
        """Takes an event at once; one that comes from carrying out effects waits for the rest of them."""
        self.queue.append(event)
        if self.is_busy:
            return
        self.is_busy = True
        try:
            while self.queue:
                self.execute_effects(self.core.reduce(self.clock(), self.queue.pop(0)))
            self.rewrite_log_if_needed()
        finally:
            self.is_busy = False
            self.plan_step()

    def suspend(self) -> None:
        """Nothing changes any more: what comes waits, for `resume` or for nobody."""
        self.is_busy = True

    def resume(self) -> None:
        self.is_busy = False
        self.post_event(ev.Step())

    def rewrite_log_if_needed(self) -> None:
        if self.store.needs_rewrite():
            self.rewrite_log()

    REWRITE_RETRY_DELAY = 100 * MS  # a failed rewrite costs as much as one that succeeds

    def rewrite_log(self) -> bool:
        """Has the log written anew with what is owed now, unless that failed a moment ago; whether it was."""
        if self.clock() < self.next_rewrite_at:
            return False
        rows = [(self.log_clock.as_record(self.scheduler.machine), b"")]
        rows += [(self.log_clock.to_log(record), body) for record, body in self.core.snapshot()]
        if not self.store.rewrite(rows):
            if not self.next_rewrite_at:
                self.log.warning("log not rewritten", size=self.store.size)
            self.next_rewrite_at = self.clock() + self.REWRITE_RETRY_DELAY
            return False
        # a rewrite has all that was unwritten
        self.next_rewrite_at, self.unwritten_rows = 0, []
        self.release_all_notices()
        return True

    MAX_APPEND_BYTES = 256 * 1024  # bytes of bodies in one append, of several

    def execute_effects(self, effects) -> None:
        """Writes all records of one event, then carries out the rest in order. Danger: with a write for each of a batch, a disk that
        takes some ms for it stops the loop."""
        rows: list[tuple[dict, bytes]] = []
        size = 0
        for effect in effects:
            if type(effect) is not ev.Append:
                continue
            if rows and size + len(effect.body) > self.MAX_APPEND_BYTES:
                self.write_rows(rows)
                rows, size = [], 0
            rows.append((effect.record, effect.body))
            size += len(effect.body)
        self.write_rows(rows)
        for effect in effects:
            effect_type = type(effect)
            if effect_type is ev.Append:
                continue
            try:
                self.execute_effect(effect, effect_type)
            except Exception as error:  # the effects that come after it still go
                check_invariant(False, "effect", what=effect_type.__name__, error=repr(error))

    def execute_effect(self, effect, effect_type) -> None:
        if effect_type is ev.Answer:
            self.trace.record(Step.ANSWERED, effect.id, status=effect.status, why=effect.reason)
            self.clients.answer_request(effect)
        elif effect_type is ev.Call:
            self.hosts.start_call(effect)
        elif effect_type is ev.Notify:
            self.trace.record(
                Step.ENDED, effect.id, denied=effect.rejected, not_before=effect.not_before
            )
            self.notify(effect)
        elif effect_type is ev.CloseIdle:
            self.hosts.close_idle_connections(effect.host)
        elif effect_type is ev.Abort:
            self.hosts.abort_call(effect.call)
        elif effect_type is ev.WatchHostList:
            self.discovery.start_watch()
        elif effect_type is ev.NotSent:
            self.log_not_sent(effect)
        else:
            self.log.info(effect.text)

    def notify(self, effect) -> None:
        """Danger: an end that the log did not take is forgotten by a kill, and the next process tries what had its end. So it is told
        once the log has it, or once its time is up, as nothing is tried behind that."""
        if self.clock() < effect.deadline and any(
            record["k"] == "owed" and record["id"] == effect.id for record, _ in self.unwritten_rows
        ):
            self.withheld_notices[effect.id] = effect
            self.scheduler.call_at(effect.deadline, self.end_unlogged, effect.id)
        else:
            self.notices.send_notice(effect)

    def end_unlogged(self, callback_id: str) -> None:
        """The time is up of a callback whose end is withheld."""
        if self.withheld_notices.pop(callback_id, None) is not None:
            self.post_event(ev.EndNotLogged(callback_id))

    def release_notice(self, callback_id: str) -> None:
        effect = self.withheld_notices.pop(callback_id, None)
        if effect is not None:
            self.notices.send_notice(effect)

    def release_all_notices(self) -> None:
        for callback_id in list(self.withheld_notices):
            self.release_notice(callback_id)

    MAX_NOT_SENT_LINES = 20  # of each reason, between two lines of counts

    def log_not_sent(self, effect) -> None:
        """A line for each of the first callbacks of a reason, at error level for what a fault of this relay alone can bring about."""
        if self.core.refusal_counts[effect.reason] > self.MAX_NOT_SENT_LINES:
            return
        log_method = self.log.error if effect.reason.is_fault else self.log.debug
        log_method(
            "not sent",
            id=effect.id,
            host=effect.host,
            why=effect.reason.name.lower(),
            state=effect.state,
            left_ms=effect.time_left // MS,
            launches=effect.attempts,
        )

    # kinds of record that the core can do without: what they tell has not happened yet
    REVERSIBLE_KINDS = ("taken", "launch")

    def write_rows(self, rows) -> None:
        """Writes records. Of what the log does not take, not even written anew, the reversible goes back to the core, and the rest
        is written before anything else is."""
        if not rows:
            return
        rows = [(self.log_clock.to_log(record), body) for record, body in rows]
        if self.try_write(self.unwritten_rows + rows):
            return
        if not self.refused_records:
            self.log.error("log full or failing", records=len(rows), size=self.store.size)
            self.scheduler.call_at(self.clock() + self.LOG_PROBE_INTERVAL, self.probe_log)
        self.refused_records += len(rows)
        self.unwritten_rows += [row for row in rows if row[0]["k"] not in self.REVERSIBLE_KINDS]
        self.queue.append(
            ev.AppendFailed([record for record, _ in rows if record["k"] in self.REVERSIBLE_KINDS])
        )

    def try_write(self, rows) -> bool:
        """Whether the log has these rows now, and with them all that was unwritten."""
        if not self.store.append(rows) and not self.rewrite_log():
            return False
        self.unwritten_rows = []
        self.release_all_notices()
        if self.refused_records:
            self.log.warning("log written again", refused=self.refused_records)
            self.refused_records = 0
            self.queue.append(ev.LogWritable())
        return True

    LOG_PROBE_INTERVAL = 100 * MS  # while the log takes nothing

    def probe_log(self) -> None:
        """Looks whether the log takes records again, as no call is begun until it does."""
        if not self.refused_records:
            return
        if self.is_busy or not self.try_write(
            self.unwritten_rows or [(self.log_clock.as_record(self.scheduler.machine), b"")]
        ):
            self.scheduler.call_at(self.clock() + self.LOG_PROBE_INTERVAL, self.probe_log)
        elif self.queue:
            self.post_event(self.queue.pop(0))

    def plan_step(self) -> None:
        """Has the module stepped as soon as the period allows if anything came in, else when it is due."""
        due = self.clock() if self.core.inbox else self.core.next_step_at()
        if due is None:
            return
        due = max(due, self.last_step_at + self.period)
        if self.planned_step_at is None or due < self.planned_step_at:
            self.planned_step_at = due
            self.scheduler.call_at(due, self.run_step, due)

    def run_step(self, planned_at) -> None:
        if planned_at != self.planned_step_at:
            return  # an earlier one took its place
        self.planned_step_at, self.last_step_at = None, self.clock()
        self.post_event(ev.Step())

    COUNTS_INTERVAL = 10_000 * MS  # a line on what was done, unless nothing was

    def log_counts_periodically(self) -> None:
        self.scheduler.call_at(self.clock() + self.COUNTS_INTERVAL, self.log_counts_periodically)
        outcome_counts, self.hosts.counts = dict(sorted(self.hosts.counts.items())), Counter()
        client_counts, self.clients.counts = (
            dict(sorted(self.clients.counts.items(), key=str)),
            Counter(),
        )
        longest_stall, self.scheduler.longest_stall = self.scheduler.longest_stall, 0
        refusal_counts, self.core.refusal_counts = (
            {why.name.lower(): n for why, n in self.core.refusal_counts.items()},
            Counter(),
        )
        if outcome_counts or client_counts or self.core.callbacks:
            self.log.info(
                "counts",
                clients=client_counts,
                stood_ms=longest_stall // MS,
                held=len(self.core.callbacks),
                out=self.hosts.calls_in_flight,
                outcomes=outcome_counts,
                not_sent=refusal_counts,
                notices=self.notices.pending_count,
                log_bytes=self.store.size,
                broken=sum(breach_counts.values()),
            )

    FLUSH_INTERVAL = 100 * MS  # for log lines that nobody took at once

    def flush_periodically(self, sink) -> None:
        self.scheduler.call_at(self.clock() + self.FLUSH_INTERVAL, self.flush_periodically, sink)
        sink.flush()
