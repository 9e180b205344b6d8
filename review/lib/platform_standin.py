"""Stand-ins for the platform: metadata store, workers and operator, and helpers that start the
entry hosts and send requests as a consumer. Standard library only; every address is on loopback.

The stand-ins follow PROTOCOL.md. Where that page is silent they behave like a sound server.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.5
STORE_LATENCY_S = 0.004


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what happened to record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def serve(ip, port, handler):
    """Serves HTTP/1.1. The handler returns (status, object), or None to give no answer."""

    async def connection(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                found = await handler(method, parts.path, query, headers, body)
                if found is None:
                    # The response is lost; the connection returns nothing further.
                    await reader.read()
                    return
                status, value = found
                data = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                             "Content-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, ip, port)


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}      # key -> dict(value, revision, created, lease)
        self.events = []     # (revision, key, deleted)
        self.leases = {}     # id -> [ttl_s, expires_at]
        self.changed = asyncio.Condition()
        self.lease_count = 0
        self.is_down = False     # while true, every call is answered with 503 and nothing is done

    async def start(self):
        self.ip, self.port = "127.0.0.1", free_port("127.0.0.1")
        self.address = f"{self.ip}:{self.port}"
        self.server = await serve(self.ip, self.port, self.handle)
        asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [lease for lease, (_, at) in self.leases.items() if at <= now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.apply([], keys)

    async def apply(self, sets, deletes):
        async with self.changed:
            self.revision += 1
            for key, value, lease in sets:
                created = self.items[key]["created"] if key in self.items else self.revision
                self.items[key] = {"value": value, "revision": self.revision,
                                   "created": created, "lease": lease}
                self.events.append((self.revision, key, False))
            for key in deletes:
                if self.items.pop(key, None) is not None:
                    self.events.append((self.revision, key, True))
            self.changed.notify_all()
            return self.revision

    async def put(self, key, value):
        """Writes as the operator or a worker does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        return await self.apply([(key, encoded, 0)], [])

    async def remove(self, key):
        return await self.apply([], [key])

    def shown(self, key):
        item = self.items.get(key)
        if item is None:
            return {"key": key, "value": "", "revision": 0, "created": 0, "lease": 0}
        return {"key": key, **item}

    def value_of(self, key):
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    async def transact(self, body):
        for condition in body["expected_rev"]:
            if self.shown(condition["key"])["revision"] != condition["revision"]:
                shown = [self.shown(entry["key"]) for entry in body["expected_rev"]]
                return 412, {"items": [item for item in shown if item["revision"] > 0]}
        for entry in body["set_keys"]:
            if entry.get("lease", 0) and entry["lease"] not in self.leases:
                return 404, {}
        sets = [(entry["key"], entry["value"], entry.get("lease", 0)) for entry in body["set_keys"]]
        return 200, {"revision": await self.apply(sets, body["delete_keys"])}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_LATENCY_S)
        if self.is_down:
            return 503, {}
        if path == "/-/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"current_rev": self.revision}
            return 200, {**self.shown(key), "current_rev": self.revision}
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            after = query.get("after")
            if after is not None:
                keys = [key for key in keys if key > after]
            page = keys[:500]
            return 200, {"items": [self.shown(key) for key in page],
                         "more_pages": len(keys) > 500, "current_rev": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/-/kv-lease":
            ttl_s = max(1.0, json.loads(body)["ttl_ms"] / 1000)
            self.lease_count += 1
            self.leases[self.lease_count] = [ttl_s, time.monotonic() + ttl_s]
            return 200, {"lease": self.lease_count, "ttl_ms": int(ttl_s * 1000)}
        if path.startswith("/-/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttl_ms": int(lease[0] * 1000)}
        if path.startswith("/-/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            await self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = [event for event in self.events
                     if event[0] > after and event[1].startswith(prefix)]
            remaining = until - time.monotonic()
            if found or remaining <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), remaining)
                except asyncio.TimeoutError:
                    pass
        events = []
        for revision, key, deleted in found:
            item = self.items.get(key)
            if deleted or item is None:
                events.append({"key": key, "revision": revision, "deleted": True})
            elif item["revision"] == revision:
                events.append(self.shown(key))
        return 200, {"events": events, "current_rev": self.revision}


class Worker:
    """A worker: runs tasks under leases and reports itself to the store."""

    def __init__(self, store, record, number, zone, hold_max_ms, cpu=32000):
        self.store, self.record, self.zone, self.hold_max_ms = store, record, zone, hold_max_ms
        self.id = f"i-{number:04x}{os.getpid():06x}"
        self.ip = "127.0.0.1"
        self.capacity = {"cpu": cpu, "mem_mb": 65536, "gpu": 0}
        self.sequence = 0
        self.state = "ready"
        self.draining_until = 0.0
        self.reports = True      # False while it is partitioned from the store
        self.fails_starts = False  # while true, each task that it starts ends failed
        self.labels = ["a", "r1-1"]
        self.up = True
        self.boot()

    def boot(self):
        self.born_unix_ms = int(time.time() * 1000)
        self.booted_at = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.running = {}        # task -> [attempt, ends_at, started_at, how it will end]
        self.finished = []       # [N, task, attempt, how, checkpoint]
        self.last_number = 0
        self.cursor = 0          # highest ack_cursor
        self.lapses = 0          # how often the lease has lapsed in this boot
        self.lapsed_deadline_ms = 0
        self.taken_note_of = {}  # number of an end -> lapses when ack_cursor reached it
        self.highest = {}        # task -> highest attempt that was stopped or ended here
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.booted_at) * 1000)

    async def start(self):
        self.port = free_port(self.ip)
        self.address = f"{self.ip}:{self.port}"
        self.server = await serve(self.ip, self.port, self.handle)
        self.last_report = time.monotonic()
        asyncio.create_task(self.report_forever())
        asyncio.create_task(self.work_forever())

    def key(self):
        return f"servers/{self.id}"

    async def report(self):
        if not self.reports or not self.up:
            return
        self.sequence += 1
        entry = {"service": "crew", "addr": self.address, "zone": self.zone, "version": "v1",
                 "slots": 8, "state": self.state, "cold_left_ms": 0, "capacity": self.capacity,
                 "labels": self.labels, "clock_ms": self.clock_ms(), "seq": self.sequence,
                 "born": self.born_unix_ms}
        if self.state == "draining":
            entry["remaining_ms"] = max(0, int((self.draining_until - time.monotonic()) * 1000))
        self.last_report = time.monotonic()
        await self.store.put(self.key(), entry)

    async def report_forever(self):
        next_at = time.monotonic()
        while True:
            now = time.monotonic()
            if now >= next_at:
                next_at = now + HEARTBEAT_S
                await self.report()
            # The store removes the entry after three status report intervals of silence.
            silent = time.monotonic() - self.last_report >= 3 * HEARTBEAT_S
            if silent and self.key() in self.store.items:
                self.record.line(f"store: entry of worker {self.id} expires")
                await self.store.remove(self.key())
            await asyncio.sleep(0.02)

    async def drain(self, for_s):
        self.state = "draining"
        self.draining_until = time.monotonic() + for_s
        self.record.line(f"worker {self.id}: reports draining, stays {for_s} s")
        await self.report()

    def end(self, task, how):
        attempt, _, _, _ = self.running.pop(task)
        self.highest[task] = max(attempt, self.highest.get(task, 0))
        self.last_number += 1
        self.finished.append([self.last_number, task, attempt, how, ""])
        self.record.line(f"worker {self.id}: run {task} attempt {attempt} ends {how}")
        self.changed.set()

    async def work_forever(self):
        while True:
            await asyncio.sleep(0.005)
            if self.clock_ms() >= self.deadline_ms != self.lapsed_deadline_ms:
                self.lapsed_deadline_ms = self.deadline_ms
                self.lapses += 1
            if self.running and self.clock_ms() >= self.deadline_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")
            now = time.monotonic()
            for task in [task for task, run in self.running.items() if run[1] <= now]:
                self.end(task, self.running[task][3])

    def extend(self, deadline_ms):
        if deadline_ms:
            capped = min(deadline_ms, self.clock_ms() + self.hold_max_ms)
            self.deadline_ms = max(self.deadline_ms, capped)

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            return None
        expected = headers.get("x-lagoonnotch-expect-instance")
        if expected is not None and expected != self.id:
            return 421, {}
        if path == "/healthz":
            return 200, {}
        body = json.loads(body) if body else {}
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        if path == "/-/hold":
            return await self.hold(body)
        if path == "/-/run-start":
            return self.start_run(body)
        if path == "/-/run-stop":
            return self.stop_run(body)
        return 404, {}

    async def hold(self, body):
        self.extend(body.get("deadline_ms"))
        cursor = min(body.get("ack_cursor", 0), self.last_number)
        for number in range(self.cursor + 1, cursor + 1):
            self.taken_note_of[number] = self.lapses
        self.cursor = max(self.cursor, cursor)
        self.finished = [row for row in self.finished if row[0] > self.cursor]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.finished and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, run[0], "", self.percent(run, now), 0]
                   for task, run in self.running.items()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born_unix_ms,
                     "running": running, "finished": self.finished[:500]}

    @staticmethod
    def percent(run, now):
        return max(0, min(99, int(100 * (now - run[2]) / max(0.001, run[1] - run[2]))))

    def start_run(self, body):
        task, attempt = body["task"], body["attempt"]
        answer = {"clock_ms": self.clock_ms()}
        if task in self.running and self.running[task][0] == attempt:
            return 200, answer
        if attempt <= self.highest.get(task, 0) or task in self.running:
            self.extend(body.get("deadline_ms"))
            return 409, {**answer, "reason": "old"}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {**answer, "reason": "late"}
        self.extend(body["deadline_ms"])
        now = time.monotonic()
        spec = json.loads(body["spec"])
        index = int(task.rsplit(".", 1)[1])
        duration = spec["run_s"] + spec.get("step_s", 0.0) * index
        how = "failed" if self.fails_starts else "done"
        duration = min(duration, 0.1) if self.fails_starts else duration
        self.running[task] = [attempt, now + duration, now, how]
        self.record.line(f"worker {self.id}: starts {task} attempt {attempt}, "
                         f"fencing token {body.get('fencing_token')}")
        return 200, answer

    def stop_run(self, body):
        task, attempt = body["task"], body["attempt"]
        self.highest[task] = max(attempt, self.highest.get(task, 0))
        if task in self.running and self.running[task][0] <= attempt:
            self.end(task, "stopped")
        return 200, {"clock_ms": self.clock_ms()}


CALLER_HOST = "crew.example"
PREFIX = "/jobs/"
KEY = "k3yk3yk3yk3yk3yk3yk3"


def desired_state(version=1):
    return {"version": version,
            "routes": [{"name": "r-jobs", "host": CALLER_HOST, "prefix": PREFIX,
                        "kind": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": 3000,
                        "priority": 1, "service": "crew", "max_attempts": 3, "stretch": 4.0,
                        "public": False}],
            "services": [{"name": "crew", "health_path": "/healthz", "max_conns": 64,
                          "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0,
                          "admission_check": False, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "coop", "api_keys": [KEY], "priority": 1, "weight": 10,
                         "upper_bound": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]}


class Host:
    """An entry host: the deploy file's program as a process of its own."""

    def __init__(self, number, zone, store, folder, hold_max_ms):
        self.name, self.ip = f"frontend-{zone}-{number}", f"127.0.0.{10 + number}"
        ports = [free_port(self.ip) for _ in range(3)]
        self.caller = (self.ip, ports[0])
        self.settings = os.path.join(folder, f"{self.name}.json")
        self.log = open(os.path.join(folder, f"{self.name}.log"), "wb")
        self.process = None
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({"host": self.name, "failure_domain": zone, "ip": self.ip,
                       "caller_address": f"{self.ip}:{ports[0]}",
                       "readiness_address": f"{self.ip}:{ports[1]}",
                       "peer_ports": [ports[2], ports[2]], "store_address": store.address,
                       "processor_share": 0.25, "min_store_lease_ms": 1000,
                       "bounds": {"revoke_ms": 5000, "task_lease_max_ms": hold_max_ms,
                                  "grace_s": 6}}, file)

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target/release/lagoonnotch-host"), cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "LAGOONNOTCH_BOOT": self.settings},
            stdout=self.log, stderr=self.log)

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)


async def http(address, method, path, body=None, timeout=3.0, headers=None):
    """Sends one request; returns (status, object), or (None, None) without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {CALLER_HOST}",
                     f"X-Lagoonnotch-Credential: {KEY}", "X-Lagoonnotch-Deadline-Ms: 3000",
                     "Content-Type: application/json", f"Content-Length: {len(data)}",
                     "Connection: close"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            answer = await reader.read()
        finally:
            writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        if not head:
            return None, None
        return int(head.split()[1]), (json.loads(rest) if rest else None)

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError):
        return None, None


class CannotRun(Exception):
    """The case could not be run."""


class Cell:
    """A small deployment: store, workers and entry hosts."""

    def __init__(self, case_folder, hosts=3, workers=3, hold_max_ms=10000, labels=None):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="lagoonnotch-review-")
        self.host_count, self.worker_count, self.hold_max_ms = hosts, workers, hold_max_ms
        self.hosts, self.workers = [], []
        self.labels = labels or {}   # number of a worker, from 0 -> its kind; others are of kind a

    async def __aenter__(self):
        if not os.path.exists(os.path.join(ROOT, "target/release/lagoonnotch-host")):
            raise CannotRun("target/release/lagoonnotch-host is missing")
        self.store = Store(self.record)
        await self.store.start()
        await self.store.put("op/config", desired_state())
        zones = ["aran", "burren", "connemara"]
        for number in range(self.worker_count):
            worker = Worker(self.store, self.record, number + 1, zones[number % 3],
                            self.hold_max_ms)
            worker.labels = [self.labels.get(number, "a"), f"r1-{number // 4 + 1}"]
            await worker.start()
            self.workers.append(worker)
        for number in range(self.host_count):
            host = Host(number + 1, zones[number % 3], self.store, self.folder, self.hold_max_ms)
            await host.start()
            self.hosts.append(host)
        return self

    async def __aexit__(self, *_):
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()
        self.record.file.close()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)

    def owner(self):
        """Returns the host that the owner's record names, if any."""
        value = self.store.value_of("owner/fleet")
        names = {host.name: host for host in self.hosts}
        return names.get(value["host"]) if value else None

    async def until(self, what, condition, timeout=15.0):
        """Waits for a condition."""
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"not in time: {what}")
            await asyncio.sleep(0.01)

    async def state_of(self, host, job):
        """Asks a host for the state of a job; returns (status, state)."""
        status, body = await http(host.caller, "GET", PREFIX + job)
        state = body.get("state") if isinstance(body, dict) else None
        self.record.line(f"consumer: GET {job} at {host.name}: {status} {state}")
        return status, state

    async def submit(self, host, job, phases, run_s, step_s=0.0, attempts=10):
        """Submits a job and retries until it is accepted. Task I runs for run_s + I * step_s."""
        for _ in range(attempts):
            body = {"spec": json.dumps({"run_s": run_s, "step_s": step_s}), "phases": phases}
            status, _ = await http(host.caller, "POST", PREFIX + job, body)
            self.record.line(f"consumer: POST {job} at {host.name}: {status}")
            if status is not None and 200 <= status < 300:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f"job {job} was not accepted")

    def runs_of(self, prefix):
        """Returns (worker, task, run) of the tasks that are running."""
        return [(worker, task, run) for worker in self.workers
                for task, run in worker.running.items() if task.startswith(prefix)]


def main(case):
    """Runs a case; exits with 0 if the rule held, 1 if it was broken, 2 if it could not run."""
    try:
        broken = asyncio.run(case())
    except Exception as error:  # a fault of the case is no broken rule
        print(f"could not run: {error!r}")
        raise SystemExit(2) from error
    print(broken if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
