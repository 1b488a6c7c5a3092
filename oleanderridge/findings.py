"""Faults found in an input, each with its place."""

from __future__ import annotations

from typing import NamedTuple


class Finding(NamedTuple):
    """One fault in a settings file, a bundle or a platform value."""

    source: str
    line: int
    path: str
    message: str


def format_finding(finding: Finding) -> str:
    """Return a finding as one line for people.

    Parameters
    ----------
    finding : Finding
        The fault; line 0 means that the line is unknown.

    Returns
    -------
    str
        ``source:line: path: message``.
    """
    place = finding.source
    if finding.line:
        place = f'{place}:{finding.line}'
    return f'{place}: {finding.path or "$"}: {finding.message}'
