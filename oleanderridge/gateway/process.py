"""Assembles the components of a gateway host and runs them until shutdown."""

from __future__ import annotations

import asyncio
import logging
import signal
import time
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any, Final

from oleanderridge.config.follower import FollowerPorts, StoreFollower
from oleanderridge.forward.gateway_request import (
    GatewayForwarder,
    GatewayForwarderCallbacks,
)
from oleanderridge.gateway.beliefs import Beliefs
from oleanderridge.gateway.fleet_role import FleetRole
from oleanderridge.gateway.fleet_sync import FleetSync
from oleanderridge.gateway.gateway_metrics import GatewayMetrics
from oleanderridge.gateway.model import Configuration
from oleanderridge.gateway.peers import Datagrams, serve_sync
from oleanderridge.gateway.public_pages import PublicPages
from oleanderridge.gateway.reload import FileVersion, SettingsReload
from oleanderridge.generated.gateway import (
    BoundSettings,
    GatewaySettings,
    StoreSettings,
)
from oleanderridge.held_signals import handle_signals, ignore_signals
from oleanderridge.http1.client import AnswerLimits
from oleanderridge.http1.connection_pool import ConnectionPool
from oleanderridge.http1.server import Edge, EdgeLimits
from oleanderridge.membership.roster import LEAVING, READY, Roster
from oleanderridge.platform.store import StoreClient
from oleanderridge.telemetry.bounded_log import start_bounded_log
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

_TICK_INTERVAL_S: Final = 0.02
_MAINTENANCE_INTERVAL_S: Final = 0.25
# A host whose copy of the store is older than this reads the store itself. The
# limit grows with the rank of the host in its zone, so that only a few hosts
# of a zone start reading.
_STORE_AGE_MS: Final = 1300
_STORE_AGE_PER_RANK_MS: Final = 150
_STORE_AGE_MAX_MS: Final = 2500
# Fractions of the shutdown time limit. Until the first, new connections are
# still accepted, because callers may use cached addresses; until the second,
# running requests may finish; for the third, answers may be sent after that.
_ACCEPT_FRACTION: Final = 0.72
_DRAIN_FRACTION: Final = 0.93
_FLUSH_FRACTION: Final = 0.04
# A process needs this long to end, however short the limit is.
_EXIT_TIME_S: Final = 0.4
_CONNECT_TIMEOUT_S: Final = 0.12
_BUFFER_FRACTION: Final = 0.25
_MEGABYTE: Final = 1_000_000
# Renewals that a target has missed when the store drops its entry.
_MISSED_RENEWALS: Final = 3


class GatewayProcess:
    """One running gateway host.

    Parameters
    ----------
    settings : GatewaySettings
        Complete settings.
    path : Path
        Settings file, watched for changes.
    version : FileVersion
        Version of the file before it was read.
    """

    def __init__(
        self, settings: GatewaySettings, path: Path, version: FileVersion
    ) -> None:
        self._settings = settings
        self._rng = Random()
        self._metrics = GatewayMetrics()
        self._roster = Roster(settings, time.time_ns() // 1_000_000)
        self._beliefs = Beliefs(
            self._on_configuration,
            self._on_targets,
            lapse_s=_entry_lapse_s(settings['store']),
        )
        self._datagrams = Datagrams(
            lambda message, sender: self._role.on_message(message, sender)
        )
        self._sync = FleetSync(
            settings,
            self._roster,
            self._beliefs,
            self._datagrams,
            self._rng,
        )
        self._role = FleetRole(
            settings,
            self._roster,
            self._sync,
            self._datagrams.send,
            self._rng,
        )
        self._placement = self._role.placement
        self._store = StoreClient(
            settings['store']['address'], settings['store']['timeout_s']
        )
        self._follower = StoreFollower(
            settings, self._store, self._beliefs.table, self._follower_ports()
        )
        bounds = settings['bounds']
        self._pool = ConnectionPool(
            _CONNECT_TIMEOUT_S, bounds['connections'] // 2, _limits(bounds)
        )
        self._limits = EdgeLimits()
        self._limits.buffered_bytes_max = int(
            settings['bounds']['memory_mb'] * _MEGABYTE * _BUFFER_FRACTION
        )
        self._forwarder = GatewayForwarder(self._forwarder_ports())
        self._callers = Edge(self._forwarder.handle, self._limits)
        pages = PublicPages(
            settings,
            self._roster,
            self._metrics,
            self._placement,
            lambda: self._beliefs.age_ms(_now()),
        )
        self._public = Edge(pages.handle, EdgeLimits())
        self._reload = SettingsReload(settings, path, version)
        self._stopping = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._task_failed = False
        self._is_alone = False
        self._suspected_targets: set[str] = set()

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT.

        Returns
        -------
        int
            Exit status: 0 after a graceful shutdown, 1 if a task failed.
        """
        settings = self._settings
        log = start_bounded_log(settings['host'], settings['log_level'])
        loop = asyncio.get_running_loop()
        self._role.start()
        handle_signals(
            loop,
            {
                signal.SIGTERM: self._stopping.set,
                signal.SIGINT: self._stopping.set,
                signal.SIGHUP: self._reload.read,
            },
        )
        self._start_task(log.run())
        await self._listen()
        for coroutine in (
            self._sync.run(),
            self._follower.run(),
            self._run_placement(),
            self._run_maintenance(),
        ):
            self._start_task(coroutine)
        log_event(
            _LOGGER,
            'host-started',
            logging.INFO,
            zone=settings['zone'],
            incarnation=self._roster.incarnation,
        )
        await self._stopping.wait()
        await self._drain()
        log_event(
            _LOGGER, 'host-stopped', logging.INFO, failed=self._task_failed
        )
        log.flush()
        return int(self._task_failed)

    async def _listen(self) -> None:
        settings = self._settings
        address, port = settings['address'], settings['peers']['port']
        await self._datagrams.listen(address, port)
        await serve_sync(
            address, port, self._sync.answer_sync, self._sync.on_sync_sent
        )
        for name in ('readiness', 'directory'):
            await self._public.listen(settings[name]['address'])
        if settings['metrics_port']:
            await self._public.listen(f'{address}:{settings["metrics_port"]}')
        await self._callers.listen(settings['caller']['address'])

    def _follower_ports(self) -> FollowerPorts:
        return FollowerPorts(
            on_configuration=self._on_stored_configuration,
            on_targets=self._on_followed_targets,
            on_store_contact=lambda: self._beliefs.confirm(_now()),
            on_store_failure=self._beliefs.record_store_failure,
            should_read_store=self._should_read_store,
            store_wait_s=self._store_wait_s,
            outage_ended_at=lambda: self._beliefs.outage_ended_at,
            on_position=self._beliefs.advance,
            known_position=lambda: self._beliefs.position,
        )

    def _forwarder_ports(self) -> GatewayForwarderCallbacks:
        return GatewayForwarderCallbacks(
            settings=self._settings,
            configuration=lambda: self._beliefs.configuration,
            permits=self._role.permits,
            pool=self._pool,
            notices=self._placement.notices,
            is_leaving=self._beliefs.table.is_leaving,
            on_ended=self._metrics.on_ended,
            on_admitted=self._metrics.on_admitted,
            rng=self._rng,
        )

    def _log_suspected_targets(self, now: float) -> None:
        suspected = set(self._placement.doubtful_targets(now))
        for target in suspected - self._suspected_targets:
            log_event(_LOGGER, 'target-doubted', logging.INFO, target=target)
        for target in self._suspected_targets - suspected:
            log_event(_LOGGER, 'target-trusted', logging.INFO, target=target)
        self._suspected_targets = suspected

    def _log_if_alone(self) -> None:
        alone = (
            self._role.peers_discovered.is_set()
            and not self._roster.peer_hosts()
        )
        if alone == self._is_alone:
            return
        self._is_alone = alone
        log_event(
            _LOGGER,
            'host-alone' if alone else 'host-joined',
            logging.WARNING if alone else logging.INFO,
            seeds=','.join(self._settings['peers']['seeds']) or '-',
            part=round(self._placement.fleet_share, 4),
        )

    def _on_stored_configuration(self, source: bytes) -> None:
        before = self._beliefs.version()
        self._beliefs.offer(source, 'store')
        if self._beliefs.version() != before:
            self._sync.announce()

    def _on_followed_targets(self) -> None:
        self._on_targets()
        self._sync.announce()

    def _on_configuration(self, configuration: Configuration) -> None:
        self._placement.configure(configuration)
        limits = configuration.limits
        self._limits.header_bytes = limits.header_bytes
        self._limits.body_bytes = limits.body_bytes
        self._limits.header_timeout_s = limits.header_timeout_s
        self._limits.idle_timeout_s = limits.idle_timeout_s
        self._metrics.configuration_version.set({}, configuration.version)
        self._mark_ready()

    def _on_targets(self) -> None:
        self._placement.set_targets(self._beliefs.table.by_id, _now())
        self._mark_ready()

    def _mark_ready(self) -> None:
        if self._roster.state in (READY, LEAVING):
            return
        if self._beliefs.configuration and self._beliefs.table.by_id:
            self._roster.state = READY
            log_event(
                _LOGGER,
                'host-ready',
                logging.INFO,
                version=self._beliefs.version(),
                targets=len(self._beliefs.table.by_id),
            )
            self._sync.announce()

    def _should_read_store(self) -> bool:
        now = _now()
        if self._roster.state == LEAVING:
            return False
        if self._roster.relay(now) == self._roster.host:
            return True
        if self._sync.lacks_configuration():
            return True
        return self._stands_in_for_reader(now)

    def _stands_in_for_reader(self, now: float) -> bool:
        """Return whether the reader of the zone has had no answer for long."""
        rank = self._roster.rank_in_zone(now)
        age_limit_ms = _STORE_AGE_MS + _STORE_AGE_PER_RANK_MS * rank
        return self._beliefs.age_ms(now) > min(age_limit_ms, _STORE_AGE_MAX_MS)

    def _store_wait_s(self) -> float:
        """Return how long a watch of the store may wait for changes.

        A host that stands in for the reader of its zone asks for an answer at
        once, which shows the fleet that the store is there.
        """
        now = _now()
        is_reader = self._roster.relay(now) == self._roster.host
        if not is_reader and self._stands_in_for_reader(now):
            return 0
        return self._settings['store']['wait_s']

    def _start_task(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _LOGGER.error('task-failed', exc_info=task.exception())
        self._task_failed = True
        self._stopping.set()

    async def _run_placement(self) -> None:
        while True:
            self._role.tick()
            due_at = _now() + _TICK_INTERVAL_S
            await asyncio.sleep(_TICK_INTERVAL_S)
            self._metrics.loop_lateness.observe({}, max(0, _now() - due_at))

    async def _run_maintenance(self) -> None:
        while True:
            now = _now()
            self._role.update_fleet_fraction(now)
            if self._role.is_asked_to_lead(now):
                self._log_suspected_targets(now)
            if self._beliefs.table.lapse(now):
                self._on_followed_targets()
            self._pool.sweep()
            self._reload.read_if_changed()
            self._metrics.store_age.set({}, self._beliefs.age_ms(now) / 1000)
            era = self._beliefs.table.position.era
            self._metrics.store_era.set({}, era)
            self._metrics.store_calls.set({}, self._store.calls)
            self._metrics.hosts_alive.set({}, len(self._roster.alive(now)))
            self._metrics.fleet_share.set({}, self._placement.fleet_share)
            self._log_if_alone()
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)

    async def _drain(self) -> None:
        """Shut down gracefully.

        New connections are accepted for a while, since callers may still use
        cached addresses; then the running requests are given time to finish,
        and their answers to reach the callers, who close the connections.
        Requests that may need longer than that are not started.
        """
        stop_s = self._settings['bounds']['stop_s']
        began = _now()
        self._roster.state = LEAVING
        log_event(
            _LOGGER,
            'host-leaving',
            logging.INFO,
            live=self._callers.live(),
        )
        self._sync.announce()
        self._sync.beat()
        self._callers.begin_closing()
        drain_s = max(0, min(_DRAIN_FRACTION * stop_s, stop_s - _EXIT_TIME_S))
        end_at = began + drain_s
        self._forwarder.begin_draining(end_at)
        await asyncio.sleep(min(_ACCEPT_FRACTION * stop_s, drain_s))
        self._callers.stop_listening()
        if not await self._callers.wait_closed(end_at):
            self._forwarder.interrupt()
            self._callers.refuse_unread()
            await self._callers.wait_sent(end_at + _FLUSH_FRACTION * stop_s)
        log_event(
            _LOGGER,
            'drain-ended',
            logging.INFO,
            ms=round((_now() - began) * 1000),
            live=self._callers.live(),
            connections=len(self._callers.connections),
            unsent_bytes=self._callers.unsent_bytes(),
        )
        for task in tuple(self._tasks):
            task.cancel()
        self._pool.close()
        self._datagrams.close()
        await self._store.close()


def run_gateway(
    settings: GatewaySettings, path: Path, version: FileVersion
) -> int:
    """Run one gateway host until it shuts down.

    Parameters
    ----------
    settings : GatewaySettings
        Complete settings.
    path : Path
        Settings file.
    version : FileVersion
        Version of the file before it was read.

    Returns
    -------
    int
        Exit status.
    """

    async def main() -> int:
        try:
            return await GatewayProcess(settings, path, version).run()
        finally:
            ignore_signals()

    return asyncio.run(main())


def _limits(bounds: BoundSettings) -> AnswerLimits:
    memory_bytes = bounds['memory_mb'] * _MEGABYTE
    return AnswerLimits(
        bounds['answer_header_bytes'],
        bounds['answer_body_bytes'],
        int(memory_bytes * bounds['answers_memory_share']),
        bounds['interim_answers'],
    )


def _entry_lapse_s(store: StoreSettings) -> float:
    """Return how long a returned store may hold the entry of a dead target."""
    return _MISSED_RENEWALS * store['renewal_s'] + store['return_grace_s']


def _now() -> float:
    return asyncio.get_running_loop().time()
