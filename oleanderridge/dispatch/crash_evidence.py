"""Tells requests that crash their targets, by what became of those targets."""

from __future__ import annotations

import math
from collections import deque
from typing import Final, NamedTuple

from oleanderridge.generated.fleet import BlockedRequest, CrashReport

# A request without a fingerprint is never suspected.
UNKNOWN_REQUEST: Final = 0

# Crashes one after the other that block a request, if no other request was at
# the same targets for as many of them, and those that block it in any case.
_BLOCKING_CRASHES: Final = 2
_BLOCKING_CRASHES_SHARED: Final = 3
# Sum of a request's shares in its crashes that blocks it with the former.
_BLOCKING_SHARE: Final = 1.0
# A first block lasts this long; each one that a further crash follows lasts
# longer by the factor.
_FIRST_BLOCK_S: Final = 10.0
_BLOCK_FACTOR: Final = 4
_MAX_BLOCK_S: Final = 3840.0
# After a block, one send in this time tries the request.
_TRIAL_S: Final = 5.0
# Evidence is dropped this long after the last crash or the end of the block.
_FORGET_S: Final = 600.0
_EXPIRE_INTERVAL_S: Final = 1.0
# An answer that is known this long after a target's end was made after it.
_ANSWER_DELAY_S: Final = 0.05
# Reports may misstate the order of events by this much.
_REPORT_TOLERANCE_S: Final = 0.01
# Hosts tell each other the crashes of this time, at most so many.
_REPORTED_S: Final = 3.0
_MAX_REPORTS: Final = 16
_MAX_BLOCKED_REPORTED: Final = 64
_MAX_REQUESTS: Final = 4096
_MAX_CRASHES: Final = 8
_MAX_TARGETS: Final = 1024
_MS: Final = 1000


class Crash(NamedTuple):
    """A target that ended while it had a request.

    Times are monotonic seconds; ``requests`` is how many it had then.
    """

    target: str
    born_ms: int
    started: float
    ended: float
    requests: int = 1


class CrashNews(NamedTuple):
    """What hosts tell each other."""

    crashes: list[CrashReport]
    blocked: list[BlockedRequest]


class _TargetEnd:
    """What is known of a target that seems to have ended."""

    def __init__(self) -> None:
        self.fingerprints: set[int] = set()
        self.refuted_at = -math.inf


class _Suspect:
    """What is known of one request."""

    def __init__(self) -> None:
        self.crashes: list[Crash] = []
        self.answered_at = -math.inf
        self.blocked_at = -math.inf
        self.blocked_until = -math.inf
        self.block_s: float = 0
        self.tried_at = math.inf
        self.forget_at: float = 0

    def block(self, at: float, until: float, block_s: float) -> None:
        """Block the request."""
        self.blocked_at = at
        self.blocked_until = until
        self.block_s = block_s
        self.tried_at = math.inf
        self.forget_at = max(self.forget_at, until + _FORGET_S)


class CrashEvidence:
    """Crashes by request, of all hosts.

    A request is told by its fingerprint, so that it is known again at another
    host. An answer clears it. A target that ends while it has several requests
    blames each in part, and crashes at the same time count as one, so that a
    target or a rack that fails blames nobody alone.
    """

    def __init__(self) -> None:
        self._suspect_by_fingerprint: dict[int, _Suspect] = {}
        self._end_by_target: dict[tuple[str, int], _TargetEnd] = {}
        self._recent: deque[tuple[int, Crash]] = deque(maxlen=_MAX_REPORTS)
        self._blocked: dict[int, _Suspect] = {}
        self._expires_at: float = 0

    def record_crash(self, fingerprint: int, crash: Crash, now: float) -> bool:
        """Record a target that ended while it had a request.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request.
        crash : Crash
            The target and the time of the send.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether this blocks the request.
        """
        if fingerprint == UNKNOWN_REQUEST:
            return False
        instance = crash.target, crash.born_ms
        end = self._end_of(instance)
        if crash.ended <= end.refuted_at:
            return False
        end.fingerprints.add(fingerprint)
        suspect = self._suspect(fingerprint)
        known = {(each.target, each.born_ms) for each in suspect.crashes}
        if instance in known or crash.ended <= suspect.answered_at:
            return False
        suspect.crashes.append(crash)
        self._recent.append((fingerprint, crash))
        del suspect.crashes[:-_MAX_CRASHES]
        suspect.forget_at = max(suspect.forget_at, now + _FORGET_S)
        if not self._block_if_guilty(suspect, now):
            return False
        self._blocked[fingerprint] = suspect
        # The oldest suspects are forgotten first when there are too many.
        del self._suspect_by_fingerprint[fingerprint]
        self._suspect_by_fingerprint[fingerprint] = suspect
        return True

    def record_answer(self, fingerprint: int, now: float) -> None:
        """Clear a request that a target has answered."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is not None:
            suspect.crashes.clear()
            suspect.answered_at = now
            suspect.block(-math.inf, -math.inf, 0)

    def record_target_answer(
        self, target: str, born_ms: int, now: float
    ) -> None:
        """Drop the crashes of a target that has answered since.

        A host whose path to it is refused takes it for ended.

        Parameters
        ----------
        target : str
            Its id.
        born_ms : int
            Unix time of its start in milliseconds.
        now : float
            Monotonic seconds at which its answer is known.
        """
        end = self._end_by_target.get((target, born_ms))
        if end is None:
            return
        for fingerprint in end.fingerprints:
            suspect = self._suspect_by_fingerprint.get(fingerprint)
            if suspect is not None:
                self._drop_crash(suspect, (target, born_ms), now)
        end.refuted_at = now - _ANSWER_DELAY_S

    def record_refusal(self, fingerprint: int, now: float) -> None:
        """Record that another host refuses a request that crashes targets.

        That host may end before its heartbeat tells so. Other hosts are not
        told, since each refusal would then prolong the block.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request.
        now : float
            Monotonic seconds.
        """
        if fingerprint == UNKNOWN_REQUEST:
            return
        suspect = self._suspect(fingerprint)
        if now >= suspect.blocked_until:
            suspect.block(now, now + _FIRST_BLOCK_S, _FIRST_BLOCK_S)

    def is_blocked(
        self, fingerprint: int, now: float, *, cautious: bool = False
    ) -> bool:
        """Return whether a request must not be sent now.

        Parameters
        ----------
        fingerprint : int
            Its fingerprint.
        now : float
            Monotonic seconds.
        cautious : bool
            Whether one crash is enough, for a host that may not know of others.

        Returns
        -------
        bool
            False if nothing is known of it.
        """
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return False
        return now < suspect.blocked_until or (
            cautious and bool(suspect.crashes)
        )

    def begin_trial(self, fingerprint: int, now: float) -> None:
        """Hold back others while a request that was blocked is tried."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is not None and suspect.block_s:
            suspect.blocked_until = now + _TRIAL_S
            suspect.tried_at = now

    def news(self, now: float) -> CrashNews:
        """Return what other hosts may not know yet."""
        self._blocked = {
            fingerprint: suspect
            for fingerprint, suspect in self._blocked.items()
            if now < suspect.blocked_until
        }
        crashes = [
            _to_report(fingerprint, crash, now)
            for fingerprint, crash in self._recent
            if now - crash.ended < _REPORTED_S
            and crash in self._crashes_of(fingerprint)
        ]
        blocked = [
            BlockedRequest(
                fingerprint,
                _to_ms(now - suspect.blocked_at),
                _to_ms(suspect.blocked_until - now),
                _to_ms(suspect.block_s),
            )
            for fingerprint, suspect in self._blocked.items()
        ]
        return CrashNews(crashes, blocked[-_MAX_BLOCKED_REPORTED:])

    def merge(self, news: CrashNews, now: float) -> None:
        """Adopt what another host knows."""
        for report in news.crashes:
            ended = now - report.age_ms / _MS
            started = ended - report.ran_ms / _MS
            crash = Crash(
                report.target, report.born_ms, started, ended, report.requests
            )
            self.record_crash(report.fingerprint, crash, now)
        for block in news.blocked:
            suspect = self._suspect(block.fingerprint)
            blocked_at = now - block.age_ms / _MS
            until = now + min(_MAX_BLOCK_S, block.left_ms / _MS)
            known_until = max(suspect.answered_at, suspect.blocked_until)
            if blocked_at > suspect.answered_at and until > known_until:
                suspect.block(blocked_at, until, block.block_ms / _MS)
                self._blocked[block.fingerprint] = suspect

    def expire(self, now: float) -> None:
        """Forget requests of which nothing was heard for long."""
        if now < self._expires_at:
            return
        self._expires_at = now + _EXPIRE_INTERVAL_S
        forgotten = [
            fingerprint
            for fingerprint, suspect in self._suspect_by_fingerprint.items()
            if suspect.forget_at <= now
        ]
        for fingerprint in forgotten:
            del self._suspect_by_fingerprint[fingerprint]

    def _block_if_guilty(self, suspect: _Suspect, now: float) -> bool:
        if suspect.block_s:
            # Sends that were on their way when it was blocked prolong nothing.
            tried_from = min(suspect.tried_at, suspect.blocked_until)
            if suspect.crashes[-1].started < tried_from:
                return False
        elif not self._is_guilty(suspect):
            return False
        block_s = suspect.block_s * _BLOCK_FACTOR or _FIRST_BLOCK_S
        block_s = min(_MAX_BLOCK_S, block_s)
        suspect.block(now, now + block_s, block_s)
        return True

    def _is_guilty(self, suspect: _Suspect) -> bool:
        count = 0
        share: float = 0
        last_ended = -math.inf
        for crash in sorted(suspect.crashes, key=_time_of_end):
            if crash.started < last_ended - _REPORT_TOLERANCE_S:
                continue
            count += 1
            last_ended = crash.ended
            instance = crash.target, crash.born_ms
            blamed = self._end_of(instance).fingerprints
            share += 1 / max(1, len(blamed), crash.requests)
        if count >= _BLOCKING_CRASHES_SHARED:
            return True
        return count >= _BLOCKING_CRASHES and share >= _BLOCKING_SHARE

    def _crashes_of(self, fingerprint: int) -> list[Crash]:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        return [] if suspect is None else suspect.crashes

    def _suspect(self, fingerprint: int) -> _Suspect:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            suspect = _Suspect()
            self._suspect_by_fingerprint[fingerprint] = suspect
            while len(self._suspect_by_fingerprint) > _MAX_REQUESTS:
                oldest = next(iter(self._suspect_by_fingerprint))
                del self._suspect_by_fingerprint[oldest]
        return suspect

    def _drop_crash(
        self, suspect: _Suspect, instance: tuple[str, int], now: float
    ) -> None:
        suspect.crashes = [
            crash
            for crash in suspect.crashes
            if (crash.target, crash.born_ms) != instance
            or crash.ended > now - _ANSWER_DELAY_S
        ]
        if suspect.block_s and not self._is_guilty(suspect):
            suspect.answered_at = now
            suspect.block(-math.inf, -math.inf, 0)

    def _end_of(self, instance: tuple[str, int]) -> _TargetEnd:
        known = self._end_by_target
        if instance not in known:
            known[instance] = _TargetEnd()
        end = known[instance]
        while len(known) > _MAX_TARGETS:
            del known[next(iter(known))]
        return end


def _time_of_end(crash: Crash) -> float:
    return crash.ended


def _to_ms(seconds: float) -> int:
    return max(0, int(seconds * _MS))


def _to_report(fingerprint: int, crash: Crash, now: float) -> CrashReport:
    return CrashReport(
        fingerprint,
        crash.target,
        crash.born_ms,
        _to_ms(now - crash.ended),
        _to_ms(crash.ended - crash.started),
        crash.requests,
    )
