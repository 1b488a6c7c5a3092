"""Chooses a target for each request by expected cost, and queues the rest.

One host of the fleet places the requests of all; every other host keeps a
placement of its own for the times when it cannot reach that one.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from random import Random
from typing import Any, Final

from oleanderridge.admission.quota import FleetQuota
from oleanderridge.dispatch.retry_budget import RetryBudget
from oleanderridge.dispatch.selection import can_be_placed, choose, move_ms
from oleanderridge.dispatch.service_state import ServiceState
from oleanderridge.dispatch.target_state import DOUBTFUL, Flight, TargetState
from oleanderridge.dispatch.waiting_line import Waiting
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

RATE_EXCEEDED: Final = 'rate-exceeded'
NO_TARGET: Final = 'no-target'
NO_RETRY_LEFT: Final = 'no-retry-left'
RELEASED: Final = 'released'

# Copies of a message may arrive for so long after the first.
_REMEMBERED_S: Final = 2.0
# A grant whose release is lost frees its slot this long after the deadline.
_RELEASE_SLACK_S: Final = 0.25
# An own answer this recent outweighs the doubts of another placement.
_OWN_FRESH_S: Final = 1.0
# Requests that fail to be placed in one pass before the pass ends.
_PASS_MISSES: Final = 4
# A request counts as able to meet its aim if so large a share of answers
# would.
_IN_TIME_QUANTILE: Final = 0.7
# A request that would wait for more than this part of what its aim leaves
# counts as late, so that those before it are served well within theirs.
_WAIT_PART: Final = 0.6
# Part of the repeats that is kept for non-idempotent requests that a target
# turned away.
_REPEAT_RESERVE_PART: Final = 0.3
_RETRY_LEAST_S: Final = 0.05
_RETRY_BUDGET_MS: Final = 200

Message = Grant | Queued | Refused
Sent = list[tuple[str, Message]]


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
        self._rng = rng
        self._targets_by_id: dict[str, TargetState] = {}
        self._service_by_name: dict[str, ServiceState] = {}
        self._target_by_permit: dict[int, str] = {}
        self._ended_by_permit: dict[int, tuple[float, Refused]] = {}
        self._quota = FleetQuota(settings['bounds'])
        self.part = 1.0

    def configure(self, configuration: Configuration) -> None:
        """Put the rates of a configuration in force."""
        self._quota.configure(configuration.workspaces_by_name)

    def set_pressed(self, names: Collection[str] | None) -> None:
        """Name the workspaces that are near their rate; None when leading."""
        self._quota.set_pressed(names)

    def pressed(self, now: float) -> list[str]:
        """Return the workspaces that are near their rate."""
        return self._quota.pressed(now)

    def note_restart(self, *, common: bool) -> None:
        """Say whether all known hosts started at about the same time."""
        self._quota.note_restart(common=common)

    def set_part(self, part: float) -> None:
        """Set the part of the fleet that this placement stands for."""
        self.part = part
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
        ended = self._ended_by_permit.get(request.permit)
        if ended is not None:
            return ended[1]
        answer = self._first_answer(request, service, now)
        if isinstance(answer, Refused):
            self._ended_by_permit[request.permit] = (now, answer)
        return answer

    def _first_answer(
        self, request: Acquire, service: ServiceState, now: float
    ) -> Message:
        refused = self._admit(request, service, now)
        if refused is not None:
            return refused
        entry = Waiting(request, now, now + request.left_ms / 1000)
        target = self._choose(entry, service, now)
        if target is not None:
            return self._grant(entry, service, target, now)
        late_at = self._late_at(entry, service, now)
        if late_at is None:
            return self._give_up(entry, service, now)
        service.waiting.add(entry, late_at)
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
        # A late copy of the request must not take a second slot.
        over = Refused(message.permit, RELEASED, 0)
        self._ended_by_permit[message.permit] = (now, over)
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
            service.note_answer(flight.route, message.answer_bytes)
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
        self._forget_ended(now)
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
            > DOUBTFUL
        ]

    def distrust(self, targets: Iterable[str], now: float) -> None:
        """Take over another placement's doubts."""
        for target in targets:
            state = self._targets_by_id.get(target)
            if state is not None and now - state.last_answer > _OWN_FRESH_S:
                state.belief.doubt(now)

    def waiting(self, service: str) -> int:
        """Return how many requests wait for a slot of a service."""
        state = self._service_by_name.get(service)
        return len(state.waiting) if state else 0

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
    ) -> ServiceState:
        service = self._service_by_name.get(name)
        if service is None:
            budget = RetryBudget(self._settings['bounds'], now)
            budget.set_part(self.part)
            service = ServiceState(aim_s, budget)
            self._service_by_name[name] = service
        return service

    def _admit(
        self, request: Acquire, service: ServiceState, now: float
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
        self, entry: Waiting, service: ServiceState, now: float
    ) -> TargetState | None:
        costs = self._settings['placement']
        return choose(entry, service, costs, self._rng, now)

    def _grant(
        self,
        entry: Waiting,
        service: ServiceState,
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
            move_ms(request, service, bad),
            int(bad * 100),
        )

    def _grant_message(
        self, request: Acquire, target: str, now: float
    ) -> Grant:
        state = self._targets_by_id[target]
        service = self._service(request.service, now)
        return Grant(
            request.permit,
            target,
            state.record.address,
            move_ms(request, service, 0),
            0,
        )

    def _late_at(
        self, entry: Waiting, service: ServiceState, now: float
    ) -> float | None:
        """Return when a request that waits will count as late.

        Those that can meet their aim pass those that cannot, so only as many
        late ones may wait as one round of the slots serves. The others, and
        those that no target can take, are refused at once: None.
        """
        if not can_be_placed(entry.request, service):
            return None
        usual_s = service.latencies.quantile(0.5)
        slots = max(1, service.sound_slots(now))
        ahead = service.waiting.ahead(entry.request.priority)
        wait_s = ahead * usual_s / slots
        if now + wait_s + usual_s > entry.deadline:
            return None
        in_time_s = service.latencies.quantile(_IN_TIME_QUANTILE)
        late_at = entry.late_at(in_time_s)
        if wait_s <= _WAIT_PART * (late_at - now):
            return late_at
        return now if service.waiting.late(now) < slots else None

    def _give_up(
        self, entry: Waiting, service: ServiceState, now: float
    ) -> Refused:
        request = entry.request
        self._give_back(request, service, now)
        usual_s = service.latencies.quantile(0.5)
        rounds = 1 + len(service.waiting) / max(1, service.sound_slots(now))
        wait_s = max(_RETRY_LEAST_S, rounds * usual_s)
        return Refused(request.permit, NO_TARGET, int(wait_s * 1000))

    def _serve_waiting(self, service: ServiceState, now: float) -> Sent:
        usual_s = service.latencies.quantile(0.5)
        sent: Sent = [
            (entry.request.host, self._give_up(entry, service, now))
            for entry in service.waiting.pop_expired(now + usual_s)
        ]
        misses = 0
        for entry in service.waiting.in_order(now):
            if misses >= _PASS_MISSES or not service.has_free_slot():
                break
            target = self._choose(entry, service, now)
            if target is None:
                misses += 1
                continue
            service.waiting.pop(entry.request.permit)
            granted = self._grant(entry, service, target, now)
            sent.append((entry.request.host, granted))
        return sent

    def _forget_ended(self, now: float) -> None:
        while self._ended_by_permit:
            permit = next(iter(self._ended_by_permit))
            if self._ended_by_permit[permit][0] > now - _REMEMBERED_S:
                return
            del self._ended_by_permit[permit]

    def _forget_waiting(self, permit: int, now: float) -> None:
        for service in self._service_by_name.values():
            entry = service.waiting.pop(permit)
            if entry is not None:
                self._give_back(entry.request, service, now)
                return

    def _give_back(
        self, request: Acquire, service: ServiceState, now: float
    ) -> None:
        if request.purpose == Purpose.REPEAT:
            service.budget.give_back(now)
        elif request.purpose == Purpose.FIRST:
            self._quota.give_back(request.workspace)
