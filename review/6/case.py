"""A start order is held up for some seconds. Meanwhile its worker crashes and starts again under its id, and carries the
order out before the leader reaches it. The task must not run on another worker at the same time."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
import deployment  # noqa: E402

WORKERS = 8
TASKS = 24
WORK_S = 2.5
DOWN_S = 4.5
# How long after the start of the new incarnation the order arrives.
ARRIVES_S = float(os.environ.get("ARRIVES_S", "0.2"))
# Entries come every 1.5 s.
FIRST_ENTRY_S = 0.5


async def case(site, has_trouble):
    for _ in range(WORKERS):
        site.add_worker("north", behaviour=lambda task, run: ("done", WORK_S))
    site.configure([deployment.route("north", "north", "/north/")],
                   [{"name": "north", "enforces_capacity": True}])
    await site.start()
    assert await site.until(site.leader, 15), "no leader"
    # The workers have been up for a while.
    await asyncio.sleep(10)
    late = []

    def chooses_late(worker):
        def choose(task, run):
            if not late:
                late.append((worker, task, run))
            return late[0] == (worker, task, run)
        return choose
    if has_trouble:
        for worker in site.workers:
            worker.chooses_late = chooses_late(worker)
    job = deployment.job_id()
    assert await site.submit("/north/" + job, {"spec": "work", "steps": [
        {"count": TASKS, "cpu": 9000, "mem_mb": 100, "est_duration_ms": int(WORK_S * 1000)}]})
    if has_trouble:
        assert await site.until(lambda: late and late[0][1] in late[0][0].running, 10), "no order was held up"
        worker, task, run = late[0]
        await asyncio.sleep(0.3)
        await worker.crash(DOWN_S, FIRST_ENTRY_S)
        await asyncio.sleep(ARRIVES_S)
        worker.deliver(worker.held_up[(task, run)])
    ended = lambda: len({end[2] for end in site.ends if end[4] == "done"}) == TASKS  # noqa: E731
    assert await site.until(ended, 30), "the job did not end"
    await asyncio.sleep(2)
    return site.two_runs


deployment.main(FOLDER, case)
