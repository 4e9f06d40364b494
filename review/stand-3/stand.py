"""Stand-ins for the store, the runners and the clients, and the start of the real relays.

One event loop holds all stand-ins; each relay is a process of its own, started with the command of
the deploy file. All addresses are loopback addresses with free ports. Everything that is sent,
answered and run goes into a record with the time since the start.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SEAL = "X-Response-Seal"
HOST = "orders.example"


class CannotRun(Exception):
    """The case could not be played: exit with 2."""


class Record:
    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


def free_ports(count):
    """Returns ports that are free now, below those of the tests and of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(11000, 19500)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads a head. Returns its first line and its headers, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Serves HTTP/1.1 on one address, one request at a time on a connection."""

    def __init__(self, port):
        self.port = port
        self.address = f"127.0.0.1:{port}"
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 22)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        raise NotImplementedError

    async def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: single items, ranges, and watches that wait for events."""

    def __init__(self, port):
        super().__init__(port)
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Condition()

    async def put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(text).decode(),
                    "revision": self.revision, "created": created, "lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})
            self.changed.notify_all()

    def events_after(self, prefix, after):
        return [event for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)]

    async def handle(self, request, writer):
        url = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
        status = 200
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            status = 200 if item else 404
            body = dict(item or {}, asOf=self.revision)
        elif url.path == "/kv-range":
            items = sorted((item for key, item in self.items.items()
                            if key.startswith(query["pathPrefix"]) and key > query.get("after", "")),
                           key=lambda item: item["key"])
            body = {"items": items, "morePages": False, "asOf": self.revision}
        elif url.path == "/kv-watch":
            prefix, after = query["pathPrefix"], int(query["after"])
            try:
                async with asyncio.timeout(int(query["waitMs"]) / 1000):
                    async with self.changed:
                        await self.changed.wait_for(lambda: self.events_after(prefix, after))
            except TimeoutError:
                pass
            body = {"events": self.events_after(prefix, after), "asOf": self.revision}
        else:
            status, body = 404, {}
        writer.write(answer_bytes(status, {"Content-Type": "application/json"},
                                  json.dumps(body).encode()))
        await writer.drain()
        return True


class Runner(Server):
    """A runner of a service. What it does with a request is up to a subclass."""

    def __init__(self, record, name, service, port, slots=6, stage=None):
        super().__init__(port)
        self.record = record
        self.id = name
        self.service = service
        self.slots = slots
        self.stage = stage
        self.born = int(time.time() * 1000)
        self.runs = {}  # number of runs by id

    def entry(self, state="ready"):
        entry = {"service": self.service, "address": self.address, "zone": "z-a", "version": "v1",
                 "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": 1,
                 "born": self.born}
        if self.stage:
            entry.update(stage=self.stage, models=[{"name": "m", "version": 1, "adapters": []}])
        return entry

    def begin(self, request):
        """Records that a run begins."""
        attempt = request.get("X-Attempt-Id")
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record.write(f"runner {self.id} runs {attempt}: {request.method} {request.target}")

    async def handle(self, request, writer):
        url = urlsplit(request.target)
        attempt = request.get("X-Attempt-Id")
        expected = request.get("X-Expect-Instance")
        if url.path == "/health":
            writer.write(answer_bytes(200, {"X-Instance-Id": self.id}, b"ok"))
        elif url.path == "/report":
            report = {"stage": self.stage, "models": [], "busy": False, "sequence": 0, "queued": 0,
                      "active": 0, "kvUsed": 0, "kvTotal": 100000, "kvHandles": 0}
            writer.write(answer_bytes(200, {"Content-Type": "application/json"},
                                      json.dumps(report).encode()))
        elif url.path in ("/kv-list", "/kv-events"):
            body = {"epoch": 1, "next": 0, "held": [], "lost": False, "events": []}
            writer.write(answer_bytes(200, {"Content-Type": "application/json"},
                                      json.dumps(body).encode()))
        elif url.path.startswith("/kv-handle/"):
            writer.write(answer_bytes(200, {}, b""))
        elif expected and expected != self.id:
            self.record.write(f"runner {self.id} rejects {attempt}: 421")
            writer.write(answer_bytes(421, {"X-Attempt-Id": attempt, "X-Instance-Id": self.id}, b""))
        elif request.get("X-Stage") == "prefill":
            body = {"kvHandle": f"h{attempt}", "tokens": 1, "version": 1}
            self.record.write(f"runner {self.id} reads the prompt of {attempt}")
            writer.write(answer_bytes(200, {"X-Attempt-Id": attempt,
                                            "Content-Type": "application/json"},
                                      json.dumps(body).encode()))
        else:
            return await self.run(request, writer)
        await writer.drain()
        return True

    async def run(self, request, writer):
        raise NotImplementedError

    def sealed(self, request, **headers):
        return {"X-Attempt-Id": request.get("X-Attempt-Id"), SEAL: f"{self.id}.seal", **headers}


class Relay:
    """One relay, a process started with the command of the deploy file."""

    def __init__(self, record, name, folder, store, ports, seeds, extra=()):
        self.record = record
        self.name = name
        self.front, self.readiness, self.control, self.internal = ports
        self.path = os.path.join(folder, f"{name}.conf")
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None
        lines = {
            "node": name, "role": "relay", "machineClass": "front", "serves": "front,control",
            "ip": "127.0.0.1", "zone": "z-a", "region": "z", "zones.z-a": "z",
            "listen.front": f"127.0.0.1:{self.front}",
            "listen.readiness": f"127.0.0.1:{self.readiness}",
            "listen.control": f"127.0.0.1:{self.control}",
            "internalPorts": f"{self.internal},{self.internal}", "seeds": ",".join(seeds),
            "bootstrap": "true", "inTolerance": "false", "limits.cpuShare": "0.25",
            "limits.cores": "1", "limits.memoryMb": "260", "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0", "limits.diskMb": "0", "discovery": "platform",
            "entry": "vip", "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,retry,recover,split,stream,engine,platform",
            "faultTolerance.machines": "2", "faultTolerance.zones": "0",
            "faultTolerance.regions": "0", "bounds.seedLagS": "3", "bounds.reuseAfterS": "2",
            "bounds.contactMs": "3000", "bounds.ackMs": "4000", "bounds.catchUpS": "4",
            "bounds.drainMs": "2000", "bounds.graceS": "8", "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "2000", "bounds.rollbackSlackMs": "250",
            "bounds.maxStretchMs": "5000", "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10", "bounds.retryBudgetSlack": "54", "bounds.recoveryS": "12",
            "bounds.transitMs": "120", "bounds.reuseWindowS": "3", "bounds.fenceRequired": "true",
            "bounds.leaseMs": "3000", "bounds.thawMs": "300",
            "provider.address": store.address, "provider.form": "read",
            "provider.writesPerS": "400", "provider.readsPerS": "2000", "provider.historyS": "20",
            "provider.valueBytes": "1048576", "provider.minTtlMs": "1000",
        }
        lines.update(extra)
        with open(self.path, "w", encoding="utf-8") as file:
            file.writelines(f"{key}={value}\n" for key, value in lines.items())

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            words = tomllib.load(file)["roles"]["relay"]["run"].split()
        program = os.path.join(ROOT, words[0])
        if not os.path.exists(program):
            raise CannotRun(f"{program} is missing: run the build of the deploy file")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, *words[1:], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "MANGOFORK_SETTINGS": self.path})
        self.record.write(f"relay {self.name} starts (process {self.process.pid})")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, seconds=8):
        for _ in range(int(seconds * 20)):
            if await self.is_ready():
                self.record.write(f"relay {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"relay {self.name} did not become ready: {self.last_line()}")

    def last_line(self):
        """Returns the last line of the relay's log."""
        with open(self.log, encoding="utf-8", errors="replace") as log:
            lines = log.readlines()
        return lines[-1].strip() if lines else "its log is empty"

    def signal(self, number):
        self.record.write(f"relay {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_ended(self):
        code = await self.process.wait()
        self.record.write(f"relay {self.name} has ended with {code}")
        return code

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""

    def __str__(self):
        if self.status == 0:
            return f"no answer ({self.error})"
        return (f"{self.status}, seal {self.headers.get(SEAL.lower(), 'none')}, "
                f"{len(self.body)} bytes, {'complete' if self.complete else 'cut off: ' + self.error}")


class Client:
    """Sends requests on a connection that it keeps, and opens another one after its end."""

    def __init__(self, record, port):
        self.record = record
        self.port = port
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port,
                                                                 limit=1 << 22)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, attempt, method, path, body=b"", deadline_ms=600, headers=()):
        """Sends one request. Returns its answer, which may be cut off."""
        answer = Answer()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
                 f"X-Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in dict(headers).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.record.write(f"client sends {attempt}: {method} {path}")
        try:
            if self.writer is None:
                await self.connect()
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await asyncio.wait_for(self.read_answer(answer), deadline_ms / 1000 + 1)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer.error = answer.error or type(error).__name__
            self.close()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        self.record.write(f"client gets for {attempt}: {answer}")
        return answer

    async def read_answer(self, answer):
        head = await read_head(self.reader)
        if head is None:
            answer.error = "closed without an answer"
            self.close()
            return
        line, answer.headers = head
        answer.status = int(line.split(" ")[1])
        if answer.headers.get("transfer-encoding", "") == "chunked":
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += chunk[:-2]
        else:
            answer.body = await self.reader.readexactly(int(answer.headers["content-length"]))
        answer.complete = True


def route(name, prefix, kind, service, **more):
    streaming = kind == "streaming"
    fields = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
              "timeoutMs": 14000 if streaming else 600,
              "targetLatencyMs": 900 if streaming else 100, "priority": 1, "service": service,
              "maxAttempts": 1}
    if streaming:
        fields.update(sessionAffinity=True, resumable=False, targetGapMs=300)
    fields.update(more)
    return fields


def service(name, engine=False):
    fields = {"name": name, "healthPath": "/health", "maxConnections": 154, "protocol": "h1",
              "tls": False}
    if engine:
        fields["engine"] = {"slots": 12, "kvCapacityTokens": 101261, "kvTokenBytes": 18432,
                            "linkMbps": 2200000.0, "moves": True, "backups": True, "stride": 74,
                            "most": 12, "kvRetentionS": 0.5, "roleSwitchS": 6.0, "pinMs": 4000.0,
                            "holdMs": 2000.0, "models": [{"name": "m"}]}
    return fields


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


class Deployment:
    """The store, the relays and the runners of one case; all end with it."""

    def __init__(self, record, folder, n_relays, extra=()):
        ports = free_ports(1 + 4 * n_relays)
        self.record = record
        self.store = Store(ports[0])
        self.runners = []
        groups = [ports[1 + 4 * i:5 + 4 * i] for i in range(n_relays)]
        seeds = [f"127.0.0.1:{group[2]}" for group in groups[:3]]
        self.relays = [Relay(record, f"front-{i + 1}", folder, self.store, group, seeds, extra)
                       for i, group in enumerate(groups)]

    async def add(self, runner):
        await runner.start()
        self.runners.append(runner)
        await self.store.put(f"servers/{runner.id}", runner.entry())
        return runner

    async def start(self, routes, services):
        await self.store.start()
        await self.store.put("op/config", config(7, routes, services))
        for relay in self.relays:
            await relay.start()
        for relay in self.relays:
            await relay.wait_ready()
        await asyncio.sleep(1.5)

    async def stop(self):
        for relay in self.relays:
            await relay.stop()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()


def main(folder, play):
    """Plays a case and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if the case
    could not run. play takes the record, a temporary folder and whether the disruption happens, and
    returns the ways in which the rule was broken."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"the disruption {'happens' if trouble else 'is left out'}")
    try:
        with tempfile.TemporaryDirectory() as scratch:
            broken = asyncio.run(asyncio.wait_for(play(record, scratch, trouble), 110))
    except Exception as error:  # a fault of the stand-ins is no broken rule
        record.write(f"the case could not run: {type(error).__name__} {error}")
        print("the case could not run:", type(error).__name__, error)
        return 2
    for line in broken:
        record.write(f"BROKEN: {line}")
        print("BROKEN:", line)
    record.write("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
