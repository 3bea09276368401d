"""A job whose cancelling was acknowledged is stored and started by a process that was frozen meanwhile."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'common-3'))
from site_3 import BOUNDS, now, play

JOB = '00000000000000b1'
FREEZE_S = 0.45
LEAVES_AFTER_S = 0.3
CANCEL_S = BOUNDS['cancel_ms'] / 1000


async def body(site, trouble):
    await site.start()
    leader = site.leader()
    frozen, other = [daemon for daemon in site.daemons if daemon is not leader][:2]
    order = {'spec': 'ms=4000', 'steps': [{'count': 2, 'cpu': 1000, 'mem_mb': 256, 'est_duration_ms': 4000},
                                          {'count': 2, 'cpu': 1000, 'mem_mb': 256, 'est_duration_ms': 4000,
                                           'after': [0]}]}
    began = now()
    if trouble:
        frozen.signal(signal.SIGSTOP)
    status, _ = await site.client(frozen, 'POST', JOB, order, timeout=LEAVES_AFTER_S)
    site.record.say('the client leaves' if status is None else f'the client gets {status}')
    cancelled = None
    while cancelled not in (200, 410):
        cancelled, _ = await site.client(other, 'DELETE', JOB)
    acknowledged = now()
    site.record.say('the cancelling is acknowledged with', cancelled)
    if trouble:
        await asyncio.sleep(max(0, FREEZE_S - (now() - began)))
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(12)
    late = [(at, minion, task) for at, minion, task, _ in site.starts
            if task.startswith(JOB) and at - acknowledged > CANCEL_S]
    for at, minion, task in late:
        site.record.say('UNASKED:', task, 'is started on', minion, f'{at - acknowledged:.2f} s after the cancelling of '
                        'its job was acknowledged; the leader', leader.name, 'was never disturbed')
    site.record.say('the job is', await site.state(JOB, other))
    return not late and site.leader() is leader


play(FOLDER, body)
