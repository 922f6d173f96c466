"""What the modules of this package share: the settings, the time of this step, and all that is held."""

from random import Random
from typing import Any

from molehill import interface
from molehill.decisions.callback import Callback
from molehill.decisions.endpoint import Destination, Endpoint
from molehill.decisions.timers import Task, Timers


class State:
    """One relay's. `actions`: what this step asks for, in order."""

    def __init__(self, settings: interface.Settings, seed: interface.Id) -> None:
        self.settings = settings
        self.random = Random(seed).random
        self.now = 0
        self.actions: list = []
        self.timers = Timers()
        self.callbacks_by_id: dict[
            interface.Id, Callback
        ] = {}  # not over, or over with a launch out
        self.endpoints: dict[interface.Id, Endpoint] = {}
        self.destinations: dict[int, Destination] = {}
        self.destinations_to_check: dict[
            int, Any
        ] = {}  # destinations where something may be launched
        self.calls_in_flight = 0
        self.stops_at = float("inf")  # the relay's own end

    def schedule(self, when: int, task: Task, argument: Any) -> None:
        """As of Timers."""
        self.timers.schedule(when, task, argument)

    def check_destination_at(self, destination: int, when: int) -> None:
        """Something may be launched there at that time."""
        self.timers.schedule(when, None, destination)

    def ensure_destination(self, number: int) -> Destination:
        """That of this number; a new one where it is not known."""
        destination = self.destinations.get(number)
        if destination is None:
            destination = self.destinations[number] = Destination(self.now)
        return destination

    def destination_of(self, endpoint: Endpoint) -> Destination:
        """That of a known endpoint."""
        return self.destinations[endpoint.destination]

    def count_calls(self, endpoint: Endpoint, change: int) -> None:
        """So many calls more are out to it."""
        self.calls_in_flight += change
        endpoint.calls_in_flight += change
        self.destination_of(endpoint).calls_in_flight += change
        endpoint.limiter.calls_in_flight += change
