"""Tests of the load generator and of its judgement."""

import asyncio

import pytest
from aiohttp import web

from bench import load
from bench.plans import WorkspacePlan
from bench.sockets import reset

_WORKSPACE = WorkspacePlan('workspace-a', 'secret', 100, 10)


def _ended(kind, *attempt_kinds):
    operation = load.Operation(kind, _WORKSPACE)
    operation.attempts = [
        load.Attempt(one, 'host-a', 'reason', 0, 1, 2) for one in attempt_kinds
    ]
    return operation


@pytest.mark.parametrize(
    ('kinds', 'started', 'completed', 'doubled', 'lost'),
    [
        (['answered'], 1, 1, 0, 0),
        (['broken', 'answered'], 2, 2, 1, 0),
        (['answered'], 0, 0, 0, 1),
        (['refused', 'unreachable'], 1, 1, 0, 1),
        (['broken', 'refused'], 1, 1, 0, 0),
    ],
)
def test_orders_are_judged_by_executions(
    kinds, started, completed, doubled, lost
):
    """Guards against a verdict that trusts what callers were told."""
    operation = _ended(load.ORDER, *kinds)
    counts = {'started': started, 'completed': completed}
    verdict = load.judge_orders([operation], {operation.id: counts})
    assert (len(verdict.doubled), len(verdict.lost)) == (doubled, lost)


def test_breaks_count_at_the_stopped_host_only():
    """Guards against counting breaks of a killed host as planned ones."""
    operation = _ended(load.LOOKUP, 'broken', 'refused', 'answered')
    assert len(load.broken_at([operation], 'host-a', 1.5)) == 1
    assert not load.broken_at([operation], 'host-a', 2.5)
    assert not load.broken_at([operation], 'host-b', 1.5)


def test_a_broken_order_is_retried_elsewhere_with_its_key():
    """Guards against a retry that could run the order a second time."""
    seen = []

    def entry(name, urls):
        async def resolve(_request):
            addresses = [
                {'host': host, 'url': url, 'key_prefix': f'{host}.1.1'}
                for host, url in urls.items()
            ]
            return web.json_response({'addresses': addresses, 'ttl_s': 60})

        async def order(request):
            seen.append((name, request.headers['Idempotency-Key']))
            if len(seen) == 1:
                reset(request.transport)
            return web.Response(text=request.headers['Operation-Id'])

        app = web.Application()
        app.add_routes(
            [web.get(load.RESOLVE_PATH, resolve), web.post('/{tail:.*}', order)]
        )
        return app

    async def scenario():
        urls = {}
        runners = []
        for name in ('host-a', 'host-b'):
            runner = web.AppRunner(entry(name, urls))
            await runner.setup()
            site = web.TCPSite(runner, '127.0.0.1', 0)
            await site.start()
            port = site._server.sockets[0].getsockname()[1]
            urls[name] = f'http://127.0.0.1:{port}'
            runners.append(runner)
        entries = list(urls.values())
        async with load.Load([_WORKSPACE], entries, load.LoadPlan()) as run:
            caller = run.caller(_WORKSPACE)
            operation = await caller.perform(load.ORDER)
        for runner in runners:
            await runner.cleanup()
        assert operation.outcome == 'answered'

    asyncio.run(asyncio.wait_for(scenario(), 10))
    (first_host, first_key), (second_host, second_key) = seen
    assert first_key == second_key
    assert first_host != second_host
