"""Tests of the end of the HTTP server of ``serve``."""

import asyncio
import socket

from bench.processes import wait_until
from oleanderridge.runtime.http import make_server

_LARGE_BODY = bytes(1 << 24)


async def _answer_large(_scope, _receive, send):
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': _LARGE_BODY})


def _started(server):
    async def started():
        return server.started

    return started


def _free_port():
    with socket.socket() as free:
        free.bind(('127.0.0.1', 0))
        return free.getsockname()[1]


def test_a_server_that_exits_sends_its_answers_whole():
    """Guards against downloads that end in the buffers of a stopped host."""

    async def run():
        port = _free_port()
        server = make_server(_answer_large, '127.0.0.1', port)
        serving = asyncio.create_task(server.serve())
        await wait_until(_started(server), 5, 'the server has started')
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
        received = await reader.read(1)
        server.should_exit = True
        while part := await reader.read(1 << 18):
            received += part
            await asyncio.sleep(0.02)
        writer.close()
        await asyncio.wait_for(serving, 5)
        return received

    assert len(asyncio.run(run())) > len(_LARGE_BODY)
