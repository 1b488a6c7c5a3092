"""A follower of a stand-in store, with real sockets."""

import asyncio
from contextlib import asynccontextmanager

from aiohttp import web

from bench import platform
from oleanderridge.config.follower import FollowerPorts, StoreFollower
from oleanderridge.gateway.beliefs import Beliefs
from oleanderridge.platform.store import StoreClient
from tests.gateway_world import gateway_settings

_ENTRY = (
    b'{"service":"s","address":"127.0.0.1:%d","zone":"z1","version":"v1",'
    b'"slots":2,"state":"%s","warmup_left_s":0,"sequence":%d,"born":%d}'
)


def entry(port=1, state=b'ready', sequence=4, born=1):
    """Return the entry of a target."""
    return _ENTRY % (port, state, sequence, born)


class FollowerWorld:
    """A follower of a stand-in store."""

    def __init__(self, state, address):
        self.store = state
        self.beliefs = Beliefs(
            lambda _configuration: None, lambda: None, outage_s=0.4, lapse_s=1.2
        )
        self.table = self.beliefs.table
        self.documents = []
        self.words = 0
        settings = gateway_settings(
            f'store: {{address: "{address}", wait_s: 0.2, timeout_s: 0.2, '
            'return_grace_s: 0.6, renewal_s: 0.2}',
            without='store',
        )
        self.client = StoreClient(address, 0.2)
        self.follower = StoreFollower(
            settings,
            self.client,
            self.table,
            FollowerPorts(
                self.documents.append,
                lambda: None,
                self._on_word,
                self.beliefs.record_store_failure,
                lambda: True,
                lambda: settings['store']['wait_s'],
                lambda: self.beliefs.outage_ended_at,
                self.beliefs.advance,
                lambda: self.beliefs.position,
            ),
        )

    def _on_word(self):
        self.words += 1
        self.beliefs.confirm(asyncio.get_running_loop().time())

    def calls(self):
        """Return the number of calls that the store got."""
        return sum(self.store.calls.values())

    async def until(self, condition, timeout_s=3.0):
        """Wait for a condition while removals fall due."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                self.table.lapse(asyncio.get_running_loop().time())
                await asyncio.sleep(0.01)


@asynccontextmanager
async def _followed_store():
    app = platform.build_app()
    runner = web.AppRunner(app, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    world = FollowerWorld(app[platform.STATE], f'127.0.0.1:{port}')
    task = asyncio.create_task(world.follower.run())
    try:
        yield world
    finally:
        task.cancel()
        await world.client.close()
        app[platform.STATE].set_mode('down')
        await runner.cleanup()


def run_followed(scenario):
    """Run a scenario with a started follower."""

    async def run():
        async with _followed_store() as world:
            await scenario(world)

    asyncio.run(run())
