"""Classifies the responses of targets and builds replies to callers."""

from __future__ import annotations

from typing import Final, NamedTuple, TypeGuard

from oleanderridge.gateway.outcomes import Outcome
from oleanderridge.http1.client import Answer
from oleanderridge.http1.messages import Reply, header
from oleanderridge.platform.headers import (
    caller_headers,
    is_signed,
    names_other_target,
    refusal_headers,
    says_not_run,
)

SUCCESS_STATUSES: Final = range(200, 300)

_SERVER_ERROR_STATUS: Final = 500
# Statuses that tell a caller that its request was not executed.
_NOT_EXECUTED_STATUSES: Final = frozenset((408, 421, 429, 503))


class RequestResult(NamedTuple):
    """The reply to a request, and its reason for logs and metrics."""

    reply: Reply
    reason: str


def classify_answer(answer: Answer) -> Outcome:
    """Return the outcome of a send from its complete response.

    Parameters
    ----------
    answer : Answer
        The target's response.

    Returns
    -------
    Outcome
        ``GARBLED`` for a response with a content encoding and for an
        unsigned success, since its bytes may not be the target's own.
    """
    if says_not_run(answer.status, answer.headers):
        if names_other_target(answer.status):
            return Outcome.OTHER_TARGET
        return Outcome.SHED
    if header(answer.headers, b'content-encoding') is not None:
        return Outcome.GARBLED
    if answer.status in SUCCESS_STATUSES and not is_signed(answer.headers):
        return Outcome.GARBLED
    if answer.status in _NOT_EXECUTED_STATUSES:
        return Outcome.FAILED
    if answer.status >= _SERVER_ERROR_STATUS:
        return Outcome.FAILED
    return Outcome.ANSWERED


def may_forward(answer: Answer | None) -> TypeGuard[Answer]:
    """Return whether a failure response may be forwarded unchanged."""
    # Unless the response states that the request was not executed, it may
    # have run, so a status that implies otherwise is not forwarded.
    return answer is not None and answer.status not in _NOT_EXECUTED_STATUSES


def forwarded_reply(answer: Answer) -> Reply:
    """Return the reply that forwards a target's response."""
    headers = caller_headers(answer.headers, with_signature=True)
    return Reply(answer.status, headers, answer.body)


def refusal_result(
    status: int, reason: str, retry_after_s: float | None = None
) -> RequestResult:
    """Return the result of a request that the host itself refuses.

    Parameters
    ----------
    status : int
        Must not claim more than is known about the execution.
    reason : str
        For logs and metrics.
    retry_after_s : float or None
        Seconds after which the caller may retry.

    Returns
    -------
    RequestResult
        A reply without a body.
    """
    return RequestResult(
        Reply(status, refusal_headers(retry_after_s), b''), reason
    )
