"""A target, the store or a probe answers with a status that is none."""

import asyncio
from types import SimpleNamespace

import pytest
from aiohttp import ClientSession

from oleanderridge.dispatch import placement
from oleanderridge.forward.client import Attempt, TargetClient
from oleanderridge.forward.scrub import InboundRequest
from oleanderridge.gateway.model import SAFE, UNSAFE
from oleanderridge.gateway.outcomes import Outcome
from oleanderridge.http1.client import ExchangeError, Outbound
from oleanderridge.http1.connection_pool import ConnectionPool
from oleanderridge.platform.store import StoreClient
from oleanderridge.runtime.probes import _probe
from tests.stub_target import StubTarget
from tests.test_gateway_request import _handle

_NO_STATUSES = (
    b'000',
    b'099',
    b'600',
    b'999',
    b'20',
    b'2000',
    b'+20',
    b'-20',
    b'2e2',
    b'',
    '\u0662\u0660\u0660'.encode(),
)
_SIGNATURE = b'oleanderridge-response-signature: s\r\n'
_ANSWER = (
    b'HTTP/1.1 %s X\r\noleanderridge-attempt-id: a1\r\nrequest-id: a1\r\n'
    b'%scontent-length: %d\r\n\r\n%s'
)


def _respond(status, signature=_SIGNATURE, body=b'good'):
    async def serve(target, reader, writer, _number):
        await target.read_request(reader)
        writer.write(_ANSWER % (status, signature, len(body), body))
        await reader.read()

    return serve


@pytest.mark.parametrize('signature', [_SIGNATURE, b''])
@pytest.mark.parametrize('kind', [SAFE, UNSAFE])
@pytest.mark.parametrize('status', _NO_STATUSES)
def test_a_caller_gets_no_answer_with_such_a_status(
    monkeypatch, status, kind, signature
):
    """Guards against a status 000 or 999 that is passed on as an answer."""
    outcomes = []
    release = placement.Placement.release

    def record(self, message, now):
        outcomes.append(Outcome(message.outcome))
        return release(self, message, now)

    monkeypatch.setattr(placement.Placement, 'release', record)
    scripts = [_respond(status, signature)] * 2
    reply, targets, _ = _handle(kind, scripts)
    # It may have run: 502 promises nothing.
    assert reply.status == 502
    assert Outcome.GARBLED in outcomes
    if kind == UNSAFE:
        assert sum(len(target.heads) for target in targets) == 1


@pytest.mark.parametrize('method', [b'GET', b'HEAD', b'POST', b'DELETE'])
@pytest.mark.parametrize('status', _NO_STATUSES)
def test_the_client_of_the_gateway_takes_no_such_status(status, method):
    """Guards against the same for any method."""
    request = Outbound(method, b'/a/1', [(b'host', b'h')], b'')

    async def run():
        pool = ConnectionPool(0.5, 10)
        body = b'' if method == b'HEAD' else b'good'
        async with StubTarget(_respond(status, body=body)) as target:
            connection = await pool.take(target.address)
            exchange = connection.exchange(request, lambda _headers: True)
            with pytest.raises(ExchangeError) as raised:
                await asyncio.wait_for(exchange, 2)
            assert connection.closed
        pool.close()
        return raised.value.kind

    assert asyncio.run(run()) == 'garbled'


@pytest.mark.parametrize('method', ['GET', 'HEAD', 'POST', 'DELETE'])
@pytest.mark.parametrize('status', _NO_STATUSES)
def test_the_client_of_serve_takes_no_such_status(status, method):
    """Guards against the same in the client of ``serve``."""

    async def send(client):
        body = b'' if method == 'HEAD' else b'good'
        async with StubTarget(_respond(status, body=body)) as target:
            request = InboundRequest(
                method=method,
                path='/a/1',
                query='',
                headers=(('Host', 'h'), ('Request-Id', 'a1')),
                body=b'x' if method == 'POST' else b'',
                request_id='a1',
            )
            url = f'http://{target.address}/a/1'
            attempt = Attempt(url, request, 2, 0.3, 'Request-Id', 65536)
            return await client.send(attempt, lambda: None)

    async def run():
        client = TargetClient(None)
        await client.open()
        try:
            return await send(client)
        finally:
            await client.close()

    failure = asyncio.run(run()).err_value
    assert failure.outcome == 'wrong'
    assert failure.committed


@pytest.mark.parametrize('status', _NO_STATUSES)
def test_such_an_answer_of_the_store_says_nothing(status):
    """Guards against a list that comes with such a status."""

    async def run():
        body = b'{"items":[],"more_pages":false,"at":7}'
        async with StubTarget(_respond(status, b'', body)) as target:
            client = StoreClient(target.address, 0.5)
            listed = await client.read_all('')
            await client.close()
        return listed

    assert asyncio.run(run()).is_err()


@pytest.mark.parametrize('status', _NO_STATUSES)
def test_such_an_answer_to_a_probe_is_no_health(status):
    """Guards against a target that counts as healthy for such an answer."""

    async def run():
        async with (
            StubTarget(_respond(status, b'', b'')) as target,
            ClientSession() as session,
        ):
            node = SimpleNamespace(
                url_by_target={'t': f'http://{target.address}'},
                services_by_name={'s': {}},
            )
            return await _probe(node, session, 's', 't')

    assert asyncio.run(run()) is False
