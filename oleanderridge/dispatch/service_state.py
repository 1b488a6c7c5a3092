"""What a placement knows of one service."""

from __future__ import annotations

from typing import Final

from oleanderridge.dispatch.retry_budget import RetryBudget
from oleanderridge.dispatch.target_state import DOUBTFUL, TargetState
from oleanderridge.dispatch.waiting_line import WaitingLine
from oleanderridge.health.belief import LatencyRecord

# Answers of unknown size are assumed this large, in kilobytes.
_ANSWER_KB: Final = 4.0
_NEWEST_WEIGHT: Final = 0.1
# The count of sound slots is kept for so long, in seconds.
_SOUND_KEPT_S: Final = 0.05
# What a request and the headers of both ways add, in kilobytes.
_EXCHANGE_KB: Final = 1.2


class ServiceState:
    """Latencies, answer sizes, budget, queue and targets of one service.

    Parameters
    ----------
    aim_s : float
        Time within which answers are wanted, in seconds.
    budget : RetryBudget
        Bounds the repeats.
    """

    def __init__(self, aim_s: float, budget: RetryBudget) -> None:
        self.latencies = LatencyRecord(aim_s)
        self.budget = budget
        self.waiting = WaitingLine()
        self.targets: list[TargetState] = []
        self._kb_by_route: dict[str, float] = {}
        self._sound_slots = 0
        self._sound_until: float = 0

    def exchange_kb(self, route: str) -> float:
        """Return the usual size of a request and its answer on a route."""
        return self._kb_by_route.get(route, _ANSWER_KB)

    def note_answer(self, route: str, answer_bytes: int) -> None:
        """Take in the size of an answer."""
        known_kb = self.exchange_kb(route)
        size_kb = answer_bytes / 1000 + _EXCHANGE_KB
        self._kb_by_route[route] = known_kb + _NEWEST_WEIGHT * (
            size_kb - known_kb
        )

    def sound_slots(self, now: float) -> int:
        """Return the slots of the targets that are not doubtful."""
        if now >= self._sound_until:
            self._sound_until = now + _SOUND_KEPT_S
            self._sound_slots = sum(
                state.record.slots
                for state in self.targets
                if state.probability_bad(now, self.latencies) < DOUBTFUL
            )
        return self._sound_slots

    def has_free_slot(self) -> bool:
        """Return whether any target has a free slot."""
        return any(state.free_slots() > 0 for state in self.targets)
