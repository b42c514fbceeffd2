"""A submission of 2.7 KB was accepted before the state service lowered its limits to 2 KiB a value."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins-2"))
from world import *


async def case(w, trouble):
    low = [False]
    act = w.st.act

    async def limited(method, path, q, body):
        if low[0] and path == "/txn":
            for x in body.get("writes", []):
                if "put" in x and len(json.dumps(x["data"], separators=(",", ":"))) > 2048:
                    w.rec("state service: 400, too large:", x["put"], "with", len(body["writes"]), "writes")
                    return 400, {"error": "value too large"}
            if len(body.get("writes", [])) > 4:
                return 400, {"error": "too many writes"}
        return await act(method, path, q, body)
    w.st.act = limited
    # one controller is away when the job is submitted, so that the new limits are not yet kept
    await w.start(spawn=[0, 1])
    await w.ready([0, 1])
    rigs = ["g8"] + [f"reserved-machine-type-of-the-third-hall-{i:03d}" for i in range(50)]
    w.job("j-000001", "batch", 1, run=6.0, rigs=rigs)
    s, _ = await w.submit(0, w.specs["j-000001"])
    if s not in (200, 201):
        raise RuntimeError("the job is not accepted")
    w.ctl[2].spawn()
    await w.ready([2])
    await w.until(lambda: w.running("j-000001"), 30, "the job does not run")
    w.rec("format:", w.st.keys.get("c/format"))
    low[0] = trouble
    w.rec("the state service has its new limits:", low[0])
    await w.until(lambda: not w.running("j-000001"), 20, "the task does not end")
    ended, stage = now(), None
    while now() < ended + 45 and stage != "done":
        await asyncio.sleep(2.5)
        s, a = await w.ask(1, "j-000001")
        stage = a["stage"] if s == 200 else stage
    print(f"{now() - ended:.0f} s after its only task has completed the job is `{stage}`")
    if stage != "done":
        s, a = await w.abort(0, "j-000001", 8)
        print("an abort is answered with", s)
        w.break_rule("accepted work is never answered", f"the job is `{stage}` {now() - ended:.0f} s after its last task has completed")

main(case, os.path.join(HERE, "record.txt"), next_limits=dict(value_kb=2.0, txn_ops=4, write_rps=21.0))
