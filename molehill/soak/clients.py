"""Stand-in clients: each keeps its connection, hands in one request at a time, and uses the connection as long as it stays open."""

import asyncio
import socket
import struct
from typing import Optional

from molehill.soak.history import Answered, GaveUp, HandedIn, Left, Unanswered
from molehill.soak.plan import DESTINATIONS
from molehill.soak.stand_ins import HEAD_END

WAITS = 0.4  # seconds for an answer
SPANS = (0.03, 0.06, 0.12, 0.3, 1.0, 2.0, 3.0)  # seconds in which a request may be delivered
PAUSE = (0.01, 0.12)  # seconds between an answer and the next request
AGAIN = 0.03  # seconds before another try to connect
TAKEN_ON = (200, 202)
CLASSES = {"status": "deduplicated", "refund": "at_most_once", "rate": "idempotent"}


class Client:
    """One client; it ends when `over` is set."""

    def __init__(self, number, relay, history, chance, leaving=0.0):
        """`relay`: its address and port; `leaving`: the share of requests behind whose 202 it closes its connection."""
        self.number, self.relay, self.history, self.chance = number, relay, history, chance
        self.leaving, self.leave_next = leaving, False
        self.serial, self.over = 0, False
        self.reader = self.writer = None
        self.used = 0  # requests on this connection

    async def run(self) -> None:
        while not self.over:
            taken_on = await self.ask()
            if taken_on and (self.leave_next or self.leaving and self.leaves()):
                self.leave(taken_on)
            await asyncio.sleep(self.chance.uniform(*PAUSE))

    def leaves(self) -> bool:
        return self.chance.random() < self.leaving

    def leave(self, number: str) -> None:
        """Ends the connection in order or by a reset, and with it withdraws the request."""
        self.leave_next = False
        self.history.left.add(number)
        self.history.tell(Left, number)
        if self.writer is not None and self.chance.random() < 0.5:
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.hang_up()

    async def connect(self) -> bool:
        while self.writer is None and not self.over:
            try:
                self.reader, self.writer = await asyncio.open_connection(*self.relay)
                self.used = 0
            except OSError:
                await asyncio.sleep(AGAIN)
        return self.writer is not None

    def hang_up(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self) -> Optional[str]:
        """Hands in one request; its id if it was taken on."""
        chance, kind = self.chance, self.chance.choice(list(CLASSES))
        self.serial += 1
        number, span = f"c{self.number}.{self.serial}", chance.choice(SPANS)
        key = f"k{chance.randrange(12)}" if kind == "status" else f"{number}"
        data = (
            f"POST /api HTTP/1.1\r\nReq-Id: {number}\r\nReq-Kind: {kind}\r\nCookie: subject={key}\r\n"
            f"X-Consignee: dest={chance.randrange(DESTINATIONS)}\r\nIdempotency-Key: m-{number}\r\n"
            f"Req-Deadline-Ms: {int(span * 1000)}\r\nContent-Length: 4\r\n\r\nbody"
        ).encode()
        # a close between requests may cross this one: once more on a new connection
        for _ in range(2):
            if not await self.connect():
                return None
            first = self.used == 0
            self.used += 1
            try:
                self.writer.write(data)
                self.history.tell(HandedIn, number, CLASSES[kind], span)
                status = await asyncio.wait_for(self.answered(number), WAITS)
                return number if status in TAKEN_ON else None
            except asyncio.TimeoutError:
                self.history.tell(GaveUp, number)
                self.hang_up()
                return None
            except (asyncio.IncompleteReadError, ConnectionError):
                self.hang_up()
                if first:
                    self.history.tell(Unanswered, number, first)
                    return None
        return None

    async def answered(self, number: str) -> int:
        """Reads the answer; its status."""
        head = (await self.reader.readuntil(HEAD_END)).decode("latin-1").lower()
        length = int(head.partition("content-length:")[2].split("\r\n")[0] or 0)
        await self.reader.readexactly(length)
        status = int(head.split(" ")[1])
        self.history.tell(Answered, number, status)
        if "connection: close" in head:
            self.hang_up()
        return status


async def silent(address: str, port: int) -> None:
    """A client that connects and says nothing, again and again."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(address, port)
            await reader.read()
            writer.close()
        except OSError:
            await asyncio.sleep(AGAIN)
