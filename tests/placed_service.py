"""Simulation of a placement whose targets hang or fail in phases."""

from collections import Counter
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from oleanderridge.gateway.outcomes import Outcome
from oleanderridge.generated.fleet import Grant, Queued, Refused, Release
from tests.gateway_world import PlacementWorld, record

_STEP_S = 0.005
_SERVICE_TIME_S = 0.1
_LEFT_MS = 1200
_IDEMPOTENT_SHARE = 0.3


class Send(NamedTuple):
    """One request sent to a target; ``at`` is its start time."""

    at: float
    target: str
    is_sound: bool


class PlacedService:
    """Requests at a constant rate to targets that fail and recover.

    ``failure_latency_s`` is the time after which a bad target fails. From
    ``_LEFT_MS`` on the target hangs until the request fails over or times
    out.
    """

    def __init__(self, targets, rate, *, failure_latency_s, seed=1):
        self._rng = Random(seed)
        self._names = [f't{index}' for index in range(targets)]
        records = (
            record(name, zone=f'z{index % 3}')
            for index, name in enumerate(self._names)
        )
        self.world = PlacementWorld(*records, seed=seed)
        self._rate = rate
        self._failure_latency_s = failure_latency_s
        self._bad_until = {}
        self._completions = []
        self._sequence = 0
        self.sends = []
        self.ended = Counter()

    def run(self, seconds, bad_fraction=0.3, phase_s=9.0):
        """Simulate some seconds; new bad targets replace recovered ones."""
        end = self.world.now + seconds
        arrivals_due = 0.0
        while self.world.now < end:
            self._update_bad_targets(bad_fraction, phase_s)
            self._complete_due()
            arrivals_due += self._rate * _STEP_S
            while arrivals_due >= 1:
                arrivals_due -= 1
                self._arrive()
            self._handle_replies(self.world.placement.tick(self.world.now))
            self.world.now += _STEP_S

    def _update_bad_targets(self, bad_fraction, phase_s):
        now = self.world.now
        bad = [name for name in self._names if self.is_bad(name)]
        while len(bad) < bad_fraction * len(self._names):
            name = self._rng.choice(sorted(set(self._names) - set(bad)))
            self._bad_until[name] = now + self._rng.uniform(0.3, 1.7) * phase_s
            bad.append(name)

    def is_bad(self, name):
        """Return whether a target is in its bad phase."""
        return self._bad_until.get(name, 0) > self.world.now

    def _arrive(self):
        zone = f'z{self._rng.randrange(3)}'
        unsafe = self._rng.random() > _IDEMPOTENT_SHARE
        host = f'10.1.0.{self._rng.randrange(36)}'
        reply = self.world.acquire(
            zone=zone, host=host, unsafe=unsafe, left_ms=_LEFT_MS
        )
        self._handle_replies([(host, reply)])

    def _handle_replies(self, replies):
        for _, reply in replies:
            if isinstance(reply, Grant):
                self._send(reply)
            elif isinstance(reply, Refused):
                self.ended['refused'] += 1
            else:
                assert isinstance(reply, Queued)

    def _send(self, grant):
        now = self.world.now
        bad = self.is_bad(grant.target)
        self.sends.append(Send(now, grant.target, not bad))
        if bad and self._rng.random() < 0.75:
            took_s, outcome = self._failure_latency_s, Outcome.FAILED
            if self._failure_latency_s >= _LEFT_MS / 1000:
                took_s, outcome = (
                    (grant.move_ms or _LEFT_MS) / 1000,
                    Outcome.HUNG,
                )
        else:
            took_s, outcome = (
                self._rng.uniform(0.5, 1.5) * _SERVICE_TIME_S,
                Outcome.ANSWERED,
            )
        self._sequence += 1
        heappush(
            self._completions,
            (now + took_s, self._sequence, grant, outcome, took_s),
        )

    def _complete_due(self):
        while self._completions and self._completions[0][0] <= self.world.now:
            _, _, grant, outcome, took_s = heappop(self._completions)
            self.ended[outcome.name] += 1
            message = Release(grant.permit, outcome, int(took_s * 1000), 500)
            self._handle_replies(
                self.world.placement.release(message, self.world.now)
            )

    def min_share_of_sound_targets(self, window_s=2.0):
        """Return the minimum share of sound targets that received requests.

        The minimum is taken over overlapping time windows after the first.
        Only targets that got no request while bad in a window count as sound.
        """
        shares = []
        start = self.sends[0].at + window_s
        while start + window_s <= self.sends[-1].at:
            sends = [
                each
                for each in self.sends
                if start <= each.at < start + window_s
            ]
            bad = {each.target for each in sends if not each.is_sound}
            served = {each.target for each in sends}
            sound = set(self._names) - bad
            if sound:
                shares.append(len(served & sound) / len(sound))
            start += window_s / 2
        return min(shares)
