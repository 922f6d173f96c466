"""Programs: clients that submit callbacks to relays from a shared pool, which notices a dead relay
late.

All programs' connections to one relay share one allowance, as in real fleets; idle connections
count.
"""

from collections import deque

from molehill.config import MS, SECOND
from molehill.emulator.parties.wire import MessageReader, request

# How long a client waits for its answer, by the protocol.
ANSWER_TIMEOUT = 400 * MS
FAILURE_DETECTION_DELAY = 2 * SECOND  # the pool hands out a dead relay for this long
IDLE_TIMEOUT = 20 * SECOND  # of a connection that is used again
SINGLE_USE_IDLE_TIMEOUT = (
    60 * SECOND
)  # of programs that send one request on a connection and keep it open


class RelayPool:
    """The relays that clients may choose, and the connections to each that are allowed."""

    def __init__(self, world, allowance: int):
        self.world, self.allowance, self.alive, self.open = world, allowance, [], {}

    def up(self, relay: str) -> None:
        if relay not in self.alive:
            self.alive = sorted([*self.alive, relay])

    def down(self, relay: str, still_down) -> None:
        self.world.after(FAILURE_DETECTION_DELAY, self._remove_if_down, relay, still_down)

    def _remove_if_down(self, relay: str, still_down) -> None:
        if still_down() and relay in self.alive:
            self.alive.remove(relay)

    def pick(self):
        """Return a random relay that is believed alive, or None."""
        return self.world.chance.choice(self.alive) if self.alive else None

    def may_open(self, relay: str) -> bool:
        return self.open.get(relay, 0) < self.allowance

    def adjust_open(self, relay: str, by: int) -> None:
        self.open[relay] = self.open.get(relay, 0) + by


class Message:
    """One callback as its program sees it.

    It is submitted again under a new id as long as that is useful.
    """

    __slots__ = (
        "number",
        "category",
        "key",
        "destination",
        "due",
        "mark",
        "body",
        "tries",
        "born",
        "resent_id",
        "relay",
    )

    def __init__(self, number, category, key, destination, due, mark, body, born):
        self.number, self.category, self.key, self.destination, self.due = (
            number,
            category,
            key,
            destination,
            due,
        )
        self.mark, self.body, self.tries, self.born = mark, body, 0, born
        # The id that was sent again after an idle connection had ended, and its relay.
        self.resent_id, self.relay = None, None


class ClientConnection:
    """A program's connection to a relay, with the request in progress."""

    def __init__(self, program, relay: str, address):
        self.program, self.relay, self.reader, self.ask, self.serial = (
            program,
            relay,
            MessageReader(),
            None,
            0,
        )
        program.relay_pool.adjust_open(relay, 1)
        self.sock = program.network.connect(
            program.machine, address, self.receive, self.over, self.over, self.up
        )

    def up(self, sock) -> None:
        if self.ask is not None:
            self.program.write(self)

    def receive(self, sock, data: bytes, sent_at: int) -> None:
        for first, headers, _, _ in self.reader.feed(data, sent_at):
            self.program.answered(self, int(first.split(" ")[1]), headers)

    def over(self, sock) -> None:
        self.drop()
        self.program.connection_broken(self)

    def drop(self) -> None:
        if self.relay is not None:
            self.program.relay_pool.adjust_open(self.relay, -1)
            self.program.forget(self)
            self.relay = None
            self.sock.close()


class Program:
    """A client that submits callbacks.

    `plan`: rate (a second), until (ns), destinations, categories (rows: name, span, ordered,
    effect), keys, tries, heeds (follows Retry-After), once (one request on a connection, which it
    keeps open), leaves (share of requests given up before the answer), surges.
    """

    def __init__(self, world, network, relay_pool, name: str, addresses, plan):
        self.world, self.network, self.relay_pool, self.name, self.addresses, self.plan = (
            world,
            network,
            relay_pool,
            name,
            addresses,
            plan,
        )
        self.machine, self.idle, self.serial = (
            network.machine(name),
            {relay: [] for relay in addresses},
            0,
        )
        # key -> its messages; the first is being submitted
        self.waiting: dict[str, deque] = {}
        # Called with (id, relay, message) of each request, for a stranger to copy.
        self.request_observer = None
        world.after(world.chance.randrange(SECOND), self.submit_next)

    def submit_next(self) -> None:
        now, chance, plan = self.world.now, self.world.chance, self.plan
        if now >= plan.until:
            return
        surge = next((by for at, span, by in plan.surges if at <= now < at + span), 1.0)
        self.world.after(int(chance.expovariate(plan.rate * surge) * SECOND) + 1, self.submit_next)
        self.serial += 1
        number = f"{self.name}-{self.serial}"
        row = chance.choice(plan.categories)
        key = f"k{chance.randrange(plan.keys)}-{self.name}" if row.ordered else None
        message = Message(
            number,
            row,
            key,
            chance.choice(plan.destinations),
            now + row.span,
            f"mark-{number}" if row.effect == "deduplicated" else None,
            number.encode() + b" " + b"." * 24,
            now,
        )
        self.world.tell(self.name, "wants", message=number, category=row.name)
        if key is None:
            self.submit(message)
            return
        row = self.waiting.setdefault(key, deque())
        row.append(message)
        if len(row) == 1:
            self.submit(message)

    def finish(self, message) -> None:
        """Finish with a message, accepted or given up; the next one of its key may go."""
        row = self.waiting.get(message.key)
        if row and row[0] is message:
            row.popleft()
            if row:
                self.submit(row[0])
            else:
                del self.waiting[message.key]

    def retry(self, message, wait: int) -> None:
        """Submit again later after a refusal or no answer, while time and tries are left."""
        at = self.world.now + (wait or 50 * MS + self.world.chance.randrange(200 * MS))
        if message.tries >= self.plan.tries or at >= message.due:
            self.world.tell(self.name, "gave up", message=message.number)
            self.finish(message)
        else:
            self.world.at(at, self.submit, message)

    def submit(self, message) -> None:
        same, now = message.resent_id, self.world.now
        same = same if same == f"{message.number}.{message.tries}" else None
        message.tries += same is None
        relay = message.relay if same else self.relay_pool.pick()
        if relay is None or now >= message.due:
            return self.retry(message, 0)
        conn = None
        while self.idle[relay] and conn is None and not self.plan.once and not same:
            conn = self.idle[relay].pop()
            conn = None if conn.sock.closed or conn.sock.error else conn
        if conn is None:
            if not self.relay_pool.may_open(relay):
                self.world.tell(
                    self.name, "no connection left", message=message.number, relay=relay
                )
                return self.retry(message, 0)
            conn = ClientConnection(self, relay, self.addresses[relay])
        message.relay = relay
        conn.ask, conn.serial = (
            [message, f"{message.number}.{message.tries}", False],
            conn.serial + 1,
        )
        self.world.after(ANSWER_TIMEOUT, self.time_out, conn, conn.serial)
        # Called before the request goes out, so on a new connection a stranger may be first.
        if self.request_observer is not None:
            self.request_observer(conn.ask[1], relay, message)
        if conn.sock.state == "open":
            self.write(conn)

    def write(self, conn) -> None:
        message, ident, _ = conn.ask
        conn.ask[2] = True
        left = max(1, (message.due - self.world.now) // MS)
        due = self.world.now + left * MS
        headers = [
            ("Req-Id", ident),
            ("Req-Kind", message.category.name),
            ("X-Consignee", f"dest={message.destination}"),
            ("Req-Deadline-Ms", str(left)),
        ]
        if message.key is not None:
            headers.append(("Cookie", f"subject={message.key}"))
        if message.mark is not None:
            headers.append(("Idempotency-Key", message.mark))
        self.world.tell(
            self.name,
            "asked",
            id=ident,
            message=message.number,
            relay=conn.relay,
            category=message.category.name,
            key=message.key,
            destination=message.destination,
            due=due,
            mark=message.mark,
            body=message.body[:40].decode(),
        )
        conn.sock.put(request("POST", "/api", headers, message.body))
        if self.plan.leaves and self.world.chance.random() < self.plan.leaves:
            self.world.after(
                self.world.chance.randrange(20 * MS), self.leave_early, conn, conn.serial
            )

    def leave_early(self, conn, serial: int) -> None:
        if conn.serial == serial and conn.ask is not None:
            self.time_out(conn, serial)

    def time_out(self, conn, serial: int) -> None:
        if conn.serial != serial or conn.ask is None:
            return
        (message, ident, _), conn.ask = conn.ask, None
        self.world.tell(self.name, "left", id=ident)
        conn.drop()
        self.retry(message, 0)

    def answered(self, conn, status: int, headers) -> None:
        if conn.ask is None:
            return conn.drop()
        (message, ident, _), conn.ask = conn.ask, None
        wait = int(float(headers.get("retry-after", "0")) * SECOND)
        self.world.tell(self.name, "heard", id=ident, status=status, wait=wait, relay=conn.relay)
        if headers.get("connection") == "close":
            conn.drop()
        else:
            self.idle[conn.relay].append(conn)
            self.world.after(
                SINGLE_USE_IDLE_TIMEOUT if self.plan.once else IDLE_TIMEOUT,
                self.close_if_idle,
                conn,
                conn.serial,
            )
        if status in (200, 202):
            self.finish(message)
        elif status in (429, 503):
            self.retry(message, wait if self.plan.heeds else 0)
        else:
            self.world.tell(self.name, "gave up", message=message.number)
            self.finish(message)

    def close_if_idle(self, conn, serial: int) -> None:
        if conn.ask is None and conn.serial == serial:
            conn.drop()

    def connection_broken(self, conn) -> None:
        if conn.ask is None:
            return
        (message, ident, written), conn.ask = conn.ask, None
        self.world.tell(self.name, "broken off", id=ident)
        if conn.serial > 1 and written and message.resent_id != ident:
            # It crossed the end of a kept connection: send it again under the same id.
            message.resent_id = ident
            self.submit(message)
        else:
            self.retry(message, 0)

    def forget(self, conn) -> None:
        if conn in self.idle[conn.relay]:
            self.idle[conn.relay].remove(conn)
