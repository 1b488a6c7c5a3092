"""Follows the store: a list first, then its changes, again and again."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err

from oleanderridge.findings import format_finding
from oleanderridge.gateway.model import DRAINING, TargetRecord
from oleanderridge.gateway.store_position import NO_POSITION, StorePosition
from oleanderridge.gateway.target_table import TargetTable
from oleanderridge.generated.gateway import GatewaySettings
from oleanderridge.platform.records import (
    CONFIGURATION_KEY,
    TARGET_PREFIX,
    decode_target,
)
from oleanderridge.platform.store import (
    FORGOTTEN,
    StoreClient,
    StoreFault,
    StoreItem,
    StorePage,
)
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

# Changes that follow each other closely come with one call.
_BATCH_S: Final = 0.12
# Waits after failed calls, from the first to the last.
_BACKOFF_S: Final = (0.1, 0.25, 0.5, 0.8)
_IDLE_S: Final = 0.1
# Least time between two lists that check the table against the store.
_CHECK_INTERVAL_S: Final = 5.0
_EVERYTHING: Final = ''


class FollowerPorts(NamedTuple):
    """What a follower reports to.

    ``on_store_failure`` gets the time at which a failed call began;
    ``store_wait_s`` returns how long a watch may wait for changes,
    ``outage_ended_at`` when the store was last back for the fleet,
    ``known_position`` up to where targets and configuration are known, from the
    store or from other hosts.
    """

    on_configuration: Callable[[bytes], None]
    on_targets: Callable[[], None]
    on_store_contact: Callable[[], None]
    on_store_failure: Callable[[float], None]
    should_read_store: Callable[[], bool]
    store_wait_s: Callable[[], float]
    outage_ended_at: Callable[[], float]
    on_position: Callable[[StorePosition], None]
    known_position: Callable[[], StorePosition]


class StoreFollower:
    """Keeps the target table and the configuration up to date.

    Parameters
    ----------
    settings : GatewaySettings
        Address of the store and times of its calls.
    client : StoreClient
        Calls the store.
    table : TargetTable
        Gets the targets.
    ports : FollowerPorts
        Gets the rest.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        client: StoreClient,
        table: TargetTable,
        ports: FollowerPorts,
    ) -> None:
        self._store = settings['store']
        self._client = client
        self._table = table
        self._ports = ports
        self._failures = 0
        self._lost_at: float = 0
        self._restored_at = -math.inf
        self._check_after: float = 0
        self._called_at: float = 0
        self._needs_list = True
        self._needs_check = False
        self._listed_again = 0
        self._watched_to = NO_POSITION
        self.reachable = True

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            self._check_if_contradicted()
            if not (self._needs_check or self._ports.should_read_store()):
                # What changes meanwhile comes from peers.
                await asyncio.sleep(_IDLE_S)
                continue
            self._called_at = _now()
            fault = await self._step()
            if fault is None:
                self._on_success()
                continue
            if fault.reason == FORGOTTEN:
                self._needs_list = True
                self._log_history_gone(fault)
                await asyncio.sleep(_backoff_s(self._listed_again))
                self._listed_again += 1
                continue
            self._on_fault(fault)
            await asyncio.sleep(_backoff_s(self._failures))

    def _check_if_contradicted(self) -> None:
        """List the store again when another host's targets contradict ours."""
        now = _now()
        if not self._table.needs_check or now < self._check_after:
            return
        self._check_after = now + _CHECK_INTERVAL_S
        self._needs_check = True
        log_event(
            _LOGGER,
            'targets-contradicted',
            logging.WARNING,
            era=self._table.position.era,
            revision=self._table.position.revision,
        )

    async def _step(self) -> StoreFault | None:
        if self._needs_list or self._needs_check:
            return await self._list()
        known = max(self._watched_to, self._ports.known_position())
        # A store that may be away is asked for an answer at once.
        wait_s = 0 if self._lost_at else self._ports.store_wait_s()
        watched = await self._client.watch(_EVERYTHING, known.revision, wait_s)
        if isinstance(watched, Err):
            return watched.err_value
        page = watched.ok_value
        era = page.position.era
        if era != known.era:
            # Its changes since that revision belong to another history.
            return StoreFault(FORGOTTEN, f'restored, now in era {era}')
        self._on_word()
        self._listed_again = 0
        self._take_in(page)
        self._watched_to = page.position
        self._table.advance(page.position)
        self._ports.on_position(page.position)
        if page.items:
            self._ports.on_targets()
            await asyncio.sleep(_BATCH_S)
        return None

    async def _list(self) -> StoreFault | None:
        listed = await self._client.read_all(_EVERYTHING)
        if isinstance(listed, Err):
            return listed.err_value
        self._on_word()
        page = listed.ok_value
        self._needs_list = False
        self._needs_check = False
        former = self._watched_to
        if former != NO_POSITION and page.position.era > former.era:
            self._on_restored(page.position)
        self._watched_to = page.position
        self._take_in_list(page)
        self._ports.on_position(page.position)
        self._ports.on_targets()
        return None

    def _take_in_list(self, page: StorePage) -> None:
        records = []
        for item in page.items:
            if item.key.startswith(TARGET_PREFIX):
                record = _record(item, page.position.era)
                if record is not None:
                    records.append(record)
            elif item.key == CONFIGURATION_KEY and item.value is not None:
                self._ports.on_configuration(item.value)
        missing = self._table.replace(records, page.position)
        for target in missing:
            self._remove(target, page.position)

    def _take_in(self, page: StorePage) -> None:
        for item in page.items:
            if item.key == CONFIGURATION_KEY:
                if item.value is not None:
                    self._ports.on_configuration(item.value)
            elif item.key.startswith(TARGET_PREFIX):
                self._take_in_target(item, page.position.era)

    def _take_in_target(self, item: StoreItem, era: int) -> None:
        target = item.key.removeprefix(TARGET_PREFIX)
        position = StorePosition(era, item.revision)
        if item.value is None:
            self._remove(target, position)
            return
        record = _record(item, era)
        if record is None:
            self._table.remove(target, position)
            return
        if self._table.put(record):
            log_event(
                _LOGGER,
                'target-stated',
                logging.INFO,
                target=target,
                service=record.service,
                state=record.state,
                era=era,
                revision=item.revision,
            )

    def _remove(self, target: str, position: StorePosition) -> None:
        known = self._table.by_id.get(target)
        back_at = max(self._restored_at, self._ports.outage_ended_at())
        until = back_at + self._store['return_grace_s']
        if known and known.state != DRAINING and _now() < until:
            log_event(
                _LOGGER,
                'target-removal-postponed',
                logging.INFO,
                target=target,
                era=position.era,
                revision=position.revision,
            )
            self._table.postpone_removal(target, position, until)
            return
        if self._table.remove(target, position):
            log_event(
                _LOGGER,
                'target-gone',
                logging.INFO,
                target=target,
                era=position.era,
                revision=position.revision,
            )

    def _on_restored(self, position: StorePosition) -> None:
        # What targets registered after the copy was made is missing in it
        # until they write it again.
        self._restored_at = _now()
        log_event(
            _LOGGER,
            'store-restored',
            logging.WARNING,
            era=position.era,
            revision=position.revision,
            former_era=self._watched_to.era,
            former_revision=self._watched_to.revision,
        )

    def _log_history_gone(self, fault: StoreFault) -> None:
        known = max(self._watched_to, self._ports.known_position())
        log_event(
            _LOGGER,
            'store-history-gone',
            logging.WARNING,
            detail=fault.detail,
            era=known.era,
            revision=known.revision,
            listed_again=self._listed_again,
        )

    def _on_word(self) -> None:
        self._ports.on_store_contact()
        if self._lost_at:
            away_s = _now() - self._lost_at
            log_event(_LOGGER, 'store-regained', logging.WARNING, away_s=away_s)
        self._lost_at = 0
        self.reachable = True

    def _on_success(self) -> None:
        self._failures = 0

    def _on_fault(self, fault: StoreFault) -> None:
        self._failures += 1
        self._ports.on_store_failure(self._called_at)
        if not self._lost_at:
            self._lost_at = _now()
            self.reachable = False
            log_event(
                _LOGGER,
                'store-lost',
                logging.WARNING,
                reason=fault.reason,
                detail=fault.detail,
            )


def _backoff_s(failures: int) -> float:
    """Return the wait before the next call; none without a failure."""
    return _BACKOFF_S[min(failures, len(_BACKOFF_S)) - 1] if failures else 0


def _record(item: StoreItem, era: int) -> TargetRecord | None:
    position = StorePosition(era, item.revision)
    decoded = decode_target(item.key, item.value or b'', position)
    if isinstance(decoded, Err):
        log_event(
            _LOGGER,
            'target-entry-malformed',
            logging.WARNING,
            finding=format_finding(decoded.err_value),
            era=era,
            revision=item.revision,
        )
        return None
    return decoded.ok_value


def _now() -> float:
    return asyncio.get_running_loop().time()
