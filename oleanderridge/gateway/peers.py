"""Transport between hosts: UDP messages and state sync over TCP."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, Encoder
from result import Err, Ok, Result

from oleanderridge.gateway.compact import Compact
from oleanderridge.generated.fleet import (
    Acquire,
    Beat,
    Grant,
    Queued,
    Refused,
    Release,
    SyncReply,
    SyncRequest,
)
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

# The first byte of a datagram is the index of its message type in this tuple.
_MESSAGE_TYPES: Final[tuple[type[Compact], ...]] = (
    Beat,
    Acquire,
    Grant,
    Queued,
    Refused,
    Release,
)
_TYPE_ID_BY_CLASS: Final = {
    each: index for index, each in enumerate(_MESSAGE_TYPES)
}
_MESSAGE_DECODERS: Final = tuple(Decoder(each) for each in _MESSAGE_TYPES)
_ENCODER: Final = Encoder()
_SYNC_REQUEST_DECODER: Final = Decoder(SyncRequest)
_SYNC_REPLY_DECODER: Final = Decoder(SyncReply)
_MAX_DATAGRAM_BYTES: Final = 65536
# Datagrams that are read at a time, so that connections are served meanwhile.
_MAX_READS: Final = 64
_MAX_SYNC_BYTES: Final = 1 << 26
_LENGTH_BYTES: Final = 4
# Time for a connection and for each piece of a frame.
_SYNC_TIMEOUT_S: Final = 0.8
_PIECE_BYTES: Final = 1 << 14
_SYNC_ERRORS: Final = (OSError, DecodeError, EOFError, ValueError)

Receive = Callable[[Any, str], None]


class Datagrams:
    """Unreliable message transport with one message per UDP datagram.

    All datagrams that have arrived are read before timers run: after a pause of
    the process, an answer that is there must not count as missing.

    Parameters
    ----------
    receive : callable
        Called with each valid message and the IP address of its sender.
    """

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._socket: socket.socket | None = None
        self._port = 0

    async def listen(self, address: str, port: int) -> None:
        """Open the socket.

        Parameters
        ----------
        address : str
            IP address of this host.
        port : int
            UDP port, the same on every host.

        Raises
        ------
        OSError
            The port is already in use.
        """
        self._port = port
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            opened.setblocking(False)
            opened.bind((address, port))
        except OSError:
            opened.close()
            raise
        self._socket = opened
        asyncio.get_running_loop().add_reader(opened, self._read)

    def send(self, host: str, message: Compact) -> None:
        """Send a message to a host.

        Parameters
        ----------
        host : str
            Its IP address.
        message : Compact
            Message of a registered type.
        """
        if self._socket is None:
            return
        type_id = _TYPE_ID_BY_CLASS[type(message)]
        content = bytes((type_id,)) + _ENCODER.encode(message)
        try:
            self._socket.sendto(content, (host, self._port))
        except OSError as error:
            # A full buffer or a port that nobody listens on; messages may be
            # lost on the way, too.
            _log_unreachable(error)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _read(self) -> None:
        for _ in range(_MAX_READS):
            if self._socket is None:
                return
            try:
                content, address = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                _log_unreachable(error)
                continue
            self._handle(content, address[0])

    def _handle(self, content: bytes, sender: str) -> None:
        try:
            message = _MESSAGE_DECODERS[content[0]].decode(content[1:])
        except (DecodeError, ValidationError, IndexError) as error:
            log_event(
                _LOGGER,
                'peer-message-malformed',
                logging.WARNING,
                peer=sender,
                error=str(error),
            )
            return
        self._receive(message, sender)


def _log_unreachable(error: OSError) -> None:
    log_event(_LOGGER, 'peer-unreachable', logging.DEBUG, error=str(error))


class SyncFault(NamedTuple):
    """Why no state came, and whether the other host took a connection."""

    reached: bool
    detail: str


async def serve_sync(
    address: str,
    port: int,
    answer: Callable[[SyncRequest], SyncReply],
    on_sent: Callable[[SyncReply], None],
) -> asyncio.Server:
    """Serve state sync requests from other hosts.

    Parameters
    ----------
    address : str
        IP address of this host.
    port : int
        TCP port, the same on every host.
    answer : callable
        Returns the reply to a request.
    on_sent : callable
        Called with each reply that was sent or could not be sent.

    Returns
    -------
    asyncio.Server
        Already listening.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        reply = None
        try:
            async with asyncio.timeout(_SYNC_TIMEOUT_S):
                request = _SYNC_REQUEST_DECODER.decode(
                    await _read_frame(reader)
                )
            reply = answer(request)
            await _write_frame(writer, _ENCODER.encode(reply))
        except _SYNC_ERRORS as error:
            log_event(_LOGGER, 'sync-not-served', error=repr(error))
        finally:
            writer.close()
            if reply is not None:
                on_sent(reply)

    return await asyncio.start_server(serve, address, port, backlog=256)


async def fetch_sync(
    host: str, port: int, request: SyncRequest
) -> Result[SyncReply, SyncFault]:
    """Fetch the state that is newer on another host.

    Parameters
    ----------
    host : str
        Its IP address.
    port : int
        Its TCP port.
    request : SyncRequest
        Versions and digests of this host.

    Returns
    -------
    Result of SyncReply, SyncFault
        The newer state, or what prevented it.
    """
    reached = False
    try:
        async with asyncio.timeout(_SYNC_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
        reached = True
        try:
            await _write_frame(writer, _ENCODER.encode(request))
            content = await _read_frame(reader)
        finally:
            writer.close()
        return Ok(_SYNC_REPLY_DECODER.decode(content))
    except _SYNC_ERRORS as error:
        return Err(SyncFault(reached, repr(error)))


async def _write_frame(writer: asyncio.StreamWriter, content: bytes) -> None:
    """Send a frame; each piece has to be taken in time."""
    writer.transport.set_write_buffer_limits(0)
    frame = len(content).to_bytes(_LENGTH_BYTES, 'big') + content
    for start in range(0, len(frame), _PIECE_BYTES):
        writer.write(frame[start : start + _PIECE_BYTES])
        async with asyncio.timeout(_SYNC_TIMEOUT_S):
            await writer.drain()


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    """Return the content of a frame; each piece has to come in time."""
    async with asyncio.timeout(_SYNC_TIMEOUT_S):
        head = await reader.readexactly(_LENGTH_BYTES)
    missing = int.from_bytes(head, 'big')
    if missing > _MAX_SYNC_BYTES:
        raise ValueError(f'frame of {missing} bytes exceeds the maximum size')
    pieces = []
    while missing:
        async with asyncio.timeout(_SYNC_TIMEOUT_S):
            piece = await reader.read(min(missing, _PIECE_BYTES))
        if not piece:
            raise EOFError(f'{missing} bytes of a frame are missing')
        missing -= len(piece)
        pieces.append(piece)
    return b''.join(pieces)
