"""Faulty targets: truthful refusals, at most one run, complete answers."""

import asyncio
import json
import socket

import pytest

from oleanderridge.forward.stream import BrokenAnswerError
from tests import faulty_target as faults
from tests.faulty_target import BODY, FaultyTarget
from tests.forward_host import header, host, request

BEHAVIOURS = {
    'ok': {},
    'reset on connect': {'on_connect': faults.reset_on_connect},
    'reset during request': {'on_connect': faults.reset_during_request},
    'reset after work': {'behave': faults.reset_after_work},
    'reset in body': {'behave': faults.reset_in_body},
    'timeout': {'behave': faults.never},
    'short body': {'behave': faults.short_body},
    'no final chunk': {'behave': faults.no_final_chunk},
    'no length': {'behave': faults.no_length},
    'garbage after': {'behave': faults.garbage_after},
    'garbage instead': {'behave': faults.garbage_instead},
    'two lengths': {'behave': faults.two_lengths},
    'wrong id': {'behave': faults.wrong_id},
}
REASONS = {
    'reset on connect': 'target-reset',
    'reset during request': 'target-reset',
    'reset after work': 'target-reset',
    'reset in body': 'target-short-answer',
    'timeout': 'target-timeout',
    'short body': 'target-short-answer',
    'no final chunk': 'target-short-answer',
    'no length': 'target-short-answer',
    'garbage after': 'target-wrong-answer',
    'garbage instead': 'target-wrong-answer',
    'two lengths': 'target-wrong-answer',
    'wrong id': 'target-wrong-answer',
}


def closed_port():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'http://127.0.0.1:{sock.getsockname()[1]}'


async def read(reply):
    if reply.stream is None:
        return reply.body
    return b''.join([chunk async for chunk in reply.stream])


def check_truth(reply, sent, executions):
    """Assert what holds for every reply of every faulty target."""
    assert header(reply, 'request-id') == sent.request_id
    outcome = header(reply, 'oleanderridge-outcome')
    if outcome == 'not-run':
        assert executions == 0
    if sent.method in ('POST', 'PUT', 'DELETE', 'PATCH'):
        assert executions <= 1
    if outcome:
        problem = json.loads(reply.body)
        assert problem['outcome'] == outcome
        assert problem['reason'] == header(reply, 'oleanderridge-reason')
        assert problem['status'] == reply.status
        assert problem['request_id'] == sent.request_id


@pytest.mark.parametrize('echo', ['', 'Echo'])
@pytest.mark.parametrize('method', ['GET', 'POST', 'PUT', 'DELETE'])
@pytest.mark.parametrize('fault', BEHAVIOURS)
def test_faulty_target(fault, method, echo):
    """Guards against untruthful refusals, second runs and short bodies."""

    async def scenario():
        sent = request(method, body=b'' if method == 'GET' else b'x' * 100)
        async with (
            FaultyTarget(**BEHAVIOURS[fault]) as target,
            host(target.url, timeout_ms=200, echo_header=echo) as running,
        ):
            reply = await running.forwarder.handle(sent)
            check_truth(reply, sent, target.executions[sent.request_id])
            reason = REASONS.get(fault, '')
            if fault == 'wrong id' and not echo:
                reason = ''
            assert header(reply, 'oleanderridge-reason') == reason
            if not reason:
                assert reply.body == BODY
            assert running.forwarder.live() == 0
            assert len(running.released) == running.acquired
            assert not running.refunded

    asyncio.run(scenario())


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_refused_connection_is_not_run_and_another_target_serves(method):
    """Guards against giving up, or blaming the run, before commit."""

    async def scenario():
        async with (
            FaultyTarget() as target,
            host(closed_port(), target.url) as running,
        ):
            sent = request(method)
            reply = await running.forwarder.handle(sent)
            assert reply.body == BODY
            assert running.released == ['connect-failed', 'ok']
            running.urls = (closed_port(),)
            reply = await running.forwarder.handle(request(method))
            assert header(reply, 'oleanderridge-reason') == 'connect-failed'
            assert header(reply, 'oleanderridge-outcome') == 'not-run'
            assert len(running.refunded) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_refused_connection_after_a_reset_is_unknown(method):
    """Guards against a late refusal that hides an earlier committed try."""

    async def scenario():
        async with (
            FaultyTarget(faults.reset_after_work) as target,
            host(target.url, closed_port()) as running,
        ):
            sent = request(method)
            reply = await running.forwarder.handle(sent)
            check_truth(reply, sent, target.executions[sent.request_id])
            assert header(reply, 'oleanderridge-reason') == 'target-reset'

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('fault', 'ends'),
    [
        (faults.ok, True),
        (faults.short_body, False),
        (faults.no_final_chunk, False),
        (faults.reset_in_body, False),
    ],
)
def test_streamed_answer_is_whole_or_raises(fault, ends):
    """Guards against a short body that ends like a complete one."""

    async def scenario():
        async with (
            FaultyTarget(fault) as target,
            host(target.url, buffer_limit_bytes=64) as running,
        ):
            reply = await running.forwarder.handle(request('POST'))
            assert reply.stream is not None
            if ends:
                assert await read(reply) == BODY
            else:
                with pytest.raises(BrokenAnswerError, match=r'bytes|payload'):
                    await read(reply)
            assert running.released == ['ok' if ends else 'short']
            assert running.forwarder.live() == 0

    asyncio.run(scenario())


def test_stream_that_stalls_breaks_at_the_deadline():
    """Guards against a slot held by a body that never ends."""

    async def stall(_target, seen, writer):
        writer.write(faults.answer('x')[:-7])
        await writer.drain()
        await asyncio.sleep(30)

    async def scenario():
        async with (
            FaultyTarget(stall) as target,
            host(target.url, buffer_limit_bytes=64, timeout_ms=150) as running,
        ):
            reply = await running.forwarder.handle(request())
            with pytest.raises(BrokenAnswerError, match='deadline'):
                await read(reply)
            unread = await running.forwarder.handle(request())
            assert unread.stream is not None
            await running.until(lambda: running.forwarder.live() == 0)
            assert running.released == ['timeout', 'timeout']

    asyncio.run(scenario())


@pytest.mark.parametrize('status', ['204 No Content', '304 Not Modified'])
def test_answers_without_body_are_complete(status):
    """Guards against waiting for, or missing, bytes that are not due."""

    async def scenario():
        async def behave(_target, seen, writer):
            text = '200 OK' if seen.head.startswith(b'HEAD') else status
            head = f'HTTP/1.1 {text}\r\nContent-Length: 1000\r\n\r\n'
            writer.write(head.replace('Content-Length: 1000\r\n', '').encode())

        async def head_only(_target, seen, writer):
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n')

        async with (
            FaultyTarget(behave) as target,
            host(target.url, timeout_ms=300) as running,
        ):
            reply = await running.forwarder.handle(request())
            assert reply.status == int(status[:3])
            assert not header(reply, 'content-length')
            target.behave = head_only
            reply = await running.forwarder.handle(request('HEAD'))
            assert (reply.status, reply.body) == (200, b'')
            assert header(reply, 'content-length') == '1000'

    asyncio.run(scenario())


def test_late_answer_never_reaches_the_next_request():
    """Guards against an answer of a timed-out request on a reused link."""

    async def scenario():
        async def slow(target, seen, writer):
            if len(target.seen) == 2:
                await asyncio.sleep(0.2)
                writer.write(faults.answer(seen.header('Request-Id'), b'late'))
            else:
                await faults.ok(target, seen, writer)

        async with (
            FaultyTarget(slow) as target,
            host(target.url, echo_header='Echo') as running,
        ):
            assert (await running.forwarder.handle(request())).body == BODY
            assert (await running.forwarder.handle(request())).body == b'late'
            assert target.connections == 1
            target.seen.pop()
            limited = request(headers=[('Request-Deadline-Ms', '100')])
            reply = await running.forwarder.handle(limited)
            assert header(reply, 'oleanderridge-reason') == 'target-timeout'
            assert (await running.forwarder.handle(request())).body == BODY
            await asyncio.sleep(0.25)
            assert (await running.forwarder.handle(request())).body == BODY
            assert target.connections == 2

    asyncio.run(scenario())


def test_unsolicited_answer_on_an_idle_connection_is_discarded():
    """Guards against the repeated answer of the previous request."""

    async def scenario():
        async with (
            FaultyTarget(faults.answer_again_when_idle) as target,
            host(target.url, echo_header='Echo') as running,
        ):
            for _ in range(4):
                reply = await running.forwarder.handle(request())
                assert reply.body == BODY
                await asyncio.sleep(0.06)
            assert 'wrong' in running.released

    asyncio.run(scenario())


def test_crossed_answers_are_discarded():
    """Guards against two answers that arrive on each other's connection."""

    async def scenario():
        waiting = []

        async def cross(_target, seen, writer):
            waiting.append((seen.header('Request-Id'), writer))
            if len(waiting) == 2:
                first, second = waiting
                first[1].write(faults.answer(second[0]))
                second[1].write(faults.answer(first[0]))
                waiting.clear()

        async with (
            FaultyTarget(cross) as target,
            host(target.url, echo_header='Echo', timeout_ms=300) as running,
        ):
            replies = await asyncio.gather(
                running.forwarder.handle(request('POST')),
                running.forwarder.handle(request('POST')),
            )
            for reply in replies:
                reason = header(reply, 'oleanderridge-reason')
                assert reason == 'target-wrong-answer'

    asyncio.run(scenario())


def test_reuse_only_with_echo_and_only_for_safe_methods():
    """Guards against reuse where late bytes could not be told apart."""

    async def scenario():
        async with FaultyTarget() as target:
            async with host(target.url) as running:
                for _ in range(2):
                    await running.forwarder.handle(request())
                assert target.connections == 2
            async with host(target.url, echo_header='Echo') as running:
                for method in ('GET', 'GET', 'POST', 'POST'):
                    await running.forwarder.handle(request(method))
                assert target.connections == 5

    asyncio.run(scenario())


def test_commit_precedes_the_first_byte():
    """Guards against bytes that reach a target before the commit."""

    async def scenario():
        async with FaultyTarget() as target, host(target.url) as running:
            seen_at_commit = []
            send = running.client.send

            async def recording(attempt, on_commit):
                def commit():
                    seen_at_commit.append(len(target.seen))
                    on_commit()

                return await send(attempt, commit)

            running.client.send = recording
            await running.forwarder.handle(request('POST', body=b'x'))
            assert seen_at_commit == [0]
            assert len(target.seen) == 1

    asyncio.run(scenario())


def test_headers_towards_target_and_caller():
    """Guards against leaked keys, hop-by-hop headers and lost deadlines."""

    async def scenario():
        async def behave(_target, seen, writer):
            extra = (
                'Connection: x-own\r\nX-Own: 1\r\nSet-Cookie: a=1\r\n'
                'Set-Cookie: b=2\r\nOleanderridge-Outcome: not-run\r\n'
                'Content-Encoding: gzip\r\nLocation: /elsewhere\r\n'
            )
            text = faults.answer('x', extra=extra)
            writer.write(text.replace(b'200 OK', b'302 Found'))

        async with FaultyTarget(behave) as target, host(target.url) as running:
            sent = request(
                path='/a%2Fb%41',
                query='q=%20&api_key=key-of-mill',
                headers=[
                    ('Connection', 'x-hop'),
                    ('X-Hop', '1'),
                    ('TE', 'trailers'),
                    ('X-Text', 'Ã¼'),
                    ('Request-Id', 'forged'),
                    ('Request-Deadline-Ms', '700'),
                ],
            )
            reply = await running.forwarder.handle(sent)
            seen = target.seen[0]
            lines = seen.head.split(b'\r\n')
            assert lines[0] == b'GET /a%2Fb%41?q=%20 HTTP/1.1'
            assert 'X-Text: ü'.encode() in lines
            assert seen.header('Request-Id') == sent.request_id
            assert 600 < int(seen.header('Request-Deadline-Ms')) <= 700
            for name in ('x-hop', 'te', 'x-api-key', 'accept-encoding'):
                assert not seen.header(name)
            assert b'key-of-mill' not in seen.head
            assert (reply.status, reply.body) == (302, BODY)
            assert header(reply, 'content-encoding') == 'gzip'
            assert not header(reply, 'x-own')
            assert not header(reply, 'oleanderridge-outcome')
            assert [v for n, v in reply.headers if n == 'Set-Cookie'] == [
                'a=1',
                'b=2',
            ]
            await running.forwarder.handle(request())
            assert not target.seen[1].header('Cookie')
            assert len(target.seen) == 2

    asyncio.run(scenario())


def test_deadline_covers_the_queue():
    """Guards against a request that waits past its caller's deadline."""

    async def scenario():
        async with FaultyTarget() as target, host(target.url) as running:
            running.permit_wait = asyncio.Event()
            sent = request(headers=[('Request-Deadline-Ms', '50')])
            reply = await running.forwarder.handle(sent)
            assert header(reply, 'oleanderridge-reason') == 'deadline'
            assert header(reply, 'oleanderridge-outcome') == 'not-run'
            assert not target.seen
            assert len(running.refunded) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('path', 'method'),
    [('/open/../closed', 'GET'), ('/a/%2e%2E/b', 'GET'), ('/a', 'CONNECT')],
)
def test_ambiguous_requests_are_refused(path, method):
    """Guards against a target that resolves the path to another route."""

    async def scenario():
        async with FaultyTarget() as target, host(target.url) as running:
            reply = await running.forwarder.handle(request(method, path))
            assert header(reply, 'oleanderridge-reason') == 'bad-request'
            assert not target.seen

    asyncio.run(scenario())


def slow_answer(seconds):
    async def behave(target, seen, writer):
        await asyncio.sleep(seconds)
        await faults.ok(target, seen, writer)

    return behave


def test_caller_gone_after_commit_of_an_order():
    """Guards against losing the record of an order whose caller left."""

    async def scenario():
        async with (
            FaultyTarget(slow_answer(0.1)) as target,
            host(target.url) as running,
        ):
            key = [('Idempotency-Key', 'order-1')]
            task = asyncio.create_task(
                running.forwarder.handle(request('POST', headers=key))
            )
            await running.until(lambda: target.seen)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            repeated = await running.forwarder.handle(
                request('POST', headers=key)
            )
            reason = header(repeated, 'oleanderridge-reason')
            assert reason == 'duplicate-in-progress'
            await running.until(lambda: running.forwarder.live() == 0)
            replay = await running.forwarder.handle(
                request('POST', headers=key)
            )
            assert replay.body == BODY
            assert header(replay, 'idempotent-replay') == 'true'
            assert len(target.seen) == 1

    asyncio.run(scenario())


def test_caller_gone_cancels_reads_and_queued_orders():
    """Guards against work for nobody, and orders run after their caller."""

    async def scenario():
        async with (
            FaultyTarget(faults.never) as target,
            host(target.url) as running,
        ):
            task = asyncio.create_task(running.forwarder.handle(request()))
            await running.until(lambda: target.seen)
            task.cancel()
            await running.until(lambda: running.forwarder.live() == 0)
            assert running.released == ['unused']
            running.permit_wait = asyncio.Event()
            key = [('Idempotency-Key', 'order-2')]
            task = asyncio.create_task(
                running.forwarder.handle(request('POST', headers=key))
            )
            await running.until(lambda: len(running.register) == 1)
            task.cancel()
            await running.until(lambda: running.forwarder.live() == 0)
            running.permit_wait.set()
            assert len(target.seen) == 1
            assert len(running.register) == 0
            assert len(running.refunded) == 1

    asyncio.run(scenario())


def test_withdrawn_key():
    """Guards against revoked keys that stay in use, and broken orders."""

    async def scenario():
        async with (
            FaultyTarget(slow_answer(0.1)) as target,
            host(target.url) as running,
        ):
            handle = running.forwarder.handle
            order = asyncio.create_task(handle(request('POST')))
            read_task = asyncio.create_task(handle(request('GET')))
            await running.until(lambda: len(target.seen) == 2)
            running.permit_wait = asyncio.Event()
            queued = asyncio.create_task(handle(request('POST')))
            await asyncio.sleep(0.02)
            running.index = 'revoked'
            running.forwarder.on_bundle('revoked')
            reply = await queued
            assert header(reply, 'oleanderridge-reason') == 'key-unknown'
            assert header(reply, 'oleanderridge-outcome') == 'not-run'
            assert header(reply, 'connection') == 'close'
            reply = await read_task
            assert header(reply, 'oleanderridge-reason') == 'key-unknown'
            assert header(reply, 'oleanderridge-outcome') == 'unknown'
            reply = await order
            assert reply.body == BODY
            assert header(reply, 'connection') == 'close'
            assert len(target.seen) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_withdrawn_key_cuts_streams(method):
    """Guards against downloads that outlive their key."""

    async def scenario():
        finished = []

        async def slowly(_target, seen, writer):
            whole = faults.answer('x')
            writer.write(whole[:-7])
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.write(whole[-7:])
            await writer.drain()
            finished.append(not writer.is_closing())

        async with (
            FaultyTarget(slowly) as target,
            host(target.url, buffer_limit_bytes=64) as running,
        ):
            reply = await running.forwarder.handle(request(method))
            reading = asyncio.create_task(read(reply))
            await asyncio.sleep(0.03)
            running.forwarder.on_bundle('revoked')
            with pytest.raises(BrokenAnswerError, match='key-unknown'):
                await reading
            await running.until(lambda: running.forwarder.live() == 0)
            expected = 'ok' if method == 'POST' else 'unused'
            assert running.released == [expected]

    asyncio.run(scenario())


def test_idempotency_key_through_the_forwarder():
    """Guards against second runs, and replays to another request."""

    async def scenario():
        async with FaultyTarget() as target, host(target.url) as running:
            key = [('Idempotency-Key', 'order-3')]
            handle = running.forwarder.handle
            first = await handle(request('POST', headers=key, body=b'a'))
            again = await handle(request('POST', headers=key, body=b'a'))
            assert (again.status, again.body) == (first.status, first.body)
            assert header(again, 'idempotent-replay') == 'true'
            other = await handle(request('POST', headers=key, body=b'b'))
            assert header(other, 'oleanderridge-reason') == 'bad-request'
            target.behave = faults.reset_after_work
            lost = [('Idempotency-Key', 'order-4')]
            await handle(request('POST', headers=lost))
            target.behave = faults.ok
            again = await handle(request('POST', headers=lost))
            reason = header(again, 'oleanderridge-reason')
            assert reason == 'duplicate-unknown'
            assert len(target.seen) == 2
            running.urls = (closed_port(), closed_port(), target.url)
            freed = [('Idempotency-Key', 'order-5')]
            running.acquired = 0
            reply = await handle(request('POST', headers=freed))
            assert reply.body == BODY

    asyncio.run(scenario())
