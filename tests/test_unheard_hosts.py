"""Hosts that hear the others and the store, and that no other host hears."""

import asyncio
import json
from itertools import product

import pytest

from tests.gossip_model import run_fleet
from tests.restored_fleet import LAPSE_S, RestoredFleet, Target

_APPLY_S = 2.0
# Longest part of a cut in which a change may be made; a later one is like it.
_CUT_S = 8.0


def _configuration(version):
    return json.dumps({'version': f'r{version}', 'resources': []}).encode()


@pytest.mark.parametrize(
    ('hosts', 'changed_after_s', 'seed'),
    [
        *product([36], [0.02, 0.4, 1.0, 4.0], range(2)),
        *product([104], [0.02, 0.4], [0]),
    ],
)
def test_a_change_is_in_force_at_a_host_that_is_not_heard(
    monkeypatch, hosts, changed_after_s, seed
):
    """Guards against a withdrawn key that one host goes on accepting."""

    async def play(fleet):
        world = RestoredFleet(fleet, seed)
        world.store.write('op/config', _configuration(1))
        for place in range(6):
            target = Target(world.store, f'i-{place}', 100 + place)
            world.tasks.append(asyncio.create_task(target.run(0.1 * place)))
        world.start()
        await asyncio.sleep(4)
        now = asyncio.get_running_loop().time()
        others = [
            host
            for host, roster in fleet.rosters.items()
            if host not in (roster.relay(now), roster.leader(now))
        ]
        unheard = fleet.rng.sample(others, 2)
        fleet.unheard = set(unheard)
        await asyncio.sleep(changed_after_s)
        late = []
        for version in (2, 3):
            world.store.write('op/config', _configuration(version))
            await asyncio.sleep(_APPLY_S)
            late += [
                (version, host)
                for host in fleet.by_host
                if world.beliefs(host).version() != version
            ]
        calls = world.store.calls
        await asyncio.sleep(_CUT_S)
        calls_per_s = (world.store.calls - calls) / _CUT_S
        world.stop()
        return late, calls_per_s

    late, calls_per_s = run_fleet(monkeypatch, hosts, seed, play, LAPSE_S)
    assert late == []
    # A reader for each zone, and the hosts that are not heard.
    assert calls_per_s < 20
