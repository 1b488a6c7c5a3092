"""Removes the caller's key from a request before it is sent to a target.

The search covers the key as plain text, percent-encoded (also repeatedly) and
in base64 at every alignment, so that ``user:key`` in Basic credentials is
found too.
"""

from __future__ import annotations

import re
from base64 import b64encode
from collections.abc import Iterator
from itertools import chain
from typing import Final, NamedTuple
from urllib.parse import quote, unquote_plus, unquote_to_bytes

from result import Err, Ok, Result

from oleanderridge.refusals import Refusal, refuse

Headers = tuple[tuple[str, str], ...]

_KEY_PARAMETER: Final = 'api_key'
_PRINTABLE_PATTERN: Final = re.compile('[!-~]+')
_REQUEST_TARGET_PATTERN: Final = re.compile(r'/[!-"$-~]*')

# Limit of nested percent-encoding. Unbounded decoding takes quadratic time, and
# no target decodes more than twice.
_DECODE_ROUNDS_MAX: Final = 4

# Decoding 4 MiB blocks the event loop for up to 0.3 s, so longer bodies are
# searched for the key forms without decoding them.
_DECODED_BODY_LIMIT_BYTES: Final = 65536

# A shorter key determines so few base64 characters that ordinary values contain
# them by chance; 6 bytes determine at least 7 characters.
_BASE64_KEY_BYTES_MIN: Final = 6
_TO_URL_SAFE: Final = bytes.maketrans(b'+/', b'-_')


class InboundRequest(NamedTuple):
    """A caller's request; path and query are still percent-encoded."""

    request_id: str
    method: str
    path: str
    query: str
    headers: Headers
    body: bytes


class Scrubbed(NamedTuple):
    """The caller's key, None if absent, and the request without the key."""

    key: str | None
    request: InboundRequest


def remove_caller_key(request: InboundRequest) -> Result[Scrubbed, Refusal]:
    """Separate the caller's key from its request.

    Parameters
    ----------
    request : InboundRequest
        The request as received.

    Returns
    -------
    Result of Scrubbed, Refusal
        Refused as ``bad-request`` when the request carries several keys or
        has an invalid path or query, and as ``key-in-request`` when the key
        occurs where removing it would change the meaning of the request.
    """
    request_target = f'{request.path}?{request.query}'
    if not _REQUEST_TARGET_PATTERN.fullmatch(request_target):
        return Err(
            refuse('bad-request', 'the path or query has invalid characters')
        )
    keys = set(_find_keys(request))
    if len(keys) > 1:
        return Err(refuse('bad-request', 'the request contains several keys'))
    key = next(iter(keys), None)
    if key is not None and not _PRINTABLE_PATTERN.fullmatch(key):
        return Err(refuse('bad-request', 'the key is not printable ASCII'))
    key_forms = () if key is None else _encoded_key_forms(key)
    clean = request._replace(
        query=_clean_query(request.query, key_forms),
        headers=_clean_headers(request.headers, key_forms),
    )
    if key_forms and _key_remains(request, clean, key_forms):
        return Err(
            refuse(
                'key-in-request',
                'the key also occurs in the path, body or idempotency key',
            )
        )
    return Ok(Scrubbed(key, clean))


def _find_keys(request: InboundRequest) -> Iterator[str]:
    for header, header_value in request.headers:
        yield from _header_keys(header.lower(), header_value.strip())
    for pair in re.split('[&;]', request.query):
        name, _, text = pair.partition('=')
        if _is_key_name(name) and text:
            yield unquote_plus(text)


def _header_keys(name: str, value: str) -> Iterator[str]:
    if _is_bearer(name, value):
        credentials = value[len('bearer') :].strip()
        if credentials:
            yield credentials
    elif name == 'x-api-key' and value:
        yield value
    elif name == 'cookie':
        for cookie in value.split(';'):
            cookie_name, _, text = cookie.strip().partition('=')
            if _is_key_name(cookie_name) and text.strip('"'):
                yield text.strip('"')


def _is_key_name(name: str) -> bool:
    return unquote_plus(name).strip().lower() == _KEY_PARAMETER


def _encoded_key_forms(key: str) -> tuple[bytes, ...]:
    plain = key.encode()
    texts = {plain, quote(key, safe='').encode()}
    fragments: set[bytes] = set()
    if len(plain) >= _BASE64_KEY_BYTES_MIN:
        fragments.update(*(_base64_fragments(text) for text in texts))
    return tuple(texts | fragments)


def _base64_fragments(text: bytes) -> Iterator[bytes]:
    # The first and last characters also depend on the adjacent bytes and
    # are left out.
    for start in range(3):
        encoded = b64encode(bytes(start) + text)
        fragment = encoded[-(-start * 8 // 6) : (start + len(text)) * 8 // 6]
        yield fragment
        yield fragment.translate(_TO_URL_SAFE)


def _decodings(data: bytes) -> Iterator[bytes]:
    for _ in range(_DECODE_ROUNDS_MAX):
        yield data
        decoded = unquote_to_bytes(data) if b'%' in data else data
        if decoded == data:
            return
        data = decoded


def _contains(data: bytes, key_forms: tuple[bytes, ...]) -> bool:
    return any(
        key_form in decoded
        for decoded in _decodings(data)
        for key_form in key_forms
    )


def _text_contains(text: str, key_forms: tuple[bytes, ...]) -> bool:
    return bool(key_forms) and _contains(text.encode(), key_forms)


def _clean_query(query: str, key_forms: tuple[bytes, ...]) -> str:
    if not query:
        return query
    return '&'.join(
        pair
        for pair in query.split('&')
        if not _has_key_parameter(pair) and not _text_contains(pair, key_forms)
    )


def _has_key_parameter(pair: str) -> bool:
    return any(_is_key_name(part.partition('=')[0]) for part in pair.split(';'))


def _clean_headers(headers: Headers, key_forms: tuple[bytes, ...]) -> Headers:
    kept = tuple(_without_credentials(headers, key_forms))
    # A single search over all headers is faster than one for each.
    joined = '\n'.join(chain.from_iterable(kept))
    if not key_forms or not _header_contains(joined, joined, key_forms):
        return kept
    return tuple(
        (name, value)
        for name, value in kept
        if not _header_contains(name, value, key_forms)
    )


def _without_credentials(
    headers: Headers, key_forms: tuple[bytes, ...]
) -> Iterator[tuple[str, str]]:
    for name, value in headers:
        lowered = name.lower()
        if lowered == 'x-api-key' or _is_bearer(lowered, value):
            continue
        if lowered == 'cookie':
            value = _clean_cookies(value, key_forms)
            if not value:
                continue
        yield name, value


def _is_bearer(name: str, value: str) -> bool:
    return name == 'authorization' and (
        value.strip().partition(' ')[0].lower() == 'bearer'
    )


def _clean_cookies(value: str, key_forms: tuple[bytes, ...]) -> str:
    return '; '.join(
        pair.strip()
        for pair in value.split(';')
        if not _is_key_name(pair.partition('=')[0])
        and not _text_contains(pair, key_forms)
    )


def _header_contains(
    name: str, value: str, key_forms: tuple[bytes, ...]
) -> bool:
    # Header names arrive in lower case, whatever the caller sent.
    lowered = tuple(key_form.lower() for key_form in key_forms)
    in_name = any(
        key_form in decoded.lower()
        for decoded in _decodings(name.encode())
        for key_form in lowered
    )
    return in_name or _text_contains(value, key_forms)


def _key_remains(
    request: InboundRequest, clean: InboundRequest, key_forms: tuple[bytes, ...]
) -> bool:
    # Removing an idempotency key would allow a retry to run a second time.
    kept = [
        value
        for name, value in request.headers
        if name.lower() == 'idempotency-key'
    ]
    texts = (clean.method, f'{clean.path}?{clean.query}', *kept)
    if any(_text_contains(text, key_forms) for text in texts):
        return True
    if len(clean.body) > _DECODED_BODY_LIMIT_BYTES:
        return any(key_form in clean.body for key_form in key_forms)
    return _contains(clean.body, key_forms)
