"""Members of a fleet: what each believes under cuts by direction, pauses, losses, kills and false names; their bytes; their place in a relay."""

import json
import os
from itertools import permutations, product
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from molehill import config as configuration
from molehill.emulator.days import calm, upgraded
from molehill.emulator.run import Run
from molehill.emulator.scenario import Fault, FleetPlan
from molehill.emulator.world import START
from molehill.membership.member import (
    ALIVE,
    ALONE,
    CONNECTED,
    JOINING,
    LEFT,
    LOST,
    MS,
    SUPERSEDED,
    SUSPECT,
    THINNED,
    Member,
    Message,
    Rumour,
    Settings,
    Who,
)
from molehill.membership.wire import HEAD, KINDS, MOST, STANDINGS, STATES, Unread, Wire
from tests.core_harness import net_config_fields
from tests.members import Fleet, agreed, rough

SECOND = 1000 * MS


def settled(size, **given):
    fleet = Fleet(size, **given)
    fleet.run((5 + size // 4) * SECOND)
    assert fleet.all_alive() and {m.standing for m in fleet.m.values()} == {CONNECTED}
    return fleet


def within(fleet, span, done):
    """Milliseconds until `done()`, or an assertion."""
    began = fleet.now
    while not done():
        assert fleet.now - began < span, {
            n: (m.standing, fleet.view(n)) for n, m in fleet.m.items()
        }
        fleet.run(50 * MS)
    return (fleet.now - began) // MS


# Bounds from the settings alone. A dead one: each is probed within two turns of the ring, then the longest time of a suspect.
def t2(fleet):
    n = len(fleet.names)
    return (2 * n + 5 * 3 * max(1, len(str(n)))) * fleet.set.round


def t3(fleet):
    return fleet.set.alone_after + fleet.set.stalled


T4 = agreed(Fleet(3))


def test_the_last_one_is_alone_and_does_not_call_the_others_dead():
    fleet = settled(3)
    fleet.kill("r1")
    fleet.kill("r2")
    fleet.run(60 * SECOND)
    assert fleet.m["r0"].standing == ALONE and set(fleet.view("r0").values()) <= {
        SUSPECT,
        ALIVE,
        LOST,
    }


@pytest.mark.parametrize("size", [3, 5, 16, 40])
def test_a_dead_one_is_lost_to_all_and_back_as_another_process(size):
    fleet = settled(size)
    number = fleet.m["r1"].me.number
    fleet.kill("r1")
    within(fleet, t2(fleet), lambda: fleet.states_of("r1") == {LOST})
    fleet.start("r1")
    within(fleet, T4, fleet.all_alive)
    assert all(m.peers["r1"].who.number == number + 1 for n, m in fleet.m.items() if n != "r1")


def trip(cuts, names, x, y):
    """Whether a probe by x reaches y and an answer comes back, at most one helper between, as the note's table has it."""
    ok = lambda a, b: (a, b) not in cuts  # noqa: E731
    others = [h for h in names if h not in (x, y)]
    back = ok(y, x) or any(ok(y, h) and ok(h, x) for h in others)
    return (
        ok(x, y)
        and back
        or any(ok(x, h) and ok(h, y) and (ok(y, x) or ok(y, h) and ok(h, x)) for h in others)
    )


PAIRS = list(permutations(("r0", "r1", "r2"), 2))


def classes():
    """Patterns of one-way cuts among three, one of each that differ by names only."""
    seen = set()
    for bits in product((0, 1), repeat=len(PAIRS)):
        cuts = frozenset(pair for pair, bit in zip(PAIRS, bits) if bit)
        same = min(
            tuple(
                sorted(
                    (dict(zip(("r0", "r1", "r2"), turn))[a], dict(zip(("r0", "r1", "r2"), turn))[b])
                    for a, b in cuts
                )
            )
            for turn in permutations(("r0", "r1", "r2"))
        )
        if same not in seen:
            seen.add(same)
            yield cuts


@pytest.mark.parametrize(
    "cuts",
    list(classes()),
    ids=lambda cuts: ",".join(f"{a[1]}>{b[1]}" for a, b in sorted(cuts)) or "none",
)
def test_the_table_of_one_way_cuts_among_three(cuts):
    """What each is to believe for every pattern: the table in docs/design/membership.md."""
    fleet = settled(3, seed=5)
    fleet.cuts = set(cuts)
    fleet.run(25 * SECOND)
    names = fleet.names
    has = {x: any(trip(cuts, names, x, y) for y in names if y != x) for x in names}
    for _ in range(12):
        fleet.run(SECOND)
        for x, y in PAIRS:
            state = fleet.view(x)[y]
            # It hears no answer: it says so, and accuses nobody. Else who can answer is alive, and whom nobody hears is lost.
            assert state == LOST if has[x] and not has[y] else state == ALIVE, (x, y, cuts)
        assert all(fleet.m[x].standing == (CONNECTED if has[x] else ALONE) for x in names)
    fleet.heal()
    within(fleet, T4, fleet.all_alive)


@pytest.mark.parametrize("size", [3, 5, 8])
@pytest.mark.parametrize("deaf", [True, False])
def test_one_that_is_deaf_or_dumb_says_alone_by_time_alone_and_is_lost_to_all(size, deaf):
    fleet = settled(size)
    others, began = [name for name in fleet.names if name != "r2"], fleet.now
    fleet.cut(others, ["r2"], both=False) if deaf else fleet.cut(["r2"], others, both=False)
    within(fleet, t3(fleet), lambda: fleet.m["r2"].standing == ALONE)
    within(fleet, t2(fleet), lambda: fleet.states_of("r2") == {LOST})
    assert all(state in (ALIVE, SUSPECT) for state in fleet.view("r2").values())
    assert all(fleet.m[name].standing == CONNECTED for name in others)
    assert not [
        row
        for row in fleet.news
        if row[0] > began and row[2] == "member" and row[3]["by"] == "r2" and row[3]["now"] != ALIVE
    ]
    fleet.heal()
    within(fleet, T4, fleet.all_alive)


@pytest.mark.parametrize("size,parts", [(5, (2, 3)), (8, (4, 4)), (9, (3, 3, 3)), (3, (1, 2))])
def test_of_parts_that_are_cut_off_at_most_one_says_connected(size, parts):
    fleet = settled(size)
    cut, at = [], 0
    for count in parts:
        cut.append(fleet.names[at : at + count])
        at += count
    for one in cut:
        fleet.cut(one, [name for name in fleet.names if name not in one])
    fleet.run(t2(fleet) + t3(fleet))
    for _ in range(20):
        fleet.run(SECOND)
        connected = [one for one in cut if any(fleet.m[name].standing == CONNECTED for name in one)]
        assert connected == [one for one in cut if 2 * len(one) > size]
        assert all(fleet.m[one[0]].standing == ALONE for one in cut if len(one) == 1)
    fleet.heal()
    within(fleet, T4, fleet.all_alive)


@pytest.mark.parametrize("span_ms", [200, 1000, 3000, 10_000])
def test_one_that_stood_still_accuses_nobody_and_comes_back_by_a_turn(span_ms):
    """Danger: it wakes with answers unread and timers that are all due, and takes everybody for dead."""
    fleet = settled(8)
    fleet.news.clear()
    fleet.pause("r3", span_ms * MS)
    fleet.run(span_ms * MS + 100 * MS)
    assert not [
        row
        for row in fleet.news
        if row[1] == "r3" and row[2] == "member" and row[3]["now"] in (SUSPECT, LOST)
    ]
    within(fleet, T4, fleet.all_alive)
    assert fleet.m["r3"].me.number == 1 and (fleet.m["r3"].me.turn > 0 or span_ms < 3000)
    assert not [
        row
        for row in fleet.news
        if row[2] == "member" and row[3]["name"] != "r3" and row[3]["now"] == LOST
    ]


@pytest.mark.parametrize("seed", range(6))
def test_rough_days_views_never_go_back_and_agree_in_the_end(seed):
    assert rough(seed) is None


def test_a_loss_takes_the_word_of_more_than_one_or_longer():
    fleet = settled(5)
    member = fleet.m["r0"]
    one, many = member.patience(1), member.patience(4)
    assert many < one and many >= 5 * fleet.set.round


# Names


def test_two_processes_under_one_name_the_later_start_stays_for_all():
    fleet = settled(5)
    old = fleet.m["r1"]
    fleet.names.append("twin")
    twin = Member(fleet.set, "r1", ("twin", 7000), 2, {"r0": ("r0", 7000)}, Random(9), fleet.now)
    fleet.m["twin"] = twin  # at another address, under the name r1
    fleet.wake("twin", 0)
    within(fleet, T4, lambda: old.standing == SUPERSEDED)
    within(
        fleet,
        T4,
        lambda: {m.peers["r1"].who.number for n, m in fleet.m.items() if n not in ("twin", "r1")}
        == {2},
    )
    within(fleet, T4, lambda: twin.standing == CONNECTED)
    assert ("superseded", {"number": 2, "address": "twin:7000"}) in [row[2:] for row in fleet.news]
    # whatever it is told by a stream: it once took a number above the other's, and both gave up
    fleet.run(20 * SECOND)
    assert old.me.number == 1 and twin.standing == CONNECTED
    before = len(old.out)
    old.tick(fleet.now + SECOND)
    assert len(old.out) == before  # it says nothing under a name that is another's


def test_a_folder_that_was_lost_over_a_clock_set_back_takes_a_higher_number():
    fleet = settled(3)
    fleet.kill("r1")
    fleet.start("r1", number=7)
    within(fleet, T4, fleet.all_alive)
    fleet.kill("r1")
    fleet.run(SECOND)
    fleet.start("r1", number=2)
    within(fleet, T4, lambda: fleet.m["r1"].me.number > 7 and fleet.all_alive())


def test_one_that_was_forgotten_is_not_raised_by_an_old_rumour_and_can_come_back():
    times = Settings(forget_after=3 * SECOND)
    fleet = settled(4, settings=times)
    who = fleet.m["r1"].me
    fleet.kill("r1")
    within(fleet, t2(fleet) + 10 * SECOND, lambda: fleet.states_of("r1") == {None})
    member = fleet.m["r0"]
    member.told(Rumour(who, ALIVE, ("r1", 7000), "r3"), fleet.now)
    assert "r1" not in member.peers
    member.told(Rumour(who._replace(number=who.number + 1), ALIVE, ("r1", 7000), "r3"), fleet.now)
    assert member.peers["r1"].state == ALIVE


def test_leaving_is_not_being_lost():
    fleet = settled(5)
    fleet.m["r4"].leave(fleet.now)
    fleet.carry("r4")
    fleet.kill("r4")
    within(fleet, 5 * SECOND, lambda: fleet.states_of("r4") == {LEFT})
    fleet.run(t2(fleet))
    assert not [
        row
        for row in fleet.news
        if row[2] == "member" and row[3]["name"] == "r4" and row[3]["now"] in (SUSPECT, LOST)
    ]
    assert all(m.expected() == 4 for m in fleet.m.values())


def test_an_answer_to_what_was_not_asked_counts_for_nothing():
    fleet = settled(3)
    fleet.cut(["r1", "r2"], ["r0"], both=False)
    member = fleet.m["r0"]
    for _ in range(60):
        fleet.run(50 * MS)
        member.hear(
            fleet.now,
            Message("ack", fleet.m["r1"].me, ("r1", 7000), CONNECTED, seq=10_000, target="r1"),
            ("r1", 7000),
        )
        member.out.clear()
    assert member.standing == ALONE


# Bytes

WIRE = Wire("north", [b"k" * 32])
NAMES = st.text("abcz09-", min_size=1, max_size=64)
NUMBERS = st.integers(0, 2**63 - 1)
WHO = st.builds(Who, NAMES, NUMBERS, NUMBERS, NUMBERS)
PLACES = st.tuples(
    st.sampled_from(["10.0.0.1", "relay-1.north".replace("-", ""), "fe80::1"]),
    st.integers(1, 65535),
)
RUMOURS = st.builds(Rumour, WHO, st.sampled_from(STATES), PLACES, NAMES)
MESSAGES = st.builds(
    Message,
    st.sampled_from(KINDS),
    WHO,
    PLACES,
    st.sampled_from(STANDINGS),
    NUMBERS,
    st.one_of(st.just(""), NAMES),
    st.one_of(st.none(), st.tuples(NAMES, NUMBERS)),
    st.lists(RUMOURS, max_size=9).map(tuple),
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(MESSAGES)
def test_what_was_written_is_read_and_fits(message):
    data = WIRE.write(message)
    again = WIRE.read(data)
    assert len(data) <= MOST and again == message._replace(
        rumours=message.rumours[: len(again.rumours)]
    )


@settings(derandomize=True, deadline=None, max_examples=300)
@given(MESSAGES, st.integers(0, 10_000), st.integers(1, 255), st.binary(max_size=MOST + 10))
def test_spoilt_cut_and_foreign_bytes_are_refused(message, place, by, noise):
    data = bytearray(WIRE.write(message))
    data[place % len(data)] ^= by
    for bad in (
        bytes(data),
        bytes(data[:-1]),
        noise,
        WIRE.write(message) + b"x",
        Wire("south", [b"k" * 32]).write(message),
    ):
        with pytest.raises(Unread):
            WIRE.read(bad)
    # Signed as it should be and still no message: what a broken or older program would say.
    body = bytes(data[HEAD:])
    for inside in (body, noise):
        try:
            WIRE.read(bytes((1, WIRE.key_id(0))) + WIRE.mac(0, inside) + inside)
        except Unread:
            pass


def test_two_keys_count_during_a_change():
    old, new = b"o" * 16, b"n" * 16
    message = Message("word", Who("a", 1, 1, 0), ("h", 1), ALONE)
    for said, heard in (([old], [old, new]), ([old, new], [new, old]), ([new, old], [new])):
        assert Wire("f", heard).read(Wire("f", said).write(message)) == message
    with pytest.raises(Unread, match="key"):
        Wire("f", [new]).read(Wire("f", [old]).write(message))


# Its settings


def fleet_given(**rows):
    return {
        **net_config_fields(),
        "fleet": {
            "listen": "127.0.0.1:7000",
            "seeds": {"b": "127.0.0.1:7001"},
            "keys": ["00" * 16],
            **rows,
        },
    }


@pytest.mark.parametrize(
    "rows,key",
    [
        (dict(listen="nowhere"), "fleet.listen"),
        (dict(seeds={"b": "x"}), "fleet.seeds.b"),
        (dict(keys=["zz"]), "fleet.keys"),
        (dict(keys=["00"] * 2), "fleet.keys"),
        (dict(roundMs=0), "fleet.roundMs"),
        (dict(roundMs="soon"), "fleet.roundMs"),
        (dict(gossip=1), "fleet.gossip"),
        (dict(bytesPerS=-1), "fleet.bytesPerS"),
        (dict(roundMs=1500), "fleet.aloneAfterMs"),
        (dict(keyFile="/nowhere"), "fleet.keyFile"),
    ],
)
def test_a_faulty_key_of_the_fleet_is_named(rows, key):
    with pytest.raises(configuration.ConfigError, match=key.replace(".", r"\.")):
        configuration.parse_config(fleet_given(**rows), {"ROUTER_STATE": "x"})


def test_a_key_file_is_for_its_owner_alone(tmp_path):
    path = tmp_path / "key"
    path.write_text("aa" * 16 + "\n" + "bb" * 16 + "\n")
    rows = fleet_given(keyFile=str(path))
    del rows["fleet"]["keys"]
    os.chmod(path, 0o644)
    with pytest.raises(configuration.ConfigError, match="others than its owner"):
        configuration.parse_config(rows, {"ROUTER_STATE": "x"})
    os.chmod(path, 0o600)
    made = configuration.parse_config(rows, {"ROUTER_STATE": "x"})
    assert (
        made.fleet.keys == [b"\xaa" * 16, b"\xbb" * 16]
        and made.sockets
        == configuration.parse_config(net_config_fields(), {"ROUTER_STATE": "x"}).sockets - 6
    )
    assert configuration.parse_config(net_config_fields(), {"ROUTER_STATE": "x"}).fleet is None
    assert (configuration.DEFAULT_ROUND, configuration.DEFAULT_ALONE_AFTER) == (
        Settings().round,
        Settings().alone_after,
    )


def test_seeds_may_go_at_a_reload_and_a_fleet_that_begins_waits_for_a_start(tmp_path):
    path = tmp_path / "file.json"
    environ = {"ROUTER_CONFIG": str(path), "ROUTER_STATE": "x"}

    def load(given, again=None):
        path.write_text(json.dumps(given))
        return configuration.load(environ, again)

    before = load(fleet_given(seeds={"b": "127.0.0.1:7001", "c": "127.0.0.1:7002"}))
    assert load(fleet_given(), before).fleet.seeds == {"b": ("127.0.0.1", 7001)}
    assert "fleet" in configuration.changes_at_next_start(load(net_config_fields()), before)


# In relays


@pytest.mark.parametrize(
    "kind,span", [("new_dies", 0), ("old_dies", 0), ("new_hangs", 700), ("old_hangs", 700)]
)
def test_an_upgrade_that_breaks_off_leaves_one_member(kind, span):
    """Danger: it takes part no more, or twice, after the next process has died with what passed."""
    for step in range(5, 140, 27):
        run = Run(
            replace(
                upgraded(kind, step, span),
                relays=3,
                fleet=FleetPlan({"roundMs": 250, "aloneAfterMs": 1000}),
            )
        )
        verdict = run.play()
        assert verdict["ok"], (step, verdict["failure"])
        assert (
            all(row["reached"] == 3 and row["standing"] == CONNECTED for row in views(run).values())
            and len(views(run)) == 3
        )


def views(run):
    return {
        name: json.loads(node.process.membership.view())
        for name, node in run.nodes.items()
        if node.up
    }


def test_relays_of_a_fleet_find_each_other_lose_one_and_find_it_again():
    faults = [
        Fault("cut", 2000, "relays>relay3", 6000),
        Fault("freeze", 2500, "relay1", 900),
        Fault("kill", 3000, "relay2"),
        Fault("upgrade", 3500, "relay0"),
    ]
    run = Run(
        calm(
            relays=4,
            span_ms=9000,
            fleet=FleetPlan({"roundMs": 250, "aloneAfterMs": 1000}, seeds=2),
            faults=faults,
        )
    )
    run.world.run(START + 7900 * MS)
    seen = views(run)
    assert seen["relay3"]["standing"] == ALONE and all(
        seen[name]["standing"] == CONNECTED for name in ("relay0", "relay1", "relay2")
    )
    assert all(
        {m["name"]: m["state"] for m in seen[name]["members"]}["relay3"] == LOST
        for name in ("relay0", "relay1", "relay2")
    )
    verdict = run.play()
    assert verdict["ok"], verdict["failure"]
    seen = views(run)
    assert len(seen) == 4 and all(
        row["reached"] == 4 and row["standing"] == CONNECTED for row in seen.values()
    )
    # The next process of an upgrade is the same member: nobody suspected it, nobody saw another number.
    lines = [line for node in run.nodes.values() for _, line in node.lines]
    assert not [
        line
        for line in lines
        if "name='relay0'" in line and ("now='suspect'" in line or "another process" in line)
    ]
    assert run.nodes["relay0"].life == 2 and [
        line for line in lines if "another process" in line and "name='relay2'" in line
    ]


def test_with_fleet_off_nothing_of_it_is_imported():
    import subprocess
    import sys

    code = "import sys, molehill.__main__; print([m for m in sys.modules if 'membership' in m or 'msgspec' in m or 'molehill.fleet' in m])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_joining_is_not_yet_counted_and_what_is_unknown_is_not_accused():
    member = Member(Settings(), "a", ("a", 1), 1, {"b": ("b", 1)}, Random(1), 0)
    gone = Who("z", 3, 3, 0)
    member.told(Rumour(gone, SUSPECT, ("z", 1), "b"), 0)
    assert not member.peers and member.standing == ALONE
    member.told(Rumour(gone, JOINING, ("z", 1), "b"), 0)
    assert (
        member.peers["z"].state == JOINING
        and member.expected() == 1
        and THINNED not in (member.standing,)
    )
