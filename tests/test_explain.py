"""The way of a failed request can be read from its log lines alone."""

import logging
import os
from pathlib import Path

import pytest

from oleanderridge.cmdline import main
from oleanderridge.telemetry.bounded_log import BoundedLog
from oleanderridge.telemetry.explain import explain

_LINES = (Path(__file__).parent / 'explained.log').read_text().splitlines()


def _events(request_id):
    return [line.fields['event'] for line in explain(request_id, _LINES)]


def test_a_timeout_leads_to_the_target_that_was_doubted():
    """Guards against a 504 whose target cannot be found."""
    assert _events('a1') == [
        'configuration-in-force',
        'target-doubted',
        'send-ended',
        'request-ended',
    ]


def test_a_refusal_leads_to_the_bucket_of_the_leader():
    """Guards against a 429 that nobody can account for."""
    lines = explain('a2', _LINES)
    refused = [
        line for line in lines if line.fields['event'] == 'placement-refused'
    ]
    assert refused[0].fields['part'] == '0.5'


def test_a_lost_answer_leads_to_its_send():
    """Guards against a 502 without the fault of its connection."""
    assert explain('a3', _LINES)[-2].fields['detail'] == 'connection lost'


def test_the_command_prints_the_way_and_fails_on_an_unknown_id(
    tmp_path, capsys
):
    """Guards against a command that explains nothing and succeeds."""
    file = tmp_path / 'host.log'
    file.write_text('\n'.join(_LINES))
    assert main(['explain', 'a1', str(file)]) == 0
    assert 'target-timeout' in capsys.readouterr().out
    assert main(['explain', 'zz', str(file)]) == 1


def _blocked_log(lines):
    read_end, write_end = os.pipe()
    log = BoundedLog(write_end)
    log.setFormatter(logging.Formatter('%(levelname)s %(message)s'))
    for place in range(lines):
        level = logging.WARNING if place % 4 == 0 else logging.INFO
        log.emit(
            logging.LogRecord('l', level, '', 0, f'event-{place}', (), None)
        )
        if place % 100 == 0:
            log.flush()
    return log, read_end


def test_a_blocked_reader_never_holds_the_writer_and_is_counted():
    """Guards against a full pipe that stops the loop of a host."""
    log, _ = _blocked_log(30_000)
    assert log.dropped > 0


def test_failures_are_kept_when_successes_alone_fill_the_buffer():
    """Guards against losing just the lines that explain a failure."""
    log, read_end = _blocked_log(6_000)
    content = b''
    os.set_blocking(read_end, False)
    while True:
        log.flush()
        try:
            content += os.read(read_end, 1 << 20)
        except BlockingIOError:
            break
    assert log.dropped > 0
    assert content.decode().count('WARNING event-') == 6_000 / 4


@pytest.mark.parametrize('name', ['missing.log', '.'])
def test_a_file_that_cannot_be_read_is_named(name, tmp_path, capsys):
    """Guards against a traceback in place of the file's name."""
    path = tmp_path / name
    assert main(['explain', 'a1', str(path)]) == 2
    assert str(path) in capsys.readouterr().err


def test_damaged_lines_are_passed_over(tmp_path, capsys):
    """Guards against one damaged line that hides all others."""
    path = tmp_path / 'host.log'
    path.write_bytes(
        b'time="2026-01-01 10:00:00,5" event=send-ended id=a1 detail="\\x"\n'
        b'\x00\xff\xfe=\n'
        b'time="2026-01-01 10:00:01,5" event=request-ended id=a1 status=502\n'
    )
    assert main(['explain', 'a1', str(path)]) == 0
    printed = capsys.readouterr().out
    assert 'status=502' in printed
    assert 'send-ended' in printed
