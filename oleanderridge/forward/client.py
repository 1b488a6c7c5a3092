"""Sends one attempt to one target and checks that the answer is complete."""

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

TIMEOUT: Final = 'timeout'
RESET: Final = 'reset'
SHORT: Final = 'short'
WRONG: Final = 'wrong'
CONNECT_FAILED: Final = 'connect-failed'
UNUSED: Final = 'unused'

# A target has room for a few hundred connections from the whole fleet, so an
# idle connection is kept only for the next request of a busy service.
_KEEPALIVE_TIMEOUT_S: Final = 2.0

# Reuse saves 1 ms. A target may close an idle connection in the moment in
# which a request is written to it; only these methods may then be repeated.
_KEEPALIVE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))

_NO_BODY_STATUSES: Final = frozenset((204, 304))
_SWITCHING_PROTOCOLS: Final = 101
_AIOHTTP_DEFAULT_HEADERS: Final = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)


class Attempt(NamedTuple):
    """One try at one target; ``url`` is complete, with path and query."""

    url: str
    request: InboundRequest
    timeout_s: float
    connect_timeout_s: float
    echo_header: str
    buffer_limit_bytes: int


class TargetAnswer(NamedTuple):
    """A complete answer in ``body``, or one still arriving in ``stream``."""

    status: int
    headers: Headers
    body: bytes | None
    stream: AsyncIterator[bytes] | None


class AttemptFailure(NamedTuple):
    """Why an attempt has no answer, and whether the target may have run it."""

    outcome: str
    committed: bool
    detail: str


class _ResponseError(Exception):
    """Base of the failures that aiohttp has no error for."""


class _InvalidResponseError(_ResponseError):
    """The answer is not one to this request."""


class _ConnectionLostError(_ResponseError):
    """The connection broke; not an error that aiohttp repeats."""


class _CommitTracker:
    """Passes the commit on and remembers what the attempt reached."""

    def __init__(self, on_commit: Callable[[], None]) -> None:
        self._on_commit = on_commit
        self.committed = False
        self.reused = False

    def commit(self, reused: bool) -> None:
        self.committed = True
        self.reused = reused
        self._on_commit()


class _DiscardableResponse(ClientResponse):
    """A response whose connection can be closed after its release."""

    async def start(self, connection: Connection) -> ClientResponse:
        # aiohttp returns the connection to the pool as soon as the body has
        # arrived, which is before the request id is checked.
        self._transport = connection.transport
        return await super().start(connection)

    def discard(self) -> None:
        """Close the connection, so that no other request meets its rest."""
        self.close()
        if self._transport is not None:
            self._transport.abort()


class TargetClient:
    """The HTTP connections to the targets.

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
        """Create the sessions; needs a running event loop."""
        self._single_use_session = _create_session(TCPConnector(limit=0, force_close=True))
        self._keepalive_session = _create_session(
            TCPConnector(limit=0, keepalive_timeout=_KEEPALIVE_TIMEOUT_S)
        )

    async def close(self) -> None:
        """Close every connection."""
        for session in (self._single_use_session, self._keepalive_session):
            if session is not None:
                await session.close()

    async def send(
        self, attempt: Attempt, on_commit: Callable[[], None]
    ) -> Result[TargetAnswer, AttemptFailure]:
        """Send the request once and read its answer.

        Parameters
        ----------
        attempt : Attempt
            The request; a caller's key and hop-by-hop headers are removed.
        on_commit : callable
            Called when a connection is acquired, before the first byte of
            the request is written. A second call means that a reused
            connection was dead and the request goes out on a new one, which
            happens for GET, HEAD and OPTIONS only.

        Returns
        -------
        Result of TargetAnswer, AttemptFailure
            Bodies up to ``buffer_limit_bytes`` are complete; longer ones
            come as a ``TargetStream``, which raises on a short body.
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
                (name, _latin1_to_utf8(value)) for name, value in request.headers
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
            # Late bytes must not meet the next request on this connection.
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
    # aiohttp itself repeats idempotent methods, PUT and DELETE included,
    # after a broken connection. The error it does not know stops that.
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
        (name, _utf8_to_latin1(value)) for name, value in response.headers.items()
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
                return _buffered_answer(response, headers, chunks, expected_length)
            chunks.append(chunk)
            size += len(chunk)
    stream = TargetStream(response, chunks, expected_length, deadline)
    return TargetAnswer(response.status, headers, None, stream)


def _latin1_to_utf8(value: str) -> str:
    # The client writes UTF-8, while callers' headers are decoded as Latin-1.
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
    if attempt.echo_header:
        echoed = response.headers.getall(attempt.echo_header, [])
        if echoed != [attempt.request.request_id]:
            raise _InvalidResponseError(f'the answer carries the id {echoed}')


def _has_body(response: ClientResponse) -> bool:
    return (
        response.method != 'HEAD' and response.status not in _NO_BODY_STATUSES
    )


def _expected_length(response: ClientResponse) -> int | None:
    # The parser refuses several lengths, and a length besides chunks.
    codings = response.headers.getall('Transfer-Encoding', [])
    if [coding.lower() for coding in codings] == ['chunked']:
        return None
    if codings:
        raise _InvalidResponseError(f'the transfer coding is {codings}')
    length = response.headers.get('Content-Length')
    if length is None:
        # The end of such a body is the end of the connection, which a
        # truncated body has as well.
        raise ClientPayloadError('the answer has no length and no chunks')
    return int(length)


def _buffered_answer(
    response: ClientResponse,
    headers: Headers,
    chunks: list[bytes],
    expected_length: int | None,
) -> TargetAnswer:
    body = b''.join(chunks)
    if expected_length is not None and len(body) != expected_length:
        raise ClientPayloadError(f'{len(body)} of {expected} bytes arrived')
    return TargetAnswer(response.status, headers, body, None)


def _classify_failure(error: Exception, committed: bool) -> AttemptFailure:
    outcome = RESET
    if not committed:
        connect_failed = not isinstance(error, TimeoutError) or isinstance(
            error, ConnectionTimeoutError
        )
        # The caller's deadline says nothing about the target.
        outcome = CONNECT_FAILED if connect_failed else UNUSED
    elif isinstance(error, TimeoutError):
        outcome = TIMEOUT
    elif isinstance(error, ClientPayloadError):
        outcome = SHORT
    elif isinstance(error, (ClientResponseError, _InvalidResponseError)):
        outcome = WRONG
    return AttemptFailure(outcome, committed, str(error) or repr(error))
