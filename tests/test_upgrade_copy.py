"""Tests of the copy that precedes a handover, for relays with many hosts."""

from random import Random

import pytest

from molehill import interface, upgrade
from molehill.decisions.dispatcher import Dispatcher
from molehill.state_copy import ROWS_PER_MESSAGE
from tests.core_harness import MS, SECOND, DecisionHarness, Result, callback_class, drain, settings
from tests.test_upgrade import REQUEST, UpgradeHarness

OLD_PROCESS_KINDS = ("copy", "rows", "copied", "host", "learnt", "state", "lock")


class ManyHosts(UpgradeHarness):
    """An upgrade of a relay with that many more hosts, each of a destination of its own.

    `sent` has the kinds of the messages of the old process, and whether it had paused by then.
    """

    def __init__(self, folder, monkeypatch, host_count):
        self.host_count, self.sent, send = host_count, [], upgrade.MessageChannel.send
        super().__init__(folder)

        def send_and_note(channel, message, *given, **named):
            if message["k"] in OLD_PROCESS_KINDS:
                self.sent.append((message["k"], self.old.clients.is_paused))
            self.before_send(message)
            send(channel, message, *given, **named)

        monkeypatch.setattr(upgrade.MessageChannel, "send", send_and_note)

    def before_send(self, message):
        """Called before each message; replaced by tests."""

    def config(self):
        made = super().config()
        (host,) = made.known["endpoints"]
        made.known["endpoints"] += [
            {**host, "name": f"n{n}", "address": f"127.0.0.1:{n + 1}", "group": 100 + n}
            for n in range(self.host_count)
        ]
        return made

    def sent_in_pause(self):
        return [kind for kind, is_paused in self.sent if is_paused]


@pytest.fixture
def make_harness(tmp_path, monkeypatch):
    made = []

    def make(host_count):
        made.append(ManyHosts(tmp_path, monkeypatch, host_count))
        return made[-1]

    yield make
    made[-1].close()


@pytest.mark.parametrize("host_count", [0, 100, 2000])
def test_pause_of_an_upgrade_is_as_short_with_many_hosts(make_harness, host_count):
    """Guards against a list of hosts that does not pass in the pause, so that no upgrade succeeds."""
    harness = make_harness(host_count)
    new = harness.finish_upgrade(harness.start_process())
    assert new.can_serve() and len(new.core.hosts) == host_count + 1
    assert len(new.core.module.state.endpoints) == host_count + 1
    assert len(harness.sent_in_pause()) <= 5
    assert len(harness.sent) <= 5 + 2 * (host_count // ROWS_PER_MESSAGE + 2) + host_count // 16


def test_clients_are_served_while_hosts_are_copied(make_harness):
    """Guards against a relay that stands still until a long list is copied."""
    harness = make_harness(2000)
    startup, answered_after = harness.start_process(), []
    client = harness.connect_client()
    client.send(REQUEST % (b"id1", b"plain"))

    def note_answer(message):
        if message["k"] == "rows" and b" 202 " in (drain(client) or b""):
            answered_after.append(len(harness.sent))

    harness.before_send = note_answer
    new = harness.finish_upgrade(startup)
    assert answered_after and answered_after[0] < len(harness.sent) / 2
    assert "id1" in new.core.callbacks


def test_handover_that_breaks_off_is_resumed(make_harness, monkeypatch):
    """Guards against copying everything again, and against changes that are lost in between."""
    harness = make_harness(2000)
    prepare_handover, breaks = harness.old.prepare_handover, [True]

    def break_once(message):
        if message["k"] == "lock" and breaks:
            breaks.clear()
            raise upgrade.TimedOut()

    harness.before_send = break_once
    made = harness.old.core.module.state

    def change_and_prepare(*given):
        made.destinations[100].limiter.window = 17.0
        made.changed_destinations.note([100])
        return prepare_handover(*given)

    harness.old.prepare_handover = change_and_prepare
    startup = harness.start_process()
    while breaks:
        harness.advance(5 * MS)
    sent_before = len(harness.sent)
    harness.old.prepare_handover = prepare_handover
    new = harness.finish_upgrade(startup)
    assert len(harness.sent) - sent_before <= 12, "only what may not have arrived"
    assert new.core.module.state.destinations[100].limiter.window == 17.0
    assert len(new.core.module.state.endpoints) == 2001


def test_handover_between_releases_passes_everything(make_harness):
    """Guards against an upgrade that loses state because one side knows no copy."""
    harness = make_harness(100)
    harness.before_send = lambda message: message.pop("parts", None)
    harness.old.core.module.state.destinations[100].limiter.window = 17.0
    new = harness.finish_upgrade(harness.start_process())
    assert {kind for kind, _ in harness.sent} == {"host", "learnt", "state", "lock"}
    assert new.core.module.state.destinations[100].limiter.window == 17.0
    assert len(new.core.module.state.endpoints) == 101


def test_handover_that_never_succeeds_is_given_up(make_harness):
    """Guards against a new process that pauses the old one once a second for ever."""
    harness = make_harness(0)

    def break_always(message):
        if message["k"] == "lock":
            raise upgrade.TimedOut()

    harness.before_send = break_always
    startup = harness.start_process()
    harness.advance(upgrade.HANDOVER_TIME_LIMIT + 2 * SECOND, step=20 * MS)
    tries = len(harness.sent)
    harness.advance(5 * SECOND, step=20 * MS)
    assert len(harness.sent) == tries > 5 and not startup.scheduler.stopped
    assert b" 202 " in drain(harness.connect_client(REQUEST % (b"id1", b"plain")))


@pytest.mark.parametrize("seed", range(6))
def test_rows_that_are_not_noted_have_not_changed(seed):
    """Guards against learned state that changes unnoticed behind the copy."""
    random = Random(seed)
    hosts = [(n, n % 2, n % 2, 1 + n // 3) for n in range(12)]
    kinds = [interface.HostKind(False, 1), interface.HostKind(True, 2)]
    classes = [callback_class(abandon=20000), callback_class(abandon=20000, ordered=True)]
    given = settings(
        kinds=kinds, max_calls=20, callback_classes=classes, weights_are_rates=seed % 2 == 1
    )
    harness = DecisionHarness(given, hosts=hosts, seed=seed)
    module = harness.dispatcher
    module.state.changed_destinations.track()
    copy = rows_by_name(module)
    results = [Result.DELIVERED] * 5 + [Result.ERROR, Result.NO_CONNECT, Result.RESET]
    results.append(Result.TIMEOUT)
    for _ in range(300):
        if random.random() < 0.5:
            harness.submit(random.randint(0, 1), destination=random.randint(1, 4), key="k")
        if harness.in_flight and random.random() < 0.7:
            number = random.choice(list(harness.in_flight))
            refused = random.random() < 0.1
            wait = random.choice([0, 300 * MS])
            if refused:
                harness.answer(
                    number, Result.REFUSED, wait, random.choice([(0.0, None), (5.0, 0.4)])
                )
            else:
                harness.answer(number, random.choice(results))
        harness.advance(random.randint(1, 200) * MS)
        if random.random() < 0.05:
            row = harness.host_rows[random.choice(list(harness.host_rows))]
            condition = random.choice(list(interface.Condition))
            entry = interface.HostEntry(*row, condition, random.choice([1.0, 30.0]))
            harness.step([harness.list_news(interface.ListScope.UPDATE, [entry])])
        if random.random() < 0.2:
            taken = module.state.changed_destinations.take()
            changed = module.learned_rows(taken, module.hosts_by_destination())
            copy.update((row_name(row), row) for row in changed)
            assert copy.items() >= rows_by_name(module).items()


def row_name(row):
    return row.get("dest"), row.get("host")


def rows_by_name(module: Dispatcher):
    rows = module.learned_rows(module.state.destinations, module.hosts_by_destination())
    return {row_name(row): row for row in rows}
