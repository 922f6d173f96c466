"""Which keys of a configuration file the next file must have too, and the check of the next file.

A file that is read on SIGHUP may be truncated or mistyped. With defaults for the keys that it
lacks, the relay would have settings that nobody wrote. Plain data, no input or output.
"""

from dataclasses import dataclass, field
from typing import Any, Optional

OPAQUE_PATHS = ("known", "fleet.seeds")  # lists by name, whose keys are no settings
# Needed by deduplicated classes only; `check_class` of molehill/config.py knows by whom.
DEDUPLICATION_KEYS = ("dedupScope", "dedupWindowMs")
# Keys whose absence has a meaning of its own, by the path of their object.
OPTIONAL_KEYS = {
    "settings.grades.*": frozenset(("aimStretch", "serialByKey", *DEDUPLICATION_KEYS)),
    "settings.guarantees": frozenset(("settleAfterDoubtMs",)),
}


class MissingKey(Exception):
    """A key of the previous file that the next one lacks; the text is its path."""


@dataclass(frozen=True, slots=True)
class RequiredKeys:
    """The keys that a value must have.

    `members`: keys of an object. `row`: what each row of a list must have; None: not a list of
    objects.
    """

    members: dict[str, "RequiredKeys"] = field(default_factory=dict)
    row: Optional["RequiredKeys"] = None


def find_required_keys(value: Any, path: str = "") -> RequiredKeys:
    """Returns what the next file must have where this file has `value`; `path` is its place.

    In a path, `*` stands for the rows of a list. A row must have each key that all rows have.
    """
    if isinstance(value, dict) and path not in OPAQUE_PATHS:
        optional = OPTIONAL_KEYS.get(path, frozenset())
        members = {
            name: find_required_keys(part, f"{path}.{name}" if path else name)
            for name, part in value.items()
            if name not in optional
        }
        return RequiredKeys(members)
    if isinstance(value, list) and value and all(isinstance(row, dict) for row in value):
        rows = [find_required_keys(row, f"{path}.*") for row in value]
        return RequiredKeys(row=common_keys(rows))
    return RequiredKeys()


def common_keys(found: list[RequiredKeys]) -> RequiredKeys:
    """Returns the keys that all of `found` have, at each level."""
    names = set.intersection(*(set(one.members) for one in found))
    rows = [one.row for one in found if one.row is not None]
    return RequiredKeys(
        {name: common_keys([one.members[name] for one in found]) for name in names},
        common_keys(rows) if len(rows) == len(found) else None,
    )


def check_required_keys(value: Any, required: RequiredKeys, path: str = "") -> None:
    """Raises MissingKey for the first key that is required and not there."""
    for name in sorted(required.members):
        key_path = f"{path}.{name}" if path else name
        if not isinstance(value, dict) or name not in value:
            raise MissingKey(key_path)
        check_required_keys(value[name], required.members[name], key_path)
    if required.row is None:
        return
    if not isinstance(value, list):
        raise MissingKey(f"{path}.*")
    for n, row in enumerate(value):
        check_required_keys(row, required.row, f"{path}.{n}")
