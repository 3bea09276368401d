"""A minion crashes while start orders to it are unanswered, and starts again under its id."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.site import TROUBLE, CannotRun, play

SERVICES = {"washline": False}
JOBS = 6
DOWN_S = float(os.environ.get("DOWN_S", 0.2))
# From the restart to the minion's next entry in the store; entries come every 1.5 s.
FIRST_BEAT_S = float(os.environ.get("FIRST_BEAT_S", 0.3))
# A crash that resets the minion's connections shows the fault less often than one that sends nothing.
SILENT = os.environ.get("SILENT", "1") == "1"


async def case(site):
    site.first_beat_s = FIRST_BEAT_S
    site.configure(1, {"wash-plan": "washline"}, SERVICES)
    for index in range(8):
        await site.add_minion(f"i-wash-{index}", "washline")
    await site.begin()
    if not await site.wait_ready():
        raise CannotRun("the daemons are not ready")
    await asyncio.sleep(1)
    is_armed = False

    def crash_once(minion, run):
        nonlocal is_armed
        if is_armed:
            is_armed = False
            asyncio.get_running_loop().call_later(DOWN_S, lambda: asyncio.ensure_future(minion.start()))
            minion.crash(silent=SILENT)

    for minion in site.minions:
        minion.on_start = crash_once
    steps = [{"count": 6, "cpu": 2500, "mem_mb": 4000, "est_duration_ms": 1700}]
    for number in range(JOBS):
        is_armed = TROUBLE
        if not await site.submit("wash-plan", f"5c0e7a21d94b{number:04x}", {"ms": 1700}, steps):
            raise CannotRun("a job was not accepted")
        await asyncio.sleep(4)
    if len(site.begins) < 6 * JOBS:
        raise CannotRun("not all tasks have begun")
    if site.overlaps:
        jobs = {overlap[1].split(".")[0] for overlap in site.overlaps}
        return (f"TWICE: {len(site.overlaps)} tasks of {len(jobs)} jobs had two runs at the same time, on minions that"
                f" are up; the first: {site.overlaps[0]}")
    return None


play(FOLDER, case)
