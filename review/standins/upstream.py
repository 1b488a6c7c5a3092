"""An upstream: two slots, a short queue, and an entry in the store."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass

from standins.http1 import Message, read_request, response
from standins.store import Store

_SLOTS = 2
_QUEUE = 8


@dataclass
class Run:
    """One run of a request; times are monotonic seconds."""

    attempt: str
    tenant: str
    upstream: str
    began_at: float
    ended_at: float = 0.0


@dataclass
class Work:
    """How long a request takes, and the size of its answer in bytes."""

    seconds: float
    answer_bytes: int = 400


class Upstream:
    """Serves one service, and says so in the store.

    Parameters
    ----------
    name : str
        Its id.
    service : str
        The service that it belongs to.
    zone : str
        Where it runs.
    work : callable
        Returns what a request asks for, from its path.
    runs : list of Run
        Gets each run, of all upstreams.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        work: Callable[[str], Work],
        runs: list[Run],
    ) -> None:
        self.name = name
        self.address = ''
        self._service = service
        self._zone = zone
        self._work = work
        self._runs = runs
        self._free = asyncio.Semaphore(_SLOTS)
        self._pending = 0
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._renewal: asyncio.Task | None = None

    async def start(
        self, store: Store, heartbeat_s: float, host: str = '127.0.0.1'
    ) -> None:
        """Listen on a free port and keep the entry in the store."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'
        self._renewal = asyncio.create_task(self._renew(store, heartbeat_s))

    async def stop(self) -> None:
        """End without notice."""
        if self._renewal is not None:
            self._renewal.cancel()
        if self._server is not None:
            self._server.close()

    async def _renew(self, store: Store, heartbeat_s: float) -> None:
        while True:
            self._sequence += 1
            entry = {
                'service': self._service,
                'address': self.address,
                'zone': self._zone,
                'version': 'v1',
                'slots': _SLOTS,
                'state': 'ready',
                'warmup_left_s': 0,
                'born': self._born,
                'sequence': self._sequence,
            }
            if self._sequence == 1:
                # The entry changes when more than `sequence` changes.
                store.put(f'servers/{self.name}', entry)
            await asyncio.sleep(heartbeat_s)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.closing(writer), contextlib.suppress(OSError, EOFError):
            while (message := await read_request(reader)) is not None:
                writer.write(await self._run(message))
                await writer.drain()

    async def _run(self, message: Message) -> bytes:
        headers = message.headers
        attempt = headers.get('oleanderridge-attempt-id')
        if attempt is None:
            return response(400, {'Oleanderridge-Not-Executed': '1'})
        said = {
            'Oleanderridge-Attempt-Id': attempt,
            'Oleanderridge-Instance-Id': self.name,
            'Keep-Alive': 'timeout=10',
        }
        if headers.get('oleanderridge-expect-instance', self.name) != self.name:
            return response(421, said)
        if self._pending >= _SLOTS + _QUEUE:
            return response(503, {**said, 'Oleanderridge-Not-Executed': '1'})
        self._pending += 1
        try:
            async with self._free:
                return await self._work_on(message, attempt, said)
        finally:
            self._pending -= 1

    async def _work_on(
        self, message: Message, attempt: str, said: dict[str, str]
    ) -> bytes:
        tenant = message.headers.get('oleanderridge-tenant', '-')
        run = Run(attempt, tenant, self.name, time.monotonic())
        self._runs.append(run)
        work = self._work(message.start.split()[1])
        await asyncio.sleep(work.seconds)
        run.ended_at = time.monotonic()
        body = (attempt.encode() + b'.') * (1 + work.answer_bytes // 8)
        said['Oleanderridge-Response-Signature'] = f'mac.{attempt}'
        return response(200, said, body[: work.answer_bytes])
