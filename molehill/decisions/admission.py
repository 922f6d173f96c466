"""Admission: what comes is taken on or turned away, and what gives way while the relay is nearly full."""

from math import log2

from molehill import interface as it
from molehill.decisions.callback import OUT, WAITING, WAITING_FOR_KEY, Callback
from molehill.decisions.endpoint import Attempt
from molehill.decisions.lifecycle import Lifecycle
from molehill.decisions.limiter import SECOND
from molehill.decisions.state import State
from molehill.decisions.tenant_quotas import TenantQuotas

ROOM_SHARE = 16  # of what may be held: what may come in one batch


class Admission:
    """Takes callbacks on."""

    def __init__(self, state: State, lifecycle: Lifecycle) -> None:
        self.state, self.lifecycle = state, lifecycle
        self.quotas = TenantQuotas(len(state.settings.tenants))
        self.joined: dict[int, Attempt] = {}  # calls of an earlier process, as told in this step

    def take_on(self, new: it.NewCallback) -> None:
        """One callback that came, or that an earlier process or module had taken on."""
        state = self.state
        known = state.destinations.get(new.destination)
        # Danger: a start while discovery is down knows old hosts or none. What was taken on before is not turned away for
        # that, nor for what came with it in this one moment: it had its place and its share when it came.
        if not new.taken and (known is None or not known.known):
            state.actions.append(it.Reject(new.callback, self.lifecycle.return_after()))
            return
        callback = self._made(new)
        state.held[callback.id] = callback
        if callback.category.ordered and new.key is not None:
            self.lifecycle.add_to_key(callback, new.key)
            if new.rests_until > state.now:
                self.lifecycle.rest_key(new.key, new.rests_until)
        if new.ran_at is not None:
            self.lifecycle.set_may_have_run(callback, new.ran_at, new.ran_zone)
        if new.under:
            self._join(callback, new.under)
        else:
            self.lifecycle.move(callback, WAITING_FOR_KEY)
        state.destination(callback.destination).count_request(state.now)
        callback.kept = new.taken and not new.launches
        if not new.taken:
            self._make_room()
        time_up = callback.due if self.lifecycle.may_launch(callback) else state.now
        state.at(time_up, self.lifecycle.time_up, callback.id)
        self.lifecycle.next_of_key(callback.key)

    def _made(self, new: it.NewCallback) -> Callback:
        settings = self.state.settings
        category = settings.categories[new.category]
        over = not new.taken and self.quotas.is_over(settings, new.tenant, self.state.now)
        share = settings.over_share_payoff if over else 1.0
        callback = Callback(new, category, category.payoff * share, over)
        if settings.halving and category.late_share > 0.0:  # its payoff falls no more from then on
            callback.stale = callback.goal - int(category.goal * log2(category.late_share))
        return callback

    def _join(self, callback: Callback, under: it.Underway) -> None:
        """Its launch by an earlier process is out, and its outcome comes here."""
        endpoint = self.state.endpoints[under.host]
        attempt = self.joined.setdefault(
            under.number, Attempt(endpoint, under.sent, under.time_out)
        )
        callback.attempt = attempt
        if attempt.callbacks == 0:
            self.state.count_calls(endpoint, 1)
        attempt.callbacks += 1
        self.lifecycle.move(callback, OUT)

    def _make_room(self) -> None:
        """Danger: callbacks for a strained destination fill the relay, newcomers for healthy ones are turned away
        at its door. While it is nearly full, what holds a place for the least payoff gives way at once; but not what
        a restart found untried."""
        most, held = self.state.settings.max_held, self.state.held
        if most is None or len(held) < most - most // ROOM_SHARE:
            return
        waiting = [c for c in held.values() if c.state in WAITING and (c.launches or not c.kept)]
        if waiting:
            self.lifecycle.give_up(min(waiting, key=self._worth_of_place))

    def _worth_of_place(self, callback: Callback) -> float:
        """Payoff when its turn comes, as things look, for the time that it takes a place."""
        state = self.state
        destination, at = state.destination(callback.destination), callback.due
        for endpoint in destination.endpoints:
            limiter = endpoint.limiter
            turn = destination.waiting * (limiter.latency or SECOND) / limiter.window
            free_at = max(state.now, limiter.paused_until, endpoint.next_call_at)
            at = min(at, free_at + int(turn))
        return callback.worth(at, state.settings.halving) / (at - state.now + SECOND)
