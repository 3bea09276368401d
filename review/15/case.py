"""Processes answer by an old configuration for over `contact_ms` after the store is back from an outage."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'common-3'))
from site_3 import BOUNDS, now, play

REFUSES_S, SILENT_S = 3.95, 4.3
ADDED = '/returns/'
CONTACT_S, APPLY_S = BOUNDS['contact_ms'] / 1000, BOUNDS['config_apply_ms'] / 1000


async def body(site, trouble):
    await site.start()
    if trouble:
        site.record.say('the store resets all connections')
        site.store.mode = 'reset'
        site.store.reset_connections()
        await asyncio.sleep(REFUSES_S)
        site.record.say('the store accepts connections and answers nothing')
        site.store.mode = 'silent'
        await asyncio.sleep(SILENT_S)
        site.store.mode = 'up'
    back = now()
    site.record.say('the store is up')
    await asyncio.sleep(0.3)
    acknowledged = await site.configure(more_prefixes=[ADDED])
    judged_from = max(back + CONTACT_S, acknowledged + APPLY_S)
    await asyncio.sleep(judged_from - now())
    late = []

    async def ask(daemon):
        while now() < judged_from + 1.5:
            sent = now()
            status, value = await daemon.call('GET', ADDED, headers={'Authorization': 'Token key-of-tenant-1'})
            site.record('client', 'GET', ADDED, 'to', daemon.name, 'gets', status, value)
            if status == 404:
                late.append((sent, daemon.name))
            await asyncio.sleep(0.02)

    await asyncio.gather(*(ask(daemon) for daemon in site.daemons))
    for name in sorted({name for _, name in late}):
        times = [at for at, other in late if other == name]
        site.record.say('CONFIG:', name, 'answers 404 for a route that is there,', len(times), 'times, from',
                        f'{times[0] - acknowledged:.2f} to {times[-1] - acknowledged:.2f} s after the version was '
                        f'acknowledged and {times[0] - back:.2f} to {times[-1] - back:.2f} s after the store was back')
    if not late:
        site.record.say('the rule held')
    return not late


play(FOLDER, body)
