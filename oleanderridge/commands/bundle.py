"""The ``bundle`` commands: build, sign, verify and compare bundles."""

from __future__ import annotations

import os
import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from msgspec.json import encode
from result import Err, Ok, Result

from oleanderridge.admission.keys import hash_key
from oleanderridge.commands.output import (
    FINDINGS,
    FINE,
    UNUSABLE,
    add_command,
    finding_fields,
    print_error,
    print_findings,
    print_json,
)
from oleanderridge.config.builds import (
    Build,
    make_build,
    read_build,
    write_build,
    write_manifest,
)
from oleanderridge.config.chunks import join
from oleanderridge.config.diff import Change, diff
from oleanderridge.config.document import decode, parse_source
from oleanderridge.config.signing import (
    generate_keypair,
    manifest_digest,
    sign_entries,
)
from oleanderridge.config.store import BundleStore
from oleanderridge.findings import Finding
from oleanderridge.generated.bundle import BundleDocument
from oleanderridge.settings import load_settings

_BUILD_HELP: Final = 'directory with manifest.json and chunks/'
_JSON_HELP: Final = 'print the outcome as JSON to standard output'

_Run = Callable[[Namespace], int]
_Loaded = Result[BundleDocument, list[Finding]]


def register(subparsers: Any) -> None:
    """Add the command and its subcommands to the program.

    Parameters
    ----------
    subparsers : argparse subparsers action
        Where the command is added.
    """
    parser = add_command(
        subparsers,
        'bundle',
        'Build, sign, verify and compare bundles.',
        'oleanderridge bundle build bundle.yaml --output build-7\n'
        'oleanderridge bundle sign build-7 --secret operator.key\n'
        'oleanderridge bundle verify build-7 --settings host.yaml',
    )
    actions = parser.add_subparsers(
        title='actions', metavar='ACTION', required=True
    )
    _register_keys(actions)
    _register_build(actions)
    _register_sign(actions)
    _register_verify(actions)
    _register_diff(actions)


def _add(
    actions: Any, name: str, run: _Run, summary: str, examples: str
) -> ArgumentParser:
    parser = add_command(actions, name, summary, examples)
    parser.add_argument('--json', action='store_true', help=_JSON_HELP)
    parser.set_defaults(run=_guarded(run))
    return parser


def _guarded(run: _Run) -> _Run:
    def guarded_run(options: Namespace) -> int:
        try:
            return run(options)
        except (OSError, UnicodeDecodeError) as error:
            print_error(str(error))
            return UNUSABLE

    return guarded_run


def _register_keys(actions: Any) -> None:
    keygen = _add(
        actions,
        'keygen',
        _run_keygen,
        'Write a new secret key to a file and print its public key.',
        'oleanderridge bundle keygen operator.key',
    )
    keygen.add_argument('secret', metavar='FILE', help='file to create')
    _add(
        actions,
        'hash-key',
        _run_hash_key,
        'Print the hash of the caller key on standard input.',
        'oleanderridge bundle hash-key < caller.key',
    )


def _register_build(actions: Any) -> None:
    parser = _add(
        actions,
        'build',
        _run_build,
        'Turn a bundle source into an unsigned build.',
        'oleanderridge bundle build bundle.yaml --output build-7\n'
        'oleanderridge bundle build bundle.yaml --output build-8 '
        '--parent build-7',
    )
    parser.add_argument('source', metavar='SOURCE', help='YAML file')
    parser.add_argument(
        '--output', metavar='DIR', required=True, help='new or empty directory'
    )
    parser.add_argument(
        '--parent',
        metavar='DIR',
        help='previous build: sets the parent digest, and the version must '
        'be higher',
    )


def _register_sign(actions: Any) -> None:
    parser = _add(
        actions,
        'sign',
        _run_sign,
        'Check a build and sign its manifest.',
        'oleanderridge bundle sign build-7 --secret operator.key',
    )
    parser.add_argument('build', metavar='DIR', help=_BUILD_HELP)
    parser.add_argument(
        '--secret',
        metavar='FILE',
        required=True,
        help='secret key file that bundle keygen has written',
    )


def _register_verify(actions: Any) -> None:
    parser = _add(
        actions,
        'verify',
        _run_verify,
        'Tell whether hosts would accept a build.',
        'oleanderridge bundle verify build-7 --settings host.yaml\n'
        'oleanderridge bundle verify build-7 --trusted PUBLIC_KEY',
    )
    parser.add_argument('build', metavar='DIR', help=_BUILD_HELP)
    trust = parser.add_mutually_exclusive_group(required=True)
    trust.add_argument(
        '--trusted',
        metavar='PUBLIC_KEY',
        action='append',
        help='public key in hex; repeatable',
    )
    trust.add_argument(
        '--settings', metavar='FILE', help='take the keys from host settings'
    )


def _register_diff(actions: Any) -> None:
    parser = _add(
        actions,
        'diff',
        _run_diff,
        'List changes by workspace, service and route; exit status 1 when '
        'there are any, 2 when an input is invalid.',
        'oleanderridge bundle diff build-7 build-8\n'
        'oleanderridge bundle diff build-7 bundle.yaml --json',
    )
    parser.add_argument('old', metavar='OLD', help='source file or build')
    parser.add_argument('new', metavar='NEW', help='source file or build')


def _run_keygen(options: Namespace) -> int:
    pair = generate_keypair()
    # An existing key is never overwritten, and only the owner can read it.
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    descriptor = os.open(options.secret, flags, 0o600)
    with open(descriptor, 'w', encoding='ascii') as stream:
        stream.write(f'{pair.secret}\n')
    if options.json:
        print_json({'public': pair.public, 'secret_file': options.secret})
    else:
        print(pair.public)
    return FINE


def _run_hash_key(options: Namespace) -> int:
    # From standard input, since other users can read a command line.
    key = sys.stdin.readline().rstrip('\r\n')
    if not key:
        print_error('no key on standard input')
        return UNUSABLE
    key_hash = hash_key(key)
    if options.json:
        print_json({'key_hash': key_hash})
    else:
        print(key_hash)
    return FINE


def _run_build(options: Namespace) -> int:
    loaded = _load(Path(options.source))
    if loaded.is_err():
        return _report(options, loaded.unwrap_err())
    document = loaded.unwrap()
    if options.parent:
        parent = read_build(Path(options.parent))
        if parent.is_err():
            return _fail(options, options.parent, parent.unwrap_err())
        previous = parent.unwrap().manifest
        if document['version'] <= previous['version']:
            return _fail(
                options,
                options.source,
                f'version {document["version"]} must be above '
                f'{previous["version"]} of {options.parent}',
            )
        document['parent'] = manifest_digest(previous)
    build = make_build(document)
    write_build(build, Path(options.output))
    return _describe(options, build, 'built')


def _run_sign(options: Namespace) -> int:
    folder = Path(options.build)
    checked = _checked_build(folder)
    if checked.is_err():
        return _report(options, checked.unwrap_err())
    build = checked.unwrap()
    secret = Path(options.secret).read_text(encoding='ascii').strip()
    manifest = build.manifest
    try:
        signed = sign_entries(
            manifest['version'], manifest['parent'], manifest['chunks'], secret
        )
    except ValueError as error:
        print_error(f'{options.secret}: {error}')
        return UNUSABLE
    write_manifest(signed, folder)
    return _describe(options, Build(signed, build.content_by_digest), 'signed')


def _run_verify(options: Namespace) -> int:
    trusted = options.trusted
    if options.settings:
        settings = load_settings(Path(options.settings))
        if settings.is_err():
            print_findings(settings.unwrap_err())
            return UNUSABLE
        trusted = settings.unwrap()['bundle']['trusted_keys']
    read = read_build(Path(options.build))
    if read.is_err():
        return _fail(options, options.build, read.unwrap_err())
    build = read.unwrap()
    # The same code as on a host decides.
    store = BundleStore(trusted)
    offer = store.offer_manifest(build.manifest)
    while offer.status == 'wanted':
        digest = offer.missing[0]
        offer = store.offer_chunk(digest, build.content_by_digest[digest])
    if store.accepted is None:
        return _fail(options, options.build, offer.message)
    return _describe(options, build, 'valid')


def _run_diff(options: Namespace) -> int:
    old, new = _load(Path(options.old)), _load(Path(options.new))
    findings = [*(old.err() or ()), *(new.err() or ())]
    if findings:
        print_findings(findings)
        return UNUSABLE
    changes = list(diff(old.unwrap(), new.unwrap()))
    if options.json:
        print_json([_change_fields(change) for change in changes])
    else:
        for change in changes:
            _print_change(change)
    return FINDINGS if changes else FINE


def _load(path: Path) -> _Loaded:
    if path.is_dir():
        return _checked_build(path).and_then(_document_of)
    return parse_source(path.read_text(encoding='utf-8'), str(path))


def _document_of(build: Build) -> _Loaded:
    return decode(join(build.manifest, build.content_by_digest).unwrap())


def _checked_build(folder: Path) -> Result[Build, list[Finding]]:
    read = read_build(folder)
    if read.is_err():
        return Err([Finding(str(folder), 0, '', read.unwrap_err())])
    build = read.unwrap()
    decoded = _document_of(build)
    if decoded.is_err():
        return Err(
            [
                finding._replace(source=str(folder))
                for finding in decoded.unwrap_err()
            ]
        )
    document = decoded.unwrap()
    stated = build.manifest['version'], build.manifest['parent']
    if (document['version'], document['parent']) != stated:
        message = 'document and manifest differ in version or parent'
        return Err([Finding(str(folder), 0, '', message)])
    return Ok(build)


def _report(options: Namespace, findings: list[Finding]) -> int:
    if options.json:
        print_json({'findings': finding_fields(findings)})
    else:
        print_findings(findings)
    return FINDINGS


def _fail(options: Namespace, source: str, message: str) -> int:
    return _report(options, [Finding(source, 0, '', message)])


def _describe(options: Namespace, build: Build, outcome: str) -> int:
    manifest = build.manifest
    summary = {
        'outcome': outcome,
        'version': manifest['version'],
        'digest': manifest_digest(manifest),
        'chunks': len(build.content_by_digest),
        'bytes': sum(map(len, build.content_by_digest.values())),
        'signer': manifest['signer'],
    }
    if options.json:
        print_json(summary)
    else:
        print(' '.join(f'{name}={value}' for name, value in summary.items()))
    return FINE


def _change_fields(change: Change) -> dict[str, Any]:
    fields = [field._asdict() for field in change.fields]
    return {**change._asdict(), 'fields': fields}


def _print_change(change: Change) -> None:
    print(f'{change.kind} {change.section} {change.name}')
    for field in change.fields:
        old, new = encode(field.old).decode(), encode(field.new).decode()
        print(f'  {field.field}: {old} -> {new}')
