"""TCP proxy whose links delay, cut, silence or throttle each direction.

Links and their faults are set over HTTP at the control port. Bytes that
arrive during silence are kept and forwarded when it ends, as TCP does after
a partition; a connection accepted during silence is established afterwards.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from typing import NamedTuple

from aiohttp import web

from bench.sockets import reset

_READ_BYTES = 65_536
_BACKLOG = 1_024
DIRECTIONS = ('forward', 'back')


class LinkFaults(NamedTuple):
    """Faults of one direction; the defaults are a correct link.

    ``delay_s`` in seconds, ``bandwidth`` in bytes per second (0: not
    limited). ``cut`` resets a connection when bytes arrive in the direction;
    in the forward direction it also resets new connections.
    """

    delay_s: float = 0
    cut: bool = False
    silence: bool = False
    bandwidth: float = 0


class Chunk(NamedTuple):
    """Bytes in transit and when they arrived; empty at the end."""

    arrived_at: float
    content: bytes


class Link:
    """One listener, the address it leads to and its faults."""

    def __init__(self, name: str, listen: int, connect: str) -> None:
        self.name = name
        self.listen = listen
        self.connect = connect
        self.faults = {name: LinkFaults() for name in DIRECTIONS}
        self.bytes = dict.fromkeys(DIRECTIONS, 0)
        self.connections = 0
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    def set_faults(self, faults: dict[str, dict]) -> None:
        """Replace the faults of both directions."""
        for direction in DIRECTIONS:
            self.faults[direction] = LinkFaults(**faults.get(direction, {}))
        self.changed.set()
        self.changed = asyncio.Event()

    def report(self) -> dict:
        """Return addresses, faults and counts."""
        return {
            'name': self.name,
            'listen': self.listen,
            'connect': self.connect,
            'connections': self.connections,
            'bytes': self.bytes,
            'faults': {
                direction: faults._asdict()
                for direction, faults in self.faults.items()
            },
        }


async def _audible(link: Link, direction: str) -> None:
    """Wait for the end of silence in one direction."""
    while link.faults[direction].silence:
        await link.changed.wait()


async def _receive(
    reader: asyncio.StreamReader, queue: asyncio.Queue[Chunk]
) -> None:
    """Accept bytes without regard to how fast they are forwarded."""
    while True:
        content = await reader.read(_READ_BYTES)
        queue.put_nowait(Chunk(time.monotonic(), content))
        if not content:
            return


async def _deliver(
    link: Link,
    direction: str,
    writer: asyncio.StreamWriter,
    queue: asyncio.Queue[Chunk],
) -> None:
    """Forward the accepted bytes under the faults of the direction."""
    while True:
        chunk = await queue.get()
        if link.faults[direction].cut and chunk.content:
            raise ConnectionResetError(link.name)
        due = chunk.arrived_at + link.faults[direction].delay_s
        await asyncio.sleep(max(0, due - time.monotonic()))
        await _audible(link, direction)
        if not chunk.content:
            writer.write_eof()
            return
        writer.write(chunk.content)
        await writer.drain()
        link.bytes[direction] += len(chunk.content)
        bandwidth = link.faults[direction].bandwidth
        if bandwidth > 0:
            await asyncio.sleep(len(chunk.content) / bandwidth)


async def _pump(
    link: Link,
    direction: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    queue: asyncio.Queue[Chunk] = asyncio.Queue()
    async with asyncio.TaskGroup() as group:
        group.create_task(_receive(reader, queue))
        group.create_task(_deliver(link, direction, writer, queue))


async def _join(
    link: Link,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Connect to the far side and forward in both directions."""
    if link.faults['forward'].cut:
        raise ConnectionResetError(link.name)
    for direction in DIRECTIONS:
        await _audible(link, direction)
    address, port = link.connect.rsplit(':', 1)
    far_reader, far_writer = await asyncio.open_connection(address, int(port))
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(_pump(link, 'forward', reader, far_writer))
            group.create_task(_pump(link, 'back', far_reader, writer))
    except BaseException:
        reset(far_writer.transport)
        raise
    far_writer.close()


async def _serve(
    link: Link,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Serve one accepted connection until both directions have ended."""
    link.connections += 1
    try:
        await _join(link, reader, writer)
    except* (OSError, RuntimeError):
        # RuntimeError: the transport closed between two writes.
        reset(writer.transport)
    finally:
        link.connections -= 1
        writer.close()


async def open_link(link: Link, address: str) -> None:
    """Listen at the link's port.

    Parameters
    ----------
    link : Link
        The link to open.
    address : str
        Address of the listener.
    """

    async def accepted(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _serve(link, reader, writer)

    link.server = await asyncio.start_server(
        accepted, address, link.listen, backlog=_BACKLOG
    )


LINKS = web.AppKey('links', dict[str, Link])
ADDRESS = web.AppKey('address', str)


async def control_open(request: web.Request) -> web.Response:
    """Open a link from ``listen`` (port) to ``connect`` (host:port)."""
    name = request.match_info['name']
    values = await request.json()
    link = Link(name, values['listen'], values['connect'])
    await open_link(link, request.app[ADDRESS])
    request.app[LINKS][name] = link
    return web.json_response(link.report())


async def control_faults(request: web.Request) -> web.Response:
    """Replace the faults of a link; ``{}`` clears them."""
    link = request.app[LINKS][request.match_info['name']]
    link.set_faults(await request.json())
    return web.json_response(link.report())


async def control_links(request: web.Request) -> web.Response:
    """Report every link."""
    links = request.app[LINKS]
    return web.json_response(
        {name: link.report() for name, link in links.items()}
    )


async def _close_links(app: web.Application) -> None:
    for link in app[LINKS].values():
        if link.server is not None:
            link.server.close()


def build_app(address: str) -> web.Application:
    """Return the control application; its links listen at ``address``."""
    app = web.Application()
    app[LINKS] = {}
    app[ADDRESS] = address
    app.add_routes(
        [
            web.put('/links/{name}', control_open),
            web.put('/links/{name}/faults', control_faults),
            web.get('/links', control_links),
        ]
    )
    app.on_cleanup.append(_close_links)
    return app


def main() -> None:
    """Serve until a signal arrives."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--address', default='127.0.0.1')
    parser.add_argument('--control-port', type=int, required=True)
    arguments = parser.parse_args()
    web.run_app(
        build_app(arguments.address),
        host=arguments.address,
        port=arguments.control_port,
        shutdown_timeout=0.1,
        access_log=None,
        print=None,
    )


if __name__ == '__main__':
    main()
