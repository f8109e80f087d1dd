"""A stand-in of the state service, as PROTOCOL-grebewood.md describes it. Each controller has a port of its own."""

import threading
import time
from urllib.parse import parse_qsl

from wire import Answer, SILENT, decode, json_size, serve


class StateService:
    def __init__(self, record, rps=100.0, write_rps=15.0, value_kb=8.0, txn_ops=8, latency=0.004):
        self.record = record
        self.changed = threading.Condition()
        self.entries = {}
        self.leases = {}
        self.next_lease = 100
        self.epoch = 1
        self.log = []
        self.log_starts_at = 1
        self.down = False
        self.refused = set()
        self.rps, self.write_rps, self.value_bytes, self.txn_ops = rps, write_rps, value_kb * 1024, txn_ops
        self.latency = latency
        self.tokens = [rps, write_rps, time.monotonic()]
        # Called with (member, method, path, body); returns None or a list of steps, see `handle`.
        self.fault = lambda member, method, path, body: None
        self.throttled = 0
        threading.Thread(target=self._expire_loop, daemon=True).start()

    def listen(self, member):
        return serve(lambda method, path, body: self.handle(member, method, path, body))

    # Faults: "late SECONDS": no response now, carried out later. "lost": carried out, no response. "never": neither.
    # "slow SECONDS": carried out and answered later.
    def handle(self, member, method, path, body):
        fault = self.fault(member, method, path, body)
        if fault:
            kind, _, seconds = fault.partition(" ")
            self.record(f"state: {member} {method} {path}: {fault}")
            if kind == "late":
                def carry_out():
                    answer = self.carry_out(member, method, path, body)
                    self.record(f"state: late {member} {method} {path}: {answer.status} {answer.value}")
                timer = threading.Timer(float(seconds), carry_out)
                timer.daemon = True
                timer.start()
                return SILENT
            if kind == "lost":
                answer = self.carry_out(member, method, path, body)
                self.record(f"state: answer lost {member} {method} {path}: {answer.status} {answer.value}")
                return SILENT
            if kind == "never":
                return SILENT
            if kind == "slow":
                time.sleep(float(seconds))
        time.sleep(self.latency)
        return self.carry_out(member, method, path, body)

    def carry_out(self, member, method, path, body):
        path, _, query = path.partition("?")
        query = dict(parse_qsl(query))
        with self.changed:
            if path == "/changes":
                return self._changes(member, query)
            if self.down or member in self.refused:
                return Answer(503, {"error": "trouble"})
            if not self._take(1, 0):
                return Answer(429)
            if path == "/kv" and method == "GET":
                return self._list(query)
            if path.startswith("/kv/") and method == "GET":
                key = path[4:]
                entry = self.entries.get(key)
                if entry is None:
                    return Answer(404, {"epoch": self.epoch})
                return Answer(200, {"k": key, "value": entry[0], "stamp": entry[1], "tether": entry[2]})
            if path == "/txn" and method == "POST":
                return self._txn(decode(body))
            if path == "/leases" and method == "POST":
                life = decode(body)["life_ms"] / 1000
                self.next_lease += 1
                self.leases[self.next_lease] = [life, time.monotonic() + life]
                return Answer(200, {"tether": self.next_lease})
            if path.startswith("/leases/"):
                parts = path.split("/")
                lease = self.leases.get(int(parts[2]))
                if lease is None:
                    return Answer(404)
                if method == "DELETE":
                    self._end_lease(int(parts[2]))
                else:
                    lease[1] = time.monotonic() + lease[0]
                return Answer(200)
        return Answer(400)

    def _take(self, requests, writes):
        now = time.monotonic()
        passed = now - self.tokens[2]
        self.tokens = [min(self.rps, self.tokens[0] + passed * self.rps),
                       min(self.write_rps, self.tokens[1] + passed * self.write_rps), now]
        if self.tokens[0] < requests or self.tokens[1] < writes:
            self.throttled += 1
            return False
        self.tokens[0] -= requests
        self.tokens[1] -= writes
        return True

    def _list(self, query):
        prefix, since = query.get("prefix", ""), query.get("since", "")
        page = min(int(query.get("page", 1000)), 1000)
        keys = sorted(k for k in self.entries if k.startswith(prefix) and k > since)
        entries, size = [], 0
        for key in keys[:page]:
            value, stamp, tether = self.entries[key]
            entry = {"k": key, "value": value, "stamp": stamp, "tether": tether}
            size += json_size(entry)
            if entries and size > 512 * 1024:
                break
            entries.append(entry)
        return Answer(200, {"entries": entries, "more": len(entries) < len(keys), "epoch": self.epoch})

    def _txn(self, txn):
        when, apply = txn.get("when") or [], txn.get("apply") or []
        if len(apply) > self.txn_ops or len(when) > 4 * self.txn_ops or json_size(txn) > 65536:
            return Answer(400, {"error": "too large"})
        if any("put" in op and json_size(op["value"]) > self.value_bytes for op in apply):
            return Answer(400, {"error": "value too large"})
        if not self._take(0, len(apply)):
            return Answer(429)
        if any(op.get("tether") is not None and op["tether"] not in self.leases for op in apply):
            return Answer(400, {"error": "no such lease"})
        failed = [c["k"] for c in when if self._stamp(c["k"]) != c["stamp"]]
        if failed:
            return Answer(409, {"failed": failed, "epoch": self.epoch})
        if apply:
            self.epoch += 1
            for op in apply:
                if "put" in op:
                    self._change(op["put"], (op["value"], self.epoch, op.get("tether")))
                else:
                    self._change(op["delete"], None)
            self.changed.notify_all()
        return Answer(200, {"epoch": self.epoch})

    def _stamp(self, key):
        entry = self.entries.get(key)
        return entry[1] if entry else 0

    def _change(self, key, entry):
        if entry is None:
            if self.entries.pop(key, None) is None:
                return
            self.log.append((self.epoch, {"delete": key, "stamp": self.epoch}))
        else:
            self.entries[key] = entry
            self.log.append((self.epoch, {"put": key, "value": entry[0], "stamp": self.epoch}))
        if key == "leader":
            self.record(f"state: leader record {entry and entry[0].get('member')} stamp {entry and entry[1]} tether {entry and entry[2]}")
        if len(self.log) > 10000:
            self.log_starts_at = self.log[0][0] + 1
            del self.log[0]

    def _changes(self, member, query):
        prefix, since = query.get("prefix", ""), int(query.get("since", 0))
        deadline = time.monotonic() + min(int(query.get("block_ms", 0)), 60000) / 1000
        if (self.down or member in self.refused) and query.get("block_ms", "0") == "0":
            return Answer(503, {"error": "trouble"})
        if not self._take(1, 0):
            return Answer(429)
        while True:
            reachable = not self.down and member not in self.refused
            if reachable:
                if since + 1 < self.log_starts_at:
                    return Answer(410)
                events = []
                for stamp, event in reversed(self.log):
                    if stamp <= since:
                        break
                    if (event.get("put") or event.get("delete")).startswith(prefix):
                        events.append(event)
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return Answer(200, {"epoch": self.epoch, "events": events[::-1]})
                self.changed.wait(min(left, 0.2))
            else:
                self.changed.wait(0.2)
                if time.monotonic() > deadline + 30:
                    return SILENT

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, entry in self.entries.items() if entry[2] == lease]
        if keys:
            self.epoch += 1
            for key in keys:
                self._change(key, None)
            self.changed.notify_all()

    def _expire_loop(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                if self.down:
                    continue
                now = time.monotonic()
                for lease in [k for k, v in self.leases.items() if v[1] <= now]:
                    self._end_lease(lease)

    def set_down(self, down):
        with self.changed:
            if self.down and not down:
                now = time.monotonic()
                for lease in self.leases.values():
                    lease[1] = now + lease[0]
            self.down = down
            self.record(f"state: {'down' if down else 'up'}")
            self.changed.notify_all()

    def get(self, key):
        with self.changed:
            return self.entries.get(key)
