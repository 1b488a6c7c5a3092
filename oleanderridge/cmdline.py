"""The command line of the ``oleanderridge`` program."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from importlib import import_module
from typing import Final

# Each module has a function ``register(subparsers)``.
COMMAND_MODULES: Final = (
    'serve',
    'gateway',
    'explain',
    'check',
    'bundle',
    'remote',
    'version',
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with every subcommand.

    Returns
    -------
    argparse.ArgumentParser
        Parsed options carry the function to call in ``run``.
    """
    parser = argparse.ArgumentParser(
        prog='oleanderridge',
        description='A proxy fleet for targets with gray failures.',
    )
    subparsers = parser.add_subparsers(metavar='COMMAND', required=True)
    for name in COMMAND_MODULES:
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
    options = build_parser().parse_args(arguments)
    return options.run(options)
