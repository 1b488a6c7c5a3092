"""Tests of the HTTP server: limits, framing, disconnects and shutdown."""

import asyncio

from oleanderridge.http1.messages import Reply
from oleanderridge.http1.server import Edge, EdgeLimits


async def _echo(inbound):
    return Reply(200, [], inbound.method + b' ' + inbound.target + inbound.body)


def _run_conversation(conversation, handler=_echo, limits=None):
    """Run ``conversation`` with a new server and a connection to it."""

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


async def _read_response(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    return head, await reader.readexactly(length)


def test_pipelined_requests_are_answered_in_order():
    """Guards against responses in the wrong order."""

    async def conversation(_edge, reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n' * 2)
        writer.write(
            b'POST /2 HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nab'
        )
        return [(await _read_response(reader))[1] for _ in range(3)]

    assert _run_conversation(conversation) == [
        b'GET /1',
        b'GET /1',
        b'POST /2ab',
    ]


def test_conflicting_framing_headers_are_rejected():
    """Guards against request smuggling."""

    async def conversation(_edge, reader, writer):
        writer.write(
            b'POST /1 HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /2 HTTP/1.1\r\n'
            b'host: h\r\n\r\n'
        )
        return await reader.read()

    received = _run_conversation(conversation)
    assert received.startswith(b'HTTP/1.1 400')
    assert received.count(b'HTTP/1.1') == 1


def test_oversized_request_head_is_rejected():
    """Guards against request heads that exhaust the memory of a small host."""

    async def conversation(_edge, reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\nx: ' + b'y' * 70000)
        return await reader.read()

    assert _run_conversation(conversation).startswith(b'HTTP/1.1 431')


def test_oversized_body_is_rejected():
    """Guards against bodies that exhaust the memory of a small host."""
    limits = EdgeLimits()
    limits.body_bytes = 100

    async def conversation(_edge, reader, writer):
        writer.write(
            b'POST /1 HTTP/1.1\r\nhost: h\r\ncontent-length: 101\r\n\r\n'
        )
        return await reader.read()

    assert _run_conversation(conversation, limits=limits).startswith(
        b'HTTP/1.1 413'
    )


def test_slow_request_head_times_out():
    """Guards against slow clients that hold a file descriptor indefinitely."""
    limits = EdgeLimits()
    limits.header_timeout_s = 0.1

    async def conversation(_edge, reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nho')
        return await reader.read()

    assert _run_conversation(conversation, limits=limits).startswith(
        b'HTTP/1.1 408'
    )


def test_handler_is_notified_of_a_disconnect():
    """Guards against continuing work for disconnected callers."""
    disconnected = asyncio.Event()

    async def wait_for_disconnect(inbound):
        await inbound.gone
        disconnected.set()
        return Reply(200, [], b'')

    async def conversation(_edge, _reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.wait_for(disconnected.wait(), 1)
        return True

    assert _run_conversation(conversation, wait_for_disconnect)


def test_closing_server_completes_requests_before_closing():
    """Guards against requests that are lost while a host shuts down."""

    async def conversation(edge, reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        await _read_response(reader)
        writer.write(b'GET /2 HTTP/1.1\r\nhost: h\r\n\r\n')
        await asyncio.sleep(0.02)
        edge.begin_closing()
        return await reader.read()

    async def slow_handler(inbound):
        await asyncio.sleep(0.05)
        return await _echo(inbound)

    received = _run_conversation(conversation, slow_handler)
    assert b'GET /2' in received
    assert b'connection: close' in received.lower()


def test_handler_exception_returns_502():
    """Guards against closing the connection where a status can be sent."""

    async def failing_handler(_inbound):
        raise ValueError('fault in the handler')

    async def conversation(_edge, reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        return (await _read_response(reader))[0]

    assert _run_conversation(conversation, failing_handler).startswith(
        b'HTTP/1.1 502'
    )


def test_response_to_head_has_a_length_and_no_body():
    """Guards against a body in place of the next response."""

    async def conversation(_edge, reader, writer):
        writer.write(b'HEAD /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        head = await reader.readuntil(b'\r\n\r\n')
        writer.write(b'GET /2 HTTP/1.1\r\nhost: h\r\n\r\n')
        return head, await _read_response(reader)

    head, (_, body) = _run_conversation(conversation)
    assert b'content-length: 7' in head
    assert body == b'GET /2'


def test_chunked_request_body_is_read_completely():
    """Guards against passing a partial body to the handler."""

    async def conversation(_edge, reader, writer):
        writer.write(
            b'POST /1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n'
            b'\r\n3\r\nabc\r\n'
        )
        await asyncio.sleep(0.02)
        writer.write(b'2\r\nde\r\n0\r\n\r\n')
        return (await _read_response(reader))[1]

    assert _run_conversation(conversation) == b'POST /1abcde'


_LARGE_BODY = bytes(1 << 24)


async def _read_slowly(reader):
    """Read to the end of the stream more slowly than the kernel takes it."""
    received = b''
    while part := await reader.read(1 << 18):
        received += part
        await asyncio.sleep(0.002)
    return received


def test_a_closing_server_waits_for_slow_callers():
    """Guards against answers that end in the buffers of a stopped host."""

    async def answer_large(_inbound):
        return Reply(200, [], _LARGE_BODY)

    async def conversation(edge, reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        await asyncio.sleep(0.05)
        edge.begin_closing()
        edge.stop_listening()
        receiving = asyncio.create_task(_read_slowly(reader))
        await asyncio.sleep(0.05)
        assert edge.live() == 0
        assert edge.unsent_bytes() > 0
        closed = await edge.wait_closed(asyncio.get_running_loop().time() + 4)
        assert closed
        assert edge.unsent_bytes() == 0
        return await receiving

    received = _run_conversation(conversation, answer_large)
    assert received.endswith(_LARGE_BODY)


def test_a_closing_server_ends_its_wait_for_callers_that_do_not_read():
    """Guards against a caller that keeps a stopping host from its end."""

    async def answer_large(_inbound):
        return Reply(200, [], _LARGE_BODY)

    async def conversation(edge, _reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        await asyncio.sleep(0.1)
        return await edge.wait_closed(asyncio.get_running_loop().time() + 0.3)

    assert not _run_conversation(conversation, answer_large)


def test_a_stopped_server_closes_connections_without_a_request():
    """Guards against callers that delay the end of a host with idle ones."""

    async def conversation(edge, reader, _writer):
        edge.begin_closing()
        edge.stop_listening()
        closed = await edge.wait_closed(asyncio.get_running_loop().time() + 1)
        return closed, await reader.read()

    assert _run_conversation(conversation) == (True, b'')


def test_a_request_that_never_arrives_whole_is_refused_at_the_end():
    """Guards against a close without an answer after a part was read."""

    async def conversation(edge, reader, writer):
        writer.write(
            b'POST /1 HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nhalf'
        )
        await asyncio.sleep(0.05)
        edge.begin_closing()
        edge.stop_listening()
        assert not await edge.wait_closed(asyncio.get_running_loop().time())
        edge.refuse_unread()
        return await reader.read()

    assert _run_conversation(conversation).startswith(b'HTTP/1.1 503')


def test_a_request_on_a_kept_connection_crosses_no_close():
    """Guards against a close on a connection that a caller is using."""

    async def conversation(edge, reader, writer):
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        await _read_response(reader)
        edge.begin_closing()
        await asyncio.sleep(0.02)
        writer.write(b'GET /2 HTTP/1.1\r\nhost: h\r\n\r\n')
        return await reader.read()

    received = _run_conversation(conversation)
    assert received.endswith(b'GET /2')
    assert b'connection: close' in received.lower()


def test_a_caller_that_has_its_answer_delays_no_end():
    """Guards against a host that is killed while it waits for idle callers."""

    async def conversation(edge, reader, writer):
        edge.begin_closing()
        writer.write(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        await _read_response(reader)
        # The caller keeps its side open.
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert await edge.wait_sent(began + 0.8)
        assert edge.connections
        return loop.time() - began

    assert _run_conversation(conversation) < 0.5
