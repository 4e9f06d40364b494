"""A runner fails part of the orders that it has run and says so with status 503."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "stand-3"))
import stand

PROMISES = (408, 421, 429, 503)
N_RUNNERS = 7
FAILED_SHARE = 0.4
FAILING_S = 6.5
N_CLIENTS = 8


class Desk(stand.Runner):
    """Runs each order it is sent. While it fails, it finds out after a part of the runs that it
    cannot finish its answer. It has run them, so that it never says X-Not-Executed."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.fails = False
        self.placed = []

    async def run(self, request, writer):
        self.begin(request)
        self.placed.append((request.get("X-Attempt-Id"), request.body.decode()))
        await asyncio.sleep(0.015)
        if self.fails and random.random() < FAILED_SHARE:
            self.record.write(f"runner {self.id} fails {request.get('X-Attempt-Id')}: 503")
            writer.write(stand.answer_bytes(503, self.sealed(request), b"store away"))
        else:
            writer.write(stand.answer_bytes(200, self.sealed(request), b"placed"))
        await writer.drain()
        return True


async def order(client, number, answers):
    """Places an order as the pages say of clients: once more, on a new connection, only after an
    answer that promises that it has not run."""
    for attempt in (f"{number:08x}a", f"{number:08x}b"):
        answer = await client.send(attempt, "POST", "/order/1", f"order {number}".encode())
        answers[attempt] = answer.status
        if answer.status not in PROMISES:
            return
        client.close()


async def play(record, folder, trouble):
    deployment = stand.Deployment(record, folder, 2)
    answers = {}
    try:
        ports = stand.free_ports(N_RUNNERS)
        runners = [await deployment.add(Desk(record, f"i-{i}", "desk", ports[i]))
                   for i in range(N_RUNNERS)]
        await deployment.start([stand.route("orders", "/order/", "non_idempotent", "desk")],
                               [stand.service("desk")])
        runners[0].fails = trouble
        end = record.now() + FAILING_S

        async def orders(first):
            client = stand.Client(record, deployment.relays[first % 2].front)
            number = first
            while record.now() < end:
                await order(client, number, answers)
                number += N_CLIENTS
                await asyncio.sleep(0.1)
            client.close()

        await asyncio.gather(*(orders(i) for i in range(N_CLIENTS)))
    finally:
        await deployment.stop()
    placed = [row for runner in runners for row in runner.placed]
    ran = {attempt for attempt, _ in placed}
    refused = sorted(a for a, status in answers.items() if status in PROMISES and a in ran)
    bodies = [body for _, body in placed]
    twice = sorted({body for body in bodies if bodies.count(body) > 1})
    record.write(f"{len(answers)} requests, {len(placed)} runs")
    broken = [f"REFUSED: {a} was answered {answers[a]} and has run" for a in refused]
    if refused:
        record.write(f"{len(twice)} orders were placed twice, as their clients believed the answer: "
                     + ", ".join(twice))
    return broken


sys.exit(stand.main(os.path.dirname(os.path.abspath(__file__)), play))
