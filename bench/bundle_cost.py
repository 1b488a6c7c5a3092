"""Measures what bundles of several sizes cost to check, accept and change.

Run with ``python -m bench.bundle_cost [SIZE ...]``; prints one line per
size. Times are CPU seconds of one process that does nothing else; memory is
resident memory above that of the empty process.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from copy import deepcopy
from hashlib import sha256
from itertools import count
from multiprocessing import get_context
from pathlib import Path
from tempfile import TemporaryDirectory
from time import process_time
from typing import Any, Final, NamedTuple

from msgspec.json import decode as parse_json
from msgspec.msgpack import encode

from oleanderridge.config.builds import (
    Build,
    make_build,
    write_build,
    write_manifest,
)
from oleanderridge.config.document import validate
from oleanderridge.config.signing import generate_keypair, sign_entries
from oleanderridge.config.store import BundleStore
from oleanderridge.generated.bundle import BundleDocument

SIZES: Final = (1000, 10000, 88000)

# The proportions of the two-year scale: 88,000 workspaces, 770 services,
# 22,000 targets, 11,000 routes.
_WORKSPACES_PER_SERVICE: Final = 114
_WORKSPACES_PER_ROUTE: Final = 8
_TARGETS_PER_SERVICE: Final = 28
_MEGABYTE: Final = 1_000_000


class Cost(NamedTuple):
    """Costs of one size; seconds of CPU, bytes and megabytes.

    ``accept`` is the first bundle, ``change`` a second one in which one
    workspace has another rate.
    """

    workspaces: int
    document_bytes: int
    chunks: int
    build_s: float
    validate_s: float
    accept_s: float
    change_accept_s: float
    change_bytes: int
    accepted_mb: float
    changed_mb: float
    peak_mb: float


def make_document(size: int, version: int = 1) -> BundleDocument:
    """Return a document with the proportions of the two-year scale.

    Parameters
    ----------
    size : int
        Number of workspaces.
    version : int
        Version of the document.

    Returns
    -------
    BundleDocument
        The same for the same arguments.
    """
    numbers = range(max(1, size // _WORKSPACES_PER_SERVICE))
    ports = count(1)
    return {
        'version': version,
        'parent': '',
        'workspaces': [
            {
                'name': f'workspace-{number}',
                'rate': 1 + number % 7,
                'burst': 4 + number % 9,
                'key_hashes': [sha256(b'%d' % number).hexdigest()],
            }
            for number in range(size)
        ],
        'services': [
            {
                'name': f'service-{number}',
                'targets': [
                    _target(next(ports)) for _ in range(_TARGETS_PER_SERVICE)
                ],
            }
            for number in numbers
        ],
        'routes': [
            {
                'prefix': f'/api/{number}',
                'service': f'service-{number % len(numbers)}',
            }
            for number in range(size // _WORKSPACES_PER_ROUTE)
        ],
    }


def _target(number: int) -> Any:
    address = f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}'
    return {'name': f'target-{number}', 'url': f'http://{address}:8080'}


def _timed(work: Any, *arguments: Any) -> tuple[float, Any]:
    started = process_time()
    outcome = work(*arguments)
    return process_time() - started, outcome


def _memory_mb(field: str) -> float:
    # VmHWM starts anew with the program; getrusage would also count the
    # process that started this one.
    status = Path('/proc/self/status').read_text(encoding='ascii')
    lines = dict(line.split(':', 1) for line in status.splitlines())
    return int(lines[field].split()[0]) * 1024 / _MEGABYTE


def _write_signed(build: Build, folder: Path, secret: str) -> None:
    write_build(build, folder)
    manifest = build.manifest
    signed = sign_entries(
        manifest['version'], manifest['parent'], manifest['chunks'], secret
    )
    write_manifest(signed, folder)


def _accept(store: BundleStore, folder: Path) -> int:
    """Feed a stored build to a store; return the bytes that it asked for."""
    manifest = parse_json((folder / 'manifest.json').read_bytes())
    fetched = len(encode(manifest))
    offer = store.offer_manifest(manifest)
    while offer.missing:
        for digest in offer.missing:
            content = (folder / 'chunks' / digest).read_bytes()
            fetched += len(content)
            offer = store.offer_chunk(digest, content)
    if offer.status != 'accepted':
        raise ValueError(offer.message)
    return fetched


def _acceptance(public: str, first: Path, second: Path) -> dict[str, Any]:
    empty_mb = _memory_mb('VmRSS')
    store = BundleStore([public])
    accept_s, _ = _timed(_accept, store, first)
    accepted_mb = _memory_mb('VmRSS') - empty_mb
    change_s, change_bytes = _timed(_accept, store, second)
    return {
        'accept_s': accept_s,
        'change_accept_s': change_s,
        'change_bytes': change_bytes,
        'accepted_mb': accepted_mb,
        'changed_mb': _memory_mb('VmRSS') - empty_mb,
        'peak_mb': _memory_mb('VmHWM') - empty_mb,
    }


def measure(size: int) -> Cost:
    """Return the costs of one size.

    Parameters
    ----------
    size : int
        Number of workspaces.

    Returns
    -------
    Cost
        Acceptance is measured in a new process.
    """
    keys = generate_keypair()
    document = make_document(size)
    changed = deepcopy(document)
    changed['version'] = 2
    changed['workspaces'][size // 2]['rate'] += 1
    validate_s, findings = _timed(validate, document, 'bench')
    if findings:
        raise ValueError(findings[0].message)
    build_s, build = _timed(make_build, document)
    with TemporaryDirectory() as folder:
        first, second = Path(folder) / 'first', Path(folder) / 'second'
        _write_signed(build, first, keys.secret)
        _write_signed(make_build(changed), second, keys.secret)
        with ProcessPoolExecutor(1, get_context('spawn')) as pool:
            work = pool.submit(_acceptance, keys.public, first, second)
            acceptance = work.result()
    return Cost(
        workspaces=size,
        document_bytes=sum(map(len, build.content_by_digest.values())),
        chunks=len(build.content_by_digest),
        build_s=build_s,
        validate_s=validate_s,
        **acceptance,
    )


def main(arguments: Sequence[str]) -> None:
    """Print one line of key=value pairs per size.

    Parameters
    ----------
    arguments : sequence of str
        Sizes; empty for the usual three.
    """
    for size in map(int, arguments or SIZES):
        fields = measure(size)._asdict().items()
        print(
            ' '.join(
                f'{name}={value:.4g}'
                if isinstance(value, float)
                else f'{name}={value}'
                for name, value in fields
            ),
            flush=True,
        )


if __name__ == '__main__':
    main(sys.argv[1:])
