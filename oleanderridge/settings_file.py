"""Reads a YAML settings file against a schema and further rules."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

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

Checked = Result[dict[str, Any], list[Finding]]
Rules = Callable[[dict[str, Any]], Iterable[Fault]]


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
