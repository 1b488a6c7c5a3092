"""Socket helpers that the stand-ins and the fault proxy share."""

from __future__ import annotations

import asyncio
import socket
import struct

_LINGER_NONE = struct.pack('ii', 1, 0)


def reset(transport: asyncio.BaseTransport | None) -> None:
    """Close a connection with a TCP reset instead of a FIN.

    Parameters
    ----------
    transport : BaseTransport or None
        The connection; none when it is closed already.
    """
    if not isinstance(transport, asyncio.Transport):
        return
    sock = transport.get_extra_info('socket')
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    transport.abort()
