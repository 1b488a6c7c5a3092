"""What callers may send, and what they get, at the edge to callers."""

import asyncio

from oleanderridge.http1.messages import Reply
from oleanderridge.http1.server import Edge, EdgeLimits


async def _echo(inbound):
    return Reply(200, [], inbound.method + b' ' + inbound.target + inbound.body)


def _talk(conversation, handler=_echo, limits=None):
    """Run a coroutine function of an edge, a reader and a writer."""

    async def run():
        edge = Edge(handler, limits or EdgeLimits())
        await edge.listen('127.0.0.1:0')
        port = edge._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            return await asyncio.wait_for(conversation(edge, reader, writer), 5)
        finally:
            writer.close()
            edge.stop_listening()

    return asyncio.run(run())


async def _answer(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    return head, await reader.readexactly(length)


def test_pipelined_requests_are_answered_in_order():
    """Guards against answers that change places."""

    async def conversation(_edge, reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n' * 2)
        writer.write(
            b'POST /2 HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nab'
        )
        return [(await _answer(reader))[1] for _ in range(3)]

    assert _talk(conversation) == [b'GET /1', b'GET /1', b'POST /2ab']


def test_two_framings_of_a_body_are_refused():
    """Guards against a request smuggled inside another."""

    async def conversation(_edge, reader, writer):
        writer.write(
            b'POST /1 HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /2 HTTP/1.1\r\n'
            b'host: h\r\n\r\n'
        )
        return await reader.read()

    got = _talk(conversation)
    assert got.startswith(b'HTTP/1.1 400')
    assert got.count(b'HTTP/1.1') == 1


def test_a_head_over_its_limit_is_refused():
    """Guards against heads that fill the memory of a small host."""

    async def conversation(_edge, reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\nx: ' + b'y' * 70000)
        return await reader.read()

    assert _talk(conversation).startswith(b'HTTP/1.1 431')


def test_a_body_over_its_limit_is_refused():
    """Guards against bodies that fill the memory of a small host."""
    limits = EdgeLimits()
    limits.body_bytes = 100

    async def conversation(_edge, reader, writer):
        writer.write(
            b'POST /1 HTTP/1.1\r\nhost: h\r\ncontent-length: 101\r\n\r\n'
        )
        return await reader.read()

    assert _talk(conversation, limits=limits).startswith(b'HTTP/1.1 413')


def test_a_slow_head_ends_with_its_time():
    """Guards against connections that hold a descriptor for ever."""
    limits = EdgeLimits()
    limits.header_timeout_s = 0.1

    async def conversation(_edge, reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nho')
        return await reader.read()

    assert _talk(conversation, limits=limits).startswith(b'HTTP/1.1 408')


def test_a_caller_that_leaves_is_noticed_while_its_request_is_handled():
    """Guards against work for callers that have gone."""
    left = asyncio.Event()

    async def wait(inbound):
        await inbound.gone
        left.set()
        return Reply(200, [], b'')

    async def conversation(_edge, _reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.wait_for(left.wait(), 1)
        return True

    assert _talk(conversation, wait)


def test_a_closing_edge_answers_what_it_reads_and_then_closes():
    """Guards against requests lost while a host leaves."""

    async def conversation(edge, reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        await _answer(reader)
        writer.write(b'GET /2 HTTP/1.1\r\nhost: h\r\n\r\n')
        await asyncio.sleep(0.02)
        edge.begin_closing()
        return await reader.read()

    async def slow(inbound):
        await asyncio.sleep(0.05)
        return await _echo(inbound)

    got = _talk(conversation, slow)
    assert b'GET /2' in got
    assert b'connection: close' in got.lower()


def test_a_failing_handler_promises_nothing():
    """Guards against a closed connection where a status can be told."""

    async def fail(_inbound):
        raise ValueError('a fault of the handler')

    async def conversation(_edge, reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        return (await _answer(reader))[0]

    assert _talk(conversation, fail).startswith(b'HTTP/1.1 502')


def test_an_answer_to_head_has_the_length_and_no_body():
    """Guards against a body where the next answer is due."""

    async def conversation(_edge, reader, writer):
        writer.write(b'HEAD /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        head = await reader.readuntil(b'\r\n\r\n')
        writer.write(b'GET /2 HTTP/1.1\r\nhost: h\r\n\r\n')
        return head, await _answer(reader)

    head, (_, body) = _talk(conversation)
    assert b'content-length: 7' in head
    assert body == b'GET /2'


def test_chunked_bodies_are_read_whole():
    """Guards against a body passed on in part."""

    async def conversation(_edge, reader, writer):
        writer.write(
            b'POST /1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n'
            b'\r\n3\r\nabc\r\n'
        )
        await asyncio.sleep(0.02)
        writer.write(b'2\r\nde\r\n0\r\n\r\n')
        return (await _answer(reader))[1]

    assert _talk(conversation) == b'POST /1abcde'
