"""Chooses a target for each request by expected cost, and queues the rest.

One host of the fleet places the requests of all; every other host keeps a
placement of its own for the times when it cannot reach that one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from functools import partial
from random import Random
from typing import Any, Final, NamedTuple

from oleanderridge.admission.quota import FleetQuota
from oleanderridge.dispatch.retry_budget import RetryBudget
from oleanderridge.dispatch.target_state import Flight, TargetState
from oleanderridge.gateway.model import (
    DRAINING,
    Configuration,
    TargetRecord,
)
from oleanderridge.gateway.outcomes import UNSENT, Outcome, Purpose
from oleanderridge.generated.fleet import (
    Acquire,
    Grant,
    Queued,
    Refused,
    Release,
)
from oleanderridge.generated.gateway import GatewaySettings
from oleanderridge.health.belief import LatencyRecord

RATE_EXCEEDED: Final = 'rate-exceeded'
NO_TARGET: Final = 'no-target'
NO_RETRY_LEFT: Final = 'no-retry-left'

# A grant whose release is lost frees its slot this long after the deadline.
_RELEASE_SLACK_S: Final = 0.25
# Cost of a request that shares a target with another, in requests.
_SHARED_TARGET_COST: Final = 0.08
# Cost of a new connection, in requests.
_CONNECTION_COST: Final = 0.02
# Cost of an answer after its aim, in requests.
_LATE_COST: Final = 0.9
# A full target that costs less than the free ones by this much, in requests,
# is waited for; the amount grows with the part of the aim that is spent.
_WAIT_COST: Final = 0.5
_WAIT_COST_GROWTH: Final = 1.0
# Idempotent requests that can move on wait for this part of the aim only.
_WAIT_PART: Final = 0.25
# With less than this many usual latencies left a request waits no longer.
_LAST_CHANCE: Final = 2.0
# Idempotent requests test a doubtful target that got nothing for this long.
_TEST_AFTER_S: Final = 1.0
_TEST_ABOVE: Final = 0.12
# From this probability of being bad a target is doubtful.
_DOUBTFUL: Final = 0.4
# An own answer this recent outweighs the doubts of another placement.
_OWN_FRESH_S: Final = 1.0
# Tests leave this many repeats to requests that need them.
_TEST_RESERVE: Final = 12
# Tests stay in the zone of answers that cost more than this to move.
_TEST_CROSSING_MOST: Final = 0.5
# An unanswered idempotent request moves on after this quantile of latency.
_MOVE_QUANTILE: Final = 0.96
_MOVE_QUANTILE_DOUBTFUL: Final = 0.9
_MOVE_FACTOR: Final = 1.15
_MOVE_AIM_PART: Final = 0.6
# Answers of unknown size are assumed this large, in kilobytes.
_ANSWER_KB: Final = 4.0
_SIZE_WEIGHT: Final = 0.1
# What a request and the headers of both ways add, in kilobytes.
_EXCHANGE_KB: Final = 1.2
# Requests that fail to be placed in one pass before the pass ends.
_PASS_MISSES: Final = 12
# A request counts as able to meet its aim if so large a share of answers
# would.
_IN_TIME_QUANTILE: Final = 0.7
# Part of the repeats that is kept for non-idempotent requests that a target
# turned away.
_REPEAT_RESERVE_PART: Final = 0.3
_RETRY_LEAST_S: Final = 0.05
_RETRY_BUDGET_MS: Final = 200

Message = Grant | Queued | Refused
Sent = list[tuple[str, Message]]


class _Waiting(NamedTuple):
    """A request that waits for a slot."""

    request: Acquire
    arrived: float
    deadline: float


class _ServiceState:
    """Latencies, answer sizes, budget and queue of one service."""

    def __init__(self, aim_s: float, budget: RetryBudget) -> None:
        self.latencies = LatencyRecord(aim_s)
        self.budget = budget
        self.kb_by_route: dict[str, float] = {}
        self.waiting: dict[int, _Waiting] = {}
        self.targets: list[TargetState] = []


class Placement:
    """Slots, queues, rates and retry budgets of all services.

    Parameters
    ----------
    settings : GatewaySettings
        Complete settings.
    rng : Random
        Breaks ties.
    """

    def __init__(self, settings: GatewaySettings, rng: Random) -> None:
        self._settings = settings
        self._costs: Any = settings['placement']
        self._rng = rng
        self._targets_by_id: dict[str, TargetState] = {}
        self._service_by_name: dict[str, _ServiceState] = {}
        self._target_by_permit: dict[int, str] = {}
        self._quota = FleetQuota()
        self._part = 1.0

    def configure(self, configuration: Configuration) -> None:
        """Put the rates of a configuration in force."""
        self._quota.configure(configuration.workspaces_by_name)

    def set_part(self, part: float) -> None:
        """Set the part of the fleet that this placement stands for."""
        self._part = part
        self._quota.set_part(part)
        for service in self._service_by_name.values():
            service.budget.set_part(part)

    def set_targets(
        self, records: Mapping[str, TargetRecord], now: float
    ) -> None:
        """Take in the targets that the store names.

        Parameters
        ----------
        records : mapping
            By id; a target that started anew is known by nothing of before.
        now : float
            Monotonic seconds.
        """
        for target in self._targets_by_id.keys() - records.keys():
            if not self._targets_by_id[target].flights:
                del self._targets_by_id[target]
        for target, record in records.items():
            known = self._targets_by_id.get(target)
            if known is None or known.record.born_ms != record.born_ms:
                self._targets_by_id[target] = TargetState(record, now)
            else:
                known.record = record
        for service in self._service_by_name.values():
            service.targets = []
        for usable in sorted(records):
            state = self._targets_by_id[usable]
            if state.record.state != DRAINING:
                self._service(state.record.service, now).targets.append(state)

    def acquire(self, request: Acquire, now: float) -> Message:
        """Grant a slot, queue the request or refuse it.

        A message that is repeated gets the same answer and takes nothing.

        Parameters
        ----------
        request : Acquire
            What is asked for.
        now : float
            Monotonic seconds.

        Returns
        -------
        Grant, Queued or Refused
            A queued request is answered by ``tick`` or ``release`` later.
        """
        granted = self._target_by_permit.get(request.permit)
        if granted is not None:
            return self._grant_message(request, granted, now)
        service = self._service(request.service, now, request.aim_ms / 1000)
        if request.permit in service.waiting:
            return Queued(request.permit)
        refused = self._admit(request, service, now)
        if refused is not None:
            return refused
        entry = _Waiting(request, now, now + request.left_ms / 1000)
        target = self._choose(entry, service, now)
        if target is not None:
            return self._grant(entry, service, target, now)
        if self._is_hopeless(entry, service, now):
            return self._give_up(entry, service, now)
        service.waiting[request.permit] = entry
        return Queued(request.permit)

    def release(self, message: Release, now: float) -> Sent:
        """Take back a slot, or a request that waits for one.

        Parameters
        ----------
        message : Release
            The permit and what became of the send.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of tuple
            Answers to waiting requests, by host.
        """
        outcome = Outcome(message.outcome)
        target = self._target_by_permit.pop(message.permit, None)
        if target is None:
            self._forget_waiting(message.permit, now)
            return []
        state = self._targets_by_id.get(target)
        flight = state.flights.pop(message.permit, None) if state else None
        if state is None or flight is None:
            return []
        service = self._service(flight.service, now)
        if outcome in UNSENT and flight.repeat:
            service.budget.give_back(now)
        if outcome is Outcome.ANSWERED and message.answer_bytes:
            known_kb = service.kb_by_route.get(flight.route, _ANSWER_KB)
            size_kb = message.answer_bytes / 1000 + _EXCHANGE_KB
            service.kb_by_route[flight.route] = known_kb + _SIZE_WEIGHT * (
                size_kb - known_kb
            )
        latency_s = message.latency_ms / 1000
        state.end(flight, outcome, latency_s, service.latencies, now)
        return self._serve_waiting(service, now)

    def tick(self, now: float) -> Sent:
        """Free what was never released and answer what waits.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of tuple
            Answers to waiting requests, by host.
        """
        sent: Sent = []
        for state in self._targets_by_id.values():
            for permit, flight in tuple(state.flights.items()):
                if flight.expires < now:
                    del state.flights[permit]
                    self._target_by_permit.pop(permit, None)
                    state.belief.hung(now)
        for service in self._service_by_name.values():
            if service.waiting:
                sent += self._serve_waiting(service, now)
        return sent

    def observe(
        self,
        target: str,
        host: str,
        outcome: Outcome,
        latency_s: float,
        now: float,
    ) -> None:
        """Take in a send that another placement granted."""
        state = self._targets_by_id.get(target)
        if state is None:
            return
        service = self._service(state.record.service, now)
        flight = Flight(host, False, now, now, '', state.record.service, False)
        state.end(flight, outcome, latency_s, service.latencies, now)

    def doubtful(self, now: float) -> list[str]:
        """Return the targets that are more likely bad than good."""
        return [
            target
            for target, state in self._targets_by_id.items()
            if state.probability_bad(
                now, self._service(state.record.service, now).latencies
            )
            > _DOUBTFUL
        ]

    def distrust(self, targets: Iterable[str], now: float) -> None:
        """Take over another placement's doubts."""
        for target in targets:
            state = self._targets_by_id.get(target)
            if state is not None and now - state.last_answer > _OWN_FRESH_S:
                state.belief.doubt(now)

    def snapshot(self, now: float) -> list[dict[str, Any]]:
        """Return the state of each target for operators."""
        return [
            {
                'target': target,
                'service': state.record.service,
                'state': state.record.state,
                'flights': len(state.flights),
                'probability_bad': round(
                    state.probability_bad(
                        now, self._service(state.record.service, now).latencies
                    ),
                    3,
                ),
                'slowness': round(state.slowness(now), 2),
            }
            for target, state in self._targets_by_id.items()
        ]

    def _service(
        self, name: str, now: float, aim_s: float = 0.5
    ) -> _ServiceState:
        service = self._service_by_name.get(name)
        if service is None:
            budget = RetryBudget(self._settings['bounds'], now)
            budget.set_part(self._part)
            service = _ServiceState(aim_s, budget)
            self._service_by_name[name] = service
        return service

    def _admit(
        self, request: Acquire, service: _ServiceState, now: float
    ) -> Refused | None:
        if request.purpose == Purpose.REPLACE:
            return None
        if request.purpose == Purpose.REPEAT:
            reserve = 0 if request.unsafe else _REPEAT_RESERVE_PART
            if service.budget.take(now, reserve):
                return None
            return Refused(request.permit, NO_RETRY_LEFT, _RETRY_BUDGET_MS)
        service.budget.count_request(now)
        taken = self._quota.take(request.workspace, now)
        if taken.taken:
            return None
        retry_ms = int(taken.retry_after_s * 1000) + 1
        return Refused(request.permit, RATE_EXCEEDED, retry_ms)

    def _choose(
        self, entry: _Waiting, service: _ServiceState, now: float
    ) -> TargetState | None:
        request = entry.request
        allowed = [
            state
            for state in service.targets
            if state.record.target not in request.excluded
            and not state.is_avoided_by(request.host, now)
            and not state.is_misdirected()
        ]
        usable = [state for state in allowed if state.free_slots() > 0]
        tested = self._to_test(request, service, usable, now)
        if tested is not None or not usable:
            return tested
        waited_s = now - entry.arrived + request.waited_ms / 1000
        aim_left_s = request.aim_ms / 1000 - waited_s
        cost_of = partial(self._cost, request, service, aim_left_s, now)
        best_cost, _, best = min(
            (cost_of(state), place, state) for place, state in enumerate(usable)
        )
        if len(usable) == len(allowed):
            return best
        full_cost = min(
            cost_of(state) for state in allowed if state.free_slots() <= 0
        )
        patience = self._patience(entry, service, aim_left_s, now)
        return best if best_cost <= full_cost + patience else None

    def _patience(
        self,
        entry: _Waiting,
        service: _ServiceState,
        aim_left_s: float,
        now: float,
    ) -> float:
        """Return the extra cost at which waiting ends.

        A request that can still meet its aim waits for a target that is
        better by little; one that is late, for one that is better by much;
        and one that must start now, for none.
        """
        usual_s = service.latencies.quantile(0.5)
        if now + _LAST_CHANCE * usual_s > entry.deadline:
            return math.inf
        request = entry.request
        spent = 1 - aim_left_s * 1000 / request.aim_ms
        if request.may_repeat and spent > _WAIT_PART:
            return math.inf
        return _WAIT_COST + _WAIT_COST_GROWTH * max(0, spent)

    def _loss(self, request: Acquire) -> float:
        if request.unsafe:
            return self._costs['unsafe_loss']
        if request.may_repeat:
            return self._costs['safe_loss']
        return self._costs['last_loss']

    def _cost(
        self,
        request: Acquire,
        service: _ServiceState,
        aim_left_s: float,
        now: float,
        state: TargetState,
    ) -> float:
        bad = state.probability_bad(now, service.latencies)
        cost = self._loss(request) * bad
        cost += _SHARED_TARGET_COST * len(state.flights)
        if state.record.zone != request.zone:
            cost += self._crossing_cost(request, service)
        if not state.has_connection(request.host, now):
            cost += _CONNECTION_COST
        expected_s = state.slowness(now) * service.latencies.quantile(0.75)
        spare = (expected_s - 0.6 * aim_left_s) / max(0.05, 0.6 * aim_left_s)
        cost += _LATE_COST * min(2, max(0, spare))
        return cost + 0.01 * self._rng.random()

    def _crossing_cost(self, request: Acquire, service: _ServiceState) -> float:
        size_kb = service.kb_by_route.get(request.route, _ANSWER_KB)
        return self._costs['cross_zone_cost_per_kb'] * size_kb

    def _to_test(
        self,
        request: Acquire,
        service: _ServiceState,
        usable: list[TargetState],
        now: float,
    ) -> TargetState | None:
        if request.unsafe or not request.may_repeat:
            return None
        if request.purpose != Purpose.FIRST:
            return None
        if service.budget.left(now) < _TEST_RESERVE:
            return None
        due = [
            state
            for state in usable
            if not state.flights
            and now - state.last_sent > _TEST_AFTER_S
            and state.probability_bad(now, service.latencies) > _TEST_ABOVE
        ]
        near = [state for state in due if state.record.zone == request.zone]
        if self._crossing_cost(request, service) > _TEST_CROSSING_MOST:
            due = near
        return min(near or due, key=lambda state: state.last_sent, default=None)

    def _grant(
        self,
        entry: _Waiting,
        service: _ServiceState,
        state: TargetState,
        now: float,
    ) -> Grant:
        request = entry.request
        bad = state.probability_bad(now, service.latencies)
        flight = Flight(
            request.host,
            request.unsafe,
            now,
            entry.deadline + _RELEASE_SLACK_S,
            request.route,
            request.service,
            request.purpose == Purpose.REPEAT,
        )
        state.start(request.permit, flight)
        self._target_by_permit[request.permit] = state.record.target
        return Grant(
            request.permit,
            state.record.target,
            state.record.address,
            self._move_ms(request, service, doubtful=bad > _DOUBTFUL),
            int(bad * 100),
        )

    def _grant_message(
        self, request: Acquire, target: str, now: float
    ) -> Grant:
        state = self._targets_by_id[target]
        service = self._service(request.service, now)
        move_ms = self._move_ms(request, service, doubtful=False)
        return Grant(request.permit, target, state.record.address, move_ms, 0)

    def _move_ms(
        self, request: Acquire, service: _ServiceState, *, doubtful: bool
    ) -> int:
        if request.unsafe or not request.may_repeat:
            return 0
        share = _MOVE_QUANTILE_DOUBTFUL if doubtful else _MOVE_QUANTILE
        move_s = service.latencies.quantile(share) * _MOVE_FACTOR
        most_s = _MOVE_AIM_PART * request.aim_ms / 1000
        return max(1, int(min(move_s, most_s) * 1000))

    def _is_hopeless(
        self, entry: _Waiting, service: _ServiceState, now: float
    ) -> bool:
        usual_s = service.latencies.quantile(0.5)
        slots = sum(
            state.record.slots
            for state in service.targets
            if state.probability_bad(now, service.latencies) < _DOUBTFUL
        )
        ahead = sum(
            1
            for other in service.waiting.values()
            if other.request.priority <= entry.request.priority
        )
        wait_s = ahead * usual_s / max(1, slots)
        return now + wait_s + usual_s > entry.deadline

    def _give_up(
        self, entry: _Waiting, service: _ServiceState, now: float
    ) -> Refused:
        request = entry.request
        self._give_back(request, service, now)
        wait_s = max(_RETRY_LEAST_S, service.latencies.quantile(0.5))
        return Refused(request.permit, NO_TARGET, int(wait_s * 1000))

    def _serve_waiting(self, service: _ServiceState, now: float) -> Sent:
        sent: Sent = []
        misses = 0
        usual_s = service.latencies.quantile(0.5)
        in_time_s = service.latencies.quantile(_IN_TIME_QUANTILE)
        ranked = sorted(
            service.waiting.values(), key=partial(_rank, in_time_s, now)
        )
        for entry in ranked:
            permit, host = entry.request.permit, entry.request.host
            if now + usual_s > entry.deadline:
                del service.waiting[permit]
                sent.append((host, self._give_up(entry, service, now)))
                continue
            if misses >= _PASS_MISSES:
                continue
            target = self._choose(entry, service, now)
            if target is None:
                misses += 1
                continue
            del service.waiting[permit]
            sent.append((host, self._grant(entry, service, target, now)))
        return sent

    def _forget_waiting(self, permit: int, now: float) -> None:
        for service in self._service_by_name.values():
            entry = service.waiting.pop(permit, None)
            if entry is not None:
                self._give_back(entry.request, service, now)
                return

    def _give_back(
        self, request: Acquire, service: _ServiceState, now: float
    ) -> None:
        if request.purpose == Purpose.REPEAT:
            service.budget.give_back(now)
        elif request.purpose == Purpose.FIRST:
            self._quota.give_back(request.workspace)


def _rank(
    usual_s: float, now: float, entry: _Waiting
) -> tuple[bool, int, float]:
    """Sort those that can meet their aim before those that cannot."""
    request = entry.request
    spent_s = now - entry.arrived + request.waited_ms / 1000
    late = spent_s + usual_s > request.aim_ms / 1000
    return late, request.priority, entry.arrived
