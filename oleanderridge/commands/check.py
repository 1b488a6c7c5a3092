"""The ``check`` command: reports everything wrong with configuration files."""

from __future__ import annotations

from argparse import Namespace
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from result import Result

from oleanderridge.commands.output import (
    FINDINGS,
    FINE,
    UNUSABLE,
    add_command,
    finding_fields,
    print_error,
    print_findings,
    print_json,
)
from oleanderridge.config.document import parse_source
from oleanderridge.findings import Finding
from oleanderridge.settings import parse_settings

_EXAMPLES: Final = """\
oleanderridge check --settings host.yaml
oleanderridge check --settings host-a.yaml --settings host-b.yaml
oleanderridge check --bundle bundle.yaml --json"""

_Parser = Callable[[str, str], Result[Any, list[Finding]]]


def register(subparsers: Any) -> None:
    """Add the command to the program.

    Parameters
    ----------
    subparsers : argparse subparsers action
        Where the command is added.
    """
    parser = add_command(
        subparsers,
        'check',
        'Check settings files and bundle sources without using them.',
        _EXAMPLES,
    )
    parser.add_argument(
        '--settings',
        metavar='FILE',
        action='append',
        default=[],
        help='settings of a host; repeatable',
    )
    parser.add_argument(
        '--bundle',
        metavar='FILE',
        action='append',
        default=[],
        help='bundle source; repeatable',
    )
    parser.add_argument(
        '--json',
        action='store_true',
        help='print the findings as a JSON list to standard output',
    )
    parser.set_defaults(run=run)


def run(options: Namespace) -> int:
    """Check the files.

    Parameters
    ----------
    options : Namespace
        ``settings``, ``bundle`` and ``json``.

    Returns
    -------
    int
        0 without findings, 1 with findings, 2 when no file is named or one
        cannot be read.
    """
    files: list[tuple[str, _Parser]] = [
        *((name, parse_settings) for name in options.settings),
        *((name, parse_source) for name in options.bundle),
    ]
    if not files:
        print_error('check: name a file with --settings or --bundle')
        return UNUSABLE
    findings: list[Finding] = []
    status = FINE
    for name, parse in files:
        try:
            text = Path(name).read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            print_error(f'{name} cannot be read: {error}')
            status = UNUSABLE
        else:
            findings.extend(parse(text, name).err() or ())
    if options.json:
        print_json(finding_fields(findings))
    else:
        print_findings(findings)
    return max(status, FINDINGS if findings else FINE)
