"""An upstream as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from review.kit3.http import Message, answer, read_body, read_head


class Run(NamedTuple):
    """A request that the upstream began to work on."""

    attempt: str
    path: str
    workspace: str
    at: float
    body_bytes: int


class Target:
    """Runs ``slots`` requests at a time and queues a few more.

    ``work_s`` returns the seconds that a request takes; ``drops`` tells
    whether it stops work when the connection closes, as most do.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        slots: int = 2,
        queue: int = 8,
        drops: bool = True,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.drops = drops
        self.work_s = lambda _message: 0.02
        self.answer_bytes = 400
        self.arrivals: list[tuple[str, float]] = []
        self.runs: list[Run] = []
        self.ended: dict[str, float] = {}
        self.dropped: dict[str, float] = {}
        self.shed: list[str] = []
        self.address = ''
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._busy = 0
        self._waiting = 0
        self._free = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    async def stop(self) -> None:
        """Close the listener and cut all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def entry(self, state: str = 'ready') -> dict:
        """Return the next entry for the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'warmup_left_s': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head.headers)
                reply = await self._reply(head._replace(body=body), reader)
                if reply is None:
                    return
                writer.write(reply)
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _reply(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        headers = request.headers
        attempt = headers.get('oleanderridge-attempt-id', '')
        echo = {
            'Oleanderridge-Attempt-Id': attempt,
            'Oleanderridge-Instance-Id': self.name,
            'Keep-Alive': 'timeout=10',
        }
        not_run = {**echo, 'Oleanderridge-Not-Executed': '1'}
        self.arrivals.append((attempt, time.monotonic()))
        if headers.get('oleanderridge-expect-instance', self.name) != self.name:
            return answer(421, b'', echo)
        if not attempt:
            return answer(400, b'', not_run)
        left_s = float(headers.get('oleanderridge-deadline-ms', '60000')) / 1000
        until = time.monotonic() + left_s
        if self._busy >= self.slots and self._waiting >= self.queue:
            self.shed.append(attempt)
            return answer(503, b'', not_run)
        if not await self._take_slot(until):
            self.shed.append(attempt)
            return answer(503, b'', not_run)
        try:
            return await self._run(request, attempt, echo, until, reader)
        finally:
            self._busy -= 1
            async with self._free:
                self._free.notify()

    async def _take_slot(self, until: float) -> bool:
        self._waiting += 1
        try:
            async with asyncio.timeout(max(0, until - time.monotonic())):
                async with self._free:
                    await self._free.wait_for(lambda: self._busy < self.slots)
                    self._busy += 1
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1
        return True

    async def _run(
        self,
        request: Message,
        attempt: str,
        echo: dict[str, str],
        until: float,
        reader: asyncio.StreamReader,
    ) -> bytes | None:
        self.runs.append(
            Run(
                attempt,
                request.start.split(' ')[1],
                request.headers.get('oleanderridge-tenant', '-'),
                time.monotonic(),
                len(request.body),
            )
        )
        work_s = self.work_s(request)
        late = work_s > until - time.monotonic()
        ends_at = min(until, time.monotonic() + work_s)
        while (left_s := ends_at - time.monotonic()) > 0:
            if self.drops and reader.at_eof():
                self.dropped[attempt] = time.monotonic()
                return None
            await asyncio.sleep(min(0.01, left_s))
        self.ended[attempt] = time.monotonic()
        signed = {**echo, 'Oleanderridge-Response-Signature': 'aa.bb'}
        if late:
            return answer(504, b'', signed)
        text = f'{self.name}:{attempt}:'.encode()
        return answer(200, text.ljust(self.answer_bytes, b'.'), signed)
