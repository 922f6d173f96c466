"""Upgrade under load: the serving process hands over to the next one.

The two meet at a Unix socket in the state folder.

There is one owner at any moment: the process that has the folder's lock writes the log and decides.
The lock is a file descriptor and is passed last, so there is no moment between two owners.
docs/design/upgrade.md has the steps, and the state after a kill of either process at each of them.

    new -> old   hello   the protocol version; the number of the copy that it has, if any
    old -> new   no      why: the new process waits for the lock, as after any other end
    old -> new   copy    the number of the copy that follows, or goes on
    old -> new   rows    some hosts and some learned state, while the old process still serves
    old -> new   copied  all of them
    new -> old   ready   it has read them; now the old process pauses
    old -> new   rows, client, call, idle, listener, state: what changed since, and one message for
                         each connection, with its descriptor
    old -> new   lock    the lock's descriptor, and with it the ownership
    new -> old   mine    from here on the new process may write; without it the old one goes on

A process of an earlier release says hello without `parts`, and gets everything in the pause.
"""

import signal
from dataclasses import dataclass, field
from typing import Any, Optional

from molehill.config import MS, SECOND, ConfigError
from molehill.core import events as ev
from molehill.http.host_list_format import list_entry
from molehill.runtime.message_channel import MessageChannel
from molehill.runtime.scheduler import CANCELLED, READ
from molehill.runtime.stream import ConnectionBroken, TimedOut
from molehill.state_copy import MAX_PASSES, CopySource, ReceivedCopy

PROTOCOL_VERSION = 2  # rows of version 1 had wall-clock times
# To finish requests that are being answered and calls that are being written: a quarter of the time
# that a client waits.
DRAIN_TIMEOUT = 100 * MS
# For a message of the other process: many times what one takes, and well within the 6 s for a yes.
MESSAGE_TIMEOUT = SECOND
# For the transfer in the pause, during which the relay does nothing else: half of the 300 ms within
# which a notice is owed.
TRANSFER_TIMEOUT = 150 * MS
# From its first handover that breaks off, a new process asks for so long; then it only waits for
# the lock, so that a handover that can't succeed does not pause the relay for ever.
HANDOVER_TIME_LIMIT = 30 * SECOND
RETRY_DELAY = 50 * MS  # between attempts to lock while another process has the lock
# Longest delay after a handover that broke off: each one pauses the process that serves.
MAX_RETRY_DELAY = SECOND
WAIT_LOG_INTERVAL = 10 * SECOND


@dataclass(slots=True)
class Handover:
    """What the new process received from the old one."""

    lock: int = -1
    listener: Any = None
    state: dict = field(default_factory=dict)
    copy: ReceivedCopy = field(default_factory=ReceivedCopy)
    connections: list = field(default_factory=list)  # (message, body, socket)

    def close(self, machine) -> None:
        """Closes all descriptors that were received."""
        for _, _, sock in self.connections:
            sock.close()
        if self.listener is not None:
            self.listener.close()
        if self.lock >= 0:
            machine.close(self.lock)


class Successor:
    """The new process until it has the lock and the log."""

    def __init__(self, startup, signals):
        """`startup`: a Startup; `signals`: non-blocking socket that receives a byte per signal."""
        self.startup, self.scheduler, self.config, self.log, self.signals = (
            startup,
            startup.scheduler,
            startup.config,
            startup.log,
            signals,
        )
        self.clock, self.machine = self.scheduler.clock, self.scheduler.machine
        self.handover, self.pending_signals, self.stop_requested, self.config_error = (
            None,
            [],
            False,
            None,
        )
        self.is_finished = False  # the wait for lock and log is over
        self.copy = ReceivedCopy()  # what the serving process has sent, also for a later handover

    def begin(self) -> None:
        """Starts the tasks that get lock and log, handed over or not, and then stop the loop."""
        self.scheduler.spawn_supervised(self.read_signals)
        self.scheduler.spawn_supervised(self.acquire_lock_and_log)

    def finish(self) -> bool:
        """Ends the tasks after the loop has stopped; returns False if told to end.

        Raises ConfigError for a folder that can't be used.
        """
        self.is_finished = True
        self.scheduler.cancel_wait(self.signals.fileno())
        self.scheduler.stopped = False
        if self.config_error is not None:
            raise self.config_error
        # With a handover it starts even if told to end, and ends by the relay's shutdown.
        return self.handover is not None or not self.stop_requested

    def read_signals(self) -> None:
        """Records signals until the wait is over; later ones are left to the Process."""
        while self.scheduler.wait(self.signals.fileno(), READ) != CANCELLED:
            if self.is_finished:
                return
            self.record_signals(self.signals.recv(64))

    def record_signals(self, signal_numbers: bytes) -> None:
        """Keeps signals, a byte each, for the Process; SIGTERM or SIGINT also ends the wait."""
        self.pending_signals += signal_numbers
        if signal.SIGTERM in self.pending_signals or signal.SIGINT in self.pending_signals:
            self.stop_requested = True
            self.scheduler.stopped = self.scheduler.stopped or self.handover is None

    def acquire_lock_and_log(self) -> None:
        """Waits for the lock and the log, then stops the loop; keeps a ConfigError for `finish`."""
        try:
            self.acquire_lock()
            # With the connections of the old process it owes their answers, so after a handover it
            # goes on although told to end.
            while (
                self.handover is not None or not self.stop_requested
            ) and not self.startup.try_open_log():
                self.scheduler.sleep_until(self.clock() + RETRY_DELAY)
        except ConfigError as error:
            self.config_error = error
        self.scheduler.stopped = True

    def acquire_lock(self) -> None:
        """Waits until the lock is free or handed over, or until told to end."""
        logged_at, next_ask_at, retry_delay = 0, 0, RETRY_DELAY
        ask_until: Optional[int] = None  # set by the first handover that breaks off
        asks = self.config.admin is not None
        while not self.stop_requested and self.startup.lock is None:
            if asks and self.clock() >= next_ask_at and self.request_handover():
                retry_delay = min(2 * retry_delay, MAX_RETRY_DELAY)
                next_ask_at = self.clock() + retry_delay
                ask_until = ask_until or self.clock() + HANDOVER_TIME_LIMIT
            if asks and ask_until is not None and self.clock() >= ask_until:
                asks = False
                self.log.error("no hand-over in time", seconds=HANDOVER_TIME_LIMIT // SECOND)
            if self.startup.lock is None:
                self.startup.try_lock()
            if self.startup.lock is not None:
                return
            if self.clock() - logged_at >= WAIT_LOG_INTERVAL:
                logged_at = self.clock()
                self.log.info("waiting for the folder", state=self.config.state)
            self.scheduler.sleep_until(self.clock() + RETRY_DELAY)

    def request_handover(self) -> bool:
        """Asks the serving process to hand over; returns whether a handover began and broke off."""
        handover, channel = Handover(), None
        try:
            channel = MessageChannel(
                self.scheduler, self.machine.connect_to_predecessor(self.config.state)
            )
            hello = {"k": "hello", "v": PROTOCOL_VERSION, "parts": True}
            if self.copy.is_whole:
                hello["copy"] = self.copy.number
            channel.send(hello, self.clock() + MESSAGE_TIMEOUT)
            is_last = False
            while not is_last:
                message, body, fd = channel.receive(self.clock() + MESSAGE_TIMEOUT)
                is_last = not self.receive_row(handover, message, body, fd)
                if message["k"] == "copied":
                    channel.send({"k": "ready"}, self.clock() + MESSAGE_TIMEOUT)
            if self.stop_requested:
                raise ConnectionBroken("told to end")
            channel.send({"k": "mine"}, self.clock() + MESSAGE_TIMEOUT)
            handover.copy = self.copy
            self.handover, self.startup.lock = handover, handover.lock
        except (ConnectionBroken, TimedOut, OSError, KeyError, TypeError, ValueError) as error:
            # Includes this process's copy of the lock's descriptor; the old process keeps the lock.
            handover.close(self.machine)
            if not isinstance(error, OSError):
                self.log.warning("no hand-over", error=repr(error))
            return channel is not None
        finally:
            if channel is not None:
                channel.close()
        return False

    def receive_row(self, handover, message, body, fd) -> bool:
        """Stores one row of the handover; returns whether more rows follow.

        Raises ValueError for an unknown row, KeyError for an incomplete one.
        """
        kind = message["k"]
        if kind == "lock" and fd is not None:
            handover.lock = fd
            return False
        if fd is not None:
            sock = self.machine.socket_from_descriptor(fd)
            if kind == "listener":
                handover.listener = sock
            else:
                handover.connections.append((message, body, sock))
        elif kind == "state":
            handover.state = message
        elif kind == "copy":
            if message["number"] != self.copy.number or not self.copy.is_whole:
                self.copy = ReceivedCopy(message["number"])
        elif kind == "copied":
            self.copy.is_whole = True
        elif kind == "rows":
            self.copy.add_hosts(message["hosts"])
            self.copy.add_learned(message["learned"])
        elif kind == "host":  # of an earlier release, like the next one
            self.copy.add_hosts([message["row"]])
        elif kind == "learnt":
            self.copy.add_learned([message["row"]])
        else:
            raise ValueError(f"{kind}: {message.get('why', 'not a row that is known')}")
        return True


@dataclass(slots=True)
class HandoverProgress:
    """How far a handover came: nanoseconds of each phase, and rows."""

    started_at: int
    drained_at: int = 0  # calls and requests that had begun were finished, or cut off
    prepared_at: int = 0  # the rows were made
    rows: int = 0
    sent_rows: int = 0
    sent_at: int = 0  # the last row was sent; 0: not all were

    def facts(self, now: int) -> dict[str, int]:
        """Returns the facts for the log, times in milliseconds."""
        return {
            "rows": self.rows,
            "sent": self.sent_rows,
            "drain_ms": (self.drained_at - self.started_at) // MS,
            "prepare_ms": (self.prepared_at - self.drained_at) // MS,
            "send_ms": ((self.sent_at or now) - self.prepared_at) // MS,
            "reply_ms": (now - self.sent_at) // MS if self.sent_at else 0,
            "ms": (now - self.started_at) // MS,
        }


class HandoverServer:
    """Waits, in the serving process, for the next process and hands over to it."""

    def __init__(self, process):
        """Opens the upgrade socket and starts the task that serves it."""
        self.process, self.scheduler, self.clock, self.log = (
            process,
            process.scheduler,
            process.scheduler.clock,
            process.log,
        )
        self.listener = None
        self.copy: Optional[CopySource] = None  # of the latest new process
        self.open_listener()
        self.scheduler.spawn_supervised(self.serve)

    def open_listener(self) -> None:
        """Opens the upgrade socket.

        A failure is only logged: the folder may take no file for a while, and the relay must not
        end for a socket that only an upgrade needs.
        """
        try:
            self.listener = self.scheduler.machine.listen_for_successor(self.process.config.state)
        except OSError as error:
            self.log.error("no meeting place for upgrades", error=str(error))

    def serve(self) -> None:
        """Accepts one successor after another until one has taken over."""
        while self.listener is None:
            self.scheduler.sleep_until(self.clock() + MAX_RETRY_DELAY)
            self.open_listener()
        while not self.process.handed_over:
            self.scheduler.wait(self.listener.fileno(), READ)
            try:
                sock, _ = self.listener.accept()
            except OSError:
                self.scheduler.sleep_until(self.clock() + RETRY_DELAY)
                continue
            channel = MessageChannel(self.scheduler, sock)
            try:
                message, _, _ = channel.receive(self.clock() + MESSAGE_TIMEOUT)
                if message.get("k") != "hello" or message.get("v") != PROTOCOL_VERSION:
                    channel.send(
                        {"k": "no", "why": f"version {PROTOCOL_VERSION} is spoken here"},
                        self.clock() + MESSAGE_TIMEOUT,
                    )
                else:
                    copy = self.send_copy(channel, message) if message.get("parts") else None
                    self.hand_over(channel, copy)
            except (ConnectionBroken, TimedOut) as error:
                self.log.warning("no hand-over", error=repr(error))
            finally:
                channel.close()
        self.listener.close()

    def send_copy(self, channel, hello) -> CopySource:
        """Sends hosts and learned state while this process serves; returns what keeps the rest.

        Raises ConnectionBroken or TimedOut; the next process may then go on with the same copy.
        """
        if self.copy is None or hello.get("copy") != self.copy.number:
            # the time tells this copy from those of other processes of this relay
            self.copy = CopySource(self.process, self.clock())
        copy, started_at, sent = self.copy, self.clock(), 0
        self.copy = None  # it is kept only if the next process has received all of it
        channel.send({"k": "copy", "number": copy.number}, self.clock() + MESSAGE_TIMEOUT)
        for _ in range(MAX_PASSES):
            for message in copy.take_messages():
                channel.send(message, self.clock() + MESSAGE_TIMEOUT)
                sent += 1
                self.scheduler.yield_now()
            copy.collect_changes()
            if copy.is_nearly_complete():
                break
        channel.send({"k": "copied"}, self.clock() + MESSAGE_TIMEOUT)
        # The next process may still have to read what lies in the socket's buffer.
        if channel.receive(self.clock() + MESSAGE_TIMEOUT)[0].get("k") != "ready":
            raise ConnectionBroken("not ready")
        self.copy = copy
        self.log.info("copied", messages=sent, ms=(self.clock() - started_at) // MS)
        return copy

    def hand_over(self, channel, copy: Optional[CopySource]) -> None:
        """Drains this process and hands over; resumes service if the handover breaks off.

        `copy`: what the next process has already; None: nothing.
        """
        started_at, process = self.clock(), self.process
        progress = HandoverProgress(started_at)
        process.pause_intake()
        while self.clock() < started_at + DRAIN_TIMEOUT and not process.is_drained():
            self.scheduler.sleep_until(self.clock() + MS)
        # Their clients have got no answer, and the next process could not know that.
        process.clients.close_unanswered()
        self.scheduler.yield_now()
        progress.drained_at = self.clock()
        rows, error = process.prepare_handover(started_at, copy), None
        progress.prepared_at, progress.rows = self.clock(), len(rows)
        deadline = progress.prepared_at + TRANSFER_TIMEOUT
        try:
            # The next process knows only what is in the log.
            if process.engine.unwritten_rows:
                raise ConnectionBroken("the log does not take records")
            for message, body, sock in rows:
                channel.send(message, deadline, body, sock and sock.fileno())
                progress.sent_rows += 1
            channel.send({"k": "lock"}, deadline, fd=process.lock)
            progress.sent_at = self.clock()
            reply = channel.receive(deadline)[0]
        except (ConnectionBroken, TimedOut) as failure:
            # The new process's `mine` may be on the way, and then it begins to write the log. After
            # the shutdown of the connection no message can arrive any more.
            error, reply = (
                failure,
                {"k": "mine"} if {"k": "mine"} in channel.drain_after_shutdown() else {},
            )
        if reply.get("k") == "mine":
            for _, _, sock in rows:
                if sock is not None and sock is not process.clients.listener:
                    sock.close()
            process.finish_handover()
            self.log.info("handed over", **progress.facts(self.clock()))
        else:
            facts = progress.facts(self.clock())
            self.log.error("hand-over broke off", error=repr(error), **facts)
            if copy is not None:
                copy.undo_last()
            process.abort_handover(rows, started_at)


def handover_rows(process, started_at: int, copy: Optional[CopySource] = None):
    """Detaches connections, calls and state for the next process; returns them as rows.

    A row is (message, body, socket or None). This process uses none of them any more unless the
    handover breaks off. `started_at`: when the handover began, nanoseconds on the monotonic clock.
    `copy`: what the next process has already; None: it is of an earlier release, and has nothing.
    """
    core = process.core
    rows = [(message, b"", None) for message in state_messages(process, copy)]
    state = core.handover_state()
    calls = process.hosts.hand_over()
    process.notices.hand_over()
    rows += process.clients.hand_over() + calls
    rows.append(({"k": "listener"}, b"", process.clients.listener))
    state.update(
        k="state",
        lost=[],
        began=started_at,
        version=process.discovery.version,
        discovery="%s:%d" % process.config.discovery,
        discovery_in_file=process.config.discovery_in_file,
    )
    if process.membership is not None:
        state["member"] = process.membership.handover_state()
    return [*rows, (state, b"", None)]


def state_messages(process, copy: Optional[CopySource]) -> list[dict]:
    """Returns the messages with the hosts and the learned state that the next process lacks."""
    core = process.core
    if copy is None:
        hosts = [list_entry(host, process.config) for host in core.hosts.values()]
        messages = [{"k": "host", "row": row} for row in hosts]
        return messages + [{"k": "learnt", "row": row} for row in core.module.learned_state()]
    return copy.last_messages()


def accept_handover(process, handover) -> ev.HandoverReceived:
    """Continues the connections and calls in the new process; returns the event for its core."""
    held, calls, lost = process.core.callbacks, [], list(handover.state["lost"])
    for message, body, sock in handover.connections:
        kind = message["k"]
        if kind == "client":
            process.clients.adopt_connection(message, body, sock)
            continue
        if kind == "call":
            deadline = min(member[1] for member in message["members"])
            message["members"] = [
                [callback_id, deadline]
                for callback_id, _ in message["members"]
                if callback_id in held
            ]
        ids = [callback_id for callback_id, _ in message.get("members", ())]
        if kind == "call" and not ids or message["host"] not in process.core.hosts:
            sock.close()
        elif process.hosts.adopt_connection(message, body, sock):
            if kind == "call":
                calls.append((message["n"], message["host"], ids, message["start"], deadline))
            continue
        lost += ids
    return ev.HandoverReceived(
        calls,
        lost,
        {route: wait_until for route, wait_until in handover.state["waits"]},
        list(handover.copy.learned.values()),
    )
