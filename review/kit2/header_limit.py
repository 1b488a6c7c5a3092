"""A trial, not a case: a raised header limit does not reach open connections.

At the root: python3 review/kit2/header_limit.py. Exits with 1 if more requests
than DENIED allows were ended with 431, with 0 if not. TROUBLE=0 has the higher
limit from the start. ``http1/server.py`` gives h11 the limit once, when the
connection is made (``CallerConnection._new_h11_connection``).
"""

import asyncio
import tempfile
from collections import Counter

from rig import (
    BOUNDS,
    LIMITS,
    Requester,
    Rig,
    Upstream,
    configuration,
    main,
    now,
    read_body,
    read_head,
    route,
    tenant,
)

HOSTS = (1, 2, 3)
KEPT_PER_HOST = 4
REQUESTS = 10
HIGHER = {**LIMITS, 'max_header_bytes': 32768}
# Within the new limit of 32 KiB, above the former one of 16 KiB.
TICKET = 'x' * 24000
PIECE_BYTES = 1400


class Sender(Requester):
    """Sends its head as a network does, in packets."""

    async def send_ticket(self, path):
        attempt = self.rig.new_attempt()
        head = (
            f'POST {path} HTTP/1.1\r\nHost: shop.example\r\n'
            f'Authorization: Token key-1\r\n'
            f'Oleanderridge-Attempt-Id: {attempt}\r\n'
            f'Oleanderridge-Deadline-Ms: 2500\r\n'
            f'X-Ticket: {TICKET}\r\nContent-Length: 0\r\n\r\n'
        ).encode()
        return attempt, await self._send_in_packets(head)

    async def _send_in_packets(self, head):
        try:
            async with asyncio.timeout(2.5):
                if self.writer is None:
                    await self.open()
                for start in range(0, len(head), PIECE_BYTES):
                    self.writer.write(head[start : start + PIECE_BYTES])
                    await asyncio.sleep(0.001)
                return await self._read_status()
        except (OSError, EOFError) as error:
            self.close()
            return repr(error)

    async def _read_status(self):
        head = await read_head(self.reader)
        if head is None:
            raise EOFError('closed without an answer')
        await read_body(self.reader, head.headers)
        if head.headers.get('connection', '') == 'close':
            self.close()
        return int(head.first[1])


def document(version, limits):
    """Return a version that differs in its limits alone."""
    routes = [route('orders', '/o/', 'unsafe', 'sett', 2.0)]
    return configuration(version, routes, [tenant('t', ['key-1'])], limits)


async def keep_alive(rig, sender, stop):
    """Use a connection now and then, as requesters with a pool do."""
    while not stop.is_set():
        reply = await sender.send('/o/1', 'POST')
        rig.record(f'{reply.attempt} small: {reply.status} {reply.error}')
        await asyncio.sleep(0.5)


async def play(folder):
    async with Rig(folder) as rig:
        first = LIMITS if rig.trouble else HIGHER
        rig.store.configure(document(5, first))
        for index in range(4):
            await Upstream(rig, f'i-{index}', 'sett', 6, work_s=0.05).start()
        for number in HOSTS:
            await rig.start_host(number, HOSTS)
        await rig.until_ready(HOSTS)
        await asyncio.sleep(3)

        stop = asyncio.Event()
        senders = [
            Sender(rig, number) for number in HOSTS for _ in range(KEPT_PER_HOST)
        ]
        uses = [
            asyncio.ensure_future(keep_alive(rig, each, stop))
            for each in senders
        ]
        await asyncio.sleep(2)
        acked_at = rig.store.configure(document(6, HIGHER))
        await asyncio.sleep(BOUNDS['config_apply_s'] + 1)
        stop.set()
        await asyncio.gather(*uses)

        kept, fresh = Counter(), Counter()
        for sender in senders:
            attempt, status = await sender.send_ticket('/o/2')
            kept[status] += 1
            rig.record(f'{attempt} with a long header on a kept connection '
                       f'{now() - acked_at:.1f} s after the ack: {status}')  # fmt: skip
        for sender in senders:
            sender.close()
            attempt, status = await sender.send_ticket('/o/2')
            fresh[status] += 1
            rig.record(f'{attempt} on a new connection: {status}')
        total = rig._attempts
        refused = kept[431] + fresh[431]
        rig.record.show(f'on kept connections: {dict(kept)}')
        rig.record.show(f'on new connections: {dict(fresh)}')
        allowed = 5 + total / 500
        rig.record.show(
            f'DENIED: {refused} of {total} requests were ended with 431 though '
            f'they are proper; {allowed:.1f} may be'
        )
        return refused > allowed


with tempfile.TemporaryDirectory() as folder:
    main(play, folder)
