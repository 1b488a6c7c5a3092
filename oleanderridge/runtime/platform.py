"""Reads and watches values at the platform."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final, NamedTuple

from aiohttp import ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from oleanderridge.generated.settings import Settings
from oleanderridge.telemetry.metrics import Metrics

VALUE_LIMIT_BYTES: Final = 1024 * 1024


class PlatformValue(NamedTuple):
    """One value with the revision at which it was written."""

    content: bytes
    revision: int


class PlatformReader:
    """Client of the platform's read-only service.

    Parameters
    ----------
    settings : Settings
        ``platform`` names the address and the time limits.
    metrics : Metrics
        Counts calls by result.
    """

    def __init__(self, settings: Settings, metrics: Metrics) -> None:
        self._platform = settings['platform']
        self._metrics = metrics
        self._session: ClientSession | None = None

    async def close(self) -> None:
        """Close the connections to the platform."""
        if self._session is not None:
            await self._session.close()

    async def read(self, key: str) -> Result[PlatformValue, str]:
        """Return the value of a key.

        Parameters
        ----------
        key : str
            For instance ``bundle/manifest``.

        Returns
        -------
        Result of PlatformValue, str
            The value, or why there is none.
        """
        path = f'/v1/values/{key}'
        return await self._get(path, self._platform['timeout_s'])

    async def watch(
        self,
        key: str,
        after: int,
    ) -> Result[PlatformValue | None, str]:
        """Wait for a value that is newer than a revision.

        Parameters
        ----------
        key : str
            For instance ``hosts``.
        after : int
            The revision that is known already.

        Returns
        -------
        Result of PlatformValue or None, str
            The value, None when nothing changed, or what failed.
        """
        wait_s = self._platform['watch_s']
        path = f'/v1/watch/{key}?after={after}&wait_s={wait_s}'
        outcome = await self._get(path, wait_s + self._platform['timeout_s'])
        if isinstance(outcome, Err) and outcome.err_value == _UNCHANGED:
            return Ok(None)
        return outcome

    async def _get(
        self,
        path: str,
        timeout_s: float,
    ) -> Result[PlatformValue, str]:
        outcome = await self._request(path, timeout_s)
        label = 'ok' if isinstance(outcome, Ok) else 'failed'
        if isinstance(outcome, Err) and outcome.err_value == _UNCHANGED:
            label = 'unchanged'
        self._metrics.platform_calls.inc({'result': label})
        return outcome

    async def _request(
        self,
        path: str,
        timeout_s: float,
    ) -> Result[PlatformValue, str]:
        if self._session is None:
            self._session = ClientSession()
        url = self._platform['url'] + path
        timeout = ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                if response.status == HTTPStatus.NO_CONTENT:
                    return Err(_UNCHANGED)
                if response.status != HTTPStatus.OK:
                    return Err(f'{path}: status {response.status}')
                content = await response.content.read(VALUE_LIMIT_BYTES + 1)
                while not response.content.at_eof():
                    content += await response.content.read(VALUE_LIMIT_BYTES)
                    if len(content) > VALUE_LIMIT_BYTES:
                        return Err(f'{path}: value over {VALUE_LIMIT_BYTES} B')
                revision = int(response.headers.get('Revision', ''))
        except (ClientError, TimeoutError, ValueError) as error:
            return Err(f'{path}: {type(error).__name__}: {error}')
        return Ok(PlatformValue(content, revision))


_UNCHANGED: Final = 'unchanged'
