"""A target that plays back bytes, for tests of the HTTP edges."""

import asyncio
import contextlib


class StubTarget:
    """Serves connections with a script of the test.

    Parameters
    ----------
    play : callable
        Coroutine function of reader, writer and the number of the
        connection, counted from 0.
    """

    def __init__(self, play):
        self._play = play
        self._server = None
        self.connections = 0
        self.heads = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self

    async def __aexit__(self, *_):
        self._server.close()

    @property
    def address(self):
        """Address and port of the target."""
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def _serve(self, reader, writer):
        number = self.connections
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self._play(self, reader, writer, number)
        writer.close()

    async def read_request(self, reader):
        """Read one request, keep its head and return it with its body."""
        head = await reader.readuntil(b'\r\n\r\n')
        self.heads.append(head)
        length = 0
        for line in head.split(b'\r\n'):
            if line.lower().startswith(b'content-length:'):
                length = int(line.partition(b':')[2])
        return head, await reader.readexactly(length)


def answer(body=b'ok', status=200, attempt='a1', extra=b'', length=None):
    """Return the bytes of a signed answer."""
    length = len(body) if length is None else length
    return (
        b'HTTP/1.1 %d X\r\n'
        b'oleanderridge-attempt-id: %s\r\n'
        b'oleanderridge-response-signature: s\r\n'
        b'%s'
        b'content-length: %d\r\n\r\n%s'
        % (status, attempt.encode(), extra, length, body)
    )
