"""Tests of settings reload."""

from pathlib import Path

from oleanderridge.gateway.reload import SettingsReload
from oleanderridge.gateway.settings import load_gateway_settings
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
