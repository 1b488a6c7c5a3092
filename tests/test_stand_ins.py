"""Tests of the stand-ins of the platform and of the targets."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from bench import platform, target
from bench.processes import wait_until


@asynccontextmanager
async def _served(*apps):
    runners, urls = [], []
    async with ClientSession(timeout=ClientTimeout(total=5)) as session:
        for app in apps:
            runner = web.AppRunner(app, handler_cancellation=True)
            await runner.setup()
            site = web.TCPSite(runner, '127.0.0.1', 0)
            await site.start()
            port = site._server.sockets[0].getsockname()[1]
            runners.append(runner)
            urls.append(f'http://127.0.0.1:{port}')
        try:
            yield session, *urls
        finally:
            for runner in runners:
                await runner.cleanup()


def _run(scenario, *apps):
    async def wrapped():
        async with _served(*apps) as served:
            await scenario(*served)

    asyncio.run(wrapped())


async def _text(session, method, url, **options):
    async with session.request(method, url, **options) as response:
        return response.status, await response.text()


async def _json(session, url):
    async with session.get(url) as response:
        return await response.json()


def test_watch_returns_on_change():
    """Guards against a watch that sleeps through a change of its value."""

    async def scenario(session, url):
        watch = asyncio.create_task(
            _text(session, 'GET', f'{url}/v1/watch/hosts?after=0&wait_s=4')
        )

        async def waiting():
            counts = await _json(session, f'{url}/control/counts')
            return counts['waiting'] == 1

        await wait_until(waiting, 2, 'the watch waits')
        await _text(session, 'PUT', f'{url}/control/values/hosts', data='one')
        assert await watch == (200, 'one')
        after = f'{url}/v1/watch/hosts?after=1&wait_s=0.05'
        assert (await _text(session, 'GET', after))[0] == 204
        counts = await _json(session, f'{url}/control/counts')
        assert counts['by_kind'] == {'values': 0, 'watch': 2}

    _run(scenario, platform.build_app())


def test_modes_of_the_platform():
    """Guards against a mode that readers do not notice."""

    async def scenario(session, url):
        value = f'{url}/v1/values/hosts'
        await _text(session, 'PUT', f'{url}/control/values/hosts', data='old')
        await _text(session, 'POST', f'{url}/control/mode/stale')
        await _text(session, 'PUT', f'{url}/control/values/hosts', data='new')
        assert await _text(session, 'GET', value) == (200, 'old')
        await _text(session, 'POST', f'{url}/control/mode/down')
        with pytest.raises(ClientError):
            await _text(session, 'GET', value)
        await _text(session, 'POST', f'{url}/control/mode/paused')
        waiting = asyncio.create_task(_text(session, 'GET', value))
        done, _ = await asyncio.wait([waiting], timeout=0.1)
        assert not done
        await _text(session, 'POST', f'{url}/control/mode/up')
        assert await waiting == (200, 'new')

    _run(scenario, platform.build_app())


def _target(**options):
    return target.build_apps(target.Options('target-a', **options))


def test_target_sheds_beyond_its_queue():
    """Guards against a stand-in that hides overload by queueing forever."""

    async def scenario(session, url, _control):
        answers = await asyncio.gather(
            *(_text(session, 'GET', f'{url}/sett') for _ in range(5))
        )
        assert sorted(status for status, _ in answers) == [200] * 4 + [503]

    _run(scenario, *_target(queue=2, service_s=0.1))


def test_target_counts_an_order_reset_after_its_work():
    """Guards against miscounting orders whose answer never arrives."""

    async def scenario(session, url, control):
        order = {'Operation-Id': 'order-1', 'X-Api-Key': 'secret'}
        for kind in ('before', 'after'):
            await _text(
                session, 'PUT', f'{control}/faults', json={'reset': kind}
            )
            with pytest.raises(ClientError):
                await _text(session, 'POST', f'{url}/order', headers=order)
        counts = await _json(session, f'{control}/counts')
        expected = {'order-1': {'started': 1, 'completed': 1}}
        assert counts['by_operation'] == expected
        found = await _json(session, f'{control}/records?contains=secret')
        assert len(found) == 1

    _run(scenario, *_target())


@pytest.mark.parametrize('kind', ['length', 'chunked'])
def test_target_halves_answers(kind):
    """Guards against a half answer that arrives as a complete one."""

    async def scenario(session, url, control):
        await _text(session, 'PUT', f'{control}/faults', json={'half': kind})
        with pytest.raises(ClientError):
            await _text(session, 'GET', f'{url}/chart?size=40000')

    _run(scenario, *_target())


def test_target_stops_work_of_a_caller_that_left():
    """Guards against slots held for reads that nobody waits for."""

    async def scenario(session, url, control):
        await _text(session, 'PUT', f'{control}/faults', json={'hold': True})
        with pytest.raises(TimeoutError):
            await _text(
                session, 'GET', f'{url}/sett', timeout=ClientTimeout(total=0.2)
            )

        async def idle():
            return not (await _json(session, f'{control}/counts'))['running']

        await wait_until(idle, 2, 'the slot is free')

    _run(scenario, *_target())
