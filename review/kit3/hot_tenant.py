"""A tenant that sends eight times its usual while leaders are in trouble."""

from __future__ import annotations

import asyncio
import random
import re
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.kit3.fleet import (
    BROKEN,
    HELD,
    NOT_RUN,
    Fleet,
    Host,
    Target,
    caller_headers,
    config,
    new_attempt,
    request,
    route,
    tenant,
)

HOSTS = 12
# As in the examples of `fleetbench wire`.
RATE_PER_S = 70
BURST = 70
# `quota_x` of the site file: the rate is this many times the usual traffic.
USUAL_PER_S = RATE_PER_S / 1.6
HOT_X = 8
CALM_S = 8
HOT_S = 9
LIMIT_MS = 2500
WINDOW_S = 5
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * 1.25 + 20


def start_of(host: Host) -> int:
    """Return when a host's process started; the first one leads."""
    found = re.search(r'event=host-started .*incarnation=(\d+)', host.log())
    return int(found[1]) if found else sys.maxsize


class HotTenant:
    """One play."""

    def __init__(self, folder: Path, net: int) -> None:
        self.fleet = Fleet(folder, HOSTS, net)
        self.net = net
        self.alive = list(self.fleet.hosts)
        self.sent_at: dict[str, float] = {}
        self.ends: Counter = Counter()
        self.tasks: set[asyncio.Task] = set()

    async def one(self) -> None:
        """Send one order to any host that lives."""
        host = random.choice(self.alive)
        attempt = new_attempt()
        self.sent_at[attempt] = time.monotonic()
        self.fleet.write(f'order {attempt} is sent to {host.name}')
        headers = caller_headers(attempt, 'key-w', LIMIT_MS)
        found = await request(
            host.front, 'POST', '/o/' + attempt, headers, b'y' * 300, 2.5
        )
        end = 'no answer' if found is None else str(found.status)
        self.ends[end] += 1
        self.fleet.write(f'order {attempt}: {end}')

    async def load(self, per_s: float, until: float) -> None:
        """Send orders at random times."""
        due = time.monotonic()
        while time.monotonic() < until:
            while due <= time.monotonic():
                task = asyncio.create_task(self.one())
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
                due += random.expovariate(per_s)
            await asyncio.sleep(0.003)

    async def ranked(self) -> list[Host]:
        """Return the hosts, the one that leads first, then its successors."""
        leader = await self.fleet.leader()
        others = [host for host in self.fleet.hosts if host is not leader]
        others.sort(key=start_of)
        return others if leader is None else [leader, *others]

    def most(self) -> tuple[int, float]:
        """Return the most orders that were sent and ran in a window."""
        runs = sorted(
            (run.at, self.sent_at[run.attempt])
            for target in self.fleet.targets
            for run in target.runs
            if run.attempt in self.sent_at
        )
        best = (0, 0.0)
        for start in sorted(self.sent_at.values()):
            count = sum(
                start <= sent and at <= start + WINDOW_S for at, sent in runs
            )
            best = max(best, (count, start))
        return best

    async def run(
        self, disturb: Callable[[HotTenant, float], Awaitable[None]] | None
    ) -> int:
        """Play and judge; ``disturb`` gets the start of the hot traffic.

        It is None for a play without the disruption.
        """
        fleet = self.fleet
        await fleet.store.start(f'127.{self.net}.3.1')
        fleet.store.put(
            'op/config',
            config(
                7,
                [route('orders', '/o/', 'unsafe', 'registry')],
                [tenant('w', 'key-w', RATE_PER_S, BURST)],
            ),
        )
        for number in range(16):
            await fleet.add_target(
                Target(f'i-{number}', 'registry', 'khomas-a')
            )
        # The host whose process started first leads.
        for host in fleet.hosts:
            host.start()
            await asyncio.sleep(0.08)
        if not await fleet.until_ready(fleet.hosts):
            return NOT_RUN
        await self.load(USUAL_PER_S, time.monotonic() + CALM_S)
        began = time.monotonic()
        fleet.write(f'the tenant sends {HOT_X} times its usual')
        disturbing = None
        if disturb is not None:
            disturbing = asyncio.create_task(disturb(self, began))
        await self.load(USUAL_PER_S * HOT_X, began + HOT_S)
        await asyncio.sleep(3)
        if disturbing is not None:
            await disturbing
        for target in fleet.targets:
            for run in target.runs:
                fleet.write(f'order {run.attempt} ran at {run.at - began:.3f}')
        count, start = self.most()
        verdict = BROKEN if count > ALLOWED else HELD
        if not self.ends['200']:
            verdict = NOT_RUN
        text = (
            f'{count} orders ran in {WINDOW_S} s from {start - began:.2f} s of'
            f' the hot traffic, {ALLOWED:.0f} allowed; ends {dict(self.ends)}'
        )
        fleet.write(f'{text}; verdict {verdict}')
        print(text)
        return verdict


async def play_hot_tenant(
    folder: Path,
    net: int,
    disturb: Callable[[HotTenant, float], Awaitable[None]] | None,
) -> int:
    """Play once and end all processes."""
    case = HotTenant(folder, net)
    try:
        return await case.run(disturb)
    finally:
        await case.fleet.close()
