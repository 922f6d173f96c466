"""Play one scenario and return its verdict.

The run creates all parties and applies each fault of the scenario.
"""

import gc

from molehill.config import MS, SECOND
from molehill.emulator.network import Network
from molehill.emulator.node import SIGHUP, SIGTERM, Node
from molehill.emulator.parties.endpoint import Endpoint
from molehill.emulator.parties.platform import Platform
from molehill.emulator.parties.programs import Program, RelayPool
from molehill.emulator.parties.strangers import Strangers
from molehill.emulator.recount import Recount
from molehill.emulator.referee import LOST_AFTER, Referee
from molehill.emulator.scenario import Scenario, directions
from molehill.emulator.script import Script, fleet_settings, relay_settings
from molehill.emulator.world import START, World

RESTART_DELAY = 600 * MS  # from a kill to the next start, as on the platform
TERMINATION_TIMEOUT = 3700 * MS  # from SIGTERM to SIGKILL, as on the platform
MEMBERSHIP_PORT = 7000  # of the messages between relays
# Base of the admin ports: each start gets its own, because in an upgrade two processes are up.
ADMIN_PORT = 9000
# After the last deadline: by then ends and notices have been sent and rows dropped.
CLEANUP_SPAN = 3 * SECOND


class Plan:
    """The attributes of a stand-in: a row of the scenario, with times in the run's nanoseconds."""

    def __init__(self, **fields):
        self.__dict__.update(fields)


def host_plans(scenario):
    """Yield (destination row, n, name, plan) for each host.

    The destination row is the index into `scenario.endpoints`; n numbers the hosts of one row.
    """
    for number, plan in enumerate(scenario.endpoints):
        for n in range(plan.hosts):
            yield (
                number,
                n,
                f"h{plan.destination}-{n}",
                Plan(
                    destination=plan.destination,
                    zone="ab"[n % plan.zones % 2],
                    kind=plan.kind,
                    span=int(plan.span_ms * MS),
                    slots=plan.slots,
                    queue=plan.queue,
                    rate=plan.rate,
                ),
            )


def program_plan(scenario, program_row, until: int) -> Plan:
    """Return the plan of a program that submits callbacks until `until` (ns)."""
    rows = {c.name: c for c in scenario.categories}
    surges = [(START + s.at_ms * MS, s.span_ms * MS, s.by) for s in scenario.surges]
    return Plan(
        rate=program_row.rate,
        until=until,
        destinations=program_row.destinations,
        keys=program_row.keys,
        tries=program_row.tries,
        heeds=program_row.heeds,
        once=program_row.once,
        leaves=program_row.leaves,
        categories=[rows[name] for name in program_row.categories or rows],
        surges=surges,
    )


class Run(Script):
    """All parties of one scenario, and the handlers of its faults (`on_` and the kind)."""

    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.prepare()
        self.world = world = World(scenario.seed)
        # relay -> allowed attempts in each configuration file after the first
        self.retuned: dict[str, list[int]] = {}
        self.referee, self.recount = Referee(world, scenario), Recount(world, scenario)
        self.network = network = Network(world)
        self.until = START + scenario.span_ms * MS
        self.platform = Platform(world, network, ("10.2.0.1", 8500))
        self.hosts = {}
        for number, n, name, plan in host_plans(scenario):
            self.hosts[name] = host = Endpoint(
                world, network, name, (f"10.1.{number}.{n + 1}", 8081), plan
            )
            self.platform.put(host, "active", lag=0)
        self.relay_pool = RelayPool(world, scenario.sockets // 3)
        self.nodes, addresses = {}, {}
        for n in range(scenario.relays):
            name = f"relay{n}"
            addresses[name] = (f"10.0.0.{n + 1}", 8081)
            node = self.nodes[name] = Node(
                world, network, name, lambda n=name: self.settings_of(n), scenario.disk_kb * 1000
            )
            node.on_kill.append(self.restart_later)
            node.on_ready.append(self.end_predecessor)
        self.addresses, self.upgrades = (
            addresses,
            any(f.kind.startswith("upgrade") for f in scenario.faults),
        )
        self.programs = [
            Program(
                world,
                network,
                self.relay_pool,
                f"program{n}",
                addresses,
                program_plan(scenario, program_row, self.until),
            )
            for n, program_row in enumerate(scenario.programs)
        ]
        self.strangers = Strangers(
            world,
            network,
            addresses,
            Plan(copies=scenario.strangers.copies, rate=scenario.strangers.rate, until=self.until),
        )
        for program in self.programs:
            program.request_observer = (
                self.strangers.observe_request if scenario.strangers.copies else None
            )
        for fault in scenario.faults:
            world.at(START + fault.at_ms * MS, self.apply_fault, fault)
        world.watchers.append(self.observe)
        for name in self.nodes:
            world.after(MS, self.start_if_down, name)

    def settings_of(self, name: str) -> dict:
        """Return a relay's current configuration in the platform's form."""
        start_count = self.nodes[name].start_count
        admin = (self.addresses[name][0], ADMIN_PORT + start_count) if self.upgrades else None
        words = {relay: (address[0], MEMBERSHIP_PORT) for relay, address in self.addresses.items()}
        return relay_settings(
            self.scenario,
            name,
            f"{self.scenario.seed:x}{start_count:x}",
            self.addresses[name],
            self.platform.address,
            self.platform.known(name),
            "/state",
            admin,
            self.retuned.get(name, ()),
            fleet_settings(self.scenario, name, words[name], words),
        )

    # Lifecycle of relays

    def start_if_down(self, name: str) -> None:
        """Start the relay unless a process of it is up."""
        node = self.nodes[name]
        if not node.up:
            self.start_process(node)

    def start_process(self, node, **troubles) -> None:
        """Start one more process of the node; an exception from it is recorded as an event."""
        try:
            node.start(**troubles)
        except Exception as error:
            self.world.tell(node.name, "escaped", error=repr(error))

    def end_predecessor(self, node, process) -> None:
        """Send SIGTERM to the old process once the new one is ready, and kill it if it does not
        end.
        """
        for other in [o for o in node.processes if o is not process]:
            other.signal(SIGTERM)
            self.world.after(TERMINATION_TIMEOUT, other.kill)

    def observe(self, now, who, what, facts) -> None:
        """Tell the programs and hosts when a relay becomes ready or goes away."""
        if what == "ready":
            self.relay_pool.up(who)
        elif what in ("killed", "ended"):
            self.relay_pool.down(who, lambda: not self.nodes[who].up)
            for host in self.hosts.values():
                host.forget_relay(who)

    def restart_later(self, node) -> None:
        """Check what a killed relay left on its disk, and start it again after RESTART_DELAY."""
        self.referee.left_on_disk(node.name, node.disk.image())
        self.world.after(RESTART_DELAY, self.start_if_down, node.name)

    # Faults

    def party(self, who: str):
        """Return the relay's node or the host of that name, or None."""
        return self.nodes.get(who) or self.hosts.get(who)

    def on_kill(self, fault, node, span) -> None:
        node.kill()

    def on_kill_step(self, fault, node, span) -> None:
        node.kill_in(int(fault.worth))

    def on_kill_again(self, fault, node, span) -> None:
        node.kill()
        self.world.after(RESTART_DELAY + MS, self.on_kill_step, fault, node, span)

    def on_restart(self, fault, node, span) -> None:
        node.signal(SIGTERM)
        if node.owner is not None:
            self.world.after(TERMINATION_TIMEOUT, node.owner.kill)

    def on_upgrade(self, fault, node, span) -> None:
        """Start the next process beside the running one.

        For the kinds with a suffix, the old or the new process dies or hangs after `worth` of its
        own steps.
        """
        if node.process is None or not node.owner.serving:
            return
        _, who, how = (fault.kind + "__").split("_")[:3]
        at, troubles = int(fault.worth), {}
        if who == "new":
            troubles = {"kill_in": at} if how == "dies" else {"hang_at": (at, span)}
        elif how == "dies":
            node.kill_in(at)
        elif how == "hangs":
            node.owner.hang_at = node.owner.steps + at, span
        self.start_process(node, **troubles)

    on_upgrade_new_dies = on_upgrade_old_dies = on_upgrade_new_hangs = on_upgrade_old_hangs = (
        on_upgrade
    )

    def on_hup(self, fault, node, span) -> None:
        node.signal(SIGHUP)

    def on_retune(self, fault, node, span) -> None:
        """Reload a file with one more class and `worth` allowed attempts.

        With 0 the file is broken, and the relay must apply nothing of it.
        """
        files = self.retuned.setdefault(node.name, [])
        files.append(int(fault.worth))
        node.signal(SIGHUP)
        if not files[-1]:  # repaired soon: otherwise the relay could not start again
            self.world.after(200 * MS, files.remove, 0)

    def on_freeze(self, fault, node, span) -> None:
        node.freeze(span)

    def on_wall_step(self, fault, node, span) -> None:
        node.wall_step += int(fault.worth) * MS

    def on_lose_disk(self, fault, node, span) -> None:
        node.kill()
        if node.owner is not None:
            node.disk.erase()
            self.world.tell(node.name, "disk lost")

    def on_spoil(self, fault, node, span) -> None:
        """Kill the relay and change one byte of its log before the next start."""
        node.kill()
        node.disk.corrupt("/state/log")

    def on_disk_full(self, fault, node, span) -> None:
        self.set_during(
            span, node.disk, "capacity", node.disk.used_bytes(), self.scenario.disk_kb * 1000, min
        )

    def on_disk_failing(self, fault, node, span) -> None:
        self.set_during(span, node.disk, "write_errno", 5, None)  # EIO

    def on_short_writes(self, fault, node, span) -> None:
        self.set_during(span, node.disk, "short_write_share", fault.worth, 0.0)

    def on_few_descriptors(self, fault, node, span) -> None:
        self.set_during(span, node, "descriptor_share", fault.worth, 1.0, min)

    def on_move(self, fault, _, span) -> None:
        """Move discovery and notices to another address.

        Each relay's file names the new address, and each relay gets SIGHUP.
        """
        self.platform.move()
        for node in self.nodes.values():
            node.signal(SIGHUP)

    def on_herd(self, fault, _, span) -> None:
        """Kill a share (`worth`) of the running relays at once; their folders stay."""
        up = [node for node in self.nodes.values() if node.up]
        for node in self.world.chance.sample(up, round(len(up) * fault.worth)):
            node.kill()

    def on_cut(self, fault, _, span) -> None:
        """Hold back everything on the affected paths until the end of the fault.

        The end of each cut is known when it begins, so traffic waits for the last of them.
        """
        for path in self.affected_paths(fault, span):
            path.until = max(path.until, self.world.now + span)
            if fault.kind == "burst":
                path.burst_until = max(path.burst_until, self.world.now + span)

    on_burst = on_cut

    def on_delay(self, fault, _, span) -> None:
        for path in self.affected_paths(fault, span):
            self.set_during(span, path, "delay", int(fault.worth * MS), 0)

    def on_narrow(self, fault, _, span) -> None:
        for path in self.affected_paths(fault, span):
            self.set_during(span, path, "rate", max(1, int(fault.worth)), 0, min)

    def on_lose(self, fault, _, span) -> None:
        for path in self.affected_paths(fault, span):
            self.set_during(span, path, fault.kind, fault.worth, 0.0)

    on_repeat = on_reorder = on_spoil_bytes = on_lose

    def affected_paths(self, fault, span: int) -> list:
        """Return the paths that the fault affects; the effect is reported when the fault ends."""
        found = [self.network.path_between(a, b) for a, b in directions(self.scenario, fault.who)]
        for path in found:
            self.world.after(span, self.report_affected, fault, path, path.affected_count)
        return found

    def report_affected(self, fault, path, before: int) -> None:
        self.world.tell(
            "cables",
            "cable did",
            kind=fault.kind,
            falls_on=fault.who,
            at_ms=fault.at_ms,
            touched=path.affected_count - before,
        )

    def play(self) -> dict:
        """Run to the end or to the first broken rule, and return the verdict as plain data."""
        world, s = self.world, self.scenario
        collecting = gc.isenabled()
        gc.disable()  # a collection at an arbitrary time could end greenlets
        try:
            world.run(
                self.until + max(c.span_ms for c in s.categories) * MS + LOST_AFTER + CLEANUP_SPAN
            )
            if world.failure is None:
                up = {name: node for name, node in self.nodes.items() if node.up}
                self.referee.close(
                    {name: node.sizes() for name, node in up.items()},
                    {
                        name: self.recount.wrong_figures(name, node.process.core.metrics)
                        for name, node in up.items()
                    },
                )
        except Exception as error:  # an assertion, or an error that the scheduler let through
            world.tell("relay", "escaped", error=repr(error))
        finally:
            if collecting:
                gc.enable()
        return {
            "ok": world.failure is None,
            "seed": s.seed,
            "failure": world.failure,
            "events": world.events,
            "digest": world.digest.hexdigest(),
            "virtual_s": round((world.now - START) / SECOND, 3),
            **self.referee.summary(),
        }


def play(scenario: Scenario) -> dict:
    """Play the scenario and return its verdict as plain data."""
    return Run(scenario).play()
