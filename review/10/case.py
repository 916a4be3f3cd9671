"""A request that crashes its servers comes again after all processes were killed at the same moment."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from lab import Client, config, route, run_case, service

SERVERS = 12
SERVER_DOWN_S, NODE_DOWN_S = 3.0, 1.0
CONTACT_S = 3.0
# Beyond the bound, for the way from a node to a server and for the start of a process.
MARGIN_S = 1.5
PATH = "/shelf/7f3a"
GAP_S = 0.15


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
        await asyncio.sleep(SERVER_DOWN_S)
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

    async def sound(index):
        client = Client(lab, names[index % len(names)])
        count = 0
        while not is_over.is_set():
            count += 1
            await client.call("GET", f"/shelf/s{index}-{count}", log=False)
            await asyncio.sleep(0.1)

    async def repeat(seconds):
        calls = []
        start = lab.record.now()
        while lab.record.now() - start < seconds:
            client = Client(lab, names[len(calls) % len(names)])
            calls.append(asyncio.create_task(client.call("GET", PATH)))
            await asyncio.sleep(GAP_S)
        return [status for status, _, _ in await asyncio.gather(*calls)]

    tasks = [asyncio.create_task(sound(index)) for index in range(8)]
    await asyncio.sleep(4)
    first = await repeat(8)
    await asyncio.sleep(2)
    back_at = lab.record.now()
    if has_trouble:
        lab.kill_nodes()
        await asyncio.sleep(NODE_DOWN_S)
        for name in names:
            lab.start_node(name)
        back_at = lab.record.now()
    await asyncio.sleep(CONTACT_S + MARGIN_S)
    second = await repeat(8)
    is_over.set()
    await asyncio.gather(*tasks)
    lab.check_alive()
    third = crashes[2] if len(crashes) > 2 else None
    late = [at for at in arrivals if third is not None and at > third + CONTACT_S + 0.2]
    in_touch = [at for at in late if at < back_at - NODE_DOWN_S or at > back_at + CONTACT_S + 1.0]
    print(f"answers before {first}, after {second}; crashes {len(crashes)}; arrivals at servers later "
          f"than {CONTACT_S} s after the third crash, from machines in touch: {len(in_touch)} (3 allowed)")
    return len(in_touch) <= 3


run_case(case, Path(__file__).parent)
