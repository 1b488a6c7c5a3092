"""Replies that a host is waiting for, by request id."""

from __future__ import annotations

import asyncio

from oleanderridge.wire import Message


class PendingReplies:
    """Queues of replies by request id.

    A reply that nobody waits for is left to the caller of ``deliver``, so
    that it can give back what the reply granted.
    """

    def __init__(self) -> None:
        self._queue_by_id: dict[str, asyncio.Queue[Message]] = {}

    def open(self, request_id: str) -> None:
        """Start to accept replies for a request.

        Parameters
        ----------
        request_id : str
            Id that the replies carry.
        """
        self._queue_by_id[request_id] = asyncio.Queue()

    def close(self, request_id: str) -> list[Message]:
        """Stop accepting replies for a request.

        Parameters
        ----------
        request_id : str
            Id that the replies carry.

        Returns
        -------
        list of Message
            Replies that arrived and were not read.
        """
        queue = self._queue_by_id.pop(request_id, None)
        unread = []
        while queue is not None and not queue.empty():
            unread.append(queue.get_nowait())
        return unread

    def deliver(self, request_id: str, message: Message) -> bool:
        """Queue a reply for its request.

        Parameters
        ----------
        request_id : str
            Id that the reply carries.
        message : Message
            The reply.

        Returns
        -------
        bool
            False when no request waits for it.
        """
        queue = self._queue_by_id.get(request_id)
        if queue is None:
            return False
        queue.put_nowait(message)
        return True

    async def receive(
        self,
        request_id: str,
        timeout_s: float,
    ) -> Message | None:
        """Return the next reply, or None when none came in time.

        Parameters
        ----------
        request_id : str
            Id of an open request.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        Message or None
            The reply.
        """
        queue = self._queue_by_id[request_id]
        if not queue.empty():
            return queue.get_nowait()
        try:
            async with asyncio.timeout(timeout_s):
                return await queue.get()
        except TimeoutError:
            return None
