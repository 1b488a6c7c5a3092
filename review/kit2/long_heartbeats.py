"""A trial, not a case: followers leave a leader whose heartbeats are too long.

At the root: python3 review/kit2/long_heartbeats.py. Many workspaces send one
request after the other, while one presses beyond its rate. Prints the changes of
leader under this load and the most requests of the pressing workspace in 5 s.
Exits with 1 if QUOTA was broken, with 2 if the leader changed but no rule was
broken, with 0 otherwise. TROUBLE=0 has a twenty-fifth of the load.
``gateway/fleet_sync.py``, ``_build_heartbeat``: ``pressed`` and ``avoid`` have no
bound, and a datagram of over 65,507 bytes can't be sent.
"""

import asyncio
import bisect
import sys
import tempfile

from rig import (
    BOUNDS,
    Requester,
    Rig,
    Upstream,
    configuration,
    now,
    route,
    tenant,
)

HOSTS = (1, 2, 3)
WORKSPACES = 6000
RATE, BURST = 40, 400
LOAD_S = 25
SENDERS, PRESSING_SENDERS = 60, 45


def leader_changes(rig):
    return sum(
        host.text().count('event=leader-changed')
        for host in rig.hosts.values()
    )


async def play(folder):
    async with Rig(folder) as rig:
        names = [f'workspace-of-the-shop-{n:06d}' for n in range(WORKSPACES)]
        tenants = [tenant(name, [f'k-{name}'], 1, 1000) for name in names]
        rig.store.configure(
            configuration(
                5,
                [route('searches', '/s/', 'safe', 'sett', 2.0)],
                [*tenants, tenant('pressing', ['key-p'], RATE, BURST)],
            )
        )
        for index in range(10):
            await Upstream(rig, f'i-{index}', 'sett', 30, 0.02).start()
        # A leader that has not started together with the others.
        await rig.start_host(1, HOSTS)
        await rig.until_ready((1,))
        await asyncio.sleep(6)
        for number in HOSTS[1:]:
            await rig.start_host(number, HOSTS)
        await rig.until_ready(HOSTS)
        await asyncio.sleep(4)

        before, until = leader_changes(rig), now() + LOAD_S
        turns = iter(range(1 << 30))
        pause_s = SENDERS / (500 if rig.trouble else 20)

        async def send(number, key, pause_s):
            requester = Requester(rig, number)
            while now() < until:
                name = names[next(turns) % WORKSPACES] if not key else ''
                await requester.send('/s/1', key=key or f'k-{name}')
                await asyncio.sleep(pause_s)
            requester.close()

        await asyncio.gather(
            *(send(HOSTS[n % 3], '', pause_s) for n in range(SENDERS)),
            *(send(HOSTS[n % 3], 'key-p', 0.1) for n in range(PRESSING_SENDERS)),
        )
        changes = leader_changes(rig) - before
        times = sorted(
            at
            for upstream in rig.upstreams
            for at, _, head, _ in upstream.runs
            if head.headers.get('oleanderridge-tenant') == 'pressing'
        )
        window_s = BOUNDS['quota_window_s']
        most = max(
            bisect.bisect_right(times, at + window_s) - index
            for index, at in enumerate(times)
        )
        allowed = (RATE * window_s + BURST) * (1 + BOUNDS['quota_overage'])
        allowed += BOUNDS['quota_slack']
        print(f'changes of leader under load: {changes}')
        print(f'QUOTA: {most} requests in {window_s} s, of {allowed:.0f} allowed')
        return 1 if most > allowed else 2 if changes else 0


with tempfile.TemporaryDirectory() as folder:
    sys.exit(asyncio.run(play(folder)))
