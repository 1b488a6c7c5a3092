"""A small HTTP/1.1 reader for the stand-ins."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

REASONS = {200: 'OK', 400: 'Bad Request', 404: 'Not Found', 410: 'Gone'}


class Message(NamedTuple):
    """A start line, headers in lower case, and a body."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers, b'')


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return the body that follows a head."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = bytearray()
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return bytes(body)
            body += piece[:-2]
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a whole message, or None if the connection ends before."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await read_body(reader, head.headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head._replace(body=body)


def answer(
    status: int, body: bytes = b'', headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body
