"""Known mistakes of the rig itself, planted in memory.

Its checks must find them, or a good verdict means nothing.
Those of relays belong to the emulator (`molehill/emulator/mutations.py`) and are put into processes
by hooked.py. Used by measurements and tests only.
"""

from contextlib import contextmanager

from molehill.fleet import history, proxy
from molehill.fleet.world import World


def lets_all_through(before):
    """The proxy counts what it ought to hold back, but forwards it."""

    def is_blocked(self):
        return False

    return is_blocked


def other_way_round(before):
    """Faults fall on the opposite direction."""
    return lambda scenario, who: [(b, a) for a, b in before(scenario, who)]


def some_twice(before):
    """The proxy forwards a tenth of the data twice."""

    def push(self, what, size=0):
        before(self, what, size)
        if size and self.direction.chance.random() < 0.1:
            before(self, what, size)

    return push


def order_of_processes(before):
    """Events are ordered by process, not by time."""

    def read(folder):
        found = before(folder)
        found.rows = sorted(found.rows, key=lambda row: (row[1].startswith("program"), row[0]))
        return found

    return read


def stamped_late(before):
    """The clock of the programs' process is 80 ms fast."""

    def read(folder):
        found = before(folder)
        found.rows = sorted(
            (
                (now + 80_000_000 * who.startswith("program"), who, what, facts)
                for now, who, what, facts in found.rows
            ),
            key=lambda row: row[0],
        )
        return found

    return read


def never_late(before):
    """The rig does not notice its own lateness."""

    def measure_lateness(self):
        before(self)
        self.max_lateness = -1

    return measure_lateness


# name -> (process that has it: cables or checker; owner of the attribute, the attribute, function
# that makes the wrong one of the right one)
MUTATIONS = {
    "a cut lets all through": ("cables", proxy.Direction, "is_blocked", lets_all_through),
    "a cut falls on the other direction": ("cables", proxy, "directions", other_way_round),
    "a cable says some things twice": ("cables", proxy.Pipe, "push", some_twice),
    "a rig that measures no lateness": ("cables", World, "measure_lateness", never_late),
    "histories merged by process": ("checker", history, "read", order_of_processes),
    "one process stamps late": ("checker", history, "read", stamped_late),
}


@contextmanager
def mutated(name: str, process: str):
    """Plants that mistake for the duration of the block, if it belongs to `process`."""
    where, place, attribute, change = MUTATIONS[name]
    before = getattr(place, attribute)
    if where == process:
        setattr(place, attribute, change(before))
    try:
        yield
    finally:
        setattr(place, attribute, before)
