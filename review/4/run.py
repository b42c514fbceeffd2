"""A start command that was carried out is repeated late, after its task has moved to another machine."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world import *


async def case(w, trouble):
    await w.start()
    await w.ready()
    # an idle array fills the first machine
    w.job("j-000001", "batch", 8, run=1000.0, rank="idle", gpus=1.0)
    await w.submit(0, w.specs["j-000001"])
    await w.until(lambda: w.running("j-000001") == 8, 40, "the array does not start")
    first = dict((s, v[0]) for s, v in w.on_now.items())
    # a production service takes half of that machine; the tasks that are preempted go on elsewhere
    w.job("j-000002", "standing", 1, rank="production", gpus=4.0)
    await w.submit(1, w.specs["j-000002"])
    await w.until(lambda: w.running("j-000002") == 1, 40, "the service does not start")

    def moved():
        return [s for s, v in w.on_now.items() if s.startswith("j-000001/") and v and v[0][0] != first[s][0]]
    await w.until(lambda: moved() and w.running("j-000001") == 8, 40, "no preempted task goes on elsewhere")
    task = moved()[0]
    machine = w.workers[first[task][0]]
    old = (task, first[task][1][1])
    # the service is called off, so that the first machine has room again
    await w.abort(2, "j-000002")
    await w.until(lambda: w.running("j-000002") == 0, 20, "the service does not end")
    await w.until(lambda: old not in machine.tasks, 20, "the first attempt is not forgotten")
    # a controller that does not hold the job ends and is back
    holder = w.holder(0)
    other = (holder + 1) % 3
    w.ctl[other].kill()
    await asyncio.sleep(0.5)
    w.ctl[other].spawn()
    await asyncio.sleep(5)
    if w.running("j-000001") != 8 or not any(v[0] != machine.name for v in w.on_now[task]):
        raise RuntimeError("the task does not run on the second machine")
    if trouble:
        body = next(b for b in machine.carried_out
                    if any(o["verb"] == "start" and (o["shift"], o["try"]) == old for o in b["orders"]))
        w.rec("a request that was carried out is repeated at", machine.name, json.dumps(body))
        s, a = await call((machine.ip, 9000), "POST", "/commands", body)
        w.rec("->", s, json.dumps(a))
    await asyncio.sleep(8)
    w.rec("attempts of", task, "on machines:", w.on_now.get(task))

main(case, os.path.join(HERE, "record.txt"), cap={("g8", "a"): 1, ("g8", "b"): 1, ("g8", "c"): 0})
