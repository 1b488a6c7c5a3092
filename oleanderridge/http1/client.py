"""Sends requests over kept connections and reads whole answers."""

from __future__ import annotations

import asyncio
import math
import re
from collections import deque
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import h11

from oleanderridge.http1.messages import Headers, header
from oleanderridge.http1.server import enable_tcp_timeouts

NOT_SENT: Final = 'not-sent'
RESET: Final = 'reset'
STALE: Final = 'stale'
SHORT: Final = 'short'
GARBLED: Final = 'garbled'

# Larger answers than this are refused: they would not fit a small host.
_ANSWER_BYTES_MAX: Final = 1 << 26
# A target that acknowledges nothing for so long is unreachable.
_TCP_USER_TIMEOUT_MS: Final = 4000
# Kept connections end this much before the peer's own timeout.
_IDLE_MARGIN_S: Final = 0.6
# Peers that state no timeout are assumed to keep connections so long.
_IDLE_DEFAULT_S: Final = 3.0
# Answers to other requests that are read and dropped before giving up.
_FOREIGN_ANSWERS_MAX: Final = 2
_TIMEOUT = re.compile(rb'timeout\s*=\s*"?(\d+)')
_HEADER_BYTES_MAX: Final = 65536


class Outbound(NamedTuple):
    """One request; names of headers are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class Answer(NamedTuple):
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class ExchangeError(Exception):
    """No whole answer came; ``kind`` says what is known.

    ``not-sent`` promises that no byte of the request left this host.
    """

    def __init__(self, kind: str, detail: str) -> None:
        super().__init__(f'{kind}: {detail}')
        self.kind = kind
        self.detail = detail


class TargetConnection(asyncio.Protocol):
    """One connection that carries one exchange at a time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._http = self._machine()
        self._transport: Any = None
        self._request: Outbound | None = None
        self._is_ours: Callable[[Headers], bool] | None = None
        self._waiter: asyncio.Future[Answer] | None = None
        self._head: h11.Response | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._received = False
        self._foreign = 0
        self.uses = 0
        self.idle_since: float = 0
        self.keep_s = _IDLE_DEFAULT_S
        self.closed = False

    def _machine(self) -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_HEADER_BYTES_MAX
        )

    def connection_made(self, transport: Any) -> None:
        """Watch the connection for silence."""
        self._transport = transport
        enable_tcp_timeouts(transport, _TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Read an answer; bytes that nothing asked for end the connection."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        self._received = True
        self._feed(data)

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection."""
        if self._waiter is not None and not self._waiter.done():
            self._feed(b'')
        self.closed = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that was under way."""
        self.closed = True
        if self._waiter is None or self._waiter.done():
            return
        detail = str(exc or 'the connection ended')
        self._fail(self._kind_of_end(), detail)

    def close(self) -> None:
        """End the connection at once; unread bytes are dropped."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def is_reusable(self, now: float) -> bool:
        """Return whether the next request may use this connection.

        Parameters
        ----------
        now : float
            Loop time in seconds.

        Returns
        -------
        bool
            False near the idle timeout of the peer.
        """
        return not self.closed and now - self.idle_since < self.keep_s

    async def exchange(
        self, request: Outbound, is_ours: Callable[[Headers], bool]
    ) -> Answer:
        """Send a request and return its whole answer.

        Cancelling ends the connection.

        Parameters
        ----------
        request : Outbound
            Whole, with its body.
        is_ours : callable
            Tells by its headers whether an answer belongs to the request;
            others are dropped.

        Returns
        -------
        Answer
            Status, headers and body.

        Raises
        ------
        ExchangeError
            The connection ended or the answer could not be read.
        """
        self._request = request
        self._is_ours = is_ours
        self._waiter = self._loop.create_future()
        self._received = False
        self._foreign = 0
        self.uses += 1
        self._begin_answer()
        if self.closed:
            raise ExchangeError(NOT_SENT, 'the kept connection had ended')
        self._transport.write(self._written(request))
        try:
            answer = await self._waiter
        except BaseException:
            self.close()
            raise
        finally:
            self._waiter = None
        self._finish(answer)
        return answer

    def _written(self, request: Outbound) -> bytes:
        headers = list(request.headers)
        if request.body or request.method in (b'POST', b'PUT', b'PATCH'):
            headers.append((b'content-length', b'%d' % len(request.body)))
        events: list[Any] = [
            h11.Request(
                method=request.method, target=request.target, headers=headers
            )
        ]
        if request.body:
            events.append(h11.Data(data=request.body))
        events.append(h11.EndOfMessage())
        try:
            return b''.join(self._http.send(each) or b'' for each in events)
        except h11.LocalProtocolError as error:
            self.close()
            raise ExchangeError(NOT_SENT, str(error)) from error

    def _begin_answer(self) -> None:
        self._head = None
        self._chunks = []
        self._size = 0

    def _feed(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while self._waiter is not None and not self._waiter.done():
                event = self._http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._on_event(event)
        except h11.RemoteProtocolError as error:
            kind = GARBLED if data else self._kind_of_end()
            self._fail(kind, str(error))

    def _kind_of_end(self) -> str:
        if self._head is not None:
            return SHORT
        reused = self.uses > 1 and not self._received
        return STALE if reused else RESET

    def _on_event(self, event: Any) -> None:
        if isinstance(event, h11.Response):
            self._head = event
        elif isinstance(event, h11.Data):
            self._size += len(event.data)
            if self._size > _ANSWER_BYTES_MAX:
                self._fail(GARBLED, 'the answer is too large')
                return
            self._chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._on_whole_answer()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(
                self._kind_of_end(), 'the connection ended before an answer'
            )

    def _on_whole_answer(self) -> None:
        if self._head is None or self._waiter is None:
            return
        headers = list(self._head.headers)
        if self._is_ours is not None and not self._is_ours(headers):
            self._skip_foreign()
            return
        body = b''.join(self._chunks)
        self._waiter.set_result(Answer(self._head.status_code, headers, body))

    def _skip_foreign(self) -> None:
        self._foreign += 1
        rest = self._http.trailing_data[0]
        ended = self._http.their_state is not h11.DONE
        if ended or self._foreign > _FOREIGN_ANSWERS_MAX:
            self._fail(GARBLED, 'the answer belongs to another request')
            return
        self._http = self._machine()
        self._begin_answer()
        if self._request is not None:
            self._written(self._request)
        self._feed(rest)

    def _fail(self, kind: str, detail: str) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ExchangeError(kind, detail))

    def _finish(self, answer: Answer) -> None:
        stray = self._http.trailing_data[0]
        states = (self._http.our_state, self._http.their_state)
        unsent = self._transport.get_write_buffer_size()
        if stray or unsent or self._foreign or states != (h11.DONE, h11.DONE):
            self.close()
            return
        self._http.start_next_cycle()
        self._request = None
        self.idle_since = self._loop.time()
        self.keep_s = _kept_for(answer.headers)


def _kept_for(headers: Headers) -> float:
    stated = _TIMEOUT.search(header(headers, b'keep-alive') or b'')
    if stated is None:
        return _IDLE_DEFAULT_S
    return max(0, int(stated[1]) - _IDLE_MARGIN_S)


class ConnectionPool:
    """Kept connections by address.

    Parameters
    ----------
    connect_timeout_s : float
        Seconds for a new connection.
    kept_max : int
        Kept connections over all addresses.
    """

    def __init__(self, connect_timeout_s: float, kept_max: int) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._kept_max = kept_max
        self._idle_by_address: dict[str, deque[TargetConnection]] = {}
        self._kept = 0
        self.opened = 0

    async def take(
        self, address: str, idle_max_s: float = math.inf
    ) -> TargetConnection:
        """Return a kept connection, else a new one.

        Parameters
        ----------
        address : str
            IP address and port.
        idle_max_s : float
            Connections that were idle for longer are passed over.

        Returns
        -------
        TargetConnection
            Give it back with ``give`` after a whole exchange.

        Raises
        ------
        ExchangeError
            Of kind ``not-sent``.
        """
        loop = asyncio.get_running_loop()
        kept = self._idle_by_address.get(address)
        now = loop.time()
        while kept:
            connection = kept.pop()
            self._kept -= 1
            if not connection.is_reusable(now):
                connection.close()
                continue
            if now - connection.idle_since <= idle_max_s:
                return connection
            connection.close()
        host, _, port = address.rpartition(':')
        self.opened += 1
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    TargetConnection, host, int(port)
                )
        except (OSError, ValueError) as error:
            detail = str(error) or 'no connection in time'
            raise ExchangeError(NOT_SENT, detail) from error
        return connection

    def give(self, address: str, connection: TargetConnection) -> None:
        """Keep a connection whose exchange is complete.

        Parameters
        ----------
        address : str
            Where it leads.
        connection : TargetConnection
            Closed ones and those over the bound are dropped.
        """
        if connection.closed:
            return
        if self._kept >= self._kept_max:
            connection.close()
            return
        self._kept += 1
        self._idle_by_address.setdefault(address, deque()).append(connection)

    def sweep(self) -> None:
        """Close what has been idle for too long."""
        now = asyncio.get_running_loop().time()
        for address, kept in tuple(self._idle_by_address.items()):
            usable = deque(each for each in kept if each.is_reusable(now))
            for each in kept:
                if each not in usable:
                    each.close()
            self._kept += len(usable) - len(kept)
            if usable:
                self._idle_by_address[address] = usable
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close every kept connection."""
        for kept in self._idle_by_address.values():
            for connection in kept:
                connection.close()
        self._idle_by_address.clear()
        self._kept = 0
