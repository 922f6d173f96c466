"""The categories that callbacks were taken on under, by number: those of the settings, and those that held ones still need.

A number means one name with one row of settings as long as anything held bears it. New settings may name other rows, and a
row that vanished is kept until nothing needs its number any more, so the table stays as long as what is held.
"""

from dataclasses import astuple

from molehill import interface


class ClassTable:
    def __init__(self, names, definitions):
        self.names, self.definitions = list(names), list(definitions)
        # what a client's name means now
        self.numbers = {name: number for number, name in enumerate(names)}
        # number in the log as it is read -> name and row
        self.logged_classes: dict[int, tuple] = {}

    def assign_number(self, name: str, definition: interface.CallbackClass, used) -> int:
        """That of this name with just this row; one that neither `used` nor the settings need is given anew."""
        for number, known in enumerate(zip(self.names, self.definitions)):
            if known == (name, definition):
                return number
        number = next(
            (number for number in range(len(self.definitions)) if number not in used),
            len(self.definitions),
        )
        self.names[number : number + 1], self.definitions[number : number + 1] = (
            [name],
            [definition],
        )
        return number

    def update(self, names, definitions, held) -> None:
        """Takes new settings. `held`: the numbers that callbacks bear."""
        wanted = list(zip(names, definitions))
        used = set(held) | {
            number
            for number, known in enumerate(zip(self.names, self.definitions))
            if known in wanted
        }
        self.numbers = {}
        for name, definition in wanted:
            self.numbers[name] = self.assign_number(name, definition, used)
            used.add(self.numbers[name])

    # In the log, so that a callback keeps its category over a restart with other settings

    def records(self):
        for number, (name, definition) in enumerate(zip(self.names, self.definitions)):
            effect, *rest = astuple(definition)
            yield {"k": "class", "n": number, "name": name, "row": [effect.value, *rest]}

    def load_record(self, record) -> None:
        """A record of the log: what its number means in the records behind it."""
        effect, *rest = record["row"]
        self.logged_classes[record["n"]] = (
            record["name"],
            interface.CallbackClass(interface.DeliverySemantics(effect), *rest),
        )

    def resolve_number(self, number: int) -> int:
        """What a number of the log means; an older log has no such records, and its numbers are the settings' own."""
        if number in self.logged_classes:
            name, definition = self.logged_classes[number]
            return self.assign_number(name, definition, range(len(self.definitions)))
        if not 0 <= number < len(self.definitions):
            raise KeyError(f"category {number}")  # the record is of no use
        return number
