"""Open connections to the store go silent once. A later configuration must be in force everywhere in time."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
import deployment  # noqa: E402

CALLERS = 10
IN_TOUCH_S = deployment.BOUNDS["contact_ms"] / 1000
APPLY_S = deployment.BOUNDS["config_apply_ms"] / 1000


async def case(site, has_trouble):
    for _ in range(2):
        site.add_worker("north")
    old = [deployment.route("north", "north", "/north/"), deployment.route("dropped", "north", "/dropped/")]
    new = [deployment.route("north", "north", "/north/"), deployment.route("added", "north", "/added/")]
    services = [{"name": "north", "enforces_capacity": True}]
    site.configure(old, services)
    await site.start()
    assert await site.until(site.leader, 15), "no leader"
    body = {"spec": "work", "steps": [{"count": 1, "cpu": 100, "mem_mb": 10, "est_duration_ms": 1000}]}
    assert await site.submit("/north/" + deployment.job_id(), body)
    # Many callers at once.
    calls = [site.call(daemon, "POST", "/north/" + deployment.job_id(), body)
             for daemon in site.daemons for _ in range(CALLERS)]
    answers = await asyncio.gather(*calls)
    assert all(status == 200 for status, _ in answers), "a job was not accepted"
    await asyncio.sleep(1)
    if has_trouble:
        count = site.store.server.silence_open_connections()
        site.record.add(f"{count} open connections to the store went silent")
    await asyncio.sleep(IN_TOUCH_S + 1)
    site.configure(new, services)
    acknowledged = site.record.now()
    broken = None
    late = {}
    while site.record.now() < acknowledged + 20:
        sent = site.record.now()
        for daemon in site.daemons:
            added, _ = await site.call(daemon, "GET", "/added/")
            dropped, _ = await site.call(daemon, "GET", "/dropped/")
            if sent > acknowledged + APPLY_S and (added == 404 or dropped == 200):
                late[daemon.name] = sent - acknowledged
                broken = broken or (f"CONFIG: {daemon.name} answered {added} for an added and {dropped} for a dropped "
                                    f"route {sent - acknowledged:.1f} s after the acknowledgement")
        await asyncio.sleep(0.3)
    for name, seconds in late.items():
        site.record.add(f"{name} handled requests by the old version until {seconds:.1f} s after the acknowledgement")
    return broken


deployment.main(FOLDER, case)
