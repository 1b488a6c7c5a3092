"""Hosts take positions of the store over from each other, under failures."""

import asyncio
import json

import pytest

from tests.gossip_model import each_step, run_fleet
from tests.restored_fleet import LAPSE_S, RestoredFleet, Target

# What the operator allows for a target that leaves and for a configuration,
# and how long a host is left alone before it has to keep to that.
_DRAIN_S = 2.0
_APPLY_S = 2.0
_CONTACT_S = 3.0
_STEP_S = 0.1


class _Troubles:
    """A fleet whose hosts freeze, die and lose the store or each other."""

    def __init__(self, fleet, seed):
        self.world = RestoredFleet(fleet, seed)
        self.fleet = fleet
        self.store = self.world.store
        self.rng = self.world.rng
        self.targets = []
        self.left_at = {}
        self.written_at = {}
        self.version = 0
        self.disturbed_at = {}
        self.busy = set()
        self.found = set()

    async def begin(self):
        for _ in range(8):
            self.add_target()
        self.publish()
        self.world.start()
        await asyncio.sleep(5)
        self.world.tasks.append(asyncio.create_task(self._watch()))

    def add_target(self):
        place = len(self.targets)
        target = Target(self.store, f'i-{place}', 100 + place)
        self.targets.append(target)
        self.world.tasks.append(asyncio.create_task(target.run(0)))

    def publish(self):
        self.version += 1
        content = {'version': f'r{self.version}', 'resources': []}
        self.store.write('op/config', json.dumps(content).encode())
        self.written_at[self.version] = _now()

    def leave_one(self, *, drains=False):
        target = self.rng.choice(
            [each for each in self.targets if each.name not in self.left_at]
        )
        if drains:
            target.drain()
        else:
            target.leave()
        self.left_at[target.name] = _now()
        return target

    async def freeze(self, host, seconds):
        self._disturb(host)
        self.fleet.freeze(host)
        await asyncio.sleep(seconds)
        self.fleet.thaw(host)
        self._settle(host)

    async def restart(self, host, seconds):
        self._disturb(host)
        self.world.kill_host(host)
        await asyncio.sleep(seconds)
        self.fleet.restart(host)
        self.world.start_host(host)
        self._settle(host)

    async def cut_from_store(self, host, seconds):
        self._disturb(host)
        self.world.cut_off_hosts.add(host)
        await asyncio.sleep(seconds)
        self.world.cut_off_hosts.discard(host)
        self._settle(host)

    async def cut_from_each_other(self, hosts, seconds):
        self.fleet.cut_off = set(hosts)
        await asyncio.sleep(seconds)
        self.fleet.cut_off = set()

    def in_touch(self):
        """Return the hosts that have been left alone for a while."""
        now = _now()
        return [
            host
            for host in self.fleet.by_host
            if now - self.disturbed_at.get(host, 0) > _CONTACT_S
        ]

    def reader(self):
        """Return the host that reads the store for the first zone."""
        host = min(self.fleet.by_host)
        return self.fleet.rosters[host].relay(_now())

    async def until_answered(self, host):
        """Wait until the store answers a host again."""
        since = _now()
        async for _ in each_step(6):
            if self.world.answered_at[host] > since:
                return

    def assert_nothing_late(self):
        assert not self.found

    async def assert_settled(self):
        await asyncio.sleep(12)
        self.assert_nothing_late()
        listed = set(self.store.targets())
        for host in self.fleet.by_host:
            assert set(self.world.table(host).by_id) == listed, host
            assert self.world.beliefs(host).version() == self.version
        digests = {self.world.table(host).digest for host in self.fleet.by_host}
        assert len(digests) == 1

    def _disturb(self, host):
        self.busy.add(host)
        self.disturbed_at[host] = float('inf')

    def _settle(self, host):
        self.busy.discard(host)
        self.disturbed_at[host] = _now()

    async def _watch(self):
        while True:
            await asyncio.sleep(_STEP_S)
            now = _now()
            for host in self.in_touch():
                for name in self.world.ready_targets(host):
                    late_s = now - self.left_at.get(name, now)
                    if late_s > _DRAIN_S + _STEP_S:
                        self.found.add((host, name, self.left_at[name]))
                version = self.world.beliefs(host).version()
                since = self.written_at.get(version + 1, now)
                if now - since > _APPLY_S + _STEP_S:
                    self.found.add((host, version, since))


def _now():
    return asyncio.get_running_loop().time()


def _play(monkeypatch, count, zones, seed, scenario):
    async def play(fleet):
        troubles = _Troubles(fleet, seed)
        await troubles.begin()
        try:
            await scenario(troubles)
        finally:
            troubles.world.stop()

    run_fleet(monkeypatch, count, seed, play, LAPSE_S, zones)


@pytest.mark.parametrize('count', [3, 6, 12])
@pytest.mark.parametrize('seed', range(4))
def test_a_target_that_left_during_a_freeze_stays_out(monkeypatch, seed, count):
    """Guards against a removal that fresh hosts cannot tell a frozen one."""

    async def scenario(troubles):
        hosts = list(troubles.fleet.by_host)
        frozen = troubles.reader()
        others = [host for host in hosts if host != frozen]
        freeze = asyncio.create_task(troubles.freeze(frozen, 3))
        await asyncio.sleep(0.2)
        restarts = [
            asyncio.create_task(troubles.restart(host, 0.8)) for host in others
        ]
        await asyncio.sleep(0.4)
        troubles.leave_one()
        await asyncio.sleep(1)
        # Changes move the position on, past the removal.
        for _ in range(6):
            troubles.publish()
            await asyncio.sleep(0.4)
        await asyncio.gather(freeze, *restarts)
        await troubles.assert_settled()

    _play(monkeypatch, count, 3, seed, scenario)


@pytest.mark.parametrize('zones', [1, 3])
@pytest.mark.parametrize('seed', range(4))
def test_a_removal_outlives_the_reader_that_learned_it(
    monkeypatch, seed, zones
):
    """Guards against a postponed removal that dies with the reading host."""

    async def scenario(troubles):
        reader = troubles.reader()
        await troubles.cut_from_store(reader, 3)
        await troubles.until_answered(reader)
        await asyncio.sleep(troubles.rng.uniform(0.1, 0.3))
        troubles.leave_one()
        await asyncio.sleep(troubles.rng.uniform(0.4, 0.9))
        await troubles.restart(reader, 1)
        await troubles.assert_settled()

    _play(monkeypatch, 3, zones, seed, scenario)


@pytest.mark.parametrize('zones', [1, 3])
@pytest.mark.parametrize('seed', range(4))
def test_a_cut_of_the_reader_postpones_no_removal(monkeypatch, seed, zones):
    """Guards against a cut path to the store taken for its absence."""

    async def scenario(troubles):
        reader = troubles.reader()
        await troubles.cut_from_store(reader, 3)
        await troubles.until_answered(reader)
        await asyncio.sleep(0.02)
        troubles.leave_one()
        await troubles.assert_settled()

    _play(monkeypatch, 3, zones, seed, scenario)


@pytest.mark.parametrize('ahead_s', [0.1, 0.5, 0.9, 1.4])
@pytest.mark.parametrize('seed', range(3))
def test_a_target_that_leaves_during_a_cut_is_out_in_time(
    monkeypatch, seed, ahead_s
):
    """Guards against a removal that the reader learns late and postpones."""

    async def scenario(troubles):
        cut = troubles.cut_from_store(troubles.reader(), 3)
        cut = asyncio.create_task(cut)
        await asyncio.sleep(3 - ahead_s)
        troubles.leave_one()
        await cut
        await troubles.assert_settled()

    _play(monkeypatch, 3, 1, seed, scenario)


@pytest.mark.parametrize('seed', range(3))
def test_an_outage_that_ends_leases_ends_no_use(monkeypatch, seed):
    """Guards against targets dropped before they can register again."""

    async def scenario(troubles):
        troubles.store.down = True
        await asyncio.sleep(4.5)
        lost = troubles.targets[:5]
        for target in lost:
            troubles.store.write(f'servers/{target.name}', None, _now())
        troubles.store.down = False
        for _ in range(10):
            await asyncio.sleep(0.1)
            for host in troubles.fleet.by_host:
                assert len(troubles.world.ready_targets(host)) == 8
        await troubles.assert_settled()

    _play(monkeypatch, 6, 3, seed, scenario)


def _random_trouble(troubles, hosts):
    """Return a coroutine that disturbs some hosts, at times many at once."""
    rng = troubles.rng
    idle = [host for host in hosts if host not in troubles.busy]
    count = rng.choice((1, 1, 1, 2, max(1, len(idle) - 1)))
    chosen = rng.sample(idle, min(count, len(idle)))
    if rng.random() < 0.5 and troubles.reader() in idle:
        chosen = [troubles.reader()]
    kind = rng.choice(('freeze', 'restart', 'cut_from_store', 'apart'))
    if kind == 'apart':
        return [troubles.cut_from_each_other(chosen, rng.uniform(0.5, 5))]
    return [
        getattr(troubles, kind)(host, rng.uniform(0.3, 4)) for host in chosen
    ]


@pytest.mark.parametrize(
    ('count', 'zones', 'seed'),
    [
        *((3, 1, seed) for seed in range(8)),
        *((6, 3, seed) for seed in range(8)),
        *((12, 3, seed) for seed in range(4)),
        (12, 1, 0),
        (104, 3, 0),
    ],
)
def test_positions_are_true_under_troubles_in_any_order(
    monkeypatch, count, zones, seed
):
    """Guards against hosts that claim a position whose changes they lack."""

    async def scenario(troubles):
        hosts = list(troubles.fleet.by_host)
        running = []
        for _ in range(60):
            await asyncio.sleep(troubles.rng.uniform(0.05, 0.6))
            kind = troubles.rng.random()
            left = len(troubles.targets) - len(troubles.left_at)
            if kind < 0.2:
                running += map(
                    asyncio.create_task, _random_trouble(troubles, hosts)
                )
            elif kind < 0.55 and left > 3:
                troubles.leave_one(drains=kind < 0.3)
            elif kind < 0.85:
                troubles.add_target()
            else:
                troubles.publish()
        await asyncio.gather(*running)
        await troubles.assert_settled()

    _play(monkeypatch, count, zones, seed, scenario)
