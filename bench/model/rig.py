"""Entry hosts, a dispatch variant and model targets on one clock."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Final, NamedTuple

from bench.model.clock import EventLoop
from bench.model.targets import Fault, ModelTarget, ServiceTime
from bench.model.workload import RateMeter, Request, Tally, Workspace
from oleanderridge.dispatch.broker import Broker
from oleanderridge.dispatch.independent import IndependentDispatch
from oleanderridge.generated.bundle import HealthPolicy, Service
from oleanderridge.generated.settings import Settings
from oleanderridge.health.service import ServiceHealth
from oleanderridge.wire import Outgoing

SERVICE: Final = 'sett-lookup'
ZONES: Final = ('a', 'b', 'c')
_TICK_S: Final = 0.05
_PROBE_S: Final = 0.025
_REFUSED_BY_TARGET: Final = frozenset(('connect-failed', 'shed'))
_DONE: Final = frozenset(('ok', 'draining'))

POLICY: Final = HealthPolicy(
    consecutive_failures=3,
    latency_factor=3,
    minimum_samples=10,
    ejection_s=10,
    ejection_max_s=300,
    slow_start_s=10,
    floor=0.6,
)


class RigSpec(NamedTuple):
    """Everything that defines a run besides its seed.

    ``groups`` is the number of brokers; targets and hosts are divided
    between them. ``admission`` refuses requests outside a workspace's rate
    before dispatch. ``weighted`` gives the broker's fair queue the rates
    as weights; otherwise weights are equal. ``one_way_s`` bounds the latency
    of a permit message.
    """

    variant: str
    workspaces: tuple[Workspace, ...]
    faults: tuple[Fault, ...] = ()
    hosts: int = 48
    targets: int = 25
    slots: int = 2
    mean_s: float = 0.05
    sigma: float = 0
    shed_limit: int = 4
    duration_s: float = 20
    deadline_s: float = 2
    groups: int = 1
    weighted: bool = False
    queue_limit: int = 64
    admission: bool = False
    misleading: str = ''
    attempts_max: int = 3
    one_way_s: tuple[float, float] = (0.0005, 0.001)
    policy: HealthPolicy = POLICY
    on_attempt: Callable[[tuple[Any, ...]], None] | None = None


def service_of(spec: RigSpec, group: int = 0) -> Service:
    """Return the definition of the service, or of one group's targets."""
    return Service(
        name=SERVICE,
        targets=[
            {
                'name': f't{index}',
                'url': '',
                'slots': spec.slots,
                'zone': ZONES[index % len(ZONES)],
            }
            for index in range(group, spec.targets, spec.groups)
        ],
        timeout_ms=10000,
        echo_header='',
        buffer_limit_bytes=65536,
        health_path='/health',
        health=spec.policy,
    )


def settings_of(host: str, zone: str, queue_limit: int = 64) -> Settings:
    """Return the settings that the dispatch modules read."""
    return {
        'host': host,
        'zone': zone,
        'dispatch': {
            'broker_timeout_s': 0.1,
            'queue_limit_per_workspace': queue_limit,
            'permit_margin_s': 1,
        },
    }


class Rig:
    """One run of one dispatch variant.

    Parameters
    ----------
    spec : RigSpec
        The load, the targets and the faults.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, spec: RigSpec, seed: int) -> None:
        self.spec = spec
        self.loop = EventLoop()
        self.tallies = {item.name: Tally() for item in spec.workspaces}
        self._arrivals = Random(f'{seed}-arrivals')
        self._network = Random(f'{seed}-network')
        self.targets: dict[str, ModelTarget] = {}
        for index in range(spec.targets):
            service_time = ServiceTime(spec.mean_s, spec.sigma)
            target = ModelTarget(
                f't{index}', spec.slots, service_time, spec.shed_limit
            )
            rng = Random(f'{seed}-target-{index}')
            target.attach(self.loop, rng, spec.faults)
            self.targets[target.name] = target
        start = {'broker': BrokerSide, 'independent': IndependentSide}
        self._side = start[spec.variant](self, seed)
        self._meters = {item.name: RateMeter(item) for item in spec.workspaces}
        self._number = 0

    @property
    def healths(self) -> list[ServiceHealth]:
        """Return the health of every dispatcher."""
        return self._side.healths()

    def run(self) -> None:
        """Run until every request has an outcome."""
        for workspace in self.spec.workspaces:
            self._schedule(workspace)
        self.loop.every(_TICK_S, self._side.tick)
        self.loop.every(_TICK_S, self._probe)
        self.loop.run(self.spec.duration_s + self.spec.deadline_s * 2)

    def delay(self) -> float:
        """Return the one-way latency of a permit message."""
        return self._network.uniform(*self.spec.one_way_s)

    def attempt(self, request: Request, target: str, done: Any) -> None:
        """Send a request to a target and handle its outcome."""
        started = self.loop.now

        def finished(outcome: str, latency_ms: float) -> None:
            done(outcome, latency_ms)
            if self.spec.on_attempt is not None:
                origin = (started, request.host, request.zone)
                self.spec.on_attempt((*origin, target, outcome, latency_ms))
            if outcome in _DONE:
                self.finish(request, 'ok')
            else:
                self._retry(request, target, outcome)

        self.targets[target].send(
            request.host, request.zone, request.deadline, finished
        )

    def finish(self, request: Request, outcome: str) -> None:
        """Count the final outcome of a request."""
        tally = self.tallies[request.workspace]
        tally.add(request, outcome, self.loop.now)

    def _retry(self, request: Request, target: str, outcome: str) -> None:
        request.attempts += 1
        request.excluded.append(target)
        late = self.loop.now >= request.deadline
        if late or request.attempts >= self.spec.attempts_max:
            self.finish(request, outcome)
        else:
            self._side.start(request)

    def _schedule(self, workspace: Workspace) -> None:
        rate = workspace.rate * workspace.multiple
        time = self._arrivals.expovariate(rate)
        while time < self.spec.duration_s:
            host = self._arrivals.randrange(self.spec.hosts)
            self.loop.at(time, partial(self._arrive, workspace.name, host))
            time += self._arrivals.expovariate(rate)

    def _arrive(self, workspace: str, host: int) -> None:
        origin = (f'h{host:02}', ZONES[host % len(ZONES)])
        self._number += 1
        request = Request(self._number, workspace, origin)
        request.arrived = self.loop.now
        request.deadline = self.loop.now + self.spec.deadline_s
        request.inside = self._meters[workspace].inside(self.loop.now)
        if self.spec.admission and not request.inside:
            self.finish(request, 'rate-exceeded')
        else:
            self._side.start(request)

    def _probe(self) -> None:
        for health in self._side.healths():
            for name in health.probes_due(self.loop.now):
                self.loop.after(_PROBE_S, partial(self._probed, health, name))

    def _probed(self, health: ServiceHealth, name: str) -> None:
        truth = self.targets[name].probe()
        succeeded = {'healthy': True, 'failing': False}.get(
            self.spec.misleading, truth
        )
        health.record_probe(name, succeeded, self.loop.now)


class IndependentSide:
    """Every host dispatches by its own knowledge."""

    def __init__(self, rig: Rig, seed: int) -> None:
        self._rig = rig
        self._by_host: dict[str, IndependentDispatch] = {}
        for index in range(rig.spec.hosts):
            host = f'h{index:02}'
            dispatch = IndependentDispatch(
                settings_of(host, ZONES[index % len(ZONES)]),
                Random(f'{seed}-{host}'),
            )
            dispatch.configure([service_of(rig.spec)], (), 0)
            self._by_host[host] = dispatch

    def healths(self) -> list[ServiceHealth]:
        """Return the health of every host."""
        found = [
            dispatch.health(SERVICE) for dispatch in self._by_host.values()
        ]
        return [health for health in found if health is not None]

    def tick(self) -> None:
        """Nothing is due without a broker."""

    def start(self, request: Request) -> None:
        """Pick a target and send the request."""
        dispatch = self._by_host[request.host]
        target = dispatch.pick(SERVICE, request.excluded, self._rig.loop.now)
        if target is None:
            self._rig.finish(request, 'no-target')
            return

        def done(outcome: str, latency_ms: float) -> None:
            now = self._rig.loop.now
            dispatch.record_outcome(SERVICE, target, outcome, latency_ms, now)

        self._rig.attempt(request, target, done)


class BrokerSide:
    """Hosts ask the broker of their group for permits."""

    def __init__(self, rig: Rig, seed: int) -> None:
        self._rig = rig
        self._brokers = []
        weights = {item.name: item.rate for item in rig.spec.workspaces}
        for group in range(rig.spec.groups):
            settings = settings_of(f'b{group}', 'a', rig.spec.queue_limit)
            broker = Broker(settings, Random(f'{seed}-b{group}'))
            broker.configure(
                [service_of(rig.spec, group)],
                (),
                0,
                weights if rig.spec.weighted else None,
            )
            self._brokers.append(broker)
        self._request_by_id: dict[str, Request] = {}

    def healths(self) -> list[ServiceHealth]:
        """Return the health of every broker."""
        found = [broker.health(SERVICE) for broker in self._brokers]
        return [health for health in found if health is not None]

    def tick(self) -> None:
        """Run the periodic work of every broker."""
        for broker in self._brokers:
            self._deliver(broker, broker.tick(self._rig.loop.now))

    def start(self, request: Request) -> None:
        """Ask for a permit."""
        broker = self._brokers[request.number % len(self._brokers)]
        request_id = f'{request.number}-{request.attempts}'
        self._request_by_id[request_id] = request

        def arrive() -> None:
            now = self._rig.loop.now
            message = {
                'kind': 'permit_request',
                'host': request.host,
                'incarnation': 1,
                'zone': request.zone,
                'request_id': request_id,
                'service': SERVICE,
                'workspace': request.workspace,
                'deadline_ms': int((request.deadline - now) * 1000),
                'excluded': list(request.excluded),
            }
            self._deliver(broker, broker.on_request(message, now))

        self._rig.loop.after(self._rig.delay(), arrive)

    def _deliver(self, broker: Broker, outgoing: list[Outgoing]) -> None:
        handlers = {
            'permit_grant': self._granted,
            'permit_refusal': self._refused,
        }
        for item in outgoing:
            handler = handlers.get(item.message['kind'])
            if handler is not None:
                self._rig.loop.after(
                    self._rig.delay(), partial(handler, broker, item.message)
                )

    def _refused(self, broker: Broker, message: dict[str, Any]) -> None:
        request = self._request_by_id.pop(message['request_id'])
        self._rig.finish(request, message['reason'])

    def _granted(self, broker: Broker, message: dict[str, Any]) -> None:
        request = self._request_by_id.pop(message['request_id'])

        def done(outcome: str, latency_ms: float) -> None:
            reply = {
                'kind': 'permit_return',
                'host': request.host,
                'zone': request.zone,
                'permit_id': message['permit_id'],
                'service': SERVICE,
                'target': message['target'],
                'outcome': outcome,
                'latency_ms': latency_ms,
            }

            def arrive() -> None:
                outgoing = broker.on_return(reply, self._rig.loop.now)
                self._deliver(broker, outgoing)

            self._rig.loop.after(self._rig.delay(), arrive)

        self._rig.attempt(request, message['target'], done)
