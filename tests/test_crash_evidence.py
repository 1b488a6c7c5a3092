"""Requests that crash their targets are told from those that don't."""

from random import Random

import pytest

from oleanderridge.dispatch.crash_evidence import (
    UNKNOWN_REQUEST,
    Crash,
    CrashEvidence,
)
from oleanderridge.dispatch.placement import CRASHES_TARGETS
from oleanderridge.gateway.outcomes import Outcome, Purpose
from oleanderridge.generated.fleet import Grant, Queued, Refused, Release
from tests.gateway_world import PlacementWorld, record

_DEADLY = 7


class _World:
    """Evidence of one host with a simulated clock."""

    def __init__(self, now=100.0):
        self.now = now
        self.evidence = CrashEvidence()
        self._targets = 0

    def crash(self, *fingerprints, ran_s=0.1):
        """Let a target end that has had requests for a while."""
        self._targets += 1
        self.now += ran_s
        # The target has fewer requests left with each one that is reported.
        for reported, fingerprint in enumerate(fingerprints):
            crash = Crash(
                f't{self._targets}',
                1,
                self.now - ran_s,
                self.now,
                len(fingerprints) - reported,
            )
            self.evidence.record_crash(fingerprint, crash, self.now)

    def is_blocked(self, fingerprint=_DEADLY, **options):
        return self.evidence.is_blocked(fingerprint, self.now, **options)


def test_a_request_is_blocked_after_two_crashes_one_after_the_other():
    """Guards against requests that crash target after target."""
    world = _World()
    world.crash(_DEADLY)
    assert not world.is_blocked()
    world.crash(_DEADLY)
    assert world.is_blocked()
    assert not world.is_blocked(8)


def test_a_rack_that_fails_blames_nobody():
    """Guards against refusing what was at many targets that ended at once."""
    world = _World()
    for place in range(6):
        crash = Crash(f't{place}', 1, world.now - 0.1 - place / 100, world.now)
        world.evidence.record_crash(_DEADLY, crash, world.now)
    assert not world.is_blocked()


def test_requests_beside_a_deadly_one_are_not_blocked():
    """Guards against refusing harmless requests for their company."""
    world = _World()
    for place in range(3):
        assert not world.is_blocked()
        world.crash(_DEADLY, 20 + place, 30 + place)
    assert world.is_blocked()
    for place in range(3):
        assert not world.is_blocked(20 + place)
        assert not world.is_blocked(30 + place)


def test_two_shared_crashes_do_not_block():
    """Guards against blaming a request for two targets with many others."""
    world = _World()
    for _ in range(2):
        world.crash(*range(_DEADLY, _DEADLY + 8))
    assert not world.is_blocked()


def test_an_answer_clears_a_request():
    """Guards against refusing a request that a target has answered."""
    world = _World()
    world.crash(_DEADLY)
    late_report = world.evidence.news(world.now)
    world.now += 0.2
    world.evidence.record_answer(_DEADLY, world.now)
    world.evidence.merge(late_report, world.now)
    world.crash(_DEADLY)
    assert not world.is_blocked()


def test_a_blocked_request_that_is_answered_stays_cleared():
    """Guards against hosts that block an answered request again."""
    world, other = _World(), _World()
    world.crash(_DEADLY)
    world.crash(_DEADLY)
    other.evidence.merge(world.evidence.news(world.now), world.now)
    world.now += 11
    assert not world.is_blocked()
    world.evidence.begin_trial(_DEADLY, world.now)
    world.now += 0.1
    world.evidence.record_answer(_DEADLY, world.now)
    assert not world.is_blocked()
    world.evidence.merge(other.evidence.news(world.now), world.now)
    assert not world.is_blocked()


def test_a_host_whose_path_is_refused_blames_no_request():
    """Guards against refusing requests for targets that go on answering."""
    world, other = _World(), _World()
    world.crash(_DEADLY)
    world.crash(_DEADLY)
    assert world.is_blocked()
    other.evidence.merge(world.evidence.news(world.now), world.now)
    # An answer on its way tells nothing, a later one does.
    world.evidence.record_target_answer('t2', 1, world.now + 0.01)
    assert world.is_blocked()
    world.now += 0.2
    world.evidence.record_target_answer('t2', 1, world.now)
    assert not world.is_blocked()
    world.evidence.merge(other.evidence.news(world.now), world.now)
    assert not world.is_blocked()


def test_a_block_is_followed_by_one_trial_and_a_longer_block():
    """Guards against a flood of sends when a block ends."""
    world = _World()
    world.crash(_DEADLY)
    world.crash(_DEADLY)
    sends = 0
    for _ in range(3000):
        world.now += 1
        if not world.is_blocked():
            sends += 1
            world.evidence.begin_trial(_DEADLY, world.now)
            assert world.is_blocked()
            world.crash(_DEADLY)
    # After 10, 40, 160, 640 s.
    assert sends == 4


def test_sends_on_their_way_prolong_no_block():
    """Guards against a block for an hour after a few concurrent crashes."""
    world = _World()
    began = world.now
    world.crash(_DEADLY)
    world.crash(_DEADLY)
    for place in range(4):
        crash = Crash(f'late-{place}', 1, began, world.now + 0.1)
        world.evidence.record_crash(_DEADLY, crash, world.now + 0.1)
    world.now += 11
    assert not world.is_blocked()


def test_a_host_that_may_not_know_all_crashes_is_careful_after_one():
    """Guards against each host alone crashing targets of its own."""
    world = _World()
    world.crash(_DEADLY)
    assert not world.is_blocked()
    assert world.is_blocked(cautious=True)
    world.evidence.record_answer(_DEADLY, world.now)
    assert not world.is_blocked(cautious=True)


def test_a_successor_and_a_fresh_host_know_what_is_blocked():
    """Guards against a change of the leader that begins anew."""
    first, successor, fresh = _World(), _World(), _World()
    first.crash(_DEADLY)
    first.crash(9)
    successor.now = first.now
    successor.evidence.merge(first.evidence.news(first.now), first.now)
    # The evidence of both is counted together, each crash once.
    successor.evidence.merge(first.evidence.news(first.now), first.now)
    assert not successor.is_blocked()
    successor.now += 1
    crash = Crash('t-last', 1, successor.now - 0.1, successor.now)
    successor.evidence.record_crash(_DEADLY, crash, successor.now)
    assert successor.is_blocked()
    assert not successor.is_blocked(9)
    fresh.now = successor.now + 6
    fresh.evidence.merge(successor.evidence.news(fresh.now), fresh.now)
    assert fresh.is_blocked()
    fresh.now += 5
    assert not fresh.is_blocked()


def test_refusals_of_others_prolong_no_block():
    """Guards against a block that each refused request makes longer."""
    leader, host = _World(), _World()
    leader.crash(_DEADLY)
    leader.crash(_DEADLY)
    for _ in range(9):
        leader.now += 1
        host.now = leader.now
        assert leader.is_blocked()
        host.evidence.record_refusal(_DEADLY, host.now)
        leader.evidence.merge(host.evidence.news(host.now), leader.now)
    assert host.is_blocked()
    leader.now += 1.1
    assert not leader.is_blocked()


def test_a_request_that_is_not_known_is_never_blocked():
    """Guards against hosts of before, which state no fingerprint."""
    world = _World()
    for _ in range(5):
        world.crash(UNKNOWN_REQUEST)
    assert not world.is_blocked(UNKNOWN_REQUEST)


def test_the_memory_is_bounded_and_ages_out():
    """Guards against evidence that fills the memory or stays for ever."""
    world = _World()
    world.crash(_DEADLY)
    world.crash(_DEADLY)
    for fingerprint in range(100, 9000):
        world.crash(fingerprint, ran_s=0.001)
    evidence = world.evidence
    assert len(evidence._suspect_by_fingerprint) <= 4096
    assert len(evidence._end_by_target) <= 1024
    news = evidence.news(world.now)
    assert len(news.crashes) <= 16
    world.now += 700
    evidence.expire(world.now)
    assert not evidence._suspect_by_fingerprint


@pytest.mark.parametrize('seed', range(5))
def test_targets_that_end_by_themselves_block_hardly_any_request(seed):
    """Guards against refusals on a day of many crashes without a cause.

    Load: 200 requests a second of 400 kinds for 5 min, answered unless their
    target ends; a target with two requests ends every second.
    """
    rng, world = Random(seed), _World()
    blocked = sent = 0
    for _ in range(300):
        world.crash(*(rng.randrange(1, 400) for _ in range(2)), ran_s=1)
        for _ in range(200):
            kind = rng.randrange(1, 400)
            sent += 1
            if world.is_blocked(kind):
                blocked += 1
            else:
                world.evidence.record_answer(kind, world.now)
    assert blocked < sent / 500


def _deadly(world, **changes):
    return world.acquire(fingerprint=_DEADLY, **changes)


def _end_target(world, grant, fingerprint=_DEADLY):
    world.now += 0.1
    message = Release(
        grant.permit,
        Outcome.RESET,
        100,
        0,
        fingerprint=fingerprint,
        crashed=True,
    )
    return world.placement.release(message, world.now)


def test_the_leader_refuses_a_deadly_request_and_serves_the_others():
    """Guards against a leader that grants target after target to it."""
    world = PlacementWorld(*(record(f't{place}') for place in range(6)))
    first = _deadly(world)
    _end_target(world, first)
    # Its repeat may be sent: the target may have ended for another reason.
    second = _deadly(world, purpose=Purpose.REPEAT, excluded=[first.target])
    assert isinstance(second, Grant)
    assert second.target != first.target
    _end_target(world, second)
    for _ in range(3):
        refused = _deadly(world)
        assert isinstance(refused, Refused)
        assert refused.reason == CRASHES_TARGETS
    for _ in range(6):
        assert isinstance(world.acquire(fingerprint=8), (Grant, Queued))


def test_a_deadly_request_that_waits_gets_no_target():
    """Guards against requests that were queued before they were known."""
    world = PlacementWorld(record('t0', slots=1), record('t1', slots=1))
    first, second = _deadly(world), world.acquire(fingerprint=8)
    waiting = [_deadly(world), _deadly(world)]
    assert all(isinstance(each, Queued) for each in waiting)
    evidence = world.placement.crash_evidence
    for place in range(2):
        ended = world.now + 0.2 * (place + 1)
        crash = Crash(f'gone-{place}', 1, ended - 0.1, ended)
        evidence.record_crash(_DEADLY, crash, ended)
    world.now += 0.5
    message = Release(second.permit, Outcome.ANSWERED, 100, 500, fingerprint=8)
    replies = world.placement.release(message, world.now)
    assert {reply.permit for _, reply in replies} == {
        each.permit for each in waiting
    }
    assert {reply.reason for _, reply in replies} == {CRASHES_TARGETS}
    assert isinstance(first, Grant)


def test_a_placement_that_does_not_lead_sends_a_suspect_once():
    """Guards against hosts on their own that repeat a deadly request."""
    world = PlacementWorld(*(record(f't{place}') for place in range(4)))
    world.placement.set_fleet_share(0.2, leads=False)
    _end_target(world, _deadly(world))
    refused = _deadly(world, purpose=Purpose.REPEAT)
    assert refused.reason == CRASHES_TARGETS


def test_evidence_costs_little_for_each_heartbeat():
    """Guards against a leader that looks at all suspects for each heartbeat."""
    world = _World()
    for fingerprint in range(1, 4000):
        world.crash(fingerprint, ran_s=0.0001)
    world.now += 5
    looks = []

    class Counting(dict):
        def items(self):
            looks.append(len(self))
            return super().items()

    evidence = world.evidence
    evidence._suspect_by_fingerprint = Counting(
        evidence._suspect_by_fingerprint
    )
    for _ in range(50):
        world.now += 0.01
        evidence.news(world.now)
        evidence.expire(world.now)
    assert len(looks) <= 1
