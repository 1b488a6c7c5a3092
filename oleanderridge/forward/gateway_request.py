"""Forwards a caller's request to targets and retries within its limits."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from oleanderridge.dispatch.permit_client import PermitClient, SendEvidence
from oleanderridge.dispatch.placement import (
    CRASHES_TARGETS,
    NO_RETRY_LEFT,
    RATE_EXCEEDED,
)
from oleanderridge.dispatch.target_notices import TargetNotices
from oleanderridge.forward.gateway_answers import (
    RequestResult,
    classify_answer,
    forwarded_reply,
    may_forward,
    refusal_result,
)
from oleanderridge.forward.gateway_logs import (
    log_end,
    log_refusal,
    log_send,
    log_unfinished,
)
from oleanderridge.forward.gateway_progress import (
    ActiveSend,
    RequestProgress,
    SendResult,
)
from oleanderridge.gateway.model import (
    SAFE,
    Configuration,
    find_route,
    priority_of,
)
from oleanderridge.gateway.outcomes import Ground, Outcome, Purpose
from oleanderridge.gateway.shares import ShareCounter
from oleanderridge.generated.fleet import Acquire, Grant, Refused
from oleanderridge.generated.gateway import GatewaySettings
from oleanderridge.http1.client import (
    GARBLED,
    NOT_SENT,
    RESET,
    SHORT,
    STALE,
    Answer,
    ExchangeError,
    Outbound,
)
from oleanderridge.http1.connection_pool import ConnectionPool
from oleanderridge.http1.messages import Inbound, Reply, header
from oleanderridge.platform.headers import (
    CallerTerms,
    SendTerms,
    answers_attempt,
    read_caller_terms,
    read_notice,
    target_headers,
)
from oleanderridge.platform.interface import path_of

_LOGGER = logging.getLogger(__name__)

# Time that a caller spends on the network: opening a connection, sending the
# request and receiving the response.
_CALLER_NETWORK_TIME_S: Final = 0.03
# With less time than this left, a send cannot complete.
_MIN_SEND_TIME_S: Final = 0.01
# Delay before retrying a request that an overloaded target shed.
_SHED_RETRY_DELAY_S: Final = 0.03
# Longest idle time of a connection reused for a non-idempotent request: if
# the peer closes the connection meanwhile, the outcome is unknown.
_UNSAFE_IDLE_MAX_S: Final = 4.0
# Retry-After of refusals for which the placement gives no time.
_DEFAULT_RETRY_AFTER_S: Final = 0.3
_DEADLINE: Final = 'deadline'
_STOPPING: Final = 'stopping'
_INTERRUPTED: Final = 'interrupted'
# A target whose connection was cut off has ended if it takes no new one.
_CUT_OFF_KINDS: Final = frozenset((RESET, STALE, SHORT))
_END_CHECK_TIMEOUT_S: Final = 0.05

_OUTCOME_BY_ERROR_KIND: Final = {
    NOT_SENT: Outcome.NOT_SENT,
    RESET: Outcome.RESET,
    STALE: Outcome.RESET,
    SHORT: Outcome.GARBLED,
    GARBLED: Outcome.GARBLED,
}


class GatewayForwarderCallbacks(NamedTuple):
    """Dependencies of a forwarder on its host."""

    settings: GatewaySettings
    configuration: Callable[[], Configuration | None]
    permits: PermitClient
    pool: ConnectionPool
    notices: TargetNotices
    is_leaving: Callable[[str, int], bool]
    on_ended: Callable[[str, str, str, float], None]
    on_admitted: Callable[[Ground], None]
    rng: Random


class GatewayForwarder:
    """Handles the requests of callers.

    Parameters
    ----------
    ports : GatewayForwarderCallbacks
        Configuration, permits and connections of the host.
    """

    def __init__(self, ports: GatewayForwarderCallbacks) -> None:
        self._ports = ports
        self._shares = ShareCounter(ports.rng)
        self._task_by_request: dict[
            RequestProgress, asyncio.Future[RequestResult]
        ] = {}
        self._drain_ends_at = math.inf

    async def handle(self, inbound: Inbound) -> Reply:
        """Return the reply to a request.

        Parameters
        ----------
        inbound : Inbound
            A complete request.

        Returns
        -------
        Reply
            A target's complete response, or a refusal whose status does
            not rule out an execution that may have happened.
        """
        terms = read_caller_terms(inbound.headers)
        prepared = self._prepare(inbound, terms)
        if isinstance(prepared, RequestResult):
            configuration = self._ports.configuration()
            version = configuration.version if configuration else 0
            log_refusal(inbound, terms, prepared, version)
            self._ports.on_ended('', prepared.reason, 'none', 0)
            return prepared.reply
        result = await self._result_of(prepared)
        duration_s = _now() - inbound.received_at
        log_end(prepared, result, duration_s, self._ports.permits.leader())
        self._ports.on_ended(
            prepared.service, result.reason, prepared.route.kind, duration_s
        )
        return result.reply

    def interrupt(self) -> None:
        """End all requests, since this host ends."""
        now = _now()
        for request, task in self._task_by_request.items():
            log_unfinished(request, now)
            task.cancel()

    def begin_draining(self, ends_at: float) -> None:
        """Start only requests that end before this host does.

        Requests that wait for a target and may outlast the host are refused.

        Parameters
        ----------
        ends_at : float
            Loop time in seconds at which running requests are interrupted.
        """
        self._drain_ends_at = ends_at
        for request, task in self._task_by_request.items():
            if self._may_outlast_host(request) and not request.was_sent():
                task.cancel()

    async def _result_of(self, request: RequestProgress) -> RequestResult:
        task = asyncio.ensure_future(self._run(request))
        self._task_by_request[request] = task
        try:
            await asyncio.wait(
                (task, request.inbound.gone),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not task.done():
                return await self._on_caller_left(request, task)
            if not task.cancelled():
                return task.result()
            if request.was_sent():
                return refusal_result(502, _INTERRUPTED)
            return _stopping_result()
        finally:
            del self._task_by_request[request]

    def _may_outlast_host(self, request: RequestProgress) -> bool:
        return request.ends_by > self._drain_ends_at

    def _prepare(
        self, inbound: Inbound, terms: CallerTerms
    ) -> RequestProgress | RequestResult:
        configuration = self._ports.configuration()
        if configuration is None:
            return refusal_result(503, 'not-ready', _DEFAULT_RETRY_AFTER_S)
        path = path_of(inbound.target)
        route = find_route(configuration, terms.host, path)
        if route is None:
            return refusal_result(404, 'no-route')
        workspace = None
        if terms.key is not None:
            workspace = configuration.workspace_by_key.get(terms.key)
        needs_key = configuration.workspaces_by_name and not route.is_open
        if workspace is None and needs_key:
            return refusal_result(
                401, 'key-unknown' if terms.key else 'key-missing'
            )
        service = self._shares.next_service(route)
        request = RequestProgress(
            inbound, terms, route, workspace, service, configuration.version
        )
        if self._may_outlast_host(request):
            return _stopping_result()
        return request

    async def _on_caller_left(
        self, request: RequestProgress, task: asyncio.Future[RequestResult]
    ) -> RequestResult:
        if request.route.kind == SAFE or not request.in_flight:
            task.cancel()
        # A non-idempotent request that was sent is not interrupted.
        await asyncio.wait((task,))
        if task.cancelled():
            return RequestResult(Reply(502, [], b''), 'caller-left')
        return task.result()

    async def _run(self, request: RequestProgress) -> RequestResult:
        permit = await self._acquire(request)
        while isinstance(permit, Grant):
            self._record_ground(request, permit)
            result = await self._send(request, permit)
            if isinstance(result, RequestResult):
                return result
            permit = result
        request.permit_refusal = permit
        return self._end_without_permit(request, permit)

    def _record_ground(self, request: RequestProgress, grant: Grant) -> None:
        # Only the grant of a first attempt uses a rate.
        if grant.ground:
            request.ground = Ground.of(grant.ground)
            self._ports.on_admitted(request.ground)

    async def _acquire(self, request: RequestProgress) -> Grant | Refused:
        acquire = self._build_acquire(request)
        if isinstance(acquire, Refused):
            return acquire
        return await self._ports.permits.acquire(acquire)

    def _build_acquire(self, request: RequestProgress) -> Acquire | Refused:
        purpose = request.purpose()
        remaining_s = request.deadline - _now() - _MIN_SEND_TIME_S
        permit_id = self._ports.permits.new_permit()
        if remaining_s <= 0:
            return Refused(permit_id, _DEADLINE, 0)
        if purpose is Purpose.REPEAT and not request.may_send():
            return Refused(permit_id, NO_RETRY_LEFT, 0)
        if self._may_outlast_host(request) and not request.was_sent():
            return Refused(permit_id, _STOPPING, 0)
        route = request.route
        attempts_left = route.max_attempts - request.count_possible_executions()
        settings = self._ports.settings
        waited_s = _now() - request.inbound.received_at + _CALLER_NETWORK_TIME_S
        return Acquire(
            permit_id,
            settings['address'],
            settings['zone'],
            request.service,
            route.name,
            request.workspace.name if request.workspace else '',
            priority_of(route, request.workspace),
            route.kind != SAFE,
            purpose,
            route.kind == SAFE and attempts_left > 1,
            int(remaining_s * 1000),
            max(1, int(route.aim_s * 1000)),
            int(waited_s * 1000),
            [send.target for send in request.sends],
            request.fingerprint,
        )

    async def _send(
        self, request: RequestProgress, grant: Grant
    ) -> Grant | Refused | RequestResult:
        """Send with a permit; return the result or the next permit."""
        if not self._is_grant_usable(request, grant):
            # The host that granted the permit may not know of the notice yet.
            notice = self._ports.notices.notice_of(
                grant.target, grant.born_ms, _now()
            )
            evidence = SendEvidence(notice)
            self._ports.permits.release(grant, Outcome.UNUSED, 0, 0, evidence)
            request.sends.append(SendResult(grant.target, Outcome.UNUSED, 0))
            return await self._acquire(request)
        placed_by = self._ports.permits.granter(grant.permit)
        active_send = ActiveSend(grant, placed_by, _now())
        exchange = asyncio.ensure_future(self._exchange(request, grant))
        request.in_flight += 1
        try:
            next_permit = await self._acquire_if_slow(request, grant, exchange)
            if next_permit is None:
                await self._record_outcome(request, exchange, active_send)
            else:
                active_send.outcome = Outcome.HUNG
        finally:
            exchange.cancel()
            self._finish_send(request, active_send)
        if next_permit is not None:
            return next_permit
        if active_send.outcome is Outcome.ANSWERED:
            return self._end_with_answer(request)
        return await self._retry_or_fail(request, active_send.outcome)

    def _finish_send(
        self, request: RequestProgress, active_send: ActiveSend
    ) -> None:
        request.in_flight -= 1
        grant, outcome = active_send.grant, active_send.outcome
        latency_s = _now() - active_send.started
        sent = SendResult(grant.target, outcome, latency_s)
        request.sends.append(sent)
        self._ports.permits.release(
            grant,
            outcome,
            latency_s,
            active_send.answer_bytes,
            SendEvidence(
                active_send.notice,
                request.fingerprint,
                active_send.target_ended,
            ),
        )
        log_send(request, active_send, sent, request.deadline - _now())

    def _is_grant_usable(self, request: RequestProgress, grant: Grant) -> bool:
        target, born_ms = grant.target, grant.born_ms
        if self._ports.notices.declines(target, born_ms, _now()):
            return False
        if self._ports.is_leaving(target, born_ms):
            return False
        workspace, key = request.workspace, request.terms.key
        if workspace is None or key is None:
            return True
        configuration = self._ports.configuration()
        return configuration is None or key in configuration.workspace_by_key

    async def _acquire_if_slow(
        self, request: RequestProgress, grant: Grant, exchange: asyncio.Future
    ) -> Grant | None:
        """Return a permit for another target if the send takes too long."""
        if not grant.move_ms:
            return None
        await asyncio.wait((exchange,), timeout=grant.move_ms / 1000)
        if exchange.done():
            return None
        # The pending send may still be executed, so it counts as an attempt
        # in the request for the next permit.
        request.sends.append(SendResult(grant.target, Outcome.HUNG, 0))
        acquire = self._build_acquire(request)
        request.sends.pop()
        if isinstance(acquire, Refused):
            return None
        acquiring = asyncio.ensure_future(self._ports.permits.acquire(acquire))
        try:
            await asyncio.wait(
                (acquiring, exchange), return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            acquiring.cancel()
            raise
        if exchange.done():
            self._discard_permit(acquiring)
            return None
        next_permit = acquiring.result()
        return next_permit if isinstance(next_permit, Grant) else None

    def _discard_permit(self, acquiring: asyncio.Future) -> None:
        if not acquiring.done():
            acquiring.cancel()
            return
        permit = acquiring.result()
        if isinstance(permit, Grant):
            self._ports.permits.release(permit, Outcome.UNUSED, 0, 0)

    async def _record_outcome(
        self,
        request: RequestProgress,
        exchange: asyncio.Future[Answer],
        active_send: ActiveSend,
    ) -> None:
        remaining_s = request.deadline - _now()
        done, _ = await asyncio.wait((exchange,), timeout=max(0, remaining_s))
        if not done:
            active_send.outcome = Outcome.HUNG
            return
        try:
            answer = exchange.result()
        except ExchangeError as error:
            active_send.outcome = _OUTCOME_BY_ERROR_KIND[error.kind]
            active_send.detail = error.detail
            if error.kind in _CUT_OFF_KINDS:
                active_send.target_ended = await self._ports.pool.is_refused(
                    active_send.grant.address, _END_CHECK_TIMEOUT_S
                )
            return
        request.last_answer = answer
        active_send.outcome = classify_answer(answer)
        active_send.answer_bytes = len(answer.body)
        grant = active_send.grant
        active_send.notice = read_notice(answer.status, answer.headers)
        self._ports.notices.record(
            grant.target, grant.born_ms, active_send.notice, _now()
        )

    async def _exchange(self, request: RequestProgress, grant: Grant) -> Answer:
        remaining_s = request.deadline - _now()
        workspace = request.workspace
        terms = SendTerms(
            grant.target, workspace.name if workspace else None, remaining_s
        )
        inbound = request.inbound
        outbound = Outbound(
            inbound.method,
            inbound.target,
            target_headers(inbound.headers, terms),
            inbound.body,
        )
        pool = self._ports.pool
        idle_max_s = (
            math.inf if request.route.kind == SAFE else _UNSAFE_IDLE_MAX_S
        )
        if grant.address in request.addresses:
            # A second copy of the first answer would bear the right id.
            idle_max_s = 0
        request.addresses.add(grant.address)
        connection = await pool.take(grant.address, idle_max_s)
        attempt_id = request.terms.attempt_id
        answer = await connection.exchange(
            outbound, lambda headers: answers_attempt(attempt_id, headers)
        )
        if b'close' in (header(answer.headers, b'connection') or b'').lower():
            connection.close()
        pool.give(grant.address, connection)
        return answer

    def _end_with_answer(self, request: RequestProgress) -> RequestResult:
        if request.last_answer is None:
            raise RuntimeError('no answer recorded for an answered send')
        return RequestResult(forwarded_reply(request.last_answer), 'answered')

    async def _retry_or_fail(
        self, request: RequestProgress, outcome: Outcome
    ) -> Grant | Refused | RequestResult:
        if request.may_send() and _now() < request.deadline:
            if outcome is Outcome.SHED:
                await asyncio.sleep(_SHED_RETRY_DELAY_S)
            return await self._acquire(request)
        return self._end_with_failure(request)

    def _end_without_permit(
        self, request: RequestProgress, refused: Refused
    ) -> RequestResult:
        if request.count_possible_executions():
            return self._end_with_failure(request)
        if refused.reason == _STOPPING:
            return _stopping_result()
        if refused.reason == CRASHES_TARGETS:
            # It has run before, so it is not told that it may come again.
            return refusal_result(502, CRASHES_TARGETS)
        retry_s = refused.retry_ms / 1000 or None
        if refused.reason == RATE_EXCEEDED:
            return refusal_result(429, RATE_EXCEEDED, retry_s)
        return refusal_result(
            503, refused.reason, retry_s or _DEFAULT_RETRY_AFTER_S
        )

    def _end_with_failure(self, request: RequestProgress) -> RequestResult:
        if not request.count_possible_executions():
            return refusal_result(503, 'not-run', _DEFAULT_RETRY_AFTER_S)
        last = request.sends[-1].outcome
        answer = request.last_answer
        if last is Outcome.FAILED and may_forward(answer):
            return RequestResult(forwarded_reply(answer), 'target-failed')
        if _now() >= request.deadline:
            return refusal_result(504, 'target-timeout')
        return refusal_result(502, f'target-{last.name.lower()}')


def _stopping_result() -> RequestResult:
    # Other hosts take the request at once.
    return refusal_result(503, _STOPPING, 0)


def _now() -> float:
    return asyncio.get_running_loop().time()
