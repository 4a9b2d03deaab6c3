"""A whole site of real processes on loopback: stand-ins, six instances in three data centres, and the load tool.
Used by scripts/demo, scripts/bench_hedging.py and scenarios/run."""

import json
import pathlib
import resource
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA_CENTRES = ["dc1", "dc2", "dc3"]
INSTANCES_PER_DATA_CENTRE = 2
TCP_PORTS = [8080, 7001, 7002, 7080, 7081]
GOSSIP_PORT = 7003
FIRST_TARGET_PORT = 9000
START_TIMEOUT_S = 45.0
COLD_START_S = 3.0
CLIENT_DELAY_MS = 3

# Sizes from section 1.3 of docs/design.md. "weight" is the relative share of the requests.
SITES = {
    "refillwise": {
        "one_way_ms": 1.5,
        "vocabulary": "fuel",
        "services": [
            {"name": "station-finder", "kind": "query", "shards": 20, "slots": 2, "connections": 25, "opening_ms": 6, "time_ms": 8, "weight": 25},
            {"name": "route-planner", "kind": "query", "shards": 30, "slots": 2, "connections": 25, "opening_ms": 6, "time_ms": 10, "weight": 15},
            {"name": "loyalty-ledger", "kind": "command", "targets": 5, "slots": 4, "connections": 100, "opening_ms": 1, "time_ms": 5, "weight": 30},
            {"name": "coop-portal", "kind": "query", "targets": 3, "slots": 4, "connections": 100, "opening_ms": 1, "time_ms": 5, "weight": 30},
        ],
    },
    "cornet": {
        "one_way_ms": 1.0,
        "vocabulary": "band",
        "services": [
            {"name": "entry-desk", "kind": "query", "shards": 20, "slots": 2, "connections": 25, "opening_ms": 6, "time_ms": 8, "weight": 25},
            {"name": "piece-library", "kind": "query", "shards": 30, "slots": 2, "connections": 25, "opening_ms": 6, "time_ms": 10, "weight": 15},
            {"name": "player-register", "kind": "query", "targets": 9, "slots": 3, "connections": 40, "opening_ms": 1, "time_ms": 5, "weight": 40},
            {"name": "results-board", "kind": "command", "targets": 4, "slots": 3, "connections": 40, "opening_ms": 1, "time_ms": 5, "weight": 20},
        ],
    },
}


class RunError(Exception):
    """An error that ends the run."""


def http_call(method, address, path, body=None, timeout=5.0):
    """Sends one HTTP request; returns (status, text). Status 0: no response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method, headers={"content-type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (OSError, TimeoutError) as error:
        return 0, str(error)


class Instance:
    """Addresses of one instance."""

    def __init__(self, network, data_centre, number):
        self.name = f"i{data_centre}{number}"
        self.data_centre = DATA_CENTRES[data_centre - 1]
        self.listen = f"127.{10 + network}.{data_centre}.{number}"
        self.advertise = f"127.{20 + network}.{data_centre}.{number}"


class Site:
    """Configuration document, behaviour and link settings of one site."""

    def __init__(self, name, network):
        self.settings = SITES[name]
        self.network = network
        self.platform = f"127.{50 + network}.0.1:7100"
        self.targets_admin = f"127.{50 + network}.0.1:9999"
        self.link_admin = f"127.{50 + network}.0.1:9998"
        self.callers = f"127.{30 + network}.0.1"
        self.instances = [Instance(network, d + 1, k + 1) for d in range(len(DATA_CENTRES)) for k in range(INSTANCES_PER_DATA_CENTRE)]
        self.next_port = [FIRST_TARGET_PORT] * len(DATA_CENTRES)
        self.targets = []
        self.services = [self.service(entry) for entry in self.settings["services"]]

    def add_target(self, name, data_centre, service):
        port = self.next_port[data_centre]
        self.next_port[data_centre] += 1
        self.targets.append({"name": name, "data_centre": DATA_CENTRES[data_centre], "address": f"127.{40 + self.network}.{data_centre + 1}.1:{port}",
                             "slots": service["slots"], "connections": service["connections"], "cold_slots": 1, "state": "in"})
        return name

    def service(self, entry):
        shards = []
        for shard in range(entry.get("shards", 1)):
            # The replicas of a shard are in different data centres, so that the shard stays available when one data centre is taken out.
            replicas = entry.get("targets", 2)
            names = [self.add_target(f"{entry['name']}-{shard}-{chr(ord('a') + r)}", (shard + r) % len(DATA_CENTRES), entry) for r in range(replicas)]
            shards.append({"shard": str(shard), "targets": names})
        deadline = 1000 if entry["kind"] == "command" else 260
        return {"name": entry["name"], "kind": entry["kind"], "layout_epoch": 1, "deadline_ms": deadline, "minimum_coverage": 0.0,
                "answer_after_ms": 0, "hedge_percent": 5, "shards": shards}

    def document(self):
        return {"data_centres": [{"name": name, "state": "in"} for name in DATA_CENTRES], "services": self.services, "targets": self.targets}

    def site_file(self):
        behaviour = {}
        for entry in self.settings["services"]:
            behaviour[entry["name"]] = {"service_time_ms": entry["time_ms"], "spread_ms": entry["time_ms"] / 4, "straggler_share": 0.001,
                                        "straggler_factor": 8, "opening_ms": entry["opening_ms"], "cold_start_ms": COLD_START_S * 1000,
                                        "vocabulary": self.settings["vocabulary"]}
        return {"configuration": self.document(), "behaviour": behaviour}

    def link_file(self):
        entries = [{"advertised": i.advertise, "actual": i.listen, "data_centre": i.data_centre} for i in self.instances]
        pairs = [(a, b) for n, a in enumerate(DATA_CENTRES) for b in DATA_CENTRES[n + 1:]]
        return {"entries": entries, "tcp_ports": TCP_PORTS, "udp_ports": [GOSSIP_PORT],
                "delays": [{"between": pair, "ms": self.settings["one_way_ms"]} for pair in pairs]}

    def mix(self):
        return ",".join(f"{entry['name']}={entry['weight']}" for entry in self.settings["services"])

    def listen_addresses(self):
        """Returns the TCP addresses on which the processes of the run listen."""
        used = [self.platform, self.targets_admin, self.link_admin, *(target["address"] for target in self.targets)]
        used += [f"{address}:{port}" for i in self.instances for address in (i.listen, i.advertise) for port in TCP_PORTS]
        return [(address, int(port)) for address, port in (text.split(":") for text in used)]

    def query_services(self):
        return [service for service in self.services if service["kind"] == "query"]


class Processes:
    """The processes that the run started; only these receive signals."""

    def __init__(self, folder, binaries):
        self.folder = folder
        self.binaries = binaries
        self.running = []

    def start(self, label, program, *arguments):
        log = open(self.folder / f"{label}.log", "wb")
        command = [str(self.binaries / program), *map(str, arguments)]
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.running.append((label, process))
        return process

    def exited(self):
        return [f"{label} exited with status {process.returncode}" for label, process in self.running if process.poll() is not None]

    def wait_for_all(self, seconds):
        deadline = time.monotonic() + seconds
        while any(process.poll() is None for _, process in self.running) and time.monotonic() < deadline:
            time.sleep(0.05)

    def signal_all(self, number):
        for _, process in self.running:
            if process.poll() is None:
                process.send_signal(number)

    def stop(self):
        # The first SIGTERM starts a planned stop, which hands targets over and may take long; the second one ends the process immediately.
        self.signal_all(signal.SIGTERM)
        self.wait_for_all(2)
        self.signal_all(signal.SIGTERM)
        self.wait_for_all(2)
        self.signal_all(signal.SIGKILL)
        self.wait_for_all(5)


class SiteRun:
    """A running site. Options: site, network, seconds and rate of the load."""

    def __init__(self, options, folder, processes):
        self.options = options
        self.folder = folder
        self.processes = processes
        self.site = Site(options.site, options.network)
        self.controller = f"{self.site.instances[0].advertise}:7080"
        self.results = {"site": options.site, "seconds": options.seconds, "requests_per_second": options.rate}

    def start(self):
        """Starts all processes, applies the configuration and waits for full coverage from every front end."""
        self.check_addresses()
        self.start_stand_ins()
        self.start_instances()
        self.apply_configuration()
        self.wait_for_full_coverage()
        # The first queries have started the warm-up of the targets; after the cold-start time their owners have raised the limits.
        time.sleep(COLD_START_S)

    def write(self, name, content):
        path = self.folder / name
        path.write_text(json.dumps(content, indent=1))
        return path

    def check_alive(self):
        exited = self.processes.exited()
        if exited:
            raise RunError("; ".join(exited))

    def wait_until(self, what, condition, seconds=START_TIMEOUT_S):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return
            self.check_alive()
            time.sleep(0.1)
        raise RunError(f"{what}: condition not met within {seconds:.0f} s")

    def run_balsamctl(self, *arguments):
        command = [str(self.processes.binaries / "balsamctl"), "--controller", self.controller, *arguments]
        return subprocess.run(command, stdin=subprocess.DEVNULL, capture_output=True, text=True, timeout=60, check=False)

    def apply_plan(self, *arguments):
        """Creates and confirms a plan."""
        done = self.run_balsamctl(*arguments, "--yes", "--wait-ms", "0")
        if done.returncode != 0:
            raise RunError(f"balsamctl {' '.join(arguments)} exited with status {done.returncode}: {done.stdout}{done.stderr}")

    def check_addresses(self):
        """Raises RunError when an address is in use: requests of the run would reach the other process."""
        for address in self.site.listen_addresses():
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(address)
                except OSError as error:
                    raise RunError(f"{address[0]}:{address[1]} is in use ({error.strerror}); choose other addresses with --network") from error

    def start_stand_ins(self):
        site_file = self.write("site.json", self.site.site_file())
        link_file = self.write("link.json", self.site.link_file())
        host, port = self.site.platform.split(":")
        self.processes.start("standin-platform", "standin-platform", "--listen-address", host, "--port", port)
        self.processes.start("standin-targets", "standin-targets", "--site-file", site_file, "--admin", self.site.targets_admin)
        self.processes.start("standin-link", "standin-link", "--link-file", link_file, "--admin", self.site.link_admin)
        self.wait_until("start of the stand-ins", lambda: all(
            http_call(*probe)[0] == 200 for probe in
            [("GET", self.site.targets_admin, "/standin/report"), ("GET", self.site.link_admin, "/standin/link"), ("GET", self.site.platform, "/instances")]))
        instances = [{"instance": i.name, "data_centre": i.data_centre, "address": i.advertise, "state": "live"} for i in self.site.instances]
        http_call("PUT", self.site.platform, "/standin/instances", {"instances": instances})

    def start_instances(self):
        for instance in self.site.instances:
            common = ["--instance", instance.name, "--data-centre", instance.data_centre, "--listen-address", instance.listen,
                      "--advertise-address", instance.advertise]
            self.processes.start(f"control-{instance.name}", "balsam-control", *common, "--platform", self.site.platform)
            self.processes.start(f"dispatch-{instance.name}", "balsam-dispatch", *common, "--platform", self.site.platform)
            self.processes.start(f"front-{instance.name}", "balsam-front", *common)

    def apply_configuration(self):
        document = self.write("configuration.json", self.site.document())

        def applied():
            done = self.run_balsamctl("apply", str(document), "--yes", "--wait-ms", "0")
            self.last_apply = done.stdout + done.stderr
            return done.returncode == 0

        try:
            self.wait_until("configuration by balsamctl", applied)
        except RunError as error:
            raise RunError(f"{error}; last output: {self.last_apply}") from error

    def has_full_coverage(self):
        """Returns whether every front end returns full coverage for every query service."""
        for instance in self.site.instances:
            for service in self.site.query_services():
                body = {"service": service["name"], "text": "warm", "limit": 1, "deadline_ms": 1000}
                status, text = http_call("POST", f"{instance.advertise}:8080", "/v1/query", body)
                coverage = json.loads(text)["coverage"] if status == 200 else {"answered": 0, "total": 1}
                self.last_probe = f"{instance.name} {service['name']}: {status} {text[:300]}"
                if coverage["answered"] != coverage["total"]:
                    return False
        return True

    def wait_for_full_coverage(self):
        try:
            self.wait_until("full coverage from every front end", self.has_full_coverage)
        except RunError as error:
            raise RunError(f"{error}; last probe: {self.last_probe}") from error

    def report(self):
        status, text = http_call("GET", self.site.targets_admin, "/standin/report")
        if status != 200:
            raise RunError(f"report of the stand-in targets: {status} {text}")
        return json.loads(text)

    @staticmethod
    def count_work(report, data_centre=None):
        return sum(target["searches"] + target["executions"] for target in report["targets"] if data_centre in (None, target["data_centre"]))

    @staticmethod
    def count_searches(report):
        return sum(target["searches"] for target in report["targets"])

    def start_load(self):
        fronts = ",".join(f"{i.advertise}:8080" for i in self.site.instances)
        return self.processes.start("balsam-load", "balsam-load", "--site-file", self.folder / "site.json", "--front", fronts, "--mix", self.site.mix(),
                                    "--rate", self.options.rate, "--duration-ms", self.options.seconds * 1000, "--client-delay-ms", CLIENT_DELAY_MS,
                                    "--bind-address", self.site.callers, "--repeat-percent", 5, "--standin-admin", self.site.targets_admin, "--json",
                                    self.folder / "load.json")

    def sleep_until(self, due):
        while time.monotonic() < due:
            self.check_alive()
            time.sleep(min(0.1, max(0.0, due - time.monotonic())))

    def advance_index(self, version):
        for service in self.site.query_services():
            http_call("PUT", self.site.targets_admin, f"/standin/services/{service['name']}", {"index_version": version})

    def finish_load(self, load):
        try:
            code = load.wait(timeout=60)
        except subprocess.TimeoutExpired as error:
            raise RunError("balsam-load did not exit within 60 s") from error
        self.processes.running = [entry for entry in self.processes.running if entry[1] is not load]
        path = self.folder / "load.json"
        if not path.exists():
            raise RunError(f"balsam-load exited with status {code}: {(self.folder / 'balsam-load.log').read_text()}")
        self.results["load"] = json.loads(path.read_text())

    def is_in_effect(self, data_centre, state):
        """Returns whether the configuration that every instance serves has the data centre in this state."""
        for instance in self.site.instances:
            status, text = http_call("GET", f"{instance.advertise}:7080", "/v1/configuration", timeout=2.0)
            document = json.loads(text).get("document", {}) if status == 200 else {}
            states = {entry["name"]: entry["state"] for entry in document.get("data_centres", [])}
            if states.get(data_centre) != state:
                return False
        return True


def raise_file_limit():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    target = 8192 if hard == resource.RLIM_INFINITY else min(8192, hard)
    if soft < target:
        resource.setrlimit(resource.RLIMIT_NOFILE, (target, hard))


def interrupt(_number, _frame):
    raise KeyboardInterrupt
