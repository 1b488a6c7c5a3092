"""The platform's memory limit, and the orders that are lost to it."""

import asyncio
import re
import signal
from collections import Counter
from pathlib import Path

from rig import MEMORY_MB, Requester, now

# The larger meaning of a megabyte, and only memory that is the process's own.
LIMIT_BYTES = MEMORY_MB * (1 << 20)
# Processes that are killed are "restarted after a short delay".
RESTART_S = 0.8
# "More than three times": so many orders may be lost.
LOST_MAX = 3


def peak_memory(host):
    """Return the most that a process has used, without mapped files."""
    try:
        status = Path(f'/proc/{host.process.pid}/status').read_text()
    except OSError:
        return 0
    found = dict(re.findall(r'(\w+):\s+(\d+) kB', status))
    shared = int(found.get('RssFile', 0)) + int(found.get('RssShmem', 0))
    return (int(found.get('VmHWM', 0)) - shared) * 1024


class MemoryLimit:
    """Kills processes that use too much memory, as the platform does."""

    def __init__(self, rig, numbers):
        self._rig = rig
        self._numbers = numbers
        self.peaks = {}
        self.kills = []

    async def run(self):
        """Watch all processes until cancelled."""
        while True:
            for number, host in list(self._rig.hosts.items()):
                if host.process.returncode is None:
                    await self._check(number, host)
            await asyncio.sleep(0.005)

    async def _check(self, number, host):
        peak = peak_memory(host)
        self.peaks[number] = max(self.peaks.get(number, 0), peak)
        if peak <= LIMIT_BYTES:
            return
        self._rig.record(f'host {number} has used {peak / 1e6:.0f} MB')
        self.kills.append((number, now()))
        self._rig.kill(number, signal.SIGKILL)
        await host.process.wait()
        await asyncio.sleep(RESTART_S)
        await self._rig.start_host(number, self._numbers)


class KeptLoad:
    """Requesters that send orders on connections that they keep."""

    def __init__(self, rig):
        self._rig = rig
        self.stop = asyncio.Event()
        self.cut = []

    async def send_orders(self, number):
        """Send one order after the other; note those without an answer."""
        requester = Requester(self._rig, number)
        answered = 0
        while not self.stop.is_set():
            is_new = requester.writer is None
            reply = await requester.send('/o/1', 'POST')
            self._rig.record(
                f'{reply.attempt} by host {number}: '
                f'{reply.status} {reply.error}'
            )
            if reply.status:
                answered = 1 if is_new else answered + 1
            elif not is_new and answered and 'limit' not in reply.error:
                self.cut.append((reply.attempt, number))
            await asyncio.sleep(0.02 if reply.status else 0.1)
        requester.close()


def judge(rig, limit, load):
    """Show what was lost; return whether more was than may be."""
    ran = {
        attempt: at
        for upstream in rig.upstreams
        for at, attempt, *_ in upstream.runs
    }
    lost = [
        attempt
        for attempt, number in load.cut
        if any(
            number == killed and ran.get(attempt, at) < at
            for killed, at in limit.kills
        )
    ]
    for number, peak in sorted(limit.peaks.items()):
        rig.record.show(f'host {number}: {peak / 1e6:.0f} MB at the peak')
    killed = [number for number, _ in limit.kills]
    rig.record.show(f'killed for their memory: {killed}')
    cut_by_host = dict(Counter(number for _, number in load.cut))
    rig.record.show(f'orders cut off: {cut_by_host}')
    rig.record.show(
        f'LOST: {len(lost)} orders of kept connections were passed on to '
        f'sound upstreams and got no answer; {LOST_MAX} may'
    )
    return len(lost) > LOST_MAX
