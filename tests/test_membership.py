"""Tests membership: the failure detector, its message codec, its settings and its use in relays.

The failure detector runs under one-way cuts, pauses, message loss, kills and duplicate names.
"""

import json
import os
from itertools import permutations, product
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from molehill import config as configuration
from molehill.emulator.run import Run
from molehill.emulator.sample_scenarios import simple_scenario, upgrade_scenario
from molehill.emulator.scenario import Fault, FleetPlan
from molehill.emulator.world import START
from molehill.membership.codec import (
    HEADER_BYTES,
    KINDS,
    MAX_MESSAGE_BYTES,
    STANDINGS,
    STATES,
    InvalidMessage,
    MessageCodec,
)
from molehill.membership.member import (
    ALIVE,
    ALONE,
    CONNECTED,
    JOINING,
    LEFT,
    LOST,
    MS,
    NO_MAJORITY,
    SUPERSEDED,
    SUSPECT,
    Identity,
    Member,
    Message,
    Rumour,
    Settings,
)
from tests.core_harness import net_config_fields
from tests.simulated_fleet import SimulatedFleet, agreement_bound, run_random_faults

SECOND = 1000 * MS


def settled_fleet(size, **given):
    """Return a simulated fleet in which all members are connected and see each other alive."""
    fleet = SimulatedFleet(size, **given)
    fleet.run((5 + size // 4) * SECOND)
    assert fleet.all_alive() and {m.standing for m in fleet.members.values()} == {CONNECTED}
    return fleet


def time_until(fleet, span, condition):
    """Run until `condition()` holds and return the milliseconds; fail if `span` passes first."""
    began = fleet.now
    while not condition():
        assert fleet.now - began < span, {
            n: (m.standing, fleet.states_seen_by(n)) for n, m in fleet.members.items()
        }
        fleet.run(50 * MS)
    return (fleet.now - began) // MS


# The bounds follow from the settings alone.


def loss_detection_bound(fleet):
    """Return the span within which a dead member is known to be lost, in nanoseconds.

    Each member is probed within two rounds of targets; the longest suspicion timeout follows.
    """
    n = len(fleet.names)
    return (2 * n + 5 * 3 * max(1, len(str(n)))) * fleet.settings.protocol_period


def isolation_bound(fleet):
    """Return the span within which an isolated member reports that it is alone."""
    return fleet.settings.alone_after + fleet.settings.stall_threshold


AGREEMENT_BOUND = agreement_bound(SimulatedFleet(3))


def test_last_survivor_says_alone():
    fleet = settled_fleet(3)
    fleet.kill("r1")
    fleet.kill("r2")
    fleet.run(60 * SECOND)
    assert fleet.members["r0"].standing == ALONE and set(fleet.states_seen_by("r0").values()) <= {
        SUSPECT,
        ALIVE,
        LOST,
    }


@pytest.mark.parametrize("size", [3, 5, 16, 40])
def test_killed_member_is_lost_and_returns_as_new_process(size):
    fleet = settled_fleet(size)
    generation = fleet.members["r1"].own_identity.generation
    fleet.kill("r1")
    time_until(fleet, loss_detection_bound(fleet), lambda: fleet.states_of("r1") == {LOST})
    fleet.start("r1")
    time_until(fleet, AGREEMENT_BOUND, fleet.all_alive)
    assert all(
        m.peers["r1"].identity.generation == generation + 1
        for n, m in fleet.members.items()
        if n != "r1"
    )


def probe_succeeds(cuts, names, prober, target):
    """Return whether a probe reaches `target` and an answer returns to `prober`.

    At most one helper is between them, as in the table in docs/design/membership.md.
    """
    passes = lambda a, b: (a, b) not in cuts  # noqa: E731
    others = [helper for helper in names if helper not in (prober, target)]
    back = passes(target, prober) or any(
        passes(target, helper) and passes(helper, prober) for helper in others
    )
    return (
        passes(prober, target)
        and back
        or any(
            passes(prober, helper)
            and passes(helper, target)
            and (passes(target, prober) or passes(target, helper) and passes(helper, prober))
            for helper in others
        )
    )


PAIRS = list(permutations(("r0", "r1", "r2"), 2))


def cut_patterns():
    """Yield the patterns of one-way cuts among three members, one of each that differ by names."""
    seen = set()
    for bits in product((0, 1), repeat=len(PAIRS)):
        cuts = frozenset(pair for pair, bit in zip(PAIRS, bits) if bit)
        canonical = min(
            tuple(
                sorted(
                    (
                        dict(zip(("r0", "r1", "r2"), permutation))[a],
                        dict(zip(("r0", "r1", "r2"), permutation))[b],
                    )
                    for a, b in cuts
                )
            )
            for permutation in permutations(("r0", "r1", "r2"))
        )
        if canonical not in seen:
            seen.add(canonical)
            yield cuts


@pytest.mark.parametrize(
    "cuts",
    list(cut_patterns()),
    ids=lambda cuts: ",".join(f"{a[1]}>{b[1]}" for a, b in sorted(cuts)) or "none",
)
def test_every_pattern_of_one_way_cuts_among_three(cuts):
    """Checks each member's view for every pattern, as in the table in docs/design/membership.md."""
    fleet = settled_fleet(3, seed=5)
    fleet.cuts = set(cuts)
    fleet.run(25 * SECOND)
    names = fleet.names
    gets_acks = {
        prober: any(
            probe_succeeds(cuts, names, prober, target) for target in names if target != prober
        )
        for prober in names
    }
    for _ in range(12):
        fleet.run(SECOND)
        for prober, target in PAIRS:
            state = fleet.states_seen_by(prober)[target]
            # A prober that receives no answers reports itself as alone and suspects nobody. For any
            # other prober, a member that can answer is alive, and one that nobody hears is lost.
            assert (
                state == LOST if gets_acks[prober] and not gets_acks[target] else state == ALIVE
            ), (prober, target, cuts)
        assert all(
            fleet.members[prober].standing == (CONNECTED if gets_acks[prober] else ALONE)
            for prober in names
        )
    fleet.heal()
    time_until(fleet, AGREEMENT_BOUND, fleet.all_alive)


@pytest.mark.parametrize("size", [3, 5, 8])
@pytest.mark.parametrize("inbound", [True, False])
def test_member_cut_one_way_says_alone_and_is_lost(size, inbound):
    fleet = settled_fleet(size)
    others, began = [name for name in fleet.names if name != "r2"], fleet.now
    fleet.cut(others, ["r2"], both=False) if inbound else fleet.cut(["r2"], others, both=False)
    time_until(fleet, isolation_bound(fleet), lambda: fleet.members["r2"].standing == ALONE)
    time_until(fleet, loss_detection_bound(fleet), lambda: fleet.states_of("r2") == {LOST})
    assert all(state in (ALIVE, SUSPECT) for state in fleet.states_seen_by("r2").values())
    assert all(fleet.members[name].standing == CONNECTED for name in others)
    assert not [
        row
        for row in fleet.events
        if row[0] > began and row[2] == "member" and row[3]["by"] == "r2" and row[3]["now"] != ALIVE
    ]
    fleet.heal()
    time_until(fleet, AGREEMENT_BOUND, fleet.all_alive)


@pytest.mark.parametrize("size,parts", [(5, (2, 3)), (8, (4, 4)), (9, (3, 3, 3)), (3, (1, 2))])
def test_at_most_one_partition_says_connected(size, parts):
    fleet = settled_fleet(size)
    partitions, start = [], 0
    for part_size in parts:
        partitions.append(fleet.names[start : start + part_size])
        start += part_size
    for part in partitions:
        fleet.cut(part, [name for name in fleet.names if name not in part])
    fleet.run(loss_detection_bound(fleet) + isolation_bound(fleet))
    for _ in range(20):
        fleet.run(SECOND)
        connected = [
            part
            for part in partitions
            if any(fleet.members[name].standing == CONNECTED for name in part)
        ]
        assert connected == [part for part in partitions if 2 * len(part) > size]
        assert all(
            fleet.members[part[0]].standing == ALONE for part in partitions if len(part) == 1
        )
    fleet.heal()
    time_until(fleet, AGREEMENT_BOUND, fleet.all_alive)


@pytest.mark.parametrize("span_ms", [200, 1000, 3000, 10_000])
def test_stalled_member_suspects_nobody_and_refutes(span_ms):
    """Guards against a stalled member that declares every other member lost when it resumes.

    This happens because it has unread answers, and its timers are all due.
    """
    fleet = settled_fleet(8)
    fleet.events.clear()
    fleet.pause("r3", span_ms * MS)
    fleet.run(span_ms * MS + 100 * MS)
    assert not [
        row
        for row in fleet.events
        if row[1] == "r3" and row[2] == "member" and row[3]["now"] in (SUSPECT, LOST)
    ]
    time_until(fleet, AGREEMENT_BOUND, fleet.all_alive)
    assert fleet.members["r3"].own_identity.generation == 1 and (
        fleet.members["r3"].own_identity.incarnation > 0 or span_ms < 3000
    )
    assert not [
        row
        for row in fleet.events
        if row[2] == "member" and row[3]["name"] != "r3" and row[3]["now"] == LOST
    ]


@pytest.mark.parametrize("seed", range(6))
def test_views_never_go_back_and_agree_after_random_faults(seed):
    assert run_random_faults(seed) is None


def test_confirmations_shorten_the_suspicion_timeout():
    fleet = settled_fleet(5)
    member = fleet.members["r0"]
    unconfirmed, confirmed = member.suspicion_timeout(1), member.suspicion_timeout(4)
    assert confirmed < unconfirmed and confirmed >= 5 * fleet.settings.protocol_period


# Processes and identities


def test_later_start_supersedes_process_of_same_name():
    fleet = settled_fleet(5)
    old = fleet.members["r1"]
    fleet.names.append("twin")
    twin = Member(
        fleet.settings, "r1", ("twin", 7000), 2, {"r0": ("r0", 7000)}, Random(9), fleet.now
    )
    fleet.members["twin"] = twin  # at another address, with the name r1
    fleet.schedule_tick("twin", 0)
    time_until(fleet, AGREEMENT_BOUND, lambda: old.standing == SUPERSEDED)
    time_until(
        fleet,
        AGREEMENT_BOUND,
        lambda: {
            m.peers["r1"].identity.generation
            for n, m in fleet.members.items()
            if n not in ("twin", "r1")
        }
        == {2},
    )
    time_until(fleet, AGREEMENT_BOUND, lambda: twin.standing == CONNECTED)
    assert ("superseded", {"number": 2, "address": "twin:7000"}) in [
        row[2:] for row in fleet.events
    ]
    # The old process keeps its generation, also after a sync over a stream. It once took a
    # generation above the other's, and both gave up.
    fleet.run(20 * SECOND)
    assert old.own_identity.generation == 1 and twin.standing == CONNECTED
    before = len(old.outbox)
    old.tick(fleet.now + SECOND)
    assert len(old.outbox) == before  # it sends nothing under a name that another process has


def test_lost_state_and_clock_set_back_take_higher_generation():
    fleet = settled_fleet(3)
    fleet.kill("r1")
    fleet.start("r1", generation=7)
    time_until(fleet, AGREEMENT_BOUND, fleet.all_alive)
    fleet.kill("r1")
    fleet.run(SECOND)
    fleet.start("r1", generation=2)
    time_until(
        fleet,
        AGREEMENT_BOUND,
        lambda: fleet.members["r1"].own_identity.generation > 7 and fleet.all_alive(),
    )


def test_forgotten_member_returns_only_with_newer_identity():
    fleet_settings = Settings(forget_after=3 * SECOND)
    fleet = settled_fleet(4, settings=fleet_settings)
    identity = fleet.members["r1"].own_identity
    fleet.kill("r1")
    time_until(
        fleet, loss_detection_bound(fleet) + 10 * SECOND, lambda: fleet.states_of("r1") == {None}
    )
    member = fleet.members["r0"]
    member.apply_rumour(Rumour(identity, ALIVE, ("r1", 7000), "r3"), fleet.now)
    assert "r1" not in member.peers
    member.apply_rumour(
        Rumour(identity._replace(generation=identity.generation + 1), ALIVE, ("r1", 7000), "r3"),
        fleet.now,
    )
    assert member.peers["r1"].state == ALIVE


def test_leaving_member_is_not_suspected_or_lost():
    fleet = settled_fleet(5)
    fleet.members["r4"].leave(fleet.now)
    fleet.flush("r4")
    fleet.kill("r4")
    time_until(fleet, 5 * SECOND, lambda: fleet.states_of("r4") == {LEFT})
    fleet.run(loss_detection_bound(fleet))
    assert not [
        row
        for row in fleet.events
        if row[2] == "member" and row[3]["name"] == "r4" and row[3]["now"] in (SUSPECT, LOST)
    ]
    assert all(m.expected_count() == 4 for m in fleet.members.values())


def test_unsolicited_ack_is_ignored():
    fleet = settled_fleet(3)
    fleet.cut(["r1", "r2"], ["r0"], both=False)
    member = fleet.members["r0"]
    for _ in range(60):
        fleet.run(50 * MS)
        member.receive(
            fleet.now,
            Message(
                "ack",
                fleet.members["r1"].own_identity,
                ("r1", 7000),
                CONNECTED,
                sequence=10_000,
                target="r1",
            ),
            ("r1", 7000),
        )
        member.outbox.clear()
    assert member.standing == ALONE


# Codec

CODEC = MessageCodec("north", [b"k" * 32])
NAMES = st.text("abcz09-", min_size=1, max_size=64)
NUMBERS = st.integers(0, 2**63 - 1)
IDENTITIES = st.builds(Identity, NAMES, NUMBERS, NUMBERS, NUMBERS)
ADDRESSES = st.tuples(
    st.sampled_from(["10.0.0.1", "relay-1.north".replace("-", ""), "fe80::1"]),
    st.integers(1, 65535),
)
RUMOURS = st.builds(Rumour, IDENTITIES, st.sampled_from(STATES), ADDRESSES, NAMES)
MESSAGES = st.builds(
    Message,
    st.sampled_from(KINDS),
    IDENTITIES,
    ADDRESSES,
    st.sampled_from(STANDINGS),
    NUMBERS,
    st.one_of(st.just(""), NAMES),
    st.one_of(st.none(), st.tuples(NAMES, NUMBERS)),
    st.lists(RUMOURS, max_size=9).map(tuple),
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(MESSAGES)
def test_encoded_message_decodes_and_fits_a_datagram(message):
    data = CODEC.encode(message)
    decoded = CODEC.decode(data)
    assert len(data) <= MAX_MESSAGE_BYTES and decoded == message._replace(
        rumours=message.rumours[: len(decoded.rumours)]
    )


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    MESSAGES,
    st.integers(0, 10_000),
    st.integers(1, 255),
    st.binary(max_size=MAX_MESSAGE_BYTES + 10),
)
def test_corrupt_truncated_and_foreign_bytes_are_rejected(message, position, flipped_bits, noise):
    data = bytearray(CODEC.encode(message))
    data[position % len(data)] ^= flipped_bits
    for corrupt in (
        bytes(data),
        bytes(data[:-1]),
        noise,
        CODEC.encode(message) + b"x",
        MessageCodec("south", [b"k" * 32]).encode(message),
    ):
        with pytest.raises(InvalidMessage):
            CODEC.decode(corrupt)
    # Correctly signed but possibly invalid, as a faulty or older program would send it.
    body = bytes(data[HEADER_BYTES:])
    for payload in (body, noise):
        try:
            CODEC.decode(bytes((1, CODEC.key_id(0))) + CODEC.compute_mac(0, payload) + payload)
        except InvalidMessage:
            pass


def test_two_keys_are_accepted_during_rotation():
    old, new = b"o" * 16, b"n" * 16
    message = Message("word", Identity("a", 1, 1, 0), ("h", 1), ALONE)
    for sender_keys, receiver_keys in (
        ([old], [old, new]),
        ([old, new], [new, old]),
        ([new, old], [new]),
    ):
        assert (
            MessageCodec("f", receiver_keys).decode(MessageCodec("f", sender_keys).encode(message))
            == message
        )
    with pytest.raises(InvalidMessage, match="key"):
        MessageCodec("f", [new]).decode(MessageCodec("f", [old]).encode(message))


# Settings of the fleet


def fleet_config(**rows):
    """Return a configuration with a `fleet` section, changed by `rows`."""
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
def test_invalid_fleet_setting_is_named(rows, key):
    with pytest.raises(configuration.ConfigError, match=key.replace(".", r"\.")):
        configuration.parse_config(fleet_config(**rows), {"ROUTER_STATE": "x"})


def test_key_file_must_be_private_to_owner(tmp_path):
    path = tmp_path / "key"
    path.write_text("aa" * 16 + "\n" + "bb" * 16 + "\n")
    rows = fleet_config(keyFile=str(path))
    del rows["fleet"]["keys"]
    os.chmod(path, 0o644)
    with pytest.raises(configuration.ConfigError, match="others than its owner"):
        configuration.parse_config(rows, {"ROUTER_STATE": "x"})
    os.chmod(path, 0o600)
    parsed = configuration.parse_config(rows, {"ROUTER_STATE": "x"})
    assert (
        parsed.fleet.keys == [b"\xaa" * 16, b"\xbb" * 16]
        and parsed.sockets
        == configuration.parse_config(net_config_fields(), {"ROUTER_STATE": "x"}).sockets - 6
    )
    assert configuration.parse_config(net_config_fields(), {"ROUTER_STATE": "x"}).fleet is None
    assert (configuration.DEFAULT_ROUND, configuration.DEFAULT_ALONE_AFTER) == (
        Settings().protocol_period,
        Settings().alone_after,
    )


def test_reload_changes_seeds_and_new_fleet_waits_for_restart(tmp_path):
    path = tmp_path / "file.json"
    environ = {"ROUTER_CONFIG": str(path), "ROUTER_STATE": "x"}

    def load(given, running=None):
        path.write_text(json.dumps(given))
        return configuration.load(environ, running)

    before = load(fleet_config(seeds={"b": "127.0.0.1:7001", "c": "127.0.0.1:7002"}))
    assert load(fleet_config(), before).fleet.seeds == {"b": ("127.0.0.1", 7001)}
    assert "fleet" in configuration.changes_at_next_start(load(net_config_fields()), before)


# In relays


@pytest.mark.parametrize(
    "kind,span", [("new_dies", 0), ("old_dies", 0), ("new_hangs", 700), ("old_hangs", 700)]
)
def test_failed_upgrade_leaves_one_member(kind, span):
    """Guards against a relay that takes part no more, or twice, after an upgrade has failed.

    This happens when the next process dies or hangs with the state that was handed over.
    """
    for step in range(5, 140, 27):
        run = Run(
            replace(
                upgrade_scenario(kind, step, span),
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
    """Return the membership view of each relay that is up, by name."""
    return {
        name: json.loads(node.process.membership.view_json())
        for name, node in run.nodes.items()
        if node.up
    }


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_relays_detect_a_lost_relay_and_its_return(seed):
    faults = [
        Fault("cut", 2000, "relays>relay3", 8000),
        Fault("freeze", 2500, "relay1", 900),
        Fault("kill", 3000, "relay2"),
        Fault("upgrade", 3500, "relay0"),
    ]
    run = Run(
        simple_scenario(
            relays=4,
            span_ms=11000,
            fleet=FleetPlan({"roundMs": 250, "aloneAfterMs": 1000}, seeds=2),
            faults=faults,
            seed=seed,
        )
    )
    run.world.run(START + 9750 * MS)  # T2 of molehill/fleet/members.py after the cut
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
    # The next process of an upgrade is the same member to others: nobody suspected it or saw
    # another generation.
    lines = [line for node in run.nodes.values() for _, line in node.log_lines]
    assert not [
        line
        for line in lines
        if "name='relay0'" in line and ("now='suspect'" in line or "another process" in line)
    ]
    assert run.nodes["relay0"].start_count == 2 and [
        line for line in lines if "another process" in line and "name='relay2'" in line
    ]


def test_membership_is_not_imported_without_fleet():
    import subprocess
    import sys

    code = (
        "import sys, molehill.__main__; print([m for m in sys.modules"
        " if 'membership' in m or 'msgspec' in m or 'molehill.fleet' in m])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"


def test_joining_member_is_not_counted_nor_unknown_suspected():
    member = Member(Settings(), "a", ("a", 1), 1, {"b": ("b", 1)}, Random(1), 0)
    gone = Identity("z", 3, 3, 0)
    member.apply_rumour(Rumour(gone, SUSPECT, ("z", 1), "b"), 0)
    assert not member.peers and member.standing == ALONE
    member.apply_rumour(Rumour(gone, JOINING, ("z", 1), "b"), 0)
    assert (
        member.peers["z"].state == JOINING
        and member.expected_count() == 1
        and NO_MAJORITY not in (member.standing,)
    )
