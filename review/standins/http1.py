"""Reads and writes HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from dataclasses import dataclass, field

_HEAD_LIMIT = 1 << 16


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Exchange:
    """What a requester saw of one request; times are monotonic seconds.

    ``sent_at`` is when the last byte of the request was written.
    ``complete`` is whether a whole answer arrived.
    """

    attempt: str
    began_at: float
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    complete: bool = False
    error: str = ''


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    start, *lines = head.decode('latin-1').split('\r\n')
    pairs = [line.partition(':') for line in lines if line]
    return start, {name.lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return the next request, or None at the end of the connection."""
    try:
        start, headers = await read_head(reader)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(start, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    pieces = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        if not size:
            while (await reader.readline()).strip():
                pass
            return b''.join(pieces)
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)


def response(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} S']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def request(
    method: str, path: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return the bytes of a request; a body is sent with its length."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def split(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


async def send(
    address: str,
    content: bytes,
    attempt: str,
    limit_s: float,
) -> Exchange:
    """Send a request on a new connection and read the answer.

    Parameters
    ----------
    address : str
        IP address and port.
    content : bytes
        The whole request.
    attempt : str
        Its id, for the result.
    limit_s : float
        Seconds after which the requester gives up.

    Returns
    -------
    Exchange
        What was seen; ``error`` says why there is no complete answer.
    """
    seen = Exchange(attempt, time.monotonic())
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                *split(address), limit=_HEAD_LIMIT
            )
            writer.write(content)
            await writer.drain()
            seen.sent_at = time.monotonic()
            await read_answer(reader, seen)
    except TimeoutError:
        seen.error = 'time limit of the requester reached'
    except (OSError, EOFError, ValueError) as error:
        seen.error = f'{type(error).__name__}: {error}'
    finally:
        seen.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
    return seen


async def read_answer(reader: asyncio.StreamReader, seen: Exchange) -> None:
    """Read one answer into ``seen``; it has a length."""
    start, seen.headers = await read_head(reader)
    seen.status = int(start.split()[1])
    missing = int(seen.headers.get('content-length', 0))
    pieces = []
    while missing:
        piece = await reader.read(missing)
        if not piece:
            seen.body = b''.join(pieces)
            raise EOFError(f'{missing} bytes of the answer are missing')
        missing -= len(piece)
        pieces.append(piece)
    seen.body = b''.join(pieces)
    seen.complete = True


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free for TCP and UDP on all these addresses."""
    found: list[int] = []
    candidate = 12_000 + int(time.time() * 1000) % 15_000
    while len(found) < count:
        candidate += 1
        if all(_is_free(host, candidate) for host in hosts):
            found.append(candidate)
    return found


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
