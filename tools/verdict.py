"""Runs every check of the repository and prints one verdict."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

_BIN = Path(sys.executable).parent
_SOURCES = ('oleanderridge', 'bench', 'tests', 'features', 'tools')
_LINTED = ('oleanderridge', 'bench', 'tools')
_KNOWN_RED = Path('KNOWN-RED.txt')


class Check(NamedTuple):
    """One command of the verdict."""

    name: str
    command: tuple[str, ...]


def _program(name: str, *arguments: str) -> tuple[str, ...]:
    return (str(_BIN / name), *arguments)


def known_red() -> list[str]:
    """Return the test names that ``KNOWN-RED.txt`` lists.

    Returns
    -------
    list of str
        The pytest node ids and behave scenario names on ``test:`` lines.
    """
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return [
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    ]


def checks(red: list[str]) -> list[Check]:
    """Return the commands of the verdict in the order in which they run.

    Parameters
    ----------
    red : list of str
        Tests that are passed over because of a known fault.

    Returns
    -------
    list of Check
        Format, lint, generated code, unit tests and feature tests.
    """
    node_ids = [name for name in red if '::' in name]
    deselected = [f'--deselect={name}' for name in node_ids]
    pytest = _program('python', '-m', 'pytest', *deselected)
    behave = _program('behave', '--no-color', '--tags=not @known_red')
    return [
        Check('format', _program('ruff', 'format', '--check', *_SOURCES)),
        Check('lint', _program('ruff', 'check', *_SOURCES)),
        Check('style', _program('flake8', *_LINTED)),
        Check(
            'generated', _program('python', '-m', 'tools.generate', '--check')
        ),
        Check('unit', pytest),
        Check('features', (*behave, '-f', 'progress')),
    ]


def main() -> int:
    """Run all checks and print which passed.

    Returns
    -------
    int
        Zero when every check passed, otherwise one.
    """
    red = known_red()
    for name in red:
        print(f'known red, passed over: {name}')
    failed = []
    for check in checks(red):
        print(f'== {check.name}', flush=True)
        if subprocess.run(check.command, check=False).returncode:
            failed.append(check.name)
    if failed:
        print(f'verdict: failed in {", ".join(failed)}')
        return 1
    print('verdict: all checks passed')
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
