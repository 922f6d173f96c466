"""Runs one scenario on real processes: starts and ends them, and injects the faults on relays.

All children are ended, whatever happens.

Children end with the tool: stand-ins when their standard input closes, relays by the signal that
the kernel sends on the parent's death (PR_SET_PDEATHSIG). Each child is ended by its process id.
A relay counts as ready when `/ready` answers 200, never after a fixed delay.
"""

import contextlib
import ctypes
import json
import os
import resource
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from molehill.config import MS, SECOND
from molehill.emulator import scenario as scenarios
from molehill.emulator.parties.wire import MessageReader, request
from molehill.emulator.referee import LOST_AFTER
from molehill.emulator.run import CLEANUP_SPAN, RESTART_DELAY, TERMINATION_TIMEOUT, host_plans
from molehill.emulator.scenario import FAULTS, SHIMMED, directions
from molehill.emulator.script import Script, fleet_settings, relay_settings
from molehill.emulator.world import START
from molehill.fleet.addresses import MEMBERSHIP_PORT, AddressPlan, claim_slot
from molehill.fleet.party import PR_SET_PDEATHSIG, Spec
from molehill.fleet.shims import write_control
from molehill.fleet.sockets import PROXY_PORT_OFFSET, Network
from molehill.fleet.world import IN, World

# interval at which children are polled, and `/ready` is requested until it answers 200
POLL_INTERVAL = 10 * MS
START_TIMEOUT = 30 * SECOND  # until all processes are ready; a run that takes longer is void
READ_TIMEOUT = 2 * SECOND  # for reading the metrics at the end
CHECKOUT = Path(__file__).resolve().parents[2]
STARTING, SERVING, ENDING, GONE = "starting", "serving", "ending", "gone"
BUSY_LOOP = "import os\nwhile os.getppid() == %d: pass"


class RigError(Exception):
    """The rig could not play the run; the message gives the reason."""


def kill_with_parent(parent: int):
    """Returns a function to run in the child before exec: it is killed when `parent` ends."""
    libc = ctypes.CDLL(None)

    def set_death_signal() -> None:
        libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:  # the parent ended before prctl was called
            os._exit(1)

    return set_death_signal


class RelayProcess:
    """One process of a relay; `wanted`: the rig has asked for its end, so that it is no crash."""

    def __init__(self, number: int, child, admin_address):
        (
            self.number,
            self.child,
            self.admin_address,
            self.state,
            self.wanted,
            self.request_pending,
        ) = (
            number,
            child,
            admin_address,
            STARTING,
            False,
            False,
        )


class Relay:
    """One relay of the run, over all its processes.

    `processes`: those that are running; two at once mean an upgrade. `owner`: the one that serves.
    """

    def __init__(self, run, n: int):
        self.run, self.world, self.n, self.name = run, run.world, n, f"relay{n}"
        self.folder, self.file = run.folder / f"{self.name}.state", run.folder / f"{self.name}.json"
        self.processes, self.owner, self.number, self.retuned, self.hook, self.is_older = (
            [],
            None,
            0,
            [],
            {},
            False,
        )
        self.handovers_logged = 0  # handovers found in its log so far
        self.shim, self.shim_faults = run.folder / f"{self.name}.shim", {}
        if any(fault.kind in SHIMMED and fault.who == self.name for fault in run.scenario.faults):
            self.hook = {"shim": str(self.shim)}

    @property
    def up(self) -> bool:
        """Whether its owner has answered `/ready`."""
        return self.owner is not None and self.owner.state == SERVING

    def write_file(self, admin_address=None) -> None:
        """Writes its configuration file, replacing the old one by a rename."""
        run, address_plan = self.run, self.run.address_plan
        address = run.network.address_seen_by(self.name, run.platform_at, "platform")
        given = relay_settings(
            run.scenario,
            self.name,
            f"{run.scenario.seed:x}{self.number:x}",
            address_plan.relay(self.n),
            address,
            run.known(self.name),
            str(self.folder),
            admin_address or address_plan.admin(self.n, self.number),
            self.retuned,
            self.fleet(),
        )
        whole = self.file.with_suffix(".new")
        whole.write_text(json.dumps(given), encoding="utf-8")
        whole.rename(self.file)

    def fleet(self) -> dict:
        """The `fleet` part of its configuration: the proxies' addresses of the other relays.

        Any relay may be a seed, so each has an address.
        """
        address_plan = self.run.address_plan
        peer_addresses = {
            f"relay{other}": (lambda host, port: (host, port + PROXY_PORT_OFFSET))(
                *address_plan.membership(self.n, other)
            )
            for other in range(self.run.scenario.relays)
        }
        return fleet_settings(
            self.run.scenario,
            self.name,
            (address_plan.relay(self.n)[0], MEMBERSHIP_PORT),
            peer_addresses,
            seed_all=True,
        )

    def start(self) -> RelayProcess:
        """Starts a process; beside one that is running it is an upgrade."""
        self.number += 1
        admin_address = self.run.address_plan.admin(self.n, self.number)
        self.write_file(admin_address)
        if not self.processes:
            self.world.tell(self.name, "started", life=self.number)
        with open(self.run.folder / f"{self.name}.log", "ab") as log:
            tree = self.run.older if self.is_older else self.run.tree
            child = self.run.child(
                [sys.executable, "-O", "-m", *self.program()],
                cwd=tree,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "ROUTER_CONFIG": str(self.file), "PYTHONPATH": str(tree)},
            )
        process = RelayProcess(self.number, child, admin_address)
        self.processes.append(process)
        if self.owner is None:
            self.owner = process
        return process

    def program(self) -> list[str]:
        """Arguments of `python -m`: the relay, or hooked.py where the rig changes it."""
        hook = {**({"mistake": self.run.mistake} if self.run.mistake else {}), **self.hook}
        return (
            ["molehill.fleet.hooked", json.dumps(hook)]
            if hook and not self.is_older
            else ["molehill"]
        )

    def poll(self) -> None:
        """Handles processes that have ended, and requests `/ready` of those that are starting."""
        for process in list(self.processes):
            if process.child.poll() is not None:
                self.handle_exit(process)
            elif process.state == STARTING and not process.request_pending:
                self.request_ready(process)

    def request_ready(self, process) -> None:
        """Requests `/ready` once; `poll` repeats it until the answer is 200."""
        process.request_pending, reader = True, MessageReader()

        def on_data(sock, data, sent_at) -> None:
            for first, *_ in reader.feed(data, sent_at):
                if first.split(" ")[1] == "200" and process.state == STARTING:
                    self.mark_ready(process)

        def over(sock) -> None:
            sock.close()
            process.request_pending = False

        self.run.network.connect(
            self.run.machine,
            process.admin_address,
            on_data,
            over,
            over,
            lambda sock: sock.put(request("GET", "/ready")),
        )

    def mark_ready(self, process) -> None:
        """Marks a process as serving.

        In an upgrade it becomes the owner, and the old one is ended.
        """
        process.state = SERVING
        if process is self.owner:
            self.run.tell_parties(self.name, "ready", life=process.number)
            return
        previous, self.owner = self.owner, process
        self.world.tell(self.name, "took over", life=process.number)
        self.handed_over()
        if previous.child.poll() is None:
            previous.state, previous.wanted = ENDING, True
            previous.child.send_signal(signal.SIGTERM)
            self.world.after(TERMINATION_TIMEOUT, self.run.end_child, previous.child)

    def handle_exit(self, process) -> None:
        """Records a process that has ended, and restarts the relay if none is left."""
        self.processes.remove(process)
        process.state, code = GONE, process.child.returncode
        if not process.wanted:
            self.world.tell(self.name, "crashed", life=process.number, code=code)
        if process is not self.owner:
            return
        self.owner = next(iter(self.processes), None)
        if self.owner is not None and self.handed_over():
            return
        self.run.tell_parties(self.name, "killed" if code < 0 else "ended", life=process.number)
        self.world.tell(self.name, "left on disk", file=self.save_folder(process))
        if self.owner is None:
            self.world.after(RESTART_DELAY, self.restart_if_gone)
        # the next process waits for the state folder: what it does belongs to a start of its own
        else:
            self.world.tell(self.name, "started", life=self.owner.number)

    def handed_over(self) -> bool:
        """Whether a handover was completed since the last call.

        The process that hands over logs it before it does anything else.
        """
        said = (
            (self.run.folder / f"{self.name}.log")
            .read_text(encoding="utf-8", errors="replace")
            .count("event='handed over'")
        )
        newly, self.handovers_logged = said > self.handovers_logged, said
        return newly

    def save_folder(self, process) -> str:
        """Copies its state folder into one file for the checker; returns the name of that."""
        kept = self.run.folder / f"{self.name}.left{process.number}"
        with open(kept, "wb") as out:
            for path in sorted(self.folder.glob("*")) if self.folder.exists() else ():
                if path.is_file():
                    out.write(path.read_bytes())
        return kept.name

    def restart_if_gone(self) -> None:
        if not self.processes and not self.run.finished:
            self.start()

    # Faults

    def signal(self, number: int) -> bool:
        """Sends a signal to the owner; returns whether there was one."""
        if self.owner is None or self.owner.child.poll() is not None:
            return False
        self.world.tell(self.name, "signal", number=int(number))
        self.owner.child.send_signal(number)
        return True

    def kill(self) -> bool:
        """Kills the owner; returns whether it was serving."""
        hit = self.up
        if self.owner is not None:
            self.owner.wanted = True
            self.owner.child.kill()
        return hit

    def set_shim_fault(self, key: str, value) -> None:
        """Sets a shim's fault in its current process and later ones; a `value` of None ends it."""
        self.shim_faults = {**self.shim_faults, key: value}
        write_control(self.shim, self.shim_faults)

    def set_limit(self, which, value) -> None:
        """Sets a soft resource limit of the owner; a `value` of None raises it to the hard limit again."""
        if self.owner is not None and self.owner.child.poll() is None:
            soft, hard = resource.prlimit(self.owner.child.pid, which)
            resource.prlimit(
                self.owner.child.pid,
                which,
                (hard if value is None else min(value, hard if hard >= 0 else value), hard),
            )


class Run(Script):
    """One run of a scenario on processes.

    `folder`: where files, logs and histories are written; `tree`: the checkout of the program, by
    default this one; `older`: the checkout of an older program, which the script may start;
    `mistake`: the name of a mutation that is put into each relay; `rig_mistake`: one that is put
    into the rig itself. Raises ScenarioError for what can't be played on processes.
    """

    def __init__(self, scenario, folder, tree=None, older=None, mistake=None, rig_mistake=""):
        if older is None and any(fault.kind == "older" for fault in scenario.faults):
            raise scenarios.ScenarioError("$.faults: 'older' needs an older program: --older REV")
        self.older, self.mistake, self.rig_mistake = older, mistake, rig_mistake
        self.scenario, self.folder, self.tree = (
            scenarios.for_stage(scenario, "processes"),
            Path(folder),
            Path(tree or CHECKOUT),
        )
        self.prepare()
        self.folder.mkdir(parents=True, exist_ok=True)
        self.children, self.parties, self.finished, self.platform, self.hosts = (
            [],
            {},
            False,
            None,
            {},
        )
        self.slot, self.claim = claim_slot()
        self.address_plan, names = (
            AddressPlan(self.slot),
            [f"relay{n}" for n in range(scenario.relays)],
        )
        self.proxied = proxied_pairs(scenario)
        self.world = World("conductor", scenario.seed, self.folder / "conductor.history")
        self.network = Network(self.world, names, self.proxied)
        self.machine, self.platform_at = (
            self.network.machine("conductor"),
            self.address_plan.platform(),
        )
        self.relays = {name: Relay(self, n) for n, name in enumerate(names)}

    def child(self, words, **given):
        """Starts a child process that the kernel kills when this one ends."""
        made = subprocess.Popen(words, preexec_fn=kill_with_parent(os.getpid()), **given)
        self.children.append(made)
        return made

    def end_child(self, child) -> None:
        if child.poll() is None:
            child.kill()

    def known(self, relay: str) -> dict:
        """The list of hosts that a relay has in its configuration, as discovery would send it."""
        rows = [
            {
                "name": name,
                "address": "%s:%d"
                % self.network.address_seen_by(relay, self.address_plan.host(h), name),
                "zone": plan.zone,
                "type": plan.kind,
                "group": plan.destination,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
            }
            for h, (_, _, name, plan) in enumerate(host_plans(self.scenario))
        ]
        return {"index": len(rows) + 1, "snapshot": True, "endpoints": rows}

    # Parties

    def start_party(self, role: str) -> None:
        """Starts the process of a stand-in, which writes a line when its listeners are open."""
        spec = self.folder / f"{role}.spec"
        spec.write_bytes(
            msgspec.json.encode(
                Spec(
                    role,
                    scenarios.dump(self.scenario),
                    self.slot,
                    str(self.folder / f"{role}.history"),
                    sorted(self.proxied),
                    self.rig_mistake,
                )
            )
        )
        with open(self.folder / f"{role}.log", "ab") as log:
            child = self.child(
                [sys.executable, "-m", "molehill.fleet.party", str(spec)],
                cwd=CHECKOUT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(CHECKOUT)},
            )
        self.parties[role] = child
        self.waits_for.add(role)
        self.world.watch(child.stdout.fileno(), IN, lambda mask: self.party_up(role, child))

    def party_up(self, role: str, child) -> None:
        self.world.forget(child.stdout.fileno())
        if child.stdout.readline():
            self.waits_for.discard(role)

    def send_order(self, **what) -> None:
        """Sends a line of JSON to all stand-ins."""
        line = msgspec.json.encode(what) + b"\n"
        for child in self.parties.values():
            with contextlib.suppress(OSError):  # `check_parties` reports a stand-in that has ended
                child.stdin.write(line)
                child.stdin.flush()

    def tell_parties(self, who: str, what: str, **facts) -> None:
        """Records an event of a relay and reports it to all stand-ins."""
        self.world.tell(who, what, **facts)
        self.send_order(who=who, what=what)

    # The run

    def play(self) -> None:
        """Runs to the end and leaves the histories in the folder. Raises RigError."""
        try:
            self.waits_for = set()
            for role in ("hosts", "platform", "programs", *(["cables"] if self.proxied else [])):
                self.start_party(role)
            self.run_until(lambda: not self.waits_for, "stand-ins")
            for relay in self.relays.values():
                relay.start()
            self.world.after(POLL_INTERVAL, self.poll)
            self.run_until(lambda: all(relay.up for relay in self.relays.values()), "relays")
            zero = time.monotonic_ns() + 50 * MS
            self.world.begin(zero)
            self.world.tell("script", "begins", zero=zero, wall=time.time_ns() + 50 * MS)
            self.send_order(begin=zero)
            for fault in self.scenario.faults:
                if FAULTS[fault.kind] == "relay" and fault.kind != "flood" or fault.kind == "herd":
                    self.world.at(START + fault.at_ms * MS, self.apply_fault, fault)
                # the platform records it: each fault is recorded by the process that carries it out
                elif fault.kind == "move":
                    self.world.at(START + fault.at_ms * MS, self.on_move, fault, None, 0)
            longest = max(c.span_ms for c in self.scenario.categories) * MS
            self.world.at(
                START + self.scenario.span_ms * MS + longest + LOST_AFTER + CLEANUP_SPAN,
                self.finish,
            )
            self.world.run()
        finally:
            self.end_all()

    def run_until(self, done, what: str) -> None:
        """Runs the loop until `done()`. Raises RigError after START_TIMEOUT."""
        end = time.monotonic_ns() + START_TIMEOUT
        while not done():
            self.world.run_once()
            self.check_parties()
            if time.monotonic_ns() > end:
                raise RigError(f"{what} were not ready within {START_TIMEOUT // SECOND} s")

    def check_parties(self) -> None:
        """Raises RigError if a stand-in has ended by itself."""
        for role, child in self.parties.items():
            if child.poll() is not None and not self.finished:
                raise RigError(
                    f"stand-in {role} ended by itself with {child.returncode}: see {role}.log"
                )

    def poll(self) -> None:
        self.check_parties()
        for relay in self.relays.values():
            relay.poll()
        self.world.after(POLL_INTERVAL, self.poll)

    def finish(self) -> None:
        """Reads the relays' metrics and membership, then ends the run."""
        self.world.tell("script", "ends")
        waiting = set()
        for relay in self.relays.values():
            if relay.up:
                self.fetch_page(
                    relay,
                    "/metrics",
                    waiting,
                    lambda relay, body: self.world.tell(
                        relay.name,
                        "figures",
                        rows=parse_metrics(body),
                        cpu=cpu_seconds(relay.owner.child.pid),
                    ),
                )
                if self.scenario.fleet is not None:
                    self.fetch_page(
                        relay,
                        "/fleet",
                        waiting,
                        lambda relay, body: self.world.tell(
                            relay.name, "view", view=json.loads(body)
                        ),
                    )
        self.world.after(READ_TIMEOUT, setattr, self.world, "stopped", True)
        self.await_pages(waiting)

    def await_pages(self, waiting) -> None:
        """Ends the run when all pages have been read."""
        if not waiting:
            self.world.stopped = True
        self.world.after(POLL_INTERVAL, self.await_pages, waiting)

    def fetch_page(self, relay, target: str, waiting, on_body) -> None:
        """Fetches one page from the admin address of a relay and hands its body to `on_body`.

        The page is in `waiting` until then.
        """
        reader, place = MessageReader(), (relay.name, target)
        waiting.add(place)

        def on_data(sock, data, sent_at) -> None:
            for _, _, body, _ in reader.feed(data, sent_at):
                on_body(relay, body)
                waiting.discard(place)

        self.network.connect(
            self.machine,
            relay.owner.admin_address,
            on_data,
            lambda s: s.close(),
            lambda s: s.close(),
            lambda sock: sock.put(request("GET", target)),
        )

    def end_all(self) -> None:
        """Ends all children, waits for them, and closes what the run has open."""
        self.finished = True
        self.world.tell("conductor", "lateness", most=self.world.max_lateness)
        self.world.tell("conductor", "cpu", spent=time.process_time())
        for role, child in self.parties.items():
            if child.poll() is None:
                self.world.tell(role, "cpu", spent=cpu_seconds(child.pid))
        for child in self.children:
            if child.stdin is not None:
                with contextlib.suppress(OSError):
                    child.stdin.close()
            else:
                self.end_child(child)
        for child in self.children:
            try:
                child.wait(5)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()
            if child.stdout is not None:
                child.stdout.close()
        self.world.flush()
        self.claim.close()
        for sock in [*self.machine.socks]:
            sock.close()
        self.world.poll.close()
        self.world.file.close()

    # Faults

    def party(self, who: str):
        """The relay of that name, or None."""
        return self.relays.get(who)

    def record_hit(self, fault, affected) -> None:
        """Records that a fault took effect; one that did not voids the run."""
        if affected:
            self.world.tell("script", "hit", kind=fault.kind, falls_on=fault.who, at_ms=fault.at_ms)

    def on_kill(self, fault, relay, span) -> None:
        self.record_hit(fault, relay.kill())

    def on_herd(self, fault, _, span) -> None:
        up = [relay for relay in self.relays.values() if relay.up]
        for relay in self.world.chance.sample(up, round(len(up) * fault.worth)):
            self.record_hit(fault, relay.kill())

    def on_restart(self, fault, relay, span) -> None:
        hit = relay.up and relay.signal(signal.SIGTERM)
        if hit:
            relay.owner.state, relay.owner.wanted = ENDING, True
            self.world.after(TERMINATION_TIMEOUT, self.end_child, relay.owner.child)
        self.record_hit(fault, hit)

    def on_lose_disk(self, fault, relay, span) -> None:
        """Kills the relay and deletes its state folder before the next start."""
        hit = relay.kill()
        if hit:
            relay.owner.child.wait()
            shutil.rmtree(relay.folder, ignore_errors=True)
            self.world.tell(relay.name, "disk lost")
        self.record_hit(fault, hit)

    def on_hup(self, fault, relay, span) -> None:
        self.record_hit(fault, relay.up and relay.signal(signal.SIGHUP))

    def on_retune(self, fault, relay, span) -> None:
        """Reloads a changed file: one class more, and as many attempts as `worth` says.

        With 0 the file is cut off, and the relay must apply nothing of it.
        """
        if int(fault.worth):
            relay.retuned.append(int(fault.worth))
            relay.write_file()
        else:
            text = relay.file.read_text(encoding="utf-8")
            relay.file.write_text(text[: len(text) // 2], encoding="utf-8")
            self.world.after(200 * MS, relay.write_file)
        self.record_hit(fault, relay.up and relay.signal(signal.SIGHUP))

    def on_move(self, fault, _, span) -> None:
        self.platform_at = self.platform_at[0], self.platform_at[1] + 1
        for relay in self.relays.values():
            relay.write_file()
            self.record_hit(fault, relay.up and relay.signal(signal.SIGHUP))

    def on_upgrade(self, fault, relay, span) -> None:
        if relay.up and len(relay.processes) == 1:
            relay.start()
            self.record_hit(fault, True)

    def on_freeze(self, fault, relay, span) -> None:
        """Sends SIGSTOP, then SIGCONT.

        Pauses of one process may overlap: they are counted, because the end of one would otherwise
        wake a process that a longer one still holds.
        """
        process = relay.owner
        if not relay.up:
            return
        began = self.world.now
        self.world.tell(relay.name, "frozen", until=began + span)

        def apply(stopped) -> None:
            if process.child.poll() is None:
                if not stopped:
                    # records the time at which the pause really ended, which may be late
                    self.world.tell(relay.name, "frozen", until=self.world.now, since=began)
                process.child.send_signal(signal.SIGSTOP if stopped else signal.SIGCONT)

        self.record_hit(fault, True)
        self.apply_during(span, (relay.name, process.number, "stopped"), True, False, max, apply)

    def on_few_descriptors(self, fault, relay, span) -> None:
        most = max(24, int(self.scenario.sockets * fault.worth))
        self.apply_limit(fault, relay, span, resource.RLIMIT_NOFILE, most)

    def on_disk_full(self, fault, relay, span) -> None:
        """Limits file sizes to that of the log, so that no file can grow and writes fail."""
        log = relay.folder / "log"
        self.apply_limit(
            fault, relay, span, resource.RLIMIT_FSIZE, log.stat().st_size if log.exists() else 0
        )

    def on_clock(self, fault, relay, span) -> None:
        """Kills the relay; its next process has a wrong clock, as after a reboot of the machine."""
        off = (
            {"clock_ms": fault.worth}
            if fault.kind == "clock"
            else {"drift": fault.worth, "drift_from": time.monotonic_ns()}
        )
        relay.hook = {**relay.hook, **off}
        self.record_hit(fault, relay.kill())

    on_drift = on_clock

    def on_wall_step(self, fault, relay, span) -> None:
        relay.set_shim_fault("wall_ms", relay.shim_faults.get("wall_ms", 0) + fault.worth)
        self.record_hit(fault, True)

    def apply_shim_fault(self, fault, relay, span, key: str) -> None:
        # counts for a relay that is down, too: its next process starts with the fault
        self.record_hit(fault, True)
        self.apply_during(
            span,
            (relay.name, key),
            int(fault.worth),
            None,
            max,
            lambda code: relay.set_shim_fault(key, code),
        )

    def on_accept_error(self, fault, relay, span) -> None:
        self.apply_shim_fault(fault, relay, span, "accept")

    def on_connect_error(self, fault, relay, span) -> None:
        self.apply_shim_fault(fault, relay, span, "connect")

    def on_disk_error(self, fault, relay, span) -> None:
        """All file operations fail in the first half; in the second, plain writes succeed again."""
        self.apply_shim_fault(fault, relay, span, "files")
        self.apply_during(
            span // 2,
            (relay.name, "disk"),
            int(fault.worth),
            None,
            max,
            lambda code: relay.set_shim_fault("disk", code),
        )

    def on_older(self, fault, relay, span) -> None:
        """Kills the relay and runs the older program in its place for that span."""
        self.record_hit(fault, relay.kill())
        relay.is_older = True
        self.world.after(span, self.start_current_program, relay)

    def start_current_program(self, relay) -> None:
        relay.is_older = False
        relay.kill()

    def apply_limit(self, fault, relay, span, which, value) -> None:
        if relay.up:
            self.record_hit(fault, True)
            self.apply_during(
                span,
                (relay.name, relay.number, which),
                value,
                None,
                min,
                lambda value: relay.set_limit(which, value),
            )

    def on_starve(self, fault, relay, span) -> None:
        """Pins the relay to one core for that span, together with processes that keep it busy."""
        if not relay.up:
            return
        core = relay.n % os.cpu_count()
        process, busy = relay.owner, []
        os.sched_setaffinity(process.child.pid, {core})
        for _ in range(max(1, int(fault.worth))):
            busy.append(
                self.child(
                    [sys.executable, "-c", BUSY_LOOP % os.getpid()], stdin=subprocess.DEVNULL
                )
            )
            os.sched_setaffinity(busy[-1].pid, {core})
        self.record_hit(fault, True)

        def over() -> None:
            for child in busy:
                self.end_child(child)
            if process.child.poll() is None:
                os.sched_setaffinity(process.child.pid, os.sched_getaffinity(0))

        self.world.after(span, over)


def proxied_pairs(scenario) -> set:
    """Pairs (relay, party) that a fault falls on: they need a proxy from the start.

    With membership, each pair of relays has one as well.
    """
    found = set()
    for fault in scenario.faults:
        if FAULTS[fault.kind] == "pair":
            for a, b in directions(scenario, fault.who):
                found |= {(a, b), (b, a)}
    if scenario.fleet is not None:
        relays = [f"relay{n}" for n in range(scenario.relays)]
        found |= {(a, b) for a in relays for b in relays if a != b}
    return {(a, b) for a, b in found if a.startswith("relay")}


def parse_metrics(body: bytes) -> dict:
    """The body of `/metrics` as a map of name to value, without the prefix and types."""
    return dict(
        line.partition("|")[0].removeprefix("router.").rsplit(":", 1)
        for line in body.decode().splitlines()
    )


def cpu_seconds(pid: int) -> float:
    """CPU seconds that a process has used so far; 0 for one that is gone."""
    try:
        words = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")
