"""State of one target in a placement."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from oleanderridge.dispatch.rate_limit import TargetRateLimit
from oleanderridge.gateway.model import TargetRecord
from oleanderridge.gateway.outcomes import Ground, Outcome
from oleanderridge.gateway.store_position import Statement, is_later
from oleanderridge.generated.fleet import Acquire
from oleanderridge.health.belief import FailureEstimate, LatencyHistogram

# A target is doubtful above this probability of being bad.
DOUBTFUL_PROBABILITY: Final = 0.6
# How long a host avoids a target that only it cannot reach. The time doubles
# up to the maximum while the path keeps failing.
_PATH_BACKOFF_S: Final = 3.0
_MAX_PATH_BACKOFF_S: Final = 12.0
# A path failure within this time after a backoff counts as the same fault and
# doubles the backoff.
_PATH_BACKOFF_RESET_S: Final = 4.0
# If another host got an answer this recently, a failure is attributed to the
# path and not to the target.
_RECENT_ANSWER_S: Final = 0.6
# Connections are assumed to stay open for this long after their last use.
_KEEP_ALIVE_S: Final = 7.0
# Weight of the newest answer in the moving average of the slowness.
_SLOWNESS_SMOOTHING: Final = 0.3
# Slowness decays with this half-life, so that slow targets are tried again.
_SLOWNESS_HALF_LIFE_S: Final = 4.0
_MAX_SLOWNESS: Final = 20.0
_COLD_SLOWNESS_FACTOR: Final = 2.0


# Returns the latencies of a route.
LatencyLookup = Callable[[str], LatencyHistogram]


class Attempt(NamedTuple):
    """One request that holds a slot of the target."""

    host: str
    unsafe: bool
    started: float
    expires_at: float
    route: str
    service: str
    is_retry: bool
    ground: Ground = Ground.UNLIMITED

    def is_for(self, request: Acquire) -> bool:
        """Return whether a permit request is a duplicate of this one's."""
        return (self.host, self.service, self.route, self.unsafe) == (
            request.host,
            request.service,
            request.route,
            request.unsafe,
        )


class _Answer(NamedTuple):
    """An answer of the target: the receiving host and the time."""

    host: str
    at: float


class _PathBackoff(NamedTuple):
    """End and duration of the backoff of a path."""

    until: float
    duration_s: float


class TargetState:
    """Attempts, health belief, slowness and paths of one target.

    Parameters
    ----------
    record : TargetRecord
        The target as registered in the store.
    now : float
        Monotonic seconds.
    """

    def __init__(self, record: TargetRecord, now: float) -> None:
        self.record = record
        self.failure_estimate = FailureEstimate(now)
        self.attempts: dict[int, Attempt] = {}
        self.last_sent: float = 0
        self.last_answer: float = 0
        self.answered_last = False
        self.rate_limit: TargetRateLimit | None = None
        self._misdirected_as: Statement | None = None
        # The newest answer, and the newest answer to a different host.
        self._last_answer_from = _Answer('', 0)
        self._last_answer_to_other = _Answer('', 0)
        self._slowness = 1.0
        self._slowness_at = now
        self._cold_until = now + record.cold_s
        self._backoff_by_host: dict[str, _PathBackoff] = {}
        self._paused_until_by_host: dict[str, float] = {}
        self._last_used_by_host: dict[str, float] = {}
        self._probability_at: float = -1
        self._cached_probability: float = 0

    def has_room(self, now: float, limit_share: float) -> bool:
        """Return whether the target can be sent a request now.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        limit_share : float
            Fraction of the target's rate limit that this placement may use.

        Returns
        -------
        bool
            Whether a slot is free and the rate limit, if any, allows it.
        """
        if len(self.attempts) >= self.record.slots:
            return False
        limit = self.rate_limit
        return limit is None or limit.has_token(now, limit_share)

    def set_rate_limit(
        self, per_s: float | None, now: float, level: float
    ) -> None:
        """Apply what the target said of its rate limit.

        Parameters
        ----------
        per_s : float or None
            Requests per second from all hosts together; infinite without a
            limit, None if nothing was said.
        now : float
            Monotonic seconds.
        level : float
            First level of a new limit, 0 to 1.
        """
        if per_s == math.inf:
            self.rate_limit = None
        elif per_s is not None:
            if self.rate_limit is None:
                self.rate_limit = TargetRateLimit(now, level)
            self.rate_limit.set_rate(per_s)

    def limit_per_s(self) -> float:
        """Return the requests per second that the target takes."""
        return math.inf if self.rate_limit is None else self.rate_limit.per_s

    def is_misdirected(self) -> bool:
        """Return whether another target answers at this target's address.

        The state lasts until the target registers again.
        """
        known = self._misdirected_as
        return known is not None and not is_later(
            self.record.statement(), known
        )

    def is_avoided_by(self, host: str, now: float) -> bool:
        """Return whether the path from a host is in backoff."""
        backoff = self._backoff_by_host.get(host)
        return backoff is not None and backoff.until > now

    def pause_for(self, host: str, until: float) -> None:
        """Send nothing from a host for a while, as the target asked it.

        Parameters
        ----------
        host : str
            The host that the target turned away.
        until : float
            Monotonic seconds.
        """
        known_until = self._paused_until_by_host.get(host, until)
        self._paused_until_by_host[host] = max(known_until, until)

    def is_paused_for(self, host: str, now: float) -> bool:
        """Return whether the target wants nothing from a host now."""
        return self._paused_until_by_host.get(host, now) > now

    def has_connection(self, host: str, now: float) -> bool:
        """Return whether a host probably has an open connection."""
        return (
            now - self._last_used_by_host.get(host, -_KEEP_ALIVE_S)
            < _KEEP_ALIVE_S
        )

    def probability_bad(self, now: float, latencies_of: LatencyLookup) -> float:
        """Return the probability that the next request fails."""
        if now != self._probability_at:
            unanswered = [
                (
                    latencies_of(attempt.route).survival(now - attempt.started),
                    self._is_overtaken(attempt),
                )
                for attempt in self.attempts.values()
            ]
            self._probability_at = now
            self._cached_probability = self.failure_estimate.probability(
                now, unanswered
            )
        return self._cached_probability

    def slowness(self, now: float) -> float:
        """Return the ratio of expected latency to the route's median."""
        half_lives = max(0, now - self._slowness_at) / _SLOWNESS_HALF_LIFE_S
        decayed = 1 + (self._slowness - 1) * 0.5**half_lives
        return (
            decayed * _COLD_SLOWNESS_FACTOR
            if now < self._cold_until
            else decayed
        )

    def summary(
        self, now: float, latencies_of: LatencyLookup
    ) -> dict[str, Any]:
        """Return the state for the status page."""
        return {
            'service': self.record.service,
            'state': self.record.state,
            'flights': len(self.attempts),
            'probability_bad': round(
                self.probability_bad(now, latencies_of), 3
            ),
            'slowness': round(self.slowness(now), 2),
            'limit_per_s': self.rate_limit and self.rate_limit.per_s,
            'hosts_paused': sum(
                until > now for until in self._paused_until_by_host.values()
            ),
        }

    def start(self, permit: int, attempt: Attempt) -> None:
        """Record that a request was granted a slot."""
        self.attempts[permit] = attempt
        if self.rate_limit is not None:
            self.rate_limit.take()
        self._probability_at = -1
        self.last_sent = attempt.started
        self._last_used_by_host[attempt.host] = attempt.started

    def expire(self, now: float) -> list[int]:
        """Remove and return the attempts whose time is over.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of int
            Their permits.
        """
        expired = [
            permit
            for permit, attempt in self.attempts.items()
            if attempt.expires_at < now
        ]
        for permit in expired:
            del self.attempts[permit]
            self.failure_estimate.record_timeout(now)
        return expired

    def forget(self, permit: int) -> bool:
        """Remove an attempt whose outcome is not known.

        Parameters
        ----------
        permit : int
            Its permit.

        Returns
        -------
        bool
            Whether there was one.
        """
        self._probability_at = -1
        return self.attempts.pop(permit, None) is not None

    def refund(self) -> None:
        """Return what a granted request has used that was not sent."""
        if self.rate_limit is not None:
            self.rate_limit.give_back()

    def end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        latency_s: float,
        latencies_of: LatencyLookup,
        now: float,
    ) -> None:
        """Record the outcome of an attempt.

        Parameters
        ----------
        attempt : Attempt
            The attempt, already removed from ``attempts``.
        outcome : Outcome
            Outcome that the host observed.
        latency_s : float
            Duration of the attempt in seconds.
        latencies_of : callable
            Latencies by route; the latency of an answer is added.
        now : float
            Monotonic seconds.
        """
        self._probability_at = -1
        self.answered_last = outcome is Outcome.ANSWERED
        if outcome is Outcome.ANSWERED:
            self._on_answer(
                attempt, latency_s, latencies_of(attempt.route), now
            )
        elif outcome in (Outcome.FAILED, Outcome.GARBLED):
            self.failure_estimate.record_failure(now)
        elif outcome in (Outcome.HUNG, Outcome.RESET):
            self._on_unanswered(attempt, outcome, now)
        else:
            self._on_not_executed(attempt, outcome, now)

    def _on_answer(
        self,
        attempt: Attempt,
        latency_s: float,
        latencies: LatencyHistogram,
        now: float,
    ) -> None:
        latencies.add(latency_s)
        self.failure_estimate.record_answer(now)
        self.last_answer = now
        if attempt.host != self._last_answer_from.host:
            self._last_answer_to_other = self._last_answer_from
        self._last_answer_from = _Answer(attempt.host, now)
        self._backoff_by_host.pop(attempt.host, None)
        relative = min(_MAX_SLOWNESS, latency_s / latencies.quantile(0.5))
        known = self.slowness(now)
        self._slowness = known + _SLOWNESS_SMOOTHING * (relative - known)
        self._slowness_at = now

    def _on_not_executed(
        self, attempt: Attempt, outcome: Outcome, now: float
    ) -> None:
        if outcome is Outcome.OTHER_TARGET:
            self._misdirected_as = self.record.statement()
        elif outcome is Outcome.NOT_SENT:
            self._back_off(attempt.host, now)
            if not self._answered_others_recently(attempt.host, now):
                self.failure_estimate.record_connect_failure(now)

    def _on_unanswered(
        self, attempt: Attempt, outcome: Outcome, now: float
    ) -> None:
        overtaken = self._is_overtaken(attempt)
        if overtaken or self._answered_others_recently(attempt.host, now):
            self._back_off(attempt.host, now)
        if outcome is Outcome.HUNG:
            self.failure_estimate.record_timeout(now, overtaken=overtaken)
        else:
            self.failure_estimate.record_failure(now)

    def _back_off(self, host: str, now: float) -> None:
        previous = self._backoff_by_host.get(host)
        duration_s = _PATH_BACKOFF_S
        if (
            previous is not None
            and now - previous.until < _PATH_BACKOFF_RESET_S
        ):
            duration_s = min(_MAX_PATH_BACKOFF_S, 2 * previous.duration_s)
        self._backoff_by_host[host] = _PathBackoff(now + duration_s, duration_s)

    def _is_overtaken(self, attempt: Attempt) -> bool:
        """Return whether another host got an answer during an attempt."""
        return self._last_answer_besides(attempt.host).at > attempt.started

    def _answered_others_recently(self, host: str, now: float) -> bool:
        return now - self._last_answer_besides(host).at < _RECENT_ANSWER_S

    def _last_answer_besides(self, host: str) -> _Answer:
        newest = self._last_answer_from
        return self._last_answer_to_other if newest.host == host else newest
