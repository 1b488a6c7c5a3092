"""What the commands share: exit statuses, errors, findings and JSON."""

from __future__ import annotations

import sys
from argparse import ArgumentParser, RawDescriptionHelpFormatter
from collections.abc import Iterable
from typing import Any, Final

from msgspec.json import encode
from msgspec.json import format as indent

from oleanderridge.findings import Finding, format_finding

FINE: Final = 0
FINDINGS: Final = 1
UNUSABLE: Final = 2

EXIT_STATUSES: Final = (
    'exit status: 0 no findings, 1 findings, 2 usage error or a file that '
    'cannot be read or written'
)


def add_command(
    subparsers: Any, name: str, summary: str, examples: str
) -> ArgumentParser:
    """Add a parser whose help ends with examples and exit statuses.

    Parameters
    ----------
    subparsers : argparse subparsers action
        Where the command is added.
    name : str
        Name of the command.
    summary : str
        One sentence.
    examples : str
        Command lines, one per line.

    Returns
    -------
    ArgumentParser
        The parser, without arguments.
    """
    lines = '\n'.join(f'  {line}' for line in examples.splitlines())
    parser: ArgumentParser = subparsers.add_parser(
        name,
        help=summary,
        description=summary,
        epilog=f'examples:\n{lines}\n\n{EXIT_STATUSES}',
        formatter_class=RawDescriptionHelpFormatter,
    )
    return parser


def print_error(message: str) -> None:
    """Print an error to standard error.

    Parameters
    ----------
    message : str
        One line.
    """
    print(f'oleanderridge: {message}', file=sys.stderr)


def print_findings(findings: Iterable[Finding]) -> None:
    """Print findings to standard error, one per line.

    Parameters
    ----------
    findings : iterable of Finding
        All findings.
    """
    for finding in findings:
        print(format_finding(finding), file=sys.stderr)


def print_json(content: Any) -> None:
    """Print a value as indented JSON to standard output.

    Parameters
    ----------
    content : Any
        A value that msgspec encodes.
    """
    print(indent(encode(content)).decode())


def finding_fields(findings: Iterable[Finding]) -> list[dict[str, Any]]:
    """Return findings the way ``--json`` shows them.

    Parameters
    ----------
    findings : iterable of Finding
        All findings.

    Returns
    -------
    list of dict
        ``source``, ``line``, ``path`` and ``message`` of each.
    """
    return [finding._asdict() for finding in findings]
