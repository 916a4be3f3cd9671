"""A route that lets requests run once only is added below an idempotent one, and the store turns a node away."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from lab import Client, config, route, run_case, service

SERVERS = 6
WORK_S, SLOW_WORK_S = 0.06, 0.4
TURNED_AWAY_S = 9.0
ROUNDS, ROUND_S = 5, 1.6
# Requests of a round: from this time after the acknowledgement on, for so long, one each gap.
FIRST_S, LAST_S, GAP_S = 0.01, 0.2, 0.004
# Between the arrival of a node's request at a server and what a client saw of that node before.
MARGIN_S = 0.05


async def case(lab, has_trouble):
    runs = {}

    async def work(server, node, method, target, headers, body, base):
        request_id = base.get("X-Bronzerun-Request-Id")
        at = lab.record.add("run", server=server.id, node=node, id=request_id, path=target)
        runs.setdefault(request_id, []).append((at, server.id, node))
        await asyncio.sleep(SLOW_WORK_S if "/vip" in target else 0 if "/seen" in target else WORK_S)
        return server.success(base, b'{"done": true}')

    services = [service("shelf")]
    tenants = [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1}]
    routes = [route("r-shelf", "/shelf/", "shelf", "idempotent", attempts=2)]
    lab.store.put("config", "main", config(7, routes, services, tenants))
    for index in range(SERVERS):
        await lab.add_server("shelf", f"i-{index:04d}", work)
    await lab.start()
    await lab.wait_ready()
    await asyncio.sleep(4)
    is_over = asyncio.Event()

    async def sound(node, index):
        client, count = Client(lab, node), 0
        while not is_over.is_set():
            count += 1
            await client.call("GET", f"/shelf/{index}-{count}", log=False)
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(sound(node, index)) for index, node in enumerate(lab.nodes)]
    if has_trouble:
        lab.store.turn_away({0})
    await asyncio.sleep(0.5)
    # By request: when it was sent and which version had made it one that runs once.
    sent, applied, acknowledged = {}, {}, {}

    async def watch_version(version, path):
        client = Client(lab, "node-1")
        while version not in applied and not is_over.is_set():
            status, _, _ = await client.call("GET", path, log=False)
            if status == 200:
                applied[version] = lab.record.add("version seen", node="node-1", version=version)
            await asyncio.sleep(0.01)

    calls = []
    for number in range(ROUNDS):
        version = 10 + number
        routes = routes + [
            route(f"r-vip{number}", f"/shelf/vip{number}/", "shelf", "non_idempotent"),
            route(f"r-seen{number}", f"/seen{number}/", "shelf", "idempotent")]
        lab.store.put("config", "main", config(version, routes, services, tenants))
        acknowledged[version] = lab.record.add("configuration acknowledged", version=version)
        tasks.append(asyncio.create_task(watch_version(version, f"/seen{number}/")))
        start = lab.record.now()
        await asyncio.sleep(FIRST_S)
        while lab.record.now() - start < LAST_S:
            client = Client(lab, "node-1")
            request_id = client.next_id()
            sent[request_id] = (lab.record.now(), version)
            path = f"/shelf/vip{number}/{request_id}"
            calls.append(asyncio.create_task(client.call("POST", path, b"x", request_id=request_id)))
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(max(0, start + ROUND_S - lab.record.now()))
    await asyncio.gather(*calls)
    is_over.set()
    lab.store.turn_away(set())
    await asyncio.gather(*tasks)
    lab.check_alive()
    twice = [request_id for request_id in sent if len(runs.get(request_id, [])) > 1]
    # Sent again by a node that had shown before that the version was in force there.
    known = [request_id for request_id in twice
             if runs[request_id][1][0] > applied.get(sent[request_id][1], float("inf")) + MARGIN_S]
    delays = [round(applied[version] - acknowledged[version], 3) for version in sorted(applied)]
    print(f"once-only requests {len(sent)}, all sent after the acknowledgement; run twice {len(twice)}, of "
          f"these sent again after the node had shown the version {len(known)} (none allowed); the "
          f"node showed the versions {delays} s after their acknowledgement")
    return not known


run_case(case, Path(__file__).parent)
