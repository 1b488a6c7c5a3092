"""Entry point of the program, as a module, a script and a start file."""

import _signal

# Signals stay pending until a host handles them. ``_signal`` is built in:
# loading ``signal`` first leaves SIGHUP its default effect for longer.
_signal.pthread_sigmask(
    _signal.SIG_BLOCK, (_signal.SIGHUP, _signal.SIGINT, _signal.SIGTERM)
)

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

if not __package__:
    # A start file has no package, and ``-P`` keeps its folder off the path.
    sys.path.insert(0, str(Path(__file__).resolve().parents[1]))


def main() -> int:
    """Run the program.

    Returns
    -------
    int
        Exit status of the subcommand.
    """
    from oleanderridge.cmdline import main as run

    return run()


if __name__ == '__main__':
    sys.exit(main())
