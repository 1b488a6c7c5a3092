"""Headers in both directions, and the forms of a reply."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Collection
from itertools import groupby
from math import ceil
from typing import Final, NamedTuple

from oleanderridge.forward.client import TargetAnswer
from oleanderridge.forward.scrub import Headers, InboundRequest
from oleanderridge.generated.messages import StoredAnswer
from oleanderridge.refusals import Refusal

_HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_SET_TOWARDS_TARGET: Final = frozenset(
    ('content-length', 'expect', 'host', 'request-deadline-ms', 'request-id')
)
# Headers by which a caller recognises our own statements.
_SET_TOWARDS_CALLER: Final = frozenset(
    (
        'idempotent-replay',
        'oleanderridge-outcome',
        'oleanderridge-reason',
        'request-id',
    )
)
_NO_LENGTH_STATUSES: Final = frozenset((204, 304))
_UNAUTHORISED: Final = 401
_MS: Final = 1000


class Reply(NamedTuple):
    """What the caller gets; ``stream`` is None when ``body`` is whole.

    Header values are text whose Latin-1 encoding is sent.
    """

    status: int
    headers: Headers
    body: bytes
    stream: AsyncIterator[bytes] | None


def request_headers(request: InboundRequest, left_s: float) -> Headers:
    """Return the headers that the target gets.

    Parameters
    ----------
    request : InboundRequest
        Without the caller's key.
    left_s : float
        Seconds until the deadline.

    Returns
    -------
    Headers
        Hop-by-hop headers removed, id and deadline set.
    """
    kept = _without(request.headers, _SET_TOWARDS_TARGET)
    return (
        *kept,
        ('Request-Id', request.request_id),
        ('Request-Deadline-Ms', str(max(1, int(left_s * _MS)))),
    )


def answer_reply(request: InboundRequest, answer: TargetAnswer) -> Reply:
    """Return the reply that passes a target's answer on.

    Parameters
    ----------
    request : InboundRequest
        The request.
    answer : TargetAnswer
        The answer.

    Returns
    -------
    Reply
        With the caller's request id.
    """
    dropped = set(_SET_TOWARDS_CALLER)
    added = [('Request-Id', request.request_id)]
    if answer.status in _NO_LENGTH_STATUSES:
        dropped.add('content-length')
    elif answer.body is not None and request.method != 'HEAD':
        dropped.add('content-length')
        added.append(('Content-Length', str(len(answer.body))))
    kept = _without(answer.headers, dropped)
    headers = (*kept, *added)
    return Reply(answer.status, headers, answer.body or b'', answer.stream)


def refusal_reply(request: InboundRequest, refusal: Refusal) -> Reply:
    """Return the problem document of a refusal.

    Parameters
    ----------
    request : InboundRequest
        The refused request.
    refusal : Refusal
        Why, and whether the request may have run.

    Returns
    -------
    Reply
        ``application/problem+json``.
    """
    problem = {
        'type': 'about:blank',
        'title': refusal.reason,
        'status': refusal.status,
        'outcome': refusal.outcome,
        'reason': refusal.reason,
        'detail': refusal.detail,
        'request_id': request.request_id,
    }
    body = json.dumps(problem).encode()
    headers = [
        ('Content-Type', 'application/problem+json'),
        ('Content-Length', str(len(body))),
        ('Oleanderridge-Outcome', refusal.outcome),
        ('Oleanderridge-Reason', refusal.reason),
        ('Request-Id', request.request_id),
    ]
    if refusal.retry_after_s is not None:
        headers.append(('Retry-After', str(ceil(refusal.retry_after_s))))
    if refusal.status == _UNAUTHORISED:
        headers.append(('WWW-Authenticate', 'Bearer'))
    return Reply(refusal.status, tuple(headers), body, None)


def stored_answer(answer: TargetAnswer, limit: int) -> StoredAnswer | None:
    """Return the form of an answer that the key register keeps.

    Parameters
    ----------
    answer : TargetAnswer
        The answer.
    limit : int
        Largest body in bytes.

    Returns
    -------
    StoredAnswer or None
        None when the body is streamed or too long. Values of repeated
        headers are joined by line feeds, which no value contains.
    """
    if answer.body is None or len(answer.body) > limit:
        return None
    kept = _without(answer.headers, _SET_TOWARDS_CALLER | {'content-length'})
    ordered = sorted(
        ((name.lower(), value) for name, value in kept),
        key=lambda header: header[0],
    )
    headers = {
        name: '\n'.join(value for _, value in group)
        for name, group in groupby(ordered, key=lambda header: header[0])
    }
    return {'status': answer.status, 'headers': headers, 'body': answer.body}


def replayed_reply(request: InboundRequest, stored: StoredAnswer) -> Reply:
    """Return the reply that repeats a stored answer.

    Parameters
    ----------
    request : InboundRequest
        The repetition.
    stored : StoredAnswer
        The answer to the first request.

    Returns
    -------
    Reply
        Marked with ``Idempotent-Replay: true``.
    """
    headers = tuple(
        (name, value)
        for name, values in stored['headers'].items()
        for value in values.split('\n')
    )
    answer = TargetAnswer(stored['status'], headers, stored['body'], None)
    reply = answer_reply(request, answer)
    return reply._replace(
        headers=(*reply.headers, ('Idempotent-Replay', 'true'))
    )


def _without(headers: Headers, names: Collection[str]) -> Headers:
    dropped = _HOP_BY_HOP.union(names, _connection_options(headers))
    return tuple(
        header for header in headers if header[0].lower() not in dropped
    )


def _connection_options(headers: Headers) -> set[str]:
    return {
        option.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for option in value.split(',')
    }
