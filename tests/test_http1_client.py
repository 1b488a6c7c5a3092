"""Each way in which an answer can be broken, at the edge to targets."""

import asyncio

import pytest

from oleanderridge.http1.client import ConnectionPool, ExchangeError, Outbound
from oleanderridge.platform.headers import answers_attempt
from tests.stub_target import StubTarget, answer

_GET = Outbound(
    b'GET',
    b'/a/1',
    [(b'host', b'h'), (b'oleanderridge-attempt-id', b'a1')],
    b'',
)
_POST = _GET._replace(method=b'POST', body=b'x' * 10)


def _exchange(play, requests=(_GET,), pause_s=0.0):
    """Send requests in turn; return answers or errors, and the target."""

    async def run():
        pool = ConnectionPool(0.5, 10)
        ends = []
        async with StubTarget(play) as target:
            for request in requests:
                await asyncio.sleep(pause_s)
                connection = await pool.take(target.address)
                try:
                    got = await asyncio.wait_for(
                        connection.exchange(
                            request,
                            lambda headers: answers_attempt('a1', headers),
                        ),
                        2,
                    )
                    pool.give(target.address, connection)
                    ends.append(got)
                except ExchangeError as error:
                    ends.append(error)
            pool.close()
        return ends, target

    return asyncio.run(run())


def _play(*parts, close=True):
    async def play(target, reader, writer, _number):
        await target.read_request(reader)
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
        if not close:
            await reader.read()

    return play


async def _keeps_answering(target, reader, writer, _number):
    while True:
        await target.read_request(reader)
        writer.write(answer(extra=b'keep-alive: timeout=10\r\n'))


def test_a_kept_connection_carries_the_next_request():
    """Guards against a new connection for each request."""
    ends, target = _exchange(_keeps_answering, (_GET, _GET, _POST))
    assert [each.body for each in ends] == [b'ok'] * 3
    assert target.connections == 1


def test_a_body_that_ends_early_is_no_answer():
    """Guards against a cut body that looks complete."""
    [end], _ = _exchange(_play(answer(b'abc', length=9)))
    assert end.kind == 'short'


def test_an_answer_may_end_with_its_connection():
    """Guards against refusing whole answers that have no length."""
    head = b'HTTP/1.1 200 X\r\noleanderridge-attempt-id: a1\r\n\r\n'
    [end], _ = _exchange(_play(head, b'whole'))
    assert end.body == b'whole'


def test_an_unframed_answer_that_is_reset_is_not_complete():
    """Guards against passing on the part that came before a reset."""

    async def play(target, reader, writer, _number):
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
        await play(target, reader, writer, number)

    [end], _ = _exchange(reset)
    assert isinstance(end, ExchangeError)
    assert end.kind == 'short'


def test_a_late_answer_to_another_request_is_skipped():
    """Guards against giving a caller the answer of another request."""
    late = answer(b'other', attempt='a0')
    [end], target = _exchange(_play(late + answer(b'mine')))
    assert end.body == b'mine'
    assert target.connections == 1


def test_a_connection_with_bytes_after_the_answer_is_not_used_again():
    """Guards against extra bytes that meet the next request."""

    async def play(target, reader, writer, number):
        await target.read_request(reader)
        extra = answer(b'extra') if number == 0 else b''
        writer.write(answer(extra=b'keep-alive: timeout=10\r\n') + extra)
        await reader.read()

    ends, target = _exchange(play, (_GET, _GET))
    assert [each.body for each in ends] == [b'ok', b'ok']
    assert target.connections == 2


def test_bytes_on_an_idle_connection_end_it():
    """Guards against an extra answer that arrives between two requests."""

    async def play(target, reader, writer, number):
        await target.read_request(reader)
        writer.write(answer(extra=b'keep-alive: timeout=10\r\n'))
        if number == 0:
            await asyncio.sleep(0.05)
            writer.write(answer(b'extra'))
        await reader.read()

    ends, target = _exchange(play, (_GET, _GET), pause_s=0.15)
    assert [each.body for each in ends] == [b'ok', b'ok']
    assert target.connections == 2


def test_bytes_that_are_no_answer_are_garbled():
    """Guards against passing on what is not HTTP."""
    [end], _ = _exchange(_play(b'\x00\x01 nonsense\r\n\r\n'))
    assert end.kind == 'garbled'


def test_a_connection_that_closes_without_an_answer_is_a_reset():
    """Guards against calling a request not sent that may have run."""
    [end], _ = _exchange(_play())
    assert end.kind == 'reset'


def test_an_answer_before_the_body_was_read_ends_the_connection():
    """Guards against the rest of a body read as the next request."""

    async def play(target, reader, writer, number):
        if number == 0:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer(b'early', extra=b'keep-alive: timeout=10\r\n'))
            await asyncio.sleep(0.3)
            return
        await target.read_request(reader)
        writer.write(answer())

    long = _POST._replace(body=b'x' * 20_000_000)
    ends, target = _exchange(play, (long, _GET))
    assert ends[0].body == b'early'
    assert ends[1].body == b'ok'
    assert target.connections == 2


def test_an_address_that_refuses_is_not_sent():
    """Guards against counting a refused connection as a run."""

    async def run():
        async with StubTarget(_play()) as target:
            address = target.address
        await ConnectionPool(0.3, 1).take(address)

    with pytest.raises(ExchangeError) as raised:
        asyncio.run(run())
    assert raised.value.kind == 'not-sent'


def test_chunked_answers_are_whole_only_with_their_last_chunk():
    """Guards against a chunked body that was cut."""
    head = (
        b'HTTP/1.1 200 X\r\noleanderridge-attempt-id: a1\r\n'
        b'transfer-encoding: chunked\r\n\r\n'
    )
    [whole], _ = _exchange(_play(head, b'3\r\nabc\r\n', b'0\r\n\r\n'))
    assert whole.body == b'abc'
    [cut], _ = _exchange(_play(head, b'3\r\nabc\r\n'))
    assert cut.kind == 'short'
