"""The second format of the platform stand-in: listed and watched records.

``GET /v1/kv-range`` and ``GET /v1/kv-watch`` read the same values as the
first format does, with a history of changes that can be dropped.
"""

from __future__ import annotations

import asyncio
from base64 import b64encode
from typing import Any, Protocol

from aiohttp import web

from bench.sockets import reset

MODES = ('up', 'down', 'paused', 'busy')
_PAGE_ITEMS = 50


class RecordState(Protocol):
    """What this format needs of the state of the stand-in."""

    mode: str
    era: int
    revision: int
    history: list[tuple[int, str, bytes | None]]
    forgotten: int
    changed: asyncio.Event
    calls: dict[str, int]

    def records(self, prefix: str) -> list[tuple[str, int, bytes]]:
        """Return keys, revisions and contents in the order of keys."""


async def _refusal(
    request: web.Request, state: RecordState
) -> web.Response | None:
    while state.mode == 'paused':
        await state.changed.wait()
    if state.mode == 'down':
        reset(request.transport)
        return web.Response(status=503)
    busy = state.mode == 'busy'
    return web.Response(status=503, headers=_era(state)) if busy else None


def _era(state: RecordState) -> dict[str, str]:
    return {'Store-Era': str(state.era)}


def _item(key: str, revision: int, content: bytes | None) -> dict[str, Any]:
    if content is None:
        return {'key': key, 'revision': revision, 'deleted': True}
    return {
        'key': key,
        'value': b64encode(content).decode(),
        'revision': revision,
        'created': revision,
        'lease': 0,
    }


def record_routes(state: RecordState) -> list[web.RouteDef]:
    """Return the routes of this format.

    Parameters
    ----------
    state : RecordState
        Shared with the first format.

    Returns
    -------
    list of RouteDef
        To be added to the application.
    """

    async def read_range(request: web.Request) -> web.Response:
        state.calls['range'] = state.calls.get('range', 0) + 1
        refused = await _refusal(request, state)
        if refused is not None:
            return refused
        after = request.query.get('after', '')
        found = [
            _item(*record)
            for record in state.records(request.query.get('prefix', ''))
            if record[0] > after
        ]
        return web.json_response(
            {
                'items': found[:_PAGE_ITEMS],
                'more_pages': len(found) > _PAGE_ITEMS,
                'at': state.revision,
            },
            headers=_era(state),
        )

    async def watch_range(request: web.Request) -> web.Response:
        state.calls['kv-watch'] = state.calls.get('kv-watch', 0) + 1
        refused = await _refusal(request, state)
        if refused is not None:
            return refused
        after, era = int(request.query.get('after', '0')), state.era
        prefix = request.query.get('prefix', '')
        wait_s = int(request.query.get('wait_ms', '1000')) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while era == state.era and not _since(state, prefix, after):
                    if after > state.revision:
                        break
                    await state.changed.wait()
        except TimeoutError:
            pass
        refused = await _refusal(request, state)
        if refused is not None:
            return refused
        if after < state.forgotten or after > state.revision:
            return web.Response(status=410, headers=_era(state))
        events = _since(state, prefix, after)
        return web.json_response(
            {'events': events, 'at': state.revision}, headers=_era(state)
        )

    return [
        web.get('/v1/kv-range', read_range),
        web.get('/v1/kv-watch', watch_range),
    ]


def _since(state: RecordState, prefix: str, after: int) -> list[dict[str, Any]]:
    return [
        _item(key, revision, content)
        for revision, key, content in state.history
        if revision > after and key.startswith(prefix)
    ]
