"""Drives the core: feeds it events, executes its effects in order, and steps the decision module.

Steps of the decision module are batched: each handles all events since the previous one.
"""

from collections import Counter

from molehill.config import MS
from molehill.core import events as ev
from molehill.invariants import breach_counts, check_invariant
from molehill.runtime.trace import NO_TRACE, Step


class Engine:
    """Connects the pure core to the log, the network and the scheduler."""

    def __init__(self, scheduler, core, store, log, period, log_clock):
        """`period`: least span between two steps, in nanoseconds; `log_clock`: a LogClock."""
        self.scheduler, self.core, self.store, self.log, self.period = (
            scheduler,
            core,
            store,
            log,
            period,
        )
        self.clock, self.queue, self.is_busy = scheduler.clock, [], False
        self.trace = NO_TRACE  # replaced by Process if tracing is on
        self.log_clock = log_clock
        self.last_step_at, self.planned_step_at = 0, None
        # Rows that the log refused; they are written before any others.
        self.unwritten_rows = []
        self.next_rewrite_at = 0  # no rewrite is attempted before this time
        self.refused_lines = 0  # log lines on refused addresses, since the last line of counts
        self.refused_records = 0  # since the log began to refuse records
        # Notices whose result is in a row that is not written yet, by callback id.
        self.withheld_notices: dict[str, ev.Notify] = {}
        self.clients = self.hosts = self.notices = self.discovery = None  # set by Process

    def post_event(self, event) -> None:
        """Handles an event at once, or, if effects are being executed, after the rest of them."""
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
        """Stops handling events. Later ones are queued until `resume`, which may never come."""
        self.is_busy = True

    def resume(self) -> None:
        """Handles the events that were queued since `suspend`, and later ones at once."""
        self.is_busy = False
        self.post_event(ev.Step())

    def rewrite_log_if_needed(self) -> None:
        """Rewrites the log if the store says that this pays off."""
        if self.store.needs_rewrite():
            self.rewrite_log()

    REWRITE_RETRY_DELAY = 100 * MS  # a failed rewrite costs as much as one that succeeds

    def rewrite_log(self) -> bool:
        """Rewrites the log with the state that is pending now; returns whether it was rewritten.

        After a failure no other rewrite is attempted for REWRITE_RETRY_DELAY.
        """
        if self.clock() < self.next_rewrite_at:
            return False
        rows = [(self.log_clock.as_record(self.scheduler.machine), b"")]
        rows += [(self.log_clock.to_log(record), body) for record, body in self.core.snapshot()]
        if not self.store.rewrite(rows):
            if not self.next_rewrite_at:
                self.log.warning("log not rewritten", size=self.store.size)
            self.next_rewrite_at = self.clock() + self.REWRITE_RETRY_DELAY
            return False
        # The rewritten log contains the state of all unwritten rows.
        self.next_rewrite_at, self.unwritten_rows = 0, []
        self.release_all_notices()
        return True

    MAX_APPEND_BYTES = 256 * 1024  # total of the bodies in an append of several records

    def execute_effects(self, effects) -> None:
        """Writes all records of one event, then executes the other effects in order.

        The records are written together: with a write for each record of a batch, a disk that
        takes some milliseconds for a write would block the loop.
        """
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
            except Exception as error:  # the effects after it are still executed
                check_invariant(False, "effect", what=effect_type.__name__, error=repr(error))

    def execute_effect(self, effect, effect_type) -> None:
        """Passes one effect, which is not an Append, to the part that executes it."""
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
        elif effect_type is ev.ConfirmHostList:
            self.log_refused_address(effect.refused_address)
            self.discovery.confirm_list()
        elif effect_type is ev.NotSent:
            self.log_not_sent(effect)
        else:
            self.log.info(effect.text)

    def notify(self, effect) -> None:
        """Sends a notice, unless its result is not logged yet and its deadline has not passed.

        A kill would lose a result that the log refused, and the next process would attempt a
        callback that had already ended. So the notice is sent once the result is logged, or at the
        callback's deadline, after which nothing is attempted. From then on the next process would
        report a failure, so an unlogged rejection becomes one.
        """
        is_unlogged = any(
            record["k"] == "owed" and record["id"] == effect.id for record, _ in self.unwritten_rows
        )
        is_over = self.clock() >= effect.deadline
        if is_unlogged and (not is_over or effect.rejected):
            self.withheld_notices[effect.id] = effect
            self.scheduler.call_at(effect.deadline, self.end_unlogged, effect.id)
        else:
            self.notices.send_notice(effect)

    def end_unlogged(self, callback_id: str) -> None:
        """Handles the deadline of a callback whose notice is withheld."""
        if self.withheld_notices.pop(callback_id, None) is not None:
            self.post_event(ev.EndNotLogged(callback_id))

    def release_notice(self, callback_id: str) -> None:
        """Sends the notice of this callback if it was withheld."""
        effect = self.withheld_notices.pop(callback_id, None)
        if effect is not None:
            self.notices.send_notice(effect)

    def release_all_notices(self) -> None:
        """Sends all notices that were withheld."""
        for callback_id in list(self.withheld_notices):
            self.release_notice(callback_id)

    MAX_REFUSED_LINES = 20  # log lines between two lines of counts

    def log_refused_address(self, address) -> None:
        """Logs an address that has refused a connection; None: it is logged already."""
        if address is None or self.refused_lines >= self.MAX_REFUSED_LINES:
            return
        self.refused_lines += 1
        self.log.info(
            "address refused",
            address="%s:%d" % address,
            list_age_ms=(self.clock() - self.discovery.answered_at) // MS,
            list_version=self.discovery.version,
        )

    MAX_NOT_SENT_LINES = 20  # log lines for each reason, between two lines of counts

    def log_not_sent(self, effect) -> None:
        """Logs a line for each of the first callbacks of a reason that were not sent.

        The level is error for reasons that only a fault of this relay can cause.
        """
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

    # Kinds of record that the core can undo: they are written before the step that they record.
    REVERSIBLE_KINDS = ("taken", "launch")

    def write_rows(self, rows) -> None:
        """Writes records, or rewrites the log if it refuses them.

        If that fails too, reversible records are returned to the core by AppendFailed, and the
        others are kept and written before any later record.
        """
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
        """Appends these rows or rewrites the log; returns whether the log now contains them.

        `rows` include all unwritten rows.
        """
        if not self.store.append(rows) and not self.rewrite_log():
            return False
        self.unwritten_rows = []
        self.release_all_notices()
        if self.refused_records:
            self.log.warning("log written again", refused=self.refused_records)
            self.refused_records = 0
            self.queue.append(ev.LogWritable())
        return True

    LOG_PROBE_INTERVAL = 100 * MS  # between attempts to write while the log refuses records

    def probe_log(self) -> None:
        """Tests whether the log accepts records again, since no call begins until it does."""
        if not self.refused_records:
            return
        if self.is_busy or not self.try_write(
            self.unwritten_rows or [(self.log_clock.as_record(self.scheduler.machine), b"")]
        ):
            self.scheduler.call_at(self.clock() + self.LOG_PROBE_INTERVAL, self.probe_log)
        elif self.queue:
            self.post_event(self.queue.pop(0))

    def plan_step(self) -> None:
        """Schedules the next step: if events came in, once the period allows, else when due."""
        due = self.clock() if self.core.inbox else self.core.next_step_at()
        if due is None:
            return
        due = max(due, self.last_step_at + self.period)
        if self.planned_step_at is None or due < self.planned_step_at:
            self.planned_step_at = due
            self.scheduler.call_at(due, self.run_step, due)

    def run_step(self, planned_at) -> None:
        """Posts the step that was planned for this time."""
        if planned_at != self.planned_step_at:
            return  # replaced by an earlier step
        self.planned_step_at, self.last_step_at = None, self.clock()
        self.post_event(ev.Step())

    COUNTS_INTERVAL = 10_000 * MS

    def log_counts_periodically(self) -> None:
        """Logs the counts of each interval and resets them; an idle interval gets no line."""
        self.scheduler.call_at(self.clock() + self.COUNTS_INTERVAL, self.log_counts_periodically)
        outcome_counts, self.hosts.counts = dict(sorted(self.hosts.counts.items())), Counter()
        client_counts, self.clients.counts = (
            dict(sorted(self.clients.counts.items(), key=str)),
            Counter(),
        )
        discovery_counts, self.discovery.counts = dict(self.discovery.counts), Counter()
        longest_stall, self.scheduler.longest_stall = self.scheduler.longest_stall, 0
        self.refused_lines = 0
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
                discovery=discovery_counts,
                list_age_ms=(self.clock() - self.discovery.answered_at) // MS,
                not_sent=refusal_counts,
                notices=self.notices.pending_count,
                log_bytes=self.store.size,
                broken=sum(breach_counts.values()),
            )

    FLUSH_INTERVAL = 100 * MS  # for log lines that the descriptor did not take at once

    def flush_periodically(self, sink) -> None:
        """Writes the queued log lines of the sink once per interval."""
        self.scheduler.call_at(self.clock() + self.FLUSH_INTERVAL, self.flush_periodically, sink)
        sink.flush()
