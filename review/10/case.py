"""A request that crashes its servers, at a node that is partitioned from all servers."""
import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from lab import Client, config, route, run_case, service

SERVERS = 12
DOWN_S = 3.0
CONTACT_S = 3.0
# Beyond the bound, for the way from a node to a server.
MARGIN_S = 0.2
PATH = "/shelf/7f3a"
CUT_S = 5.5
# When the request comes, in seconds from the beginning of the cut.
REPEATS_AT = (1.5, 1.8, 5.1, 5.15, 5.2, 5.25, 5.3, 5.35)


async def case(lab, has_trouble):
    crashes, arrivals = [], []

    async def work(server, node, method, target, headers, body, base):
        is_deadly = target == PATH
        now = lab.record.add("run", server=server.id, node=node, deadly=is_deadly,
                             id=base.get("X-Bronzerun-Request-Id"))
        if is_deadly:
            arrivals.append(now)
            crashes.append(now)
            asyncio.create_task(come_back())
            server.crash()
            await asyncio.Event().wait()
        await asyncio.sleep(0.03)
        return server.success(base, b'{"stock": 3}')

    starts = iter(range(1, 10_000))

    async def add():
        return await lab.add_server("shelf", f"i-{next(starts):04d}", work)

    async def come_back():
        await asyncio.sleep(DOWN_S)
        await add()

    lab.store.put("config", "main", config(
        7, [route("r-shelf", "/shelf/", "shelf", "idempotent")], [service("shelf")],
        [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1}]))
    for _ in range(SERVERS):
        await add()
    await lab.start()
    await lab.wait_ready()
    names = list(lab.nodes)
    is_over = asyncio.Event()
    statuses = {}

    async def sound(index):
        node = names[index % len(names)]
        client = Client(lab, node)
        count = 0
        while not is_over.is_set():
            count += 1
            status, _, _ = await client.call("GET", f"/shelf/s{index}-{count}", log=False)
            key = (node, status)
            statuses[key] = statuses.get(key, 0) + 1
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(sound(index)) for index in range(8)]
    await asyncio.sleep(4)
    if has_trouble:
        lab.cut_from_servers("node-1")
    start = lab.record.now()
    calls = []
    for at in REPEATS_AT:
        await asyncio.sleep(max(0, start + at - lab.record.now()))
        client = Client(lab, "node-1")
        calls.append(asyncio.create_task(client.call("GET", PATH)))
    await asyncio.sleep(max(0, start + CUT_S - lab.record.now()))
    if has_trouble:
        lab.heal("node-1")
    outcomes = await asyncio.gather(*calls)
    await asyncio.sleep(2)
    is_over.set()
    await asyncio.gather(*tasks)
    lab.check_alive()
    third = crashes[2] if len(crashes) > 2 else None
    late = [at for at in arrivals if third is not None and at > third + CONTACT_S + MARGIN_S]
    tally = {}
    for status, _, _ in outcomes:
        tally[status] = tally.get(status, 0) + 1
    print(f"repeats {len(outcomes)}, answered {tally}; sound answers {statuses}; crashes "
          f"{len(crashes)}; arrivals at servers later than {CONTACT_S} s after the third crash: "
          f"{len(late)} (3 allowed)")
    return len(late) <= 3


run_case(case, Path(__file__).parent)
