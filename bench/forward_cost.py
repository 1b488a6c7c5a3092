"""Measures the time that the forwarder adds to a request.

Each round sends one request directly with aiohttp and one through the
forwarder to the same target, in turn, so that both meet the same load of the
machine. The target runs in a process of its own.

Run with ``python -m bench.forward_cost [--rounds N] [--profile]``.
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import pstats
import time
from collections.abc import Awaitable, Callable
from multiprocessing import get_context
from multiprocessing.connection import Connection
from statistics import median, quantiles
from typing import Any, Final, NamedTuple

from aiohttp import ClientSession, DummyCookieJar, TCPConnector

from bench.faulty_target import FaultyTarget
from bench.forward_host import Host, request

_WARM_UP: Final = 200
_MICROSECONDS: Final = 1e6
_PERCENT: Final = 100
_PROFILED: Final = 25

Call = Callable[[], Awaitable[Any]]


class Case(NamedTuple):
    """One comparison: a method, and whether connections are reused."""

    name: str
    method: str
    body: bytes
    reuse: bool


CASES: Final = (
    Case('get, fresh connection', 'GET', b'', reuse=False),
    Case('get, reused connection', 'GET', b'', reuse=True),
    Case('order of 1 KiB with key', 'POST', b'x' * 1024, reuse=False),
)


def serve_target(pipe: Connection) -> None:
    """Serve a target without faults until the process is terminated.

    Parameters
    ----------
    pipe : Connection
        Receives the target's URL.
    """

    async def serve() -> None:
        async with FaultyTarget() as target:
            pipe.send(target.url)
            await asyncio.Event().wait()

    asyncio.run(serve())


def _direct(session: ClientSession, url: str, case: Case) -> Call:
    async def call() -> None:
        async with session.request(
            case.method, f'{url}/work', data=case.body or None
        ) as response:
            await response.read()

    return call


def _forwarded(host: Host, case: Case) -> Call:
    async def call() -> None:
        sent = request(case.method, body=case.body)
        if case.method == 'POST':
            key = ('Idempotency-Key', sent.request_id)
            sent = sent._replace(headers=(*sent.headers, key))
        reply = await host.handle(sent)
        if reply.status != 200:
            raise RuntimeError(reply.body)

    return call


async def _time(call: Call) -> float:
    started = time.perf_counter()
    await call()
    return (time.perf_counter() - started) * _MICROSECONDS


def _figures(taken: list[float]) -> tuple[float, float]:
    return median(taken), quantiles(taken, n=_PERCENT)[-1]


async def measure(url: str, case: Case, rounds: int) -> tuple[float, ...]:
    """Return what one case costs directly and through the forwarder.

    Parameters
    ----------
    url : str
        The target.
    case : Case
        What is compared.
    rounds : int
        Requests on each way.

    Returns
    -------
    tuple of float
        Median and 99th percentile directly, then through the forwarder, in
        microseconds.
    """
    host = Host([url], echo_header='Echo' if case.reuse else '')
    await host.client.open()
    connector = TCPConnector(limit=0, force_close=not case.reuse)
    async with ClientSession(
        connector=connector, cookie_jar=DummyCookieJar()
    ) as session:
        calls = (_direct(session, url, case), _forwarded(host, case))
        times: tuple[list[float], list[float]] = ([], [])
        for number in range(rounds + _WARM_UP):
            for call, taken in zip(calls, times, strict=True):
                elapsed = await _time(call)
                if number >= _WARM_UP:
                    taken.append(elapsed)
    await host.client.close()
    direct, forwarded = map(_figures, times)
    return (*direct, *forwarded)


async def profile(url: str, rounds: int) -> None:
    """Print where the forwarder spends its time.

    Parameters
    ----------
    url : str
        The target.
    rounds : int
        Requests.
    """
    host = Host([url], echo_header='Echo')
    await host.client.open()
    call = _forwarded(host, CASES[1])
    profiler = cProfile.Profile()
    profiler.enable()
    for _ in range(rounds):
        await call()
    profiler.disable()
    pstats.Stats(profiler).sort_stats('tottime').print_stats(_PROFILED)
    await host.client.close()


def main() -> None:
    """Measure every case and print one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=3000)
    parser.add_argument('--profile', action='store_true')
    options = parser.parse_args()
    context = get_context('spawn')
    ours, theirs = context.Pipe()
    target = context.Process(target=serve_target, args=(theirs,), daemon=True)
    target.start()
    url = ours.recv()
    if options.profile:
        asyncio.run(profile(url, options.rounds))
        return
    for case in CASES:
        figures = asyncio.run(measure(url, case, options.rounds))
        direct, direct_p99, forwarded, forwarded_p99 = map(round, figures)
        print(
            f'{case.name}: direct {direct} us (p99 {direct_p99}), '
            f'forwarded {forwarded} us (p99 {forwarded_p99}), '
            f'added {forwarded - direct} us (p99 {forwarded_p99 - direct_p99})'
        )


if __name__ == '__main__':
    main()
