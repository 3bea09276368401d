"""Stand-in of a minion (PROTOCOL.md, "Running tasks" and "Service discovery").

The `spec` of a job is JSON text that tells the stand-in what its tasks do: `ms` is how long a task works, `gang` how
many members a gang has, `end` how a task that lasts ends by itself."""

import asyncio
import json
import time

from common.http import Server

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_S = 0.05
ENDS_PER_ANSWER = 500


class Run:
    def __init__(self, task, run, spec):
        self.task = task
        self.run = run
        self.spec = spec
        self.started = time.monotonic()
        self.timer = None


class Gangs:
    """The members of gangs that are present, on all minions: (job, occurrence, step, run) -> [(minion, run)]."""

    def __init__(self):
        self.present = {}


class Minion:
    def __init__(self, site, minion_id, service, address, port, cpu=16000, mem_mb=64000, labels=("a", "r1-1"),
                 zone="zone-a"):
        self.site = site
        self.id = minion_id
        self.service = service
        self.address = address
        self.port = port
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.labels = list(labels)
        self.zone = zone
        self.server = Server(address, port, self.handle)
        self.is_cut = False
        self.is_up = False
        self.lives = 0
        self.on_start = None  # called with each run that begins
        self.beat_task = None

    # Lives of the process.

    async def start(self):
        """Begins a life: the minion knows nothing of before, and its counts start anew."""
        self.lives += 1
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.token = 0
        self.seq = 0
        self.runs = {}
        self.stopped = {}  # task -> highest run that was stopped or has ended here
        self.ends = []
        self.end_number = 0
        self.deadline_ms = 0
        self.ended = asyncio.Event()
        self.lease_timer = None
        self.is_up = True
        await self.server.start()
        self.site.record("minion_up", minion=self.id, life=self.lives, born=self.born)
        if self.lives == 1:
            self.beat()
        self.beat_task = asyncio.create_task(self.beats())

    def crash(self, silent=False):
        """Ends the process. Everything that runs ends with it. `silent`: its connections are not reset."""
        self.is_up = False
        if silent:
            self.server.go_dark()
        else:
            self.server.crash()
        self.beat_task.cancel()
        if self.lease_timer:
            self.lease_timer.cancel()
        for run in list(self.runs.values()):
            if run.timer:
                run.timer.cancel()
            self.site.run_ended(self, run, "lost")
        self.runs = {}
        self.site.record("minion_crashed", minion=self.id, life=self.lives)

    def cut(self):
        """Cuts the minion off from all daemons and from the store; it runs on."""
        self.is_cut = True
        self.site.record("minion_cut", minion=self.id)

    def heal(self):
        self.is_cut = False
        self.site.record("minion_healed", minion=self.id)
        self.beat()

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    def beat(self):
        if self.is_cut or not self.is_up:
            return
        self.seq += 1
        self.last_beat = time.monotonic()
        self.site.store.put("servers/" + self.id, {
            "service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels,
            "clock_ms": self.clock(), "seq": self.seq, "born": self.born})

    async def beats(self):
        if self.lives > 1:
            await asyncio.sleep(self.site.first_beat_s)
            self.beat()
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    # Calls of daemons.

    async def handle(self, request):
        if self.is_cut or not self.is_up:
            return None
        life = self.lives
        answer = await self.answer(request)
        is_sent = not self.is_cut and self.is_up and life == self.lives
        if request.path in ("/v1/run-start", "/v1/run-stop"):
            body = request.json()
            self.site.record("order", path=request.path, minion=self.id, life=life, task=body["task"], run=body["run"],
                             token=body.get("fencing_token"), deadline_ms=body.get("deadline_ms"),
                             status=answer[0], reason=answer[1].get("reason"), answer_sent=is_sent)
        return answer if is_sent else None

    async def answer(self, request):
        if request.path == "/healthz":
            return 200, None
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock(), "born": self.born}
        body = request.json()
        token = body.get("fencing_token", 0)
        if token < self.token:
            return self.conflict("fence")
        self.token = token
        if request.path == "/v1/run-start":
            return self.start_run(body)
        if request.path == "/v1/run-stop":
            return self.stop_run(body)
        if request.path == "/v1/hold":
            return await self.hold(body)
        if request.path == "/v1/pace":
            return 200, {"clock_ms": self.clock(), "born": self.born}
        return 404, {}

    def conflict(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason, "born": self.born}

    def start_run(self, body):
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if present and present.run == number:
            return 200, {"clock_ms": self.clock(), "born": self.born}
        if body["deadline_ms"] < self.clock():
            return self.conflict("late")
        self.extend(body["deadline_ms"])
        if number <= self.stopped.get(task, 0) or present:
            return self.conflict("old")
        demand = self.site.demand_of(task)
        used_cpu = sum(self.site.demand_of(name)[0] for name in self.runs)
        used_mem = sum(self.site.demand_of(name)[1] for name in self.runs)
        if used_cpu + demand[0] > self.capacity["cpu"] or used_mem + demand[1] > self.capacity["mem_mb"]:
            return self.conflict("room")
        run = Run(task, number, json.loads(body["spec"]))
        self.runs[task] = run
        self.site.run_began(self, run)
        members = run.spec.get("gang", 0)
        if members:
            key = (*task.split(".")[:3], number)
            group = self.site.gangs.present.setdefault(key, [])
            group.append((self, run))
            if len(group) == members:
                for minion, member in group:
                    minion.work(member)
        else:
            self.work(run)
        if self.on_start:
            self.on_start(self, run)
        return 200, {"clock_ms": self.clock(), "born": self.born}

    def work(self, run):
        how = run.spec.get("end", "done")
        run.timer = asyncio.get_running_loop().call_later(run.spec["ms"] / 1000, self.end_run, run, how)

    def end_run(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer:
            run.timer.cancel()
        self.stopped[run.task] = max(self.stopped.get(run.task, 0), run.run)
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.run, how, ""])
        self.site.run_ended(self, run, how)
        ended, self.ended = self.ended, asyncio.Event()
        ended.set()

    def stop_run(self, body):
        task, number = body["task"], body["run"]
        self.stopped[task] = max(self.stopped.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.run <= number:
            asyncio.get_running_loop().call_later(STOP_S, self.end_run, run, "stopped")
        return 200, {"clock_ms": self.clock(), "born": self.born}

    async def hold(self, body):
        cursor = body.get("ack_cursor", 0)
        for end in self.ends:
            if end[0] <= cursor:
                self.site.end_noted(self, end)
        self.ends = [end for end in self.ends if end[0] > cursor]
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        wait_s = min(body.get("wait_ms", 0), 2000) / 1000
        if not self.ends and wait_s:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.run, "", self.percent(run)] for run in self.runs.values()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                     "ended": self.ends[:ENDS_PER_ANSWER]}

    def percent(self, run):
        if run.spec.get("lasts"):
            return 100
        return min(99, int((time.monotonic() - run.started) * 100_000 / run.spec["ms"]))

    # Leases.

    def extend(self, deadline_ms):
        deadline_ms = min(deadline_ms, self.clock() + HOLD_MAX_MS)
        if deadline_ms <= self.deadline_ms:
            return
        self.deadline_ms = deadline_ms
        if self.lease_timer:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            (deadline_ms - self.clock()) / 1000, self.lapse, self.lives)

    def lapse(self, life):
        if life != self.lives or not self.is_up:
            return
        if self.clock() < self.deadline_ms:
            self.lease_timer = asyncio.get_running_loop().call_later(0.002, self.lapse, life)
            return
        for run in list(self.runs.values()):
            self.end_run(run, "lapsed")
