"""A stand-in's process: hosts, platform, programs or cables.

It is run as `python -m molehill.fleet.party SPEC`.

Orders arrive as lines of JSON on standard input: {"begin": monotonic ns}, then the events that the
conductor reports. At the end of the input the process ends, so that none outlives the tool. A line
"up" on standard output says that all listeners are open.
"""

import os
import signal
import sys
from contextlib import nullcontext
from types import SimpleNamespace

import msgspec

from molehill.config import MS
from molehill.emulator import scenario as scenarios
from molehill.emulator.parties.endpoint import Endpoint
from molehill.emulator.parties.platform import Platform
from molehill.emulator.parties.programs import Program, RelayPool
from molehill.emulator.parties.strangers import Strangers
from molehill.emulator.run import Plan, host_plans, program_plan
from molehill.emulator.script import Script
from molehill.emulator.world import START
from molehill.fleet.addresses import AddressPlan
from molehill.fleet.mutations import mutated
from molehill.fleet.proxy import Proxies
from molehill.fleet.sockets import Network
from molehill.fleet.world import IN, World

# option of prctl: a signal on the parent's death, for tools that die without closing anything
PR_SET_PDEATHSIG = 1


class Spec(msgspec.Struct):
    """What a stand-in's process is started with.

    `role`: a key of ROLES; `history`: the file that this process writes; `cabled`: pairs (relay,
    party) with a proxy before the party.
    """

    role: str
    scenario: str
    slot: int
    history: str
    cabled: list[tuple[str, str]] = []
    mistake: str = ""  # a key of mutations.MUTATIONS


class RemoteParty:
    """Stands for a party that another process runs and acts on: ignores all calls."""

    def __getattr__(self, name):
        return lambda *_: None

    def __setattr__(self, name, value):
        pass


class Party(Script):
    """A stand-in's process: its world, its network, and the faults that it carries out."""

    KINDS: tuple = ()  # kinds of fault that are carried out here
    # of those, kinds that another process carries out as well, and records
    REPORTED_ELSEWHERE: tuple = ()

    def __init__(self, spec: Spec):
        self.spec, self.scenario = spec, scenarios.load(spec.scenario)
        self.prepare()
        self.names = [f"relay{n}" for n in range(self.scenario.relays)]
        self.world = World(spec.role, self.scenario.seed, spec.history)
        self.network, self.address_plan = (
            Network(self.world, self.names, spec.cabled),
            AddressPlan(spec.slot),
        )
        self.hosts, self.platform, self.up = {}, RemoteParty(), set()
        self.orders = b""
        self.open_listeners()
        self.world.watch(0, IN, self.read_orders)

    def open_listeners(self) -> None:
        """Opens the listeners of this process."""

    def handle_begin(self) -> None:
        """Called when the start of the run is known."""

    def apply_fault(self, fault) -> None:
        if fault.kind not in self.REPORTED_ELSEWHERE:
            self.world.tell(
                "script",
                "fault",
                kind=fault.kind,
                falls_on=fault.who,
                span=fault.span_ms,
                worth=fault.worth,
            )
        self.carry_out(fault)

    def carry_out(self, fault) -> None:
        getattr(self, "on_" + fault.kind)(fault, self.party(fault.who), fault.span_ms * MS)

    def read_orders(self, mask) -> None:
        data = os.read(0, 1 << 16)
        if not data:
            self.world.tell(self.spec.role, "lateness", most=self.world.max_lateness)
            self.world.tell(self.spec.role, "traffic", bytes=self.network.traffic)
            self.world.stopped = True
        self.orders += data
        while b"\n" in self.orders:
            line, _, self.orders = self.orders.partition(b"\n")
            order = msgspec.json.decode(line)
            if "begin" in order:
                self.world.begin(order["begin"])
                for fault in self.scenario.faults:
                    if fault.kind in self.KINDS:
                        self.world.at(START + fault.at_ms * MS, self.apply_fault, fault)
                self.handle_begin()
            else:
                self.handle_relay_event(order["who"], order["what"])

    def handle_relay_event(self, who: str, what: str) -> None:
        """Handles an event of a relay that the conductor reports."""


class Hosts(Party):
    KINDS = tuple(kind for kind, on in scenarios.FAULTS.items() if on == "host") + (
        "lower",
        "zone_dark",
    )
    REPORTED_ELSEWHERE = ("drain",)

    def open_listeners(self) -> None:
        for h, (_, _, name, plan) in enumerate(host_plans(self.scenario)):
            self.hosts[name] = Endpoint(
                self.world, self.network, name, self.address_plan.host(h), plan
            )

    def handle_relay_event(self, who, what) -> None:
        if what in ("killed", "ended"):
            for host in self.hosts.values():
                host.forget_relay(who)


class PlatformParty(Party):
    KINDS = ("drain", "lag", "outage", "lost_answers", "move")

    def open_listeners(self) -> None:
        self.platform = Platform(self.world, self.network, self.address_plan.platform())
        for h, (_, _, name, plan) in enumerate(host_plans(self.scenario)):
            self.hosts[name] = SimpleNamespace(
                name=name, address=self.address_plan.host(h), plan=plan, draining=False
            )
            self.platform._put(self.hosts[name], "active")

    def on_move(self, *_) -> None:
        self.platform.move()


class Programs(Party):
    def handle_begin(self) -> None:
        s = self.scenario
        until = START + s.span_ms * MS
        addresses = {name: self.address_plan.relay(n) for n, name in enumerate(self.names)}
        self.relay_pool = RelayPool(self.world, s.sockets // 3)
        self.programs = [
            Program(
                self.world,
                self.network,
                self.relay_pool,
                f"program{n}",
                addresses,
                program_plan(s, p, until),
            )
            for n, p in enumerate(s.programs)
        ]
        self.strangers = Strangers(
            self.world,
            self.network,
            addresses,
            Plan(copies=s.strangers.copies, rate=s.strangers.rate, until=until),
        )
        for program in self.programs:
            program.request_observer = (
                self.strangers.observe_request if s.strangers.copies else None
            )
        for name in self.up:
            self.relay_pool.up(name)

    def handle_relay_event(self, who, what) -> None:
        relay_pool = getattr(self, "relay_pool", None)
        if what == "ready":
            self.up.add(who)
            if relay_pool is not None:
                relay_pool.up(who)
        elif what in ("killed", "ended"):
            self.up.discard(who)
            if relay_pool is not None:
                relay_pool.down(who, lambda: who not in self.up)


class ProxyParty(Party):
    KINDS = tuple(kind for kind, on in scenarios.FAULTS.items() if on == "pair") + ("flood",)

    def open_listeners(self) -> None:
        self.cables = Proxies(
            self.world, self.network, self.scenario, self.address_plan, self.spec.cabled
        )

    def carry_out(self, fault) -> None:
        self.cables.start_fault(self, fault)


ROLES = {"hosts": Hosts, "platform": PlatformParty, "programs": Programs, "cables": ProxyParty}


def main() -> None:
    # an interrupt is for the tool, which ends this process by closing its input
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    with open(sys.argv[1], "rb") as file:
        spec = msgspec.json.decode(file.read(), type=Spec)
    with mutated(spec.mistake, spec.role) if spec.mistake else nullcontext():
        party = ROLES[spec.role](spec)
        print("up", flush=True)
        party.world.run()


if __name__ == "__main__":
    main()
