"""Callers of a soak run: they resolve front ends through the directory, reuse connections, and check every response."""

import asyncio
import json
import random
import time
from dataclasses import dataclass, field

from soak import site as site_module

REQUEST_TIMEOUT_S = 2.0
DEADLINE_MS = 1500
REQUEST_KINDS = (("GET", "/q/"), ("GET", "/q/"), ("GET", "/l/"), ("POST", "/c/"))


@dataclass
class Record:
    """Observations of all callers of a run."""

    requests: list = field(default_factory=list)  # (start time, whether it was served)
    violations: list = field(default_factory=list)  # Violated guarantees, with request ids.
    statuses: dict = field(default_factory=dict)
    is_closed: bool = False
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

    def __init__(self, number, site, record, seed):
        self.number, self.site, self.record, self.seed = number, site, record, seed
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
            await asyncio.sleep(self.rng.uniform(0.01, 0.08))
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
        try:
            if self.connection is None:
                await self.connect()
            status, headers, body = await asyncio.wait_for(self.exchange(method, prefix, request_id), REQUEST_TIMEOUT_S)
            self.record.statuses[status] = self.record.statuses.get(status, 0) + 1
            served = status == 200
            await self.check(method, prefix, request_id, status, headers, body)
            if headers.get("connection", "") == "close":
                self.disconnect()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            name = type(error).__name__
            self.record.statuses[name] = self.record.statuses.get(name, 0) + 1
            self.disconnect()
            self.addresses_until = 0.0
            await asyncio.sleep(0.05)
        self.record.requests.append((started, served))

    async def exchange(self, method, prefix, request_id):
        reader, writer = self.connection
        body = b"credit" if method == "POST" else b""
        writer.write((f"{method} {prefix}{request_id} HTTP/1.1\r\nHost: {site_module.HOST}\r\nRequest-Id: {request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
                      f"X-Caller-Deadline: {DEADLINE_MS}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
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


def make_callers(site, record, count, seed):
    return [Caller(number, site, record, seed) for number in range(count)]
