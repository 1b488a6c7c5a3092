"""Assembles a document from chunks and reuses what is already decoded."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final, NamedTuple, cast

from result import Err, Ok, Result

from oleanderridge.config.chunks import join, leaves
from oleanderridge.config.document import (
    SECTION_LINES,
    SECTIONS,
    decode,
    decode_entries,
    head_line,
)
from oleanderridge.config.rules import additions_hold
from oleanderridge.findings import format_finding
from oleanderridge.generated.bundle import BundleDocument
from oleanderridge.generated.messages import Manifest

# The entries of a chunk by section and digest.
EntriesByChunk = dict[tuple[str, str], list[Any]]

_FINDINGS_SHOWN: Final = 5
_COMMA: Final = b',\n'


class Assembly(NamedTuple):
    """A valid document and the entries that its chunks hold."""

    document: BundleDocument
    entries_by_chunk: EntriesByChunk


def assemble(
    manifest: Manifest,
    content_by_digest: Mapping[str, bytes],
    known: EntriesByChunk,
) -> Result[Assembly, str]:
    """Return the document of a manifest whose chunks are all present.

    Chunks that ``known`` covers are neither decoded nor checked again, and
    their entries are shared between documents.

    Parameters
    ----------
    manifest : Manifest
        A verified manifest.
    content_by_digest : mapping of str to bytes
        All its chunks, with digests checked.
    known : dict
        Entries of an earlier assembly.

    Returns
    -------
    Result of Assembly, str
        The document; or what is wrong with it.
    """
    assembly = _from_chunks(manifest, content_by_digest, known)
    if assembly is not None:
        return Ok(assembly)
    # Either something is wrong, which a look at the whole document explains,
    # or another builder has split the document in other places.
    joined = join(manifest, content_by_digest)
    if joined.is_err():
        return Err(joined.unwrap_err())
    decoded = decode(joined.unwrap())
    if decoded.is_err():
        findings = decoded.unwrap_err()
        shown = '; '.join(map(format_finding, findings[:_FINDINGS_SHOWN]))
        return Err(f'{len(findings)} findings: {shown}')
    document = decoded.unwrap()
    for field in ('version', 'parent'):
        if cast(Any, document)[field] != cast(Any, manifest)[field]:
            return Err(f'document and manifest differ in {field}')
    return Ok(Assembly(document, {}))


def _from_chunks(
    manifest: Manifest,
    content_by_digest: Mapping[str, bytes],
    known: EntriesByChunk,
) -> Assembly | None:
    chunks = _chunks_by_section(manifest, content_by_digest)
    # A repeated chunk repeats its entries.
    if chunks is None or len(set(chunks)) != len(chunks):
        return None
    entries_by_chunk: EntriesByChunk = {}
    kept: dict[str, list[Any]] = {section: [] for section in SECTIONS}
    added: dict[str, list[Any]] = {section: [] for section in SECTIONS}
    document: dict[str, Any] = {
        'version': manifest['version'],
        'parent': manifest['parent'],
        **{section: [] for section in SECTIONS},
    }
    for chunk in chunks:
        section, digest = chunk
        entries = known.get(chunk)
        group = added if entries is None else kept
        if entries is None:
            lines = _lines(content_by_digest[digest])
            entries = decode_entries(section, lines)
        if not entries:
            return None
        entries_by_chunk[chunk] = entries
        group[section].extend(entries)
        document[section].extend(entries)
    if not additions_hold(kept, added):
        return None
    return Assembly(cast(BundleDocument, document), entries_by_chunk)


def _lines(content: bytes) -> bytes:
    return content.removesuffix(b'\n').removesuffix(b',')


def _chunks_by_section(
    manifest: Manifest, content_by_digest: Mapping[str, bytes]
) -> list[tuple[str, str]] | None:
    listed = leaves(manifest['chunks'], content_by_digest)
    digests = [entry['digest'] for entry in listed.unwrap_or([])]
    head = head_line(manifest['version'], manifest['parent'])
    if not digests or content_by_digest[digests[0]] != head:
        return None
    chunks: list[tuple[str, str]] = []
    start = 1
    for section, closing in zip(SECTIONS, SECTION_LINES[1:], strict=True):
        end = start
        while end < len(digests) and content_by_digest[digests[end]] != closing:
            end += 1
        group = digests[start:end]
        if end == len(digests) or not _commas_fit(group, content_by_digest):
            return None
        chunks.extend((section, digest) for digest in group)
        start = end + 1
    return chunks if start == len(digests) else None


def _commas_fit(
    digests: list[str], content_by_digest: Mapping[str, bytes]
) -> bool:
    if digests and content_by_digest[digests[-1]].endswith(_COMMA):
        return False
    return all(
        content_by_digest[digest].endswith(_COMMA) for digest in digests[:-1]
    )
