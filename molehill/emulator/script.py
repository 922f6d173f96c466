"""Apply the faults on hosts and the platform, in the emulator and on real processes alike.

A class that uses Script has `world`, `scenario`, `hosts` (by name) and `platform`; it calls
`prepare` once, and `apply_fault` when a fault is due. Faults of one kind may overlap on one target:
the end of one takes back its own effect and leaves the others'.
"""

from molehill.config import MS
from molehill.emulator.parties.endpoint import (
    COLD_SHARE,
    OVERLOAD_FACTOR,
    OVERLOAD_SPAN,
    SLOW_START_SPAN,
)

DRAIN_NOTICE = 1500 * MS  # from the change of the list to the first refused call
CATEGORY_KEYS = {
    "name": "name",
    "effect": "semantics",
    "span_ms": "deadlineMs",
    "payoff": "worth",
    "ordered": "serialByKey",
    "window_ms": "dedupWindowMs",
    "scope": "dedupScope",
}


class OverlappingParts:
    """Fault values in force on one setting at the same time.

    `worst(parts)` chooses the value that counts; `base` is the value without any fault. A fault
    must not restore the value that it found: that would end a longer fault that began earlier, and
    would keep alive one that ends sooner.
    """

    def __init__(self, base, worst, apply):
        self.base, self.worst, self.apply, self.parts = base, worst, apply, {}

    def add(self, key, part) -> None:
        """Put a part into force under `key`."""
        self.parts[key] = part
        self.apply(self.worst(self.parts.values()))

    def remove(self, key) -> None:
        """Take the part under `key` out of force."""
        del self.parts[key]
        self.apply(self.worst(self.parts.values()) if self.parts else self.base)


class Script:
    """Handlers of the faults on hosts and the platform (`on_` and the kind)."""

    def prepare(self) -> None:
        """Reset the record of faults in force."""
        self.layers, self.part_serial, self.modes, self.drains = {}, 0, {}, {}

    def apply_fault(self, fault) -> None:
        """Record the fault and call the handler of its kind."""
        self.world.tell(
            "script",
            "fault",
            kind=fault.kind,
            falls_on=fault.who,
            span=fault.span_ms,
            worth=fault.worth,
        )
        getattr(self, "on_" + fault.kind)(fault, self.party(fault.who), fault.span_ms * MS)

    def party(self, who: str):
        """Return the host of that name, or None."""
        return self.hosts.get(who)

    def apply_during(self, span: int, place, part, base, worst, apply) -> None:
        """Put `part` into force on `place` for `span` ns; apply() gets each value that comes into
        force.
        """
        layers = self.layers.setdefault(place, OverlappingParts(base, worst, apply))
        self.part_serial += 1
        layers.add(self.part_serial, part)
        self.world.after(span, layers.remove, self.part_serial)

    def set_during(self, span: int, thing, name: str, part, base, worst=max) -> None:
        """Put `part` into force on an attribute for `span` ns."""
        self.apply_during(
            span, (thing, name), part, base, worst, lambda value: setattr(thing, name, value)
        )

    # Hosts

    def _apply_mode(self, fault, host, span) -> None:
        self._enter_mode(host, (fault.kind, max(1, int(fault.worth)), self.world.now + span), span)

    def _enter_mode(self, host, row, span: int) -> None:
        rows = self.modes.setdefault(host.name, [])
        rows.append(row)
        host.set_mode(*row)
        self.world.after(span, self._leave_mode, host, rows, row)

    def _leave_mode(self, host, rows, row) -> None:
        """End one mode of a host; a host that was overloaded meanwhile stays down."""
        rows.remove(row)
        if host.mode == row[0]:
            host.set_mode(*(rows[-1] if rows else ("well",)))

    on_silent = on_erring = on_refusing = on_shut = on_slow = on_spoilt = on_dead = on_vanished = (
        _apply_mode
    )

    def on_copies(self, fault, host, span) -> None:
        """Let a host write its answers twice for `span`."""
        self.set_during(span, host, "max_copy_delay_ms", fault.worth, 0.0)

    def on_drain(self, fault, host, span) -> None:
        """Drain a host for `span`.

        It is listed as leaving 1.5 s before it refuses calls, and as active again at the end.
        """
        self.drains[host.name] = self.drains.get(host.name, 0) + 1
        self.platform.put(host, "leaving")
        self.world.after(DRAIN_NOTICE, self._start_draining, host)
        self.world.after(span, self._end_drain, host)

    def _start_draining(self, host) -> None:
        host.draining = self.drains[host.name] > 0

    def _end_drain(self, host) -> None:
        self.drains[host.name] -= 1
        if not self.drains[host.name]:
            host.draining = False
            self.platform.put(host, "active")

    def on_zone_dark(self, fault, _, span) -> None:
        for host in [
            h
            for h in self.hosts.values()
            if h.plan.zone == "ab"[round(fault.worth)] and h.mode == "well"
        ]:
            self._enter_mode(host, ("vanished",), span)

    def on_lower(self, fault, _, span) -> None:
        for host in self.hosts.values():
            self.apply_during(span, (host, "lower"), fault.worth, 1.0, min, host.lower_limit)

    # The platform

    def on_lag(self, fault, _, span) -> None:
        self.set_during(span, self.platform, "lag", int(fault.worth) * MS, 0)

    def on_outage(self, fault, _, span) -> None:
        self.apply_during(span, (self.platform, "down"), True, False, max, self.platform.set_down)

    def on_lost_answers(self, fault, _, span) -> None:
        self.set_during(span, self.platform, "lose_answers", fault.worth, 0.0)


def fleet_settings(
    scenario, name: str, listen, member_addresses: dict, seed_all: bool = False
) -> dict:
    """Return the `fleet` section of a relay's file; empty if the scenario has none.

    `member_addresses`: name -> the address at which this relay reaches that one. `seed_all`: name
    all others as seeds.
    """
    plan = scenario.fleet
    if plan is None:
        return {}
    others = [other for other in member_addresses if other != name]
    seeds = others if seed_all else others[: plan.seeds]
    return {
        "fleet": {
            "name": "rehearsed",
            "listen": "%s:%d" % listen,
            "seeds": {other: "%s:%d" % member_addresses[other] for other in seeds},
            "keys": ["00" * 15 + f"{scenario.seed % 256:02x}"],
            **plan.spans,
        }
    }


def relay_settings(
    scenario,
    name: str,
    seed: str,
    listen,
    discovery,
    known: dict,
    state: str,
    admin=None,
    retuned=(),
    fleet=None,
) -> dict:
    """Return a relay's configuration in the platform's form.

    `listen`, `discovery` and `admin` are (address, port). `retuned`: the allowed attempts of each
    later file; each later file adds one class.
    """
    s, grades = scenario, []
    for c in s.categories:
        row = {key: getattr(c, field) for field, key in CATEGORY_KEYS.items()}
        grades.append({**row, "aimMs": c.goal_ms or c.span_ms // 4, "lateShare": 0.1})
    grades += [{**grades[0], "name": f"later {n}"} for n in range(len(retuned))]
    return {
        **(fleet or {}),
        **({"admin": "%s:%d" % admin} if admin else {}),
        "name": name,
        "listen": "%s:%d" % listen,
        "discovery": "%s:%d" % discovery,
        "seed": seed,
        "state": state,
        "limits": {"sockets": s.sockets, "disk_mb": s.disk_kb / 1000, "memory_mb": 64},
        "known": known,
        "settings": {
            "grades": grades,
            "balancers": s.relays,
            "azs": ["a", "b"],
            "machineTypes": ["plain", "apart", "bundle"],
            "extra": {
                "kindApart": [False, True, False],
                "perCall": [1, 1, s.per_call],
                "maxCalls": s.slots,
            },
            "allowed": {
                "maxOpen": s.max_held,
                "maxAttempts": ([8, *retuned])[-1],
                "retryAfter": True,
                "maxRetryAfterMs": 5000,
                "connIdleMs": 10000,
                "connectTimeoutMs": 1500,
            },
            "guarantees": {
                "settleAfterDoubtMs": s.settle_ms,
                "fallMs": OVERLOAD_SPAN // MS,
                "tipMultiple": OVERLOAD_FACTOR,
                "coldFrom": COLD_SHARE,
                "rampTimeMs": SLOW_START_SPAN // MS,
            },
            "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
        },
    }
