"""HTTP/1.1 client with persistent connections; reads complete responses."""

from __future__ import annotations

import asyncio
import math
import re
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import h11

from oleanderridge.http1.messages import Headers, header
from oleanderridge.http1.parse_turns import EVENTS_PER_LOOK, ParseTurns
from oleanderridge.http1.server import enable_tcp_timeouts

NOT_SENT: Final = 'not-sent'
RESET: Final = 'reset'
STALE: Final = 'stale'
SHORT: Final = 'short'
GARBLED: Final = 'garbled'

# A target that leaves sent data unacknowledged for this long is unreachable.
_TCP_USER_TIMEOUT_MS: Final = 4000
# Idle connections are dropped this long before the peer's keep-alive timeout.
_KEEP_ALIVE_MARGIN_S: Final = 0.6
# Assumed keep-alive timeout of peers that do not send one.
_KEEP_ALIVE_DEFAULT_S: Final = 3.0
# Responses to other requests that are discarded before the exchange fails.
_MISMATCHED_RESPONSES_MAX: Final = 2
# h11 refuses what is less than 100 or isn't three digits.
_STATUS_MAX: Final = 599
_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout\s*=\s*"?(\d+)')


class AnswerLimits(NamedTuple):
    """Bounds on what a peer may send, so that bytes without end do no harm.

    ``unfinished_bytes`` bounds the bodies of all connections of a pool
    together, ``interim_answers`` the 1xx responses before a final one.
    """

    header_bytes: int = 65536
    body_bytes: int = 1 << 25
    unfinished_bytes: int = 1 << 26
    interim_answers: int = 8


class UnfinishedBytes:
    """Bytes of the unfinished answers of all connections of a pool."""

    def __init__(self) -> None:
        self.total = 0


# Returns whether a response belongs to a request, None if it doesn't say.
RequestMatch = Callable[[Headers], bool | None]


class Outbound(NamedTuple):
    """A request to send; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class Answer(NamedTuple):
    """A complete response."""

    status: int
    headers: Headers
    body: bytes


class ExchangeError(Exception):
    """The exchange ended without a complete response.

    ``kind`` classifies the failure; ``not-sent`` guarantees that no byte of
    the request left this host.
    """

    def __init__(self, kind: str, detail: str) -> None:
        super().__init__(f'{kind}: {detail}')
        self.kind = kind
        self.detail = detail


class TargetConnection(asyncio.Protocol):
    """A connection that carries one exchange at a time."""

    def __init__(
        self,
        limits: AnswerLimits | None = None,
        unfinished: UnfinishedBytes | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._limits = limits or AnswerLimits()
        self._unfinished = unfinished or UnfinishedBytes()
        self._http = self._new_h11_connection()
        self._transport: Any = None
        self._turns = ParseTurns(self._parse)
        self._request: Outbound | None = None
        self._matches_request: RequestMatch | None = None
        self._is_identified = True
        self._response_future: asyncio.Future[Answer] | None = None
        self._response_head: h11.Response | None = None
        self._has_ended = False
        self._body = bytearray()
        self._interim_answers = 0
        self._has_response_data = False
        self._has_ended = False
        self._mismatched_responses = 0
        self.request_count = 0
        self.received_bytes = 0
        self.idle_since: float = 0
        self.keep_alive_s = _KEEP_ALIVE_DEFAULT_S
        self.closed = False

    def _new_h11_connection(self) -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._limits.header_bytes
        )

    def connection_made(self, transport: Any) -> None:
        """Enable the TCP timeouts of the connection."""
        self._transport = transport
        self._turns.start(transport)
        enable_tcp_timeouts(transport, _TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse a response; close the connection on unsolicited data."""
        self.received_bytes += len(data)
        if self._response_future is None or self._response_future.done():
            self.close()
            return
        self._has_response_data = True
        self._http.receive_data(data)
        self._turns.on_data()

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the connection's end."""
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._has_ended = True
            self._http.receive_data(b'')
            # All that came before the end has been parsed.
            self._parse(math.inf)
        self.closed = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.closed = True
        if self._response_future is None or self._response_future.done():
            return
        detail = str(exc or 'connection closed')
        self._fail(self._closed_error_kind(), detail)

    def close(self) -> None:
        """Abort the connection and discard unread data."""
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
            False if closed or near the peer's keep-alive timeout.
        """
        return not self.closed and now - self.idle_since < self.keep_alive_s

    async def exchange(
        self, request: Outbound, matches_request: RequestMatch
    ) -> Answer:
        """Send a request and return its complete response.

        Cancellation closes the connection.

        Parameters
        ----------
        request : Outbound
            The complete request, including its body.
        matches_request : callable
            Returns whether a response with the given headers belongs to the
            request, None if they don't say. Other responses are discarded; one
            that doesn't say is accepted on a new connection, which is then
            closed.

        Returns
        -------
        Answer
            Status, headers and body.

        Raises
        ------
        ExchangeError
            The connection ended or the response was malformed.
        """
        self._request = request
        self._matches_request = matches_request
        self._response_future = self._loop.create_future()
        self._has_response_data = False
        self._mismatched_responses = 0
        self._is_identified = True
        self._interim_answers = 0
        self.request_count += 1
        self._clear_response()
        if self.closed:
            raise ExchangeError(
                NOT_SENT, 'the idle connection was already closed'
            )
        self._transport.write(self._serialize(request))
        try:
            response = await self._response_future
        except BaseException:
            self.close()
            raise
        finally:
            self._response_future = None
            self._clear_response()
        self._finish_exchange(response)
        return response

    def _serialize(self, request: Outbound) -> bytes:
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
            return b''.join(self._http.send(event) or b'' for event in events)
        except h11.LocalProtocolError as error:
            self.close()
            raise ExchangeError(NOT_SENT, str(error)) from error

    def _clear_response(self) -> None:
        self._response_head = None
        self._unfinished.total -= len(self._body)
        self._body = bytearray()

    def _parse(self, until: float) -> bool:
        """Parse received data; return whether some is left at a loop time."""
        events = 0
        try:
            while (
                self._response_future is not None
                and not self._response_future.done()
            ):
                event = self._http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return False
                if isinstance(event, h11.InformationalResponse):
                    self._on_interim_answer()
                else:
                    self._on_event(event)
                events += 1
                if not events % EVENTS_PER_LOOK and self._loop.time() >= until:
                    return True
        except h11.RemoteProtocolError as error:
            kind = self._closed_error_kind() if self._has_ended else GARBLED
            self._fail(kind, str(error))
        return False

    def _closed_error_kind(self) -> str:
        if self._response_head is not None:
            return SHORT
        reused = self.request_count > 1 and not self._has_response_data
        return STALE if reused else RESET

    def _on_event(self, event: Any) -> None:
        if isinstance(event, h11.Response):
            self._on_response_head(event)
        elif isinstance(event, h11.Data):
            self._on_body_data(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._on_response_complete()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(
                self._closed_error_kind(),
                'connection closed before an answer',
            )

    def _on_interim_answer(self) -> None:
        self._interim_answers += 1
        if self._interim_answers > self._limits.interim_answers:
            self._fail(GARBLED, 'too many interim answers')

    def _on_response_head(self, head: h11.Response) -> None:
        self._response_head = head
        if head.status_code > _STATUS_MAX:
            self._fail(GARBLED, f'status {head.status_code} is none')
            return
        is_head = self._request is not None and self._request.method == b'HEAD'
        if is_head or head.status_code in _STATUSES_WITHOUT_BODY:
            return
        length = header(list(head.headers), b'content-length') or b'0'
        if int(length) > self._limits.body_bytes:
            self._fail(GARBLED, 'answer body exceeds the size limit')

    def _on_body_data(self, data: bytes | bytearray) -> None:
        self._body += data
        self._unfinished.total += len(data)
        if len(self._body) > self._limits.body_bytes:
            self._fail(GARBLED, 'answer body exceeds the size limit')
        elif self._unfinished.total > self._limits.unfinished_bytes:
            self._fail(GARBLED, 'unfinished answers exceed the memory limit')

    def _on_response_complete(self) -> None:
        if self._response_head is None or self._response_future is None:
            return
        headers = list(self._response_head.headers)
        if not self._belongs_to_request(headers):
            self._skip_mismatched_response()
            return
        body = bytes(self._body)
        self._response_future.set_result(
            Answer(self._response_head.status_code, headers, body)
        )

    def _belongs_to_request(self, headers: Headers) -> bool:
        matches = self._matches_request and self._matches_request(headers)
        self._is_identified = matches is not None
        if matches is None:
            # It may be a second answer to an earlier request.
            return self.request_count == 1 and not self._mismatched_responses
        return matches

    def _skip_mismatched_response(self) -> None:
        self._mismatched_responses += 1
        remaining = self._http.trailing_data[0]
        ended = self._http.their_state is not h11.DONE
        if ended or self._mismatched_responses > _MISMATCHED_RESPONSES_MAX:
            self._fail(GARBLED, 'answer belongs to another request')
            return
        self._http = self._new_h11_connection()
        self._clear_response()
        if self._request is not None:
            self._serialize(self._request)
        if remaining:
            # Parsed by the loop of the turn that came here.
            self._http.receive_data(remaining)

    def _fail(self, kind: str, detail: str) -> None:
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_exception(ExchangeError(kind, detail))

    def _finish_exchange(self, response: Answer) -> None:
        unread = self._http.trailing_data[0]
        states = (self._http.our_state, self._http.their_state)
        unsent = self._transport.get_write_buffer_size()
        ambiguous = self._mismatched_responses or not self._is_identified
        if ambiguous or unread or unsent or states != (h11.DONE, h11.DONE):
            self.close()
            return
        self._http.start_next_cycle()
        self._request = None
        self.idle_since = self._loop.time()
        self.keep_alive_s = _keep_alive_seconds(response.headers)


def _keep_alive_seconds(headers: Headers) -> float:
    stated_timeout = _KEEP_ALIVE_TIMEOUT.search(
        header(headers, b'keep-alive') or b''
    )
    if stated_timeout is None:
        return _KEEP_ALIVE_DEFAULT_S
    return max(0, int(stated_timeout[1]) - _KEEP_ALIVE_MARGIN_S)
