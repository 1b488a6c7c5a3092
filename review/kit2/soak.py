"""A trial, not a case: hosts of one zone are cut from the store and killed.

Upstreams leave meanwhile, with and without a report. Prints the requests that
reached one later than ``drain_s`` after the ack and were sent by hosts in touch.
At the root: python3 review/kit2/soak.py SEED [SECONDS]. The seed repeats the
schedule, not each moment. Exits with 1 if there were such requests.
"""

import asyncio
import random
import sys
import tempfile

from rig import (
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

HOSTS = (1, 2, 3)
SEED = int(sys.argv[1])
SECONDS = float(sys.argv[2]) if len(sys.argv) > 2 else 70


class Soak:
    """One schedule."""

    def __init__(self, rig):
        self.rig = rig
        self.rng = random.Random(SEED)
        self.gates = {}
        self.busy = set()
        # Spans in which something happened to a host.
        self.spans = {number: [] for number in HOSTS}
        self.sent = {}
        self.serving, self.left = [], []
        self.stop = asyncio.Event()

    async def add_upstream(self):
        name = f'i-{len(self.serving) + len(self.left)}'
        upstream = Upstream(self.rig, name, 'sett', 10, 0.05)
        await upstream.start()
        self.serving.append(upstream)

    async def start_host(self, number):
        await self.rig.start_host(number, HOSTS, self.gates[number].address)

    async def load(self, number):
        while not self.stop.is_set():
            requester = Requester(self.rig, number)
            at = now()
            reply = await requester.send('/s/1')
            self.sent[reply.attempt] = number, at
            requester.close()
            await asyncio.sleep(0.02 if reply.status else 0.1)

    async def trouble(self, number, kind):
        self.busy.add(number)
        span = [now(), float('inf')]
        self.spans[number].append(span)
        if kind == 'cut':
            self.rig.record(f'host {number} is cut from the store')
            self.gates[number].set_silent(True)
            await asyncio.sleep(self.rng.uniform(0.5, 4.5))
            self.gates[number].set_silent(False)
        else:
            self.rig.kill(number)
            await self.rig.hosts[number].process.wait()
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            await self.start_host(number)
        span[1] = now()
        self.rig.record(f'host {number}: the {kind} is over')
        self.busy.discard(number)

    async def leave(self, reports):
        upstream = self.serving.pop(self.rng.randrange(len(self.serving)))
        if reports:
            upstream._beats.cancel()
            acked_at = upstream.register('draining')
        else:
            acked_at = upstream.leave()
        self.rig.record(f'{upstream.name} leaves, reports: {reports}')
        self.left.append((upstream, acked_at))
        await self.add_upstream()
        await asyncio.sleep(self.rng.uniform(4, 9))
        if reports:
            self.rig.store.delete(f'servers/{upstream.name}')
        upstream.close()

    def in_touch(self, number, since, until):
        return all(
            end + BOUNDS['contact_s'] < since or begin > until
            for begin, end in self.spans[number]
        )

    def late(self):
        """Yield upstream, seconds after the ack, and host of late requests."""
        for upstream, acked_at in self.left:
            for at, attempt, *_ in upstream.runs:
                number, sent_at = self.sent[attempt]
                is_late = at - acked_at > BOUNDS['drain_s']
                if is_late and self.in_touch(number, sent_at, at):
                    yield upstream.name, at - acked_at, number

    async def run(self):
        for number in HOSTS:
            gate = self.gates[number] = Gate(self.rig.store.address)
            self.rig.gates.append(gate)
            await gate.listen(self.rig.loopback(2))
            await self.start_host(number)
        await self.rig.until_ready(HOSTS)
        await asyncio.sleep(4)
        callers = [
            asyncio.ensure_future(self.load(number))
            for number in HOSTS
            for _ in range(3)
        ]
        events, until = [], now() + SECONDS
        while now() < until:
            await asyncio.sleep(self.rng.choice((0.1, 0.4, 1.0, 1.5)))
            kind = self.rng.choice(
                ('cut', 'cut', 'kill', 'reports', 'leaves', 'leaves')
            )
            free = [each for each in HOSTS if each not in self.busy]
            if kind in ('reports', 'leaves'):
                events.append(self.leave(kind == 'reports'))
            elif len(free) > 1:
                events.append(self.trouble(self.rng.choice(free), kind))
            else:
                continue
            events[-1] = asyncio.ensure_future(events[-1])
        await asyncio.gather(*events)
        self.stop.set()
        await asyncio.gather(*callers)


async def play(folder):
    async with Rig(folder) as rig:
        rig.store.configure(
            configuration(
                5,
                [route('searches', '/s/', 'safe', 'sett', 2.0)],
                [tenant('t', ['key-1'])],
            )
        )
        soak = Soak(rig)
        for _ in range(6):
            await soak.add_upstream()
        await soak.run()
        late = list(soak.late())
        for name, seconds, number in late:
            rig.record.show(f'{name} {seconds:.2f} s after its ack, host {number}')
        rig.record.show(f'seed {SEED}: {len(late)} late requests')
        return late


with tempfile.TemporaryDirectory() as folder:
    main(play, folder)
