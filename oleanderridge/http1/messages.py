"""Messages that the HTTP server exchanges with its request handlers."""

from __future__ import annotations

import asyncio
from typing import Final, NamedTuple

Headers = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1, and older names that some programs still send.
_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


class Inbound(NamedTuple):
    """A complete request of a caller.

    ``received_at`` is the monotonic time in seconds at which the request head
    was read; ``gone`` completes when the caller's connection closes.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    gone: asyncio.Future[None]


class Reply(NamedTuple):
    """The response to a caller.

    The server adds the ``Content-Length`` and ``Connection`` headers.
    """

    status: int
    headers: Headers
    body: bytes


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None.

    Parameters
    ----------
    headers : list of tuple
        Header names in lower case.
    name : bytes
        The header name in lower case.

    Returns
    -------
    bytes or None
        The value without surrounding spaces.
    """
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Return the end-to-end headers, which a proxy forwards.

    Parameters
    ----------
    headers : list of tuple
        Header names in lower case.

    Returns
    -------
    list of tuple
        The headers without hop-by-hop headers, those that ``Connection``
        lists, ``Content-Length`` and ``Expect``.
    """
    connection_options = {
        option.strip().lower()
        for header_name, value in headers
        if header_name == b'connection'
        for option in value.split(b',')
    }
    excluded = (
        _HOP_BY_HOP_HEADERS
        | connection_options
        | {b'content-length', b'expect'}
    )
    return [pair for pair in headers if pair[0] not in excluded]
