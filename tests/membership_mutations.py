"""Known mistakes in membership, each made in memory: what properties, model checking and rough days have to find.

Used by tests and measurements only; no relay imports it.
"""

from contextlib import contextmanager

from molehill.membership import member as m
from molehill.membership.member import Member


def nothing(before):
    return lambda self, *_: None


def deaf_ears(before):
    """Time is not looked at: whoever was answered once is connected."""

    def stands(self, now):
        return before(self, self.answered or now)

    return stands


def same_turn(before):
    def told_of_self(self, rumour, now):
        me = self.me
        before(self, rumour, now)
        if self.me.number == me.number and self.me.turn > me.turn:
            self.me = me
            self.rumours[me.name] = [m.Rumour(me, m.ALIVE, self.address, me.name), 0]

    return told_of_self


def older_believed(before):
    def meets(self, now, message, source):
        peer = self.peers.get(message.sender.name)
        if peer is not None and message.sender.process() < peer.who.process():
            peer.who = message.sender
        return before(self, now, message, source)

    return meets


def at_once(before):
    return lambda self, accusers: 0


def on_no_word(before):
    """It accuses whom it can't reach, whether it hears anybody or not."""

    def unanswered(self, probe, now):
        answered, standing, self.answered = self.answered, self.standing, now
        self.may_accuse = lambda: True
        try:
            before(self, probe, now)
        finally:
            del self.may_accuse
            self.answered, self.standing = answered, standing

    return unanswered


def helper_alone(before):
    def on_ping(self, message, peer, now):
        before(self, message._replace(asked=None), peer, now)

    return on_ping


def raised(before):
    """A rumour of an older turn counts as news."""

    def told(self, rumour, now):
        peer = self.peers.get(rumour.who.name)
        if (
            peer is not None
            and rumour.state == m.ALIVE
            and peer.state in (m.SUSPECT, m.LOST)
            and rumour.who.process() == peer.who.process()
        ):
            peer.who = rumour.who
            self.believe(peer, m.ALIVE, now, rumour.by)
            return
        before(self, rumour, now)

    return told


def serves_on(before):
    def meets_itself(self, sender, source):
        before(self, sender, source)
        self.superseded = False

    return meets_itself


def turn_of_others(before):
    """It refutes for another: a turn that this one never had."""

    def believe(self, peer, state, now, by):
        if state == m.SUSPECT and peer.heard and now - peer.heard < self.set.round:
            peer.who, state = peer.who._replace(turn=peer.who.turn + 1), m.ALIVE
        before(self, peer, state, now, by)

    return believe


# name -> (attribute of Member, what makes the wrong one of the right one)
MUTATIONS = {
    "time is not looked at": ("stands", deaf_ears),
    "old ears after a pause": ("woke", nothing),
    "refutes by the same turn": ("told_of_self", same_turn),
    "an older process is believed": ("meets", older_believed),
    "a suspicion is a loss": ("patience", at_once),
    "accuses on no word from anybody": ("unanswered", on_no_word),
    "answers the helper alone": ("on_ping", helper_alone),
    "an old rumour raises": ("told", raised),
    "the earlier of two processes serves on": ("meets_itself", serves_on),
    "refutes for others": ("believe", turn_of_others),
    "lost ones are never called": ("call_back", nothing),
}


@contextmanager
def mutated(name: str):
    attribute, change = MUTATIONS[name]
    before = getattr(Member, attribute)
    setattr(Member, attribute, change(before))
    try:
        yield
    finally:
        setattr(Member, attribute, before)
