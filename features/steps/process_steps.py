"""Steps that run a fleet of host processes among the stand-ins."""

import asyncio
import signal
import time
from pathlib import Path
from tempfile import TemporaryDirectory

from aiohttp import ClientSession, ClientTimeout, TCPConnector
from behave import given, then, when

from bench.fleet import Fleet
from bench.load import (
    CHART,
    LOOKUP,
    ORDER,
    Address,
    Load,
    LoadPlan,
    Operation,
    broken_at,
    judge_orders,
    summarise,
)
from bench.plans import (
    CHART_SERVICE,
    FAST_SETTINGS,
    LOOKUP_SERVICE,
    FleetPlan,
    target_plans,
    workspace_plans,
)
from bench.processes import Processes, wait_until
from bench.surroundings import Surroundings

_ZONES = 3
_CHART_BYTES = 300_000
_STEADY_DOWNLOAD_MS = 1000
_STEADY_DOWNLOADS_MIN = 3
_ECHO_HEADER = 'Request-Id'
# Requests are admitted this long before their execution at the most.
_QUEUE_S = 0.5
# Rates leave room for the requests that steps send besides the load.
_OFFERED = 0.05
_FIRST = 0
_LAST = -1


def _lease_s():
    return FAST_SETTINGS['membership']['lease_s']


@given('a fleet of {count:d} hosts')
def given_fleet(context, count):
    context.run(_start(context, _plan(count)))


@given('a fleet of {count:d} hosts whose targets repeat the request id')
def given_echo_fleet(context, count):
    options = ('--service-s=0.005', f'--echo-header={_ECHO_HEADER}')
    plan = _plan(count)._replace(
        targets=target_plans(3, 2, *options), echo_header=_ECHO_HEADER
    )
    context.run(_start(context, plan))


@given('a fleet of {count:d} hosts with rates of {rate:d} per second')
def given_rate_fleet(context, count, rate):
    # Small workspaces have a quarter of the rate of large ones.
    workspaces = workspace_plans(large_rate=4 * rate)
    context.run(_start(context, _plan(count)._replace(workspaces=workspaces)))


def _plan(count):
    names = [f'host-{letter}' for letter in 'abcdefgh'[:count]]
    return FleetPlan(
        zone_by_host={
            name: f'zone-{index % _ZONES}' for index, name in enumerate(names)
        },
        targets=target_plans(3, 2, '--service-s=0.005'),
        workspaces=tuple(
            one._replace(offered=_OFFERED)
            for one in workspace_plans(large_rate=400)
        ),
        settings=FAST_SETTINGS,
    )


async def _start(context, plan):
    enter = context.stack.enter_async_context
    folder = context.stack.enter_context(TemporaryDirectory())
    processes = await enter(Processes(Path(folder)))
    session = await enter(ClientSession(timeout=ClientTimeout(total=5)))
    around = Surroundings(processes, session)
    context.fleet = Fleet(plan, around, Path(folder))
    await context.fleet.start()
    context.first_manifest = context.fleet.manifest
    entries = [context.fleet.caller_url(name) for name in plan.zone_by_host]
    load_plan = LoadPlan(chart_bytes=_CHART_BYTES, chart_spread_ms=50)
    context.load = await enter(Load(plan.workspaces, entries, load_plan))
    context.callers = [context.load.caller(one) for one in plan.workspaces]
    context.sent = []


async def _address(context, host):
    """Return a host as the resolver names it, idempotency prefix included."""
    found = {}

    async def listed():
        caller = context.callers[_LAST]
        caller.answers.clear()
        for address in await caller.addresses(LOOKUP_SERVICE):
            found[address.host] = address
        return host in found

    await wait_until(listed, 10, f'the resolver lists {host}')
    return found[host]


def _direct(context, host):
    return Address(host, context.fleet.caller_url(host), '')


async def _send(context, host, kind=LOOKUP, index=_LAST, operation=None):
    """Send one attempt of one workspace to one host."""
    caller = context.callers[index]
    operation = operation or Operation(kind, caller.workspace)
    attempt = await caller.send(operation, _direct(context, host))
    operation.attempts.append(attempt)
    context.sent.append(operation)
    return attempt


async def _send_admitted(context, caller, kind, address):
    """Send a new operation until its workspace has a token for it."""
    operation = Operation(kind, caller.workspace)

    async def admitted():
        attempt = await caller.send(operation, address)
        operation.attempts.append(attempt)
        return attempt.reason != 'rate-exceeded'

    await wait_until(admitted, 5, f'a token of {caller.workspace.name}')
    context.load.operations.append(operation)
    return operation.attempts[-1]


async def _until_reason(context, host, reason, timeout_s, index=_LAST):
    """Wait until a host refuses the lookups of a workspace, not run."""

    async def refused():
        attempt = await _send(context, host, index=index)
        return attempt.kind == 'refused' and attempt.reason == reason

    return await wait_until(refused, timeout_s, f'{host} answers {reason}')


async def _until_answered(context, host, timeout_s, index=_LAST):
    async def answered():
        return (await _send(context, host, index=index)).kind == 'answered'

    return await wait_until(answered, timeout_s, f'{host} answers')


async def _executed(context, operation):
    executions = await context.fleet.around.executions()
    return executions.get(operation.id, {'started': 0, 'completed': 0})


@given('load from 8 workspaces')
def given_load(context):
    context.running = context.loop.create_task(context.load.run(60))
    context.run(_until_load(context, 50))


async def _until_load(context, more):
    """Wait until the load has ended that many more operations."""
    wanted = len(context.load.operations) + more

    async def ended():
        assert not context.running.done(), context.running.exception()
        return len(context.load.operations) >= wanted

    await wait_until(ended, 20, f'{more} more operations')


@when('the load ends')
def when_load_ends(context):
    context.load.stop()
    context.run(context.running)


@then('no order ran twice and none was lost')
def then_orders_right(context):
    executions = context.run(context.fleet.around.executions())
    verdict = judge_orders(context.load.operations, executions)
    assert not any(verdict), verdict
    summary = summarise(context.load.operations)
    assert summary.answered, summary
    assert not summary.short, summary
    assert not summary.wrong, summary


@given('a download through {host} that takes {seconds:d} s')
def given_download(context, host, seconds):
    caller = context.load.caller(context.load.workspaces[_FIRST])
    caller.plan = caller.plan._replace(chart_spread_ms=seconds * 1000)
    context.run(_start_download(context, caller, host))


async def _start_download(context, caller, host):
    """Start a download, again when its workspace has no token."""
    operation = Operation(CHART, caller.workspace)
    address = _direct(context, host)
    context.download = None

    async def started():
        if context.download is None:
            sending = caller.send(operation, address)
            context.download = asyncio.create_task(sending)
        if context.download.done():
            attempt = context.download.result()
            assert attempt.reason == 'rate-exceeded', attempt
            context.download = None
        return (await _executed(context, operation))['started'] == 1

    await wait_until(started, 10, 'a target has started the download')


@given('callers that always have downloads through {host} on their way')
def given_steady_downloads(context, host):
    caller = context.load.caller(context.load.workspaces[_FIRST])
    caller.plan = caller.plan._replace(chart_spread_ms=_STEADY_DOWNLOAD_MS)
    context.steady_downloads = []
    context.run(_start_download(context, caller, host))
    context.steady = context.loop.create_task(
        _keep_downloading(context, caller, host)
    )


async def _keep_downloading(context, caller, host):
    """Begin downloads on new connections until the host is gone."""
    connector = TCPConnector(force_close=True)
    async with ClientSession(connector=connector) as session:
        caller.session = session
        sends = []
        while not (sends and sends[_LAST].done()) or (
            sends[_LAST].result().kind != 'unreachable'
        ):
            operation = Operation(CHART, caller.workspace)
            context.steady_downloads.append(operation)
            sending = caller.send(operation, _direct(context, host))
            sends.append(asyncio.create_task(sending))
            await asyncio.sleep(_STEADY_DOWNLOAD_MS / 1000 / 4)
        for operation, sending in zip(
            context.steady_downloads, sends, strict=True
        ):
            operation.attempts.append(await sending)


@then('no download that had begun was cut')
def then_no_download_cut(context):
    context.run(context.steady)
    executions = context.run(context.fleet.around.executions())
    begun = [
        operation.attempts[_LAST]
        for operation in context.steady_downloads
        if operation.id in executions
    ]
    assert len(begun) > _STEADY_DOWNLOADS_MIN
    cut = [one for one in begun if one.kind != 'answered']
    assert not cut, [one._replace(body=b'') for one in cut]


@then('the download is complete')
def then_download_complete(context):
    attempt = context.run(context.download)
    assert attempt.kind == 'answered', attempt._replace(body=b'')


@then('the download breaks within {seconds:d} s')
def then_download_breaks(context, seconds):
    attempt = context.run(asyncio.wait_for(context.download, seconds))
    assert attempt.kind == 'broken', attempt._replace(body=b'')


@when('{host} gets SIGTERM')
def when_sigterm(context, host):
    context.signalled_at = time.monotonic()
    context.fleet.send(host, signal.SIGTERM)


@then('{host} exits with status 0 within {seconds:d} s')
def then_exits(context, host, seconds):
    waiting = context.fleet.around.processes.exit_status(host, seconds)
    assert context.run(waiting) == 0


@then('no request at {host} was cut')
def then_nothing_cut(context, host):
    operations = context.load.operations
    cut = broken_at(operations, host, context.signalled_at)
    assert not cut, (len(cut), cut[:3])


@when('the key of a workspace is withdrawn')
def when_withdrawn(context):
    name = context.load.workspaces[_FIRST].name
    context.run(context.fleet.withdraw_key(name))


@then('{host} refuses its lookups as key-unknown within {seconds:d} s')
def then_key_unknown(context, host, seconds):
    waiting = _until_reason(context, host, 'key-unknown', seconds, _FIRST)
    context.run(waiting)


@then('{host} serves another workspace')
def then_other_served(context, host):
    context.run(_until_answered(context, host, 5))


@when('{hosts} are cut off from the other hosts')
def when_cut_off(context, hosts):
    context.run(context.fleet.separate(hosts.split(' and ')))


@when('{host} hears nothing from the other hosts')
def when_deaf(context, host):
    fleet = context.fleet
    for sender in fleet.names:
        if sender != host:
            link = f'peer-{sender}-{host}'
            silence = {'forward': {'silence': True}}
            context.run(fleet.around.link_faults(link, **silence))


@then('{host} refuses lookups as no-lease within {seconds:d} s')
def then_no_lease(context, host, seconds):
    context.run(_until_reason(context, host, 'no-lease', seconds))


@then('{host} answers lookups within {seconds:d} s')
def then_answers(context, host, seconds):
    context.run(_until_answered(context, host, seconds))


@then('no refused lookup ran')
def then_refusals_true(context):
    executions = context.run(context.fleet.around.executions())
    refused = [one.id for one in context.sent if one.outcome == 'refused']
    assert refused
    assert not set(refused) & set(executions)


@when('the hosts are connected again')
def when_rejoined(context):
    context.run(context.fleet.rejoin())


@given('the platform is {mode}')
def given_platform_mode(context, mode):
    context.run(context.fleet.around.platform_mode(mode))


@when('{host} is killed')
def when_killed(context, host):
    context.run(context.fleet.kill_host(host))


@when('a fresh process starts as {host}')
def when_fresh(context, host):
    context.run(context.fleet.start_host(host))


@then('every host has bundle version {version:d} within {seconds:d} s')
def then_versions(context, version, seconds):
    async def in_force():
        for host in context.fleet.listed:
            status = await context.fleet.status(host)
            if status['bundle_version'] != version:
                return False
        return True

    waiting = wait_until(in_force, seconds, f'version {version} everywhere')
    context.run(waiting)


@given('a caller of every workspace is connected to {host}')
def given_connected(context, host):
    async def connect():
        for index in range(len(context.callers)):
            await _until_answered(context, host, 5, index)

    context.run(connect())


@when('{host} is paused while the key of a workspace is withdrawn')
def when_paused(context, host):
    context.run(_pause_and_withdraw(context, host))


async def _pause_and_withdraw(context, host):
    fleet = context.fleet
    fleet.send(host, signal.SIGSTOP)
    paused_at = time.monotonic()
    await fleet.withdraw_key(context.load.workspaces[_FIRST].name)
    version = fleet.document['version']

    async def passed():
        if time.monotonic() < paused_at + _lease_s():
            return False
        others = [name for name in fleet.listed if name != host]
        states = [await fleet.status(name) for name in others]
        return all(state['bundle_version'] == version for state in states)

    await wait_until(passed, 17, 'the others have the new bundle')


@when('{host} wakes with {count:d} requests with that key waiting')
def when_wakes(context, host, count):
    async def wake():
        sending = [
            asyncio.create_task(_send(context, host, index=_FIRST))
            for _ in range(count)
        ]
        # The kernel accepts the requests while the process is stopped.
        await asyncio.wait(sending, timeout=0.1)
        context.fleet.send(host, signal.SIGCONT)
        context.woken = await asyncio.gather(*sending)

    context.run(wake())


@then('none of them ran')
def then_none_ran(context):
    ids = {one.id for one in context.sent[-len(context.woken) :]}
    executions = context.run(context.fleet.around.executions())
    assert not ids & set(executions)
    kinds = {attempt.kind for attempt in context.woken}
    assert kinds == {'refused'}, [one.reason for one in context.woken]


@given('the targets hold what they start')
def given_held(context):
    context.run(_fault_targets(context, LOOKUP_SERVICE, hold=True))


async def _fault_targets(context, service, **faults):
    fleet = context.fleet
    for target in fleet.plan.targets:
        if target.service == service:
            await fleet.around.target_faults(target.name, **faults)


@when('an order through {host} with a key of {home} has started')
def when_order_started(context, host, home):
    context.run(_start_order(context, host, home))


async def _start_order(context, host, home):
    address = await _address(context, home)
    caller = context.callers[_LAST]
    operation = Operation(ORDER, caller.workspace)
    unique = f'key-of-{operation.id}'
    operation.idempotency_key = f'{address.key_prefix}.{unique}'
    context.order = operation
    sending = _send(context, host, operation=operation)
    context.sending = asyncio.create_task(sending)

    async def started():
        return (await _executed(context, operation))['started'] == 1

    await wait_until(started, 5, 'a target has started the order')


@when('{count:d} lookups through {host} have started')
def when_lookups_started(context, count, host):
    context.run(_start_lookups(context, count, host))


async def _start_lookups(context, count, host):
    """Fill slots with lookups, sent again when there is no token yet."""
    caller, address = context.callers[_FIRST], _direct(context, host)
    context.waiting = [
        asyncio.create_task(_send_admitted(context, caller, LOOKUP, address))
        for _ in range(count)
    ]

    async def started():
        running = 0
        for target in context.fleet.plan.targets:
            counts = await context.fleet.around.target_counts(target.name)
            running += counts['running']
        return running == count

    await wait_until(started, 5, f'{count} lookups have started')


@when('the targets go on')
def when_released(context):
    context.run(_fault_targets(context, LOOKUP_SERVICE))


@when('the caller retries the order at {host} with the same key')
def when_retried(context, host):
    async def retry():
        assert (await context.sending).kind == 'broken'
        return await _send(context, host, operation=context.order)

    context.retried = context.run(retry())


@then('the retry is answered with outcome unknown')
def then_unknown(context):
    attempt = context.retried
    assert attempt.kind == 'unknown', attempt
    assert attempt.reason.startswith('duplicate-'), attempt


@then('the order ran once')
def then_ran_once(context):
    async def completed():
        return (await _executed(context, context.order))['completed'] == 1

    context.run(wait_until(completed, 5, 'the order is completed'))
    found = context.run(_executed(context, context.order))
    assert found['started'] == 1, found


@given('{target} sends each answer to the next request')
def given_crossed(context, target):
    context.run(context.fleet.around.target_faults(target, crossed=True))


@given('{target} sends bytes that nobody asked for')
def given_stray(context, target):
    context.run(context.fleet.around.target_faults(target, stray=True))


@then('target-0 and target-1 had work')
def then_had_work(context):
    for target in ('target-0', 'target-1'):
        counts = context.run(context.fleet.around.target_counts(target))
        assert counts.get('started'), counts


@when('a workspace sends {factor:d} times its rate for {seconds:d} s')
def when_flood(context, factor, seconds):
    load = context.load
    flooding = load.workspaces[_LAST]
    load.factors[flooding.name] = factor / flooding.offered
    load.workspaces = [flooding]
    load.plan = load.plan._replace(give_up_s=2)
    context.run(load.run(seconds))


@then('no window of time holds more executions than its rate and burst')
def then_rate_held(context):
    flooding = context.load.workspaces[_LAST]
    moments = sorted(context.run(_started_moments(context, flooding)))
    assert len(moments) > flooding.burst / 2, len(moments)
    for first, start in enumerate(moments):
        for last in range(first, len(moments)):
            window_s = moments[last] - start + _QUEUE_S
            bound = flooding.rate * window_s + flooding.burst
            assert last - first + 1 <= bound, (last - first + 1, window_s)


async def _started_moments(context, workspace):
    mine = {
        one.id
        for one in (*context.load.operations, *context.sent)
        if one.workspace.name == workspace.name
    }
    moments = []
    for target in context.fleet.plan.targets:
        records = await context.fleet.around.target_records(target.name, '')
        moments.extend(
            one['started_at'] for one in records if one['operation'] in mine
        )
    return moments


@then('no target received a key')
def then_no_key(context):
    context.run(_check_keys(context))


async def _check_keys(context):
    fleet = context.fleet
    for target in fleet.plan.targets:
        for workspace in fleet.plan.workspaces:
            found = await fleet.around.target_records(
                target.name, workspace.key
            )
            assert not found, found[0]


@given('{target} cuts its answers in half by {framing}')
def given_halves(context, target, framing):
    faults = context.fleet.around.target_faults(target, half=framing)
    context.run(faults)


@given('every chart is cut in half by {framing}')
def given_half_charts(context, framing):
    context.run(_fault_targets(context, CHART_SERVICE, half=framing))


@when('{count:d} lookups are sent through {host}')
def when_lookups(context, count, host):
    async def send():
        caller, address = context.callers[_LAST], _direct(context, host)
        return [
            await _send_admitted(context, caller, LOOKUP, address)
            for _ in range(count)
        ]

    context.attempts = context.run(send())


@then('every lookup is answered in full')
def then_answered(context):
    failed = [one for one in context.attempts if one.kind != 'answered']
    assert not failed, failed[:3]


@when('{count:d} orders are sent through {host}')
def when_orders(context, count, host):
    async def send():
        address = await _address(context, host)
        caller = context.callers[_FIRST]
        for _ in range(count):
            await _send_admitted(context, caller, ORDER, address)

    context.run(send())


@then('some order has the outcome unknown')
def then_some_unknown(context):
    reasons = {
        one.attempts[-1].reason
        for one in context.load.operations
        if one.outcome == 'unknown'
    }
    assert reasons == {'target-short-answer'}, reasons


@when('a chart is downloaded through {host}')
def when_chart(context, host):
    caller, address = context.callers[_LAST], _direct(context, host)
    sending = _send_admitted(context, caller, CHART, address)
    context.download = context.loop.create_task(sending)


@when('{target} is listed as leaving')
def when_leaving(context, target):
    context.run(context.fleet.target_leaving(target))


@when('{target} announces that it drains')
def when_draining(context, target):
    context.run(context.fleet.around.target_drain(target))


@then('{target} receives nothing more after {seconds:d} s')
def then_receives_nothing(context, target, seconds):
    context.run(_check_quiet(context, target, seconds))


@then('{target} receives nothing for {seconds:d} s more')
def then_stays_quiet(context, target, seconds):
    context.run(_check_stays_quiet(context, target, seconds))


async def _check_stays_quiet(context, target, seconds):
    around = context.fleet.around
    before = (await around.target_counts(target))['received']
    until = time.monotonic() + seconds

    async def bound_reached():
        return time.monotonic() >= until

    await wait_until(bound_reached, seconds + 1, 'the bound')
    assert (await around.target_counts(target))['received'] == before


async def _check_quiet(context, target, seconds):
    around = context.fleet.around
    until = time.monotonic() + seconds

    async def bound_reached():
        return time.monotonic() >= until

    await wait_until(bound_reached, seconds + 1, 'the bound')
    before = (await around.target_counts(target))['received']
    assert before, 'the target never had work'
    await _until_load(context, 150)
    assert (await around.target_counts(target))['received'] == before
