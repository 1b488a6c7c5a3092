"""Messages between hosts survive what else reaches their ports."""

import asyncio
import socket

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


def test_a_malformed_datagram_is_dropped_and_the_next_one_arrives():
    """Guards against a stranger's datagram that ends a host."""

    async def run():
        received = []
        port = _free_port()
        left = Datagrams(lambda message, host: received.append(message))
        await left.listen('127.0.0.1', port)
        right = Datagrams(lambda message, host: None)
        await right.listen('127.0.0.2', port)
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for junk in (b'', b'\xff', b'\x03junk', b'\x00' * 2000):
            stranger.sendto(junk, ('127.0.0.1', port))
        right.send('127.0.0.1', Queued(5))
        await asyncio.sleep(0.1)
        left.close()
        right.close()
        return received

    assert asyncio.run(run()) == [Queued(5)]


def test_whole_lists_are_fetched_and_a_silent_host_costs_little():
    """Guards against a host that waits for a peer that says nothing."""

    async def run():
        asked = []
        port = _free_port()

        def answer(request):
            asked.append(request)
            return _REPLY

        server = await serve_sync('127.0.0.1', port, answer)
        request = SyncRequest(3, 4, 5, 6)
        good = await fetch_sync('127.0.0.1', port, request)
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'\xff\xff\xff\xff')
        again = await fetch_sync('127.0.0.1', port, request)
        writer.close()
        server.close()
        silent = socket.socket()
        silent.bind(('127.0.0.1', 0))
        silent.listen()
        loop = asyncio.get_running_loop()
        started = loop.time()
        none = await fetch_sync('127.0.0.1', silent.getsockname()[1], request)
        silent.close()
        return asked, good, again, none, loop.time() - started

    asked, good, again, none, took_s = asyncio.run(run())
    assert asked[0] == SyncRequest(3, 4, 5, 6)
    assert good.unwrap() == again.unwrap() == _REPLY
    assert none.is_err()
    assert took_s < 1.5
