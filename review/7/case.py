"""A removal that the relay postpones is lost to the other hosts for good."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'kit2'))

from rig import (  # noqa: E402
    BOUNDS,
    Gate,
    Requester,
    Rig,
    Upstream,
    configuration,
    main,
    now,
    route,
    tenant,
)

RELAY, OTHERS = 1, (2, 3)
CUT_S = 3.0
# Well inside 5.5 s, the longest cut from the store in the site file.
LEAVES_AFTER_S = 0.2
KILLED_AFTER_S = 1.0
# The upstream serves for drain_s "and a little longer (at times many seconds)".
SERVES_ON_S = 8.0


async def load(rig, number, kind, stop, replies):
    """Send one request after the other to a host that nothing happens to."""
    method, path = ('POST', '/o/1') if kind == 'unsafe' else ('GET', '/s/1')
    while not stop.is_set():
        requester = Requester(rig, number)
        reply = await requester.send(path, method)
        rig.record(f'{reply.attempt} {kind} by host {number}: '
                   f'{reply.status} {reply.error}')  # fmt: skip
        replies[reply.attempt] = (number, kind, reply)
        requester.close()
        await asyncio.sleep(0.02)


async def cut_from_store(rig, gate):
    """Cut the relay's path to the store; return when it reads there again."""
    rig.record(f'host {RELAY} is cut from the store')
    gate.set_silent(True)
    await asyncio.sleep(CUT_S)
    gate.set_silent(False)
    healed = now()
    rig.record('the cut ends')
    async with asyncio.timeout(10):
        while gate.answered_at < healed:
            await asyncio.sleep(0.01)
    rig.record(f'host {RELAY} has an answer of the store')


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
        for index in range(4):
            await Upstream(rig, f'i-{index}', 'sett', work_s=0.05).start()
        gate = Gate(rig.store.address)
        rig.gates.append(gate)
        await gate.listen(rig.loopback(2))
        hosts = (RELAY, *OTHERS)
        # The host that started first reads the store for its zone.
        await rig.start_host(RELAY, hosts, gate.address)
        await asyncio.sleep(0.7)
        for number in OTHERS:
            await rig.start_host(number, hosts)
        await rig.until_ready(hosts)
        await asyncio.sleep(4)

        stop, replies = asyncio.Event(), {}
        callers = [
            asyncio.ensure_future(load(rig, number, kind, stop, replies))
            for number in OTHERS
            for kind in ('safe', 'unsafe')
        ]
        await asyncio.sleep(1)
        if rig.trouble:
            await cut_from_store(rig, gate)
        await asyncio.sleep(LEAVES_AFTER_S)
        leaver = rig.upstreams[3]
        acked_at = leaver.leave()
        rig.record(f'{leaver.name} leaves: the store acks the removal')
        if rig.trouble:
            await asyncio.sleep(KILLED_AFTER_S - LEAVES_AFTER_S)
            rig.kill(RELAY)
        await asyncio.sleep(acked_at + SERVES_ON_S - now())
        leaver.close()
        rig.record(f'{leaver.name} ends')
        await asyncio.sleep(1)
        stop.set()
        await asyncio.gather(*callers)

        late = [
            (at - acked_at, attempt)
            for at, attempt, *_ in leaver.runs
            if at - acked_at > BOUNDS['drain_s']
        ]
        statuses = Counter(
            reply.status or reply.error for _, _, reply in replies.values()
        )
        rig.record.show(f'answers: {dict(statuses)}')
        rig.record.show(
            f'DRAIN: {len(late)} requests reached {leaver.name} later than '
            f'{BOUNDS["drain_s"]} s after its removal'
        )
        if late:
            by_host = Counter(replies[attempt][0] for _, attempt in late)
            rig.record.show(
                f'the first after {late[0][0]:.2f} s, the last after '
                f'{late[-1][0]:.2f} s; sent by hosts {dict(by_host)}'
            )
        return late


main(play, HERE)
