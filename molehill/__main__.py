"""`python -m molehill`: runs one relay, configured by the environment and the file it names."""

import gc
import os
import signal
import socket
import sys

from molehill import config as configuration
from molehill.relay import Process
from molehill.runtime.kernel import Kernel
from molehill.runtime.log import Sink
from molehill.startup import Startup


def watch_signals() -> socket.socket:
    """Returns a socket on which each signal that the relay handles arrives as a byte."""
    read, write = socket.socketpair()
    for side in (read, write):
        side.setblocking(False)
    signal.set_wakeup_fd(write.detach(), warn_on_full_buffer=False)
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(signal_number, lambda *_: None)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    return read


def main(machine=None) -> int:
    """Runs one relay and returns its exit code; `machine` replaces the Kernel.

    The code is 2 for a configuration that can't be used, 1 for another error of log or listener.
    """
    # Called first, so that a signal that arrives before the loop runs is kept for it.
    signals = watch_signals()
    try:
        config = configuration.load(os.environ)
    except configuration.ConfigError as error:
        print(f"molehill: {error}", file=sys.stderr)
        return 2
    try:
        machine, sink = machine or Kernel(), Sink()
        startup = Startup(config, machine, sink)
        if not startup.wait_until_ready(config, signals):
            return 0
        process = Process(
            config, machine, sink, lambda old: configuration.load(os.environ, previous=old), startup
        )
        process.clients.listen(startup.handover and startup.handover.listener)
    except configuration.ConfigError as error:
        print(f"molehill: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(
            f"molehill: {config.state}, {config.listen}, {config.admin or 'no admin'}: {error}",
            file=sys.stderr,
        )
        return 1
    process.begin_serving(signals)
    gc.freeze()  # objects that exist now live as long as the process: later collections skip them
    process.run()
    return process.exit_code


if __name__ == "__main__":
    sys.exit(main())
