"""Streaming of a response body while it arrives from the target."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Final

from aiohttp import ClientError, ClientResponse

OK: Final = 'ok'
SHORT: Final = 'short'
TIMEOUT: Final = 'timeout'
UNUSED: Final = 'unused'


class IncompleteBodyError(Exception):
    """The body cannot be completed; the transfer to the caller must fail."""


class TargetStream(AsyncIterator[bytes]):
    """The body of one response as an iterator of chunks.

    Iteration ends only after the complete body and otherwise raises
    ``IncompleteBodyError``. A consumer that stops early must call
    ``aclose``. At the deadline the stream fails, whether it is read or not.

    Parameters
    ----------
    response : ClientResponse
        A response whose head has been read.
    prefix : list of bytes
        Chunks already read.
    expected_length : int or None
        Length of the complete body; None with chunked encoding.
    deadline : float
        Event loop time in seconds.

    Attributes
    ----------
    on_end : callable
        Called once with the outcome of the attempt, as in ``PermitReturn``.
    run_to_end : bool
        Whether the rest of the body is read and discarded if the consumer
        stops early, so that the target is not interrupted.
    """

    def __init__(
        self,
        response: ClientResponse,
        prefix: list[bytes],
        expected_length: int | None,
        deadline: float,
    ) -> None:
        self._response = response
        self._prefix = prefix
        self._expected_length = expected_length
        self._received = 0
        self._outcome = ''
        self._error_detail = ''
        self._reading = False
        self._drain_task: asyncio.Task[None] | None = None
        self._deadline_timer = asyncio.get_running_loop().call_at(
            deadline, self._finish, TIMEOUT, 'the deadline has passed'
        )
        self.on_end: Callable[[str], None] = _ignore_outcome
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
        IncompleteBodyError
            The body is truncated, late or was abandoned.
        """
        chunk = b''
        if not self._outcome and not self._error_detail:
            try:
                chunk = await self._next_chunk()
            except asyncio.CancelledError:
                self.abandon('the caller disconnected')
                raise
        if self._error_detail:
            self._start_drain()
            raise IncompleteBodyError(self._error_detail)
        if not chunk:
            raise StopAsyncIteration
        return chunk

    async def aclose(self) -> None:
        """Abandon the stream."""
        self.abandon('the caller disconnected')

    def abandon(self, detail: str) -> None:
        """Fail the stream for its consumer.

        Parameters
        ----------
        detail : str
            Message of the consumer's ``IncompleteBodyError``.
        """
        if self._outcome:
            return
        if not self.run_to_end:
            self._finish(UNUSED, detail)
            return
        self._error_detail = self._error_detail or detail
        self._start_drain()

    def _start_drain(self) -> None:
        if self._outcome or self._reading or self._drain_task is not None:
            return
        self._drain_task = asyncio.ensure_future(self._read_rest())

    async def _read_rest(self) -> None:
        while not self._outcome:
            await self._next_chunk()

    async def _next_chunk(self) -> bytes:
        self._reading = True
        try:
            chunk = await self._read_chunk()
        except (ClientError, OSError) as error:
            self._finish(SHORT, str(error) or repr(error))
            return b''
        finally:
            self._reading = False
        self._received += len(chunk)
        if self._received == self._expected_length:
            # The slot is released even if the consumer reads slowly.
            self._finish(OK, '')
        elif not chunk and self._expected_length is not None:
            self._finish(
                SHORT, f'{self._received} of {self._expected_length} bytes'
            )
        elif not chunk:
            self._finish(OK, '')
        return chunk

    async def _read_chunk(self) -> bytes:
        if self._prefix:
            return self._prefix.pop(0)
        return await self._response.content.readany()

    def _finish(self, outcome: str, detail: str) -> None:
        if self._outcome:
            return
        self._outcome = outcome
        self._error_detail = self._error_detail or detail
        self._deadline_timer.cancel()
        if outcome != OK:
            self._response.close()
        self.on_end(outcome)


def _ignore_outcome(_outcome: str) -> None:
    """Default ``on_end`` callback."""
