"""Reads the requests of callers and writes the answers to them."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final

import h11

from oleanderridge.http1.messages import Inbound, Reply, header
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

# How long bytes of a caller are read and dropped after a closing answer: an
# earlier close would reset the connection and lose the answer.
_LINGER_S: Final = 1.0
# A caller that acknowledges nothing for so long is gone.
_TCP_USER_TIMEOUT_MS: Final = 8000
_STATUS_BAD: Final = 400
_STATUS_TIMEOUT: Final = 408
_STATUS_TOO_LARGE: Final = 413
_STATUS_HEADERS_TOO_LARGE: Final = 431
_BODILESS: Final = frozenset((204, 304))

Handler = Callable[[Inbound], Awaitable[Reply]]


class EdgeLimits:
    """Bounds of the caller edge; the configuration in force sets them."""

    def __init__(self) -> None:
        self.header_bytes = 16384
        self.body_bytes = 1 << 26
        self.header_timeout_s = 3.0
        self.idle_timeout_s = 15.0
        self.buffered_bytes_max = 1 << 26


class Edge:
    """What all caller connections of one listener share.

    Parameters
    ----------
    handler : callable
        Answers one request.
    limits : EdgeLimits
        Read anew for each request.
    """

    def __init__(self, handler: Handler, limits: EdgeLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[CallerConnection] = set()
        self.closing = False
        self.buffered_bytes = 0
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Accept connections.

        Parameters
        ----------
        address : str
            IP address and port.

        Raises
        ------
        OSError
            The address is taken or not of this host.
        """
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            int(port),
            backlog=1024,
            reuse_address=True,
        )

    def begin_closing(self) -> None:
        """End each connection after its current answer; accept new ones."""
        self.closing = True
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def live(self) -> int:
        """Return the number of requests that have no answer yet."""
        return sum(1 for each in self.connections if each.is_busy())


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Parameters
    ----------
    edge : Edge
        The listener.
    """

    def __init__(self, edge: Edge) -> None:
        self._edge = edge
        self._loop = asyncio.get_running_loop()
        self._http = self._machine()
        self._transport: Any = None
        self._head: h11.Request | None = None
        self._head_at: float = 0
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._task: asyncio.Task | None = None
        self._gone: asyncio.Future[None] = self._loop.create_future()
        self._timer: asyncio.TimerHandle | None = None
        self._lingering = False

    def _machine(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._edge.limits.header_bytes,
        )

    def connection_made(self, transport: Any) -> None:
        """Start the timer for the first request."""
        self._transport = transport
        self._edge.connections.add(self)
        enable_tcp_timeouts(transport, _TCP_USER_TIMEOUT_MS)
        self._arm(self._edge.limits.header_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler that nobody waits for its answer."""
        self._edge.connections.discard(self)
        self._forget_body()
        self._disarm()
        if not self._gone.done():
            self._gone.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Read on, unless the connection only waits for its end."""
        if self._lingering:
            return
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject(error)
            return
        self._advance()

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as its leaving."""
        return False

    def is_busy(self) -> bool:
        """Return whether a request has been read and not answered."""
        return self._task is not None

    def close_if_idle(self) -> None:
        """Close a connection on which no request has begun."""
        begun = self._task is not None or self._head is not None
        if not begun and not self._http.trailing_data[0]:
            self._transport.close()

    def _arm(self, delay_s: float) -> None:
        self._disarm()
        self._timer = self._loop.call_later(delay_s, self._on_timer)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        if self._lingering or self._head is None:
            if self._http.trailing_data[0] and not self._lingering:
                self._answer_unread(_STATUS_TIMEOUT)
                return
            self._transport.close()
            return
        self._answer_unread(_STATUS_TIMEOUT)

    def _advance(self) -> None:
        while self._task is None and not self._lingering:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error)
                return
            if event is h11.NEED_DATA:
                self._wait_for_more()
                return
            if event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self._transport.close()
                return
            self._on_event(event)

    def _wait_for_more(self) -> None:
        if (
            self._head is not None
            and self._http.they_are_waiting_for_100_continue
        ):
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(interim))
        begins = self._head is None and not self._head_at
        if begins and self._http.trailing_data[0]:
            # The first bytes of a head start the time for the whole head.
            self._head_at = self._loop.time()
            self._arm(self._edge.limits.header_timeout_s)

    def _on_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._on_head(event)
        elif isinstance(event, h11.Data):
            self._on_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._on_end()

    def _on_head(self, event: h11.Request) -> None:
        self._head = event
        self._head_at = self._loop.time()
        headers = list(event.headers)
        length = header(headers, b'content-length')
        if length is not None:
            if header(headers, b'transfer-encoding') is not None:
                # Two framings are how requests are smuggled.
                self._answer_unread(_STATUS_BAD)
                return
            if int(length) > self._edge.limits.body_bytes:
                self._answer_unread(_STATUS_TOO_LARGE)
                return
        self._arm(self._edge.limits.idle_timeout_s)

    def _on_body(self, chunk: bytes) -> None:
        self._chunks.append(chunk)
        self._body_bytes += len(chunk)
        self._edge.buffered_bytes += len(chunk)
        limits = self._edge.limits
        over = self._edge.buffered_bytes > limits.buffered_bytes_max
        if over or self._body_bytes > limits.body_bytes:
            self._answer_unread(503 if over else _STATUS_TOO_LARGE)
            return
        self._arm(limits.idle_timeout_s)

    def _on_end(self) -> None:
        head = self._head
        if head is None:
            return
        self._disarm()
        inbound = Inbound(
            head.method,
            head.target,
            list(head.headers),
            b''.join(self._chunks),
            self._head_at,
            self._gone,
        )
        self._task = self._loop.create_task(self._serve(inbound))

    async def _serve(self, inbound: Inbound) -> None:
        try:
            reply = await self._edge.handler(inbound)
        except Exception:
            _LOGGER.exception(
                'request-handler-failed',
                extra={'target': inbound.target.decode('latin-1')},
            )
            reply = Reply(502, [], b'')
        finally:
            self._task = None
            self._forget_body()
        if not self._gone.done():
            self._write(inbound.method, reply)

    def _forget_body(self) -> None:
        self._edge.buffered_bytes -= self._body_bytes
        self._body_bytes = 0
        self._chunks = []

    def _write(self, method: bytes, reply: Reply) -> None:
        headers = list(reply.headers)
        bodiless = method == b'HEAD' or reply.status in _BODILESS
        if (
            reply.status not in _BODILESS
            and header(headers, b'content-length') is None
        ):
            headers.append((b'content-length', b'%d' % len(reply.body)))
        if self._edge.closing:
            headers.append((b'connection', b'close'))
        events: list[Any] = [
            h11.Response(status_code=reply.status, headers=headers)
        ]
        if reply.body and not bodiless:
            events.append(h11.Data(data=reply.body))
        events.append(h11.EndOfMessage())
        try:
            content = b''.join(self._http.send(each) or b'' for each in events)
        except h11.LocalProtocolError:
            _LOGGER.exception(
                'answer-not-writable', extra={'status': reply.status}
            )
            self._transport.abort()
            return
        self._transport.write(content)
        self._next_request()

    def _next_request(self) -> None:
        self._head = None
        self._head_at = 0
        states = (self._http.our_state, self._http.their_state)
        if states != (h11.DONE, h11.DONE):
            self._linger()
            return
        self._http.start_next_cycle()
        self._arm(self._edge.limits.idle_timeout_s)
        self._advance()

    def _reject(self, error: h11.RemoteProtocolError) -> None:
        status = error.error_status_hint or _STATUS_BAD
        if status not in (_STATUS_BAD, _STATUS_HEADERS_TOO_LARGE):
            status = _STATUS_BAD
        log_event(
            _LOGGER,
            'caller-protocol-error',
            logging.WARNING,
            status=status,
            error=str(error),
        )
        self._answer_unread(status)

    def _answer_unread(self, status: int) -> None:
        """Answer a request that was not read whole, and close."""
        self._forget_body()
        log_event(_LOGGER, 'request-not-read', logging.WARNING, status=status)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b'content-length', b'0'), (b'connection', b'close')]
            response = h11.Response(status_code=status, headers=headers)
            try:
                content = self._http.send(response) or b''
                content += self._http.send(h11.EndOfMessage()) or b''
                self._transport.write(content)
            except h11.LocalProtocolError as error:
                log_event(_LOGGER, 'answer-not-writable', error=str(error))
        self._linger()

    def _linger(self) -> None:
        self._lingering = True
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._arm(_LINGER_S)


def enable_tcp_timeouts(transport: Any, user_timeout_ms: int) -> None:
    """Let the kernel end a connection whose peer acknowledges nothing.

    Parameters
    ----------
    transport : asyncio.Transport
        A TCP connection.
    user_timeout_ms : int
        Milliseconds after which sent bytes count as lost.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms),
    )
    for level, option, value in options:
        try:
            sock.setsockopt(level, option, value)
        except OSError as error:
            log_event(
                _LOGGER,
                'socket-option-refused',
                logging.DEBUG,
                option=option,
                error=str(error),
            )
