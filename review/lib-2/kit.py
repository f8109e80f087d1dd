"""Stand-ins for the state service, the cloud, the workers, the users and the links between controllers, and the
controllers themselves as processes. Everything is on loopback addresses and the real clock. Written from the pages."""
import asyncio
import collections
import os
import random
import shlex
import shutil
import signal
import socket
import tempfile
import time
import tomllib

import cbor

HOST = "127.0.0.1"
ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
SILENT = object()   # no answer is sent on this connection
RESET = object()    # the connection is closed without an answer


def now():
    return time.monotonic()


KEPT = []   # sockets on another loopback address that tell other runs of these cases which ports are taken


def free_port():
    """A free port outside the range from which systems usually take the ports of outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(12_000, 32_000)
        kept = socket.socket()
        with socket.socket() as s:
            try:
                kept.bind(("127.0.0.2", port))
                s.bind((HOST, port))
                KEPT.append(kept)
                return port
            except OSError:
                kept.close()


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = now()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        self.file.write(f"{now() - self.start:8.3f} " + " ".join(str(w) for w in words) + "\n")

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length, close = 0, False
    for line in lines[1:]:
        name, _, value = line.partition(":")
        name = name.strip().lower()
        if name == "content-length":
            length = int(value)
        elif name == "connection" and "close" in value.lower():
            close = True
    return lines[0].split(" "), (await reader.readexactly(length) if length else b""), close


async def serve(handler, port=0, gate=None):
    """Serves HTTP/1.1. `handler(method, path, query, body)` returns (status, value), SILENT or RESET."""
    async def on_connection(reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first, body, close = await read_message(reader)
                method, target = first[0], first[1]
                path, _, text = target.partition("?")
                query = dict(part.partition("=")[::2] for part in text.split("&") if part)
                answer = await handler(method, path, query, body)
                if answer is RESET:
                    break
                if answer is SILENT:
                    await reader.read()
                    break
                status, value = answer
                raw = cbor.dumps(value)
                writer.write(f"HTTP/1.1 {status} S\r\nContent-Type: application/cbor\r\n"
                             f"Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
                await writer.drain()
                if close:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()
    server = await asyncio.start_server(on_connection, HOST, port, backlog=512, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """One connection to one address, kept open, one request at a time."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, value=None, timeout=5.0, raw=None):
        """Returns (status, value); raises OSError or asyncio.TimeoutError."""
        body = raw if raw is not None else (b"" if value is None else cbor.dumps(value))
        try:
            return await asyncio.wait_for(self._call(method, path, body), timeout)
        except (asyncio.IncompleteReadError, ValueError, IndexError) as error:
            self.close()
            raise OSError(str(error)) from error
        except BaseException:
            self.close()
            raise

    async def _call(self, method, path, body):
        if self.writer is None or self.writer.is_closing() or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port, limit=1 << 20)
            self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
                          f"Content-Type: application/cbor\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await self.writer.drain()
        first, raw, close = await read_message(self.reader)
        if close:
            self.close()
        try:
            value = cbor.loads(raw) if raw else None
        except Exception:
            value = raw
        return int(first[1]), value


class Bucket:
    def __init__(self, rate, depth):
        self.rate, self.depth, self.level, self.at = rate, depth, depth, now()

    def take(self, n=1.0):
        t = now()
        self.level = min(self.depth, self.level + (t - self.at) * self.rate)
        self.at = t
        if self.level + 1e-9 >= n:
            self.level -= n
            return True
        return False


# ---------------------------------------------------------------- state service

class State:
    """`hook(caller, method, path, body)` may return None (as always), "503", "silent" (not carried out, no answer),
    "lost" (carried out, no answer) or ("late", seconds) (no answer, carried out later)."""

    def __init__(self, rps=100.0, write_rps=15.0, value_kb=8.0, txn_ops=8, latency_s=0.004):
        self.kv, self.epoch = {}, 1
        self.events = collections.deque(maxlen=10_000)
        self.leases, self.last_lease = {}, 0
        self.requests, self.writes = Bucket(rps, rps), Bucket(write_rps, write_rps)
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.latency_s, self.hook, self.down = latency_s, None, False
        self.changed = asyncio.Event()
        self.served = collections.Counter()

    async def listen(self, callers):
        ports = []
        for caller in range(callers):
            async def handler(method, path, query, body, caller=caller):
                return await self.handle(caller, method, path, query, body)
            _, port = await serve(handler)
            ports.append(port)
        asyncio.get_running_loop().create_task(self.expire())
        return ports

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                continue
            t = now()
            for lease in [l for l, (_, end) in self.leases.items() if end < t]:
                self.end_lease(lease)

    def set_down(self, down):
        self.down = down
        if not down:
            t = now()
            self.leases = {l: (life, t + life) for l, (life, _) in self.leases.items()}
        self.wake()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, entry in self.kv.items() if entry[2] == lease]
        if keys:
            self.epoch += 1
            for k in keys:
                self.remove(k)
            self.wake()

    def remove(self, key):
        if self.kv.pop(key, None) is not None:
            self.events.append({"delete": key, "stamp": self.epoch})

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, caller, method, path, query, body):
        await asyncio.sleep(self.latency_s)
        verdict = self.hook(caller, method, path, body) if self.hook else None
        if verdict == "503" or self.down:
            return 503, {"error": "down"}
        if verdict == "silent":
            return SILENT
        if not self.requests.take():
            return 429, {"error": "rate"}
        if isinstance(verdict, tuple):
            async def later():
                await asyncio.sleep(verdict[1])
                if not self.down:
                    self.carry_out(method, path, query, body)
            asyncio.get_running_loop().create_task(later())
            return SILENT
        if path == "/changes":
            return await self.changes(query)
        answer = self.carry_out(method, path, query, body)
        return SILENT if verdict == "lost" else answer

    def carry_out(self, method, path, query, body):
        self.served[method + " " + path.split("/")[1]] += 1
        if path == "/kv" and method == "GET":
            return self.list(query)
        if path.startswith("/kv/") and method == "GET":
            entry = self.kv.get(path[4:])
            if entry is None:
                return 404, {"epoch": self.epoch}
            value, stamp, lease = entry
            return 200, {"k": path[4:], "value": value, "stamp": stamp, "tether": lease}
        if path == "/txn":
            return self.txn(cbor.loads(body))
        if path == "/leases" and method == "POST":
            self.last_lease += 1
            life = cbor.loads(body)["life_ms"] / 1000
            self.leases[self.last_lease] = (life, now() + life)
            return 200, {"tether": self.last_lease}
        if path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_lease(lease)
            else:
                life = self.leases[lease][0]
                self.leases[lease] = (life, now() + life)
            return 200, {"tether": lease}
        return 400, {"error": "malformed"}

    def list(self, query):
        prefix, since, page = query.get("prefix", ""), query.get("since", ""), int(query.get("page", 1000))
        keys = sorted(k for k in self.kv if k.startswith(prefix) and k > since)
        entries, size = [], 0
        for k in keys[:min(page, 1000)]:
            entry = {"k": k, "value": self.kv[k][0], "stamp": self.kv[k][1]}
            size += len(cbor.dumps(entry))
            if entries and size > 400 * 1024:
                break
            entries.append(entry)
        return 200, {"entries": entries, "more": len(entries) < len(keys), "epoch": self.epoch}

    def txn(self, txn):
        apply = txn.get("apply") or []
        when = txn.get("when") or []
        if len(apply) > self.txn_ops or len(when) > 4 * self.txn_ops:
            return 400, {"error": "too many operations"}
        if not self.writes.take(len(apply)):
            return 429, {"error": "write rate"}
        for op in apply:
            if op.get("tether") is not None and op["tether"] not in self.leases:
                return 400, {"error": "no such lease"}
            if "put" in op and len(cbor.dumps(op["value"])) > self.value_bytes:
                return 400, {"error": "value too large"}
        failed = [c["k"] for c in when if (self.kv[c["k"]][1] if c["k"] in self.kv else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if apply:
            self.epoch += 1
            for op in apply:
                if "put" in op:
                    self.kv[op["put"]] = [op["value"], self.epoch, op.get("tether")]
                    self.events.append({"put": op["put"], "value": op["value"], "stamp": self.epoch})
                else:
                    self.remove(op["delete"])
            self.wake()
        return 200, {"epoch": self.epoch}

    async def changes(self, query):
        prefix, since = query.get("prefix", ""), int(query.get("since", 0))
        end = now() + min(60_000, int(query.get("block_ms", 0))) / 1000
        while True:
            if len(self.events) == self.events.maxlen and self.events[0]["stamp"] > since + 1:
                return 410, {"error": "too old"}
            events = [e for e in self.events if e["stamp"] > since and (e.get("put") or e.get("delete")).startswith(prefix)]
            left = end - now()
            if not self.down and (events or left <= 0):
                return 200, {"epoch": self.epoch, "events": events}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, left if left > 0 else 1.0))
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- workers

class Ledger:
    """What is on machines: a task is on its machine from the moment it has its image until it is gone."""

    def __init__(self, record):
        self.record, self.on = record, collections.defaultdict(dict)
        self.starts, self.completed, self.violations = collections.Counter(), collections.Counter(), []
        self.first_start, self.last_end = {}, {}

    def start(self, shard, machine, attempt):
        others = [m for m in self.on[shard] if m != machine.name]
        if others:
            self.violations.append(("ran_twice", shard, machine.name, others))
            self.record("BROKEN ran_twice", shard, "starts on", machine.name, "while on", others)
        self.on[shard][machine.name] = attempt
        self.starts[shard] += 1
        self.first_start.setdefault(shard, now())
        self.record("start", shard, "try", attempt, "on", machine.name)

    def end(self, shard, machine, why):
        if self.on[shard].pop(machine.name, None) is not None:
            self.last_end[shard] = now()
            if why == "done":
                self.completed[shard] += 1
            self.record("end", shard, "on", machine.name, why)

    def running(self):
        return {s: list(m) for s, m in self.on.items() if m}


class Worker:
    """Per the page: reports, launches, stops, reaps, tokens, leases. Jobs in `world.mistakes` exit with `error`."""

    def __init__(self, world, name, kind, zone, spot):
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        self.type = world.types[kind]
        self.tenure, self.tally, self.warrant, self.recall_s = 1, 0, 0, None
        self.tasks, self.images, self.gone, self.hung = {}, set(), False, False
        self.cut, self.cut_from, self.direct_cut = False, set(), False   # cut: True holds, "reset" resets
        self.node = world.rng.randrange(len(world.nodes))
        self.dirty = asyncio.Event()
        self.lease_from, self.jobs, self.server, self.port = now(), [], None, 0
        self.answers = []   # (time, node, warrant) of answers 200 that were accepted
        self.refused = []   # (time, warrant) of direct commands answered 409 for their lower warrant

    async def begin(self):
        self.server, self.port = await serve(self.on_request)
        self.lease_from = now()
        loop = asyncio.get_running_loop()
        self.jobs = [loop.create_task(self.report_loop()), loop.create_task(self.lease_loop())]
        self.world.record("machine up", self.name, self.kind, self.zone, "spot" if self.spot else "ordinary")

    def vanish(self, why):
        if self.gone:
            return
        self.gone = True
        for job in self.jobs:
            job.cancel()
        if self.server:
            self.server.close()
        self.drop_tasks(why)
        self.world.record("machine gone", self.name, why)

    def drop_tasks(self, why):
        for shard, task in list(self.tasks.items()):
            if task.get("timer"):
                task["timer"].cancel()
            if task["status"] in ("running", "saving"):
                self.world.ledger.end(shard, self, why)
        self.tasks.clear()

    def report(self):
        shards = []
        for shard, task in self.tasks.items():
            entry = {"shard": shard, "try": task["try"], "status": task["status"]}
            if task["status"] == "exited":
                entry["cause"] = task["cause"]
                if task["cause"] == "stopped":
                    entry["saved"] = task.get("saved", False)
            shards.append(entry)
        self.tally += 1
        return {"perch": self.name, "endpoint": f"{HOST}:{self.port}", "build": self.kind, "yard": self.zone,
                "loaner": self.spot, "tenure": self.tenure, "tally": self.tally, "warrant": self.warrant,
                "recall_s": self.recall_s, "shards": shards}

    def check_lease(self):
        if now() - self.lease_from > self.world.lease_s:
            self.drop_tasks("lease ended")
            self.tenure += 1
            self.lease_from = now()
            self.world.record("lease ended", self.name, "tenure", self.tenure)
            self.dirty.set()

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.hung:
                self.check_lease()

    async def report_loop(self):
        client, last = None, 0.0
        while True:
            try:
                wait = self.world.report_s * self.world.rng.uniform(0.75, 1.25)
                try:
                    await asyncio.wait_for(self.dirty.wait(), wait)
                except asyncio.TimeoutError:
                    pass
                await asyncio.sleep(max(0.0, last + 0.5 - now()))
                while self.hung:
                    await asyncio.sleep(0.05)
                self.dirty.clear()
                last = now()
                node = self.world.nodes[self.node]
                sent, tenure = now(), self.tenure
                if client is None or client.port != node.front:
                    if client:
                        client.close()
                    client = Client(HOST, node.front)
                status, value = None, None
                if self.cut or self.node in self.cut_from:
                    await asyncio.sleep(0.0 if self.cut == "reset" else 4.0)
                    client.close()
                else:
                    try:
                        status, value = await client.call("POST", "/checkin", self.report(), 4.0)
                    except (OSError, asyncio.TimeoutError):
                        pass
                if self.cut == "reset":
                    status, value = None, None
                while self.hung:
                    await asyncio.sleep(0.05)
                self.check_lease()
                if status == 200 and now() - sent <= 4.0:
                    if tenure == self.tenure:
                        self.on_response(value, sent, node)
                    continue
                self.world.record("report", self.name, "to", node.name, "got", status,
                                  (value or {}).get("steward", "") if isinstance(value, dict) else "")
                client.close()
                names = [n.name for n in self.world.nodes]
                steward = value.get("steward") if status == 421 and isinstance(value, dict) else None
                if steward in names and names.index(steward) != self.node:
                    self.node = names.index(steward)
                    self.dirty.set()
                else:
                    self.node = (self.node + 1) % len(names)
                    await asyncio.sleep(1.0)
                    self.dirty.set()
            except asyncio.CancelledError:
                raise
            except Exception as error:
                self.world.record("stand-in error", self.name, repr(error))
                await asyncio.sleep(0.5)

    def on_response(self, value, sent, node):
        warrant = value.get("warrant")
        if warrant is None or warrant < self.warrant:
            self.world.record("dropped", self.name, "answer of", node.name, "warrant", warrant, "<", self.warrant)
            return
        if warrant > self.warrant:
            self.warrant = warrant
            self.dirty.set()
        self.lease_from = max(self.lease_from, sent)
        self.answers.append((now(), node.name, warrant))
        self.carry_out(value.get("orders") or [], node.name)

    def carry_out(self, orders, source):
        for order in orders:
            verb, shard = order["verb"], order["shard"]
            self.world.record("order", verb, shard, "try", order["try"], "to", self.name, "from", source)
            task = self.tasks.get(shard)
            if verb == "launch":
                self.launch(shard, order["try"])
            elif verb == "stop" and task and task["try"] == order["try"]:
                self.stop(shard, task, order.get("leeway_s") or 0)
            elif verb == "reap" and task and task["try"] == order["try"] and task["status"] == "exited":
                del self.tasks[shard]

    def launch(self, shard, attempt):
        task = self.tasks.get(shard)
        if task:
            if task["try"] == attempt:
                return
            self.world.record("busy", shard, self.name)
            if task["status"] != "exited":
                return
        spec = self.world.uploads.get(shard.split("/")[0])
        if spec is None:
            self.tasks[shard] = {"try": attempt, "status": "exited", "cause": "unknown"}
            self.dirty.set()
            return
        live = [self.world.uploads[s.split("/")[0]] for s, t in self.tasks.items() if t["status"] != "exited" and s != shard]
        if (sum(j["vcpus"] for j in live) + spec["vcpus"] > self.type["vcpus"] + 1e-6
                or sum(j["memory_gb"] for j in live) + spec["memory_gb"] > self.type["memory_gb"] + 1e-6):
            self.tasks[shard] = {"try": attempt, "status": "exited", "cause": "no_room"}
            self.world.record("no_room", shard, self.name)
            self.dirty.set()
            return
        fetch = 0.0 if spec["bundle"] in self.images else spec["pull_gb"] / self.type["fetch_gb_per_s"]
        self.tasks[shard] = task = {"try": attempt, "status": "fetching"}
        task["timer"] = asyncio.get_running_loop().call_later(max(fetch, 0.01), self.ready, shard, task)
        self.dirty.set()

    def ready(self, shard, task):
        if self.gone or self.tasks.get(shard) is not task:
            return
        spec = self.world.uploads[shard.split("/")[0]]
        self.images.add(spec["bundle"])
        self.world.ledger.start(shard, self, task["try"])
        task["status"] = "running"
        if self.world.ledger.completed[shard]:
            return self.exit(shard, task, "done")
        seconds = self.world.run_s.get(shard.split("/")[0], 5.0)
        if spec["shape"] != "daemon":
            task["timer"] = asyncio.get_running_loop().call_later(seconds, self.exit, shard, task, "done")
        self.dirty.set()

    def exit(self, shard, task, cause):
        if self.gone or self.tasks.get(shard) is not task or task["status"] == "exited":
            return
        if cause == "done" and shard.split("/")[0] in self.world.mistakes:
            cause = "error"
        if self.hung:
            asyncio.get_running_loop().call_later(0.2, self.exit, shard, task, cause)
            return
        if task["status"] in ("running", "saving"):
            self.world.ledger.end(shard, self, cause)
        task["status"], task["cause"] = "exited", cause
        self.dirty.set()

    def stop(self, shard, task, leeway):
        if task["status"] == "exited":
            return
        if task.get("timer"):
            task["timer"].cancel()
        spec = self.world.uploads[shard.split("/")[0]]
        if task["status"] == "running" and spec["savepoint_s"] > 0 and leeway >= spec["flush_s"]:
            task["status"], task["saved"] = "saving", True
            task["timer"] = asyncio.get_running_loop().call_later(spec["flush_s"], self.exit, shard, task, "stopped")
            self.dirty.set()
        else:
            self.exit(shard, task, "stopped")

    async def on_request(self, method, path, query, body):
        if self.cut or self.direct_cut:
            return RESET if self.cut == "reset" else SILENT
        while self.hung:
            await asyncio.sleep(0.05)
        if path == "/inspect":
            return 200, self.report()
        value = cbor.loads(body)
        if "warrant" not in value or "tenure" not in value:
            return 400, {"error": "missing"}
        if value["warrant"] < self.warrant or value["tenure"] != self.tenure:
            self.world.record("409 to /do", self.name, "warrant", value["warrant"], "seen", self.warrant)
            if value["warrant"] < self.warrant:
                self.refused.append((now(), value["warrant"]))
            return 409, self.report()
        if value["warrant"] > self.warrant:
            self.warrant = value["warrant"]
            self.dirty.set()
        self.carry_out(value.get("orders") or [], "/do")
        return 200, self.report()


# ---------------------------------------------------------------- cloud

class Cloud:
    def __init__(self, world, capacity, rps=8.0, lag_s=3.0, latency_s=0.05):
        self.world, self.capacity, self.lag_s, self.latency_s = world, dict(capacity), lag_s, latency_s
        self.calls = Bucket(rps, 2 * rps)
        self.machines, self.hires, self.last, self.down = {}, {}, 0, False
        self.releases = []   # (time, caller, names)

    async def listen(self, callers):
        ports = []
        for caller in range(callers):
            async def handler(method, path, query, body, caller=caller):
                return await self.handle(caller, method, path, query, body)
            _, port = await serve(handler)
            ports.append(port)
        return ports

    def rent(self, kind, zone, spot, boot_s):
        self.last += 1
        name = f"n-{self.last:06d}"
        worker = Worker(self.world, name, kind, zone, spot)
        self.machines[name] = {"worker": worker, "at": now(), "up": now() + boot_s, "gone": None}
        asyncio.get_running_loop().call_later(boot_s, lambda: asyncio.ensure_future(self.boot(name)))
        return name

    async def boot(self, name):
        if self.machines[name]["gone"] is None:
            await self.machines[name]["worker"].begin()

    def used(self, kind, zone, spot):
        return sum(1 for m in self.machines.values() if m["gone"] is None
                   and (m["worker"].kind, m["worker"].zone, m["worker"].spot) == (kind, zone, spot))

    def take(self, name, why):
        machine = self.machines.get(name)
        if machine and machine["gone"] is None:
            machine["gone"] = now()
            machine["worker"].vanish(why)

    async def handle(self, caller, method, path, query, body):
        await asyncio.sleep(self.latency_s)
        if self.down:
            return 503, {"error": "trouble"}
        if not self.calls.take():
            return 429, {"error": "rate"}
        if path == "/machine_types":
            return 200, {"builds": list(self.world.types.values())}
        if path == "/rentals" and method == "GET":
            return self.list(query)
        value = cbor.loads(body)
        if path == "/rentals":
            hire = value["hire"]
            if hire not in self.hires:
                key = (value["build"], value["yard"], value["loaner"])
                room = min(value["number"], self.capacity.get(key, 0) - self.used(*key), 50)
                if room <= 0:
                    self.world.record("rental refused", hire, *key)
                    return 503, {"error": "no capacity"}
                boot_s = self.world.types[value["build"]]["startup_s"]
                self.hires[hire] = [self.rent(*key, boot_s * self.world.rng.uniform(0.6, 1.5)) for _ in range(room)]
                self.world.record("rental", hire, *key, self.hires[hire], "by", self.world.nodes[caller].name)
            return 200, {"perches": self.hires[hire]}
        if path == "/rentals/release":
            names = value["perches"]
            self.releases.append((now(), caller, names))
            for name in names:
                tasks = [s for s, t in self.machines[name]["worker"].tasks.items() if t["status"] in ("running", "saving")] \
                    if name in self.machines else []
                self.world.record("release", name, "by", self.world.nodes[caller].name, "running there:", tasks)
                self.take(name, "released")
            return 200, {}
        return 400, {"error": "malformed"}

    def list(self, query):
        as_of = now() - self.lag_s
        since, page = query.get("since", ""), int(query.get("page", 500))
        names = sorted(n for n, m in self.machines.items()
                       if n > since and m["at"] <= as_of and (m["gone"] is None or m["gone"] > as_of))
        entries = []
        for name in names[:page]:
            m = self.machines[name]
            w = m["worker"]
            entries.append({"uid": name, "endpoint": f"{HOST}:{w.port or 1}", "build": w.kind, "yard": w.zone,
                            "loaner": w.spot, "status": "running" if m["up"] <= as_of else "starting",
                            "held_s": as_of - m["at"]})
        return 200, {"perches": entries, "more": len(names) > page}


# ---------------------------------------------------------------- links between controllers

class Link:
    """A TCP proxy from one controller to the peer port of another."""

    def __init__(self, target):
        self.target, self.open, self.pairs = target, True, set()

    async def listen(self):
        server = await asyncio.start_server(self.on_connection, HOST, 0)
        return server.sockets[0].getsockname()[1]

    def cut(self):
        self.open = False
        for writer in list(self.pairs):
            writer.transport.abort()

    def restore(self):
        self.open = True

    async def on_connection(self, reader, writer):
        if not self.open:
            writer.transport.abort()
            return
        try:
            other_reader, other = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            return
        self.pairs |= {writer, other}

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError, asyncio.CancelledError):
                pass
            finally:
                sink.close()
        try:
            await asyncio.gather(pump(reader, other), pump(other_reader, writer))
        except asyncio.CancelledError:
            pass
        self.pairs -= {writer, other}


# ---------------------------------------------------------------- controllers

class Node:
    def __init__(self, world, index, zone):
        self.world, self.index, self.name, self.zone = world, index, f"perch-{index}", zone
        self.front, self.peer, self.process, self.log = free_port(), free_port(), None, None

    def start(self):
        if self.log is None:
            self.log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as f:
            run = shlex.split(tomllib.load(f)["run"])
        run[0] = os.path.join(ROOT, run[0])
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        import subprocess
        self.process = subprocess.Popen(run + [self.config], cwd=self.world.folder, env=env, stdin=subprocess.DEVNULL,
                                        stdout=subprocess.DEVNULL, stderr=self.log)
        self.world.record("controller start", self.name)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
            self.world.record("controller killed", self.name)

    def rss_mb(self):
        with open(f"/proc/{self.process.pid}/statm") as f:
            return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


TEMPLATE = """member = "{name}"
domain = "{zone}"
front = "{host}:{front}"
peer_listen = "{host}:{peer}"
{siblings}
[endpoints]
cloud = "{host}:{cloud}"
state = "{host}:{state}"

[cluster]
count = {count}
zones = [{zones}]
time_bound_ms = 25.0
{teams}{objectives}
[cluster.workers]
report_s = {report_s}
lease_s = {lease_s}
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = {cancel_s}

[cluster.state]
rps = {rps}
write_rps = {write_rps}
value_kb = {value_kb}
txn_ops = {txn_ops}

[cluster.cloud]
rps = 8.0
list_lag_s = {list_lag_s}

[cluster.quota]
cpu = 0.12
ram_mb = {ram_mb}
fd_limit = {fd_limit}
"""

MURBOX = {"name": "murbox-16", "vcpus": 16.0, "accelerators": 0.0, "memory_gb": 64.0, "local_gb": 35.0,
          "fetch_gb_per_s": 0.25, "price": 0.91, "spot_price": 0.34, "startup_s": 25.0, "yards": ["leoben-nord"]}


class World:
    """One deployment. The defaults are those of `leoben-seismik`."""

    def __init__(self, record, nodes=3, zones=("leoben-nord",), types=(MURBOX,), capacity=None, teams=None, seed=1,
                 report_s=1.5, lease_s=10.0, cancel_s=30.0, rps=100.0, write_rps=15.0, value_kb=8.0, txn_ops=8,
                 list_lag_s=3.0, ram_mb=72.0, fd_limit=1200, objectives=""):
        self.record, self.rng = record, random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.types = {t["name"]: t for t in types}
        self.report_s, self.lease_s, self.cancel_s = report_s, lease_s, cancel_s
        self.settings = dict(rps=rps, write_rps=write_rps, value_kb=value_kb, txn_ops=txn_ops, ram_mb=ram_mb,
                             fd_limit=fd_limit, list_lag_s=list_lag_s)
        self.zones, self.objectives = zones, objectives
        self.teams = teams or {f"seismik-dienst-{i:02d}": (16.0, 48.0) for i in range(16)}
        self.nodes = [Node(self, i, zones[i % len(zones)]) for i in range(nodes)]
        self.ledger = Ledger(record)
        self.uploads, self.run_s, self.next_id, self.mistakes = {}, {}, 1, set()
        if capacity is None:
            capacity = {("murbox-16", "leoben-nord", False): 20, ("murbox-16", "leoben-nord", True): 12}
        self.state = State(rps, write_rps, value_kb, txn_ops)
        self.cloud = Cloud(self, capacity, lag_s=list_lag_s)
        self.links = {}

    async def begin(self, machines=()):
        """Starts the stand-ins, the machines that are up at the start, and writes the settings."""
        states = await self.state.listen(len(self.nodes))
        clouds = await self.cloud.listen(len(self.nodes))
        for a in self.nodes:
            siblings = ""
            for b in self.nodes:
                if a is b:
                    continue
                link = Link(b.peer)
                self.links[a.index, b.index] = link
                port = await link.listen()
                siblings += f'\n[[siblings]]\nmember = "{b.name}"\ndomain = "{b.zone}"\naddr = "{HOST}:{port}"\n'
            teams = "".join(f'\n[[cluster.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {limit}\ngpus = 0.0\n'
                            f'gpus_max = 0.0\n' for name, (cpus, limit) in self.teams.items())
            text = TEMPLATE.format(name=a.name, zone=a.zone, host=HOST, front=a.front, peer=a.peer, siblings=siblings,
                                   cloud=clouds[a.index], state=states[a.index], count=len(self.nodes),
                                   zones=", ".join(f'"{z}"' for z in self.zones), teams=teams,
                                   objectives=self.objectives, report_s=self.report_s, lease_s=self.lease_s,
                                   cancel_s=self.cancel_s, **self.settings)
            a.config = os.path.join(self.folder, a.name + ".toml")
            with open(a.config, "w", encoding="utf-8") as f:
                f.write(text)
        for kind, zone, spot in machines:
            self.cloud.rent(kind, zone, spot, 0.0)

    def start_nodes(self):
        for node in self.nodes:
            node.start()

    def room_for(self, spec):
        """Names of the machines that are up and heard, that the job permits and that have room for one task now."""
        names = []
        for name, machine in self.cloud.machines.items():
            w = machine["worker"]
            if machine["gone"] is not None or not w.answers or now() - w.answers[-1][0] > 5.0 or w.recall_s is not None:
                continue
            if (spec["builds"] and w.kind not in spec["builds"]) or (spec["yard"] and spec["yard"] != w.zone) \
                    or (w.spot and not spec["loaner"]):
                continue
            live = [self.uploads[s.split("/")[0]] for s, t in w.tasks.items() if t["status"] != "exited"]
            if all(sum(j[amount] for j in live) + spec[amount] <= w.type[amount] + 1e-6 for amount in ("vcpus", "memory_gb")):
                names.append(name)
        return names

    def used_by(self, team):
        return sum(self.uploads[s.split("/")[0]]["vcpus"] * len(m) for s, m in self.ledger.on.items()
                   if m and self.uploads[s.split("/")[0]]["owner"] == team)

    def started(self, spec):
        return any(s.split("/")[0] == spec["uid"] for s in self.ledger.first_start)

    async def waits_beside_room(self, spec, limit_s=90.0):
        """Watches a job of one task that was accepted just now. Returns True if it waited for `limit_s` without a
        start while, at every look, a machine that fits had room and its team was under its limit."""
        since, look = now(), 0
        while not self.started(spec):
            limit = self.teams[spec["owner"]][1]
            room = self.room_for(spec)
            if not room or self.used_by(spec["owner"]) + spec["vcpus"] > limit:
                since = now()
            if now() - since > limit_s:
                self.record("BROKEN", spec["uid"], f"waited {now() - since:.1f} s beside room on", room)
                return True
            look += 1
            if look % 20 == 0:
                self.record("waiting", spec["uid"], f"{now() - since:.1f} s", "room on", room)
            if look % 100 == 0:
                await self.poll(spec["uid"])
            await asyncio.sleep(0.25)
        self.record("started", spec["uid"])
        return False

    def leader(self):
        entry = self.state.kv.get("leader")
        return next((n for n in self.nodes if entry and n.name == entry[0].get("member")), None)

    async def wait_for(self, test, seconds):
        end = now() + seconds
        while now() < end:
            if test():
                return True
            await asyncio.sleep(0.05)
        return False

    async def wait_healthy(self, seconds=15):
        end = now() + seconds
        while now() < end:
            codes = [await self.ask(n, "GET", "/healthz", timeout=1.0) for n in self.nodes]
            if all(c[0] == 200 for c in codes):
                return True
            await asyncio.sleep(0.2)
        return False

    async def ask(self, node, method, path, value=None, timeout=5.0, raw=None):
        """One request of a user on a connection of its own. (0, None) is no answer."""
        client = Client(HOST, node.front)
        try:
            return await client.call(method, path, value, timeout, raw)
        except (OSError, asyncio.TimeoutError):
            return 0, None
        finally:
            client.close()

    def job(self, owner, shards=1, vcpus=2.0, memory_gb=4.0, run_s=5.0, **more):
        uid = f"req-{self.next_id:06d}"
        self.next_id += 1
        spec = {"uid": uid, "workclass": "waveform-rebuild", "owner": owner, "shape": "batch", "precedence": "normal",
                "shards": shards, "vcpus": vcpus, "accelerators": 0.0, "memory_gb": memory_gb, "bundle": "img-01",
                "pull_gb": 0.2, "builds": None, "yard": None, "one_zone": False, "spread": False, "loaner": True,
                "expected_s": float(run_s), "savepoint_s": 0.0, "flush_s": 0.0, "due_s": None}
        spec.update(more)
        self.uploads[uid], self.run_s[uid] = spec, run_s
        return spec

    async def submit(self, spec, node=None, seconds=60):
        """As a user does: repeated on other nodes until there is an answer. Returns the status."""
        end, at = now() + seconds, node.index if node else self.rng.randrange(len(self.nodes))
        while now() < end:
            target = self.nodes[at % len(self.nodes)]
            status, value = await self.ask(target, "POST", "/submissions", spec)
            self.record("submit", spec["uid"], "to", target.name, "got", status, value)
            if status in (200, 201, 400, 422):
                return status
            at += 1
            await asyncio.sleep(1.0)
        return 0

    async def poll(self, uid, node=None):
        target = node or self.rng.choice(self.nodes)
        status, value = await self.ask(target, "GET", f"/submissions/{uid}", timeout=2.0)
        self.record("poll", uid, "at", target.name, "got", status, value)
        return status, value

    async def cancel(self, uid, node=None, seconds=60):
        end, at = now() + seconds, node.index if node else self.rng.randrange(len(self.nodes))
        while now() < end:
            target = self.nodes[at % len(self.nodes)]
            status, value = await self.ask(target, "POST", f"/submissions/{uid}/cancel")
            self.record("cancel", uid, "at", target.name, "got", status, value)
            if status == 200:
                return value
            at += 1
            await asyncio.sleep(1.0)
        return None

    def end(self, keep_logs=False):
        for node in self.nodes:
            node.kill()
            if node.log:
                node.log.close()
        if keep_logs:
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case, record_path):
    """Runs `case(record, trouble)`; it returns 0, 1 or 2. Ends all controllers whatever happens."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble", trouble)

    def on_terminate(*_):
        raise SystemExit(2)
    signal.signal(signal.SIGTERM, on_terminate)
    try:
        code = asyncio.run(case(record, trouble))
    except Exception as error:
        record("the case couldn't run:", repr(error))
        print("the case couldn't run:", repr(error))
        code = 2
    record("exit code", code)
    record.close()
    return code
