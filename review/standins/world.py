"""Stand-ins for a small deployment of forkshift, on loopback and the real clock.

One process plays the state service, the cloud, the workers, the users and the wires between
them, by the published protocol. The controllers are the project's own program, one process
each, started with the run command of deploy/service.toml. Only the standard library is used.

Everything that clients, servers or the platform see goes to `record.txt` of the case.
"""

import asyncio
import bisect
import collections
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
LIBC = ctypes.CDLL(None, use_errno=True)
TOKEN_BITS = 24


def die_with_parent():
    """A controller ends with this process, however that ends."""
    LIBC.prctl(1, signal.SIGKILL)


def deploy_value(key):
    with open(os.path.join(REPO, "deploy", "service.toml")) as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == key:
                return value.strip().strip('"')
    raise SystemExit(2)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """The record of a run, one event a line."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.t0 = time.monotonic()

    def now(self):
        return time.monotonic() - self.t0

    def __call__(self, who, what):
        self.file.write(f"{self.now():8.3f} {who}: {what}\n")
        self.file.flush()


# HTTP ----------------------------------------------------------------------------------

async def read_message(reader):
    """One HTTP message: its first line, headers and body; None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    first, headers = line.decode("latin-1").strip(), {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


async def serve_http(handler, port=0):
    """Serves `handler(method, path, body)`, a coroutine that returns (status, object), or
    None to close the connection without an answer. Returns the server and its port."""

    async def on_connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, _, body = message
                method, path, _ = first.split(" ", 2)
                answer = await handler(method, path, body)
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                reason = REASONS.get(status, "Status")
                head = (f"HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\n"
                        f"content-length: {len(data)}\r\n\r\n")
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", port, limit=1 << 24)
    return server, server.sockets[0].getsockname()[1]


class Http:
    """A client's connection to one controller, which stays open until a side closes it."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, value=None, timeout=2.0):
        """The status and the parsed body; (0, None) without an answer."""
        try:
            return await asyncio.wait_for(self._call(method, path, value), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, None

    async def _call(self, method, path, value):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.port, limit=1 << 24)
        data = b"" if value is None else json.dumps(value).encode()
        head = (f"{method} {path} HTTP/1.1\r\nhost: 127.0.0.1:{self.port}\r\n"
                f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n")
        self.writer.write(head.encode() + data)
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            raise OSError("closed")
        first, headers, body = message
        status = int(first.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, json.loads(body) if body else None


# The wires between controllers ---------------------------------------------------------

class Wire:
    """A TCP proxy for one direction between two controllers. While it refuses, connections
    are reset and new ones are refused, as a packet filter between them does."""

    def __init__(self, target):
        self.target = target
        self.port = free_port()
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self._connect, "127.0.0.1", self.port)

    async def refuse(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await self.server.wait_closed()

    async def _connect(self, reader, writer):
        try:
            await self._join(reader, writer)
        except asyncio.CancelledError:
            pass

    async def _join(self, reader, writer):
        try:
            there_reader, there_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, there_writer}
        self.writers |= pair

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass
            finally:
                for end in pair:
                    end.close()

        await asyncio.gather(pump(reader, there_writer), pump(there_reader, writer))
        self.writers -= pair


# The state service ---------------------------------------------------------------------

class Bucket:
    """A rate limit with a burst of one second's worth."""

    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


class State:
    KEPT_CHANGES = 10_000

    def __init__(self, limits, record):
        self.limits, self.record = limits, record
        self.rev, self.data, self.keys = 0, {}, []
        self.holds, self.next_hold = {}, 1
        self.log = collections.deque()
        self.changed = asyncio.Condition()
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.too_many = 0
        self.serves = asyncio.Event()
        self.serves.set()

    def begin_outage(self):
        """Requests get 503 and open watches stay open; no lease ends."""
        self.record("state", "is out from now on")
        self.serves.clear()

    def end_outage(self):
        """Every lease has its full time again."""
        self.record("state", "serves again")
        for entry in self.holds.values():
            entry["ends"] = time.monotonic() + entry["life"]
        self.serves.set()

    async def start(self):
        self.server, self.port = await serve_http(self.handle)
        asyncio.ensure_future(self._end_holds())

    async def _end_holds(self):
        while True:
            await asyncio.sleep(0.02)
            if not self.serves.is_set():
                continue
            now = time.monotonic()
            ended = [hold for hold, entry in self.holds.items() if now >= entry["ends"]]
            for hold in ended:
                await self._end(hold)

    async def _end(self, hold):
        self.holds.pop(hold)
        keys = [key for key, item in self.data.items() if item["hold"] == hold]
        self.record("state", f"lease {hold} ended, removes {keys}")
        if keys:
            await self._commit([{"remove": key} for key in keys])

    def _put(self, key, value, hold):
        if key not in self.data:
            bisect.insort(self.keys, key)
        self.data[key] = {"data": value, "stamp": self.rev, "hold": hold}

    async def _commit(self, writes):
        self.rev += 1
        for write in writes:
            if "put" in write:
                self._put(write["put"], write.get("data"), write.get("hold"))
                news = {"put": write["put"], "data": write.get("data"), "stamp": self.rev}
            else:
                key = write["remove"]
                if key not in self.data:
                    continue
                del self.data[key]
                self.keys.pop(bisect.bisect_left(self.keys, key))
                news = {"remove": key, "stamp": self.rev}
            self.log.append(news)
        while len(self.log) > self.KEPT_CHANGES:
            self.log.popleft()
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, path, body):
        await asyncio.sleep(0.002)
        if not self.serves.is_set() and not path.startswith("/changes"):
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            self.too_many += 1
            return 429, {"error": "too many"}
        path, _, query = path.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if part)
        value = json.loads(body) if body else None
        if path == "/txn":
            return await self._transaction(value, len(body))
        if path == "/kv":
            return self._list(query)
        if path.startswith("/kv/"):
            return self._get(path[len("/kv/"):])
        if path == "/changes":
            return await self._changes(query)
        if path.startswith("/grants"):
            return await self._grants(method, path, value)
        return 400, {"error": "malformed"}

    async def _transaction(self, txn, size):
        writes = txn.get("writes") or []
        conditions = txn.get("if") or []
        most = self.limits["txn_ops"]
        too_large = any(len(json.dumps(w.get("data"))) > self.limits["value_kb"] * 1024
                        for w in writes)
        if len(writes) > most or len(conditions) > 4 * most or size > 65536 or too_large:
            self.record("state", "400 to a transaction beyond the limits")
            return 400, {"error": "too large"}
        if writes and not self.writes.take(len(writes)):
            self.too_many += 1
            return 429, {"error": "too many"}
        if any(w.get("hold") is not None and w["hold"] not in self.holds for w in writes):
            return 400, {"error": "no such lease"}
        failed = [c["key"] for c in conditions
                  if self.data.get(c["key"], {"stamp": 0})["stamp"] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.rev}
        if writes:
            await self._commit(writes)
        return 200, {"ledger_rev": self.rev}

    def _get(self, key):
        item = self.data.get(key)
        if item is None:
            return 404, {"ledger_rev": self.rev}
        answer = {"key": key, "data": item["data"], "stamp": item["stamp"]}
        if item["hold"] is not None:
            answer["hold"] = item["hold"]
        return 200, answer

    def _list(self, query):
        prefix, most = query["starts"], min(int(query.get("most", 1000)), 1000)
        start = bisect.bisect_left(self.keys, prefix)
        if "from" in query:
            start = max(start, bisect.bisect_right(self.keys, query["from"]))
        items, size, has_next = [], 0, False
        for key in self.keys[start:]:
            if not key.startswith(prefix):
                break
            item = {"key": key, "data": self.data[key]["data"], "stamp": self.data[key]["stamp"]}
            size += len(json.dumps(item))
            if len(items) == most or (items and size > 500 * 1024):
                has_next = True
                break
            items.append(item)
        return 200, {"items": items, "has_next": has_next, "ledger_rev": self.rev}

    async def _changes(self, query):
        prefix, since = query["starts"], int(query["from"])
        ends = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if len(self.log) == self.KEPT_CHANGES and self.log[0]["stamp"] > since + 1:
                return 410, {"error": "too old"}
            news = [n for n in self.log
                    if n["stamp"] > since and (n.get("put") or n.get("remove")).startswith(prefix)]
            if not self.serves.is_set():
                await self.serves.wait()
                continue
            left = ends - time.monotonic()
            if news or left <= 0:
                return 200, {"ledger_rev": self.rev, "news": news}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _grants(self, method, path, value):
        parts = path.strip("/").split("/")
        if len(parts) == 1:
            hold, self.next_hold = self.next_hold, self.next_hold + 1
            life = value["life_ms"] / 1000
            self.holds[hold] = {"life": life, "ends": time.monotonic() + life}
            return 200, {"hold": hold}
        hold = int(parts[1])
        if hold not in self.holds:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            await self._end(hold)
            return 200, {}
        entry = self.holds[hold]
        entry["ends"] = time.monotonic() + entry["life"]
        return 200, {"hold": hold}

    def records(self, prefix):
        return {k: self.data[k]["data"] for k in self.keys if k.startswith(prefix)}


# Machines ------------------------------------------------------------------------------

class Worker:
    """One machine with its worker, from its first report until it is deleted."""

    def __init__(self, world, uid, rig, yard, loaner):
        self.world, self.uid, self.rig, self.yard, self.loaner = world, uid, rig, yard, loaner
        self.created = time.monotonic()
        self.up = self.gone = False
        self.watch, self.tally, self.baton = 1, 0, 0
        self.tasks = collections.OrderedDict()
        self.images = set()
        self.lease_from = None
        self.is_due, self.last_sent = asyncio.Event(), 0.0
        self.baton_change_at = -1e9
        self.runs = asyncio.Event()
        self.runs.set()
        self.node = random.randrange(len(world.controllers))
        self.jobs = []

    async def boot(self, seconds):
        await asyncio.sleep(seconds)
        if self.gone:
            return
        self.server, self.port = await serve_http(self.handle)
        self.up, self.lease_from = True, time.monotonic()
        self.world.record(self.uid, f"up, address 127.0.0.1:{self.port}, zone {self.yard}")
        self.jobs = [asyncio.ensure_future(self._report()), asyncio.ensure_future(self._watch_lease())]

    def remove(self):
        self.gone = True
        for task in list(self.tasks):
            self._end(task, "the machine is gone")
        self.tasks.clear()
        for job in self.jobs:
            job.cancel()
        if self.up:
            self.server.close()

    # Faults

    def hang(self):
        self.world.record(self.uid, "hangs")
        self.runs.clear()

    def go_on(self):
        self.world.record(self.uid, "goes on")
        self._check_lease()
        self.runs.set()

    # Sessions

    def _check_lease(self):
        if time.monotonic() <= self.lease_from + self.world.workers["lease_s"]:
            return
        for task in list(self.tasks):
            self._end(task, "the lease has run out")
        self.tasks.clear()
        self.watch += 1
        self.lease_from = time.monotonic()
        self.world.record(self.uid, f"lease has run out, session {self.watch}")
        self.is_due.set()

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.05)
            if self.runs.is_set():
                self._check_lease()

    # Reports

    def view(self):
        self.tally += 1
        shifts = []
        for (shift, attempt), task in self.tasks.items():
            entry = {"shift": shift, "try": attempt, "stage": task["stage"]}
            if task["stage"] == "exited":
                entry["cause"] = task["cause"]
            shifts.append(entry)
        return {"berth": self.uid, "addr": f"127.0.0.1:{self.port}", "rig": self.rig,
                "yard": self.yard, "loaner": self.loaner, "watch": self.watch,
                "tally": self.tally, "baton": self.baton, "recall_s": None, "shifts": shifts}

    async def _report(self):
        interval = self.world.workers["report_s"]
        connection = None
        while True:
            names = [c.name for c in self.world.controllers]
            pause = interval * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.is_due.wait(), max(0, pause))
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(max(0.0, self.last_sent + 0.5 - time.monotonic()))
            await self.runs.wait()
            self.is_due.clear()
            if connection is None:
                connection = Http(self.world.controllers[self.node].port)
            sent, session = time.monotonic(), self.watch
            self.last_sent = sent
            status, answer = await connection.call("POST", "/v1/report", self.view(), 4.0)
            await self.runs.wait()
            if status == 200 and session == self.watch:
                baton = answer.get("baton")
                if baton is not None and baton >= self.baton:
                    self.lease_from = max(self.lease_from, sent)
                    self._see(baton)
                    self.execute(answer.get("orders") or [])
                continue
            if status == 200:
                continue
            connection.close()
            connection = None
            foreman = (answer or {}).get("foreman") if status == 421 else None
            if foreman in names and names.index(foreman) != self.node:
                self.node = names.index(foreman)
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                self.node = (self.node + 1) % len(names)
                await asyncio.sleep(1.0)
            self.is_due.set()

    def _see(self, baton):
        if baton <= self.baton:
            return
        self.baton = baton
        now = time.monotonic()
        if now >= self.baton_change_at + self.world.workers["lease_s"] / 2:
            self.baton_change_at = now
            self.is_due.set()

    # Direct calls

    async def handle(self, method, path, body):
        await self.runs.wait()
        if self.gone:
            return None
        if method == "GET" and path == "/status":
            return 200, self.view()
        if path != "/commands":
            return 404, {"error": "no such path"}
        call = json.loads(body)
        if call.get("baton") is None or call.get("watch") is None:
            return 400, {"error": "baton and watch are needed"}
        if call["baton"] < self.baton or call["watch"] != self.watch:
            return 409, self.view()
        self._see(call["baton"])
        self.execute(call.get("orders") or [])
        return 200, self.view()

    def execute(self, orders):
        for order in orders:
            key = (order["shift"], order["try"])
            self.world.record(self.uid, f"{order['verb']} {key[0]} try {key[1]}, token {self.baton}")
            if order["verb"] == "start":
                self._start(key)
            elif order["verb"] == "kill":
                task = self.tasks.get(key)
                if task and task["stage"] != "exited":
                    self._exit(key, "stopped")
            elif order["verb"] == "forget":
                task = self.tasks.get(key)
                if task and task["stage"] == "exited":
                    del self.tasks[key]

    # Tasks

    def _live(self):
        return {k: t for k, t in self.tasks.items() if t["stage"] != "exited"}

    def _start(self, key):
        if key in self.tasks:
            return
        job = self.world.jobs.get(key[0].split("/")[0])
        live = self._live()
        rig = self.world.rigs[self.rig]
        used = {f: sum(self.world.jobs[k[0].split("/")[0]][f] for k in live)
                for f in ("cpus", "accelerators", "mem_gb")}
        task = {"stage": "exited", "cause": None, "since": time.monotonic()}
        self.tasks[key] = task
        if job is None:
            task["cause"] = "no_such"
        elif any(k[0] == key[0] for k in live):
            task["cause"] = "in_use"
        elif any(used[f] + job[f] > rig[f] + 1e-9 for f in used):
            task["cause"] = "full"
        else:
            task["stage"] = "fetching"
            asyncio.ensure_future(self._run(key, task, job))
        self.is_due.set()

    async def _run(self, key, task, job):
        if job["kit"] not in self.images:
            await asyncio.sleep(job["image_gb"] / self.world.rigs[self.rig]["pull_gb_per_s"])
            self.images.add(job["kit"])
        await self.runs.wait()
        if self.gone or self.tasks.get(key) is not task or task["stage"] != "fetching":
            return
        task["stage"] = "running"
        self.world.on_start(key, self)
        self.is_due.set()
        run_s = self.world.run_s.get(key[0].split("/")[0])
        if run_s is None:
            return
        await asyncio.sleep(run_s)
        await self.runs.wait()
        if self.tasks.get(key) is task and task["stage"] == "running":
            self._exit(key, "done")

    def _exit(self, key, cause):
        self._end(key, cause)
        task = self.tasks[key]
        task["stage"], task["cause"] = "exited", cause
        self.is_due.set()

    def _end(self, key, why):
        if self.tasks[key]["stage"] == "running":
            self.world.on_end(key, self, why)


class Cloud:
    """The cloud, with one address for each controller, so that the record tells who called."""

    def __init__(self, world, rigs, boot_s):
        self.world, self.rigs, self.boot_s = world, rigs, boot_s
        self.machines, self.charters, self.deleted = {}, {}, {}
        self.buckets = {}

    async def start(self, name):
        self.buckets[name] = Bucket(self.world.cloud_rps * 2)

        async def handle(method, path, body):
            return await self.handle(name, method, path, body)

        _, port = await serve_http(handle)
        return port

    async def handle(self, name, method, path, body):
        await asyncio.sleep(0.02)
        path, _, query = path.partition("?")
        value = json.loads(body) if body else None
        if method == "GET" and path == "/catalog":
            return 200, {"rigs": list(self.rigs.values())}
        if method == "GET" and path == "/machines":
            return 200, self._list(dict(p.split("=", 1) for p in query.split("&") if p))
        if path == "/machines":
            return self._rent(name, value)
        if path == "/machines/delete":
            return self._delete(name, value)
        return 400, {"error": "malformed"}

    def _rent(self, name, value):
        if value["charter"] in self.charters:
            return 200, {"berths": self.charters[value["charter"]]}
        rig = self.rigs.get(value["rig"])
        left = self.world.capacity.get((value["rig"], value["yard"], value["loaner"]), 0)
        count = min(value["count"], left, 50)
        if rig is None or count == 0:
            return 503, {"error": "no capacity"}
        self.world.capacity[(value["rig"], value["yard"], value["loaner"])] = left - count
        berths = []
        for _ in range(count):
            uid = f"host-{len(self.machines) + 1:06d}"
            machine = Worker(self.world, uid, value["rig"], value["yard"], value["loaner"])
            self.machines[uid] = machine
            asyncio.ensure_future(machine.boot(self.boot_s * random.uniform(0.8, 1.2)))
            berths.append(uid)
        self.charters[value["charter"]] = berths
        self.world.record("cloud", f"{name} rents {berths} in {value['yard']}")
        return 200, {"berths": berths}

    def _delete(self, name, value):
        for uid in value["berths"]:
            machine = self.machines.get(uid)
            if machine is None or machine.gone:
                continue
            self.world.record("cloud", f"{name} deletes {uid}")
            self.world.on_delete(name, machine)
            machine.remove()
            self.deleted[uid] = time.monotonic()
            kind = (machine.rig, machine.yard, machine.loaner)
            self.world.capacity[kind] = self.world.capacity.get(kind, 0) + 1
        return 200, {}

    def _list(self, query):
        as_of = time.monotonic() - self.world.list_lag_s
        listed = []
        for uid, machine in sorted(self.machines.items()):
            if uid <= query.get("from", "") or machine.created > as_of:
                continue
            if machine.gone and self.deleted[uid] <= as_of:
                continue
            listed.append({"uid": uid, "addr": f"127.0.0.1:{getattr(machine, 'port', 0)}",
                           "rig": machine.rig, "yard": machine.yard, "loaner": machine.loaner,
                           "stage": "running" if machine.up else "booting",
                           "held_s": as_of - machine.created})
        most = int(query.get("most", 500))
        return {"berths": listed[:most], "has_next": len(listed) > most}


# Controllers ---------------------------------------------------------------------------

class Controller:
    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.port, self.peer_port = free_port(), free_port()
        self.process = None


class World:
    def __init__(self, folder, settings):
        """`settings` has zones (one a controller), teams, workers, state, cloud, rigs,
        capacity and boot_s."""
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="forkshift-review-")
        self.settings = settings
        self.workers, self.rigs = settings["workers"], settings["rigs"]
        self.cloud_rps, self.list_lag_s = settings["cloud"]["rps"], settings["cloud"]["list_lag_s"]
        self.capacity = dict(settings["capacity"])
        self.controllers = [Controller(f"berth-{i}", zone)
                            for i, zone in enumerate(settings["zones"])]
        self.state = State(settings["state"], self.record)
        self.cloud = Cloud(self, self.rigs, settings["boot_s"])
        self.cloud_ports, self.wires = {}, {}
        self.jobs, self.run_s = {}, {}
        self.running = {}
        self.starts = collections.Counter()
        self.deletions = []

    async def start(self, teams):
        await self.state.start()
        await self.connect()
        for controller in self.controllers:
            self.write_settings(controller, teams)
            self.launch(controller)

    async def connect(self):
        """Gives each controller its address of the cloud and its wires to the others."""
        for controller in self.controllers:
            if controller.name not in self.cloud_ports:
                self.cloud_ports[controller.name] = await self.cloud.start(controller.name)
            for other in self.controllers:
                if other is not controller and (controller.name, other.name) not in self.wires:
                    wire = Wire(other.peer_port)
                    await wire.open()
                    self.wires[(controller.name, other.name)] = wire

    def write_settings(self, controller, teams):
        """Writes the settings file of a controller in the form of the deploy page."""
        s, lines = self.settings, []
        lines += [f'host_name = "{controller.name}"', f'domain = "{controller.zone}"',
                  f'bind = "127.0.0.1:{controller.port}"',
                  f'cluster_listen = "127.0.0.1:{controller.peer_port}"', ""]
        for other in self.controllers:
            if other is not controller:
                port = self.wires[(controller.name, other.name)].port
                lines += ["[[peers]]", f'host_name = "{other.name}"', f'domain = "{other.zone}"',
                          f'endpoint = "127.0.0.1:{port}"', ""]
        lines += ["[external]", f'cloud = "127.0.0.1:{self.cloud_ports[controller.name]}"',
                  f'state = "127.0.0.1:{self.state.port}"', "", "[cluster]",
                  f"initial_size = {len(self.controllers)}",
                  f"zones = {json.dumps(sorted(set(s['zones'])))}",
                  "time_bound_ms = 250.0", ""]
        for team in teams:
            lines += ["[[cluster.teams]]"] + [f"{k} = {json.dumps(v)}" for k, v in team.items()] + [""]
        for objective in s.get("objectives", []):
            lines += ["[[cluster.objectives]]"]
            lines += [f"{k} = {json.dumps(v)}" for k, v in objective.items()] + [""]
        for table in ("workers", "state", "cloud", "limits"):
            lines += [f"[cluster.{table}]"] + [f"{k} = {v}" for k, v in s[table].items()] + [""]
        with open(self.settings_path(controller), "w") as file:
            file.write("\n".join(lines))

    def settings_path(self, controller):
        return os.path.join(self.temporary, f"{controller.name}.toml")

    def launch(self, controller):
        command = deploy_value("run").split() + [self.settings_path(controller)]
        log = open(os.path.join(self.temporary, f"{controller.name}.log"), "ab")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        controller.process = subprocess.Popen(
            command, cwd=REPO, stdout=log, stderr=log, env=environment,
            preexec_fn=die_with_parent)
        log.close()
        self.record(controller.name, "process started")

    def kill(self, controller):
        controller.process.kill()
        controller.process.wait()
        self.record(controller.name, "process killed")

    def stop(self, controller):
        controller.process.send_signal(signal.SIGSTOP)
        self.record(controller.name, "process stopped (SIGSTOP)")

    def go_on(self, controller):
        controller.process.send_signal(signal.SIGCONT)
        self.record(controller.name, "process goes on (SIGCONT)")

    def close(self):
        for controller in self.controllers:
            if controller.process is not None and controller.process.poll() is None:
                controller.process.send_signal(signal.SIGCONT)
                controller.process.kill()
                controller.process.wait()
        if os.environ.get("KEEP"):
            print("logs are in", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)

    # What the machines see

    def on_start(self, key, machine):
        self.record(machine.uid, f"runs {key[0]} try {key[1]}")
        self.starts[key[0]] += 1
        self.running.setdefault(key[0], []).append(machine.uid)

    def on_end(self, key, machine, why):
        self.record(machine.uid, f"ends {key[0]} try {key[1]}, {why}")
        self.running[key[0]].remove(machine.uid)

    def on_delete(self, name, machine):
        tasks = [k[0] for k, t in machine.tasks.items() if t["stage"] == "running"]
        self.deletions.append((self.record.now(), name, machine.uid, tasks))

    # Users

    async def ready(self, limit=30.0):
        """Waits until each controller answers its probe with 200, as the load balancer asks
        for. Exits with 2 if that does not come."""
        ends = time.monotonic() + limit
        for controller in self.controllers:
            while True:
                client = Http(controller.port)
                status, _ = await client.call("GET", "/up", timeout=1.0)
                client.close()
                if status == 200:
                    break
                if time.monotonic() > ends:
                    raise CannotRun(f"{controller.name} is not ready")
                await asyncio.sleep(0.2)

    def job(self, uid, **fields):
        job = {"uid": uid, "roster": "work", "crew": "team", "shape": "batch", "rank": "standard",
               "shifts": 1, "cpus": 1.0, "accelerators": 1.0, "mem_gb": 4.0, "kit": "img-01",
               "image_gb": 1.0, "rigs": None, "yard": None, "same_place": False, "scatter": False,
               "loaner": False, "expect_s": 10.0, "bookmark_s": 0.0, "stow_s": 0.0, "due_s": None}
        run_s = fields.pop("run_s", None)
        job.update(fields)
        self.jobs[uid], self.run_s[uid] = job, run_s
        return job

    async def submit(self, client, job, who="user"):
        """Submits as the protocol asks: again after 1 s, for up to 60 s. Whether accepted."""
        ends = time.monotonic() + 60
        while time.monotonic() < ends:
            status, answer = await client.call("POST", "/submissions", job, 5.0)
            self.record(who, f"submit {job['uid']}: {status} {json.dumps(answer)}")
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    async def ask(self, client, uid, who="user"):
        status, answer = await client.call("GET", f"/submissions/{uid}", timeout=2.0)
        self.record(who, f"ask {uid}: {status} {json.dumps(answer)}")
        return status, (answer or {}).get("stage")

    async def abort(self, client, uid, limit=60.0, who="user"):
        """Cancels as the protocol asks. The stage that was confirmed, and when; None without
        an answer in time."""
        ends = time.monotonic() + limit
        while time.monotonic() < ends:
            status, answer = await client.call("POST", f"/submissions/{uid}/abort", {}, 5.0)
            self.record(who, f"abort {uid}: {status} {json.dumps(answer)}")
            if status == 200:
                return answer["stage"], self.record.now()
            await asyncio.sleep(1.0)
        return None

    # What the state service holds; only to choose whom a disruption hits

    def holder_of_team_job(self, uid):
        shard = self.state.data[f"job/{uid}"]["data"]["share"]
        name = self.state.data[f"c/share/{shard}"]["data"]["holder"]
        return next(c for c in self.controllers if c.name == name)


class CannotRun(Exception):
    """The case could not run; exit 2."""


async def until(condition, limit, what):
    """Waits until a condition holds. Raises CannotRun after `limit` seconds."""
    ends = time.monotonic() + limit
    while not condition():
        if time.monotonic() > ends:
            raise CannotRun(what)
        await asyncio.sleep(0.05)


def main(folder, settings, case):
    """Runs a case, a coroutine of the world that returns whether the rule was broken, and
    exits with 1 if it was, 0 if it held, 2 if the case could not run."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder, settings)
        world.record("case", f"trouble {'on' if with_trouble else 'off'}")
        loop = asyncio.get_running_loop()
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, this.cancel)
        code = 2
        try:
            broken = await asyncio.wait_for(case(world, with_trouble), 117)
            code = 1 if broken else 0
            words = f"rule broken: {broken}" if broken else "rule held"
        except CannotRun as error:
            words = f"could not run: {error}"
        except asyncio.TimeoutError:
            words = "could not run: out of time"
        except asyncio.CancelledError:
            words = "could not run: ended from outside"
        finally:
            world.close()
        world.record("case", words)
        print(words, flush=True)
        # The stand-ins end with this process; there is nothing to unwind.
        os._exit(code)

    asyncio.run(run())
