"""Parses what connections receive in short turns of the event loop.

A peer decides how many events its bytes hold: a body in chunks of one byte has
a million of them in 6 MB. Each connection parses for a short time at once; what
is left waits in one queue for all connections, which leaves most of the loop to
other work.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Final
from weakref import WeakKeyDictionary

from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

_TURN_S: Final = 0.002
# Pause of the queue after a turn, in lengths of that turn.
_PAUSE_FACTOR: Final = 2
# Events between two looks at the clock.
EVENTS_PER_LOOK: Final = 16
# Part of its time for which a connection may parse outside the queue.
_IMMEDIATE_SHARE: Final = 0.1
# A turn can't end within an event. Longer ones are logged.
_LONG_TURN_S: Final = 0.02

# Parses until a loop time and returns whether something is left.
Parse = Callable[[float], bool]


class ParseQueue:
    """Connections that have more to parse than fits into one turn."""

    def __init__(self) -> None:
        self._waiting: deque[ParseTurns] = deque()
        self._is_scheduled = False

    def add(self, turns: ParseTurns) -> None:
        """Let a connection parse in a later turn."""
        self._waiting.append(turns)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        if not self._waiting:
            self._is_scheduled = False
            return
        took_s = _TURN_S
        try:
            took_s = self._waiting.popleft().take()
        finally:
            # Also after an error: the other connections wait for their turns.
            asyncio.get_running_loop().call_later(
                _PAUSE_FACTOR * took_s, self._run_next
            )


_queues: WeakKeyDictionary[Any, ParseQueue] = WeakKeyDictionary()


def _queue_of(loop: asyncio.AbstractEventLoop) -> ParseQueue:
    return _queues.setdefault(loop, ParseQueue())


class ParseTurns:
    """Turns of one connection.

    Reading is paused while parsed data is behind received data, so that a peer
    can't have more waiting than one read brings.

    Parameters
    ----------
    parse : callable
        Parses received data until a loop time at most.
    """

    def __init__(self, parse: Parse) -> None:
        self._loop = asyncio.get_running_loop()
        self._time = self._loop.time
        self._parse = parse
        self._transport: Any = None
        self._is_waiting = False
        self._is_paced = False
        self._spent_s: float = 0
        self._spent_at: float = 0

    def start(self, transport: Any) -> None:
        """Set the transport of the connection."""
        self._transport = transport

    def on_data(self) -> None:
        """Parse received data, now or in a later turn."""
        if self._is_waiting:
            return
        now = self._time()
        spent_s = self._spent_s - _IMMEDIATE_SHARE * (now - self._spent_at)
        self._spent_at = now
        if spent_s >= _TURN_S:
            self._spent_s = spent_s
            self._wait()
            return
        is_unfinished = self._parse(now + _TURN_S)
        took_s = self._time() - now
        self._spent_s = spent_s + took_s if spent_s > 0 else took_s
        if is_unfinished:
            self._wait()
        elif took_s > _LONG_TURN_S:
            self._log('parse-turn-long', took_s)

    def take(self) -> float:
        """Parse for one turn of the queue.

        Returns
        -------
        float
            Seconds that it took.
        """
        self._is_waiting = False
        began = self._time()
        is_unfinished = self._parse(began + _TURN_S)
        took_s = self._time() - began
        self._spent_s += took_s
        if took_s > _LONG_TURN_S:
            self._log('parse-turn-long', took_s)
        if is_unfinished:
            self._wait()
        elif not self._transport.is_closing():
            self._transport.resume_reading()
        return took_s

    def _wait(self) -> None:
        if self._transport.is_closing():
            return
        if not self._is_paced:
            self._is_paced = True
            self._log('parse-paced', self._spent_s)
        self._is_waiting = True
        self._transport.pause_reading()
        _queue_of(self._loop).add(self)

    def _log(self, event: str, took_s: float) -> None:
        own = self._transport.get_extra_info('sockname') or ('-', 0)
        peer = self._transport.get_extra_info('peername') or ('-', 0)
        log_event(
            _LOGGER,
            event,
            logging.WARNING,
            peer=f'{peer[0]}:{peer[1]}',
            own=f'{own[0]}:{own[1]}',
            took_ms=round(took_s * 1000, 1),
        )


def limit_reads(transport: Any, read_bytes: int) -> None:
    """Let a transport hand over few bytes at a time.

    For parsers of libraries, which take all that they get in one step.

    Parameters
    ----------
    transport : asyncio.Transport
        A TCP connection of a selector event loop.
    read_bytes : int
        Most bytes for one step of the loop.
    """
    if hasattr(transport, 'max_size'):
        transport.max_size = read_bytes
