"""Records what released permits tell of requests that crash targets."""

from __future__ import annotations

import logging

from oleanderridge.dispatch.crash_evidence import Crash, CrashEvidence
from oleanderridge.dispatch.target_state import TargetState
from oleanderridge.gateway.outcomes import Outcome
from oleanderridge.generated.fleet import Release
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)


def record_evidence(
    evidence: CrashEvidence, message: Release, state: TargetState, now: float
) -> None:
    """Record whether a target answered a request or ended under it.

    Parameters
    ----------
    evidence : CrashEvidence
        Crashes that are known.
    message : Release
        Outcome of an attempt at the target.
    state : TargetState
        The target, without the attempt.
    now : float
        Monotonic seconds.
    """
    record, fingerprint = state.record, message.fingerprint
    if message.outcome == Outcome.ANSWERED:
        evidence.record_answer(fingerprint, now)
        evidence.record_target_answer(record.target, record.born_ms, now)
    if not message.crashed:
        return
    state.failure_estimate.record_connect_failure(now)
    crash = Crash(
        record.target,
        record.born_ms,
        now - message.latency_ms / 1000,
        now,
        1 + len(state.attempts),
    )
    if evidence.record_crash(fingerprint, crash, now):
        log_event(
            _LOGGER,
            'request-blocked',
            logging.WARNING,
            fingerprint=f'{fingerprint:x}',
            target=record.target,
            service=record.service,
            permit=message.permit,
        )
