"""HTTP client that sends one attempt to a target and validates the response."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final, NamedTuple

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientPayloadError,
    ClientRequest,
    ClientResponse,
    ClientResponseError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    TCPConnector,
    TraceConfig,
)
from aiohttp.connector import Connection
from result import Err, Ok, Result
from yarl import URL

from oleanderridge.forward.scrub import Headers, InboundRequest
from oleanderridge.forward.stream import TargetStream
from oleanderridge.generated.settings import Settings
from oleanderridge.http1.parse_turns import limit_reads

TIMEOUT: Final = 'timeout'
RESET: Final = 'reset'
SHORT: Final = 'short'
WRONG: Final = 'wrong'
CONNECT_FAILED: Final = 'connect-failed'
UNUSED: Final = 'unused'

# A target accepts only a few hundred connections from the whole fleet, so
# idle connections are kept just long enough to serve a busy service.
_KEEPALIVE_TIMEOUT_S: Final = 2.0

# Reusing a connection saves 1 ms per request. A target may close an idle
# connection just as a request is written to it, so reuse is limited to
# methods that can then be retried.
_KEEPALIVE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))

# What aiohttp parses in one step: 1,360 chunks of one byte.
_READ_BYTES: Final = 8192

_FINAL_STATUSES: Final = range(200, 600)
_NO_BODY_STATUSES: Final = frozenset((204, 304))
_SWITCHING_PROTOCOLS: Final = 101
_AIOHTTP_DEFAULT_HEADERS: Final = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)


class Attempt(NamedTuple):
    """One attempt at one target; ``url`` includes path and query."""

    url: str
    request: InboundRequest
    timeout_s: float
    connect_timeout_s: float
    echo_header: str
    buffer_limit_bytes: int


class TargetAnswer(NamedTuple):
    """A response, either buffered in ``body`` or streamed by ``stream``."""

    status: int
    headers: Headers
    body: bytes | None
    stream: AsyncIterator[bytes] | None


class AttemptFailure(NamedTuple):
    """Why an attempt failed, and whether the target may have executed it."""

    outcome: str
    committed: bool
    detail: str


class _ResponseError(Exception):
    """Base class of failures that aiohttp has no exception for."""


class _InvalidResponseError(_ResponseError):
    """The response does not belong to the request or is malformed."""


class _ConnectionLostError(_ResponseError):
    """The connection was lost; aiohttp does not retry on this exception."""


class _CommitTracker:
    """Reports the commit and records whether the connection was reused."""

    def __init__(self, on_commit: Callable[[], None]) -> None:
        self._on_commit = on_commit
        self.committed = False
        self.reused = False

    def commit(self, reused: bool) -> None:
        self.committed = True
        self.reused = reused
        self._on_commit()


class _DiscardableResponse(ClientResponse):
    """A response whose connection can be aborted after its release."""

    async def start(self, connection: Connection) -> ClientResponse:
        # aiohttp returns the connection to the pool as soon as the body has
        # arrived, before the request id is checked, so keep the transport.
        self._transport = connection.transport
        limit_reads(connection.transport, _READ_BYTES)
        return await super().start(connection)

    def discard(self) -> None:
        """Abort the connection so that no other request reads its rest."""
        self.close()
        if self._transport is not None:
            self._transport.abort()


class TargetClient:
    """HTTP client for the targets.

    Parameters
    ----------
    settings : Settings
        The host's settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._single_use_session: ClientSession | None = None
        self._keepalive_session: ClientSession | None = None

    async def open(self) -> None:
        """Create the sessions; requires a running event loop."""
        self._single_use_session = _create_session(
            TCPConnector(limit=0, force_close=True)
        )
        self._keepalive_session = _create_session(
            TCPConnector(limit=0, keepalive_timeout=_KEEPALIVE_TIMEOUT_S)
        )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._single_use_session, self._keepalive_session):
            if session is not None:
                await session.close()

    async def send(
        self, attempt: Attempt, on_commit: Callable[[], None]
    ) -> Result[TargetAnswer, AttemptFailure]:
        """Send the request once and read its response.

        Parameters
        ----------
        attempt : Attempt
            The request, without the caller's key and hop-by-hop headers.
        on_commit : callable
            Called when a connection is acquired, before the first byte of
            the request is written. It is called again if a reused
            connection turns out to be closed and the request is sent on a
            new one, which happens for GET, HEAD and OPTIONS only.

        Returns
        -------
        Result of TargetAnswer, AttemptFailure
            Bodies up to ``buffer_limit_bytes`` are buffered; longer ones
            are a ``TargetStream``, which raises on a truncated body.
        """
        tracker = _CommitTracker(on_commit)
        deadline = asyncio.get_running_loop().time() + attempt.timeout_s
        try:
            async with asyncio.timeout_at(deadline):
                return Ok(await self._exchange(attempt, tracker, deadline))
        except (ClientError, OSError, _ResponseError) as error:
            return Err(_classify_failure(error, tracker.committed))

    async def _exchange(
        self, attempt: Attempt, tracker: _CommitTracker, deadline: float
    ) -> TargetAnswer:
        request = attempt.request
        reuse = attempt.echo_header and request.method in _KEEPALIVE_METHODS
        session = self._keepalive_session if reuse else self._single_use_session
        if session is None:
            raise RuntimeError('the target client is not open')
        response: Any = await session.request(
            request.method,
            URL(attempt.url, encoded=True),
            headers=[
                (name, _latin1_to_utf8(value))
                for name, value in request.headers
            ],
            data=request.body or None,
            allow_redirects=False,
            timeout=ClientTimeout(
                total=None, sock_connect=attempt.connect_timeout_s
            ),
            middlewares=(_disable_automatic_retry(tracker),),
            trace_request_ctx=tracker,
        )
        try:
            return await _read_response(response, attempt, deadline)
        except BaseException:
            # The next request on this connection must not read late bytes.
            response.discard()
            raise


def _create_session(connector: TCPConnector) -> ClientSession:
    trace = TraceConfig()
    trace.on_connection_create_end.append(_make_commit_callback(reused=False))
    trace.on_connection_reuseconn.append(_make_commit_callback(reused=True))
    return ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        trust_env=False,
        auto_decompress=False,
        skip_auto_headers=_AIOHTTP_DEFAULT_HEADERS,
        trace_configs=[trace],
        response_class=_DiscardableResponse,
    )


def _make_commit_callback(reused: bool) -> Callable[..., Awaitable[None]]:
    async def commit(_session: Any, context: Any, _params: Any) -> None:
        context.trace_request_ctx.commit(reused)

    return commit


def _disable_automatic_retry(tracker: _CommitTracker) -> Callable[..., Any]:
    # aiohttp retries idempotent methods, including PUT and DELETE, after a
    # connection loss. Raising an exception unknown to it prevents that.
    async def middleware(
        request: ClientRequest,
        handler: Callable[[ClientRequest], Awaitable[ClientResponse]],
    ) -> ClientResponse:
        try:
            return await handler(request)
        except ClientConnectorError:
            raise
        except (ClientError, OSError) as error:
            if tracker.reused or isinstance(error, ClientResponseError):
                raise
            if not tracker.committed or isinstance(error, TimeoutError):
                raise
            raise _ConnectionLostError(repr(error)) from error

    return middleware


async def _read_response(
    response: ClientResponse, attempt: Attempt, deadline: float
) -> TargetAnswer:
    _check_response_head(response, attempt)
    headers = tuple(
        (name, _utf8_to_latin1(value))
        for name, value in response.headers.items()
    )
    if not _has_body(response):
        response.release()
        return TargetAnswer(response.status, headers, b'', None)
    expected_length = _expected_length(response)
    chunks: list[bytes] = []
    size = 0
    if expected_length is None or expected_length <= attempt.buffer_limit_bytes:
        while size <= attempt.buffer_limit_bytes:
            chunk = await response.content.readany()
            if not chunk:
                return _buffered_answer(
                    response, headers, chunks, expected_length
                )
            chunks.append(chunk)
            size += len(chunk)
    stream = TargetStream(response, chunks, expected_length, deadline)
    return TargetAnswer(response.status, headers, None, stream)


def _latin1_to_utf8(value: str) -> str:
    # aiohttp encodes headers as UTF-8, but callers' headers are decoded as
    # Latin-1.
    if value.isascii():
        return value
    return value.encode('latin-1').decode('utf-8', 'replace')


def _utf8_to_latin1(value: str) -> str:
    if value.isascii():
        return value
    return value.encode('utf-8', 'surrogateescape').decode('latin-1')


def _check_response_head(response: ClientResponse, attempt: Attempt) -> None:
    if response.status == _SWITCHING_PROTOCOLS:
        raise _InvalidResponseError('the target switched protocols')
    if response.status not in _FINAL_STATUSES:
        raise _InvalidResponseError(f'status {response.status} is none')
    if attempt.echo_header:
        echoed = response.headers.getall(attempt.echo_header, [])
        if echoed != [attempt.request.request_id]:
            raise _InvalidResponseError(
                f'the answer echoes the request id {echoed}'
            )


def _has_body(response: ClientResponse) -> bool:
    return (
        response.method != 'HEAD' and response.status not in _NO_BODY_STATUSES
    )


def _expected_length(response: ClientResponse) -> int | None:
    # The parser rejects repeated Content-Length headers, and Content-Length
    # together with chunked encoding.
    codings = response.headers.getall('Transfer-Encoding', [])
    if [coding.lower() for coding in codings] == ['chunked']:
        return None
    if codings:
        raise _InvalidResponseError(f'unsupported transfer coding {codings}')
    length = response.headers.get('Content-Length')
    if length is None:
        # Such a body ends when the connection closes, so a truncated body
        # could not be detected.
        raise ClientPayloadError('the answer has neither a length nor chunks')
    return int(length)


def _buffered_answer(
    response: ClientResponse,
    headers: Headers,
    chunks: list[bytes],
    expected_length: int | None,
) -> TargetAnswer:
    body = b''.join(chunks)
    if expected_length is not None and len(body) != expected_length:
        raise ClientPayloadError(
            f'{len(body)} of {expected_length} bytes received'
        )
    return TargetAnswer(response.status, headers, body, None)


def _classify_failure(error: Exception, committed: bool) -> AttemptFailure:
    outcome = RESET
    if not committed:
        connect_failed = not isinstance(error, TimeoutError) or isinstance(
            error, ConnectionTimeoutError
        )
        # Running into the caller's deadline is not a fault of the target.
        outcome = CONNECT_FAILED if connect_failed else UNUSED
    elif isinstance(error, TimeoutError):
        outcome = TIMEOUT
    elif isinstance(error, ClientPayloadError):
        outcome = SHORT
    elif isinstance(error, (ClientResponseError, _InvalidResponseError)):
        outcome = WRONG
    return AttemptFailure(outcome, committed, str(error) or repr(error))
