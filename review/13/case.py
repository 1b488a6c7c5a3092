"""A tenant sends eight times its usual while the leader stands still."""

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
PAUSE_AT_S = 0.15
PAUSE_S = 0.8


async def pause_leader(case: HotTenant, began: float) -> None:
    """Let the host that leads stand still for a while."""
    leader = (await case.ranked())[0]
    await asyncio.sleep(max(0, began + PAUSE_AT_S - time.monotonic()))
    leader.signal(signal.SIGSTOP)
    case.fleet.write(f'{leader.name} stands still')
    await asyncio.sleep(PAUSE_S)
    leader.signal(signal.SIGCONT)
    case.fleet.write(f'{leader.name} goes on')


disturb = pause_leader if TROUBLE else None
play(lambda: play_hot_tenant(Path(__file__).parent, 115, disturb))
