"""Measures what the log lines of a gateway host cost.

Writes the lines of requests at several rates through the bounded log into a
pipe that is read, or that nobody reads, and prints the processor time a
request, lines a second and dropped lines. Nothing is sent.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

from oleanderridge.telemetry.bounded_log import BoundedLog
from oleanderridge.telemetry.logs import KeyValueFormatter, log_event

_LOGGER: Final = logging.getLogger('bench.log_cost')
_PIPE_READ: Final = 1 << 16
_STEP_S: Final = 0.01
# One request in so many fails, as on a calm day of the users' bench.
_FAILS_EVERY: Final = 40


class Measured(NamedTuple):
    """Figures of one run; processor time in microseconds."""

    requests: int
    lines: int
    dropped: int
    us_per_request: float
    longest_ms: float


def log_request(number: int) -> None:
    """Write the lines of one request that was sent once."""
    failed = number % _FAILS_EVERY == 0
    outcome = 'reset' if failed else 'answered'
    log_event(
        _LOGGER,
        'send-ended',
        logging.INFO,
        id=f'{number:016x}',
        permit=721_420_511_338_299_458 + number,
        target='i-7f3a91c2',
        address='10.128.0.9:8080',
        bytes=5440,
        outcome=outcome,
        ms=104,
        move_ms=191,
        bad_percent=3,
        left_ms=1650,
    )
    log_event(
        _LOGGER,
        'request-ended',
        logging.WARNING if failed else logging.INFO,
        id=f'{number:016x}',
        status=502 if failed else 200,
        reason='target-reset' if failed else 'answered',
        ms=106,
        route='r-asdqaqm',
        service='registry',
        workspace='w-goje802',
        sends=f'i-7f3a91c2:{outcome}:104',
        refused='-',
        version=3,
        leader='10.1.0.45',
    )


@contextmanager
def _pipe() -> Iterator[tuple[int, int]]:
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    try:
        yield reading, writing
    finally:
        os.close(reading)
        os.close(writing)


def _read_all(reading: int) -> int:
    lines = 0
    while True:
        try:
            lines += os.read(reading, _PIPE_READ).count(b'\n')
        except BlockingIOError:
            return lines


async def measure(
    rate: int, seconds: float, level: str, *, is_read: bool
) -> Measured:
    """Return the figures of one rate.

    Parameters
    ----------
    rate : int
        Requests a second.
    seconds : float
        How long they come.
    level : str
        Lowest level that is written; ``error`` leaves all of them out.
    is_read : bool
        Whether the pipe is read.

    Returns
    -------
    Measured
        Processor time of this process, reading included.
    """
    with _pipe() as (reading, writing):
        log = BoundedLog(writing)
        log.setFormatter(KeyValueFormatter('%(levelname)s %(message)s'))
        logging.basicConfig(handlers=[log], level=level.upper(), force=True)
        lines, sent = 0, 0
        longest_s: float = 0
        began, spent = time.monotonic(), time.process_time()
        while time.monotonic() - began < seconds:
            due = int((time.monotonic() - began) * rate)
            started = time.monotonic()
            for number in range(sent, due):
                log_request(number)
            log.flush()
            longest_s = max(longest_s, time.monotonic() - started)
            sent = max(sent, due)
            lines += _read_all(reading) if is_read else 0
            await asyncio.sleep(_STEP_S)
        spent = time.process_time() - spent
        lines += _read_all(reading)
        return Measured(
            sent, lines, log.dropped, spent / sent * 1e6, longest_s * 1000
        )


def main() -> int:
    """Print all figures.

    Returns
    -------
    int
        Exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rates', type=int, nargs='+', default=[10, 100, 500])
    parser.add_argument('--seconds', type=float, default=5)
    arguments = parser.parse_args()
    for rate in arguments.rates:
        for level, is_read in (
            ('error', True),
            ('info', True),
            ('info', False),
        ):
            found = asyncio.run(
                measure(rate, arguments.seconds, level, is_read=is_read)
            )
            print(
                f'rate={rate} level={level} read={is_read} '
                f'lines_per_s={found.lines / arguments.seconds:.0f} '
                f'dropped={found.dropped} '
                f'us_per_request={found.us_per_request:.0f} '
                f'longest_ms={found.longest_ms:.1f}'
            )
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
