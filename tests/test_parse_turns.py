"""Peers whose bytes hold many events share the loop with other work."""

import asyncio
import tracemalloc

import pytest

from oleanderridge.http1.client import (
    AnswerLimits,
    ExchangeError,
    Outbound,
    TargetConnection,
)
from oleanderridge.http1.messages import Reply
from oleanderridge.http1.server import CallerConnection, Edge, EdgeLimits

_GET = Outbound(b'GET', b'/', [(b'host', b'h')], b'')
_CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
_ANSWER = b'HTTP/1.1 200 OK\r\n' + _CHUNKED
_POST = b'POST / HTTP/1.1\r\nhost: h\r\n' + _CHUNKED
_CHUNKS = 5000
# The clock goes on by this with each look at it, and a connection looks at it
# once in 16 events. So many events fit into a turn of 2 ms.
_STEP_S = 0.00016
_TURN_EVENTS = 250


class _SteppingLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock goes on with each look at it."""

    def __init__(self):
        super().__init__()
        self._stepped_s = 1000.0

    def time(self):
        self._stepped_s += _STEP_S
        return self._stepped_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            due_s = self._scheduled[0]._when
            self._stepped_s = max(self._stepped_s, due_s)
        super()._run_once()


class _Transport:
    """Takes what a connection writes."""

    def __init__(self):
        self.written = b''
        self.paused = False
        self.aborted = False

    def write(self, content):
        self.written += content

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def abort(self):
        self.aborted = True

    def close(self):
        self.aborted = True

    def is_closing(self):
        return self.aborted

    def can_write_eof(self):
        return False

    def get_extra_info(self, _name, default=None):
        return default

    def get_write_buffer_size(self):
        return 0


def _run(scenario):
    loop = _SteppingLoop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


async def _passes_until(condition):
    """Let the loop run until a condition holds."""
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError('the condition never held')


def _connect(limits=None):
    connection, transport = TargetConnection(limits), _Transport()
    connection.connection_made(transport)
    exchange = connection.exchange(_GET, lambda _headers: True)
    return connection, transport, asyncio.ensure_future(exchange)


def test_an_answer_in_small_chunks_gives_way_and_is_passed_on_whole():
    """Guards against a target that holds the loop with its chunks."""

    async def scenario():
        connection, transport, exchange = _connect()
        await asyncio.sleep(0)
        connection.data_received(_ANSWER + b'1\r\nx\r\n' * _CHUNKS)
        assert len(connection._body) <= _TURN_EVENTS
        assert transport.paused
        await _passes_until(lambda: not transport.paused)
        connection.data_received(b'0\r\n\r\n')
        answer = await exchange
        assert answer.body == b'x' * _CHUNKS

    _run(scenario)


def test_an_upload_in_small_chunks_gives_way_and_is_read_whole():
    """Guards against a caller that holds the loop with its chunks."""
    bodies = []

    async def handle(request):
        bodies.append(request.body)
        return Reply(200, [], b'')

    async def scenario():
        edge = Edge(handle, EdgeLimits())
        connection, transport = CallerConnection(edge), _Transport()
        connection.connection_made(transport)
        upload = _POST + b'1\r\nx\r\n' * _CHUNKS + b'0\r\n\r\n'
        connection.data_received(upload)
        assert len(connection._body) <= _TURN_EVENTS
        assert transport.paused
        await _passes_until(lambda: transport.written)
        assert bodies == [b'x' * _CHUNKS]
        await _passes_until(lambda: not transport.paused)

    _run(scenario)


@pytest.mark.parametrize('count', [1, 8])
def test_all_such_peers_together_leave_most_of_the_loop(count):
    """Guards against a share of the loop that grows with the attackers."""

    async def scenario():
        peers = [_connect() for _ in range(count)]
        await asyncio.sleep(0)
        for connection, _, _ in peers:
            connection.data_received(_ANSWER + b'1\r\nx\r\n' * _CHUNKS)
        assert all(transport.paused for _, transport, _ in peers)
        loop = asyncio.get_running_loop()
        began, busy_s = loop.time(), 0.0
        while any(transport.paused for _, transport, _ in peers):
            before = sum(len(peer[0]._body) for peer in peers)
            await asyncio.sleep(0)
            parsed = sum(len(peer[0]._body) for peer in peers) - before
            assert parsed <= _TURN_EVENTS
            busy_s += parsed * _STEP_S / 16
        assert busy_s < 0.4 * (loop.time() - began)
        for *_, exchange in peers:
            exchange.cancel()
        await asyncio.sleep(0)

    _run(scenario)


def test_a_peer_that_sends_on_after_its_turn_waits_in_the_queue():
    """Guards against many small reads in place of a large one."""

    async def scenario():
        connection, _, exchange = _connect()
        await asyncio.sleep(0)
        connection.data_received(_ANSWER)
        for _ in range(20):
            connection.data_received(b'1\r\nx\r\n' * 100)
        # Less than a turn may be left when a read begins.
        assert len(connection._body) < 2 * _TURN_EVENTS
        await _passes_until(lambda: len(connection._body) == 2000)
        connection.data_received(b'0\r\n\r\n')
        assert (await exchange).body == b'x' * 2000

    _run(scenario)


def test_a_request_given_up_while_it_waits_leaves_nothing_behind():
    """Guards against turns of a connection that has been closed."""

    async def scenario():
        connection, transport, exchange = _connect()
        await asyncio.sleep(0)
        connection.data_received(_ANSWER + b'1\r\nx\r\n' * _CHUNKS)
        exchange.cancel()
        with pytest.raises(asyncio.CancelledError):
            await exchange
        assert transport.aborted
        for _ in range(50):
            await asyncio.sleep(0)
        assert not connection._body
        assert connection._unfinished.total == 0

    _run(scenario)


def test_an_error_in_a_turn_leaves_the_others_theirs():
    """Guards against a queue that stands still for good after an error."""
    errors = []

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _loop, context: errors.append(context)
        )
        broken, (connection, _, exchange) = _connect(), _connect()
        await asyncio.sleep(0)
        for each in (broken[0], connection):
            each.data_received(_ANSWER + b'1\r\nx\r\n' * _CHUNKS)
        broken[0]._http = None
        await _passes_until(lambda: len(connection._body) == _CHUNKS)
        connection.data_received(b'0\r\n\r\n')
        assert (await exchange).body == b'x' * _CHUNKS
        broken[2].cancel()

    _run(scenario)
    assert len(errors) == 1


def test_an_answer_that_states_too_long_a_body_fails_at_its_head():
    """Guards against reading a body that can't become a proper answer."""

    async def scenario():
        limits = AnswerLimits(body_bytes=1000)
        connection, transport, exchange = _connect(limits)
        await asyncio.sleep(0)
        connection.data_received(
            b'HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n'
        )
        with pytest.raises(ExchangeError) as raised:
            await exchange
        assert raised.value.kind == 'garbled'
        assert transport.aborted

    _run(scenario)


def test_pipelined_bytes_stay_with_the_caller():
    """Guards against memory that a caller fills during its request."""
    release = None
    seen = []

    async def handle(request):
        seen.append(request.target)
        await release.wait()
        return Reply(200, [], b'')

    async def scenario():
        nonlocal release
        release = asyncio.Event()
        edge = Edge(handle, EdgeLimits())
        connection, transport = CallerConnection(edge), _Transport()
        connection.connection_made(transport)
        connection.data_received(b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n')
        await asyncio.sleep(0)
        request = b'GET /2 HTTP/1.1\r\nhost: h\r\nx: %s\r\n\r\n'
        connection.data_received(request % (b'y' * 8000))
        assert not transport.paused
        for _ in range(8):
            connection.data_received(request % (b'y' * 8000))
        assert transport.paused
        release.set()
        await _passes_until(lambda: len(seen) == 10)
        await _passes_until(lambda: not transport.paused)

    _run(scenario)


def test_an_upload_in_small_chunks_takes_little_more_than_its_bytes():
    """Guards against a host that its memory limit ends during an upload."""
    size = 4 << 20
    chunk = b'30\r\n' + b'x' * 48 + b'\r\n'

    async def handle(_request):
        return Reply(200, [], b'')

    async def scenario():
        edge = Edge(handle, EdgeLimits())
        connection, transport = CallerConnection(edge), _Transport()
        connection.connection_made(transport)
        tracemalloc.start()
        began, _ = tracemalloc.get_traced_memory()
        connection.data_received(_POST)
        for _ in range(0, size, 48 * 1024):
            connection.data_received(chunk * 1024)
            await _passes_until(lambda: not transport.paused)
        connection.data_received(b'0\r\n\r\n')
        await _passes_until(lambda: transport.written)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak - began < 2.5 * size

    _run(scenario)
