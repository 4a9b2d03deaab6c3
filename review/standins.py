"""Stand-ins for the store, the searchers and the clients of a small deployment, and the start of instances with the command of the deploy file.

All of it runs in one process with one event loop; only the instances are separate processes. Everything listens on loopback addresses.
"""

import asyncio
import json
import os
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "search.example"
STATUS_TEXT = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run, with the time since the start in seconds."""

    def __init__(self, path):
        self.out = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text):
        self.out.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.out.flush()


def free_port(addresses):
    """Returns a port that is free for TCP and UDP on all the addresses."""
    for _ in range(200):
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            probe.bind((addresses[0], 0))
            port = probe.getsockname()[1]
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
            return port
        except OSError:
            continue
    raise CannotRun("no free port")


async def read_message(reader):
    """Reads one HTTP message with a Content-Length; returns its first line, its headers (lower case) and its body, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def response_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Error')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: objects by kind and name, one revision counter, lists and watches."""

    def __init__(self, record, address="127.0.0.1"):
        self.record, self.address = record, address
        self.objects, self.events, self.revision = {}, [], 100
        self.changed = asyncio.Condition()
        self.is_silent = False  # Reads calls and never answers them.
        self.watches_begun = {}  # By port and kind: when the last watch began.
        self.servers = []

    async def start(self):
        self.port = await self.listen()

    async def listen(self):
        """Opens a further port and returns it, so that the calls of one instance can be told from those of the others."""
        server = await asyncio.start_server(self.serve, self.address, 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def stop(self):
        for server in self.servers:
            server.close()

    async def put(self, kind, name, spec):
        """Writes an object. spec is a JSON value, or bytes that are stored as they are in its place."""
        known = self.objects.setdefault(kind, {}).get(name)
        self.revision += 1
        text = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        meta = {"Name": name, "Revision": self.revision, "Created": known["created"] if known else self.revision, "Finalizers": [], "Deleting": False}
        entry = {"created": meta["Created"], "revision": self.revision,
                 "text": b'{"meta":' + json.dumps(meta).encode() + b',"spec":' + text + b',"status":null}'}
        self.objects[kind][name] = entry
        await self.announce(kind, entry["text"], False)

    async def delete(self, kind, name):
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry:
            self.revision += 1
            await self.announce(kind, entry["text"], True)

    async def announce(self, kind, text, is_deleted):
        event = b'{"Deleted":' + (b"true" if is_deleted else b"false") + b',"Object":' + text + b"}"
        self.events.append((self.revision, kind, event))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                self.note_watch(writer, message[0])
                status, body = (0, b"") if self.is_silent else await self.handle(*message)
                if self.is_silent or status == 0:
                    # A connection on which a response is lost returns nothing further.
                    while await reader.read(65536):
                        pass
                    break
                writer.write(response_bytes(status, [("Content-Type", "application/json")], body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def note_watch(self, writer, first_line):
        found = re.match(r"GET /v1/objects/(\w+)\?.*Watch=", first_line)
        if found:
            self.watches_begun[writer.get_extra_info("sockname")[1], found.group(1)] = time.monotonic()

    async def handle(self, first_line, _, body):
        method, target, _ = first_line.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None:
            return await self.watch(kind, query) if "Watch" in query else self.list(kind, query)
        known = self.objects.get(kind, {})
        if method == "GET":
            return (200, known[name]["text"]) if name in known else (404, b"{}")
        if method == "DELETE":
            if name not in known:
                return 404, b"{}"
            if "Revision" in query and int(query["Revision"]) != known[name]["revision"]:
                return 409, known[name]["text"]
            await self.delete(kind, name)
            return 200, b"{}"
        value = json.loads(body)
        name = name or value["meta"]["Name"]
        if method == "POST" and name in known:
            return 409, known[name]["text"]
        if method == "PUT" and name not in known:
            return 404, b"{}"
        await self.put(kind, name, value.get("spec"))
        return 200, self.objects[kind][name]["text"]

    def list(self, kind, query):
        names = sorted(name for name in self.objects.get(kind, {}) if name > query.get("after", ""))
        items = b",".join(self.objects[kind][name]["text"] for name in names)
        return 200, b'{"items":[' + items + b'],"HasMore":false,"CurrentRev":' + str(self.revision).encode() + b"}"

    async def watch(self, kind, query):
        since, until = int(query["Watch"]), time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            events = [event for revision, event_kind, event in self.events if event_kind == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, b'{"events":[' + b",".join(events) + b'],"CurrentRev":' + str(self.revision).encode() + b"}"
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Searcher:
    """A searcher: serves one request at a time on a connection, some at the same time, queues a few more and refuses what is beyond."""

    def __init__(self, record, store, service, identity, zone="zone-a", slots=2, queue=12, work_s=0.01, heartbeat_s=1.2):
        self.record, self.store, self.service, self.id, self.zone = record, store, service, identity, zone
        self.slots, self.queue, self.work_s, self.heartbeat_s = slots, queue, work_s, heartbeat_s
        self.address, self.port = "127.0.0.1", 0
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.admitted, self.free = 0, asyncio.Semaphore(slots)
        self.runs = []  # (time, request id) of all runs.
        self.writers = set()
        self.server = self.heartbeats = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.heartbeats = asyncio.create_task(self.beat())

    async def register(self):
        self.sequence += 1
        await self.store.put("servers", self.id, {
            "Service": self.service, "Address": f"{self.address}:{self.port}", "Zone": self.zone, "Version": "v1", "Slots": self.slots,
            "State": self.state, "WarmupLeftMs": 0, "Sequence": self.sequence, "born": self.born})

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(self.heartbeat_s)

    def crash(self):
        """Ends the searcher as a crash does: its connections are reset, nothing is written to the store."""
        self.heartbeats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    stop = crash

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.on_request(writer, *message):
                    break
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def on_request(self, writer, first_line, headers, body):
        """Handles one request; returns whether the connection stays open."""
        if first_line.startswith("GET /health "):
            writer.write(response_bytes(200 if self.state == "ready" else 503, [("Instance-Id", self.id)]))
            return True
        request_id = headers.get("request-id", "")
        echo = ("Request-Id", request_id)
        if headers.get("expected-instance", self.id) != self.id:
            self.record.write(f"searcher {self.id} misdirected id={request_id} expected={headers['expected-instance']}")
            writer.write(response_bytes(421, [echo, ("Instance-Id", self.id), ("Not-Executed", "1")]))
            return True
        if self.admitted >= self.slots + self.queue:
            self.record.write(f"searcher {self.id} refused id={request_id}")
            await self.send_refusal(writer, response_bytes(503, [echo, ("Not-Executed", "1")]), request_id)
            return True
        self.admitted += 1
        try:
            async with self.free:
                self.runs.append((time.monotonic(), request_id))
                self.record.write(f"searcher {self.id} runs id={request_id} {first_line.split(' ')[0]} deadline_ms={headers.get('deadline-ms')}")
                await self.run(writer, first_line, headers, body)
        finally:
            self.admitted -= 1
        return not writer.transport.is_closing()

    async def send_refusal(self, writer, answer, _):
        writer.write(answer)
        await writer.drain()

    async def run(self, writer, first_line, headers, body):
        await asyncio.sleep(self.work_of(first_line, body))
        request_id = headers.get("request-id", "")
        writer.write(response_bytes(200, [("Request-Id", request_id), ("Server-Stamp", f"{self.id}.{request_id}")], f"done {request_id}".encode()))
        await writer.drain()

    def work_of(self, first_line, body):
        return self.work_s


class Instance:
    """One instance: started with the command of the deploy file and settings as DEPLOY.md shows them."""

    def __init__(self, record, store, folder, name, address, ports, seeds, zone="zone-a", extra=None):
        self.record, self.folder, self.name, self.address, self.ports = record, folder, name, address, ports
        control = ports["Control"]
        settings = {
            "NodeName": name, "Role": "query", "MachineClass": "front", "Serves": "front,control,directory", "Ip": address, "Zone": zone, "Region": "region",
            "Endpoints.Front": f"{address}:{ports['Front']}", "Endpoints.Readiness": f"{address}:{ports['Readiness']}",
            "Endpoints.Control": f"{address}:{control}", "Endpoints.directory": f"{address}:{ports['directory']}",
            "InternalPorts": f"{ports['Internal']},{ports['Internal'] + 15}", "Seeds": ",".join(f"{seed}:{control}" for seed in seeds),
            "Bootstrap": "true", "LossCounted": "false", "Limits.CpuShare": "0.25", "Limits.CpuCores": "1", "Limits.MemoryMb": "260",
            "Limits.MaxFds": "4100", "Limits.LinkMbps": "1000.0", "Limits.DiskMb": "0", "Discovery": "platform", "EntryMode": "directory",
            "HeartbeatMs": "1200", "FaultTolerance.Machines": "2", "FaultTolerance.Zones": "1", "Bounds.SeedLagS": "3", "Bounds.AddrReuseS": "2",
            "Bounds.ContactMs": "4000", "Bounds.DrainMs": "3000", "Bounds.GraceS": "6", "Bounds.LossSlackMs": "200", "Bounds.ConfigApplyMs": "3000",
            "Bounds.RetryBudgetRatio": "0.2", "Bounds.BudgetWindowS": "10", "Bounds.RetrySlack": "52", "Bounds.EvacuationMs": "5000",
            "Bounds.RecoveryS": "12", "Bounds.ttl_max_s": "5", "platform.Address": f"{store.address}:{store.port}", "platform.form": "objects",
            **(extra or {})}
        self.settings_file = os.path.join(folder, f"{name}.conf")
        with open(self.settings_file, "w", encoding="utf-8") as out:
            out.writelines(f"{key}={value}\n" for key, value in settings.items())
        self.process = None

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["BALSAMHOOK_BOOT"] = self.settings_file
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen(start_command(), cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.write(f"instance {self.name} started")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.record.write(f"instance {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    async def is_ready(self):
        answer = await ask(self.address, self.ports["Readiness"], "/v1/ready")
        return answer is not None and answer[0] == 200


def start_command():
    """Returns the words of `run` in deploy/system.toml."""
    with open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8") as text:
        found = re.search(r'^run = "([^"]*)"', text.read(), re.MULTILINE)
    words = shlex.split(found.group(1))
    if not os.access(os.path.join(REPOSITORY, words[0]), os.X_OK):
        raise CannotRun(f"{words[0]} is missing: run the build of deploy/system.toml first")
    return [os.path.join(REPOSITORY, words[0])] + words[1:]


def make_ports(addresses):
    return {name: free_port(addresses) for name in ("Front", "Readiness", "Control", "directory", "Internal")}


def parse_status(message):
    return int(message[0].split(" ")[1])


async def ask(address, port, target, timeout_s=1.0):
    """Sends a GET on a new connection; returns status and body, or None."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), timeout_s)
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n".encode())
        message = await asyncio.wait_for(read_message(reader), timeout_s)
        writer.close()
    except (OSError, asyncio.TimeoutError):
        return None
    return None if message is None else (parse_status(message), message[2])


class Client:
    """A client with one kept connection to one instance."""

    def __init__(self, record, instance):
        self.record, self.instance = record, instance
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.instance.address, self.instance.ports["Front"]), 1)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, request_id, deadline_ms, body=b""):
        """Sends one request. Returns status, headers and body; status 0 stands for an end of the connection or no answer until the deadline."""
        try:
            if self.writer is None or self.reader.at_eof():
                await self.connect()
            self.record.write(f"client sends id={request_id} {method} {path} to {self.instance.name} deadline_ms={deadline_ms}")
            length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
            self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n{length}\r\n".encode() + body)
            message = await asyncio.wait_for(read_message(self.reader), deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError) as failed:
            self.record.write(f"client id={request_id} failed: {type(failed).__name__}")
            self.close()
            return 0, {}, b""
        if message is None:
            self.record.write(f"client id={request_id} connection ended without an answer")
            self.close()
            return 0, {}, b""
        status = parse_status(message)
        self.record.write(f"client id={request_id} gets {status}")
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return status, message[1], message[2]


async def wait_until_ready(instances, timeout_s=10.0):
    until = time.monotonic() + timeout_s
    for instance in instances:
        while not await instance.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f"{instance.name} is not ready after {timeout_s} s")
            await asyncio.sleep(0.05)


def configuration(version, routes, services):
    """Returns a configuration. routes are (name, prefix, fields); services are names."""
    base = {"Host": HOST, "TimeoutMs": 6000, "SloMs": 400, "Priority": 1, "MaxAttempts": 2}
    return {
        "Version": version,
        "Routes": [{**base, "Name": name, "PathPrefix": prefix, **fields} for name, prefix, fields in routes],
        "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 96, "WarmupS": 3.0, "WarmupPerS": 0.0} for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def main(record_file, play):
    """Plays a case and writes the record to record_file. play(record, folder, has_trouble) returns whether the rule was kept. Exits with 0 (kept), 1 (broken) or 2 (could not run)."""
    record = Record(record_file)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"start, disruption {'on' if has_trouble else 'off'}")
    try:
        with tempfile.TemporaryDirectory(prefix="balsam-review-") as folder:
            is_kept = asyncio.run(play(record, folder, has_trouble))
    except Exception as failed:  # Anything unexpected is a fault of the script, not of the program under test.
        record.write(f"could not run: {failed!r}")
        print(f"could not run: {failed!r}")
        return 2
    record.write("rule kept" if is_kept else "rule broken")
    print("rule kept" if is_kept else "rule broken")
    return 0 if is_kept else 1
