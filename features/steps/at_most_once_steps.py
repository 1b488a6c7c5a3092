"""Steps that run a forwarder against a faulty target over TCP."""

import asyncio

from behave import given, then, when

from bench import faulty_target as faults
from bench.faulty_target import BODY, FaultyTarget
from bench.forward_host import CLOSED_URL, Host, header, request
from oleanderridge.forward.stream import IncompleteBodyError

TARGET_BEHAVIOURS = {
    'works slowly': faults.after(0.4),
    'resets the connection after the work': faults.reset_after_work,
    'sends a short body': faults.FAULTS['short body']['behave'],
}


def run(context, coroutine):
    return context.runner.run(coroutine)


@given('a target that {behaviour}')
def given_target(context, behaviour):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.target = FaultyTarget(TARGET_BEHAVIOURS.get(behaviour))
    run(context, context.target.__aenter__())
    refuses_connections = behaviour == 'refuses connections'
    buffer_limit_bytes = 64 if 'short' in behaviour else 4096
    url = CLOSED_URL if refuses_connections else context.target.url
    context.host = Host([url], buffer_limit_bytes=buffer_limit_bytes)
    run(context, context.host.client.open())
    context.add_cleanup(run, context, context.host.client.close())


def send_keyed_request(context):
    sent = request('POST', headers=[('Idempotency-Key', context.key)])
    return context.host.handle(sent)


@when('the caller orders with the idempotency key "{key}"')
def when_request_sent(context, key):
    context.key = key
    context.reply = run(context, send_keyed_request(context))


@when('the caller repeats the order')
def when_request_repeated(context):
    context.reply = run(context, send_keyed_request(context))


@when('the caller orders with the idempotency key "{key}" and leaves')
def when_caller_disconnects(context, key):
    async def disconnect_while_running():
        task = asyncio.create_task(send_keyed_request(context))
        await context.host.until(lambda: context.target.seen)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.key = key
    run(context, disconnect_while_running())


@when('the caller repeats the order once it has finished')
def when_request_repeated_after_end(context):
    active_count = context.host.forwarder.active_count
    run(context, context.host.until(lambda: active_count() == 0))
    context.reply = run(context, send_keyed_request(context))


@when('the target works again')
def when_target_recovers(context):
    context.target.behave = faults.complete
    context.host.urls = [context.target.url]


@when('the caller downloads')
def when_downloaded(context):
    async def download():
        reply = await context.host.handle(request())
        return b''.join([chunk async for chunk in reply.stream])

    try:
        run(context, download())
    except Exception as error:
        context.error = error


@when('an order runs and another order waits')
def when_one_request_runs_and_one_is_queued(context):
    async def start_requests():
        handle = context.host.handle
        context.running_task = asyncio.create_task(handle(request('POST')))
        await context.host.until(lambda: context.target.seen)
        context.host.permit_wait = asyncio.Event()
        context.queued_task = asyncio.create_task(handle(request('POST')))
        await asyncio.sleep(0.02)

    run(context, start_requests())


@when('the key is revoked')
def when_key_revoked(context):
    async def revoke():
        context.host.revoke()
        return await asyncio.gather(context.running_task, context.queued_task)

    context.running_reply, context.reply = run(context, revoke())


@then('the caller gets the same answer, marked as a replay')
def then_replayed(context):
    assert (context.reply.status, context.reply.body) == (200, BODY)
    assert header(context.reply, 'idempotent-replay') == 'true'


@then('the caller gets a first answer')
def then_first_answer(context):
    assert (context.reply.status, context.reply.body) == (200, BODY)
    assert not header(context.reply, 'idempotent-replay')


@then('the target has executed {count:d} request')
def then_execution_count(context, count):
    assert sum(context.target.executions.values()) == count


@then('the {_request} is refused as "{reason}" with outcome "{outcome}"')
def then_refused(context, _request, reason, outcome):
    assert header(context.reply, 'oleanderridge-reason') == reason
    assert header(context.reply, 'oleanderridge-outcome') == outcome


@then('the running order is answered and its connection closes')
def then_running_request_answered(context):
    assert (context.running_reply.status, context.running_reply.body) == (
        200,
        BODY,
    )
    assert header(context.running_reply, 'connection') == 'close'


@then('the transfer breaks')
def then_transfer_fails(context):
    assert isinstance(context.error, IncompleteBodyError), context.error


@then("the caller's key was not sent to the target")
def then_key_not_sent(context):
    assert b'key-of-mill' not in context.target.seen[0].head
