"""Schedules of a random fault search; a pure function of the seed."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

HOSTS = ('host-a', 'host-b', 'host-c', 'host-d')
SPARES = ('host-e', 'host-f')
TARGETS = tuple(f'target-{index}' for index in range(5))
WORKSPACES = tuple(f'workspace-{letter}' for letter in 'abcdefgh')
# The workspace with several times its rate; its key stays valid.
HEAVY = 'workspace-b'
_FIRST_S = 1.0
_GAP_S = 1.1
# Longer than every bound of the fast settings: the longest is the service
# timeout of 3 s.
_PAUSE_S = (4.0, 6.0)
_FAULT_S = (2.0, 7.0)
# A new process needs its start, the join and the hold time before it is
# back at work.
_RECOVERY_S = 6.0
_STOP_S = 9.0
# The withdrawal bound of 17 s has to pass within the run.
_ROLL_OUT_S = 17.0
# Two of four hosts may be down or paused at a time; with three, a lease is
# impossible and the run would only show refusals.
_HOSTS_AWAY = 2
# Part of the cuts that separate one pair instead of a host from all others.
_PAIR_SHARE = 0.5

TARGET_FAULTS: tuple[dict[str, Any], ...] = (
    {'slow': 40},
    {'half': 'length'},
    {'half': 'chunked'},
    {'reset': 'after'},
    {'reset': 'before'},
    {'late_s': 4},
    {'crossed': True},
    {'crossed': True, 'late_s': 0.5},
    {'stray': True},
    {'refuse': True},
    {'refuse': True, 'flap_s': 0.7},
    {'half': 'length', 'flap_s': 0.7},
    {'status': 503, 'health': 'up'},
)


class Event(NamedTuple):
    """One action at ``at`` seconds after the start of the load."""

    at: float
    action: str
    arguments: tuple[Any, ...] = ()


class _Draft:
    """Events drawn so far and the names that are free for more."""

    def __init__(self, rng: Random, seconds: float) -> None:
        self.rng = rng
        self.seconds = seconds
        self.events: list[Event] = []
        self.free_at: dict[str, float] = dict.fromkeys(HOSTS, 0)
        self.spares = list(SPARES)
        self.busy_until: dict[str, float] = {}
        self.withdrawn = False

    def add(self, at: float, action: str, *arguments: Any) -> None:
        """Add an event; what would come after the end is left to healing."""
        if at < self.seconds:
            self.events.append(Event(round(at, 2), action, arguments))

    def end(self, at: float, span: tuple[float, float] = _FAULT_S) -> float:
        """Draw the end of a fault."""
        return at + self.rng.uniform(*span)

    def claim(self, at: float, name: str) -> float:
        """Return a drawn end, or 0 when the named fault is in force."""
        if self.busy_until.get(name, 0) > at:
            return 0
        self.busy_until[name] = self.end(at)
        return self.busy_until[name]

    def host(self, at: float) -> str:
        """Return a host that is up, or an empty name."""
        free = [name for name, until in self.free_at.items() if until <= at]
        if len(self.free_at) - len(free) >= _HOSTS_AWAY:
            return ''
        return self.rng.choice(free)


def _kill_same(draft: _Draft, at: float) -> None:
    host = draft.host(at)
    if host:
        back = draft.end(at, (0.2, 4))
        draft.add(at, 'kill', host)
        draft.add(back, 'start', host)
        draft.free_at[host] = back + _RECOVERY_S


def _kill_new(draft: _Draft, at: float) -> None:
    host = draft.host(at)
    if host:
        new = draft.spares.pop(0)
        draft.spares.append(host)
        back = draft.end(at, (0.2, 3))
        draft.add(at, 'kill', host)
        draft.add(back, 'replace', host, new)
        draft.free_at.pop(host)
        draft.free_at[new] = back + _RECOVERY_S


def _stop(draft: _Draft, at: float) -> None:
    host = draft.host(at)
    if host:
        draft.add(at, 'stop', host)
        draft.free_at[host] = at + _STOP_S + _RECOVERY_S


def _pause(draft: _Draft, at: float) -> None:
    host = draft.host(at)
    if host:
        back = draft.end(at, _PAUSE_S)
        draft.add(at, 'pause', host)
        draft.add(back, 'wake', host)
        draft.free_at[host] = back + 1


def _cut(draft: _Draft, at: float) -> None:
    """Cut a pair of hosts, or one host from all others."""
    names = list(draft.free_at)
    host = draft.rng.choice(names)
    others = [name for name in names if name != host]
    if draft.rng.random() < _PAIR_SHARE:
        others = [draft.rng.choice(others)]
    ways = draft.rng.choice((('out',), ('in',), ('out', 'in')))
    fault = draft.rng.choice(('silence', 'silence', 'cut'))
    links = []
    for other in others:
        if 'out' in ways:
            links.append(f'peer-{host}-{other}')
        if 'in' in ways:
            links.append(f'peer-{other}-{host}')
    until = draft.end(at)
    draft.add(at, 'cut', fault, *links)
    draft.add(until, 'join', *links)


def _platform(draft: _Draft, at: float) -> None:
    mode = draft.rng.choice(('down', 'stale', 'paused'))
    until = draft.claim(at, 'platform')
    if until:
        draft.add(at, 'platform', mode)
        draft.add(until, 'platform', 'up')


def _platform_cut(draft: _Draft, at: float) -> None:
    """Cut the platform from one host at a time, in one of two ways."""
    link = f'platform-{draft.rng.choice(list(draft.free_at))}'
    until = draft.claim(at, 'platform-cut')
    if until:
        draft.add(at, 'cut', draft.rng.choice(('silence', 'cut')), link)
        draft.add(until, 'join', link)


def _target(draft: _Draft, at: float) -> None:
    target = draft.rng.choice(TARGETS)
    faults = draft.rng.choice(TARGET_FAULTS)
    until = draft.claim(at, target)
    if until:
        draft.add(at, 'target', target, faults)
        draft.add(until, 'target', target, {})


def _drain(draft: _Draft, at: float) -> None:
    target = draft.rng.choice(TARGETS)
    until = draft.claim(at, f'drain-{target}')
    if until:
        draft.add(at, 'drain', target, 'on')
        draft.add(until, 'drain', target, 'off')


def _withdraw(draft: _Draft, at: float) -> None:
    names = [name for name in WORKSPACES if name != HEAVY]
    workspace = draft.rng.choice(names[:-1])
    if not draft.withdrawn and at < draft.seconds - _ROLL_OUT_S:
        draft.withdrawn = True
        draft.add(at, 'withdraw', workspace)


def _rate(draft: _Draft, at: float) -> None:
    workspace = draft.rng.choice((HEAVY, HEAVY, *WORKSPACES))
    draft.add(at, 'rate', workspace, draft.rng.choice((0.4, 0.5, 1, 1, 2)))


def _stale_list(draft: _Draft, at: float) -> None:
    draft.add(at, 'stale-list', draft.rng.randrange(3))


_ACTIONS: tuple[Callable[[_Draft, float], None], ...] = (
    _kill_same,
    _kill_new,
    _stop,
    _pause,
    _pause,
    _cut,
    _cut,
    _cut,
    _platform,
    _platform_cut,
    _target,
    _target,
    _target,
    _drain,
    _withdraw,
    _rate,
    _rate,
    _stale_list,
)


def schedule(seed: int, seconds: float) -> tuple[Event, ...]:
    """Draw the events of a run.

    Parameters
    ----------
    seed : int
        The only source of randomness.
    seconds : float
        Length of the run; healing follows it.

    Returns
    -------
    tuple of Event
        In order of time; faults overlap, and one that would end after the
        run is ended by healing.
    """
    rng = Random(seed)
    draft = _Draft(rng, seconds)
    at = _FIRST_S
    while at < seconds - 1:
        rng.choice(_ACTIONS)(draft, at)
        at += rng.expovariate(1 / _GAP_S)
    return tuple(sorted(draft.events, key=lambda event: event.at))
