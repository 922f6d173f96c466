"""Clients that send at full speed what nobody should, beside usual ones; real processes."""

from molehill.soak import rig
from molehill.soak.attackers import AttackKind
from molehill.soak.plan import Attack, Plan

ATTACK_S = 5.0  # a relay that answers nobody for 3 s of it breaks a rule


def violations(folder, attack: Attack, sockets: int = 256):
    """Runs an attack and returns the rules that were broken; limits on memory count."""
    duration = attack.at + attack.duration + 0.5
    plan = Plan(1, duration, clients=12, sockets=sockets, attacks=[attack])
    findings, _ = rig.play(plan, folder)
    return [(found.rule, found.text) for found in findings if not found.void]


def test_empty_lines_at_full_speed_keep_nobody_from_an_answer(tmp_path):
    assert not violations(tmp_path, Attack(1.0, ATTACK_S, AttackKind.EMPTY_LINES.value))


def test_requests_of_ever_new_classes_keep_nobody_from_an_answer(tmp_path):
    assert not violations(tmp_path, Attack(1.0, ATTACK_S, AttackKind.UNKNOWN_CLASSES.value))


def test_hundreds_of_heads_of_many_short_fields_exceed_no_limit(tmp_path):
    attack = Attack(1.0, ATTACK_S, AttackKind.MANY_FIELDS.value, clients=800)
    assert not violations(tmp_path, attack, sockets=1024)


def test_hundreds_of_large_requests_that_stop_half_way_exceed_no_limit(tmp_path):
    attack = Attack(1.0, ATTACK_S, AttackKind.HALF_REQUESTS.value, clients=800)
    assert not violations(tmp_path, attack, sockets=1024)


def test_requests_of_a_client_that_has_closed_are_not_sent_on(tmp_path):
    attack = Attack(1.0, 0.3, AttackKind.LEAVE.value, clients=4, is_frozen=True)
    assert not violations(tmp_path, attack)
