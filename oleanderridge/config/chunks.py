"""Splits canonical documents into content-addressed chunks."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from hashlib import sha256
from re import compile as compile_pattern
from typing import Final
from zlib import crc32

from result import Err, Ok, Result

from oleanderridge.generated.messages import ChunkEntry, Manifest

# The platform stores values of up to 1 MB.
CHUNK_LIMIT_BYTES: Final = 960_000

# A chunk ends after a line whose checksum is a multiple of the divisor, so
# that a changed line changes one chunk only, wherever the others move to.
# With at least 16 lines and 16 more on average, about 6 KB, a change in a
# bundle of 88,000 workspaces costs a host about 16 KB.
_LINES_AT_LEAST: Final = 16
_LINES_DIVISOR: Final = 16
_SOFT_LIMIT_BYTES: Final = 131_072

# A manifest of more chunks than these lists index chunks instead, which list
# the others: otherwise each change would cost a manifest with all digests.
_FLAT_MAX: Final = 64
_INDEX_MARK: Final = b'index\n'
_INDEXED_AT_LEAST: Final = 24
_INDEXED_DIVISOR: Final = 24
_INDEX_LINE: Final = compile_pattern(rb'([0-9a-f]{64}) ([1-9][0-9]{0,8})')


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
        # Any other line opens or closes a section.
        is_entry = line.startswith(b'{"') and not line.endswith(b'[\n')
        if piece and (not is_entry or size + len(line) > _SOFT_LIMIT_BYTES):
            yield b''.join(piece)
            piece, size = [], 0
        piece.append(line)
        size += len(line)
        if not is_entry or _ends(len(piece), line):
            yield b''.join(piece)
            piece, size = [], 0
    if piece:
        yield b''.join(piece)


def _ends(lines: int, line: bytes) -> bool:
    return lines >= _LINES_AT_LEAST and not crc32(line) % _LINES_DIVISOR


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
        Content by digest, in order, followed by index chunks if there are
        many. A manifest names the ``top_level`` chunks only.

    Raises
    ------
    ValueError
        The content, which is then no document, has too many equal parts or
        looks like an index chunk.
    """
    chunks: dict[str, bytes] = {}
    for piece in _pieces(content):
        for part in _bounded(piece):
            _append(chunks, part)
    if any(map(is_index, chunks.values())):
        raise ValueError('the content looks like an index chunk')
    if len(chunks) > _FLAT_MAX:
        chunks.update({digest_of(index): index for index in _indexes(chunks)})
    return chunks


def _indexes(chunks: Mapping[str, bytes]) -> Iterator[bytes]:
    lines: list[bytes] = []
    for digest, content in chunks.items():
        lines.append(b'%s %d\n' % (digest.encode(), len(content)))
        long_enough = len(lines) >= _INDEXED_AT_LEAST
        if long_enough and not int(digest[:8], 16) % _INDEXED_DIVISOR:
            yield _INDEX_MARK + b''.join(lines)
            lines = []
    if lines:
        yield _INDEX_MARK + b''.join(lines)


def is_index(content: bytes) -> bool:
    """Tell whether a chunk lists other chunks.

    Parameters
    ----------
    content : bytes
        A chunk that a manifest names; the chunks that an index lists are
        never indexes themselves.

    Returns
    -------
    bool
        False for a part of the document.
    """
    return content.startswith(_INDEX_MARK)


def index_entries(content: bytes) -> Result[list[ChunkEntry], str]:
    """Return the chunks that an index chunk lists.

    Parameters
    ----------
    content : bytes
        An index chunk.

    Returns
    -------
    Result of list of ChunkEntry, str
        Digest and size of each in order; or which line is malformed.
    """
    entries: list[ChunkEntry] = []
    lines = content.removeprefix(_INDEX_MARK).splitlines()
    for number, line in enumerate(lines, start=2):
        found = _INDEX_LINE.fullmatch(line)
        if found is None:
            return Err(f'line {number} of an index chunk is malformed')
        entries.append({'digest': found[1].decode(), 'size': int(found[2])})
    return Ok(entries)


def top_level(chunks: Mapping[str, bytes]) -> list[ChunkEntry]:
    """Return what a manifest lists.

    Parameters
    ----------
    chunks : mapping of str to bytes
        Content by digest, as ``split`` returns it.

    Returns
    -------
    list of ChunkEntry
        The index chunks; all chunks when there is no index.
    """
    listed = [item for item in chunks.items() if is_index(item[1])]
    return [
        {'digest': digest, 'size': len(content)}
        for digest, content in listed or chunks.items()
    ]


def leaves(
    entries: Iterable[ChunkEntry], content_by_digest: Mapping[str, bytes]
) -> Result[list[ChunkEntry], str]:
    """Return the chunks that make up the document.

    Parameters
    ----------
    entries : iterable of ChunkEntry
        The chunks that a manifest names.
    content_by_digest : mapping of str to bytes
        Chunks, at least all index chunks among the entries.

    Returns
    -------
    Result of list of ChunkEntry, str
        Digest and size of each in order; or which index chunk is malformed.
    """
    found: list[ChunkEntry] = []
    for entry in entries:
        content = content_by_digest.get(entry['digest'], b'')
        if not is_index(content):
            found.append(entry)
            continue
        listed = index_entries(content)
        if listed.is_err():
            return Err(f'chunk {entry["digest"]}: {listed.unwrap_err()}')
        found.extend(listed.unwrap())
    return Ok(found)


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
    top = manifest['chunks']
    listed = leaves(top, content_by_digest)
    if listed.is_err():
        return Err(listed.unwrap_err())
    entries = listed.unwrap()
    for entry in (*top, *entries):
        digest = entry['digest']
        part = content_by_digest.get(digest)
        if part is None:
            return Err(f'chunk {digest} is missing')
        if len(part) != entry['size'] or digest_of(part) != digest:
            return Err(f'chunk {digest} has other content')
    digests = (leaf['digest'] for leaf in entries)
    return Ok(b''.join(map(content_by_digest.__getitem__, digests)))
