"""A machine joins while the interface to machines does not answer, and a wave is ordered for it."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.site import TROUBLE, CannotRun, play

SERVICES = {"washline": False}
SILENT_S = 5
JOINS_AFTER_S = 1
ORDERED_AFTER_S = 1.5
JUDGED_S = 20
MACHINE = "m-new"
WAVE = 1


async def case(site):
    site.configure(1, {"wash-plan": "washline"}, SERVICES)
    for index in range(4):
        await site.add_machine(f"m-{index}", "washline")
    await site.begin()
    if not await site.wait_ready():
        raise CannotRun("the daemons are not ready")
    await asyncio.sleep(6)
    if TROUBLE:
        site.cloud.is_silent = True
        asyncio.get_running_loop().call_later(SILENT_S, setattr, site.cloud, "is_silent", False)
    await asyncio.sleep(JOINS_AFTER_S)
    await site.add_machine(MACHINE, "washline")
    site.record("machine_joined", machine=MACHINE)
    await asyncio.sleep(ORDERED_AFTER_S)
    site.store.put(f"op/wave/{WAVE}", {"wave": WAVE, "machines": [MACHINE], "duration_s": 20, "maximum": 1})
    site.record("wave_ordered", wave=WAVE, machine=MACHINE)
    end = site.now() + JUDGED_S
    completed_first = False
    is_completed = False
    while site.now() < end:
        await asyncio.sleep(0.02)
        status = site.store.get(f"status/wave/{WAVE}")
        if not is_completed and status and status["state"] == "completed":
            is_completed = True
            completed_first = (WAVE, MACHINE) not in site.cloud.upkeeps
            site.record("wave_completed", wave=WAVE, machine_begun=not completed_first)
    has_begun = (WAVE, MACHINE) in site.cloud.upkeeps
    site.record("at_the_end", status=site.store.get(f"status/wave/{WAVE}"), machine_begun=has_begun,
                state=site.cloud.machines[MACHINE].state)
    if not is_completed:
        raise CannotRun("the wave is not completed")
    if completed_first:
        return (f"MIXED: the wave is said to be completed, and its machine {MACHINE}, which is up, "
                + ("began its upkeep later" if has_begun else f"has not begun its upkeep after {JUDGED_S} s"))
    return None


play(FOLDER, case)
