"""Splits canonical documents into content-addressed chunks."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from hashlib import sha256
from typing import Final
from zlib import crc32

from result import Err, Ok, Result

from oleanderridge.generated.messages import Manifest

# The platform stores values of up to 1 MB.
CHUNK_LIMIT_BYTES: Final = 960_000

# A chunk ends after a line whose checksum is a multiple of the divisor, so
# that a changed line changes one chunk only, wherever the others move to.
# About 200 bytes a line make chunks of 25 KB: the manifest of a 20 MB bundle
# then lists 800 chunks, and a change costs one chunk besides it.
_LINES_PER_CHUNK: Final = 128
_SOFT_LIMIT_BYTES: Final = 131_072


def digest_of(content: bytes) -> str:
    """Return the digest under which a chunk is stored.

    Parameters
    ----------
    content : bytes
        The chunk.

    Returns
    -------
    str
        SHA-256 in hex.
    """
    return sha256(content).hexdigest()


def _pieces(content: bytes) -> Iterator[bytes]:
    piece: list[bytes] = []
    size = 0
    for line in content.splitlines(keepends=True):
        entry = line.startswith(b'{"') and not line.endswith(b'[\n')
        if piece and (not entry or size + len(line) > _SOFT_LIMIT_BYTES):
            yield b''.join(piece)
            piece, size = [], 0
        piece.append(line)
        size += len(line)
        if not entry or not crc32(line) % _LINES_PER_CHUNK:
            yield b''.join(piece)
            piece, size = [], 0
    if piece:
        yield b''.join(piece)


def _bounded(piece: bytes) -> Iterator[bytes]:
    for start in range(0, len(piece), CHUNK_LIMIT_BYTES):
        yield piece[start : start + CHUNK_LIMIT_BYTES]


def split(content: bytes) -> dict[str, bytes]:
    """Return the chunks of a canonical document.

    Parameters
    ----------
    content : bytes
        The document.

    Returns
    -------
    dict of str to bytes
        Content by digest, in order; joined they are the document.

    Raises
    ------
    ValueError
        The content, which is then no document, has too many equal parts.
    """
    chunks: dict[str, bytes] = {}
    for piece in _pieces(content):
        for part in _bounded(piece):
            _append(chunks, part)
    return chunks


def _append(chunks: dict[str, bytes], part: bytes) -> None:
    # A mapping holds equal chunks once, so a part that repeats an earlier
    # one is joined to its predecessor, or cut in two when that is too long.
    if digest_of(part) not in chunks:
        chunks[digest_of(part)] = part
        return
    last = next(reversed(chunks))
    if len(chunks[last]) + len(part) <= CHUNK_LIMIT_BYTES:
        _append(chunks, chunks.pop(last) + part)
        return
    for cut in range(len(part) - 1, 0, -1):
        halves = {digest_of(half): half for half in (part[:cut], part[cut:])}
        if len(halves) > 1 and chunks.keys().isdisjoint(halves):
            chunks.update(halves)
            return
    raise ValueError('the content repeats itself and cannot be split')


def join(
    manifest: Manifest, content_by_digest: Mapping[str, bytes]
) -> Result[bytes, str]:
    """Return the document that the chunks of a manifest make up.

    Parameters
    ----------
    manifest : Manifest
        Names the chunks in order.
    content_by_digest : mapping of str to bytes
        Chunks; others than the manifest's are ignored.

    Returns
    -------
    Result of bytes, str
        The document; or which chunk is absent or has other content.
    """
    parts = []
    for entry in manifest['chunks']:
        part = content_by_digest.get(entry['digest'])
        if part is None:
            return Err(f'chunk {entry["digest"]} is missing')
        if len(part) != entry['size'] or digest_of(part) != entry['digest']:
            return Err(f'chunk {entry["digest"]} has other content')
        parts.append(part)
    return Ok(b''.join(parts))
