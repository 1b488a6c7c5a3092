"""Chooses the target of a request by expected cost.

The unit of cost is one lost request.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from operator import itemgetter
from random import Random
from typing import Any, Final, NamedTuple

from oleanderridge.dispatch.service_state import ServiceState
from oleanderridge.dispatch.target_state import (
    DOUBTFUL_PROBABILITY,
    TargetState,
)
from oleanderridge.dispatch.waiting_line import PendingRequest
from oleanderridge.gateway.outcomes import Purpose
from oleanderridge.generated.fleet import Acquire

# Cost of each other request in flight on the target. It is lower for
# non-idempotent requests, which prefer targets that have just answered.
# Idempotent requests spread out and detect failing targets first.
_CONCURRENT_REQUEST_COST: Final = 0.08
_CONCURRENT_REQUEST_COST_UNSAFE: Final = 0.02
_NEW_CONNECTION_COST: Final = 0.02
# Cost of an answer that misses its latency target. The risk starts when the
# typical latency exceeds this fraction of the remaining time.
_LATE_COST: Final = 0.9
_LATE_RISK_FRACTION: Final = 0.6
_MAX_LATENESS: Final = 2.0
_MIN_LATENCY_BUDGET_S: Final = 0.05
_TYPICAL_LATENCY_QUANTILE: Final = 0.75
# Above this probability the failure rate follows its square: a tenth of the
# requests fail at 0.5, three quarters at 0.9 (docs/measurements.md, "Failure
# estimate and outcome").
_MAX_LINEAR_RISK: Final = 0.1
# Upper bound of the random cost that breaks ties between equal targets.
_TIE_BREAK_COST: Final = 0.01
# A request waits for a full target that is cheaper than the free ones by this
# cost. The threshold grows with the elapsed fraction of the latency target.
_WAIT_COST: Final = 0.5
_WAIT_COST_GROWTH: Final = 1.0
# Retryable requests wait for at most this fraction of the latency target,
# unless crossing zones costs more than the amount below.
_MAX_WAIT_FRACTION: Final = 0.25
_HIGH_CROSS_ZONE_COST: Final = 0.5
# With fewer median latencies than this before its deadline, a request takes
# the best free target instead of waiting.
_LAST_START_LATENCIES: Final = 2.0
# Idempotent requests probe a suspected target that received nothing for this
# long. A target that answered its last request is probed again immediately.
_PROBE_INTERVAL_S: Final = 1.0
SUSPECT_PROBABILITY: Final = 0.12
# Requests past this fraction of their latency target are not used as probes.
_PROBE_MAX_ELAPSED_FRACTION: Final = 0.35
# From this probability of being bad, a target receives only probes while a
# healthy target exists, free or full, because the request would likely fail.
_PROBE_ONLY_PROBABILITY: Final = 0.75
# Probing stops when fewer retries than this remain in the budget, so that
# requests that need a retry still get one.
_PROBE_RETRY_RESERVE: Final = 12
# Candidates per choice, limited so that the cost of a choice does not grow
# with the number of targets.
_MAX_CANDIDATES: Final = 32

Costs = Any
CostFunction = Callable[[TargetState], float]


class _CostFunctions(NamedTuple):
    """Costs of sending a request to a target.

    ``base`` is cheap to compute, ``risk`` is that of a failure or of a late
    answer; neither is negative.
    """

    base: CostFunction
    risk: CostFunction


def choose_target(
    entry: PendingRequest,
    service: ServiceState,
    cost_settings: Costs,
    rng: Random,
    now: float,
) -> TargetState | None:
    """Return the target to send a request to now.

    Parameters
    ----------
    entry : PendingRequest
        The request.
    service : ServiceState
        Its service.
    cost_settings : PlacementSettings
        Costs of lost requests and of cross-zone traffic.
    rng : Random
        Source of randomness for tie-breaking and sampling.
    now : float
        Monotonic seconds.

    Returns
    -------
    TargetState or None
        None when no slot is free, or when the request should wait.
    """
    request = entry.request
    free = service.free_targets(now)
    candidates = _sample_eligible(free, request, rng, now)
    usable = _only_reachable(candidates, request, now)
    full: list[TargetState] | None = None
    if not usable and candidates:
        # Targets whose path failed recently are used only as a last resort.
        full = _full_candidates(free, service, request, rng, now)
        if _only_reachable(full, request, now):
            return None
        usable = candidates
    probe_target = _target_to_probe(entry, service, cost_settings, usable, now)
    if probe_target is not None or not usable:
        return probe_target
    costs = _cost_functions(entry, service, cost_settings, now)
    best, best_cost = _cheapest(usable, costs, rng)
    cross_zone_cost = _cross_zone_cost(request, service, cost_settings)
    wait_threshold = _wait_threshold(entry, service, cross_zone_cost, now)
    probability_bad = best.probability_bad(now, service.latencies_of)
    is_suspect = probability_bad >= _PROBE_ONLY_PROBABILITY
    if best_cost <= wait_threshold and not is_suspect:
        return best
    if full is None:
        full = _full_candidates(free, service, request, rng, now)
        full = _only_reachable(full, request, now)
    if is_suspect and _any_healthy(full, service, now):
        return None
    if best_cost <= wait_threshold or not full:
        return best
    cheapest_full = min(costs.base(state) + costs.risk(state) for state in full)
    return best if best_cost <= wait_threshold + cheapest_full else None


def can_be_placed(request: Acquire, service: ServiceState, now: float) -> bool:
    """Return whether any target takes a request, at once or from the queue."""
    return any(_is_eligible(state, request, now) for state in service.targets)


def _sample_eligible(
    states: list[TargetState], request: Acquire, rng: Random, now: float
) -> list[TargetState]:
    sample = _sample(states, request.zone, _MAX_CANDIDATES, rng)
    return [state for state in sample if _is_eligible(state, request, now)]


def _full_candidates(
    free: list[TargetState],
    service: ServiceState,
    request: Acquire,
    rng: Random,
    now: float,
) -> list[TargetState]:
    """Return a sample of the targets without room."""
    free_ids = set(map(id, free))
    full = [state for state in service.targets if id(state) not in free_ids]
    return _sample_eligible(full, request, rng, now)


def _only_reachable(
    states: list[TargetState], request: Acquire, now: float
) -> list[TargetState]:
    host = request.host
    return [state for state in states if not state.is_avoided_by(host, now)]


def _sample(
    states: list[TargetState], zone: str, limit: int, rng: Random
) -> list[TargetState]:
    """Return at most ``limit`` targets.

    If there are more, up to half of the sample is drawn from the same zone
    first and the rest at random from all zones.
    """
    if len(states) <= limit:
        return states
    same_zone = [state for state in states if state.record.zone == zone]
    chosen = rng.sample(same_zone, min(len(same_zone), limit // 2))
    return chosen + rng.sample(states, limit - len(chosen))


def _is_eligible(state: TargetState, request: Acquire, now: float) -> bool:
    return (
        state.record.target not in request.excluded
        and not state.is_misdirected()
        and not state.is_paused_for(request.host, now)
    )


def _any_healthy(
    states: list[TargetState], service: ServiceState, now: float
) -> bool:
    return any(
        state.probability_bad(now, service.latencies_of) < DOUBTFUL_PROBABILITY
        for state in states
    )


def _wait_threshold(
    entry: PendingRequest,
    service: ServiceState,
    cross_zone_cost: float,
    now: float,
) -> float:
    """Return the extra cost above which a request waits for a full target.

    The threshold rises as the request uses up its latency target. It is
    infinite for a request that must start now.
    """
    request = entry.request
    typical_s = service.latencies_of(request.route).quantile(0.5)
    if now + _LAST_START_LATENCIES * typical_s > entry.deadline:
        return math.inf
    elapsed_fraction = entry.elapsed_s(now) * 1000 / request.aim_ms
    can_fail_over = (
        request.may_repeat and cross_zone_cost < _HIGH_CROSS_ZONE_COST
    )
    if can_fail_over and elapsed_fraction > _MAX_WAIT_FRACTION:
        return math.inf
    return _WAIT_COST + _WAIT_COST_GROWTH * max(0, elapsed_fraction)


def _cheapest(
    states: list[TargetState], costs: _CostFunctions, rng: Random
) -> tuple[TargetState, float]:
    """Return the cheapest target and its cost.

    Targets are looked at in the order of their base costs, until that alone is
    more than the lowest cost.
    """
    ranked = sorted(
        (
            (costs.base(state) + _TIE_BREAK_COST * rng.random(), state)
            for state in states
        ),
        key=itemgetter(0),
    )
    best, best_cost = ranked[0][1], math.inf
    for base_cost, state in ranked:
        if base_cost >= best_cost:
            break
        cost = base_cost + costs.risk(state)
        if cost < best_cost:
            best, best_cost = state, cost
    return best, best_cost


def _cost_functions(
    entry: PendingRequest,
    service: ServiceState,
    cost_settings: Costs,
    now: float,
) -> _CostFunctions:
    request, latencies_of = entry.request, service.latencies_of
    loss_cost = _loss_cost(request, cost_settings)
    cross_zone_cost = _cross_zone_cost(request, service, cost_settings)
    if request.may_repeat:
        # A request that fails over may have to cross zones anyway.
        loss_cost += cross_zone_cost
    aim_remaining_s = request.aim_ms / 1000 - entry.elapsed_s(now)
    on_time_s = max(
        _MIN_LATENCY_BUDGET_S, _LATE_RISK_FRACTION * aim_remaining_s
    )
    typical_s = latencies_of(request.route).quantile(_TYPICAL_LATENCY_QUANTILE)
    zone, host = request.zone, request.host
    shared_cost = _CONCURRENT_REQUEST_COST
    if request.unsafe:
        shared_cost = _CONCURRENT_REQUEST_COST_UNSAFE

    def base(state: TargetState) -> float:
        cost = shared_cost * len(state.attempts)
        if state.record.zone != zone:
            cost += cross_zone_cost
        if not state.has_connection(host, now):
            cost += _NEW_CONNECTION_COST
        return cost

    def risk(state: TargetState) -> float:
        probability_bad = state.probability_bad(now, latencies_of)
        cost = loss_cost * max(
            probability_bad * probability_bad,
            min(probability_bad, _MAX_LINEAR_RISK),
        )
        lateness = state.slowness(now) * typical_s / on_time_s - 1
        if lateness > 0:
            cost += _LATE_COST * min(_MAX_LATENESS, lateness)
        return cost

    return _CostFunctions(base, risk)


def _loss_cost(request: Acquire, cost_settings: Costs) -> float:
    if request.unsafe:
        return cost_settings['unsafe_loss']
    if request.may_repeat:
        return cost_settings['safe_loss']
    return cost_settings['last_loss']


def _cross_zone_cost(
    request: Acquire, service: ServiceState, cost_settings: Costs
) -> float:
    return cost_settings['cross_zone_cost_per_kb'] * service.exchange_kb(
        request.route
    )


def _target_to_probe(
    entry: PendingRequest,
    service: ServiceState,
    cost_settings: Costs,
    usable: list[TargetState],
    now: float,
) -> TargetState | None:
    request = entry.request
    if request.unsafe or not request.may_repeat:
        return None
    if request.purpose != Purpose.FIRST:
        return None
    if (
        entry.elapsed_s(now) * 1000
        > _PROBE_MAX_ELAPSED_FRACTION * request.aim_ms
    ):
        return None
    same_zone_only = (
        _cross_zone_cost(request, service, cost_settings)
        > _HIGH_CROSS_ZONE_COST
    )
    probe_due = [
        state
        for state in usable
        if not state.attempts
        and (state.answered_last or now - state.last_sent > _PROBE_INTERVAL_S)
        and state.failure_estimate.may_exceed(SUSPECT_PROBABILITY)
        and state.probability_bad(now, service.latencies_of)
        > SUSPECT_PROBABILITY
    ]
    same_zone = [
        state for state in probe_due if state.record.zone == request.zone
    ]
    if same_zone or same_zone_only:
        probe_due = same_zone
    if not probe_due or service.budget.remaining(now) < _PROBE_RETRY_RESERVE:
        return None
    return min(probe_due, key=_last_sent)


def _last_sent(state: TargetState) -> float:
    return state.last_sent
