"""Compares queries with and without hedging. Three sites run concurrently, so that noise of the machine affects all variants equally.
In two of them one shard in twenty has a straggler replica. Prints one JSON object. Called by scripts/bench hedging."""

import argparse
import json
import os
import pathlib
import shutil
import sys
import tempfile
import threading
import time

import site_run

SECONDS = 25
RATE = 25
STRAGGLER_MS = 60
STRAGGLERS = ("station-finder-3-a",)
WARM_UP_S = 10
# name, network, hedge percent, with stragglers
VARIANTS = (("no straggler, hedging", 6, 5, False), ("straggler, hedging", 7, 5, True), ("straggler, no hedging", 8, 0, True))


class HedgingRun(site_run.SiteRun):
    """A site that receives queries to station-finder only."""

    def __init__(self, network, hedge_percent, stragglers, folder, processes):
        options = argparse.Namespace(site="refillwise", network=network, seconds=SECONDS, rate=RATE)
        super().__init__(options, folder, processes)
        self.stragglers = stragglers
        self.site.mix = lambda: "station-finder=1"
        for service in self.site.services:
            service["hedge_percent"] = hedge_percent

    def measure(self):
        # The first load warms up targets and latency windows; its results are discarded.
        self.options.seconds = WARM_UP_S
        self.finish_load(self.start_load())
        for target in self.stragglers:
            site_run.http_call("PUT", self.site.targets_admin, f"/standin/targets/{target}", {"delay_ms": STRAGGLER_MS})
        self.options.seconds = SECONDS
        before = self.count_searches(self.report())
        self.finish_load(self.start_load())
        searches = self.count_searches(self.report()) - before
        entry = self.results["load"]["services"]["station-finder"]
        base_searches = entry["sent"] * len(self.site.services[0]["shards"])
        return {"sent": entry["sent"], "answered": entry["answered"], "p50_ms": entry["p50_ms"], "p99_ms": entry["p99_ms"], "p999_ms": entry["p999_ms"],
                "coverage": entry["coverage"], "extra_load_percent": round(100.0 * (searches - base_searches) / base_searches, 2),
                "wrong": self.results["load"]["wrong_total"]}


def run_variant(name, network, hedge_percent, with_stragglers, barrier, measurements):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="balsam-hedging-"))
    processes = site_run.Processes(folder, site_run.ROOT / os.environ.get("BALSAM_BUILD", "build") / "bin")
    try:
        run = HedgingRun(network, hedge_percent, STRAGGLERS if with_stragglers else (), folder, processes)
        run.start()
        barrier.wait(timeout=60)
        measurements[name] = run.measure()
    except (site_run.RunError, threading.BrokenBarrierError) as error:
        measurements[name] = {"error": str(error)}
        barrier.abort()
    finally:
        processes.stop()
        shutil.rmtree(folder)


def main():
    site_run.raise_file_limit()
    barrier = threading.Barrier(len(VARIANTS))
    measurements = {}
    threads = [threading.Thread(target=run_variant, args=(*variant, barrier, measurements)) for variant in VARIANTS]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps({"date": time.strftime("%Y-%m-%d"), "rate": RATE, "seconds": SECONDS, "straggler_ms": STRAGGLER_MS, "variants": measurements}, indent=1))
    return 1 if any("error" in entry for entry in measurements.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
