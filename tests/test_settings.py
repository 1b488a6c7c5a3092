"""Settings are complete, or all their faults are reported together."""

import subprocess
import sys

import msgspec
import pytest
import yaml

from oleanderridge.cmdline import main
from oleanderridge.compiled_schema import completed
from oleanderridge.schema_check import fill_defaults, schema_faults
from oleanderridge.settings import load_settings, parse_settings
from tests.gateway_world import LINES

_LINES = (
    'host: host-a',
    'zone: z1',
    'caller: {address: 127.0.0.1, port: 7001}',
    'admin: {address: 127.0.0.1, port: 7002}',
    'peer: {address: 127.0.0.1, port: 7003}',
    'platform: {url: "http://127.0.0.1:7004"}',
    f'bundle: {{trusted_keys: [{"a" * 64}]}}',
)


def _parse(*more, without=''):
    lines = [line for line in _LINES if not without or without not in line]
    return parse_settings('\n'.join((*lines, *more)), 's.yaml')


def test_absent_sections_get_their_defaults():
    """Guards against a minimal settings file missing fields at run time."""
    settings = _parse().unwrap()
    assert settings['membership']['hold_s'] == 6
    assert settings['forward']['keys_max'] == 8000
    assert settings['peer']['seeds'] == []
    assert 'otlp_url' not in settings['telemetry']


@pytest.mark.parametrize(
    ('line', 'path'),
    [
        ('membership: {hold_s: 4.03}', '$.membership.hold_s'),
        ('membership: {lease_s: 2}', '$.membership.lease_s'),
        ('membership: {suspect_s: 1}', '$.membership.suspect_s'),
        ('admission: {grant_hold_s: 0.05}', '$.admission.grant_hold_s'),
        (
            'admission: {request_timeout_s: 0.5}',
            '$.admission.request_timeout_s',
        ),
        ('telemetry: {log_level: loud}', '$.telemetry.log_level'),
        ('forward: {attempt_max: 3}', '$.forward.attempt_max'),
        ('zone: z2', '$.zone'),
        ('membership: {hold_s: .inf}', '$.membership.hold_s'),
        ('membership: {hold_s: .nan}', '$.membership.hold_s'),
        ('membership: {hold_s: 1.0e+300}', '$.membership.hold_s'),
        (f'forward: {{keys_max: {"9" * 30}}}', '$.forward.keys_max'),
    ],
)
def test_fault_is_found_with_line_and_path(line, path):
    """Guards against settings that break a guarantee's time bounds."""
    (finding,) = _parse(line).unwrap_err()
    assert (finding.line, finding.path) == (8, path)


@pytest.mark.parametrize(
    ('old', 'new', 'path'),
    [
        ('peer', 'peer: {address: host-a, port: 1}', '$.peer.address'),
        ('peer', 'peer: {address: 127.0.0.1, port: 7001}', '$.peer.port'),
        (
            'peer',
            'peer: {address: 127.0.0.1, port: 1, seeds: [host-b:1]}',
            '$.peer.seeds[0]',
        ),
        ('platform', 'platform: {url: "http://platform:1"}', '$.platform.url'),
    ],
)
def test_addresses_are_addresses(old, new, path):
    """Guards against names, which hosts cannot resolve, and shared ports."""
    (finding,) = _parse(new, without=old).unwrap_err()
    assert (finding.line, finding.path) == (7, path)


def test_all_findings_are_reported_and_keys_are_not_quoted():
    """Guards against one finding per attempt and keys in logs."""
    faulty = (
        'bundle: {trusted_keys: [private]}',
        'caller: {address: 127.0.0.1}',
        'colour: red',
    )
    findings = parse_settings('\n'.join(faulty), 's.yaml').unwrap_err()
    found = {(finding.line, finding.path) for finding in findings}
    assert {
        (1, '$.bundle.trusted_keys[0]'),
        (2, '$.caller'),
        (3, '$.colour'),
    } <= found
    assert 'private' not in str(findings)


def test_unreadable_file_is_a_finding(tmp_path):
    """Guards against a traceback when a host starts without its file."""
    (finding,) = load_settings(tmp_path / 'absent.yaml').unwrap_err()
    assert 'cannot be read' in finding.message


@pytest.mark.parametrize(
    'change',
    [
        {},
        {'log_level': 'debug'},
        {'log_level': 'loud'},
        {'address': '10.0.0.256'},
        {'address': '1.2.3.4 '},
        {'cores': 0},
        {'cores': 2},
        {'metrics_port': 70_000},
        {'metrics_port': True},
        {'unknown': 1},
        {'peers': {'port': 7004, 'seeds': ['a'], 'beat_s': -1}},
        {'bounds': {'memory_mb': 200.0}},
    ],
)
def test_the_quick_check_of_settings_agrees_with_their_schema(change):
    """Guards against a quick start that takes what a check refuses."""
    plain = yaml.safe_load('\n'.join(LINES))
    content = plain | change
    faults = list(schema_faults('gateway', content))
    try:
        settings = completed('gateway', content)
    except msgspec.ValidationError:
        assert faults
        return
    assert not faults
    assert settings == fill_defaults('gateway', content)


def test_a_start_imports_nothing_of_other_subcommands():
    """Guards against a host that serves later after a power loss."""
    script = (
        'import sys, oleanderridge.cmdline as c;'
        'c.build_parser("gateway").parse_args(["gateway", "--settings", "x"]);'
        'import oleanderridge.gateway.process;'
        'print([n for n in ("aiohttp", "jsonschema", "nacl", "falcon", '
        '"uvicorn", "pynng", "opentelemetry") if n in sys.modules])'
    )
    ran = subprocess.run(  # noqa: S603
        (sys.executable, '-c', script),
        check=True,
        capture_output=True,
        text=True,
    )
    assert ran.stdout.strip() == '[]'


@pytest.mark.parametrize(
    'content', [None, b'\xff\x00\xea', b'host: [1', b'host: 5\n', b'']
)
def test_a_gateway_names_what_is_wrong_with_its_settings(
    content, tmp_path, capsys
):
    """Guards against a traceback, and against a start on bad settings."""
    path = tmp_path / 'host.yaml'
    if content is not None:
        path.write_bytes(content)
    assert main(['gateway', '--settings', str(path), '--check']) == 2
    assert str(path) in capsys.readouterr().err
