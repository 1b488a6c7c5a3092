"""Answers in small chunks without end hold the loop of the hosts."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'kit2'))

from rig import (  # noqa: E402
    Requester,
    Rig,
    Upstream,
    configuration,
    main,
    message,
    now,
    route,
    tenant,
)

HOSTS = (1, 2, 3)
SEED = 1
# Of the site file: garble with x = 0.05 for 5 s, its share being 0.5 by default.
FAULTY, CHARTS = 3, 6
SPOILED_SHARE = 0.05
FAULT_S = 5.0
# Timeouts of the routes and time limits of the requesters are the site's.
TIMEOUT_S = {'search': 2.0, 'order': 1.2, 'chart': 2.5}
LIMIT_S = {'search': 2.0, 'order': 2.5, 'chart': 2.5}
SLACK_S = 0.5
CHUNKS = b'1\r\nx\r\n' * 4096


class Old(Upstream):
    """Spoils some answers: a body of small chunks that never ends."""

    spoils = False
    spoiled = 0

    async def answer(self, head, body, writer):
        rng = self._rig.rng
        if not self.spoils or rng.random() >= SPOILED_SHARE:
            return await super().answer(head, body, writer)
        attempt = head.headers.get('oleanderridge-attempt-id', '')
        self.spoiled += 1
        self.runs.append((now(), attempt, head, len(body)))
        self._rig.record(f'{self.name} runs {attempt} and spoils the answer')
        headers = {
            'Oleanderridge-Attempt-Id': attempt,
            'Oleanderridge-Response-Signature': f'sig.{attempt}',
            'Transfer-Encoding': 'chunked',
        }
        writer.write(message('HTTP/1.1 200 OK', headers))
        while True:
            writer.write(CHUNKS)
            await writer.drain()


async def load(rig, number, stop, replies):
    """Send requests to one host, one after the other."""
    while not stop.is_set():
        kind = rig.rng.choice(('order',) * 7 + ('search',) + ('chart',) * 2)
        method = 'POST' if kind == 'order' else 'GET'
        sent_at = now()
        requester = Requester(rig, number)
        # The requester waits longer than it says, to see what comes when.
        reply = await requester.send(
            f'/{kind}/1', method, limit_s=LIMIT_S[kind]
        )
        took_s = now() - sent_at
        rig.record(f'{reply.attempt} {kind} by host {number}: {reply.status} '
                   f'{reply.error} after {took_s:.3f} s')  # fmt: skip
        replies.append((kind, sent_at, took_s, reply))
        requester.close()
        await asyncio.sleep(0.02)


async def play(folder):
    async with Rig(folder) as rig:
        rig.rng = random.Random(SEED)
        rig.store.configure(
            configuration(
                5,
                [
                    route('searches', '/search/', 'safe', 'sett', 2.0),
                    route('orders', '/order/', 'unsafe', 'sett', 1.2),
                    route(
                        'charts', '/chart/', 'download', 'charts', 2.5,
                        max_attempts=1,
                    ),  # fmt: skip
                ],
                [tenant('t', ['key-1'])],
            )
        )
        setts = [Upstream(rig, f'i-{each}', 'sett', 12) for each in range(6)]
        charts = [Old(rig, f'c-{each}', 'charts', 6) for each in range(CHARTS)]
        for upstream in (*setts, *charts):
            await upstream.start()
        for number in HOSTS:
            await rig.start_host(number, HOSTS)
        await rig.until_ready(HOSTS)
        await asyncio.sleep(3)

        stop, replies = asyncio.Event(), []
        callers = [
            asyncio.ensure_future(load(rig, number, stop, replies))
            for number in HOSTS
            for _ in range(14)
        ]
        await asyncio.sleep(3)
        rig.record('the fault begins')
        for upstream in charts[:FAULTY]:
            upstream.spoils = rig.trouble
        await asyncio.sleep(FAULT_S)
        rig.record('the fault ends')
        for upstream in charts[:FAULTY]:
            upstream.spoils = False
        await asyncio.sleep(4)
        stop.set()
        await asyncio.gather(*callers)

        spoiled = sum(upstream.spoiled for upstream in charts)
        served = sum(len(upstream.runs) for upstream in charts[:FAULTY])
        # With a time limit of the requester at or before the route's timeout
        # there is nothing to see: only the orders wait for longer.
        orders = [each for each in replies if each[0] == 'order']
        over = [each for each in orders if each[2] > TIMEOUT_S['order']]
        late = [
            each for each in over if each[2] > TIMEOUT_S['order'] + SLACK_S
        ]
        for kind in TIMEOUT_S:
            mine = [each for each in replies if each[0] == kind]
            statuses = Counter(
                each[3].status or each[3].error for each in mine
            )
            longest = max(each[2] for each in mine)
            rig.record.show(f'{kind}: {dict(statuses)}, at most {longest:.2f} s')
        rig.record.show(f'{spoiled} answers of {served} were spoiled')
        rig.record.show(
            f'CONFIG: {len(over)} orders lasted longer than their timeout, '
            f'{len(late)} of them had no final answer {SLACK_S} s after it'
        )
        return len(late) >= 8 and len(late) > len(over) / 4


main(play, HERE)
