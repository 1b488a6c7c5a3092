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

# Assumed size of a request and its answer on a route without measurements.
_DEFAULT_EXCHANGE_KB: Final = 4.0
_SIZE_SMOOTHING: Final = 0.1
# How long the count of healthy slots is cached.
_HEALTHY_SLOTS_TTL_S: Final = 0.05
# Assumed size of a request and of the headers in both directions.
_REQUEST_AND_HEADERS_KB: Final = 1.2


class ServiceState:
    """Latencies, answer sizes, budget, queue and targets of one service.

    Parameters
    ----------
    aim_s : float
        Latency target in seconds.
    budget : RetryBudget
        Limits the retries.
    """

    def __init__(self, aim_s: float, budget: RetryBudget) -> None:
        self.latencies = LatencyHistogram(aim_s)
        self.budget = budget
        self.queue = RequestQueue()
        self.targets: list[TargetState] = []
        self._exchange_kb_by_route: dict[str, float] = {}
        self._healthy_slots = 0
        self._healthy_slots_until: float = 0

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

    def healthy_slots(self, now: float) -> int:
        """Return the number of slots of targets that are not doubtful."""
        if now >= self._healthy_slots_until:
            self._healthy_slots_until = now + _HEALTHY_SLOTS_TTL_S
            self._healthy_slots = sum(
                state.record.slots
                for state in self.targets
                if state.probability_bad(now, self.latencies)
                < DOUBTFUL_PROBABILITY
            )
        return self._healthy_slots

    def has_free_slot(self) -> bool:
        """Return whether any target has a free slot."""
        return any(state.free_slots() > 0 for state in self.targets)
