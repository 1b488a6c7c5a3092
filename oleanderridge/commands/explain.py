"""The ``explain`` subcommand: the way of one request over all hosts."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path

_EPILOG = """\
examples:
  oleanderridge explain 9c41d07be2a35f68 /var/log/hosts/*.log
  cat *.log | oleanderridge explain 9c41d07be2a35f68 --json

exit status:
  0 when the request was found, 1 when no line names it, 2 when a file
  cannot be read
"""


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand.

    Parameters
    ----------
    subparsers : argparse subparsers
        Where to add it.
    """
    parser = subparsers.add_parser(
        'explain',
        help='show from log lines what became of a request',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('id', help='id of the request')
    parser.add_argument(
        'files', nargs='*', type=Path, help='log files; none: standard input'
    )
    parser.add_argument('--json', action='store_true')
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the lines that explain a request.

    Parameters
    ----------
    options : argparse.Namespace
        ``id``, ``files`` and ``json``.

    Returns
    -------
    int
        Exit status.
    """
    from oleanderridge.telemetry.explain import explain

    try:
        found = explain(options.id, _lines(options.files))
    except OSError as error:
        print(f'{error.filename}: {error.strerror}', file=sys.stderr)
        return 2
    if not found:
        print(f'no line names {options.id}', file=sys.stderr)
        return 1
    for line in found:
        if options.json:
            print(json.dumps(line.fields))
            continue
        shown = ' '.join(
            f'{name}={value}'
            for name, value in line.fields.items()
            if name not in {'time', 'level', 'event', 'host'}
        )
        time = line.fields['time'].rpartition(' ')[2]
        host, event = line.fields.get('host', '-'), line.fields['event']
        print(f'{time} {host} {event} {shown}')
    return 0


def _lines(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for file in files:
        with file.open(encoding='utf-8', errors='replace') as opened:
            yield from opened
