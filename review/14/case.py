"""Settings change just after a process has started: the process ends."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.kit3.fleet import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Fleet,
    Host,
    Target,
    config,
    play,
    route,
    tenant,
)

HOSTS = 6
# Not more than a share of 0.6, as in the site file.
CHANGED = 3
# The settings change this long after a process has started, three times.
AFTER_S = 0.02
CHANGES = 3
RESTART_S = 0.3
# The rule: two machines at least, three times each.
MACHINES_MIN = 2


def start(fleet: Fleet, host: Host, *, changes: bool) -> None:
    """Start the process of a machine, and change its settings at once."""
    host.start()
    if not changes:
        return
    # Not a sleep of the loop, whose other work could take longer.
    time.sleep(AFTER_S)
    # A seed that had moved is named anew.
    fleet.seeds = [*fleet.seeds[1:], fleet.seeds[0]]
    host.write_settings()
    if TROUBLE:
        host.signal(signal.SIGHUP)
        fleet.write(f'{host.name}: settings changed, SIGHUP')


async def run_machine(fleet: Fleet, host: Host, *, changes: bool) -> int:
    """Run the process of a machine; return how often it ended by itself."""
    ends = 0
    start(fleet, host, changes=changes)
    while changes:
        await asyncio.sleep(0.5)
        if host.is_running():
            break
        ends += 1
        fleet.write(
            f'{host.name}: its process ended by itself, status'
            f' {host.process.poll()}'
        )
        await asyncio.sleep(RESTART_S)
        changes = ends < CHANGES
        start(fleet, host, changes=changes)
        fleet.write(f'{host.name}: its process is started again')
    return ends


async def run(fleet: Fleet) -> int:
    """Play and judge."""
    await fleet.store.start('127.113.3.1')
    fleet.store.put(
        'op/config',
        config(
            7,
            [route('orders', '/o/', 'unsafe', 'registry')],
            [tenant('w', 'key-w')],
        ),
    )
    await fleet.add_target(Target('i-1', 'registry', 'khomas-a'))
    began = time.monotonic()
    ends = await asyncio.gather(
        *(
            run_machine(fleet, host, changes=number < CHANGED)
            for number, host in enumerate(fleet.hosts)
        )
    )
    if not await fleet.until_ready(fleet.hosts):
        return NOT_RUN
    machines = sum(count >= CHANGES for count in ends)
    verdict = BROKEN if machines >= MACHINES_MIN else HELD
    text = (
        f'processes that ended by themselves, by machine: {ends};'
        f' {machines} of {HOSTS} machines {CHANGES} times; all ready after'
        f' {time.monotonic() - began:.1f} s'
    )
    fleet.write(f'{text}; verdict {verdict}')
    print(text)
    return verdict


async def main() -> int:
    """Play once and end all processes."""
    fleet = Fleet(Path(__file__).parent, HOSTS, 113)
    try:
        return await run(fleet)
    finally:
        await fleet.close()


play(main)
