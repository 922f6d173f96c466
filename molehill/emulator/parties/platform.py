"""The platform: discovery with its watches, and the address for notices; one service for all
relays.

Faults: it lags (changes reach the list later), is down (watches end, calls fail, notices are still
answered), or loses the answer to a notice that it has accepted.
"""

import json

from molehill.config import MS
from molehill.emulator.parties.wire import MessageReader, answer


class Platform:
    """Serves the list of hosts and accepts notices."""

    def __init__(self, world, network, address):
        self.world, self.network, self.address = world, network, address
        self.machine, self.conns, self.watches = network.machine("platform"), {}, {}
        # changed: host -> version of its last change
        self.version, self.rows, self.changed = 1, {}, {}
        self.lag, self.down, self.lose_answers = 0, False, 0.0
        self.listener = network.serve(self.machine, address, self.accepted)

    # The old address accepts no new connections, and closes the open ones after this span.
    OLD_ADDRESS_SPAN = 1500 * MS

    def move(self) -> None:
        """Serve at another address from now on."""
        self.listener.close()
        self.world.after(self.OLD_ADDRESS_SPAN, self._close, list(self.conns))
        self.address = (self.address[0], self.address[1] + 1)
        self.listener = self.network.serve(self.machine, self.address, self.accepted)

    def _close(self, socks) -> None:
        for sock in socks:
            if sock in self.conns:
                self.close_connection(sock)

    # Interface for the fault script and the run

    def put(self, host, status: str, lag=None) -> None:
        """Change a host's status in the list after the lag. `host` is an Endpoint."""
        self.world.after(self.lag if lag is None else lag, self._put, host, status)

    def _put(self, host, status: str) -> None:
        self.version += 1
        self.rows[host.name] = self.row(host, status)
        self.changed[host.name] = self.version
        for sock in list(self.watches):
            self._answer_watch(sock)

    def row(self, host, status: str) -> dict:
        """Return the host's row of the list."""
        return {
            "name": host.name,
            "address": host.address,
            "zone": host.plan.zone,
            "type": host.plan.kind,
            "group": host.plan.destination,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    def known(self, relay: str) -> dict:
        """Return the whole list as the relay would receive it."""
        return {
            "index": self.version,
            "snapshot": True,
            "endpoints": self.rows_for(relay, self.rows),
        }

    def rows_for(self, relay: str, names) -> list[dict]:
        """Return rows of the list with the addresses that this relay sees."""
        return [
            {
                **self.rows[name],
                "address": "%s:%d"
                % self.network.address_seen_by(relay, self.rows[name]["address"], name),
            }
            for name in names
        ]

    def set_down(self, down: bool) -> None:
        """Start or end an outage of discovery; watches end with a reset."""
        self.down = down
        if down:
            for sock in list(self.watches):
                self._end_watch(sock)
                sock.reset()
                self.conns.pop(sock, None)

    # Calls

    def accepted(self, sock) -> None:
        self.conns[sock] = MessageReader()
        sock.listen_to(self.receive, self.close_connection, self.close_connection)

    def close_connection(self, sock) -> None:
        self.conns.pop(sock, None)
        self._end_watch(sock)
        sock.close()

    def _end_watch(self, sock) -> None:
        self.watches.pop(sock, None)

    def receive(self, sock, data: bytes, sent_at: int) -> None:
        for first, _, body, _ in self.conns[sock].feed(data, sent_at) if sock in self.conns else ():
            method, target, _ = first.split(" ")
            if target == "/v2/finals":
                self.notices(sock, body)
            elif self.down:
                sock.put(answer(503))
            else:
                self.receive_list_request(sock, target)

    def notices(self, sock, body: bytes) -> None:
        relay = sock.peer.machine.name
        for line in body.decode().splitlines():
            row = json.loads(line)
            self.world.tell(
                "platform",
                "notice",
                id=row["ref"],
                result=row["result"],
                wait=row.get("wait_ms", 0),
                relay=relay,
            )
        if self.world.chance.random() < self.lose_answers:
            sock.reset()
            self.conns.pop(sock, None)
            return
        for line in body.decode().splitlines():
            self.world.tell("platform", "notice answered", id=json.loads(line)["ref"])
        sock.put(answer(204))

    def receive_list_request(self, sock, target: str) -> None:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if "from" not in query or int(query["from"]) > self.version:
            return self._send_list(sock, list(self.rows), True)
        self.watches[sock] = int(query["from"])
        self.world.after(int(query["hold_ms"]) * MS, self._end_hold, sock, self.watches[sock])
        self._answer_watch(sock)

    def _end_hold(self, sock, since: int) -> None:
        if self.watches.get(sock) == since and not sock.closed:
            self._end_watch(sock)
            self._send_list(sock, [], False)

    def _answer_watch(self, sock) -> None:
        names = [name for name, version in self.changed.items() if version > self.watches[sock]]
        if names:
            self._end_watch(sock)
            self._send_list(sock, names, False)

    def _send_list(self, sock, names, is_snapshot: bool) -> None:
        relay = sock.peer.machine.name
        rows = self.rows_for(relay, names)
        for row in rows:
            self.world.tell("platform", "told", relay=relay, host=row["name"], status=row["status"])
        text = json.dumps(
            {"index": self.version, "snapshot": is_snapshot, "endpoints": rows}
        ).encode()
        sock.put(answer(200, body=text))
