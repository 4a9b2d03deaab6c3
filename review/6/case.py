"""One proper request with an empty chunked body ends the process, if its last bytes come in three segments."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins_2 as standins  # noqa: E402

STORE_PORT = 7100
CALLERS = 20
SEGMENT_S = 0.05
# The body is empty: only the last chunk and the end of the trailer.
BODY = [b"0\r\n", b"\r", b"\n"] if standins.TROUBLE else [b"0\r\n\r\n"]


async def call(address, number, outcomes, ran_before_end, sent, answered):
    """An ordinary caller: asks again and again on a kept connection."""
    count = 0
    try:
        reader, writer = await asyncio.open_connection(address, standins.CALLER_PORT)
        while True:
            count += 1
            request = f"c{number}n{count}"
            ran_before_end[number] = request
            sent.append(request)
            writer.write(f"POST /credit/{request} HTTP/1.1\r\nHost: {standins.HOST}\r\nRequest-Id: {request}\r\nDeadline-Ms: 5000\r\n"
                         "Content-Length: 6\r\n\r\ncredit".encode())
            status, _, _ = await standins.read_answer(reader)
            ran_before_end.pop(number)
            answered[request] = status
            outcomes[status] = outcomes.get(status, 0) + 1
            await asyncio.sleep(0.01)
    except (OSError, asyncio.IncompleteReadError) as failed:
        outcomes[type(failed).__name__] = outcomes.get(type(failed).__name__, 0) + 1


async def chunked(address, record):
    """One request inside all limits, with a chunked body. Returns its answer."""
    reader, writer = await asyncio.open_connection(address, standins.CALLER_PORT)
    writer.write(f"POST /credit/odd HTTP/1.1\r\nHost: {standins.HOST}\r\nRequest-Id: odd\r\nDeadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    for piece in BODY:
        await asyncio.sleep(SEGMENT_S)
        writer.write(piece)
        record.write(f"sent {piece!r}")
    try:
        status, _, _ = await asyncio.wait_for(standins.read_answer(reader), 5)
        return status
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failed:
        return type(failed).__name__


async def case(record, files):
    prefix = standins.free_prefix()
    store = standins.Store(f"{prefix}.2", STORE_PORT)
    await store.start()
    searchers = [standins.Searcher(store, f"{prefix}.{100 + i}", 9000, f"i-ledger-{i}", "ledger", "burnaby-a", work_ms=90) for i in range(5)]
    for searcher in searchers:
        await searcher.start()
    routes = [standins.base_route("credit", "/credit/", "non_idempotent", timeout_ms=6000, slo_ms=400, Service="ledger")]
    store.put("config", "main", standins.configuration(routes, ["ledger"]))
    instance = standins.Instance(prefix, store, files)
    instance.start()
    outcomes, waiting, callers, sent, answered = {}, {}, [], [], {}
    try:
        await instance.wait_ready()
        await asyncio.sleep(4)
        callers = [asyncio.ensure_future(call(instance.address, number, outcomes, waiting, sent, answered)) for number in range(CALLERS)]
        await asyncio.sleep(3)
        record.say(f"{CALLERS} ordinary callers before: {outcomes}")
        outcome = await chunked(instance.address, record)
        if isinstance(outcome, int):
            answered["odd"] = outcome
        record.say(f"the request with a chunked body got {outcome}")
        await asyncio.sleep(2)
        ran = set().union(*(searcher.ran for searcher in searchers))
        lost = [request for request in waiting.values() if request in ran] if not instance.is_running() else []
        record.say(f"ordinary callers after: {outcomes}; requests of theirs that ran and were never answered: {len(lost)}")
        ended = not instance.is_running()
        record.say(f"the process {f'ended by itself with {instance.process.poll()}' if ended else 'still runs'}")
        with open(instance.log_file, encoding="utf-8", errors="replace") as log:
            record.write(f"last line of its output: {log.readlines()[-1].strip()}")
    finally:
        for caller in callers:
            caller.cancel()
        instance.stop()
        store.stop()
        for searcher in searchers:
            searcher.stop()
    record.write_requests(sent + ["odd"], answered, searchers)
    return ended


sys.exit(standins.run_case(os.path.join(FOLDER, "record.txt"), case))
