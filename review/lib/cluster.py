"""Stand-ins of the cloud, the workers and the users, the controllers as processes, and the record of what is seen.

The workers follow PROTOCOL-grebewood.md. What they may see is judged as it happens: a breach of a rule goes to
`World.broken`.
"""

import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

from state import StateService
from wire import Answer, Client, Closed, SILENT, decode, json_size, request, serve

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """Writes `record.txt`: seconds since the start, and what was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
                self.file.flush()

    def now(self):
        return time.monotonic() - self.start


def run_case(main):
    """Ends with the case's result: 0 the rule held, 1 it was broken, 2 the case couldn't run."""
    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        code = main()
    except SystemExit:
        code = 2
    except Exception:
        traceback.print_exc()
        code = 2
    if code == 2:
        print("the case couldn't run")
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


class World:
    """Jobs, the tasks that are on machines, and the rules."""

    def __init__(self, record, cancel_s, limits):
        self.record, self.cancel_s, self.limits = record, cancel_s, limits
        self.lock = threading.RLock()
        self.jobs = {}
        self.on_machine = {}     # shard -> {machine: (try, since)}
        self.completed = set()   # shards whose result is kept
        self.starts = {}
        self.machines = {}       # name -> Worker
        self.broken = []

    def breach(self, rule, text):
        with self.lock:
            self.broken.append((rule, text))
        self.record(f"RULE BROKEN {rule}: {text}")

    def job_of(self, shard):
        return self.jobs.get(shard.rsplit("/", 1)[0])

    def started(self, machine, shard, attempt):
        with self.lock:
            job = self.job_of(shard)
            others = [m for m in self.on_machine.get(shard, {}) if m != machine.name]
            if others:
                self.breach("ran_twice", f"{shard} starts on {machine.name} while it is on {others}")
            self.on_machine.setdefault(shard, {})[machine.name] = (attempt, time.monotonic())
            self.starts[shard] = self.starts.get(shard, 0) + 1
            self.record(f"run: {shard} try {attempt} starts on {machine.name}")
            if job:
                cancelled = job.get("cancelled_at")
                if cancelled and time.monotonic() - cancelled > self.cancel_s:
                    self.breach("ran_cancelled", f"{shard} starts {time.monotonic() - cancelled:.1f} s after it was cancelled")
                team = job["owner"]
                used = sum(self.jobs[s.rsplit("/", 1)[0]]["vcpus"] * len(ms) for s, ms in self.on_machine.items()
                           if ms and self.jobs[s.rsplit("/", 1)[0]]["owner"] == team)
                if used > self.limits.get(team, 1e9) + 1e-6:
                    self.breach("quota", f"team {team} uses {used} CPUs")
                if not job["loaner"] and machine.loaner:
                    self.breach("wrong_place", f"{shard} on a spot machine")
                uid = job["uid"]
                zones = [m.yard for other, ms in self.on_machine.items() if other.rsplit("/", 1)[0] == uid
                         for m in (self.machines.get(name) for name in ms) if m]
                if job["one_zone"] and len(set(zones)) > 1:
                    self.breach("wrong_place", f"{shard} in {machine.yard}, the job's tasks are in {zones}")
                if job["spread"] and zones.count(machine.yard) > (job["shards"] + 1) // 2:
                    self.breach("wrong_place", f"{shard} in {machine.yard}, the job's tasks are in {zones}")
                if job.get("yard") and job["yard"] != machine.yard:
                    self.breach("wrong_place", f"{shard} in {machine.yard}")

    def ended(self, machine, shard, why):
        with self.lock:
            if self.on_machine.get(shard, {}).pop(machine.name, None):
                self.record(f"run: {shard} off {machine.name}: {why}")

    def check_cancelled(self):
        with self.lock:
            for shard, machines in self.on_machine.items():
                job = self.job_of(shard)
                at = job and job.get("cancelled_at")
                if machines and at and time.monotonic() - at > self.cancel_s and shard not in job.setdefault("reported", set()):
                    job["reported"].add(shard)
                    self.breach("ran_cancelled", f"{shard} is on {list(machines)} {time.monotonic() - at:.1f} s after it was cancelled")


class Worker:
    """One machine with its worker."""

    def __init__(self, cluster, name, build, yard, loaner):
        self.cluster, self.world, self.record = cluster, cluster.world, cluster.record
        self.name, self.build, self.yard, self.loaner = name, build, yard, loaner
        self.world.machines[name] = self
        self.settings = cluster.settings
        self.lock = threading.RLock()
        self.tasks = {}
        self.images = set()
        self.fetching = {}
        self.token, self.tenure, self.tally = 0, 1, 0
        self.gone = False
        self.cut = self.mute = self.deaf = False
        self.hang_until = 0.0
        self.lease_from = time.monotonic()
        self.changed = False
        self.token_change_at = 0.0
        self.log_reports = False
        self.node = random.choice(cluster.names)
        self.address = serve(self._serve)
        self.endpoint = f"{self.address[0]}:{self.address[1]}"
        self.last_ok = None
        self.had_tasks = 0
        threading.Thread(target=self._run, daemon=True).start()
        threading.Thread(target=self._report_loop, daemon=True).start()

    def hanging(self):
        return time.monotonic() < self.hang_until

    # The machine.
    def _run(self):
        while not self.gone:
            time.sleep(0.02)
            with self.lock:
                if not self.hanging():
                    self._advance()
                elif time.monotonic() - self.lease_from > self.settings["lease_s"]:
                    # It can only resume within its lease: afterwards it kills its tasks before anything else.
                    for shard, _ in list(self.tasks):
                        self.world.ended(self, shard, "lease ended while the machine hangs")

    def _advance(self):
        """Everything that is due; the lease first, so that a machine that hung for longer kills its tasks."""
        now = time.monotonic()
        if now - self.lease_from > self.settings["lease_s"]:
            self.record(f"worker {self.name}: lease ended, session {self.tenure + 1}; tasks killed: {sum(t['status'] != 'exited' for t in self.tasks.values())}")
            self.cluster.leases_ended += 1
            for shard, _ in list(self.tasks):
                self.world.ended(self, shard, "lease ended")
            self.tasks.clear()
            self.fetching.clear()
            self.tenure += 1
            self.lease_from = now
            self.changed = True
        for bundle in [b for b, at in self.fetching.items() if at <= now]:
            del self.fetching[bundle]
            self.images.add(bundle)
        for (shard, attempt), task in self.tasks.items():
            if task["status"] == "fetching" and task["bundle"] in self.images:
                self.world.started(self, shard, attempt)
                task["status"] = "running"
                task["ends"] = now if shard in self.world.completed else now + task["run_s"]
                self.changed = True
            if task["status"] == "running" and now >= task["ends"]:
                task["status"] = "exited"
                task["cause"] = "error" if task["fails"] else "done"
                if not task["fails"]:
                    with self.world.lock:
                        self.world.completed.add(shard)
                self.world.ended(self, shard, task["cause"])
                self.changed = True
            if task["status"] == "saving" and now >= task["ends"]:
                task.update(status="exited", cause="stopped", saved=True)
                self.world.ended(self, shard, "stopped")
                self.changed = True

    def _carry_out(self, orders):
        now = time.monotonic()
        for order in orders:
            key = (order["shard"], order["try"])
            task = self.tasks.get(key)
            verb = order["verb"]
            if verb != "launch" or task is None:
                self.record(f"worker {self.name}: {verb} {key[0]} try {key[1]}")
            if verb == "launch" and task is None:
                job = self.world.job_of(key[0])
                live = [k for k, t in self.tasks.items() if t["status"] != "exited"]
                cause = None
                if job is None:
                    cause = "unknown"
                elif any(k[0] == key[0] for k in live):
                    cause = "busy"
                elif sum(self.world.job_of(k[0])["vcpus"] for k in live) + job["vcpus"] > self.cluster.types[self.build]["vcpus"] + 1e-6:
                    cause = "no_room"
                if cause:
                    self.tasks[key] = {"status": "exited", "cause": cause, "bundle": "", "run_s": 0, "fails": False}
                else:
                    self.tasks[key] = {"status": "fetching", "bundle": job["bundle"], "run_s": job["run_s"], "fails": job.get("fails", False)}
                    if job["bundle"] not in self.images:
                        rate = self.cluster.types[self.build]["fetch_gb_per_s"]
                        self.fetching.setdefault(job["bundle"], now + job["pull_gb"] / rate)
                self.changed = True
            elif verb == "stop" and task and task["status"] != "exited":
                job = self.world.job_of(key[0])
                leeway = order.get("leeway_s") or 0
                if task["status"] == "running" and job["savepoint_s"] > 0 and leeway >= job["flush_s"]:
                    task.update(status="saving", ends=now + job["flush_s"])
                elif task["status"] != "saving" or leeway == 0:
                    task.update(status="exited", cause="stopped", saved=False)
                    self.world.ended(self, key[0], "stopped")
                self.changed = True
            elif verb == "reap" and task and task["status"] == "exited":
                del self.tasks[key]
                self.changed = True

    def _report(self):
        self.tally += 1
        shards = []
        for (shard, attempt), task in self.tasks.items():
            entry = {"shard": shard, "try": attempt, "status": task["status"]}
            if task["status"] == "exited":
                entry["cause"] = task["cause"]
                if task["cause"] == "stopped":
                    entry["saved"] = task.get("saved", False)
            shards.append(entry)
        return {"perch": self.name, "endpoint": self.endpoint, "build": self.build, "yard": self.yard,
                "loaner": self.loaner, "tenure": self.tenure, "tally": self.tally, "warrant": self.token,
                "recall_s": None, "shards": shards}

    # Direct commands.
    def _serve(self, method, path, body):
        while (self.hanging() or self.cut or self.deaf) and not self.gone:
            time.sleep(0.05)
        if self.gone:
            return SILENT
        with self.lock:
            self._advance()
            if path == "/inspect":
                return Answer(200, self._report())
            command = decode(body)
            if "warrant" not in command or "tenure" not in command:
                return Answer(400)
            if command["warrant"] < self.token or command["tenure"] != self.tenure:
                return Answer(409, self._report())
            self._see_token(command["warrant"])
            self._carry_out(command["orders"])
            return Answer(200, self._report())

    def _see_token(self, token):
        if token > self.token:
            self.token = token
            if time.monotonic() - self.token_change_at >= self.settings["lease_s"] / 2:
                self.token_change_at = time.monotonic()
                self.changed = True

    # Reports.
    def _report_loop(self):
        client, client_node = None, None
        next_at = 0.0
        last_sent = 0.0
        names = self.cluster.names
        while not self.gone:
            now = time.monotonic()
            due = now >= next_at or (self.changed and now >= last_sent + 0.5)
            if not due or now < last_sent + 0.5 or self.hanging():
                time.sleep(0.02)
                continue
            with self.lock:
                self._advance()
                self.changed = False
                report = self._report()
                tenure = self.tenure
            last_sent = now
            next_at = now + self.settings["report_s"] * random.uniform(0.75, 1.25)
            if self.cut or self.mute:
                time.sleep(min(4.0, self.settings["lease_s"]))
                self.node = names[(names.index(self.node) + 1) % len(names)]
                next_at = time.monotonic() + 1
                continue
            if client_node != self.node:
                if client:
                    client.close()
                client, client_node = Client(self.cluster.fronts[self.node], 4.0), self.node
            try:
                status, body, _ = client.request("POST", "/checkin", report)
            except (OSError, Closed, ValueError):
                status, body = 0, None
                client.close()
            node = self.node
            while self.hanging() and not self.gone:
                time.sleep(0.02)
            late = time.monotonic() - now > 4.0
            if late or self.cut or self.deaf:
                status, body = 0, None
                if not late:
                    time.sleep(max(0.0, 4.0 - (time.monotonic() - now)))
            if self.gone:
                return
            if status == 413:
                self.cluster.refused += 1
                self.record(f"worker {self.name}: report of {len(report['shards'])} tasks, {json_size(report)} bytes as JSON: 413")
            if self.log_reports or status != 200:
                self.record(f"worker {self.name}: report tally {report['tally']} warrant {report['warrant']} to {node}: {status} {body if status != 200 else body.get('warrant')}")
            if status == 200 and body is not None:
                with self.lock:
                    self._advance()
                    token = body.get("warrant", -1)
                    self.last_ok = (node, token, time.monotonic())
                    self.cluster.saw_answer(self, node, token)
                    if token >= self.token and self.tenure == tenure:
                        self._see_token(token)
                        self.lease_from = max(self.lease_from, now)
                        self._carry_out(body.get("orders", []))
                continue
            steward = body.get("steward") if status == 421 and body else None
            if steward in names and steward != self.node:
                self.node = steward
                next_at = time.monotonic() + random.uniform(0, 0.5)
            else:
                self.node = names[(names.index(self.node) + 1) % len(names)]
                next_at = time.monotonic() + 1

    def die(self, why):
        with self.lock:
            self.gone = True
            self.had_tasks = sum(task["status"] == "running" for task in self.tasks.values())
            for shard, _ in list(self.tasks):
                self.world.ended(self, shard, why)
            self.tasks.clear()


class Cloud:
    def __init__(self, cluster, capacity, startup=(0.6, 1.5)):
        self.cluster, self.record = cluster, cluster.record
        self.lock = threading.RLock()
        self.machines = {}   # name -> dict
        self.hires = {}
        self.released = []       # (time, controller, worker) of machines that were up
        self.count = 0
        self.capacity = capacity
        self.startup = startup
        self.down = False
        self.fault = lambda method, path, body: None
        self.history = []
        threading.Thread(target=self._loop, daemon=True).start()

    def listen(self, member):
        return serve(lambda method, path, body: self.handle(member, method, path, body))

    def add(self, build, yard, loaner, boot_s):
        with self.lock:
            self.count += 1
            name = f"n-{self.count:06d}"
            self.machines[name] = {"uid": name, "build": build, "yard": yard, "loaner": loaner, "status": "starting",
                                   "since": time.monotonic(), "up_at": time.monotonic() + boot_s, "worker": None}
            return name

    def _loop(self):
        while True:
            time.sleep(0.05)
            with self.lock:
                now = time.monotonic()
                for m in self.machines.values():
                    if m["status"] == "starting" and now >= m["up_at"]:
                        m["status"] = "running"
                        m["worker"] = Worker(self.cluster, m["uid"], m["build"], m["yard"], m["loaner"])
                        self.record(f"cloud: {m['uid']} is up")
                snapshot = [{"uid": m["uid"], "endpoint": m["worker"].endpoint if m["worker"] else None, "build": m["build"],
                             "yard": m["yard"], "loaner": m["loaner"], "status": m["status"], "held_s": now - m["since"]}
                            for m in self.machines.values()]
                self.history.append((now, snapshot))
                while len(self.history) > 1 and now - self.history[0][0] > 2 * self.cluster.settings["list_lag_s"]:
                    self.history.pop(0)

    def workers(self):
        with self.lock:
            return [m["worker"] for m in self.machines.values() if m["worker"]]

    def handle(self, member, method, path, body):
        time.sleep(0.05)
        path, _, query = path.partition("?")
        if self.down:
            return Answer(503, {"error": "trouble"})
        fault = self.fault(method, path, body)
        if fault is not None:
            return fault
        with self.lock:
            if path == "/machine_types":
                return Answer(200, {"builds": list(self.cluster.types.values())})
            if path == "/rentals" and method == "POST":
                hire = decode(body)
                if hire["hire"] in self.hires:
                    return Answer(200, {"perches": self.hires[hire["hire"]]})
                free = self.capacity - len(self.machines)
                count = min(free, hire["number"])
                if count <= 0:
                    return Answer(503, {"error": "no capacity"})
                boot = self.cluster.types[hire["build"]]["startup_s"]
                names = [self.add(hire["build"], hire["yard"], hire["loaner"], boot * random.uniform(*self.startup)) for _ in range(count)]
                self.hires[hire["hire"]] = names
                self.record(f"cloud: {member} rents {hire} -> {names}")
                return Answer(200, {"perches": names})
            if path == "/rentals/release":
                names = decode(body)["perches"]
                self.record(f"cloud: {member} releases {names}")
                for name in names:
                    machine = self.machines.pop(name, None)
                    if machine and machine["worker"]:
                        self.released.append((time.monotonic(), member, machine["worker"]))
                        machine["worker"].die("machine released")
                return Answer(200, {})
            if path == "/rentals":
                params = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                lag = self.cluster.settings["list_lag_s"]
                at = time.monotonic() - random.uniform(0.5, 1.5) * lag
                snapshot = max((s for s in self.history if s[0] <= at), key=lambda s: s[0], default=(0, []))[1]
                page = int(params.get("page", 500))
                rows = [m for m in snapshot if m["uid"] > params.get("since", "")]
                return Answer(200, {"perches": rows[:page], "more": len(rows) > page})
        return Answer(400)


class Proxy:
    """A TCP proxy with a mode: "pass", "reset" (connections fail) or "hold" (nothing passes, nothing fails)."""

    def __init__(self, target):
        self.target = target
        self.mode = lambda: "pass"
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self._connection, args=(client,), daemon=True).start()

    def _connection(self, client):
        try:
            if self.mode() == "reset":
                client.close()
                return
            server = socket.create_connection(self.target, timeout=5)
            server.settimeout(None)
        except OSError:
            client.close()
            return
        threading.Thread(target=self._pump, args=(server, client), daemon=True).start()
        self._pump(client, server)

    def _pump(self, source, target):
        try:
            while True:
                data = source.recv(65536)
                while self.mode() == "hold":
                    time.sleep(0.05)
                if not data or self.mode() == "reset":
                    break
                target.sendall(data)
        except OSError:
            pass
        for one in (source, target):
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def free_port():
    """A free port below those that the system gives to outgoing connections: a controller that comes back needs it again."""
    source = random.SystemRandom()
    while True:
        try:
            with socket.create_server(("127.0.0.1", source.randint(15000, 32000))) as listener:
                return listener.getsockname()
        except OSError:
            continue


SETTINGS = {"report_s": 1.5, "lease_s": 10.0, "cancel_s": 30.0, "rps": 100.0, "write_rps": 15.0, "value_kb": 8.0,
            "txn_ops": 8, "cloud_rps": 8.0, "list_lag_s": 3.0, "fd_limit": 1200}
TYPE = {"name": "murbox-16", "vcpus": 16.0, "accelerators": 0.0, "memory_gb": 64.0, "local_gb": 35.0, "fetch_gb_per_s": 1.0,
        "price": 0.91, "spot_price": 0.34, "startup_s": 2.0, "yards": ["leoben-nord"]}


class Cluster:
    """Three controllers as processes, and everything around them."""

    def __init__(self, folder, teams, capacity=12, members=3, settings=None, types=None, tuning=None, log_level="error", log_folder=None):
        self.record = Record(folder)
        self.settings = {**SETTINGS, **(settings or {})}
        self.types = {t["name"]: t for t in (types or [TYPE])}
        self.names = [f"perch-{i}" for i in range(members)]
        self.world = World(self.record, self.settings["cancel_s"], {t["name"]: t["cpus_max"] for t in teams if t["cpus_max"]})
        s = self.settings
        self.state = StateService(self.record, s["rps"], s["write_rps"], s["value_kb"], s["txn_ops"])
        self.answers = []
        self.refused = 0         # reports answered with 413
        self.leases_ended = 0
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.log_folder = log_folder or self.temp
        self.fronts = {name: free_port() for name in self.names}
        self.peers = {name: free_port() for name in self.names}
        self.proxies = {(a, b): Proxy(self.peers[b]) for a in self.names for b in self.names if a != b}
        self.state_ports = {name: self.state.listen(name) for name in self.names}
        self.cloud = Cloud(self, capacity)
        self.cloud_ports = {name: self.cloud.listen(name) for name in self.names}
        self.processes = {}
        self.tuning = tuning
        self.log_level = log_level
        with open(os.path.join(ROOT, "deploy", "service.toml")) as deploy:
            self.run = re.search(r'^run\s*=\s*"(.*)"', deploy.read(), re.M).group(1).split()
        for name in self.names:
            self._write_settings(name, teams)

    def _write_settings(self, name, teams):
        address = lambda a: f"{a[0]}:{a[1]}"
        s = self.settings
        text = f'member = "{name}"\ndomain = "leoben-nord"\nfront = "{address(self.fronts[name])}"\npeer_listen = "{address(self.peers[name])}"\n'
        for other in self.names:
            if other != name:
                text += f'\n[[siblings]]\nmember = "{other}"\ndomain = "leoben-nord"\naddr = "{address(self.proxies[(name, other)].address)}"\n'
        text += f'\n[endpoints]\ncloud = "{address(self.cloud_ports[name])}"\nstate = "{address(self.state_ports[name])}"\n'
        text += f'\n[cluster]\ncount = {len(self.names)}\nzones = ["leoben-nord"]\ntime_bound_ms = 25.0\n'
        for team in teams:
            text += f'\n[[cluster.teams]]\nname = "{team["name"]}"\ncpus = {team["cpus"]}\ncpus_max = {team["cpus_max"]}\ngpus = 0.0\ngpus_max = 0.0\n'
        text += f'\n[cluster.workers]\nreport_s = {s["report_s"]}\nlease_s = {s["lease_s"]}\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = {s["cancel_s"]}\n'
        text += f'\n[cluster.state]\nrps = {s["rps"]}\nwrite_rps = {s["write_rps"]}\nvalue_kb = {s["value_kb"]}\ntxn_ops = {s["txn_ops"]}\n'
        text += f'\n[cluster.cloud]\nrps = {s["cloud_rps"]}\nlist_lag_s = {s["list_lag_s"]}\n\n[cluster.quota]\ncpu = 0.12\nram_mb = 72.0\nfd_limit = {s["fd_limit"]}\n'
        with open(os.path.join(self.temp, f"{name}.toml"), "w") as file:
            file.write(text)

    # Controllers.
    def start(self, name):
        program = os.path.join(ROOT, self.run[0])
        command = [program, *self.run[1:], os.path.join(self.temp, f"{name}.toml")]
        if self.tuning:
            command += ["--tuning", self.tuning]
        log = open(os.path.join(self.log_folder, f"{name}.log"), "a")
        self.processes[name] = subprocess.Popen(command, stderr=log, stdout=log, env={**os.environ, "LOG_LEVEL": self.log_level})
        self.record(f"controller {name}: started")

    def start_all(self):
        for name in self.names:
            self.start(name)

    def kill(self, name):
        process = self.processes.pop(name, None)
        if process:
            process.send_signal(signal.SIGKILL)
            process.wait()
            self.record(f"controller {name}: killed")

    def pause(self, name, stopped):
        process = self.processes.get(name)
        if process:
            process.send_signal(signal.SIGSTOP if stopped else signal.SIGCONT)
            self.record(f"controller {name}: {'stopped' if stopped else 'continued'}")

    def exited(self):
        return [name for name, process in self.processes.items() if process.poll() is not None]

    def close(self):
        for name in list(self.processes):
            process = self.processes[name]
            process.send_signal(signal.SIGCONT)
            self.kill(name)
        for worker in self.cloud.workers():
            worker.gone = True
        shutil.rmtree(self.temp, ignore_errors=True)

    def leader(self):
        entry = self.state.get("leader")
        return entry[0].get("member") if entry else None

    def wait(self, what, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.05)
        self.record(f"gave up waiting for {what}")
        return False

    def healthy(self, name):
        return request(self.fronts[name], "GET", "/healthz", timeout=1.0)[0] == 200

    def saw_answer(self, worker, node, token):
        with self.world.lock:
            self.answers.append((time.monotonic(), worker.name, node, token))

    # Users.
    def job(self, uid, **fields):
        job = {"uid": uid, "workclass": "work", "owner": "team-a", "shape": "batch", "precedence": "normal", "shards": 1,
               "vcpus": 1.0, "accelerators": 0.0, "memory_gb": 1.0, "bundle": "img-01", "pull_gb": 0.5, "builds": None, "yard": None,
               "one_zone": False, "spread": False, "loaner": True, "expected_s": 10.0, "savepoint_s": 0.0, "flush_s": 0.0, "due_s": None}
        run_s = fields.pop("run_s", 5.0)
        fails = fields.pop("fails", False)
        job.update(fields)
        with self.world.lock:
            self.world.jobs[uid] = {**job, "run_s": run_s, "fails": fails}
        return job

    def submit(self, job, node=None, seconds=60.0):
        """Submits until it is accepted or refused, as a user does. Returns the last status."""
        end = time.monotonic() + seconds
        status = 0
        while time.monotonic() < end:
            name = node or random.choice(self.names)
            status, body = request(self.fronts[name], "POST", "/submissions", job)
            self.record(f"user: submit {job['uid']} at {name}: {status} {body}")
            if status in (200, 201):
                self.world.jobs[job["uid"]]["accepted_at"] = time.monotonic()
                return status
            if status in (400, 422):
                return status
            time.sleep(1.0)
        return status

    def poll(self, uid, node=None):
        name = node or random.choice(self.names)
        status, body = request(self.fronts[name], "GET", f"/submissions/{uid}", timeout=2.0)
        self.record(f"user: poll {uid} at {name}: {status} {body}")
        return status, body

    def cancel(self, uid, node=None, seconds=60.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            name = node or random.choice(self.names)
            status, body = request(self.fronts[name], "POST", f"/submissions/{uid}/cancel")
            self.record(f"user: cancel {uid} at {name}: {status} {body}")
            if status == 200:
                if body.get("status") == "aborted":
                    self.world.jobs[uid]["cancelled_at"] = time.monotonic()
                return body.get("status")
            time.sleep(1.0)
        return None
