"""Chooses a target for each request by expected cost, and queues the rest.

The leader places the requests of the whole fleet. Every other host keeps a
local placement that it uses while it cannot reach the leader.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from random import Random
from typing import Any, Final

from oleanderridge.admission.quota import FleetQuota, QuotaTake
from oleanderridge.dispatch.crash_evidence import CrashEvidence
from oleanderridge.dispatch.crash_reports import record_evidence
from oleanderridge.dispatch.final_replies import FinalReplies
from oleanderridge.dispatch.grants import build_grant
from oleanderridge.dispatch.held_permits import HeldPermit, HeldPermits
from oleanderridge.dispatch.queue_admission import late_at, retry_after_ms
from oleanderridge.dispatch.retry_budget import RetryBudget
from oleanderridge.dispatch.retry_reports import (
    own_retry_uses,
    record_follower_retry_uses,
    record_retry_uses,
    retry_uses,
)
from oleanderridge.dispatch.selection import (
    can_be_placed,
    choose_target,
)
from oleanderridge.dispatch.service_state import ServiceState
from oleanderridge.dispatch.target_notices import (
    TargetNotices,
    limit_from_milli,
)
from oleanderridge.dispatch.target_state import (
    DOUBTFUL_PROBABILITY,
    Attempt,
    TargetState,
)
from oleanderridge.dispatch.token_line import TokenLine
from oleanderridge.dispatch.waiting_line import PendingRequest
from oleanderridge.gateway.model import (
    DRAINING,
    Configuration,
    TargetRecord,
)
from oleanderridge.gateway.outcomes import UNSENT, Ground, Outcome, Purpose
from oleanderridge.generated.fleet import (
    Acquire,
    Grant,
    Queued,
    Refused,
    Release,
    RetryUse,
)
from oleanderridge.generated.gateway import GatewaySettings

RATE_EXCEEDED: Final = 'rate-exceeded'
NO_TARGET: Final = 'no-target'
NO_RETRY_LEFT: Final = 'no-retry-left'
RELEASED: Final = 'released'
CRASHES_TARGETS: Final = 'crashes-targets'
PERMIT_IN_USE: Final = 'permit-in-use'

# A slot whose release message was lost is freed this long after the deadline.
_LOST_RELEASE_GRACE_S: Final = 0.25
# A local answer this recent outweighs suspicion from another placement.
_LOCAL_EVIDENCE_FRESH_S: Final = 1.0
# A pass over the queue ends after this many requests found no target, so that
# a long queue does not slow the placing host.
_MAX_UNPLACED_PER_PASS: Final = 4
# Fraction of the retry budget reserved for non-idempotent requests that a
# target refused without executing them, in a service that gets no others.
_UNSAFE_RETRY_RESERVE_FRACTION: Final = 0.3
_BUDGET_SPENT_RETRY_AFTER_MS: Final = 200
# Fraction of its share of a target's rate limit that a host uses while it
# bypasses the leader, which may go on granting the whole limit to the others.
_BYPASS_LIMIT_FRACTION: Final = 0.3
# How long a request may wait for a token of its workspace.
_TOKEN_WAIT_MAX_S: Final = 0.3

Reply = Grant | Queued | Refused
AddressedReplies = list[tuple[str, Reply]]


class Placement:
    """Slots, queues, rate limits and retry budgets of all services.

    Parameters
    ----------
    settings : GatewaySettings
        Complete settings.
    rng : Random
        Source of randomness for tie-breaking and sampling.
    """

    def __init__(self, settings: GatewaySettings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._targets_by_id: dict[str, TargetState] = {}
        self._service_by_name: dict[str, ServiceState] = {}
        self._held_permits = HeldPermits()
        self._final_replies = FinalReplies()
        self.quota = FleetQuota(settings['bounds'], rng)
        self._token_line = TokenLine()
        self.notices = TargetNotices()
        self.crash_evidence = CrashEvidence()
        self.fleet_share = 1.0
        self.leads = True
        self._limit_share = 1.0

    def configure(self, configuration: Configuration) -> None:
        """Apply the rate limits of a configuration."""
        self.quota.configure(configuration.workspaces_by_name)

    def set_fleet_share(
        self, fleet_share: float, *, leads: bool = True
    ) -> None:
        """Set the fraction of the fleet that this placement serves.

        Parameters
        ----------
        fleet_share : float
            0 to 1.
        leads : bool
            False if another host leads, which grants most permits of this
            host's requests, too.
        """
        self.fleet_share = fleet_share
        self.leads = leads
        self._limit_share = fleet_share
        if not leads:
            self._limit_share *= _BYPASS_LIMIT_FRACTION
        self.quota.set_fleet_share(fleet_share, leads=leads)
        for service in self._service_by_name.values():
            service.budget.set_fleet_share(fleet_share, leads=leads)
            service.limit_share = self._limit_share

    def set_targets(
        self, records: Mapping[str, TargetRecord], now: float
    ) -> None:
        """Update the targets from the store.

        Parameters
        ----------
        records : mapping
            Records by target id. A restarted target gets a fresh state.
        now : float
            Monotonic seconds.
        """
        for target in self._targets_by_id.keys() - records.keys():
            if not self._targets_by_id[target].attempts:
                del self._targets_by_id[target]
        for target, record in records.items():
            previous = self._targets_by_id.get(target)
            if previous is None or previous.record.born_ms != record.born_ms:
                self._targets_by_id[target] = TargetState(record, now)
            else:
                previous.record = record
        for service in self._service_by_name.values():
            service.targets = []
        for target_id in sorted(records):
            state = self._targets_by_id[target_id]
            if state.record.state != DRAINING and not self.notices.is_leaving(
                target_id, state.record.born_ms
            ):
                self._service(state.record.service, now).targets.append(state)

    def acquire(self, request: Acquire, now: float) -> Reply:
        """Grant a slot, queue the request or refuse it.

        A duplicate message gets the same reply and consumes no resources.

        Parameters
        ----------
        request : Acquire
            The request for a slot.
        now : float
            Monotonic seconds.

        Returns
        -------
        Grant, Queued or Refused
            ``tick`` or ``release`` answers a queued request later.
        """
        granted_target = self._held_permits.target_of(request.permit)
        if granted_target is not None:
            return self._repeat_grant(request, granted_target, now)
        service = self._service(request.service, now, request.aim_ms / 1000)
        if (
            request.permit in service.queue
            or request.permit in self._token_line
        ):
            return Queued(request.permit)
        final_reply = self._final_replies.get(request.permit)
        if final_reply is not None:
            return final_reply
        answer = self._decide(request, service, now)
        if isinstance(answer, Refused):
            self._final_replies.add(answer, now)
        return answer

    def _decide(
        self, request: Acquire, service: ServiceState, now: float
    ) -> Reply:
        if self._crashes_targets(request, now):
            return Refused(request.permit, CRASHES_TARGETS, 0)
        ground = self._check_limits(request, service, now)
        deadline = now + request.left_ms / 1000
        if isinstance(ground, Refused):
            if self._may_await_token(request, ground, now):
                self._token_line.add(PendingRequest(request, now, deadline))
                return Queued(request.permit)
            return ground
        entry = PendingRequest(request, now, deadline, ground=ground)
        return self._place(entry, service, now)

    def _may_await_token(
        self, request: Acquire, refused: Refused, now: float
    ) -> bool:
        if refused.reason != RATE_EXCEEDED:
            return False
        due = self.quota.tokens_due(request.workspace, _TOKEN_WAIT_MAX_S, now)
        return self._token_line.length(request.workspace) < due

    def _place(
        self, admitted: PendingRequest, service: ServiceState, now: float
    ) -> Reply:
        request = admitted.request
        typical_s = service.latencies_of(request.route).quantile(0.5)
        entry = admitted._replace(typical_s=typical_s)
        target = self._choose(entry, service, now)
        if target is not None:
            return self._grant(entry, service, target, now)
        becomes_late_at = late_at(entry, service, now)
        if becomes_late_at is None:
            return self._refuse_unplaced(entry, service, now)
        service.queue.add(entry, becomes_late_at)
        return Queued(request.permit)

    def release(self, message: Release, now: float) -> AddressedReplies:
        """Free a slot, or remove a queued request.

        Parameters
        ----------
        message : Release
            The permit and the outcome of the attempt.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of tuple
            Pairs of host and reply for requests that were queued.
        """
        outcome = Outcome(message.outcome)
        target = self._held_permits.pop(message.permit)
        # A delayed duplicate of the request must not take a second slot.
        self._final_replies.add(Refused(message.permit, RELEASED, 0), now)
        if target is None:
            self._remove_queued(message.permit, now)
            return []
        state = self._targets_by_id.get(target)
        attempt = state.attempts.pop(message.permit, None) if state else None
        if state is None or attempt is None:
            return []
        service = self._service(attempt.service, now)
        self._take_notice(message, attempt, state, now)
        record_evidence(self.crash_evidence, message, state, now)
        if outcome in UNSENT:
            state.refund()
            if attempt.is_retry:
                service.budget.refund(now)
        if outcome is Outcome.ANSWERED and message.answer_bytes:
            service.record_answer_size(attempt.route, message.answer_bytes)
        latency_s = message.latency_ms / 1000
        if outcome is Outcome.ANSWERED:
            service.record_latency(latency_s)
        state.end(attempt, outcome, latency_s, service.latencies_of, now)
        return self._serve_waiting(service, now)

    def tick(self, now: float) -> AddressedReplies:
        """Free expired slots and answer queued requests.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of tuple
            Pairs of host and reply for requests that were queued.
        """
        replies: AddressedReplies = []
        self.quota.tick(now)
        self._final_replies.expire(now)
        self.crash_evidence.expire(now)
        for state in self._targets_by_id.values():
            for permit in state.expire(now):
                self._held_permits.pop(permit)
        replies += self._serve_token_line(now)
        for service in self._service_by_name.values():
            if service.queue:
                replies += self._serve_waiting(service, now)
        return replies

    def _serve_token_line(self, now: float) -> AddressedReplies:
        replies: AddressedReplies = []
        ready = self._token_line.pop_ready(
            lambda workspace: self.quota.take(workspace, now),
            now - _TOKEN_WAIT_MAX_S,
        )
        for entry, token in ready:
            reply = self._leave_token_line(entry, token, now)
            if not isinstance(reply, Queued):
                replies.append((entry.request.host, reply))
        return replies

    def _leave_token_line(
        self, entry: PendingRequest, token: QuotaTake, now: float
    ) -> Reply:
        request = entry.request
        reply: Reply
        if token.taken:
            service = self._service(request.service, now)
            admitted = entry._replace(ground=token.ground)
            reply = self._place(admitted, service, now)
        else:
            reply = _rate_refusal(request, token)
        if isinstance(reply, Refused):
            self._final_replies.add(reply, now)
        return reply

    def free_lost(
        self, host: str, held: Collection[int], now: float
    ) -> AddressedReplies:
        """Free the slots of permits whose release was lost.

        Parameters
        ----------
        host : str
            Host that the permits were granted to.
        held : collection of int
            Permits that it holds.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of tuple
            Pairs of host and reply for requests that were queued.
        """
        freed_services = set()
        for permit in self._held_permits.lost(host, held, now):
            target = self._held_permits.pop(permit)
            self._final_replies.add(Refused(permit, RELEASED, 0), now)
            state = self._targets_by_id.get(target or '')
            if state is not None and state.forget(permit):
                freed_services.add(state.record.service)
        return [
            reply
            for name in sorted(freed_services)
            for reply in self._serve_waiting(self._service(name, now), now)
        ]

    def observe(
        self, grant: Grant, host: str, message: Release, now: float
    ) -> None:
        """Record the outcome of an attempt that another placement granted."""
        state = self._targets_by_id.get(grant.target)
        if state is None:
            return
        service = self._service(state.record.service, now)
        attempt = Attempt(
            host, False, now, now, '', state.record.service, False
        )
        if state.record.born_ms == grant.born_ms:
            self._take_notice(message, attempt, state, now)
            record_evidence(self.crash_evidence, message, state, now)
        outcome, latency_s = Outcome(message.outcome), message.latency_ms / 1000
        state.end(attempt, outcome, latency_s, service.latencies_of, now)

    def doubtful_targets(self, now: float) -> list[str]:
        """Return the targets that are considered doubtful."""
        return [
            target
            for target, state in self._targets_by_id.items()
            if state.probability_bad(
                now, self._service(state.record.service, now).latencies_of
            )
            > DOUBTFUL_PROBABILITY
        ]

    def mark_doubtful(self, targets: Iterable[str], now: float) -> None:
        """Adopt the doubtful targets of another placement."""
        for target in targets:
            state = self._targets_by_id.get(target)
            if (
                state is not None
                and now - state.last_answer > _LOCAL_EVIDENCE_FRESH_S
            ):
                state.failure_estimate.record_remote_suspicion(now)

    def retry_uses(self, now: float) -> list[RetryUse]:
        """Return the retries of the last window, for possible successors."""
        return retry_uses(self._service_by_name, now)

    def record_retry_uses(self, uses: Iterable[RetryUse], now: float) -> None:
        """Record the retries that the leader has granted."""
        record_retry_uses(self._service_by_name, uses, now)

    def own_retry_uses(self, now: float) -> list[RetryUse]:
        """Return the retries that this host granted, for the leader."""
        return own_retry_uses(self._service_by_name, now)

    def record_follower_retry_uses(
        self, host: str, uses: Iterable[RetryUse], now: float
    ) -> None:
        """Record the retries that a follower has granted itself."""
        record_follower_retry_uses(self._service_by_name, host, uses, now)

    def queued_count(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        state = self._service_by_name.get(service)
        return len(state.queue) if state else 0

    def snapshot(self, now: float) -> list[dict[str, Any]]:
        """Return the state of each target for the status page."""
        return [
            {
                'target': target,
                'leaving': self.notices.is_leaving(
                    target, state.record.born_ms
                ),
                **state.summary(
                    now, self._service(state.record.service, now).latencies_of
                ),
            }
            for target, state in self._targets_by_id.items()
        ]

    def _service(
        self, name: str, now: float, aim_s: float = 0.5
    ) -> ServiceState:
        service = self._service_by_name.get(name)
        if service is None:
            budget = RetryBudget(self._settings['bounds'], now)
            budget.set_fleet_share(self.fleet_share, leads=self.leads)
            service = ServiceState(aim_s, budget)
            service.limit_share = self._limit_share
            self._service_by_name[name] = service
        return service

    def _take_notice(
        self,
        message: Release,
        attempt: Attempt,
        state: TargetState,
        now: float,
    ) -> None:
        limit_per_s = limit_from_milli(message.limit_milli)
        state.set_rate_limit(limit_per_s, now, self._rng.random())
        if message.pause_ms:
            state.pause_for(attempt.host, now + message.pause_ms / 1000)
        if message.leaving:
            record = state.record
            self.notices.mark_leaving(record.target, record.born_ms)
            service = self._service(record.service, now)
            service.targets = [
                other for other in service.targets if other is not state
            ]

    def _crashes_targets(self, request: Acquire, now: float) -> bool:
        # While another host leads, this one may not know of its crashes.
        return self.crash_evidence.is_blocked(
            request.fingerprint, now, cautious=not self.leads
        )

    def _check_limits(
        self, request: Acquire, service: ServiceState, now: float
    ) -> Ground | Refused:
        if request.purpose == Purpose.REPLACE:
            return Ground.UNLIMITED
        if request.purpose == Purpose.REPEAT:
            reserve_fraction = (
                0
                if request.unsafe
                else _UNSAFE_RETRY_RESERVE_FRACTION * service.unsafe_share
            )
            if service.budget.take(now, reserve_fraction):
                return Ground.UNLIMITED
            return Refused(
                request.permit, NO_RETRY_LEFT, _BUDGET_SPENT_RETRY_AFTER_MS
            )
        service.count_request(now, unsafe=request.unsafe)
        quota_take = self.quota.take(request.workspace, now)
        if quota_take.taken:
            return quota_take.ground
        return _rate_refusal(request, quota_take)

    def _choose(
        self, entry: PendingRequest, service: ServiceState, now: float
    ) -> TargetState | None:
        cost_settings = self._settings['placement']
        return choose_target(entry, service, cost_settings, self._rng, now)

    def _grant(
        self,
        entry: PendingRequest,
        service: ServiceState,
        state: TargetState,
        now: float,
    ) -> Grant:
        request = entry.request
        probability_bad = state.probability_bad(now, service.latencies_of)
        attempt = Attempt(
            request.host,
            request.unsafe,
            now,
            entry.deadline + _LOST_RELEASE_GRACE_S,
            request.route,
            request.service,
            request.purpose == Purpose.REPEAT,
            entry.ground,
        )
        state.start(request.permit, attempt)
        self.crash_evidence.begin_trial(request.fingerprint, now)
        held = HeldPermit(request.host, state.record.target, now)
        self._held_permits.add(request.permit, held)
        grant = build_grant(request, service, state.record, probability_bad)
        grant.ground = entry.ground
        return grant

    def _repeat_grant(
        self, request: Acquire, target: str, now: float
    ) -> Grant | Refused:
        state = self._targets_by_id.get(target)
        attempt = state.attempts.get(request.permit) if state else None
        if state is None or attempt is None:
            # The target has restarted or left since the grant.
            return Refused(request.permit, RELEASED, 0)
        if not attempt.is_for(request):
            return Refused(request.permit, PERMIT_IN_USE, 0)
        service = self._service(request.service, now)
        grant = build_grant(request, service, state.record, 0)
        grant.ground = attempt.ground
        return grant

    def _refuse_unplaced(
        self, entry: PendingRequest, service: ServiceState, now: float
    ) -> Refused:
        request = entry.request
        self._refund(entry, service, now)
        return Refused(request.permit, NO_TARGET, retry_after_ms(service, now))

    def _refuse_all(
        self,
        entries: Iterable[PendingRequest],
        service: ServiceState,
        now: float,
    ) -> AddressedReplies:
        return [
            (entry.request.host, self._refuse_unplaced(entry, service, now))
            for entry in entries
        ]

    def _serve_waiting(
        self, service: ServiceState, now: float
    ) -> AddressedReplies:
        replies = self._refuse_all(service.queue.pop_expired(now), service, now)
        unplaced = 0
        for entry in service.queue.in_order(now):
            if unplaced >= _MAX_UNPLACED_PER_PASS or not service.has_room(now):
                break
            request = entry.request
            if self._crashes_targets(request, now):
                service.queue.pop(request.permit)
                self._refund(entry, service, now)
                refused = Refused(request.permit, CRASHES_TARGETS, 0)
                replies.append((request.host, refused))
                continue
            target = self._choose(entry, service, now)
            if target is None and can_be_placed(request, service, now):
                unplaced += 1
                continue
            reply: Reply
            if target is None:
                service.queue.pop(request.permit)
                reply = self._refuse_unplaced(entry, service, now)
            else:
                service.queue.pop_started(request.permit, now)
                reply = self._grant(entry, service, target, now)
            replies.append((request.host, reply))
        overtaken = service.queue.pop_hopeless(now)
        return replies + self._refuse_all(overtaken, service, now)

    def _remove_queued(self, permit: int, now: float) -> None:
        self._token_line.remove(permit)
        for service in self._service_by_name.values():
            entry = service.queue.pop(permit)
            if entry is not None:
                self._refund(entry, service, now)
                return

    def _refund(
        self, entry: PendingRequest, service: ServiceState, now: float
    ) -> None:
        request = entry.request
        if request.purpose == Purpose.REPEAT:
            service.budget.refund(now)
        elif request.purpose == Purpose.FIRST:
            self.quota.refund(request.workspace, entry.ground)


def _rate_refusal(request: Acquire, token: QuotaTake) -> Refused:
    retry_after_ms = int(token.retry_after_s * 1000) + 1
    return Refused(request.permit, RATE_EXCEEDED, retry_after_ms)
