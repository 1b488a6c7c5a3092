"""HTTP/1.1 server for callers: reads requests and writes responses."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final

import h11

from oleanderridge.http1.messages import Inbound, Reply, header
from oleanderridge.http1.parse_turns import EVENTS_PER_LOOK, ParseTurns
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

# Lingering close: received data is discarded for this long after the final
# response, because an earlier close would reset the connection and the caller
# would lose the response.
_LINGER_S: Final = 1.0
# A caller that leaves sent data unacknowledged for this long is disconnected.
_TCP_USER_TIMEOUT_MS: Final = 8000
_CLOSE_POLL_S: Final = 0.02
# Bytes of later requests that a caller may send while one is being handled.
_PIPELINED_BYTES_MAX: Final = 65536
_STATUS_BAD_REQUEST: Final = 400
_STATUS_TIMEOUT: Final = 408
_STATUS_TOO_LARGE: Final = 413
_STATUS_HEADERS_TOO_LARGE: Final = 431
_STATUS_UNAVAILABLE: Final = 503
_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))

Handler = Callable[[Inbound], Awaitable[Reply]]


class EdgeLimits:
    """Limits of the server, set from the active configuration."""

    def __init__(self) -> None:
        self.header_bytes = 16384
        self.body_bytes = 1 << 26
        self.header_timeout_s = 3.0
        self.idle_timeout_s = 15.0
        self.buffered_bytes_max = 1 << 26


class Edge:
    """A listening server and the state that its connections share.

    Parameters
    ----------
    handler : callable
        Coroutine function that returns the reply to a request.
    limits : EdgeLimits
        Read again for each request.
    """

    def __init__(self, handler: Handler, limits: EdgeLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[CallerConnection] = set()
        self.closing = False
        self.buffered_bytes = 0
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start accepting connections.

        Parameters
        ----------
        address : str
            IP address and port.

        Raises
        ------
        OSError
            The address is in use or does not belong to this host.
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
        """Close each connection after its next response.

        New connections are still accepted. Idle connections stay open, since
        a request may be on its way on each of them.
        """
        self.closing = True

    def stop_listening(self) -> None:
        """Stop accepting connections, and close those without a request."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.close_if_idle()

    async def wait_closed(self, until: float) -> bool:
        """Wait until each caller has its answer and its connection has closed.

        Parameters
        ----------
        until : float
            Loop time in seconds at which the wait ends at the latest.

        Returns
        -------
        bool
            Whether all connections have closed.
        """
        loop = asyncio.get_running_loop()
        # Polling avoids a completion callback for every connection.
        while self.connections and loop.time() < until:  # noqa: ASYNC110
            await asyncio.sleep(_CLOSE_POLL_S)
        return not self.connections

    async def wait_sent(self, until: float) -> bool:
        """Wait until no request is being handled and no answer is unsent.

        Callers that have their answers may keep their connections open.

        Parameters
        ----------
        until : float
            Loop time in seconds at which the wait ends at the latest.

        Returns
        -------
        bool
            Whether nothing is left.
        """
        loop = asyncio.get_running_loop()
        while self._has_unsent_answers() and loop.time() < until:  # noqa: ASYNC110
            await asyncio.sleep(_CLOSE_POLL_S)
        return not self._has_unsent_answers()

    def _has_unsent_answers(self) -> bool:
        return self.live() > 0 or self.unsent_bytes() > 0

    def refuse_unread(self) -> None:
        """Refuse the requests of which only a part has arrived."""
        for connection in tuple(self.connections):
            connection.refuse_if_unread()

    def live(self) -> int:
        """Return the number of requests that are being handled."""
        return sum(
            1
            for connection in self.connections
            if connection.has_active_request()
        )

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the kernel has not taken."""
        return sum(connection.unsent_bytes() for connection in self.connections)


class CallerConnection(asyncio.Protocol):
    """A connection of a caller.

    Parameters
    ----------
    edge : Edge
        The server that accepted the connection.
    """

    def __init__(self, edge: Edge) -> None:
        self._edge = edge
        self._loop = asyncio.get_running_loop()
        self._http = self._new_h11_connection()
        self._transport: Any = None
        self._request_head: h11.Request | None = None
        self._request_head_at: float = 0
        self._turns = ParseTurns(self._process_events)
        self._body = bytearray()
        self._body_bytes = 0
        # Bytes that came while a request was being handled.
        self._pipelined_bytes = 0
        self._handler_task: asyncio.Task | None = None
        self._disconnected: asyncio.Future[None] = self._loop.create_future()
        self._timer: asyncio.TimerHandle | None = None
        self._lingering = False

    def _new_h11_connection(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._edge.limits.header_bytes,
        )

    def connection_made(self, transport: Any) -> None:
        """Start the timer for the first request."""
        self._transport = transport
        self._turns.start(transport)
        self._edge.connections.add(self)
        enable_tcp_timeouts(transport, _TCP_USER_TIMEOUT_MS)
        self._start_timer(self._edge.limits.header_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler that the caller has disconnected."""
        self._edge.connections.discard(self)
        self._release_body()
        self._cancel_timer()
        if not self._disconnected.done():
            self._disconnected.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Parse received data, or discard it during a lingering close."""
        if self._lingering:
            return
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)
            return
        if self._handler_task is None:
            self._turns.on_data()
            return
        self._pipelined_bytes += len(data)
        if self._pipelined_bytes > _PIPELINED_BYTES_MAX:
            # The rest stays with the caller until this request has ended.
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as a disconnect."""
        return False

    def has_active_request(self) -> bool:
        """Return whether a request has been read and is being handled."""
        return self._handler_task is not None

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the kernel has not taken."""
        return self._transport.get_write_buffer_size()

    def close_if_idle(self) -> None:
        """Close the connection unless a request has started."""
        in_progress = (
            self._handler_task is not None or self._request_head is not None
        )
        if not in_progress and not self._http.trailing_data[0]:
            self._transport.close()

    def refuse_if_unread(self) -> None:
        """Refuse a request of which only a part has arrived."""
        if self._handler_task is not None or self._lingering:
            return
        if self._request_head is not None or self._http.trailing_data[0]:
            self._respond_and_close(_STATUS_UNAVAILABLE)

    def _start_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._lingering and self.unsent_bytes():
            # The lingering close begins when the response has been sent.
            self._start_timer(_LINGER_S)
            return
        if self._lingering or self._request_head is None:
            if self._http.trailing_data[0] and not self._lingering:
                self._respond_and_close(_STATUS_TIMEOUT)
                return
            self._transport.close()
            return
        self._respond_and_close(_STATUS_TIMEOUT)

    def _process_events(self, until: float) -> bool:
        """Parse received data; return whether some is left at a loop time."""
        events = 0
        while self._handler_task is None and not self._lingering:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._reject_malformed(error)
                return False
            if event is h11.NEED_DATA:
                self._on_need_data()
                return False
            if event is h11.PAUSED:
                return False
            if isinstance(event, h11.ConnectionClosed):
                self._transport.close()
                return False
            self._on_event(event)
            events += 1
            if not events % EVENTS_PER_LOOK and self._loop.time() >= until:
                return self._handler_task is None and not self._lingering
        return False

    def _on_need_data(self) -> None:
        if (
            self._request_head is not None
            and self._http.they_are_waiting_for_100_continue
        ):
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(interim))
        starts_head = self._request_head is None and not self._request_head_at
        if starts_head and self._http.trailing_data[0]:
            # The header timeout runs from the first bytes of the request.
            self._request_head_at = self._loop.time()
            self._start_timer(self._edge.limits.header_timeout_s)

    def _on_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._on_request_head(event)
        elif isinstance(event, h11.Data):
            self._on_body_chunk(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._on_request_complete()

    def _on_request_head(self, event: h11.Request) -> None:
        self._request_head = event
        self._request_head_at = self._loop.time()
        headers = list(event.headers)
        length = header(headers, b'content-length')
        if length is not None:
            if header(headers, b'transfer-encoding') is not None:
                # Conflicting framing headers allow request smuggling.
                self._respond_and_close(_STATUS_BAD_REQUEST)
                return
            if int(length) > self._edge.limits.body_bytes:
                self._respond_and_close(_STATUS_TOO_LARGE)
                return
        self._start_timer(self._edge.limits.idle_timeout_s)

    def _on_body_chunk(self, chunk: bytes | bytearray) -> None:
        self._body += chunk
        self._body_bytes += len(chunk)
        self._edge.buffered_bytes += len(chunk)
        limits = self._edge.limits
        over_total_limit = self._edge.buffered_bytes > limits.buffered_bytes_max
        if over_total_limit or self._body_bytes > limits.body_bytes:
            self._respond_and_close(
                _STATUS_UNAVAILABLE if over_total_limit else _STATUS_TOO_LARGE
            )
            return
        self._start_timer(limits.idle_timeout_s)

    def _on_request_complete(self) -> None:
        head = self._request_head
        if head is None:
            return
        self._cancel_timer()
        body = bytes(self._body)
        self._body = bytearray()
        request = Inbound(
            head.method,
            head.target,
            list(head.headers),
            body,
            self._request_head_at,
            self._disconnected,
        )
        self._handler_task = self._loop.create_task(
            self._handle_request(request)
        )

    async def _handle_request(self, request: Inbound) -> None:
        try:
            reply = await self._edge.handler(request)
        except Exception:
            _LOGGER.exception(
                'request-handler-failed',
                extra={'target': request.target.decode('latin-1')},
            )
            reply = Reply(502, [], b'')
        finally:
            self._handler_task = None
            self._release_body()
        if not self._disconnected.done():
            self._write_response(request.method, reply)

    def _release_body(self) -> None:
        self._edge.buffered_bytes -= self._body_bytes
        self._body_bytes = 0
        self._body = bytearray()

    def _write_response(self, method: bytes, reply: Reply) -> None:
        headers = list(reply.headers)
        omit_body = method == b'HEAD' or reply.status in _STATUSES_WITHOUT_BODY
        if (
            reply.status not in _STATUSES_WITHOUT_BODY
            and header(headers, b'content-length') is None
        ):
            headers.append((b'content-length', b'%d' % len(reply.body)))
        if self._edge.closing:
            headers.append((b'connection', b'close'))
        events: list[Any] = [
            h11.Response(status_code=reply.status, headers=headers)
        ]
        if reply.body and not omit_body:
            events.append(h11.Data(data=reply.body))
        events.append(h11.EndOfMessage())
        try:
            content = b''.join(
                self._http.send(event) or b'' for event in events
            )
        except h11.LocalProtocolError:
            _LOGGER.exception(
                'answer-not-writable', extra={'status': reply.status}
            )
            self._transport.abort()
            return
        self._transport.write(content)
        self._start_next_request()

    def _start_next_request(self) -> None:
        self._request_head = None
        self._request_head_at = 0
        states = (self._http.our_state, self._http.their_state)
        if states != (h11.DONE, h11.DONE):
            self._begin_lingering_close()
            return
        self._http.start_next_cycle()
        self._start_timer(self._edge.limits.idle_timeout_s)
        if self._pipelined_bytes > _PIPELINED_BYTES_MAX:
            self._transport.resume_reading()
        self._pipelined_bytes = 0
        self._turns.on_data()

    def _reject_malformed(self, error: h11.RemoteProtocolError) -> None:
        status = error.error_status_hint or _STATUS_BAD_REQUEST
        if status not in (_STATUS_BAD_REQUEST, _STATUS_HEADERS_TOO_LARGE):
            status = _STATUS_BAD_REQUEST
        log_event(
            _LOGGER,
            'caller-protocol-error',
            logging.WARNING,
            status=status,
            error=str(error),
        )
        self._respond_and_close(status)

    def _respond_and_close(self, status: int) -> None:
        """Respond to an incompletely read request, then close."""
        self._release_body()
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
        self._begin_lingering_close()

    def _begin_lingering_close(self) -> None:
        self._lingering = True
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._start_timer(_LINGER_S)


def enable_tcp_timeouts(transport: Any, user_timeout_ms: int) -> None:
    """Let the kernel close a connection whose peer stops acknowledging data.

    Parameters
    ----------
    transport : asyncio.Transport
        A TCP connection.
    user_timeout_ms : int
        Maximum time in milliseconds that sent data may stay unacknowledged.
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
