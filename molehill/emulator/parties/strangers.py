"""Clients that misbehave at a relay: other clients' ids, silence, half requests, noise.

None of it may harm other clients.
"""

from molehill.config import MS, SECOND
from molehill.emulator.parties.wire import MessageReader, request

NOISE = (
    b"\x00\x01\x02\r\n\r\n",
    b"GET\r\n\r\n",
    b"POST /api HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
    b"POST /api HTTP/1.1\r\nContent-Length: 10\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST /api HTTP/1.1\r\nReq-Id: x\r\nReq-Kind: nothing\r\nContent-Length: 0\r\n\r\n",
    b"POST /api HTTP/1.1\r\n" + b"X: y\r\n" * 4000,
)

MAX_COPY_SPAN = 3 * SECOND  # longest time limit of a copy, which is also in its request


class Strangers:
    """Misbehaving clients.

    `plan`: copies (share of requests whose id they use too), rate (connections a second), until.
    """

    def __init__(self, world, network, addresses, plan):
        self.world, self.network, self.addresses, self.plan = world, network, addresses, plan
        self.machine, self.heard = network.machine("strangers"), {}
        if plan.rate:
            world.after(world.chance.randrange(SECOND), self.connect_next)

    def observe_request(self, ident: str, relay: str, message) -> None:
        """Send a request with the same id but another key and body at once.

        It has a connection of its own and may arrive before the true one.
        """
        if self.world.now >= self.plan.until or self.world.chance.random() >= self.plan.copies:
            return
        headers = [
            ("Req-Id", ident),
            ("Req-Kind", message.category.name),
            ("X-Consignee", f"dest={message.destination}"),
            ("Req-Deadline-Ms", str(min(message.category.span, MAX_COPY_SPAN) // MS)),
            ("Cookie", "subject=strange"),
        ]
        if message.mark is not None:
            headers.append(("Idempotency-Key", f"strange-{ident}"))
        body = b"strange " + ident.encode()
        self.world.after(
            self.world.chance.randrange(MS // 2),
            self.send_copy,
            ident,
            relay,
            message,
            headers,
            body,
        )

    def send_copy(self, ident, relay, message, headers, body) -> None:
        reader, span = MessageReader(), message.category.span

        def came(sock, data, sent_at):
            for first, _, _, _ in reader.feed(data, sent_at):
                self.world.tell(
                    "strangers",
                    "heard",
                    id=ident,
                    status=int(first.split(" ")[1]),
                    wait=0,
                    relay=relay,
                )
                sock.close()

        def up(sock):
            self.world.tell(
                "strangers",
                "asked",
                id=ident,
                message=None,
                relay=relay,
                category=message.category.name,
                key="strange" if message.category.ordered else None,
                destination=message.destination,
                due=self.world.now + min(span, MAX_COPY_SPAN),
                mark=None,
                body=body[:40].decode(),
            )
            sock.put(request("POST", "/api", headers, body))

        self.network.connect(
            self.machine, self.addresses[relay], came, lambda s: s.close(), lambda s: s.close(), up
        )

    def connect_next(self) -> None:
        """Open a connection that is silent, sends half a request, or sends noise; schedule the
        next.
        """
        chance = self.world.chance
        if self.world.now >= self.plan.until:
            return
        self.world.after(int(chance.expovariate(self.plan.rate) * SECOND) + 1, self.connect_next)
        relay = chance.choice(sorted(self.addresses))
        what = chance.choice(("silent", "half", "noise"))
        data = {
            "silent": b"",
            "half": b"POST /api HTTP/1.1\r\nReq-Id: half\r\nContent-Length: 50\r\n\r\nhal",
            "noise": chance.choice(NOISE),
        }[what]
        self.network.connect(
            self.machine,
            self.addresses[relay],
            lambda *_: None,
            lambda s: s.close(),
            lambda s: s.close(),
            lambda s: s.put(data) if data else None,
        )
