"""Paths and bodies of what callers and the platform ask a host."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final
from urllib.parse import parse_qs, urlsplit

from msgspec.json import encode

from oleanderridge.http1.messages import Headers

READY_PATH: Final = '/v1/ready'
RESOLVE_PATH: Final = '/v1/resolve'
_JSON: Final[Headers] = [(b'content-type', b'application/json')]


def caller_zone(target: bytes) -> str:
    """Return the zone that a caller names when it asks for addresses."""
    query = parse_qs(urlsplit(target.decode('latin-1')).query)
    return query.get('zone', [''])[0]


def path_of(target: bytes) -> str:
    """Return the path of a request target without its query."""
    return target.decode('latin-1').partition('?')[0]


def addresses_answer(
    addresses: Sequence[str], ttl_s: float
) -> tuple[Headers, bytes]:
    """Return headers and body that name caller addresses.

    Parameters
    ----------
    addresses : sequence of str
        IP addresses and ports.
    ttl_s : float
        Seconds for which a caller may use them.

    Returns
    -------
    tuple of list, bytes
        The answer.
    """
    return _JSON, encode({'addresses': list(addresses), 'ttl_s': ttl_s})
