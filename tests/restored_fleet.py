"""A fleet that reads a store which comes back from older copies.

``Roster``, ``FleetSync``, ``StoreFollower`` and ``Beliefs`` run as they are;
clock, network, store and targets are simulated.
"""

import asyncio
from random import Random

from result import Err, Ok

from oleanderridge.config.follower import FollowerPorts, StoreFollower
from oleanderridge.gateway.store_position import StorePosition
from oleanderridge.platform.store import (
    FORGOTTEN,
    UNREACHABLE,
    StoreFault,
    StoreItem,
    StorePage,
)
from tests.followed_store import entry
from tests.gateway_world import gateway_settings

HEARTBEAT_S = 1.5
_MISSED_HEARTBEATS = 3
_CALL_S = 0.004
_POLL_S = 0.05
_TIMEOUT_S = 0.6
# A process that stood still for longer takes its call for timed out.
_ANSWER_LATE_S = 0.7
# As in ``gateway.process``: readers of a zone, and those with an old copy.
_STORE_AGE_MS = 1300
_STORE_AGE_PER_RANK_MS = 150
_STORE_AGE_MAX_MS = 2500
LAPSE_S = _MISSED_HEARTBEATS * HEARTBEAT_S + 2.2


class ModelStore:
    """Keys, their history, and the calls that were made."""

    def __init__(self):
        self.era = 1
        self.revision = 100
        self.down = False
        self.calls = 0
        self.copies = []
        self._values = {}
        self._history = []
        self._renewed_at = {}

    def write(self, key, content, now=0.0):
        """Write a key, or delete it with None."""
        self.revision += 1
        if content is None:
            self._values.pop(key, None)
        else:
            self._values[key] = (self.revision, content)
        self._history.append(StoreItem(key, content, self.revision))
        self._renewed_at[key] = now

    def read(self, key):
        """Return the content of a key, or None."""
        return self._values.get(key, (0, None))[1]

    def renew(self, key, now):
        """Renew the lease of a key."""
        self._renewed_at[key] = now

    def keep_copy(self, now):
        """Remember the state, of which the store may come back."""
        kept = (dict(self._values), list(self._history), self.revision)
        self.copies.append((now, kept))

    def restore(self, made_before, now):
        """Come back from the newest copy that is old enough."""
        old_enough = [
            kept for made_at, kept in self.copies if made_at <= made_before
        ]
        kept = old_enough[-1] if old_enough else self.copies[0][1]
        values, history, self.revision = kept
        self._values, self._history = dict(values), list(history)
        self._renewed_at = dict.fromkeys(values, now)
        self.era += 1

    def drop_silent(self, now):
        """Delete the entries of targets that are silent."""
        limit_s = _MISSED_HEARTBEATS * HEARTBEAT_S
        for key in list(self._values):
            silent_s = now - self._renewed_at[key]
            if key.startswith('servers/') and silent_s > limit_s:
                self.write(key, None, now)

    def targets(self):
        """Return the content by target."""
        return {
            key.removeprefix('servers/'): content
            for key, (_, content) in self._values.items()
            if key.startswith('servers/')
        }

    def listed(self):
        """Return all items."""
        return tuple(
            StoreItem(key, content, revision)
            for key, (revision, content) in self._values.items()
        )

    def since(self, revision):
        """Return the changes after a revision."""
        return tuple(item for item in self._history if item.revision > revision)


class _Client:
    """Calls the model store as ``StoreClient`` calls a real one."""

    def __init__(self, store, reaches_store, on_answer):
        self._store = store
        self._reaches_store = reaches_store
        self._on_answer = on_answer

    async def read_all(self, _prefix):
        if not await self._call():
            return Err(StoreFault(UNREACHABLE, 'down'))
        self._on_answer()
        return Ok(StorePage(self._store.listed(), self._position()))

    async def watch(self, _prefix, after, wait_s):
        if not await self._call():
            return Err(StoreFault(UNREACHABLE, 'down'))
        store, era = self._store, self._store.era
        if after > store.revision:
            return Err(StoreFault(FORGOTTEN, 'not there'))
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while not store.since(after) and loop.time() < until:
            polled_at = loop.time()
            await asyncio.sleep(_POLL_S)
            if not self._reaches_store():
                # Neither an answer nor a reset comes.
                await asyncio.sleep(wait_s + _TIMEOUT_S)
                return Err(StoreFault(UNREACHABLE, 'no answer in time'))
            paused_s = loop.time() - polled_at
            if store.down or store.era != era or paused_s > _ANSWER_LATE_S:
                return Err(StoreFault(UNREACHABLE, 'cut'))
            if after > store.revision:
                return Err(StoreFault(FORGOTTEN, 'not there'))
        self._on_answer()
        return Ok(StorePage(store.since(after), self._position()))

    async def _call(self):
        self._store.calls += 1
        await asyncio.sleep(_CALL_S)
        if not self._reaches_store():
            await asyncio.sleep(_TIMEOUT_S)
            return False
        return self._reaches_store() and not self._store.down

    def _position(self):
        return StorePosition(self._store.era, self._store.revision)


class Target:
    """A target that registers, renews its entry and leaves."""

    def __init__(self, store, name, port):
        self.name = name
        self.left = False
        self._store = store
        self._key = f'servers/{name}'
        self._port = port
        self._state = b'ready'
        self._sequence = 0
        self._written = {}

    async def run(self, start_after_s):
        """Renew the entry until the target leaves."""
        await asyncio.sleep(start_after_s)
        while not self.left:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def beat(self):
        """Write the entry if it lacks what this target said, or renew it."""
        now = asyncio.get_running_loop().time()
        if self._store.down:
            return
        self._sequence += 1
        if self._store.read(self._key) != self._written.get(self._state, b''):
            content = entry(self._port, self._state, self._sequence)
            self._written[self._state] = content
            self._store.write(self._key, content, now)
        self._store.renew(self._key, now)

    def drain(self):
        """Say that this target leaves."""
        self._state = b'draining'
        self.beat()

    def leave(self):
        """Delete the entry and end."""
        self.left = True
        if not self._store.down:
            now = asyncio.get_running_loop().time()
            self._store.write(self._key, None, now)


class RestoredFleet:
    """Followers of a model store in a gossiping fleet.

    Parameters
    ----------
    fleet : GossipFleet
        Hosts that exchange heartbeats; their beliefs are used.
    seed : int
        Seed of what hosts are cut off from the store.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.store = ModelStore()
        self.rng = Random(seed)
        self.cut_off_hosts = set()
        self.tasks = []
        self.tasks_by_host = {}
        # When each host had its last answer of the store.
        self.answered_at = {}

    def start(self):
        """Start the followers."""
        for host in self.fleet.by_host:
            self.start_host(host)

    def start_host(self, host):
        """Start the follower of one host."""
        self.tasks_by_host[host] = [
            self.fleet.start_task(host, self._follow(host)),
            self.fleet.start_task(host, self._maintain(host)),
        ]
        self.tasks += self.tasks_by_host[host]

    def kill_host(self, host):
        """Take the power from a host."""
        self.fleet.kill([host])
        for task in self.tasks_by_host[host]:
            task.cancel()

    def stop(self):
        """End all tasks."""
        for task in self.tasks:
            task.cancel()

    def beliefs(self, host):
        """Return what a host knows."""
        return self.fleet.by_host[host]._beliefs

    def table(self, host):
        """Return the targets that a host knows."""
        return self.beliefs(host).table

    def ready_targets(self, host):
        """Return the targets that a host uses."""
        table = self.table(host)
        return {
            name
            for name, record in table.by_id.items()
            if record.state == 'ready'
        }

    async def _follow(self, host):
        settings = gateway_settings()
        beliefs, sync = self.beliefs(host), self.fleet.by_host[host]

        def on_configuration(source):
            before = beliefs.version()
            beliefs.offer(source, 'store')
            if beliefs.version() != before:
                sync.announce()

        follower = StoreFollower(
            settings,
            _Client(
                self.store,
                lambda: host not in self.cut_off_hosts,
                lambda: self.answered_at.update({host: _now()}),
            ),
            beliefs.table,
            FollowerPorts(
                on_configuration,
                sync.announce,
                lambda: beliefs.confirm(_now()),
                beliefs.record_store_failure,
                lambda: self._should_read(host),
                lambda: self._wait_s(host),
                lambda: beliefs.outage_ended_at,
                beliefs.advance,
                lambda: beliefs.position,
            ),
        )
        await follower.run()

    async def _maintain(self, host):
        while True:
            if self.table(host).lapse(_now()):
                self.fleet.by_host[host].announce()
            await asyncio.sleep(0.25)

    def _should_read(self, host):
        now, roster = _now(), self.fleet.rosters[host]
        if roster.relay(now) == host:
            return True
        if self.fleet.by_host[host].lacks_configuration():
            return True
        return self._stands_in(host, now)

    def _stands_in(self, host, now):
        limit_ms = _STORE_AGE_MS + _STORE_AGE_PER_RANK_MS * (
            self.fleet.rosters[host].rank_in_zone(now)
        )
        age_ms = self.beliefs(host).age_ms(now)
        return age_ms > min(limit_ms, _STORE_AGE_MAX_MS)

    def _wait_s(self, host):
        now = _now()
        is_reader = self.fleet.rosters[host].relay(now) == host
        if not is_reader and self._stands_in(host, now):
            return 0
        return gateway_settings()['store']['wait_s']


def _now():
    return asyncio.get_running_loop().time()
