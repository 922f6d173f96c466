"""State shared by the modules of this package: settings, time of the step, pending callbacks."""

from random import Random
from typing import Any

from molehill import interface
from molehill.decisions.callback import Callback
from molehill.decisions.changed_keys import ChangedKeys
from molehill.decisions.endpoint import Destination, Endpoint
from molehill.decisions.timers import Task, Timers


class State:
    """The state of one relay; `actions` are those of the current step, in order."""

    def __init__(self, settings: interface.Settings, seed: interface.Id) -> None:
        self.settings = settings
        self.random = Random(seed).random
        self.now = 0
        self.actions: list = []
        self.timers = Timers()
        # not completed, or completed with an attempt in flight
        self.callbacks_by_id: dict[interface.Id, Callback] = {}
        self.endpoints: dict[interface.Id, Endpoint] = {}
        self.destinations: dict[int, Destination] = {}
        # an ordered set, as keys: destinations where a call may be started
        self.destinations_to_check: dict[int, Any] = {}
        self.changed_destinations: ChangedKeys[int] = ChangedKeys()  # in their learned state
        self.calls_in_flight = 0
        self.stops_at = float("inf")  # when the relay stops

    def schedule(self, when: int, task: Task, argument: Any) -> None:
        """Schedules `task(argument)` at that time, as `Timers.schedule` does."""
        self.timers.schedule(when, task, argument)

    def check_destination_at(self, destination: int, when: int) -> None:
        """Has the destination checked at that time for calls that may be started."""
        self.timers.schedule(when, None, destination)

    def ensure_destination(self, number: int) -> Destination:
        """Returns the destination of this number, and adds it if it is not known."""
        destination = self.destinations.get(number)
        if destination is None:
            destination = self.destinations[number] = Destination(self.now)
        return destination

    def destination_of(self, endpoint: Endpoint) -> Destination:
        """Returns the destination of a known endpoint; KeyError if it is not known."""
        return self.destinations[endpoint.destination]

    def count_calls(self, endpoint: Endpoint, change: int) -> None:
        """Adds `change` to the numbers of calls in flight to the endpoint, in all totals."""
        self.calls_in_flight += change
        endpoint.calls_in_flight += change
        self.destination_of(endpoint).calls_in_flight += change
        endpoint.limiter.calls_in_flight += change
