"""Checks network addresses in settings and bundles."""

from __future__ import annotations

from ipaddress import ip_address
from re import compile as compile_pattern
from typing import Final

# Names are refused: hosts connect to IP addresses only, and nothing in the
# system resolves names.
_ADDRESS: Final = compile_pattern(
    r'(?:\[(?P<six>[0-9A-Fa-f:.]+)\]|(?P<four>[0-9.]+))(?::(?P<port>[0-9]{1,5}))?'
)
_PORT_MAX: Final = 65535


def is_address(text: str, *, port_required: bool) -> bool:
    """Tell whether a text is an IP address with a port.

    Parameters
    ----------
    text : str
        For instance ``10.0.0.1:80`` or ``[::1]:80``.
    port_required : bool
        Whether an address without a port is refused.

    Returns
    -------
    bool
        False for names and for ports outside 1 to 65535.
    """
    found = _ADDRESS.fullmatch(text)
    if found is None:
        return False
    port = found['port']
    if port is None and port_required:
        return False
    if port is not None and not 0 < int(port) <= _PORT_MAX:
        return False
    try:
        address = ip_address(found['six'] or found['four'])
    except ValueError:
        return False
    return (address.version == 6) == bool(found['six'])


def is_address_url(url: str) -> bool:
    """Tell whether a URL names an IP address over HTTP and nothing else.

    Parameters
    ----------
    url : str
        For instance ``http://10.0.0.1:80``; a final slash is allowed.

    Returns
    -------
    bool
        False for names, paths, queries and credentials.
    """
    scheme, _, place = url.partition('://')
    return scheme == 'http' and is_address(
        place.removesuffix('/'), port_required=False
    )
