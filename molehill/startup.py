"""What a process of a relay has before it serves: the loop, log lines, the operators' door, the folder's lock and its log.

Another process may have the lock, and the disk may fail for a while. Both are waited for in the loop, so that the door answers
and signals are heard meanwhile. What only an operator can mend ends the start with an error that names the key.
"""

import errno

from molehill import log_clock
from molehill.config import SECOND, ConfigError
from molehill.core.metrics import Metrics
from molehill.http.admin import AdminServer
from molehill.runtime.log import make_logger
from molehill.runtime.scheduler import Scheduler
from molehill.store import Store
from molehill.upgrade import Successor

# Errors of the folder that waiting does not mend: it is no folder, or this process may not use it.
PERMANENT_ERRNOS = (
    errno.ENOTDIR,
    errno.EEXIST,
    errno.EISDIR,
    errno.EACCES,
    errno.EPERM,
    errno.EROFS,
    errno.ENAMETOOLONG,
    errno.ELOOP,
    errno.EINVAL,
)
WAIT_LOG_INTERVAL = 10 * SECOND


def log_limits(config) -> tuple[int, int]:
    """Bytes for the log's files together, and for what may be owed at once.

    A rewrite stands beside the log, so what is owed takes 7/20 at most (Store.wants_rewrite has the sum). The files
    may lie in memory and what is owed is held there once more: together under half of it.
    """
    files = min(config.disk * 15 // 16, config.memory * 5 // 16)
    return files, files * 7 // 20


class Startup:
    """What stands before a relay has its log. `handover`: what a process before it handed over, or None."""

    def __init__(self, config, machine, sink):
        self.config, self.machine = config, machine
        self.scheduler, self.log = (
            Scheduler(machine),
            make_logger(sink, config.name, machine.wall_clock),
        )
        self.process = self.handover = self.admin = self.successor = self.store = self.log_clock = (
            None
        )
        self.pending_signals = []  # signals that came before the relay was there
        self.lock = self.disk_wait_logged_at = None
        self.try_lock()
        if config.admin is not None:
            self.admin = AdminServer(
                self.scheduler,
                config.admin,
                lambda: self.process is not None and self.process.can_serve(),
                lambda: self.process.metrics_text()
                if self.process
                else Metrics(config.callback_classes).render(),
            )

    def try_lock(self) -> None:
        """Takes the folder's lock if it is free. Raises ConfigError for a folder that can't be used."""
        try:
            self.lock = self.machine.disk.lock(self.config.state)
        except OSError as error:
            self.handle_disk_error(error)

    def wait_until_ready(self, config, signals) -> bool:
        """Until the lock and the log are here; False if told to end before."""
        if self.lock is not None and self.try_open_log():
            return True
        successor = self.successor = Successor(self, signals)
        successor.begin()
        self.scheduler.run()
        return self.finish_wait()

    def finish_wait(self) -> bool:
        """Takes what the search for the lock and the log brought."""
        self.handover, self.pending_signals = (
            self.successor.handover,
            self.successor.pending_signals,
        )
        return self.successor.finish()

    def try_open_log(self) -> bool:
        """Opens and reads the log, and writes a first record; whether the disk let it. Raises ConfigError."""
        try:
            self.open_log()
        except OSError as error:
            self.handle_disk_error(error)
            return False
        return True

    def open_log(self) -> None:
        """The same; raises OSError."""
        store = Store(self.config.state, log_limits(self.config)[0], self.machine.disk)
        try:
            store.read()
            clock = log_clock.find_clock(store.record_lines(), self.machine)
            if not store.append([(clock.as_record(self.machine), b"")]) and not store.is_full:
                raise OSError("the log takes no records")
        except OSError:
            store.close()
            raise
        self.store, self.log_clock = store, clock

    def handle_disk_error(self, error: OSError) -> None:
        """Says what is waited for, once in a while. Raises ConfigError for what waiting does not mend."""
        if error.errno in PERMANENT_ERRNOS:
            raise ConfigError(f"ROUTER_STATE: {self.config.state}: {error}") from None
        now = self.scheduler.clock()
        if self.disk_wait_logged_at is None or now - self.disk_wait_logged_at >= WAIT_LOG_INTERVAL:
            self.disk_wait_logged_at = now
            self.log.error("waiting for the disk", state=self.config.state, error=str(error))
