"""How a relay ends once it was told to: named states, one place for every change of them.

SERVING: as ever. STOPPING: SIGTERM came; all goes on, as clients may have no other relay and what is taken on lives through the
restart, but no call begins that the end would cut off. LETTING_GO: no connection is taken any more, and each answer ends its
connection. LAST_ANSWERS: what stands idle is closed; who has begun a request gets its answer, calls and notices that are out are
waited for. CUTTING: what is not whole by now is not read any more; what is gets its answer. ENDED: the loop stops.
docs/design/shutdown.md tells what each party sees in each of them.
"""

from molehill.config import MS
from molehill.core import events as ev
from molehill.invariants import check_invariant

SERVING, STOPPING, LETTING_GO, LAST_ANSWERS, CUTTING, ENDED = (
    "serving",
    "stopping",
    "letting go",
    "last answers",
    "cutting",
    "ended",
)
NEXT = {
    SERVING: (STOPPING, ENDED),
    STOPPING: (LETTING_GO, ENDED),
    LETTING_GO: (LAST_ANSWERS, ENDED),
    LAST_ANSWERS: (CUTTING, ENDED),
    CUTTING: (ENDED,),
    ENDED: (),
}
# From SIGTERM on, with SIGKILL no sooner than at 3.7 s: when each state begins at the latest; the last come as soon as nobody
# is waited for.
AT = {
    STOPPING: 0,
    LETTING_GO: 3000 * MS,
    LAST_ANSWERS: 3300 * MS,
    CUTTING: 3500 * MS,
    ENDED: 3600 * MS,
}
LOOK_EVERY = 5 * MS  # whether anybody still waits for a last answer


class Shutdown:
    def __init__(self, process):
        self.process, self.scheduler, self.state, self.told = (
            process,
            process.scheduler,
            SERVING,
            None,
        )

    def begin(self) -> None:
        """The relay is told to end; told again, it goes on with that."""
        if self.told is None:
            self.told = self.scheduler.clock()
            self.scheduler.spawn_kept(self.run)

    def run(self) -> None:
        """From one state to the next, each at its time; begun anew after a fault, it goes on from where it is."""
        if self.process.given:  # another process has all of it
            self.move(ENDED)
        while self.state is not ENDED:
            state = NEXT[self.state][0]
            until = self.told + AT[state]
            if state not in (CUTTING, ENDED):
                self.scheduler.sleep(until)
            while self.scheduler.clock() < until and self.waited_for():
                self.scheduler.sleep(min(until, self.scheduler.clock() + LOOK_EVERY))
            if self.state is not ENDED:
                self.move(state)

    def waited_for(self) -> bool:
        """Whether somebody may still get what it waits for."""
        process = self.process
        if self.state is LAST_ANSWERS:
            return bool(
                process.clients.connections
                or process.notices.pending_count
                or process.hosts.calls_in_flight
            )
        return self.state is CUTTING and not process.clients.is_quiescent()

    def move(self, state) -> None:
        """Every change of the state, and what it brings with it."""
        process, before, self.state = self.process, self.state, state
        check_invariant(state in NEXT[before], "shutdown_state", before=before, after=state)
        if state is STOPPING:
            process.log.info(
                "stopping", held=len(process.core.callbacks), out=process.hosts.calls_in_flight
            )
            process.engine.post(ev.Stop(self.told + AT[LAST_ANSWERS]))
        elif state is LETTING_GO:
            process.clients.stop_accepting()
        elif state is LAST_ANSWERS:
            process.clients.close_idle_connections()
        elif state is CUTTING:
            process.clients.close_unfinished()
        else:
            if process.membership is not None and not process.given:
                process.membership.leave()
            self.scheduler.stopped = True
