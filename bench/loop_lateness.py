"""Measures how late the event loop runs beside a peer that sends without end.

A peer in a process of its own sends one form of bytes as fast as it can, as a
target answers or as a caller asks. Meanwhile timers that fall due every few
milliseconds show how late the loop is, and exchanges with a sound target how
long a request takes. One JSON line is printed for each form.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import math
import sys
import time
from collections.abc import Iterator
from contextlib import asynccontextmanager
from typing import Any, Final

from oleanderridge.http1.client import AnswerLimits, ExchangeError, Outbound
from oleanderridge.http1.connection_pool import ConnectionPool
from oleanderridge.http1.messages import Inbound, Reply
from oleanderridge.http1.server import Edge, EdgeLimits

_LOOPBACK: Final = '127.0.0.1'
_TIMER_S: Final = 0.005
_REQUEST_S: Final = 2.5
_MILLISECONDS: Final = 1000
_OK: Final = b'HTTP/1.1 200 OK\r\n'
_HEAD: Final = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_POST: Final = (
    b'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
)
_EMPTY: Final = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
_SOUND: Final = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
_GET: Final = Outbound(b'GET', b'/', [(b'host', b'h')], b'')
_SMALL: Final = b'1\r\nx\r\n'


def _chunk(size: int) -> bytes:
    return b'%x\r\n%s\r\n' % (size, b'x' * size)


# What a target or a caller sends first, and then again and again.
_ANSWERS: Final = {
    'none': (b'', b''),
    'one-byte chunks': (_HEAD, _SMALL * 4096),
    'chunks of 48 bytes': (_HEAD, _chunk(48) * 400),
    'chunk extensions': (_HEAD, b'1;a=b\r\nx\r\n' * 4096),
    'trailers': (_HEAD, b'0\r\n%s' % (b'a: b\r\n' * 4096)),
    'header lines': (_OK, b'a: b\r\n' * 4096),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 1000),
    'answers of others': (b'', _EMPTY * 1000),
    'large chunks': (_HEAD, _chunk(16384)),
}
_REQUESTS: Final = {
    'upload in one-byte chunks': (_POST, _SMALL * 4096),
    'pipelined requests': (b'', b'GET / HTTP/1.1\r\nhost: h\r\n\r\n' * 500),
}


def _percentile(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _summary(seconds: list[float]) -> dict[str, float]:
    ordered = sorted(seconds) or [math.nan]
    return {
        'median_ms': round(_percentile(ordered, 0.5) * _MILLISECONDS, 2),
        'p99_ms': round(_percentile(ordered, 0.99) * _MILLISECONDS, 2),
        'most_ms': round(ordered[-1] * _MILLISECONDS, 2),
    }


async def _serve(first: bytes, again: bytes) -> None:
    """Answer each connection with bytes without end; print the port."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(first)
            while True:
                writer.write(again)
                await writer.drain()

    await _serve_on_a_port(answer)


async def _serve_soundly() -> None:
    """Answer each request with a small body; print the port."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(_SOUND)

    await _serve_on_a_port(answer)


async def _serve_on_a_port(answer: Any) -> None:
    server = await asyncio.start_server(answer, _LOOPBACK, 0)
    sys.stdout.write(f'{server.sockets[0].getsockname()[1]}\n')
    sys.stdout.flush()
    await server.serve_forever()


async def _send(port: int, first: bytes, again: bytes) -> None:
    """Send bytes without end to a server, again when it closes."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(_LOOPBACK, port)
            writer.write(first)
            while not reader.at_eof():
                writer.write(again)
                await writer.drain()
                # Answers would fill the buffers of both sides.
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(65536), 0.0001)
        await asyncio.sleep(0.01)


@asynccontextmanager
async def _peer(*arguments: str) -> Any:
    """Run this module as another process; yield what it prints first."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'bench.loop_lateness',
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        line = b''
        if process.stdout is not None and arguments[0] != '--send':
            line = await process.stdout.readline()
        yield line.decode().strip()
    finally:
        process.kill()
        await process.wait()


async def _measure_timers(late: list[float]) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + _TIMER_S
        await asyncio.sleep(_TIMER_S)
        late.append(max(0, loop.time() - due_at))


async def _exchange(pool: ConnectionPool, address: str) -> bool:
    """Send one request; return whether it was answered in time."""
    try:
        async with asyncio.timeout(_REQUEST_S):
            connection = await pool.take(address)
            try:
                await connection.exchange(_GET, lambda _headers: True)
            finally:
                pool.give(address, connection)
    except (ExchangeError, TimeoutError):
        return False
    return True


async def _attack(pool: ConnectionPool, address: str) -> None:
    while True:
        await _exchange(pool, address)
        await asyncio.sleep(0.01)


async def _ask(pool: ConnectionPool, address: str, took: list[float]) -> None:
    while True:
        began = time.perf_counter()
        if await _exchange(pool, address):
            took.append(time.perf_counter() - began)


async def _handle(_request: Inbound) -> Reply:
    return Reply(200, [], b'ok')


@asynccontextmanager
async def _attackers(form: str, count: int) -> Any:
    """Let peers send one form of bytes to this process."""
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        if form in _REQUESTS:
            edge = Edge(_handle, EdgeLimits())
            # A port that is free now.
            probe = await asyncio.start_server(_handle, _LOOPBACK, 0)
            port = probe.sockets[0].getsockname()[1]
            probe.close()
            await edge.listen(f'{_LOOPBACK}:{port}')
            for _ in range(count):
                await enter(_peer('--send', form, '--port', str(port)))
            yield
            return
        pool = ConnectionPool(1, 100, AnswerLimits())
        attacks = []
        for _ in range(0 if form == 'none' else count):
            port = await enter(_peer('--serve', form))
            attack = _attack(pool, f'{_LOOPBACK}:{port}')
            attacks.append(asyncio.create_task(attack))
        yield
        for task in attacks:
            task.cancel()


async def _measure(
    form: str, seconds: float, count: int, callers: int
) -> dict[str, Any]:
    late: list[float] = []
    took: list[float] = []
    pool = ConnectionPool(1, 100, AnswerLimits())
    async with _peer('--sound', '') as port, _attackers(form, count):
        tasks = [
            asyncio.create_task(_ask(pool, f'{_LOOPBACK}:{port}', took))
            for _ in range(callers)
        ]
        tasks.append(asyncio.create_task(_measure_timers(late)))
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
    return {
        'form': form,
        'peers': 0 if form == 'none' else count,
        'late': _summary(late),
        'request': _summary(took),
        'requests_per_s': round(len(took) / seconds, 1),
    }


def _forms(chosen: str) -> Iterator[str]:
    known = itertools.chain(_ANSWERS, _REQUESTS)
    return (form for form in known if chosen in {'', form})


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--form', default='', help='one form alone')
    parser.add_argument('--seconds', type=float, default=4)
    parser.add_argument('--peers', type=int, default=1)
    parser.add_argument('--callers', type=int, default=4)
    parser.add_argument('--serve', default=None, help=argparse.SUPPRESS)
    parser.add_argument('--sound', default=None, help=argparse.SUPPRESS)
    parser.add_argument('--send', default=None, help=argparse.SUPPRESS)
    parser.add_argument('--port', type=int, default=0, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.serve is not None:
        asyncio.run(_serve(*_ANSWERS[options.serve]))
    elif options.sound is not None:
        asyncio.run(_serve_soundly())
    elif options.send is not None:
        asyncio.run(_send(options.port, *_REQUESTS[options.send]))
    else:
        for form in _forms(options.form):
            outcome = _measure(
                form, options.seconds, options.peers, options.callers
            )
            sys.stdout.write(f'{json.dumps(asyncio.run(outcome))}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
