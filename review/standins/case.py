"""Runs a case and turns its verdict into an exit status."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
_LIMIT_S = 110


class Record:
    """What was sent, answered and run, as lines in a file."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open('w', encoding='utf-8')

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line with the seconds since the start of the case."""
        at = time.monotonic() if at is None else at
        self._file.write(f'{at - self._began:8.3f} {text}\n')
        self._file.flush()


# Gets a record, a temporary folder, and whether there is trouble; returns
# whether the rule was broken.
Play = Callable[[Record, Path, bool], Awaitable[bool]]


def run_case(file: str, play: Play) -> None:
    """Play a case and exit with its status.

    Parameters
    ----------
    file : str
        The script of the case; ``record.txt`` is written beside it.
    play : callable
        The case.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(file).resolve().parent / 'record.txt')
    record.note(f'trouble: {"yes" if trouble else "no"}')
    status = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix='review-') as folder:
            broken = asyncio.run(_limited(play, record, Path(folder), trouble))
        status = BROKEN if broken else HELD
    except Exception:
        record.note('could not run: ' + traceback.format_exc())
    verdict = {HELD: 'held', BROKEN: 'broken'}.get(status, 'could not run')
    record.note(f'rule: {verdict}')
    print(verdict)
    sys.exit(status)


async def _limited(
    play: Play, record: Record, folder: Path, trouble: bool
) -> bool:
    try:
        async with asyncio.timeout(_LIMIT_S):
            return await play(record, folder, trouble)
    finally:
        # The stand-ins end before their event loop does.
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await asyncio.sleep(0.05)
