"""A trial, not a case: the leader is paused while a tenant presses in surges.

Prints the most requests of the tenant that ran in a window. Run it from the
root: PYTHONPATH=review python3 review/trials/paused_leader.py
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import tempfile
import time
from pathlib import Path

from standins import operator
from standins.fleet import Fleet, Place
from standins.http1 import request, send
from standins.store import Store
from standins.upstream import Run, Upstream, Work

HOSTS = 36
PAUSE_S = 0.6
PAUSES = 6
RATE = BURST = 40
WINDOW_S = 5
MOST = (RATE * WINDOW_S + BURST) * 1.25 + 20
METRICS_PORT = 9464


async def main() -> None:
    """Play the trial once."""
    net = f'127.{10 + os.getpid() % 200}.11'
    zones = ('a', 'b', 'c')
    store, runs = Store(), []
    await store.start()
    entries = [
        operator.route('/p/', 'safe', 'svc', 1.0),
        operator.tenant('t', ['key'], RATE, BURST),
    ]
    store.put('op/config', operator.configuration(2, ['svc'], entries))
    for index in range(15):
        zone = zones[index % 3]
        upstream = Upstream(f'i-{index}', 'svc', zone, _work, runs)
        await upstream.start(store, 1.5)
    places = [Place(f'{net}.{1 + i}', zones[i % 3]) for i in range(HOSTS)]
    seeds = [f'{place.address}:1' for place in places[:3]]
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), store.address, places, seeds)
        try:
            await fleet.start_all()
            await fleet.until_known(HOSTS)
            await asyncio.sleep(5)
            sent_at = await _press(fleet)
        finally:
            await fleet.stop_all()
    print(f'most {_most(runs, sent_at)} of {MOST:.0f}')


def _work(_path: str) -> Work:
    return Work(0.02)


async def _press(fleet: Fleet) -> dict[str, float]:
    sent_at: dict[str, float] = {}
    pausing = asyncio.create_task(_pause_leaders(fleet))
    tasks = []
    while not pausing.done():
        per_s = 200 if time.monotonic() % 3.5 < 2.5 else 20
        tasks.append(asyncio.create_task(_ask(fleet, len(tasks), sent_at)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)
    return sent_at


async def _pause_leaders(fleet: Fleet) -> None:
    for _ in range(PAUSES):
        await asyncio.sleep(2.5 + random.random())
        asked = request('GET', '/state', {'Host': 'x'})
        place = fleet.places[0]
        seen = await send(f'{place.address}:{METRICS_PORT}', asked, '', 0.5)
        if seen.complete:
            leader = fleet.hosts[json.loads(seen.body)['leader']]
            leader.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_S)
            leader.process.send_signal(signal.SIGCONT)


async def _ask(fleet: Fleet, index: int, sent_at: dict[str, float]) -> None:
    host = random.choice(list(fleet.hosts.values()))
    attempt = f'a{index}'
    headers = {
        'Host': operator.NAME,
        'Oleanderridge-Attempt-Id': attempt,
        'Oleanderridge-Deadline-Ms': '1000',
        'Authorization': 'Token key',
    }
    asked = request('GET', f'/p/{index}', headers)
    seen = await send(host.front, asked, attempt, 1.0)
    if seen.sent_at:
        sent_at[attempt] = seen.sent_at


def _most(runs: list[Run], sent_at: dict[str, float]) -> int:
    first: dict[str, float] = {}
    for run in runs:
        first.setdefault(run.attempt, run.began_at)
    return max(
        sum(
            start <= at <= start + WINDOW_S
            and first.get(attempt, start + WINDOW_S + 1) <= start + WINDOW_S
            for attempt, at in sent_at.items()
        )
        for start in sent_at.values()
    )


if __name__ == '__main__':
    asyncio.run(main())
