"""Stand-in clients: each keeps its connection, hands in one request at a time, and uses the connection as long as it stays open."""

import asyncio
import socket
import struct
from typing import Optional

from molehill.soak.history import Answered, GaveUp, HandedIn, Left, Unanswered
from molehill.soak.plan import DESTINATIONS
from molehill.soak.stand_ins import HEAD_END

ANSWER_TIMEOUT_S = 0.4  # seconds for an answer
TIME_LIMITS_S = (
    0.03,
    0.06,
    0.12,
    0.3,
    1.0,
    2.0,
    3.0,
)  # seconds in which a request may be delivered
PAUSE_S = (0.01, 0.12)  # seconds between an answer and the next request
RECONNECT_DELAY_S = 0.03  # seconds before another try to connect
ACCEPTED_STATUSES = (200, 202)
CLASSES = {"status": "deduplicated", "refund": "at_most_once", "rate": "idempotent"}


class Client:
    """One client; it ends when `stopped` is set."""

    def __init__(self, number, relay, history, rng, withdraw_share=0.0):
        """`relay`: its address and port; `withdraw_share`: the share of requests behind whose 202 it closes its connection."""
        self.number, self.relay, self.history, self.rng = number, relay, history, rng
        self.withdraw_share, self.withdraw_next = withdraw_share, False
        self.request_count, self.stopped = 0, False
        self.reader = self.writer = None
        self.requests_on_connection = 0  # requests on this connection

    async def run(self) -> None:
        while not self.stopped:
            accepted_id = await self.send_request()
            if accepted_id and (
                self.withdraw_next or self.withdraw_share and self.draws_withdrawal()
            ):
                self.withdraw(accepted_id)
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    def draws_withdrawal(self) -> bool:
        return self.rng.random() < self.withdraw_share

    def withdraw(self, request_id: str) -> None:
        """Ends the connection in order or by a reset, and with it withdraws the request."""
        self.withdraw_next = False
        self.history.withdrawn_ids.add(request_id)
        self.history.record(Left, request_id)
        if self.writer is not None and self.rng.random() < 0.5:
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close_connection()

    async def connect(self) -> bool:
        while self.writer is None and not self.stopped:
            try:
                self.reader, self.writer = await asyncio.open_connection(*self.relay)
                self.requests_on_connection = 0
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
        return self.writer is not None

    def close_connection(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send_request(self) -> Optional[str]:
        """Hands in one request; its id if it was taken on."""
        rng, class_name = self.rng, self.rng.choice(list(CLASSES))
        self.request_count += 1
        request_id, time_limit = f"c{self.number}.{self.request_count}", rng.choice(TIME_LIMITS_S)
        key = f"k{rng.randrange(12)}" if class_name == "status" else f"{request_id}"
        data = (
            f"POST /api HTTP/1.1\r\nReq-Id: {request_id}\r\nReq-Kind: {class_name}\r\nCookie: subject={key}\r\n"
            f"X-Consignee: dest={rng.randrange(DESTINATIONS)}\r\nIdempotency-Key: m-{request_id}\r\n"
            f"Req-Deadline-Ms: {int(time_limit * 1000)}\r\nContent-Length: 4\r\n\r\nbody"
        ).encode()
        # a close between requests may cross this one: once more on a new connection
        for _ in range(2):
            if not await self.connect():
                return None
            first = self.requests_on_connection == 0
            self.requests_on_connection += 1
            try:
                self.writer.write(data)
                self.history.record(HandedIn, request_id, CLASSES[class_name], time_limit)
                status = await asyncio.wait_for(self.read_answer(request_id), ANSWER_TIMEOUT_S)
                return request_id if status in ACCEPTED_STATUSES else None
            except asyncio.TimeoutError:
                self.history.record(GaveUp, request_id)
                self.close_connection()
                return None
            except (asyncio.IncompleteReadError, ConnectionError):
                self.close_connection()
                if first:
                    self.history.record(Unanswered, request_id, first)
                    return None
        return None

    async def read_answer(self, request_id: str) -> int:
        """Reads the answer; its status."""
        head = (await self.reader.readuntil(HEAD_END)).decode("latin-1").lower()
        length = int(head.partition("content-length:")[2].split("\r\n")[0] or 0)
        await self.reader.readexactly(length)
        status = int(head.split(" ")[1])
        self.history.record(Answered, request_id, status)
        if "connection: close" in head:
            self.close_connection()
        return status


async def hold_idle_connection(address: str, port: int) -> None:
    """A client that connects and says nothing, again and again."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(address, port)
            await reader.read()
            writer.close()
        except OSError:
            await asyncio.sleep(RECONNECT_DELAY_S)
