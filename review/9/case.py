"""A destination goes silent while little is sent to it, comes back cold, and gets a clump."""

import asyncio
import math
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))
from rig2 import TROUBLE, Case, Client, Host, free_ports, main, settings  # noqa: E402

HOSTS = 4  # of the destination: the pages allow one to four
CAPACITY = 8.0  # calls a second of the destination, all hosts together
SERVICE_S = 0.25  # the page: 220 to 380 ms
OTHERS = 3  # further destinations, so that this one gets about a quarter of the traffic
OTHER_INTERVAL_S = 0.1
SILENCE_S = 10.0  # the page: 9 to 14 s
CLUMP = 24  # the page: as many as it takes in 1.2 to 3.3 s, so up to 26
# the figures of the rule, as in the brief
COLD_FROM, RAMP_S, MULTIPLE, FALL_S = 0.14, 11.0, 2.5, 1.5


class SilentHost(Host):
    """Takes calls and answers none while it is silent; cold, it serves at its present capacity."""

    async def answer(self, call):
        case = self.case
        if case.silent:
            return None
        if case.returned_at is None:
            return await super().answer(call)
        now = time.monotonic()
        case.free_at = max(now, case.free_at) + 1.0 / present_capacity(now - case.returned_at)
        await asyncio.sleep(max(self.service_s, case.free_at - now))
        return 200, ()


def present_capacity(age):
    """Returns the calls a second that the destination can do so long after its return."""
    return CAPACITY * min(1.0, COLD_FROM + (1.0 - COLD_FROM) * age / RAMP_S)


class ColdReturn(Case):
    def __init__(self, folder):
        super().__init__(folder)
        self.settings = settings(
            extra__maxCalls=48,
            guarantees__coldFrom=COLD_FROM,
            guarantees__rampTimeMs=RAMP_S * 1000,
            guarantees__tipMultiple=MULTIPLE,
            guarantees__fallMs=FALL_S * 1000,
            allowed__maxAttempts=6,
            grades=[
                {"name": "seat-booking", "aimMs": 2000.0, "deadlineMs": 20000.0, "lateShare": 0.4,
                 "semantics": "deduplicated", "dedupScope": "all", "dedupWindowMs": 8000.0,
                 "stream": False, "worth": 1.0},
            ],
        )
        self.silent, self.returned_at, self.told, self.free_at = False, None, [], 0.0

    async def hand_in(self, client):
        return await client.hand_in("seat-booking", 1, deadline_ms=20000)

    async def play(self):
        hosts = [
            SilentHost(self, f"s-{n}", 1, port, SERVICE_S)
            for n, port in enumerate(free_ports(HOSTS))
        ]
        others = [
            Host(self, f"t-{n}", n + 2, port, SERVICE_S)
            for n, port in enumerate(free_ports(OTHERS))
        ]
        await self.add_hosts(*hosts, *others)
        await self.relay.start()
        await self.relay.wait_ready()
        background = asyncio.create_task(self.other_traffic())
        for _ in range(40):  # ordinary traffic, below the capacity
            await self.hand_in(self.client)
            await asyncio.sleep(1.25 / CAPACITY)
        await asyncio.sleep(1.0)
        self.silent = TROUBLE
        silent_from = time.monotonic()
        self.log("the hosts are silent" if TROUBLE else "no trouble")
        await asyncio.sleep(1.0)
        await self.hand_in(self.client)  # the only message in that time
        await asyncio.sleep(silent_from + SILENCE_S - time.monotonic())
        self.silent, self.returned_at = False, time.monotonic()
        self.told = [c for c in self.calls if c["at"] >= silent_from and c["host"][0] == "s"]
        self.log("the hosts answer again, cold; calls that failed before:", len(self.told))
        await asyncio.sleep(0.2)
        clients = [Client(self) for _ in range(CLUMP)]
        for n, client in enumerate(clients):
            client.count = (n + 1) * 1000
        tasks = []
        for client in clients:
            tasks.append(asyncio.create_task(self.hand_in(client)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        await asyncio.sleep(4.0)
        background.cancel()
        for client in clients:
            client.close()

    async def other_traffic(self):
        client = Client(self)
        client.count = 10**6
        for n in range(10**6):
            await client.hand_in("seat-booking", 2 + n % OTHERS, deadline_ms=20000)
            await asyncio.sleep(OTHER_INTERVAL_S)

    def judge(self):
        """The first span of FALL_S with more calls than a cold destination bears.

        Every call after the return comes from this relay, whose calls had failed there. The bound
        takes the capacity at the end of the span, which favours the relay.
        """
        if not TROUBLE:
            return []
        if len(self.told) < 2:  # a second call shows that the first was given up: the relay was told
            raise OSError("the relay met no failure in the outage")
        times = [
            c["at"] for c in self.calls if c["at"] >= self.returned_at and c["host"][0] == "s"
        ]
        for first in times:
            count = sum(first <= at < first + FALL_S for at in times)
            age = first + FALL_S - self.returned_at
            allowed = MULTIPLE * present_capacity(age) * FALL_S
            bound = (
                allowed + 3 * math.sqrt(allowed) + 3
                if allowed < 30
                else allowed + 2 * math.sqrt(allowed) + 2
            )
            if count > bound:
                return [
                    f"{count} calls within {FALL_S} s from {first - self.returned_at:.2f} s after "
                    f"the return; a cold destination bears {bound:.1f}"
                ]
        return []


main(ColdReturn, __file__)
