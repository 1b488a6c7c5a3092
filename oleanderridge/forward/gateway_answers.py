"""Judges the answers of targets and builds the refusals of a host."""

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
# Statuses that promise a caller that its request did not run.
_NOT_EXECUTED_STATUSES: Final = frozenset((408, 421, 429, 503))


class RequestResult(NamedTuple):
    """How a request ends, and why."""

    reply: Reply
    reason: str


def classify_answer(answer: Answer) -> Outcome:
    """Return what a whole answer says of its send.

    Parameters
    ----------
    answer : Answer
        A target's answer to the request that was sent.

    Returns
    -------
    Outcome
        ``GARBLED`` for a success that is not the target's own bytes.
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
    """Return whether a caller may get a target's failure as it is."""
    # A target's 503 that does not state so may have run, so the status that
    # promises otherwise stays here.
    return answer is not None and answer.status not in _NOT_EXECUTED_STATUSES


def forwarded_reply(answer: Answer) -> Reply:
    """Return a target's answer as its caller gets it."""
    headers = caller_headers(answer.headers, with_signature=True)
    return Reply(answer.status, headers, answer.body)


def refusal_result(
    status: int, reason: str, retry_after_s: float | None = None
) -> RequestResult:
    """Return the end of a request that a host answers by itself.

    Parameters
    ----------
    status : int
        One that promises no more than is known.
    reason : str
        For logs and metrics.
    retry_after_s : float or None
        Seconds after which the caller may come back.

    Returns
    -------
    Ended
        Without a body.
    """
    return RequestResult(Reply(status, refusal_headers(retry_after_s), b''), reason)
