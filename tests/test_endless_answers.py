"""Targets that send bytes without end, in a head or in a body."""

import asyncio
import contextlib
import itertools
import tracemalloc

import pytest
from result import Ok

from bench.forward_host import request
from bench.processes import wait_until
from oleanderridge.forward.client import Attempt, TargetClient
from oleanderridge.forward.stream import IncompleteBodyError
from oleanderridge.http1.client import AnswerLimits, ExchangeError, Outbound
from oleanderridge.http1.connection_pool import ConnectionPool
from oleanderridge.platform.headers import answers_attempt
from tests.stub_target import StubTarget, answer

_GET = Outbound(
    b'GET',
    b'/a/1',
    [(b'host', b'h'), (b'oleanderridge-attempt-id', b'a1')],
    b'',
)
_LIMITS = AnswerLimits(
    header_bytes=65536,
    body_bytes=1 << 20,
    unfinished_bytes=3 << 20,
    interim_answers=8,
)
_OK = b'HTTP/1.1 200 OK\r\noleanderridge-attempt-id: a1\r\n'
_CHUNKED = _OK + b'transfer-encoding: chunked\r\n\r\n'
_FILLER = b'x' * 16384
# What comes first, and what follows until the connection is closed.
_ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', _FILLER),
    'header name': (_OK, _FILLER),
    'header value': (_OK + b'a: ', _FILLER),
    'headers': (_OK, b'a: b\r\n' * 2000),
    'chunk extension': (_CHUNKED + b'5;a=', _FILLER),
    'chunk size': (_CHUNKED, b'0' * 16384),
    'trailers': (_CHUNKED + b'0\r\n', b'a: b\r\n' * 2000),
    'blank lines': (b'', b'\r\n' * 8192),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 500),
    'chunked body': (_CHUNKED, b'4000\r\n' + _FILLER + b'\r\n'),
    'body until the close': (_OK + b'\r\n', _FILLER),
    'body of a stated length': (
        _OK + b'content-length: 99999999999\r\n\r\n',
        _FILLER,
    ),
    'answers to others': (b'', answer(b'z' * 9000, attempt='other')),
}
# The part of an endless answer that may be sent before the close is noticed:
# the largest body, what sockets buffer, and as much again.
_SENT_BYTES_MAX = 16 << 20


def _serve_endlessly(first, again, ended):
    async def serve(target, reader, writer, _number):
        await target.read_request(reader)
        writer.write(first)
        try:
            for count in itertools.count(len(first), len(again)):
                ended['bytes'] = count
                writer.write(again)
                await writer.drain()
        finally:
            ended['closed'] = True

    return serve


async def _exchange(pool, address):
    connection = await pool.take(address)
    try:
        await asyncio.wait_for(
            connection.exchange(
                _GET, lambda headers: answers_attempt('a1', headers)
            ),
            5,
        )
    finally:
        pool.give(address, connection)


@pytest.mark.parametrize('place', _ENDLESS)
def test_an_endless_answer_ends_the_connection(place):
    """Guards against a host that reads until its memory is full."""
    first, again = _ENDLESS[place]
    ended = {}

    async def run():
        pool = ConnectionPool(0.5, 10, _LIMITS)
        async with StubTarget(_serve_endlessly(first, again, ended)) as target:
            with pytest.raises(ExchangeError) as raised:
                await _exchange(pool, target.address)
            for _ in range(200):
                if 'closed' in ended:
                    break
                await asyncio.sleep(0.01)
            left = pool.unfinished_bytes()
            # The next request gets a connection of its own.
            with pytest.raises(ExchangeError):
                await _exchange(pool, target.address)
            connections = target.connections
        pool.close()
        return raised.value.kind, left, connections

    kind, left, connections = asyncio.run(run())
    assert kind in {'garbled', 'short', 'reset'}
    assert ended['closed']
    assert ended['bytes'] < _SENT_BYTES_MAX
    assert left == 0
    assert connections == 2


def test_many_endless_bodies_share_one_bound():
    """Guards against memory that grows with the number of bad targets."""
    limits = _LIMITS._replace(body_bytes=1 << 30)
    most = 0

    async def run():
        nonlocal most
        pool = ConnectionPool(0.5, 20, limits)
        serve = _serve_endlessly(_OK + b'\r\n', _FILLER, {})
        async with StubTarget(serve) as target:
            running = [
                asyncio.ensure_future(_exchange(pool, target.address))
                for _ in range(12)
            ]
            while not all(each.done() for each in running):
                most = max(most, pool.unfinished_bytes())
                await asyncio.sleep(0.001)
            errors = [each.exception() for each in running]
            assert all(isinstance(each, ExchangeError) for each in errors)
        pool.close()
        return pool.unfinished_bytes()

    assert asyncio.run(asyncio.wait_for(run(), 20)) == 0
    # One read beyond the bound for each connection at most.
    assert most <= limits.unfinished_bytes + 12 * 262_144


def test_a_byte_a_second_ends_with_the_request():
    """Guards against a connection that a slow target keeps for good."""

    async def drip(target, reader, writer, _number):
        await target.read_request(reader)
        for byte in _OK * 100:
            writer.write(bytes((byte,)))
            await writer.drain()
            await asyncio.sleep(0.02)

    async def run():
        pool = ConnectionPool(0.5, 10, _LIMITS)
        async with StubTarget(drip) as target:
            connection = await pool.take(target.address)
            exchange = connection.exchange(_GET, lambda _headers: True)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(exchange, 0.2)
            pool.give(target.address, connection)
            assert connection.closed
            assert await pool.take(target.address) is not connection
        pool.close()

    asyncio.run(run())


_SERVE_BUFFER_BYTES = 1 << 20
_SERVE_TIMEOUT_S = 1.5


@pytest.mark.parametrize('place', _ENDLESS)
def test_serve_keeps_no_endless_answer(place):
    """Guards against a host of ``serve`` that reads until its memory is full.

    The caller reads nothing, so that whatever arrives would be kept.
    """
    first, again = _ENDLESS[place]
    ended = {}

    async def run():
        client = TargetClient(None)
        await client.open()
        async with StubTarget(_serve_endlessly(first, again, ended)) as target:
            attempt = Attempt(
                f'http://{target.address}/a/1',
                request(),
                _SERVE_TIMEOUT_S,
                0.5,
                '',
                _SERVE_BUFFER_BYTES,
            )
            tracemalloc.start()
            began, _ = tracemalloc.get_traced_memory()
            answered = None
            with contextlib.suppress(TimeoutError):
                answered = await client.send(attempt, lambda: None)
            if isinstance(answered, Ok) and answered.ok_value.stream:
                with pytest.raises(IncompleteBodyError):
                    await _read_at_the_deadline(answered.ok_value.stream)
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            await wait_until(_closed(ended), 3, 'the target is told')
        await client.close()
        return peak - began

    peak_bytes = asyncio.run(run())
    assert peak_bytes < _SENT_BYTES_MAX


async def _read_at_the_deadline(stream):
    await asyncio.sleep(_SERVE_TIMEOUT_S)
    async for _ in stream:
        pass


def _closed(ended):
    async def closed():
        return 'closed' in ended

    return closed
