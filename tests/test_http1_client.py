"""Tests of the HTTP client against malformed and truncated responses."""

import asyncio

import pytest

from oleanderridge.http1.client import ExchangeError, Outbound
from oleanderridge.http1.connection_pool import ConnectionPool
from oleanderridge.platform.headers import answers_attempt
from tests.stub_target import StubTarget, answer

_GET = Outbound(
    b'GET',
    b'/a/1',
    [(b'host', b'h'), (b'oleanderridge-attempt-id', b'a1')],
    b'',
)
_POST = _GET._replace(method=b'POST', body=b'x' * 10)


def _run_exchanges(serve, requests=(_GET,), pause_s=0.0):
    """Send requests in sequence; return responses or errors, and the target."""

    async def run():
        pool = ConnectionPool(0.5, 10)
        outcomes = []
        async with StubTarget(serve) as target:
            for request in requests:
                await asyncio.sleep(pause_s)
                connection = await pool.take(target.address)
                try:
                    response = await asyncio.wait_for(
                        connection.exchange(
                            request,
                            lambda headers: answers_attempt('a1', headers),
                        ),
                        2,
                    )
                    pool.give(target.address, connection)
                    outcomes.append(response)
                except ExchangeError as error:
                    outcomes.append(error)
            pool.close()
        return outcomes, target

    return asyncio.run(run())


def _serve_parts(*parts, close=True):
    async def serve(target, reader, writer, _number):
        await target.read_request(reader)
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
        if not close:
            await reader.read()

    return serve


async def _serve_keep_alive(target, reader, writer, _number):
    while True:
        await target.read_request(reader)
        writer.write(answer(extra=b'keep-alive: timeout=10\r\n'))


def test_idle_connection_is_reused():
    """Guards against opening a new connection for each request."""
    outcomes, target = _run_exchanges(_serve_keep_alive, (_GET, _GET, _POST))
    assert [result.body for result in outcomes] == [b'ok'] * 3
    assert target.connections == 1


def test_truncated_body_is_an_error():
    """Guards against a truncated body that is taken as complete."""
    [outcome], _ = _run_exchanges(_serve_parts(answer(b'abc', length=9)))
    assert outcome.kind == 'short'


def test_response_may_be_delimited_by_connection_close():
    """Guards against rejecting complete responses without a length."""
    head = b'HTTP/1.1 200 X\r\noleanderridge-attempt-id: a1\r\n\r\n'
    [outcome], _ = _run_exchanges(_serve_parts(head, b'whole'))
    assert outcome.body == b'whole'


def test_reset_during_unframed_response_is_an_error():
    """Guards against forwarding the partial body received before a reset."""

    async def serve(target, reader, writer, _number):
        await target.read_request(reader)
        writer.write(
            b'HTTP/1.1 200 X\r\noleanderridge-attempt-id: a1\r\n\r\npart'
        )
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    async def reset(target, reader, writer, number):
        import socket
        import struct

        sock = writer.get_extra_info('socket')
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        await serve(target, reader, writer, number)

    [outcome], _ = _run_exchanges(reset)
    assert isinstance(outcome, ExchangeError)
    assert outcome.kind == 'short'


def test_late_response_to_another_request_is_skipped():
    """Guards against returning the response to another request."""
    other_response = answer(b'other', attempt='a0')
    [outcome], target = _run_exchanges(
        _serve_parts(other_response + answer(b'mine'))
    )
    assert outcome.body == b'mine'
    assert target.connections == 1


def test_late_response_that_comes_alone_leaves_the_request_its_answer():
    """Guards against failing a request whose answer comes after a stray one.

    The stray answer and the request's own arrive in packets of their own.
    """

    async def serve(target, reader, writer, _number):
        await target.read_request(reader)
        writer.write(answer(b'other', attempt='a0'))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(answer(b'mine'))
        await reader.read()

    [outcome], _ = _run_exchanges(serve)
    assert outcome.body == b'mine'


def _without_id(response):
    return response.replace(b'oleanderridge-attempt-id: a1\r\n', b'')


@pytest.mark.parametrize(
    'stray',
    [
        _without_id(answer(b'stale')),
        _without_id(
            answer(b'', 503, extra=b'oleanderridge-not-executed: 1\r\n')
        ),
    ],
)
def test_second_copy_without_an_id_is_not_taken_for_the_next_answer(stray):
    """Guards against another caller's answer, or a refusal that isn't true.

    The copy arrives when the connection is in use again.
    """

    async def serve(target, reader, writer, _number):
        await target.read_request(reader)
        writer.write(answer(b'first', extra=b'keep-alive: timeout=10\r\n'))
        await target.read_request(reader)
        writer.write(stray)
        await asyncio.sleep(0.02)
        writer.write(answer(b'second'))
        await reader.read()

    outcomes, target = _run_exchanges(serve, (_GET, _GET))
    assert [result.body for result in outcomes] == [b'first', b'second']
    assert target.connections == 1


def test_stray_answer_without_an_id_alone_is_an_error():
    """Guards against the same when the true answer never comes."""

    async def serve(target, reader, writer, _number):
        await target.read_request(reader)
        writer.write(answer(b'first', extra=b'keep-alive: timeout=10\r\n'))
        await target.read_request(reader)
        writer.write(_without_id(answer(b'stale')))

    outcomes, _ = _run_exchanges(serve, (_GET, _POST))
    assert outcomes[0].body == b'first'
    assert isinstance(outcomes[1], ExchangeError)
    assert outcomes[1].kind != 'not-sent'


def test_target_that_echoes_no_id_gets_a_connection_for_each_request():
    """Guards against refusing whole answers of a target that echoes no id."""

    async def serve(target, reader, writer, _number):
        while True:
            await target.read_request(reader)
            writer.write(
                _without_id(answer(extra=b'keep-alive: timeout=9\r\n'))
            )

    outcomes, target = _run_exchanges(serve, (_GET, _GET))
    assert [result.body for result in outcomes] == [b'ok', b'ok']
    assert target.connections == 2


def test_connection_with_trailing_data_is_not_reused():
    """Guards against extra bytes being read as the next response."""

    async def serve(target, reader, writer, number):
        await target.read_request(reader)
        extra = answer(b'extra') if number == 0 else b''
        writer.write(answer(extra=b'keep-alive: timeout=10\r\n') + extra)
        await reader.read()

    outcomes, target = _run_exchanges(serve, (_GET, _GET))
    assert [result.body for result in outcomes] == [b'ok', b'ok']
    assert target.connections == 2


def test_data_on_an_idle_connection_closes_it():
    """Guards against an unsolicited response between two requests."""

    async def serve(target, reader, writer, number):
        await target.read_request(reader)
        writer.write(answer(extra=b'keep-alive: timeout=10\r\n'))
        if number == 0:
            await asyncio.sleep(0.05)
            writer.write(answer(b'extra'))
        await reader.read()

    outcomes, target = _run_exchanges(serve, (_GET, _GET), pause_s=0.15)
    assert [result.body for result in outcomes] == [b'ok', b'ok']
    assert target.connections == 2


def test_data_that_is_not_http_is_garbled():
    """Guards against forwarding data that is not HTTP."""
    [outcome], _ = _run_exchanges(_serve_parts(b'\x00\x01 nonsense\r\n\r\n'))
    assert outcome.kind == 'garbled'


def test_close_without_response_is_a_reset():
    """Guards against reporting a request that may have run as not sent."""
    [outcome], _ = _run_exchanges(_serve_parts())
    assert outcome.kind == 'reset'


def test_response_before_the_request_is_sent_closes_the_connection():
    """Guards against the target reading the unsent body as the next request."""

    async def serve(target, reader, writer, number):
        if number == 0:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer(b'early', extra=b'keep-alive: timeout=10\r\n'))
            await asyncio.sleep(0.3)
            return
        await target.read_request(reader)
        writer.write(answer())

    large_post = _POST._replace(body=b'x' * 20_000_000)
    outcomes, target = _run_exchanges(serve, (large_post, _GET))
    assert outcomes[0].body == b'early'
    assert outcomes[1].body == b'ok'
    assert target.connections == 2


def test_refused_connection_is_not_sent():
    """Guards against counting a refused connection as an executed request."""

    async def run():
        async with StubTarget(_serve_parts()) as target:
            address = target.address
        await ConnectionPool(0.3, 1).take(address)

    with pytest.raises(ExchangeError) as raised:
        asyncio.run(run())
    assert raised.value.kind == 'not-sent'


def test_chunked_response_needs_its_last_chunk():
    """Guards against accepting a truncated chunked body."""
    head = (
        b'HTTP/1.1 200 X\r\noleanderridge-attempt-id: a1\r\n'
        b'transfer-encoding: chunked\r\n\r\n'
    )
    [complete], _ = _run_exchanges(
        _serve_parts(head, b'3\r\nabc\r\n', b'0\r\n\r\n')
    )
    assert complete.body == b'abc'
    [truncated], _ = _run_exchanges(_serve_parts(head, b'3\r\nabc\r\n'))
    assert truncated.kind == 'short'
