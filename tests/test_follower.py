"""The store is followed through outages, lapses and lost history."""

import asyncio

from tests.followed_store import entry, run_followed


def test_targets_and_documents_arrive_in_pages_and_as_changes():
    """Guards against a list of which only the first page is read."""

    async def scenario(world):
        for place in range(120):
            world.store.set_value(f'servers/i-{place}', entry(place + 1))
        world.store.set_value('op/config', b'one')
        await world.until(lambda: len(world.table.by_id) == 120)
        assert world.documents[-1] == b'one'
        world.store.set_value('op/config', b'two')
        world.store.set_value('servers/i-3', entry(4, b'draining'))
        await world.until(lambda: world.table.by_id['i-3'].state == 'draining')
        await world.until(lambda: world.documents[-1] == b'two')
        world.store.remove_value('servers/i-5')
        await world.until(lambda: 'i-5' not in world.table.by_id)

    run_followed(scenario)


def test_a_malformed_entry_names_no_target_and_harms_no_other():
    """Guards against one writer's bytes that stop the whole list."""

    async def scenario(world):
        world.store.set_value('servers/i-0', b'\xff\x00')
        world.store.set_value('servers/i-1', b'{"service": 4}')
        world.store.set_value('servers/i-2', entry(2, b'asleep'))
        world.store.set_value('servers/i-3', entry(3))
        world.store.set_value('servers/other', b'[]')
        await world.until(lambda: 'i-3' in world.table.by_id)
        assert set(world.table.by_id) == {'i-3'}

    run_followed(scenario)


def test_a_dropped_history_is_read_again_as_a_list():
    """Guards against changes that a dropped history hides for good."""

    async def scenario(world):
        for place in range(3):
            world.store.set_value(f'servers/i-{place}', entry(place + 1))
        await world.until(lambda: len(world.table.by_id) == 3)
        world.store.set_mode('paused')
        await asyncio.sleep(0.3)
        world.store.values.pop('servers/i-1')
        world.store.revision += 5
        world.store.forget_history()
        world.store.set_mode('up')
        world.store.set_value('servers/i-9', entry(9))
        await world.until(
            lambda: set(world.table.by_id) == {'i-0', 'i-2', 'i-9'}
        )

    run_followed(scenario)


def test_entries_that_lapsed_with_the_store_away_are_given_time():
    """Guards against an empty fleet after each outage of the store."""

    async def scenario(world):
        for place in range(3):
            world.store.set_value(f'servers/i-{place}', entry(place + 1))
        await world.until(lambda: len(world.table.by_id) == 3)
        loop = asyncio.get_running_loop()
        world.store.set_mode('down')
        await asyncio.sleep(0.8)
        for place in range(3):
            world.store.remove_value(f'servers/i-{place}')
        world.store.set_mode('up')
        back_at = loop.time()
        seen = world.words
        await world.until(lambda: world.words > seen)
        assert len(world.table.by_id) == 3
        world.store.set_value('servers/i-1', entry(2))
        await world.until(lambda: set(world.table.by_id) == {'i-1'})
        assert loop.time() - back_at > 0.5

    run_followed(scenario)


def test_a_host_that_was_cut_off_alone_removes_a_target_at_once():
    """Guards against a host that takes a broken path for an outage."""

    async def scenario(world):
        for place in range(2):
            world.store.set_value(f'servers/i-{place}', entry(place + 1))
        await world.until(lambda: len(world.table.by_id) == 2)
        loop = asyncio.get_running_loop()

        async def hear_of_the_store_from_others():
            while True:
                world.beliefs.confirm(loop.time())
                await asyncio.sleep(0.1)

        others = asyncio.create_task(hear_of_the_store_from_others())
        world.store.set_mode('down')
        await asyncio.sleep(1.4)
        world.store.set_mode('up')
        seen = world.words
        await world.until(lambda: world.words > seen)
        world.store.remove_value('servers/i-1')
        removed_at = loop.time()
        await world.until(lambda: set(world.table.by_id) == {'i-0'})
        others.cancel()
        assert loop.time() - removed_at < 0.4

    run_followed(scenario)


def test_a_host_that_is_back_last_waits_from_the_return_of_the_store():
    """Guards against lapsed targets that the last host back removes."""

    async def scenario(world):
        for place in range(2):
            world.store.set_value(f'servers/i-{place}', entry(place + 1))
        await world.until(lambda: len(world.table.by_id) == 2)
        world.store.set_mode('down')
        await asyncio.sleep(0.9)
        world.beliefs.confirm(asyncio.get_running_loop().time())
        world.store.remove_value('servers/i-1')
        world.store.set_mode('up')
        seen = world.words
        await world.until(lambda: world.words > seen)
        assert len(world.table.by_id) == 2
        await world.until(lambda: set(world.table.by_id) == {'i-0'})

    run_followed(scenario)


def test_a_busy_store_is_asked_less_often():
    """Guards against a flood of calls to a store that turns them away."""

    async def scenario(world):
        world.store.set_mode('busy')
        await asyncio.sleep(1.5)
        before = sum(world.store.calls.values())
        await asyncio.sleep(1.5)
        assert sum(world.store.calls.values()) - before <= 3

    run_followed(scenario)


def test_a_silent_store_does_not_hold_the_follower():
    """Guards against a connection that went silent for good."""

    async def scenario(world):
        world.store.set_value('servers/i-1', entry(1))
        await world.until(lambda: world.table.by_id)
        world.store.set_mode('paused')
        await asyncio.sleep(0.7)
        assert not world.follower.reachable
        world.store.set_mode('up')
        world.store.set_value('servers/i-2', entry(2))
        await world.until(lambda: len(world.table.by_id) == 2)

    run_followed(scenario)
