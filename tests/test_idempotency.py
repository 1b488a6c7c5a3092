"""Tests of idempotency keys, and of the key register against a model."""

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oleanderridge.forward.idempotency import (
    KeyRegister,
    home_host_of_plain_key,
    parse_key,
)

KEY_LIFETIME_S = 10.0
SETTINGS = {
    'host': 'host-a',
    'forward': {
        'key_lifetime_s': KEY_LIFETIME_S,
        'keys_max': 4,
        'workspace_keys_max': 4,
        'stored_answer_limit_bytes': 8,
    },
}


def claim_message(key, claim_id, workspace='mill', fingerprint='f'):
    return {
        'kind': 'key_claim',
        'host': 'host-b',
        'claim_id': claim_id,
        'key': key,
        'workspace': workspace,
        'fingerprint': fingerprint,
        'bound_incarnation': 0,
    }


def outcome_message(key, claim_id, state, body=None, workspace='mill'):
    message = claim_message(key, claim_id, workspace)
    message.update(kind='key_outcome', state=state)
    if body is not None:
        message['answer'] = {'status': 200, 'headers': {}, 'body': body}
    return message


class RegisterMachine(RuleBasedStateMachine):
    """Compares the register with a model that has no expiry or size limit.

    The steps are claims, completions, waits and restarts of the host, with
    the keys of two workspaces.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.incarnation = 0
        self.claim_count = 0
        self.open_claims = []
        self.claimed_at = {}
        self.completed = {}
        self.home_since = -1e6
        self.restart()

    @rule()
    def restart(self):
        self.incarnation += 1
        self.started = self.now
        self.open_claims = []
        self.register = KeyRegister(SETTINGS, self.incarnation, self.now)

    @rule(seconds=st.sampled_from([0.5, 3.0, 9.5, 11.0]))
    def wait(self, seconds):
        self.now += seconds
        self.register.expire(self.now)

    @rule()
    def become_home(self):
        self.home_since = self.now

    @rule(
        workspace=st.sampled_from(['mill', 'loom']),
        unique=st.sampled_from('abcdef'),
        issued_ago_s=st.sampled_from([None, -2, 0, 1, 8, 20]),
        restarted=st.booleans(),
        leased=st.sampled_from([True, True, False]),
        fingerprint=st.sampled_from(['f', 'f', 'f', 'g']),
    )
    def claim(
        self, workspace, unique, issued_ago_s, restarted, leased, fingerprint
    ):
        key = unique
        if issued_ago_s is not None:
            issued = max(int(self.now) - issued_ago_s, 0)
            key = f'host-a.{self.incarnation - restarted}.{issued}.{unique}'
        self._claim((workspace, key), leased, fingerprint)

    @rule(index=st.integers(0, 9), fingerprint=st.sampled_from(['f', 'g']))
    def claim_again(self, index, fingerprint):
        if self.claimed_at:
            names = sorted(self.claimed_at)
            self._claim(names[index % len(names)], True, fingerprint)

    def _claim(self, name, leased, fingerprint):
        self.claim_count += 1
        claim_id = f'c-{self.claim_count}'
        message = claim_message(name[1], claim_id, name[0], fingerprint)
        reply = self.register.claim(message, self.now, self.home_since, leased)
        assert reply['claim_id'] == claim_id
        state = reply['state']
        if state == 'claimed':
            self._check_claimed(name, leased)
            self.claimed_at[name] = self.now
            self.completed.pop(name, None)
            self.open_claims.append((name, claim_id, fingerprint))
            repeated_reply = self.register.claim(message, self.now, 0, False)
            assert repeated_reply == reply
        elif state == 'done':
            body = reply['answer']['body']
            assert self.completed[name] == (fingerprint, body)
            assert len(body) <= 8
        elif state == 'in-progress':
            assert (name, fingerprint) in {
                (entry[0], entry[2]) for entry in self.open_claims
            }
        elif state == 'full':
            assert len(self.register) == SETTINGS['forward']['keys_max']

    def _check_claimed(self, name, leased):
        key = parse_key(name[1]).unwrap()
        if key.host:
            assert name not in self.claimed_at
            assert key.incarnation == self.incarnation
            assert key.issued <= self.now < key.issued + KEY_LIFETIME_S
        else:
            assert leased
            complete_since = max(self.started, self.home_since)
            assert self.now - complete_since >= KEY_LIFETIME_S
            last_claimed_at = self.claimed_at.get(name)
            assert (
                last_claimed_at is None
                or self.now - last_claimed_at >= KEY_LIFETIME_S
            )

    @rule(
        index=st.integers(0, 9),
        state=st.sampled_from(['done', 'unknown', 'not-run']),
        body=st.sampled_from([b'ok', b'larger than 8', None]),
    )
    def complete(self, index, state, body):
        if not self.open_claims:
            return
        name, claim_id, fingerprint = self.open_claims.pop(
            index % len(self.open_claims)
        )
        workspace, key = name
        self.register.complete(
            outcome_message(key, claim_id, state, body, workspace), self.now
        )
        if state == 'not-run':
            self.claimed_at.pop(name, None)
            return
        if state == 'done':
            self.completed[name] = (fingerprint, body)
        if '.' not in key and self.now - self.claimed_at[name] < KEY_LIFETIME_S:
            self.claimed_at[name] = self.now
        self.register.complete(
            outcome_message(key, claim_id, 'not-run', None, workspace),
            self.now,
        )

    @rule(index=st.integers(0, 9))
    def complete_with_wrong_claim_id(self, index):
        if not self.open_claims:
            return
        workspace, key = self.open_claims[index % len(self.open_claims)][0]
        self.register.complete(
            outcome_message(key, 'c-none', 'not-run', None, workspace),
            self.now,
        )

    @invariant()
    def size_is_bounded(self):
        assert len(self.register) <= SETTINGS['forward']['keys_max']


RegisterMachine.TestCase.settings = hypothesis_settings(
    max_examples=200, stateful_step_count=40, deadline=None
)
TestRegister = RegisterMachine.TestCase
TestRegister.__doc__ = 'Guards against reporting a key as claimed twice.'


def build_full_register():
    register = KeyRegister(SETTINGS, 1, -100)
    for number in range(4):
        message = claim_message(f'k{number}', f'c{number}')
        assert register.claim(message, 0, -100, True)['state'] == 'claimed'
    return register


def test_full_register_refuses_new_keys_and_keeps_old_ones():
    """Guards against evicting a key to make room for a new one."""
    register = build_full_register()
    new_key_claim = claim_message('k9', 'c9')
    assert register.claim(new_key_claim, 1, -100, True)['state'] == 'full'
    known_key_claim = claim_message('k0', 'c8')
    assert (
        register.claim(known_key_claim, 1, -100, True)['state'] == 'in-progress'
    )
    assert register.claim(new_key_claim, 10, -100, True)['state'] == 'claimed'


def test_one_workspace_leaves_room_for_others():
    """Guards against a workspace that fills the register for all others."""
    forward = {**SETTINGS['forward'], 'workspace_keys_max': 2}
    register = KeyRegister({**SETTINGS, 'forward': forward}, 1, -100)
    states = [
        register.claim(
            claim_message(f'k{number}', f'c{number}'), 0, -100, True
        )['state']
        for number in range(3)
    ]
    assert states == ['claimed', 'claimed', 'full']
    other_workspace = claim_message('k9', 'c9', workspace='shop')
    assert register.claim(other_workspace, 0, -100, True)['state'] == 'claimed'
    register.complete(outcome_message('k0', 'c0', 'not-run'), 0)
    new_key_claim = claim_message('k3', 'c3')
    assert register.claim(new_key_claim, 0, -100, True)['state'] == 'claimed'


def test_completion_extends_a_plain_key():
    """Guards against removing a key soon after its request has completed."""
    register = KeyRegister(SETTINGS, 1, -100)
    register.claim(claim_message('k', 'c1'), 0, -100, True)
    register.complete(outcome_message('k', 'c1', 'done', b'ok'), 8)
    for now, state in ((17, 'done'), (18, 'claimed')):
        message = claim_message('k', f'c-{now}')
        assert register.claim(message, now, -100, True)['state'] == state


def test_freed_keys_leave_no_trace():
    """Guards against an expiry heap that grows with each freed key."""
    register = KeyRegister(SETTINGS, 1, -100)
    for number in range(100):
        key = f'k{number}'
        register.claim(claim_message(key, 'c'), 0, -100, True)
        register.complete(outcome_message(key, 'c', 'not-run'), 0)
    assert len(register) == 0
    assert len(register._expiry_heap) <= 10


def test_other_workspace_and_other_request():
    """Guards against sharing a key between workspaces or requests."""
    register = KeyRegister(SETTINGS, 1, -100)
    first = claim_message('k', 'c1')
    assert register.claim(first, 0, -100, True)['state'] == 'claimed'
    other_request = claim_message('k', 'c2', fingerprint='g')
    assert register.claim(other_request, 0, -100, True)['state'] == 'mismatch'
    other_workspace = claim_message('k', 'c3', workspace='loom')
    assert register.claim(other_workspace, 0, -100, True)['state'] == 'claimed'


def test_bound_key_times():
    """Guards against claiming bound keys that are early, expired or foreign."""
    register = KeyRegister(SETTINGS, 7, 0)

    def state(key, now):
        message = claim_message(key, f'c-{key}')
        return register.claim(message, now, 1e9, False)['state']

    assert state('host-a.7.21.u', 20.5) == 'mismatch'
    assert state('host-a.7.10.u', 20) == 'unknown'
    assert state('host-a.6.20.u', 20) == 'unknown'
    assert state('host-b.7.20.u', 20) == 'unknown'
    assert state('host-a.7.20.u', 20) == 'claimed'


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('order-1', ('', 0, 0, 'order-1')),
        ('host-a.3.40.x.y', ('host-a', 3, 40, 'x.y')),
        ('host-a.3.x', ('', 0, 0, 'host-a.3.x')),
    ],
)
def test_key_forms(text, expected):
    """Guards against parsing a bound key as a plain one."""
    assert parse_key(text).unwrap() == expected


@pytest.mark.parametrize(
    'text', ['', 'a b', 'ü', 'x' * 257, 'host-a.3.40.', 'host-a.3.40']
)
def test_malformed_keys_are_refused(text):
    """Guards against malformed keys that several requests may share."""
    assert parse_key(text).unwrap_err().reason == 'bad-request'


def test_plain_home_is_stable_and_live():
    """Guards against moving keys when a host other than their home leaves."""
    hosts = [
        {'host': f'host-{number}', 'state': 'live'} for number in range(20)
    ]
    homes = {
        key: home_host_of_plain_key({'hosts': hosts}, key)
        for key in map(str, range(200))
    }
    assert len(set(homes.values())) > 15
    hosts[3]['state'] = 'leaving'
    for key, home in homes.items():
        new_home = home_host_of_plain_key({'hosts': hosts[::-1]}, key)
        assert (new_home == home) == (home != 'host-3')
    assert not home_host_of_plain_key({'hosts': []}, 'k')
