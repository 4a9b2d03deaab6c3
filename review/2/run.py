"""An instance that was frozen hands its outdated catalogue to the others during an outage of the store, and they go back to using an evacuated zone."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins as s

ADDRESSES = ("127.77.2.1", "127.77.2.2", "127.77.2.3")
ZONES = ("zone-a", "zone-b", "zone-c")
EVACUATED = "zone-a"
WATCH_S = 10.0  # WaitMs of the instances' watches.
FREEZE_BEFORE_WATCH_END_S = 1.5
FREEZE_S = 4.0
EVACUATION_AFTER_S = 1.8  # After the begin of the freeze, as are the next two.
OUTAGE_AFTER_S = 2.0
OUTAGE_S = 4.5
CONTACT_S, EVACUATION_BOUND_S = 4.0, 5.0  # ContactMs and EvacuationMs of the settings.
CHECKED_S = 6.0
REQUESTS_PER_S = 40


async def send_requests(record, instances, is_over):
    async def run_client(client, number):
        count = 0
        while not is_over.is_set():
            count += 1
            await client.request("GET", "/lookup/2f", f"lookup-{number}-{count}", 2000)
            await asyncio.sleep(8 / REQUESTS_PER_S)
        client.close()

    await asyncio.gather(*(run_client(s.Client(record, instances[i % len(instances)]), i) for i in range(8)))


async def wait_for_watch_end(store, port):
    """Waits until the watch of evacuations of the instance at this port of the store is about to end."""
    while (port, "evacuations") not in store.watches_begun:
        await asyncio.sleep(0.05)
    begun = store.watches_begun[port, "evacuations"]
    await asyncio.sleep(max(0.0, begun + WATCH_S - FREEZE_BEFORE_WATCH_END_S - time.monotonic()))


async def play(record, folder, has_trouble):
    store = s.Store(record)
    await store.start()
    frozen_port = await store.listen()
    await store.put("config", "main", s.configuration(7, [("lookup", "/lookup/", {"RouteType": "idempotent", "Service": "ledger"})], ["ledger"]))
    searchers = [s.Searcher(record, store, "ledger", f"i-ledger{i}", zone=ZONES[i % 2], slots=4) for i in range(4)]
    ports = s.make_ports(ADDRESSES)
    extras = [{}, {}, {"platform.Address": f"{store.address}:{frozen_port}"}]
    instances = [s.Instance(record, store, folder, f"front-{i + 1}", ADDRESSES[i], ports, ADDRESSES, zone=ZONES[i], extra=extras[i]) for i in range(3)]
    is_over = asyncio.Event()
    try:
        for searcher in searchers:
            await searcher.start()
        for instance in instances:
            instance.start()
        await s.wait_until_ready(instances)
        await asyncio.sleep(CONTACT_S)
        traffic = asyncio.create_task(send_requests(record, instances[:2], is_over))
        await wait_for_watch_end(store, frozen_port)
        frozen_at = time.monotonic()
        if has_trouble:
            instances[2].signal(signal.SIGSTOP)
        await asyncio.sleep(EVACUATION_AFTER_S)
        await store.put("evacuations", EVACUATED, {})
        evacuated_at = time.monotonic()
        record.write(f"operator puts evacuations/{EVACUATED}, acknowledged")
        await asyncio.sleep(frozen_at + OUTAGE_AFTER_S - time.monotonic())
        store.is_silent = has_trouble
        record.write(f"store is silent: {has_trouble}")
        await asyncio.sleep(frozen_at + FREEZE_S - time.monotonic())
        if has_trouble:
            instances[2].signal(signal.SIGCONT)
        await asyncio.sleep(frozen_at + OUTAGE_AFTER_S + OUTAGE_S - time.monotonic())
        store.is_silent = False
        back_at = time.monotonic()
        record.write("store answers")
        await asyncio.sleep(CONTACT_S + CHECKED_S)
        checked_until = time.monotonic()
        is_over.set()
        await traffic
    finally:
        for instance in instances:
            instance.kill()
        for searcher in searchers:
            searcher.stop()
        store.stop()
    since = max(evacuated_at + EVACUATION_BOUND_S, back_at + CONTACT_S)
    late = [at for searcher in searchers if searcher.zone == EVACUATED for at, _ in searcher.runs if since < at < checked_until]
    runs = sum(1 for searcher in searchers for at, _ in searcher.runs if since < at < checked_until)
    before = sum(1 for searcher in searchers if searcher.zone == EVACUATED for at, _ in searcher.runs if at < evacuated_at)
    record.write(f"summary: {EVACUATED} ran {before} requests before the evacuation; later than {since - evacuated_at:.1f} s after it {len(late)} of {runs}")
    if runs == 0 or before == 0:
        raise s.CannotRun("no requests were run")
    return not late


if __name__ == "__main__":
    sys.exit(s.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), play))
