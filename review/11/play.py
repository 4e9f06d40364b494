"""The settings files of two machines change: keys of matters that are not open come, and are empty.
Each of these machines is then stopped and started as on any day."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "stand-3"))
import stand

N_RELAYS = 7
N_CHANGED = 2
RESTARTS = 3
RESTART_DELAY_S = 0.5
EMPTY_KEYS = ("bounds.strictRevocation", "bounds.revokeMs", "bounds.quotaWindowS",
              "bounds.quotaOverage", "bounds.quotaSlack")


class Desk(stand.Runner):
    async def run(self, request, writer):
        self.begin(request)
        await asyncio.sleep(0.015)
        writer.write(stand.answer_bytes(200, self.sealed(request), b"placed"))
        await writer.drain()
        return True


async def run_on(record, relay):
    """Starts a relay as the platform does: again after a short delay when it ends by itself. Returns
    how often it did."""
    for n_ends in range(RESTARTS):
        await relay.start()
        for _ in range(60):
            if await relay.is_ready():
                record.write(f"relay {relay.name} is ready")
                return n_ends
            if relay.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        else:
            raise stand.CannotRun(f"relay {relay.name} runs and does not become ready")
        code = await relay.wait_ended()
        if "cannot listen" in relay.last_line():
            raise stand.CannotRun(f"relay {relay.name}: {relay.last_line()}")
        record.write(f"relay {relay.name} ended by itself with {code}: {relay.last_line()}")
        await asyncio.sleep(RESTART_DELAY_S)
    return RESTARTS


async def play(record, folder, trouble):
    deployment = stand.Deployment(record, folder, N_RELAYS)
    ends = {}
    try:
        ports = stand.free_ports(3)
        for i in range(3):
            await deployment.add(Desk(record, f"i-{i}", "desk", ports[i]))
        await deployment.start([stand.route("orders", "/order/", "non_idempotent", "desk")],
                               [stand.service("desk")])
        for relay in deployment.relays:
            client = stand.Client(record, relay.front)
            await client.send(f"before-{relay.name}", "POST", "/order/1", b"order")
            client.close()
        changed = deployment.relays[:N_CHANGED]
        for relay in changed:
            if trouble:
                with open(relay.path, "a", encoding="utf-8") as file:
                    file.writelines(f"{key}=\n" for key in EMPTY_KEYS)
                record.write(f"relay {relay.name}: empty keys come: {', '.join(EMPTY_KEYS)}")
            relay.signal(signal.SIGHUP)
        await asyncio.sleep(2)
        for relay in changed:
            relay.signal(signal.SIGTERM)
            await relay.wait_ended()
            ends[relay.name] = await run_on(record, relay)
            client = stand.Client(record, relay.front)
            await client.send(f"after-{relay.name}", "POST", "/order/1", b"order")
            client.close()
    finally:
        await deployment.stop()
    return [f"Fault: relay {name} did not start; it ended by itself {count} times"
            for name, count in ends.items() if count >= RESTARTS]


sys.exit(stand.main(os.path.dirname(os.path.abspath(__file__)), play))
