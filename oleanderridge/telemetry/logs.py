"""Log lines of key=value pairs, one for each event."""

from __future__ import annotations

import json
import logging
import re
import sys
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

from oleanderridge.generated.settings import Settings

_PLAIN = re.compile(r'[^\s="]+')


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return f'{value:.6g}'
    text = str(value)
    return text if _PLAIN.fullmatch(text) else json.dumps(text)


class KeyValueFormatter(BaseJsonFormatter):
    """Writes the fields of a log record as ``key=value`` pairs."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return one line for a record.

        Parameters
        ----------
        log_data : dict
            Field values by name.

        Returns
        -------
        str
            The pairs in order; values with spaces or quotes as JSON strings.
        """
        pairs = (
            f'{name}={_format_value(value)}'
            for name, value in log_data.items()
            if value is not None
        )
        return ' '.join(pairs)


def configure_logging(settings: Settings) -> None:
    """Send the project's log lines to standard error.

    Parameters
    ----------
    settings : Settings
        The log level and the host that each line names.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        KeyValueFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'name': 'logger',
                'message': 'event',
            },
            static_fields={'host': settings['host']},
        ),
    )
    level = settings['telemetry']['log_level'].upper()
    logging.basicConfig(handlers=[handler], level=level, force=True)
    # The server's access lines would repeat the request events.
    logging.getLogger('uvicorn').setLevel(logging.WARNING)
    logging.getLogger('uvicorn.access').setLevel(logging.WARNING)


def log_event(
    logger: logging.Logger,
    event: str,
    level: int = logging.INFO,
    **fields: Any,
) -> None:
    """Log one event with its fields.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the reporting module.
    event : str
        Event name in lower case with hyphens.
    level : int
        A level of the ``logging`` module.
    **fields
        Values by name.
    """
    logger.log(level, event, extra=fields)
