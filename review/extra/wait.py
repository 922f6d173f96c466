"""Not one of the cases: a wait told by an answer that crosses the relay's time-out is not kept.

Hosts are 30 ms away, each way (sava-main-dc: "8 to 30 ms one way"). A host above its limit turns a call away
15 ms before the time of its `Req-Deadline-Ms` is over, as it counts it, and tells a wait of 1 s. The answer
reaches the relay just after it has given the call up by ending its sending; the relay reads it and drops it.
Run: .venv/bin/python review/extra/wait.py (writes record.txt beside it). TROUBLE=0: the limit is not lowered.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import rig  # noqa: E402

ONE_WAY_S, WAIT_S, EARLY_S = 0.03, 1.0, 0.015
# "Calls that come within 100 ms of that moment are let through."
LET_THROUGH_S = 0.1
CLASS = {
    "name": "rate-update",
    "semantics": "idempotent",
    "aimMs": 1500.0,
    "deadlineMs": 5000.0,
    "lateShare": 0.0,
    "worth": 3.0,
    "stream": False,
}


class Delay(rig.Server):
    """A proxy that passes everything on, with the same delay each way."""

    def __init__(self, record, host):
        super().__init__(record, "delay")
        self.host = host

    async def serve(self, reader, writer) -> None:
        far_reader, far_writer = await asyncio.open_connection(rig.ADDRESS, self.host.port)

        async def carry(source, target):
            while data := await source.read(65536):
                asyncio.get_running_loop().call_later(ONE_WAY_S, target.write, data)
            asyncio.get_running_loop().call_later(ONE_WAY_S, target.write_eof)

        try:
            await asyncio.gather(carry(reader, far_writer), carry(far_reader, writer))
            await asyncio.sleep(2 * ONE_WAY_S)
        finally:
            far_writer.close()


async def case(record, folder, trouble):
    waits, breaches, is_low = [], [], False

    async def work(host, headers, at):
        for told in waits:
            if told + LET_THROUGH_S < at < told + WAIT_S:
                breaches.append(f"wait: {headers['req-id']} at {at:.3f}, told at {told:.3f} to wait {WAIT_S} s")
                break
        if is_low and len(waits) < 5 and (not waits or at > waits[-1] + 2 * WAIT_S):
            await asyncio.sleep(int(headers["req-deadline-ms"]) / 1000 - EARLY_S)
            waits.append(record.now())
            return 429, (("Retry-After", f"{WAIT_S:.1f}"),)
        await asyncio.sleep(0.1)
        return 200, ()

    host = rig.Host(record, "s-1", 1, "room-east", work)
    await host.open()
    proxy = Delay(record, host)
    await proxy.open()
    entry = {**host.entry("active"), "address": proxy.address}
    platform = rig.Platform(record, "discovery", {"s-1": entry}, 41)
    await platform.open()
    relay = rig.Relay(record, folder)
    relay.write_config(
        rig.configuration(relay, platform.address, platform.whole(), rig.settings([CLASS], ["room-east"]))
    )
    try:
        await relay.start(platform.address)
        sender = rig.Client(record, "client", relay.port)
        for n in range(200):
            is_low = trouble and n > 30
            await sender.hand_in(rig.Message(f"m-{n}", CLASS["name"], 1, None, 4000))
            await asyncio.sleep(0.08)
        await asyncio.sleep(1.0)
    finally:
        relay.end()
        for server in (host, proxy, platform):
            server.close()
    return breaches


rig.run_case(case, Path(__file__).resolve().parent)
