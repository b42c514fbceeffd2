"""A transaction that was carried out is repeated late: the intent of a rental that is over comes back."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world import *

WAIT_S = 90.0


def room(w, spec):
    """Machines that are up, fit a task of the job and have room for it."""
    fits = []
    for x in w.workers.values():
        rig = w.rig[x.rig]
        use = lambda f: sum(w.specs[k[0].split("/")[0]][f] for k, t in x.tasks.items() if t["stage"] != "exited")
        if x.up and all(use(f) + spec[f] <= rig[f] for f in ("cpus", "accelerators", "mem_gb")):
            fits.append(x.name)
    return fits


async def case(w, trouble):
    posts = []
    act = w.cl.act

    async def counted(who, method, path, q, body):
        if method == "POST" and path == "/machines":
            posts.append(body["charter"])
            w.rec("controller", who, "asks for machines", json.dumps(body))
        return await act(who, method, path, q, body)
    w.cl.act = counted
    await w.start()
    await w.ready()
    # a service of each of two teams; the first fills its machine, the machine of the second has room
    w.job("j-000001", "standing", 1, rank="production", crew="shelf-a", gpus=8.0, roster="sweep")
    await w.submit(0, w.specs["j-000001"])
    await w.until(lambda: w.running("j-000001") == 1, 30, "the first service does not start")
    w.job("j-000002", "standing", 1, rank="production", crew="shelf-b", gpus=1.0, roster="sweep")
    await w.submit(1, w.specs["j-000002"])
    await w.until(lambda: w.running("j-000002") == 1, 30, "the second service does not start")
    await w.until(lambda: not any(k.startswith("c/charter/") for k in w.st.keys), 10, "a rental is not recorded")
    # machines that were rented beside are returned
    quiet = now()
    while now() < quiet + 2:
        await asyncio.sleep(0.1)
        if len(w.workers) != 2 or any(k.startswith("c/charter/") for k in w.st.keys):
            quiet = now()
    # a controller that does not lead ends and is back
    leader = w.names.index(w.st.keys["c/leader"]["data"]["node"])
    other = (leader + 1) % 3
    w.ctl[other].kill()
    await asyncio.sleep(0.5)
    w.ctl[other].spawn()
    await w.ready([other])
    if trouble:
        name = next(c for c, m in w.cl.charters.items() if w.on_now["j-000001/0"][0][0] in m)
        body = next(b for b in w.st.carried_out if any(x.get("put") == "c/charter/" + name for x in b["writes"]))
        w.rec("a transaction that was carried out is repeated", json.dumps(body))
        s, a = await call(w.ctl[leader].state, "POST", "/txn", body)
        w.rec("->", s, json.dumps(a))
    await asyncio.sleep(1)
    # the troubles are over; the first team submits a small job
    spec = w.job("j-000003", "batch", 1, run=3.0, rank="production", crew="shelf-a", gpus=4.0, roster="sweep")
    await w.submit(leader, spec)
    accepted, asked_before, had_room = now(), len(posts), True
    while now() < accepted + WAIT_S + 1 and not any(k[0] == "j-000003/0" for _, k, _ in w.starts):
        await asyncio.sleep(1)
        had_room = had_room and bool(room(w, spec))
        if int(now() - accepted) % 10 == 0:
            await w.ask(other, "j-000003")
            w.rec("machines with room for it:", room(w, spec), "requests for machines since:", len(posts) - asked_before,
                  "records of rentals:", [k for k in w.st.keys if k.startswith("c/charter/")])
    waited = now() - accepted
    started = any(k[0] == "j-000003/0" for _, k, _ in w.starts)
    w.rec("the job", "began" if started else "has not begun", f"after {waited:.1f} s; a machine had room all the time:", had_room)
    print(f"the job {'began' if started else 'has not begun'} after {waited:.1f} s")
    if not started and had_room:
        w.break_rule("left waiting", f"j-000003 has waited for {waited:.0f} s while a machine that fits has room")

main(case, os.path.join(HERE, "record.txt"), limit=118,
     teams=[dict(name="shelf-a", gpus=24.0, gpus_max=64.0), dict(name="shelf-b", gpus=24.0, gpus_max=64.0)])
