"""How a relay ends once it was told to: named states, one place for every change of them.

SERVING: as ever. STOPPING: SIGTERM came; all goes on, as clients may have no other relay and what is taken on lives through the
restart, but no call begins that the end would cut off. CLOSING_CONNECTIONS: no connection is taken any more, and each answer ends its
connection. FINISHING_REQUESTS: what stands idle is closed; who has begun a request gets its answer, calls and notices that are out are
waited for. DROPPING_UNFINISHED: what is not whole by now is not read any more; what is gets its answer. ENDED: the loop stops.
docs/design/shutdown.md tells what each party sees in each of them.
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
# From SIGTERM on, with SIGKILL no sooner than at 3.7 s: when each state begins at the latest; the last come as soon as nobody
# is waited for.
LATEST_START = {
    STOPPING: 0,
    CLOSING_CONNECTIONS: 3000 * MS,
    FINISHING_REQUESTS: 3300 * MS,
    DROPPING_UNFINISHED: 3500 * MS,
    ENDED: 3600 * MS,
}
CHECK_INTERVAL = 5 * MS  # whether anybody still waits for a last answer


class Shutdown:
    def __init__(self, process):
        self.process, self.scheduler, self.state, self.requested_at = (
            process,
            process.scheduler,
            SERVING,
            None,
        )

    def begin(self) -> None:
        """The relay is told to end; told again, it goes on with that."""
        if self.requested_at is None:
            self.requested_at = self.scheduler.clock()
            self.scheduler.spawn_supervised(self.run)

    def run(self) -> None:
        """From one state to the next, each at its time; begun anew after a fault, it goes on from where it is."""
        if self.process.handed_over:  # another process has all of it
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
        """Whether somebody may still get what it waits for."""
        process = self.process
        if self.state is FINISHING_REQUESTS:
            return bool(
                process.clients.connections
                or process.notices.pending_count
                or process.hosts.calls_in_flight
            )
        return self.state is DROPPING_UNFINISHED and not process.clients.is_quiescent()

    def change_state(self, state) -> None:
        """Every change of the state, and what it brings with it."""
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
