"""Stand-in clients: each keeps its connection, hands in one request at a time, and uses the connection as long as it stays open."""

import asyncio

from molehill.soak.history import Answered, GaveUp, HandedIn, Unanswered
from molehill.soak.plan import DESTINATIONS
from molehill.soak.stand_ins import HEAD_END

WAITS = 0.4  # seconds for an answer
SPANS = (0.03, 0.06, 0.12, 0.3, 1.0, 2.0, 3.0)  # seconds in which a request may be delivered
PAUSE = (0.01, 0.12)  # seconds between an answer and the next request
AGAIN = 0.03  # seconds before another try to connect
CLASSES = {"status": "deduplicated", "refund": "at_most_once", "rate": "idempotent"}


class Client:
    """One client; it ends when `over` is set."""

    def __init__(self, number, port, history, chance):
        self.number, self.port, self.history, self.chance = number, port, history, chance
        self.serial, self.over = 0, False
        self.reader = self.writer = None
        self.used = 0  # requests on this connection

    async def run(self) -> None:
        while not self.over:
            await self.ask()
            await asyncio.sleep(self.chance.uniform(*PAUSE))

    async def connect(self) -> bool:
        while self.writer is None and not self.over:
            try:
                self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.used = 0
            except OSError:
                await asyncio.sleep(AGAIN)
        return self.writer is not None

    def hang_up(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self) -> None:
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
                return
            first = self.used == 0
            self.used += 1
            try:
                self.writer.write(data)
                self.history.tell(HandedIn, number, CLASSES[kind], span)
                return await asyncio.wait_for(self.answered(number), WAITS)
            except asyncio.TimeoutError:
                self.history.tell(GaveUp, number)
                return self.hang_up()
            except (asyncio.IncompleteReadError, ConnectionError):
                self.hang_up()
                if first:
                    return self.history.tell(Unanswered, number, first)

    async def answered(self, number: str) -> None:
        head = (await self.reader.readuntil(HEAD_END)).decode("latin-1").lower()
        length = int(head.partition("content-length:")[2].split("\r\n")[0] or 0)
        await self.reader.readexactly(length)
        self.history.tell(Answered, number, int(head.split(" ")[1]))
        if "connection: close" in head:
            self.hang_up()


async def silent(port: int) -> None:
    """A client that connects and says nothing, again and again."""
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await reader.read()
            writer.close()
        except OSError:
            await asyncio.sleep(AGAIN)
