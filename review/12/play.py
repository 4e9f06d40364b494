"""A machine is stopped and started. The runners number the events of their streams in tens."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "stand-3"))
import stand

N_RELAYS = 2
N_EVENTS = 12
ID_STEP = 10
PROMPT = {"X-Model": "m", "X-Token-Count": "1460,80"}
GRACE_S = 8
# LOST looks at requests until this long after the grace period.
AFTER_GRACE_S = 1
# A runner at work in the last sixth of the grace period excuses requests sent no later than this.
EXCUSED_S = 3
DEADLINE_MS = 14000


class Engine(stand.Runner):
    """Streams events with increasing ids. It breaks nothing off."""

    unsound = set()

    async def run(self, request, writer):
        self.begin(request)
        attempt = request.get("X-Attempt-Id")
        self.unsound.add(attempt)  # until it has ended the stream or has been cut off itself
        after = int(request.get("Last-Event-Id", "0"))
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in self.sealed(request).items()]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        try:
            for number in range(ID_STEP, N_EVENTS * ID_STEP + 1, ID_STEP):
                if number <= after:
                    continue
                event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.03)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except ConnectionError:
            self.record.write(f"runner {self.id} is cut off in the stream of {attempt}")
            self.unsound.discard(attempt)
            raise
        self.record.write(f"runner {self.id} has ended the stream of {attempt}")
        self.unsound.discard(attempt)
        return True


def is_whole(answer):
    return answer.status == 200 and answer.complete and answer.body.count(b"id: ") == N_EVENTS


async def play(record, folder, trouble):
    deployment = stand.Deployment(record, folder, N_RELAYS)
    broken = []
    try:
        ports = stand.free_ports(6)
        for i in range(6):
            await deployment.add(Engine(record, f"i-{i}", "model", ports[i], 12,
                                        "prefill" if i < 2 else "decode"))
        await deployment.start(
            [stand.route("brief", "/brief/", "streaming", "model"),
             stand.route("report", "/report/", "streaming", "model", resumable=True,
                         maxAttempts=2)],
            [stand.service("model", engine=True)])
        relay = deployment.relays[0]
        client = stand.Client(record, relay.front)
        # Calm traffic, before anything is judged.
        for i in range(4):
            await client.send(f"calm-{i}", "POST", "/report/1", b"prompt", 14000, PROMPT)
        for i in range(4):
            answer = await client.send(f"calm-{i + 4}", "POST", "/brief/1", b"prompt", 14000, PROMPT)
            if not is_whole(answer):
                raise stand.CannotRun("a stream was cut off in calm traffic")
        client.close()
        stopped = None
        if trouble:
            stopped = record.now()
            relay.signal(signal.SIGTERM)
            await relay.wait_ended()
            await relay.start()
            await relay.wait_ready()
            await asyncio.sleep(1.5)
        for i in range(3):
            sent = record.now()
            answer = await client.send(f"late-{i}", "POST", "/brief/1", b"prompt", DEADLINE_MS,
                                       PROMPT)
            ended = record.now()
            if is_whole(answer):
                continue
            await asyncio.sleep(1)  # the runner notices
            if f"late-{i}" in Engine.unsound:
                raise stand.CannotRun(f"the runner did not end the stream of late-{i}")
            if ended - sent > DEADLINE_MS / 1000 or answer.error == "TimeoutError":
                raise stand.CannotRun(f"late-{i} met its deadline")
            if stopped is not None and not (stopped + EXCUSED_S < sent
                                            and ended < stopped + GRACE_S + AFTER_GRACE_S):
                raise stand.CannotRun(f"late-{i} was not sent and cut in the time of the rule")
            broken.append(f"LOST: late-{i} was passed on and its answer ended early: {answer}"
                          + (f", {ended - stopped:.1f} s after SIGTERM" if trouble else ""))
        client.close()
    finally:
        await deployment.stop()
    return broken


sys.exit(stand.main(os.path.dirname(os.path.abspath(__file__)), play))
