"""The path between two parts of a fleet, which can be cut.

The hosts of the two parts use different ports for their own traffic, so that
what one part sends to the other arrives here. It is passed on unchanged, and
each datagram comes from the address of the host that sent it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

_PIECE_BYTES = 65536


class Bridge:
    """Passes the hosts' own traffic between two parts of a fleet.

    Parameters
    ----------
    first : list of str
        Addresses of the hosts of one part.
    second : list of str
        Addresses of the hosts of the other.
    ports : tuple of int
        Ports for traffic between hosts, of the first and the second part.
    """

    def __init__(
        self, first: list[str], second: list[str], ports: tuple[int, int]
    ) -> None:
        # Set while what the first part sends arrives, and the second.
        self._arrives = [asyncio.Event(), asyncio.Event()]
        self.cut()
        self._parts = (first, second)
        self._ports = ports
        self._sockets: list[socket.socket] = []
        self._servers: list[asyncio.Server] = []
        self._senders: dict[str, socket.socket] = {}

    async def start(self) -> None:
        """Begin to pass traffic on."""
        first, second = self._parts
        for host in second:
            await self._open(host, 0)
        for host in first:
            await self._open(host, 1)

    def cut(self, *parts: int) -> None:
        """Lose what these parts send, and nothing else."""
        for part, arrives in enumerate(self._arrives):
            if part in parts:
                arrives.clear()
            else:
                arrives.set()

    def stop(self) -> None:
        """Close all sockets."""
        loop = asyncio.get_running_loop()
        for opened in self._sockets:
            loop.remove_reader(opened)
            opened.close()
        for server in self._servers:
            server.close()
        for sender in self._senders.values():
            sender.close()

    async def _open(self, host: str, sender: int) -> None:
        """Take what one part sends to a host of the other."""
        port, far = self._ports[sender], (host, self._ports[1 - sender])
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.bind((host, port))
        self._sockets.append(opened)
        asyncio.get_running_loop().add_reader(
            opened, self._pass_datagrams, opened, far, sender
        )

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._pass_stream(reader, writer, far, sender)

        self._servers.append(await asyncio.start_server(serve, host, port))

    def _pass_datagrams(
        self, opened: socket.socket, far: tuple[str, int], sender: int
    ) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                content, origin = opened.recvfrom(_PIECE_BYTES)
                if self._arrives[sender].is_set():
                    with contextlib.suppress(OSError):
                        self._sender(origin[0]).sendto(content, far)

    def _sender(self, host: str) -> socket.socket:
        if host not in self._senders:
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sender.setblocking(False)
            sender.bind((host, 0))
            self._senders[host] = sender
        return self._senders[host]

    async def _pass_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        far: tuple[str, int],
        sender: int,
    ) -> None:
        with contextlib.closing(writer), contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(*far)
            with contextlib.closing(far_writer):
                await asyncio.gather(
                    self._pass_bytes(reader, far_writer, sender),
                    self._pass_bytes(far_reader, writer, 1 - sender),
                )

    async def _pass_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: int,
    ) -> None:
        while piece := await reader.read(_PIECE_BYTES):
            await self._arrives[sender].wait()
            writer.write(piece)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
