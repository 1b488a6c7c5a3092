"""Headers that callers and targets of the platform use."""

from __future__ import annotations

from typing import Final, NamedTuple

from oleanderridge.http1.messages import Headers, end_to_end, header

_ATTEMPT_ID: Final = b'oleanderridge-attempt-id'
_DEADLINE_MS: Final = b'oleanderridge-deadline-ms'
_SIGNATURE: Final = b'oleanderridge-response-signature'
_TENANT: Final = b'oleanderridge-tenant'
_EXPECT_INSTANCE: Final = b'oleanderridge-expect-instance'
_NOT_EXECUTED: Final = b'oleanderridge-not-executed'
_AUTHORIZATION: Final = b'authorization'
_SCHEME: Final = 'token'
_MISDIRECTED: Final = 421

# Headers that only this host may set towards a target.
_OWN: Final = frozenset(
    (_DEADLINE_MS, _TENANT, _EXPECT_INSTANCE, _AUTHORIZATION, _NOT_EXECUTED)
)


class CallerTerms(NamedTuple):
    """What a caller says of its request besides method and path."""

    attempt_id: str
    deadline_s: float | None
    key: str | None
    host: str


class SendTerms(NamedTuple):
    """What a target is told about a request."""

    target: str
    workspace: str | None
    left_s: float


def read_caller_terms(headers: Headers) -> CallerTerms:
    """Return the terms of a caller's request.

    Parameters
    ----------
    headers : list of tuple
        Headers of the request, names in lower case.

    Returns
    -------
    CallerTerms
        A deadline that is not a number counts as absent.
    """
    return CallerTerms(
        _text(header(headers, _ATTEMPT_ID)) or '-',
        _seconds(header(headers, _DEADLINE_MS)),
        _key(header(headers, _AUTHORIZATION)),
        _host(_text(header(headers, b'host')) or ''),
    )


def target_headers(headers: Headers, terms: SendTerms) -> Headers:
    """Return the headers of a caller's request as a target gets them.

    Parameters
    ----------
    headers : list of tuple
        Headers of the caller's request.
    terms : SendTerms
        Expected target, workspace and time left.

    Returns
    -------
    list of tuple
        Without the key and without what a caller may not set.
    """
    kept = [pair for pair in end_to_end(headers) if pair[0] not in _OWN]
    left_ms = max(1, int(terms.left_s * 1000))
    kept.append((_DEADLINE_MS, b'%d' % left_ms))
    kept.append((_EXPECT_INSTANCE, terms.target.encode('latin-1')))
    if terms.workspace is not None:
        kept.append((_TENANT, terms.workspace.encode('latin-1')))
    return kept


def answers_attempt(attempt_id: str, headers: Headers) -> bool:
    """Return whether an answer belongs to a caller's attempt.

    Parameters
    ----------
    attempt_id : str
        Id of the request that was sent.
    headers : list of tuple
        Headers of the answer; without an id it is taken as its answer.

    Returns
    -------
    bool
        False when the answer names another attempt.
    """
    echoed = header(headers, _ATTEMPT_ID)
    return echoed is None or _text(echoed) == attempt_id


def says_not_run(status: int, headers: Headers) -> bool:
    """Return whether a target states that it did not run the request."""
    return status == _MISDIRECTED or header(headers, _NOT_EXECUTED) is not None


def names_other_target(status: int) -> bool:
    """Return whether another target answered at the address."""
    return status == _MISDIRECTED


def is_signed(headers: Headers) -> bool:
    """Return whether an answer bears the target's signature."""
    return header(headers, _SIGNATURE) is not None


def caller_headers(headers: Headers, *, with_signature: bool) -> Headers:
    """Return the headers of a target's answer as the caller gets them.

    Parameters
    ----------
    headers : list of tuple
        Headers of the answer.
    with_signature : bool
        Whether the answer is passed on unchanged.

    Returns
    -------
    list of tuple
        Without the statements that are meant for this host.
    """
    dropped = {_NOT_EXECUTED}
    if not with_signature:
        dropped.add(_SIGNATURE)
    return [pair for pair in end_to_end(headers) if pair[0] not in dropped]


def refusal_headers(retry_after_s: float | None) -> Headers:
    """Return the headers of a refusal.

    Parameters
    ----------
    retry_after_s : float or None
        Seconds after which the caller may come back.

    Returns
    -------
    list of tuple
        Empty without a time.
    """
    if retry_after_s is None:
        return []
    return [(b'retry-after', b'%.3f' % max(0, retry_after_s))]


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode('latin-1')


def _seconds(value: bytes | None) -> float | None:
    try:
        return None if value is None else max(0, float(value)) / 1000
    except ValueError:
        return None


def _key(value: bytes | None) -> str | None:
    scheme, _, key = (_text(value) or '').strip().partition(' ')
    if scheme.lower() != _SCHEME or not key.strip():
        return None
    return key.strip()


def _host(value: str) -> str:
    name, colon, port = value.rpartition(':')
    return (name if colon and port.isdigit() else value).lower()
