"""Provides the stand-in clients, which record what they send and receive in a `History`.

Each client sends one request at a time and reuses its connection as long as that stays open.
"""

import asyncio
import socket
import struct
from random import Random
from typing import Optional

from molehill.soak.history import Answered, GaveUp, HandedIn, Left, Message, Unanswered
from molehill.soak.plan import DESTINATIONS
from molehill.soak.stand_ins import HEAD_END

ANSWER_TIMEOUT_S = 0.4  # a client closes its connection without an answer after this
TIME_LIMITS_S = (
    0.03,
    0.06,
    0.12,
    0.3,
    1.0,
    2.0,
    3.0,
)  # within which a request may be delivered
PAUSE_S = (0.01, 0.12)  # between an answer and the next request, shortest and longest
RECONNECT_DELAY_S = 0.03  # before the next attempt to connect
BODY_SIZES = (0, 16, 200, 3000)  # bytes
BODY_FILLS = (b"x", b"\r\n", b'{"k":"taken"', b"\0", b"POST /events HTTP/1.1\r\n\r\n")
ACCEPTED_STATUSES = (200, 202)
CLASSES = {"status": "deduplicated", "refund": "at_most_once", "rate": "idempotent"}
ORDERED_EFFECT = "deduplicated"  # requests of one key are delivered in order


class Client:
    """One client; `run` returns after `stopped` is set."""

    def __init__(self, number, relay, history, rng, withdraw_share=0.0):
        """`relay`: address and port of the relay.

        `withdraw_share`: share of accepted requests after whose answer the client closes its
        connection.
        """
        self.number, self.relay, self.history, self.rng = number, relay, history, rng
        self.withdraw_share, self.withdraw_next = withdraw_share, False
        self.on_accepted = lambda: None  # called as an accepting answer has been read
        self.request_count, self.stopped = 0, False
        self.content_rng = Random(f"content {number}")
        self.reader = self.writer = None
        self.requests_on_connection = 0

    async def run(self) -> None:
        """Sends requests one after another until `stopped` is set."""
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
        """Withdraws the request by closing the connection, orderly or by a reset."""
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
        """Sends one request and returns its id if the relay accepted it."""
        rng, class_name = self.rng, self.rng.choice(list(CLASSES))
        self.request_count += 1
        request_id, time_limit = f"c{self.number}.{self.request_count}", rng.choice(TIME_LIMITS_S)
        order_key = f"k{rng.randrange(12)}" if CLASSES[class_name] == ORDERED_EFFECT else ""
        key = order_key or request_id
        message = self.draw_message(request_id)
        data = (
            f"POST /api HTTP/1.1\r\nReq-Id: {request_id}\r\nReq-Kind: {class_name}\r\nCookie: subject={key}\r\n"
            f"X-Consignee: dest={message.destination}\r\nIdempotency-Key: {message.idempotency_key}\r\n"
            f"Req-Deadline-Ms: {int(time_limit * 1000)}\r\nContent-Length: {len(message.body)}\r\n\r\n"
        ).encode() + message.body
        # The relay may close an idle connection while this request is on its way: it is sent once
        # more on a new connection.
        for _ in range(2):
            if not await self.connect():
                return None
            first = self.requests_on_connection == 0
            self.requests_on_connection += 1
            try:
                self.writer.write(data)
                self.history.record(
                    HandedIn, request_id, CLASSES[class_name], time_limit, order_key, message
                )
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

    def draw_message(self, request_id: str) -> Message:
        """Returns the message of a request; its body is like no other, and may look like the log."""
        body = b"body of " + request_id.encode()
        size = self.content_rng.choice(BODY_SIZES)
        body += self.content_rng.choice(BODY_FILLS) * size
        return Message(self.rng.randrange(DESTINATIONS), f"m-{request_id}", body[:size])

    async def read_answer(self, request_id: str) -> int:
        """Reads the answer to a request and returns its status."""
        head = (await self.reader.readuntil(HEAD_END)).decode("latin-1").lower()
        length = int(head.partition("content-length:")[2].split("\r\n")[0] or 0)
        await self.reader.readexactly(length)
        status = int(head.split(" ")[1])
        self.history.record(Answered, request_id, status)
        if status in ACCEPTED_STATUSES:
            self.on_accepted()
        if "connection: close" in head:
            self.close_connection()
        return status


async def hold_idle_connection(address: str, port: int) -> None:
    """Opens a connection and sends nothing, and connects again whenever it is closed."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(address, port)
            try:
                await reader.read()
            finally:
                writer.close()
        except OSError:
            await asyncio.sleep(RECONNECT_DELAY_S)


UNFINISHED_BODY_BYTES = 64 * 1024  # of which the last one is never sent


async def hold_unfinished_request(address: str, port: int, number: int) -> None:
    """Sends all of a large request but its last byte, and again whenever its connection ends."""
    head = (
        f"POST /api HTTP/1.1\r\nReq-Id: flood-{number}\r\nReq-Kind: {next(iter(CLASSES))}\r\n"
        f"X-Consignee: dest=0\r\nContent-Length: {UNFINISHED_BODY_BYTES}\r\n\r\n"
    ).encode()
    while True:
        try:
            reader, writer = await asyncio.open_connection(address, port)
            try:
                writer.write(head + b"f" * (UNFINISHED_BODY_BYTES - 1))
                await reader.read()
            finally:
                writer.close()
        except OSError:
            pass
        await asyncio.sleep(RECONNECT_DELAY_S)
