"""The connections between the controllers are refused for 20 s while a service runs."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins-2"))
from world import *

LAG_S = 3.0      # "The state may lag by up to 3 s"
REFUSED_S = 20.0


async def case(w, trouble):
    await w.start()
    await w.ready()
    w.job("j-000001", "standing", 2, crew="readers", rank="production")
    await w.submit(0, w.specs["j-000001"])
    # the user polls every node once before anything runs, and about every second after that
    for c in range(3):
        await w.ask(c, "j-000001")
    await w.until(lambda: w.running("j-000001") == 2, 40, "the service does not start")
    since = now()
    w.rec("both tasks run from here on")
    asked = wrong = 0
    refused_at = None
    while now() < since + 45:
        if trouble and refused_at is None and now() > since + 10:
            refused_at = now()
            w.rec("connections between controllers are refused from here on")
            for p in w.proxy.values():
                await p.refuse()
        if refused_at and now() > refused_at + REFUSED_S and refused_at > 0:
            w.rec("connections between controllers are accepted again")
            for p in w.proxy.values():
                await p.accept()
            refused_at = -1
        for c in range(3):
            sent = now()
            s, a = await w.ask(c, "j-000001")
            if w.running("j-000001") < 2:
                raise RuntimeError("a task has ended, the case does not apply")
            if s == 200 and sent > since + LAG_S:
                asked += 1
                if a["stage"] == "pending":
                    wrong += 1
                    w.break_rule("state of a job", f"controller {c} answers `pending`, both tasks have run for {sent - since:.1f} s")
        await asyncio.sleep(1)
    w.rec("questions", asked, "wrong", wrong)
    print("questions answered:", asked, "wrong:", wrong)

main(case, os.path.join(HERE, "record.txt"))
