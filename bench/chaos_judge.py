"""Judges a random fault search by the targets' execution records."""

from __future__ import annotations

import json
from bisect import insort
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from bench.load import CHART, Attempt, Operation, judge_orders

ROLL_OUT_S = 17.0
# The longest time between an admission and a start at a target. A host
# drops a request at its deadline, which is the service timeout (3 s at
# most); the target measures the rest of the deadline from the arrival, so
# bytes that wait in a socket buffer can add the same time once more.
QUEUE_WAIT_S = 6.0
# The caller notes when it decides to send; connecting takes a moment more.
_CONNECT_S = 0.1
_CUT_KINDS = frozenset(('broken', 'timeout', 'unreachable'))
_PENDING = float('inf')


class Published(NamedTuple):
    """Rate and burst of a workspace in one version.

    ``until`` is when the next version could be read, ``inf`` for the last.
    """

    since: float
    until: float
    rate: float
    burst: float


class Stop(NamedTuple):
    """One graceful stop; ``status`` is None when it took too long."""

    host: str
    signalled_at: float
    status: int | None


class Evidence(NamedTuple):
    """What a run left behind; times are monotonic seconds.

    ``withdrawn`` holds when the withdrawal of a workspace's key could be
    read; ``breaking`` the periods in which targets broke charts.
    """

    operations: Sequence[Operation]
    records: Sequence[dict[str, Any]]
    keys: Sequence[str]
    rates: dict[str, list[Published]]
    withdrawn: dict[str, float]
    stops: Sequence[Stop]
    breaking: Sequence[tuple[float, float]]
    chart_bytes: int
    resolve_ttl_s: float


def _order_findings(evidence: Evidence) -> Iterable[str]:
    executions: dict[str, dict[str, int]] = {}
    for record in evidence.records:
        found = executions.setdefault(
            record['operation'], {'started': 0, 'completed': 0}
        )
        found['started'] += 1
        found['completed'] += record['completed']
    verdict = judge_orders(evidence.operations, executions)
    for doubled in verdict.doubled:
        yield f'order {doubled} ran twice'
    for lost in verdict.lost:
        yield f'order {lost} was answered or refused untruthfully'


def _refused_id(attempt: Attempt) -> str:
    """Return the request id that a refusal states."""
    try:
        return json.loads(attempt.body).get('request_id', '')
    except ValueError:
        return ''


def _refusal_findings(evidence: Evidence) -> Iterable[str]:
    executed = {record['request_id'] for record in evidence.records}
    operations = {record['operation'] for record in evidence.records}
    for operation in evidence.operations:
        if operation.outcome == 'refused' and operation.id in operations:
            yield f'{operation.kind} {operation.id} was refused and ran'
        for attempt in operation.attempts:
            if attempt.kind != 'refused':
                continue
            request_id = _refused_id(attempt)
            if not request_id:
                yield f'a refusal names no request: {attempt}'
            elif request_id in executed:
                yield (
                    f'request {request_id} of {operation.kind} '
                    f'{operation.id} was refused as {attempt.reason} by '
                    f'{attempt.host} and ran'
                )


def _answer_findings(evidence: Evidence) -> Iterable[str]:
    for operation in evidence.operations:
        for attempt in operation.attempts:
            if attempt.kind in {'short', 'wrong'}:
                yield (
                    f'{operation.kind} {operation.id} got a {attempt.kind} '
                    f'answer from {attempt.host}: {attempt.body[:80]!r}'
                )
            elif attempt.kind == 'answered':
                yield from _content_findings(evidence, operation, attempt)


def _content_findings(
    evidence: Evidence, operation: Operation, attempt: Attempt
) -> Iterable[str]:
    """Check every byte of an answer that the caller took as complete."""
    line, _, padding = attempt.body.partition(b'\n')
    size = evidence.chart_bytes if operation.kind == CHART else 0
    expected = max(size, len(line) + 1)
    padded = padding == b'.' * len(padding)
    if len(attempt.body) != expected or not padded:
        yield f'{operation.kind} {operation.id}: the body is not its answer'
    if operation.id not in line.decode(errors='replace').split(' '):
        yield f'{operation.kind} {operation.id}: the answer is foreign'


def _key_findings(evidence: Evidence) -> Iterable[str]:
    for record in evidence.records:
        text = repr(record)
        for key in evidence.keys:
            if key in text:
                yield f'request {record["request_id"]} carries {key}'


def _withdrawal_findings(
    evidence: Evidence, workspaces: dict[str, str]
) -> Iterable[str]:
    for record in evidence.records:
        name = workspaces.get(record['operation'], '')
        since = evidence.withdrawn.get(name, _PENDING)
        late_s = record['started_at'] - since
        if late_s > ROLL_OUT_S:
            yield (
                f'request {record["request_id"]} of {name} ran {late_s:.1f} s '
                'after its key was withdrawn'
            )


def _allowed(published: Sequence[Published], since: float, to: float) -> float:
    """Return how many admissions a window allows at most.

    The largest rate and the largest burst that can be in force count.
    """
    force = [
        one
        for one in published
        if one.since <= to and one.until + ROLL_OUT_S >= since
    ]
    rate = max(one.rate for one in force)
    return rate * (to - since) + max(one.burst for one in force)


def rate_findings(
    name: str, starts: Sequence[float], published: Sequence[Published]
) -> list[str]:
    """Check the starts of one workspace in every window.

    Parameters
    ----------
    name : str
        The workspace.
    starts : sequence of float
        First start of every request, in order.
    published : sequence of Published
        All versions of its rate.

    Returns
    -------
    list of str
        At most one finding, for the window with the largest excess. Starts
        in a window were admitted at most ``QUEUE_WAIT_S`` before it.
    """
    excess_max: float = 0
    finding = ''
    for first, opened in enumerate(starts):
        for count, closed in enumerate(starts[first:], 1):
            allowed = _allowed(published, opened - QUEUE_WAIT_S, closed)
            if count - allowed > excess_max:
                excess_max = count - allowed
                finding = (
                    f'{name}: {count} starts within {closed - opened:.2f} s, '
                    f'allowed {allowed:.1f}'
                )
    return [finding] if finding else []


def admission_findings(
    name: str,
    spans: Sequence[tuple[float, float]],
    published: Sequence[Published],
) -> list[str]:
    """Check the admissions of one workspace that surely fall in a window.

    Parameters
    ----------
    name : str
        The workspace.
    spans : sequence of tuple
        For every request when its caller sent it and when it started.
    published : sequence of Published
        All versions of its rate.

    Returns
    -------
    list of str
        At most one finding, for the window with the largest excess. A
        request is admitted between the two moments, so one whose span lies
        within a window was admitted in it; this needs no queue wait.
    """
    excess_max: float = 0
    finding = ''
    starts: list[float] = []
    for since, started_at in sorted(spans, reverse=True):
        insort(starts, started_at)
        for count, closed in enumerate(starts, 1):
            allowed = _allowed(published, since, closed)
            if count - allowed > excess_max:
                excess_max = count - allowed
                finding = (
                    f'{name}: {count} requests sent and started within '
                    f'{closed - since:.2f} s, allowed {allowed:.1f}'
                )
    return [finding] if finding else []


def _sent_at(operation: Operation, started_at: float) -> float:
    """Return the earliest attempt that can have led to a start."""
    return min(
        (
            attempt.started_at
            for attempt in operation.attempts
            if attempt.kind not in {'refused', 'unreachable'}
        ),
        default=started_at,
    )


def _rate_findings(evidence: Evidence) -> Iterable[str]:
    by_id = {one.id: one for one in evidence.operations}
    # A host repeats idempotent requests under one id and one admission.
    first_start: dict[str, float] = {}
    operations: dict[str, str] = {}
    for record in evidence.records:
        request_id = record['request_id']
        started = record['started_at']
        known = first_start.get(request_id, started)
        first_start[request_id] = min(known, started)
        operations[request_id] = record['operation']
    spans: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    for request_id, started_at in first_start.items():
        operation = by_id.get(operations[request_id])
        if operation is not None:
            sent_at = _sent_at(operation, started_at)
            spans[operation.workspace.name].append((sent_at, started_at))
    for name, published in evidence.rates.items():
        starts = sorted(span[1] for span in spans[name])
        yield from rate_findings(name, starts, published)
        yield from admission_findings(name, spans[name], published)


def _cut_by_stop(
    evidence: Evidence, stop: Stop, operation: Operation, attempt: Attempt
) -> bool:
    """Return whether only the stop explains how an attempt broke.

    Callers may use an address for the resolver's TTL; later attempts are
    not counted, since a resolver that is cut off from the host does not
    learn of the stop.
    """
    if attempt.host != stop.host or attempt.kind not in _CUT_KINDS:
        return False
    served_until = stop.signalled_at + evidence.resolve_ttl_s - _CONNECT_S
    if attempt.started_at > served_until:
        return False
    if attempt.ended_at < stop.signalled_at:
        return False
    broken_by_target = operation.kind == CHART and any(
        since <= attempt.ended_at and until >= attempt.started_at
        for since, until in evidence.breaking
    )
    return not (
        broken_by_target or operation.workspace.name in evidence.withdrawn
    )


def _stop_findings(evidence: Evidence) -> Iterable[str]:
    for stop in evidence.stops:
        if stop.status != 0:
            yield f'the stop of {stop.host} ended with {stop.status}'
        for operation in evidence.operations:
            for attempt in operation.attempts:
                if _cut_by_stop(evidence, stop, operation, attempt):
                    after_s = attempt.started_at - stop.signalled_at
                    yield (
                        f'the stop of {stop.host} cut {operation.kind} '
                        f'{operation.id} ({attempt.kind} {attempt.reason}), '
                        f'sent {after_s:.2f} s after the signal, lasted '
                        f'{attempt.ended_at - attempt.started_at:.2f} s'
                    )


def judge(evidence: Evidence) -> list[str]:
    """Return every violation in words.

    Parameters
    ----------
    evidence : Evidence
        What the run left behind.

    Returns
    -------
    list of str
        Empty when every guarantee held.
    """
    workspaces = {one.id: one.workspace.name for one in evidence.operations}
    return [
        *_order_findings(evidence),
        *_refusal_findings(evidence),
        *_answer_findings(evidence),
        *_key_findings(evidence),
        *_withdrawal_findings(evidence, workspaces),
        *_rate_findings(evidence),
        *_stop_findings(evidence),
    ]
