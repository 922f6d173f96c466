"""Seeded random runs: whatever events arrive, the harness finds the six rules kept at each step."""

from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from molehill import interface
from tests.core_harness import MS, SECOND, DecisionHarness, Result, callback_class, settings

CALLBACK_CLASSES = [
    callback_class("rerunnable"),
    callback_class("ticketed", window=1500, ordered=True),
    callback_class("exclusive", abandon=8000),
    callback_class("ticketed", window=2500, same_zone=True, payoff=3.0),
]
HOSTS = ((1, 0, 0, 1), (2, 1, 0, 1), (3, 0, 1, 2), (4, 1, 1, 2), (5, 0, 2, 3))
ANSWERS = [Result.DELIVERED] * 4 + [
    Result.ERROR,
    Result.REFUSED,
    Result.NO_CONNECT,
    Result.RESET,
    Result.CANCELLED,
    Result.NOT_SENT,
]


class RandomEvents(RuleBasedStateMachine):
    @initialize(
        seed=st.integers(0, 2**40),
        max_calls=st.integers(1, 9),
        relay_count=st.integers(1, 4),
        max_pending=st.sampled_from([None, 6, 60]),
        weights_are_rates=st.booleans(),
        value_halves=st.booleans(),
        without_guarantees=st.booleans(),
    )
    def begin(
        self,
        seed,
        max_calls,
        relay_count,
        max_pending,
        weights_are_rates,
        value_halves,
        without_guarantees,
    ):
        given = dict(
            callback_classes=CALLBACK_CLASSES,
            kinds=[
                interface.HostKind(False, 1),
                interface.HostKind(True, 1),
                interface.HostKind(False, 4),
            ],
            max_calls=max_calls,
            connection_idle=SECOND,
            relay_count=relay_count,
            max_pending=max_pending,
            weights_are_rates=weights_are_rates,
            value_halves=value_halves,
            zone_fees=[0.1, 0.0],
            over_quota_value_factor=0.1,
            tenants=[interface.Tenant(0.5, 4.0), interface.Tenant(0.5, None)],
        )
        if without_guarantees:
            given.update(
                overload_span=None,
                overload_multiple=None,
                cold_capacity_share=None,
                slow_start_time=None,
            )
        self.harness = DecisionHarness(settings(**given), HOSTS, seed)

    @rule(
        class_index=st.integers(0, 3),
        destination=st.integers(1, 4),
        key=st.sampled_from([None, "a", "b"]),
        tenant=st.integers(0, 1),
        count=st.integers(1, 6),
    )
    def submit(self, class_index, destination, key, tenant, count):
        for _ in range(count):
            self.harness.submit(class_index, destination, key, tenant)

    @rule(class_index=st.integers(0, 3), time_limit=st.integers(-5, 400))
    def submit_late(self, class_index, time_limit):
        number = self.harness.submit(class_index, key="a", abandon=time_limit * MS)
        assert time_limit > 0 or number in self.harness.completed

    @precondition(lambda self: self.harness.in_flight)
    @rule(
        index=st.integers(0, 50),
        result=st.sampled_from(ANSWERS),
        retry_after=st.sampled_from([0, 300, 4000]),
        answer_all=st.booleans(),
    )
    def answer(self, index, result, retry_after, answer_all):
        in_flight = sorted(self.harness.in_flight)
        for number in in_flight if answer_all else [in_flight[index % len(in_flight)]]:
            if number in self.harness.in_flight:
                self.harness.answer(number, result, retry_after * MS)

    @rule(span=st.sampled_from([1, 20, 150, 700, 3000]))
    def wait(self, span):
        self.harness.advance(span * MS)

    @rule(
        host=st.sampled_from(HOSTS),
        condition=st.sampled_from(list(interface.Condition)),
        whole=st.booleans(),
    )
    def update_host_list(self, host, condition, whole):
        entries = [interface.HostEntry(*host, condition, 2.0)]
        if whole and condition is not interface.Condition.UP:
            entries = [
                interface.HostEntry(*h, interface.Condition.UP, 2.0) for h in HOSTS if h != host
            ]
        scope = interface.ListScope.WHOLE if whole else interface.ListScope.UPDATE
        self.harness.step([self.harness.list_news(scope, entries)])

    @rule(number=st.integers(1, 40))
    def send_stray_events(self, number):
        """Sends events that nothing waits for.

        These are outcomes and withdrawals of completed callbacks, a failed list request, and a
        timer that was not set.
        """
        events = [
            interface.HostListUpdate(interface.ListScope.FAILED, []),
            interface.TimerExpired("wake"),
        ]
        if number in self.harness.completed and number not in self.harness.in_flight:
            events += [
                interface.Outcome(number, 0, 1, Result.TIMEOUT, 5, 0, True),
                interface.CallbackWithdrawn(number),
            ]
        self.harness.step(events)

    @precondition(lambda self: self.harness.open_callbacks)
    @rule()
    def withdraw(self):
        number = min(self.harness.open_callbacks)
        self.harness.completed[number] = self.harness.open_callbacks.pop(number)
        self.harness.step([interface.CallbackWithdrawn(number)])

    @rule()
    def restart(self):
        self.harness.start([interface.HostEntry(*h, interface.Condition.UP, 2.0) for h in HOSTS])

    def teardown(self):
        if hasattr(self, "harness"):
            self.harness.advance(30_000 * MS)
            module = self.harness.dispatcher
            assert (
                not self.harness.open_callbacks
                and not module.state.callbacks_by_id
                and not module.lifecycle.callbacks_by_key
            )


RandomEvents.TestCase.settings = profile(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40, database=None
)
TestRandomEvents = RandomEvents.TestCase
