"""The form in which discovery sends its list of hosts: a version, and an entry for each host."""

import json
from typing import NamedTuple

from molehill import interface
from molehill.config import ConfigError, parse_address
from molehill.core import events as ev
from molehill.core.zones import ZoneTable
from molehill.invariants import check_invariant

CONDITION_BY_STATUS = {
    "active": interface.Condition.UP,
    "leaving": interface.Condition.DRAINING,
    "left": interface.Condition.GONE,
}


class ParsedList(NamedTuple):
    """A list of hosts: `is_whole` if hosts that it does not name have left.

    `unreadable`: names of entries of which nothing else can be used.
    """

    version: int
    is_whole: bool
    hosts: list[ev.Host]
    unreadable: list[str]


def parse_list(text, config) -> ParsedList:
    """Reads a list; `text`: JSON, or the decoded object.

    Entries that can't be read are left out; raises ValueError if it is not a list of hosts.
    """
    try:
        data = json.loads(text) if isinstance(text, (bytes, str)) else text
        rows, version = data.get("endpoints", []), int(data.get("index", 0))
        parsed = [(row, parse_host(row, config)) for row in rows]
        return ParsedList(
            version,
            bool(data.get("snapshot")),
            [host for _, host in parsed if host is not None],
            [str(row["name"]) for row, host in parsed if host is None and has_name(row)],
        )
    except (AttributeError, KeyError, TypeError, OverflowError, RecursionError) as error:
        raise ValueError(f"not a list of hosts: {error!r}") from None


def has_name(row) -> bool:
    """Returns whether an entry names a host."""
    return isinstance(row, dict) and "name" in row


def parse_host(row, config):
    """Returns the host of an entry, or None if it is invalid: that must not spoil the others."""
    try:
        # Unknown kinds share the number after the known ones, and take one callback a call.
        kind = config.kinds.get(row.get("type"), len(config.kinds))
        host = ev.Host(
            str(row["name"]),
            parse_address(row["address"], "address"),
            0,
            kind,
            int(row["group"]),
            CONDITION_BY_STATUS.get(row["status"], interface.Condition.DRAINING),
            float(row.get("weight") or 0.0),
        )
        host.zone_name, host.kind_name = str(row.get("zone")), str(row.get("type"))
        host.zone = ZoneTable(config.zones).number_of(host.zone_name)
        return host
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError, ConfigError):
        check_invariant(False, "entry_of_the_list", row=repr(row)[:200])
        return None


def list_entry(host: ev.Host, config) -> dict:
    """Returns a host as an entry of the list, the inverse of `parse_host`."""
    name_of = (
        {n: name for name, n in config.kinds.items()},
        {n: name for name, n in config.zones.items()},
    )
    status = next(
        word for word, condition in CONDITION_BY_STATUS.items() if condition is host.condition
    )
    return {
        "name": host.id,
        "address": "%s:%d" % host.address,
        "zone": name_of[1].get(host.zone),
        "status": status,
        "type": name_of[0].get(host.kind),
        "group": host.destination,
        "weight": host.weight,
    }
