"""State of one service in a placement."""

from __future__ import annotations

from typing import Final

from oleanderridge.dispatch.retry_budget import RetryBudget
from oleanderridge.dispatch.target_state import (
    DOUBTFUL_PROBABILITY,
    TargetState,
)
from oleanderridge.dispatch.waiting_line import RequestQueue
from oleanderridge.health.belief import LatencyHistogram

# Routes of one service whose latencies are kept; the longest unused go first.
_MAX_ROUTES: Final = 256
# Assumed mean latency before the first answer, relative to the latency target.
_INITIAL_MEAN_AIM_FRACTION: Final = 0.3
_MEAN_SMOOTHING: Final = 0.03
_UNSAFE_SHARE_SMOOTHING: Final = 0.02
# Assumed size of a request and its answer on a route without measurements.
_DEFAULT_EXCHANGE_KB: Final = 4.0
_SIZE_SMOOTHING: Final = 0.1
# How long the throughput is cached.
_THROUGHPUT_TTL_S: Final = 0.05
# Assumed size of a request and of the headers in both directions.
_REQUEST_AND_HEADERS_KB: Final = 1.2


class ServiceState:
    """Latencies, answer sizes, budget, queue and targets of one service.

    Parameters
    ----------
    aim_s : float
        Latency target in seconds, the first estimate for each route.
    budget : RetryBudget
        Limits the retries.
    """

    def __init__(self, aim_s: float, budget: RetryBudget) -> None:
        self.mean_latency_s = _INITIAL_MEAN_AIM_FRACTION * aim_s
        # Share of the requests that are not idempotent, assumed high at first.
        self.unsafe_share: float = 1
        self.budget = budget
        self.queue = RequestQueue()
        self.targets: list[TargetState] = []
        # Fraction of the targets' rate limits that this placement may use.
        self.limit_share: float = 1
        self._aim_s = aim_s
        self._latencies_by_route: dict[str, LatencyHistogram] = {}
        self._exchange_kb_by_route: dict[str, float] = {}
        self._throughput: float = 0
        self._throughput_until: float = 0

    def latencies_of(self, route: str) -> LatencyHistogram:
        """Return the latencies of a route.

        The routes of one service may differ by orders of magnitude, so a
        request is judged by those of its own route.
        """
        # Moves the route to the end of the order of use.
        latencies = self._latencies_by_route.pop(route, None)
        if latencies is None:
            latencies = LatencyHistogram(self._aim_s)
            while len(self._latencies_by_route) >= _MAX_ROUTES:
                longest_unused = next(iter(self._latencies_by_route))
                del self._latencies_by_route[longest_unused]
        self._latencies_by_route[route] = latencies
        return latencies

    def count_request(self, now: float, *, unsafe: bool) -> None:
        """Count a first attempt."""
        self.budget.count_request(now)
        self.unsafe_share += _UNSAFE_SHARE_SMOOTHING * (
            unsafe - self.unsafe_share
        )

    def record_latency(self, latency_s: float) -> None:
        """Update the mean time for which an answered request holds a slot."""
        self.mean_latency_s += _MEAN_SMOOTHING * (
            latency_s - self.mean_latency_s
        )

    def exchange_kb(self, route: str) -> float:
        """Return the average size of a request and its answer on a route."""
        return self._exchange_kb_by_route.get(route, _DEFAULT_EXCHANGE_KB)

    def record_answer_size(self, route: str, answer_bytes: int) -> None:
        """Update the average exchange size of a route."""
        known_kb = self.exchange_kb(route)
        size_kb = answer_bytes / 1000 + _REQUEST_AND_HEADERS_KB
        self._exchange_kb_by_route[route] = known_kb + _SIZE_SMOOTHING * (
            size_kb - known_kb
        )

    def throughput(self, now: float) -> float:
        """Return how many requests per second the service can answer.

        Doubtful targets don't count. If there are no others, it is that of
        one slot.
        """
        if now >= self._throughput_until:
            self._throughput_until = now + _THROUGHPUT_TTL_S
            self._throughput = sum(
                min(
                    state.record.slots / self.mean_latency_s,
                    state.limit_per_s() * self.limit_share,
                )
                for state in self.targets
                if state.probability_bad(now, self.latencies_of)
                < DOUBTFUL_PROBABILITY
            )
        return self._throughput or 1 / self.mean_latency_s

    def free_targets(self, now: float) -> list[TargetState]:
        """Return the targets that can be sent a request now."""
        # Inlined TargetState.has_room: this runs for each request.
        share = self.limit_share
        return [
            state
            for state in self.targets
            if len(state.attempts) < state.record.slots
            and (
                state.rate_limit is None
                or state.rate_limit.has_token(now, share)
            )
        ]

    def has_room(self, now: float) -> bool:
        """Return whether any target can be sent a request now."""
        return any(
            state.has_room(now, self.limit_share)
            for state in self.targets
            if len(state.attempts) < state.record.slots
        )
