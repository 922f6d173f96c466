"""Known mistakes, each a small change of the relay in memory, that a sweep must find.

One that is not found shows a gap in the emulator's checks. They are used only by tests and by the
measurement of the sweep; `mutated(name)` plants one and removes it again.
"""

from contextlib import contextmanager

from molehill import config, interface, log_clock, startup, store
from molehill.core import events as ev
from molehill.core import host_list, reducer
from molehill.core.final_notices import FinalNotices
from molehill.decisions.endpoint import HEALTHY, SLOW_START
from molehill.decisions.endpoint_health import EndpointHealth
from molehill.decisions.lifecycle import Lifecycle
from molehill.http import clients, discovery, host_responses, hosts, notices
from molehill.http.host_connection import HostConnection
from molehill.runtime.engine import Engine
from molehill.runtime.scheduler import READ
from molehill.store import Store

Core = reducer.Core


def answer_before_log(before):
    """Accepted callbacks are logged 3 ms after they were answered."""

    def carry(self, effects):
        taken = [e for e in effects if type(e) is ev.Append and e.record["k"] == "taken"]
        before(self, [e for e in effects if e not in taken])
        if taken:
            self.scheduler.call_at(self.clock() + 3 * config.MS, lambda: before(self, taken))

    return carry


def skip_record(kind):
    def change(before):
        def log(self, what, body=b"", **fields):
            if what != kind:
                before(self, what, body, **fields)

        return log

    return change


def skip_loading(kind):
    return (
        lambda before: lambda self, record, body: None
        if record["k"] == kind
        else before(self, record, body)
    )


def change_settings(**changes):
    """The decision module's settings are read wrong: `changes` by a category's field."""

    def change(before):
        def read(given, prefix=""):
            made = before(given, prefix)
            for row in made.callback_classes:
                for field, by in changes.items():
                    setattr(row, field, by(getattr(row, field)))
            return made

        return read

    return change


def route_per_host(before):
    def read(given, prefix=""):
        made = before(given, prefix)
        made.kinds = [interface.HostKind(True, kind.callbacks_per_call) for kind in made.kinds]
        return made

    return read


def keep_torn_tail(before):
    def replay(self, load):
        truncate, self.disk.truncate = self.disk.truncate, lambda *_: None
        try:
            count = before(self, load)
            self.disk.seek(self.fd, len(self.disk.read(self.path)))
            return count
        finally:
            self.disk.truncate = truncate

    return replay


def reuse_after_timeout(before):
    """A timed-out call's connection is used again: its late answer counts for the next call."""

    def useless(self, call, stream, start, end, came):
        if end.result is not interface.Result.TIMEOUT:
            return before(self, call, stream, start, end, came)
        close, stream.close = stream.close, lambda: None
        try:
            before(self, call, stream, start, end, came)
        finally:
            stream.close = close
        stream.idle_since = self.clock()
        self.idle_connections.setdefault(call.host, []).append(stream)

    return useless


def last_deadline(before):
    """A call lasts until its last callback's deadline; what arrives by then counts for each
    callback.
    """
    return lambda call: max(member.deadline for member in call.callbacks)


def send_once(before):
    def send(self, batch, until):
        try:
            before(self, batch, until)
        except Exception:
            self.connection.close()

    return send


def write_once(before):
    def write(self, fd, data):
        try:
            self.disk.write(fd, data)
        except OSError:
            return False
        return True

    return write


def omit_attempted(before):
    return lambda self: (
        row for row in before(self) if row[0].get("k") != "taken" or row[0].get("launches", 0) == 0
    )


def delay_deadline(span):
    def change(before):
        def fresh(self, headers, body):
            made = before(self, headers, body)
            made.deadline += span
            return made

        return fresh

    return change


def skip_slow_start(before):
    def health(self, endpoint, good, sent, result):
        before(self, endpoint, good, sent, result)
        if endpoint.state == SLOW_START:
            endpoint.state, endpoint.next_call_at = HEALTHY, self.state.now

    return health


def log_attempt_early(before):
    """An attempt is logged before its connection is up."""

    def go(self, out):
        before(self, out)
        if out.number in self.calls:
            self._log_attempts(out)

    return go


def offer_as_new(before):
    """What a restart recovers is passed to the decision module as if it had just arrived."""

    def hand_over(self, c):
        before(self, c)
        self.inbox[-1].already_accepted = False

    return hand_over


def retry_accept_at_once(before):
    """An error of accept(2) is followed by the next try at once."""

    def accept(self):
        while self.listener is not None:
            if self.is_paused or not self.budget.acquire("client", config.RESERVED_OUTGOING):
                self.scheduler.sleep_until(self.clock() + self.ACCEPT_RETRY_DELAY)
                continue
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                self.budget.release("client")
                self.scheduler.wait(self.listener.fileno(), READ)
                continue
            except OSError:
                self.budget.release("client")
                continue
            self.open_connection(sock)

    return accept


def use_wall_clock(before):
    def find(lines, machine):
        return log_clock.LogClock(
            machine.wall_clock() - machine.clock(), log_clock.EpochSource.NEW_LOG
        )

    return find


def skip_tail_repair(before):
    def repair_end(self):
        self.tail_bytes = 0
        return True

    return repair_end


# name -> (owner, attribute, function from the right value to the wrong one), or several such rows
MUTATIONS = {
    "log written on behind a torn record": (
        (Store, "repair_end", skip_tail_repair),
        (store, "find_next_record", lambda before: lambda data, start: len(data)),
    ),
    "log's times are wall time": (log_clock, "find_clock", use_wall_clock),
    "accept goes on without a wait": (
        clients.Clients,
        "accept_connections",
        retry_accept_at_once,
    ),
    "a start opens its log once": (
        startup.Startup,
        "try_open_log",
        lambda before: lambda self: (self.open_log(), True)[1],
    ),
    "answered before it is logged": (Engine, "execute_effects", answer_before_log),
    "launch not logged": (Core, "_log", skip_record("launch")),
    "end not logged": (Core, "_log", skip_record("end")),
    "notice that is owed not taken up": (Core, "load", skip_loading("owed")),
    "torn tail accepted": (Store, "replay", keep_torn_tail),
    "short write taken for whole": (Store, "_write", write_once),
    "rewrite forgets what was launched": (Core, "snapshot", omit_attempted),
    "ticket window off by a tenth": (
        config,
        "parse_settings",
        change_settings(deduplication_window=lambda w: w * 11 // 10),
    ),
    "ticket window off by a quarter": (
        config,
        "parse_settings",
        change_settings(deduplication_window=lambda w: w * 5 // 4),
    ),
    "ticket's zone not heeded": (
        config,
        "parse_settings",
        change_settings(
            deduplicated_everywhere=lambda _: True, deduplicated_in_zone=lambda _: False
        ),
    ),
    "exclusive taken for rerunnable": (
        config,
        "parse_settings",
        change_settings(
            semantics=lambda e: interface.DeliverySemantics.IDEMPOTENT
            if e is interface.DeliverySemantics.AT_MOST_ONCE
            else e
        ),
    ),
    "order of keys not kept": (config, "parse_settings", change_settings(ordered=lambda _: False)),
    "key's rest forgotten": (
        Lifecycle,
        "start_key_cooldown",
        lambda before: lambda self, key, until: None,
    ),
    "key's rest forgotten after a restart": (
        Core,
        "_offer_to_module",
        lambda before: lambda self, c: (self.cooldowns.clear(), before(self, c))[1],
    ),
    "reset counts as never run": (
        interface.Result,
        "may_have_run",
        lambda before: property(lambda self: self is interface.Result.ERROR),
    ),
    "drain not heeded": (
        discovery,
        "CONDITION_BY_STATUS",
        lambda before: {**before, "leaving": interface.Condition.UP},
    ),
    "late copy ends the next call": (
        HostConnection,
        "repeats_earlier_answer",
        lambda before: lambda self, head, body: False,
    ),
    "told wait not read": (host_responses, "retry_after", lambda before: lambda head: 0),
    "wait heeded by host, not by destination": (config, "parse_settings", route_per_host),
    "late answer ends another callback": (hosts.Hosts, "_end_without_answer", reuse_after_timeout),
    "a call goes on after the time of one in it": (hosts, "call_deadline", last_deadline),
    "notice sent once only": (notices.Notices, "_send_batch", send_once),
    "deadline read a second late": (clients.Clients, "fresh", delay_deadline(config.SECOND)),
    "returning host fed without a budget": (EndpointHealth, "update_state", skip_slow_start),
    "streams never forgotten": (
        hosts.Hosts,
        "_run_call",
        lambda before: lambda self, call: (
            before(self, call),
            self.streams.__setitem__(call.number, None),
        )[0],
    ),
    "ids with other contents taken for the same": (
        ev.Submission,
        "digest",
        lambda before: lambda self: b"same",
    ),
    "time not counted over a standstill": (clients, "MAX_READ_DELAY", lambda before: 0),
    "new notice waits for others' rest": (
        notices.Notices,
        "_retry_now",
        lambda before: lambda self: None,
    ),
    "launch logged while its connection comes up": (Core, "_start_call", log_attempt_early),
    "what a restart finds taken for new": (Core, "_offer_to_module", offer_as_new),
    "notice right behind its call": (FinalNotices, "not_before", lambda before: lambda *_: 0),
    "calls of a killed process forgotten": (
        FinalNotices,
        "delay_after_recovery",
        lambda before: lambda *_: 0,
    ),
    "told list dies with the process": (
        (host_list.ReceivedList, "load", lambda before: lambda self, record: None),
        (Core, "LIST_TIMEOUT", lambda before: 0),
    ),
    "ends told while the log fails": (
        Engine,
        "notify",
        lambda before: lambda self, effect: self.notices.send_notice(effect),
    ),
    "a connection that came up late is written on": (
        hosts.Hosts,
        "_may_write",
        lambda before: lambda self, call, start: True,
    ),
    "a call behind a connection in doubt is launched anew": (
        interface.Result,
        "may_have_run",
        lambda before: property(
            lambda self: self is not interface.Result.RESET and before.fget(self)
        ),
    ),
    "a connection closed over what lies unread": (
        clients,
        "end_sending_and_drain",
        lambda before: lambda stream, span, most: None,
    ),
    "a whole list waited for as long as a watch": (
        discovery,
        "LIST_TIMEOUTS",
        lambda before: (discovery.WATCH_HOLD + discovery.ANSWER_TIMEOUT,) * len(before),
    ),
    "ids lately over forgotten by a rewrite": (
        Core,
        "snapshot",
        lambda before: lambda self: (row for row in before(self) if row[0].get("k") != "done"),
    ),
    "idle clients never ended": (
        clients.Clients,
        "exceeds_idle_limit",
        lambda before: lambda self, conn: False,
    ),
}


@contextmanager
def mutated(name: str):
    """Make the relay have that mistake within the context; KeyError for a name not in MUTATIONS."""
    rows = MUTATIONS[name]
    rows = rows if isinstance(rows[0], tuple) else (rows,)
    before = [place.__dict__[attribute] for place, attribute, _ in rows]
    for (place, attribute, change), right in zip(rows, before):
        setattr(place, attribute, change(right))
    try:
        yield
    finally:
        for (place, attribute, _), right in zip(rows, before):
            setattr(place, attribute, right)
