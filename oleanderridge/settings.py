"""Loads and checks the settings of one host."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, cast

from result import Err, Ok, Result

from oleanderridge.findings import Finding
from oleanderridge.generated.settings import Settings
from oleanderridge.schema_check import (
    fill_defaults,
    line_of,
    path_text,
    read_yaml,
    schema_faults,
)

# Monotonic clocks of two machines may run apart by up to this ratio while a
# lease ages on one and the hold on the other; crystal clocks stay within
# 0.05 %, and one percent leaves room for slewing and for timer delays.
_CLOCK_DRIFT: Final = 0.01

_Fault = tuple[tuple[str, ...], str]


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
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Err([Finding(str(path), 0, '', f'cannot be read: {error}')])
    return parse_settings(text, str(path))


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
    parsed = read_yaml(text, source)
    if parsed.is_err():
        return Err(parsed.unwrap_err())
    yaml_source = parsed.unwrap()
    faults = list(schema_faults('settings', yaml_source.content))
    settings = None
    if not faults:
        settings = fill_defaults('settings', yaml_source.content)
        faults = list(_rule_faults(settings))
    if faults:
        return Err(
            [
                Finding(
                    source,
                    line_of(yaml_source.root, path),
                    path_text(path),
                    message,
                )
                for path, message in faults
            ]
        )
    return Ok(cast(Settings, settings))


def _rule_faults(settings: dict[str, Any]) -> Iterator[_Fault]:
    yield from _membership_faults(settings['membership'])
    yield from _admission_faults(settings['admission'])


def _membership_faults(membership: dict[str, float]) -> Iterator[_Fault]:
    interval_s = membership['heartbeat_interval_s']
    lease_s = membership['lease_s']
    hold_s = membership['hold_s']
    if lease_s <= interval_s:
        yield (
            ('membership', 'lease_s'),
            f'{lease_s} must exceed heartbeat_interval_s {interval_s}',
        )
    least_hold_s = lease_s * (1 + _CLOCK_DRIFT)
    if hold_s <= least_hold_s:
        yield (
            ('membership', 'hold_s'),
            f'{hold_s} must exceed lease_s {lease_s} by more than '
            f'{_CLOCK_DRIFT:.0%} for clock drift',
        )


def _admission_faults(admission: dict[str, float]) -> Iterator[_Fault]:
    expiry_s = admission['grant_expiry_s']
    hold_s = admission['grant_hold_s']
    if hold_s <= expiry_s * (1 + _CLOCK_DRIFT):
        yield (
            ('admission', 'grant_hold_s'),
            f'{hold_s} must exceed grant_expiry_s {expiry_s} by more than '
            f'{_CLOCK_DRIFT:.0%} for clock drift',
        )
