"""One run: a scenario in, a verdict out. All parties are made here, and each fault of the script is carried out here."""

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

RESTART_DELAY = 600 * MS  # from a kill to the next start: the platform's figure
TERMINATION_TIMEOUT = 3700 * MS  # from SIGTERM to SIGKILL, likewise
MEMBERSHIP_PORT = 7000  # what relays say to each other
# operators' doors: a port for each start, as an upgrade has a new one
ADMIN_PORT = 9000
# after the last abandon time: ends and notices are out, rows are dropped
CLEANUP_SPAN = 3 * SECOND


class Plan:
    """A stand-in's plan with the run's own times beside it."""

    def __init__(self, **fields):
        self.__dict__.update(fields)


def host_plans(scenario):
    """(number of its destination's row, name, plan) of each host; rows are numbered by destination, hosts within by n."""
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
    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.prepare()
        self.world = world = World(scenario.seed)
        # relay -> launches allowed, by each of its later files
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
        """A relay's configuration, in the platform's form."""
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

    # Relays

    def start_if_down(self, name: str) -> None:
        node = self.nodes[name]
        if not node.up:
            self.start_process(node)

    def start_process(self, node, **troubles) -> None:
        try:
            node.start(**troubles)
        except Exception as error:
            self.world.tell(node.name, "escaped", error=repr(error))

    def end_predecessor(self, node, process) -> None:
        """At the yes of a process that was started beside another: told to end, and killed if it does not."""
        for other in [o for o in node.processes if o is not process]:
            other.signal(SIGTERM)
            self.world.after(TERMINATION_TIMEOUT, other.kill)

    def observe(self, now, who, what, facts) -> None:
        if what == "ready":
            self.relay_pool.up(who)
        elif what in ("killed", "ended"):
            self.relay_pool.down(who, lambda: not self.nodes[who].up)
            for host in self.hosts.values():
                host.forget_relay(who)

    def restart_later(self, node) -> None:
        self.referee.left_on_disk(node.name, node.disk.image())
        self.world.after(RESTART_DELAY, self.start_if_down, node.name)

    # Faults

    def party(self, who: str):
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
        """Started again beside itself; the old or the new process dies or hangs in so many steps of its own, if any."""
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
        """One class more, and as many launches as `worth` says; with 0 the file is broken and nothing of it may be taken."""
        files = self.retuned.setdefault(node.name, [])
        files.append(int(fault.worth))
        node.signal(SIGHUP)
        if not files[-1]:  # mended soon, or the relay could not start again
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
        """Killed, and one byte of its log is another at the next start."""
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
        """Discovery and notices go to another address: each relay's file names it, and it is told by SIGHUP."""
        self.platform.move()
        for node in self.nodes.values():
            node.signal(SIGHUP)

    def on_herd(self, fault, _, span) -> None:
        """That share of the relays is killed at once, their folders kept."""
        up = [node for node in self.nodes.values() if node.up]
        for node in self.world.chance.sample(up, round(len(up) * fault.worth)):
            node.kill()

    def on_cut(self, fault, _, span) -> None:
        """The end of each cut is known as it begins, so what is under way waits for the last of them."""
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
        """Those that it falls on; what it did there is told at its end."""
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

    # The whole

    def play(self) -> dict:
        """Runs to the end, or to the first breach; the verdict, as plain data."""
        world, s = self.world, self.scenario
        collecting = gc.isenabled()
        gc.disable()  # nothing may end greenlets at a moment of its own choosing
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
        except Exception as error:  # asserted in debug builds, or let through by the scheduler
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
    return Run(scenario).play()
