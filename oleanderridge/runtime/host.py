"""Composes one host and runs it until it is told to stop."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Coroutine
from typing import Any

from oleanderridge.admission.keys import authorise, match_route
from oleanderridge.forward.forwarder import Forwarder, ForwarderCallbacks
from oleanderridge.generated.settings import Settings
from oleanderridge.held_signals import handle_signals, ignore_signals
from oleanderridge.runtime.admin_api import build_admin_app
from oleanderridge.runtime.bundles import BundleSync
from oleanderridge.runtime.caller_api import build_caller_app
from oleanderridge.runtime.claims import ClaimClient
from oleanderridge.runtime.http import LoopServer, make_server
from oleanderridge.runtime.node import Node
from oleanderridge.runtime.peering import Peering
from oleanderridge.runtime.permits import PermitClient
from oleanderridge.runtime.platform import PlatformReader
from oleanderridge.runtime.probes import run_probes
from oleanderridge.runtime.refresh import refresh_shares
from oleanderridge.runtime.tokens import TokenClient
from oleanderridge.runtime.traced_client import TracedClient
from oleanderridge.telemetry.traces import traced

_LOGGER = logging.getLogger(__name__)

# Bounds how late an expired permit or deadline is noticed; at 0.02 s an idle
# host spent 1% of a core on it.
_TICK_S = 0.05
_SHARES_TICK_S = 0.5
_DRAIN_POLL_S = 0.05


class HostProcess:
    """One running host.

    Parameters
    ----------
    settings : Settings
        Complete settings of the host.
    """

    def __init__(self, settings: Settings) -> None:
        self.node = Node(settings)
        self._peering = Peering(self.node)
        self._reader = PlatformReader(settings, self.node.metrics)
        self._client = TracedClient(settings)
        self._forwarder = Forwarder(settings, self._client, self._ports())
        self._bundles = BundleSync(
            self.node,
            self._peering,
            self._reader,
            self._forwarder.on_bundle,
        )
        self._stopping = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._servers: tuple[LoopServer, ...] = ()
        self._failed = False
        self._receiving: asyncio.Task | None = None

    async def run(self) -> int:
        """Serve until SIGTERM, SIGINT or a drain request.

        Returns
        -------
        int
            Exit status: 0 after a graceful shutdown, 1 when it began
            because a task of the host failed.
        """
        node = self.node
        loop = asyncio.get_running_loop()
        handle_signals(
            loop,
            {
                signal.SIGTERM: self._stopping.set,
                signal.SIGINT: self._stopping.set,
                signal.SIGHUP: self._note_settings_kept,
            },
        )
        node.transport.listen()
        node.connect_peers()
        await self._client.open()
        self._servers = self._make_servers()
        self._receiving = self._start(node.transport.receive_forever())
        self._start(self._peering.run())
        self._start(self._bundles.run())
        self._start(self._tick())
        self._start(self._tick_shares())
        self._start(run_probes(node))
        serving = [self._start(server.serve()) for server in self._servers]
        node.note('host-started', incarnation=node.incarnation)
        await self._stopping.wait()
        await self._drain()
        for server in self._servers:
            server.should_exit = True
        await asyncio.gather(*serving)
        await self._close()
        node.note('host-stopped', failed=self._failed)
        return int(self._failed)

    def _note_settings_kept(self) -> None:
        # Settings hold for the life of the process.
        self.node.warn('settings-kept', signal='SIGHUP')

    def _ports(self) -> ForwarderCallbacks:
        node = self.node
        tokens = TokenClient(node)
        permits = PermitClient(node)
        claims = ClaimClient(node)
        cell = node.settings['cell']
        return ForwarderCallbacks(
            match=match_route,
            authorise=lambda index, route, key: authorise(
                index,
                route,
                key,
                cell,
            ),
            service=node.service,
            admit=traced('admit', tokens.admit),
            refund=tokens.refund,
            acquire=traced('permit', permits.acquire),
            release=permits.release,
            claim=traced('claim', claims.claim),
            complete=claims.complete,
            index=lambda: node.index,
            clock=node.clock,
        )

    def _make_servers(self) -> tuple[LoopServer, ...]:
        settings = self.node.settings
        caller_app = build_caller_app(self.node, self._forwarder)
        admin_app = build_admin_app(
            self.node,
            self._forwarder.active_count,
            self._stopping.set,
        )
        caller, admin = settings['caller'], settings['admin']
        return (
            make_server(caller_app, caller['address'], caller['port']),
            make_server(admin_app, admin['address'], admin['port']),
        )

    def _start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _LOGGER.error('task-failed', exc_info=task.exception())
        self._failed = True
        self._stopping.set()

    async def _tick(self) -> None:
        node = self.node
        expected = node.clock()
        while True:
            now = node.clock()
            node.loop_lag_s = max(0, now - expected)
            node.send_all(node.broker.tick(now))
            expected = node.clock() + _TICK_S
            await asyncio.sleep(_TICK_S)

    async def _tick_shares(self) -> None:
        while True:
            refresh_shares(self.node)
            self._release_silent_hosts()
            self.node.register.expire(self.node.clock())
            await asyncio.sleep(_SHARES_TICK_S)

    def _release_silent_hosts(self) -> None:
        node = self.node
        alive = [member.host for member in node.members() if member.alive]
        node.send_all(node.broker.drop_other_hosts(alive, node.clock()))

    async def _drain(self) -> None:
        node = self.node
        node.leaving = True
        node.membership.begin_leaving(node.clock())
        node.send_all(node.broker.refuse_all(node.clock()))
        self._peering.beat()
        node.note('host-leaving', live=self._forwarder.active_count())
        # Callers may use an answer that names this host until it expires,
        # and peers name it until the next heartbeat reaches them.
        interval_s = node.settings['membership']['heartbeat_interval_s']
        await asyncio.sleep(
            node.settings['caller']['resolve_ttl_s'] + 2 * interval_s,
        )
        # Without an end to new requests, a steady load would keep the host
        # until it is killed, with requests running.
        node.stopping = True
        node.note('host-refusing', live=self._forwarder.active_count())
        await self._idle()

    async def _idle(self) -> None:
        # Live requests end on their own; a poll needs no hook in each.
        while self._forwarder.active_count():  # noqa: ASYNC110
            await asyncio.sleep(_DRAIN_POLL_S)

    async def _close(self) -> None:
        self.node.transport.close()
        if self._receiving is not None:
            await self._receiving
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()
        await self._reader.close()


def run(settings: Settings) -> int:
    """Run one host to its end.

    Parameters
    ----------
    settings : Settings
        Complete settings of the host.

    Returns
    -------
    int
        Exit status.
    """

    async def main() -> int:
        try:
            return await HostProcess(settings).run()
        finally:
            ignore_signals()

    return asyncio.run(main())
