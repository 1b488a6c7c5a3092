"""A target stops in the middle of its answer's head and closes."""

import asyncio

import pytest
from yarl import URL

from oleanderridge.forward.client import Attempt, TargetClient
from oleanderridge.forward.scrub import InboundRequest
from oleanderridge.gateway.model import SAFE, UNSAFE
from oleanderridge.http1.client import ExchangeError, Outbound
from oleanderridge.http1.connection_pool import ConnectionPool
from oleanderridge.platform.headers import answers_attempt
from tests.stub_target import StubTarget, answer
from tests.test_gateway_request import _handle

_GET = Outbound(
    b'GET',
    b'/a/1',
    [(b'host', b'h'), (b'oleanderridge-attempt-id', b'a1')],
    b'',
)
_SIGNED = (
    b'HTTP/1.1 200 OK\r\noleanderridge-attempt-id: a1\r\n'
    b'oleanderridge-response-signature: s\r\n'
)
# Whole heads of answers whose bodies follow.
_HEADS = {
    'length': _SIGNED + b'content-length: 12\r\n\r\n',
    'length first': (
        b'HTTP/1.1 200 OK\r\ncontent-length: 12\r\n' + _SIGNED[17:] + b'\r\n'
    ),
    'chunks': _SIGNED + b'transfer-encoding: chunked\r\n\r\n',
    'until the close': _SIGNED + b'connection: close\r\n\r\n',
    'interim': b'HTTP/1.1 100 Continue\r\n\r\n' + _SIGNED + b'\r\n',
}


def _stop_after(head, *, abort):
    async def serve(target, reader, writer, _number):
        await target.read_request(reader)
        writer.write(head)
        await writer.drain()
        if abort:
            await asyncio.sleep(0.002)
            writer.transport.abort()

    return serve


@pytest.mark.parametrize('abort', [False, True])
@pytest.mark.parametrize('name', _HEADS)
def test_an_answer_that_ends_in_its_head_is_no_answer(name, abort):
    """Guards against a 200 with an empty body that is framed as whole."""
    head = _HEADS[name]

    async def exchange(cut):
        pool = ConnectionPool(0.5, 10)
        async with StubTarget(_stop_after(head[:cut], abort=abort)) as target:
            connection = await pool.take(target.address)
            try:
                return await asyncio.wait_for(
                    connection.exchange(
                        _GET, lambda headers: answers_attempt('a1', headers)
                    ),
                    2,
                )
            except ExchangeError as error:
                return error
            finally:
                pool.close()

    async def exchange_all():
        return [await exchange(cut) for cut in range(len(head))]

    for cut, outcome in enumerate(asyncio.run(exchange_all())):
        assert isinstance(outcome, ExchangeError), (cut, outcome)


@pytest.mark.parametrize('kind', [SAFE, UNSAFE])
@pytest.mark.parametrize('name', ['length', 'until the close'])
def test_a_caller_gets_no_success_from_half_a_head(kind, name):
    """Guards against the same at the caller of a gateway host."""
    head = _HEADS[name]
    for cut in range(1, len(head), 9):
        scripts = [_stop_after(head[:cut], abort=False)] * 2
        reply, _, _ = _handle(kind, scripts)
        assert reply.status == 502, cut


def test_an_answer_of_a_length_that_is_cut_in_its_body_is_no_success():
    """Guards against a short body that is framed as whole."""
    whole = answer(b'abcdef')
    for cut in range(1, 6):
        reply, _, _ = _handle(
            UNSAFE, [_stop_after(whole[:-cut], abort=False)] * 2
        )
        assert reply.status == 502, cut


@pytest.mark.parametrize('abort', [False, True])
@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('name', _HEADS)
def test_half_a_head_is_no_answer_for_serve(name, method, abort):
    """Guards against the same in the client of ``serve``."""
    head = _HEADS[name].replace(b'oleanderridge-attempt-id', b'request-id')

    async def send(client, cut):
        async with StubTarget(_stop_after(head[:cut], abort=abort)) as target:
            request = InboundRequest(
                method=method,
                path='/a/1',
                query='',
                headers=(('Host', 'h'), ('Request-Id', 'a1')),
                body=b'' if method == 'GET' else b'x',
                request_id='a1',
            )
            url = str(URL(f'http://{target.address}/a/1'))
            attempt = Attempt(url, request, 1, 0.3, 'Request-Id', 65536)
            return await client.send(attempt, lambda: None)

    async def send_all():
        client = TargetClient(None)
        await client.open()
        try:
            return [await send(client, cut) for cut in range(0, len(head), 3)]
        finally:
            await client.close()

    for place, outcome in enumerate(asyncio.run(send_all())):
        assert outcome.is_err(), (3 * place, outcome)
