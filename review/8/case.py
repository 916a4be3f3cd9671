"""An entry of another writer among the servers, and all processes killed at the same moment."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from lab import Client, config, route, run_case, service

RECOVERY_S = 12.0
DOWN_S = 1.0
BEFORE_S, JUDGED_S = 6.0, 8.0
# Fits into valueBytes, and fills the page of the list that it is on.
FOREIGN_BYTES = 1_000_000


async def case(lab, has_trouble):
    async def work(server, node, method, target, headers, body, base):
        lab.record.add("run", server=server.id, node=node, id=base.get("X-Bronzerun-Request-Id"))
        await asyncio.sleep(0.03)
        return server.success(base, b'{"stock": 3}')

    lab.store.put("config", "main", config(
        7, [route("r-shelf", "/shelf/", "shelf", "idempotent")], [service("shelf")],
        [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1}]))
    for index in range(6):
        await lab.add_server("shelf", f"i-{index:04d}", work)
    await lab.start()
    await lab.wait_ready()
    await asyncio.sleep(2)
    names = list(lab.nodes)
    sent = []
    is_over = asyncio.Event()

    async def caller(index):
        client = Client(lab, names[index % len(names)])
        while not is_over.is_set():
            at = lab.record.now()
            status, _, _ = await client.call("GET", f"/shelf/{index}", deadline_ms=2000)
            sent.append((at, status))
            await asyncio.sleep(0.2)

    tasks = [asyncio.create_task(caller(index)) for index in range(8)]
    if has_trouble:
        lab.store.put("servers", "backup of 12 May", {"service": None, "dump": "x" * FOREIGN_BYTES})
        lab.record.add("foreign entry written", name="backup of 12 May", bytes=FOREIGN_BYTES)
    await asyncio.sleep(BEFORE_S)
    killed_at = lab.record.now()
    lab.kill_nodes()
    await asyncio.sleep(DOWN_S)
    for name in names:
        lab.start_node(name)
    back_at = lab.record.now()
    await asyncio.sleep(RECOVERY_S + JUDGED_S)
    ready = [await lab.is_ready(name) for name in names]
    is_over.set()
    await asyncio.gather(*tasks)
    lab.check_alive()

    def share(statuses):
        return sum(status == 200 for status in statuses) / max(len(statuses), 1)

    before = share([status for at, status in sent if at < killed_at - 2])
    after = share([status for at, status in sent if at > back_at + RECOVERY_S])
    print(f"served before the final fault {before:.2f}, later than {RECOVERY_S} s after the machines "
          f"are back {after:.2f} (at least 0.25); ready at the end {ready}")
    return not (before >= 0.25 and after < 0.25)


run_case(case, Path(__file__).parent)
