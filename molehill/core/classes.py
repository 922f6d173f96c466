"""Numbers the classes of callbacks: those of the settings, and those that pending ones still need.

A number stands for one name with one definition as long as a pending callback has it. New settings
may bring other definitions, and one that vanished is kept until no callback needs its number any
more, so the table is no longer than the pending callbacks require.
"""

from dataclasses import astuple

from molehill import interface


class ClassTable:
    """Names and definitions of classes, by number; `names` and `definitions` are in one order."""

    def __init__(self, names, definitions):
        self.names, self.definitions = list(names), list(definitions)
        # class name in a request -> its number under the present settings
        self.numbers = {name: number for number, name in enumerate(names)}
        # number in the log that is being read -> name and definition
        self.logged_classes: dict[int, tuple] = {}

    def assign_number(self, name: str, definition: interface.CallbackClass, used) -> int:
        """Returns the number of this name with exactly this definition.

        If it has none, it gets the first number that is not in `used`, or a new one.
        """
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
        """Applies new settings. `held`: the class numbers of pending callbacks."""
        new_classes = list(zip(names, definitions))
        used = set(held) | {
            number
            for number, known in enumerate(zip(self.names, self.definitions))
            if known in new_classes
        }
        self.numbers = {}
        for name, definition in new_classes:
            self.numbers[name] = self.assign_number(name, definition, used)
            used.add(self.numbers[name])

    # Classes are logged, so that a callback keeps its class over a restart with other settings.

    def records(self):
        """Yields a record of each class for the log."""
        for number, (name, definition) in enumerate(zip(self.names, self.definitions)):
            semantics, *rest = astuple(definition)
            yield {"k": "class", "n": number, "name": name, "row": [semantics.value, *rest]}

    def load_record(self, record) -> None:
        """Loads a record of the log, which says what its number means in later records."""
        semantics, *rest = record["row"]
        self.logged_classes[record["n"]] = (
            record["name"],
            interface.CallbackClass(interface.DeliverySemantics(semantics), *rest),
        )

    def resolve_number(self, number: int) -> int:
        """Returns the number in this table for a class number of the log.

        An older log has no class records, and its numbers are those of the settings. Raises
        KeyError for an unknown number.
        """
        if number in self.logged_classes:
            name, definition = self.logged_classes[number]
            return self.assign_number(name, definition, range(len(self.definitions)))
        if not 0 <= number < len(self.definitions):
            raise KeyError(f"class {number}")  # the record can't be used
        return number
