"""A caller gets a whole answer or a refusal that is true."""

import asyncio
from random import Random

import pytest

from oleanderridge.dispatch.permit_client import LeaderLookup, PermitClient
from oleanderridge.dispatch.placement import Placement
from oleanderridge.forward.gateway_request import (
    GatewayForwarder,
    GatewayForwarderCallbacks,
)
from oleanderridge.gateway.model import (
    SAFE,
    UNSAFE,
    RouteRule,
    Share,
)
from oleanderridge.http1.client import ConnectionPool
from oleanderridge.http1.messages import Inbound
from tests.gateway_world import (
    configuration,
    gateway_settings,
    record,
    workspace,
)
from tests.stub_target import StubTarget, answer


def _route(kind, timeout_s=1.0, attempts=2, is_open=False):
    return RouteRule(
        'r',
        'h',
        '/a/',
        kind,
        timeout_s,
        0.4,
        1,
        attempts,
        is_open,
        (Share('lookup', 1),),
    )


def _request(kind, gone, headers=()):
    loop = asyncio.get_running_loop()
    return Inbound(
        b'GET' if kind == SAFE else b'POST',
        b'/a/1?q=1',
        [
            (b'host', b'h'),
            (b'oleanderridge-attempt-id', b'a1'),
            (b'authorization', b'Token key-w'),
            *headers,
        ],
        b'' if kind == SAFE else b'body',
        loop.time(),
        gone,
    )


def _loop_time():
    return asyncio.get_running_loop().time()


class _World:
    """A forwarder in front of stub targets."""

    def __init__(self, route, targets):
        settings = gateway_settings()
        records = {
            f't{place}': record(f't{place}', address=target.address)
            for place, target in enumerate(targets)
        }
        self.placement = Placement(settings, Random(1))
        self.placement.set_fleet_share(1)
        now = asyncio.get_running_loop().time()
        self.placement.set_targets(records, now)
        self.configuration = configuration(workspace())._replace(
            routes_by_host={'h': (route,)}
        )
        met = asyncio.Event()
        met.set()
        permits = PermitClient(
            '10.1.0.1',
            self.placement,
            lambda _host, _message: None,
            LeaderLookup(lambda: '10.1.0.1', lambda _leader: None, met),
        )
        self.ended = []
        self.forwarder = GatewayForwarder(
            GatewayForwarderCallbacks(
                settings,
                lambda: self.configuration,
                permits,
                ConnectionPool(0.2, 10),
                lambda _target: False,
                lambda *end: self.ended.append(end),
                Random(1),
            )
        )


def _run(kind, plays, request=_request, leave_after_s=None, **route):
    """Handle one request; return the reply and the targets."""

    async def run():
        targets = [StubTarget(play) for play in plays]
        for target in targets:
            await target.__aenter__()
        world = _World(_route(kind, **route), targets)
        gone = asyncio.get_running_loop().create_future()
        if leave_after_s is not None:
            asyncio.get_running_loop().call_later(
                leave_after_s, gone.set_result, None
            )
        reply = await world.forwarder.handle(request(kind, gone))
        world.permits_left = [
            each['flights'] for each in world.placement.snapshot(_loop_time())
        ]
        await asyncio.sleep(0.02)
        for target in targets:
            await target.__aexit__()
        return reply, targets, world

    return asyncio.run(run())


def _answers(*parts):
    async def play(target, reader, writer, _number):
        await target.read_request(reader)
        for part in parts:
            writer.write(part)
        await reader.read()

    return play


async def _hangs(target, reader, _writer, _number):
    await target.read_request(reader)
    await reader.read()
    target.connections += 100


async def _breaks(target, reader, _writer, _number):
    await target.read_request(reader)


_SHEDS = _answers(answer(b'', 503, extra=b'oleanderridge-not-executed: 1\r\n'))
_FAILS = _answers(answer(b'', 500))
_GOOD = _answers(answer(b'good'))


def test_the_target_is_told_what_it_needs_and_not_the_key():
    """Guards against a target that sees a key or a forged workspace."""

    def forged(kind, gone):
        return _request(
            kind,
            gone,
            (
                (b'oleanderridge-tenant', b'other'),
                (b'oleanderridge-expect-instance', b'x'),
                (b'connection', b'x-hop'),
                (b'x-hop', b'1'),
                (b'x-kept', b'2'),
            ),
        )

    reply, [target], _ = _run(SAFE, [_GOOD], forged)
    head = target.heads[0].lower()
    assert reply.body == b'good'
    assert head.startswith(b'get /a/1?q=1 http/1.1')
    assert b'key-w' not in head
    assert b'oleanderridge-tenant: w\r\n' in head
    assert head.count(b'oleanderridge-tenant') == 1
    assert b'oleanderridge-expect-instance: t0\r\n' in head
    assert b'x-hop' not in head
    assert b'x-kept: 2' in head
    assert b'oleanderridge-deadline-ms: ' in head


@pytest.mark.parametrize('kind', [SAFE, UNSAFE])
def test_a_request_that_was_not_run_goes_to_another_target(kind):
    """Guards against passing on a refusal while another target is free."""
    reply, _, _ = _run(kind, [_SHEDS, _GOOD, _GOOD])
    assert reply.status == 200


def test_a_refusal_by_every_target_is_not_run_and_names_a_time():
    """Guards against a 503 without a time to come back."""
    reply, _, _ = _run(UNSAFE, [_SHEDS] * 6)
    assert reply.status == 503
    assert dict(reply.headers)[b'retry-after']


def test_an_order_whose_connection_breaks_is_never_sent_again():
    """Guards against an order that runs twice."""
    reply, targets, _ = _run(UNSAFE, [_breaks, _breaks])
    assert reply.status == 502
    assert sum(each.connections for each in targets) == 1


def test_an_idempotent_request_is_sent_again_after_a_failure():
    """Guards against a lost answer that another target could give."""
    reply, _, _ = _run(SAFE, [_breaks, _GOOD])
    assert reply.body == b'good'


def test_an_idempotent_request_leaves_a_target_that_hangs():
    """Guards against waiting for a hanging target to the deadline."""
    reply, _, _ = _run(SAFE, [_hangs, _GOOD], timeout_s=2.0)
    assert reply.body == b'good'


def test_attempts_are_bounded_by_the_route():
    """Guards against a request that runs on more targets than allowed."""
    reply, targets, _ = _run(SAFE, [_FAILS] * 4)
    assert reply.status == 500
    assert sum(each.connections for each in targets) == 2


def test_an_order_that_hangs_ends_at_the_timeout_of_its_route():
    """Guards against callers held past the operator's timeout."""
    reply, _, world = _run(UNSAFE, [_hangs], timeout_s=0.3)
    assert reply.status == 504
    assert 0.25 < world.ended[0][3] < 0.5
    assert world.permits_left == [0]


def test_a_503_that_does_not_say_so_may_have_run():
    """Guards against a promise that a target did not make."""
    reply, _, _ = _run(UNSAFE, [_answers(answer(b'', 503))])
    assert reply.status == 502


def test_a_success_without_signature_is_not_passed_on():
    """Guards against bytes that are not the target's."""
    unsigned = b'HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nno'
    reply, _, _ = _run(UNSAFE, [_answers(unsigned)])
    assert reply.status == 502
    assert reply.body == b''


def test_work_for_a_caller_that_left_is_cancelled_when_idempotent():
    """Guards against targets at work for nobody."""
    _, [target], world = _run(SAFE, [_hangs], leave_after_s=0.05, timeout_s=2.0)
    assert target.connections == 101
    assert world.permits_left == [0]


def test_an_order_of_a_caller_that_left_runs_to_its_end():
    """Guards against an order broken off at its target."""

    async def slow(target, reader, writer, _number):
        await target.read_request(reader)
        await asyncio.sleep(0.2)
        writer.write(answer(b'done'))
        await reader.read()

    reply, _, _ = _run(UNSAFE, [slow], leave_after_s=0.05)
    assert reply.body == b'done'


def test_an_unknown_key_and_an_unknown_route_are_told_apart():
    """Guards against wrong reasons for callers."""

    def unknown_key(kind, gone):
        inbound = _request(kind, gone)
        headers = [
            pair for pair in inbound.headers if pair[0] != b'authorization'
        ]
        return inbound._replace(headers=headers)

    def unknown_route(kind, gone):
        return _request(kind, gone)._replace(target=b'/b/1')

    assert _run(SAFE, [_GOOD], unknown_key)[0].status == 401
    assert _run(SAFE, [_GOOD], unknown_route)[0].status == 404
    assert _run(SAFE, [_GOOD], unknown_key, is_open=True)[0].status == 200


def test_a_refused_connection_costs_an_order_nothing():
    """Guards against giving up an order that never left the host."""

    async def run():
        async with StubTarget(_GOOD) as good:
            async with StubTarget(_GOOD) as closed:
                dead = closed.address
            world = _World(_route(UNSAFE), [good, good])
            records = {
                't0': record('t0', address=dead),
                't1': record('t1', address=good.address, zone='z2'),
            }
            loop = asyncio.get_running_loop()
            world.placement.set_targets(records, loop.time())
            return await world.forwarder.handle(
                _request(UNSAFE, loop.create_future())
            )

    assert asyncio.run(run()).body == b'good'
