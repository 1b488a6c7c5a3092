"""The platform's store as PROTOCOL.md describes it, for reading calls."""

from __future__ import annotations

import asyncio
import json
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

from review.kit3.http import answer, read_message

PAGE_ITEMS = 500


class Store:
    """Items with revisions, and a history for watches."""

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.changed = asyncio.Event()
        self.address = ''
        self.calls = 0
        # Called before each answer; may wait, or return bytes to send instead.
        self.before = None
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    def put(self, key: str, value: bytes) -> int:
        """Write an item; return its revision, which is the ack."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            'key': key,
            'value': b64encode(value).decode(),
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._log(item)
        return self.revision

    def delete(self, key: str) -> int:
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._log({'key': key, 'revision': self.revision, 'deleted': True})
        return self.revision

    def _log(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _since(self, prefix: str, after: int) -> list[dict]:
        return [
            event
            for event in self.history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                self.calls += 1
                target = urlsplit(request.start.split(' ')[1])
                query = {
                    name: values[0]
                    for name, values in parse_qs(target.query).items()
                }
                if self.before is not None:
                    instead = await self.before(target.path, query)
                    if instead is not None:
                        writer.write(instead)
                        await writer.drain()
                        continue
                status, fields = await self._answer(target.path, query)
                writer.write(
                    answer(
                        status,
                        json.dumps(fields).encode(),
                        {'Content-Type': 'application/json'},
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict) -> tuple[int, dict]:
        prefix = query.get('prefix', '')
        if path == '/v1/kv-key':
            item = self.items.get(query.get('key', ''))
            return (200, {**item, 'at': self.revision}) if item else (404, {})
        if path == '/v1/kv-range':
            after = query.get('after', '')
            found = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            return 200, {
                'items': found[:PAGE_ITEMS],
                'more_pages': len(found) > PAGE_ITEMS,
                'at': self.revision,
            }
        if path == '/v1/kv-watch':
            after = int(query.get('after', '0'))
            wait_s = min(30, int(query.get('wait_ms', '0')) / 1000)
            try:
                async with asyncio.timeout(wait_s):
                    while not self._since(prefix, after):
                        await self.changed.wait()
            except TimeoutError:
                pass
            return 200, {
                'events': self._since(prefix, after),
                'at': self.revision,
            }
        return 404, {}
