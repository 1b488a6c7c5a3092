"""Tests of settings reload."""

from pathlib import Path

import pytest

from oleanderridge.gateway.reload import SettingsReload
from oleanderridge.gateway.settings import load_gateway_settings
from oleanderridge.membership.discovery import Discovery
from oleanderridge.membership.roster import Roster
from tests.gateway_world import LINES


def _write_settings(path: Path, bounds: str) -> None:
    path.write_text('\n'.join((*LINES[:-1], f'bounds: {bounds}')))


def test_a_changed_bound_is_in_force_and_a_faulty_file_changes_nothing(
    tmp_path,
):
    """Guards against an ignored reload and a reload error that stops a host."""
    path = tmp_path / 'g.yaml'
    _write_settings(path, '{retry_slack: 40}')
    settings = load_gateway_settings(path).unwrap()
    reload = SettingsReload(settings, path)
    _write_settings(path, '{retry_slack: 30}')
    reload.read()
    assert settings['bounds']['retry_slack'] == 30
    _write_settings(path, '{retry_slack: many}')
    reload.read()
    assert settings['bounds']['retry_slack'] == 30
    path.unlink()
    reload.read_if_changed()
    assert settings['bounds']['retry_slack'] == 30


def test_changed_seeds_are_in_force(tmp_path):
    """Guards against a host that asks seeds which are down for good."""
    path = tmp_path / 'g.yaml'
    _write_settings(path, '{}')
    settings = load_gateway_settings(path).unwrap()
    roster = Roster(settings, 1)
    reload = SettingsReload(settings, path)
    assert roster.discovery.seeds() == {'127.0.0.2'}
    text = path.read_text().replace('127.0.0.2:9', '127.0.0.3:9')
    path.write_text(text.replace('port: 7004', 'port: 7009'))
    reload.read()
    assert roster.discovery.seeds() == {'127.0.0.3'}
    # The socket stays where it is.
    assert settings['peers']['port'] == 7004


@pytest.mark.parametrize('seeds', ['["127.0.0.2:9"]', '["127.0.0.1:9"]', '[]'])
def test_a_lone_host_counts_on_the_largest_fleet_while_seeds_may_answer(
    tmp_path, seeds
):
    """Guards against lone hosts that share out a rate as if they were few."""
    path = tmp_path / 'g.yaml'
    _write_settings(path, '{}')
    path.write_text(path.read_text().replace('["127.0.0.2:9"]', seeds))
    settings = load_gateway_settings(path).unwrap()
    search = Discovery(settings['peers'], settings['address'])
    has_others = '127.0.0.2' in seeds
    assert (search.assumed_hosts(10) == 1400) is has_others
    assert (search.assumed_hosts(13.9) == 1400) is has_others
    assert search.assumed_hosts(14.1) == 24
    settings['peers']['seeds'] = ['127.0.0.3:9']
    assert search.assumed_hosts(14.2) == 1400
    search.end()
    assert search.assumed_hosts(30) == 1400
