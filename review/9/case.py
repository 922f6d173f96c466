"""A broken file, whose attempts are no number, is read at SIGHUP; then a host turns calls away."""

import asyncio
import copy
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))
from rig2 import TROUBLE, Case, Host, free_ports, main, settings  # noqa: E402

DEADLINE_MS = 12000
MESSAGES = 10


class BusyHost(Host):
    """Turns each message away the first time, as its queue is full, and takes it the next time."""

    def __init__(self, *args, **named):
        super().__init__(*args, **named)
        self.seen = set()

    async def answer(self, call):
        if self.case.busy and call["id"] not in self.seen:
            self.seen.add(call["id"])
            await asyncio.sleep(0.02)
            return 503, ()
        return await super().answer(call)


class BrokenFile(Case):
    def __init__(self, folder):
        super().__init__(folder)
        self.settings = settings()  # 8 attempts for a message
        self.busy, self.sent = False, []

    async def play(self):
        (port,) = free_ports(1)
        await self.add_hosts(BusyHost(self, "s-0", 1, port))
        await self.relay.start()
        await self.relay.wait_ready()
        for n in range(10):
            await self.client.hand_in("status-update", 1, key=f"a-{n}", deadline_ms=DEADLINE_MS)
            await asyncio.sleep(0.15)
        if TROUBLE:
            self.settings = copy.deepcopy(self.settings)
            self.settings["allowed"]["maxAttempts"] = None
        self.relay.write_config()
        self.relay.signal(signal.SIGHUP)
        await asyncio.sleep(1.5)
        self.busy = True
        for n in range(MESSAGES):
            ident, status = await self.client.hand_in(
                "status-update", 1, key=f"b-{n}", deadline_ms=DEADLINE_MS
            )
            if status in (200, 202):
                self.sent.append(ident)
            await asyncio.sleep(1.0)
        await asyncio.sleep(DEADLINE_MS / 1000 + 1.0)

    def judge(self):
        """Nothing of the file may count: a message that never ran keeps its 8 attempts.

        A message counts as given up if its notice came in the first half of its time, after a
        single call that the host had turned away, so that it certainly had not run.
        """
        if len(self.sent) < MESSAGES // 2:
            raise OSError("the relay took too few messages")
        found = []
        for at, ident, result in self.notices:
            age = at - self.messages[ident]["sent"]
            calls = [c for c in self.calls if c["id"] == ident]
            if ident in self.sent and len(calls) == 1 and age < DEADLINE_MS / 2000:
                found.append(
                    f"{ident} was ended ({result}) {age:.3f} s after it was taken on, after one "
                    f"call that was turned away: the file's attempts count"
                )
        return found


main(BrokenFile, __file__)
