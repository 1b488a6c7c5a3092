"""Signals of a host, from the start of the program until its end.

The start file blocks them, so that they stay pending until a host handles
them or another subcommand begins.
"""

from __future__ import annotations

import signal
from asyncio import AbstractEventLoop
from collections.abc import Callable, Mapping
from typing import Final

HELD_SIGNALS: Final = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def deliver_signals() -> None:
    """Deliver the signals, also those that have come meanwhile."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD_SIGNALS)


def handle_signals(
    loop: AbstractEventLoop,
    handler_by_signal: Mapping[int, Callable[[], None]],
) -> None:
    """Handle the signals in a loop, also those that have come meanwhile.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        It calls the handlers. Unlike those of ``add_signal_handler``, they
        stay installed when it closes.
    handler_by_signal : mapping
        Handlers of all held signals.
    """
    for number, handler in handler_by_signal.items():
        signal.signal(number, _in_loop(loop, handler))
    deliver_signals()


def ignore_signals() -> None:
    """Let the signals have no effect on a process that ends.

    Blocking them is not enough: another thread would get them.
    """
    for number in HELD_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _in_loop(
    loop: AbstractEventLoop, handler: Callable[[], None]
) -> Callable[[int, object], None]:
    def on_signal(_number: int, _frame: object) -> None:
        loop.call_soon_threadsafe(handler)

    return on_signal
