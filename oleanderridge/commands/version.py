"""The ``version`` subcommand."""

from __future__ import annotations

import argparse

from oleanderridge import __version__


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand.

    Parameters
    ----------
    subparsers : argparse subparsers
        Where to add it.
    """
    parser = subparsers.add_parser('version', help='print the version')
    parser.set_defaults(run=run)


def run(_options: argparse.Namespace) -> int:
    """Print the version.

    Returns
    -------
    int
        Always 0.
    """
    print(__version__)
    return 0
