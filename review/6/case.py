"""An upstream that left while a host was frozen comes back to the fleet."""

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'kit2'))

from rig import (  # noqa: E402
    BOUNDS,
    Requester,
    Rig,
    Upstream,
    configuration,
    main,
    now,
    route,
    tenant,
)

ZONE_BY_HOST = {
    1: 'perth-a', 2: 'stirling-b', 3: 'dundee-c',
    4: 'perth-a', 5: 'stirling-b', 6: 'dundee-c',
}  # fmt: skip
HOSTS = tuple(ZONE_BY_HOST)
SEEDS = HOSTS[:3]
FROZEN, KILLED = HOSTS[0], HOSTS[1:]
FROZEN_S = 3.0
# The upstreams write their entries every 1.5 s, all at once. Just after that a
# host has no watch of the store pending, and the rule holds.
AFTER_WRITES_S = 1.1
# Processes that are killed are "restarted after a short delay".
RESTART_S = 0.8
# The upstream serves for drain_s "and a little longer (at times many seconds)".
SERVES_ON_S = 12.0


async def load(rig, number, kind, stop, replies):
    """Send one request after the other to one host."""
    method, path = ('POST', '/o/1') if kind == 'unsafe' else ('GET', '/s/1')
    while not stop.is_set():
        requester = Requester(rig, number)
        sent_at = now()
        reply = await requester.send(path, method)
        rig.record(f'{reply.attempt} {kind} by host {number}: '
                   f'{reply.status} {reply.error}')  # fmt: skip
        replies[reply.attempt] = (number, sent_at, reply)
        requester.close()
        await asyncio.sleep(0.04)


async def next_writes(upstream):
    """Wait until an upstream writes its entry once more."""
    former = upstream.sequence
    while upstream.sequence == former:
        await asyncio.sleep(0.01)


async def start(rig, number):
    await rig.start_host(number, SEEDS, zone=ZONE_BY_HOST[number])


async def play(folder):
    async with Rig(folder) as rig:
        rig.store.configure(
            configuration(
                5,
                [
                    route('searches', '/s/', 'safe', 'sett', 2.0),
                    route('orders', '/o/', 'unsafe', 'sett', 2.0),
                ],
                [tenant('t', ['key-1'])],
            )
        )
        for index in range(6):
            await Upstream(rig, f'i-{index}', 'sett', work_s=0.05).start()
        await start(rig, FROZEN)
        await asyncio.sleep(0.7)
        for number in KILLED:
            await start(rig, number)
        await rig.until_ready(HOSTS)
        await asyncio.sleep(4)

        stop, replies = asyncio.Event(), {}
        callers = [
            asyncio.ensure_future(load(rig, number, kind, stop, replies))
            for number in HOSTS
            for kind in ('safe', 'unsafe')
        ]
        await asyncio.sleep(1)
        await next_writes(rig.upstreams[-1])
        await asyncio.sleep(AFTER_WRITES_S)
        began_at = now()
        if rig.trouble:
            rig.kill(FROZEN, signal.SIGSTOP)
            await asyncio.sleep(0.2)
            for number in KILLED:
                rig.kill(number)
            for number in KILLED:
                await rig.hosts[number].process.wait()
        await asyncio.sleep(RESTART_S / 2)
        leaver = rig.upstreams[3]
        acked_at = leaver.leave()
        rig.record(f'{leaver.name} leaves: the store acks the removal')
        await asyncio.sleep(RESTART_S / 2)
        if rig.trouble:
            for number in KILLED:
                await start(rig, number)
            await asyncio.sleep(began_at + FROZEN_S - now())
            rig.kill(FROZEN, signal.SIGCONT)
        # From here nothing happens any more; contact_s later all are in touch.
        in_touch_from = now() + BOUNDS['contact_s']
        await asyncio.sleep(acked_at + SERVES_ON_S - now())
        leaver.close()
        rig.record(f'{leaver.name} ends')
        stop.set()
        await asyncio.gather(*callers)

        from_at = max(in_touch_from, acked_at + BOUNDS['drain_s'])
        late = []
        for at, attempt, *_ in leaver.runs:
            number, sent_at, _ = replies[attempt]
            if sent_at > from_at:
                late.append((at - acked_at, number))
        statuses = Counter(
            reply.status or reply.error for _, at, reply in replies.values()
            if at > from_at
        )  # fmt: skip
        rig.record.show(f'answers with all hosts in touch: {dict(statuses)}')
        rig.record.show(
            f'DRAIN: {len(late)} requests that were sent with all hosts in '
            f'touch reached {leaver.name} later than {BOUNDS["drain_s"]} s '
            f'after its removal'
        )
        if late:
            by_host = Counter(number for _, number in late)
            rig.record.show(
                f'the first after {late[0][0]:.2f} s, the last after '
                f'{late[-1][0]:.2f} s; sent by hosts {dict(by_host)}'
            )
        return late


main(play, HERE)
