"""A service whose targets hang or fail in phases, placed under a test clock."""

from collections import Counter
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from oleanderridge.gateway.outcomes import Outcome
from oleanderridge.generated.fleet import Grant, Queued, Refused, Release
from tests.gateway_world import PlacementWorld, record

_STEP_S = 0.005
_WORK_S = 0.1
_LEFT_MS = 1200
_SAFE_PART = 0.3


class Send(NamedTuple):
    """One send; ``at`` is when it began."""

    at: float
    target: str
    is_sound: bool


class PlacedService:
    """Requests at a constant rate, targets that turn bad and well again.

    ``fails_s`` is after how long a bad target fails; a hang lasts until the
    request moves on or gives up.
    """

    def __init__(self, targets, rate, *, fails_s, seed=1):
        self._rng = Random(seed)
        self._names = [f't{place}' for place in range(targets)]
        records = (
            record(name, zone=f'z{place % 3}')
            for place, name in enumerate(self._names)
        )
        self.world = PlacementWorld(*records, seed=seed)
        self._rate = rate
        self._fails_s = fails_s
        self._bad_until = {}
        self._ends = []
        self._number = 0
        self.sends = []
        self.ended = Counter()

    def run(self, seconds, bad_part=0.3, phase_s=9.0):
        """Play some seconds; bad targets are redrawn as their phases end."""
        end = self.world.now + seconds
        due = 0.0
        while self.world.now < end:
            self._turn(bad_part, phase_s)
            self._finish()
            due += self._rate * _STEP_S
            while due >= 1:
                due -= 1
                self._arrive()
            self._take(self.world.placement.tick(self.world.now))
            self.world.now += _STEP_S

    def _turn(self, bad_part, phase_s):
        now = self.world.now
        bad = [name for name in self._names if self.is_bad(name)]
        while len(bad) < bad_part * len(self._names):
            name = self._rng.choice(sorted(set(self._names) - set(bad)))
            self._bad_until[name] = now + self._rng.uniform(0.3, 1.7) * phase_s
            bad.append(name)

    def is_bad(self, name):
        """Return whether a target is in its bad phase."""
        return self._bad_until.get(name, 0) > self.world.now

    def _arrive(self):
        zone = f'z{self._rng.randrange(3)}'
        unsafe = self._rng.random() > _SAFE_PART
        host = f'10.1.0.{self._rng.randrange(36)}'
        reply = self.world.acquire(
            zone=zone, host=host, unsafe=unsafe, left_ms=_LEFT_MS
        )
        self._take([(host, reply)])

    def _take(self, replies):
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
            took_s, outcome = self._fails_s, Outcome.FAILED
            if self._fails_s >= _LEFT_MS / 1000:
                took_s, outcome = (
                    (grant.move_ms or _LEFT_MS) / 1000,
                    Outcome.HUNG,
                )
        else:
            took_s, outcome = (
                self._rng.uniform(0.5, 1.5) * _WORK_S,
                Outcome.ANSWERED,
            )
        self._number += 1
        heappush(
            self._ends, (now + took_s, self._number, grant, outcome, took_s)
        )

    def _finish(self):
        while self._ends and self._ends[0][0] <= self.world.now:
            _, _, grant, outcome, took_s = heappop(self._ends)
            self.ended[outcome.name] += 1
            message = Release(grant.permit, outcome, int(took_s * 1000), 500)
            self._take(self.world.placement.release(message, self.world.now))

    def least_share_of_sound(self, span_s=2.0):
        """Return the least share of sound targets with requests in a span.

        Targets that are sound all the span count, from the second span on.
        """
        shares = []
        start = self.sends[0].at + span_s
        while start + span_s <= self.sends[-1].at:
            sends = [
                each for each in self.sends if start <= each.at < start + span_s
            ]
            bad = {each.target for each in sends if not each.is_sound}
            got = {each.target for each in sends}
            sound = set(self._names) - bad
            if sound:
                shares.append(len(got & sound) / len(sound))
            start += span_s / 2
        return min(shares)
