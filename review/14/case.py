"""A job of a tenant that has under half of its maximum at work never starts after the maximum was lowered."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'common-3'))
from site_3 import BOUNDS, now, play

LASTING, ORDER = '00000000000000a1', '00000000000000a2'
LASTING_CPU, ORDER_CPU = 3500, 6000
MAXIMUM, LOWERED = 20000, 8000


async def body(site, trouble):
    await site.start(maximum_cpu=MAXIMUM)
    lasting = {'spec': 'runs until it is stopped',
               'steps': [{'count': 1, 'cpu': LASTING_CPU, 'mem_mb': 256, 'long_running': True}]}
    assert await site.submit(LASTING, lasting) == 200
    while not site.running(LASTING):
        await asyncio.sleep(0.1)
    maximum = LOWERED if trouble else MAXIMUM
    await site.configure(maximum_cpu=maximum)
    await asyncio.sleep(BOUNDS['config_apply_ms'] / 1000 + 1)
    order = {'spec': 'ms=1000', 'steps': [{'count': 1, 'cpu': ORDER_CPU, 'mem_mb': 256, 'est_duration_ms': 1000}]}
    assert await site.submit(ORDER, order) == 200
    site.record.say('the traffic ends; finish_s', BOUNDS['finish_s'], 'begins')
    await asyncio.sleep(BOUNDS['finish_s'])
    # What the rule asks: for 3 s, nothing of the job runs though its turn has come, and there is room in every respect.
    stuck_since = None
    until = now() + 10
    while now() < until:
        state = await site.state(ORDER, site.daemons[1])
        free = sum((minion.capacity['cpu'] - minion.used()) // ORDER_CPU for minion in site.minions)
        used = sum(minion.used() for minion in site.minions)
        capacity = sum(minion.capacity['cpu'] for minion in site.minions)
        site.record('job', ORDER, state, 'running', len(site.running(ORDER)), 'tenant has', used, 'of', maximum,
                    'service uses', used, 'of', capacity, 'room for', free, 'such tasks')
        is_stuck = state in ('pending', 'running') and not site.running(ORDER) and free >= 2 and used * 2 < maximum \
            and used * 2 < capacity
        stuck_since = (stuck_since or now()) if is_stuck else None
        if stuck_since and now() - stuck_since >= 3:
            site.record.say('LOST: accepted job', ORDER, 'has had nothing running for 3 s; tenant has', used, 'of',
                            maximum, 'and the service', used, 'of', capacity)
            return False
        await asyncio.sleep(0.2)
    site.record.say('the rule held; the job is', state)
    return state == 'completed'


play(FOLDER, body)
