"""The first jobs of pipelines are cancelled, and a moment later the state service is out for
longer than `cancel_s`. The jobs that need them must not be called queued after that time."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as standins  # noqa: E402
from world import CannotRun, Http  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
ZONES = ["hall-a", "hall-b", "hall-c"]
SETTINGS = {
    "zones": ZONES,
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 40.0, "gang_peer_s": 6.0,
                "cancel_s": 35.0},
    "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 2.0, "list_lag_s": 4.0},
    "limits": {"cpu": 0.12, "mem_mb": 40.0, "sockets": 600},
    "rigs": {"iroko-gpu": {"name": "iroko-gpu", "cpus": 64.0, "accelerators": 8.0, "mem_gb": 256.0,
                           "cache_gb": 300.0, "pull_gb_per_s": 4.6, "hourly": 16.1,
                           "market_price": 5.32, "boot_s": 50.0, "yards": ZONES}},
    "capacity": {("iroko-gpu", zone, False): 2 for zone in ZONES},
    # The machines of this run are up within two seconds.
    "boot_s": 1.6,
}
TEAMS = [{"name": "shelf-1", "gpus": 24.0, "gpus_max": 500.0},
         {"name": "shelf-2", "gpus": 24.0, "gpus_max": 500.0},
         {"name": "shelf-3", "gpus": 24.0, "gpus_max": 500.0}]
# As in the site file's pipeline: one job, then some that need it, then one that needs those.
PIPELINES, MIDDLE = 40, 3
OUTAGE_S = 45.0
CANCEL_S = SETTINGS["workers"]["cancel_s"]


async def case(world, with_trouble):
    await world.start(TEAMS)
    await world.ready()
    await asyncio.sleep(3.0)
    ports = [c.port for c in world.controllers]
    small = {"cpus": 1.0, "accelerators": 0.0, "mem_gb": 3.2}
    # epub-clean, page-chunk and term-list of each new book, by three teams; each user submits
    # the next as soon as the one before is accepted.
    pipelines, users = [], {}

    async def submit_pipeline(index):
        client, number = Http(ports[index % 3]), index * (MIDDLE + 2)

        async def submit(place, team, needs, rank):
            job = world.job(f"j-{number + place:06d}", crew=TEAMS[team]["name"], rank=rank,
                            shifts=2, expect_s=25.0, run_s=60.0, awaits=needs, **small)
            if not await world.submit(client, job):
                raise CannotRun("a job was not accepted")
            return job["uid"]

        first = await submit(1, 0, [], "idle")
        middle = [await submit(2 + i, 1, [first], "idle") for i in range(MIDDLE)]
        last = await submit(2 + MIDDLE, 2, middle, "urgent")
        pipelines.append((first, last))
        users[last] = client

    await asyncio.gather(*(submit_pipeline(i) for i in range(PIPELINES)))
    await asyncio.sleep(2.0)

    # The first job of each is cancelled; a moment later the state service is out.
    told = {}

    async def cancel(index, stages):
        await asyncio.sleep(0.2 * index / PIPELINES)
        answer = await world.abort(Http(ports[index % 3]), stages[0], limit=100)
        if answer is not None and answer[0] == "aborted":
            told[stages[0]] = answer[1]

    cancels = [asyncio.ensure_future(cancel(i, p)) for i, p in enumerate(pipelines)]
    await asyncio.sleep(1.5)
    began = world.record.now()
    if with_trouble:
        world.state.begin_outage()
    broken = {}

    # Each user asks about the last job of the pipeline every 5 s on its connection.
    async def poll(stages):
        await asyncio.sleep(random.uniform(0, 5))
        while True:
            asked_at = world.record.now()
            status, stage = await world.ask(users[stages[-1]], stages[-1])
            since = told.get(stages[0])
            if status == 200 and stage in ("pending", "running") and since is not None \
                    and asked_at > since + CANCEL_S:
                broken[stages[-1]] = max(broken.get(stages[-1], 0), asked_at - since)
            await asyncio.sleep(max(0.0, asked_at + 5.0 - world.record.now()))

    polls = [asyncio.ensure_future(poll(p)) for p in pipelines]
    await asyncio.sleep(OUTAGE_S)
    if with_trouble:
        world.state.end_outage()
    await asyncio.sleep(15.0)
    for task in polls + cancels:
        task.cancel()
    if not told:
        raise CannotRun("no cancellation was confirmed before the outage")
    world.record("case", f"{sum(at < began for at in told.values())} cancellations were confirmed "
                 "before the outage")
    if broken:
        return (f"{len(broken)} of {PIPELINES} last jobs are called queued up to "
                f"{max(broken.values()):.1f} s after the first was confirmed as cancelled")
    return None


standins.main(HERE, SETTINGS, case)
