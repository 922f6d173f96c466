"""An upgrade under load: the process that serves hands all it has to the next one, through a Unix socket in its folder.

One owner at any moment: whoever has the folder's lock writes the log and decides. The lock is a descriptor, and passes over
as the last thing of all, so there is no moment between two owners. docs/design/upgrade.md has the steps and what a kill of
either process at each of them leaves behind.

    new -> old   hello   version
    old -> new   no      why: the next one waits for the lock, as after any other end
    old -> new   host, learnt, client, call, idle, listener, state: what there is, a connection's descriptor with its row
    old -> new   lock    the lock's descriptor, and with it everything
    new -> old   mine    from here on the new one may write; without it the old one goes on
"""

import signal
from dataclasses import dataclass, field
from typing import Any

from molehill.config import MS, SECOND, ConfigError
from molehill.core import events as ev
from molehill.http.discovery import list_entry
from molehill.runtime.line import Line
from molehill.runtime.scheduler import CUT, READ
from molehill.runtime.stream import Broken, Late

VERSION = 2  # 1 had times of the wall clock in its rows
# for requests that are answered and calls that are written: a quarter of a client's wait
CALM_WITHIN = 100 * MS
# for a message of the other process: many times what it takes, well within the 6 s for a yes
STEP_WITHIN = SECOND
# For all that passes, as the relay stands meanwhile: half of the time within which it owes a notice (300 ms). Some 10 ms are taken.
PASS_WITHIN = 150 * MS
TRY_AGAIN = 50 * MS  # between looks at the lock while another process has it
# at most, between two hand-overs that broke off: each costs the one that serves a pause
SELDOM = SECOND
SAY_EVERY = 10 * SECOND


@dataclass(slots=True)
class HandedOver:
    """What the new process got."""

    lock: int = -1
    listener: Any = None
    state: dict = field(default_factory=dict)
    hosts: list = field(default_factory=list)
    learnt: list = field(default_factory=list)
    conns: list = field(default_factory=list)  # (message, body, socket)

    def close(self, machine) -> None:
        for _, _, sock in self.conns:
            sock.close()
        if self.listener is not None:
            self.listener.close()
        if self.lock >= 0:
            machine.close(self.lock)


class Successor:
    """The new process, until it has the lock and the log. `start`: of molehill/startup.py."""

    def __init__(self, start, signals):
        self.start, self.scheduler, self.config, self.log, self.signals = (
            start,
            start.scheduler,
            start.config,
            start.log,
            signals,
        )
        self.clock, self.machine = self.scheduler.clock, self.scheduler.machine
        self.estate, self.seen, self.told_to_end, self.fault = None, [], False, None

    def begin(self) -> None:
        """The loop is to stop once lock and log are here, with what the process before gave or without."""
        self.scheduler.spawn_kept(self.on_signals)
        self.scheduler.spawn_kept(self.seek)

    def finish(self) -> bool:
        """After the loop; False: told to end. Raises ConfigError for a folder that can't be used."""
        self.scheduler.cut(self.signals.fileno())
        self.scheduler.stopped = False
        if self.fault is not None:
            raise self.fault
        # told to end, it ends by the relay's shutdown
        return self.estate is not None or not self.told_to_end

    def on_signals(self) -> None:
        while self.scheduler.wait(self.signals.fileno(), READ) != CUT:
            self.heard(self.signals.recv(64))

    def heard(self, numbers: bytes) -> None:
        """Signals that have come, a byte each."""
        self.seen += numbers  # the relay acts on them once it is there
        if signal.SIGTERM in self.seen or signal.SIGINT in self.seen:
            self.told_to_end = True
            self.scheduler.stopped = self.scheduler.stopped or self.estate is None

    def seek(self) -> None:
        try:
            self.seek_lock()
            # Danger: with the connections of the process before it owes their answers, so it goes on although told to end.
            while (self.estate is not None or not self.told_to_end) and not self.start.try_log():
                self.scheduler.sleep(self.clock() + TRY_AGAIN)
        except ConfigError as error:
            self.fault = error
        self.scheduler.stopped = True

    def seek_lock(self) -> None:
        said, ask_at, again = 0, 0, TRY_AGAIN
        while not self.told_to_end and self.start.lock is None:
            if self.config.admin is not None and self.clock() >= ask_at and self.ask():
                again = min(2 * again, SELDOM)
                ask_at = self.clock() + again
            if self.start.lock is None:
                self.start.try_lock()
            if self.start.lock is not None:
                return
            if self.clock() - said >= SAY_EVERY:
                said = self.clock()
                self.log.info("waiting for the folder", state=self.config.state)
            self.scheduler.sleep(self.clock() + TRY_AGAIN)

    def ask(self) -> bool:
        """Has the process that serves now hand over, if it can be reached and does; whether that was begun and broke off."""
        estate, line = HandedOver(), None
        try:
            line = Line(self.scheduler, self.machine.reach(self.config.state))
            line.send({"k": "hello", "v": VERSION}, self.clock() + STEP_WITHIN)
            while self.take(estate, *line.receive(self.clock() + STEP_WITHIN)):
                pass
            if self.told_to_end:
                raise Broken("told to end")
            line.send({"k": "mine"}, self.clock() + STEP_WITHIN)
            self.estate, self.start.lock = estate, estate.lock
        except (Broken, Late, OSError, KeyError, TypeError, ValueError) as error:
            # the lock's copy too: it stays with whoever has it
            estate.close(self.machine)
            if not isinstance(error, OSError):
                self.log.warning("no hand-over", error=repr(error))
            return line is not None
        finally:
            if line is not None:
                line.close()
        return False

    def take(self, estate, message, body, fd) -> bool:
        """One row of what the old process hands over; whether more is to come."""
        kind = message["k"]
        if kind == "lock" and fd is not None:
            estate.lock = fd
            return False
        if fd is not None:
            sock = self.machine.adopt(fd)
            if kind == "listener":
                estate.listener = sock
            else:
                estate.conns.append((message, body, sock))
        elif kind == "state":
            estate.state = message
        elif kind in ("host", "learnt"):
            (estate.hosts if kind == "host" else estate.learnt).append(message["row"])
        else:
            raise ValueError(f"{kind}: {message.get('why', 'not a row that is known')}")
        return True


class HandoverServer:
    """The process that serves: waits for the next one, and hands over."""

    def __init__(self, process):
        self.process, self.scheduler, self.clock, self.log = (
            process,
            process.scheduler,
            process.scheduler.clock,
            process.log,
        )
        self.listener = None
        self.meet()
        self.scheduler.spawn_kept(self.serve)

    def meet(self) -> None:
        """Opens the meeting place. Danger: a folder that takes no file now is no reason to end: only an upgrade needs the place."""
        try:
            self.listener = self.scheduler.machine.meet(self.process.config.state)
        except OSError as error:
            self.log.error("no meeting place for upgrades", error=str(error))

    def serve(self) -> None:
        while self.listener is None:
            self.scheduler.sleep(self.clock() + SELDOM)
            self.meet()
        while not self.process.given:
            self.scheduler.wait(self.listener.fileno(), READ)
            try:
                sock, _ = self.listener.accept()
            except OSError:
                self.scheduler.sleep(self.clock() + TRY_AGAIN)
                continue
            line = Line(self.scheduler, sock)
            try:
                message, _, _ = line.receive(self.clock() + STEP_WITHIN)
                if message.get("k") != "hello" or message.get("v") != VERSION:
                    line.send(
                        {"k": "no", "why": f"version {VERSION} is spoken here"},
                        self.clock() + STEP_WITHIN,
                    )
                else:
                    self.hand_over(line)
            except (Broken, Late) as error:
                self.log.warning("no hand-over", error=repr(error))
            finally:
                line.close()
        self.listener.close()

    def hand_over(self, line) -> None:
        began, process = self.clock(), self.process
        process.hold()
        while self.clock() < began + CALM_WITHIN and not process.calm():
            self.scheduler.sleep(self.clock() + MS)
        process.clients.close_unanswered()
        # danger: their clients have not heard, and the next process could not know
        self.scheduler.pause()
        rows, error, until = process.give(began), None, self.clock() + PASS_WITHIN
        try:
            # danger: the next process goes by the log, and would not know of it
            if process.engine.unwritten:
                raise Broken("the log does not take records")
            for message, body, sock in rows:
                line.send(message, until, body, sock and sock.fileno())
            line.send({"k": "lock"}, until, fd=process.lock)
            said = line.receive(until)[0]
        except (Broken, Late) as failure:
            # Danger: its word may be on the way, and it may begin to write. After the line's end none can come any more.
            error, said = failure, {"k": "mine"} if {"k": "mine"} in line.last_words() else {}
        if said.get("k") == "mine":
            for _, _, sock in rows:
                if sock is not None and sock is not process.clients.listener:
                    sock.close()
            process.gave()
            self.log.info("handed over", rows=len(rows), ms=(self.clock() - began) // MS)
        else:
            self.log.error("hand-over broke off", error=repr(error))
            process.go_on(rows, began)


def rows_of(process, began: int):
    """All that passes, as rows (message, body, socket or None); nothing of it is used by this process unless it comes back."""
    core, rows = process.core, []
    state, learnt = core.handover_state()
    rows += [
        ({"k": "host", "row": list_entry(host, process.config)}, b"", None)
        for host in core.hosts.values()
    ]
    rows += [({"k": "learnt", "row": row}, b"", None) for row in learnt]
    calls = process.hosts.hand_over()
    process.notices.hand_over()
    rows += process.clients.hand_over() + calls
    rows.append(({"k": "listener"}, b"", process.clients.listener))
    state.update(
        k="state",
        lost=[],
        began=began,
        version=process.discovery.version,
        discovery="%s:%d" % process.config.discovery,
        discovery_in_file=process.config.discovery_in_file,
    )
    if process.membership is not None:
        state["member"] = process.membership.estate()
    return [*rows, (state, b"", None)]


def inherit(process, estate) -> ev.HandoverReceived:
    """Has connections and calls go on in the new process; what its core is to know of them."""
    held, calls, lost = process.core.callbacks, [], list(estate.state["lost"])
    for message, body, sock in estate.conns:
        kind = message["k"]
        if kind == "client":
            process.clients.adopt_connection(message, body, sock)
            continue
        if kind == "call":
            until = min(m[1] for m in message["members"])
            message["members"] = [
                [number, until] for number, _ in message["members"] if number in held
            ]
        ids = [number for number, _ in message.get("members", ())]
        if kind == "call" and not ids or message["host"] not in process.core.hosts:
            sock.close()
        elif process.hosts.adopt_connection(message, body, sock):
            if kind == "call":
                calls.append((message["n"], message["host"], ids, message["start"], until))
            continue
        lost += ids
    return ev.HandoverReceived(
        calls, lost, {route: until for route, until in estate.state["waits"]}, estate.learnt
    )
