"""Tests of what a leader does for each heartbeat of its fleet."""

import asyncio
from random import Random

from oleanderridge.gateway.beliefs import Beliefs
from oleanderridge.gateway.fleet_sync import FleetSync
from oleanderridge.generated.fleet import Beat
from oleanderridge.membership.roster import READY, Roster
from tests.gateway_world import gateway_settings

_HOSTS = 293


class _Datagrams:
    """Records what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, host, message):
        self.sent.append((host, message))


def _leader_and_its_beats():
    settings = gateway_settings()
    roster = Roster(settings, 1)
    roster.state = READY
    beliefs = Beliefs(lambda _configuration: None, lambda: None)
    datagrams = _Datagrams()
    sync = FleetSync(settings, roster, beliefs, datagrams, Random(1))
    now = asyncio.get_running_loop().time()
    beats = [
        Beat(
            f'10.{place // 200}.1.{place % 200}',
            'z1',
            9,
            READY,
            0,
            0,
            0,
            0,
            0,
            True,
            roster.host,
            1,
        )
        for place in range(_HOSTS)
    ]
    for beat in beats:
        roster.on_beat(beat, now)
    for beat in beats:
        beat.members_digest = roster.digest(now)
    return sync, datagrams, beats


def test_the_lists_of_a_leader_are_made_once_for_many_heartbeats():
    """Guards against a leader that looks at all targets for each heartbeat.

    Load: 293 hosts send a heartbeat each 0.35 s; each reply names the doubtful
    targets and the workspaces near their limit.
    """

    async def scenario():
        sync, datagrams, beats = _leader_and_its_beats()
        looks = []
        sync.avoid = lambda: looks.append(1) or ['t1']
        sync.pressed = lambda: ['w1']
        began = asyncio.get_running_loop().time()
        for beat in beats:
            sync.on_beat(beat)
        spent_s = asyncio.get_running_loop().time() - began
        first_looks = len(looks)
        await asyncio.sleep(0.12)
        sync.on_beat(beats[0])
        return datagrams.sent, first_looks, spent_s, len(looks)

    sent, first_looks, spent_s, looks = asyncio.run(scenario())
    replies = [message for _, message in sent]
    assert len(replies) == _HOSTS + 1
    assert all(
        (reply.avoid, reply.pressed) == (['t1'], ['w1']) for reply in replies
    )
    assert first_looks <= 1 + spent_s / 0.1
    # A later reply is not made from an old look.
    assert looks > first_looks
