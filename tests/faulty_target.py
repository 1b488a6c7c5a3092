"""A raw HTTP target that fails in a chosen way and counts executions."""

import asyncio
import socket
import struct
from collections import Counter
from typing import NamedTuple

BODY = b'complete answer ' * 64


class Seen(NamedTuple):
    """One request as it arrived."""

    head: bytes
    body: bytes

    def header(self, name):
        """Return one header's value or an empty text."""
        for line in self.head.decode().split('\r\n')[1:]:
            key, _, value = line.partition(':')
            if key.lower() == name.lower():
                return value.strip()
        return ''


def answer(request_id, body=BODY, extra=''):
    """Return a whole answer that echoes the request id."""
    return (
        f'HTTP/1.1 200 OK\r\nEcho: {request_id}\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def reset(writer):
    """Close the connection with a TCP reset."""
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


class FaultyTarget:
    """Counts a request as executed once all of its bytes are there.

    ``behave(target, seen, writer)`` writes the answer; ``on_connect(reader,
    writer)`` may break the connection first.
    """

    def __init__(self, behave=None, on_connect=None):
        self.behave = behave or ok
        self.on_connect = on_connect
        self.executions = Counter()
        self.seen = []
        self.connections = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{self.port}'
        return self

    async def __aexit__(self, *_error):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            if self.on_connect is not None:
                await self.on_connect(reader, writer)
            while not writer.is_closing():
                seen = await self._request(reader)
                self.seen.append(seen)
                self.executions[seen.header('Request-Id')] += 1
                await self.behave(self, seen, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _request(self, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        seen = Seen(head, b'')
        length = int(seen.header('Content-Length') or 0)
        return Seen(head, await reader.readexactly(length))


async def ok(_target, seen, writer):
    writer.write(answer(seen.header('Request-Id')))


async def reset_on_connect(_reader, writer):
    reset(writer)


async def reset_during_request(reader, writer):
    await reader.readexactly(20)
    reset(writer)


async def reset_after_work(_target, _seen, writer):
    reset(writer)


async def never(_target, _seen, _writer):
    await asyncio.sleep(30)


async def short_body(_target, seen, writer):
    writer.write(answer(seen.header('Request-Id'))[:-7])
    writer.close()


async def reset_in_body(_target, seen, writer):
    writer.write(answer(seen.header('Request-Id'))[:-7])
    await writer.drain()
    await asyncio.sleep(0.02)
    reset(writer)


async def no_final_chunk(_target, seen, writer):
    head = f'HTTP/1.1 200 OK\r\nEcho: {seen.header("Request-Id")}\r\n'
    writer.write(head.encode() + b'Transfer-Encoding: chunked\r\n\r\n')
    writer.write(b'400\r\n' + BODY + b'\r\n')
    writer.close()


async def no_length(_target, seen, writer):
    head = f'HTTP/1.1 200 OK\r\nEcho: {seen.header("Request-Id")}\r\n\r\n'
    writer.write(head.encode() + BODY[:-7])
    writer.close()


async def garbage_after(_target, seen, writer):
    writer.write(answer(seen.header('Request-Id')) + b'\x00garbage\r\n\r\n')


async def garbage_instead(_target, _seen, writer):
    writer.write(b'\x16\x03\x01 not HTTP\r\n\r\n')


async def two_lengths(_target, seen, writer):
    extra = 'Transfer-Encoding: chunked\r\n'
    writer.write(answer(seen.header('Request-Id'), extra=extra))


async def wrong_id(_target, seen, writer):
    writer.write(answer('another-id'))


async def answer_again_when_idle(target, seen, writer):
    """Answer, and send the same answer once more on the idle connection."""
    writer.write(answer(seen.header('Request-Id'), seen.body or BODY))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.write(answer(seen.header('Request-Id'), b'stale'))
