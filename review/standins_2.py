"""Stand-ins for the cases 6 to 10: the platform's store, searchers, one instance of balsamhook, and small HTTP helpers.

They follow PROTOCOL.md: a store with revisions, watches and the header Store-Era; searchers that check Expected-Instance, echo Request-Id, sign their
answers and turn requests away with Not-Executed when their queue is full. Only loopback addresses are used.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "pupu76.example"
CALLER_PORT, READY_PORT, INTERNAL_PORT, DIRECTORY_PORT = 8104, 8108, 8106, 8100


class CannotRun(Exception):
    """The case couldn't be set up."""


class Record:
    """Writes the record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def write_requests(self, sent, answered, searchers):
        """Writes a line for each request. answered: the status of each request that was answered."""
        ran = {}
        for searcher in searchers:
            for request, count in searcher.ran.items():
                ran[request] = ran.get(request, 0) + count
        for request in sent:
            self.write(f"{request}: sent, run {ran.get(request, 0)} times, {f'answered {answered[request]}' if request in answered else 'not answered'}")

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def free_prefix():
    """Returns a loopback /24 whose ports are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(64, 120)}.{random.randint(1, 250)}"
        try:
            for port in (CALLER_PORT, READY_PORT, INTERNAL_PORT, DIRECTORY_PORT, 9464):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.10", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def head_of(text):
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


class Store:
    """The platform's store: objects by kind and name, one revision counter, watches."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.revision = 1
        self.objects = {}  # (kind, name) -> object
        self.events = []  # (revision, kind, event as text)
        self.changed = asyncio.Event()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=4 * 1024 * 1024)

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def put(self, kind, name, spec_text):
        """Writes an object; spec_text is its spec as JSON text."""
        self.revision += 1
        created = self.objects.get((kind, name), (self.revision,))[0]
        meta = json.dumps({"Name": name, "Revision": self.revision, "Created": created, "Finalizers": [], "Deleting": False})
        text = f'{{"meta":{meta},"spec":{spec_text},"status":null}}'
        self.objects[(kind, name)] = (created, self.revision, text)
        self.publish(kind, f'{{"Deleted":false,"Object":{text}}}')

    def delete(self, kind, name):
        _, _, text = self.objects.pop((kind, name))
        self.revision += 1
        self.publish(kind, f'{{"Deleted":true,"Object":{text}}}')

    def publish(self, kind, event):
        self.events.append((self.revision, kind, event))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                (method, target, _), headers = head_of(await reader.readuntil(b"\r\n\r\n"))
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await self.answer(method, target, body)
                payload = answer.encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {len(payload)}\r\n\r\n".encode() + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # Cancelled at the end of the case.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        parts = [urllib.parse.unquote(part) for part in path.split("/") if part][2:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None:
            return await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", "0"))) if "Watch" in query else self.list(kind, query.get("after", ""))
        if method == "GET":
            found = self.objects.get((kind, name))
            return (200, found[2]) if found else (404, "{}")
        if method == "POST":
            sent = json.loads(body)
            name = sent["meta"]["Name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)][2]
            self.put(kind, name, json.dumps(sent["spec"]))
            return 200, self.objects[(kind, name)][2]
        if (kind, name) not in self.objects:
            return 404, "{}"
        if method == "PUT":
            self.put(kind, name, json.dumps(json.loads(body)["spec"]))
            return 200, self.objects[(kind, name)][2]
        self.delete(kind, name)
        return 200, "{}"

    def list(self, kind, after):
        names = sorted(name for found_kind, name in self.objects if found_kind == kind and name > after)
        items, size = [], 0
        for name in names:
            text = self.objects[(kind, name)][2]
            if items and (len(items) >= 500 or size + len(text) > 1_000_000):
                break
            items.append(text)
            size += len(text)
        more = "true" if len(items) < len(names) else "false"
        return 200, f'{{"items":[{",".join(items)}],"HasMore":{more},"CurrentRev":{self.revision}}}'

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            changed = self.changed
            events = [event for revision, event_kind, event in self.events if event_kind == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, f'{{"events":[{",".join(events)}],"CurrentRev":{self.revision}}}'
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Searcher:
    """A sound searcher with slots, a short queue and a limit of connections."""

    def __init__(self, store, host, port, name, service, zone, slots=4, work_ms=2.0, connections=96, body="x" * 64, queue=16):
        self.host, self.port, self.name, self.service, self.zone = host, port, name, service, zone
        self.slots, self.work_s, self.connections, self.body, self.queue = slots, work_ms / 1000, connections, body.encode(), queue
        self.store = store
        self.ran = {}  # Request-Id -> how often it ran.
        self.started = 0
        self.refused = 0
        self.open = set()
        self.busy = 0
        self.waiting = []
        self.is_silent = False  # Takes requests and says nothing.

    async def start(self):
        await self.listen()
        self.register()

    async def listen(self):
        self.server = await asyncio.get_running_loop().create_server(lambda: SearcherConnection(self), self.host, self.port, backlog=512)

    def register(self):
        entry = {"Service": self.service, "Address": f"{self.host}:{self.port}", "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                 "State": "ready", "WarmupLeftMs": 0, "Sequence": 4, "born": int(time.time() * 1000)}
        self.store.put("servers", self.name, json.dumps(entry))

    def stop(self):
        self.server.close()
        for connection in list(self.open):
            connection.transport.abort()


class SearcherProcess:
    """Searchers in a process of their own, so that the load of the clients doesn't slow them down."""

    def __init__(self, store, searchers):
        """searchers: arguments of Searcher, without the store."""
        self.store, self.searchers = store, searchers
        self.process = None

    def start(self):
        self.process = subprocess.Popen([sys.executable, os.path.abspath(__file__), json.dumps(self.searchers)], stdout=subprocess.DEVNULL,
                                        stderr=subprocess.DEVNULL, stdin=subprocess.PIPE)
        for arguments in self.searchers:
            Searcher(self.store, **arguments).register()

    def stop(self):
        if self.process:
            self.process.kill()
            self.process.wait()


async def run_searchers(searchers):
    """Runs until the standard input ends, so that the process doesn't outlive the case."""
    for arguments in searchers:
        await Searcher(None, **arguments).listen()
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


class SearcherConnection(asyncio.Protocol):
    def __init__(self, searcher):
        self.searcher = searcher
        self.received = b""
        self.transport = None
        self.is_running = False

    def connection_made(self, transport):
        self.transport = transport
        if len(self.searcher.open) >= self.searcher.connections:
            transport.abort()
            return
        self.searcher.open.add(self)

    def connection_lost(self, _):
        self.searcher.open.discard(self)
        if self in self.searcher.waiting:
            self.searcher.waiting.remove(self)

    def data_received(self, data):
        self.received += data
        self.next()

    def next(self):
        end = self.received.find(b"\r\n\r\n")
        if self.is_running or end < 0:
            return
        (self.method, self.path, _), self.headers = head_of(self.received[:end])
        length = int(self.headers.get("content-length", "0"))
        if len(self.received) < end + 4 + length:
            return
        self.received = self.received[end + 4 + length:]
        self.id = self.headers.get("request-id", "")
        self.is_running = True
        if self.headers.get("expected-instance", self.searcher.name) != self.searcher.name:
            self.respond("421 Misdirected Request", f"Instance-Id: {self.searcher.name}\r\n", b"")
        elif self.searcher.is_silent:
            pass
        elif self.path == "/health":
            self.respond("200 OK", f"Instance-Id: {self.searcher.name}\r\n", b"")
        elif self.searcher.busy < self.searcher.slots:
            self.begin()
        elif len(self.searcher.waiting) < self.searcher.queue:
            self.searcher.waiting.append(self)
        else:
            self.searcher.refused += 1
            self.respond("503 Service Unavailable", "Not-Executed: 1\r\n", b"")

    def begin(self):
        self.searcher.busy += 1
        self.searcher.started += 1
        self.searcher.ran[self.id] = self.searcher.ran.get(self.id, 0) + 1
        asyncio.get_running_loop().call_later(self.searcher.work_s, self.end)

    def end(self):
        self.searcher.busy -= 1
        if not self.transport.is_closing():
            stamp = f"{self.searcher.service}.{self.searcher.name}.{self.id}"
            self.respond("200 OK", f"Server-Stamp: {stamp}\r\n", self.searcher.body)
        while self.searcher.waiting and self.searcher.busy < self.searcher.slots:
            self.searcher.waiting.pop(0).begin()

    def respond(self, status, fields, body):
        self.is_running = False
        if not self.transport.is_closing():
            self.transport.write(f"HTTP/1.1 {status}\r\nRequest-Id: {self.id}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            self.next()


def base_route(name, prefix, kind, timeout_ms=1500, slo_ms=100, **more):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "RouteType": kind, "TimeoutMs": timeout_ms, "SloMs": slo_ms, "Priority": 1,
            "MaxAttempts": 2, **more}


def configuration(routes, services, max_connections=96, idle_ms=15000, version=7):
    return json.dumps({
        "Version": version, "Routes": routes,
        "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": max_connections, "Protocol": "h1", "Tls": False, "WarmupS": 3.0, "WarmupPerS": 0.0}
                     for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": idle_ms}})


class Instance:
    """One process of balsamhook, started with the command of the deploy file."""

    def __init__(self, prefix, store, folder, memory_mb=260, descriptors=4100, number=0):
        self.address = f"{prefix}.{10 + number}"
        settings = {
            "NodeName": f"front-burnaby-a-{number + 1}", "Role": "query", "MachineClass": "front", "Serves": "front,control,directory",
            "Ip": self.address, "Zone": "burnaby-a", "Region": "lower-mainland", "Zones.burnaby-a": "lower-mainland",
            "Endpoints.Front": f"{self.address}:{CALLER_PORT}", "Endpoints.Readiness": f"{self.address}:{READY_PORT}",
            "Endpoints.Control": f"{self.address}:{INTERNAL_PORT}", "Endpoints.directory": f"{self.address}:{DIRECTORY_PORT}",
            "InternalPorts": "7380,7395", "Seeds": f"{prefix}.10:{INTERNAL_PORT}", "Bootstrap": "true", "Limits.CpuShare": "0.25", "Limits.CpuCores": "1",
            "Limits.MemoryMb": memory_mb, "Limits.MaxFds": descriptors, "Limits.LinkMbps": "1000.0", "Discovery": "platform", "EntryMode": "directory",
            "HeartbeatMs": "1200", "Bounds.ContactMs": "4000", "Bounds.DrainMs": "3000", "Bounds.GraceS": "6", "Bounds.LossSlackMs": "200",
            "Bounds.ConfigApplyMs": "3000", "Bounds.RetryBudgetRatio": "0.2", "Bounds.BudgetWindowS": "10", "Bounds.RetrySlack": "52",
            "Bounds.ttl_max_s": "5", "platform.Address": f"{store.host}:{store.port}", "platform.form": "objects", "platform.ValueBytes": "1048576"}
        self.boot_file = os.path.join(folder, f"boot-{number}.conf")
        self.log_file = os.path.join(folder, f"instance-{number}.log")
        with open(self.boot_file, "w", encoding="utf-8") as out:
            out.writelines(f"{key}={value}\n" for key, value in settings.items())
        self.process = None

    def start(self):
        program = os.path.join(ROOT, "target/bin/balsamhook")
        if not os.path.exists(program):
            raise CannotRun("target/bin/balsamhook isn't built")
        environment = {"PATH": os.environ.get("PATH", ""), "LANG": "C", "BALSAMHOOK_BOOT": self.boot_file}
        self.process = subprocess.Popen(["target/bin/balsamhook", "--metrics-port", "9464"], cwd=ROOT, env=environment,
                                        stdout=open(self.log_file, "wb"), stderr=subprocess.STDOUT)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def memory_peak_mb(self):
        """Returns the peak of the process's resident memory, of which the machine has Limits.MemoryMb."""
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
            for line in status:
                if line.startswith("VmHWM"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def metrics(self, prefix):
        """Returns the lines of the instance's metrics that contain the prefix."""
        _, _, body = await get(self.address, 9464, "/metrics")
        return [line for line in body.decode().splitlines() if prefix in line and not line.startswith("#")]

    def stop(self):
        if self.is_running():
            self.process.send_signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                status, _, _ = await get(self.address, READY_PORT, "/v1/ready")
                if status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the instance didn't become ready")


async def read_answer(reader):
    """Returns status, headers and body."""
    line, headers = head_of(await reader.readuntil(b"\r\n\r\n"))
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(line[1]), headers, body


async def get(address, port, path, headers=""):
    reader, writer = await asyncio.open_connection(address, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}Connection: close\r\n\r\n".encode())
        return await read_answer(reader)
    finally:
        writer.close()


def run_case(path, case):
    """Runs case(record, folder for files), with the record at the path, and returns the exit code: 1 broken, 0 held, 2 couldn't run."""
    record = Record(path)
    try:
        with tempfile.TemporaryDirectory(prefix="balsam-review-") as files:
            is_broken = asyncio.run(asyncio.wait_for(case(record, files), 110))
    except (CannotRun, OSError, asyncio.TimeoutError) as failed:
        record.say(f"the case couldn't run: {type(failed).__name__} {failed}")
        return 2
    record.say("rule broken" if is_broken else "rule held")
    return 1 if is_broken else 0


if __name__ == "__main__":
    asyncio.run(run_searchers(json.loads(sys.argv[1])))
