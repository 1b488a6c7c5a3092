"""Refusal reasons with their HTTP status and execution outcome."""

from __future__ import annotations

from typing import Final, NamedTuple

NOT_RUN: Final = 'not-run'
UNKNOWN: Final = 'unknown'

STATUS_BY_REASON: Final = {
    'no-route': 404,
    'key-missing': 401,
    'key-unknown': 401,
    'key-not-allowed': 403,
    'rate-exceeded': 429,
    'no-lease': 503,
    'deadline': 503,
    'queue-full': 503,
    'no-target': 503,
    'connect-failed': 503,
    'key-in-request': 400,
    'bad-request': 400,
    'stopping': 503,
    'not-ready': 503,
    'wrong-cell': 421,
    'key-claim-failed': 503,
    'target-timeout': 504,
    'target-reset': 502,
    'target-short-answer': 502,
    'target-wrong-answer': 502,
    'duplicate-in-progress': 409,
    'duplicate-unknown': 409,
}

_REASONS_WITH_UNKNOWN_OUTCOME: Final = frozenset(
    (
        'target-timeout',
        'target-reset',
        'target-short-answer',
        'target-wrong-answer',
        'duplicate-in-progress',
        'duplicate-unknown',
    )
)


class Refusal(NamedTuple):
    """Why a request failed, and whether it may have been executed.

    ``outcome`` is ``not-run`` or ``unknown``.
    """

    reason: str
    status: int
    outcome: str
    detail: str
    retry_after_s: float | None


def refuse(
    reason: str,
    detail: str = '',
    retry_after_s: float | None = None,
) -> Refusal:
    """Create the refusal for a reason.

    Parameters
    ----------
    reason : str
        A key of ``STATUS_BY_REASON``.
    detail : str
        Additional information for operators and callers.
    retry_after_s : float or None
        Delay in seconds after which a retry may succeed.

    Returns
    -------
    Refusal
        Its status and outcome are determined by the reason.

    Raises
    ------
    KeyError
        The reason is not in ``STATUS_BY_REASON``.
    """
    return Refusal(
        reason=reason,
        status=STATUS_BY_REASON[reason],
        outcome=UNKNOWN if reason in _REASONS_WITH_UNKNOWN_OUTCOME else NOT_RUN,
        detail=detail,
        retry_after_s=retry_after_s,
    )
