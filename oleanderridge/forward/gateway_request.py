"""Carries one caller's request to targets until there is a true answer."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from random import Random
from typing import Any, Final, NamedTuple

from oleanderridge.dispatch.permit_client import PermitClient
from oleanderridge.dispatch.placement import NO_RETRY_LEFT, RATE_EXCEEDED
from oleanderridge.forward.gateway_answers import (
    SUCCESS,
    Ended,
    is_passed_on,
    judge,
    passed_on,
    refusal,
)
from oleanderridge.forward.gateway_progress import (
    Flight,
    RequestProgress,
    Sent,
)
from oleanderridge.gateway.model import (
    SAFE,
    Configuration,
    find_route,
    priority_of,
)
from oleanderridge.gateway.outcomes import Outcome, Purpose
from oleanderridge.gateway.shares import ShareCounter
from oleanderridge.generated.fleet import Acquire, Grant, Refused
from oleanderridge.generated.gateway import GatewaySettings
from oleanderridge.http1.client import (
    NOT_SENT,
    Answer,
    ConnectionPool,
    ExchangeError,
    Outbound,
)
from oleanderridge.http1.messages import Inbound, Reply, header
from oleanderridge.platform.headers import (
    CallerTerms,
    SendTerms,
    answers_attempt,
    read_caller_terms,
    target_headers,
)
from oleanderridge.platform.interface import path_of
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

# Time from a caller's first try to its request here: a new connection and
# the request itself, and the answer's way back.
_CALLER_PATH_S: Final = 0.03
# A send with less time than this cannot be answered.
_LEAST_LEFT_S: Final = 0.01
# Pause before a request that a full target turned away is placed again.
_SHED_PAUSE_S: Final = 0.03
# A non-idempotent request uses a kept connection only if it was idle for
# less than this: a peer that closes it meanwhile leaves the outcome unknown.
_UNSAFE_IDLE_S: Final = 4.0
# Retry times of refusals that carry none of the placement's own.
_NOT_READY_RETRY_S: Final = 0.3
_DEADLINE: Final = 'deadline'

_OUTCOME_BY_ERROR: Final = {
    NOT_SENT: Outcome.NOT_SENT,
    'reset': Outcome.RESET,
    'stale': Outcome.RESET,
    'short': Outcome.GARBLED,
    'garbled': Outcome.GARBLED,
}


class Ports(NamedTuple):
    """What a forwarder needs of its host."""

    settings: GatewaySettings
    configuration: Callable[[], Configuration | None]
    permits: PermitClient
    pool: ConnectionPool
    knows_leaving: Callable[[str], bool]
    on_ended: Callable[[str, str, str, float], None]
    rng: Random


class GatewayForwarder:
    """Answers callers.

    Parameters
    ----------
    ports : Ports
        Configuration, permits and connections of the host.
    """

    def __init__(self, ports: Ports) -> None:
        self._ports = ports
        self._shares = ShareCounter(ports.rng)

    async def handle(self, inbound: Inbound) -> Reply:
        """Return the answer to a request.

        Parameters
        ----------
        inbound : Inbound
            A whole request.

        Returns
        -------
        Reply
            A target's whole answer, or a refusal that says what is known.
        """
        terms = read_caller_terms(inbound.headers)
        begun = self._begin(inbound, terms)
        if isinstance(begun, Ended):
            self._log_refusal(inbound, terms, begun)
            return begun.reply
        work = asyncio.ensure_future(self._run(begun))
        await asyncio.wait(
            (work, inbound.gone), return_when=asyncio.FIRST_COMPLETED
        )
        if work.done():
            ended = work.result()
        else:
            ended = await self._on_caller_left(begun, work)
        self._log_end(begun, ended)
        return ended.reply

    def _begin(
        self, inbound: Inbound, terms: CallerTerms
    ) -> RequestProgress | Ended:
        configuration = self._ports.configuration()
        if configuration is None:
            return refusal(503, 'not-ready', _NOT_READY_RETRY_S)
        path = path_of(inbound.target)
        route = find_route(configuration, terms.host, path)
        if route is None:
            return refusal(404, 'no-route')
        workspace = None
        if terms.key is not None:
            workspace = configuration.workspace_by_key.get(terms.key)
        needs_key = configuration.workspaces_by_name and not route.is_open
        if workspace is None and needs_key:
            return refusal(401, 'key-unknown' if terms.key else 'key-missing')
        service = self._shares.next_service(route)
        return RequestProgress(
            inbound, terms, route, workspace, service, configuration.version
        )

    async def _on_caller_left(
        self, request: RequestProgress, work: asyncio.Future[Ended]
    ) -> Ended:
        if request.route.kind == SAFE or not request.in_flight:
            work.cancel()
        # A non-idempotent request that was sent runs to its end.
        await asyncio.wait((work,))
        if work.cancelled():
            return Ended(Reply(502, [], b''), 'caller-left')
        return work.result()

    async def _run(self, request: RequestProgress) -> Ended:
        permit = await self._acquire(request)
        while isinstance(permit, Grant):
            following = await self._send(request, permit)
            if isinstance(following, Ended):
                return following
            permit = following
        request.refused = permit
        return self._without_permit(request, permit)

    async def _acquire(self, request: RequestProgress) -> Grant | Refused:
        asked = self._asked(request)
        if isinstance(asked, Refused):
            return asked
        return await self._ports.permits.acquire(asked)

    def _asked(self, request: RequestProgress) -> Acquire | Refused:
        purpose = request.purpose()
        left_s = request.limit_at - _now() - _LEAST_LEFT_S
        number = self._ports.permits.new_permit()
        if left_s <= 0:
            return Refused(number, _DEADLINE, 0)
        if purpose is Purpose.REPEAT and not request.may_send():
            return Refused(number, NO_RETRY_LEFT, 0)
        route = request.route
        attempts_left = route.max_attempts - request.may_have_run()
        settings = self._ports.settings
        waited_s = _now() - request.inbound.received_at + _CALLER_PATH_S
        return Acquire(
            number,
            settings['address'],
            settings['zone'],
            request.service,
            route.name,
            request.workspace.name if request.workspace else '',
            priority_of(route, request.workspace),
            route.kind != SAFE,
            purpose,
            route.kind == SAFE and attempts_left > 1,
            int(left_s * 1000),
            max(1, int(route.aim_s * 1000)),
            int(waited_s * 1000),
            [each.target for each in request.sent],
        )

    async def _send(
        self, request: RequestProgress, grant: Grant
    ) -> Grant | Refused | Ended:
        """Use a permit; return the end, or the permit for the next send."""
        if not self._may_use(request, grant):
            self._ports.permits.release(grant, Outcome.UNUSED, 0, 0)
            request.sent.append(Sent(grant.target, Outcome.UNUSED, 0))
            return await self._acquire(request)
        placed_by = self._ports.permits.granter(grant.permit)
        flight = Flight(grant, placed_by, _now())
        exchange = asyncio.ensure_future(self._exchange(request, grant))
        request.in_flight += 1
        try:
            following = await self._until_moved(request, grant, exchange)
            if following is None:
                await self._note_outcome(request, exchange, flight)
            else:
                flight.outcome = Outcome.HUNG
        finally:
            exchange.cancel()
            self._end_send(request, flight)
        if following is not None:
            return following
        if flight.outcome is Outcome.ANSWERED:
            return self._answered(request)
        return await self._after_failure(request, flight.outcome)

    def _end_send(self, request: RequestProgress, flight: Flight) -> None:
        request.in_flight -= 1
        grant, outcome = flight.grant, flight.outcome
        latency_s = _now() - flight.started
        sent = Sent(grant.target, outcome, latency_s)
        request.sent.append(sent)
        self._ports.permits.release(
            grant, outcome, latency_s, flight.answer_bytes
        )
        self._log_send(request, flight, sent)

    def _may_use(self, request: RequestProgress, grant: Grant) -> bool:
        if self._ports.knows_leaving(grant.target):
            return False
        workspace, key = request.workspace, request.terms.key
        if workspace is None or key is None:
            return True
        configuration = self._ports.configuration()
        return configuration is None or key in configuration.workspace_by_key

    async def _until_moved(
        self, request: RequestProgress, grant: Grant, exchange: asyncio.Future
    ) -> Grant | None:
        """Return a permit to move on with, once a send takes too long."""
        if not grant.move_ms:
            return None
        await asyncio.wait((exchange,), timeout=grant.move_ms / 1000)
        if exchange.done():
            return None
        # This send may run, so it counts as one before the next is asked for.
        request.sent.append(Sent(grant.target, Outcome.HUNG, 0))
        asked = self._asked(request)
        request.sent.pop()
        if isinstance(asked, Refused):
            return None
        asking = asyncio.ensure_future(self._ports.permits.acquire(asked))
        try:
            await asyncio.wait(
                (asking, exchange), return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            asking.cancel()
            raise
        if exchange.done():
            self._drop_permit(asking)
            return None
        following = asking.result()
        return following if isinstance(following, Grant) else None

    def _drop_permit(self, asking: asyncio.Future) -> None:
        if not asking.done():
            asking.cancel()
            return
        granted = asking.result()
        if isinstance(granted, Grant):
            self._ports.permits.release(granted, Outcome.UNUSED, 0, 0)

    async def _note_outcome(
        self,
        request: RequestProgress,
        exchange: asyncio.Future[Answer],
        flight: Flight,
    ) -> None:
        left_s = request.limit_at - _now()
        done, _ = await asyncio.wait((exchange,), timeout=max(0, left_s))
        if not done:
            flight.outcome = Outcome.HUNG
            return
        try:
            answer = exchange.result()
        except ExchangeError as error:
            flight.outcome = _OUTCOME_BY_ERROR[error.kind]
            flight.detail = error.detail
            return
        request.last_answer = answer
        flight.outcome = judge(answer)
        flight.answer_bytes = len(answer.body)

    async def _exchange(self, request: RequestProgress, grant: Grant) -> Answer:
        left_s = request.limit_at - _now()
        workspace = request.workspace
        terms = SendTerms(
            grant.target, workspace.name if workspace else None, left_s
        )
        inbound = request.inbound
        outbound = Outbound(
            inbound.method,
            inbound.target,
            target_headers(inbound.headers, terms),
            inbound.body,
        )
        pool = self._ports.pool
        idle_max_s = math.inf if request.route.kind == SAFE else _UNSAFE_IDLE_S
        connection = await pool.take(grant.address, idle_max_s)
        attempt_id = request.terms.attempt_id
        answer = await connection.exchange(
            outbound, lambda headers: answers_attempt(attempt_id, headers)
        )
        if b'close' in (header(answer.headers, b'connection') or b'').lower():
            connection.close()
        pool.give(grant.address, connection)
        return answer

    def _answered(self, request: RequestProgress) -> Ended:
        if request.last_answer is None:
            raise RuntimeError('an answered send left no answer')
        return Ended(passed_on(request.last_answer), 'answered')

    async def _after_failure(
        self, request: RequestProgress, outcome: Outcome
    ) -> Grant | Refused | Ended:
        if request.may_send() and _now() < request.limit_at:
            if outcome is Outcome.SHED:
                await asyncio.sleep(_SHED_PAUSE_S)
            return await self._acquire(request)
        return self._final_failure(request)

    def _without_permit(
        self, request: RequestProgress, refused: Refused
    ) -> Ended:
        if request.may_have_run():
            return self._final_failure(request)
        retry_s = refused.retry_ms / 1000 or None
        if refused.reason == RATE_EXCEEDED:
            return refusal(429, RATE_EXCEEDED, retry_s)
        return refusal(503, refused.reason, retry_s or _NOT_READY_RETRY_S)

    def _final_failure(self, request: RequestProgress) -> Ended:
        if not request.may_have_run():
            return refusal(503, 'not-run', _NOT_READY_RETRY_S)
        last = request.sent[-1].outcome
        answer = request.last_answer
        if last is Outcome.FAILED and is_passed_on(answer):
            return Ended(passed_on(answer), 'target-failed')
        if _now() >= request.limit_at:
            return refusal(504, 'target-timeout')
        return refusal(502, f'target-{last.name.lower()}')

    def _log_send(
        self, request: RequestProgress, flight: Flight, sent: Sent
    ) -> None:
        grant = flight.grant
        log_event(
            _LOGGER,
            'send-ended',
            logging.INFO,
            id=request.terms.attempt_id,
            permit=grant.permit,
            placed_by=flight.placed_by,
            target=grant.target,
            address=grant.address,
            bytes=flight.answer_bytes,
            detail=flight.detail or None,
            outcome=sent.outcome.name.lower(),
            ms=round(sent.latency_s * 1000),
            move_ms=grant.move_ms,
            bad_percent=grant.bad_percent,
            left_ms=round((request.limit_at - _now()) * 1000),
        )

    def _log_refusal(
        self, inbound: Inbound, terms: CallerTerms, ended: Ended
    ) -> None:
        configuration = self._ports.configuration()
        log_event(
            _LOGGER,
            'request-refused',
            logging.WARNING,
            id=terms.attempt_id,
            status=ended.reply.status,
            reason=ended.reason,
            path=path_of(inbound.target),
            version=configuration.version if configuration else 0,
        )
        self._ports.on_ended('', ended.reason, 'none', 0)

    def _log_end(self, request: RequestProgress, ended: Ended) -> None:
        took_s = _now() - request.inbound.received_at
        good = ended.reply.status in SUCCESS
        sends = ','.join(
            f'{each.target}:{each.outcome.name.lower()}:'
            f'{each.latency_s * 1000:.0f}'
            for each in request.sent
        )
        workspace = request.workspace
        refused = request.refused
        fields: dict[str, Any] = {
            'id': request.terms.attempt_id,
            'status': ended.reply.status,
            'reason': ended.reason,
            'ms': round(took_s * 1000),
            'route': request.route.name,
            'service': request.service,
            'workspace': workspace.name if workspace else '-',
            'sends': sends or '-',
            'refused': refused.reason if refused else '-',
            'permit': refused.permit if refused else None,
            'version': request.version,
            'leader': self._ports.permits.leader(),
        }
        level = logging.INFO if good else logging.WARNING
        log_event(_LOGGER, 'request-ended', level, **fields)
        self._ports.on_ended(
            request.service, ended.reason, request.route.kind, took_s
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
