"""Open connections to the workers and the store go silent once. Lasting tasks must run again in time."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
import deployment  # noqa: E402

LASTING, PARALLEL = 4, 60
# The rule: nothing runs for 3 s, from 6 s after the last run, and the 4 s before are calm.
ALLOWED_S = 6 + 3


def behaviour(site, lasting):
    return lambda task, run: ("done", None) if task.startswith(lasting) else ("done", 1.0)


async def case(site, has_trouble):
    lasting, wide = deployment.job_id(), deployment.job_id()
    for _ in range(3):
        site.add_worker("north", behaviour=behaviour(site, lasting))
    site.configure([deployment.route("north", "north", "/north/")],
                   [{"name": "north", "enforces_capacity": True}])
    await site.start()
    assert await site.until(site.leader, 15), "no leader"
    tasks = [f"{lasting}.0.0.{index}" for index in range(LASTING)]
    running = lambda task: any(task in worker.running for worker in site.workers)  # noqa: E731
    assert await site.submit("/north/" + lasting, {"spec": "lasting", "steps": [
        {"count": LASTING, "cpu": 100, "mem_mb": 100, "est_duration_ms": 500, "long_running": True}]})
    assert await site.until(lambda: all(map(running, tasks)), 10), "the lasting tasks did not start"
    assert await site.submit("/north/" + wide, {"spec": "wide", "steps": [
        {"count": PARALLEL, "cpu": 1500, "mem_mb": 100, "est_duration_ms": 1000}]})
    ended = lambda: sum(end[2].startswith(wide) for end in site.ends) == PARALLEL  # noqa: E731
    assert await site.until(ended, 20), "the wide job did not end"
    await asyncio.sleep(1)
    if has_trouble:
        count = [worker.server.silence_open_connections() for worker in site.workers]
        count.append(site.store.server.silence_open_connections())
        site.record.add(f"open connections to the workers and the store went silent: {count}")
    silent_at = site.record.now()
    last_run = {task: silent_at for task in tasks}
    worst = 0.0
    while site.record.now() < silent_at + 40:
        now = site.record.now()
        for task in tasks:
            if running(task):
                last_run[task] = now
            worst = max(worst, now - last_run[task])
        await asyncio.sleep(0.05)
    site.record.add(f"longest time without a run of a lasting task: {worst:.1f} s")
    if worst > ALLOWED_S:
        return f"LOST: a lasting task did not run for {worst:.1f} s; at most {ALLOWED_S} s are allowed"
    return None


deployment.main(FOLDER, case)
