"""Tests of the transport between hosts with malformed and missing input."""

import asyncio
import socket
import time

from oleanderridge.gateway.peers import Datagrams, fetch_sync, serve_sync
from oleanderridge.generated.fleet import (
    Queued,
    SyncReply,
    SyncRequest,
)

_REPLY = SyncReply(b'document', 7, True, [], ['gone'], [], 30)


def _free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def _stand_still(seconds):
    """Stop the process as a throttled processor does."""
    time.sleep(seconds)


def test_a_malformed_datagram_is_dropped_and_the_next_one_arrives():
    """Guards against a malformed datagram that stops a host."""

    async def run():
        received = []
        port = _free_port()
        receiver = Datagrams(lambda message, host: received.append(message))
        await receiver.listen('127.0.0.1', port)
        sender = Datagrams(lambda message, host: None)
        await sender.listen('127.0.0.2', port)
        unknown_sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for malformed in (b'', b'\xff', b'\x03junk', b'\x00' * 2000):
            unknown_sender.sendto(malformed, ('127.0.0.1', port))
        sender.send('127.0.0.1', Queued(5))
        await asyncio.sleep(0.1)
        receiver.close()
        sender.close()
        return received

    assert asyncio.run(run()) == [Queued(5)]


def test_whole_lists_are_fetched_and_a_silent_host_costs_little():
    """Guards against a host that blocks on an unresponsive peer."""

    async def run():
        requests, sent = [], []
        port = _free_port()

        def answer(request):
            requests.append(request)
            return _REPLY

        server = await serve_sync('127.0.0.1', port, answer, sent.append)
        request = SyncRequest(3, 4, 5, 6)
        fetched = await fetch_sync('127.0.0.1', port, request)
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'\xff\xff\xff\xff')
        after_malformed = await fetch_sync('127.0.0.1', port, request)
        writer.close()
        server.close()
        silent = socket.socket()
        silent.bind(('127.0.0.1', 0))
        silent.listen()
        loop = asyncio.get_running_loop()
        started = loop.time()
        timed_out = await fetch_sync(
            '127.0.0.1', silent.getsockname()[1], request
        )
        silent.close()
        return (
            requests,
            fetched,
            after_malformed,
            timed_out,
            loop.time() - started,
        )

    requests, fetched, after_malformed, timed_out, took_s = asyncio.run(run())
    assert requests[0] == SyncRequest(3, 4, 5, 6)
    assert fetched.unwrap() == after_malformed.unwrap() == _REPLY
    assert timed_out.is_err()
    assert took_s < 1.5


def test_answers_that_wait_after_a_pause_come_before_timers():
    """Guards against a paused host that takes its leader for unresponsive."""

    async def run():
        order = []
        port = _free_port()
        receiver = Datagrams(lambda message, host: order.append(message))
        await receiver.listen('127.0.0.1', port)
        sender = Datagrams(lambda message, host: None)
        await sender.listen('127.0.0.2', port)
        asyncio.get_running_loop().call_later(0.05, order.append, 'timer')
        for permit in range(8):
            sender.send('127.0.0.1', Queued(permit))
        _stand_still(0.1)
        await asyncio.sleep(0.1)
        receiver.close()
        sender.close()
        return order

    assert asyncio.run(run()) == [*map(Queued, range(8)), 'timer']


def test_a_large_document_on_a_slow_link_arrives_whole():
    """Guards against hosts that fetch a document again and again in vain.

    On khmt-gate-grown a configuration with 1,680 more routes took longer than
    the time for a whole reply while many hosts fetched it from one (scale-1,
    seed 746169728838).
    """
    reply = SyncReply(bytes(400_000), 7, True, [], [], [], 30)

    async def run():
        port = _free_port()
        sent = []

        async def pass_on(reader, writer):
            from_host, to_host = await asyncio.open_connection(
                '127.0.0.1', port
            )
            head = await reader.readexactly(4)
            request = await reader.readexactly(int.from_bytes(head, 'big'))
            to_host.write(head + request)
            while piece := await from_host.read(32768):
                await asyncio.sleep(0.1)
                writer.write(piece)
                await writer.drain()
            writer.close()
            to_host.close()

        server = await serve_sync(
            '127.0.0.1', port, lambda _request: reply, sent.append
        )
        slow_port = _free_port()
        slow = await asyncio.start_server(
            pass_on, '127.0.0.1', slow_port, limit=32768
        )
        fetched = await fetch_sync(
            '127.0.0.1', slow_port, SyncRequest(3, 4, 5, 6)
        )
        slow.close()
        server.close()
        return fetched, sent

    fetched, sent = asyncio.run(run())
    assert fetched.is_ok()
    assert len(fetched.unwrap().config) == len(reply.config)
    assert len(sent) == 1
