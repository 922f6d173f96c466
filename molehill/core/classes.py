"""The categories that callbacks were taken on under, by number: those of the settings, and those that held ones still need.

A number means one name with one row of settings as long as anything held bears it. New settings may name other rows, and a
row that vanished is kept until nothing needs its number any more, so the table stays as long as what is held.
"""

from dataclasses import astuple

from molehill import interface


class Classes:
    def __init__(self, names, rows):
        self.names, self.rows = list(names), list(rows)
        # what a client's name means now
        self.current = {name: n for n, name in enumerate(names)}
        # number in the log as it is read -> name and row
        self.logged: dict[int, tuple] = {}

    def number(self, name: str, row: interface.CallbackClass, used) -> int:
        """That of this name with just this row; one that neither `used` nor the settings need is given anew."""
        for n, known in enumerate(zip(self.names, self.rows)):
            if known == (name, row):
                return n
        n = next((n for n in range(len(self.rows)) if n not in used), len(self.rows))
        self.names[n : n + 1], self.rows[n : n + 1] = [name], [row]
        return n

    def renew(self, names, rows, held) -> None:
        """Takes new settings. `held`: the numbers that callbacks bear."""
        wanted = list(zip(names, rows))
        used = set(held) | {
            n for n, known in enumerate(zip(self.names, self.rows)) if known in wanted
        }
        self.current = {}
        for name, row in wanted:
            self.current[name] = self.number(name, row, used)
            used.add(self.current[name])

    # In the log, so that a callback keeps its category over a restart with other settings

    def records(self):
        for n, (name, row) in enumerate(zip(self.names, self.rows)):
            effect, *rest = astuple(row)
            yield {"k": "class", "n": n, "name": name, "row": [effect.value, *rest]}

    def read(self, record) -> None:
        """A record of the log: what its number means in the records behind it."""
        effect, *rest = record["row"]
        self.logged[record["n"]] = (
            record["name"],
            interface.CallbackClass(interface.DeliverySemantics(effect), *rest),
        )

    def read_number(self, n: int) -> int:
        """What a number of the log means; an older log has no such records, and its numbers are the settings' own."""
        if n in self.logged:
            name, row = self.logged[n]
            return self.number(name, row, range(len(self.rows)))
        if not 0 <= n < len(self.rows):
            raise KeyError(f"category {n}")  # the record is of no use
        return n
