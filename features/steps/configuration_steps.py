"""Steps about bundles at the platform and at peers."""

import json

from behave import given, then, when

from bench.processes import wait_until
from oleanderridge.config.signing import generate_keypair, manifest_digest

_SILENT = {'silence': True}


@given('the platform cannot be reached from {hosts}')
def given_platform_cut(context, hosts):
    async def cut():
        for host in hosts.split(' and '):
            await context.fleet.around.link_faults(
                f'platform-{host}', forward=_SILENT, back=_SILENT
            )

    context.run(cut())


@given('{sender} cannot send to {receiver}')
def given_one_way_cut(context, sender, receiver):
    link = f'peer-{sender}-{receiver}'
    context.run(context.fleet.around.link_faults(link, forward=_SILENT))


async def _publish_manifest(context, manifest):
    content = json.dumps(manifest).encode()
    await context.fleet.around.set_value('bundle/manifest', content)


@when('the platform serves the first bundle again')
def when_first_again(context):
    context.run(_publish_manifest(context, context.first_manifest))


@when('a second bundle with version 1 is published')
def when_second(context):
    fleet = context.fleet

    def edit(document):
        document['version'] = 0
        document['workspaces'][0]['rate'] += 1

    context.run(fleet.change_bundle(edit))
    # Later versions follow from the bundle that the hosts have.
    fleet.manifest = context.first_manifest


@then('a host reports a conflict within {seconds:d} s')
def then_conflict(context, seconds):
    async def reported():
        states = [await context.fleet.status(h) for h in context.fleet.listed]
        return any(state['bundle_conflicts'] for state in states)

    context.run(wait_until(reported, seconds, 'a conflict is reported'))


@then('every host has the first bundle')
def then_first(context):
    digest = manifest_digest(context.first_manifest)

    async def states():
        return [await context.fleet.status(h) for h in context.fleet.listed]

    digests = {state['bundle_digest'] for state in context.run(states())}
    assert digests == {digest}, digests


@when('a bundle signed with a foreign key is published')
def when_foreign(context):
    fleet = context.fleet
    own = fleet.keypair
    fleet.keypair = generate_keypair()
    context.run(fleet.publish_bundle())
    fleet.keypair = own


@when('a bundle with a corrupt chunk is published')
def when_corrupt(context):
    around = context.fleet.around
    store = around.set_value

    async def store_corrupt(key, content):
        is_chunk = key.startswith('bundle/chunk/')
        await store(key, b'corrupt' if is_chunk else content)

    around.set_value = store_corrupt
    name = context.load.workspaces[0].name
    context.run(context.fleet.withdraw_key(name))
    around.set_value = store


@then('a host refuses a bundle within {seconds:d} s')
def then_refused(context, seconds):
    processes = context.fleet.around.processes

    async def refused():
        return any(
            'event=bundle-refused' in processes.by_name[host].text()
            for host in context.fleet.listed
        )

    context.run(wait_until(refused, seconds, 'a bundle is refused'))
