"""What the modules of this package share: the settings, the time of this step, and all that is held."""

from random import Random
from typing import Any

from molehill import interface as it
from molehill.decisions.callback import Callback
from molehill.decisions.endpoint import Destination, Endpoint
from molehill.decisions.timers import Timers, Work


class State:
    """One relay's. `actions`: what this step asks for, in order."""

    def __init__(self, settings: it.Settings, seed: it.Id) -> None:
        self.settings = settings
        self.random = Random(seed).random
        self.now = 0
        self.actions: list = []
        self.timers = Timers()
        self.held: dict[it.Id, Callback] = {}  # not over, or over with a launch out
        self.endpoints: dict[it.Id, Endpoint] = {}
        self.destinations: dict[int, Destination] = {}
        self.to_look_at: dict[int, Any] = {}  # destinations where something may be launched
        self.calls_out = 0
        self.ends_at = float("inf")  # the relay's own end

    def at(self, when: int, work: Work, subject: Any) -> None:
        """As of Timers."""
        self.timers.at(when, work, subject)

    def look_at(self, destination: int, when: int) -> None:
        """Something may be launched there at that time."""
        self.timers.at(when, None, destination)

    def destination(self, number: int) -> Destination:
        """That of this number; a new one where it is not known."""
        known = self.destinations.get(number)
        if known is None:
            known = self.destinations[number] = Destination(self.now)
        return known

    def destination_of(self, endpoint: Endpoint) -> Destination:
        """That of a known endpoint."""
        return self.destinations[endpoint.destination]

    def count_calls(self, endpoint: Endpoint, by: int) -> None:
        """So many calls more are out to it."""
        self.calls_out += by
        endpoint.calls_out += by
        self.destination_of(endpoint).calls_out += by
        endpoint.limiter.calls_out += by
