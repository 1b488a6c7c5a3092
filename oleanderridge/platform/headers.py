"""HTTP headers exchanged with callers and targets of the platform."""

from __future__ import annotations

import math
from typing import Final, NamedTuple

from oleanderridge.gateway.model import NO_NOTICE, TargetNotice
from oleanderridge.http1.messages import Headers, end_to_end, header

_ATTEMPT_ID: Final = b'oleanderridge-attempt-id'
_DEADLINE_MS: Final = b'oleanderridge-deadline-ms'
_SIGNATURE: Final = b'oleanderridge-response-signature'
_TENANT: Final = b'oleanderridge-tenant'
_EXPECT_INSTANCE: Final = b'oleanderridge-expect-instance'
_NOT_EXECUTED: Final = b'oleanderridge-not-executed'
_LEAVING: Final = b'server-leaving'
_RATE_LIMIT: Final = b'server-limit'
_RETRY_AFTER: Final = b'retry-after'
_AUTHORIZATION: Final = b'authorization'
_AUTH_SCHEME: Final = 'token'
_MISDIRECTED: Final = 421
_UNAVAILABLE: Final = 503
_MAX_PAUSE_S: Final = 600

# Caller headers that are not forwarded; only this host may set them.
_RESERVED_HEADERS: Final = frozenset(
    (_DEADLINE_MS, _TENANT, _EXPECT_INSTANCE, _AUTHORIZATION, _NOT_EXECUTED)
)


class CallerTerms(NamedTuple):
    """Request metadata from the headers of a caller."""

    attempt_id: str
    deadline_s: float | None
    key: str | None
    host: str


class SendTerms(NamedTuple):
    """Request metadata that is sent to a target."""

    target: str
    workspace: str | None
    left_s: float


def read_caller_terms(headers: Headers) -> CallerTerms:
    """Parse the metadata of a caller's request.

    Parameters
    ----------
    headers : list of tuple
        Request headers with lowercase names.

    Returns
    -------
    CallerTerms
        A deadline that is not a number is ignored.
    """
    return CallerTerms(
        _decode(header(headers, _ATTEMPT_ID)) or '-',
        _parse_deadline_s(header(headers, _DEADLINE_MS)),
        _parse_api_key(header(headers, _AUTHORIZATION)),
        _parse_host(_decode(header(headers, b'host')) or ''),
    )


def target_headers(headers: Headers, terms: SendTerms) -> Headers:
    """Return the request headers to forward to a target.

    Parameters
    ----------
    headers : list of tuple
        Headers of the caller's request.
    terms : SendTerms
        Expected target, workspace and remaining time.

    Returns
    -------
    list of tuple
        Without the API key and the headers that a caller may not set.
    """
    forwarded = [
        pair for pair in end_to_end(headers) if pair[0] not in _RESERVED_HEADERS
    ]
    left_ms = max(1, int(terms.left_s * 1000))
    forwarded.append((_DEADLINE_MS, b'%d' % left_ms))
    forwarded.append((_EXPECT_INSTANCE, terms.target.encode('latin-1')))
    if terms.workspace is not None:
        forwarded.append((_TENANT, terms.workspace.encode('latin-1')))
    return forwarded


def answers_attempt(attempt_id: str, headers: Headers) -> bool | None:
    """Return whether a response belongs to a caller's attempt.

    Parameters
    ----------
    attempt_id : str
        Attempt id of the request.
    headers : list of tuple
        Response headers.

    Returns
    -------
    bool or None
        False if the response carries the id of another attempt, None if it
        carries none.
    """
    response_id = header(headers, _ATTEMPT_ID)
    return None if response_id is None else _decode(response_id) == attempt_id


def says_not_run(status: int, headers: Headers) -> bool:
    """Return whether a target reports that it did not execute the request."""
    return status == _MISDIRECTED or header(headers, _NOT_EXECUTED) is not None


def names_other_target(status: int) -> bool:
    """Return whether another target responded at the address."""
    return status == _MISDIRECTED


def read_notice(status: int, headers: Headers) -> TargetNotice:
    """Return what the target says of itself in a response.

    Parameters
    ----------
    status : int
        Status of the response.
    headers : list of tuple
        Response headers with lowercase names.

    Returns
    -------
    TargetNotice
        Empty if another target responded at the address.
    """
    if names_other_target(status):
        return NO_NOTICE
    return TargetNotice(
        leaving=header(headers, _LEAVING) == b'1',
        limit_per_s=_read_limit(headers),
        pause_s=_read_pause_s(headers) if status == _UNAVAILABLE else 0,
    )


def is_signed(headers: Headers) -> bool:
    """Return whether a response carries the target's signature."""
    return header(headers, _SIGNATURE) is not None


def caller_headers(headers: Headers, *, with_signature: bool) -> Headers:
    """Return the response headers to forward to a caller.

    Parameters
    ----------
    headers : list of tuple
        Headers of the target's response.
    with_signature : bool
        Whether to keep the signature, as the response is unchanged.

    Returns
    -------
    list of tuple
        Without the headers that are meant for this host.
    """
    dropped = {_NOT_EXECUTED}
    if not with_signature:
        dropped.add(_SIGNATURE)
    return [pair for pair in end_to_end(headers) if pair[0] not in dropped]


def refusal_headers(retry_after_s: float | None) -> Headers:
    """Return the headers of a rejection.

    Parameters
    ----------
    retry_after_s : float or None
        Seconds after which the caller may retry.

    Returns
    -------
    list of tuple
        Empty if no time is given.
    """
    if retry_after_s is None:
        return []
    return [(_RETRY_AFTER, b'%.3f' % max(0, retry_after_s))]


def _decode(value: bytes | None) -> str | None:
    return None if value is None else value.decode('latin-1')


def _read_limit(headers: Headers) -> float | None:
    limit = header(headers, _RATE_LIMIT)
    if limit is None:
        # Only the target itself can say that it needs no limit any more.
        return math.inf if is_signed(headers) else None
    return _parse_quantity(limit)


def _read_pause_s(headers: Headers) -> float:
    retry_after = header(headers, _RETRY_AFTER)
    pause_s = None if retry_after is None else _parse_quantity(retry_after)
    return min(pause_s or 0, _MAX_PAUSE_S)


def _parse_quantity(value: bytes) -> float | None:
    try:
        quantity = float(value)
    except ValueError:
        return None
    return quantity if 0 <= quantity < math.inf else None


def _parse_deadline_s(value: bytes | None) -> float | None:
    try:
        return None if value is None else max(0, float(value)) / 1000
    except ValueError:
        return None


def _parse_api_key(value: bytes | None) -> str | None:
    scheme, _, key = (_decode(value) or '').strip().partition(' ')
    if scheme.lower() != _AUTH_SCHEME or not key.strip():
        return None
    return key.strip()


def _parse_host(value: str) -> str:
    name, colon, port = value.rpartition(':')
    return (name if colon and port.isdigit() else value).lower()
