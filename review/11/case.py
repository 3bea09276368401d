"""A copy of a start order that was held up runs a task again that has ended as done, on a worker that started again."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'common-3'))
from site_3 import now, play

TASKS = 24
ROUNDS = 8
DOWN_S = 4.5
# When the held-up order arrives, counted from the new start of the worker, and when that writes its first entry.
ARRIVES_S = float(os.environ.get('ARRIVES_S', '0.1'))
FIRST_BEAT_S = float(os.environ.get('FIRST_BEAT_S', '0.5'))


async def play_round(site, trouble, job):
    """Plays one job of which one start order is held up; returns the starts after the task had ended as done."""
    held = []

    def hold_up_first(minion, order):
        if held or not order['task'].startswith(job):
            return False
        held.append((minion, order, now()))
        site.record.say('the start order of', order['task'], 'run', order['run'], 'to', minion.name, 'gets no answer')
        return True

    if trouble:
        site.holds_up = hold_up_first
    order = {'spec': 'ms=1000', 'steps': [{'count': TASKS, 'cpu': 2000, 'mem_mb': 256, 'est_duration_ms': 1000}]}
    assert await site.submit(job, order) == 200
    while await site.state(job) != 'completed':
        await asyncio.sleep(0.1)
    site.record.say('job', job, 'is shown as completed')
    done = {task: at for at, _, task, _, how in site.ends if how == 'done' and task.startswith(job)}
    assert len(done) == TASKS
    await asyncio.sleep(0.5)
    if not trouble:
        await asyncio.sleep(7)
    else:
        worker, copy, ordered = held[0]
        assert worker.acknowledged >= worker.ends
        site.record.say('all ends of', worker.name, 'have been taken note of; it crashes')
        worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.restart(FIRST_BEAT_S)
        await asyncio.sleep(ARRIVES_S)
        worker.carry_out_late(copy)
        site.record.say('the order arrives', f'{now() - ordered:.2f} s after it was sent')
        await asyncio.sleep(3)
    again = [row for row in site.starts if row[2] in done and row[0] > done[row[2]]]
    for at, minion, task, run in again:
        site.record.say('TWICE:', task, 'run', run, 'starts on', minion, f'{at - done[task]:.2f} s after it has ended '
                        'as done, which was taken note of, and the job was shown as completed')
    return again


async def body(site, trouble):
    await site.start()
    rounds = [await play_round(site, trouble, f'00000000000000c{number}') for number in range(ROUNDS)]
    return not any(rounds)


play(FOLDER, body, minions=8)
