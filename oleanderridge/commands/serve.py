"""The ``serve`` subcommand: runs one host."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from result import Err

from oleanderridge.findings import format_finding
from oleanderridge.settings import load_settings
from oleanderridge.settings_file import SETTINGS_WAIT_S, load_when_whole

_EPILOG = """\
example:
  oleanderridge serve --settings /run/oleanderridge/host.yaml

exit status:
  0 after a graceful shutdown, 1 when the settings have findings or a task
  of the host failed
"""


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand.

    Parameters
    ----------
    subparsers : argparse subparsers
        Where to add it.
    """
    parser = subparsers.add_parser(
        'serve',
        help='run one host',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--settings', type=Path, required=True)
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
    loaded = load_when_whole(
        lambda: load_settings(options.settings), SETTINGS_WAIT_S
    )
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            print(format_finding(finding), file=sys.stderr)
        return 1
    settings = loaded.ok_value
    # Imported here: the other subcommands start without the servers.
    from oleanderridge.runtime.host import run as run_host
    from oleanderridge.telemetry.logs import configure_logging
    from oleanderridge.telemetry.traces import (
        configure_tracing,
    )

    configure_logging(settings)
    configure_tracing(settings)
    return run_host(settings)
