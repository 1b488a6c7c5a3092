"""The command line of the ``oleanderridge`` program."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from importlib import import_module
from typing import Final

from oleanderridge.held_signals import deliver_signals

# Each module has a function ``register(subparsers)``. A host that starts again
# serves sooner when only its own subcommand is imported.
_MODULE_BY_COMMAND: Final = {
    'serve': 'serve',
    'gateway': 'gateway',
    'explain': 'explain',
    'check': 'check',
    'bundle': 'bundle',
    'status': 'remote',
    'resolve': 'remote',
    'version': 'version',
}


def build_parser(command: str = '') -> argparse.ArgumentParser:
    """Return the parser.

    Parameters
    ----------
    command : str
        Subcommand to import; any other text imports them all.

    Returns
    -------
    argparse.ArgumentParser
        Parsed options carry the function to call in ``run``.
    """
    parser = argparse.ArgumentParser(
        prog='oleanderridge',
        description='A proxy fleet for targets with gray failures.',
    )
    parser.set_defaults(handles_signals=False)
    subparsers = parser.add_subparsers(metavar='COMMAND', required=True)
    names = {_MODULE_BY_COMMAND.get(command, '')} - {''}
    for name in sorted(names) or dict.fromkeys(_MODULE_BY_COMMAND.values()):
        module = import_module(f'oleanderridge.commands.{name}')
        module.register(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program.

    Parameters
    ----------
    arguments : sequence of str or None
        Command line without the program name; None reads ``sys.argv``.

    Returns
    -------
    int
        Exit status of the subcommand.
    """
    words = sys.argv[1:] if arguments is None else arguments
    options = build_parser(words[0] if words else '').parse_args(words)
    if not options.handles_signals:
        deliver_signals()
    return options.run(options)
