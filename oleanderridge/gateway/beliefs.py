"""Local replica of the store: configuration, targets and their age."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Final

from result import Err

from oleanderridge.findings import format_finding
from oleanderridge.gateway.model import Configuration
from oleanderridge.gateway.store_position import NO_POSITION, StorePosition
from oleanderridge.gateway.target_table import TargetTable
from oleanderridge.platform.records import decode_configuration
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

# Age that is reported before the first confirmation.
_UNKNOWN_AGE_MS: Final = 3_600_000
# More than the time in which another host of the zone reads the store when its
# reader is cut off, and less than that in which a target can miss its renewals.
_OUTAGE_S: Final = 2.0
# How long after a failed call began a return of the store is assumed at the
# latest. The grace for its entries counts from there.
_RETURN_UNSEEN_S: Final = 0.6


class Beliefs:
    """Replica of the store data, received from the store or from peers.

    Parameters
    ----------
    on_configuration : callable
        Called with each configuration that becomes active.
    on_targets : callable
        Called when a target was added, updated or removed.
    outage_s : float
        The store counts as away after so many seconds without a confirmation,
        a call to it or a report of a host that called it.
    lapse_s : float
        Seconds after which the store drops the entry of a silent target.
    """

    def __init__(
        self,
        on_configuration: Callable[[Configuration], None],
        on_targets: Callable[[], None],
        outage_s: float = _OUTAGE_S,
        lapse_s: float = 0,
    ) -> None:
        self.table = TargetTable(lapse_s)
        self.configuration: Configuration | None = None
        # Position up to which both targets and configuration are known; that
        # of the table is for targets alone.
        self.position = NO_POSITION
        self.on_targets = on_targets
        self._on_configuration = on_configuration
        # When the last absence of the store ended, in monotonic seconds.
        self.outage_ended_at: float = -math.inf
        self._store_heard_at: float | None = None
        self._store_failed_at: float = -math.inf
        # Since when hosts have had answers of the store without a long pause.
        self._steady_since: float = math.inf
        self._outage_s = outage_s
        self._confirmed_at: float | None = None

    def version(self) -> int:
        """Return the version of the active configuration, or 0."""
        return self.configuration.version if self.configuration else 0

    def source(self) -> bytes:
        """Return the source document of the active configuration."""
        return self.configuration.source if self.configuration else b''

    def offer(self, source: bytes, origin: str) -> None:
        """Activate a configuration if it is valid and its version is higher.

        A configuration is applied whole or not at all.

        Parameters
        ----------
        source : bytes
            Configuration document.
        origin : str
            ``store`` or the address of the sending host.
        """
        decoded = decode_configuration(source)
        if isinstance(decoded, Err):
            for finding in decoded.err_value:
                log_event(
                    _LOGGER,
                    'configuration-rejected',
                    logging.ERROR,
                    finding=format_finding(finding),
                    origin=origin,
                    in_force=self.version(),
                )
            return
        configuration = decoded.ok_value
        if configuration.version <= self.version():
            return
        former = self.configuration
        self.configuration = configuration
        withdrawn = 0
        if former is not None:
            keys = former.workspace_by_key.keys()
            withdrawn = len(keys - configuration.workspace_by_key.keys())
        log_event(
            _LOGGER,
            'configuration-in-force',
            logging.INFO,
            version=configuration.version,
            former=former.version if former else 0,
            origin=origin,
            withdrawn_keys=withdrawn,
        )
        self._on_configuration(configuration)

    def advance(self, position: StorePosition) -> None:
        """Record a position up to which targets and configuration are known.

        Parameters
        ----------
        position : StorePosition
            Of the store, or of a host with the same targets and configuration.
        """
        self.position = max(self.position, min(position, self.table.position))

    def known_revision(self) -> int:
        """Return the known revision in the table's era, or 0."""
        same_era = self.position.era == self.table.position.era
        return self.position.revision if same_era else 0

    def confirm(self, at: float) -> None:
        """Record a time at which the replica was up to date.

        Parameters
        ----------
        at : float
            Monotonic seconds.
        """
        self.hear_of_store(at)
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def hear_of_store(self, at: float) -> None:
        """Record a time at which some host had an answer of the store.

        Parameters
        ----------
        at : float
            Monotonic seconds.
        """
        heard_at = self._store_heard_at
        if heard_at is None:
            self._steady_since = at
        elif at - heard_at > self._outage_s:
            self._steady_since = at
            if self._store_failed_at > heard_at:
                # It may have been back since the last call that failed.
                called_at = self._store_failed_at
                self.outage_ended_at = min(at, called_at + _RETURN_UNSEEN_S)
        if heard_at is None or at > heard_at:
            self._store_heard_at = at

    def hear_of_store_age(self, age_ms: int, now: float) -> None:
        """Take note of how old the replica of another host is.

        Parameters
        ----------
        age_ms : int
            Milliseconds since the store confirmed it.
        now : float
            Monotonic seconds.
        """
        if age_ms < _UNKNOWN_AGE_MS:
            self.hear_of_store(now - age_ms / 1000)

    def record_store_failure(self, at: float) -> None:
        """Record a call to the store that failed.

        Parameters
        ----------
        at : float
            When the call began, in monotonic seconds.
        """
        self._store_failed_at = at

    def steady_ms(self, now: float) -> int:
        """Return for how long hosts have had answers of the store.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int
            Milliseconds without a pause in which the store may have been away;
            0 in such a pause.
        """
        heard_at = self._store_heard_at
        if heard_at is None or now - heard_at > self._outage_s:
            # It may be away right now.
            return 0
        return int(max(0, now - self._steady_since) * 1000)

    def hear_of_steady_store(self, since: float) -> None:
        """Take note that other hosts had answers when this one had none.

        Parameters
        ----------
        since : float
            Monotonic seconds since which they have had answers.
        """
        if since < self.outage_ended_at - self._outage_s:
            # Only the paths of this host were cut.
            self.outage_ended_at = -math.inf
            self.table.end_retention()

    def age_ms(self, now: float) -> int:
        """Return the age of the replica in milliseconds."""
        if self._confirmed_at is None:
            return _UNKNOWN_AGE_MS
        return max(0, int((now - self._confirmed_at) * 1000))
