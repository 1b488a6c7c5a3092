"""Sends each attempt at a target inside a span of its own."""

from __future__ import annotations

from collections.abc import Callable

from result import Result

from oleanderridge.forward.client import (
    Attempt,
    AttemptFailure,
    TargetAnswer,
    TargetClient,
)
from oleanderridge.telemetry.traces import hop_span, trace_headers

_TRACE_HEADERS = frozenset(('traceparent', 'tracestate'))


class TracedClient(TargetClient):
    """A target client whose requests carry the current trace."""

    async def send(
        self,
        attempt: Attempt,
        on_commit: Callable[[], None],
    ) -> Result[TargetAnswer, AttemptFailure]:
        """Run one attempt in a span and pass the trace on.

        Parameters
        ----------
        attempt : Attempt
            What to send and where.
        on_commit : callable
            Called before the first byte may be written.

        Returns
        -------
        Result of TargetAnswer, AttemptFailure
            As ``TargetClient.send``.
        """
        with hop_span('target', url=attempt.url):
            return await super().send(_with_trace(attempt), on_commit)


def _with_trace(attempt: Attempt) -> Attempt:
    own = trace_headers()
    if not own:
        return attempt
    kept = [
        (name, value)
        for name, value in attempt.request.headers
        if name.lower() not in _TRACE_HEADERS
    ]
    request = attempt.request._replace(headers=(*kept, *own.items()))
    return attempt._replace(request=request)
