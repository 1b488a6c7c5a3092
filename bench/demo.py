"""Runs a small fleet under faults and load, and judges the outcome.

Three hosts in three zones serve eight workspaces through a limping target.
One host is stopped gracefully under load, one is killed, and a fresh host
joins. The program ends by itself within two minutes; its exit status is not
zero when an order ran twice, an answer was untrue, or the planned stop broke
a request.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

from aiohttp import ClientError, ClientSession, ClientTimeout

from bench.fleet import Fleet
from bench.load import (
    Load,
    LoadPlan,
    Verdict,
    broken_at,
    judge_orders,
    summarise,
)
from bench.plans import FleetPlan, target_plans, workspace_plans
from bench.processes import Processes
from bench.surroundings import Surroundings

DEADLINE_S = 115
LOAD_S = 40
_STOP_S = 25
_CONTROL_S = 10
_LOG_LINES = 20
_LIMPING = 'target-0'
_NOISY = 'workspace-a'
# A workspace usually offers half its rate, so this is four times the rate.
_NOISY_FACTOR = 8
_KEPT = 'host-a'
_STOPPED = 'host-b'
_KILLED = 'host-c'
_FRESH = 'host-d'

# Leases of 2 s and answers that hold for 2 s: a stop and a kill with their
# consequences fit into one run.
_SETTINGS = {
    'caller': {'resolve_ttl_s': 2},
    'membership': {
        'heartbeat_interval_s': 0.4,
        'lease_s': 2,
        'hold_s': 3,
        'suspect_s': 1.5,
    },
}


def demo_plan() -> FleetPlan:
    """Return the fleet of the demo: three hosts, eight targets."""
    return FleetPlan(
        zone_by_host={_KEPT: 'zone-0', _STOPPED: 'zone-1', _KILLED: 'zone-2'},
        spares=(_FRESH,),
        targets=target_plans(5, 3, '--service-s=0.01'),
        workspaces=workspace_plans(large_rate=120),
        settings=_SETTINGS,
    )


@asynccontextmanager
async def running_fleet(plan: FleetPlan) -> AsyncIterator[Fleet]:
    """Run a fleet and always stop all that it started.

    Parameters
    ----------
    plan : FleetPlan
        What to run.

    Yields
    ------
    Fleet
        Its hosts serve.
    """
    timeout = ClientTimeout(total=_CONTROL_S)
    with tempfile.TemporaryDirectory(prefix='oleanderridge-') as folder:
        path = Path(folder)
        async with (
            Processes(path) as processes,
            ClientSession(timeout=timeout) as session,
        ):
            fleet = Fleet(plan, Surroundings(processes, session), path)
            await fleet.start()
            yield fleet


class Stop(NamedTuple):
    """How the planned stop went."""

    signalled_at: float
    exit_status: int


async def operate(fleet: Fleet, load: Load) -> Stop:
    """Stop, kill and replace hosts while the load runs.

    Parameters
    ----------
    fleet : Fleet
        A serving fleet.
    load : Load
        The load, which runs at the same time.

    Returns
    -------
    Stop
        Of the host that was stopped gracefully.
    """
    await fleet.around.target_faults(_LIMPING, slow=8, flap_s=6)
    _show(f'{_LIMPING} limps: 8 times slower in every second 6 s')
    await asyncio.sleep(LOAD_S * 0.15)
    load.factors[_NOISY] = _NOISY_FACTOR
    _show(f'{_NOISY} sends {_NOISY_FACTOR} times its usual load')
    signalled_at = time.monotonic()
    _show(f'{_STOPPED} gets SIGTERM')
    status = await _stop(fleet)
    taken = time.monotonic() - signalled_at
    _show(f'{_STOPPED} ended with status {status} after {taken:.1f} s')
    fleet.listed.pop(_STOPPED)
    await fleet.publish_hosts()
    await asyncio.sleep(LOAD_S * 0.15)
    load.factors[_NOISY] = 1
    await fleet.kill_host(_KILLED)
    _show(f'{_KILLED} is killed')
    await fleet.replace_host(_KILLED, _FRESH)
    await fleet.wait_serving(_FRESH, _STOP_S)
    _show(f'{_FRESH} serves in its place')
    return Stop(signalled_at, status)


async def _stop(fleet: Fleet) -> int:
    """Stop a host gracefully; one that does not end is shown and killed."""
    try:
        return await fleet.stop_host(_STOPPED, _STOP_S)
    except TimeoutError:
        _show(f'{_STOPPED} has not ended after {_STOP_S} s')
    log = fleet.around.processes.by_name[_STOPPED].text()
    for line in log.splitlines()[-_LOG_LINES:]:
        _show(line)
    try:
        _show(f'live: {await fleet.live_requests(_STOPPED)}')
    except (ClientError, TimeoutError) as error:
        _show(f'its administration interface fails: {error!r}')
    await fleet.kill_host(_STOPPED)
    return -1


async def leaked_keys(fleet: Fleet) -> int:
    """Return how many executions carried a caller's key to a target."""
    leaks = 0
    for target in fleet.plan.targets:
        for workspace in fleet.plan.workspaces:
            found = await fleet.around.target_records(
                target.name, workspace.key
            )
            leaks += len(found)
    return leaks


def _closing_line(load: Load, verdict: Verdict, cut: int) -> str:
    summary = summarise(load.operations)
    # What the noisy workspace is refused and waits for is its own doing.
    others = [one for one in load.operations if one.workspace.name != _NOISY]
    within = summarise(others)
    served = within.served_by_workspace
    worst = min(served, key=served.__getitem__, default='none')
    fields = {
        'requests': summary.requests,
        'answered': summary.answered,
        'refused': summary.refused,
        'unknown': summary.unknown,
        'doubled': len(verdict.doubled),
        'lost': len(verdict.lost),
        'cut': cut,
        'worst_workspace': f'{worst}:{served.get(worst, 0):.3f}',
        'p99_ms': f'{within.p99_ms:.0f}',
    }
    return ' '.join(f'{name}={value}' for name, value in fields.items())


def _show(text: str) -> None:
    print(f'{time.monotonic() - _STARTED:6.1f} s  {text}', flush=True)


_STARTED = time.monotonic()


async def _progress(load: Load) -> None:
    while True:
        await asyncio.sleep(5)
        summary = summarise(load.operations)
        _show(
            f'requests={summary.requests} answered={summary.answered} '
            f'refused={summary.refused} unknown={summary.unknown}'
        )


async def _run_load(fleet: Fleet, load: Load) -> Stop:
    """Run load and operations together; a failure of one ends both."""
    progress = asyncio.create_task(_progress(load))
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(load.run(LOAD_S))
            operating = group.create_task(operate(fleet, load))
    finally:
        progress.cancel()
    return operating.result()


def _show_details(load: Load, breaks: list, leaks: int, stop: Stop) -> None:
    summary = summarise(load.operations)
    _show(f'refused by reason: {summary.refused_by_reason}')
    _show(f'attempts by kind: {summary.ends_by_kind}')
    _show(f'attempts refused: {summary.attempts_by_reason}')
    for name, share in sorted(summary.served_by_workspace.items()):
        p99_ms = summary.p99_by_workspace.get(name, 0)
        _show(f'{name}: served {share:.3f}, p99 {p99_ms:.0f} ms')
    for attempt in breaks[:5]:
        after_s = attempt.ended_at - stop.signalled_at
        _show(f'cut {after_s:.2f} s after SIGTERM: {attempt.reason}')
    _show(
        f'exit_status={stop.exit_status} keys_at_targets={leaks} '
        f'short={summary.short} wrong={summary.wrong} omitted={load.omitted}'
    )


async def run_demo(ledger: Path | None) -> int:
    """Run the demo.

    Parameters
    ----------
    ledger : Path or None
        File for one line per operation.

    Returns
    -------
    int
        Exit status.
    """
    plan = demo_plan()
    _show('starting platform, targets, fault proxy and three hosts')
    async with running_fleet(plan) as fleet:
        _show('three hosts serve')
        entries = [fleet.caller_url(name) for name in fleet.names]
        load = Load(plan.workspaces, entries, LoadPlan())
        async with load:
            stop = await _run_load(fleet, load)
        executions = await fleet.around.executions()
        leaks = await leaked_keys(fleet)
    if ledger is not None:
        _write_ledger(ledger, load)
    verdict = judge_orders(load.operations, executions)
    breaks = broken_at(load.operations, _STOPPED, stop.signalled_at)
    _show_details(load, breaks, leaks, stop)
    print(_closing_line(load, verdict, len(breaks)))
    summary = summarise(load.operations)
    faults = (
        verdict.doubled,
        verdict.lost,
        breaks,
        leaks,
        summary.short,
        summary.wrong,
        stop.exit_status,
    )
    return int(any(faults) or not summary.answered)


def _write_ledger(path: Path, load: Load) -> None:
    """Write one JSON line for each operation, for analysis."""
    with path.open('w', encoding='utf-8') as ledger:
        for one in load.operations:
            attempts = [at._asdict() for at in one.attempts]
            for attempt in attempts:
                attempt.pop('body')
            line = {
                'id': one.id,
                'kind': one.kind,
                'workspace': one.workspace.name,
                'outcome': one.outcome,
                'started_s': one.started_at - _STARTED,
                'taken_s': one.ended_at - one.started_at,
                'attempts': attempts,
            }
            ledger.write(f'{json.dumps(line)}\n')


def main() -> int:
    """Run the demo within its deadline.

    Returns
    -------
    int
        Exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--ledger', type=Path, help='write one JSON line per operation'
    )
    work = run_demo(parser.parse_args().ledger)
    return asyncio.run(asyncio.wait_for(work, DEADLINE_S))


if __name__ == '__main__':
    sys.exit(main())
