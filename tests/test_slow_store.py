"""Answers of the store that take long on the way."""

import asyncio

import pytest
from msgspec.json import encode

from oleanderridge.platform.store import UNREACHABLE, StoreClient
from tests.stub_target import StubTarget

_TIMEOUT_S = 0.2
_PIECE_BYTES = 16384


def _serve(size, bits_per_s, stops_at=None):
    """Return a store that answers at once, over a link of its own."""
    page = encode({'at': 7, 'items': [], 'filler': 'x' * size})
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(page)

    async def serve(target, reader, writer, _number):
        while True:
            await target.read_request(reader)
            writer.write(head)
            for start in range(0, stops_at or len(page), _PIECE_BYTES):
                await asyncio.sleep(8 * _PIECE_BYTES / bits_per_s)
                writer.write(page[start : start + _PIECE_BYTES])

    return serve


def _read(serve):
    async def read():
        async with StubTarget(serve) as store:
            client = StoreClient(store.address, _TIMEOUT_S)
            began = asyncio.get_running_loop().time()
            listed = await client.read_all('')
            watched = await client.watch('', 1, 0.1)
            took_s = asyncio.get_running_loop().time() - began
            await client.close()
            return listed, watched, took_s

    return asyncio.run(read())


@pytest.mark.parametrize(
    ('size', 'megabits'), [(100_000, 5), (400_000, 5), (1_000_000, 10)]
)
def test_a_page_of_the_store_may_take_longer_than_a_pause(size, megabits):
    """Guards against a fleet that never reads a large configuration again.

    Hosts behind links of 10 Mbit/s gave up each page of over 0.6 s, and none
    got ready after a restart of all.
    """
    listed, watched, _ = _read(_serve(size, megabits * 1_000_000))
    assert listed.is_ok()
    assert watched.is_ok()


def test_an_answer_of_the_store_that_stops_is_given_up_in_time():
    """Guards against a host that waits for a store that has gone silent."""
    listed, watched, took_s = _read(_serve(200_000, 10_000_000, 100_000))
    for answer in (listed, watched):
        assert answer.err_value.reason == UNREACHABLE
        assert 'bytes of one' in answer.err_value.detail
    assert took_s < 3


def test_an_answer_of_the_store_without_end_is_given_up(monkeypatch):
    """Guards against a call that a byte now and then keeps for good."""
    monkeypatch.setattr('oleanderridge.platform.store._ANSWER_TIMEOUT_S', 0.5)
    listed, _, took_s = _read(_serve(1_000_000, 1_000_000))
    assert listed.err_value.reason == UNREACHABLE
    assert took_s < 3
