"""What a relay process needs before it serves: loop, logger, admin server, folder lock and log.

Another process may have the lock, and the disk may fail for a while. Startup waits for both in the
loop, so that the admin server answers and signals are handled meanwhile. A fault that only an
operator can correct ends the start with a ConfigError that names the key.
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

# Errors of the folder that waiting does not cure: it is no folder, or this process may not use it.
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
    """Returns the limits in bytes for the log's files together and for the pending callbacks.

    During a rewrite the new file exists beside the log, so pending callbacks get 7/20 of the files'
    limit at most (Store.needs_rewrite has the calculation). The files may be in memory, and pending
    callbacks are held there once more: both together stay under half of the memory limit.
    """
    files = min(config.disk * 15 // 16, config.memory * 5 // 16)
    return files, files * 7 // 20


class Startup:
    """The parts of a process that exist before its log is open.

    `handover`: what the previous process handed over, or None.
    """

    def __init__(self, config, machine, sink):
        """Tries to lock the folder; raises ConfigError for a folder that can't be used."""
        self.config, self.machine = config, machine
        self.scheduler, self.log = (
            Scheduler(machine),
            make_logger(sink, config.name, machine.wall_clock),
        )
        self.process = self.handover = self.admin = self.successor = self.store = self.log_clock = (
            None
        )
        self.pending_signals = []  # signals that came before the Process existed
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
        """Locks the folder if the lock is free; raises ConfigError for an unusable folder."""
        try:
            self.lock = self.machine.disk.lock(self.config.state)
        except OSError as error:
            self.handle_disk_error(error)

    def wait_until_ready(self, config, signals) -> bool:
        """Waits until the lock is held and the log is open; returns False if told to end before.

        `signals`: a non-blocking socket on which each signal arrives as a byte. Raises ConfigError.
        """
        if self.lock is not None and self.try_open_log():
            return True
        successor = self.successor = Successor(self, signals)
        successor.begin()
        self.scheduler.run()
        return self.finish_wait()

    def finish_wait(self) -> bool:
        """Takes over handover and signals of the Successor; returns as `wait_until_ready` does."""
        self.handover, self.pending_signals = (
            self.successor.handover,
            self.successor.pending_signals,
        )
        return self.successor.finish()

    def try_open_log(self) -> bool:
        """Calls `open_log`; returns whether the disk allowed it. Raises ConfigError."""
        try:
            self.open_log()
        except OSError as error:
            self.handle_disk_error(error)
            return False
        return True

    def open_log(self) -> None:
        """Opens and reads the log, and writes a first record; raises OSError."""
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
        """Logs the error at most once per WAIT_LOG_INTERVAL.

        Raises ConfigError for errors that waiting does not cure.
        """
        if error.errno in PERMANENT_ERRNOS:
            raise ConfigError(f"ROUTER_STATE: {self.config.state}: {error}") from None
        now = self.scheduler.clock()
        if self.disk_wait_logged_at is None or now - self.disk_wait_logged_at >= WAIT_LOG_INTERVAL:
            self.disk_wait_logged_at = now
            self.log.error("waiting for the disk", state=self.config.state, error=str(error))
