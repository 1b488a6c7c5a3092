"""The receiving loop ends when the host stops."""

import asyncio

from pynng import Push0

from bench.processes import free_ports
from oleanderridge.runtime.transport import PeerTransport
from oleanderridge.telemetry.metrics import Metrics
from oleanderridge.wire import encode

_ROUNDS = 20
_MESSAGE = encode({'kind': 'list_pull', 'host': 'host-b'})


async def _receive_one_round(port):
    settings = {'peer': {'address': '127.0.0.1', 'port': port}}
    arrived = asyncio.Event()
    transport = PeerTransport(
        settings, Metrics(), lambda _message: arrived.set()
    )
    transport.listen()
    receiving = asyncio.create_task(transport.receive_forever())
    with Push0(send_buffer_size=64) as sender:
        sender.dial(f'tcp://127.0.0.1:{port}', block=True)
        for _ in range(50):
            sender.send(_MESSAGE)
        await asyncio.wait_for(arrived.wait(), 5)
        transport.close()
        await asyncio.wait_for(receiving, 5)


def test_close_ends_the_receiving_loop_amid_messages():
    """Guards against a graceful stop that waits for ever."""
    for port in free_ports(_ROUNDS):
        asyncio.run(_receive_one_round(port))
