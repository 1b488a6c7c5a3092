"""Cache of replies to token requests, for idempotent repetitions."""

from __future__ import annotations

from collections import deque

from oleanderridge.generated.messages import TokenReply, TokenRequest

_RequestKey = tuple[str, int, str]


class ReplyCache:
    """Replies by request, cached for a fixed time."""

    def __init__(self, ttl_s: float) -> None:
        """Create an empty cache."""
        self._ttl_s = ttl_s
        self._by_request: dict[_RequestKey, TokenReply] = {}
        self._expirations: deque[tuple[float, _RequestKey]] = deque()

    def find(self, message: TokenRequest, now: float) -> TokenReply | None:
        """Return the reply that was sent for the same request.

        Parameters
        ----------
        message : TokenRequest
            Possibly a repetition.
        now : float
            Monotonic seconds.

        Returns
        -------
        TokenReply or None
            None when the request is new.
        """
        while self._expirations and self._expirations[0][0] <= now:
            self._by_request.pop(self._expirations.popleft()[1])
        return self._by_request.get(_request_key(message))

    def store(
        self,
        message: TokenRequest,
        reply: TokenReply,
        now: float,
    ) -> None:
        """Cache the reply to a new request.

        Parameters
        ----------
        message : TokenRequest
            A request without a cached reply.
        reply : TokenReply
            The reply to it.
        now : float
            Monotonic seconds.
        """
        request_key = _request_key(message)
        self._by_request[request_key] = reply
        self._expirations.append((now + self._ttl_s, request_key))


def _request_key(message: TokenRequest) -> _RequestKey:
    return (message['host'], message['incarnation'], message['request_id'])
