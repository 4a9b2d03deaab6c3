"""A planned stop ends requests that searchers are at work on, before the grace period is over."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins as s

ADDRESSES = ("127.77.4.1", "127.77.4.2")
ROLL_GAP_S = 1.0  # roll_term stops one machine after the other with this pause.
RESTART_DELAY_S = 0.5  # After the end of a process.
GRACE_S = 6  # GraceS of the settings.
SENT_AFTER_S = (3.6, 3.7, 3.8, 3.9)  # After the SIGTERM of the instance that takes the request, each on its own kept connection.
WORK_S = 2.05  # A third of the caller's deadline; the last answer is due 5.95 s after the SIGTERM, within the grace period.
DEADLINE_MS = 6000


class Platform:
    """Stops an instance as the platform does: SIGTERM, and SIGKILL after GraceS. Starts it again soon after its end."""

    def __init__(self, record):
        self.record = record

    async def stop(self, instance):
        instance.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        while time.monotonic() < stopped_at + GRACE_S and instance.process.poll() is None:
            await asyncio.sleep(0.02)
        self.record.write(f"instance {instance.name} ran for {time.monotonic() - stopped_at:.2f} s after the SIGTERM")
        instance.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        instance.start()


async def send_late(record, client, number, delay_s, stopped_at):
    await asyncio.sleep(stopped_at + delay_s - time.monotonic())
    sent_at = time.monotonic()
    # No directory names another machine, so the client keeps the address that it has and its open connection.
    answers = [await s.ask(address, client.instance.ports["directory"], f"/v1/resolve?Name={s.HOST}&Region=region&Zone=zone-a") for address in ADDRESSES]
    record.write(f"directory answers {[answer and answer[0] for answer in answers]}")
    status = (await client.request("POST", "/credit/2f", f"late-{number}", DEADLINE_MS, b"credit=1"))[0]
    record.write(f"request late-{number}: sent {sent_at - stopped_at:.2f} s after the SIGTERM, status {status}, took {time.monotonic() - sent_at:.2f} s")
    return status


async def play(record, folder, has_trouble):
    store = s.Store(record)
    await store.start()
    await store.put("config", "main", s.configuration(7, [("credit", "/credit/", {"RouteType": "non_idempotent", "Service": "ledger"})], ["ledger"]))
    searchers = [s.Searcher(record, store, "ledger", f"i-ledger{i}", slots=4, work_s=0.05) for i in range(3)]
    ports = s.make_ports(ADDRESSES)
    instances = [s.Instance(record, store, folder, f"front-{i + 1}", address, ports, ADDRESSES) for i, address in enumerate(ADDRESSES)]
    try:
        for searcher in searchers:
            await searcher.start()
        for instance in instances:
            instance.start()
        await s.wait_until_ready(instances)
        await asyncio.sleep(5)
        clients = [s.Client(record, instances[1]) for _ in SENT_AFTER_S]
        early = [(await client.request("POST", "/credit/2f", f"early-{i}", DEADLINE_MS, b"credit=1"))[0] for i, client in enumerate(clients)]
        if early != [200] * len(clients):
            raise s.CannotRun(f"requests before the stop got {early}")
        for searcher in searchers:
            searcher.work_s = WORK_S
        stops, stopped_at = [], time.monotonic()
        if has_trouble:
            stops.append(asyncio.create_task(Platform(record).stop(instances[0])))
            await asyncio.sleep(ROLL_GAP_S)
            stopped_at = time.monotonic()
            stops.append(asyncio.create_task(Platform(record).stop(instances[1])))
        statuses = await asyncio.gather(*(send_late(record, client, i, delay, stopped_at) for i, (client, delay) in enumerate(zip(clients, SENT_AFTER_S))))
        await asyncio.gather(*stops)
    finally:
        for instance in instances:
            instance.kill()
        for searcher in searchers:
            searcher.stop()
        store.stop()
    runs = {request_id for searcher in searchers for _, request_id in searcher.runs}
    lost = [f"late-{i}" for i, status in enumerate(statuses) if status == 0 and f"late-{i}" in runs]
    record.write(f"summary: statuses {statuses}; passed on to a searcher and ended without an answer: {lost}")
    return not lost


if __name__ == "__main__":
    sys.exit(s.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), play))
