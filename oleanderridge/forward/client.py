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
_KEEPALIVE_S: Final = 2.0

# Reuse saves 1 ms. A target may close an idle connection in the moment in
# which a request is written to it; only these methods may then be repeated.
_REUSE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))

_NO_BODY_STATUSES: Final = frozenset((204, 304))
_SWITCHING_PROTOCOLS: Final = 101
_ADDED_HEADERS: Final = (
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


class _AnswerError(Exception):
    """Base of the failures that aiohttp has no error for."""


class _WrongAnswerError(_AnswerError):
    """The answer is not one to this request."""


class _ResetError(_AnswerError):
    """The connection broke; not an error that aiohttp repeats."""


class _Progress:
    """Passes the commit on and remembers what the attempt reached."""

    def __init__(self, on_commit: Callable[[], None]) -> None:
        self._on_commit = on_commit
        self.committed = False
        self.reused = False

    def commit(self, reused: bool) -> None:
        self.committed = True
        self.reused = reused
        self._on_commit()


class _Response(ClientResponse):
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
        self._fresh: ClientSession | None = None
        self._reusing: ClientSession | None = None

    async def open(self) -> None:
        """Create the sessions; needs a running event loop."""
        self._fresh = _session(TCPConnector(limit=0, force_close=True))
        self._reusing = _session(
            TCPConnector(limit=0, keepalive_timeout=_KEEPALIVE_S)
        )

    async def close(self) -> None:
        """Close every connection."""
        for session in (self._fresh, self._reusing):
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
        progress = _Progress(on_commit)
        deadline = asyncio.get_running_loop().time() + attempt.timeout_s
        try:
            async with asyncio.timeout_at(deadline):
                return Ok(await self._exchange(attempt, progress, deadline))
        except (ClientError, OSError, _AnswerError) as error:
            return Err(_failure(error, progress.committed))

    async def _exchange(
        self, attempt: Attempt, progress: _Progress, deadline: float
    ) -> TargetAnswer:
        request = attempt.request
        reuse = attempt.echo_header and request.method in _REUSE_METHODS
        session = self._reusing if reuse else self._fresh
        if session is None:
            raise RuntimeError('the target client is not open')
        response: Any = await session.request(
            request.method,
            URL(attempt.url, encoded=True),
            headers=[
                (name, _utf8_text(value)) for name, value in request.headers
            ],
            data=request.body or None,
            allow_redirects=False,
            timeout=ClientTimeout(
                total=None, sock_connect=attempt.connect_timeout_s
            ),
            middlewares=(_no_repetition(progress),),
            trace_request_ctx=progress,
        )
        try:
            return await _read(response, attempt, deadline)
        except BaseException:
            # Late bytes must not meet the next request on this connection.
            response.discard()
            raise


def _session(connector: TCPConnector) -> ClientSession:
    trace = TraceConfig()
    trace.on_connection_create_end.append(_on_connection(reused=False))
    trace.on_connection_reuseconn.append(_on_connection(reused=True))
    return ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        trust_env=False,
        auto_decompress=False,
        skip_auto_headers=_ADDED_HEADERS,
        trace_configs=[trace],
        response_class=_Response,
    )


def _on_connection(reused: bool) -> Callable[..., Awaitable[None]]:
    async def commit(_session: Any, context: Any, _params: Any) -> None:
        context.trace_request_ctx.commit(reused)

    return commit


def _no_repetition(progress: _Progress) -> Callable[..., Any]:
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
            if progress.reused or isinstance(error, ClientResponseError):
                raise
            if not progress.committed or isinstance(error, TimeoutError):
                raise
            raise _ResetError(repr(error)) from error

    return middleware


async def _read(
    response: ClientResponse, attempt: Attempt, deadline: float
) -> TargetAnswer:
    _check_identity(response, attempt)
    headers = tuple(
        (name, _wire_text(value)) for name, value in response.headers.items()
    )
    if not _has_body(response):
        response.release()
        return TargetAnswer(response.status, headers, b'', None)
    expected = _expected_length(response)
    chunks: list[bytes] = []
    size = 0
    if expected is None or expected <= attempt.buffer_limit_bytes:
        while size <= attempt.buffer_limit_bytes:
            chunk = await response.content.readany()
            if not chunk:
                return _complete(response, headers, chunks, expected)
            chunks.append(chunk)
            size += len(chunk)
    stream = TargetStream(response, chunks, expected, deadline)
    return TargetAnswer(response.status, headers, None, stream)


def _utf8_text(value: str) -> str:
    # The client writes UTF-8, while callers' headers are decoded as Latin-1.
    if value.isascii():
        return value
    return value.encode('latin-1').decode('utf-8', 'replace')


def _wire_text(value: str) -> str:
    if value.isascii():
        return value
    return value.encode('utf-8', 'surrogateescape').decode('latin-1')


def _check_identity(response: ClientResponse, attempt: Attempt) -> None:
    if response.status == _SWITCHING_PROTOCOLS:
        raise _WrongAnswerError('the target switched protocols')
    if attempt.echo_header:
        echoed = response.headers.getall(attempt.echo_header, [])
        if echoed != [attempt.request.request_id]:
            raise _WrongAnswerError(f'the answer carries the id {echoed}')


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
        raise _WrongAnswerError(f'the transfer coding is {codings}')
    length = response.headers.get('Content-Length')
    if length is None:
        # The end of such a body is the end of the connection, which a
        # truncated body has as well.
        raise ClientPayloadError('the answer has no length and no chunks')
    return int(length)


def _complete(
    response: ClientResponse,
    headers: Headers,
    chunks: list[bytes],
    expected: int | None,
) -> TargetAnswer:
    body = b''.join(chunks)
    if expected is not None and len(body) != expected:
        raise ClientPayloadError(f'{len(body)} of {expected} bytes arrived')
    return TargetAnswer(response.status, headers, body, None)


def _failure(error: Exception, committed: bool) -> AttemptFailure:
    outcome = RESET
    if not committed:
        connecting = not isinstance(error, TimeoutError) or isinstance(
            error, ConnectionTimeoutError
        )
        # The caller's deadline says nothing about the target.
        outcome = CONNECT_FAILED if connecting else UNUSED
    elif isinstance(error, TimeoutError):
        outcome = TIMEOUT
    elif isinstance(error, ClientPayloadError):
        outcome = SHORT
    elif isinstance(error, (ClientResponseError, _WrongAnswerError)):
        outcome = WRONG
    return AttemptFailure(outcome, committed, str(error) or repr(error))
