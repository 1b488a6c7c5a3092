"""Forwards one request to a target and returns the response to the caller.

Every refusal is built in one place, which derives from the request's state
machine whether the request may have run. A refusal therefore reports
``not-run`` only if no target can have executed the request.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from functools import partial
from hashlib import sha256
from typing import Any, Final, NamedTuple, TypeVar
from urllib.parse import unquote
from uuid import uuid4

from result import Err, Ok, Result

from oleanderridge.forward.client import (
    Attempt,
    AttemptFailure,
    TargetAnswer,
    TargetClient,
)
from oleanderridge.forward.idempotency import (
    CLAIMED,
    DONE,
    FULL,
    IN_PROGRESS,
    MISMATCH,
    NOT_RUN,
    OUTCOME_UNKNOWN,
    parse_key,
)
from oleanderridge.forward.reply import (
    Reply,
    answer_reply,
    refusal_reply,
    replayed_reply,
    request_headers,
    stored_answer,
)
from oleanderridge.forward.scrub import InboundRequest, remove_caller_key
from oleanderridge.forward.state import (
    ANSWERED,
    COMMITTED,
    QUEUED,
    RECEIVED,
    RequestState,
)
from oleanderridge.forward.stream import TargetStream
from oleanderridge.generated.bundle import Route, Service
from oleanderridge.generated.messages import KeyClaimReply, StoredAnswer
from oleanderridge.generated.settings import Settings
from oleanderridge.refusals import UNKNOWN, Refusal, refuse

_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))
_ROUTE_IDEMPOTENT_METHODS: Final = frozenset(('PUT', 'DELETE'))
_METHOD_PATTERN: Final = re.compile('(?!CONNECT$)[A-Z][A-Z-]*')
_REASON_BY_OUTCOME: Final = {
    'timeout': 'target-timeout',
    'reset': 'target-reset',
    'short': 'target-short-answer',
    'wrong': 'target-wrong-answer',
    'connect-failed': 'connect-failed',
    'unused': 'deadline',
}
_MS_PER_S: Final = 1000
_SERVER_ERROR_STATUS: Final = 500

_ValueT = TypeVar('_ValueT')


class Token(NamedTuple):
    """A rate limit token; ``host`` granted it and is empty if this host did."""

    workspace: str
    host: str


class Permit(NamedTuple):
    """The right to run one request at a target until ``expires_at``."""

    permit_id: str
    service: str
    target: str
    url: str
    expires_at: float


class ForwarderCallbacks(NamedTuple):
    """Callbacks through which the forwarder uses the rest of the host.

    ``match(index, method, path)`` and ``authorise(index, route, key)`` read
    the bundle that ``index()`` returns; ``service(name)`` is None when the
    bundle has no such service. ``claim`` and ``complete`` contact the host
    that records the idempotency key; if that host is unreachable, ``claim``
    is refused as ``duplicate-unknown``. The awaitables may be cancelled.
    """

    match: Callable[[Any, str, str], Route | None]
    authorise: Callable[[Any, Route, str | None], Result[str, Refusal]]
    service: Callable[[str], Service | None]
    admit: Callable[[str], Awaitable[Result[Token, Refusal]]]
    acquire: Callable[
        [str, str, str, float, tuple[str, ...]],
        Awaitable[Result[Permit, Refusal]],
    ]
    release: Callable[[Permit, str, float], None]
    refund: Callable[[Token], None]
    claim: Callable[
        [str, str, str, str], Awaitable[Result[KeyClaimReply, Refusal]]
    ]
    complete: Callable[[str, str, str, str, StoredAnswer | None], None]
    index: Callable[[], Any]
    clock: Callable[[], float]


class _ActiveRequest:
    """State of one request until its response has been sent completely."""

    def __init__(self, request: InboundRequest, started: float) -> None:
        self.request = request
        self.key: str | None = None
        self.state = RequestState(request.request_id)
        self.deadline = started
        self.workspace = ''
        self.idempotent = False
        self.excluded: tuple[str, ...] = ()
        self.service: Service | None = None
        self.token: Token | None = None
        self.claim: tuple[str, str] | None = None
        self.revocation: Refusal | None = None
        self.caller_disconnected = False
        self.stream: TargetStream | None = None
        self.task: asyncio.Task[Reply] | None = None


class Forwarder:
    """Forwards requests to targets.

    Parameters
    ----------
    settings : Settings
        The ``forward`` section is used.
    client : TargetClient
        Open while requests are handled.
    ports : ForwarderCallbacks
        Callbacks to the rest of the host.
    """

    def __init__(
        self,
        settings: Settings,
        client: TargetClient,
        ports: ForwarderCallbacks,
    ) -> None:
        self._settings = settings['forward']
        self._client = client
        self._ports = ports
        self._active_requests: set[_ActiveRequest] = set()

    def active_count(self) -> int:
        """Return the number of unfinished requests.

        Returns
        -------
        int
            Includes open streams and requests whose caller disconnected.
        """
        return len(self._active_requests)

    async def handle(self, request: InboundRequest) -> Reply:
        """Forward one request; cancel the call if the caller disconnects.

        Parameters
        ----------
        request : InboundRequest
            Its id is unique in the fleet and never set by the caller.

        Returns
        -------
        Reply
            The response or a refusal. A consumer that does not read
            ``stream`` to its end must call its ``aclose``.
        """
        active = _ActiveRequest(request, self._ports.clock())
        refusal = self._validate(active)
        if refusal is not None:
            return refusal_reply(active.request, refusal)
        self._active_requests.add(active)
        if active.idempotent:
            # Only a request that must outlive its caller needs its own task.
            active.task = asyncio.current_task()
            return await self._run(active)
        active.task = asyncio.create_task(self._run(active))
        try:
            return await asyncio.shield(active.task)
        except asyncio.CancelledError:
            _on_caller_disconnect(active)
            raise

    def on_bundle(self, index: Any) -> None:
        """Revoke the active requests that a new bundle no longer authorises.

        Parameters
        ----------
        index : AdmissionIndex
            The index of the bundle now in force.
        """
        for active in tuple(self._active_requests):
            if active.workspace and active.revocation is None:
                refusal = self._authorise(index, active)
                if refusal is not None:
                    _revoke(active, refusal)

    async def _run(self, active: _ActiveRequest) -> Reply:
        try:
            outcome = await self._process(active)
        except asyncio.CancelledError:
            refusal = active.revocation
            self._roll_back(active, refusal)
            if refusal is None or active.task.uncancel():
                raise
            outcome = Err(refusal)
        except BaseException:
            self._roll_back(active, None)
            raise
        finally:
            if active.stream is None:
                self._active_requests.discard(active)
        return self._reply(active, outcome)

    def _reply(
        self, active: _ActiveRequest, outcome: Result[Reply, Refusal]
    ) -> Reply:
        if isinstance(outcome, Err):
            self._roll_back(active, outcome.err_value)
            reply = refusal_reply(
                active.request, _with_possible_execution(active, outcome)
            )
        else:
            reply = outcome.ok_value
        active.state.advance(ANSWERED)
        if active.caller_disconnected and active.stream is not None:
            active.stream.abandon('the caller disconnected')
        return reply._replace(
            headers=(*reply.headers, *_connection_close_header(active))
        )

    def _roll_back(
        self, active: _ActiveRequest, refusal: Refusal | None
    ) -> None:
        may_have_run = active.state.may_have_run
        self._complete(
            active, OUTCOME_UNKNOWN if may_have_run else NOT_RUN, None
        )
        unknown = refusal is not None and refusal.outcome == UNKNOWN
        if active.token is not None and not (may_have_run or unknown):
            self._ports.refund(active.token)
        active.token = None

    def _complete(
        self, active: _ActiveRequest, state: str, answer: StoredAnswer | None
    ) -> None:
        if active.claim is not None:
            key, claim_id = active.claim
            active.claim = None
            self._ports.complete(key, claim_id, active.workspace, state, answer)

    async def _process(self, active: _ActiveRequest) -> Result[Reply, Refusal]:
        if active.revocation is not None:
            return Err(active.revocation)
        if active.caller_disconnected:
            raise asyncio.CancelledError
        active.state.advance(QUEUED)
        admitted = await self._admit(active)
        if isinstance(admitted, Err):
            return admitted
        claimed = await self._claim(active)
        if claimed is not None:
            return claimed
        return await self._run_attempts(active)

    def _validate(self, active: _ActiveRequest) -> Refusal | None:
        refusal = _check_request_line(active.request)
        if refusal is not None:
            return refusal
        scrubbed = remove_caller_key(active.request)
        if isinstance(scrubbed, Err):
            return scrubbed.err_value
        active.key = scrubbed.ok_value.key
        active.request = scrubbed.ok_value.request
        refusal = self._authorise(self._ports.index(), active)
        if refusal is not None:
            return refusal
        return _set_deadline(active)

    def _authorise(self, index: Any, active: _ActiveRequest) -> Refusal | None:
        request = active.request
        match = partial(self._ports.match, index, request.method)
        route = match(request.path)
        normalised = _normalised_path(request.path)
        # A target that normalises the path would serve a resource of a
        # route other than the authorised one.
        if normalised != request.path and match(normalised) != route:
            return refuse('bad-request', 'the path is ambiguous')
        service = route and self._ports.service(route['service'])
        if not route or not service:
            return refuse('no-route', f'{request.method} {request.path}')
        allowed = self._ports.authorise(index, route, active.key)
        if isinstance(allowed, Err):
            return allowed.err_value
        if active.workspace and active.workspace != allowed.ok_value:
            return refuse(
                'key-not-allowed', 'the workspace of the key has changed'
            )
        if not active.workspace:
            active.workspace = allowed.ok_value
            active.service = service
            active.idempotent = _is_idempotent(request.method, route)
        return None

    async def _admit(self, active: _ActiveRequest) -> Result[None, Refusal]:
        if active.key is None:
            # Requests on an open route are not rate limited.
            return Ok(None)
        admitted = await self._before_deadline(
            active, partial(self._ports.admit, active.workspace)
        )
        if isinstance(admitted, Err):
            return admitted
        active.token = admitted.ok_value
        return Ok(None)

    async def _claim(
        self, active: _ActiveRequest
    ) -> Result[Reply, Refusal] | None:
        text = _header_value(active.request, 'idempotency-key')
        if text is None or active.idempotent:
            return None
        parsed = parse_key(text)
        if isinstance(parsed, Err):
            return parsed
        claim_id = uuid4().hex
        active.claim = (text, claim_id)
        claimed = await self._before_deadline(
            active,
            partial(
                self._ports.claim,
                text,
                claim_id,
                active.workspace,
                _fingerprint(active.request),
            ),
        )
        if isinstance(claimed, Err):
            return claimed
        reply = claimed.ok_value
        if reply['state'] == CLAIMED:
            return None
        active.claim = None
        return _result_without_claim(active.request, reply)

    async def _run_attempts(
        self, active: _ActiveRequest
    ) -> Result[Reply, Refusal]:
        reported: Result[Reply, Refusal] | None = None
        for _ in range(self._settings['attempts_max']):
            acquired = await self._acquire(active)
            if isinstance(acquired, Err):
                return acquired if reported is None else reported
            outcome, final = await self._run_attempt(active, acquired.ok_value)
            if final:
                return outcome
            # A failure before the commit must not replace the result of an
            # earlier attempt that may have run.
            if reported is None or not _is_not_run(outcome):
                reported = outcome
        return Err(refuse('no-target')) if reported is None else reported

    async def _acquire(self, active: _ActiveRequest) -> Result[Permit, Refusal]:
        return await self._before_deadline(
            active,
            partial(
                self._ports.acquire,
                active.service['name'],
                active.request.request_id,
                active.workspace,
                active.deadline,
                active.excluded,
            ),
        )

    async def _run_attempt(
        self, active: _ActiveRequest, permit: Permit
    ) -> tuple[Result[Reply, Refusal], bool]:
        started = self._ports.clock()
        limit = min(active.deadline, permit.expires_at) - started
        if limit <= 0 or active.revocation is not None:
            self._ports.release(permit, 'unused', 0)
            return Err(
                refuse(
                    'deadline', 'the permit expired before the request was sent'
                )
            ), False
        try:
            sent = await self._client.send(
                self._build_attempt(active, permit, limit),
                partial(active.state.advance, COMMITTED),
            )
        except BaseException:
            self._ports.release(permit, 'unused', 0)
            raise
        latency_ms = (self._ports.clock() - started) * _MS_PER_S
        if isinstance(sent, Ok):
            return self._handle_answer(
                active, permit, sent.ok_value, latency_ms
            )
        failure = sent.err_value
        self._ports.release(permit, failure.outcome, latency_ms)
        if failure.outcome != 'unused':
            active.excluded = (*active.excluded, permit.target)
        final = failure.committed and not active.idempotent
        return Err(_failure_refusal(failure)), final

    def _build_attempt(
        self, active: _ActiveRequest, permit: Permit, limit: float
    ) -> Attempt:
        request = active.request
        query = f'?{request.query}' if request.query else ''
        return Attempt(
            url=f'{permit.url.rstrip("/")}{request.path}{query}',
            request=request._replace(headers=request_headers(request, limit)),
            timeout_s=limit,
            connect_timeout_s=self._settings['connect_timeout_s'],
            echo_header=active.service.get('echo_header', ''),
            buffer_limit_bytes=active.service['buffer_limit_bytes'],
        )

    def _handle_answer(
        self,
        active: _ActiveRequest,
        permit: Permit,
        answer: TargetAnswer,
        latency_ms: float,
    ) -> tuple[Result[Reply, Refusal], bool]:
        outcome = _answer_outcome(answer)
        shed = outcome == 'shed' and active.idempotent and answer.stream is None
        if shed:
            active.excluded = (*active.excluded, permit.target)
        if isinstance(answer.stream, TargetStream):
            self._track_stream(
                active, permit, outcome, latency_ms, answer.stream
            )
        else:
            self._ports.release(permit, outcome, latency_ms)
        if active.claim is not None:
            limit = self._settings['stored_answer_limit_bytes']
            self._complete(active, DONE, stored_answer(answer, limit))
        return Ok(answer_reply(active.request, answer)), not shed

    def _track_stream(
        self,
        active: _ActiveRequest,
        permit: Permit,
        outcome: str,
        latency_ms: float,
        stream: TargetStream,
    ) -> None:
        # Latency is measured up to the response head, because the rest
        # depends on how fast the caller reads the body.
        def on_end(stream_outcome: str) -> None:
            final = outcome if stream_outcome == 'ok' else stream_outcome
            self._ports.release(permit, final, latency_ms)
            self._active_requests.discard(active)

        stream.on_end = on_end
        stream.run_to_end = not active.idempotent
        active.stream = stream

    async def _before_deadline(
        self,
        active: _ActiveRequest,
        operation: Callable[[], Awaitable[Result[_ValueT, Refusal]]],
    ) -> Result[_ValueT, Refusal]:
        remaining_s = active.deadline - self._ports.clock()
        if remaining_s > 0:
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    return await operation()
        return Err(refuse('deadline', 'no time is left before the deadline'))


def _on_caller_disconnect(active: _ActiveRequest) -> None:
    active.caller_disconnected = True
    if active.stream is None:
        _cancel_if_safe(active)
    else:
        active.stream.abandon('the caller disconnected')


def _revoke(active: _ActiveRequest, refusal: Refusal) -> None:
    active.revocation = refusal
    if active.stream is None:
        _cancel_if_safe(active)
    else:
        active.stream.abandon(refusal.reason)


def _cancel_if_safe(active: _ActiveRequest) -> None:
    # A task that is cancelled before its first step never runs its cleanup;
    # _process checks for revocation and disconnection when it starts.
    started = active.state.phase != RECEIVED
    if started and (active.idempotent or not active.state.may_have_run):
        active.task.cancel()


def _with_possible_execution(
    active: _ActiveRequest, outcome: Err[Refusal]
) -> Refusal:
    refusal = outcome.err_value
    if active.state.may_have_run:
        return refusal._replace(outcome=UNKNOWN)
    return refusal


def _connection_close_header(
    active: _ActiveRequest,
) -> tuple[tuple[str, str], ...]:
    return () if active.revocation is None else (('Connection', 'close'),)


def _check_request_line(request: InboundRequest) -> Refusal | None:
    if not _METHOD_PATTERN.fullmatch(request.method):
        return refuse('bad-request', 'the method is not supported')
    # Targets resolve dot segments, so the request could reach a path of a
    # route other than the authorised one.
    if not {'.', '..'}.isdisjoint(_normalised_path(request.path).split('/')):
        return refuse('bad-request', 'the path contains dot segments')
    return None


def _normalised_path(path: str) -> str:
    return re.sub('/+', '/', unquote(path).replace('\\', '/'))


def _is_idempotent(method: str, route: Route) -> bool:
    if method in _SAFE_METHODS:
        return True
    named: Sequence[str] = route.get('idempotent_methods', ())
    return method in _ROUTE_IDEMPOTENT_METHODS and method in named


def _set_deadline(active: _ActiveRequest) -> Refusal | None:
    limit_ms = active.service['timeout_ms']
    text = _header_value(active.request, 'request-deadline-ms')
    if text is not None:
        if not re.fullmatch('[0-9]{1,9}', text):
            return refuse(
                'bad-request',
                'Request-Deadline-Ms must be an integer of 1 to 9 digits',
            )
        limit_ms = min(limit_ms, int(text))
    active.deadline += limit_ms / _MS_PER_S
    return None


def _header_value(request: InboundRequest, name: str) -> str | None:
    found = [
        value.strip()
        for header, value in request.headers
        if header.lower() == name
    ]
    # Neither a number nor an idempotency key can contain ", ", so a repeated
    # header fails validation.
    return ', '.join(found) if found else None


def _fingerprint(request: InboundRequest) -> str:
    digest = sha256()
    for part in (request.method, request.path, request.query):
        digest.update(f'{len(part)}:{part}'.encode())
    digest.update(request.body)
    return digest.hexdigest()


def _result_without_claim(
    request: InboundRequest, reply: KeyClaimReply
) -> Result[Reply, Refusal]:
    state = reply['state']
    if state == DONE and 'answer' in reply:
        return Ok(replayed_reply(request, reply['answer']))
    if state == IN_PROGRESS:
        return Err(refuse('duplicate-in-progress'))
    if state == MISMATCH:
        return Err(
            refuse(
                'bad-request',
                'the idempotency key was used for a different request',
            )
        )
    if state == FULL:
        return Err(
            refuse('key-claim-failed', 'the idempotency key register is full')
        )
    return Err(refuse('duplicate-unknown'))


def _is_not_run(outcome: Result[Reply, Refusal]) -> bool:
    return isinstance(outcome, Err) and outcome.err_value.outcome != UNKNOWN


def _failure_refusal(failure: AttemptFailure) -> Refusal:
    return refuse(_REASON_BY_OUTCOME[failure.outcome], failure.detail)


def _answer_outcome(answer: TargetAnswer) -> str:
    state = ''
    for name, value in answer.headers:
        if name.lower() == 'target-state':
            state = value.strip().lower()
    if state == 'draining':
        return 'draining'
    if answer.status < _SERVER_ERROR_STATUS:
        return 'ok'
    return 'shed' if state == 'shedding' and answer.status == 503 else 'error'
