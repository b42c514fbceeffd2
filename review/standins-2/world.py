"""Stand-ins for the systems around forkshift: state service, cloud, workers and users.

They follow the protocol page. Every controller is a process of its own, started with the run
command of deploy/service.toml. Each controller has its own port of the state service and of the
cloud, and its own proxy to each peer, so that a single link can be disturbed. All addresses are
loopback addresses.
"""
import asyncio, contextvars, json, os, random, re, shlex, shutil, signal, subprocess, sys, tempfile, time
import tomllib
from urllib.parse import urlsplit, parse_qs

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path):
        self.f = open(path, "w")

    def __call__(self, *words):
        line = f"{now():8.3f} " + " ".join(str(w) for w in words)
        self.f.write(line + "\n")
        self.f.flush()


class Closed(Exception):
    pass


async def read_http(r, first_timeout=None):
    line = await (asyncio.wait_for(r.readline(), first_timeout) if first_timeout else r.readline())
    if not line:
        raise Closed()
    start = line.decode().split()
    headers = {}
    while True:
        h = await r.readline()
        if h in (b"\r\n", b"\n", b""):
            break
        k, _, v = h.decode("latin1").partition(":")
        headers[k.strip().lower()] = v.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            n = int((await r.readline()).split(b";")[0], 16)
            if n:
                body += await r.readexactly(n)
            await r.readline()
            if n == 0:
                break
    elif "content-length" in headers:
        body = await r.readexactly(int(headers["content-length"]))
    return start, headers, body


def http_answer(status, obj):
    body = json.dumps(obj, separators=(",", ":")).encode()
    return (f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n").encode() + body


READER = contextvars.ContextVar("reader")                  # the connection of a request
OPENED = contextvars.ContextVar("opened", default=0.0)   # when the connection of a request was opened
HANG = object()    # no answer, the connection stays open
RESET = object()   # no answer, the connection is closed


async def serve(addr, handler):
    """handler(method, path, query, body) -> (status, object), HANG or RESET."""
    async def on_conn(r, w):
        OPENED.set(now())
        READER.set(r)
        try:
            while True:
                start, headers, body = await read_http(r)
                u = urlsplit(start[1])
                q = {k: v[0] for k, v in parse_qs(u.query).items()}
                a = await handler(start[0], u.path, q, json.loads(body) if body else None)
                if a is HANG:
                    await asyncio.sleep(3600)
                if a is RESET:
                    return
                w.write(http_answer(*a))
                await w.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (Closed, ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            w.close()
    return await asyncio.start_server(on_conn, *addr)


async def call(addr, method, path, obj=None, timeout=5.0, src=None, close=True):
    """One request on a connection of its own. Returns (status, object); (0, reason) if there is no answer."""
    w = None
    try:
        async def go():
            nonlocal w
            r, w = await asyncio.open_connection(*addr, local_addr=(src, 0) if src else None)
            body = b"" if obj is None else json.dumps(obj, separators=(",", ":")).encode()
            head = (f"{method} {path} HTTP/1.1\r\nhost: {addr[0]}:{addr[1]}\r\n"
                    f"content-length: {len(body)}\r\ncontent-type: application/json\r\n"
                    "connection: close\r\n\r\n")
            w.write(head.encode() + body)
            await w.drain()
            start, headers, data = await read_http(r)
            return int(start[1]), (json.loads(data) if data else None)
        return await asyncio.wait_for(go(), timeout)
    except (asyncio.TimeoutError, OSError, Closed, asyncio.IncompleteReadError, ValueError, IndexError) as e:
        return 0, type(e).__name__
    finally:
        if w is not None:
            w.close()


class State:
    """The state service. `mode[i]` disturbs controller i alone, `outage` everybody."""

    def __init__(self, rps=1e9, write_rps=1e9):
        self.rev, self.keys, self.log, self.leases = 1, {}, [], {}
        self.next_lease, self.outage, self.mode, self.since = 1, False, {}, {}
        self.delay = {}           # controller -> seconds before each answer
        self.cond = asyncio.Condition()
        self.carried_out = []     # transactions that were carried out
        self.hook = None          # async (controller, method, path, body) -> None or an answer
        self.rps, self.write_rps = rps, write_rps
        self.tokens, self.wtokens, self.t = rps, write_rps, now()
        self.refused = 0

    def changed(self, event):
        self.log.append(event)
        if len(self.log) > 10000:
            del self.log[:len(self.log) - 10000]

    def remove(self, k):
        self.keys.pop(k, None)
        self.changed({"remove": k, "stamp": self.rev})

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                for l in self.leases.values():
                    l["end"] = now() + l["life"]
                continue
            for i, l in list(self.leases.items()):
                if now() > l["end"]:
                    await self.end_lease(i)

    async def end_lease(self, i):
        del self.leases[i]
        gone = [k for k, v in self.keys.items() if v["hold"] == i]
        if gone:
            self.rev += 1
            for k in gone:
                self.remove(k)
            async with self.cond:
                self.cond.notify_all()

    def limited(self, writes):
        t = now()
        self.tokens = min(self.rps, self.tokens + (t - self.t) * self.rps)
        self.wtokens = min(self.write_rps, self.wtokens + (t - self.t) * self.write_rps)
        self.t = t
        if self.tokens < 1 or self.wtokens < writes:
            self.refused += 1
            return True
        self.tokens -= 1
        self.wtokens -= writes
        return False

    def handler(self, who):
        async def h(method, path, q, body):
            if self.hook:
                a = await self.hook(who, method, path, body)
                if a is not None:
                    return a
            m = self.mode.get(who)
            if m == "hang":
                return HANG
            if m == "reset":
                return RESET
            if m == "hold":
                # The packets of the request are delivered when the cut ends. A connection that was
                # attempted during the cut and given up does not complete.
                while self.mode.get(who) == "hold":
                    await asyncio.sleep(0.02)
                if READER.get().at_eof():
                    if OPENED.get() <= self.since.get(who, 0) and path != "/changes":
                        await self.act(method, path, q, body)
                    return HANG
            if self.outage or m == "refuse":
                return 503, {"error": "trouble"}
            if self.delay.get(who):
                await asyncio.sleep(self.delay[who]())
            writes = len(body.get("writes", [])) if path == "/txn" else 0
            if self.limited(writes):
                return 429, {"error": "too many"}
            a = await self.act(method, path, q, body)
            # a disturbance that began while a watch was open holds for its answer too
            m = self.mode.get(who)
            if m in ("hang", "hold"):
                return HANG
            if path == "/changes":
                while self.outage or self.mode.get(who) == "refuse":
                    await asyncio.sleep(0.05)
                if self.mode.get(who) == "hang":
                    return HANG
            return a
        return h

    async def act(self, method, path, q, body):
        if path == "/txn":
            failed = [c["key"] for c in body.get("if", [])
                      if (self.keys[c["key"]]["stamp"] if c["key"] in self.keys else 0) != c["stamp"]]
            for w in body.get("writes", []):
                if w.get("hold") is not None and w["hold"] not in self.leases:
                    return 400, {"error": "no such lease"}
            if failed:
                return 409, {"failed": failed, "ledger_rev": self.rev}
            if body.get("writes"):
                self.carried_out.append(body)
                self.rev += 1
                for w in body["writes"]:
                    if "put" in w:
                        self.keys[w["put"]] = {"data": w["data"], "stamp": self.rev, "hold": w.get("hold")}
                        self.changed({"put": w["put"], "data": w["data"], "stamp": self.rev})
                    elif w["remove"] in self.keys:
                        self.remove(w["remove"])
                async with self.cond:
                    self.cond.notify_all()
            return 200, {"ledger_rev": self.rev}
        if path == "/kv":
            pre, after, most = q["starts"], q.get("from", ""), min(int(q.get("most", 1000)), 1000)
            names = sorted(k for k in self.keys if k.startswith(pre) and k > after)
            items, size = [], 0
            for k in names[:most]:
                it = {"key": k, "data": self.keys[k]["data"], "stamp": self.keys[k]["stamp"]}
                size += len(json.dumps(it))
                if size > 512 * 1024 and items:
                    break
                items.append(it)
            return 200, {"items": items, "has_next": len(items) < len(names), "ledger_rev": self.rev}
        if path.startswith("/kv/"):
            k = path[4:]
            if k not in self.keys:
                return 404, {"ledger_rev": self.rev}
            v = self.keys[k]
            a = {"key": k, "data": v["data"], "stamp": v["stamp"]}
            if v["hold"] is not None:
                a["hold"] = v["hold"]
            return 200, a
        if path == "/changes":
            pre, frm = q["starts"], int(q["from"])
            end = now() + min(int(q.get("wait_ms", 0)), 60000) / 1000
            while True:
                if len(self.log) >= 10000 and frm < self.log[0]["stamp"] - 1:
                    return 410, {"error": "too old"}
                news = [e for e in self.log if e["stamp"] > frm and (e.get("put") or e.get("remove")).startswith(pre)]
                if (news and not self.outage) or now() >= end:
                    return 200, {"ledger_rev": self.rev, "news": news}
                async with self.cond:
                    try:
                        await asyncio.wait_for(self.cond.wait(), max(0.01, min(end - now(), 0.5)))
                    except asyncio.TimeoutError:
                        pass
        if path == "/grants":
            i = self.next_lease
            self.next_lease += 1
            self.leases[i] = {"life": body["life_ms"] / 1000, "end": now() + body["life_ms"] / 1000}
            return 200, {"hold": i}
        m = re.match(r"/grants/(\d+)(/extend)?$", path)
        if m:
            i = int(m[1])
            if i not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                await self.end_lease(i)
                return 200, {}
            self.leases[i]["end"] = now() + self.leases[i]["life"]
            return 200, {"hold": i}
        return 400, {"error": "malformed"}


class Cloud:
    def __init__(self, world, rigs, boot_s):
        self.w, self.rigs, self.boot_s = world, rigs, boot_s
        self.n, self.charters, self.mode, self.since = 0, {}, {}, {}

    def handler(self, who):
        async def h(method, path, q, body):
            m = self.mode.get(who)
            if m == "hang":
                return HANG
            if m == "hold":
                while self.mode.get(who) == "hold":
                    await asyncio.sleep(0.02)
                if OPENED.get() > self.since.get(who, 0) and READER.get().at_eof():
                    return HANG      # the connection was attempted during the cut and given up
                self.w.rec("cloud gets after the cut, sent in it by", who, method, path, json.dumps(body))
            if m == "trouble":
                return 503, {"error": "trouble"}
            return await self.act(who, method, path, q, body)
        return h

    async def act(self, who, method, path, q, body):
            if path == "/catalog":
                return 200, {"rigs": self.rigs}
            if path == "/machines" and method == "POST":
                c = body["charter"]
                if c not in self.charters:
                    free = self.w.capacity(body["rig"], body["yard"])
                    n = min(body["count"], free)
                    if n <= 0:
                        return 503, {"error": "no capacity"}
                    names = []
                    for _ in range(n):
                        self.n += 1
                        wk = Worker(self.w, f"host-{self.n:06d}", self.n, body["rig"], body["yard"], body["loaner"])
                        self.w.workers[wk.name] = wk
                        wk.start(self.boot_s())
                        names.append(wk.name)
                    self.charters[c] = names
                    self.w.rec("cloud rents", who, body["rig"], body["yard"], names)
                return 200, {"berths": self.charters[c]}
            if path == "/machines/delete":
                self.w.rec("cloud deletes", "for", who, body["berths"])
                for b in body["berths"]:
                    if b in self.w.workers:
                        self.w.deleted.append((now(), who, b, sorted(self.w.workers[b].present())))
                        self.w.workers.pop(b).delete()
                return 200, {}
            if path == "/machines":
                names = sorted(k for k in self.w.workers if k > q.get("from", ""))
                most = min(int(q.get("most", 500)), 500)
                L = []
                for k in names[:most]:
                    x = self.w.workers[k]
                    L.append({"uid": k, "addr": x.addr, "rig": x.rig, "yard": x.yard, "loaner": x.loaner,
                              "stage": "running" if x.up else "booting", "held_s": now() - x.rented})
                return 200, {"berths": L, "has_next": len(names) > most}
            return 400, {"error": "malformed"}


class Worker:
    """One machine with its worker. A task is (job, index); its run time comes from World.runs."""

    def __init__(self, world, name, n, rig, yard, loaner):
        self.w, self.name, self.rig, self.yard, self.loaner = world, name, rig, yard, loaner
        self.ip = f"127.{world.net[0]}.{(world.net[1] + n // 250) % 256}.{n % 250 + 1}"
        self.addr = f"{self.ip}:9000"
        self.rented, self.up, self.gone = now(), False, False
        self.watch, self.tally, self.baton = 1, 0, 0
        self.tasks = {}       # (shift, try) -> dict(stage, cause, since, stored)
        self.lease_from = None
        self.cut = set()      # controllers that this worker does not reach, and the other way
        self.deaf = False     # reports arrive, answers and commands do not
        self.hung = asyncio.Event(); self.hung.set()
        self.target = random.randrange(len(world.ctl))
        self.wake = asyncio.Event()
        self.jobs = []
        self.images = {}           # image -> when it is there; fetched once for all tasks, kept
        self.carried_out = []      # bodies of direct commands that were carried out

    def start(self, boot):
        self.task = asyncio.ensure_future(self.life(boot))

    def delete(self):
        self.gone = True
        for k in list(self.tasks):
            self.off(k, "deleted")
        self.task.cancel()
        for j in self.jobs:
            j.cancel()
        if self.up:
            self.server.close()

    def present(self):
        return {k for k, t in self.tasks.items() if t["stage"] in ("gathering", "running", "flushing")}

    async def life(self, boot):
        await asyncio.sleep(boot)
        try:
            self.server = await serve((self.ip, 9000), self.on_http)
        except OSError as e:
            self.w.failed = f"the address of {self.name} is taken: {e}"
            raise
        self.up, self.lease_from = True, now()
        self.jobs.append(asyncio.ensure_future(self.tick()))
        while True:
            await self.hung.wait()
            sent, watch = now(), self.watch
            c = self.target
            self.tally += 1
            body = self.report()
            status, ans = 0, None
            if c in self.cut or c in self.w.cut_off:
                await asyncio.sleep(4)
            else:
                status, ans = await call(self.w.ctl[c].bind, "POST", "/v1/report", body, 4.0, self.ip)
                if self.deaf:
                    status, ans = 0, None
            if c in self.cut or c in self.w.cut_off:
                status = 0
            await self.hung.wait()
            if status == 200:
                tok = (ans or {}).get("baton")
                if watch == self.watch and tok is not None and tok >= self.baton:
                    self.baton = tok
                    self.lease_from = max(self.lease_from, sent)
                    self.w.rec("worker", self.name, "gets from", c, json.dumps(ans)) if ans["orders"] else None
                    for o in ans["orders"]:
                        self.order(o)
                try:
                    await asyncio.wait_for(self.wake.wait(), self.w.report_s * random.uniform(0.75, 1.25))
                    await asyncio.sleep(max(0, sent + 0.5 - now()))
                except asyncio.TimeoutError:
                    pass
                self.wake.clear()
            elif status == 421 and (ans or {}).get("foreman") in self.w.names and ans["foreman"] != self.w.ctl[c].name:
                self.target = self.w.names.index(ans["foreman"])
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                self.target = (c + 1) % len(self.w.ctl)
                await asyncio.sleep(1)

    async def tick(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.hung.is_set():
                continue
            if now() > self.lease_from + self.w.lease_s:
                self.w.rec("worker", self.name, "lease ends, session", self.watch + 1)
                for k in list(self.tasks):
                    self.off(k, "lease")
                self.tasks.clear()
                self.watch += 1
                self.lease_from = now()
                self.wake.set()
            for k, t in list(self.tasks.items()):
                uid = k[0].split("/")[0]
                shape = self.w.specs[uid]["shape"] if uid in self.w.specs else None
                if t["stage"] == "fetching" and now() >= self.images[self.w.specs[uid]["kit"]]:
                    self.on(k, t, "gathering" if shape == "group" else "running")
                if shape == "group" and t["stage"] in ("gathering", "running"):
                    self.gang(k, t, uid)
                if t["stage"] == "running":
                    run = self.w.runs.get(uid)
                    if run is not None and now() >= t["since"] + run:
                        self.exit(k, "done")

    def gang(self, k, t, uid):
        """The tasks of a gang find one another by their attempt."""
        n = self.w.specs[uid]["shifts"]
        all_ = [(x, x.tasks[(f"{uid}/{i}", k[1])]) for i in range(n) for x in self.w.workers.values()
                if (f"{uid}/{i}", k[1]) in x.tasks]
        here = [(x, y) for x, y in all_ if y["stage"] in ("gathering", "running")]
        if any(y["stage"] == "exited" and y["cause"] == "done" for _, y in all_):
            return self.exit(k, "done") if t["stage"] == "running" else None
        if t["stage"] == "gathering":
            if len(here) == n and all(x.hung.is_set() for x, _ in here):
                for x, y in here:
                    if y["stage"] == "gathering":
                        y["stage"], y["since"] = "running", now()
                        x.wake.set()
            elif now() > t["since"] + 40.0:
                self.exit(k, "alone")
        elif len(here) < n:
            t.setdefault("lost", now())
            if now() > t["lost"] + 3.0:
                self.exit(k, "peers")

    def on(self, k, t, stage="running"):
        t["stage"], t["since"] = stage, now()
        self.w.task_on(self, k)
        self.wake.set()

    def off(self, k, why):
        t = self.tasks[k]
        if t["stage"] in ("running", "flushing", "gathering"):
            self.w.task_off(self, k, why)

    def exit(self, k, cause):
        t = self.tasks[k]
        if t["stage"] == "exited":
            return
        self.off(k, cause)
        t["stage"], t["cause"] = "exited", cause
        self.wake.set()

    def order(self, o):
        k = (o["shift"], o["try"])
        if o["verb"] == "start":
            if k in self.tasks:
                return
            t = self.tasks[k] = {"stage": "fetching", "cause": None, "since": now()}
            uid = o["shift"].split("/")[0]
            self.w.rec("worker", self.name, "starts", *k)
            if uid not in self.w.specs:
                t["stage"], t["cause"] = "exited", "no_such"
            elif any(x[0] == k[0] and x != k and v["stage"] != "exited" for x, v in self.tasks.items()):
                t["stage"], t["cause"] = "exited", "in_use"
            else:
                s = self.w.specs[uid]
                rig = self.w.rig[self.rig]
                for f in ("cpus", "accelerators", "mem_gb"):
                    use = sum(self.w.specs[x[0].split("/")[0]][f] for x, v in self.tasks.items()
                              if v["stage"] != "exited")
                    if use > rig[f] + 1e-6:
                        t["stage"], t["cause"] = "exited", "full"
                if t["stage"] == "fetching" and self.images.setdefault(s["kit"], now() + self.w.fetch_s) <= now():
                    self.on(k, t, "gathering" if s["shape"] == "group" else "running")   # the image is there
            self.wake.set()
        elif o["verb"] == "kill":
            if k in self.tasks:
                self.exit(k, "stopped")
        elif o["verb"] == "forget":
            if k in self.tasks and self.tasks[k]["stage"] == "exited":
                del self.tasks[k]

    def report(self):
        L = []
        for (s, n), t in self.tasks.items():
            e = {"shift": s, "try": n, "stage": t["stage"]}
            if t["cause"]:
                e["cause"] = t["cause"]
            L.append(e)
        return {"berth": self.name, "addr": self.addr, "rig": self.rig, "yard": self.yard, "loaner": self.loaner,
                "watch": self.watch, "tally": self.tally, "baton": self.baton, "recall_s": None, "shifts": L}

    async def on_http(self, method, path, q, body):
        if self.deaf or self.gone:
            return HANG
        await self.hung.wait()
        if path == "/status":
            self.tally += 1
            return 200, self.report()
        # the sender is known by the epoch of its token
        who = self.w.sender(body)
        if who in self.w.cut_off or who in self.cut:
            late = who in self.w.cut_off
            while who in self.w.cut_off or who in self.cut:
                await asyncio.sleep(0.05)
            if not late or not self.w.hold or self.gone:
                return HANG
            self.w.rec("worker", self.name, "gets a late call of", who, json.dumps(body))
        if "baton" not in body or "watch" not in body:
            return 400, {}
        ok = body["baton"] >= self.baton and body["watch"] == self.watch
        if body["orders"]:
            self.w.rec("worker", self.name, "commands", 200 if ok else 409, json.dumps(body))
        if ok:
            if body["baton"] > self.baton:
                self.wake.set()
            self.baton = body["baton"]
            self.carried_out.append(body)
            for o in body["orders"]:
                self.order(o)
        self.tally += 1
        return (200 if ok else 409), self.report()


class Proxy:
    """A TCP proxy from one controller to the peer port of another. mode: pass, hold or cut."""

    def __init__(self, addr, to):
        self.addr, self.to, self.mode, self.conns = addr, to, "pass", set()

    async def start(self):
        self.server = await asyncio.start_server(self.on, *self.addr)

    async def on(self, r, w):
        self.conns.add(w)
        try:
            held = self.mode != "pass"
            while self.mode != "pass":
                await asyncio.sleep(0.02)
            if held and r.at_eof():
                return           # attempted during the cut and given up
            r2, w2 = await asyncio.open_connection(*self.to)
            self.conns.add(w2)
            await asyncio.gather(self.pump(r, w2), self.pump(r2, w))
        except OSError:
            pass
        finally:
            w.close()

    async def pump(self, r, w):
        try:
            while True:
                data = await r.read(65536)
                while self.mode == "hold":
                    await asyncio.sleep(0.02)
                if not data:
                    break
                if self.mode == "cut":
                    continue
                w.write(data)
                await w.drain()
        except (OSError, ConnectionError):
            pass
        finally:
            w.close()

    async def refuse(self):
        """New connections are refused, open ones are closed, as by a packet filter that rejects."""
        self.server.close()
        self.drop()

    async def accept(self):
        await self.start()

    def drop(self):
        for w in self.conns:
            w.close()
        self.conns.clear()


PROCESSES = []       # all that this run has started


def end_processes():
    for p in PROCESSES:
        if p.poll() is None:
            p.send_signal(signal.SIGCONT)
            p.kill()
            p.wait()


class Controller:
    def __init__(self, world, i, name, zone, ports):
        self.w, self.i, self.name, self.zone = world, i, name, zone
        self.bind, self.cl, self.state, self.cloud = ports
        self.p = None

    def spawn(self):
        log = open(f"{self.w.dir}/{self.name}.log", "ab")
        run = shlex.split(self.w.deploy["run"])
        env = dict(os.environ, LOG_LEVEL=self.w.log_level)
        self.p = subprocess.Popen(run + [f"{self.w.dir}/{self.name}.toml"], cwd=ROOT, env=env,
                                  stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        PROCESSES.append(self.p)
        self.w.rec("controller", self.i, self.name, "started")

    def kill(self):
        self.w.rec("controller", self.i, "killed")
        self.p.send_signal(signal.SIGCONT)
        self.p.kill()
        self.p.wait()

    def stop(self):
        self.w.rec("controller", self.i, "stopped (SIGSTOP)")
        self.p.send_signal(signal.SIGSTOP)

    def cont(self):
        self.w.rec("controller", self.i, "continues (SIGCONT)")
        self.p.send_signal(signal.SIGCONT)


def free_ports(n):
    """Free ports below those that the system gives to outgoing connections."""
    import socket
    ports = set()
    while len(ports) < n:
        p = random.SystemRandom().randrange(15000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", p))
                ports.add(p)
            except OSError:
                pass
    return list(ports)


class World:
    def __init__(self, record, n=3, zones=("a", "b", "c"), teams=None, report_s=1.0, lease_s=10.0, cancel_s=35.0,
                 rigs=None, boot_s=lambda: random.uniform(1.0, 2.0), cap=None, state=None, limits=None, log_level="info",
                 fetch_s=0.2, initial_size=None, next_limits=None, cloud_rps=2.0):
        self.rec = Record(record)
        self.dir = tempfile.mkdtemp(prefix="forkshift-review-")
        self.deploy = tomllib.load(open(f"{ROOT}/deploy/service.toml", "rb"))
        self.report_s, self.lease_s, self.cancel_s, self.fetch_s = report_s, lease_s, cancel_s, fetch_s
        self.zones, self.log_level = list(zones), log_level
        self.teams = teams or [dict(name="readers", gpus=24.0, gpus_max=64.0)]
        self.rigs = rigs or [dict(name="g8", cpus=64, accelerators=8, mem_gb=256, cache_gb=200, pull_gb_per_s=4.0,
                                  hourly=16.1, market_price=5.32, boot_s=5, yards=list(zones))]
        self.rig = {r["name"]: r for r in self.rigs}
        self.cap = cap or {}
        self.limits = limits or dict(rps=80.0, write_rps=30.0, value_kb=16.0, txn_ops=12)
        self.next_limits, self.cloud_rps = next_limits, cloud_rps
        self.initial_size = initial_size or n
        self.workers, self.specs, self.runs = {}, {}, {}
        self.on_now, self.deleted, self.starts = {}, [], []
        self.broken, self.failed = [], None
        self.cut_off, self.hold = set(), False   # controllers without network; whether packets are held back
        dice = random.SystemRandom()
        self.net = dice.randrange(64, 240), dice.randrange(256)   # workers have loopback addresses of their own
        ports = free_ports(n * 4 + n * n)
        lo = lambda p: ("127.0.0.1", p)
        self.names = [f"berth-{i}" for i in range(n)]
        self.ctl = [Controller(self, i, self.names[i], zones[i % len(zones)], [lo(p) for p in ports[4 * i:4 * i + 4]])
                    for i in range(n)]
        self.proxy = {}
        rest = ports[4 * n:]
        for i in range(n):
            for j in range(n):
                if i != j:
                    self.proxy[i, j] = Proxy(lo(rest[i * n + j]), self.ctl[j].cl)
        self.st = state or State(self.limits["rps"], self.limits["write_rps"])
        self.cl = Cloud(self, self.rigs, boot_s)

    def capacity(self, rig, yard):
        used = sum(1 for x in self.workers.values() if x.rig == rig and x.yard == yard)
        return self.cap.get((rig, yard), 4) - used

    def settings(self, i, members=None):
        c, L = self.ctl[i], []
        a = lambda p: f"{p[0]}:{p[1]}"
        L += [f'host_name = "{c.name}"', f'domain = "{c.zone}"', f'bind = "{a(c.bind)}"',
              f'cluster_listen = "{a(c.cl)}"']
        for j, d in enumerate(self.ctl):
            if j != i and (members is None or j in members):
                L += ["[[peers]]", f'host_name = "{d.name}"', f'domain = "{d.zone}"',
                      f'endpoint = "{a(self.proxy[i, j].addr)}"']
        L += ["[external]", f'cloud = "{a(c.cloud)}"', f'state = "{a(c.state)}"', "[cluster]",
              f"initial_size = {self.initial_size}", f"zones = {json.dumps(self.zones)}", "time_bound_ms = 250.0"]
        for t in self.teams:
            L += ["[[cluster.teams]]"] + [f"{k} = {json.dumps(v)}" for k, v in t.items()]
        L += ["[[cluster.objectives]]", 'kind = "wait"', 'class = "answers"', "within_s = 20.0", "share = 0.9",
              "[cluster.workers]", f"report_s = {self.report_s}", f"lease_s = {self.lease_s}", "gang_wait_s = 40.0",
              "gang_peer_s = 6.0", f"cancel_s = {self.cancel_s}", "[cluster.state]"]
        L += [f"{k} = {v}" for k, v in self.limits.items()]
        if self.next_limits:
            L += ["[cluster.state.next]"] + [f"{k} = {v}" for k, v in self.next_limits.items()]
        L += ["[cluster.cloud]", f"rps = {self.cloud_rps}", "list_lag_s = 4.0", "[cluster.limits]", "cpu = 0.12",
              "mem_mb = 40.0", "sockets = 600"]
        open(f"{self.dir}/{c.name}.toml", "w").write("\n".join(L) + "\n")

    async def start(self, spawn=None):
        await asyncio.gather(*[p.start() for p in self.proxy.values()])
        asyncio.ensure_future(self.st.expire())
        for c in self.ctl:
            await serve(c.state, self.st.handler(c.i))
            await serve(c.cloud, self.cl.handler(c.i))
            self.settings(c.i)
        for c in self.ctl:
            if spawn is None or c.i in spawn:
                c.spawn()

    async def ready(self, who=None, timeout=30):
        end = now() + timeout
        for c in (self.ctl if who is None else [self.ctl[i] for i in who]):
            while (await call(c.bind, "GET", "/up", timeout=1))[0] != 200:
                if now() > end:
                    raise RuntimeError(f"{c.name} is not ready")
                await asyncio.sleep(0.1)

    def cut_peers(self, i, mode="cut"):
        for (a, b), p in self.proxy.items():
            if i in (a, b):
                p.mode = mode
                if mode == "cut":
                    pass

    def sender(self, body):
        """The controller that issued a token, by the epochs of the shards' records."""
        e = body.get("baton", 0) >> 24
        for ev in reversed(self.st.log):
            if ev.get("put", "").startswith("c/share/") and ev["data"]["epoch"] == e:
                return self.names.index(ev["data"]["holder"])
        return None

    def network(self, i, up, hold=True):
        """Cuts controller i off from everything, or ends that. With `hold`, what it sends on open
        connections meanwhile is delivered at the end."""
        self.rec("controller", i, "network", "back" if up else "lost")
        self.hold = hold
        mode = "hold" if hold else "hang"
        if up:
            self.cut_off.discard(i)
            self.st.mode.pop(i, None)
            self.cl.mode.pop(i, None)
            self.cut_peers(i, "pass")
        else:
            self.cut_off.add(i)
            self.st.since[i] = self.cl.since[i] = now()
            self.st.mode[i] = mode
            self.cl.mode[i] = mode
            self.cut_peers(i, "hold")

    # what is seen of tasks
    def task_on(self, wk, k):
        self.rec("task", *k, "on", wk.name)
        for other, kk in self.on_now.get(k[0], []):
            if other != wk.name:
                self.break_rule("ran_twice", f"{k} starts on {wk.name} while {kk} is on {other}")
        self.on_now.setdefault(k[0], []).append((wk.name, k))
        self.starts.append((now(), k, wk.name))

    def task_off(self, wk, k, why):
        self.rec("task", *k, "off", wk.name, why)
        L = self.on_now.get(k[0], [])
        if (wk.name, k) in L:
            L.remove((wk.name, k))

    def running(self, uid):
        return sum(len(v) for s, v in self.on_now.items() if s.startswith(uid + "/"))

    def break_rule(self, rule, text):
        self.rec("BROKEN", rule, text)
        self.broken.append((rule, text))

    # users
    def job(self, uid, shape="batch", shifts=1, run=None, crew="readers", rank="standard", cpus=1.0, gpus=1.0, mem=8.0,
            awaits=None, **more):
        s = dict(uid=uid, roster="answers", crew=crew, shape=shape, rank=rank, shifts=shifts, cpus=cpus,
                 accelerators=gpus, mem_gb=mem, kit="img-01", image_gb=1.0, rigs=None, yard=None, same_place=False,
                 scatter=False, loaner=False, expect_s=float(run or 0), bookmark_s=0.0, stow_s=0.0, due_s=None)
        if awaits:
            s["awaits"] = awaits
        s.update(more)
        self.specs[uid] = s
        if run is not None:
            self.runs[uid] = run
        return s

    async def submit(self, c, spec, timeout=60):
        end = now() + timeout
        while True:
            s, a = await call(self.ctl[c].bind, "POST", "/submissions", spec, 5)
            self.rec("submit", spec["uid"], "at", c, "->", s, json.dumps(a))
            if s in (200, 201, 400, 422) or now() > end:
                return s, a
            await asyncio.sleep(1)

    async def ask(self, c, uid, timeout=2.0):
        t = now()
        s, a = await call(self.ctl[c].bind, "GET", f"/submissions/{uid}", None, timeout)
        self.rec("ask", uid, "at", c, f"(sent {t:.3f})", "->", s, json.dumps(a), "| running on machines:", self.running(uid))
        return s, a

    async def abort(self, c, uid, timeout=60, nodes=None):
        end, k = now() + timeout, 0
        while True:
            i = c if nodes is None else nodes[k % len(nodes)]
            k += 1
            s, a = await call(self.ctl[i].bind, "POST", f"/submissions/{uid}/abort", None, 5)
            self.rec("abort", uid, "at", i, "->", s, json.dumps(a))
            if s == 200 or now() > end:
                return s, a
            await asyncio.sleep(1)

    async def until(self, cond, timeout, what=""):
        end = now() + timeout
        while not cond():
            if now() > end:
                raise RuntimeError(f"timed out: {what}")
            await asyncio.sleep(0.05)

    def holder(self, shard):
        v = self.st.keys.get(f"c/share/{shard}")
        return self.names.index(v["data"]["holder"]) if v else None

    def close(self, keep=False):
        end_processes()
        if not keep:
            shutil.rmtree(self.dir, ignore_errors=True)


def main(case, record, limit=115, **kw):
    """Runs `case(world, trouble)`. Exit status: 1 if a rule was broken, 0 if not, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    keep = bool(os.environ.get("KEEP"))

    async def go():
        w = World(record, **kw)
        w.rec("trouble", trouble)
        if keep:
            print("logs in", w.dir)
        try:
            await asyncio.wait_for(case(w, trouble), limit)
        finally:
            for c in w.ctl:
                if c.p and c.p.poll() is not None and not getattr(c, "expected_dead", False):
                    w.rec("controller", c.i, "had ended with", c.p.returncode)
            w.close(keep)
        if w.failed:
            raise RuntimeError(w.failed)
        return w
    def ended(signum, frame):
        raise KeyboardInterrupt(f"signal {signum}")
    signal.signal(signal.SIGTERM, ended)
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda l, c: None)
    try:
        w = loop.run_until_complete(go())
    except BaseException as e:
        end_processes()
        print("the case could not run:", repr(e))
        sys.stdout.flush()
        os._exit(2)
    for rule, text in w.broken:
        print("broken:", rule, text)
    code = 1 if w.broken else 0
    print("exit", code)
    sys.stdout.flush()
    os._exit(code)
