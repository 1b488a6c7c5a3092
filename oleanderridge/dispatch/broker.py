"""Queues requests from all hosts for a service and issues slot permits."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from random import Random
from typing import Any, Final, NamedTuple, Protocol

from oleanderridge.dispatch.fair_queue import FairQueue, QueuedRequest
from oleanderridge.dispatch.service_definitions import ServiceDefinitions
from oleanderridge.generated.bundle import Service
from oleanderridge.generated.messages import (
    PermitCancel,
    PermitRequest,
    PermitReturn,
)
from oleanderridge.generated.settings import Settings
from oleanderridge.health.evidence import LatencyAverage
from oleanderridge.health.service import (
    Candidate,
    InFlightRequest,
    ServiceHealth,
    skips_slow_start_target,
)
from oleanderridge.rendezvous import rendezvous_score
from oleanderridge.wire import Outgoing

# A request starts only if this many mean service times remain before its
# deadline. With one, a third of the requests with exponentially distributed
# service times would miss it.
_MIN_SERVICE_TIMES_LEFT: Final = 3

RequestKey = tuple[str, str]


class BrokerMember(Protocol):
    """The fields of a member that decide whether it can be a broker."""

    @property
    def host(self) -> str:
        """Name of the host."""

    @property
    def alive(self) -> bool:
        """Whether a message from the host was received recently."""

    @property
    def leaving(self) -> bool:
        """Whether the host is leaving and accepts no new work."""


def broker_host(service: str, members: Iterable[BrokerMember]) -> str | None:
    """Return the broker of a service by rendezvous hashing over members.

    Parameters
    ----------
    service : str
        Name of the service.
    members : iterable of Member
        The membership view; leaving and dead members are skipped.

    Returns
    -------
    str or None
        The host, or None when no member is eligible.
    """
    hosts = [
        member.host for member in members if member.alive and not member.leaving
    ]
    return max(
        hosts,
        key=lambda host: rendezvous_score(service, host),
        default=None,
    )


class Permit(NamedTuple):
    """The right of one host to run one request on one target."""

    permit_id: str
    host: str
    zone: str
    incarnation: int
    request_id: str
    target: str
    granted_at: float
    usable_until: float
    expires_at: float


class _ServiceState:
    """Queue, permits and health of one service."""

    def __init__(self, service: Service, health: ServiceHealth) -> None:
        self.service = service
        self.health = health
        self.queue = FairQueue()
        self.permit_by_id: dict[str, Permit] = {}
        self.permit_by_request_key: dict[RequestKey, Permit] = {}
        self.in_flight: Counter[str] = Counter()
        self.service_time = LatencyAverage(0.02)


class Broker:
    """Issues permits for the services that this host brokers.

    Parameters
    ----------
    settings : Settings
        Settings of this host, defaults filled in.
    rng : Random
        Breaks ties between targets and generates a permit id prefix.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._definitions = ServiceDefinitions()
        self._weight_by_workspace: Mapping[str, float] = {}
        self._state_by_service: dict[str, _ServiceState] = {}
        self._leaving_targets: frozenset[str] = frozenset()
        self._is_leaving = False
        self._permit_id_prefix = f'{settings["host"]}-{rng.getrandbits(32):08x}'
        self._permits_issued = 0

    def configure(
        self,
        services: Iterable[Service],
        leaving: Collection[str],
        now: float,
        weight_by_workspace: Mapping[str, float] | None = None,
    ) -> list[Outgoing]:
        """Apply the services and the names of leaving targets.

        Parameters
        ----------
        services : iterable of Service
            All services, optional fields present.
        leaving : collection of str
            Targets that receive no new work.
        now : float
            Monotonic seconds.
        weight_by_workspace : mapping of str to float or None
            Weights in the fair queue; equal weights if omitted.

        Returns
        -------
        list of Outgoing
            Refusals for services that no longer exist, and new grants.
        """
        self._leaving_targets = frozenset(leaving)
        self._weight_by_workspace = weight_by_workspace or {}
        self._definitions.update(services, now)
        previous_states = self._state_by_service
        self._state_by_service = {}
        for name in self._definitions:
            state = previous_states.pop(name, None)
            if state is None:
                continue
            state.service = self._definitions.get(name)
            state.health.update(state.service, now)
            state.queue.set_weights(self._weight_by_workspace)
            self._state_by_service[name] = state
        refusals = [
            _refusal_message(request.host, request.request_id, 'no-target')
            for state in previous_states.values()
            for request in state.queue.drain()
        ]
        return refusals + self.tick(now)

    def health(self, service: str) -> ServiceHealth | None:
        """Return the health of a service; None before its first request."""
        state = self._state_by_service.get(service)
        return None if state is None else state.health

    def on_request(self, message: PermitRequest, now: float) -> list[Outgoing]:
        """Queue a request, and grant it a slot if one is free, or refuse it."""
        host = message['host']
        request_id = message['request_id']
        if self._is_leaving:
            return [_refusal_message(host, request_id, 'broker-leaving')]
        state = self._state_of(message['service'])
        if state is None:
            return [_refusal_message(host, request_id, 'no-target')]
        duplicate_reply = _duplicate_reply(state, message, now)
        if duplicate_reply is not None:
            return [duplicate_reply]
        reason = self._refusal_reason(state, message, now)
        if reason is not None:
            return [_refusal_message(host, request_id, reason)]
        state.queue.push(_queued_request(message, now))
        grants = self._grant_free_slots(state, now)
        return [_queued_message(host, request_id), *grants]

    def _state_of(self, name: str) -> _ServiceState | None:
        state = self._state_by_service.get(name)
        service = self._definitions.get(name)
        if state is None and service is not None:
            state = _ServiceState(service, self._definitions.new_health(name))
            state.queue.set_weights(self._weight_by_workspace)
            self._state_by_service[name] = state
        return state

    def on_cancel(self, message: PermitCancel, now: float) -> list[Outgoing]:
        """Drop a request and free a permit that was granted meanwhile."""
        state = self._state_by_service.get(message['service'])
        if state is None:
            return []
        request_key = (message['host'], message['request_id'])
        state.queue.remove(request_key)
        permit = state.permit_by_request_key.get(request_key)
        if permit is not None:
            _release(state, permit)
        return self._grant_free_slots(state, now)

    def on_return(self, message: PermitReturn, now: float) -> list[Outgoing]:
        """Free the slot of a permit and record the outcome."""
        state = self._state_by_service.get(message['service'])
        if state is None:
            return []
        permit = state.permit_by_id.get(message['permit_id'])
        if permit is not None:
            _release(state, permit)
        if message['outcome'] == 'ok':
            state.service_time.add(message['latency_ms'])
        state.health.record_outcome(
            message['host'],
            message['zone'],
            message['target'],
            message['outcome'],
            message['latency_ms'],
            now,
        )
        return self._grant_free_slots(state, now)

    def tick(self, now: float) -> list[Outgoing]:
        """Expire permits, refuse late requests and fill free slots.

        Called about every 50 ms. Also updates target health from requests
        that are still unanswered.
        """
        outgoing = []
        for state in self._state_by_service.values():
            if not (state.permit_by_id or len(state.queue)):
                continue
            for permit in tuple(state.permit_by_id.values()):
                if now >= permit.expires_at:
                    _release(state, permit)
            state.health.evaluate_in_flight(_requests_in_flight(state), now)
            late = [
                request
                for request in state.queue.in_order()
                if _cannot_finish_in_time(state, request, now)
            ]
            outgoing.extend(_refuse_late(state, request) for request in late)
            outgoing.extend(self._grant_free_slots(state, now))
        return outgoing

    def drop_other_hosts(
        self, hosts: Collection[str], now: float
    ) -> list[Outgoing]:
        """Drop the requests and permits of all other hosts.

        Otherwise the slots of a killed host stay occupied until its permits
        expire, and all workspaces wait for seconds.

        Parameters
        ----------
        hosts : collection of str
            Hosts that are alive in the view.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Outgoing
            Grants of the freed slots.
        """
        outgoing = []
        for state in self._state_by_service.values():
            for request in tuple(state.queue.in_order()):
                if request.host not in hosts:
                    state.queue.remove((request.host, request.request_id))
            for permit in tuple(state.permit_by_id.values()):
                if permit.host not in hosts:
                    _release(state, permit)
            outgoing.extend(self._grant_free_slots(state, now))
        return outgoing

    def refuse_all(self, now: float) -> list[Outgoing]:
        """Refuse all queued and all future requests."""
        self._is_leaving = True
        return [
            _refusal_message(request.host, request.request_id, 'broker-leaving')
            for state in self._state_by_service.values()
            for request in state.queue.drain()
        ]

    def snapshot(self, now: float) -> list[dict[str, Any]]:
        """Return queue length, permits and targets of the services in use."""
        return [
            {
                'service': name,
                'queued': len(state.queue),
                'permits': len(state.permit_by_id),
                'service_time_ms': state.service_time.mean,
                'targets': state.health.snapshot(now),
            }
            for name, state in self._state_by_service.items()
        ]

    def _refusal_reason(
        self, state: _ServiceState, message: PermitRequest, now: float
    ) -> str | None:
        limit = self._settings['dispatch']['queue_limit_per_workspace']
        if state.queue.length(message['workspace']) >= limit:
            return 'queue-full'
        candidates = state.health.candidates(
            message['host'], now, self._leaving_targets, message['excluded']
        )
        if not candidates:
            return 'no-target'
        slots = sum(candidate.slots for candidate in candidates)
        queue_position = state.queue.count_ahead(message['workspace']) + 1
        if slots > sum(state.in_flight.values()):
            queue_position = 0
        wait_ms = queue_position * state.service_time.mean / slots
        if wait_ms + _required_time_ms(state) > message['deadline_ms']:
            return 'deadline'
        return None

    def _grant_free_slots(
        self, state: _ServiceState, now: float
    ) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        while len(state.queue) and _has_free_slot(state):
            was_granted = self._grant_next(state, now, outgoing)
            if not was_granted:
                break
        return outgoing

    def _grant_next(
        self, state: _ServiceState, now: float, outgoing: list[Outgoing]
    ) -> bool:
        saturated: set[tuple[str, frozenset[str]]] = set()
        for request in state.queue.in_order():
            if _cannot_finish_in_time(state, request, now):
                outgoing.append(_refuse_late(state, request))
                continue
            selection_key = (request.host, request.excluded)
            if selection_key in saturated:
                continue
            target = self._choose_target(state, request, now)
            if target is None:
                saturated.add(selection_key)
            else:
                state.queue.serve(request)
                outgoing.append(self._grant(state, request, target, now))
                return True
        return False

    def _choose_target(
        self, state: _ServiceState, request: QueuedRequest, now: float
    ) -> str | None:
        free = [
            candidate
            for candidate in state.health.candidates(
                request.host, now, self._leaving_targets, request.excluded
            )
            if state.in_flight[candidate.target] < candidate.slots
        ]
        if not free:
            return None

        def preference(candidate: Candidate) -> tuple[bool, bool, float, float]:
            return (
                candidate.forced,
                skips_slow_start_target(candidate, self._rng),
                state.in_flight[candidate.target] / candidate.slots,
                self._rng.random(),
            )

        return min(free, key=preference).target

    def _grant(
        self,
        state: _ServiceState,
        request: QueuedRequest,
        target: str,
        now: float,
    ) -> Outgoing:
        self._permits_issued += 1
        timeout_s = state.service['timeout_ms'] / 1000
        usable_until = min(request.deadline, now + timeout_s)
        permit = Permit(
            permit_id=f'{self._permit_id_prefix}-{self._permits_issued}',
            host=request.host,
            zone=request.zone,
            incarnation=request.incarnation,
            request_id=request.request_id,
            target=target,
            granted_at=now,
            usable_until=usable_until,
            expires_at=usable_until
            + self._settings['dispatch']['permit_margin_s'],
        )
        state.permit_by_id[permit.permit_id] = permit
        state.permit_by_request_key[(permit.host, permit.request_id)] = permit
        state.in_flight[target] += 1
        return _grant_message(permit, now)


def _queued_request(message: PermitRequest, now: float) -> QueuedRequest:
    return QueuedRequest(
        host=message['host'],
        zone=message['zone'],
        incarnation=message['incarnation'],
        request_id=message['request_id'],
        workspace=message['workspace'],
        deadline=now + message['deadline_ms'] / 1000,
        excluded=frozenset(message['excluded']),
    )


def _requests_in_flight(state: _ServiceState) -> list[InFlightRequest]:
    return [
        InFlightRequest(
            permit.host, permit.zone, permit.target, permit.granted_at
        )
        for permit in state.permit_by_id.values()
    ]


def _has_free_slot(state: _ServiceState) -> bool:
    return any(
        state.in_flight[target['name']] < target['slots']
        for target in state.service['targets']
    )


def _cannot_finish_in_time(
    state: _ServiceState, request: QueuedRequest, now: float
) -> bool:
    return now + _required_time_ms(state) / 1000 > request.deadline


def _required_time_ms(state: _ServiceState) -> float:
    # Without this limit a service whose mean time exceeds a third of its
    # timeout would refuse every request and never measure a shorter time.
    max_required_ms = state.service['timeout_ms'] / 2
    return min(
        _MIN_SERVICE_TIMES_LEFT * state.service_time.mean, max_required_ms
    )


def _refuse_late(state: _ServiceState, request: QueuedRequest) -> Outgoing:
    state.queue.remove((request.host, request.request_id))
    return _refusal_message(request.host, request.request_id, 'deadline')


def _duplicate_reply(
    state: _ServiceState, message: PermitRequest, now: float
) -> Outgoing | None:
    request_key = (message['host'], message['request_id'])
    request = state.queue.get(request_key)
    if request is not None:
        if request.incarnation == message['incarnation']:
            return _queued_message(*request_key)
        state.queue.remove(request_key)
    permit = state.permit_by_request_key.get(request_key)
    if permit is None:
        return None
    if permit.target in message['excluded']:
        # The host has already tried this target; its permit return was lost.
        _release(state, permit)
        return None
    if permit.incarnation == message['incarnation']:
        return _grant_message(permit, now)
    return None


def _release(state: _ServiceState, permit: Permit) -> None:
    state.permit_by_id.pop(permit.permit_id)
    request_key = (permit.host, permit.request_id)
    if state.permit_by_request_key.get(request_key) is permit:
        state.permit_by_request_key.pop(request_key)
    state.in_flight[permit.target] -= 1


def _queued_message(host: str, request_id: str) -> Outgoing:
    message = {
        'kind': 'permit_queued',
        'host': host,
        'request_id': request_id,
    }
    return Outgoing(host, message)


def _grant_message(permit: Permit, now: float) -> Outgoing:
    message = {
        'kind': 'permit_grant',
        'host': permit.host,
        'request_id': permit.request_id,
        'permit_id': permit.permit_id,
        'target': permit.target,
        'lifetime_ms': max(0, int((permit.usable_until - now) * 1000)),
    }
    return Outgoing(permit.host, message)


def _refusal_message(host: str, request_id: str, reason: str) -> Outgoing:
    message = {
        'kind': 'permit_refusal',
        'host': host,
        'request_id': request_id,
        'reason': reason,
    }
    return Outgoing(host, message)
