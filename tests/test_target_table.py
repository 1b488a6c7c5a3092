"""What a table of targets may claim, tell others and take over from them."""

import asyncio

import pytest

from oleanderridge.gateway import target_table
from oleanderridge.gateway.store_position import NO_POSITION
from oleanderridge.gateway.target_sync import apply_targets, targets_reply
from oleanderridge.gateway.target_table import TargetTable
from oleanderridge.generated.fleet import SyncRequest
from tests.followed_store import entry, run_followed
from tests.gateway_world import at, record


def _listed(*records, position):
    table = TargetTable()
    table.replace(records, position)
    return table


def _fetch(table, other):
    """Let a host fetch the targets of another one; return the reply."""
    request = SyncRequest(
        0,
        table.position.revision,
        table.digest,
        0,
        store_era=table.position.era,
    )
    reply = targets_reply(other, request, 0)
    apply_targets(table, reply, 0)
    return reply


def test_a_host_behind_the_first_list_gets_all_records():
    """Guards against a removal that has no tombstone at the other host."""
    frozen = _listed(record('a', revision=3), record('b'), position=at(5))
    fresh = _listed(record('b'), record('c', revision=8), position=at(9))
    assert _fetch(frozen, fresh).whole
    assert set(frozen.by_id) == {'b', 'c'}
    assert frozen.position == at(9)


def test_a_host_since_the_first_list_gets_changes():
    """Guards against whole lists for hosts that are a little behind."""
    table, other = (
        _listed(record('a', revision=3), position=at(5)) for _ in range(2)
    )
    other.remove('a', at(7))
    other.put(record('b', revision=8))
    other.advance(at(8))
    assert not _fetch(table, other).whole
    assert set(table.by_id) == {'b'}
    assert table.knows_changes_since(at(5))


def test_a_host_that_skipped_a_removal_does_not_vouch_for_it():
    """Guards against a short-lived target at a host between two positions."""
    reader = _listed(record('a', revision=3), position=at(5))
    follower = _listed(record('a', revision=3), position=at(5))
    behind = _listed(record('a', revision=3), position=at(5))
    for table in (reader, behind):
        table.put(record('b', revision=6))
        table.advance(at(6))
    reader.remove('b', at(7))
    reader.advance(at(8))
    follower.adopt(at(8), reader.last_removal)
    assert _fetch(behind, follower).whole
    assert set(behind.by_id) == {'a'}
    assert follower.knows_changes_since(at(5))
    assert not follower.knows_changes_since(at(6))


def test_forgotten_tombstones_end_what_is_known(monkeypatch):
    """Guards against a removal whose tombstone was dropped for newer ones."""
    monkeypatch.setattr(target_table, '_MAX_TOMBSTONES', 2)
    table = _listed(
        *(record(name, revision=3) for name in 'abcd'), position=at(5)
    )
    for place, name in enumerate('abc'):
        table.remove(name, at(6 + place))
    table.advance(at(9))
    assert not table.knows_changes_since(at(5))
    assert table.knows_changes_since(at(6))


def test_more_removals_than_are_told_lead_to_all_records(monkeypatch):
    """Guards against a reply that leaves out the oldest removals."""
    records = [record(f't{place}', revision=3) for place in range(300)]
    behind, table = (_listed(*records, position=at(5)) for _ in range(2))
    for place in range(299):
        table.remove(f't{place}', at(6 + place))
    table.advance(at(400))
    assert _fetch(behind, table).whole
    assert set(behind.by_id) == {'t299'}


def test_a_late_answer_brings_no_target_back():
    """Guards against a watch that was pending when newer targets arrived."""
    table = _listed(record('a', revision=3), position=at(5))
    other = _listed(record('a', revision=3), position=at(9))
    _fetch(table, other)
    # 'b' registered at 6 and was removed at 8.
    assert not table.put(record('b', revision=6))
    # Neither does a list that was asked for before.
    table.replace([record('a', revision=3), record('b', revision=6)], at(7))
    assert set(table.by_id) == {'a'}
    assert table.position == at(9)


def test_hosts_that_contradict_each_other_use_neither_claim():
    """Guards against an outdated entry that passes from host to host."""
    wrong = _listed(record('a', revision=3), record('b'), position=at(9))
    right = _listed(record('b'), position=at(9))
    _fetch(right, wrong)
    assert set(right.by_id) == {'b'}
    assert right.needs_check
    _fetch(wrong, right)
    assert set(wrong.by_id) == {'b'}
    assert wrong.needs_check


def test_changes_that_lead_to_other_targets_are_checked():
    """Guards against tables that differ although one follows the other."""
    table = _listed(record('a', revision=3), position=at(5))
    other = _listed(
        record('a', revision=3), record('b', revision=4), position=at(5)
    )
    other.put(record('c', revision=8))
    other.advance(at(8))
    _fetch(table, other)
    assert set(table.by_id) == {'a', 'c'}
    assert table.needs_check


def test_the_store_decides_between_claims():
    """Guards against a target that is missing for good after a wrong claim."""

    async def scenario(world):
        world.store.set_value('servers/i-1', entry(1))
        await world.until(lambda: 'i-1' in world.table.by_id)
        position = world.table.position
        for target in world.table.merge_list([], position):
            world.table.remove(target, position)
        assert not world.table.by_id
        await world.until(lambda: 'i-1' in world.table.by_id)
        before = world.calls()
        world.table.needs_check = True
        await asyncio.sleep(0.5)
        # Lists are not repeated at once.
        assert world.calls() - before <= 4

    run_followed(scenario)


@pytest.mark.parametrize('era', [1, 2])
def test_a_fresh_host_takes_everything_over(era):
    """Guards against a host that refuses the first list of another one."""
    table = TargetTable()
    other = _listed(record('a', revision=3, era=era), position=at(9, era))
    request = SyncRequest(0, 0, table.digest, 0)
    apply_targets(table, targets_reply(other, request, 0), 0)
    assert set(table.by_id) == {'a'}
    assert not table.needs_check
    assert NO_POSITION < table.position == at(9, era)


def test_a_retained_target_outlives_its_tombstone(monkeypatch):
    """Guards against a host that ends when many targets lapse at once."""
    monkeypatch.setattr(target_table, '_MAX_TOMBSTONES', 2)
    table = _listed(
        *(record(name, revision=3) for name in 'abcd'), position=at(5)
    )
    for place, name in enumerate('abcd'):
        table.postpone_removal(name, at(6 + place), 10)
    assert not table.put(record('a', revision=4))
    assert table.put(record('a', revision=11))
    assert set(table.lapse(11)) == {'b', 'c', 'd'}
    assert set(table.by_id) == {'a'}


def test_a_retained_target_is_not_brought_back_before_its_last_removal():
    """Guards against an entry between two removals of one target."""
    table = _listed(record('a', revision=3), position=at(5))
    table.postpone_removal('a', at(6), 10)
    other = _listed(record('a', revision=8), position=at(8))
    other.remove('a', at(9))
    other.advance(at(9))
    _fetch(table, other)
    assert not table.put(record('a', revision=8))
    assert table.lapse(11) == ['a']
    assert not table.by_id
