"""One-task jobs come four a second, and some jobs need them. Once the burst is over, the users of
the jobs that need them ask on, each on its open connection."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                                "standins"))
import world as standins  # noqa: E402
from world import CannotRun, Http  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
ZONES = ["lagos-hall", "abuja-room", "ibadan-rack", "kano-cloud"]
NODES = 7
SETTINGS = {
    "zones": [ZONES[i % 4] for i in range(NODES)],
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 40.0, "gang_peer_s": 6.0,
                "cancel_s": 35.0},
    "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 2.0, "list_lag_s": 4.0},
    "limits": {"cpu": 0.12, "mem_mb": 40.0, "sockets": 600},
    "rigs": {"iroko-gpu": {"name": "iroko-gpu", "cpus": 64.0, "accelerators": 8.0, "mem_gb": 256.0,
                           "cache_gb": 300.0, "pull_gb_per_s": 4.6, "hourly": 16.1,
                           "market_price": 5.32, "boot_s": 50.0, "yards": ZONES}},
    "capacity": {("iroko-gpu", zone, False): 1 for zone in ZONES},
    # The machines of this run are up within two seconds.
    "boot_s": 1.6,
}
TEAMS = [{"name": f"digital-shelf-{i:02d}", "gpus": 70.0, "gpus_max": 250.0} for i in range(16)]
PER_S, BURST_S = 4.0, 14.0
FORGOTTEN_S = 75.0


async def case(world, with_trouble):
    await world.start(TEAMS)
    await world.ready()
    await asyncio.sleep(2.0)
    ports = [c.port for c in world.controllers]
    count = int(PER_S * BURST_S) if with_trouble else 8

    async def submit(client, number, team, needs, **fields):
        job = world.job(f"j-{number:06d}", crew=TEAMS[team]["name"], awaits=needs, **fields)
        if not await world.submit(client, job):
            raise CannotRun("a job was not accepted")
        return job["uid"]

    runs = {"cpus": 5.0, "mem_gb": 18.0, "expect_s": 50.0, "run_s": 180.0}
    lists = {"cpus": 1.0, "accelerators": 0.0, "mem_gb": 3.2, "rank": "urgent", "expect_s": 8.0,
             "run_s": 8.0}
    burst = []
    for i in range(count):
        burst.append(asyncio.ensure_future(submit(Http(ports[i % NODES]), i + 1, 0, [], **runs)))
        await asyncio.sleep(1 / PER_S)
    uids = await asyncio.gather(*burst)
    # Lists that need all of them together, then one more list for a user at each controller.
    for i in range(NODES):
        if needs := uids[i::NODES]:
            await submit(Http(ports[i]), 901 + i, 1, needs, **lists)
    users = {}
    for i in range(NODES):
        client = Http(ports[i])
        users[await submit(client, 951 + i, 1, [uids[i]], **lists)] = client
    over = world.record.now()
    world.record("case", "the burst is over")
    answered = {uid: over for uid in users}
    while world.record.now() < (116.0 if with_trouble else over + 60):
        for uid, user in users.items():
            status, _ = await world.ask(user, uid)
            now = world.record.now()
            if status in (200, 404):
                answered[uid] = now
            if now - answered[uid] > FORGOTTEN_S:
                return f"no question about {uid} was answered for {now - answered[uid]:.1f} s"
        await asyncio.sleep(min(5.0, max(0.1, 116.0 - world.record.now())))
    return None


standins.main(HERE, SETTINGS, case)
