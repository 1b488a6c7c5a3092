"""Request headers for targets, and construction of replies to callers."""

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

_HOP_BY_HOP_HEADERS: Final = frozenset(
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
_REPLACED_REQUEST_HEADERS: Final = frozenset(
    ('content-length', 'expect', 'host', 'request-deadline-ms', 'request-id')
)
# Only the host itself may set these headers in a reply.
_RESERVED_RESPONSE_HEADERS: Final = frozenset(
    (
        'idempotent-replay',
        'oleanderridge-outcome',
        'oleanderridge-reason',
        'request-id',
    )
)
_NO_CONTENT_LENGTH_STATUSES: Final = frozenset((204, 304))
_UNAUTHORISED_STATUS: Final = 401
_MS_PER_S: Final = 1000


class Reply(NamedTuple):
    """A reply to the caller; ``stream`` is None if ``body`` is complete.

    Header values are sent encoded as Latin-1.
    """

    status: int
    headers: Headers
    body: bytes
    stream: AsyncIterator[bytes] | None


def request_headers(request: InboundRequest, remaining_s: float) -> Headers:
    """Return the headers of the request to the target.

    Parameters
    ----------
    request : InboundRequest
        The request without the caller's key.
    remaining_s : float
        Seconds until the deadline.

    Returns
    -------
    Headers
        Without hop-by-hop headers; request id and deadline are set.
    """
    kept = _without_headers(request.headers, _REPLACED_REQUEST_HEADERS)
    return (
        *kept,
        ('Request-Id', request.request_id),
        ('Request-Deadline-Ms', str(max(1, int(remaining_s * _MS_PER_S)))),
    )


def answer_reply(request: InboundRequest, answer: TargetAnswer) -> Reply:
    """Return the reply that forwards a target's response.

    Parameters
    ----------
    request : InboundRequest
        The request.
    answer : TargetAnswer
        The response of the target.

    Returns
    -------
    Reply
        With the id of the request.
    """
    dropped = set(_RESERVED_RESPONSE_HEADERS)
    added = [('Request-Id', request.request_id)]
    if answer.status in _NO_CONTENT_LENGTH_STATUSES:
        dropped.add('content-length')
    elif answer.body is not None and request.method != 'HEAD':
        dropped.add('content-length')
        added.append(('Content-Length', str(len(answer.body))))
    kept = _without_headers(answer.headers, dropped)
    headers = (*kept, *added)
    return Reply(answer.status, headers, answer.body or b'', answer.stream)


def refusal_reply(request: InboundRequest, refusal: Refusal) -> Reply:
    """Return the reply for a refusal, with a problem document.

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
    if refusal.status == _UNAUTHORISED_STATUS:
        headers.append(('WWW-Authenticate', 'Bearer'))
    return Reply(refusal.status, tuple(headers), body, None)


def stored_answer(answer: TargetAnswer, limit: int) -> StoredAnswer | None:
    """Return a response in the form that the key register stores.

    Parameters
    ----------
    answer : TargetAnswer
        The response of the target.
    limit : int
        Largest body in bytes.

    Returns
    -------
    StoredAnswer or None
        None if the body is streamed or too long. Values of repeated headers
        are joined by line feeds, which cannot occur in a value.
    """
    if answer.body is None or len(answer.body) > limit:
        return None
    kept = _without_headers(
        answer.headers, _RESERVED_RESPONSE_HEADERS | {'content-length'}
    )
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
    """Return the reply that replays a stored response.

    Parameters
    ----------
    request : InboundRequest
        The repeated request.
    stored : StoredAnswer
        The response to the first request.

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


def _without_headers(headers: Headers, names: Collection[str]) -> Headers:
    dropped = _HOP_BY_HOP_HEADERS.union(names, _connection_options(headers))
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
