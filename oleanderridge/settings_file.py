"""Reads a YAML settings file against a schema and further rules."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, Final, TypeVar

from msgspec import ValidationError
from result import Err, Ok, Result

from oleanderridge.compiled_schema import completed
from oleanderridge.findings import Finding
from oleanderridge.schema_check import (
    Fault,
    fill_defaults,
    located,
    read_yaml,
    schema_faults,
)

# How long a host that starts waits for settings without findings: they may be
# written at the moment.
SETTINGS_WAIT_S: Final = 1.0
# How often a file that has findings is read again.
_RETRY_INTERVAL_S: Final = 0.05

Loaded = TypeVar('Loaded')
Checked = Result[dict[str, Any], list[Finding]]
Rules = Callable[[dict[str, Any]], Iterable[Fault]]


def load_when_whole(
    load: Callable[[], Result[Loaded, list[Finding]]], wait_s: float
) -> Result[Loaded, list[Finding]]:
    """Load settings that may be written at the moment.

    Parameters
    ----------
    load : callable
        Reads and checks the file.
    wait_s : float
        Seconds after which findings count.

    Returns
    -------
    Result of settings, list of Finding
        The first settings without findings, or the last findings.
    """
    ends_at = time.monotonic() + wait_s
    while True:
        loaded = load()
        if isinstance(loaded, Ok) or time.monotonic() >= ends_at:
            return loaded
        time.sleep(_RETRY_INTERVAL_S)


def load_checked(path: Path, schema: str, rules: Rules) -> Checked:
    """Return the settings in a file.

    Parameters
    ----------
    path : Path
        YAML file.
    schema : str
        Name of the schema.
    rules : callable
        Returns the faults that a schema cannot express.

    Returns
    -------
    Result of dict, list of Finding
        Complete settings, defaults filled in; or all findings, also when
        the file cannot be read.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Err([Finding(str(path), 0, '', f'cannot be read: {error}')])
    return parse_checked(text, str(path), schema, rules)


def parse_checked(text: str, source: str, schema: str, rules: Rules) -> Checked:
    """Return the settings in a YAML text.

    Parameters
    ----------
    text : str
        YAML.
    source : str
        Name of the text in findings.
    schema : str
        Name of the schema.
    rules : callable
        Returns the faults that a schema cannot express.

    Returns
    -------
    Result of dict, list of Finding
        Complete settings, defaults filled in; or all findings.
    """
    parsed = read_yaml(text, source)
    if parsed.is_err():
        return Err(parsed.unwrap_err())
    read = parsed.unwrap()
    settings: dict[str, Any] = {}
    try:
        settings = completed(schema, read.content)
        faults = []
    except (ValidationError, ValueError):
        # The schema accepts more than its types, and names what is wrong.
        faults = list(schema_faults(schema, read.content))
        if not faults:
            settings = fill_defaults(schema, read.content)
    if not faults:
        faults = list(rules(settings))
    if faults:
        return Err(located(source, read.root, faults))
    return Ok(settings)
