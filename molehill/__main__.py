"""`python -m molehill`: one relay on this machine, as the environment and the file that it names say."""

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
    """Has each signal that the relay acts on arrive as a byte, its number."""
    read, write = socket.socketpair()
    for side in (read, write):
        side.setblocking(False)
    signal.set_wakeup_fd(write.detach(), warn_on_full_buffer=False)
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(signal_number, lambda *_: None)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    return read


def main(machine=None) -> int:
    """One relay from start to end; its exit code. `machine`: another than the kernel's."""
    # first of all: one that comes before the loop turns waits for it
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
    gc.freeze()  # what is here now stays: later collections pass over it
    process.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
