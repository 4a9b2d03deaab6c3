"""A non-idempotent request runs twice after a late extra response to its first, refused send."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins as s

ADDRESSES = ("127.77.1.1", "127.77.1.2")
SEARCHERS = 2  # One of them is faulty at a time: half of the service's searchers.
GARBLED_SHARE = 0.04  # Of the faulty searcher's answers.
SPELLS = 4
SPELL_S = 5.0
SPELL_GAP_S = 1.0
WORK_S = 0.008
CALM_REQUESTS = 24  # Between two rounds, one after the other; they are never refused.


class Ledger(s.Searcher):
    """Hands out an extra copy of some of its refusals, late: where the answer to the next request on that connection is expected."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.is_faulty, self.answers, self.garbled = False, 0, 0
        self.late_copies = {}  # By connection.

    def set_faulty(self, is_faulty):
        self.is_faulty, self.answers, self.garbled = is_faulty, 0, 0
        self.late_copies.clear()

    async def on_request(self, writer, first_line, headers, body):
        self.answers += 1
        late_copy = self.late_copies.pop(writer, None)
        if late_copy:
            answer, request_id = late_copy
            self.record.write(f"searcher {self.id} sends late the extra response to id={request_id}; next request id={headers.get('request-id')}")
            writer.write(answer)
        return await super().on_request(writer, first_line, headers, body)

    async def send_refusal(self, writer, answer, request_id):
        await super().send_refusal(writer, answer, request_id)
        if self.is_faulty and self.garbled + 1 <= self.answers * GARBLED_SHARE:
            self.garbled += 1
            self.late_copies[writer] = (answer, request_id)


async def play_rounds(record, instances, statuses):
    """In each round, callers of one instance fill the searchers for some milliseconds; a caller of the other instance sends one request meanwhile."""
    fillers = [s.Client(record, instances[0]) for _ in range(4)]
    caller = s.Client(record, instances[1])
    end, number = time.monotonic() + SPELLS * (SPELL_S + SPELL_GAP_S), 0
    while time.monotonic() < end:
        number += 1
        filling = [asyncio.create_task(client.request("POST", "/credit/2f", f"fill-{number}-{i}", 6000, b"credit=1")) for i, client in enumerate(fillers)]
        await asyncio.sleep(0.004)
        request_id = f"credit-{number}"
        statuses[request_id] = (await caller.request("POST", "/credit/2f", request_id, 6000, b"credit=1"))[0]
        await asyncio.gather(*filling)
        for i in range(CALM_REQUESTS):
            request_id = f"calm-{number}-{i}"
            statuses[request_id] = (await caller.request("POST", "/credit/2f", request_id, 6000, b"credit=1"))[0]
    for client in fillers + [caller]:
        client.close()


async def play_spells(record, searchers, has_trouble):
    """Makes the searcher that had most to do in the last second faulty for a while, again and again."""
    for _ in range(SPELLS):
        for searcher in searchers:
            searcher.set_faulty(False)
        await asyncio.sleep(SPELL_GAP_S)
        faulty = max(searchers, key=lambda searcher: searcher.answers)
        faulty.set_faulty(has_trouble)
        record.write(f"searcher {faulty.id} is faulty: {has_trouble}")
        await asyncio.sleep(SPELL_S)
        record.write(f"summary: answers of {faulty.id} in this spell {faulty.answers}, with an extra copy {faulty.garbled}")


async def play(record, folder, has_trouble):
    store = s.Store(record)
    await store.start()
    services = ["ledger"]
    await store.put("config", "main", s.configuration(7, [("credit", "/credit/", {"RouteType": "non_idempotent", "Service": "ledger"})], services))
    searchers = [Ledger(record, store, "ledger", f"i-ledger{i}", slots=1, queue=1, work_s=WORK_S) for i in range(SEARCHERS)]
    ports = s.make_ports(ADDRESSES)
    instances = [s.Instance(record, store, folder, f"front-{i + 1}", address, ports, ADDRESSES) for i, address in enumerate(ADDRESSES)]
    statuses = {}
    try:
        for searcher in searchers:
            await searcher.start()
        for instance in instances:
            instance.start()
        await s.wait_until_ready(instances)
        await asyncio.sleep(2)
        await asyncio.gather(play_rounds(record, instances, statuses), play_spells(record, searchers, has_trouble))
    finally:
        for instance in instances:
            instance.kill()
        for searcher in searchers:
            searcher.stop()
        store.stop()
    runs = {}
    for searcher in searchers:
        for _, request_id in searcher.runs:
            runs[request_id] = runs.get(request_id, 0) + 1
    repeated = {request_id: count for request_id, count in runs.items() if count > 1}
    refused_but_run = sorted(request_id for request_id, status in statuses.items() if status == 503 and request_id in runs)
    record.write(f"summary: {len(runs)} requests run; TWICE {repeated}; refused with 503 and run: {refused_but_run}")
    return not repeated


if __name__ == "__main__":
    sys.exit(s.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), play))
