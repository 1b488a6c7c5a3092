"""Takes one request from the caller to a target and its answer back.

Every refusal passes through one place, which knows from the request's state
machine whether the request may have run, so that "not run" is always true.
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
from oleanderridge.forward.scrub import InboundRequest, scrub
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
_ROUTE_METHODS: Final = frozenset(('PUT', 'DELETE'))
_METHOD_FORM: Final = re.compile('(?!CONNECT$)[A-Z][A-Z-]*')
_REASON_BY_OUTCOME: Final = {
    'timeout': 'target-timeout',
    'reset': 'target-reset',
    'short': 'target-short-answer',
    'wrong': 'target-wrong-answer',
    'connect-failed': 'connect-failed',
    'unused': 'deadline',
}
_MS: Final = 1000
_SERVER_ERROR: Final = 500

_ValueT = TypeVar('_ValueT')


class Token(NamedTuple):
    """An admission; ``host`` granted it and is empty for a local token."""

    workspace: str
    host: str


class Permit(NamedTuple):
    """The right to run one request at a target until ``expires_at``."""

    permit_id: str
    service: str
    target: str
    url: str
    expires_at: float


class Ports(NamedTuple):
    """What the forwarder needs of the rest of the host.

    ``match(index, method, path)`` and ``authorise(index, route, key)`` read
    the bundle that ``index()`` returns; ``service(name)`` is None when the
    bundle has no such service. ``claim`` and ``complete`` reach the home of
    the idempotency key; a ``claim`` whose home cannot be reached is refused
    as ``duplicate-unknown``. The awaitables may be cancelled.
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


class _Live:
    """One request from its arrival to the end of its answer."""

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
        self.withdrawn: Refusal | None = None
        self.detached = False
        self.stream: TargetStream | None = None
        self.task: asyncio.Task[Reply] | None = None


class Forwarder:
    """Runs requests.

    Parameters
    ----------
    settings : Settings
        The ``forward`` section is used.
    client : TargetClient
        Open while requests are handled.
    ports : Ports
        The rest of the host.
    """

    def __init__(
        self, settings: Settings, client: TargetClient, ports: Ports
    ) -> None:
        self._settings = settings['forward']
        self._client = client
        self._ports = ports
        self._live: set[_Live] = set()

    def live(self) -> int:
        """Return how many requests are not finished.

        Returns
        -------
        int
            Includes open streams and requests whose caller has gone.
        """
        return len(self._live)

    async def handle(self, request: InboundRequest) -> Reply:
        """Run one request; cancel the call when the caller disconnects.

        Parameters
        ----------
        request : InboundRequest
            Its id is unique in the fleet and not chosen by the caller.

        Returns
        -------
        Reply
            The answer or a refusal. Whoever does not read ``stream`` to its
            end calls its ``aclose``.
        """
        live = _Live(request, self._ports.clock())
        refusal = self._receive(live)
        if refusal is not None:
            return refusal_reply(live.request, refusal)
        self._live.add(live)
        if live.idempotent:
            # A task of its own is needed only to outlive the caller.
            live.task = asyncio.current_task()
            return await self._run(live)
        live.task = asyncio.create_task(self._run(live))
        try:
            return await asyncio.shield(live.task)
        except asyncio.CancelledError:
            _caller_gone(live)
            raise

    def on_bundle(self, index: Any) -> None:
        """Withdraw the live requests that a new bundle does not allow.

        Parameters
        ----------
        index : AdmissionIndex
            The index of the bundle that has taken effect.
        """
        for live in tuple(self._live):
            if live.workspace and live.withdrawn is None:
                refusal = self._authorise(index, live)
                if refusal is not None:
                    _withdraw(live, refusal)

    async def _run(self, live: _Live) -> Reply:
        try:
            outcome = await self._serve(live)
        except asyncio.CancelledError:
            refusal = live.withdrawn
            self._undo(live, refusal)
            if refusal is None or live.task.uncancel():
                raise
            outcome = Err(refusal)
        except BaseException:
            self._undo(live, None)
            raise
        finally:
            if live.stream is None:
                self._live.discard(live)
        return self._reply(live, outcome)

    def _reply(self, live: _Live, outcome: Result[Reply, Refusal]) -> Reply:
        if isinstance(outcome, Err):
            self._undo(live, outcome.err_value)
            reply = refusal_reply(live.request, _truthful(live, outcome))
        else:
            reply = outcome.ok_value
        live.state.advance(ANSWERED)
        if live.detached and live.stream is not None:
            live.stream.abandon('the caller has gone')
        return reply._replace(headers=(*reply.headers, *_closing(live)))

    def _undo(self, live: _Live, refusal: Refusal | None) -> None:
        ran = live.state.may_have_run
        self._complete(live, OUTCOME_UNKNOWN if ran else NOT_RUN, None)
        unknown = refusal is not None and refusal.outcome == UNKNOWN
        if live.token is not None and not (ran or unknown):
            self._ports.refund(live.token)
        live.token = None

    def _complete(
        self, live: _Live, state: str, answer: StoredAnswer | None
    ) -> None:
        if live.claim is not None:
            key, claim_id = live.claim
            live.claim = None
            self._ports.complete(key, claim_id, live.workspace, state, answer)

    async def _serve(self, live: _Live) -> Result[Reply, Refusal]:
        if live.withdrawn is not None:
            return Err(live.withdrawn)
        if live.detached:
            raise asyncio.CancelledError
        live.state.advance(QUEUED)
        admitted = await self._admit(live)
        if isinstance(admitted, Err):
            return admitted
        claimed = await self._claim(live)
        if claimed is not None:
            return claimed
        return await self._attempts(live)

    def _receive(self, live: _Live) -> Refusal | None:
        refusal = _path_fault(live.request)
        if refusal is not None:
            return refusal
        scrubbed = scrub(live.request)
        if isinstance(scrubbed, Err):
            return scrubbed.err_value
        live.key = scrubbed.ok_value.key
        live.request = scrubbed.ok_value.request
        refusal = self._authorise(self._ports.index(), live)
        if refusal is not None:
            return refusal
        return _set_deadline(live)

    def _authorise(self, index: Any, live: _Live) -> Refusal | None:
        request = live.request
        match = partial(self._ports.match, index, request.method)
        route = match(request.path)
        plain = _plain_path(request.path)
        # The target would decode the path and serve what another route covers.
        if plain != request.path and match(plain) != route:
            return refuse('bad-request', 'the path is ambiguous')
        service = route and self._ports.service(route['service'])
        if not route or not service:
            return refuse('no-route', f'{request.method} {request.path}')
        allowed = self._ports.authorise(index, route, live.key)
        if isinstance(allowed, Err):
            return allowed.err_value
        if live.workspace and live.workspace != allowed.ok_value:
            return refuse('key-not-allowed', 'the key changed its workspace')
        if not live.workspace:
            live.workspace = allowed.ok_value
            live.service = service
            live.idempotent = _is_idempotent(request.method, route)
        return None

    async def _admit(self, live: _Live) -> Result[None, Refusal]:
        if live.key is None:
            # An open route; no workspace pays for the request.
            return Ok(None)
        admitted = await self._in_time(
            live, partial(self._ports.admit, live.workspace)
        )
        if isinstance(admitted, Err):
            return admitted
        live.token = admitted.ok_value
        return Ok(None)

    async def _claim(self, live: _Live) -> Result[Reply, Refusal] | None:
        text = _header(live.request, 'idempotency-key')
        if text is None or live.idempotent:
            return None
        parsed = parse_key(text)
        if isinstance(parsed, Err):
            return parsed
        claim_id = uuid4().hex
        live.claim = (text, claim_id)
        claimed = await self._in_time(
            live,
            partial(
                self._ports.claim,
                text,
                claim_id,
                live.workspace,
                _fingerprint(live.request),
            ),
        )
        if isinstance(claimed, Err):
            return claimed
        reply = claimed.ok_value
        if reply['state'] == CLAIMED:
            return None
        live.claim = None
        return _unclaimed(live.request, reply)

    async def _attempts(self, live: _Live) -> Result[Reply, Refusal]:
        kept: Result[Reply, Refusal] | None = None
        for _ in range(self._settings['attempts_max']):
            acquired = await self._acquire(live)
            if isinstance(acquired, Err):
                return acquired if kept is None else kept
            outcome, final = await self._attempt(live, acquired.ok_value)
            if final:
                return outcome
            # A refusal before the commit must not hide an earlier attempt
            # that may have run.
            if kept is None or not _is_not_run(outcome):
                kept = outcome
        return Err(refuse('no-target')) if kept is None else kept

    async def _acquire(self, live: _Live) -> Result[Permit, Refusal]:
        return await self._in_time(
            live,
            partial(
                self._ports.acquire,
                live.service['name'],
                live.request.request_id,
                live.workspace,
                live.deadline,
                live.excluded,
            ),
        )

    async def _attempt(
        self, live: _Live, permit: Permit
    ) -> tuple[Result[Reply, Refusal], bool]:
        started = self._ports.clock()
        limit = min(live.deadline, permit.expires_at) - started
        if limit <= 0 or live.withdrawn is not None:
            self._ports.release(permit, 'unused', 0)
            return Err(refuse('deadline', 'the permit has expired')), False
        try:
            sent = await self._client.send(
                self._plan(live, permit, limit),
                partial(live.state.advance, COMMITTED),
            )
        except BaseException:
            self._ports.release(permit, 'unused', 0)
            raise
        latency_ms = (self._ports.clock() - started) * _MS
        if isinstance(sent, Ok):
            return self._answer(live, permit, sent.ok_value, latency_ms)
        failure = sent.err_value
        self._ports.release(permit, failure.outcome, latency_ms)
        if failure.outcome != 'unused':
            live.excluded = (*live.excluded, permit.target)
        final = failure.committed and not live.idempotent
        return Err(_failure_refusal(failure)), final

    def _plan(self, live: _Live, permit: Permit, limit: float) -> Attempt:
        request = live.request
        query = f'?{request.query}' if request.query else ''
        return Attempt(
            url=f'{permit.url.rstrip("/")}{request.path}{query}',
            request=request._replace(headers=request_headers(request, limit)),
            timeout_s=limit,
            connect_timeout_s=self._settings['connect_timeout_s'],
            echo_header=live.service.get('echo_header', ''),
            buffer_limit_bytes=live.service['buffer_limit_bytes'],
        )

    def _answer(
        self,
        live: _Live,
        permit: Permit,
        answer: TargetAnswer,
        latency_ms: float,
    ) -> tuple[Result[Reply, Refusal], bool]:
        outcome = _answer_outcome(answer)
        shed = outcome == 'shed' and live.idempotent and answer.stream is None
        if shed:
            live.excluded = (*live.excluded, permit.target)
        if isinstance(answer.stream, TargetStream):
            self._follow(live, permit, outcome, latency_ms, answer.stream)
        else:
            self._ports.release(permit, outcome, latency_ms)
        if live.claim is not None:
            limit = self._settings['stored_answer_limit_bytes']
            self._complete(live, DONE, stored_answer(answer, limit))
        return Ok(answer_reply(live.request, answer)), not shed

    def _follow(
        self,
        live: _Live,
        permit: Permit,
        outcome: str,
        latency_ms: float,
        stream: TargetStream,
    ) -> None:
        # The latency is that of the head: how fast the caller reads the body
        # says nothing about the target.
        def on_end(ended: str) -> None:
            final = outcome if ended == 'ok' else ended
            self._ports.release(permit, final, latency_ms)
            self._live.discard(live)

        stream.on_end = on_end
        stream.run_to_end = not live.idempotent
        live.stream = stream

    async def _in_time(
        self,
        live: _Live,
        ask: Callable[[], Awaitable[Result[_ValueT, Refusal]]],
    ) -> Result[_ValueT, Refusal]:
        left = live.deadline - self._ports.clock()
        if left > 0:
            with suppress(TimeoutError):
                async with asyncio.timeout(left):
                    return await ask()
        return Err(refuse('deadline', 'no time is left'))


def _caller_gone(live: _Live) -> None:
    live.detached = True
    if live.stream is None:
        _stop(live)
    else:
        live.stream.abandon('the caller has gone')


def _withdraw(live: _Live, refusal: Refusal) -> None:
    live.withdrawn = refusal
    if live.stream is None:
        _stop(live)
    else:
        live.stream.abandon(refusal.reason)


def _stop(live: _Live) -> None:
    # A task cancelled before its first step would end without its cleanup;
    # _serve looks at the reason when it starts.
    started = live.state.phase != RECEIVED
    if started and (live.idempotent or not live.state.may_have_run):
        live.task.cancel()


def _truthful(live: _Live, outcome: Err[Refusal]) -> Refusal:
    refusal = outcome.err_value
    if live.state.may_have_run:
        return refusal._replace(outcome=UNKNOWN)
    return refusal


def _closing(live: _Live) -> tuple[tuple[str, str], ...]:
    return () if live.withdrawn is None else (('Connection', 'close'),)


def _path_fault(request: InboundRequest) -> Refusal | None:
    if not _METHOD_FORM.fullmatch(request.method):
        return refuse('bad-request', 'the method is not supported')
    # Targets resolve dot segments, so the route would not be the one that
    # was authorised.
    if not {'.', '..'}.isdisjoint(_plain_path(request.path).split('/')):
        return refuse('bad-request', 'the path has dot segments')
    return None


def _plain_path(path: str) -> str:
    return re.sub('/+', '/', unquote(path).replace('\\', '/'))


def _is_idempotent(method: str, route: Route) -> bool:
    if method in _SAFE_METHODS:
        return True
    named: Sequence[str] = route.get('idempotent_methods', ())
    return method in _ROUTE_METHODS and method in named


def _set_deadline(live: _Live) -> Refusal | None:
    limit_ms = live.service['timeout_ms']
    text = _header(live.request, 'request-deadline-ms')
    if text is not None:
        if not re.fullmatch('[0-9]{1,9}', text):
            return refuse('bad-request', 'Request-Deadline-Ms is no number')
        limit_ms = min(limit_ms, int(text))
    live.deadline += limit_ms / _MS
    return None


def _header(request: InboundRequest, name: str) -> str | None:
    found = [
        value.strip()
        for header, value in request.headers
        if header.lower() == name
    ]
    # Neither a number nor an idempotency key can contain the separator, so
    # a repeated header is refused.
    return ', '.join(found) if found else None


def _fingerprint(request: InboundRequest) -> str:
    digest = sha256()
    for part in (request.method, request.path, request.query):
        digest.update(f'{len(part)}:{part}'.encode())
    digest.update(request.body)
    return digest.hexdigest()


def _unclaimed(
    request: InboundRequest, reply: KeyClaimReply
) -> Result[Reply, Refusal]:
    state = reply['state']
    if state == DONE and 'answer' in reply:
        return Ok(replayed_reply(request, reply['answer']))
    if state == IN_PROGRESS:
        return Err(refuse('duplicate-in-progress'))
    if state == MISMATCH:
        return Err(
            refuse('bad-request', "the idempotency key is not this request's")
        )
    if state == FULL:
        return Err(refuse('key-claim-failed', 'the key register is full'))
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
    if answer.status < _SERVER_ERROR:
        return 'ok'
    return 'shed' if state == 'shedding' and answer.status == 503 else 'error'
