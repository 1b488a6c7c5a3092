"""Targets with slots, a queue and injected faults."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import log
from random import Random
from typing import Final, NamedTuple

from bench.model.clock import EventLoop

CONNECT_S: Final = 0.001
CONNECT_TIMEOUT_S: Final = 0.5
_QUICK_ANSWER_S: Final = 0.002
_NEVER: Final = float('inf')

Done = Callable[[str, float], None]


class Fault(NamedTuple):
    """A fault of some targets in a span of time.

    ``kind`` is ``limping`` (service time times ``factor``), ``short``,
    ``reset``, ``timeout``, ``unreachable``, ``draining``, ``cold`` (service
    time falls from ``factor`` to one over the span) or ``none``.
    ``share`` is the part of the requests that is affected, ``period_s``
    makes the fault come and go, ``zones`` and ``hosts`` limit who sees it.
    """

    kind: str
    targets: frozenset[str]
    start: float
    end: float = _NEVER
    factor: float = 8
    share: float = 1
    period_s: float = 0
    zones: frozenset[str] = frozenset()
    hosts: frozenset[str] = frozenset()

    def active(self, target: str, now: float) -> bool:
        """Return whether the target is affected for some caller."""
        if target not in self.targets or not self.start <= now < self.end:
            return False
        if not self.period_s:
            return True
        return (now - self.start) % self.period_s < self.period_s / 2

    def seen_by(self, host: str, zone: str) -> bool:
        """Return whether the fault affects requests of a host."""
        if self.zones and zone not in self.zones:
            return False
        return not self.hosts or host in self.hosts


class ServiceTime(NamedTuple):
    """Distribution of the service time: exponential or log-normal.

    ``sigma`` is the shape of the log-normal form; zero means exponential.
    """

    mean_s: float
    sigma: float = 0

    def draw(self, rng: Random) -> float:
        """Return one service time in seconds."""
        if not self.sigma:
            return rng.expovariate(1 / self.mean_s)
        mu = log(self.mean_s) - self.sigma**2 / 2
        return rng.lognormvariate(mu, self.sigma)


class _Job:
    """One request at a target."""

    def __init__(self, kind: str, deadline: float, done: Done) -> None:
        self.kind = kind
        self.deadline = deadline
        self.done = done
        self.arrived: float = 0
        self.finished = False


class ModelTarget:
    """One target.

    Parameters
    ----------
    name : str
        Name of the target.
    slots : int
        Requests that it serves at the same time.
    service_time : ServiceTime
        Distribution of the service time without a fault.
    shed_limit : int
        Requests that wait before further ones are shed.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        service_time: ServiceTime,
        shed_limit: int,
    ) -> None:
        self.name = name
        self.sheds = 0
        self._slots = slots
        self._service_time = service_time
        self._shed_limit = shed_limit
        self._busy = 0
        self._queue: deque[_Job] = deque()
        self._loop = EventLoop()
        self._rng = Random(0)
        self._faults: tuple[Fault, ...] = ()

    def attach(
        self, loop: EventLoop, rng: Random, faults: tuple[Fault, ...]
    ) -> None:
        """Place the target on a clock with its faults."""
        self._loop = loop
        self._rng = rng
        self._faults = faults

    def probe(self) -> bool:
        """Return what an honest health endpoint answers."""
        return not any(
            fault.active(self.name, self._loop.now)
            and not (fault.zones or fault.hosts)
            for fault in self._faults
        )

    def send(self, host: str, zone: str, deadline: float, done: Done) -> None:
        """Receive one request; ``done`` gets outcome and milliseconds."""
        fault = self._fault(host, zone)
        kind = 'none' if fault is None else fault.kind
        job = _Job(kind, deadline, done)
        job.arrived = self._loop.now
        if kind == 'unreachable':
            self._end_after(job, CONNECT_TIMEOUT_S, 'connect-failed')
        elif kind == 'reset':
            self._end_after(job, _QUICK_ANSWER_S, 'reset')
        elif self._busy < self._slots:
            self._start(job)
        elif len(self._queue) >= self._shed_limit:
            self.sheds += 1
            self._end_after(job, _QUICK_ANSWER_S, 'shed')
        else:
            self._queue.append(job)
            self._loop.at(deadline, lambda: self._end(job, 'timeout'))

    def _fault(self, host: str, zone: str) -> Fault | None:
        for fault in self._faults:
            applies = fault.active(self.name, self._loop.now)
            if not applies or not fault.seen_by(host, zone):
                continue
            if fault.share >= 1 or self._rng.random() < fault.share:
                return fault
        return None

    def _start(self, job: _Job) -> None:
        self._busy += 1
        duration = self._service_time.draw(self._rng)
        duration *= self._slowness()
        if job.kind == 'timeout':
            duration = _NEVER
        left = job.deadline - self._loop.now
        outcome = {'short': 'short', 'draining': 'draining'}.get(job.kind, 'ok')
        if duration + CONNECT_S > left:
            duration = max(0, left - CONNECT_S)
            outcome = 'timeout'

        def finish() -> None:
            self._busy -= 1
            self._end(job, outcome)
            self._next()

        self._loop.after(duration + CONNECT_S, finish)

    def _slowness(self) -> float:
        now = self._loop.now
        slowness: float = 1
        for fault in self._faults:
            if not fault.active(self.name, now):
                continue
            if fault.kind == 'limping':
                slowness *= fault.factor
            elif fault.kind == 'cold':
                left = (fault.end - now) / (fault.end - fault.start)
                slowness *= 1 + (fault.factor - 1) * left
        return slowness

    def _next(self) -> None:
        while self._queue and self._busy < self._slots:
            job = self._queue.popleft()
            if not job.finished:
                self._start(job)

    def _end_after(self, job: _Job, delay: float, outcome: str) -> None:
        self._loop.after(delay, lambda: self._end(job, outcome))

    def _end(self, job: _Job, outcome: str) -> None:
        if not job.finished:
            job.finished = True
            job.done(outcome, (self._loop.now - job.arrived) * 1000)
