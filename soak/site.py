"""The processes of a soak run: the stand-in site and the instances, each a real process on its own loopback address."""

import asyncio
import json
import os
import random
import signal
import subprocess
import tempfile

DATA_CENTRES = ("dc1", "dc2", "dc3")
CALLER_PORT, READY_PORT, INTERNAL_PORT, DIRECTORY_PORT, PEER_PORT = 8104, 8108, 8106, 8100, 7380
GRACE_SECONDS = 6
REWRITE_SECONDS = 2  # In which the operator and the searchers write again what the store lost.
SHARDS = 8
HOST = "search.example"


def instance_address(number):
    """Returns the address of an instance; instances are assigned to data centres round-robin."""
    return f"127.50.{number % len(DATA_CENTRES)}.{number + 10}"


def store_address(number):
    """Returns the address of the store for one instance: the instance's own proxy."""
    return f"127.51.0.{number + 10}:7100"


def configuration(version, shards="a", timeout_ms=1500):
    """Returns a configuration with three routes: a query over all shards, and an idempotent and a non-idempotent request to one searcher."""
    services = [f"{shards}{i}" for i in range(SHARDS)] + ["ledger"]
    base = {"Host": HOST, "TimeoutMs": timeout_ms, "Priority": 1, "MaxAttempts": 2}
    return {
        "Version": version,
        "Routes": [
            {**base, "Name": "query", "PathPrefix": "/q/", "RouteType": "idempotent", "SloMs": 150, "TopK": 5, "MinCoverage": 0.75,
             "Gather": services[:-1]},
            {**base, "Name": "lookup", "PathPrefix": "/l/", "RouteType": "idempotent", "SloMs": 300, "Service": "ledger"},
            {**base, "Name": "credit", "PathPrefix": "/c/", "RouteType": "non_idempotent", "SloMs": 300, "Service": "ledger"},
        ],
        "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 25, "WarmupS": 0, "WarmupPerS": 0} for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }


def searchers():
    """Returns two searchers in different data centres for each shard of both shard sets, and four for the ledger."""
    entries = []
    names = [(f"{s}{i}", 2) for s in "ab" for i in range(SHARDS)] + [("ledger", 4)]
    for service, replicas in names:
        for replica in range(replicas):
            number = len(entries)
            entries.append({"id": f"t-{service}-{replica}", "service": service, "data_centre": DATA_CENTRES[(number + replica) % 3],
                         "address": f"127.52.0.{number + 1}:9000", "slots": 2, "connections": 25, "work_ms": 5 if service != "ledger" else 15})
    return entries


class Process:
    """A process that the soak run started; only such processes receive signals."""

    def __init__(self, arguments, log, environment=None):
        self.arguments, self.log = arguments, log
        self.environment = {**os.environ, **(environment or {})}
        self.child = None

    def start(self):
        self.child = subprocess.Popen(self.arguments, stdout=open(self.log, "ab"), stderr=subprocess.STDOUT, env=self.environment)

    def send_signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        """Kills the process and waits for its exit. Doesn't yield to the event loop, so no other fault can restart it in between."""
        self.send_signal(signal.SIGKILL)
        if self.child:
            self.child.wait()

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def stop(self):
        self.kill()


class StoreProxy:
    """Relays the connections of one instance to the store; can delay, drop, reset or refuse them."""

    def __init__(self, local, store):
        self.local, self.store = local, store
        self.mode, self.delay = "pass", 0.0
        self.writers = set()
        self.server = None

    async def start(self):
        host, port = self.local.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        if self.mode in ("reset", "refuse"):
            writer.transport.abort()
            return
        try:
            store_reader, store_writer = await asyncio.open_connection(*self.store)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, store_writer}
        try:
            await asyncio.gather(self.relay(reader, store_writer, "up"), self.relay(store_reader, writer, "down"))
        except asyncio.CancelledError:
            pass  # Cancelled at the end of the run.
        self.writers -= {writer, store_writer}

    async def relay(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                is_dropped = self.mode == "silent" or self.mode == f"silent_{direction}"
                if not is_dropped:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def stop(self):
        if self.server:
            self.server.close()
            self.set("reset")
            await self.server.wait_closed()

    def set(self, mode, delay=0.0):
        self.mode, self.delay = mode, delay
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()


class Site:
    """All processes of one soak run."""

    def __init__(self, binaries, folder, count):
        self.binaries, self.folder, self.count = binaries, folder, count
        self.admin = ("127.0.0.1", 7201)
        self.store = ("127.0.0.1", 7200)
        self.proxies = [StoreProxy(store_address(i), self.store) for i in range(count)]
        self.instances = [self.make_instance(i) for i in range(count)]
        site_file = os.path.join(folder, "site.json")
        with open(site_file, "w", encoding="utf-8") as out:
            json.dump({"searchers": searchers(), "configuration": configuration(1)}, out)
        self.stand_in = Process([f"{binaries}/standin-site", "--site-file", site_file], f"{folder}/site.log")

    def make_instance(self, number):
        address = instance_address(number)
        name = f"instance-{number}"
        boot_settings = {
            "NodeName": name, "Ip": address, "Zone": DATA_CENTRES[number % 3], "Region": "r", "Endpoints.Front": f"{address}:{CALLER_PORT}",
            "Endpoints.Readiness": f"{address}:{READY_PORT}", "Endpoints.Control": f"{address}:{INTERNAL_PORT}",
            "Endpoints.directory": f"{address}:{DIRECTORY_PORT}", "InternalPorts": f"{PEER_PORT},{PEER_PORT + 15}",
            "Seeds": ",".join(f"{instance_address(i)}:{INTERNAL_PORT}" for i in range(min(3, self.count))), "platform.Address": store_address(number),
            "Limits.CpuShare": "0.5", "Limits.MemoryMb": "256", "Limits.MaxFds": "4000", "Bounds.GraceS": str(GRACE_SECONDS),
            "Bounds.ttl_max_s": "5", "Bounds.RetrySlack": "52", "Bounds.RetryBudgetRatio": "0.2", "Bounds.BudgetWindowS": "10",
        }
        boot_file = os.path.join(self.folder, f"{name}.conf")
        with open(boot_file, "w", encoding="utf-8") as out:
            out.writelines(f"{key}={value}\n" for key, value in boot_settings.items())
        return Process([f"{self.binaries}/balsamhook"], f"{self.folder}/{name}.log", {"BALSAMHOOK_BOOT": boot_file})

    def running_instances(self):
        """Returns each instance that runs, with its address."""
        return [(instance, instance_address(i)) for i, instance in enumerate(self.instances) if instance.is_running()]

    async def start(self):
        self.stand_in.start()
        for proxy in self.proxies:
            await proxy.start()
        await asyncio.sleep(0.3)
        if not self.stand_in.is_running():
            raise RuntimeError(f"the stand-in site exited during its start, see {self.stand_in.log}")
        for instance in self.instances:
            instance.start()

    async def stop(self):
        for process in self.instances + [self.stand_in]:
            process.stop()
        for proxy in self.proxies:
            await proxy.stop()

    async def admin_request(self, path, body=None, method="POST"):
        """Sends a request to the admin port of the stand-in site; returns the body of the response."""
        reader, writer = await asyncio.open_connection(*self.admin)
        payload = json.dumps(body or {}).encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: admin\r\nConnection: close\r\nContent-Length: {len(payload)}\r\n\r\n".encode() + payload)
        response = await reader.read()
        writer.close()
        return response.split(b"\r\n\r\n", 1)[1].decode()


async def configuration_version(address):
    """Returns the version of the configuration that an instance works with; 0 if it has none, as a standby instance."""
    metrics = await get(address, INTERNAL_PORT, "/metrics")
    return next((int(line.split()[1]) for line in metrics.splitlines() if line.startswith("balsam_configuration_version ")), 0)


async def get(address, port, path):
    """Sends a request without a body; returns the body of the response."""
    reader, writer = await asyncio.open_connection(address, port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n".encode())
    response = await reader.read()
    writer.close()
    return response.split(b"\r\n\r\n", 1)[1].decode()


def make_log_folder(seed):
    return tempfile.mkdtemp(prefix=f"balsam-soak-{seed}-")


def pick(rng: random.Random, items, max_count):
    return rng.sample(list(items), rng.randint(1, max(1, min(max_count, len(items)))))
