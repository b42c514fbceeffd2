"""Users send odd requests: jobs that fit no machine, exceed their team's limit, or are no object."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world import *


async def case(w, trouble):
    await w.start()
    await w.ready()
    rig = w.rigs[0]
    more = 0.0004 if trouble else 0.0

    async def send(text, body, uid, allowed):
        s, a = await call(w.ctl[0].bind, "POST", "/submissions", body, 5)
        w.rec("submit", uid, f"({text})", json.dumps(body, separators=(",", ":")), "->", s, json.dumps(a))
        print(f"{text}: {s}")
        if trouble and s in (200, 201):
            w.break_rule("refusals of submissions", f"{uid} ({text}) is answered with {s}, expected {allowed}")
        if not trouble and s not in (200, 201):
            raise RuntimeError(f"a sound job is answered with {s}")

    # a task that needs a little more than any machine has
    job = w.job("j-000001", "batch", 1, run=2.0, cpus=rig["cpus"] + more, gpus=0.0, mem=8.0)
    await send(f"a task of {job['cpus']} CPUs, machines have {rig['cpus']}", job, "j-000001", 422)
    # a gang that needs a little more than its team may use: 8 tasks, limit 8 CPUs
    job = w.job("j-000002", "group", 8, run=2.0, cpus=1.0 + more, gpus=0.0, mem=1.0, crew="small")
    await send(f"a gang of {8 * job['cpus']:.4f} CPUs, its team may use 8", job, "j-000002", 422)
    # an array in place of an object, in the order of the page
    job = w.job("j-000003", "batch", 1, run=2.0, cpus=1.0, gpus=0.0)
    body = list(job.values()) if trouble else job
    await send("a JSON array" if trouble else "a JSON object", body, "j-000003", 400)
    # an object in place of a text
    job = w.job("j-000004", "batch", 1, run=2.0, cpus=1.0, gpus=0.0)
    await send("an object as `shape`" if trouble else "a text as `shape`",
               dict(job, shape={"batch": None}) if trouble else job, "j-000004", 400)
    # what becomes of them
    use = lambda: sum(w.specs[s.split("/")[0]]["cpus"] * len(v) for s, v in w.on_now.items()
                      if w.specs[s.split("/")[0]]["crew"] == "small")
    most, end = 0.0, now() + 40
    while now() < end:
        await asyncio.sleep(0.05)
        most = max(most, use())
    for k in range(1, 5):
        await w.ask(0, f"j-00000{k}")
    began = sorted({k[0].split("/")[0] for _, k, _ in w.starts})
    refused = sum(1 for line in open(os.path.join(HERE, "record.txt")) if "starts j-000001/0" in line)
    w.rec("jobs of which a task began:", began, "starts of j-000001/0 that its worker was told:", refused,
          f"CPUs of team `small` at the most: {most:.4f} of 8")
    print("began:", began, "| starts sent for j-000001/0:", refused, f"| team `small` used {most:.4f} of 8 CPUs")
    if most > 8.0 + 1e-6:
        w.break_rule("quota", f"team `small` used {most:.4f} CPUs, its limit is 8")
    if not trouble and len(began) != 4:
        raise RuntimeError("a sound job did not begin")

main(case, os.path.join(HERE, "record.txt"),
     teams=[dict(name="readers", cpus=64.0, cpus_max=256.0, gpus=24.0, gpus_max=64.0), dict(name="small", cpus=8.0, cpus_max=8.0)])
