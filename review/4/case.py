"""Downloads that are on their way to requesters when a host is stopped."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path

from standins import operator
from standins.case import Record, run_case
from standins.fleet import BOUNDS, Fleet, Host, Place
from standins.http1 import Exchange, request, send
from standins.link import Link
from standins.store import Store
from standins.upstream import Run, Upstream, Work

# From the site file of clanweave-hq-grown.
LINK_MBPS = 10
CHART_BYTES = 540_000
DEADLINE_S = 5.0
WORK_S = 0.6
BOUNDS_OF_SITE = BOUNDS | {'config_apply_s': 2.5, 'budget_slack': 178}

GRACE_S = BOUNDS['grace_s']
LOSS_SLACK_S = 0.2
# When the charts are asked for, in seconds after the SIGTERM.
ASKED_AT_S = (-1.0, 0.2, 1.4, 2.6, 3.5, 4.1, 4.1)


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether downloads were cut by the planned stop."""
    net = f'127.{10 + os.getpid() % 200}.3'
    zones = ('khomas-a', 'khomas-b', 'khomas-c')
    places = [Place(f'{net}.{1 + i}', zone) for i, zone in enumerate(zones)]
    store, runs = Store(), []
    await store.start()
    store.put('op/config', _configuration())
    for index in range(6):
        upstream = Upstream(
            f'i-{index}', 'charts', zones[index % 3], _work, runs
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
    link = Link(host.front, LINK_MBPS)
    await link.start()
    await asyncio.sleep(3.0)
    stop_at = time.monotonic() + 1.5
    tasks = [
        asyncio.create_task(_download(record, link, index, stop_at + after_s))
        for index, after_s in enumerate(ASKED_AT_S)
    ]
    await asyncio.sleep(stop_at - 0.2 - time.monotonic())
    # A requester keeps this answer for three times its time to live at most.
    told, ttl_s = await fleet.resolve(fleet.places[0].address, '-')
    record.note(f'directory: {told}, ttl_s {ttl_s}')
    kept_s = 3 * ttl_s - 0.2
    if host.front not in told or kept_s < max(ASKED_AT_S):
        raise RuntimeError('the requesters would not use the host any more')
    await asyncio.sleep(stop_at - time.monotonic())
    if trouble:
        host.process.send_signal(signal.SIGTERM)
        record.note(f'SIGTERM to {host.front}', stop_at)
        ending = asyncio.create_task(_note_end(record, host))
    downloads = await asyncio.gather(*tasks)
    cut = [
        seen
        for seen in downloads
        if _is_lost(seen, stop_at, {run.attempt: run for run in runs})
    ]
    for seen in cut:
        record.note(f'{seen.attempt} is lost: {seen.error}')
    if trouble:
        await asyncio.wait_for(ending, GRACE_S)
    elif not all(seen.complete for seen in downloads):
        raise RuntimeError('a download failed without the disruption')
    return bool(cut)


async def _note_end(record: Record, host: Host) -> None:
    status = await host.process.wait()
    record.note(f'the host ended with status {status}')


async def _download(
    record: Record, link: Link, index: int, at: float
) -> Exchange:
    await asyncio.sleep(at - time.monotonic())
    attempt = f'chart-{index}'
    asked = request(
        'GET',
        f'/charts/{index}',
        {
            'Host': operator.NAME,
            'Oleanderridge-Attempt-Id': attempt,
            'Oleanderridge-Deadline-Ms': str(int(DEADLINE_S * 1000)),
            'Authorization': 'Token key-1',
        },
    )
    record.note(f'{attempt} asked for')
    seen = await send(link.address, asked, attempt, DEADLINE_S)
    record.note(
        f'{attempt} ended: status {seen.status}, {len(seen.body)} bytes, '
        f'{"whole" if seen.complete else seen.error}',
        seen.ended_at,
    )
    return seen


def _is_lost(seen: Exchange, stop_at: float, run_of: dict[str, Run]) -> bool:
    """Return whether the rule LOST counts a request around the stop."""
    run = run_of.get(seen.attempt)
    if seen.complete or run is None or not run.ended_at:
        # Nothing was lost, or the upstream did not end its work.
        return False
    if seen.ended_at - seen.sent_at >= DEADLINE_S:
        return False
    if not stop_at <= seen.ended_at <= stop_at + GRACE_S + 1:
        return False
    # The excuse is about upstreams that are still at work late.
    last_sixth = stop_at + GRACE_S * 5 / 6
    is_excused = run.ended_at >= last_sixth and seen.sent_at <= stop_at + 3
    return not is_excused and seen.ended_at > seen.sent_at + LOSS_SLACK_S


def _work(_path: str) -> Work:
    return Work(WORK_S, CHART_BYTES)


def _configuration() -> dict:
    return operator.configuration(
        2,
        ['charts'],
        [
            operator.route('/charts/', 'download', 'charts', DEADLINE_S),
            operator.tenant('tenant-1', ['key-1']),
        ],
    )


if __name__ == '__main__':
    run_case(__file__, play)
