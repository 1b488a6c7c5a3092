"""A target writes an earlier refusal once more on a kept connection."""

import asyncio
from random import Random

import pytest

from oleanderridge.dispatch.placement import Placement
from oleanderridge.gateway.model import SAFE, UNSAFE
from oleanderridge.http1.messages import Inbound
from tests.gateway_world import gateway_settings, record
from tests.stub_target import StubTarget, answer
from tests.test_gateway_request import _ForwarderHarness, _route

_REFUSED = b'oleanderridge-not-executed: 1\r\nkeep-alive: timeout=10\r\n'


def _refusal(attempt, status=503):
    return answer(b'', status, attempt=attempt, extra=_REFUSED)


def _request(attempt, kind=UNSAFE):
    return Inbound(
        b'GET' if kind == SAFE else b'POST',
        b'/a/1',
        [
            (b'host', b'h'),
            (b'oleanderridge-attempt-id', attempt.encode()),
            (b'authorization', b'Token key-w'),
        ],
        b'' if kind == SAFE else b'body',
        asyncio.get_running_loop().time(),
        asyncio.get_running_loop().create_future(),
    )


class _Faulty:
    """A target that refuses the first request and runs the later ones."""

    def __init__(self, repeat):
        self.runs = 0
        self._refused = ''
        self._repeat = repeat

    async def serve(self, target, reader, writer, _connection):
        while True:
            head, _ = await target.read_request(reader)
            text = head.lower().partition(b'attempt-id: ')[2]
            attempt = text.split(b'\r\n')[0].decode()
            if not self._refused:
                self._refused = attempt
                writer.write(_refusal(attempt))
                if self._repeat == 'while idle':
                    await asyncio.sleep(0.02)
                    writer.write(_refusal(attempt))
                continue
            self.runs += 1
            true_answer = answer(b'good', attempt=attempt)
            if self._repeat == 'in one packet':
                writer.write(_refusal(self._refused) + true_answer)
            elif self._repeat == 'while it runs':
                writer.write(_refusal(self._refused))
                await asyncio.sleep(0.03)
                writer.write(true_answer)
            elif self._repeat == 'twice in pieces':
                for byte in _refusal(self._refused) * 2:
                    writer.write(bytes((byte,)))
                    await asyncio.sleep(0)
                writer.write(true_answer)
            elif self._repeat == 'behind the answer':
                writer.write(true_answer + _refusal(self._refused))
            else:
                writer.write(true_answer)


@pytest.mark.parametrize(
    'repeat',
    [
        'in one packet',
        'while it runs',
        'twice in pieces',
        'while idle',
        'behind the answer',
    ],
)
def test_a_refusal_of_an_earlier_request_is_not_told_to_the_next(repeat):
    """Guards against 'not run' for a request that its target has run."""

    async def play():
        faulty = _Faulty(repeat)
        async with StubTarget(faulty.serve) as target:
            harness = _ForwarderHarness(_route(UNSAFE), [target])
            first = await harness.forwarder.handle(_request('a0'))
            await asyncio.sleep(0.05)
            later = [
                await harness.forwarder.handle(_request(f'a{place}'))
                for place in range(1, 4)
            ]
            harness.ports.pool.close()
        return faulty, first, later

    faulty, first, later = asyncio.run(play())
    assert first.status == 503
    assert [reply.body for reply in later] == [b'good'] * 3
    assert faulty.runs == 3


def test_a_refusal_of_the_same_attempt_is_not_taken_twice():
    """Guards against an order that runs at two targets.

    Two entries name one address, so that an attempt comes there twice: first
    for the wrong target, which is refused, then for the right one.
    """
    runs = []

    async def serve(target, reader, writer, _connection):
        refused = False
        while True:
            head, _ = await target.read_request(reader)
            if b'expect-instance: right' not in head:
                refused = True
                writer.write(_refusal('a1', 421))
                continue
            runs.append(head)
            if refused:
                writer.write(_refusal('a1', 421))
                await asyncio.sleep(0.02)
            writer.write(answer(b'good', attempt='a1'))

    async def play():
        async with StubTarget(serve) as target, StubTarget(serve) as other:
            harness = _ForwarderHarness(_route(UNSAFE), [target])
            harness.placement.set_targets({}, 0)
            now = asyncio.get_running_loop().time()
            wrong = record('wrong', address=target.address)
            harness.placement.set_targets({'wrong': wrong}, now)
            leader = _PlacementInOrder(
                {
                    'wrong': wrong,
                    'right': record('right', address=target.address),
                    'right-2': record('right-2', address=other.address),
                }
            )
            harness.follow(leader, leader.records)
            reply = await harness.forwarder.handle(_request('a1'))
            harness.ports.pool.close()
        return reply

    reply = asyncio.run(play())
    assert len(runs) == 1
    assert (reply.status, reply.body) == (200, b'good')


class _PlacementInOrder(Placement):
    """A placement that grants its targets in the order of its records."""

    def __init__(self, records):
        super().__init__(gateway_settings(), Random(1))
        self.records = records

    def acquire(self, request, now):
        """Let the placement know only the next target."""
        left = [name for name in self.records if name not in request.excluded]
        self.set_targets({left[0]: self.records[left[0]]}, now)
        return super().acquire(request, now)
