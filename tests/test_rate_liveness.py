"""Requests within the rate are admitted under uniform and skewed load."""

from random import Random

import pytest

from oleanderridge.admission.buckets import TokenBuckets
from tests.fleet_model import Fleet
from tests.simulated import bundle, host_list, settings

_WARM_UP = 40
_REQUESTS = 6000


class _Fleet:
    """Hosts with leases and instantaneous token requests."""

    def __init__(self, size, rate, burst, **admission):
        names = [f'h{number}' for number in range(size)]
        listed = host_list(1, names)
        self.rate = rate
        self.ideal = self.burst = burst
        self.number = 0
        self.by_host = {}
        for name in names:
            buckets = TokenBuckets(name, settings(name, **admission))
            buckets.update([listed], [bundle(1, rate, burst)], 0)
            self.by_host[name] = buckets

    def note_lease(self, now):
        for buckets in self.by_host.values():
            buckets.note_lease(now, now + 4)

    def admit(self, name, now, rng):
        buckets = self.by_host[name]
        self.number += 1
        request = {
            'kind': 'token_request',
            'host': name,
            'incarnation': 1,
            'request_id': f'r{self.number}',
            'workspace': 'mill',
        }
        sources = buckets.sources('mill', now, now + 4, rng)
        return any(
            self._obtain_token(name, source, request, now) for source in sources
        )

    def _obtain_token(self, name, source, request, now):
        buckets = self.by_host[source]
        if source == name:
            return buckets.take('mill', now, now + 4).status == 'taken'
        reply = buckets.on_token_request(request, now, now + 4)
        return reply.message['granted']

    def ideal_admits(self, passed):
        self.ideal = min(self.burst, self.ideal + passed * self.rate)
        admits = self.ideal >= 1
        self.ideal -= admits
        return admits


def wrongful_share(size, rate, burst, skewed, load=0.94, **admission):
    """Return the net share of requests refused beyond one central bucket."""
    rng = Random(7)
    fleet = _Fleet(size, rate, burst, **admission)
    names = sorted(fleet.by_host)
    for second in range(_WARM_UP):
        fleet.note_lease(second)
    now, ticked, wrongful = float(_WARM_UP), _WARM_UP, 0
    for _ in range(_REQUESTS):
        passed = rng.expovariate(load * rate)
        now += passed
        while ticked < now:
            fleet.note_lease(min(ticked, now))
            ticked += 1
        host = names[0] if skewed else rng.choice(names)
        ideal = fleet.ideal_admits(passed)
        wrongful += ideal - fleet.admit(host, now, rng)
    return wrongful / _REQUESTS


@pytest.mark.parametrize('skewed', [False, True])
@pytest.mark.parametrize('burst', [20, 200])
@pytest.mark.parametrize('size', [3, 12, 36])
def test_load_within_the_rate_is_admitted(size, burst, skewed):
    """Guards against tokens left unused at minters that get no requests."""
    assert wrongful_share(size, 10, burst, skewed) <= 0.01


def test_changes_cost_no_lease():
    """Guards against rollouts, also with skipped versions, stopping minting."""
    fleet = Fleet(1, 5, 10, 60)
    fleet.advance(25)
    for change in ('bundle', 'list'):
        for _ in range(2):
            if change == 'bundle':
                fleet.publish_bundle(10, 60)
            else:
                fleet.publish_list(fleet.names)
        fleet.read_platform(fleet.processes[0])
        for _ in range(24):
            fleet.advance(0.5)
            assert all(each.lease() for each in fleet.processes)
    newest = fleet.processes[-1].in_force()
    assert [each['revision'] for each in newest[0]] == [3]
    assert [each['version'] for each in newest[1]] == [3]
