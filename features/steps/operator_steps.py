"""Steps that use a fleet as operators and careless callers do."""

import asyncio
import base64
import contextlib
import json
import os
import sys
import time
from functools import partial

from behave import then, when

from bench.plans import LOOPBACK
from bench.processes import wait_until

_ADMIN_TOKEN = 'admin-token-of-the-bench'
_KEY_VARIABLE = 'CALLER_KEY'


async def _command(*arguments, **variables):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'oleanderridge',
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, **variables},
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def _admin_url(context, host):
    return f'http://{LOOPBACK}:{context.fleet.ports[host].admin}'


async def _status(context, host, token):
    return await _command(
        'status',
        '--admin',
        _admin_url(context, host),
        '--json',
        OLEANDERRIDGE_ADMIN_TOKEN=token,
    )


@then('the status command shows {host} ready with a lease in {seconds:d} s')
def then_status(context, host, seconds):
    # A host answers requests with tokens of others before it has a lease.
    shown = {}

    async def has_lease():
        shown['result'] = await _status(context, host, _ADMIN_TOKEN)
        code, output, _ = shown['result']
        return not code and json.loads(output)['lease_remaining_s'] > 0

    with contextlib.suppress(TimeoutError):
        context.run(wait_until(has_lease, seconds, f'a lease of {host}'))
    code, output, errors = shown['result']
    assert code == 0, errors
    state = json.loads(output)
    assert state['ready'], state
    assert state['lease_remaining_s'] > 0, state
    assert len(state['members']) == len(context.fleet.listed), state


@then('the status command is refused without a token')
def then_refused(context):
    code, output, errors = context.run(_status(context, 'host-a', 'another'))
    assert code == 1, (code, output)
    assert '401' in errors, errors


@then('the resolve command names {count:d} hosts and never a key')
def then_resolve(context, count):
    key = context.fleet.plan.workspaces[0].key
    code, output, errors = context.run(
        _command(
            'resolve',
            '--json',
            '--url',
            context.fleet.caller_url('host-a'),
            '--key-variable',
            _KEY_VARIABLE,
            **{_KEY_VARIABLE: key},
        )
    )
    assert code == 0, errors
    named = {entry['host'] for entry in json.loads(output)['addresses']}
    assert len(named) == count, output
    assert key not in output


@then('the metrics of {host} name no workspace')
def then_metrics(context, host):
    text = context.run(context.fleet.metrics(host))
    assert 'oleanderridge_lease_remaining_seconds' in text, text[:300]
    for plan in context.fleet.plan.workspaces:
        assert plan.name not in text


@when('{host} is told to drain')
def when_drain(context, host):
    url = f'{_admin_url(context, host)}/v1/drain'
    headers = {'Authorization': f'Bearer {_ADMIN_TOKEN}'}
    context.run(context.fleet.around.call('POST', url, headers=headers))


@when('the caller of the download goes away')
def when_caller_gone(context):
    context.download.cancel()


@then('no target runs a request within {seconds:d} s')
def then_idle(context, seconds):
    around = context.fleet.around

    async def idle():
        counts = [await around.target_counts(n) for n in around.control_ports]
        return not any(count['running'] for count in counts)

    context.run(wait_until(idle, seconds, 'no request runs at a target'))


@when('lookups carry their key in query, cookie, header and basic form')
def when_careless(context):
    plan = context.fleet.plan.workspaces[-1]
    url = f'{context.fleet.caller_url("host-a")}/sett/x'
    basic = base64.b64encode(f'shop:{plan.key}'.encode()).decode()
    forms = (
        {'params': {'api_key': plan.key, 'note': plan.key}},
        {'headers': {'Cookie': f'api_key={plan.key}; other={plan.key}'}},
        {'headers': {'X-Api-Key': plan.key, 'X-Copy': f'k={plan.key}'}},
        {'headers': {'X-Api-Key': plan.key, 'X-Basic': f'Basic {basic}'}},
    )

    async def answered(form):
        session = context.fleet.around.session
        async with session.get(url, **form) as response:
            reason = response.headers.get('Oleanderridge-Reason')
            assert reason in {None, 'rate-exceeded'}, await response.text()
            return response.status == 200

    async def send():
        # Buckets start empty, and the wait for the fleet took their tokens.
        for form in forms:
            await wait_until(partial(answered, form), 5, 'a token')

    context.run(send())


@then('no target has seen a key')
def then_no_keys(context):
    async def records():
        found = []
        around = context.fleet.around
        for target in around.control_ports:
            for plan in context.fleet.plan.workspaces:
                key = plan.key
                forms = (key, base64.b64encode(key.encode()).decode()[4:-4])
                for form in forms:
                    found += await around.target_records(target, form)
        return found

    assert not context.run(records())


@then('{host} answers every lookup for {seconds:f} s')
def then_answers_for(context, host, seconds):
    plan = context.fleet.plan.workspaces[-1]
    url = f'{context.fleet.caller_url(host)}/sett/x'

    async def send():
        session = context.fleet.around.session
        ends_at = time.monotonic() + seconds
        answered = 0
        while time.monotonic() < ends_at:
            headers = {'X-Api-Key': plan.key}
            # A new connection each time, as a caller with an answer makes.
            headers['Connection'] = 'close'
            async with session.get(url, headers=headers) as response:
                reason = response.headers.get('Oleanderridge-Reason')
                assert reason in {None, 'rate-exceeded'}, reason
                answered += response.status == 200
            await asyncio.sleep(0.05)
        assert answered

    context.run(send())
