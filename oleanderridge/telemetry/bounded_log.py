"""Writes log lines without ever holding the loop."""

from __future__ import annotations

import asyncio
import logging
import os
from collections import deque
from typing import Final

from oleanderridge.telemetry.logs import KeyValueFormatter

# Lines of each kind that wait for a slow reader; more are dropped and counted.
# Failures have room of their own, so that successes cannot crowd them out.
_LINES_MAX: Final = 2000
_WRITE_BYTES: Final = 65536
_FLUSH_S: Final = 0.05


class BoundedLog(logging.Handler):
    """Buffers lines and writes them to a non-blocking descriptor.

    Parameters
    ----------
    descriptor : int
        Usually that of standard output.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._failures: deque[tuple[int, bytes]] = deque()
        self._others: deque[tuple[int, bytes]] = deque()
        self._emitted = 0
        self._rest = b''
        self.dropped = 0
        self._reported = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one line, or count it as dropped."""
        failure = record.levelno >= logging.WARNING
        waiting = self._failures if failure else self._others
        if len(waiting) >= _LINES_MAX:
            self.dropped += 1
            return
        try:
            line = f'{self.format(record)}\n'.encode()
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._emitted += 1
        waiting.append((self._emitted, line))

    def is_empty(self) -> bool:
        """Return whether every line has been written."""
        return not (self._failures or self._others or self._rest)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while not self.is_empty():
            if not self._rest:
                self._rest = self._batch()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; keeping the lines would help nobody.
                self.dropped += len(self._failures) + len(self._others)
                self._failures.clear()
                self._others.clear()
                self._rest = b''
                return
            self._rest = self._rest[written:]
        if self.dropped > self._reported:
            self._reported = self.dropped
            logging.getLogger(__name__).warning(
                'log-lines-dropped', extra={'total': self.dropped}
            )

    def _batch(self) -> bytes:
        taken: list[bytes] = []
        size = 0
        while (self._failures or self._others) and size < _WRITE_BYTES:
            taken.append(self._next_line())
            size += len(taken[-1])
        return b''.join(taken)

    def _next_line(self) -> bytes:
        if not self._others:
            return self._failures.popleft()[1]
        if not self._failures or self._others[0] < self._failures[0]:
            return self._others.popleft()[1]
        return self._failures.popleft()[1]

    async def run(self) -> None:
        """Write at short intervals until cancelled."""
        while True:
            self.flush()
            await asyncio.sleep(_FLUSH_S)


def start_bounded_log(host: str, level: str) -> BoundedLog:
    """Send all log lines to standard output through a bounded buffer.

    Parameters
    ----------
    host : str
        Named in each line.
    level : str
        Name of the lowest level that is written.

    Returns
    -------
    BoundedLog
        Its ``run`` writes the lines.
    """
    handler = BoundedLog(1)
    handler.setFormatter(
        KeyValueFormatter(
            '%(asctime)s %(levelname)s %(message)s',
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'message': 'event',
            },
            static_fields={'host': host},
        ),
    )
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
    logging.getLogger('asyncio').setLevel(logging.WARNING)
    return handler
