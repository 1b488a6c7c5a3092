"""Stand-in of the platform: values, long-poll watches and its failures.

``GET /v1/values/<key>`` and ``GET /v1/watch/<key>`` follow section 14 of
the design; ``bench.record_store`` adds the format of the users. The control
interface is served under ``/control`` and works in every mode.
"""

from __future__ import annotations

import argparse
import asyncio
from typing import NamedTuple

from aiohttp import web

from bench.record_store import record_routes
from bench.sockets import reset

MODES = ('up', 'down', 'stale', 'paused', 'busy')
VALUE_LIMIT_BYTES = 1_000_000


class Value(NamedTuple):
    """One stored value with the revision at which it was written."""

    revision: int
    content: bytes


class Copy(NamedTuple):
    """What the stand-in can be restored from."""

    revision: int
    values: dict[str, Value]
    history: list[tuple[int, str, bytes | None]]


class PlatformState:
    """Values, mode and call counts of the stand-in."""

    def __init__(self) -> None:
        self.mode = 'up'
        self.era = 1
        self.revision = 0
        self.values: dict[str, Value] = {}
        self.stale_values: dict[str, Value] = {}
        self.calls = {'values': 0, 'watch': 0}
        self.waiting = 0
        self.history: list[tuple[int, str, bytes | None]] = []
        self.forgotten = 0
        self.changed = asyncio.Event()

    def visible(self, key: str) -> Value | None:
        """Return the value that readers see in the current mode."""
        stale = self.mode == 'stale'
        return (self.stale_values if stale else self.values).get(key)

    def set_value(self, key: str, content: bytes) -> int:
        """Store a value and wake the watches; return its revision."""
        self.revision += 1
        self.values[key] = Value(self.revision, content)
        self.history.append((self.revision, key, content))
        self.notify()
        return self.revision

    def remove_value(self, key: str) -> bool:
        """Remove a value; return whether there was one."""
        if self.values.pop(key, None) is None:
            return False
        self.revision += 1
        self.history.append((self.revision, key, None))
        self.notify()
        return True

    def forget_history(self) -> None:
        """Drop the changes so far; watches from before fail."""
        self.history.clear()
        self.forgotten = self.revision
        self.notify()

    def copy(self) -> Copy:
        """Return what the stand-in holds now."""
        return Copy(self.revision, dict(self.values), list(self.history))

    def restore(self, copy: Copy) -> None:
        """Come back from a copy: lose what was written since, in a new era."""
        self.era += 1
        self.revision = copy.revision
        self.values = dict(copy.values)
        self.history = list(copy.history)
        self.notify()

    def records(self, prefix: str) -> list[tuple[str, int, bytes]]:
        """Return the values whose keys begin with a prefix."""
        return [
            (key, value.revision, value.content)
            for key, value in sorted(self.values.items())
            if key.startswith(prefix)
        ]

    def set_mode(self, mode: str) -> None:
        """Switch the mode; ``stale`` freezes what readers see."""
        if mode == 'stale' and self.mode != 'stale':
            self.stale_values = dict(self.values)
        self.mode = mode
        self.notify()

    def notify(self) -> None:
        """Wake every waiting watch."""
        self.changed.set()
        self.changed = asyncio.Event()


STATE = web.AppKey('state', PlatformState)


async def _reachable(request: web.Request, state: PlatformState) -> bool:
    """Apply the modes ``paused`` and ``down``; false after a reset."""
    while state.mode == 'paused':
        await state.changed.wait()
    if state.mode == 'down':
        reset(request.transport)
        return False
    return True


def _answer(value: Value | None) -> web.Response:
    if value is None:
        return web.Response(status=404)
    return web.Response(
        body=value.content, headers={'Revision': str(value.revision)}
    )


async def read_value(request: web.Request) -> web.Response:
    """Serve one value; 404 when it is absent."""
    state = request.app[STATE]
    state.calls['values'] += 1
    if not await _reachable(request, state):
        return web.Response(status=503)
    return _answer(state.visible(request.match_info['key']))


async def _newer(state: PlatformState, key: str, after: int) -> Value | None:
    while state.mode in {'up', 'stale'}:
        value = state.visible(key)
        if value is not None and value.revision > after:
            return value
        await state.changed.wait()
    return None


async def watch_value(request: web.Request) -> web.Response:
    """Serve a value as soon as its revision is higher than ``after``."""
    state = request.app[STATE]
    state.calls['watch'] += 1
    if not await _reachable(request, state):
        return web.Response(status=503)
    after = int(request.query.get('after', '0'))
    wait_s = float(request.query.get('wait_s', '10'))
    state.waiting += 1
    try:
        value = await asyncio.wait_for(
            _newer(state, request.match_info['key'], after), wait_s
        )
    except TimeoutError:
        value = None
    finally:
        state.waiting -= 1
    if not await _reachable(request, state):
        return web.Response(status=503)
    return web.Response(status=204) if value is None else _answer(value)


async def control_set(request: web.Request) -> web.Response:
    """Store the request body under the key."""
    content = await request.read()
    if len(content) > VALUE_LIMIT_BYTES:
        return web.Response(status=413)
    state = request.app[STATE]
    revision = state.set_value(request.match_info['key'], content)
    return web.json_response({'revision': revision})


async def control_remove(request: web.Request) -> web.Response:
    """Remove a value."""
    state = request.app[STATE]
    removed = state.remove_value(request.match_info['key'])
    return web.json_response({'removed': removed})


async def control_forget(request: web.Request) -> web.Response:
    """Drop the history of changes."""
    request.app[STATE].forget_history()
    return web.json_response({'revision': request.app[STATE].revision})


async def control_mode(request: web.Request) -> web.Response:
    """Set the mode: ``up``, ``down``, ``stale`` or ``paused``."""
    mode = request.match_info['mode']
    if mode not in MODES:
        return web.Response(status=400, text=f'mode is one of {MODES}')
    request.app[STATE].set_mode(mode)
    return web.json_response({'mode': mode})


async def control_counts(request: web.Request) -> web.Response:
    """Report the calls so far and the watches that wait now."""
    state = request.app[STATE]
    return web.json_response(
        {
            'mode': state.mode,
            'revision': state.revision,
            'calls': sum(state.calls.values()),
            'by_kind': state.calls,
            'waiting': state.waiting,
        }
    )


def build_app() -> web.Application:
    """Return the application of the stand-in."""
    app = web.Application(client_max_size=4 * VALUE_LIMIT_BYTES)
    app[STATE] = PlatformState()
    app.add_routes(
        [
            web.get('/v1/values/{key:.+}', read_value),
            web.get('/v1/watch/{key:.+}', watch_value),
            web.put('/control/values/{key:.+}', control_set),
            web.delete('/control/values/{key:.+}', control_remove),
            web.post('/control/mode/{mode}', control_mode),
            web.post('/control/forget', control_forget),
            web.get('/control/counts', control_counts),
            *record_routes(app[STATE]),
        ]
    )
    return app


def main() -> None:
    """Serve until a signal arrives."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--address', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    arguments = parser.parse_args()
    web.run_app(
        build_app(),
        host=arguments.address,
        port=arguments.port,
        handler_cancellation=True,
        shutdown_timeout=0.1,
        access_log=None,
        print=None,
    )


if __name__ == '__main__':
    main()
