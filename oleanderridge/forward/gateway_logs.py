"""Log lines of a gateway request."""

from __future__ import annotations

import logging
import math
from typing import Any

from oleanderridge.dispatch.placement import CRASHES_TARGETS
from oleanderridge.forward.gateway_answers import (
    SUCCESS_STATUSES,
    RequestResult,
)
from oleanderridge.forward.gateway_progress import (
    ActiveSend,
    RequestProgress,
    SendResult,
)
from oleanderridge.gateway.model import TargetNotice
from oleanderridge.http1.messages import Inbound
from oleanderridge.platform.headers import CallerTerms
from oleanderridge.platform.interface import path_of
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)


def log_send(
    request: RequestProgress,
    active_send: ActiveSend,
    sent: SendResult,
    left_s: float,
) -> None:
    """Log a finished send.

    Parameters
    ----------
    request : RequestProgress
        The request that was sent.
    active_send : ActiveSend
        The send as it was in progress.
    sent : SendResult
        How it ended.
    left_s : float
        Seconds until the deadline of the request.
    """
    grant, notice = active_send.grant, active_send.notice
    log_event(
        _LOGGER,
        'send-ended',
        logging.INFO,
        id=request.terms.attempt_id,
        permit=grant.permit,
        placed_by=active_send.placed_by,
        target=grant.target,
        address=grant.address,
        bytes=active_send.answer_bytes,
        detail=active_send.detail or None,
        outcome=sent.outcome.name.lower(),
        ms=round(sent.latency_s * 1000),
        leaving=notice.leaving or None,
        limit_per_s=_stated_limit(notice),
        pause_s=notice.pause_s or None,
        target_ended=active_send.target_ended or None,
        fingerprint=f'{request.fingerprint:x}'
        if active_send.target_ended
        else None,
        move_ms=grant.move_ms,
        bad_percent=grant.bad_percent,
        left_ms=round(left_s * 1000),
    )


def log_refusal(
    inbound: Inbound, terms: CallerTerms, result: RequestResult, version: int
) -> None:
    """Log a request that is refused before a permit is asked for.

    Parameters
    ----------
    inbound : Inbound
        The request.
    terms : CallerTerms
        Its metadata.
    result : RequestResult
        The refusal.
    version : int
        Version of the configuration, 0 without one.
    """
    log_event(
        _LOGGER,
        'request-refused',
        logging.WARNING,
        id=terms.attempt_id,
        status=result.reply.status,
        reason=result.reason,
        path=path_of(inbound.target),
        version=version,
    )


def log_end(
    request: RequestProgress,
    result: RequestResult,
    duration_s: float,
    leader: str,
) -> None:
    """Log the end of a request.

    Parameters
    ----------
    request : RequestProgress
        The request.
    result : RequestResult
        What its caller gets.
    duration_s : float
        Seconds since its head was read.
    leader : str
        Host that grants its permits.
    """
    sends = ','.join(
        f'{send.target}:{send.outcome.name.lower()}:{send.latency_s * 1000:.0f}'
        for send in request.sends
    )
    workspace = request.workspace
    refused = request.permit_refusal
    fields: dict[str, Any] = {
        'id': request.terms.attempt_id,
        'status': result.reply.status,
        'reason': result.reason,
        'ms': round(duration_s * 1000),
        'route': request.route.name,
        'service': request.service,
        'workspace': workspace.name if workspace else '-',
        'sends': sends or '-',
        'refused': refused.reason if refused else '-',
        'permit': refused.permit if refused else None,
        'version': request.version,
        'leader': leader,
        'ground': request.ground.name.lower() if request.ground else None,
        'fingerprint': f'{request.fingerprint:x}'
        if result.reason == CRASHES_TARGETS
        else None,
    }
    succeeded = result.reply.status in SUCCESS_STATUSES
    level = logging.INFO if succeeded else logging.WARNING
    log_event(_LOGGER, 'request-ended', level, **fields)


def log_unfinished(request: RequestProgress, now: float) -> None:
    """Log a request that ends with its host, without an answer.

    Parameters
    ----------
    request : RequestProgress
        The request.
    now : float
        Loop time in seconds.
    """
    log_event(
        _LOGGER,
        'request-interrupted',
        logging.ERROR,
        id=request.terms.attempt_id,
        kind=request.route.kind,
        ms=round((now - request.inbound.received_at) * 1000),
        left_ms=round((request.deadline - now) * 1000),
        sends=len(request.sends),
        in_flight=request.in_flight,
    )


def _stated_limit(notice: TargetNotice) -> float | None:
    limit_per_s = notice.limit_per_s
    return None if limit_per_s == math.inf else limit_per_s
