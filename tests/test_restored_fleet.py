"""A fleet whose store comes back from an older copy of itself."""

import asyncio
import json

import pytest

from tests.gossip_model import run_fleet
from tests.restored_fleet import LAPSE_S, RestoredFleet, Target

# What the operator allows for a change to be in force, and for a target that
# drains to get no more requests.
_APPLY_S = 2.0
_CALLS_PER_S = 60
_HOSTS = 12


def _configuration(version):
    return json.dumps({'version': f'r{version}', 'resources': []}).encode()


class _Day:
    """One day of a fleet: targets, configurations and returns."""

    def __init__(self, fleet, seed):
        self.world = RestoredFleet(fleet, seed)
        self.store = self.world.store
        self.rng = self.world.rng
        self.version = 0
        self.targets = []
        self.left = {}

    async def begin(self):
        for _ in range(8):
            self.add_target(self.rng.random())
        self.publish()
        self.world.start()
        self.world.tasks.append(asyncio.create_task(self._keep_copies()))
        await asyncio.sleep(4)

    def add_target(self, start_after_s=0.0):
        place = len(self.targets)
        target = Target(self.store, f'i-{place}', 100 + place)
        self.targets.append(target)
        self.world.tasks.append(asyncio.create_task(target.run(start_after_s)))

    def publish(self):
        self.version += 1
        self.store.write('op/config', _configuration(self.version))

    def leave_one(self, *, drains):
        target = next(each for each in self.targets if not each.left)
        if drains:
            target.drain()
        else:
            target.leave()
        self.left[target.name] = _now()

    async def restore(self, lost_s, away_s):
        self.store.down = True
        await asyncio.sleep(away_s)
        self.store.restore(_now() - away_s - lost_s, _now())
        self.store.down = False
        asyncio.get_running_loop().call_later(0.5, self._publish_again)

    def uses_a_target_that_left(self):
        """Return targets that hosts use long after they said to leave."""
        return {
            (host, name, round(_now() - self.left[name], 2))
            for host in self.world.fleet.by_host
            for name in self.world.ready_targets(host) & set(self.left)
            if _now() - self.left[name] > _APPLY_S
        }

    def hosts_with_an_old_version(self):
        return {
            host
            for host in self.world.fleet.by_host
            if self.world.beliefs(host).version() != self.version
        }

    def hosts_with_other_targets(self):
        listed = set(self.store.targets())
        return {
            host: set(self.world.table(host).by_id) ^ listed
            for host in self.world.fleet.by_host
            if set(self.world.table(host).by_id) != listed
        }

    def _publish_again(self):
        content = _configuration(self.version)
        if self.store.read('op/config') != content:
            self.store.write('op/config', content)

    async def _keep_copies(self):
        while True:
            if not self.store.down:
                self.store.drop_silent(_now())
                self.store.keep_copy(_now())
            await asyncio.sleep(0.1)


def _now():
    return asyncio.get_running_loop().time()


def _play(monkeypatch, seed, scenario):
    async def play(fleet):
        day = _Day(fleet, seed)
        await day.begin()
        try:
            await scenario(day)
        finally:
            day.world.stop()

    run_fleet(monkeypatch, _HOSTS, seed, play, LAPSE_S)


async def _settled(day):
    await asyncio.sleep(LAPSE_S + 6)
    assert not day.hosts_with_an_old_version()
    assert not day.hosts_with_other_targets()
    digests = {day.world.table(host).digest for host in day.world.fleet.by_host}
    assert len(digests) == 1


@pytest.mark.parametrize('seed', range(4))
def test_changes_after_a_return_are_in_force_in_time(monkeypatch, seed):
    """Guards against a fleet that compares revisions of two histories."""

    async def scenario(day):
        for _ in range(12):
            await asyncio.sleep(0.3)
            day.publish()
        day.add_target()
        await asyncio.sleep(1)
        await day.restore(lost_s=3 + 2 * day.rng.random(), away_s=1.5)
        before = day.store.calls
        for _ in range(16):
            await asyncio.sleep(0.25)
            day.publish()
        assert day.store.calls - before <= 4 * _CALLS_PER_S
        day.leave_one(drains=True)
        await asyncio.sleep(_APPLY_S)
        assert not day.hosts_with_an_old_version()
        assert not day.uses_a_target_that_left()
        await _settled(day)

    _play(monkeypatch, seed, scenario)


@pytest.mark.parametrize('drains', [True, False])
@pytest.mark.parametrize('seed', range(3))
def test_no_host_uses_a_target_that_left_before_the_return(
    monkeypatch, seed, drains
):
    """Guards against targets that an older copy brings back."""

    async def scenario(day):
        for _ in range(2):
            day.leave_one(drains=drains)
            await asyncio.sleep(0.6)
        await asyncio.sleep(_APPLY_S)
        await day.restore(lost_s=6, away_s=0.3)
        for _ in range(40):
            assert not day.uses_a_target_that_left()
            await asyncio.sleep(0.1)
        await _settled(day)

    _play(monkeypatch, seed, scenario)


@pytest.mark.parametrize('seed', range(6))
def test_hosts_agree_after_returns_cuts_and_changes_in_any_order(
    monkeypatch, seed
):
    """Guards against hosts that part for good over what a copy brings back."""

    async def scenario(day):
        hosts = list(day.world.fleet.by_host)
        for _ in range(4):
            for _ in range(day.rng.randrange(1, 6)):
                await asyncio.sleep(day.rng.uniform(0.05, 0.9))
                day.rng.choice(
                    (
                        day.publish,
                        day.add_target,
                        lambda: day.leave_one(drains=True),
                        lambda: day.leave_one(drains=False),
                    )
                )()
            count = day.rng.randrange(0, 5)
            day.world.cut_off_hosts = set(day.rng.sample(hosts, count))
            day.world.fleet.cut_off = set(day.rng.sample(hosts, count))
            away_s = day.rng.choice((0.1, 0.5, 2.0))
            await day.restore(day.rng.uniform(1, 6), away_s)
            await asyncio.sleep(day.rng.uniform(0.1, 3))
            day.world.cut_off_hosts = set()
            day.world.fleet.cut_off = set()
        await _settled(day)

    _play(monkeypatch, seed, scenario)
