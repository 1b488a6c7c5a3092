"""Loads and checks the settings of one host."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, cast

from result import Result

from oleanderridge.addresses import is_address, is_address_url
from oleanderridge.findings import Finding
from oleanderridge.generated.settings import Settings
from oleanderridge.schema_check import Fault
from oleanderridge.schema_check import (
    Path as FieldPath,
)
from oleanderridge.settings_file import load_checked, parse_checked

# Monotonic clocks of two machines may run apart by up to this ratio while a
# lease ages on one and the hold on the other; crystal clocks stay within
# 0.05 %, and one percent leaves room for slewing and for timer delays.
_CLOCK_DRIFT: Final = 0.01

# Evidence for a lease is a stamp that comes back: up to one interval until
# the peer's next heartbeat, and one more until the evidence after it.
_INTERVALS_PER_LEASE: Final = 2


def load_settings(path: Path) -> Result[Settings, list[Finding]]:
    """Return the settings in a file.

    Parameters
    ----------
    path : Path
        YAML file.

    Returns
    -------
    Result of Settings, list of Finding
        Complete settings, defaults filled in; or all findings, also when
        the file cannot be read.
    """
    loaded = load_checked(path, 'settings', _rule_faults)
    return cast(Result[Settings, list[Finding]], loaded)


def parse_settings(text: str, source: str) -> Result[Settings, list[Finding]]:
    """Return the settings in a YAML text.

    Parameters
    ----------
    text : str
        YAML.
    source : str
        Name of the text in findings.

    Returns
    -------
    Result of Settings, list of Finding
        Complete settings, defaults filled in; or all findings.
    """
    parsed = parse_checked(text, source, 'settings', _rule_faults)
    return cast(Result[Settings, list[Finding]], parsed)


def _rule_faults(settings: dict[str, Any]) -> Iterator[Fault]:
    yield from _membership_faults(settings['membership'])
    yield from _admission_faults(settings['admission'])
    yield from _address_faults(settings)


def _membership_faults(membership: dict[str, float]) -> Iterator[Fault]:
    interval_s = membership['heartbeat_interval_s']
    lease_s = membership['lease_s']
    hold_s = membership['hold_s']
    if lease_s <= _INTERVALS_PER_LEASE * interval_s:
        yield (
            ('membership', 'lease_s'),
            f'{lease_s} must exceed {_INTERVALS_PER_LEASE} times '
            f'heartbeat_interval_s {interval_s}',
        )
    if membership['suspect_s'] <= interval_s:
        yield (
            ('membership', 'suspect_s'),
            f'{membership["suspect_s"]} must exceed heartbeat_interval_s '
            f'{interval_s}',
        )
    least_hold_s = lease_s * (1 + _CLOCK_DRIFT)
    if hold_s <= least_hold_s:
        yield (
            ('membership', 'hold_s'),
            f'{hold_s} must exceed lease_s {lease_s} by more than '
            f'{_CLOCK_DRIFT:.0%} for clock drift',
        )


def _admission_faults(admission: dict[str, float]) -> Iterator[Fault]:
    expiry_s = admission['grant_expiry_s']
    hold_s = admission['grant_hold_s']
    if hold_s <= expiry_s * (1 + _CLOCK_DRIFT):
        yield (
            ('admission', 'grant_hold_s'),
            f'{hold_s} must exceed grant_expiry_s {expiry_s} by more than '
            f'{_CLOCK_DRIFT:.0%} for clock drift',
        )
    if admission['request_timeout_s'] >= expiry_s:
        yield (
            ('admission', 'request_timeout_s'),
            f'{admission["request_timeout_s"]} must be below grant_expiry_s '
            f'{expiry_s}',
        )


def _address_faults(settings: dict[str, Any]) -> Iterator[Fault]:
    users: dict[tuple[str, int], str] = {}
    for section in ('caller', 'admin', 'peer'):
        place = settings[section]['address'], settings[section]['port']
        other = users.setdefault(place, section)
        if other != section:
            yield (section, 'port'), f'{place[1]} is also the {other} port'
    peer = settings['peer']
    for position, seed in enumerate(peer['seeds']):
        yield from _peer_faults(('peer', 'seeds', position), seed)
    for host, address in peer['address_overrides'].items():
        yield from _peer_faults(('peer', 'address_overrides', host), address)
    url = settings['platform']['url']
    if not is_address_url(url):
        yield ('platform', 'url'), f'{url!r} is not http://address:port'


def _peer_faults(path: FieldPath, address: str) -> Iterator[Fault]:
    if not is_address(address, port_required=True):
        yield path, f'{address!r} is not address:port'
