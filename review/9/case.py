"""One of twelve workers answers 503 to start orders while the others are full. The number of waiting jobs that callers
are told must stay right."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
import deployment  # noqa: E402

WORKERS = 12
UNHEALTHY_S = 6.5
JOBS = 8
# The rule: jobs that were accepted more than visible_ms + 2 s before and have not begun.
KNOWN_AFTER_S = deployment.BOUNDS["visible_ms"] / 1000 + 2


async def case(site, has_trouble):
    wide = deployment.job_id()
    for _ in range(WORKERS):
        site.add_worker("north", behaviour=lambda task, run: ("done", 25.0 if task.startswith(wide) else 1.0))
    site.configure([deployment.route("north", "north", "/north/")],
                   [{"name": "north", "enforces_capacity": True}])
    await site.start()
    assert await site.until(site.leader, 15), "no leader"
    # Fills all workers but one.
    assert await site.submit("/north/" + wide, {"spec": "wide", "steps": [
        {"count": WORKERS - 1, "cpu": 32000, "mem_mb": 100, "est_duration_ms": 25000}]})
    assert await site.until(lambda: len(site.starts) == WORKERS - 1, 10), "the wide job did not start"
    free = next(worker for worker in site.workers if not worker.running)
    await asyncio.sleep(4)
    if has_trouble:
        free.refuses_starts = True
        site.record.add(f"{free.id} is unhealthy: it answers 503 to start orders")
    begin = site.record.now()
    accepted = {}
    body = {"spec": "work", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 100, "est_duration_ms": 1000}]}
    for _ in range(JOBS):
        job = deployment.job_id()
        assert await site.submit("/north/" + job, body)
        accepted[job] = site.record.now()
    broken = None
    while site.record.now() < begin + UNHEALTHY_S:
        asked = site.record.now()
        for daemon in site.daemons:
            status, value = await site.call(daemon, "GET", "/north/")
            begun = {start[2].split(".")[0] for start in site.starts}
            known = [job for job, at in accepted.items() if asked - at > KNOWN_AFTER_S and job not in begun]
            if status == 200 and value["waiting"] * 2 < len(known):
                broken = broken or (f"MIXED: {daemon.name} gives {value['waiting']} waiting jobs; {len(known)} were "
                                    f"accepted over {KNOWN_AFTER_S:.0f} s before and have not begun")
        await asyncio.sleep(0.3)
    free.refuses_starts = False
    site.record.add(f"{free.id} is healthy")
    ended = lambda: sum(end[2].split(".")[0] in accepted for end in site.ends) == 2 * JOBS  # noqa: E731
    assert await site.until(ended, 40), "the jobs did not end"
    return broken


deployment.main(FOLDER, case)
