"""HTTP client for the platform's store."""

from __future__ import annotations

import asyncio
from base64 import b64decode
from typing import Any, Final, NamedTuple
from urllib.parse import urlencode

from msgspec import DecodeError
from msgspec.json import decode
from result import Err, Ok, Result

from oleanderridge.gateway.store_position import NO_POSITION, StorePosition
from oleanderridge.http1.client import (
    Answer,
    ExchangeError,
    Outbound,
    TargetConnection,
)
from oleanderridge.http1.connection_pool import ConnectionPool
from oleanderridge.http1.messages import Headers, header

_HTTP_OK: Final = 200
_HTTP_GONE: Final = 410
_MAX_PAGES: Final = 1000
# Longest answer, however steadily its bytes come.
_ANSWER_TIMEOUT_S: Final = 10.0
_ERA: Final = b'store-era'
_ERA_DIGITS_MAX: Final = 18

FORGOTTEN: Final = 'forgotten'
UNREACHABLE: Final = 'unreachable'
REJECTED: Final = 'turned-away'
MALFORMED: Final = 'malformed'


class StoreItem(NamedTuple):
    """A key and its value; ``value`` is None for a deleted key."""

    key: str
    value: bytes | None
    revision: int


class StorePage(NamedTuple):
    """Items or changes, and the position up to which they are complete."""

    items: tuple[StoreItem, ...]
    position: StorePosition


class StoreFault(NamedTuple):
    """Reason for a failed call."""

    reason: str
    detail: str


class _Response(NamedTuple):
    """Decoded body of an answer, and the store's position."""

    fields: dict[str, Any]
    position: StorePosition


class StoreClient:
    """Reads and watches keys of the store.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    timeout_s : float
        Longest pause in an answer in seconds, after its long-poll time.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._pool = ConnectionPool(timeout_s, 4)
        self.calls = 0

    async def read_all(self, prefix: str) -> Result[StorePage, StoreFault]:
        """Return all items with a key prefix.

        The pages are not a consistent snapshot. The position is that of the
        first page, so that a watch from it repeats the changes made meanwhile.
        Pages of two eras are no list; the fault is ``forgotten``.
        """
        items: list[StoreItem] = []
        position = None
        query: dict[str, Any] = {'prefix': prefix}
        for _ in range(_MAX_PAGES):
            response = await self._call('/v1/kv-range', query, 0)
            if isinstance(response, Err):
                return response
            page = response.ok_value
            fields = page.fields
            decoded = [_decode_item(each) for each in fields.get('items', ())]
            items += [item for item in decoded if item is not None]
            position = position or page.position
            if page.position.era != position.era:
                return Err(StoreFault(FORGOTTEN, 'restored during a list'))
            if not fields.get('more_pages') or not decoded:
                break
            query['after'] = fields['items'][-1].get('key', '')
        return Ok(StorePage(tuple(items), position or NO_POSITION))

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[StorePage, StoreFault]:
        """Wait for changes after a revision and return them.

        Parameters
        ----------
        prefix : str
            Prefix of the watched keys.
        after : int
            Last known revision.
        wait_s : float
            Long-poll time after which the store returns no changes.

        Returns
        -------
        Result of StorePage, StoreFault
            Changes in order; ``forgotten`` if the history was compacted.
        """
        query = {
            'prefix': prefix,
            'after': after,
            'wait_ms': int(wait_s * 1000),
        }
        response = await self._call('/v1/kv-watch', query, wait_s)
        if isinstance(response, Err):
            return response
        page = response.ok_value
        events = page.fields.get('events', ())
        decoded = [_decode_item(each) for each in events]
        return Ok(
            StorePage(
                tuple(item for item in decoded if item is not None),
                page.position,
            )
        )

    async def close(self) -> None:
        """Close the connection pool."""
        self._pool.close()

    async def _call(
        self, path: str, query: dict[str, Any], wait_s: float
    ) -> Result[_Response, StoreFault]:
        self.calls += 1
        target = f'{path}?{urlencode(query)}'
        request = Outbound(
            b'GET',
            target.encode('ascii'),
            [(b'host', self._address.encode('ascii'))],
            b'',
        )
        try:
            async with asyncio.timeout(self._timeout_s):
                connection = await self._pool.take(self._address)
            async with asyncio.timeout(wait_s + _ANSWER_TIMEOUT_S):
                reply = await self._exchange(connection, request, wait_s)
        except ExchangeError as error:
            return Err(StoreFault(UNREACHABLE, str(error)))
        except TimeoutError as error:
            detail = str(error) or 'no answer in time'
            return Err(StoreFault(UNREACHABLE, detail))
        self._pool.give(self._address, connection)
        if reply.status == _HTTP_GONE:
            detail = f'no such history in era {_read_era(reply.headers)}'
            return Err(StoreFault(FORGOTTEN, detail))
        if reply.status != _HTTP_OK:
            return Err(StoreFault(REJECTED, f'status {reply.status}'))
        return _decode_page(reply)

    async def _exchange(
        self, connection: TargetConnection, request: Outbound, wait_s: float
    ) -> Answer:
        """Return an answer whose bytes keep coming."""
        before = connection.received_bytes
        received = before
        exchange = asyncio.ensure_future(
            connection.exchange(request, _accept_headers)
        )
        pause_s = wait_s + self._timeout_s
        try:
            while True:
                await asyncio.wait((exchange,), timeout=pause_s)
                if exchange.done():
                    return exchange.result()
                if connection.received_bytes == received:
                    raise TimeoutError(
                        f'no answer in time, {received - before} bytes of one'
                    )
                received = connection.received_bytes
                pause_s = self._timeout_s
        finally:
            exchange.cancel()


def _accept_headers(_headers: Headers) -> bool:
    return True


def _decode_page(reply: Answer) -> Result[_Response, StoreFault]:
    try:
        fields = decode(reply.body)
    except (DecodeError, RecursionError) as error:
        return Err(StoreFault(MALFORMED, str(error)))
    if not isinstance(fields, dict) or not isinstance(fields.get('at'), int):
        return Err(StoreFault(MALFORMED, 'the answer has no revision'))
    position = StorePosition(_read_era(reply.headers), fields['at'])
    return Ok(_Response(fields, position))


def _read_era(headers: Headers) -> int:
    """Return the era of an answer; a store that states none has one era."""
    era = header(headers, _ERA) or b''
    return int(era) if era.isdigit() and len(era) <= _ERA_DIGITS_MAX else 0


def _decode_item(fields: Any) -> StoreItem | None:
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
        # Invalid base64; the decoder of the record reports the empty value.
        value = b''
    return StoreItem(key, value, revision)
