"""A valid new configuration is turned down whole, and the relay stays with the discovery that has gone."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import rig  # noqa: E402

LIMIT_MS = 3000
# From a message's time to its loss, with the 50 ms that each limit on sockets is longer.
LOST_AFTER_S = 0.35
# After SIGHUP what discovery has to tell counts as told; then the grace, with the same 50 ms.
TOLD_AFTER_S, GRACE_S = 4.0, 1.05
ORDERED = {
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
# A class that keeps no order: its row has no `serialByKey`, as the wire page allows.
ADDED = {
    "name": "stock-update",
    "semantics": "idempotent",
    "dedupScope": "all",
    "dedupWindowMs": 5000.0,
    "aimMs": 1000.0,
    "deadlineMs": 5000.0,
    "lateShare": 0.0,
    "worth": 1.0,
    "stream": False,
}


async def case(record, folder, trouble):
    delivered, calls = {}, []

    async def serves(host, headers, at):
        calls.append((host.name, headers["req-id"], at))
        await asyncio.sleep(0.1)
        delivered.setdefault(headers["req-id"], record.now())
        return 200, ()

    async def is_full(host, headers, at):
        calls.append((host.name, headers["req-id"], at))
        return 503, ()

    hosts = [
        rig.Host(record, "s-a1", 1, "wien-1", serves),
        rig.Host(record, "s-a2", 1, "wien-1", serves),
        rig.Host(record, "s-b1", 2, "wien-1", is_full),
    ]
    for host in hosts:
        await host.open()
    rows = {h.name: h.entry("active") for h in hosts}
    old, new = rig.Platform(record, "old", rows, 41), rig.Platform(record, "new", rows, 41)
    await old.open()
    await new.open()
    relay = rig.Relay(record, folder)
    known = old.whole()
    relay.write_config(
        rig.configuration(relay, old.address, known, rig.settings([ORDERED], ["wien-1"]))
    )
    messages, is_open, added_is_in_use = [], True, False

    async def client(number):
        sender = rig.Client(record, f"client{number}", relay.port)
        while is_open:
            for dest in (1, 2):
                id = f"{number}-{len(messages)}"
                message = rig.Message(id, ORDERED["name"], dest, f"order-{id}", LIMIT_MS)
                messages.append(message)
                await sender.hand_in(message)
                await asyncio.sleep(0.15)
            if added_is_in_use:
                message = rig.Message(f"{number}-{len(messages)}", ADDED["name"], 1, None, LIMIT_MS)
                messages.append(message)
                await sender.hand_in(message)
        sender.close()

    drained_at = None
    try:
        await relay.start(old.address)
        clients = [asyncio.create_task(client(n)) for n in range(3)]
        await asyncio.sleep(2.0)
        at_hup = record.now()
        current = old
        if trouble:
            settings = rig.settings([ORDERED, ADDED], ["wien-1"])
            relay.write_config(rig.configuration(relay, new.address, known, settings))
            relay.signal(signal.SIGHUP)
            old.stop_listening()
            await asyncio.sleep(1.2)
            added_is_in_use, current = True, new
            await asyncio.sleep(rig.OLD_DISCOVERY_CLOSES_AFTER_S - 1.2)
            old.close()
            record.add("old", "closed its connections")
        else:
            await asyncio.sleep(rig.OLD_DISCOVERY_CLOSES_AFTER_S)
        await current.change(hosts[0].entry("leaving"))
        drained_at = max(record.now(), at_hup + TOLD_AFTER_S)
        await asyncio.sleep(6.5)
        is_open = False
        await asyncio.gather(*clients)
        await asyncio.sleep(LIMIT_MS / 1000 + 2.0)
        if relay.process.poll() is not None:
            raise rig.CouldNotRun("the relay ended")
    finally:
        relay.end()
        for server in (*hosts, old, new):
            server.close()
    accepted = [m for m in messages if m.status == 202]
    if len(accepted) < 60:
        raise rig.CouldNotRun(f"only {len(accepted)} messages were taken on")
    notices = {**new.notices, **old.notices}
    breaches = []
    for message in accepted:
        ends = [at for at in (delivered.get(message.id), notices.get(message.id)) if at is not None]
        if not ends or min(ends) > message.due + LOST_AFTER_S:
            when = f"its end came at {min(ends):.3f}" if ends else "it never had an end"
            breaches.append(f"lost: {message.id} for destination {message.dest}, due {message.due:.3f}: {when}")
    late = [(id, at) for name, id, at in calls if name == "s-a1" and at > drained_at + GRACE_S]
    breaches += [
        f"drain: {id} sent to s-a1 at {at:.3f}, told at {drained_at:.3f} at the latest" for id, at in late
    ]
    return breaches


rig.run_case(case, Path(__file__).resolve().parent)
