"""The platform's store: items, lists by prefix, and watches."""

from __future__ import annotations

import asyncio
import contextlib
import json
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

from standins.http1 import read_request, response

_PAGE_ITEMS = 500


class Store:
    """A store that loses nothing and is always up."""

    def __init__(self) -> None:
        self.address = ''
        # By the address that was called.
        self.calls: dict[str, int] = {}
        self._revision = 0
        self._items: dict[str, tuple[int, bytes]] = {}
        self._history: list[tuple[int, str, bytes | None]] = []
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen on a free port."""
        self.address = await self.listen()

    async def listen(self) -> str:
        """Listen on a further port; return its address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        self.calls[f'{host}:{port}'] = 0
        return f'{host}:{port}'

    def put(self, key: str, value: dict) -> int:
        """Write an item; return its revision."""
        content = json.dumps(value, separators=(',', ':')).encode()
        self._revision += 1
        self._items[key] = self._revision, content
        self._note(key, content)
        return self._revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note(key, None)

    def _note(self, key: str, content: bytes | None) -> None:
        self._history.append((self._revision, key, content))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.closing(writer), contextlib.suppress(OSError, EOFError):
            while (call := await read_request(reader)) is not None:
                host, port = writer.get_extra_info('sockname')
                self.calls[f'{host}:{port}'] += 1
                parts = urlsplit(call.start.split()[1])
                query = {
                    name: values[0]
                    for name, values in parse_qs(parts.query).items()
                }
                body = await self._answer(parts.path, query)
                status = 404 if body is None else 200
                content = json.dumps(body or {}).encode()
                headers = {'Content-Type': 'application/json'}
                writer.write(response(status, headers, content))
                await writer.drain()

    async def _answer(self, path: str, query: dict[str, str]) -> dict | None:
        prefix, after = query.get('prefix', ''), query.get('after', '')
        if path == '/v1/kv-key':
            return self._one(query.get('key', ''))
        if path == '/v1/kv-range':
            return self._page(prefix, after)
        if path == '/v1/kv-watch':
            wait_s = int(query.get('wait_ms', '1000')) / 1000
            return await self._watch(prefix, int(after or 0), wait_s)
        return None

    def _one(self, key: str) -> dict | None:
        if key not in self._items:
            return None
        return {**_item(key, *self._items[key]), 'at': self._revision}

    def _page(self, prefix: str, after: str) -> dict:
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return {
            'items': [
                _item(key, *self._items[key]) for key in keys[:_PAGE_ITEMS]
            ],
            'more_pages': len(keys) > _PAGE_ITEMS,
            'at': self._revision,
        }

    async def _watch(self, prefix: str, after: int, wait_s: float) -> dict:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._events(prefix, after):
                    await self._changed.wait()
        return {'events': self._events(prefix, after), 'at': self._revision}

    def _events(self, prefix: str, after: int) -> list[dict]:
        return [
            {'key': key, 'revision': revision, 'deleted': True}
            if content is None
            else _item(key, revision, content)
            for revision, key, content in self._history
            if revision > after and key.startswith(prefix)
        ]


def _item(key: str, revision: int, content: bytes) -> dict:
    return {
        'key': key,
        'value': b64encode(content).decode(),
        'revision': revision,
        'created': revision,
        'lease': 0,
    }
