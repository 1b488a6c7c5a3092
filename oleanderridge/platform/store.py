"""Calls of the platform's store, over HTTP."""

from __future__ import annotations

import asyncio
from base64 import b64decode
from typing import Any, Final, NamedTuple
from urllib.parse import urlencode

from msgspec import DecodeError
from msgspec.json import decode
from result import Err, Ok, Result

from oleanderridge.http1.client import (
    ConnectionPool,
    ExchangeError,
    Outbound,
)
from oleanderridge.http1.messages import Headers

_OK: Final = 200
_COMPACTED: Final = 410
_PAGES_MAX: Final = 1000

FORGOTTEN: Final = 'forgotten'
UNREACHABLE: Final = 'unreachable'
TURNED_AWAY: Final = 'turned-away'
MALFORMED: Final = 'malformed'


class StoreItem(NamedTuple):
    """One key; ``value`` is None when it has been removed."""

    key: str
    value: bytes | None
    revision: int


class StorePage(NamedTuple):
    """Items or changes, and the revision up to which they are known."""

    items: tuple[StoreItem, ...]
    revision: int


class StoreFault(NamedTuple):
    """Why a call brought nothing."""

    reason: str
    detail: str


class StoreClient:
    """Reads and watches the store.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    timeout_s : float
        Seconds that a call may take beyond the time it asks to wait.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._pool = ConnectionPool(timeout_s, 4)
        self.calls = 0

    async def read_all(self, prefix: str) -> Result[StorePage, StoreFault]:
        """Return all items whose keys begin with a prefix.

        Pages are not a snapshot: the revision is that of the first page, so
        that a watch from it repeats what changed meanwhile.
        """
        items: list[StoreItem] = []
        revision = None
        query: dict[str, Any] = {'prefix': prefix}
        for _ in range(_PAGES_MAX):
            called = await self._call('/v1/kv-range', query, 0)
            if isinstance(called, Err):
                return called
            page = called.ok_value
            found = [_item(each) for each in page.get('items', ())]
            items += [item for item in found if item is not None]
            revision = page['at'] if revision is None else revision
            if not page.get('more_pages') or not found:
                break
            query['after'] = page['items'][-1].get('key', '')
        return Ok(StorePage(tuple(items), revision or 0))

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[StorePage, StoreFault]:
        """Return the changes after a revision as soon as there are any.

        Parameters
        ----------
        prefix : str
            Keys that begin with it are watched.
        after : int
            Revision that is known.
        wait_s : float
            Seconds after which an empty answer comes.

        Returns
        -------
        Result of StorePage, StoreFault
            Changes in order; ``forgotten`` when the history is gone.
        """
        query = {
            'prefix': prefix,
            'after': after,
            'wait_ms': int(wait_s * 1000),
        }
        called = await self._call('/v1/kv-watch', query, wait_s)
        if isinstance(called, Err):
            return called
        page = called.ok_value
        found = [_item(each) for each in page.get('events', ())]
        return Ok(
            StorePage(
                tuple(item for item in found if item is not None), page['at']
            )
        )

    async def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def _call(
        self, path: str, query: dict[str, Any], wait_s: float
    ) -> Result[dict[str, Any], StoreFault]:
        self.calls += 1
        target = f'{path}?{urlencode(query)}'
        request = Outbound(
            b'GET',
            target.encode('ascii'),
            [(b'host', self._address.encode('ascii'))],
            b'',
        )
        try:
            async with asyncio.timeout(wait_s + self._timeout_s):
                connection = await self._pool.take(self._address)
                answer = await connection.exchange(request, _any_headers)
        except ExchangeError as error:
            return Err(StoreFault(UNREACHABLE, str(error)))
        except TimeoutError:
            return Err(StoreFault(UNREACHABLE, 'no answer in time'))
        self._pool.give(self._address, connection)
        if answer.status == _COMPACTED:
            return Err(StoreFault(FORGOTTEN, 'the history is gone'))
        if answer.status != _OK:
            return Err(StoreFault(TURNED_AWAY, f'status {answer.status}'))
        return _body(answer.body)


def _any_headers(_headers: Headers) -> bool:
    return True


def _body(content: bytes) -> Result[dict[str, Any], StoreFault]:
    try:
        page = decode(content)
    except DecodeError as error:
        return Err(StoreFault(MALFORMED, str(error)))
    if not isinstance(page, dict) or not isinstance(page.get('at'), int):
        return Err(StoreFault(MALFORMED, 'the answer names no revision'))
    return Ok(page)


def _item(fields: Any) -> StoreItem | None:
    if not isinstance(fields, dict):
        return None
    key, revision = fields.get('key'), fields.get('revision')
    if not isinstance(key, str) or not isinstance(revision, int):
        return None
    if fields.get('deleted'):
        return StoreItem(key, None, revision)
    try:
        value = b64decode(fields.get('value') or '', validate=True)
    except (ValueError, TypeError):
        # The bytes cannot be read; the record's decoder reports the entry.
        value = b''
    return StoreItem(key, value, revision)
