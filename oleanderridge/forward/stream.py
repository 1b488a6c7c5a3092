"""An answer that is passed on while it arrives."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Final

from aiohttp import ClientError, ClientResponse

OK: Final = 'ok'
SHORT: Final = 'short'
TIMEOUT: Final = 'timeout'
UNUSED: Final = 'unused'


class BrokenAnswerError(Exception):
    """The rest of the answer will not come; break the caller's transfer."""


class TargetStream(AsyncIterator[bytes]):
    """The body of one answer, chunk by chunk.

    Iteration ends only after the whole body; anything else raises
    ``BrokenAnswerError``. Whoever stops reading early calls ``aclose``. At
    the deadline the stream breaks, whether it is read or not.

    Parameters
    ----------
    response : ClientResponse
        The answer whose head has been read.
    prefix : list of bytes
        Chunks already read.
    expected : int or None
        Length of the whole body; None when the final chunk ends it.
    deadline : float
        Event loop time in seconds.

    Attributes
    ----------
    on_end : callable
        Called once with the outcome of the attempt, as in ``PermitReturn``.
    run_to_end : bool
        Whether the rest of the body is read after the reader has gone, so
        that the target is not interrupted.
    """

    def __init__(
        self,
        response: ClientResponse,
        prefix: list[bytes],
        expected: int | None,
        deadline: float,
    ) -> None:
        self._response = response
        self._prefix = prefix
        self._expected = expected
        self._received = 0
        self._outcome = ''
        self._broken = ''
        self._reading = False
        self._drain: asyncio.Task[None] | None = None
        self._timer = asyncio.get_running_loop().call_at(
            deadline, self._end, TIMEOUT, 'the deadline has passed'
        )
        self.on_end: Callable[[str], None] = _ignore
        self.run_to_end = False

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        Returns
        -------
        bytes
            Never empty.

        Raises
        ------
        StopAsyncIteration
            The body is complete.
        BrokenAnswerError
            The body is short, late or was cut.
        """
        chunk = b''
        if not self._outcome and not self._broken:
            try:
                chunk = await self._next_chunk()
            except asyncio.CancelledError:
                self.abandon('the caller has gone')
                raise
        if self._broken:
            self._start_drain()
            raise BrokenAnswerError(self._broken)
        if not chunk:
            raise StopAsyncIteration
        return chunk

    async def aclose(self) -> None:
        """Stop reading."""
        self.abandon('the caller has gone')

    def abandon(self, detail: str) -> None:
        """Break the stream for its reader.

        Parameters
        ----------
        detail : str
            What the reader's ``BrokenAnswerError`` says.
        """
        if self._outcome:
            return
        if not self.run_to_end:
            self._end(UNUSED, detail)
            return
        self._broken = self._broken or detail
        self._start_drain()

    def _start_drain(self) -> None:
        if self._outcome or self._reading or self._drain is not None:
            return
        self._drain = asyncio.ensure_future(self._read_rest())

    async def _read_rest(self) -> None:
        while not self._outcome:
            await self._next_chunk()

    async def _next_chunk(self) -> bytes:
        self._reading = True
        try:
            chunk = await self._read()
        except (ClientError, OSError) as error:
            self._end(SHORT, str(error) or repr(error))
            return b''
        finally:
            self._reading = False
        self._received += len(chunk)
        if self._received == self._expected:
            # The slot is free even if the reader takes its time.
            self._end(OK, '')
        elif not chunk and self._expected is not None:
            self._end(SHORT, f'{self._received} of {self._expected} bytes')
        elif not chunk:
            self._end(OK, '')
        return chunk

    async def _read(self) -> bytes:
        if self._prefix:
            return self._prefix.pop(0)
        return await self._response.content.readany()

    def _end(self, outcome: str, detail: str) -> None:
        if self._outcome:
            return
        self._outcome = outcome
        self._broken = self._broken or detail
        self._timer.cancel()
        if outcome != OK:
            self._response.close()
        self.on_end(outcome)


def _ignore(_outcome: str) -> None:
    """Stand in until the reader of the outcome is known."""
