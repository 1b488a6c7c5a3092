"""Steps for the bundle commands and for acceptance on a host."""

import json
import shlex
import tempfile
from argparse import ArgumentParser
from contextlib import chdir, redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path

from behave import given, then, when

from oleanderridge.commands import bundle, check
from oleanderridge.config.builds import read_build
from oleanderridge.config.store import BundleStore

_SOURCE = """\
version: {version}
workspaces:
  - {{name: mill, rate: 5, burst: 4, key_hashes: []}}
services:
  - {{name: sett, targets: [{{name: t1, url: 'http://127.0.0.1:9'}}]}}
routes:
  - {{prefix: /sett, service: sett}}
parent: ''
"""


@given('an empty directory')
def given_directory(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)


@given('a bundle source "{name}" with version {version:d}')
def given_source(context, name, version):
    text = _SOURCE.format(version=version)
    (context.folder / name).write_text(text, encoding='utf-8')


def _replace(context, name, old, new):
    path = context.folder / name
    text = path.read_text(encoding='utf-8')
    assert old in text, text
    path.write_text(text.replace(old, new), encoding='utf-8')


@given('"{name}" has a route to service "{service}"')
def given_dangling_route(context, name, service):
    _replace(context, name, 'service: sett', f'service: {service}')


@given('"{name}" has a route to service "{service}" and a negative rate')
def given_two_faults(context, name, service):
    given_dangling_route(context, name, service)
    _replace(context, name, 'rate: 5', 'rate: -5')


@given('"{name}" gives workspace "{workspace}" the rate {rate:d}')
def given_rate(context, name, workspace, rate):
    old = f'name: {workspace}, rate: 5'
    _replace(context, name, old, f'name: {workspace}, rate: {rate}')


@given('a key pair in "{name}"')
def given_keys(context, name):
    run(context, f'bundle keygen {name}')
    context.public = context.output.strip()


@when('I run "{line}"')
def run(context, line):
    parser = ArgumentParser(prog='oleanderridge')
    subparsers = parser.add_subparsers(required=True)
    check.register(subparsers)
    bundle.register(subparsers)
    words = shlex.split(line.replace('PUBLIC', getattr(context, 'public', '')))
    output, errors = StringIO(), StringIO()
    with (
        chdir(context.folder),
        redirect_stdout(output),
        redirect_stderr(errors),
    ):
        options = parser.parse_args(words)
        context.status = options.run(options)
    context.output, context.errors = output.getvalue(), errors.getvalue()


@when('a byte of a chunk of "{name}" changes')
def when_chunk_changes(context, name):
    chunk = min((context.folder / name / 'chunks').iterdir())
    content = chunk.read_bytes()
    chunk.write_bytes(bytes([content[0] ^ 1]) + content[1:])


@when('I publish "{source}" as "{name}"')
def when_published(context, source, name):
    for line in (
        f'bundle build {source} --output {name}',
        f'bundle sign {name} --secret operator.key',
    ):
        run(context, line)
        assert context.status == 0, context.errors


@when('a host accepts "{name}"')
def when_accepted(context, name):
    context.store = BundleStore([context.public])
    when_received(context, name)
    assert context.store.accepted is not None


@when('the host receives "{name}"')
def when_received(context, name):
    _receive(context, name, 0)


@when('the host receives "{name}" without its last chunk')
def when_partly_received(context, name):
    _receive(context, name, 1)


def _receive(context, name, lost):
    build = read_build(context.folder / name).unwrap()
    missing = context.store.offer_manifest(build.manifest).missing
    for digest in missing[: len(missing) - lost]:
        context.store.offer_chunk(digest, build.content_by_digest[digest])


@then('the host holds version {version:d} with rate {rate:d} for "{workspace}"')
def then_held(context, version, rate, workspace):
    accepted = context.store.accepted
    assert accepted.version == version, accepted.version
    assert accepted.document['version'] == version
    rates = {
        entry['name']: entry['rate']
        for entry in accepted.document['workspaces']
    }
    assert rates[workspace] == rate, rates


@then('the host reports a conflict about version {version:d}')
def then_conflict(context, version):
    (message,) = context.store.conflicts
    assert f'version {version} ' in message, message


@then('a host that trusts the key accepts "{name}" as version {version:d}')
def then_accepts(context, name, version):
    when_accepted(context, name)
    assert context.store.accepted.version == version


@then('the exit status is {status:d}')
def then_status(context, status):
    assert context.status == status, (context.status, context.errors)


@then('standard error mentions "{text}"')
def then_errors(context, text):
    assert text in context.errors, context.errors


@then('standard output mentions "{text}"')
def then_output(context, text):
    assert text in context.output, context.output


@then('the JSON output has "{field}" "{value}"')
def then_json(context, field, value):
    assert json.loads(context.output)[field] == value, context.output


@then('the JSON output has a finding at "{path}" in line {line:d}')
def then_finding(context, path, line):
    findings = json.loads(context.output)
    places = {(finding['path'], finding['line']) for finding in findings}
    assert (path, line) in places, context.output


@then('there is no "{name}"')
def then_absent(context, name):
    assert not (context.folder / name).exists()


@then('only the owner can read "{name}"')
def then_private(context, name):
    mode = (context.folder / name).stat().st_mode
    assert mode & 0o077 == 0, oct(mode)
