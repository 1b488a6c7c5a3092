"""Paths, queries and responses of the readiness and resolve endpoints."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final
from urllib.parse import parse_qs, urlsplit

from msgspec.json import encode

from oleanderridge.http1.messages import Headers

READY_PATH: Final = '/v1/ready'
RESOLVE_PATH: Final = '/v1/resolve'
_JSON_HEADERS: Final[Headers] = [(b'content-type', b'application/json')]


def caller_zone(target: bytes) -> str:
    """Return the zone in the query of a resolve request, or an empty string."""
    query = parse_qs(urlsplit(target.decode('latin-1')).query)
    return query.get('zone', [''])[0]


def path_of(target: bytes) -> str:
    """Return the path of a request target without the query string."""
    return target.decode('latin-1').partition('?')[0]


def addresses_answer(
    addresses: Sequence[str], ttl_s: float
) -> tuple[Headers, bytes]:
    """Return the headers and body of a resolve response.

    Parameters
    ----------
    addresses : sequence of str
        IP addresses and ports.
    ttl_s : float
        Seconds for which a caller may cache them.

    Returns
    -------
    tuple of list, bytes
        Headers and JSON body.
    """
    return _JSON_HEADERS, encode({'addresses': list(addresses), 'ttl_s': ttl_s})
