"""A small deployment on loopback: the project's daemons as processes, everything else as stand-ins."""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

from common.cloud import Cloud
from common.http import call, free_port
from common.minion import Gangs, Minion
from common.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLATFORM = "127.0.61.1"
HOST = "jobs.example"
KEY = "key-of-team-one"
# The bounds of the site mucu-sched, as far as the daemon's settings hold them.
BOUNDS = {"hold_max_ms": 6000, "lease_ttl_ms": 3000, "status_s": 120, "grace_s": 6, "far_x": 2}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Site:
    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.temporary = tempfile.mkdtemp(prefix="greengage-review-")
        self.store = Store(self.record, PLATFORM, free_port(PLATFORM))
        self.cloud = Cloud(self, PLATFORM, free_port(PLATFORM))
        self.gangs = Gangs()
        self.minions = []
        self.daemons = {}
        self.exits = []
        self.supervisor = None
        self.jobs = {}  # id -> body
        self.running = {}  # task -> {(minion id, life, run)}
        self.begins = []  # (time, task, run, minion)
        self.ends = []  # (time, task, run, minion, how)
        self.overlaps = []
        self.noted_done = {}  # task -> time at which its end as done was taken note of
        self.starts_after_done = []
        self.next_host = 1
        self.restart_s = 0.5  # from the end of a daemon to its restart
        self.first_beat_s = 0.3  # from a minion's restart to its first entry in the store
        self.record("site", trouble=TROUBLE)

    def now(self):
        return time.monotonic() - self.started

    def record(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.4f} {event} {text}\n")
        self.file.flush()

    # What the minions see.

    def demand_of(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        if job not in self.jobs:
            return 0, 0
        row = self.jobs[job]["steps"][int(step)]
        return row.get("cpu", 0), row.get("mem_mb", 0)

    def run_began(self, minion, run):
        self.record("run_begins", minion=minion.id, life=minion.lives, task=run.task, run=run.run)
        self.begins.append((self.now(), run.task, run.run, minion.id))
        if run.task in self.noted_done:
            self.starts_after_done.append((self.now(), run.task, run.run, minion.id))
            self.record("START_AFTER_DONE", task=run.task, run=run.run, minion=minion.id)
        others = self.running.setdefault(run.task, set())
        for other in others:
            self.overlaps.append((self.now(), run.task, other, (minion.id, run.run)))
            self.record("TWO_RUNS", task=run.task, first=other, second=(minion.id, minion.lives, run.run))
        others.add((minion.id, minion.lives, run.run))

    def run_ended(self, minion, run, how):
        self.record("run_ends", minion=minion.id, life=minion.lives, task=run.task, run=run.run, how=how)
        self.running.get(run.task, set()).discard((minion.id, minion.lives, run.run))
        self.ends.append((self.now(), run.task, run.run, minion.id, how))

    def end_noted(self, minion, end):
        self.record("end_noted", minion=minion.id, task=end[1], run=end[2], how=end[3])
        if end[3] == "done":
            self.noted_done.setdefault(end[1], self.now())

    def begins_of(self, job):
        return [begin for begin in self.begins if begin[1].startswith(job + ".")]

    # The platform.

    def configure(self, version, routes, services, maximum=None):
        """The operator writes a configuration. `routes`: name -> service; `services`: name -> whether it is spare."""
        body = {"version": version,
                "routes": [{"name": name, "host": HOST, "prefix": f"/{name}/", "kind": "non_idempotent",
                            "timeout_ms": 3000, "slo_ms": 600, "priority": 0, "service": service,
                            "max_attempts": 4, "stretch": 1.6, "public": False}
                           for name, service in routes.items()],
                "services": [{"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1",
                              "tls": False, "enforces_capacity": True, "spare": spare}
                             for name, spare in services.items()],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "tenants": [{"name": "team-one", "api_keys": [KEY], "priority": 1, "weight": 1,
                             "maximum": maximum or {"cpu": 0, "mem_mb": 0, "gpu": 0}}]}
        self.store.put("op/config", body)
        self.record("configuration", version=version, routes=sorted(routes))

    async def add_minion(self, minion_id, service, **options):
        address = f"127.0.63.{self.next_host}"
        self.next_host += 1
        minion = Minion(self, minion_id, service, address, free_port(address), **options)
        self.minions.append(minion)
        await minion.start()
        return minion

    async def add_machine(self, name, pool, cpu=16000, mem_mb=64000, labels=("a", "r1-1"), zone="zone-a"):
        address = f"127.0.63.{self.next_host}"
        self.next_host += 1
        await self.cloud.add(name, pool, address, free_port(address), cpu=cpu, mem_mb=mem_mb, labels=labels, zone=zone)

    # The daemons.

    def start_daemon(self, index):
        name = f"front-zone-a-{index}"
        address = f"127.0.62.{index}"
        values = {"node_name": name, "zone": "zone-a", "ip": address, "limits.cpu_share": 0.25, "limits.cores": 1,
                  "platform.address": f"{PLATFORM}:{self.store.server.port}",
                  "cloud_api.address": f"{PLATFORM}:{self.cloud.server.port}", "advice": f"{PLATFORM}:{free_port(PLATFORM)}"}
        values |= {f"bounds.{key}": value for key, value in BOUNDS.items()}
        daemon = self.daemons.get(index)
        if daemon is None:
            daemon = {"name": name, "address": address, "callers": free_port(address), "starts": 0}
            self.daemons[index] = daemon
        daemon["readiness"] = free_port(address)
        values["listen_addrs.front"] = f"{address}:{daemon['callers']}"
        values["listen_addrs.ready"] = f"{address}:{daemon['readiness']}"
        role = next(iter(tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].values()))
        template = (ROOT / role["template"]).read_text()
        settings = pathlib.Path(self.temporary) / f"{name}.ini"
        settings.write_text(re.sub(r"\{\{([a-z_.]+)\}\}", lambda match: str(values[match[1]]), template))
        daemon["starts"] += 1
        log = open(pathlib.Path(self.temporary) / f"{name}.{daemon['starts']}.log", "w")
        daemon["process"] = subprocess.Popen(
            role["run"].split(), cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
            env={"PATH": os.environ["PATH"], "HOME": self.temporary, "GREENGAGEGAP_CONFIG": str(settings)})
        daemon["ended_at"] = None
        self.record("daemon_started", name=name, pid=daemon["process"].pid)

    async def supervise(self):
        """Restarts daemons that end, after a short delay, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            for index, daemon in list(self.daemons.items()):
                status = daemon["process"].poll()
                if status is None:
                    continue
                if not daemon["ended_at"]:
                    daemon["ended_at"] = self.now()
                    self.record("daemon_ended", name=daemon["name"], status=status)
                    self.exits.append((self.now(), daemon["name"], status))
                elif self.now() - daemon["ended_at"] >= self.restart_s:
                    self.start_daemon(index)

    def leader(self):
        """The index of the daemon that leads."""
        holder = self.store.get("gg/lead/holder")
        text = json.dumps(holder) if holder else ""
        for index, daemon in self.daemons.items():
            if f'"{daemon["name"]}"' in text:
                return index
        return None

    async def begin(self, daemons=3):
        await self.store.start()
        await self.cloud.start()
        for index in range(1, daemons + 1):
            self.start_daemon(index)
        self.supervisor = asyncio.create_task(self.supervise())

    async def wait_ready(self, limit_s=20):
        """Waits until every daemon is ready and one leads."""
        end = self.now() + limit_s
        while self.now() < end:
            answers = [await call(daemon["address"], daemon["readiness"], "GET", "/v1/readyz", timeout=1)
                       for daemon in self.daemons.values()]
            if all(answer and answer[0] == 200 for answer in answers) and self.leader() is not None:
                self.record("ready", leader=self.leader())
                return True
            await asyncio.sleep(0.1)
        return False

    # Clients.

    async def ask(self, method, path, body=None, daemon=None, timeout=3.0):
        target = self.daemons[daemon or next(iter(self.daemons))]
        headers = {"Host": HOST, "Authorization": f"Token {KEY}", "X-Deadline-Ms": int(timeout * 1000)}
        answer = await call(target["address"], target["callers"], method, path, headers, body, timeout)
        self.record("answer", method=method, path=path, daemon=target["name"],
                    status=answer[0] if answer else None, body=answer[1].decode() if answer else None)
        return answer

    async def submit(self, route, job, spec, steps, daemon=None):
        """Submits a job; returns whether it was accepted."""
        body = {"spec": json.dumps(spec), "steps": steps}
        self.jobs[job] = body
        self.record("submit", job=job, route=route, body=json.dumps(body))
        for _ in range(5):
            answer = await self.ask("POST", f"/{route}/{job}", body, daemon)
            if answer and 200 <= answer[0] < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, route, job, daemon=None):
        answer = await self.ask("GET", f"/{route}/{job}", daemon=daemon)
        if not answer or answer[0] != 200:
            return answer[0] if answer else None
        return json.loads(answer[1])["state"]

    def end(self):
        if self.supervisor:
            self.supervisor.cancel()
        for daemon in self.daemons.values():
            if daemon.get("process") and daemon["process"].poll() is None:
                daemon["process"].send_signal(signal.SIGKILL)
                daemon["process"].wait()
        self.record("end")
        self.file.close()
        keep = os.environ.get("KEEP")
        if keep:
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be run, so it says nothing."""


def play(folder, case, limit_s=110):
    """Runs `case(site)`, a coroutine that returns a text if the rule was broken, else None. Exits with 1, 0 or 2."""

    async def run():
        site = Site(folder)
        try:
            verdict = await asyncio.wait_for(case(site), limit_s)
            site.record("verdict", broken=verdict)
            print("BROKEN: " + verdict if verdict else "held")
            return 1 if verdict else 0
        # Any error of the case itself says nothing of the system.
        except Exception as error:
            site.record("cannot_run", error=repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            site.end()

    # SIGTERM ends the case like an error, so that its processes are ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(run()))
