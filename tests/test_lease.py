"""Tests of the lease of one host, as derived from heartbeats of its peers."""

import pytest

from oleanderridge.membership.state import Membership
from tests.simulated import host_list, settings

NAMES = ['h0', 'h1', 'h2', 'h3', 'h4']
INCARNATION = 7


def beat(member, peers, now, **changes):
    """Deliver heartbeats of joined peers that echo the stamp ``now``."""
    for peer in peers:
        message = {
            **member.heartbeat_for('h0', now),
            'host': peer,
            'incarnation': 1,
            'echo': now,
            'echo_incarnation': INCARNATION,
            'list_revision': 1,
            'unsettled_revisions': [],
            'bundle_version': 1,
            'bundle_digest': 'd1',
            'uptime_s': 500,
            'joined': True,
            'leaving': False,
            'released': False,
            **changes,
        }
        news = member.on_heartbeat(message, now)
    return news


def fresh(names=NAMES, revision=1, **states):
    """Return a process that started at time 0."""
    member = Membership(settings('h0'), INCARNATION, 0)
    member.accept_list(host_list(revision, names, **states), 0)
    member.set_bundle(1, 'd1', 0)
    return member


def leased(names=NAMES):
    """Return a member whose lease every peer supports at time 20."""
    member = fresh(names)
    for now in range(1, 21):
        beat(member, names[1:], now)
    assert member.lease_until(20) == 24
    return member


def test_lease_ends_with_the_evidence_of_a_majority():
    """Guards against a lease that two of five hosts can renew."""
    member = leased()
    beat(member, ['h1', 'h2'], 23)
    assert member.lease_until(26.9) == 27
    assert member.lease_until(27) == 0
    member = leased()
    beat(member, ['h1'], 23)
    assert member.lease_until(24) == 0


@pytest.mark.parametrize(
    'changes',
    [
        {'echo': 19},
        {'echo': 99},
        {'echo_incarnation': INCARNATION - 1},
        {'list_revision': 2},
        {'bundle_version': 2},
        {'bundle_digest': 'other'},
        {'joined': False},
        {'incarnation': 0},
    ],
)
def test_statement_that_backs_no_lease(changes):
    """Guards against lease support from late, newer, differing or old peers."""
    member = leased()
    for now in (22, 24):
        beat(member, NAMES[1:], now, **changes)
    assert member.lease_until(24) == 0


def test_even_list_has_a_tie_break():
    """Guards against two halves that both hold a lease, or neither."""
    names = NAMES[:4]
    member = leased(names)
    beat(member, ['h1'], 23)
    assert member.lease_until(25)
    other = leased(names)
    other.accept_list(host_list(2, ['a0', *names[:3]]), 20)
    beat(other, ['h1'], 23)
    assert not other.lease_until(25)


def test_newer_process_of_the_same_name_ends_the_lease():
    """Guards against two processes that mint under one name."""
    member = leased()
    beat(member, ['h1'], 20, echo_incarnation=INCARNATION + 1)
    assert not member.lease_until(20)
    member = leased()
    beat(member, ['h0'], 20, incarnation=INCARNATION + 1)
    assert not member.lease_until(20)


def test_host_without_a_majority_does_not_vouch():
    """Guards against lease support from a process replaced without notice."""
    member = leased()
    assert member.heartbeat_for('h1', 23)['joined']
    assert not member.heartbeat_for('h1', 23.1)['joined']


def test_leaving_host_neither_vouches_nor_mints():
    """Guards against a released host that still supports a lease."""
    member = leased()
    member.begin_leaving(20)
    assert not member.lease_until(20)
    message = member.heartbeat_for('h1', 20)
    assert message['released']
    assert message['leaving']
    assert not message['joined']


def test_list_stays_unsettled_for_hold_after_a_majority_left_it():
    """Guards against minting a new share while old leases are valid."""
    member = leased()
    member.accept_list(host_list(2, NAMES), 20)
    beat(member, ['h1'], 21, list_revision=2)
    beat(member, ['h2', 'h3', 'h4'], 21)
    assert len(member.unsettled_lists(40)) == 2
    beat(member, ['h1', 'h2'], 41, list_revision=2)
    assert len(member.unsettled_lists(46.9)) == 2
    assert len(member.unsettled_lists(47)) == 1


def test_confirmations_far_apart_do_not_add_up():
    """Guards against counting a host that was replaced in between."""
    member = leased()
    member.accept_list(host_list(2, NAMES), 20)
    beat(member, ['h3', 'h4'], 20)
    beat(member, ['h1'], 21, list_revision=2)
    for now in range(21, 27):
        beat(member, ['h3', 'h4'], now)
    beat(member, ['h2'], 27, list_revision=2)
    assert len(member.unsettled_lists(40)) == 2


def test_unseen_list_is_asked_for_before_it_is_passed_over():
    """Guards against a lease under a list that this host skipped."""
    member = leased()
    member.accept_list(host_list(3, NAMES), 20)
    for now in (21, 25, 30):
        statement = {'list_revision': 3, 'unsettled_revisions': [1, 2]}
        assert beat(member, NAMES[1:], now, **statement).list_behind
    assert len(member.unsettled_lists(40)) == 2
    member.on_list_push(
        {
            'kind': 'list_push',
            'host': 'h1',
            'newest': host_list(3, NAMES),
            'unsettled': [host_list(2, NAMES)],
            'released': [],
        },
        40,
    )
    revisions = [each['revision'] for each in member.unsettled_lists(40)]
    assert revisions == [1, 2, 3]
    assert not beat(member, NAMES[1:], 40, **statement).list_behind
    assert len(member.unsettled_lists(46)) == 1


def test_fenced_and_released_hosts_confirm_a_later_list():
    """Guards against minting that stays blocked after hosts are lost."""
    fenced = {'h3': 'fenced', 'h4': 'fenced'}
    member = leased()
    member.accept_list(host_list(2, NAMES, **fenced), 20)
    beat(member, ['h1', 'h2'], 21)
    assert len(member.unsettled_lists(27)) == 1
    member = leased()
    member.accept_list(host_list(2, NAMES), 20)
    beat(member, ['h1', 'h2'], 21, released=True, joined=False)
    beat(member, ['h3', 'h4'], 21)
    assert len(member.unsettled_lists(27)) == 1


def test_version_stays_unsettled_for_hold_after_a_majority_left_it():
    """Guards against minting a raised share while old leases are valid."""
    member = leased()
    member.set_bundle(2, 'd2', 20)
    changes = {'bundle_version': 2, 'bundle_digest': 'd2'}
    beat(member, ['h1'], 30, **changes)
    assert member.unsettled_versions(40) == (1, 2)
    beat(member, ['h1', 'h2'], 41, **changes)
    assert member.unsettled_versions(46.9) == (1, 2)
    assert member.unsettled_versions(47) == (2,)


def test_version_stated_under_an_unknown_list_does_not_count():
    """Guards against settling a version that a newer list still backs."""
    member = leased()
    member.set_bundle(2, 'd2', 20)
    changes = {'bundle_version': 2, 'bundle_digest': 'd2', 'list_revision': 2}
    beat(member, NAMES[1:], 21, **changes)
    assert member.unsettled_versions(40) == (1, 2)


def test_lease_needs_a_majority_of_every_unsettled_list():
    """Guards against two disjoint lists that back different versions."""
    member = leased()
    joined = ['h0', 'n1', 'n2']
    member.accept_list(host_list(2, joined), 20)
    for now in range(21, 26):
        beat(member, NAMES[1:], now, bundle_version=2)
        beat(member, joined[1:], now, list_revision=2)
    assert member.lease_until(25) == 0


def test_skipped_version_ends_the_lease_until_a_majority_left_it():
    """Guards against a lease under a version that this host never saw."""
    member = leased()
    member.set_bundle(3, 'd3', 20)
    for now in range(21, 26):
        beat(member, NAMES[1:], now, bundle_version=2)
    assert member.lease_until(25.9) == 26
    beat(member, NAMES[1:], 26, bundle_version=2)
    assert member.lease_until(26) == 0
    for now in (27, 28, 29, 30, 31):
        beat(member, NAMES[1:], now, bundle_version=3, bundle_digest='d3')
    assert member.lease_until(30.9) == 0
    assert member.lease_until(31) == 35


def _joins_by(member, peers, until, **changes):
    for now in range(1, until + 1):
        beat(member, peers, now, **changes)
    return member.joined(until)


def test_replaced_process_waits_longer_than_old_confirmations_count():
    """Guards against a process that contradicts its predecessor."""
    assert not _joins_by(fresh(), NAMES[1:4], 10)
    assert _joins_by(fresh(), NAMES[1:4], 11)
    assert not _joins_by(fresh(), NAMES[1:3], 60)


def test_other_replaced_processes_do_not_count():
    """Guards against two restarted processes that confirm each other."""
    member = fresh()
    for now in range(1, 31):
        beat(member, ['h1', 'h2'], now)
        beat(member, ['h3'], now, joined=False, uptime_s=now + 20)
    assert not member.joined(30)
    for now in range(31, 43):
        beat(member, ['h1', 'h2', 'h4'], now)
        beat(member, ['h3'], now, joined=False, uptime_s=now + 20)
    assert member.joined(42)


def test_joining_needs_the_highest_list_and_bundle():
    """Guards against a new process that reverts to an older state."""
    member = fresh()
    assert not _joins_by(member, NAMES[1:], 20, bundle_version=2)
    member.set_bundle(2, 'd1', 20)
    assert member.joined(20)
    member = fresh(revision=2)
    changes = {'list_revision': 2, 'unsettled_revisions': [1]}
    assert not _joins_by(member, NAMES[1:], 20, **changes)


def test_joining_needs_recent_statements():
    """Guards against joining on the basis of stale reports."""
    member = fresh()
    _joins_by(member, NAMES[1:], 8)
    assert not member.joined(12)


def test_leaving_hosts_must_be_heard_too():
    """Guards against joining alone under a list that others are leaving."""
    member = fresh(['h0', 'h1'], h1='leaving')
    assert not member.joined(60)
    assert _joins_by(fresh(['h0', 'h1'], h1='leaving'), ['h1'], 11)


def test_view_names_dead_and_leaving_members():
    """Guards against listing hosts that are silent or about to exit."""
    member = leased()
    member.accept_list(host_list(2, NAMES, h3='leaving'), 21)
    beat(member, ['h1', 'h2'], 23, leaving=True)
    by_host = {each.host: each for each in member.view(24)}
    assert [by_host[name].alive for name in NAMES] == [
        *[True] * 3,
        *[False] * 2,
    ]
    assert [by_host[name].leaving for name in NAMES] == [
        *(False, True, True, True, False)
    ]
    assert by_host['h1'].heard_at == 23
    assert by_host['h1'].incarnation == 1
