"""Replies to token requests, kept so that a repetition gets the same one."""

from __future__ import annotations

from collections import deque

from oleanderridge.generated.messages import TokenReply, TokenRequest

_Identity = tuple[str, int, str]


class ReplyMemory:
    """Replies by request for a fixed time."""

    def __init__(self, keep_s: float) -> None:
        """Start empty."""
        self._keep_s = keep_s
        self._by_request: dict[_Identity, TokenReply] = {}
        self._expiry: deque[tuple[float, _Identity]] = deque()

    def find(self, message: TokenRequest, now: float) -> TokenReply | None:
        """Return the reply that the same request got before.

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
        while self._expiry and self._expiry[0][0] <= now:
            self._by_request.pop(self._expiry.popleft()[1])
        return self._by_request.get(_identity(message))

    def keep(
        self,
        message: TokenRequest,
        reply: TokenReply,
        now: float,
    ) -> None:
        """Remember the reply to a new request.

        Parameters
        ----------
        message : TokenRequest
            Not known so far.
        reply : TokenReply
            What it got.
        now : float
            Monotonic seconds.
        """
        identity = _identity(message)
        self._by_request[identity] = reply
        self._expiry.append((now + self._keep_s, identity))


def _identity(message: TokenRequest) -> _Identity:
    return (message['host'], message['incarnation'], message['request_id'])
