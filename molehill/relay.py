"""One relay process: connects configuration, log, core and network, and shuts down on SIGTERM.

Everything external is passed in: the machine (clock, pollers, sockets, disk), the configuration and
a function that reads it again, the sink of log lines, and a socket that receives a byte per signal.
"""

import signal

from molehill import config as configuration
from molehill import invariants, upgrade
from molehill.config import SECOND
from molehill.core import events as ev
from molehill.core.reducer import Core
from molehill.decisions.dispatcher import Dispatcher
from molehill.http.clients import Clients
from molehill.http.discovery import Discovery
from molehill.http.hosts import Hosts
from molehill.http.list_request import ListRequestLog
from molehill.http.notices import Notices
from molehill.log_clock import EpochSource
from molehill.runtime.engine import Engine
from molehill.runtime.scheduler import READ
from molehill.runtime.stream import DescriptorBudget
from molehill.runtime.trace import NO_TRACE, NoTrace, Trace
from molehill.shutdown import ENDED, SERVING, Shutdown
from molehill.startup import Startup, log_limits

# for the listeners to open: another process may have an address, or the machine lack a resource
LISTEN_TIMEOUT = 20 * SECOND
EXIT_NO_LISTENER = 1


class Process:
    """One process of a relay, from the open log to the end of the loop."""

    def __init__(self, config, machine, sink, load_config, startup=None):
        """Reads the log and creates all parts; raises ConfigError, and OSError for the log.

        `load_config(config)` reads the configuration that replaces the given one, on SIGHUP; it
        raises ConfigError.
        """
        self.config, self.sink, self.load_config = config, sink, load_config
        self.startup = startup = startup or Startup(config, machine, sink)
        if startup.store is None:
            startup.open_log()
        self.log, self.scheduler, self.lock, self.handed_over, self.handover_server = (
            startup.log,
            startup.scheduler,
            startup.lock,
            False,
            None,
        )
        invariants.report_breach = lambda name, count, facts: self.log.error(
            "broken invariant", name=name, count=count, **{f"fact_{k}": v for k, v in facts.items()}
        )
        # Discovery's address may have changed since this process read its configuration.
        if startup.handover is not None and "discovery" in startup.handover.state:
            config.discovery = configuration.parse_address(
                startup.handover.state["discovery"], "discovery"
            )
            config.discovery_in_file = startup.handover.state.get("discovery_in_file")
        self.shutdown, self.exit_code = Shutdown(self), 0
        self.budget = budget = DescriptorBudget(config.sockets, {"client": config.client_sockets})
        self.store, log_clock = startup.store, startup.log_clock
        self.core = Core(
            config.settings,
            config.seed,
            Dispatcher,
            log_limits(config)[1],
            list(config.callback_classes),
            config.connect_time_out,
            config.zones,
        )
        count = self.store.replay(
            lambda record, body: self.core.load(log_clock.from_log(record), body),
            self.core.load_corrupt,
        )
        damaged = (
            self.store.truncated_bytes
            or self.store.unusable_records
            or self.store.corrupt_chunks
            or log_clock.source is EpochSource.UNKNOWN
        )
        log_method = self.log.warning if damaged else self.log.info
        log_method(
            "log read",
            records=count,
            held=len(self.core.callbacks),
            cut=self.store.truncated_bytes,
            odd=self.store.unusable_records,
            spoilt=self.store.corrupt_chunks,
            time_base=log_clock.source.value,
        )
        self.engine = engine = Engine(
            self.scheduler, self.core, self.store, self.log, config.period, log_clock
        )
        self.clients = engine.clients = Clients(self.scheduler, config, budget, engine.post_event)
        self.hosts = engine.hosts = Hosts(
            self.scheduler, config, budget, engine.post_event, self.core.refusal, self.core.metrics
        )
        self.hosts.may_connect = self.core.hosts.may_connect
        self.notices = engine.notices = Notices(self.scheduler, config, budget, engine.post_event)
        self.clients.on_rejected = self.core.count_rejected
        trace = self.open_trace()
        engine.trace = self.clients.trace = self.hosts.trace = self.notices.trace = trace
        self.hosts.timed_out_calls.trace = trace
        self.discovery = engine.discovery = Discovery(
            self.scheduler, config, budget, engine.post_event, self.core.received_list
        )
        self.discovery.request_log = ListRequestLog(self.log)
        self.membership = None
        if config.fleet is not None:
            try:
                # Imported only if configured: it costs memory and startup time.
                from molehill.membership.service import Membership
            except ImportError as error:
                raise configuration.ConfigError(
                    f"fleet: {error}; pip install molehill[fleet]"
                ) from None
            inherited = startup.handover and startup.handover.state.get("member")
            self.membership = Membership(self.scheduler, config, self.log, inherited)
        startup.process = self

    def begin_serving(self, signals) -> None:
        """Resumes pending callbacks and starts all tasks that serve.

        `signals`: a non-blocking socket on which each signal arrives as a byte, its number.
        """
        self.signals = signals
        self.scheduler.spawn_supervised(self.read_signals)
        handover, begin_options = self.startup.handover, {}
        if handover is None:
            self.discovery.restore_list()
        else:
            self.discovery.restore_list(
                {
                    "endpoints": list(handover.copy.hosts.values()),
                    "index": handover.state["version"] or 0,
                    "snapshot": True,
                }
            )
            self.engine.post_event(upgrade.accept_handover(self, handover))
            begin_options["read_delay"] = self.scheduler.clock() - handover.state["began"]
            self.startup.handover = None
            self.reload_after_handover()
        if self.membership is not None:
            self.membership.start()
            if self.startup.admin is not None:
                self.startup.admin.pages["/fleet"] = lambda: (200, self.membership.view_json())
        self.engine.post_event(ev.Startup())
        self.engine.flush_periodically(self.sink)
        self.engine.log_counts_periodically()
        self.clients.start_serving(**begin_options)
        if self.config.admin is not None:
            self.handover_server = upgrade.HandoverServer(self)
        for signal_number in self.startup.pending_signals:
            self.handle_signal(signal_number)
        if not self.has_served():
            self.log.warning("waiting for the listener", listen="%s:%d" % self.config.listen)
        self.log.info(
            "ready",
            taken_over=handover is not None,
            listen="%s:%d" % self.config.listen,
            discovery="%s:%d" % self.config.discovery,
        )

    def open_trace(self) -> Trace | NoTrace:
        """Opens the trace file; returns NO_TRACE if none is configured or it can't be opened."""
        trace_file = self.config.trace
        if trace_file is None:
            return NO_TRACE
        try:
            return Trace(self.scheduler.machine, trace_file.path, trace_file.max_bytes)
        except OSError as error:
            self.log.error("no trace", file=trace_file.path, error=str(error))
            return NO_TRACE

    def check_listeners(self) -> None:
        """Ends the process if it could not open its listeners in LISTEN_TIMEOUT."""
        admin = self.startup.admin
        missing = [] if self.has_served() else [("ROUTER_LISTEN", self.config.listen)]
        if admin is not None and admin.listener is None and not admin.is_closed:
            missing.append(("ROUTER_ADMIN", self.config.admin))
        for key, address in missing:
            self.log.error("no listener", key=key, address="%s:%d" % address)
        if missing:
            self.exit_code = EXIT_NO_LISTENER
            self.scheduler.stopped = True

    def has_served(self) -> bool:
        """Returns whether clients could connect, to this process or to the one that took over."""
        return self.clients.listener is not None or self.clients.is_closing or self.handed_over

    def run(self) -> None:
        """Serves until shutdown or handover is complete."""
        self.scheduler.call_at(self.scheduler.clock() + LISTEN_TIMEOUT, self.check_listeners)
        self.scheduler.run()
        if not self.handed_over:
            self.store.close()
        self.log.info(
            "ended",
            held=len(self.core.callbacks),
            out=self.hosts.calls_in_flight,
            broken=invariants.breach_counts,
        )
        self.sink.flush()

    def read_signals(self) -> None:
        """Handles signals in order; those that come before the loop runs wait in the socket."""
        while True:
            self.scheduler.wait(self.signals.fileno(), READ)
            for signal_number in self.signals.recv(64):
                self.handle_signal(signal_number)

    def handle_signal(self, signal_number) -> None:
        """Reloads the configuration on SIGHUP, unless handed over; else begins the shutdown."""
        if signal_number == signal.SIGHUP and not self.handed_over:
            self.reload_configuration()
        elif signal_number != signal.SIGHUP:
            self.shutdown.begin()

    def reload_configuration(self) -> None:
        """Reads and checks the whole file on SIGHUP, then applies all of it or nothing.

        Settings that can't change in a running process apply from the next start on.
        """
        try:
            new = self.load_config(self.config)
        except configuration.ConfigError as error:
            self.core.metrics.cfg_invalid += 1
            self.log.error("configuration not taken", error=str(error))
            return
        self.core.metrics.cfg_accepted += 1
        self.log.info(
            "configuration taken",
            discovery="%s:%d" % new.discovery,
            moved=new.discovery != self.config.discovery,
            classes=sorted(new.callback_classes),
            at_next_start=configuration.changes_at_next_start(self.config, new),
        )
        self.apply_configuration(new)

    def apply_configuration(self, new) -> None:
        """Applies new settings and a new address of discovery at once.

        The address counts for the watch of the host list and for all notices.
        """
        moved = new.discovery != self.config.discovery
        if (
            moved
            or new.settings != self.config.settings
            or new.callback_classes != self.config.callback_classes
        ):
            self.apply_settings(new)
        self.config.discovery_in_file = new.discovery_in_file
        self.discovery.file_was_read(new.known)
        if moved:
            self.notices.change_address()
            self.discovery.change_address()

    def apply_settings(self, new) -> None:
        """Passes the reloadable part of `new` to the core and to membership."""
        names = list(new.callback_classes)
        configuration.apply_reload(self.config, new)
        self.engine.post_event(ev.SettingsChanged(self.config.settings, names))
        self.config.settings, self.config.callback_classes = (
            self.core.settings,
            self.core.classes.numbers,
        )
        if self.membership is not None and new.fleet is not None:
            self.membership.reconfigure(new.fleet)

    # Upgrades; molehill/upgrade.py has the sequence of the steps.

    def reload_after_handover(self) -> None:
        """Reads the configuration again after a handover.

        The old process may have got a SIGHUP for a new file after this process had read the file;
        nobody signals this process.
        """
        try:
            new = self.load_config(self.config)
        except configuration.ConfigError as error:
            self.log.error("configuration not taken", error=str(error))
            return
        if new.discovery_in_file == self.config.discovery_in_file:
            # Keep the old process's address, which another file or a variable may have changed.
            new.discovery = self.config.discovery
        self.apply_configuration(new)

    def metrics_text(self) -> str:
        """Returns the page of metrics, with those of membership if it is on."""
        return self.core.metrics.render() + (
            self.membership.metrics_text() if self.membership else ""
        )

    def can_serve(self) -> bool:
        """Returns whether this process accepts callbacks."""
        return self.clients.can_serve() and not self.handed_over

    def pause_intake(self) -> None:
        """Starts no more calls and requests; those that have begun are finished."""
        self.engine.post_event(ev.PauseCalls(True))
        self.clients.pause_requests()

    def is_drained(self) -> bool:
        """Returns whether no request, call or notice is incomplete."""
        return (
            self.clients.is_quiescent()
            and self.hosts.is_quiescent()
            and self.notices.is_quiescent()
        )

    def prepare_handover(self, started_at: int, copy=None):
        """Suspends this process and returns the rows to hand over (see upgrade.handover_rows)."""
        self.engine.post_event(ev.Step())  # so that requests already read are decided and logged
        self.engine.suspend()
        if self.membership is not None:
            # The next process is the same member and needs the address.
            self.membership.close()
        return upgrade.handover_rows(self, started_at, copy)

    def abort_handover(self, rows, started_at: int) -> None:
        """Takes back the rows of the handover, and resumes: the next process is gone.

        The connections are kept: if one with an unread answer were closed, a callback that was
        delivered would run once more.
        """
        self.scheduler.yield_now()  # lets the tasks of the detached connections end
        self.hosts.take_back([row for row in rows if row[0]["k"] in ("call", "idle")])
        self.notices.take_back()
        self.engine.resume()
        if self.membership is not None:
            self.membership.start()
        self.engine.post_event(ev.PauseCalls(False))
        self.clients.take_back(
            [row for row in rows if row[0]["k"] == "client"], self.scheduler.clock() - started_at
        )

    def finish_handover(self) -> None:
        """Releases this process's remaining resources; the next process has everything."""
        self.handed_over, self.clients.is_ready = True, False
        self.store.close()
        self.scheduler.machine.close(self.lock)
        self.clients.close_listener()
        self.discovery.close()
        self.core.metrics.open_requests = 0
        if self.shutdown.state is not SERVING:
            self.shutdown.change_state(ENDED)
