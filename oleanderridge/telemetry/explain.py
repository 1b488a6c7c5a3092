"""Finds the way of one request, and what was believed, in log lines."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from typing import Final, NamedTuple

_PAIR: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')

# Lines on a target, a host, the store or the configuration that came before
# the request's end by no more than this many seconds explain it.
_BEFORE_S: Final = 15.0
_BELIEF_EVENTS: Final = frozenset(
    (
        'target-stated',
        'target-gone',
        'target-removal-postponed',
        'target-doubted',
        'target-trusted',
    )
)
_HOST_EVENTS: Final = frozenset(
    (
        'configuration-in-force',
        'configuration-rejected',
        'store-lost',
        'store-regained',
        'hosts-restored',
        'leader-changed',
        'leader-unanswering',
        'host-leaving',
        'drain-ended',
        'host-alone',
        'host-joined',
        'host-started',
        'host-ready',
        'log-lines-dropped',
    )
)


class LogLine(NamedTuple):
    """One parsed line; ``at`` is in seconds of the day."""

    at: float
    fields: dict[str, str]


def parse_line(line: str) -> LogLine | None:
    """Return the fields of a line, or None when it has no time or event.

    Parameters
    ----------
    line : str
        A line of key=value pairs; what stands before them is passed over.

    Returns
    -------
    LogLine or None
        Values without their quotes.
    """
    fields = {}
    for name, value in _PAIR.findall(line):
        fields[name] = _unquoted(value)
    at = _seconds(fields.get('time', ''))
    if at is None or 'event' not in fields:
        return None
    return LogLine(at, fields)


def explain(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines that tell what became of a request.

    Parameters
    ----------
    request_id : str
        Id that the caller sent.
    lines : iterable of str
        Log lines of any number of hosts, in any order.

    Returns
    -------
    list of LogLine
        In order of time: the request's own lines, those on its permits, and
        what changed at its host, its leader and its targets shortly before.
    """
    parsed = [line for line in map(parse_line, lines) if line is not None]
    own = [line for line in parsed if line.fields.get('id') == request_id]
    if not own:
        return []
    first = min(line.at for line in own)
    last = max(line.at for line in own)
    hosts = {line.fields.get('host') for line in own}
    permits = {line.fields.get('permit') for line in own} - {None}
    targets = {line.fields.get('target') for line in own} - {None}
    found = [
        line
        for line in parsed
        if first - _BEFORE_S <= line.at <= last
        and _is_context(line.fields, hosts, permits, targets)
    ]
    own_places = {id(line) for line in own}
    found = [line for line in found if id(line) not in own_places]
    return sorted((*found, *own), key=_time_of)


def _unquoted(value: str) -> str:
    if value[0] != '"':
        return value
    try:
        return json.loads(value)
    except ValueError:
        # A damaged line is shown as it stands.
        return value


def _time_of(line: LogLine) -> float:
    return line.at


def _is_context(
    fields: dict[str, str],
    hosts: set[str | None],
    permits: set[str | None],
    targets: set[str | None],
) -> bool:
    if fields.get('permit') in permits:
        return True
    event = fields['event']
    if event in _BELIEF_EVENTS and fields.get('target') in targets:
        return True
    return event in _HOST_EVENTS and fields.get('host') in hosts


def _seconds(time: str) -> float | None:
    clock = time.rpartition(' ')[2].replace(',', '.')
    parts = clock.split(':')
    try:
        hours, minutes, seconds = (float(part) for part in parts)
    except ValueError:
        return None
    return hours * 3600 + minutes * 60 + seconds
