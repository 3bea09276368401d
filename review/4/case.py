"""The interface to machines does not answer for a few seconds, while the system gives idle machines back."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.site import TROUBLE, CannotRun, play

JOB = "5c0e7a21d94b36f8"
SERVICES = {"washline": False, "yard-misc": True}
SILENT_S = 5
CALM_S = 8
JUDGED_S = 15
TASKS = 5


async def case(site):
    site.cloud.spare_pools.add("yard-misc")
    site.configure(1, {"wash-archive": "washline"}, SERVICES)
    for index in range(9):
        await site.add_machine(f"m-{index}", "washline")
    await site.add_machine("m-9", "yard-misc")
    await site.begin()
    if not await site.wait_ready():
        raise CannotRun("the daemons are not ready")
    await asyncio.sleep(1.5)
    site.cloud.is_silent = TROUBLE
    await asyncio.sleep(SILENT_S)
    site.cloud.is_silent = False
    site.record("cloud_answers_again")
    await asyncio.sleep(CALM_S)
    leader = site.leader()
    steps = [{"count": TASKS, "cpu": 1500, "mem_mb": 8800, "long_running": True, "anti_affinity": 1, "may_miss": 1}]
    if not await site.submit("wash-archive", JOB, {"ms": 3_600_000, "lasts": True}, steps):
        raise CannotRun("the job was not accepted")
    await asyncio.sleep(JUDGED_S)
    site.record("state", wash_archive=await site.state("wash-archive", JOB), leader=site.leader(), before=leader)
    waiting = [f"{JOB}.0.0.{index}" for index in range(TASKS)
               if not any(begin[1] == f"{JOB}.0.0.{index}" for begin in site.begins)]
    idle = [machine.name for machine in site.cloud.machines.values()
            if machine.pool == "washline" and machine.state == "up" and machine.minion and not machine.minion.runs]
    site.record("machines", **{machine.name: (machine.pool, machine.state, len(machine.minion.runs) if machine.minion
                                              else None) for machine in site.cloud.machines.values()})
    # Each machine has room for one of these tasks several times over.
    if waiting and len(idle) >= 2 * len(waiting):
        return (f"LOST: {len(waiting)} tasks that last have had nothing running for {JUDGED_S} s, while {len(idle)}"
                f" machines of their service are up and idle: {idle}")
    if waiting:
        raise CannotRun(f"{len(waiting)} tasks wait and {len(idle)} machines are idle")
    return None


play(FOLDER, case)
