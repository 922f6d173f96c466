"""Plants known mistakes in `Member`, in memory.

The invariants, the model checker and the random scenarios have to find each of them. Tests and
benchmarks use this module; no relay imports it.
"""

from contextlib import contextmanager

from molehill.membership import member
from molehill.membership.member import Member


def do_nothing(original):
    """Replace the method by one that does nothing."""
    return lambda self, *_: None


def ignore_time(original):
    """Ignore elapsed time: a relay that was answered once stays connected."""

    def current_standing(self, now):
        return original(self, self.last_ack_at or now)

    return current_standing


def refute_without_increment(original):
    """Refute a suspicion with the same incarnation."""

    def apply_rumour_about_self(self, rumour, now):
        own_identity = self.own_identity
        original(self, rumour, now)
        if (
            self.own_identity.generation == own_identity.generation
            and self.own_identity.incarnation > own_identity.incarnation
        ):
            self.own_identity = own_identity
            self.rumour_queue[own_identity.name] = [
                member.Rumour(own_identity, member.ALIVE, self.address, own_identity.name),
                0,
            ]

    return apply_rumour_about_self


def believe_older_process(original):
    """Accept messages of an earlier process of a name over those of a later one."""

    def admit_sender(self, now, message, source):
        peer = self.peers.get(message.sender.name)
        if peer is not None and message.sender.process_key() < peer.identity.process_key():
            peer.identity = message.sender
        return original(self, now, message, source)

    return admit_sender


def no_suspicion_timeout(original):
    """Declare a suspect lost at once."""
    return lambda self, suspicions: 0


def suspect_without_answers(original):
    """Suspect a target that does not answer, even if this relay hears nobody."""

    def handle_probe_timeout(self, probe, now):
        last_ack_at, standing, self.last_ack_at = self.last_ack_at, self.standing, now
        self.may_suspect = lambda: True
        try:
            original(self, probe, now)
        finally:
            del self.may_suspect
            self.last_ack_at, self.standing = last_ack_at, standing

    return handle_probe_timeout


def answer_helper_only(original):
    """Acknowledge an indirect probe to the helper only, not to the requester."""

    def on_ping(self, message, peer, now):
        original(self, message._replace(on_behalf_of=None), peer, now)

    return on_ping


def revive_by_old_rumour(original):
    """Let a rumour with an older incarnation revive a member."""

    def apply_rumour(self, rumour, now):
        peer = self.peers.get(rumour.identity.name)
        if (
            peer is not None
            and rumour.state == member.ALIVE
            and peer.state in (member.SUSPECT, member.LOST)
            and rumour.identity.process_key() == peer.identity.process_key()
        ):
            peer.identity = rumour.identity
            self.set_state(peer, member.ALIVE, now, rumour.reporter)
            return
        original(self, rumour, now)

    return apply_rumour


def ignore_superseded(original):
    """Let the earlier of two processes with one name go on."""

    def resolve_name_conflict(self, sender, source):
        original(self, sender, source)
        self.superseded = False

    return resolve_name_conflict


def refute_for_others(original):
    """Refute on behalf of another member, with an incarnation that it never had."""

    def set_state(self, peer, state, now, reporter):
        if (
            state == member.SUSPECT
            and peer.last_heard_at
            and now - peer.last_heard_at < self.settings.protocol_period
        ):
            peer.identity, state = (
                peer.identity._replace(incarnation=peer.identity.incarnation + 1),
                member.ALIVE,
            )
        original(self, peer, state, now, reporter)

    return set_state


# name -> (method of Member, function that returns a faulty version of the method)
MUTATIONS = {
    "time is not looked at": ("current_standing", ignore_time),
    "old ears after a pause": ("recover_from_stall", do_nothing),
    "refutes by the same turn": ("apply_rumour_about_self", refute_without_increment),
    "an older process is believed": ("admit_sender", believe_older_process),
    "a suspicion is a loss": ("suspicion_timeout", no_suspicion_timeout),
    "accuses on no word from anybody": ("handle_probe_timeout", suspect_without_answers),
    "answers the helper alone": ("on_ping", answer_helper_only),
    "an old rumour raises": ("apply_rumour", revive_by_old_rumour),
    "the earlier of two processes serves on": ("resolve_name_conflict", ignore_superseded),
    "refutes for others": ("set_state", refute_for_others),
    "lost ones are never called": ("try_reconnect", do_nothing),
}


@contextmanager
def mutated(name: str):
    """Apply the mutation `name` to `Member` while the context is open."""
    attribute, change = MUTATIONS[name]
    original = getattr(Member, attribute)
    setattr(Member, attribute, change(original))
    try:
        yield
    finally:
        setattr(Member, attribute, original)
