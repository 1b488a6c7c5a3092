"""Orders that a host takes on while it stops, and then drops."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path

from standins import operator
from standins.case import Record, run_case
from standins.fleet import BOUNDS, Fleet, Place
from standins.http1 import Exchange, request, send
from standins.store import Store
from standins.upstream import Run, Upstream, Work

# From the site file of khmt-gate-grown: fitting-submit, whose work takes 1.7 s
# at most.
DEADLINE_S = 2.0
WORK_S = 1.65
BOUNDS_OF_SITE = BOUNDS | {'config_apply_s': 2.5, 'budget_slack': 180}

GRACE_S = BOUNDS['grace_s']
LOSS_SLACK_S = 0.2
# When orders are sent, in seconds after the SIGTERM.
FIRST_AT_S = -2.0
LAST_AT_S = 4.25
GAP_S = 0.05
UPSTREAMS = 24


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether orders were lost around the planned stop."""
    net = f'127.{10 + os.getpid() % 200}.1'
    zones = ('khomas-a', 'khomas-b', 'khomas-c')
    places = [Place(f'{net}.{1 + i}', zone) for i, zone in enumerate(zones)]
    store, runs = Store(), []
    await store.start()
    store.put('op/config', _configuration())
    for index in range(UPSTREAMS):
        upstream = Upstream(
            f'i-{index}', 'registry', zones[index % 3], _work, runs
        )
        await upstream.start(store, 1.5)
    seeds = [f'{place.address}:1' for place in places]
    fleet = Fleet(folder, store.address, places, seeds, dict(BOUNDS_OF_SITE))
    try:
        await fleet.start_all()
        await fleet.until_known(len(places))
        return await _stop_one(record, fleet, runs, trouble)
    finally:
        await fleet.stop_all()


async def _stop_one(
    record: Record, fleet: Fleet, runs: list[Run], trouble: bool
) -> bool:
    host = fleet.hosts[fleet.places[1].address]
    await asyncio.sleep(3.0)
    stop_at = time.monotonic() - FIRST_AT_S + 0.5
    count = round((LAST_AT_S - FIRST_AT_S) / GAP_S) + 1
    tasks = [
        asyncio.create_task(
            _order(
                record, host.front, index, stop_at + FIRST_AT_S + index * GAP_S
            )
        )
        for index in range(count)
    ]
    await asyncio.sleep(stop_at - 0.1 - time.monotonic())
    # A requester keeps this answer for three times its time to live at most.
    told, ttl_s = await fleet.resolve(fleet.places[0].address, '-')
    record.note(f'directory: {told}, ttl_s {ttl_s}')
    if host.front not in told or 3 * ttl_s - 0.1 < LAST_AT_S:
        raise RuntimeError('the requesters would not use the host any more')
    await asyncio.sleep(stop_at - time.monotonic())
    if trouble:
        host.process.send_signal(signal.SIGTERM)
        record.note(f'SIGTERM to {host.front}', stop_at)
    orders = await asyncio.gather(*tasks)
    await asyncio.sleep(WORK_S)
    run_of = {run.attempt: run for run in runs}
    for seen in orders:
        run = run_of.get(seen.attempt)
        ran = 'not run'
        if run is not None:
            ended_s = run.ended_at - stop_at
            ran = f'run by {run.upstream}, which ended at {ended_s:.2f} s'
        record.note(f'{seen.attempt}: {ran}')
    lost = [seen for seen in orders if _is_lost(seen, stop_at, run_of)]
    record.note(f'lost: {[seen.attempt for seen in lost]}')
    if trouble:
        status = await asyncio.wait_for(host.process.wait(), GRACE_S)
        record.note(f'the host ended with status {status}')
    elif sum(seen.status == 200 for seen in orders) < 0.9 * len(orders):
        raise RuntimeError('orders failed without the disruption')
    return bool(lost)


async def _order(record: Record, front: str, index: int, at: float) -> Exchange:
    await asyncio.sleep(at - time.monotonic())
    attempt = f'order-{index}'
    asked = request(
        'POST',
        f'/orders/{index}',
        {
            'Host': operator.NAME,
            'Oleanderridge-Attempt-Id': attempt,
            'Oleanderridge-Deadline-Ms': str(int(DEADLINE_S * 1000)),
            'Authorization': 'Token key-1',
        },
        b'one fitting',
    )
    seen = await send(front, asked, attempt, DEADLINE_S)
    record.note(f'{attempt} sent', seen.sent_at)
    answer = f'status {seen.status}' if seen.complete else seen.error
    record.note(f'{attempt} ended: {answer}', seen.ended_at)
    return seen


def _is_lost(seen: Exchange, stop_at: float, run_of: dict[str, Run]) -> bool:
    """Return whether the rule LOST counts a request around the stop."""
    if seen.complete or seen.attempt not in run_of or not seen.sent_at:
        return False
    if seen.ended_at - seen.began_at >= DEADLINE_S:
        return False
    if not stop_at <= seen.ended_at <= stop_at + GRACE_S + 1:
        return False
    if seen.sent_at <= stop_at + 3:
        # Upstreams may still be at work on these in the last sixth of the
        # grace time, which excuses them.
        return run_of[seen.attempt].ended_at < stop_at + GRACE_S * 5 / 6
    return seen.ended_at > seen.sent_at + LOSS_SLACK_S


def _work(_path: str) -> Work:
    return Work(WORK_S)


def _configuration() -> dict:
    return operator.configuration(
        2,
        ['registry'],
        [
            operator.route('/orders/', 'unsafe', 'registry', DEADLINE_S),
            operator.tenant('tenant-1', ['key-1']),
        ],
    )


if __name__ == '__main__':
    run_case(__file__, play)
