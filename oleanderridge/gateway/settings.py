"""Loads and validates the settings of a gateway host."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

from result import Result

from oleanderridge.addresses import is_address
from oleanderridge.findings import Finding
from oleanderridge.generated.gateway import GatewaySettings
from oleanderridge.schema_check import Fault
from oleanderridge.settings_file import load_checked, parse_checked

_ADDRESS_SECTIONS = ('caller', 'readiness', 'directory', 'store')


def load_gateway_settings(
    path: Path,
) -> Result[GatewaySettings, list[Finding]]:
    """Load settings from a file.

    Parameters
    ----------
    path : Path
        YAML file.

    Returns
    -------
    Result of GatewaySettings, list of Finding
        Settings with defaults filled in, or all findings.
    """
    loaded = load_checked(path, 'gateway', _check_addresses)
    return cast(Result[GatewaySettings, list[Finding]], loaded)


def parse_gateway_settings(
    text: str, source: str
) -> Result[GatewaySettings, list[Finding]]:
    """Parse settings from YAML text.

    Parameters
    ----------
    text : str
        YAML document.
    source : str
        Source name shown in findings.

    Returns
    -------
    Result of GatewaySettings, list of Finding
        Settings with defaults filled in, or all findings.
    """
    parsed = parse_checked(text, source, 'gateway', _check_addresses)
    return cast(Result[GatewaySettings, list[Finding]], parsed)


def _check_addresses(settings: dict[str, Any]) -> Iterator[Fault]:
    for name in _ADDRESS_SECTIONS:
        address = settings[name]['address']
        if not is_address(address, port_required=True):
            yield (
                (name, 'address'),
                f'{address!r} is not an IP address and port',
            )
    for index, seed in enumerate(settings['peers']['seeds']):
        if not is_address(seed, port_required=False):
            yield ('peers', 'seeds', index), f'{seed!r} is not an IP address'
