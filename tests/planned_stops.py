"""Soak of planned work: hosts stop and start again while callers go on.

Run one schedule with ``python -m tests.planned_stops --seed 1 --seconds 20``.
"""

import argparse
import asyncio
import contextlib
import json
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import NamedTuple

from tests.gateway_fleet import HOSTS, document, free_ports, run_fleet

STOP_S = 3.0
# Callers wait for less than the time to stop, so that each request that was
# sent before a stop can end before its host does.
_LIMITS_S = (0.6, 1.2, 2.2)
_CALLERS = 18
_TARGETS = 8
_SLOTS = 12
_ANSWER_BYTES = (0, 2_000, 400_000)
# A close that comes later than this after a request was sent is taken for one
# after it was read.
_LOSS_SLACK_S = 0.2
_DIRECTORY_TTL_S = 0.5


class Attempt(NamedTuple):
    """One request, and what its caller saw."""

    attempt_id: str
    kind: str
    host: str
    sent_at: float
    ended_at: float
    limit_s: float
    status: int
    is_whole: bool
    error: str


class Verdict(NamedTuple):
    """Broken promises, each with what shows it, and a summary."""

    lost: list
    twice: list
    refused: list
    mixed: list
    ends: list
    summary: dict

    def is_clean(self):
        """Return whether every promise was kept."""
        return not any(self[:-1])


class Soak:
    """One seeded schedule of planned work over a fleet under load."""

    def __init__(self, fleet, seed, seconds):
        self.fleet = fleet
        self.rng = Random(seed)
        self.until = time.monotonic() + seconds
        self.attempts = []
        self.ends = []
        self.events = []
        self._stopping = {}
        self._version = 1
        self._known = []
        self._sent = 0

    async def run(self):
        """Play the schedule; return the verdict."""
        for target in self.fleet.targets:
            target.pick_work_s = self._work_of(target)
        callers = [
            asyncio.create_task(self._call(Random(self.rng.random()), place))
            for place in range(_CALLERS)
        ]
        await self._operate()
        await asyncio.gather(*callers)
        await asyncio.gather(*self._stopping.values())
        return self._judge()

    def _work_of(self, target):
        rng = Random(self.rng.random())
        state = {'gray_until': 0.0, 'next_at': 0.0}

        def pick():
            now = time.monotonic()
            target.answer_bytes = rng.choice(_ANSWER_BYTES)
            if now >= state['next_at']:
                state['gray_until'] = now + rng.uniform(0.5, 1.5)
                state['next_at'] = now + rng.uniform(3, 9)
            if now < state['gray_until'] and rng.random() < 0.75:
                return 3600
            return rng.choice((0.02, 0.1, rng.uniform(0.1, 1.0)))

        return pick

    async def _operate(self):
        """Stop, restart, signal and configure at random moments."""
        while time.monotonic() < self.until:
            await asyncio.sleep(self.rng.choice((0.05, 0.4, 1.5)))
            action = self.rng.choice((self._stop, self._stop, self._change))
            action(self.rng.choice(HOSTS))

    def _note(self, event, host):
        self.events.append((time.monotonic(), event, host))

    def _change(self, host):
        if self.rng.random() < 0.5:
            self._version += 1
            self.fleet.store.set_value(
                'op/config', document(f'r{self._version}', timeout_s=4.0)
            )
            self._note('config', '-')
        elif host not in self._stopping:
            self.fleet.write_settings(host)
            self.fleet.processes[host].send_signal(signal.SIGHUP)
            self._note('SIGHUP', host)

    def _stop(self, host):
        # One host stays, so that callers have a place to go.
        if host in self._stopping or len(self._stopping) > 1:
            return
        signals = self.rng.choice(
            (
                (signal.SIGTERM,),
                (signal.SIGTERM, signal.SIGTERM),
                (signal.SIGHUP, signal.SIGTERM),
                (signal.SIGTERM, signal.SIGHUP),
            )
        )
        process = self.fleet.processes[host]
        for number in signals:
            process.send_signal(number)
        self._note('+'.join(number.name for number in signals), host)
        self._stopping[host] = asyncio.create_task(self._restart(host, process))

    async def _restart(self, host, process):
        began = time.monotonic()
        try:
            status = await asyncio.wait_for(process.wait(), STOP_S)
        except TimeoutError:
            status = 'still running'
            # It may have ended just now, which is late all the same.
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        if status != 0:
            self.ends.append((host, status, time.monotonic() - began))
        self._note(f'ended {status}', host)
        await self.fleet.start_host(host)
        await self.fleet.until_ready(host)
        self._note('ready', host)
        del self._stopping[host]

    async def _call(self, rng, place):
        """Send one request after the other, on kept or new connections."""
        keeps = place % 3 == 0
        connection = None
        leftovers = []
        while time.monotonic() < self.until:
            await asyncio.sleep(rng.uniform(0.0, 0.06))
            if connection is None:
                connection = await self._connect(rng)
                if connection is None:
                    continue
            stays = await self._send(rng, place, connection, keeps)
            if not (keeps and stays):
                # Callers keep a used connection open until the host closes.
                leftovers.append(connection[2])
                connection = None
        for writer in leftovers:
            writer.close()

    async def _connect(self, rng):
        host = rng.choice(await self._directory(rng) or HOSTS)
        port = self.fleet.ports['caller']
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            return None
        return host, reader, writer

    async def _directory(self, rng):
        """Return hosts from an answer that may be several lifetimes old."""
        now = time.monotonic()
        lifetime_s = _DIRECTORY_TTL_S * rng.choice((1, 3, 8))
        fresh = [one for one in self._known if now - one[0] < lifetime_s]
        if fresh:
            return rng.choice(fresh)[1]
        for host in rng.sample(HOSTS, len(HOSTS)):
            with contextlib.suppress(Exception):
                addresses = await self.fleet.addresses(host)
                hosts = [one.rpartition(':')[0] for one in addresses]
                self._known = [*self._known[-20:], (now, hosts)]
                return hosts
        return None

    async def _send(self, rng, place, connection, keeps):
        """Send one request; return whether the connection may go on."""
        host, reader, writer = connection
        self._sent += 1
        attempt_id = f'{place}-{self._sent}'
        kind = 'order' if keeps and rng.random() < 0.6 else 'search'
        limit_s = rng.choice(_LIMITS_S)
        method, path = ('POST', '/o/1') if kind == 'order' else ('GET', '/s/1')
        body = b'an order' if kind == 'order' else b''
        head = (
            f'{method} {path} HTTP/1.1\r\nhost: h\r\n'
            f'authorization: Token k1\r\n'
            f'oleanderridge-attempt-id: {attempt_id}\r\n'
            f'oleanderridge-deadline-ms: {limit_s * 1000:.0f}\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        sent_at = time.monotonic()
        status, headers, error = 0, {}, ''
        try:
            async with asyncio.timeout(limit_s):
                writer.write(head.encode() + body)
                status, headers = await _read_answer(reader)
        except TimeoutError:
            error = 'limit'
        except (OSError, EOFError, ValueError) as fault:
            error = repr(fault)
        self.attempts.append(
            Attempt(
                attempt_id,
                kind,
                host,
                sent_at,
                time.monotonic(),
                limit_s,
                status,
                not error,
                error or headers.get('oleanderridge-attempt-id', ''),
            )
        )
        if error:
            writer.close()
            return False
        return headers.get('connection', '') != 'close'

    def _judge(self):
        runs = Counter(self.fleet.runs())
        lost, refused, mixed, crossed = [], [], [], 0
        for one in self.attempts:
            took_s = one.ended_at - one.sent_at
            if not one.is_whole and one.error != 'limit':
                if runs[one.attempt_id] or took_s > _LOSS_SLACK_S:
                    lost.append(one)
                else:
                    crossed += 1
            is_refusal = one.status in (408, 421, 429, 503)
            if one.kind == 'order' and is_refusal and runs[one.attempt_id]:
                refused.append(one)
            if one.status == 200 and one.error != one.attempt_id:
                mixed.append(one)
        order_ids = {
            one.attempt_id for one in self.attempts if one.kind == 'order'
        }
        twice = [each for each in order_ids if runs[each] > 1]
        statuses = Counter(
            one.status or one.error.partition('(')[0] for one in self.attempts
        )
        summary = {
            'sent': len(self.attempts),
            'statuses': {str(key): statuses[key] for key in statuses},
            'closed_unread': crossed,
            'stops': sum('SIGTERM' in event for _, event, _ in self.events),
            'changes': sum(
                event in ('config', 'SIGHUP') for _, event, _ in self.events
            ),
        }
        return Verdict(lost, twice, refused, mixed, self.ends, summary)


async def _read_answer(reader):
    """Return status and headers of a whole answer; raise if it is cut."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').rstrip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    await reader.readexactly(int(headers['content-length']))
    return int(first.split()[1]), headers


async def play(seed, seconds):
    """Play one schedule.

    Parameters
    ----------
    seed : int
        Of the schedule and the load; processes and sockets have their own
        timing, so a seed repeats the schedule, not each moment.
    seconds : float
        Duration of the load.

    Returns
    -------
    Verdict
        Broken promises and a summary.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with run_fleet(
            Path(folder),
            free_ports(),
            targets=_TARGETS,
            slots=_SLOTS,
            stop_s=STOP_S,
        ) as fleet:
            fleet.store.set_value('op/config', document('r1', timeout_s=4.0))
            return await Soak(fleet, seed, seconds).run()


def main():
    """Play one schedule and print its verdict.

    Returns
    -------
    int
        Zero if every promise was kept, otherwise one.
    """
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    arguments = parser.parse_args()
    verdict = asyncio.run(play(arguments.seed, arguments.seconds))
    sys.stdout.write(
        json.dumps({'seed': arguments.seed, **verdict._asdict()}, default=str)
        + '\n'
    )
    return 0 if verdict.is_clean() else 1


if __name__ == '__main__':
    sys.exit(main())
