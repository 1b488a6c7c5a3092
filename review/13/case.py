"""A tenant sends eight times its usual while two leaders are killed."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.kit3.fleet import TROUBLE, play
from review.kit3.hot_tenant import HotTenant, play_hot_tenant

# In seconds from the start of the hot traffic.
KILLS_S = (0.15, 0.65)


async def kill_leaders(case: HotTenant, began: float) -> None:
    """Kill the host that leads, and then the one that follows it."""
    for host, after_s in zip(await case.ranked(), KILLS_S, strict=False):
        await asyncio.sleep(max(0, began + after_s - time.monotonic()))
        case.alive.remove(host)
        host.signal(signal.SIGKILL)
        case.fleet.write(f'{host.name} is killed')


disturb = kill_leaders if TROUBLE else None
play(lambda: play_hot_tenant(Path(__file__).parent, 112, disturb))
