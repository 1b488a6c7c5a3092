"""A machine's own link: a proxy that passes answers at its bandwidth."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

from standins.http1 import split

_SEGMENT_BYTES = 1400
_WINDOW_BYTES = 16384
_PIECE_BYTES = 8192


class Link:
    """Stands between requesters and a host.

    Parameters
    ----------
    far : str
        Front address of the host.
    mbps : float
        Bandwidth towards the requesters in megabits per second, shared by
        all connections.
    """

    def __init__(self, far: str, mbps: float) -> None:
        self.address = ''
        self._far = far
        self._bytes_per_s = mbps * 1e6 / 8
        self._free_at = 0.0
        self._server: asyncio.Server | None = None

    async def start(self, host: str = '127.0.0.1') -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        far = socket.socket()
        # As on an Ethernet link, not as on the loopback interface.
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
        far.setblocking(False)
        tasks = []
        try:
            await loop.sock_connect(far, split(self._far))
            tasks = [
                asyncio.create_task(self._pass_on(reader, far)),
                asyncio.create_task(self._pass_back(far, writer)),
            ]
            await tasks[1]
        except OSError:
            # A reset is passed on as a reset.
            writer.transport.abort()
        finally:
            for task in tasks:
                task.cancel()
            far.close()
            writer.close()

    async def _pass_on(
        self, reader: asyncio.StreamReader, far: socket.socket
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while piece := await reader.read(_PIECE_BYTES):
                await loop.sock_sendall(far, piece)
            far.shutdown(socket.SHUT_WR)

    async def _pass_back(
        self, far: socket.socket, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        while piece := await loop.sock_recv(far, _PIECE_BYTES):
            now = time.monotonic()
            self._free_at = max(now, self._free_at)
            self._free_at += len(piece) / self._bytes_per_s
            await asyncio.sleep(self._free_at - now)
            writer.write(piece)
            await writer.drain()
