"""Not one of the cases: a listed host whose `group` changes keeps getting the messages of its old destination.

The pages do not say that a host's group may change under its name, so this is no case; the relay takes the entry
and goes by the old group for as long as the host is listed.
Run: .venv/bin/python review/extra/group.py (writes record.txt beside it). TROUBLE=0: the group stays.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import rig  # noqa: E402

GRACE_S = 1.05
CLASS = {
    "name": "lobby-status",
    "semantics": "idempotent",
    "aimMs": 800.0,
    "deadlineMs": 6000.0,
    "lateShare": 0.5,
    "worth": 1.0,
    "stream": False,
}


async def case(record, folder, trouble):
    destinations, breaches, changed_at = {}, [], float("inf")

    async def work(host, headers, at):
        id = headers["req-id"]
        if destinations[id] != host.group and at > changed_at + GRACE_S:
            breaches.append(f"foreign: {id} for {destinations[id]} at {host.name} of {host.group}")
        await asyncio.sleep(0.05)
        return 200, ()

    hosts = [rig.Host(record, f"s-{n}", group, "a", work) for n, group in enumerate((3, 3, 5))]
    for host in hosts:
        await host.open()
    platform = rig.Platform(record, "discovery", {h.name: h.entry("active") for h in hosts}, 41)
    await platform.open()
    relay = rig.Relay(record, folder)
    relay.write_config(
        rig.configuration(relay, platform.address, platform.whole(), rig.settings([CLASS], ["a"]))
    )
    try:
        await relay.start(platform.address)
        sender = rig.Client(record, "client", relay.port)
        for n in range(80):
            message = rig.Message(f"m-{n}", CLASS["name"], (3, 5)[n % 2], None, 2000)
            destinations[message.id] = message.dest
            await sender.hand_in(message)
            await asyncio.sleep(0.1)
            if n == 20 and trouble:
                hosts[0].group, changed_at = 5, record.now()
                await platform.change(hosts[0].entry("active"))
        await asyncio.sleep(1.0)
    finally:
        relay.end()
        for server in (*hosts, platform):
            server.close()
    return breaches


rig.run_case(case, Path(__file__).resolve().parent)
