"""Takes the caller's key out of a request before a target can see it.

A key is looked for as text, percent-encoded (also repeatedly) and in base64
at every alignment, so that ``user:key`` in Basic credentials is found too.
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

_NAME: Final = 'api_key'
_PRINTABLE: Final = re.compile('[!-~]+')
_TARGET_FORM: Final = re.compile(r'/[!-"$-~]*')

# How often percent-encoding may be nested. Decoding without a bound takes
# quadratic time, and no target decodes more than two times.
_DECODE_ROUNDS: Final = 4

# Decoding 4 MiB takes up to 0.3 s, in which no other request is served, so
# longer bodies are searched for the text and base64 forms only.
_DECODED_BODY_LIMIT: Final = 65536

# The part of a base64 text that shorter keys fix is so short that ordinary
# values contain it; 6 bytes fix at least 7 characters.
_BASE64_MINIMUM: Final = 6
_URL_SAFE: Final = bytes.maketrans(b'+/', b'-_')


class InboundRequest(NamedTuple):
    """A caller's request; path and query as on the wire, still encoded."""

    request_id: str
    method: str
    path: str
    query: str
    headers: Headers
    body: bytes


class Scrubbed(NamedTuple):
    """The caller's key (None without one) and the request without it."""

    key: str | None
    request: InboundRequest


def scrub(request: InboundRequest) -> Result[Scrubbed, Refusal]:
    """Separate the caller's key from its request.

    Parameters
    ----------
    request : InboundRequest
        The request as received.

    Returns
    -------
    Result of Scrubbed, Refusal
        Refused as ``bad-request`` when the request carries several keys or
        cannot be passed on as written, and as ``key-in-request`` when the
        key stands where removing it would change the request's meaning.
    """
    written = f'{request.path}?{request.query}'
    if not _TARGET_FORM.fullmatch(written):
        return Err(refuse('bad-request', 'the path has invalid characters'))
    keys = set(_keys(request))
    if len(keys) > 1:
        return Err(refuse('bad-request', 'the request carries several keys'))
    key = next(iter(keys), None)
    if key is not None and not _PRINTABLE.fullmatch(key):
        return Err(refuse('bad-request', 'the key is not printable ASCII'))
    needles = () if key is None else _needles(key)
    clean = request._replace(
        query=_clean_query(request.query, needles),
        headers=_clean_headers(request.headers, needles),
    )
    if needles and _key_remains(request, clean, needles):
        return Err(
            refuse(
                'key-in-request',
                'the key also stands in the path, body or idempotency key',
            )
        )
    return Ok(Scrubbed(key, clean))


def _keys(request: InboundRequest) -> Iterator[str]:
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
    return unquote_plus(name).strip().lower() == _NAME


def _needles(key: str) -> tuple[bytes, ...]:
    plain = key.encode()
    texts = {plain, quote(key, safe='').encode()}
    cores: set[bytes] = set()
    if len(plain) >= _BASE64_MINIMUM:
        cores.update(*(_base64_cores(text) for text in texts))
    return tuple(texts | cores)


def _base64_cores(text: bytes) -> Iterator[bytes]:
    # The characters at the edges also depend on the neighbouring bytes.
    for start in range(3):
        encoded = b64encode(bytes(start) + text)
        core = encoded[-(-start * 8 // 6) : (start + len(text)) * 8 // 6]
        yield core
        yield core.translate(_URL_SAFE)


def _decodings(data: bytes) -> Iterator[bytes]:
    for _ in range(_DECODE_ROUNDS):
        yield data
        decoded = unquote_to_bytes(data) if b'%' in data else data
        if decoded == data:
            return
        data = decoded


def _contains(data: bytes, needles: tuple[bytes, ...]) -> bool:
    return any(
        needle in form for form in _decodings(data) for needle in needles
    )


def _holds(text: str, needles: tuple[bytes, ...]) -> bool:
    return bool(needles) and _contains(text.encode(), needles)


def _clean_query(query: str, needles: tuple[bytes, ...]) -> str:
    if not query:
        return query
    return '&'.join(
        pair
        for pair in query.split('&')
        if not _names_key(pair) and not _holds(pair, needles)
    )


def _names_key(pair: str) -> bool:
    return any(_is_key_name(part.partition('=')[0]) for part in pair.split(';'))


def _clean_headers(headers: Headers, needles: tuple[bytes, ...]) -> Headers:
    kept = tuple(_without_carriers(headers, needles))
    # One search over all headers is faster than one for each of them.
    joined = '\n'.join(chain.from_iterable(kept))
    if not needles or not _in_header(joined, joined, needles):
        return kept
    return tuple(
        (name, value)
        for name, value in kept
        if not _in_header(name, value, needles)
    )


def _without_carriers(
    headers: Headers, needles: tuple[bytes, ...]
) -> Iterator[tuple[str, str]]:
    for name, value in headers:
        lowered = name.lower()
        if lowered == 'x-api-key' or _is_bearer(lowered, value):
            continue
        if lowered == 'cookie':
            value = _clean_cookies(value, needles)
            if not value:
                continue
        yield name, value


def _is_bearer(name: str, value: str) -> bool:
    return name == 'authorization' and (
        value.strip().partition(' ')[0].lower() == 'bearer'
    )


def _clean_cookies(value: str, needles: tuple[bytes, ...]) -> str:
    return '; '.join(
        pair.strip()
        for pair in value.split(';')
        if not _is_key_name(pair.partition('=')[0])
        and not _holds(pair, needles)
    )


def _in_header(name: str, value: str, needles: tuple[bytes, ...]) -> bool:
    # Names reach us in lower case, whatever the caller wrote.
    lowered = tuple(needle.lower() for needle in needles)
    in_name = any(
        needle in form.lower()
        for form in _decodings(name.encode())
        for needle in lowered
    )
    return in_name or _holds(value, needles)


def _key_remains(
    request: InboundRequest, clean: InboundRequest, needles: tuple[bytes, ...]
) -> bool:
    # Dropping an idempotency key would let a repetition run a second time.
    kept = [
        value
        for name, value in request.headers
        if name.lower() == 'idempotency-key'
    ]
    texts = (clean.method, f'{clean.path}?{clean.query}', *kept)
    if any(_holds(text, needles) for text in texts):
        return True
    if len(clean.body) > _DECODED_BODY_LIMIT:
        return any(needle in clean.body for needle in needles)
    return _contains(clean.body, needles)
