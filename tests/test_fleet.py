"""Tests of the fleet without its hosts."""

import asyncio
import json

from aiohttp import ClientSession

from bench.fleet import Fleet
from bench.plans import FleetPlan, target_plans, workspace_plans
from bench.processes import Processes
from bench.surroundings import Surroundings
from oleanderridge.config.store import BundleStore
from oleanderridge.settings import parse_settings

_PLAN = FleetPlan(
    zone_by_host={},
    spares=('host-a', 'host-b'),
    targets=target_plans(1, 1),
    workspaces=workspace_plans(),
)


def test_published_bundles_are_accepted(tmp_path):
    """Guards against a bench whose bundles or settings hosts refuse."""

    async def scenario():
        async with (
            Processes(tmp_path) as processes,
            ClientSession() as session,
        ):
            around = Surroundings(processes, session)
            fleet = Fleet(_PLAN, around, tmp_path)
            await fleet.start()
            await fleet.withdraw_key('workspace-b')
            return fleet, await _read_bundle(fleet, session)

    fleet, document = asyncio.run(scenario())
    assert document['version'] == 2
    by_name = {one['name']: one for one in document['workspaces']}
    assert not by_name['workspace-b']['key_hashes']
    settings = json.dumps(fleet.settings_of('host-a'))
    assert parse_settings(settings, 'settings').is_ok()


async def _read_bundle(fleet, session):
    """Fetch the bundle as a host does, through the host's link."""
    store = BundleStore(frozenset([fleet.keypair.public]))
    port = fleet.link_ports['platform-host-a']
    values = f'http://127.0.0.1:{port}/v1/values/bundle'
    async with session.get(f'{values}/manifest') as response:
        offer = store.offer_manifest(json.loads(await response.read()))
    for digest in offer.missing:
        async with session.get(f'{values}/chunk/{digest}') as response:
            store.offer_chunk(digest, await response.read())
    return store.accepted.document
