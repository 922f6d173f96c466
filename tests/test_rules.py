"""Seeded random runs: whatever comes, the ledger finds the six rules kept after every step."""

from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from molehill import interface as it
from tests.ledger import MS, SECOND, R, World, category, settings

CATEGORIES = [
    category("rerunnable"),
    category("ticketed", window=1500, ordered=True),
    category("exclusive", abandon=8000),
    category("ticketed", window=2500, same_zone=True, payoff=3.0),
]
HOSTS = ((1, 0, 0, 1), (2, 1, 0, 1), (3, 0, 1, 2), (4, 1, 1, 2), (5, 0, 2, 3))
ANSWERS = [R.DELIVERED] * 4 + [R.ERROR, R.FULL, R.NO_CONNECT, R.RESET, R.CANCELLED, R.NOT_SENT]


class Days(RuleBasedStateMachine):
    @initialize(
        seed=st.integers(0, 2**40),
        slots=st.integers(1, 9),
        relays=st.integers(1, 4),
        held=st.sampled_from([None, 6, 60]),
        rates=st.booleans(),
        halving=st.booleans(),
        bare=st.booleans(),
    )
    def begin(self, seed, slots, relays, held, rates, halving, bare):
        given = dict(
            categories=CATEGORIES,
            kinds=[it.Kind(False, 1), it.Kind(True, 1), it.Kind(False, 4)],
            slots=slots,
            connection_idle=SECOND,
            relays=relays,
            max_held=held,
            units_are_rates=rates,
            halving=halving,
            zone_fees=[0.1, 0.0],
            over_share_payoff=0.1,
            tenants=[it.Tenant(0.5, 4.0), it.Tenant(0.5, None)],
        )
        if bare:
            given.update(fall_span=None, fall_multiple=None, cold_from=None, ramp_time=None)
        self.world = World(settings(**given), HOSTS, seed)

    @rule(
        cat=st.integers(0, 3),
        dest=st.integers(1, 4),
        key=st.sampled_from([None, "a", "b"]),
        tenant=st.integers(0, 1),
        count=st.integers(1, 6),
    )
    def take(self, cat, dest, key, tenant, count):
        for _ in range(count):
            self.world.take(cat, dest, key, tenant)

    @rule(cat=st.integers(0, 3), abandon=st.integers(-5, 400))
    def take_late(self, cat, abandon):
        number = self.world.take(cat, key="a", abandon=abandon * MS)
        assert abandon > 0 or number in self.world.final

    @precondition(lambda self: self.world.out)
    @rule(
        pick=st.integers(0, 50),
        result=st.sampled_from(ANSWERS),
        wait=st.sampled_from([0, 300, 4000]),
        every=st.booleans(),
    )
    def answer(self, pick, result, wait, every):
        out = sorted(self.world.out)
        for number in out if every else [out[pick % len(out)]]:
            if number in self.world.out:
                self.world.answer(number, result, wait * MS)

    @rule(span=st.sampled_from([1, 20, 150, 700, 3000]))
    def wait(self, span):
        self.world.advance(span * MS)

    @rule(
        host=st.sampled_from(HOSTS),
        condition=st.sampled_from(list(it.Condition)),
        whole=st.booleans(),
    )
    def relist(self, host, condition, whole):
        entries = [it.HostEntry(*host, condition, 2.0)]
        if whole and condition is not it.Condition.UP:
            entries = [it.HostEntry(*h, it.Condition.UP, 2.0) for h in HOSTS if h != host]
        scope = it.Scope.WHOLE if whole else it.Scope.UPDATE
        self.world.step([self.world.news(scope, entries)])

    @rule(number=st.integers(1, 40))
    def odd_events(self, number):
        """Outcomes and withdrawals for what is over, a list call that failed, a timer nobody set."""
        events = [it.ListNews(it.Scope.FAILED, []), it.Timer("wake")]
        if number in self.world.final and number not in self.world.out:
            events += [it.Outcome(number, 0, 1, R.TIMEOUT, 5, 0, True), it.Withdrawn(number)]
        self.world.step(events)

    @precondition(lambda self: self.world.open)
    @rule()
    def withdrawn(self):
        number = min(self.world.open)
        self.world.final[number] = self.world.open.pop(number)
        self.world.step([it.Withdrawn(number)])

    @rule()
    def restart(self):
        self.world.start([it.HostEntry(*h, it.Condition.UP, 2.0) for h in HOSTS])

    def teardown(self):
        if hasattr(self, "world"):
            self.world.advance(30_000 * MS)
            module = self.world.relay
            assert not self.world.open and not module.state.held and not module.lifecycle.keys


Days.TestCase.settings = profile(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40, database=None
)
TestDays = Days.TestCase
