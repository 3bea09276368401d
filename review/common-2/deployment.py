"""Stand-ins of the platform, the workers and the callers, and the daemons as processes, for the cases 6 to 10.

All stand-ins run in one event loop on loopback addresses and follow the protocol page. The daemons are started with the
command of deploy/system.toml and with settings filled in from deploy/settings.ini.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

TOP = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
BOUNDS = {
    "hold_max_ms": 6000, "lease_ttl_ms": 3000, "status_s": 120, "grace_s": 6, "far_x": 3, "contact_ms": 3000,
    "config_apply_ms": 2000, "visible_ms": 3000, "stop_timeout_ms": 400, "cancel_ms": 3000,
}
HEARTBEAT_S = 1.5


class Record:
    """The record of a run: what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        print(f"{self.now():8.3f} {text}", file=self.file, flush=True)


class Connection:
    def __init__(self, writer):
        self.writer = writer
        self.is_silent = False


class HttpServer:
    """An HTTP/1.1 server with connections that stay open. Its handler returns a status and a JSON value."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = set()
        # The event loop itself holds tasks only weakly.
        self.tasks = set()

    async def listen(self, address, port):
        self.address = (address, port)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(self.address)
        self.listener.listen(200)
        self.accepting = asyncio.ensure_future(self.accept())

    async def accept(self):
        while True:
            accepted, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=accepted)
            self.tasks.add(asyncio.ensure_future(self.serve(reader, writer)))

    def go_down(self):
        """From now on, nothing is answered, and new connections hang: their opening packets are dropped."""
        self.silence_open_connections()
        self.accepting.cancel()
        self.listener.listen(0)
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def come_back(self):
        for filler in self.fillers:
            filler.close()
        self.listener.listen(200)
        self.accepting = asyncio.ensure_future(self.accept())

    def reset_connections(self):
        for connection in self.connections:
            connection.writer.transport.abort()

    def silence_open_connections(self):
        """Open connections go silent for good, without a reset; new ones work."""
        for connection in self.connections:
            connection.is_silent = True
        return len(self.connections)

    async def serve(self, reader, writer):
        connection = Connection(writer)
        self.connections.add(connection)
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
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if connection.is_silent:
                    await asyncio.Event().wait()
                answer = await self.handler(method, target, headers, body)
                if connection.is_silent or answer is None:
                    await asyncio.Event().wait()
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            self.tasks.discard(asyncio.current_task())
            writer.close()


class Store:
    """The platform's store."""

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.events = []
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        # Called with the calling address, the method and the target; may delay the call or return True to drop it.
        self.before = None

    def put(self, key, value):
        self.apply([], [(key, value)], [])

    def apply(self, expected, puts, deletes):
        for key, revision in expected:
            if (self.items[key]["revision"] if key in self.items else 0) != revision:
                return None
        self.revision += 1
        for key, value in puts:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                    "created": created, "lease": 0}
            self.items[key] = item
            self.events.append((self.revision, item))
        for key in deletes:
            if self.items.pop(key, None):
                self.events.append((self.revision, {"key": key, "revision": self.revision, "removed": True}))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def value(self, key):
        return json.loads(base64.b64decode(self.items[key]["value"])) if key in self.items else None

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        query = {name: values[0] for name, values in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        if self.before and await self.before(path, query, headers, body):
            return None
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, current_rev=self.revision)) if item else (404, {})
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "has_more": len(keys) > 500,
                         "current_rev": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/v1/kv-txn":
            call = json.loads(body)
            expected = [(row["key"], row["revision"]) for row in call.get("expected_rev", [])]
            puts = [(row["key"], base64.b64decode(row["value"])) for row in call.get("puts", [])]
            revision = self.apply(expected, puts, call.get("deletes", []))
            if revision:
                return 200, {"revision": revision}
            return 412, {"items": [self.items[key] for key, _ in expected if key in self.items]}
        return 404, {}

    async def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            changed = self.changed
            first = len(self.events)
            while first and self.events[first - 1][0] > after:
                first -= 1
            events = [event for _, event in self.events[first:] if event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, run):
        self.task, self.run, self.timer, self.is_stopping = task, run, None, False


class Worker:
    """One minion. What a task does is chosen by `behaviour(task, run)`: how it ends and after how many seconds; a time
    of None lasts until it is stopped."""

    def __init__(self, site, name, service, address, port, cpu=32000, labels=("a", "r-1"), behaviour=None):
        self.site, self.id, self.service, self.address, self.port = site, name, service, address, port
        self.cpu, self.labels = cpu, list(labels)
        self.behaviour = behaviour or (lambda task, run: ("done", 1.0))
        self.chooses_late = lambda task, run: False
        self.server = HttpServer(self.handle)
        self.refuses_starts = False
        self.is_cut_from_store = False
        self.is_in_upkeep = False
        self.is_down = False
        # Start orders, as pairs of task and run, of which the first copy gets no answer and is carried out late.
        self.held_up = {}
        self.seq = 0
        self.begin()

    def begin(self):
        """Begins an incarnation."""
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.token = 0
        self.lease_until = 0
        self.running = {}
        self.last_run = {}
        self.ended = []
        self.count = 0
        self.end_seen = asyncio.Event()

    def clock(self):
        return 1000 + int((time.monotonic() - self.born_at) * 1000)

    def entry(self):
        self.seq += 1
        return json.dumps({
            "service": self.service, "address": f"{self.address}:{self.port}", "zone": "z1", "version": "1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": self.seq, "born": self.born,
            "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0}, "labels": self.labels}).encode()

    async def start(self):
        await self.server.listen(self.address, self.port)
        self.site.keep(self.register())
        self.site.keep(self.expire())

    async def crash(self, seconds, first_entry_s):
        """The worker falls silent and loses all that it runs. It starts again under its id and address."""
        self.is_down = True
        self.server.go_down()
        for run in self.running.values():
            if run.timer:
                run.timer.cancel()
        self.site.record.add(f"{self.id} has crashed; it ran " + ", ".join(sorted(self.running)))
        self.running = {}
        await asyncio.sleep(seconds)
        self.begin()
        self.server.reset_connections()
        self.server.come_back()
        self.site.record.add(f"{self.id} has started again")
        self.site.keep(self.register_after(first_entry_s))

    async def register_after(self, seconds):
        await asyncio.sleep(seconds)
        self.is_down = False
        self.site.store.put("servers/" + self.id, self.entry())

    async def maintain(self, seconds):
        """The machine has its upkeep; a new minion with another id joins after it."""
        self.is_in_upkeep = True
        self.running.clear()
        self.site.store.apply([], [], ["servers/" + self.id])
        await asyncio.sleep(seconds)
        self.begin()
        self.is_in_upkeep = False
        self.site.store.put("servers/" + self.id, self.entry())

    async def register(self):
        silent_since = time.monotonic()
        while True:
            if not self.is_cut_from_store and not self.is_in_upkeep and not self.is_down:
                self.site.store.put("servers/" + self.id, self.entry())
                silent_since = time.monotonic()
            elif (self.is_cut_from_store or self.is_down) and time.monotonic() - silent_since >= 3 * HEARTBEAT_S - 0.01:
                self.site.store.apply([], [], ["servers/" + self.id])
            await asyncio.sleep(HEARTBEAT_S)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() >= self.lease_until:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer:
            run.timer.cancel()
        self.last_run[run.task] = max(run.run, self.last_run.get(run.task, 0))
        self.count += 1
        self.ended.append([self.count, run.task, run.run, how, ""])
        self.site.on_end(self, run, how)
        self.end_seen.set()
        self.end_seen = asyncio.Event()

    async def handle(self, method, target, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        call = json.loads(body) if body else {}
        if target == "/v1/run-start" and self.holds_up(call):
            return None
        if target == "/v1/pace":
            return 200, {"clock_ms": self.clock()}
        token = call.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/v1/hold":
            return await self.hold(call)
        if target == "/v1/run-start":
            return self.start_run(call)
        if target == "/v1/run-stop":
            return self.stop_run(call)
        return 404, {}

    def holds_up(self, call):
        """Whether the order gets no answer. `deliver` carries it out."""
        key = (call["task"], call["run"])
        if not self.chooses_late(*key) or key in self.held_up:
            return False
        self.held_up[key] = call
        self.site.record.add(f"{self.id} is sent the start of {key[0]} run {key[1]}, which is held up")
        return True

    def deliver(self, call):
        """Carries an order out that was held up."""
        if call["fencing_token"] < self.token:
            self.site.record.add(f"{self.id} refuses the start of {call['task']} that was held up")
            return
        self.token = call["fencing_token"]
        status, _ = self.start_run(call)
        self.site.record.add(f"{self.id} carries out the start of {call['task']} that was held up: {status}")

    def extend(self, deadline):
        self.lease_until = max(self.lease_until, min(deadline, self.clock() + BOUNDS["hold_max_ms"]))

    async def hold(self, call):
        self.ended = [end for end in self.ended if end[0] > call.get("ack_cursor", 0)]
        self.site.on_ack(self, call.get("ack_cursor", 0))
        if "deadline_ms" in call:
            self.extend(call["deadline_ms"])
        if call.get("wait_ms") and not self.ended:
            try:
                await asyncio.wait_for(self.end_seen.wait(), call["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": [[run.task, run.run, "", 100, 0] for run in self.running.values()],
                     "ended": self.ended[:500]}

    def start_run(self, call):
        task, number = call["task"], call["run"]
        if self.refuses_starts:
            self.site.on_refusal(self, task, number)
            return 503, {}
        known = self.running.get(task)
        if known and known.run == number:
            return 200, {"clock_ms": self.clock()}
        if call["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.extend(call["deadline_ms"])
        if known or number <= self.last_run.get(task, 0):
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        run = self.running[task] = Run(task, number)
        how, seconds = self.behaviour(task, number)
        if seconds is not None:
            run.timer = asyncio.get_running_loop().call_later(seconds, self.end, run, how)
        self.site.on_start(self, run)
        return 200, {"clock_ms": self.clock()}

    def stop_run(self, call):
        task, number = call["task"], call["run"]
        run = self.running.get(task)
        if run and run.run == number:
            if not run.is_stopping:
                run.is_stopping = True
                asyncio.get_running_loop().call_later(BOUNDS["stop_timeout_ms"] / 2000, self.end, run, "stopped")
        else:
            self.last_run[task] = max(number, self.last_run.get(task, 0))
        return 200, {"clock_ms": self.clock()}


class Daemon:
    def __init__(self, site, name, address):
        self.site, self.name, self.address = site, name, address
        self.process = None
        self.starts = 0

    def settings(self):
        values = {"node_name": self.name, "zone": "z1", "ip": self.address, "limits": {"cpu_share": 1, "cores": 1},
                  "listen_addrs": {"front": f"{self.address}:{self.site.front}",
                                   "ready": f"{self.address}:{self.site.ready}"},
                  "platform": {"address": f"{self.site.address}:{self.site.store_port}"},
                  "cloud_api": {"address": f"{self.site.address}:{self.site.cloud_port}"},
                  "advice": f"{self.site.address}:{self.site.advice_port}", "bounds": BOUNDS}

        def fill(match):
            value = values
            for part in match.group(1).split("."):
                value = value[part]
            return str(value)
        with open(os.path.join(TOP, "deploy", "settings.ini")) as file:
            return re.sub(r"{{([a-z_.]+)}}", fill, file.read())

    def start(self):
        path = os.path.join(self.site.folder, self.name + ".ini")
        with open(path, "w") as file:
            file.write(self.settings())
        with open(os.path.join(TOP, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["daemon"]["run"].split()
        self.starts += 1
        log = open(os.path.join(self.site.folder, f"{self.name}.{self.starts}.log"), "w")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["GREENGAGEGAP_CONFIG"] = path
        self.process = subprocess.Popen(command, cwd=TOP, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=log)
        self.site.record.add(f"daemon {self.name} started")

    def send(self, number):
        self.site.record.add(f"daemon {self.name} {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Site:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, daemons=3):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="greengage-review-")
        net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.net = net
        self.address = net + ".1"
        self.store_port, self.cloud_port, self.advice_port, self.worker_port = 18344, 18345, 18346, 18400
        self.front, self.ready = 18340, 18343
        self.store = Store()
        self.cloud = HttpServer(self.handle_cloud)
        self.workers = []
        self.daemons = [Daemon(self, f"front-{index}", f"{net}.{10 + index}") for index in range(daemons)]
        self.tasks = set()
        self.starts = []
        self.ends = []
        self.acks = {}
        self.refusals = []
        self.machine_orders = []
        # The first time that a task was seen to run twice at once.
        self.two_runs = None
        self.maintained = set()
        self.version = 0

    def keep(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        return task

    def add_worker(self, service, **options):
        index = len(self.workers)
        worker = Worker(self, f"w{index:02d}", service, f"{self.net}.{100 + index}", self.worker_port, **options)
        self.workers.append(worker)
        return worker

    async def handle_cloud(self, method, target, headers, body):
        if target.startswith("/v1/machines"):
            return 200, {"machines": [
                {"machine": "m-" + worker.id, "pool": worker.service,
                 "state": "upkeep" if worker.is_in_upkeep else "down" if worker.is_down else "up", "zone": "z1",
                 "labels": worker.labels, "capacity": {"cpu": worker.cpu, "mem_mb": 131072, "gpu": 0},
                 "id": "" if worker.is_in_upkeep or worker.is_down else worker.id} for worker in self.workers], "next_token": ""}
        call = json.loads(body)
        holder, token = headers["x-duty-holder"], int(headers["x-fencing-token"])
        self.machine_orders.append((self.record.now(), call["machine"], holder, token))
        self.record.add(f"{holder} orders {target} {call} with token {token}")
        if target != "/v1/machine-upkeep":
            return 409, {"reason": "busy"}
        worker = next((worker for worker in self.workers if "m-" + worker.id == call["machine"]), None)
        if not worker:
            return 400, {}
        if call["machine"] in self.maintained:
            return 200, {}
        if worker.is_in_upkeep:
            return 409, {"reason": "busy"}
        self.maintained.add(call["machine"])
        self.keep(worker.maintain(2.0))
        return 200, {}

    def order_wave(self, number, machines, duration_s, maximum):
        self.store.put(f"op/wave/{number}", json.dumps(
            {"wave": number, "machines": machines, "duration_s": duration_s, "maximum": maximum}).encode())
        self.record.add(f"wave {number} of {machines}, {maximum} at once")

    def is_wave_completed(self, number):
        return (self.store.value(f"status/wave/{number}") or {}).get("state") == "completed"

    def configure(self, routes, services, tenants=()):
        self.version += 1
        body = {"version": self.version, "routes": routes, "services": services, "tenants": list(tenants),
                "limits": {}}
        self.store.put("op/config", json.dumps(body).encode())
        self.record.add(f"configuration {self.version} acknowledged: "
                        + ",".join(route["name"] for route in routes))

    async def start(self):
        await self.store.server.listen(self.address, self.store_port)
        await self.cloud.listen(self.address, self.cloud_port)
        for worker in self.workers:
            await worker.start()
        for daemon in self.daemons:
            daemon.start()

    def leader(self):
        holder = self.store.value("gg/lead/holder")
        for daemon in self.daemons:
            if holder and holder.get("daemon") == daemon.name:
                return daemon
        return None

    async def until(self, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.01)
        return condition()

    def on_start(self, worker, run):
        self.starts.append((self.record.now(), worker, run.task, run.run))
        self.record.add(f"{worker.id} runs {run.task} run {run.run}")
        for other in self.workers:
            former = other.running.get(run.task)
            if former and other is not worker and not self.two_runs:
                self.two_runs = (f"TWICE: {run.task} runs on {worker.id} as run {run.run} while {other.id} has run "
                                 f"{former.run}")

    def on_end(self, worker, run, how):
        self.ends.append((self.record.now(), worker, run.task, run.run, how))
        self.record.add(f"{worker.id} ended {run.task} run {run.run} {how}")

    def on_ack(self, worker, cursor):
        if cursor > self.acks.get((worker.id, worker.born), 0):
            self.acks[(worker.id, worker.born)] = cursor
            self.record.add(f"{worker.id} ends acknowledged up to {cursor}")

    def on_refusal(self, worker, task, number):
        self.refusals.append((self.record.now(), worker, task, number))
        self.record.add(f"{worker.id} answered 503 to the start of {task} run {number}")

    def is_running(self, prefix):
        return any(task.startswith(prefix) for worker in self.workers for task in worker.running)

    async def call(self, daemon, method, path, body=None, timeout=3.0, host="jobs.example", key=None):
        """Sends a caller's request and returns its status and JSON value; status 0 if there is no answer."""
        data = json.dumps(body).encode() if body is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {int(timeout * 1000)}\r\n"
        if key:
            head += f"Authorization: Token {key}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n"

        async def exchange():
            reader, writer = await asyncio.open_connection(daemon.address, self.front)
            try:
                writer.write(head.encode() + data)
                answer = await reader.read()
            finally:
                writer.close()
            lines, _, text = answer.partition(b"\r\n\r\n")
            return int(lines.split(b" ")[1]), json.loads(text or b"{}")
        try:
            status, value = await asyncio.wait_for(exchange(), timeout)
        except (OSError, IndexError, ValueError, asyncio.TimeoutError):
            status, value = 0, {}
        self.record.add(f"{method} {path} at {daemon.name}: {status} {json.dumps(value)}")
        return status, value

    async def submit(self, path, body, seconds=10.0):
        """Submits a job until a daemon accepts it."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, _ = await self.call(random.choice(self.daemons), "POST", path, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self):
        for daemon in self.daemons:
            daemon.end()
        for task in self.tasks:
            task.cancel()
        if os.environ.get("GREENGAGE_KEEP_SITE"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, prefix, **fields):
    return dict({"name": name, "host": "jobs.example", "prefix": prefix, "service": service, "max_attempts": 3,
                 "priority": 0, "stretch": 2.0, "slo_ms": 600, "public": True}, **fields)


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(folder, case, daemons=3):
    """Runs a case: `case(site, has_trouble)` returns a text if the rule was broken, and nothing if it held. Raises
    AssertionError if the case could not run."""
    async def run():
        site = Site(folder, daemons)
        try:
            broken = await case(site, os.environ.get("TROUBLE", "1") != "0")
            site.record.add("broken: " + broken if broken else "the rule held")
            print("broken: " + broken if broken else "the rule held")
            return 1 if broken else 0
        except (AssertionError, OSError) as error:
            site.record.add(f"could not run: {error!r}")
            print("could not run:", repr(error))
            return 2
        finally:
            site.close()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(run()))
