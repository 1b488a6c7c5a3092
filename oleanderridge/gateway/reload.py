"""Takes over changed settings while a host runs."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import Any, Final, cast

from result import Err

from oleanderridge.findings import format_finding
from oleanderridge.gateway.settings import load_gateway_settings
from oleanderridge.generated.gateway import GatewaySettings
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

# Sections whose values are read at each use; the others hold addresses, which
# a process keeps for its life.
_LIVE_SECTIONS: Final = ('bounds', 'placement')


class SettingsReload:
    """Reads the settings file again, on a signal or when it changes.

    Parameters
    ----------
    settings : GatewaySettings
        Changed in place.
    path : Path
        The file.
    """

    def __init__(self, settings: GatewaySettings, path: Path) -> None:
        self._settings = cast(dict[str, Any], settings)
        self._path = path
        self._changed_at = self._modified_at()

    def read_if_changed(self) -> None:
        """Read the file if it is newer than at the last reading."""
        if self._modified_at() != self._changed_at:
            self.read()

    def read(self) -> None:
        """Take over the file, or keep what is in force and log why."""
        self._changed_at = self._modified_at()
        loaded = load_gateway_settings(self._path)
        if isinstance(loaded, Err):
            for finding in loaded.err_value:
                log_event(
                    _LOGGER,
                    'settings-rejected',
                    logging.ERROR,
                    finding=format_finding(finding),
                )
            return
        fresh = cast(dict[str, Any], loaded.ok_value)
        changed = [
            name
            for name, value in fresh.items()
            if self._settings.get(name) != value
        ]
        for name in _LIVE_SECTIONS:
            self._settings[name].update(fresh[name])
        log_event(
            _LOGGER,
            'settings-read',
            logging.INFO,
            changed=','.join(changed) or '-',
            in_force=','.join(_LIVE_SECTIONS),
        )

    def _modified_at(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            log_event(
                _LOGGER,
                'settings-not-readable',
                logging.WARNING,
                error=str(error),
            )
            return 0
