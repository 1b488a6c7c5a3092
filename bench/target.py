"""Stand-in of a target with two slots and faults that are set over HTTP.

The service port serves every path; ``/health`` and ``/load`` are its own
endpoints. The control port sets faults and reports executions, so that no
fault disturbs the control.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import time
from collections import Counter, deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple, TypedDict

from aiohttp import web

from bench.sockets import reset

ORDER_METHOD = 'POST'
_CHUNK_BYTES = 16_384
_RECORDS_MAX = 50_000
_HISTORY_MAX = 4_096
_PROBE_S = 0.025
_STATE_HEADER = 'Target-State'
_STRAY = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray'


class Options(NamedTuple):
    """What one stand-in is started with; times in seconds."""

    name: str
    slots: int = 2
    queue: int = 16
    connections: int = 330
    service_s: float = 0.02
    cold_s: float = 0
    cold_factor: float = 4.0
    echo_header: str = ''


class Faults(NamedTuple):
    """Faults in force; the defaults are a correct target.

    ``half`` is ``length`` or ``chunked``, ``reset`` is ``before`` or
    ``after`` the work. With ``flap_s`` the faults hold only in every second
    period of that length. ``hold`` keeps started requests in their slots.
    ``health`` is ``truth``, ``lag``, ``up`` or ``down`` (the last two lie).
    """

    slow: float = 1
    half: str = ''
    flap_s: float = 0
    crossed: bool = False
    late_s: float = 0
    stray: bool = False
    reset: str = ''
    refuse: bool = False
    hold: bool = False
    status: int = 200
    health: str = 'truth'
    lag_s: float = 5


class Record(TypedDict):
    """One request that reached a slot, as the target received it."""

    operation: str
    request_id: str
    method: str
    path: str
    headers: list[list[str]]
    cookies: dict[str, str]
    body: str
    started_at: float
    completed: bool


class TargetState:
    """Slots, faults, counts and records of one stand-in."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.faults = Faults()
        self.flap_from = time.monotonic()
        self.cold_from = time.monotonic()
        self.draining = False
        self.slots = asyncio.Semaphore(options.slots)
        self.running = 0
        self.queued = 0
        self.counts: Counter[str] = Counter()
        self.records: deque[Record] = deque(maxlen=_RECORDS_MAX)
        self.history: deque[tuple[float, bool, int]] = deque(
            maxlen=_HISTORY_MAX
        )
        self.released = asyncio.Event()
        self.previous_id = 'none'
        self.last_received_at: float = 0

    def active(self) -> Faults:
        """Return the faults that hold now, flapping considered."""
        faults = self.faults
        if faults.flap_s <= 0:
            return faults
        elapsed = time.monotonic() - self.flap_from
        if int(elapsed / faults.flap_s) % 2:
            return Faults(health=faults.health, lag_s=faults.lag_s)
        return faults

    def service_s(self) -> float:
        """Return the time that one request takes now, in seconds."""
        options = self.options
        factor = self.active().slow
        if options.cold_s > 0:
            warm = (time.monotonic() - self.cold_from) / options.cold_s
            factor *= 1 + (options.cold_factor - 1) * max(0, 1 - warm)
        return options.service_s * factor

    def healthy(self) -> bool:
        """Return whether no fault holds now."""
        correct = Faults()
        faults = self.active()
        return faults == correct._replace(
            health=faults.health, lag_s=faults.lag_s, flap_s=faults.flap_s
        )

    def sample(self) -> None:
        """Remember the state for endpoints that lag."""
        moment = (time.monotonic(), self.healthy(), self.running + self.queued)
        self.history.append(moment)

    def lagged(self) -> tuple[float, bool, int]:
        """Return the state of ``lag_s`` ago, or the oldest one known."""
        until = time.monotonic() - self.faults.lag_s
        older = [moment for moment in self.history if moment[0] <= until]
        return older[-1] if older else self.history[0]


STATE = web.AppKey('state', TargetState)


class _Shed(Exception):  # noqa: N818 - a flow signal, not an error
    """The queue is full or the deadline passed before the start."""


def _deadline(request: web.Request) -> float | None:
    text = request.headers.get('Request-Deadline-Ms', '')
    return float(text) / 1000 if text.isdigit() else None


@asynccontextmanager
async def _slot(state: TargetState, wait_s: float | None) -> AsyncIterator:
    """Hold one slot; raise ``_Shed`` when there is none in time."""
    if state.slots.locked() and state.queued >= state.options.queue:
        raise _Shed
    state.queued += 1
    try:
        await asyncio.wait_for(state.slots.acquire(), wait_s)
    except TimeoutError:
        raise _Shed from None
    finally:
        state.queued -= 1
    state.running += 1
    try:
        yield
    finally:
        state.running -= 1
        state.slots.release()


async def _work(state: TargetState, record: Record) -> None:
    """Take the service time, then count the execution as completed."""
    await asyncio.sleep(state.service_s())
    while state.faults.hold:
        await state.released.wait()
    record['completed'] = True
    state.counts['completed'] += 1


async def _record(request: web.Request) -> Record:
    body = await request.text() if request.can_read_body else ''
    return Record(
        operation=request.headers.get('Operation-Id', ''),
        request_id=request.headers.get('Request-Id', ''),
        method=request.method,
        path=request.path_qs,
        headers=[list(pair) for pair in request.headers.items()],
        cookies=dict(request.cookies),
        body=body,
        started_at=0,
        completed=False,
    )


def _content(state: TargetState, record: Record, size: int) -> bytes:
    """Return a body that names its request, padded to ``size`` bytes."""
    operation = record['operation'] or record['request_id']
    request_id = record['request_id']
    line = f'{state.options.name} {record["path"]} {operation} {request_id}\n'
    return line.encode().ljust(size, b'.')


def _abort(request: web.Request) -> web.Response:
    reset(request.transport)
    return web.Response(status=503)


def _headers(state: TargetState, request_id: str) -> dict[str, str]:
    headers = {'Target-Name': state.options.name}
    if state.draining:
        headers[_STATE_HEADER] = 'draining'
    if state.options.echo_header:
        headers[state.options.echo_header] = request_id
    return headers


async def _write_body(
    request: web.Request,
    response: web.StreamResponse,
    content: bytes,
    spread_s: float,
) -> None:
    """Write the content in chunks, spread over the given time."""
    pause_s = spread_s * _CHUNK_BYTES / max(len(content), 1)
    for start in range(0, len(content), _CHUNK_BYTES):
        await response.write(content[start : start + _CHUNK_BYTES])
        if pause_s:
            await asyncio.sleep(pause_s)


async def _send(
    request: web.Request, faults: Faults, headers: dict, content: bytes
) -> web.StreamResponse:
    """Send the answer, cut in half when that fault holds."""
    response = web.StreamResponse(status=faults.status, headers=headers)
    chunked = faults.half == 'chunked' or 'chunked' in request.query
    if chunked:
        response.enable_chunked_encoding()
    else:
        response.content_length = len(content)
    await response.prepare(request)
    spread_s = float(request.query.get('spread_ms', '0')) / 1000
    if faults.half:
        half = content[: len(content) // 2]
        await _write_body(request, response, half, spread_s)
        if request.transport is not None:
            request.transport.close()
        return response
    await _write_body(request, response, content, spread_s)
    await response.write_eof()
    if faults.stray and request.transport is not None:
        request.transport.write(_STRAY)
    return response


def _identity(state: TargetState, faults: Faults, record: Record) -> Record:
    """Return whose answer is sent: another request's when crossed."""
    previous = state.previous_id
    state.previous_id = record['request_id']
    if not faults.crossed:
        return record
    return Record(**{**record, 'request_id': previous, 'operation': previous})


async def _serve_in_slot(
    request: web.Request, state: TargetState, record: Record
) -> web.StreamResponse:
    faults = state.active()
    if faults.reset == 'before':
        return _abort(request)
    record['started_at'] = time.monotonic()
    state.records.append(record)
    state.counts['started'] += 1
    work = asyncio.ensure_future(_work(state, record))
    if record['method'] == ORDER_METHOD:
        # A started order completes even when the connection closes.
        await asyncio.shield(work)
    else:
        await asyncio.wait_for(work, _deadline(request))
    if faults.reset == 'after':
        return _abort(request)
    if faults.late_s:
        await asyncio.sleep(faults.late_s)
    shown = _identity(state, faults, record)
    size = int(request.query.get('size', '0'))
    content = _content(state, shown, size)
    headers = _headers(state, shown['request_id'])
    return await _send(request, faults, headers, content)


async def serve_request(request: web.Request) -> web.StreamResponse:
    """Run one request in a slot, or shed it."""
    state = request.app[STATE]
    state.counts['received'] += 1
    state.last_received_at = time.monotonic()
    if state.draining:
        state.counts['received_draining'] += 1
    state.sample()
    record = await _record(request)
    try:
        async with _slot(state, _deadline(request)):
            return await _serve_in_slot(request, state, record)
    except _Shed:
        state.counts['shed'] += 1
        return web.Response(status=503, headers={_STATE_HEADER: 'shedding'})
    except TimeoutError:
        state.counts['expired'] += 1
        return web.Response(status=504)
    except asyncio.CancelledError:
        state.counts['cancelled'] += 1
        raise


async def serve_health(request: web.Request) -> web.Response:
    """Answer a probe, which takes a slot for 25 ms."""
    state = request.app[STATE]
    state.counts['probes'] += 1
    state.sample()
    faults = state.faults
    reports = {
        'truth': state.healthy(),
        'lag': state.lagged()[1],
        'up': True,
        'down': False,
    }
    try:
        async with _slot(state, 1):
            await asyncio.sleep(_PROBE_S * state.active().slow)
    except _Shed:
        return web.Response(status=503, headers={_STATE_HEADER: 'shedding'})
    headers = {}
    if state.draining:
        headers[_STATE_HEADER] = 'draining'
    status = 200 if reports[faults.health] else 503
    return web.Response(status=status, headers=headers)


async def serve_load(request: web.Request) -> web.Response:
    """Report the load, lagging or untrue as the faults say."""
    state = request.app[STATE]
    state.sample()
    reports = {
        'truth': state.running + state.queued,
        'lag': state.lagged()[2],
        'up': 0,
        'down': state.options.slots + state.options.queue,
    }
    return web.json_response({'load': reports[state.faults.health]})


async def control_faults(request: web.Request) -> web.Response:
    """Replace the faults by those in the JSON body; ``{}`` clears them."""
    state = request.app[STATE]
    state.faults = Faults(**await request.json())
    state.flap_from = time.monotonic()
    state.released.set()
    state.released = asyncio.Event()
    state.sample()
    return web.json_response(state.faults._asdict())


async def control_drain(request: web.Request) -> web.Response:
    """Start (``on``) or end (``off``) draining."""
    state = request.app[STATE]
    state.draining = request.match_info['state'] == 'on'
    return web.json_response({'draining': state.draining})


async def control_restart(request: web.Request) -> web.Response:
    """Make the target cold again."""
    request.app[STATE].cold_from = time.monotonic()
    return web.json_response({})


async def control_counts(request: web.Request) -> web.Response:
    """Report totals and the executions by operation and request id."""
    state = request.app[STATE]
    by_operation: dict[str, dict[str, int]] = {}
    by_request: Counter[str] = Counter()
    for record in state.records:
        by_request[record['request_id']] += 1
        if record['operation']:
            counts = by_operation.setdefault(
                record['operation'], {'started': 0, 'completed': 0}
            )
            counts['started'] += 1
            counts['completed'] += record['completed']
    return web.json_response(
        {
            **state.counts,
            'running': state.running,
            'queued': state.queued,
            'last_received_at': state.last_received_at,
            'by_operation': by_operation,
            'by_request': by_request,
        }
    )


async def control_records(request: web.Request) -> web.Response:
    """Report the records; with ``contains`` only those with that text."""
    text = request.query.get('contains', '')
    records = request.app[STATE].records
    return web.json_response([one for one in records if text in repr(one)])


def build_apps(options: Options) -> tuple[web.Application, web.Application]:
    """Return the service application and its control application."""
    state = TargetState(options)
    state.sample()
    service = web.Application(client_max_size=2**26)
    control = web.Application()
    service[STATE] = state
    control[STATE] = state
    service.add_routes(
        [
            web.get('/health', serve_health),
            web.get('/load', serve_load),
            web.route('*', '/{path:.*}', serve_request),
        ]
    )
    control.add_routes(
        [
            web.put('/faults', control_faults),
            web.post('/drain/{state:on|off}', control_drain),
            web.post('/restart', control_restart),
            web.get('/counts', control_counts),
            web.get('/records', control_records),
        ]
    )
    return service, control


class _ClosingProtocol(asyncio.Protocol):
    """Resets a connection beyond the limit, or one that is refused."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the connection at once."""
        reset(transport)


async def serve(options: Options, address: str, ports: tuple[int, int]) -> None:
    """Serve the service port and the control port until cancelled.

    Parameters
    ----------
    options : Options
        Behaviour of the target.
    address : str
        Address of both listeners.
    ports : tuple of int
        Service port and control port.
    """
    service, control = build_apps(options)
    state = service[STATE]
    runner = web.AppRunner(
        service,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=0.1,
    )
    control_runner = web.AppRunner(control, access_log=None)
    await runner.setup()
    await control_runner.setup()
    await web.TCPSite(control_runner, address, ports[1]).start()
    server = runner.server

    def protocol() -> asyncio.BaseProtocol:
        if server is None or state.active().refuse:
            return _ClosingProtocol()
        if len(server.connections) >= options.connections:
            state.counts['connections_refused'] += 1
            return _ClosingProtocol()
        return server()

    loop = asyncio.get_running_loop()
    listener = await loop.create_server(protocol, address, ports[0])
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    await stopped.wait()
    listener.close()
    await runner.cleanup()
    await control_runner.cleanup()


_PARSERS = {'int': int, 'float': float, 'str': str}


def main() -> None:
    """Serve until a signal arrives."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--address', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--control-port', type=int, required=True)
    parser.add_argument('--name', required=True)
    defaults = Options('')._asdict()
    for field in Options._fields[1:]:
        option = f'--{field.replace("_", "-")}'
        parse = _PARSERS[Options.__annotations__[field].__forward_arg__]
        parser.add_argument(option, type=parse, default=defaults[field])
    values = vars(parser.parse_args())
    address = values.pop('address')
    ports = (values.pop('port'), values.pop('control_port'))
    asyncio.run(serve(Options(**values), address, ports))


if __name__ == '__main__':
    main()
