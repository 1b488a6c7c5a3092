"""Records attempts at targets, and replays them against the health policy.

A trace is a header line with the fault and one JSON array per attempt:
start, host, zone, target, outcome, latency in milliseconds. The recording
rig has ejection switched off, so a trace holds what any policy would see.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

from bench.model.clock import EventLoop
from bench.model.rig import POLICY, Rig, RigSpec, service_of
from bench.model.targets import Fault
from bench.model.workload import Workspace
from oleanderridge.generated.bundle import HealthPolicy
from oleanderridge.health.service import InFlightRequest, ServiceHealth

FAULT_START_S = 2
# Part of all answers that is cut short although no target has a fault.
BACKGROUND_SHARE = 0.003
_EVERY_TARGET = frozenset(f't{index}' for index in range(100))
_BACKGROUND = Fault('short', _EVERY_TARGET, 0, share=BACKGROUND_SHARE)
NEVER_EJECT = HealthPolicy(
    consecutive_failures=10**9,
    latency_factor=10**9,
    minimum_samples=10**9,
    ejection_s=10,
    ejection_max_s=300,
    slow_start_s=0,
    floor=1,
)


class Scenario(NamedTuple):
    """A fault, the load under which it is recorded, and for how long.

    ``sigma`` above zero makes the service time log-normal instead of
    exponential.
    """

    fault: Fault
    load: float = 0.6
    duration_s: float = 8
    misleading: str = ''
    sigma: float = 0


class Trace(NamedTuple):
    """A recorded run."""

    name: str
    seed: int
    targets: int
    scenario: Scenario
    rows: tuple[tuple[Any, ...], ...]


class Outcome(NamedTuple):
    """What the policy did in a replay.

    ``detection_s`` is None when the fault was not detected;
    ``false_ejections`` counts ejections of targets that should stay;
    ``bad_requests`` counts attempts that met the fault before avoidance.
    """

    detection_s: float | None
    false_ejections: int
    ejections: int
    bad_requests: int
    durations_s: tuple[float, ...]


def scenarios() -> dict[str, Scenario]:
    """Return the recorded fault kinds by name."""
    one = frozenset(('t1',))
    start = FAULT_START_S
    flap = Fault('reset', one, start, period_s=8)
    return {
        'limping': Scenario(Fault('limping', one, start, factor=8)),
        'short': Scenario(Fault('short', one, start)),
        'short-third': Scenario(Fault('short', one, start, share=0.3)),
        'timeout': Scenario(Fault('timeout', one, start)),
        'reset': Scenario(Fault('reset', one, start)),
        'flapping': Scenario(flap, load=0.1, duration_s=60),
        'one-zone': Scenario(
            Fault('unreachable', one, start, zones=frozenset('a'))
        ),
        'one-host': Scenario(
            Fault('unreachable', one, start, hosts=frozenset(('h00',)))
        ),
        'all-slow': Scenario(
            Fault('limping', _EVERY_TARGET, start, factor=8), 0.1
        ),
        'misleading': Scenario(
            Fault('short', one, start), 0.1, 60, misleading='healthy'
        ),
        'none': Scenario(Fault('none', frozenset(), start), duration_s=30),
        'none-heavy': Scenario(
            Fault('none', frozenset(), start), duration_s=30, sigma=1.2
        ),
        'limping-heavy': Scenario(
            Fault('limping', one, start, factor=8), sigma=1.2
        ),
    }


def record(
    name: str, targets: int, seed: int, scenario: Scenario | None = None
) -> Trace:
    """Run the model without ejection and return the attempts."""
    scenario = scenario or scenarios()[name]
    rows: list[tuple[Any, ...]] = []
    rate = scenario.load * targets * 2 / 0.05
    spec = RigSpec(
        variant='broker',
        workspaces=(Workspace('all', rate, rate),),
        faults=(scenario.fault, _BACKGROUND),
        sigma=scenario.sigma,
        targets=targets,
        duration_s=scenario.duration_s,
        policy=NEVER_EJECT,
        on_attempt=rows.append,
    )
    Rig(spec, seed).run()
    rounded = [(round(row[0], 3), *row[1:5], round(row[5], 1)) for row in rows]
    rounded.sort()
    return Trace(name, seed, targets, scenario, tuple(rounded))


def write_trace(trace: Trace, path: Path) -> None:
    """Write a trace as JSON lines."""
    header = {
        'name': trace.name,
        'seed': trace.seed,
        'targets': trace.targets,
        'load': trace.scenario.load,
        'duration_s': trace.scenario.duration_s,
    }
    lines = [json.dumps(header)]
    lines.extend(json.dumps(row, separators=(',', ':')) for row in trace.rows)
    path.write_text('\n'.join((*lines, '')), encoding='utf-8')


def read_trace(path: Path) -> Trace:
    """Read a trace; the fault is looked up by the name in the header."""
    lines = path.read_text(encoding='utf-8').splitlines()
    header = json.loads(lines[0])
    scenario = scenarios()[header['name']]._replace(
        load=header['load'], duration_s=header['duration_s']
    )
    rows = tuple(tuple(json.loads(line)) for line in lines[1:])
    return Trace(
        name=header['name'],
        seed=header['seed'],
        targets=header['targets'],
        scenario=scenario,
        rows=rows,
    )


class Replay:
    """Feeds a trace to the health policy of one broker.

    An attempt is left out when the policy does not offer its target to its
    host at the time it starts.

    Parameters
    ----------
    trace : Trace
        The recorded attempts.
    policy : HealthPolicy
        The thresholds.
    """

    def __init__(self, trace: Trace, policy: HealthPolicy) -> None:
        self._trace = trace
        spec = RigSpec('broker', (), targets=trace.targets, policy=policy)
        self._health = ServiceHealth(service_of(spec))
        self._loop = EventLoop()
        self._ejections: list[tuple[float, str, float]] = []
        self._counts: dict[str, int] = {}
        self._flights: dict[int, InFlightRequest] = {}
        self._bad = 0
        self._last_bad = float(FAULT_START_S)

    def run(self) -> Outcome:
        """Replay the whole trace."""
        for number, row in enumerate(self._trace.rows):
            self._loop.at(row[0], partial(self._start, number, row))
        self._loop.every(0.05, self._tick)
        self._loop.run(self._trace.scenario.duration_s)
        fault = self._trace.scenario.fault
        partial_fault = bool(fault.zones or fault.hosts)
        faulty = frozenset() if partial_fault else fault.targets
        if fault.kind == 'limping' and len(fault.targets) > 1:
            faulty = frozenset()
        true = [item for item in self._ejections if item[1] in faulty]
        detected = self._avoided_at() if partial_fault else None
        if true:
            detected = true[0][0] - FAULT_START_S
        return Outcome(
            detection_s=detected,
            false_ejections=len(self._ejections) - len(true),
            ejections=len(true),
            bad_requests=self._bad,
            durations_s=tuple(round(item[2], 1) for item in true),
        )

    def _avoided_at(self) -> float | None:
        """Return when the affected paths stopped to be used."""
        quiet = self._trace.scenario.duration_s - self._last_bad
        return self._last_bad - FAULT_START_S if quiet > 1 else None

    def _start(self, number: int, row: tuple[Any, ...]) -> None:
        host, zone, target = row[1:4]
        now = self._loop.now
        offered = {
            candidate.target
            for candidate in self._health.candidates(host, now, (), ())
        }
        if target not in offered:
            return
        fault = self._trace.scenario.fault
        if fault.active(target, now) and fault.seen_by(host, zone):
            self._bad += 1
            self._last_bad = now
        self._flights[number] = InFlightRequest(host, zone, target, now)
        self._loop.after(row[5] / 1000, partial(self._end, number, row))

    def _end(self, number: int, row: tuple[Any, ...]) -> None:
        self._flights.pop(number)
        self._health.record_outcome(*row[1:6], self._loop.now)
        self._watch()

    def _tick(self) -> None:
        now = self._loop.now
        self._health.evaluate_in_flight(self._flights.values(), now)
        for name in self._health.probes_due(now):
            self._loop.after(0.025, partial(self._probed, name))
        self._watch()

    def _probed(self, name: str) -> None:
        scenario = self._trace.scenario
        truth = not scenario.fault.active(name, self._loop.now)
        if scenario.misleading:
            truth = scenario.misleading == 'healthy'
        self._health.record_probe(name, truth, self._loop.now)

    def _watch(self) -> None:
        for item in self._health.snapshot(self._loop.now):
            name = item['target']
            before = self._counts.get(name, 0)
            self._counts[name] = item['ejections']
            if item['ejections'] > before:
                ejection = (self._loop.now, name, item['until_s'])
                self._ejections.append(ejection)


def replay_all(
    traces: Iterable[Trace], policy: HealthPolicy = POLICY
) -> list[Outcome]:
    """Replay several traces with one policy."""
    return [Replay(trace, policy).run() for trace in traces]
