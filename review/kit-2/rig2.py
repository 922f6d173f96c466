"""Stand-ins for the cases of the second review: discovery and platform, hosts, clients, the relay.

All parties speak the published protocol over loopback sockets and the real clock. Only the standard
library is used. A case subclasses `Case` and runs it with `main`; `record.txt` gets one line for
each thing that was sent, answered or run, with the seconds since the start.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENT_WAIT = 0.4  # a client waits so long for an answer
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


def free_ports(count):
    """Returns free ports of 127.0.0.1, below those that the system gives to clients."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 30000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def settings(**changes):
    """Returns settings like those of a small deployment; keys with dots replace single values."""
    values = {
        "allowed": {
            "cancel": True, "connIdleMs": 10000.0, "connectTimeoutMs": 1500.0, "maxAttempts": 8,
            "maxOpen": 600, "maxRetryAfterMs": 2000.0, "parallelTries": False, "peers": False,
            "probing": False, "retryAfter": True, "streamsPerConn": 1,
        },
        "azs": ["wien-1"], "balancers": 1, "discovery": "on_request",
        "clientHabits": {"marksRetry": True},
        "extra": {"fades": "linear", "kindApart": [False], "perCall": [1], "maxCalls": 12,
                  "refusalCost": 0.0, "feeByZone": [0.0]},
        "grades": [
            {"name": "status-update", "aimMs": 3000.0, "deadlineMs": 12000.0, "lateShare": 0.5,
             "semantics": "deduplicated", "dedupScope": "all", "dedupWindowMs": 15000.0,
             "serialByKey": True, "stream": False, "worth": 1.0},
        ],
        "guarantees": {"answerSlackMs": 20.0, "askWithinMs": 10000.0, "coldFrom": 0.17,
                       "drainGraceMs": 1000.0, "fallMs": 1500.0, "rampTimeMs": 10000.0,
                       "settleAfterDoubtMs": 100.0, "tipMultiple": 2.0},
        "machineTypes": ["webshops"], "me": 0, "overShareWorth": 0.1, "parties": [],
        "periodMs": 5.0, "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
        "weightSource": "silent", "workload": "deliver", "worthBy": "request",
    }
    for path, value in changes.items():
        part = values
        *folders, name = path.split("__")
        for folder in folders:
            part = part[folder]
        part[name] = value
    return values


async def read_head(reader):
    """Returns (start line, headers) of a message, or None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, headers=(), body=b""):
    reason = {200: "OK", 202: "Accepted", 204: "No Content", 429: "Too Many Requests",
              500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "Status")
    rows = [f"HTTP/1.1 {status} {reason}", *(f"{k}: {v}" for k, v in headers)]
    if status != 204:
        rows.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(rows) + "\r\n\r\n").encode() + body


class Host:
    """A sound host; `answer(call)` is a coroutine that returns (status, headers) or None.

    None: nothing is ever answered. A call begins once its last byte has come.
    """

    def __init__(self, case, name, group, port, service_s=0.1, zone="wien-1", kind="webshops"):
        self.case, self.name, self.group, self.port = case, name, group, port
        self.service_s, self.zone, self.kind, self.status = service_s, zone, kind, "active"
        self.server, self.writers, self.calls = None, set(), 0

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def entry(self):
        return {"name": self.name, "address": self.address, "zone": self.zone, "type": self.kind,
                "group": self.group, "status": self.status, "weight": 1.0, "since_ms": 0}

    async def up(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20)

    async def down(self):
        """Refuses new connections and resets the open ones, as a process that has died."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                self.calls += 1
                call = {"host": self.name, "n": self.calls, "id": head[1].get("req-id"),
                        "mark": head[1].get("idempotency-key"), "body": body, "at": time.monotonic(),
                        "headers": head[1], "line": head[0], "reader": reader}
                self.case.call_came(call)
                answer = await self.answer(call)
                if answer is None:
                    await asyncio.sleep(3600)
                status, headers = answer
                call["answered"] = time.monotonic()
                self.case.log("host", self.name, "answers", call["id"], status, dict(headers) or "")
                writer.write(response(status, headers, b"%s %d" % (self.name.encode(), self.calls)))
                self.case.call_answered(call, status, headers)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, call):
        await asyncio.sleep(self.service_s)
        return 200, ()


class Platform:
    """Discovery and the platform at one address: the list, watches on it, and notices."""

    def __init__(self, case, port):
        self.case, self.port, self.index, self.changes = case, port, 1, []
        self.changed, self.server, self.writers = asyncio.Event(), None, set()

    async def up(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20)

    def change(self, host, status):
        """Tells a change of a host's status."""
        host.status = status
        self.index += 1
        self.changes.append((self.index, host.entry()))
        self.case.log("discovery has", host.name, status)
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self):
        rows = [h.entry() for h in self.case.hosts if h.status != "left"]
        return {"index": self.index, "snapshot": True, "endpoints": rows}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                if method == "POST" and target == "/v2/finals":
                    for line in body.splitlines():
                        row = json.loads(line)
                        self.case.notice_came(row["ref"], row["result"])
                    writer.write(response(204))
                else:
                    data = await self.list_for(target)
                    self.case.list_written(data)
                    writer.write(response(200, (), json.dumps(data).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def list_for(self, target):
        query = dict(p.split("=", 1) for p in target.partition("?")[2].split("&") if "=" in p)
        if "from" not in query:
            return self.whole()
        known = int(query["from"])
        if known == 0 or known > self.index:
            return self.whole()
        if known == self.index:
            hold = min(float(query.get("hold_ms", 0)), 60000) / 1000
            try:
                await asyncio.wait_for(self.changed.wait(), hold)
            except asyncio.TimeoutError:
                pass
        rows = [entry for index, entry in self.changes if index > known]
        return {"index": self.index, "snapshot": False, "endpoints": rows}


class Client:
    """Hands messages in, one at a time on a connection; keeps connections for the next message."""

    def __init__(self, case):
        self.case, self.idle, self.count = case, [], 0

    async def hand_in(self, kind, dest, key=None, deadline_ms=None, body=b"x" * 200, mark=True,
                      extra=()):
        """Returns (id, status); status None: no answer in 0.4 s, or the connection ended."""
        self.count += 1
        ident = f"{os.getpid():08x}{self.count:08x}"
        rows = ["POST /api HTTP/1.1", "Host: app.svc", f"Req-Id: {ident}", f"Req-Kind: {kind}",
                f"X-Consignee: dest={dest}", f"Content-Length: {len(body)}"]
        rows += [f"Cookie: subject={key}"] * (key is not None)
        rows += [f"Req-Deadline-Ms: {deadline_ms}"] * (deadline_ms is not None)
        rows += [f"Idempotency-Key: mark-{ident}"] * bool(mark)
        rows += list(extra)
        data = ("\r\n".join(rows) + "\r\n\r\n").encode() + body
        message = {"id": ident, "kind": kind, "dest": dest, "key": key, "sent": time.monotonic(),
                   "deadline_ms": deadline_ms, "body": body}
        self.case.messages[ident] = message
        self.case.log("client hands in", ident, kind, f"dest={dest}", f"key={key}",
                      f"deadline_ms={deadline_ms}")
        for _ in range(2):
            on_kept = bool(self.idle)
            try:
                reader, writer = (self.idle.pop() if self.idle else await asyncio.open_connection(
                    "127.0.0.1", self.case.listen_port))
                message["sent"] = time.monotonic()
                writer.write(data)
                head = await asyncio.wait_for(read_head(reader), CLIENT_WAIT)
                if head is None and on_kept:
                    continue  # its end crossed the request: once more on a new connection
                if head is None:
                    break
                await read_body(reader, head[1])
                status = int(head[0].split(" ")[1])
                message["status"], message["answered"] = status, time.monotonic()
                self.case.log("client is answered", ident, status)
                if head[1].get("connection", "").lower() == "close":
                    writer.close()
                else:
                    self.idle.append((reader, writer))
                return ident, status
            except asyncio.TimeoutError:
                writer.transport.abort()
                break
            except (ConnectionError, OSError):
                if not on_kept:
                    break
        message["status"] = None
        self.case.log("client has no answer", ident)
        return ident, None

    def close(self):
        for _, writer in self.idle:
            writer.transport.abort()
        self.idle = []


class Relay:
    """The relay, started by the commands of the deploy file."""

    def __init__(self, case, folder):
        self.case, self.folder, self.process, self.count = case, folder, None, 0
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            self.command = tomllib.load(file)["run"]

    def write_config(self):
        case = self.case
        config = {
            "name": "n1", "listen": f"127.0.0.1:{case.listen_port}",
            "discovery": f"127.0.0.1:{case.platform.port}", "seed": case.seed,
            "limits": case.limits,
            "known": case.platform.whole(), "settings": case.settings,
        }
        path = self.folder / "config.json"
        temporary = self.folder / "config.new"
        temporary.write_text(json.dumps(config))
        os.replace(temporary, path)
        return path

    async def start(self, **more):
        self.count += 1
        path = self.write_config()
        temp = self.folder / f"tmp{self.count}"
        temp.mkdir()
        environ = {
            "PATH": os.environ["PATH"], "TMPDIR": str(temp), "ROUTER_CONFIG": str(path),
            "ROUTER_STATE": str(self.folder / "state"), "ROUTER_NAME": "n1",
            "ROUTER_LISTEN": f"127.0.0.1:{self.case.listen_port}",
            "ROUTER_DISCOVERY": f"127.0.0.1:{self.case.platform.port}", **more,
        }
        with open(self.folder / f"relay{self.count}.log", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.command, cwd=ROOT, env=environ, stdout=log, stderr=log)
        self.case.processes.append(self.process)
        self.case.log("relay started")

    async def wait_ready(self, limit=30.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"the relay exited with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.case.listen_port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head is not None and " 200 " in head[0]:
                    self.case.log("relay ready")
                    return
            except (ConnectionError, OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the relay did not get ready")

    def signal(self, number):
        self.case.log("relay gets", signal.Signals(number).name)
        self.process.send_signal(number)


class Case:
    """One case; `play` is the scenario, `judge` returns the breaks of the rule, as texts."""

    seed = "8c1f30d27a5be964"

    def __init__(self, folder):
        self.started = time.monotonic()
        self.record = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="molehill-review-"))
        self.messages, self.calls, self.notices, self.lists = {}, [], [], []
        self.hosts, self.processes = [], []
        self.settings = settings()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.listen_port, platform_port = free_ports(2)
        self.platform = Platform(self, platform_port)
        self.client, self.relay = Client(self), Relay(self, self.work)

    def log(self, *words):
        if self.record.closed:
            return
        text = " ".join(str(word) for word in words if word != "")
        self.record.write(f"{time.monotonic() - self.started:9.4f} {text}\n")

    def call_came(self, call):
        self.calls.append(call)
        self.log("host", call["host"], "gets", call["id"])

    def call_answered(self, call, status, headers):
        call["status"] = status

    def notice_came(self, ident, result):
        self.notices.append((time.monotonic(), ident, result))
        self.log("platform gets notice", ident, result)

    def list_written(self, data):
        self.lists.append((time.monotonic(), data))
        self.log("discovery writes", json.dumps(data)[:300])

    async def add_hosts(self, *hosts):
        for host in hosts:
            self.hosts.append(host)
            await host.up()

    async def run(self):
        await self.platform.up()
        await self.play()

    async def play(self):
        raise NotImplementedError

    def judge(self):
        raise NotImplementedError

    def close(self, keep):
        self.client.close()
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for n in range(1, self.relay.count + 1):
            path = self.work / f"relay{n}.log"
            self.record.write(f"--- log of relay process {n}, the end\n")
            self.record.write(path.read_text(errors="replace")[-6000:])
        self.record.close()
        if not keep:
            shutil.rmtree(self.work, ignore_errors=True)


def main(case_class, folder, limit=110.0):
    """Plays a case and exits with 1 (rule broken), 0 (held) or 2 (could not run)."""
    folder = pathlib.Path(folder).resolve().parent

    async def whole():
        case = case_class(folder)
        code = COULD_NOT_RUN
        try:
            await asyncio.wait_for(case.run(), limit)
            breaks = case.judge()
            for text in breaks:
                case.log("BROKEN:", text)
                print("BROKEN:", text)
            code = BROKEN if breaks else HELD
            case.log("the rule was broken" if breaks else "the rule held")
        except Exception as error:  # whatever it is, it says nothing of the rule
            case.log("could not run:", repr(error))
            print("could not run:", repr(error))
        finally:
            processes = case.processes
            case.close(keep=bool(os.environ.get("KEEP")))
            for process in processes:
                await process.wait()
        print({BROKEN: "broken", HELD: "held", COULD_NOT_RUN: "could not run"}[code])
        return code

    try:
        code = asyncio.run(whole())
    except Exception as error:  # before the case began, or while its processes ended
        print("could not run:", repr(error))
        code = COULD_NOT_RUN
    sys.stdout.flush()
    os._exit(code)
