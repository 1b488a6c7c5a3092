"""Reads and writes built bundles: ``manifest.json`` and ``chunks/``."""

from __future__ import annotations

import os
from collections.abc import Iterable, Mapping
from pathlib import Path
from tempfile import NamedTemporaryFile
from typing import Final, NamedTuple

from msgspec import MsgspecError
from msgspec.json import Decoder, encode
from msgspec.json import format as indent
from result import Err, Ok, Result

from oleanderridge.config.chunks import (
    CHUNK_LIMIT_BYTES,
    digest_of,
    leaves,
    split,
    top_level,
)
from oleanderridge.config.document import canonical
from oleanderridge.generated.bundle import BundleDocument
from oleanderridge.generated.messages import ChunkEntry, Manifest

MANIFEST_NAME: Final = 'manifest.json'
CHUNKS_NAME: Final = 'chunks'

_DECODER: Final = Decoder(Manifest)


class Build(NamedTuple):
    """A manifest and the chunks that it names."""

    manifest: Manifest
    content_by_digest: Mapping[str, bytes]


def make_build(document: BundleDocument) -> Build:
    """Return the unsigned build of a document.

    Parameters
    ----------
    document : BundleDocument
        A valid document.

    Returns
    -------
    Build
        Signer and signature are empty.
    """
    chunks = split(canonical(document))
    manifest: Manifest = {
        'version': document['version'],
        'parent': document['parent'],
        'chunks': top_level(chunks),
        'signer': '',
        'signature': '',
    }
    return Build(manifest, chunks)


def write_build(build: Build, folder: Path) -> None:
    """Write a build to a new directory.

    The manifest is written last, so that a directory with a manifest is
    complete.

    Parameters
    ----------
    build : Build
        What to write.
    folder : Path
        Created when absent.

    Raises
    ------
    OSError
        A file cannot be written, or the directory is not empty.
    """
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise FileExistsError(f'{folder} is not empty')
    chunks = folder / CHUNKS_NAME
    chunks.mkdir()
    for digest, content in build.content_by_digest.items():
        (chunks / digest).write_bytes(content)
    write_manifest(build.manifest, folder)


def write_manifest(manifest: Manifest, folder: Path) -> None:
    """Replace the manifest of a build in one step.

    Parameters
    ----------
    manifest : Manifest
        The new manifest.
    folder : Path
        Directory of the build.

    Raises
    ------
    OSError
        The file cannot be written.
    """
    with NamedTemporaryFile(
        dir=folder, prefix='.manifest', delete=False
    ) as new:
        try:
            new.write(indent(encode(manifest)))
            new.flush()
            os.fsync(new.fileno())
            Path(new.name).chmod(0o644)
            Path(new.name).replace(folder / MANIFEST_NAME)
        except OSError:
            Path(new.name).unlink(missing_ok=True)
            raise


def read_build(folder: Path) -> Result[Build, str]:
    """Return a build as it is stored, with chunk digests checked.

    Parameters
    ----------
    folder : Path
        Directory of the build.

    Returns
    -------
    Result of Build, str
        The build; or which file is malformed, absent or altered.

    Raises
    ------
    OSError
        The manifest or a chunk that exists cannot be read.
    """
    try:
        manifest = _DECODER.decode((folder / MANIFEST_NAME).read_bytes())
    except (MsgspecError, UnicodeDecodeError) as error:
        return Err(f'{folder / MANIFEST_NAME}: {error}')
    contents: dict[str, bytes] = {}
    fault = _read_chunks(folder, manifest['chunks'], contents)
    if fault is None:
        listed = leaves(manifest['chunks'], contents)
        if listed.is_err():
            return Err(f'{folder}: {listed.unwrap_err()}')
        fault = _read_chunks(folder, listed.unwrap(), contents)
    return Ok(Build(manifest, contents)) if fault is None else Err(fault)


def _read_chunks(
    folder: Path, entries: Iterable[ChunkEntry], contents: dict[str, bytes]
) -> str | None:
    for entry in entries:
        digest = entry['digest']
        if digest in contents:
            continue
        # The digest becomes part of a path, so its form is checked first.
        if len(digest) != 64 or not digest.isalnum():
            return f'{folder / MANIFEST_NAME}: {digest!r} is no digest'
        chunk = folder / CHUNKS_NAME / digest
        if not chunk.is_file():
            return f'{chunk}: missing'
        with chunk.open('rb') as stream:
            content = stream.read(CHUNK_LIMIT_BYTES + 1)
        if len(content) != entry['size'] or digest_of(content) != digest:
            return f'{chunk}: other content than the manifest states'
        contents[digest] = content
    return None
