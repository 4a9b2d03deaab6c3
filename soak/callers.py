"""Callers of a soak run: they resolve front ends through the directory, reuse connections, and check every response."""

import asyncio
import json
import random
import time
from dataclasses import dataclass, field

from soak import site as site_module

RESPONSE_SLACK_S = 0.5
DEADLINE_MS = 1500
# In some runs with planned work only, some requests outlast the second half of a grace period.
PATIENT_DEADLINE_MS = 5000
PATIENT_WORK_MS = (15,) * 20 + (120,) * 12 + (1500,)
PAUSE_S = (0.01, 0.08)
PATIENT_PAUSE_S = (0.1, 0.3)  # Keeps the longer work within the searchers' slots.
REQUEST_KINDS = (("GET", "/q/"), ("GET", "/q/"), ("GET", "/l/"), ("POST", "/c/"))


@dataclass
class Record:
    """Observations of all callers of a run."""

    requests: list = field(default_factory=list)  # (start time, whether it was served)
    violations: list = field(default_factory=list)  # Violated guarantees, with request ids.
    statuses: dict = field(default_factory=dict)
    is_closed: bool = False
    unanswered: list = field(default_factory=list)  # (id, start time, end time) of requests whose connection ended without a complete response.
    refused_commands: list = field(default_factory=list)  # Ids of refused requests that are not idempotent.


async def read_response(reader):
    """Returns status, headers (lower case, repeated ones joined with commas) and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            key = name.strip().lower()
            headers[key] = f"{headers[key]}, {value.strip()}" if key in headers else value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return status, headers, body


class Caller:
    """A caller with one connection at a time, which is reused until the instance closes it."""

    def __init__(self, number, site, record, seed, is_patient):
        self.number, self.site, self.record, self.seed = number, site, record, seed
        self.deadline_ms = PATIENT_DEADLINE_MS if is_patient else DEADLINE_MS
        self.work_ms = PATIENT_WORK_MS if is_patient else None
        self.pause_s = PATIENT_PAUSE_S if is_patient else PAUSE_S
        self.rng = random.Random(f"{seed}/{number}")
        self.addresses, self.addresses_until = [], 0.0
        self.connection = None
        self.count = 0

    async def resolve(self):
        if time.monotonic() < self.addresses_until:
            return
        candidates = list(range(self.site.count))
        self.rng.shuffle(candidates)
        zone = site_module.DATA_CENTRES[self.number % 3]
        for number in candidates[:3]:
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(site_module.instance_address(number), site_module.DIRECTORY_PORT), 1)
                writer.write(f"GET /v1/resolve?Name={site_module.HOST}&Region=r&Zone={zone} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
                status, _, body = await asyncio.wait_for(read_response(reader), 1)
                writer.close()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
            if status == 200:
                resolved = json.loads(body)
                self.addresses = resolved["addrs"]
                self.addresses_until = time.monotonic() + resolved["ttl_s"]
                return

    async def connect(self):
        await self.resolve()
        if not self.addresses:
            raise OSError("the directory returned no address")
        host, port = self.rng.choice(self.addresses).split(":")
        self.connection = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)

    async def run(self):
        """Sends requests until the record is closed. A flag stops the callers because asyncio.wait_for may swallow a cancellation."""
        while not self.record.is_closed:
            await self.request()
            await asyncio.sleep(self.rng.uniform(*self.pause_s))
        self.disconnect()

    def disconnect(self):
        if self.connection:
            self.connection[1].close()
        self.connection = None

    async def request(self):
        self.count += 1
        request_id = f"s{self.seed}c{self.number}n{self.count}"
        method, prefix = self.rng.choice(REQUEST_KINDS)
        started = time.monotonic()
        served = False
        was_sent = False
        try:
            if self.connection is None:
                await self.connect()
            was_sent = True
            status, headers, body = await asyncio.wait_for(self.exchange(method, prefix, request_id), self.deadline_ms / 1000 + RESPONSE_SLACK_S)
            self.record.statuses[status] = self.record.statuses.get(status, 0) + 1
            served = status == 200
            await self.check(method, prefix, request_id, status, headers, body)
            if headers.get("connection", "") == "close":
                self.disconnect()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            name = type(error).__name__
            self.record.statuses[name] = self.record.statuses.get(name, 0) + 1
            if was_sent:
                self.record.unanswered.append((request_id, started, time.monotonic()))
            self.disconnect()
            self.addresses_until = 0.0
            await asyncio.sleep(0.05)
        self.record.requests.append((started, served))

    async def exchange(self, method, prefix, request_id):
        reader, writer = self.connection
        body = b"credit" if method == "POST" else b""
        work = f"X-Work-Ms: {self.rng.choice(self.work_ms)}\r\n" if self.work_ms and prefix != "/q/" else ""
        writer.write((f"{method} {prefix}{request_id} HTTP/1.1\r\nHost: {site_module.HOST}\r\nRequest-Id: {request_id}\r\nDeadline-Ms: {self.deadline_ms}\r\n"
                      f"X-Caller-Deadline: {self.deadline_ms}\r\n{work}Content-Length: {len(body)}\r\n\r\n").encode() + body)
        return await read_response(reader)

    async def check(self, method, prefix, request_id, status, headers, body):
        """Checks the guarantees that a single response can violate."""
        if status in (429, 503) and method == "POST":
            self.record.refused_commands.append(request_id)
        if status != 200:
            return
        if headers.get("request-id") != request_id:
            self.record.violations.append(f"{request_id}: response to request {headers.get('request-id')}")
        if prefix != "/q/":
            if request_id not in headers.get("server-stamp", ""):
                self.record.violations.append(f"{request_id}: server stamp of another request: {headers.get('server-stamp')}")
            return
        stamps = [stamp.strip() for stamp in headers.get("part-stamps", "").split(",")]
        services = [stamp.split(".")[0] for stamp in stamps]
        missing = int(headers.get("missing-parts", "0"))
        expected = await self.site.admin_request("/expected", {"services": services, "id": request_id, "count": 5})
        violations = {
            "signature of another request": any(not stamp.endswith(f".{request_id}") for stamp in stamps),
            "two parts of one shard": len(set(services)) != len(services),
            "parts of two configurations": len({name[0] for name in services}) != 1,
            "false coverage": len(services) + missing != site_module.SHARDS,
            "below the minimum coverage": len(services) < 0.75 * site_module.SHARDS,
            "wrong records": body.decode("latin-1") != expected,
        }
        self.record.violations += [f"{request_id}: {name}" for name, is_violated in violations.items() if is_violated]


def make_callers(site, record, count, seed, is_patient):
    return [Caller(number, site, record, seed, is_patient) for number in range(count)]
