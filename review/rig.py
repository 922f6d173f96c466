"""Stand-ins and a runner that the cases of this folder share: hosts, platform, clients, one relay.

Standard library only. Everything listens on one loopback address; the relay is started with `run` of the deploy
file, in a temporary folder. All parties run in one event loop, so that what they saw has one order.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
# An address for each run, so that the ports of a stopped process stay free for its next one.
ADDRESS = f"127.{64 + (os.getpid() >> 8) % 64}.{os.getpid() % 256}.1"
READY_TIMEOUT_S = 20.0
CLIENT_TIMEOUT_S = 0.4  # a client waits so long for its answer
OLD_DISCOVERY_CLOSES_AFTER_S = 1.5
RESTART_DELAY_S = 0.6  # from SIGKILL to the next start


class CouldNotRun(Exception):
    """The case could not be run; it shows nothing."""


class Record:
    """What was sent, answered and run, in the order in which the stand-ins saw it."""

    def __init__(self):
        self.began, self.lines = time.monotonic(), []

    def now(self) -> float:
        return time.monotonic() - self.began

    def add(self, who: str, text: str) -> float:
        at = self.now()
        self.lines.append(f"{at:9.3f}  {who:<10} {text}")
        return at

    def write(self, path: Path) -> None:
        path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


def free_port() -> int:
    with socket.create_server((ADDRESS, 0)) as probe:
        return probe.getsockname()[1]


async def read_message(reader):
    """Returns start line, headers and body of a message; IncompleteReadError at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, _, rest = head.partition("\r\n")
    headers = {}
    for row in rest.split("\r\n"):
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def response(status: int, headers=(), body: bytes = b"") -> bytes:
    rows = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} X\r\n{rows}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """A listener whose connections are each served by `serve(reader, writer)`."""

    def __init__(self, record, name, port=0):
        self.record, self.name, self.port = record, name, port
        self.server, self.writers, self.tasks = None, set(), set()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._connected, ADDRESS, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{ADDRESS}:{self.port}"

    async def _connected(self, reader, writer) -> None:
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer) -> None:
        raise NotImplementedError

    def stop_listening(self) -> None:
        """Accepts no new connection; open ones stay."""
        self.server.close()

    def close(self) -> None:
        """Closes listener and connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Host(Server):
    """A host. `work(call)` is awaited for each call and returns status and headers of its answer."""

    def __init__(self, record, name, group, zone, work, kind="webshops", port=0):
        super().__init__(record, name, port)
        self.group, self.zone, self.kind, self.work, self.answers = group, zone, kind, work, 0

    def entry(self, status: str) -> dict:
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": self.kind,
            "group": self.group,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def serve(self, reader, writer) -> None:
        pending = set()
        try:
            while True:
                line, headers, _ = await read_message(reader)
                at = self.record.add(self.name, f"call {headers['req-id']}")
                # The work goes on when the connection ends: a call that was cut off may run on.
                task = asyncio.ensure_future(self.work(self, headers, at))
                pending.add(task)
                status, extra = await asyncio.shield(task)
                self.answers += 1
                body = f"{self.name} {self.answers}".encode() if status == 200 else b""
                if writer.is_closing() or reader.at_eof():
                    self.record.add(self.name, f"no answer to {headers['req-id']}: its connection is gone")
                    return
                writer.write(response(status, extra, body))
                await writer.drain()
                self.record.add(self.name, f"answer {status} to {headers['req-id']}")
        finally:
            for task in pending:
                task.add_done_callback(lambda done: done.cancelled() or done.exception())


class Platform(Server):
    """Discovery, and the receiver of notices."""

    def __init__(self, record, name, entries, index):
        """`entries`: name -> entry, the whole list as of version `index`."""
        super().__init__(record, name)
        self.entries, self.index, self.changes = dict(entries), index, []
        self.changed, self.is_down, self.notices = asyncio.Condition(), False, {}

    def whole(self) -> dict:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def change(self, *entries) -> None:
        """Changes entries, all in one version; those with status `left` are removed."""
        async with self.changed:
            self.index += 1
            for entry in entries:
                self.changes.append((self.index, entry))
                if entry["status"] == "left":
                    self.entries.pop(entry["name"], None)
                else:
                    self.entries[entry["name"]] = entry
                self.record.add(self.name, f"list {self.index}: {entry['name']} {entry['status']}")
            self.changed.notify_all()

    async def set_down(self, is_down: bool) -> None:
        """While discovery is down its calls end with 503, and watches end; notices are answered."""
        async with self.changed:
            self.is_down = is_down
            self.record.add(self.name, "discovery is down" if is_down else "discovery is back")
            self.changed.notify_all()

    async def serve(self, reader, writer) -> None:
        while True:
            line, _, body = await read_message(reader)
            method, target, _ = line.split(" ")
            if method == "POST":
                for row in body.splitlines():
                    notice = json.loads(row)
                    at = self.record.add(self.name, f"notice {notice['ref']} {notice['result']}")
                    self.notices.setdefault(notice["ref"], at)
                writer.write(response(204))
            else:
                answer = await self._list(parse_qs(urlsplit(target).query))
                if answer is None:
                    self.record.add(self.name, f"GET {target}: 503")
                    writer.write(response(503))
                else:
                    told = [f"{e['name']} {e['status']}" for e in answer["endpoints"]]
                    self.record.add(self.name, f"GET {target}: index {answer['index']} {told}")
                    writer.write(response(200, (), json.dumps(answer).encode()))
            await writer.drain()

    async def _list(self, query):
        if self.is_down:
            return None
        if "from" not in query:
            return self.whole()
        since, hold = int(query["from"][0]), int(query["hold_ms"][0]) / 1000
        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: self.is_down or self.index > since), hold
                )
            except asyncio.TimeoutError:
                pass
        if self.is_down:
            return None
        latest = {entry["name"]: entry for index, entry in self.changes if index > since}
        return {"index": self.index, "snapshot": False, "endpoints": list(latest.values())}


class Message:
    """A message as a client handed it in; times of the record."""

    def __init__(self, id, kind, dest, key, limit_ms):
        self.id, self.kind, self.dest, self.key, self.limit_ms = id, kind, dest, key, limit_ms
        self.sent_at = self.status = None

    @property
    def due(self) -> float:
        return self.sent_at + self.limit_ms / 1000


class Client:
    """A client that keeps its connection and sends one request at a time."""

    def __init__(self, record, name, port):
        self.record, self.name, self.port = record, name, port
        self.reader = self.writer = None

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def hand_in(self, message: Message, body=b"status") -> None:
        """Hands a message in; its `status` stays None if there is no answer."""
        cookie = f"Cookie: subject={message.key}\r\n" if message.key else ""
        data = (
            f"POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {message.id}\r\nReq-Kind: {message.kind}\r\n"
            f"{cookie}Req-Deadline-Ms: {message.limit_ms}\r\nIdempotency-Key: m-{message.id}\r\n"
            f"X-Consignee: dest={message.dest}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        for _ in range(2):  # a request that crosses the end of its connection is sent once more
            is_kept = self.writer is not None
            try:
                if not is_kept:
                    self.reader, self.writer = await asyncio.open_connection(ADDRESS, self.port)
                message.sent_at = message.sent_at or self.record.add(
                    self.name, f"hands in {message.id} {message.kind} dest={message.dest} {message.limit_ms} ms"
                )
                self.writer.write(data)
                line, headers, _ = await asyncio.wait_for(read_message(self.reader), CLIENT_TIMEOUT_S)
                message.status = int(line.split(" ")[1])
                self.record.add(self.name, f"answer {message.status} for {message.id}")
                if headers.get("connection") == "close":
                    self.close()
                return
            except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError) as error:
                self.record.add(self.name, f"no answer for {message.id}: {type(error).__name__}")
                self.close()
                if not is_kept or isinstance(error, asyncio.TimeoutError):
                    return


class Relay:
    """The relay under test: one process after another on one folder."""

    def __init__(self, record, folder: Path):
        self.record, self.folder, self.process = record, folder, None
        self.port, self.config_path = free_port(), folder / "config.json"
        (folder / "state").mkdir()
        self.run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.starts = 0

    def write_config(self, config: dict) -> None:
        """Replaces the configuration file whole."""
        new = self.folder / "config.new"
        new.write_text(json.dumps(config), encoding="utf-8")
        new.rename(self.config_path)

    async def start(self, discovery: str) -> None:
        self.starts += 1
        temporary = self.folder / f"tmp-{self.starts}"
        temporary.mkdir()
        env = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(temporary),
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": f"{ADDRESS}:{self.port}",
            "ROUTER_DISCOVERY": discovery,
            "ROUTER_STATE": str(self.folder / "state"),
            "ROUTER_CONFIG": str(self.config_path),
        }
        with open(self.folder / "relay.log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.run], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.add("platform", "starts the relay")
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CouldNotRun(f"the relay ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(ADDRESS, self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                line, _, _ = await asyncio.wait_for(read_message(reader), 1.0)
                writer.close()
                if line.split(" ")[1] == "200":
                    self.record.add("platform", "the relay is ready")
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun("the relay did not become ready")

    def signal(self, number) -> None:
        self.record.add("platform", f"{signal.Signals(number).name} to the relay")
        self.process.send_signal(number)

    async def kill_and_restart(self, discovery: str) -> None:
        """Ends the relay by SIGKILL alone; the next start comes 0.6 s later."""
        self.signal(signal.SIGKILL)
        self.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start(discovery)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def settings(grades, zones, kinds=("webshops",), **allowed) -> dict:
    """Returns the settings of a small deployment, with the names and figures of the wire page."""
    return {
        "balancers": 1,
        "periodMs": 5.0,
        "azs": list(zones),
        "machineTypes": list(kinds),
        "discovery": "on_request",
        "weightSource": "silent",
        "worthBy": "request",
        "overShareWorth": 0.1,
        "parties": [],
        "grades": grades,
        "allowed": {
            "cancel": True,
            "connIdleMs": 10000.0,
            "connectTimeoutMs": 1500.0,
            "maxAttempts": 6,
            "maxOpen": 186,
            "maxRetryAfterMs": 2000.0,
            "parallelTries": False,
            "peers": False,
            "probing": False,
            "retryAfter": True,
            "streamsPerConn": 1,
            **allowed,
        },
        "extra": {
            "fades": "linear",
            "feeByZone": [0.0 for _ in zones],
            "kindApart": [False for _ in kinds],
            "perCall": [1 for _ in kinds],
            "maxCalls": 24,
            "refusalCost": 0.0,
        },
        "guarantees": {
            "answerSlackMs": 20.0,
            "askWithinMs": 10000.0,
            "coldFrom": 0.17,
            "drainGraceMs": 1000.0,
            "fallMs": 1500.0,
            "rampTimeMs": 10000.0,
            "settleAfterDoubtMs": 100.0,
            "tipMultiple": 2.0,
        },
        "telemetry": {"fields": [], "how": "silent"},
    }


def configuration(relay, discovery: str, known: dict, settings_object: dict) -> dict:
    return {
        "name": "n0",
        "listen": f"{ADDRESS}:{relay.port}",
        "discovery": discovery,
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": known,
        "settings": settings_object,
    }


def main(case, folder: Path) -> int:
    """Runs `case(record, work_folder, trouble)`, which returns the breaches; returns the exit code."""
    record, trouble = Record(), os.environ.get("TROUBLE", "1") != "0"
    work = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        breaches = asyncio.run(asyncio.wait_for(case(record, work, trouble), 110))
    except Exception as error:  # whatever it is, the case shows nothing
        record.lines.append(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        log = work / "relay.log"
        if log.exists():
            record.lines += ["", "The relay's own log:", *log.read_text(errors="replace").splitlines()]
        record.write(folder / "record.txt")
        shutil.rmtree(work, ignore_errors=True)
    for line in breaches[:10]:
        print(line)
    print(f"{len(breaches)} breaches" if breaches else "the rule held")
    with open(folder / "record.txt", "a", encoding="utf-8") as file:
        file.write("\nVerdict:\n" + "\n".join(breaches or ["the rule held"]) + "\n")
    return 1 if breaches else 0


def run_case(case, folder: Path) -> None:
    sys.exit(main(case, folder))
