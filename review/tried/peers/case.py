"""Jobs that others need are cancelled while the connections between the controllers are
refused. The jobs that need them must be reported as cancelled within `cancel_s`."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                                "standins"))
import world as standins  # noqa: E402
from world import CannotRun, Http  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
SETTINGS = {
    "zones": ["hall-a", "hall-b", "hall-c"],
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 40.0, "gang_peer_s": 6.0,
                "cancel_s": 35.0},
    "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 2.0, "list_lag_s": 4.0},
    "limits": {"cpu": 0.12, "mem_mb": 40.0, "sockets": 600},
    "rigs": {"g8": {"name": "g8", "cpus": 64.0, "accelerators": 8.0, "mem_gb": 256.0,
                    "cache_gb": 300.0, "pull_gb_per_s": 4.6, "hourly": 16.1,
                    "market_price": 5.32, "boot_s": 50.0, "yards": ["hall-a", "hall-b", "hall-c"]}},
    "capacity": {("g8", zone, False): 2 for zone in ("hall-a", "hall-b", "hall-c")},
    # The machines of this run are up within two seconds.
    "boot_s": 1.6,
}
TEAMS = [{"name": "shelf", "gpus": 24.0, "gpus_max": 500.0},
         {"name": "readers", "gpus": 20.0, "gpus_max": 500.0},
         {"name": "lists", "gpus": 16.0, "gpus_max": 500.0}]
LISTS, NEEDED_BY_EACH = 18, 6
REFUSED_S = 40.0
CANCEL_S = SETTINGS["workers"]["cancel_s"]


async def case(world, with_trouble):
    await world.start(TEAMS)
    await world.ready()
    await asyncio.sleep(3.0)
    clients = [Http(c.port) for c in world.controllers]
    # Prompt runs, more than there is room for, of one team; and the term lists of another
    # team, each of which needs some of them. Each user submits as soon as what it names is
    # accepted.
    needed = {}
    number = 0
    for index in range(LISTS):
        runs = []
        for _ in range(NEEDED_BY_EACH):
            number += 1
            runs.append(world.job(f"j-{number:06d}", crew="shelf", cpus=5.0, accelerators=1.0,
                                  mem_gb=18.0, expect_s=50.0, run_s=150.0))
        accepted = await asyncio.gather(*(
            world.submit(Http(clients[i % 3].port), job) for i, job in enumerate(runs)))
        number += 1
        job = world.job(f"j-{number:06d}", crew="lists", cpus=1.0, accelerators=0.0, mem_gb=3.2,
                        rank="urgent", expect_s=8.0, run_s=8.0,
                        awaits=[run["uid"] for run in runs])
        if not all(accepted) or not await world.submit(clients[index % 3], job):
            raise CannotRun("a job was not accepted")
        needed[job["uid"]] = [run["uid"] for run in runs]
    await asyncio.sleep(1.0)
    if with_trouble:
        world.record("case", "connections between controllers are refused from now on")
        for wire in world.wires.values():
            await wire.refuse()
    refused_at = world.record.now()
    await asyncio.sleep(1.0)

    # For each list, the user of one of the runs that it needs cancels that run.
    told = {}
    # The load balancer gives each user some controller; here every pair comes up.
    connections = [Http(clients[i % 3].port) for i in range(LISTS)]

    async def cancel(index, uid):
        stage = await world.abort(connections[index], needed[uid][-1])
        if stage is None or stage[0] != "aborted":
            raise CannotRun("a cancellation was not confirmed")
        told[uid] = stage[1]

    await asyncio.gather(*(cancel(i, uid) for i, uid in enumerate(needed)))

    # The users of the lists poll every 5 s, each on its own connection.
    users = {uid: Http(clients[i // 3 % 3].port) for i, uid in enumerate(needed)}
    broken, is_refused, next_poll = {}, with_trouble, 0.0
    while world.record.now() < max(told.values()) + CANCEL_S + 8.0:
        await asyncio.sleep(0.1)
        if is_refused and world.record.now() > refused_at + REFUSED_S:
            is_refused = False
            world.record("case", "connections between controllers are possible again")
            for wire in world.wires.values():
                await wire.open()
        if world.record.now() < next_poll:
            continue
        next_poll = world.record.now() + 5.0
        for uid, user in users.items():
            asked_at = world.record.now()
            status, stage = await world.ask(user, uid)
            if status == 200 and stage in ("pending", "running") \
                    and asked_at > told[uid] + CANCEL_S:
                broken[uid] = asked_at - told[uid]
        for task in world.starts:
            if task.split("/")[0] in needed:
                broken[task] = 0.0
    if broken:
        worst = max(broken.values())
        return (f"{len(broken)} of {LISTS} lists are called queued up to {worst:.1f} s after "
                f"their users were told that a job before them is cancelled")
    return None


standins.main(HERE, SETTINGS, case)
