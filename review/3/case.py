"""After discovery has moved, a relay that restarts while discovery is down calls a host that had left."""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import rig  # noqa: E402

LIMIT_MS, OUTAGE_S = 3000, 8.0
CLASS = {
    "name": "status-update",
    "semantics": "deduplicated",
    "dedupScope": "all",
    "dedupWindowMs": 15000.0,
    "aimMs": 3000.0,
    "deadlineMs": 12000.0,
    "lateShare": 0.5,
    "serialByKey": True,
    "worth": 1.0,
    "stream": False,
}


async def case(record, folder, trouble):
    destinations, foreign = {}, []
    moves = trouble and os.environ.get("MOVE", "1") != "0"

    async def serves(host, headers, at):
        id = headers["req-id"]
        if destinations.get(id) != host.group:
            foreign.append((id, host.name, at))
            record.add(host.name, f"{id} is for destination {destinations.get(id)}, this host for {host.group}")
            return 400, ()
        await asyncio.sleep(0.1)
        return 200, ()

    first = rig.Host(record, "s-c1", 3, "wien-1", serves)
    second = rig.Host(record, "s-c2", 3, "wien-1", serves)
    third = rig.Host(record, "s-e1", 5, "wien-1", serves)
    for host in (first, second, third):
        await host.open()
    hosts = [first, second, third]
    rows = {h.name: h.entry("active") for h in hosts}
    old = rig.Platform(record, "old", rows, 41)
    await old.open()
    relay = rig.Relay(record, folder)
    known, settings = old.whole(), rig.settings([CLASS], ["wien-1"])
    relay.write_config(rig.configuration(relay, old.address, known, settings))
    messages, is_open, new = [], True, None

    async def client(number):
        sender = rig.Client(record, f"client{number}", relay.port)
        while is_open:
            for dest in (3, 5):
                id = f"{number}-{len(messages)}"
                destinations[id] = dest
                message = rig.Message(id, CLASS["name"], dest, f"order-{id}", LIMIT_MS)
                messages.append(message)
                await sender.hand_in(message)
                await asyncio.sleep(0.1)
        sender.close()

    try:
        await relay.start(old.address)
        clients = [asyncio.create_task(client(n)) for n in range(3)]
        # A host is replaced: it drains, leaves, and another destination's host gets its address.
        await asyncio.sleep(1.0)
        await old.change(first.entry("leaving"))
        await asyncio.sleep(2.0)
        await old.change(first.entry("left"))
        gone_at = record.now()
        await asyncio.sleep(3.0)
        first.close()
        await asyncio.sleep(0.2)
        heir = rig.Host(record, "s-e2", 5, "wien-1", serves, port=first.port)
        await heir.open()
        hosts.append(heir)
        await old.change(heir.entry("active"))
        await asyncio.sleep(1.0)
        current = old
        if moves:
            current = new = rig.Platform(record, "new", old.entries, 17)
            await new.open()
            relay.write_config(rig.configuration(relay, new.address, known, settings))
            relay.signal(signal.SIGHUP)
            old.stop_listening()
            await asyncio.sleep(rig.OLD_DISCOVERY_CLOSES_AFTER_S)
            old.close()
        await asyncio.sleep(5.0)
        if trouble:
            await current.set_down(True)
            await asyncio.sleep(1.0)
            is_open = False  # no request is under way at the kill
            await asyncio.gather(*clients)
            await relay.kill_and_restart(current.address)
            is_open = True
            clients = [asyncio.create_task(client(n)) for n in range(3)]
            await asyncio.sleep(OUTAGE_S)
            await current.set_down(False)
        await asyncio.sleep(3.0)
        is_open = False
        await asyncio.gather(*clients)
        await asyncio.sleep(1.0)
        if relay.process.poll() is not None:
            raise rig.CouldNotRun("the relay ended")
    finally:
        relay.end()
        for server in (*hosts, old, *([new] if new else [])):
            server.close()
    accepted = [m for m in messages if m.status == 202]
    if len(accepted) < 60:
        raise rig.CouldNotRun(f"only {len(accepted)} messages were taken on")
    return [
        f"foreign: {id} for destination 3 sent to the address of s-c1 at {at:.3f}, told as gone at {gone_at:.3f};"
        f" {name} of destination 5 is there now"
        for id, name, at in foreign
    ]


rig.run_case(case, Path(__file__).resolve().parent)
