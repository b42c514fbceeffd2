"""An array of many small tasks: the reports of its machine grow beyond the limit of a request."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins-2"))
from world import *


async def case(w, trouble):
    done = set()
    off = w.task_off

    def task_off(wk, k, why):
        off(wk, k, why)
        if why == "done":
            done.add(k[0])
    w.task_off = task_off
    await w.start()
    await w.ready()
    tasks = 1600 if trouble else 500
    w.job("j-000001", "batch", tasks, run=15.0, gpus=0.0, cpus=0.04, mem=0.1)
    await w.submit(0, w.specs["j-000001"])
    accepted, stage = now(), "pending"
    while now() < accepted + 100 and stage != "done":
        await asyncio.sleep(2.5)
        s, a = await w.ask(1, "j-000001")
        if s == 200:
            stage = a["stage"]
        w.rec("completed:", len(done), "running:", w.running("j-000001"), "machines:",
              [(x.name, "session", x.watch, "report of", len(json.dumps(x.report(), separators=(",", ":"))), "bytes")
               for x in w.workers.values()])
    sessions = [x.watch for x in w.workers.values()]
    print("tasks:", tasks, "completed:", len(done), "state:", stage, "sessions of the machine:", sessions)
    if stage != "done" and not done and max(sessions, default=1) >= 3:
        w.break_rule("an accepted job must run",
                     f"no task of {tasks} has completed in {now() - accepted:.0f} s; the machine's lease has ended "
                     f"{max(sessions) - 1} times, though nothing is cut")

main(case, os.path.join(HERE, "record.txt"), limit=118, cap={("g8", "a"): 1, ("g8", "b"): 0, ("g8", "c"): 0},
     teams=[dict(name="readers", gpus=24.0, gpus_max=64.0)])
