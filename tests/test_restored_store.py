"""The store comes back from an older copy of itself."""

import asyncio
from random import Random

import pytest

from oleanderridge.dispatch.target_state import Attempt, TargetState
from oleanderridge.gateway import target_table
from oleanderridge.gateway.beliefs import Beliefs
from oleanderridge.gateway.fleet_sync import FleetSync
from oleanderridge.gateway.outcomes import Outcome
from oleanderridge.gateway.target_sync import apply_targets
from oleanderridge.generated.fleet import SyncRequest
from oleanderridge.membership.roster import Roster
from tests.followed_store import entry, run_followed
from tests.gateway_world import at, gateway_settings, record

# Calls that a follower may make in a second after a return: one that ends each
# pause, and those of changes that it takes in batches.
_CALLS_PER_S = 12


def test_a_change_at_a_revision_given_out_again_arrives():
    """Guards against a change that is taken for one of the lost history."""

    async def scenario(world):
        world.store.set_value('servers/i-1', entry(1))
        world.store.set_value('op/config', b'one')
        await world.until(lambda: world.documents[-1:] == [b'one'])
        copy = world.store.copy()
        for port in range(2, 12):
            world.store.set_value('servers/i-1', entry(port, sequence=port))
        await world.until(lambda: world.table.by_id['i-1'].sequence == 11)
        world.store.set_mode('down')
        await asyncio.sleep(0.1)
        world.store.restore(copy)
        # As many changes again, so that the last known revision exists.
        world.store.set_value('op/config', b'two')
        for place in range(10):
            world.store.set_value(f'servers/j-{place}', entry(place + 20))
        world.store.set_mode('up')
        await world.until(lambda: world.documents[-1] == b'two')
        await world.until(lambda: 'j-9' in world.table.by_id)

    run_followed(scenario)


def test_changes_below_the_former_revision_arrive_without_a_flood_of_calls():
    """Guards against lists without end and entries rejected as outdated."""

    async def scenario(world):
        world.store.set_value('servers/i-1', entry(1, sequence=1))
        world.store.set_value('servers/i-2', entry(2, sequence=1))
        copy = world.store.copy()
        for _ in range(40):
            world.store.set_value('op/config', b'one')
        await world.until(lambda: world.documents[-1:] == [b'one'])
        world.store.set_mode('down')
        await asyncio.sleep(0.1)
        world.store.restore(copy)
        world.store.set_mode('up')
        seen = world.words
        await world.until(lambda: world.words > seen)
        before = world.calls()
        await asyncio.sleep(1)
        assert world.calls() - before <= _CALLS_PER_S
        world.store.set_value('servers/i-1', entry(1, b'draining', 8))
        world.store.set_value('servers/i-3', entry(3))
        world.store.remove_value('servers/i-2')
        await world.until(lambda: set(world.table.by_id) == {'i-1', 'i-3'}, 0.5)
        assert world.table.by_id['i-1'].state == 'draining'

    run_followed(scenario)


def test_the_copy_brings_back_no_target_that_left():
    """Guards against requests to targets that had left or drained."""

    async def scenario(world):
        for place in range(3):
            world.store.set_value(f'servers/i-{place}', entry(place + 1))
        await world.until(lambda: len(world.table.by_id) == 3)
        copy = world.store.copy()
        world.store.remove_value('servers/i-1')
        world.store.set_value('servers/i-2', entry(3, b'draining', 9))
        await world.until(lambda: set(world.table.by_id) == {'i-0', 'i-2'})
        world.store.set_mode('down')
        await asyncio.sleep(0.1)
        world.store.restore(copy)
        world.store.set_mode('up')
        seen = world.words
        await world.until(lambda: world.words > seen)
        await asyncio.sleep(0.3)
        assert set(world.table.by_id) == {'i-0', 'i-2'}
        assert world.table.by_id['i-2'].state == 'draining'
        assert world.table.is_leaving('i-1', 1)
        # An entry that outlives the time of a silent target is renewed.
        await world.until(lambda: 'i-1' in world.table.by_id)
        assert not world.table.is_leaving('i-1', 1)

    run_followed(scenario)


def test_a_target_that_left_and_registers_again_is_used_at_once():
    """Guards against a removal that outweighs what a target says later."""

    async def scenario(world):
        world.store.set_value('servers/i-1', entry(1))
        copy = world.store.copy()
        await world.until(lambda: 'i-1' in world.table.by_id)
        world.store.remove_value('servers/i-1')
        await world.until(lambda: not world.table.by_id)
        world.store.set_mode('down')
        await asyncio.sleep(0.1)
        world.store.restore(copy)
        world.store.set_mode('up')
        seen = world.words
        await world.until(lambda: world.words > seen)
        world.store.set_value('servers/i-1', entry(1, sequence=5))
        await world.until(lambda: 'i-1' in world.table.by_id, 0.5)

    run_followed(scenario)


def test_a_target_that_the_copy_lacks_is_kept_while_it_may_register():
    """Guards against new targets that each return takes out of use."""

    async def scenario(world):
        world.store.set_value('servers/i-1', entry(1))
        copy = world.store.copy()
        for place in (2, 3):
            world.store.set_value(f'servers/i-{place}', entry(place))
        world.store.set_value('servers/i-4', entry(4, b'draining'))
        await world.until(lambda: len(world.table.by_id) == 4)
        loop = asyncio.get_running_loop()
        world.store.set_mode('down')
        await asyncio.sleep(0.1)
        world.store.restore(copy)
        world.store.set_mode('up')
        back_at = loop.time()
        await world.until(lambda: len(world.table.by_id) == 3)
        assert set(world.table.by_id) == {'i-1', 'i-2', 'i-3'}
        world.store.set_value('servers/i-2', entry(2, sequence=7))
        await world.until(lambda: set(world.table.by_id) == {'i-1', 'i-2'})
        assert loop.time() - back_at > 0.5

    run_followed(scenario)


def test_a_list_of_two_eras_is_not_used():
    """Guards against pages from before and after a return in one list."""

    async def scenario(world):
        copy = world.store.copy()
        for place in range(120):
            world.store.set_value(f'servers/i-{place:03}', entry(place + 1))
        records, pages = world.store.records, []

        def restored_between_pages(prefix):
            listed = records(prefix)
            pages.append(prefix)
            if len(pages) == 2:
                world.store.restore(copy)
                world.store.set_value('servers/j', entry(9))
                listed = records(prefix)
            return listed

        world.store.records = restored_between_pages
        await world.until(lambda: 'j' in world.table.by_id)
        assert set(world.table.by_id) == {'j'}

    run_followed(scenario)


@pytest.mark.parametrize('returns', [5])
def test_returns_one_after_the_other_cost_few_calls(returns):
    """Guards against a flood of calls to a store that returns often."""

    async def scenario(world):
        world.store.set_value('servers/i-1', entry(1))
        await world.until(lambda: 'i-1' in world.table.by_id)
        copy = world.store.copy()
        before = world.calls()
        for place in range(returns):
            for sequence in range(5, 9):
                world.store.set_value(
                    'servers/i-1', entry(1, b'ready', sequence)
                )
            await asyncio.sleep(0.2)
            world.store.restore(copy)
            world.store.set_value('op/config', b'%d' % place)
        expected = b'%d' % (returns - 1)
        await world.until(lambda: world.documents[-1:] == [expected])
        assert world.calls() - before <= 6 * returns + _CALLS_PER_S

    run_followed(scenario)


def _host(*records, position, removed=None):
    """Return the sync of a host with a table, as after a list."""
    settings = gateway_settings()
    roster = Roster(settings, 1)
    beliefs = Beliefs(lambda _: None, lambda: None, lapse_s=6)
    for target, removed_at in (removed or {}).items():
        beliefs.table.put(record(target, revision=7, sequence=3))
        beliefs.table.remove(target, removed_at)
    beliefs.table.replace(records, position)
    sync = FleetSync(settings, roster, beliefs, None, Random(1))
    return sync, beliefs.table


def _fetch(sync, other):
    """Let a host fetch once from another one."""

    async def fetch_once():
        table = sync._beliefs.table
        request = SyncRequest(
            0,
            table.position.revision,
            table.digest,
            0,
            store_era=table.position.era,
        )
        grace_s = gateway_settings()['store']['return_grace_s']
        apply_targets(table, other.answer_sync(request), 100 + grace_s)

    asyncio.run(fetch_once())


def test_a_host_that_started_from_the_copy_learns_what_had_left():
    """Guards against a fresh host that uses targets of an older copy."""
    copied = record('a', revision=7, era=2, sequence=3)
    older, _ = _host(copied, position=at(9, 2), removed={'a': at(20)})
    fresh, table = _host(copied, position=at(9, 2))
    assert 'a' in table.by_id
    _fetch(fresh, older)
    assert 'a' not in table.by_id
    assert table.is_leaving('a', 1)
    # What the target says in the new era counts more.
    assert table.put(record('a', revision=12, era=2, sequence=4))


def test_a_host_keeps_a_target_that_a_fresh_host_does_not_know():
    """Guards against new targets that leave with the list of a copy."""
    older, table = _host(record('new', revision=25), position=at(30))
    fresh, _ = _host(record('a', revision=7, era=2), position=at(9, 2))
    _fetch(older, fresh)
    assert set(table.by_id) == {'a', 'new'}
    assert table.lapse(100.1) == []
    assert table.lapse(103) == ['new']


def test_the_same_targets_in_another_era_are_fetched_again():
    """Guards against equal revisions of two histories taken for one."""
    older, table = _host(record('a', revision=7), position=at(9))
    restored, _ = _host(
        record('a', revision=7, era=2, state='draining', sequence=1),
        position=at(9, 2),
    )

    async def hear():
        now = asyncio.get_running_loop().time()
        beat = restored._build_heartbeat(now, reply_wanted=False)
        assert older._is_behind(beat)
        older._reconcile(beat, now)
        assert table.position == at(9)

    older._start_fetch = lambda _host: None
    asyncio.run(hear())
    _fetch(older, restored)
    assert table.by_id['a'].state == 'draining'
    assert table.position == at(9, 2)
    assert table.digest == restored._beliefs.table.digest


def test_a_list_of_a_former_era_adds_no_target():
    """Guards against targets that only a host that was cut off still has."""
    behind, _ = _host(record('gone', revision=7), position=at(30))
    fresh, table = _host(record('a', revision=7, era=2), position=at(9, 2))
    _fetch(fresh, behind)
    assert set(table.by_id) == {'a'}


def test_an_address_given_to_another_target_stays_unused_after_a_return():
    """Guards against an old entry that a return makes look newer."""
    misdirected = TargetState(record('a', revision=9, sequence=4), 100)
    attempt = Attempt('h', False, 100, 101, 'r', 'lookup', False)
    misdirected.end(attempt, Outcome.OTHER_TARGET, 0.1, None, 100)
    assert misdirected.is_misdirected()
    misdirected.record = record('a', revision=9, era=2, sequence=4)
    assert misdirected.is_misdirected()
    misdirected.record = record('a', revision=3, era=2, sequence=5)
    assert not misdirected.is_misdirected()


def test_a_long_list_is_summed_up_once(monkeypatch):
    """Guards against a checksum of all targets for each one in a list."""
    sums = []

    def counted(content):
        sums.append(content)
        return len(sums)

    monkeypatch.setattr(target_table, 'crc32', counted)
    table = target_table.TargetTable()
    table.replace([record(f't{place}') for place in range(300)], at(9))
    assert table.digest == table.digest == 1
    table.remove('t1', at(10))
    assert table.digest == 2
