"""All machines lose power at once, and the seeds stay dark.

The platform names other seeds in the settings within its lag, but a running
host does not take them in.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from pathlib import Path

from standins import operator
from standins.case import Record, run_case
from standins.fleet import BOUNDS, Fleet, Place
from standins.http1 import request, send
from standins.store import Store
from standins.upstream import Run, Upstream, Work

HOSTS = 48
SEEDS = 3
SEED_LAG_S = 3.0
DARK_S = 1.0
RATE_PER_S = 40
BURST = 40
# What the tenant sends, several times its rate.
SENT_PER_S = 200
PRESS_S = 12.0
DEADLINE_S = 1.0
WORK_S = 0.02
WINDOW_S = BOUNDS['quota_window_s']
MOST = (RATE_PER_S * WINDOW_S + BURST) * (1 + BOUNDS['quota_overage']) + BOUNDS[
    'quota_slack'
]


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether a tenant got more than its allowance."""
    net = f'127.{10 + os.getpid() % 200}.4'
    zones = ('khomas-a', 'khomas-b', 'khomas-c')
    places = [
        Place(f'{net}.{1 + index}', zones[index % 3]) for index in range(HOSTS)
    ]
    store, runs = Store(), []
    await store.start()
    store.put('op/config', _configuration())
    for index in range(33):
        upstream = Upstream(
            f'i-{index}', 'registry', zones[index % 3], _work, runs
        )
        await upstream.start(store, 1.5)
    seeds = [f'{place.address}:1' for place in places[:SEEDS]]
    fleet = Fleet(folder, store.address, places, seeds)
    try:
        await fleet.start_all()
        await fleet.until_known(HOSTS)
        record.note(f'{HOSTS} hosts know each other')
        await asyncio.sleep(3.0)
        if trouble:
            await _lose_power(record, fleet)
        return await _press(record, fleet, runs, trouble)
    finally:
        await fleet.stop_all()


async def _lose_power(record: Record, fleet: Fleet) -> None:
    dark = fleet.places[:SEEDS]
    fleet.places = fleet.places[SEEDS:]
    for host in fleet.hosts.values():
        host.process.send_signal(signal.SIGKILL)
    for host in fleet.hosts.values():
        await host.process.wait()
    record.note('all hosts have lost power')
    for place in dark:
        del fleet.hosts[place.address]
    await asyncio.sleep(DARK_S)
    started_at = time.monotonic()
    await fleet.start_all()
    record.note('all hosts but the seeds are ready again')
    # Within the lag, the settings of each host name seeds that are up.
    await asyncio.sleep(started_at + SEED_LAG_S - time.monotonic())
    fleet.seeds = [f'{place.address}:1' for place in fleet.places[:SEEDS]]
    for place in fleet.places:
        fleet.write_settings(place)
        fleet.hosts[place.address].process.send_signal(signal.SIGHUP)
    record.note(f'settings name the seeds {fleet.seeds}, SIGHUP sent')
    await asyncio.sleep(6.0)


async def _press(
    record: Record, fleet: Fleet, runs: list[Run], trouble: bool
) -> bool:
    sent_at: dict[str, float] = {}
    begin_at = time.monotonic() + 0.5
    told = [
        await fleet.resolve(place.address, place.zone) for place in fleet.places
    ]
    counts = sorted({len(addresses) for addresses, _ in told})
    record.note(f'hosts that the directories name: {counts}')
    tasks = [
        asyncio.create_task(
            _ask(record, fleet, index, begin_at + index / SENT_PER_S, sent_at)
        )
        for index in range(int(PRESS_S * SENT_PER_S))
    ]
    statuses = await asyncio.gather(*tasks)
    by_status = {one: statuses.count(one) for one in sorted(set(statuses))}
    record.note(f'answers by status: {by_status}')
    most = _most_in_a_window(runs, sent_at)
    record.note(f'most in {WINDOW_S} s: {most} of {MOST:.0f} allowed')
    if not trouble and most < RATE_PER_S * WINDOW_S / 2:
        raise RuntimeError('the tenant was not served')
    return most > MOST


async def _ask(
    record: Record,
    fleet: Fleet,
    index: int,
    at: float,
    sent_at: dict[str, float],
) -> int:
    await asyncio.sleep(at - time.monotonic())
    place = random.choice(fleet.places)
    told, _ = await fleet.resolve(place.address, place.zone)
    front = random.choice(told)
    attempt = f'ask-{index}'
    asked = request(
        'GET',
        f'/sizes/{index}',
        {
            'Host': operator.NAME,
            'Oleanderridge-Attempt-Id': attempt,
            'Oleanderridge-Deadline-Ms': str(int(DEADLINE_S * 1000)),
            'Authorization': 'Token key-1',
        },
    )
    seen = await send(front, asked, attempt, DEADLINE_S)
    sent_at[attempt] = seen.sent_at or seen.began_at
    record.note(f'{attempt} to {front}: {seen.status}', seen.ended_at)
    return seen.status


def _most_in_a_window(runs: list[Run], sent_at: dict[str, float]) -> int:
    """Return the most requests both sent and run in a window."""
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


def _work(_path: str) -> Work:
    return Work(WORK_S)


def _configuration() -> dict:
    return operator.configuration(
        2,
        ['registry'],
        [
            operator.route('/sizes/', 'safe', 'registry', DEADLINE_S),
            operator.tenant('tenant-1', ['key-1'], RATE_PER_S, BURST),
        ],
    )


if __name__ == '__main__':
    run_case(__file__, play)
