"""Queues requests of all hosts for a service and issues slot permits."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from random import Random
from typing import Any, Final, NamedTuple, Protocol

from oleanderridge.dispatch.definitions import Definitions
from oleanderridge.dispatch.fair_queue import FairQueue, Waiting
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
    Flight,
    ServiceHealth,
    passed_over,
)
from oleanderridge.rendezvous import rendezvous_score
from oleanderridge.wire import Outgoing

# A request starts only with this many mean service times left; with one, an
# exponential service time misses the deadline after a third of the starts.
_SERVICE_TIMES_LEFT: Final = 3

Identity = tuple[str, str]


class BrokerMember(Protocol):
    """The fields of a member that decide whether it may be a broker."""

    @property
    def host(self) -> str:
        """Name of the host."""

    @property
    def alive(self) -> bool:
        """Whether the host has been heard recently."""

    @property
    def leaving(self) -> bool:
        """Whether the host takes no new work."""


def broker_host(service: str, members: Iterable[BrokerMember]) -> str | None:
    """Return the broker of a service by rendezvous hashing over the view.

    Parameters
    ----------
    service : str
        Name of the service.
    members : iterable of Member
        The view; members that are leaving or not alive are passed over.

    Returns
    -------
    str or None
        The host, or None when no member may be the broker.
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
        self.permit_by_request: dict[Identity, Permit] = {}
        self.in_flight: Counter[str] = Counter()
        self.service_time = LatencyAverage(0.02)


class Broker:
    """Issues permits for the services that this host is the broker of.

    Parameters
    ----------
    settings : Settings
        Settings of this host, defaults filled in.
    rng : Random
        Breaks ties between targets and makes permit ids unique.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._definitions = Definitions()
        self._weight_by_workspace: Mapping[str, float] = {}
        self._state_by_service: dict[str, _ServiceState] = {}
        self._leaving: frozenset[str] = frozenset()
        self._handed_back = False
        self._prefix = f'{settings["host"]}-{rng.getrandbits(32):08x}'
        self._issued = 0

    def configure(
        self,
        services: Iterable[Service],
        leaving: Collection[str],
        now: float,
        weight_by_workspace: Mapping[str, float] | None = None,
    ) -> list[Outgoing]:
        """Take over the services and the names of leaving targets.

        Parameters
        ----------
        services : iterable of Service
            All services, optional fields present.
        leaving : collection of str
            Targets that receive no new work.
        now : float
            Monotonic seconds.
        weight_by_workspace : mapping of str to float or None
            Weights in the fair queue; without it all are equal.

        Returns
        -------
        list of Outgoing
            Refusals for services that no longer exist, and new grants.
        """
        self._leaving = frozenset(leaving)
        self._weight_by_workspace = weight_by_workspace or {}
        self._definitions.update(services, now)
        known = self._state_by_service
        self._state_by_service = {}
        for name in self._definitions:
            state = known.pop(name, None)
            if state is None:
                continue
            state.service = self._definitions.get(name)
            state.health.update(state.service, now)
            state.queue.set_weights(self._weight_by_workspace)
            self._state_by_service[name] = state
        refusals = [
            _refusal(waiting.host, waiting.request_id, 'no-target')
            for state in known.values()
            for waiting in state.queue.drain()
        ]
        return refusals + self.tick(now)

    def health(self, service: str) -> ServiceHealth | None:
        """Return the health of a service; None before its first request."""
        state = self._state_by_service.get(service)
        return None if state is None else state.health

    def on_request(self, message: PermitRequest, now: float) -> list[Outgoing]:
        """Queue a request, grant it a slot or refuse it."""
        host = message['host']
        request_id = message['request_id']
        if self._handed_back:
            return [_refusal(host, request_id, 'broker-leaving')]
        state = self._active_state(message['service'])
        if state is None:
            return [_refusal(host, request_id, 'no-target')]
        repeated = _repeated(state, message, now)
        if repeated is not None:
            return [repeated]
        reason = self._refused(state, message, now)
        if reason is not None:
            return [_refusal(host, request_id, reason)]
        state.queue.push(_waiting(message, now))
        grants = self._dispatch(state, now)
        return [_queued(host, request_id), *grants]

    def _active_state(self, name: str) -> _ServiceState | None:
        state = self._state_by_service.get(name)
        service = self._definitions.get(name)
        if state is None and service is not None:
            state = _ServiceState(service, self._definitions.new_health(name))
            state.queue.set_weights(self._weight_by_workspace)
            self._state_by_service[name] = state
        return state

    def on_cancel(self, message: PermitCancel, now: float) -> list[Outgoing]:
        """Forget a request; a permit that crossed the cancel is freed."""
        state = self._state_by_service.get(message['service'])
        if state is None:
            return []
        identity = (message['host'], message['request_id'])
        state.queue.remove(identity)
        permit = state.permit_by_request.get(identity)
        if permit is not None:
            _release(state, permit)
        return self._dispatch(state, now)

    def on_return(self, message: PermitReturn, now: float) -> list[Outgoing]:
        """Free the slot of a permit and take in what happened."""
        state = self._state_by_service.get(message['service'])
        if state is None:
            return []
        permit = state.permit_by_id.get(message['permit_id'])
        if permit is not None:
            _release(state, permit)
        if message['outcome'] == 'ok':
            state.service_time.add(message['latency_ms'])
        state.health.report(
            message['host'],
            message['zone'],
            message['target'],
            message['outcome'],
            message['latency_ms'],
            now,
        )
        return self._dispatch(state, now)

    def tick(self, now: float) -> list[Outgoing]:
        """Expire permits, refuse late requests and fill free slots.

        Expected about every 50 ms; also judges unanswered requests.
        """
        outgoing = []
        for state in self._state_by_service.values():
            if not (state.permit_by_id or len(state.queue)):
                continue
            for permit in tuple(state.permit_by_id.values()):
                if now >= permit.expires_at:
                    _release(state, permit)
            state.health.review(_flights(state), now)
            late = [
                waiting
                for waiting in state.queue.in_order()
                if _too_late(state, waiting, now)
            ]
            outgoing.extend(_give_up(state, waiting) for waiting in late)
            outgoing.extend(self._dispatch(state, now))
        return outgoing

    def keep_hosts(self, hosts: Collection[str], now: float) -> list[Outgoing]:
        """Drop the requests and permits of all other hosts.

        The slots of a killed host would otherwise stay taken for the life of
        its permits, seconds in which all workspaces wait.

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
            for waiting in tuple(state.queue.in_order()):
                if waiting.host not in hosts:
                    state.queue.remove((waiting.host, waiting.request_id))
            for permit in tuple(state.permit_by_id.values()):
                if permit.host not in hosts:
                    _release(state, permit)
            outgoing.extend(self._dispatch(state, now))
        return outgoing

    def hand_back(self, now: float) -> list[Outgoing]:
        """Refuse all queued requests, and every later one."""
        self._handed_back = True
        return [
            _refusal(waiting.host, waiting.request_id, 'broker-leaving')
            for state in self._state_by_service.values()
            for waiting in state.queue.drain()
        ]

    def snapshot(self, now: float) -> list[dict[str, Any]]:
        """Return queue, permits and targets of the services in use."""
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

    def _refused(
        self, state: _ServiceState, message: PermitRequest, now: float
    ) -> str | None:
        limit = self._settings['dispatch']['queue_limit_per_workspace']
        if state.queue.length(message['workspace']) >= limit:
            return 'queue-full'
        candidates = state.health.candidates(
            message['host'], now, self._leaving, message['excluded']
        )
        if not candidates:
            return 'no-target'
        slots = sum(candidate.slots for candidate in candidates)
        position = state.queue.ahead(message['workspace']) + 1
        if slots > sum(state.in_flight.values()):
            position = 0
        wait_ms = position * state.service_time.mean / slots
        if wait_ms + _time_to_serve_ms(state) > message['deadline_ms']:
            return 'deadline'
        return None

    def _dispatch(self, state: _ServiceState, now: float) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        while len(state.queue) and _any_free(state):
            served = self._serve_one(state, now, outgoing)
            if not served:
                break
        return outgoing

    def _serve_one(
        self, state: _ServiceState, now: float, outgoing: list[Outgoing]
    ) -> bool:
        full: set[tuple[str, frozenset[str]]] = set()
        for waiting in state.queue.in_order():
            if _too_late(state, waiting, now):
                outgoing.append(_give_up(state, waiting))
                continue
            choice = (waiting.host, waiting.excluded)
            if choice in full:
                continue
            target = self._target(state, waiting, now)
            if target is None:
                full.add(choice)
            else:
                state.queue.serve(waiting)
                outgoing.append(self._grant(state, waiting, target, now))
                return True
        return False

    def _target(
        self, state: _ServiceState, waiting: Waiting, now: float
    ) -> str | None:
        free = [
            candidate
            for candidate in state.health.candidates(
                waiting.host, now, self._leaving, waiting.excluded
            )
            if state.in_flight[candidate.target] < candidate.slots
        ]
        if not free:
            return None

        def load(candidate: Candidate) -> tuple[bool, bool, float, float]:
            return (
                candidate.forced,
                passed_over(candidate, self._rng),
                state.in_flight[candidate.target] / candidate.slots,
                self._rng.random(),
            )

        return min(free, key=load).target

    def _grant(
        self, state: _ServiceState, waiting: Waiting, target: str, now: float
    ) -> Outgoing:
        self._issued += 1
        timeout_s = state.service['timeout_ms'] / 1000
        usable_until = min(waiting.deadline, now + timeout_s)
        permit = Permit(
            permit_id=f'{self._prefix}-{self._issued}',
            host=waiting.host,
            zone=waiting.zone,
            incarnation=waiting.incarnation,
            request_id=waiting.request_id,
            target=target,
            granted_at=now,
            usable_until=usable_until,
            expires_at=usable_until
            + self._settings['dispatch']['permit_margin_s'],
        )
        state.permit_by_id[permit.permit_id] = permit
        state.permit_by_request[(permit.host, permit.request_id)] = permit
        state.in_flight[target] += 1
        return _granted(permit, now)


def _waiting(message: PermitRequest, now: float) -> Waiting:
    return Waiting(
        host=message['host'],
        zone=message['zone'],
        incarnation=message['incarnation'],
        request_id=message['request_id'],
        workspace=message['workspace'],
        deadline=now + message['deadline_ms'] / 1000,
        excluded=frozenset(message['excluded']),
    )


def _flights(state: _ServiceState) -> list[Flight]:
    return [
        Flight(permit.host, permit.zone, permit.target, permit.granted_at)
        for permit in state.permit_by_id.values()
    ]


def _any_free(state: _ServiceState) -> bool:
    return any(
        state.in_flight[target['name']] < target['slots']
        for target in state.service['targets']
    )


def _too_late(state: _ServiceState, waiting: Waiting, now: float) -> bool:
    return now + _time_to_serve_ms(state) / 1000 > waiting.deadline


def _time_to_serve_ms(state: _ServiceState) -> float:
    # Without the bound a service whose mean time is over a third of its
    # timeout would refuse every request, and learn no shorter time either.
    bound_ms = state.service['timeout_ms'] / 2
    return min(_SERVICE_TIMES_LEFT * state.service_time.mean, bound_ms)


def _give_up(state: _ServiceState, waiting: Waiting) -> Outgoing:
    state.queue.remove((waiting.host, waiting.request_id))
    return _refusal(waiting.host, waiting.request_id, 'deadline')


def _repeated(
    state: _ServiceState, message: PermitRequest, now: float
) -> Outgoing | None:
    identity = (message['host'], message['request_id'])
    waiting = state.queue.get(identity)
    if waiting is not None:
        if waiting.incarnation == message['incarnation']:
            return _queued(*identity)
        state.queue.remove(identity)
    permit = state.permit_by_request.get(identity)
    if permit is None:
        return None
    if permit.target in message['excluded']:
        # The host has tried this target already: its return was lost.
        _release(state, permit)
        return None
    if permit.incarnation == message['incarnation']:
        return _granted(permit, now)
    return None


def _release(state: _ServiceState, permit: Permit) -> None:
    state.permit_by_id.pop(permit.permit_id)
    identity = (permit.host, permit.request_id)
    if state.permit_by_request.get(identity) is permit:
        state.permit_by_request.pop(identity)
    state.in_flight[permit.target] -= 1


def _queued(host: str, request_id: str) -> Outgoing:
    message = {
        'kind': 'permit_queued',
        'host': host,
        'request_id': request_id,
    }
    return Outgoing(host, message)


def _granted(permit: Permit, now: float) -> Outgoing:
    message = {
        'kind': 'permit_grant',
        'host': permit.host,
        'request_id': permit.request_id,
        'permit_id': permit.permit_id,
        'target': permit.target,
        'lifetime_ms': max(0, int((permit.usable_until - now) * 1000)),
    }
    return Outgoing(permit.host, message)


def _refusal(host: str, request_id: str, reason: str) -> Outgoing:
    message = {
        'kind': 'permit_refusal',
        'host': host,
        'request_id': request_id,
        'reason': reason,
    }
    return Outgoing(host, message)
