"""Writes log lines without ever holding the loop."""

from __future__ import annotations

import asyncio
import logging
import os
from collections import deque
from typing import Final

from oleanderridge.telemetry.logs import KeyValueFormatter

# Lines that wait for a slow reader; more are dropped and counted.
_LINES_MAX: Final = 4000
# Room that failures keep when successes alone would fill the buffer.
_FAILURE_ROOM: Final = 1000
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
        self._lines: deque[bytes] = deque()
        self._rest = b''
        self.dropped = 0
        self._reported = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one line, or count it as dropped."""
        bound = _LINES_MAX
        if record.levelno < logging.WARNING:
            bound -= _FAILURE_ROOM
        if len(self._lines) >= bound:
            self.dropped += 1
            return
        try:
            self._lines.append(f'{self.format(record)}\n'.encode())
        except (TypeError, ValueError):
            self.handleError(record)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._lines or self._rest:
            if not self._rest:
                self._rest = self._batch()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; keeping the lines would help nobody.
                self.dropped += len(self._lines)
                self._lines.clear()
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
        while self._lines and size < _WRITE_BYTES:
            taken.append(self._lines.popleft())
            size += len(taken[-1])
        return b''.join(taken)

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
