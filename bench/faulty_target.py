"""A raw HTTP target that fails in a chosen way and counts executions."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

BODY: Final = b'complete answer ' * 64

_READ_LIMIT: Final = 1 << 20
_FOREVER_S: Final = 30
_PAUSE_S: Final = 0.02
_PART: Final = 20
_MISSING: Final = 7


class Seen(NamedTuple):
    """One request as it arrived."""

    head: bytes
    body: bytes

    def header(self, name: str) -> str:
        """Return one header's value.

        Parameters
        ----------
        name : str
            In any case.

        Returns
        -------
        str
            Empty when the request has no such header.
        """
        for line in self.head.decode().split('\r\n')[1:]:
            key, _, value = line.partition(':')
            if key.lower() == name.lower():
                return value.strip()
        return ''


Behaviour = Callable[['FaultyTarget', Seen, asyncio.StreamWriter], Any]
OnConnect = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def answer(request_id: str, body: bytes = BODY, extra: str = '') -> bytes:
    """Return a whole answer.

    Parameters
    ----------
    request_id : str
        The id that the ``Echo`` header repeats.
    body : bytes
        The body.
    extra : str
        Further header lines, each with its line end.

    Returns
    -------
    bytes
        Head and body.
    """
    head = (
        f'HTTP/1.1 200 OK\r\nEcho: {request_id}\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return b''.join((head.encode(), body))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset.

    Parameters
    ----------
    writer : StreamWriter
        The connection.
    """
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


class FaultyTarget:
    """Serves on a loopback port.

    Parameters
    ----------
    behave : callable
        ``behave(target, seen, writer)`` writes the answer to one request.
    on_connect : callable or None
        ``on_connect(reader, writer)`` may break a new connection first.

    Attributes
    ----------
    executions : Counter
        By request id: how often all bytes of the request arrived.
    seen : list of Seen
        The requests in order of arrival.
    connections : int
        How many connections were accepted.
    """

    def __init__(
        self,
        behave: Behaviour | None = None,
        on_connect: OnConnect | None = None,
    ) -> None:
        self.behave = behave or complete
        self.on_connect = on_connect
        self.executions: Counter[str] = Counter()
        self.seen: list[Seen] = []
        self.connections = 0
        self.url = ''
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> FaultyTarget:
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=_READ_LIMIT
        )
        port = self._server.sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'
        return self

    async def __aexit__(self, *_error: object) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await self._requests(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            # The client has closed the connection.
            return
        finally:
            writer.close()

    async def _requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.on_connect is not None:
            await self.on_connect(reader, writer)
        while not writer.is_closing():
            seen = await _read_request(reader)
            self.seen.append(seen)
            self.executions[seen.header('Request-Id')] += 1
            await self.behave(self, seen, writer)
            await writer.drain()


async def _read_request(reader: asyncio.StreamReader) -> Seen:
    seen = Seen(await reader.readuntil(b'\r\n\r\n'), b'')
    length = int(seen.header('Content-Length') or 0)
    return seen._replace(body=await reader.readexactly(length))


def after(seconds: float) -> Behaviour:
    """Return the behaviour that works for a while and answers.

    Parameters
    ----------
    seconds : float
        Time between the request and its answer.

    Returns
    -------
    Behaviour
        For ``FaultyTarget``.
    """

    async def behave(
        _target: FaultyTarget, seen: Seen, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(seconds)
        writer.write(answer(seen.header('Request-Id')))

    return behave


def writes(text: Callable[[str], bytes], end: str = '') -> Behaviour:
    """Return the behaviour that writes given bytes.

    Parameters
    ----------
    text : callable
        From the request id to what is written.
    end : str
        What follows: nothing, ``close`` or ``reset``.

    Returns
    -------
    Behaviour
        For ``FaultyTarget``.
    """

    async def behave(
        _target: FaultyTarget, seen: Seen, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(text(seen.header('Request-Id')))
        await writer.drain()
        if end == 'close':
            writer.close()
        elif end == 'reset':
            await asyncio.sleep(_PAUSE_S)
            reset(writer)

    return behave


def without_framing(request_id: str, framing: str = '') -> bytes:
    """Return an answer whose length is not stated.

    Parameters
    ----------
    request_id : str
        The echoed id.
    framing : str
        Header lines that stand in place of the length.

    Returns
    -------
    bytes
        Head and one chunk.
    """
    head = f'HTTP/1.1 200 OK\r\nEcho: {request_id}\r\n{framing}\r\n400\r\n'
    return b''.join((head.encode(), BODY, b'\r\n'))


async def _reset_on_connect(_reader: Any, writer: asyncio.StreamWriter) -> None:
    reset(writer)


async def _reset_in_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readexactly(_PART)
    reset(writer)


def _short(request_id: str) -> bytes:
    return answer(request_id)[:-_MISSING]


def _chunked(request_id: str) -> bytes:
    return without_framing(request_id, 'Transfer-Encoding: chunked\r\n')


def _coded(request_id: str) -> bytes:
    framing = 'Transfer-Encoding: gzip, chunked\r\n'
    return b''.join((without_framing(request_id, framing), b'0\r\n\r\n'))


def _two_lengths(request_id: str) -> bytes:
    return answer(request_id, extra='Content-Length: 9\r\n')


def _garbage_after(request_id: str) -> bytes:
    return b''.join((answer(request_id), b'\x00garbage\r\n\r\n'))


complete: Final = after(0)
reset_after_work: Final = writes(lambda _id: b'', 'reset')

#: Arguments of a target by the name of its fault.
FAULTS: Final = {
    'none': {},
    'reset on connect': {'on_connect': _reset_on_connect},
    'reset in request': {'on_connect': _reset_in_request},
    'reset after work': {'behave': reset_after_work},
    'reset in body': {'behave': writes(_short, 'reset')},
    'timeout': {'behave': after(_FOREVER_S)},
    'short body': {'behave': writes(_short, 'close')},
    'no final chunk': {'behave': writes(_chunked, 'close')},
    'no length': {'behave': writes(without_framing, 'close')},
    'garbage after': {'behave': writes(_garbage_after)},
    'garbage instead': {'behave': writes(lambda _id: b'\x16\x03 no\r\n\r\n')},
    'two lengths': {'behave': writes(_two_lengths)},
    'unknown coding': {'behave': writes(_coded)},
    'wrong id': {'behave': writes(lambda _id: answer('another'))},
}
