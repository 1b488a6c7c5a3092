"""Measures what one host costs: latency, processor time, memory, messages.

``latency`` compares requests through hosts with direct calls in the same
run; ``memory`` starts one host for each number of workspaces; ``control``
counts peer bytes of idle fleets of different sizes; ``growth`` takes one host
to the two-year size of the bundle.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import re
import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from aiohttp import ClientSession, TCPConnector

from bench.demo import running_fleet
from bench.fleet import Fleet, digest_of
from bench.plans import (
    LOOKUP_SERVICE,
    LOOPBACK,
    FleetPlan,
    WorkspacePlan,
    target_plans,
    workspace_plans,
)
from bench.processes import wait_until

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_MB = 1024 * 1024
_MS = 1000
_WORKSPACES = 88_000
_TARGETS = 22_000
_SERVICES = 770
_ROUTES = 11_000
_GROWTH_S = 120
_IDLE_S = 10
_METRIC = re.compile(
    r'oleanderridge_peer_bytes_total\{[^}]*direction="(\w+)"[^}]*\} (\S+)',
)


class Sample(NamedTuple):
    """Processor seconds and resident bytes of a process."""

    processor_s: float
    resident: int


def process_sample(pid: int) -> Sample:
    """Return what a process has used so far.

    Parameters
    ----------
    pid : int
        Process id.

    Returns
    -------
    Sample
        User and system time, and resident memory.
    """
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(')')[2].split()
    pages = Path(f'/proc/{pid}/statm').read_text(encoding='ascii').split()[1]
    processor_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    return Sample(processor_s, int(pages) * _PAGE_BYTES)


def fleet_plan(hosts: int, workspaces: int, rate: float) -> FleetPlan:
    """Return a fleet without the fault proxy and with default times.

    Parameters
    ----------
    hosts : int
        Number of hosts, spread over three zones.
    workspaces : int
        Number of workspaces; the last eight are those of the load.
    rate : float
        Rate of each large workspace in requests per second.

    Returns
    -------
    FleetPlan
        Eight fast targets.
    """
    idle = tuple(
        WorkspacePlan(f'idle-{index}', f'idle-key-{index}', 10, 20)
        for index in range(max(0, workspaces - 8))
    )
    return FleetPlan(
        zone_by_host={
            f'host-{index:02d}': f'zone-{index % 3}' for index in range(hosts)
        },
        targets=target_plans(8, 1, '--service-s=0.005'),
        workspaces=(*idle, *workspace_plans(large_rate=rate)),
        proxied=False,
    )


async def timed_get(
    session: ClientSession,
    url: str,
    headers: dict[str, str],
) -> float:
    """Return the time of one GET in milliseconds.

    Raises
    ------
    RuntimeError
        The answer is not a success.
    """
    started = time.perf_counter()
    async with session.get(url, headers=headers) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(f'{url}: status {response.status}')
    return (time.perf_counter() - started) * _MS


def quantiles(samples: list[float]) -> tuple[float, float]:
    """Return the median and the 99th percentile."""
    cuts = statistics.quantiles(samples, n=100)
    return cuts[49], cuts[98]


async def _open_loop(
    count: int,
    per_s: float,
    send: Callable[[int], object],
) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    tasks = []
    for index in range(count):
        await asyncio.sleep(max(0, started + index / per_s - loop.time()))
        tasks.append(asyncio.create_task(send(index)))
    await asyncio.gather(*tasks)


async def measure_latency(seconds: float, per_host: float) -> None:
    """Print direct and proxied latency and the processor time a request.

    Parameters
    ----------
    seconds : float
        Length of the measured load.
    per_host : float
        Requests per second at each of three hosts.
    """
    hosts = 3
    plan = fleet_plan(hosts, 8, rate=per_host * 4)
    async with running_fleet(plan) as fleet, ClientSession() as through:
        # Hosts open a connection for each attempt, and so do direct calls.
        direct = ClientSession(connector=TCPConnector(force_close=True))
        async with direct:
            await _compare(fleet, (through, direct), seconds, per_host * hosts)
        await _saturate(fleet, through, seconds)


async def _compare(
    fleet: Fleet,
    sessions: tuple[ClientSession, ClientSession],
    seconds: float,
    per_s: float,
) -> None:
    through, direct = sessions
    workspaces = fleet.plan.workspaces[:2]
    names = list(fleet.plan.zone_by_host)
    targets = [
        f'http://{LOOPBACK}:{fleet.around.target_ports[target.name]}'
        for target in fleet.plan.targets
        if target.service == LOOKUP_SERVICE
    ]
    proxied_ms: list[float] = []
    direct_ms: list[float] = []

    async def send(index: int) -> None:
        if index % 2:
            url = targets[index // 2 % len(targets)]
            direct_ms.append(await timed_get(direct, f'{url}/sett/x', {}))
            return
        key = workspaces[index // 2 % 2].key
        url = fleet.caller_url(names[index // 2 % len(names)])
        headers = {'X-Api-Key': key}
        elapsed = await timed_get(through, f'{url}/sett/x', headers)
        proxied_ms.append(elapsed)

    before = _processor_s(fleet)
    bytes_before = await _all_peer_bytes(fleet)
    await _open_loop(int(seconds * per_s * 2), per_s * 2, send)
    used = _processor_s(fleet) - before
    peer_bytes = await _all_peer_bytes(fleet) - bytes_before
    middle, tail = quantiles(proxied_ms)
    direct_middle, direct_tail = quantiles(direct_ms)
    print(
        f'latency per_host_per_s={per_s / len(names):g}'
        f' requests={len(proxied_ms)}'
        f' direct_p50_ms={direct_middle:.2f} direct_p99_ms={direct_tail:.2f}'
        f' proxied_p50_ms={middle:.2f} proxied_p99_ms={tail:.2f}'
        f' added_p50_ms={middle - direct_middle:.2f}'
        f' added_p99_ms={tail - direct_tail:.2f}'
        f' processor_ms_per_request={used / len(proxied_ms) * _MS:.2f}'
        f' peer_bytes_per_request={peer_bytes / len(proxied_ms):.0f}',
    )


async def _saturate(
    fleet: Fleet,
    session: ClientSession,
    seconds: float,
) -> None:
    name = next(iter(fleet.plan.zone_by_host))
    url = f'{fleet.caller_url(name)}/sett/x'
    headers = [{'X-Api-Key': plan.key} for plan in fleet.plan.workspaces[:2]]
    until = time.monotonic() + seconds
    answered = 0
    refused = 0

    async def caller(index: int) -> None:
        nonlocal answered, refused
        while time.monotonic() < until:
            try:
                await timed_get(session, url, headers[index % 2])
            except RuntimeError:
                refused += 1
                await asyncio.sleep(0.01)
            else:
                answered += 1

    pid = _pid(fleet, name)
    before = process_sample(pid).processor_s
    await asyncio.gather(*(caller(index) for index in range(12)))
    used = process_sample(pid).processor_s - before
    print(
        f'saturated answered={answered} refused={refused}'
        f' per_s={answered / seconds:.0f}'
        f' processor_share={used / seconds:.2f}'
        f' requests_per_core_s={(answered + refused) / used:.0f}',
    )


def _processor_s(fleet: Fleet) -> float:
    return sum(
        process_sample(_pid(fleet, name)).processor_s
        for name in fleet.plan.zone_by_host
    )


async def _all_peer_bytes(fleet: Fleet) -> float:
    sent = [
        (await _peer_bytes(fleet, name))['out']
        for name in fleet.plan.zone_by_host
    ]
    return sum(sent)


def _pid(fleet: Fleet, name: str) -> int:
    running = fleet.around.processes.by_name[name]
    return running.process.pid


async def measure_memory(counts: list[int]) -> None:
    """Print resident memory of one host by number of workspaces."""
    for count in counts:
        plan = fleet_plan(1, count, rate=100)
        started = time.monotonic()
        async with running_fleet(plan) as fleet:
            ready_s = time.monotonic() - started
            pid = _pid(fleet, 'host-00')
            resident = process_sample(pid).resident / _MB
            print(
                f'memory workspaces={count} resident_mb={resident:.1f}'
                f' ready_s={ready_s:.1f}',
            )


async def measure_control(sizes: list[int], seconds: float) -> None:
    """Print peer bytes and processor time of idle hosts by fleet size."""
    for size in sizes:
        plan = fleet_plan(size, 8, rate=100)
        async with running_fleet(plan) as fleet:
            names = list(fleet.plan.zone_by_host)
            before = [await _peer_bytes(fleet, name) for name in names]
            processor_before = _processor_s(fleet)
            await asyncio.sleep(seconds)
            processor = _processor_s(fleet) - processor_before
            after = [await _peer_bytes(fleet, name) for name in names]
        sent = statistics.mean(
            (late['out'] - early['out']) / seconds
            for early, late in zip(before, after, strict=True)
        )
        received = statistics.mean(
            (late['in'] - early['in']) / seconds
            for early, late in zip(before, after, strict=True)
        )
        print(
            f'control hosts={size} sent_bytes_per_s={sent:.0f}'
            f' received_bytes_per_s={received:.0f}'
            f' sent_per_peer={sent / max(1, size - 1):.1f}'
            f' processor_share={processor / seconds / size:.4f}',
        )


def _add_workspaces(document: dict[str, Any]) -> None:
    document['workspaces'].extend(
        {
            'name': f'added-{index}',
            'rate': 10,
            'burst': 20,
            'key_hashes': [digest_of(f'added-key-{index}')],
        }
        for index in range(_WORKSPACES)
    )


def _add_services(document: dict[str, Any]) -> None:
    for service in range(_SERVICES):
        targets = [
            {
                'name': f'added-{service}-{index}',
                'url': f'http://127.{service // 200 + 1}.{service % 200}.'
                f'{index + 1}:8080',
                'zone': f'zone-{index % 3}',
            }
            for index in range(_TARGETS // _SERVICES)
        ]
        document['services'].append(
            {
                'name': f'added-{service}',
                'targets': targets,
            }
        )


def _add_routes(document: dict[str, Any]) -> None:
    document['routes'].extend(
        {
            'prefix': f'/added-{index}',
            'service': f'added-{index % _SERVICES}',
        }
        for index in range(_ROUTES)
    )


def _change_rate(document: dict[str, Any]) -> None:
    document['workspaces'][0]['rate'] += 1


async def measure_growth() -> None:
    """Print memory and time to take over bundles of the two-year size."""
    steps = (_add_workspaces, _add_services, _add_routes, _change_rate)
    async with running_fleet(fleet_plan(1, 8, rate=100)) as fleet:
        pid = _pid(fleet, 'host-00')
        for step in steps:
            before = process_sample(pid)
            await fleet.change_bundle(step)
            started = time.monotonic()
            await _wait_version(fleet, fleet.document['version'])
            in_force_s = time.monotonic() - started
            after = process_sample(pid)
            used = after.processor_s - before.processor_s
            print(
                f'growth step={step.__name__.lstrip("_")}'
                f' resident_mb={after.resident / _MB:.1f}'
                f' added_mb={(after.resident - before.resident) / _MB:.1f}'
                f' in_force_s={in_force_s:.2f} processor_s={used:.2f}',
                flush=True,
            )
        before_s = process_sample(pid).processor_s
        await asyncio.sleep(_IDLE_S)
        used = process_sample(pid).processor_s - before_s
        print(f'growth step=idle processor_share={used / _IDLE_S:.4f}')


async def _wait_version(fleet: Fleet, version: int) -> None:
    async def accepted() -> bool:
        return (await fleet.status('host-00'))['bundle_version'] == version

    await wait_until(accepted, _GROWTH_S, f'version {version}')


async def _peer_bytes(fleet: Fleet, host: str) -> dict[str, float]:
    text = await fleet.metrics(host)
    return {
        direction: float(count) for direction, count in _METRIC.findall(text)
    }


def _parse(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        'what', choices=('latency', 'memory', 'control', 'growth')
    )
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--per-host', type=float, default=70)
    parser.add_argument('--counts', type=int, nargs='+')
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None) -> int:
    """Run one measurement.

    Returns
    -------
    int
        Always 0; a failed request raises.
    """
    options = _parse(arguments)
    if options.what == 'latency':
        work = measure_latency(options.seconds, options.per_host)
    elif options.what == 'memory':
        work = measure_memory(options.counts or [100, 1000, 10000])
    elif options.what == 'growth':
        work = measure_growth()
    else:
        work = measure_control(options.counts or [3, 12, 36], options.seconds)
    asyncio.run(work)
    return 0


if __name__ == '__main__':
    sys.exit(main())
