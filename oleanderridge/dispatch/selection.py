"""Chooses the target of one request by expected cost, in lost requests."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import Any, Final

from oleanderridge.dispatch.service_state import ServiceState
from oleanderridge.dispatch.target_state import DOUBTFUL, TargetState
from oleanderridge.dispatch.waiting_line import Waiting
from oleanderridge.gateway.outcomes import Purpose
from oleanderridge.generated.fleet import Acquire

# Cost of a request that shares a target with another. Non-idempotent requests
# rather follow others to targets that have just answered; idempotent ones
# spread and are the first to meet a target that turns bad.
_SHARED_TARGET_COST: Final = 0.08
_SHARED_TARGET_COST_UNSAFE: Final = 0.02
# Cost of a new connection.
_CONNECTION_COST: Final = 0.02
# Cost of an answer that comes after its aim; the risk begins where a usual
# answer takes this part of the time that is left.
_LATE_COST: Final = 0.9
_LATE_FROM: Final = 0.6
_LATE_MOST: Final = 2.0
_LEAST_AIM_S: Final = 0.05
_USUAL_QUANTILE: Final = 0.75
# Beyond this, failures follow the square of the belief: of sends at 0.5 a
# tenth fails, at 0.9 three quarters (docs/measurements.md, "Belief and
# outcome").
_PLAIN_RISK_MOST: Final = 0.1
# Equal targets are taken in random order.
_TIE_COST: Final = 0.01
# A full target that costs less than the free ones by this much is waited for;
# the amount grows with the part of the aim that is spent.
_WAIT_COST: Final = 0.5
_WAIT_COST_GROWTH: Final = 1.0
# Idempotent requests that can move on wait for this part of the aim only,
# unless their answers cost more than this to move between zones.
_WAIT_PART: Final = 0.25
_DEAR_CROSSING: Final = 0.5
# With less than this many usual latencies left a request waits no longer.
_LAST_CHANCE: Final = 2.0
# Idempotent requests test a doubtful target that got nothing for this long;
# one that answered its last test is tested again at once.
_TEST_AFTER_S: Final = 1.0
_TEST_ABOVE: Final = 0.12
# Requests that have used more than this part of their aim do not test.
_TEST_AIM_PART: Final = 0.35
# A target that is bad with this probability is left to tests while a sound
# one, free or full, is there: a send that is known to fail helps nobody.
_LEFT_TO_TESTS: Final = 0.75
# Tests leave this many repeats to requests that need them.
_TEST_RESERVE: Final = 12
# An unanswered idempotent request moves on after this quantile of latency.
_MOVE_QUANTILE: Final = 0.96
_MOVE_QUANTILE_DOUBTFUL: Final = 0.85
_MOVE_FACTOR: Final = 1.15
_MOVE_AIM_PART: Final = 0.6

# A choice weighs so many free and full targets at most, so that its cost does
# not grow with the service.
_FREE_MOST: Final = 32
_FULL_MOST: Final = 32

Costs = Any


def choose(
    entry: Waiting,
    service: ServiceState,
    costs: Costs,
    rng: Random,
    now: float,
) -> TargetState | None:
    """Return the target that a request should go to now.

    Parameters
    ----------
    entry : Waiting
        The request.
    service : ServiceState
        Its service.
    costs : PlacementSettings
        What losses and bytes between zones cost.
    rng : Random
        Breaks ties.
    now : float
        Monotonic seconds.

    Returns
    -------
    TargetState or None
        None when no slot is free, or when waiting is better.
    """
    request = entry.request
    usable, full = _candidates(request, service, rng, now)
    tested = _to_test(entry, service, costs, usable, now)
    if tested is not None or not usable:
        return tested
    cost_of = _cost_function(entry, service, costs, now)
    best, best_cost = usable[0], math.inf
    for state in usable:
        cost = cost_of(state) + _TIE_COST * rng.random()
        if cost < best_cost:
            best, best_cost = state, cost
    if _is_left_to_tests(best, full, service, now):
        return None
    crossing = _crossing_cost(request, service, costs)
    patience = _patience(entry, service, crossing, now)
    if best_cost <= patience or not full:
        return best
    return best if best_cost <= patience + min(map(cost_of, full)) else None


def can_be_placed(request: Acquire, service: ServiceState) -> bool:
    """Return whether any target may take a request, now or later."""
    return any(
        state.record.target not in request.excluded
        and not state.is_misdirected()
        for state in service.targets
    )


def move_ms(
    request: Acquire, service: ServiceState, probability_bad: float
) -> int:
    """Return after how many milliseconds a request should move on.

    Parameters
    ----------
    request : Acquire
        The request.
    service : ServiceState
        Its service.
    probability_bad : float
        Of the target that it goes to.

    Returns
    -------
    int
        0 for requests that must stay.
    """
    if request.unsafe or not request.may_repeat:
        return 0
    share = _MOVE_QUANTILE
    if probability_bad > _TEST_ABOVE:
        share = _MOVE_QUANTILE_DOUBTFUL
    move_s = service.latencies.quantile(share) * _MOVE_FACTOR
    most_s = _MOVE_AIM_PART * request.aim_ms / 1000
    return max(1, int(min(move_s, most_s) * 1000))


def _candidates(
    request: Acquire, service: ServiceState, rng: Random, now: float
) -> tuple[list[TargetState], list[TargetState]]:
    """Return targets with a free slot and full ones, some of each."""
    free, full = [], []
    for state in service.targets:
        (free if state.free_slots() > 0 else full).append(state)
    free = _allowed(request, _some_of(free, request.zone, _FREE_MOST, rng))
    full = _allowed(request, _some_of(full, request.zone, _FULL_MOST, rng))
    reached = [
        [each for each in states if not each.is_avoided_by(request.host, now)]
        for states in (free, full)
    ]
    # Paths that failed are the last resort.
    if reached[0] or reached[1]:
        return reached[0], reached[1]
    return free, full


def _some_of(
    states: list[TargetState], zone: str, most: int, rng: Random
) -> list[TargetState]:
    """Return all of a few; of many a random part, half of it near."""
    if len(states) <= most:
        return states
    near = [state for state in states if state.record.zone == zone]
    chosen = rng.sample(near, min(len(near), most // 2))
    return chosen + rng.sample(states, most - len(chosen))


def _allowed(request: Acquire, states: list[TargetState]) -> list[TargetState]:
    return [
        state
        for state in states
        if state.record.target not in request.excluded
        and not state.is_misdirected()
    ]


def _is_left_to_tests(
    best: TargetState,
    full: list[TargetState],
    service: ServiceState,
    now: float,
) -> bool:
    latencies = service.latencies
    if best.probability_bad(now, latencies) < _LEFT_TO_TESTS:
        return False
    return any(
        state.probability_bad(now, latencies) < DOUBTFUL for state in full
    )


def _patience(
    entry: Waiting, service: ServiceState, crossing: float, now: float
) -> float:
    """Return the extra cost at which waiting ends.

    A request that can still meet its aim waits for a target that is better
    by little; one that is late, for one that is better by much; and one that
    must start now, for none.
    """
    usual_s = service.latencies.quantile(0.5)
    if now + _LAST_CHANCE * usual_s > entry.deadline:
        return math.inf
    request = entry.request
    spent = entry.spent_s(now) * 1000 / request.aim_ms
    can_move = request.may_repeat and crossing < _DEAR_CROSSING
    if can_move and spent > _WAIT_PART:
        return math.inf
    return _WAIT_COST + _WAIT_COST_GROWTH * max(0, spent)


def _cost_function(
    entry: Waiting, service: ServiceState, costs: Costs, now: float
) -> Callable[[TargetState], float]:
    request, latencies = entry.request, service.latencies
    loss = _loss(request, costs)
    crossing = _crossing_cost(request, service, costs)
    if request.may_repeat:
        # What moves on after a failure may have to cross all the same.
        loss += crossing
    aim_left_s = request.aim_ms / 1000 - entry.spent_s(now)
    in_time_s = max(_LEAST_AIM_S, _LATE_FROM * aim_left_s)
    usual_s = latencies.quantile(_USUAL_QUANTILE)
    zone, host = request.zone, request.host
    shared = _SHARED_TARGET_COST
    if request.unsafe:
        shared = _SHARED_TARGET_COST_UNSAFE

    def cost(state: TargetState) -> float:
        bad = state.probability_bad(now, latencies)
        total = loss * max(bad * bad, min(bad, _PLAIN_RISK_MOST))
        total += shared * len(state.flights)
        if state.record.zone != zone:
            total += crossing
        if not state.has_connection(host, now):
            total += _CONNECTION_COST
        over = state.slowness(now) * usual_s / in_time_s - 1
        if over > 0:
            total += _LATE_COST * min(_LATE_MOST, over)
        return total

    return cost


def _loss(request: Acquire, costs: Costs) -> float:
    if request.unsafe:
        return costs['unsafe_loss']
    if request.may_repeat:
        return costs['safe_loss']
    return costs['last_loss']


def _crossing_cost(
    request: Acquire, service: ServiceState, costs: Costs
) -> float:
    return costs['cross_zone_cost_per_kb'] * service.exchange_kb(request.route)


def _to_test(
    entry: Waiting,
    service: ServiceState,
    costs: Costs,
    usable: list[TargetState],
    now: float,
) -> TargetState | None:
    request = entry.request
    if request.unsafe or not request.may_repeat:
        return None
    if request.purpose != Purpose.FIRST:
        return None
    if entry.spent_s(now) * 1000 > _TEST_AIM_PART * request.aim_ms:
        return None
    near_only = _crossing_cost(request, service, costs) > _DEAR_CROSSING
    due = [
        state
        for state in usable
        if not state.flights
        and (state.answered_last or now - state.last_sent > _TEST_AFTER_S)
        and (state.record.zone == request.zone or not near_only)
        and state.probability_bad(now, service.latencies) > _TEST_ABOVE
    ]
    if not due or service.budget.left(now) < _TEST_RESERVE:
        return None
    near = [state for state in due if state.record.zone == request.zone]
    return min(near or due, key=_sent_at)


def _sent_at(state: TargetState) -> float:
    return state.last_sent
