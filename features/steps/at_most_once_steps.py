"""Steps that run the forwarder against a faulty target over sockets."""

import asyncio

from behave import given, then, when

from bench import faulty_target as faults
from bench.faulty_target import BODY, FaultyTarget
from bench.forward_host import CLOSED_URL, Host, header, request
from oleanderridge.forward.stream import IncompleteBodyError

BEHAVIOURS = {
    'works slowly': faults.after(0.4),
    'resets the connection after the work': faults.reset_after_work,
    'sends a short body': faults.FAULTS['short body']['behave'],
}


def run(context, pending):
    return context.runner.run(pending)


@given('a target that {behaviour}')
def given_target(context, behaviour):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.target = FaultyTarget(BEHAVIOURS.get(behaviour))
    run(context, context.target.__aenter__())
    refuses = behaviour == 'refuses connections'
    limit = 64 if 'short' in behaviour else 4096
    url = CLOSED_URL if refuses else context.target.url
    context.host = Host([url], buffer_limit_bytes=limit)
    run(context, context.host.client.open())
    context.add_cleanup(run, context, context.host.client.close())


def order(context):
    sent = request('POST', headers=[('Idempotency-Key', context.key)])
    return context.host.handle(sent)


@when('the caller orders with the idempotency key "{key}"')
def when_ordered(context, key):
    context.key = key
    context.reply = run(context, order(context))


@when('the caller repeats the order')
def when_repeated(context):
    context.reply = run(context, order(context))


@when('the caller orders with the idempotency key "{key}" and leaves')
def when_ordered_and_left(context, key):
    async def leave():
        task = asyncio.create_task(order(context))
        await context.host.until(lambda: context.target.seen)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.key = key
    run(context, leave())


@when('the caller repeats the order once it has finished')
def when_repeated_later(context):
    live = context.host.forwarder.active_count
    run(context, context.host.until(lambda: live() == 0))
    context.reply = run(context, order(context))


@when('the target works again')
def when_target_works(context):
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
def when_two_orders(context):
    async def start():
        handle = context.host.handle
        context.running = asyncio.create_task(handle(request('POST')))
        await context.host.until(lambda: context.target.seen)
        context.host.permit_wait = asyncio.Event()
        context.waiting = asyncio.create_task(handle(request('POST')))
        await asyncio.sleep(0.02)

    run(context, start())


@when('the key is revoked')
def when_revoked(context):
    async def revoke():
        context.host.revoke()
        return await asyncio.gather(context.running, context.waiting)

    context.answered, context.reply = run(context, revoke())


@then('the caller gets the same answer, marked as a replay')
def then_replayed(context):
    assert (context.reply.status, context.reply.body) == (200, BODY)
    assert header(context.reply, 'idempotent-replay') == 'true'


@then('the caller gets a first answer')
def then_first_answer(context):
    assert (context.reply.status, context.reply.body) == (200, BODY)
    assert not header(context.reply, 'idempotent-replay')


@then('the target has executed {number:d} request')
def then_executed(context, number):
    assert sum(context.target.executions.values()) == number


@then('the {_order} is refused as "{reason}" with outcome "{outcome}"')
def then_refused(context, _order, reason, outcome):
    assert header(context.reply, 'oleanderridge-reason') == reason
    assert header(context.reply, 'oleanderridge-outcome') == outcome


@then('the running order is answered and its connection closes')
def then_answered(context):
    assert (context.answered.status, context.answered.body) == (200, BODY)
    assert header(context.answered, 'connection') == 'close'


@then('the transfer breaks')
def then_transfer_breaks(context):
    assert isinstance(context.error, IncompleteBodyError), context.error


@then("the caller's key was not sent to the target")
def then_key_not_sent(context):
    assert b'key-of-mill' not in context.target.seen[0].head
