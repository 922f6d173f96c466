"""The addresses of a run: all in 127.SLOT.0.0/16, with a slot per run, so that parallel runs never
conflict.

| who | address |
| --- | --- |
| relay n, for clients and for administration | 127.SLOT.1.(n+1), ports 8081 and 9000 + its start's number |
| the platform, for relay n | 127.SLOT.2.(n+1):8500 |
| host h, for relay n | 127.SLOT.(10+h).(n+1):8081 |
| relay b, for relay a (membership) | 127.SLOT.(a+1).(b+1):7000 |
| a proxy before any of these | the same, the port 1000 higher |
"""

import os
import socket

RELAY_PORT, FIRST_ADMIN_PORT, PLATFORM_PORT, HOST_PORT, MEMBERSHIP_PORT = (
    8081,
    9000,
    8500,
    8081,
    7000,
)
CLAIM_PORT = 40_001  # port on 127.SLOT.0.1 on which a run listens to keep its slot
SLOTS = range(16, 240)


class AddressPlan:
    """The addresses of the run that has `slot`."""

    def __init__(self, slot: int):
        self.slot = slot

    def relay(self, n: int):
        return f"127.{self.slot}.1.{n + 1}", RELAY_PORT

    def admin(self, n: int, start_number: int):
        return f"127.{self.slot}.1.{n + 1}", FIRST_ADMIN_PORT + start_number

    def platform(self):
        return f"127.{self.slot}.2.0", PLATFORM_PORT

    def host(self, h: int):
        return f"127.{self.slot}.{10 + h}.0", HOST_PORT

    def membership(self, a: int, b: int):
        """The address at which relay a finds relay b."""
        return f"127.{self.slot}.{a + 1}.{b + 1}", MEMBERSHIP_PORT


def claim_slot():
    """Returns a free slot and the socket that keeps it; it belongs to this run while that is open.

    Raises OSError if all slots are taken.
    """
    first = os.getpid() % len(SLOTS)
    for n in range(len(SLOTS)):
        slot = SLOTS[(first + n) % len(SLOTS)]
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.bind((f"127.{slot}.0.1", CLAIM_PORT))
            sock.listen(1)
            return slot, sock
        except OSError:
            sock.close()
    raise OSError("no slot of 127.0.0.0/8 is free for this run")
