"""A target of the users' kind: few slots, an id, and gray failures."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

_BUSY_STATUS = 503
_MISDIRECTED = 421
_WORK_S = 0.02
_HANG_S = 3600.0


class SlotTarget:
    """Serves requests of one service.

    Parameters
    ----------
    target : str
        Its id, as in the store.
    slots : int
        Requests that it runs at a time.
    """

    def __init__(self, target: str, slots: int = 2) -> None:
        self.target = target
        self.mode = 'up'
        self.work_s = _WORK_S
        self.answer_bytes = 0
        # Returns the seconds that the next request takes, if set.
        self.pick_work_s: Callable[[], float] | None = None
        self.runs: list[tuple[str, str]] = []
        self.address = ''
        self._slots = slots
        self._busy = 0
        self._runner: web.AppRunner | None = None

    async def start(self, host: str = '127.0.0.1') -> None:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self._serve)
        self._runner = web.AppRunner(app, handler_cancellation=True)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        self.address = '{}:{}'.format(*self._runner.addresses[0])

    async def stop(self) -> None:
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.Request) -> web.Response:
        attempt = request.headers.get('Oleanderridge-Attempt-Id', '')
        body = await request.read()
        expected = request.headers.get('Oleanderridge-Expect-Instance')
        if expected not in (None, self.target):
            return self._refusal(_MISDIRECTED, attempt)
        if self._busy >= self._slots or self.mode == 'shed':
            return self._refusal(_BUSY_STATUS, attempt)
        self._busy += 1
        workspace = request.headers.get('Oleanderridge-Tenant', '-')
        self.runs.append((attempt, workspace))
        try:
            await asyncio.sleep(self._next_work_s())
        finally:
            self._busy -= 1
        return web.Response(
            body=b'%b:%b' % (self.target.encode(), body)
            + bytes(self.answer_bytes),
            headers={
                'Oleanderridge-Attempt-Id': attempt,
                'Oleanderridge-Response-Signature': 'signed',
            },
        )

    def _next_work_s(self) -> float:
        if self.mode == 'hang':
            return _HANG_S
        return self.pick_work_s() if self.pick_work_s else self.work_s

    def _refusal(self, status: int, attempt: str) -> web.Response:
        return web.Response(
            status=status,
            headers={
                'Oleanderridge-Not-Executed': '1',
                'Oleanderridge-Attempt-Id': attempt,
                'Oleanderridge-Instance-Id': self.target,
            },
        )
