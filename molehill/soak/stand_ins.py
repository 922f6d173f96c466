"""Stand-in hosts and platform of one relay, on asyncio and loopback sockets."""

import asyncio
import json
import re
from urllib.parse import parse_qs, urlsplit

from molehill.soak.history import Call, Notice, Replied, Told

SERVICE = (0.005, 0.03)  # seconds that a call takes, least and most
SLOW = 0.8
TOLD_WAIT = 0.7  # seconds, in a Retry-After
HEAD_END = b"\r\n\r\n"
ANSWERS = {"refuse": (503, ""), "wait": (429, f"Retry-After: {TOLD_WAIT}\r\n"), "error": (500, "")}


def answer(status: int, headers: str = "", body: bytes = b"") -> bytes:
    head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def read_message(reader):
    """First line, headers and body of one request, and when its first byte came; raises IncompleteReadError at the end."""
    first = await reader.readexactly(1)
    began = asyncio.get_running_loop().time()
    head = (first + await reader.readuntil(HEAD_END)).decode("latin-1")
    line, _, rest = head.partition("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (row.partition(":") for row in rest.split("\r\n"))
    }
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line, headers, body, began


class Host:
    """One host of a destination. `latency`: seconds between the relay's writing and this host's reading."""

    def __init__(self, name, history, chance, latency):
        self.name, self.history, self.chance, self.latency = name, history, chance, latency
        self.mode, self.server, self.port, self.writers = "well", None, 0, set()
        self.destination = int(re.search(r"\d+", name)[0])

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def become(self, mode: str) -> None:
        if mode == "down":
            self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()
        elif self.mode == "down":
            await self.open()
        self.mode = mode

    async def serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, headers, body, began = await read_message(reader)
                await self.called(writer, line, headers, body, began)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the last of them: the run is over
        finally:
            self.writers.discard(writer)
            writer.close()

    async def called(self, writer, line, headers, body, began) -> None:
        if self.latency:
            await asyncio.sleep(self.latency)
        history = self.history
        patience = headers.get("req-deadline-ms")
        history.tell(
            Call,
            headers["req-id"],
            self.name,
            began - history.begun,
            int(patience) / 1000 if patience else None,
        )
        status, extra = ANSWERS.get(self.mode, (200, ""))
        if self.mode == "hang":
            return
        if self.mode == "reset":
            return writer.transport.abort()
        await asyncio.sleep(SLOW if self.mode == "slow" else self.chance.uniform(*SERVICE))
        writer.write(answer(status, extra))
        history.tell(Replied, headers["req-id"], self.name, status)
        await writer.drain()


class Platform:
    """Discovery and the place that notices go to."""

    def __init__(self, history, hosts):
        self.history, self.hosts, self.version, self.changes = history, hosts, 1, []
        self.status = {host.name: "active" for host in hosts}
        self.changed, self.server, self.port = asyncio.Condition(), None, 0
        self.down = False  # discovery; notices are taken all the same

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, host) -> dict:
        return {
            "name": host.name,
            "address": f"127.0.0.1:{host.port}",
            "zone": "a",
            "type": "m",
            "group": host.destination,
            "status": self.status[host.name],
            "weight": 1.0,
            "since_ms": 0,
        }

    def whole(self) -> dict:
        rows = [self.entry(host) for host in self.hosts]
        return {"index": self.version, "snapshot": True, "endpoints": rows}

    async def turn(self, name: str, status: str) -> None:
        """A host has another status; who watches is told."""
        async with self.changed:
            self.status[name] = status
            self.version += 1
            self.changes.append((self.version, name))
            self.changed.notify_all()

    async def set_down(self, down: bool) -> None:
        async with self.changed:
            self.down = down
            self.changed.notify_all()

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                line, _, body, _ = await read_message(reader)
                method, target, _ = line.split(" ")
                if method == "POST":
                    for row in body.splitlines():
                        notice = json.loads(row)
                        self.history.tell(Notice, notice["ref"], notice["result"])
                    writer.write(answer(204))
                else:
                    listed = await self.listed(parse_qs(urlsplit(target).query))
                    if self.down:
                        writer.write(answer(503))
                        continue
                    writer.write(answer(200, body=json.dumps(listed).encode()))
                    for row in listed["endpoints"]:
                        self.history.tell(Told, row["name"], row["status"])
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the last of them: the run is over
        finally:
            writer.close()

    async def listed(self, query) -> dict:
        if "from" not in query:
            return self.whole()
        since, hold = int(query["from"][0]), int(query["hold_ms"][0]) / 1000
        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: self.down or self.version > since), timeout=hold
                )
            except asyncio.TimeoutError:
                pass
        names = dict.fromkeys(name for version, name in self.changes if version > since)
        rows = [self.entry(host) for host in self.hosts if host.name in names]
        return {"index": self.version, "snapshot": False, "endpoints": rows}
