"""Randomized faults of a soak run, determined by a seed. Faults may overlap; all of them end before the run does."""

import asyncio
import random
import signal
import time

from soak import site as site_module

STORE_PROXY_MODES = ("silent", "silent_up", "silent_down", "reset", "refuse")
SEARCHER_CONDITIONS = ("slow", "hanging", "failing", "breaking_off", "shedding", "surplus", "down")


CONFIG_APPLY_SECONDS = 3  # In which a configuration has to be in force.
CONTACT_SECONDS = 4  # An unplanned fault excuses what happens until this long after its end.
STORE_RETURNS_AMONG_FAULTS = 6  # Times that the fault is among those to choose from, in runs with copies of the store.
PLANNED_RUN_INTERVAL = 3  # Every third seed injects planned work only,
PATIENT_RUN_INTERVAL = 6  # and every sixth has some long requests besides.


class Faults:
    def __init__(self, site, seed, log, with_store_copies=False):
        self.site, self.rng, self.log = site, random.Random(seed), log
        self.version = 1
        self.store_returns_count = 0
        self.findings = []
        self.unplanned = []  # Start and end time of each unplanned fault.
        self.faults = [self.kill, self.pause, self.stop, self.hang_up, self.cut_store, self.store_outage, self.slow_store, self.forget_history,
                       self.searchers_fail, self.searcher_restarts, self.searcher_drains, self.configure, self.configure_often, self.evacuate,
                       self.kill_many]
        self.is_planned_run = seed % PLANNED_RUN_INTERVAL == 1
        self.is_patient_run = seed % PATIENT_RUN_INTERVAL == 1
        planned_work = [self.stop, self.roll, self.roll, self.hang_up, self.configure, self.evacuate, self.searcher_drains]
        self.planned_faults = [*planned_work, self.configure_often]
        if self.is_planned_run:
            self.faults = planned_work

        if with_store_copies:
            self.faults = [*self.faults, *[self.store_returns] * STORE_RETURNS_AMONG_FAULTS]

    async def inject(self, seconds):
        """Starts faults at random times, also while others are active. Returns when all have ended."""
        loop = asyncio.get_running_loop()
        end_time = loop.time() + seconds
        active = []
        while loop.time() < end_time:
            fault = self.rng.choice(self.faults)
            self.log(f"fault {fault.__name__}")
            active.append(asyncio.create_task(self.run(fault)))
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))
        await asyncio.gather(*active)

    async def run(self, fault):
        if fault in self.planned_faults:
            await fault()
            return
        interval = [time.monotonic(), float("inf")]
        self.unplanned.append(interval)
        await fault()
        interval[1] = time.monotonic()

    def is_calm(self, begin, end):
        """Returns whether no unplanned fault was active from CONTACT_SECONDS before the first time until the second one."""
        return all(fault_end + CONTACT_SECONDS < begin or end < fault_start for fault_start, fault_end in self.unplanned)

    def pick_instances(self, max_count):
        return site_module.pick(self.rng, self.site.instances, max_count)

    async def restart(self, instance):
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        if not instance.is_running():
            instance.start()

    async def kill(self):
        for instance in self.pick_instances(2):
            instance.kill()
            await self.restart(instance)

    async def kill_many(self):
        chosen = self.pick_instances(self.site.count)
        for instance in chosen:
            instance.kill()
        for instance in chosen:
            await self.restart(instance)

    async def pause(self):
        chosen = self.pick_instances(2)
        for instance in chosen:
            instance.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.3, 4))
        for instance in chosen:
            instance.send_signal(signal.SIGCONT)

    async def stop(self):
        await self.stop_instance(self.rng.choice(self.site.instances))

    async def stop_instance(self, instance, further_signals=()):
        instance.send_signal(signal.SIGTERM)
        end = time.monotonic() + site_module.GRACE_SECONDS
        for number in further_signals:
            await asyncio.sleep(0.2)
            instance.send_signal(number)
        while instance.is_running() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        instance.kill()
        await self.restart(instance)

    async def roll(self):
        """Stops several instances one after the other, so that their grace periods overlap; some get further signals meanwhile."""
        gap = self.rng.uniform(0.1, 1.5)
        stops = []
        for instance in self.pick_instances(self.site.count):
            further_signals = self.rng.choice(((), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM), (signal.SIGHUP,)))
            stops.append(asyncio.create_task(self.stop_instance(instance, further_signals)))
            await asyncio.sleep(gap)
        await asyncio.gather(*stops)

    async def hang_up(self):
        for instance in self.pick_instances(3):
            instance.send_signal(signal.SIGHUP)

    async def cut_store(self):
        chosen = site_module.pick(self.rng, self.site.proxies, 3)
        mode = self.rng.choice(STORE_PROXY_MODES)
        for proxy in chosen:
            proxy.set(mode)
        await asyncio.sleep(self.rng.uniform(1, 6))
        for proxy in chosen:
            proxy.set("pass")

    async def slow_store(self):
        for proxy in self.site.proxies:
            proxy.set("pass", self.rng.uniform(0.05, 0.4))
        await asyncio.sleep(self.rng.uniform(1, 5))
        for proxy in self.site.proxies:
            proxy.set("pass")

    async def store_outage(self):
        await self.site.admin_request("/store", {"condition": self.rng.choice(("refusing", "silent", "losing"))})
        await asyncio.sleep(self.rng.uniform(0.5, 6))
        await self.site.admin_request("/store", {"condition": "up"})

    async def forget_history(self):
        await self.site.admin_request("/store", {"condition": "up", "forget": True})

    async def store_returns(self):
        """The store is away for a moment and returns from a copy some seconds old; overlapping returns may come from the same copy."""
        await self.site.admin_request("/store", {"condition": "up", "copy": True})
        await asyncio.sleep(self.rng.uniform(0.5, 5))
        await self.site.admin_request("/store", {"condition": "up", "other_writes": self.rng.randint(0, 300)})
        if self.is_planned_run:
            await self.configure()  # At a revision that will be given out again.
            await asyncio.sleep(0.5)
        await self.site.admin_request("/store", {"condition": self.rng.choice(("refusing", "silent"))})
        await asyncio.sleep(self.rng.uniform(0, 1.5))
        await self.site.admin_request("/store", {"condition": "up", "return": True, "keep_watches": self.rng.random() < 0.5})
        self.store_returns_count += 1
        if self.is_planned_run:
            await self.check_configuration_after_return()

    async def check_configuration_after_return(self):
        """Changes the configuration some time after a return and finds instances that don't work with it in time."""
        count = self.store_returns_count
        await asyncio.sleep(site_module.REWRITE_SECONDS + self.rng.uniform(0, 2))
        await self.configure()
        version = self.version
        await asyncio.sleep(CONFIG_APPLY_SECONDS)
        if count != self.store_returns_count:
            return  # It may have been lost with another return.
        for instance, address in self.site.running_instances():
            try:
                held = await site_module.configuration_version(address)
            except (OSError, IndexError):
                continue  # It has just stopped or started.
            if 0 < held < version:
                self.findings.append(f"{instance.log}: configuration {held} was in force {CONFIG_APPLY_SECONDS} s after {version}")

    async def searchers_fail(self):
        chosen = site_module.pick(self.rng, [entry["id"] for entry in site_module.searchers()], 5)
        condition = self.rng.choice(SEARCHER_CONDITIONS)
        for searcher_id in chosen:
            await self.site.admin_request("/searcher", {"id": searcher_id, "action": condition})
        await asyncio.sleep(self.rng.uniform(0.5, 5))
        for searcher_id in chosen:
            await self.site.admin_request("/searcher", {"id": searcher_id, "action": "sound"})

    async def searcher_restarts(self):
        for entry in site_module.pick(self.rng, site_module.searchers(), 3):
            await self.site.admin_request("/searcher", {"id": entry["id"], "action": "restart"})

    async def searcher_drains(self):
        entry = self.rng.choice(site_module.searchers())
        await self.site.admin_request("/searcher", {"id": entry["id"], "action": "drain"})
        await asyncio.sleep(5)
        await self.site.admin_request("/searcher", {"id": entry["id"], "action": "restart"})

    async def configure(self):
        self.version += self.rng.randint(1, 5)
        changed = site_module.configuration(self.version, self.rng.choice("ab"), self.rng.choice((5000, 6000) if self.is_patient_run else (1200, 1500)))
        await self.site.admin_request("/configuration", changed)

    async def configure_often(self):
        for _ in range(6):
            await self.configure()
            await asyncio.sleep(0.2)

    async def evacuate(self):
        data_centre = self.rng.choice(site_module.DATA_CENTRES)
        await self.site.admin_request("/evacuation", {"data_centre": data_centre, "active": True})
        await asyncio.sleep(self.rng.uniform(1, 4))
        await self.site.admin_request("/evacuation", {"data_centre": data_centre, "active": False})
