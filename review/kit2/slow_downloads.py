"""A trial, not a case: requesters that read slowly take hosts over their memory.

At the root: python3 review/kit2/slow_downloads.py. Exits with 1 if LOST was broken
(more than three orders of kept connections cut off), with 0 if not. TROUBLE=0 has
requesters that read as fast as they can. No case, since its answers of 8 MB are 15
times as large as the site's largest, its route has 60 s, and the pages name no slow
requesters as a disruption. ``http1/server.py``, ``CallerConnection._write_response``,
gives whole answers to the transport, and nothing bounds what is unsent; the bounds
of ``http1/client.py`` and the permit end when the answer has been read.
"""

import asyncio
import socket
import tempfile
from collections import Counter

from memory import KeptLoad, MemoryLimit, judge
from rig import (
    Rig,
    Upstream,
    configuration,
    main,
    message,
    now,
    read_head,
    route,
    tenant,
)

HOSTS = (1, 2, 3)
KEPT_PER_HOST = 16
# The site's requesters ask for 17.5 charts a second.
DOWNLOADS_PER_S = 12
DOWNLOADING_S = 14.0
ANSWER_BYTES = 8_000_000
DOWNLOAD_S = 60.0
# A link of 2 Mbit/s; a whole answer takes 32 s.
SLOW_BYTES_PER_S = 2_000_000 / 8
# As on a network: segments of Ethernet's size and a small window.
SEGMENT_BYTES = 1400
WINDOW_BYTES = 65536


async def download(rig, number):
    """Read one answer at the pace of the requester's link; return its end."""
    attempt = rig.new_attempt()
    fields = {
        'Host': 'shop.example',
        'Authorization': 'Token key-1',
        'Oleanderridge-Attempt-Id': attempt,
        'Oleanderridge-Deadline-Ms': int(DOWNLOAD_S * 1000),
    }
    rig.record(f'{attempt}: a download by host {number} begins')
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.setblocking(False)
    received, writer = 0, None
    try:
        async with asyncio.timeout(DOWNLOAD_S):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, rig.caller(number))
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=WINDOW_BYTES
            )
            writer.write(message('GET /d/1 HTTP/1.1', fields))
            head = await read_head(reader)
            if head is None:
                return 'closed without an answer'
            length, began = int(head.headers['content-length']), now()
            while received < length:
                part = await reader.read(WINDOW_BYTES)
                if not part:
                    return 'broken off'
                received += len(part)
                if rig.trouble:
                    due = began + received / SLOW_BYTES_PER_S
                    await asyncio.sleep(due - now())
            return f'{head.first[1]}, whole'
    except (OSError, EOFError) as error:
        return type(error).__name__
    finally:
        rig.record(f'{attempt}: ends after {received} bytes')
        (writer or sock).close()


async def play(folder):
    async with Rig(folder) as rig:
        rig.store.configure(
            configuration(
                5,
                [
                    route('orders', '/o/', 'unsafe', 'sett', 2.0),
                    route('charts', '/d/', 'download', 'charts', DOWNLOAD_S),
                ],
                [tenant('t', ['key-1'])],
            )
        )
        for index in range(6):
            await Upstream(rig, f'i-{index}', 'sett', 10, 0.5).start()
        for index in range(6):
            upstream = Upstream(rig, f'c-{index}', 'charts', 2, 0.077)
            upstream.answer_bytes = ANSWER_BYTES
            await upstream.start()
        for number in HOSTS:
            await rig.start_host(number, HOSTS)
        await rig.until_ready(HOSTS)
        await asyncio.sleep(3)

        limit, load = MemoryLimit(rig, HOSTS), KeptLoad(rig)
        watch = asyncio.ensure_future(limit.run())
        callers = [
            asyncio.ensure_future(load.send_orders(number))
            for number in HOSTS
            for _ in range(KEPT_PER_HOST)
        ]
        # All hosts have been in touch for contact_s.
        await asyncio.sleep(4)
        downloads, until = [], now() + DOWNLOADING_S
        while now() < until:
            number = HOSTS[len(downloads) % len(HOSTS)]
            downloads.append(asyncio.ensure_future(download(rig, number)))
            await asyncio.sleep(1 / DOWNLOADS_PER_S)
        await asyncio.sleep(1.5)
        ends = [each.result() if each.done() else 'open' for each in downloads]
        rig.record.show(f'downloads: {dict(Counter(ends))}')
        for each in downloads:
            each.cancel()
        load.stop.set()
        await asyncio.gather(*callers, *downloads, return_exceptions=True)
        watch.cancel()
        return judge(rig, limit, load)


with tempfile.TemporaryDirectory() as folder:
    main(play, folder)
