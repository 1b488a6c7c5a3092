"""Callers: they resolve, connect, send a mixed load and keep a ledger."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from random import Random
from typing import Any, NamedTuple
from uuid import uuid4

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from bench.plans import CHART_SERVICE, LOOKUP_SERVICE, WorkspacePlan

RESOLVE_PATH = '/.oleanderridge/resolve'
LOOKUP = 'lookup'
ORDER = 'order'
CHART = 'chart'
NOT_RUN = 'not-run'
_OK = 200
_KEY_FORMS = ('bearer', 'header', 'query', 'cookie')
_READ_BYTES = 65_536


class LoadPlan(NamedTuple):
    """Shape of the load; times in seconds, sizes in bytes."""

    orders: float = 0.2
    charts: float = 0.1
    chart_bytes: int = 300_000
    chart_spread_ms: int = 100
    attempts_max: int = 8
    attempt_s: float = 8
    give_up_s: float = 12
    pause_s: float = 0.2
    outstanding_max: int = 100


class Address(NamedTuple):
    """One host of a resolver's answer."""

    host: str
    url: str
    key_prefix: str


class Attempt(NamedTuple):
    """One request sent to one host, and how it ended.

    ``kind`` is ``answered``, ``refused`` (not run), ``unknown`` (refused
    with that outcome), ``status`` (an error status of the target),
    ``unreachable`` (no connection), ``broken``, ``timeout``, ``short`` (a
    body that is complete by its framing but lacks bytes) or ``wrong`` (an
    answer to another request).
    """

    kind: str
    host: str
    reason: str
    retry_after_s: float
    started_at: float
    ended_at: float
    status: int = 0
    body: bytes = b''


class Operation:
    """One thing that a caller wants done, over all its attempts."""

    def __init__(self, kind: str, workspace: WorkspacePlan) -> None:
        self.kind = kind
        self.workspace = workspace
        self.id = uuid4().hex
        self.idempotency_key = ''
        self.started_at = time.monotonic()
        self.attempts: list[Attempt] = []
        self.ended_at: float = 0

    @property
    def outcome(self) -> str:
        """Return ``answered``, ``refused`` or ``unknown``.

        It is refused only when every attempt was refused as not run.
        """
        kinds = {attempt.kind for attempt in self.attempts}
        if 'answered' in kinds:
            return 'answered'
        return 'refused' if kinds <= {'refused', 'unreachable'} else 'unknown'

    @property
    def service(self) -> str:
        """Return the service that the operation uses."""
        return CHART_SERVICE if self.kind == CHART else LOOKUP_SERVICE


class Caller:
    """The callers of one workspace: they share answers and connections."""

    def __init__(
        self,
        workspace: WorkspacePlan,
        entries: Sequence[str],
        session: ClientSession,
        plan: LoadPlan,
    ) -> None:
        self.workspace = workspace
        self.entries = list(entries)
        self.session = session
        self.plan = plan
        self.rng = Random(workspace.name)
        self.answers: dict[str, tuple[float, list[Address]]] = {}
        self.locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def addresses(self, service: str) -> list[Address]:
        """Return the resolver's answer, asked again when it has expired."""
        async with self.locks[service]:
            expires_at, known = self.answers.get(service, (0, []))
            if time.monotonic() < expires_at:
                return known
            asked = time.monotonic()
            for entry in self.rng.sample(self.entries, len(self.entries)):
                answer = await self._resolve(entry, service)
                if answer and answer['addresses']:
                    known = [
                        Address(one['host'], one['url'], one['key_prefix'])
                        for one in answer['addresses']
                    ]
                    expires_at = asked + answer['ttl_s']
                    self.answers[service] = (expires_at, known)
                    return known
            return []

    async def _resolve(self, entry: str, service: str) -> Any:
        try:
            async with self.session.get(
                entry + RESOLVE_PATH,
                params={'service': service},
                headers={'Authorization': f'Bearer {self.workspace.key}'},
                timeout=ClientTimeout(total=1),
            ) as response:
                return await response.json() if response.ok else None
        except (ClientError, TimeoutError):
            return None

    async def perform(self, kind: str) -> Operation:
        """Send one operation, retried as its attempts allow."""
        operation = Operation(kind, self.workspace)
        while len(operation.attempts) < self.plan.attempts_max:
            address = await self._choose(operation)
            if operation.outcome == 'refused':
                # Nothing ran so far: a new key may bind to this host.
                operation.idempotency_key = ''
            if address is None:
                attempt = _no_address()
            else:
                attempt = await self.send(operation, address)
            operation.attempts.append(attempt)
            if _is_final(attempt):
                break
            pause_s = self._pause_s(operation, attempt)
            elapsed = time.monotonic() - operation.started_at
            if elapsed + pause_s > self.plan.give_up_s:
                break
            await asyncio.sleep(pause_s)
        operation.ended_at = time.monotonic()
        return operation

    async def _choose(self, operation: Operation) -> Address | None:
        """Return an address, another one than the last when there is one."""
        known = await self.addresses(operation.service)
        last = operation.attempts[-1] if operation.attempts else None
        others = known
        if last is not None and last.kind != 'refused':
            others = [one for one in known if one.host != last.host]
        if not known:
            return None
        return self.rng.choice(others or known)

    def _pause_s(self, operation: Operation, attempt: Attempt) -> float:
        if attempt.kind in {'broken', 'timeout'}:
            return 0
        doubled = self.plan.pause_s * 2 ** min(len(operation.attempts), 4)
        least = max(attempt.retry_after_s, doubled / 2)
        return least * self.rng.uniform(1, 1.5)

    def request(self, operation: Operation) -> dict[str, Any]:
        """Return method, path, headers and query of an operation."""
        key = self.workspace.key
        form = _KEY_FORMS[int(operation.id[:4], 16) % len(_KEY_FORMS)]
        headers = {'Operation-Id': operation.id}
        params: dict[str, str] = {}
        if form == 'bearer':
            headers['Authorization'] = f'Bearer {key}'
        elif form == 'header':
            headers['X-Api-Key'] = key
        elif form == 'query':
            params['api_key'] = key
        else:
            headers['Cookie'] = f'api_key={key}; style=plain'
        request: dict[str, Any] = {'headers': headers, 'params': params}
        if operation.kind == ORDER:
            headers['Idempotency-Key'] = operation.idempotency_key
            return {**request, 'method': 'POST', 'data': operation.id.encode()}
        if operation.kind == CHART:
            params['size'] = str(self.plan.chart_bytes)
            params['spread_ms'] = str(self.plan.chart_spread_ms)
        return {**request, 'method': 'GET'}

    async def send(self, operation: Operation, address: Address) -> Attempt:
        """Send one attempt to one host and judge how it ended."""
        if not operation.idempotency_key:
            unique = uuid4().hex
            operation.idempotency_key = f'{address.key_prefix}.{unique}'
        path = {LOOKUP: 'sett', ORDER: 'orders', CHART: 'charts'}
        url = f'{address.url}/{path[operation.kind]}/{operation.id}'
        started = time.monotonic()
        judged: dict[str, Any] = {'kind': 'timeout', 'reason': ''}
        try:
            async with self.session.request(
                url=url,
                timeout=ClientTimeout(total=self.plan.attempt_s),
                **self.request(operation),
            ) as response:
                judged = await self._judge(operation, response)
        except ClientConnectorError as error:
            judged = {'kind': 'unreachable', 'reason': repr(error)}
        except (ClientError, TimeoutError, OSError) as error:
            timed_out = isinstance(error, TimeoutError)
            kind = 'timeout' if timed_out else 'broken'
            judged = {'kind': kind, 'reason': repr(error)}
        return Attempt(
            **{'retry_after_s': 0, **judged},
            host=address.host,
            started_at=started,
            ended_at=time.monotonic(),
        )

    async def _judge(
        self, operation: Operation, response: ClientResponse
    ) -> dict[str, Any]:
        body = await response.read()
        judged = {'reason': '', 'status': response.status, 'body': body}
        outcome = response.headers.get('Oleanderridge-Outcome')
        if outcome:
            reason = response.headers.get('Oleanderridge-Reason', '')
            judged['reason'] = reason
            after = response.headers.get('Retry-After', '0')
            judged['retry_after_s'] = float(after)
            kind = 'refused' if outcome == NOT_RUN else 'unknown'
            return {**judged, 'kind': kind}
        if response.status != _OK:
            judged['reason'] = f'status-{response.status}'
            return {**judged, 'kind': 'status'}
        return {**judged, 'kind': self._judge_body(operation, body)}

    def _judge_body(self, operation: Operation, body: bytes) -> str:
        expected = self.plan.chart_bytes if operation.kind == CHART else 0
        if operation.id.encode() not in body[:1000]:
            return 'wrong' if body else 'short'
        return 'short' if len(body) < expected else 'answered'


def _no_address() -> Attempt:
    now = time.monotonic()
    return Attempt('unreachable', '', 'no address', 0, now, now)


# Asking again cannot change these: the key, the route or the request is
# wrong, or the record that could tell the outcome is gone.
_FINAL_REASONS = frozenset(
    (
        'no-route',
        'key-missing',
        'key-unknown',
        'key-not-allowed',
        'key-in-request',
        'bad-request',
        'duplicate-unknown',
    )
)


def _is_final(attempt: Attempt) -> bool:
    if attempt.kind in {'answered', 'short', 'wrong'}:
        return True
    return attempt.reason in _FINAL_REASONS


class Load:
    """Arrivals of all workspaces and the ledger of their operations."""

    def __init__(
        self,
        workspaces: Sequence[WorkspacePlan],
        entries: Sequence[str],
        plan: LoadPlan,
    ) -> None:
        self.workspaces = list(workspaces)
        self.entries = list(entries)
        self.plan = plan
        self.operations: list[Operation] = []
        self.factors = {workspace.name: 1.0 for workspace in workspaces}
        self.omitted = 0
        self.until: float = 0
        self.session: ClientSession | None = None

    async def __aenter__(self) -> Load:
        """Open the callers' connections."""
        self.session = ClientSession(connector=TCPConnector(limit=0))
        # aiohttp repeats idempotent requests on a reused connection that
        # breaks; the ledger must see every break.
        self.session._retry_connection = False
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Close the callers' connections."""
        if self.session is not None:
            await self.session.close()

    def caller(self, workspace: WorkspacePlan) -> Caller:
        """Return a caller of a workspace.

        Raises
        ------
        RuntimeError
            The load is not open.
        """
        if self.session is None:
            raise RuntimeError('the load is not open')
        return Caller(workspace, self.entries, self.session, self.plan)

    async def run(self, duration_s: float) -> None:
        """Send the load of all workspaces, then wait for every answer."""
        self.until = time.monotonic() + duration_s
        async with asyncio.TaskGroup() as group:
            for workspace in self.workspaces:
                group.create_task(self._arrivals(workspace))

    def stop(self) -> None:
        """End the arrivals; ``run`` returns after the last answer."""
        self.until = 0

    async def _arrivals(self, workspace: WorkspacePlan) -> None:
        """Open-loop Poisson arrivals: a slow fleet does not slow them."""
        caller = self.caller(workspace)
        rng = Random(f'arrivals {workspace.name}')
        live: set[asyncio.Task] = set()
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < self.until:
                factor = self.factors[workspace.name]
                offered = workspace.rate * workspace.offered * factor
                await asyncio.sleep(rng.expovariate(offered))
                if len(live) >= self.plan.outstanding_max:
                    self.omitted += 1
                    continue
                task = group.create_task(self._one(caller, self._kind(rng)))
                live.add(task)
                task.add_done_callback(live.discard)

    def _kind(self, rng: Random) -> str:
        drawn = rng.random()
        if drawn < self.plan.orders:
            return ORDER
        drawn -= self.plan.orders
        return CHART if drawn < self.plan.charts else LOOKUP

    async def _one(self, caller: Caller, kind: str) -> None:
        self.operations.append(await caller.perform(kind))


class Summary(NamedTuple):
    """What callers saw; latencies in ms over answered operations."""

    requests: int
    answered: int
    refused: int
    unknown: int
    refused_by_reason: dict[str, int]
    ends_by_kind: dict[str, int]
    attempts_by_reason: dict[str, int]
    short: int
    wrong: int
    served_by_workspace: dict[str, float]
    p99_by_workspace: dict[str, float]
    p99_ms: float


def percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that ``share`` of the values do not exceed.

    Parameters
    ----------
    values : sequence of float
        In any order.
    share : float
        Between 0 and 1.

    Returns
    -------
    float
        Zero when there are no values.
    """
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarise(operations: Sequence[Operation]) -> Summary:
    """Count the operations of a ledger.

    Parameters
    ----------
    operations : sequence of Operation
        Ended operations.

    Returns
    -------
    Summary
        Totals; ``ends_by_kind`` and ``attempts_by_reason`` count attempts,
        all else operations.
    """
    outcomes = Counter(one.outcome for one in operations)
    attempts = [at for one in operations for at in one.attempts]
    ends = Counter(at.kind for at in attempts)
    answered_reasons = Counter(
        at.reason for at in attempts if at.kind in {'refused', 'unknown'}
    )
    reasons: Counter[str] = Counter()
    total: Counter[str] = Counter()
    latencies: defaultdict[str, list[float]] = defaultdict(list)
    for operation in operations:
        name = operation.workspace.name
        total[name] += 1
        if operation.outcome == 'answered':
            taken = operation.ended_at - operation.started_at
            latencies[name].append(taken * 1000)
        if operation.outcome == 'refused':
            reasons[operation.attempts[-1].reason] += 1
    every = [taken for taken_list in latencies.values() for taken in taken_list]
    return Summary(
        requests=len(operations),
        answered=outcomes['answered'],
        refused=outcomes['refused'],
        unknown=outcomes['unknown'],
        refused_by_reason=dict(reasons),
        ends_by_kind=dict(ends),
        attempts_by_reason=dict(answered_reasons),
        short=ends['short'],
        wrong=ends['wrong'],
        served_by_workspace={
            name: len(latencies[name]) / count for name, count in total.items()
        },
        p99_by_workspace={
            name: percentile(taken, 0.99) for name, taken in latencies.items()
        },
        p99_ms=percentile(every, 0.99),
    )


class Verdict(NamedTuple):
    """Operations that broke a guarantee, by id."""

    doubled: list[str]
    lost: list[str]


def judge_orders(
    operations: Sequence[Operation], executions: dict[str, dict[str, int]]
) -> Verdict:
    """Compare the ledger with what the targets executed.

    Parameters
    ----------
    operations : sequence of Operation
        Ended operations of all kinds.
    executions : dict
        Started and completed executions by operation id.

    Returns
    -------
    Verdict
        Doubled: an order that was started more than once. Lost: an order
        answered as done that no target completed, or one whose every
        attempt was refused as not run although a target started it.
    """
    doubled = []
    lost = []
    nothing = {'started': 0, 'completed': 0}
    for operation in operations:
        if operation.kind != ORDER:
            continue
        found = executions.get(operation.id, nothing)
        if found['started'] > 1:
            doubled.append(operation.id)
        untrue_answer = (
            operation.outcome == 'answered' and not found['completed']
        )
        untrue_refusal = operation.outcome == 'refused' and found['started']
        if untrue_answer or untrue_refusal:
            lost.append(operation.id)
    return Verdict(doubled, lost)


def broken_at(
    operations: Sequence[Operation], host: str, since: float
) -> list[Attempt]:
    """Return the attempts that broke at a host after a moment.

    Parameters
    ----------
    operations : sequence of Operation
        Ended operations.
    host : str
        The host that was stopped.
    since : float
        Monotonic time of the stop.

    Returns
    -------
    list of Attempt
        Attempts without a complete response or a refusal; callers use an
        address only while the resolver's answer holds, so a refused
        connection counts as well.
    """
    kinds = {'broken', 'timeout', 'unreachable'}
    return [
        attempt
        for operation in operations
        for attempt in operation.attempts
        if attempt.host == host
        and attempt.kind in kinds
        and attempt.ended_at >= since
    ]
