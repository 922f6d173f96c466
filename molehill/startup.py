"""What a process of a relay has before it serves: the loop, log lines, the operators' door, the folder's lock and its log.

Another process may have the lock, and the disk may fail for a while. Both are waited for in the loop, so that the door answers
and signals are heard meanwhile. What only an operator can mend ends the start with an error that names the key.
"""

import errno

from molehill import log_clock
from molehill.config import SECOND, ConfigError
from molehill.core.metrics import Metrics
from molehill.http.admin import AdminServer
from molehill.runtime.log import logger
from molehill.runtime.scheduler import Scheduler
from molehill.store import Store
from molehill.upgrade import Successor

# Errors of the folder that waiting does not mend: it is no folder, or this process may not use it.
UNUSABLE = (
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
SAY_EVERY = 10 * SECOND


def log_room(config) -> tuple[int, int]:
    """Bytes for the log's files together, and for what may be owed at once.

    A rewrite stands beside the log, so what is owed takes 7/20 at most (Store.wants_rewrite has the sum). The files
    may lie in memory and what is owed is held there once more: together under half of it.
    """
    files = min(config.disk * 15 // 16, config.memory * 5 // 16)
    return files, files * 7 // 20


class Start:
    """What stands before a relay has its log. `estate`: what a process before it handed over, or None."""

    def __init__(self, config, machine, sink):
        self.config, self.machine = config, machine
        self.scheduler, self.log = Scheduler(machine), logger(sink, config.name, machine.wall)
        self.process = self.estate = self.admin = self.successor = self.store = self.log_clock = (
            None
        )
        self.seen = []  # signals that came before the relay was there
        self.lock = self.waits_for = None
        self.try_lock()
        if config.admin is not None:
            self.admin = AdminServer(
                self.scheduler,
                config.admin,
                lambda: self.process is not None and self.process.can_serve(),
                lambda: self.process.figures()
                if self.process
                else Metrics(config.categories).render(),
            )

    def try_lock(self) -> None:
        """Takes the folder's lock if it is free. Raises ConfigError for a folder that can't be used."""
        try:
            self.lock = self.machine.disk.lock(self.config.state)
        except OSError as error:
            self.disk_failed(error)

    def wait(self, config, signals) -> bool:
        """Until the lock and the log are here; False if told to end before."""
        if self.lock is not None and self.try_log():
            return True
        successor = self.successor = Successor(self, signals)
        successor.begin()
        self.scheduler.run()
        return self.found()

    def found(self) -> bool:
        """Takes what the search for the lock and the log brought."""
        self.estate, self.seen = self.successor.estate, self.successor.seen
        return self.successor.finish()

    def try_log(self) -> bool:
        """Opens and reads the log, and writes a first record; whether the disk let it. Raises ConfigError."""
        try:
            self.open_log()
        except OSError as error:
            self.disk_failed(error)
            return False
        return True

    def open_log(self) -> None:
        """The same; raises OSError."""
        store = Store(self.config.state, log_room(self.config)[0], self.machine.disk)
        try:
            store.read()
            clock = log_clock.find_clock(store.record_lines(), self.machine)
            if not store.append([(clock.as_record(self.machine), b"")]) and not store.is_full:
                raise OSError("the log takes no records")
        except OSError:
            store.close()
            raise
        self.store, self.log_clock = store, clock

    def disk_failed(self, error: OSError) -> None:
        """Says what is waited for, once in a while. Raises ConfigError for what waiting does not mend."""
        if error.errno in UNUSABLE:
            raise ConfigError(f"ROUTER_STATE: {self.config.state}: {error}") from None
        now = self.scheduler.clock()
        if self.waits_for is None or now - self.waits_for >= SAY_EVERY:
            self.waits_for = now
            self.log.error("waiting for the disk", state=self.config.state, error=str(error))
