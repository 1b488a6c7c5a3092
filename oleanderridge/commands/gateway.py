"""The ``gateway`` subcommand: runs one host on its users' platform."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from result import Err

from oleanderridge.findings import format_finding
from oleanderridge.settings_file import SETTINGS_WAIT_S, load_when_whole

_EPILOG = """\
example:
  oleanderridge gateway --settings /run/oleanderridge/gateway.yaml

exit status:
  0 after a graceful shutdown, 1 when a task of the host failed, 2 when the
  settings have findings
"""


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand.

    Parameters
    ----------
    subparsers : argparse subparsers
        Where to add it.
    """
    parser = subparsers.add_parser(
        'gateway',
        help='run one host that reads its configuration from a store',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--settings', type=Path, required=True)
    parser.add_argument(
        '--check', action='store_true', help='check the settings and stop'
    )
    parser.set_defaults(run=run, handles_signals=True)


def run(options: argparse.Namespace) -> int:
    """Run a host until it is told to stop.

    Parameters
    ----------
    options : argparse.Namespace
        ``settings`` is the path of the settings file.

    Returns
    -------
    int
        Exit status.
    """
    # Imported here: the other subcommands start without the servers.
    from oleanderridge.gateway.process import run_gateway
    from oleanderridge.gateway.reload import file_version
    from oleanderridge.gateway.settings import load_gateway_settings

    path = options.settings
    version = file_version(path)
    loaded = load_when_whole(
        lambda: load_gateway_settings(path),
        0 if options.check else SETTINGS_WAIT_S,
    )
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            print(format_finding(finding), file=sys.stderr)
        return 2
    if options.check:
        print(f'{path}: no findings')
        return 0
    return run_gateway(loaded.ok_value, path, version)
