"""What a placement knows of one target."""

from __future__ import annotations

from typing import Final, NamedTuple

from oleanderridge.gateway.model import TargetRecord
from oleanderridge.gateway.outcomes import Outcome
from oleanderridge.health.belief import Belief, LatencyRecord

# From this probability of being bad a target is doubtful.
DOUBTFUL: Final = 0.6
# How long a host avoids a target that only it cannot reach: at first, and at
# the most when the path fails again and again.
_PATH_AVOIDED_S: Final = 3.0
_PATH_AVOIDED_MOST_S: Final = 12.0
# A path that failed again within this time after it was avoided is the same
# trouble.
_PATH_AGAIN_S: Final = 4.0
# Another host's answer this recent clears the target and blames the path.
_RECENT_ANSWER_S: Final = 0.6
# Connections are assumed kept for so long after their last use.
_KEPT_S: Final = 7.0
# Weight of the newest answer in the slowness of a target.
_NEWEST_WEIGHT: Final = 0.3
# Slowness is forgotten at this rate, so that slow targets are tried again.
_SLOWNESS_HALF_S: Final = 4.0
_SLOWNESS_MOST: Final = 20.0
_COLD_SLOWNESS: Final = 2.0


class Flight(NamedTuple):
    """One request that was granted a slot and has not been released."""

    host: str
    unsafe: bool
    started: float
    expires: float
    route: str
    service: str
    repeat: bool


class _Heard(NamedTuple):
    """The host that got an answer, and when."""

    host: str
    at: float


class _Avoided(NamedTuple):
    """Until when a path is avoided, and for how long it was."""

    until: float
    length_s: float


class TargetState:
    """Flights, belief, slowness and paths of one target.

    Parameters
    ----------
    record : TargetRecord
        What the target says of itself.
    now : float
        Monotonic seconds.
    """

    def __init__(self, record: TargetRecord, now: float) -> None:
        self.record = record
        self.belief = Belief(now)
        self.flights: dict[int, Flight] = {}
        self.last_sent: float = 0
        self.last_answer: float = 0
        self.answered_last = False
        self._misdirected_at = -1
        # The newest answer, and the newest that another host got.
        self._heard = _Heard('', 0)
        self._heard_before = _Heard('', 0)
        self._slowness = 1.0
        self._slowness_at = now
        self._cold_until = now + record.cold_s
        self._avoided_by_host: dict[str, _Avoided] = {}
        self._used_by: dict[str, float] = {}
        self._judged_at: float = -1
        self._judged: float = 0

    def free_slots(self) -> int:
        """Return the slots that no flight holds."""
        return self.record.slots - len(self.flights)

    def is_misdirected(self) -> bool:
        """Return whether another target answers at the address.

        Only a newer statement of this one can give it back.
        """
        return self._misdirected_at >= self.record.revision

    def is_avoided_by(self, host: str, now: float) -> bool:
        """Return whether the path from a host has failed lately."""
        avoided = self._avoided_by_host.get(host)
        return avoided is not None and avoided.until > now

    def has_connection(self, host: str, now: float) -> bool:
        """Return whether a host probably keeps a connection here."""
        return now - self._used_by.get(host, -_KEPT_S) < _KEPT_S

    def probability_bad(self, now: float, latencies: LatencyRecord) -> float:
        """Return the probability that the next request fails."""
        if now != self._judged_at:
            unanswered = [
                (now - flight.started, self._outrun(flight))
                for flight in self.flights.values()
            ]
            self._judged_at = now
            self._judged = self.belief.probability(now, unanswered, latencies)
        return self._judged

    def slowness(self, now: float) -> float:
        """Return the expected latency over the service's usual one."""
        half_lives = max(0, now - self._slowness_at) / _SLOWNESS_HALF_S
        settled = 1 + (self._slowness - 1) * 0.5**half_lives
        return settled * _COLD_SLOWNESS if now < self._cold_until else settled

    def start(self, permit: int, flight: Flight) -> None:
        """Give a slot to a request."""
        self.flights[permit] = flight
        self._judged_at = -1
        self.last_sent = flight.started
        self._used_by[flight.host] = flight.started

    def end(
        self,
        flight: Flight,
        outcome: Outcome,
        latency_s: float,
        latencies: LatencyRecord,
        now: float,
    ) -> None:
        """Take in what became of a flight.

        Parameters
        ----------
        flight : Flight
            Already taken out of ``flights``.
        outcome : Outcome
            What the host saw.
        latency_s : float
            Seconds from the send to the end.
        latencies : LatencyRecord
            Latencies of the service; answers are added to it.
        now : float
            Monotonic seconds.
        """
        self._judged_at = -1
        self.answered_last = outcome is Outcome.ANSWERED
        if outcome is Outcome.ANSWERED:
            self._on_answer(flight, latency_s, latencies, now)
        elif outcome in (Outcome.FAILED, Outcome.GARBLED):
            self.belief.failed(now)
        elif outcome in (Outcome.HUNG, Outcome.RESET):
            self._on_lost(flight, outcome, now)
        else:
            self._on_unrun(flight, outcome, now)

    def _on_answer(
        self,
        flight: Flight,
        latency_s: float,
        latencies: LatencyRecord,
        now: float,
    ) -> None:
        latencies.add(latency_s)
        self.belief.answered(now)
        self.last_answer = now
        if flight.host != self._heard.host:
            self._heard_before = self._heard
        self._heard = _Heard(flight.host, now)
        self._avoided_by_host.pop(flight.host, None)
        relative = min(_SLOWNESS_MOST, latency_s / latencies.quantile(0.5))
        known = self.slowness(now)
        self._slowness = known + _NEWEST_WEIGHT * (relative - known)
        self._slowness_at = now

    def _on_unrun(self, flight: Flight, outcome: Outcome, now: float) -> None:
        if outcome is Outcome.OTHER_TARGET:
            self._misdirected_at = self.record.revision
        elif outcome is Outcome.NOT_SENT:
            self._avoid(flight.host, now)
            if not self._answered_others(flight.host, now):
                self.belief.unreached(now)

    def _on_lost(self, flight: Flight, outcome: Outcome, now: float) -> None:
        outrun = self._outrun(flight)
        if outrun or self._answered_others(flight.host, now):
            self._avoid(flight.host, now)
        if outcome is Outcome.HUNG:
            self.belief.hung(now, outrun=outrun)
        else:
            self.belief.failed(now)

    def _avoid(self, host: str, now: float) -> None:
        former = self._avoided_by_host.get(host)
        length_s = _PATH_AVOIDED_S
        if former is not None and now - former.until < _PATH_AGAIN_S:
            length_s = min(_PATH_AVOIDED_MOST_S, 2 * former.length_s)
        self._avoided_by_host[host] = _Avoided(now + length_s, length_s)

    def _outrun(self, flight: Flight) -> bool:
        """Return whether another host got an answer since a flight began."""
        return self._heard_besides(flight.host).at > flight.started

    def _answered_others(self, host: str, now: float) -> bool:
        return now - self._heard_besides(host).at < _RECENT_ANSWER_S

    def _heard_besides(self, host: str) -> _Heard:
        heard = self._heard
        return self._heard_before if heard.host == host else heard
