"""Reloads settings at run time."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import Any, Final, NamedTuple, cast

from result import Err

from oleanderridge.findings import format_finding
from oleanderridge.gateway.settings import load_gateway_settings
from oleanderridge.generated.gateway import GatewaySettings
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

# Sections whose values are read at each use. Changes in other sections, such
# as listener addresses, take effect only after a restart.
_RELOADABLE_SECTIONS: Final = ('bounds', 'placement', 'peers')
# Settings of those sections that hold for the life of a process.
_FIXED_SETTINGS: Final = frozenset((('peers', 'port'),))


class FileVersion(NamedTuple):
    """What tells a file from an earlier one at the same path."""

    mtime_ns: int
    size: int


_UNREADABLE: Final = FileVersion(0, 0)


def file_version(path: Path) -> FileVersion:
    """Return the version of a file.

    Parameters
    ----------
    path : Path
        Any path.

    Returns
    -------
    FileVersion
        All zero if the file can't be read; the reason is logged.
    """
    try:
        status = path.stat()
    except OSError as error:
        log_event(
            _LOGGER,
            'settings-not-readable',
            logging.WARNING,
            error=str(error),
        )
        return _UNREADABLE
    return FileVersion(status.st_mtime_ns, status.st_size)


class SettingsReload:
    """Reloads the settings file on a signal or after a modification.

    Parameters
    ----------
    settings : GatewaySettings
        Settings in use; updated in place.
    path : Path
        Settings file.
    version : FileVersion or None
        Version of the file before it was read; None for the present one.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        path: Path,
        version: FileVersion | None = None,
    ) -> None:
        self._settings = cast(dict[str, Any], settings)
        self._path = path
        self._last_version = version or file_version(path)

    def read_if_changed(self) -> None:
        """Reload the file if it has changed."""
        if file_version(self._path) != self._last_version:
            self.read()

    def read(self) -> None:
        """Reload the file; if it is invalid, keep the settings and log why."""
        self._last_version = file_version(self._path)
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
        new_settings = cast(dict[str, Any], loaded.ok_value)
        changed = [
            name
            for name, value in new_settings.items()
            if self._settings.get(name) != value
        ]
        for section in _RELOADABLE_SECTIONS:
            self._settings[section].update(
                {
                    name: value
                    for name, value in new_settings[section].items()
                    if (section, name) not in _FIXED_SETTINGS
                }
            )
        log_event(
            _LOGGER,
            'settings-read',
            logging.INFO,
            changed=','.join(changed) or '-',
            in_force=','.join(_RELOADABLE_SECTIONS),
        )
