"""Shutdown of a relay after SIGTERM: a state machine with one place for every change of state.

SERVING: normal operation.
STOPPING: SIGTERM came. Service goes on, because clients may have no other relay and accepted
callbacks outlast the restart, but no call begins that the end would interrupt.
CLOSING_CONNECTIONS: no connection is accepted any more, and each answer closes its connection.
FINISHING_REQUESTS: idle connections are closed. Requests that have begun are read and answered;
calls and notices in flight are waited for.
DROPPING_UNFINISHED: incomplete requests are not read any more; complete ones are answered.
ENDED: the loop stops.
docs/design/shutdown.md describes what each party sees in each state.
"""

from molehill.config import MS
from molehill.core import events as ev
from molehill.invariants import check_invariant

SERVING, STOPPING, CLOSING_CONNECTIONS, FINISHING_REQUESTS, DROPPING_UNFINISHED, ENDED = (
    "serving",
    "stopping",
    "letting go",
    "last answers",
    "cutting",
    "ended",
)
NEXT_STATES = {
    SERVING: (STOPPING, ENDED),
    STOPPING: (CLOSING_CONNECTIONS, ENDED),
    CLOSING_CONNECTIONS: (FINISHING_REQUESTS, ENDED),
    FINISHING_REQUESTS: (DROPPING_UNFINISHED, ENDED),
    DROPPING_UNFINISHED: (ENDED,),
    ENDED: (),
}
# Nanoseconds after SIGTERM at which each state begins at the latest; SIGKILL comes at 3.7 s at the
# earliest. The last two states begin earlier if nobody has to be waited for.
LATEST_START = {
    STOPPING: 0,
    CLOSING_CONNECTIONS: 3000 * MS,
    FINISHING_REQUESTS: 3300 * MS,
    DROPPING_UNFINISHED: 3500 * MS,
    ENDED: 3600 * MS,
}
CHECK_INTERVAL = 5 * MS  # between checks whether somebody still waits for an answer


class Shutdown:
    """The shutdown state of a process, and the task that advances it."""

    def __init__(self, process):
        self.process, self.scheduler, self.state, self.requested_at = (
            process,
            process.scheduler,
            SERVING,
            None,
        )

    def begin(self) -> None:
        """Starts the shutdown; further calls have no effect."""
        if self.requested_at is None:
            self.requested_at = self.scheduler.clock()
            self.scheduler.spawn_supervised(self.run)

    def run(self) -> None:
        """Enters each state at its time; after a fault it resumes with the current state."""
        if self.process.handed_over:  # another process has everything
            self.change_state(ENDED)
        while self.state is not ENDED:
            state = NEXT_STATES[self.state][0]
            deadline = self.requested_at + LATEST_START[state]
            if state not in (DROPPING_UNFINISHED, ENDED):
                self.scheduler.sleep_until(deadline)
            while self.scheduler.clock() < deadline and self.is_work_pending():
                self.scheduler.sleep_until(min(deadline, self.scheduler.clock() + CHECK_INTERVAL))
            if self.state is not ENDED:
                self.change_state(state)

    def is_work_pending(self) -> bool:
        """Returns whether a party may still get the answer that it waits for in this state."""
        process = self.process
        if self.state is FINISHING_REQUESTS:
            return bool(
                process.clients.connections
                or process.notices.pending_count
                or process.hosts.calls_in_flight
            )
        return self.state is DROPPING_UNFINISHED and not process.clients.is_quiescent()

    def change_state(self, state) -> None:
        """Changes the state and does what the new state requires."""
        process, before, self.state = self.process, self.state, state
        check_invariant(state in NEXT_STATES[before], "shutdown_state", before=before, after=state)
        if state is STOPPING:
            process.log.info(
                "stopping", held=len(process.core.callbacks), out=process.hosts.calls_in_flight
            )
            process.engine.post_event(ev.Stop(self.requested_at + LATEST_START[FINISHING_REQUESTS]))
        elif state is CLOSING_CONNECTIONS:
            process.clients.stop_accepting()
        elif state is FINISHING_REQUESTS:
            process.clients.close_idle_connections()
        elif state is DROPPING_UNFINISHED:
            process.clients.close_unfinished()
        else:
            if process.membership is not None and not process.handed_over:
                process.membership.leave()
            self.scheduler.stopped = True
