"""Accepts bundles whole or not at all, and serves their chunks."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Any, Final, NamedTuple

from msgspec import ValidationError, convert
from result import Err, Ok, Result

from oleanderridge.config.assembly import Assembly, EntriesByChunk, assemble
from oleanderridge.config.chunks import (
    CHUNK_LIMIT_BYTES,
    digest_of,
    index_entries,
    is_index,
)
from oleanderridge.config.signing import manifest_digest, verify
from oleanderridge.generated.bundle import BundleDocument
from oleanderridge.generated.messages import ChunkEntry, Manifest

# A bundle of the two-year scale has about 18 MB; the limits leave room for
# growth and keep a faulty manifest from filling the memory.
BUNDLE_LIMIT_BYTES: Final = 32_000_000
CHUNKS_MAX: Final = 10_000
CONFLICTS_KEPT: Final = 16
REFUSED_KEPT: Final = 16
# Earlier documents share all unchanged entries with the accepted one; at
# 88,000 workspaces each still costs about 1 MB.
PREVIOUS_MAX: Final = 16


class AcceptedBundle(NamedTuple):
    """A bundle that was in force; whole and valid."""

    version: int
    digest: str
    document: BundleDocument
    manifest: Manifest
    content_by_digest: Mapping[str, bytes]


class Offer(NamedTuple):
    """What became of an offered manifest or chunk.

    ``status`` is ``accepted``, ``wanted`` (``missing`` names the chunks
    that are still needed), ``older``, ``same``, ``conflict``, ``invalid``
    or ``unrelated``.
    """

    status: str
    message: str
    missing: tuple[str, ...]


class _Pending:
    """A verified manifest whose chunks are being collected."""

    def __init__(
        self, manifest: Manifest, digest: str, at_hand: Mapping[str, bytes]
    ) -> None:
        self.manifest = manifest
        self.version = manifest['version']
        self.digest = digest
        self.content_by_digest: dict[str, bytes] = {}
        self.missing: dict[str, int] = {}
        self.fault = ''
        self._at_hand = at_hand
        self._bytes = 0
        self._listed = 0
        self._top = {entry['digest'] for entry in manifest['chunks']}
        self._need(manifest['chunks'])

    def _need(self, entries: Iterable[ChunkEntry]) -> None:
        # Entries of an index chunk at hand are appended while the loop runs.
        waiting = list(entries)
        for entry in waiting:
            digest, size = entry['digest'], entry['size']
            # A chunk that is listed twice also counts twice, since the
            # document holds it twice.
            self._bytes += size
            self._listed += 1
            self.fault = self.fault or self._limit_fault(size)
            if self.fault:
                return
            if digest in self.content_by_digest or digest in self.missing:
                continue
            content = self._at_hand.get(digest)
            if content is None or len(content) != size:
                self.missing[digest] = size
            else:
                waiting.extend(self._take(digest, content))

    def _take(self, digest: str, content: bytes) -> list[ChunkEntry]:
        """Keep a chunk; return what it lists if it is an index."""
        self.content_by_digest[digest] = content
        if digest not in self._top or not is_index(content):
            return []
        listed = index_entries(content)
        self.fault = self.fault or listed.err() or ''
        return listed.unwrap_or([])

    def _limit_fault(self, size: int) -> str:
        if not 0 < size <= CHUNK_LIMIT_BYTES:
            return f'a chunk of {size} bytes'
        if self._bytes > BUNDLE_LIMIT_BYTES:
            return f'more than {BUNDLE_LIMIT_BYTES} bytes in chunks'
        if self._listed > CHUNKS_MAX:
            return f'more than {CHUNKS_MAX} chunks'
        return ''

    def add(self, digest: str, content: bytes) -> bool:
        if len(content) != self.missing[digest]:
            return False
        self.missing.pop(digest)
        self._need(self._take(digest, content))
        return True

    def collected(self) -> bool:
        return bool(self.fault) or not self.missing

    def offer(self) -> Offer:
        message = f'version {self.version} needs {len(self.missing)} chunks'
        return Offer('wanted', message, tuple(self.missing))


class BundleStore:
    """Holds the accepted bundle and at most two that are being fetched.

    The two are the newest and the one that was offered last: when the
    chunks of the newest cannot be had, for instance since the platform has
    failed in between, a lower version that the peers hold is accepted
    meanwhile.

    Parameters
    ----------
    trusted_keys : collection of str
        Public keys in hex whose signatures count.
    """

    def __init__(self, trusted_keys: Collection[str]) -> None:
        self.accepted: AcceptedBundle | None = None
        self.previous: dict[int, AcceptedBundle] = {}
        self.conflicts: list[str] = []
        self._trusted = frozenset(trusted_keys)
        self._pending: tuple[_Pending, ...] = ()
        self._entries: EntriesByChunk = {}
        self._refused: list[str] = []

    def offer_manifest(self, manifest: Manifest) -> Offer:
        """Take in a manifest from the platform or a peer.

        Parameters
        ----------
        manifest : Manifest
            Not trusted; every field is checked.

        Returns
        -------
        Offer
            ``wanted`` with the chunks to fetch, unless it is refused or
            completed from chunks at hand.
        """
        checked = _checked_manifest(manifest, self._trusted)
        if checked.is_err():
            return Offer('invalid', checked.unwrap_err(), ())
        typed = checked.unwrap()
        digest = manifest_digest(typed)
        refusal = self._refusal(typed['version'], digest)
        if refusal is not None:
            return refusal
        pending = self._pending_for(typed, digest)
        if pending.collected():
            return self._complete(pending)
        return pending.offer()

    def offer_chunk(self, digest: str, content: bytes) -> Offer:
        """Take in a chunk from the platform or a peer.

        Parameters
        ----------
        digest : str
            Digest under which the chunk was asked for.
        content : bytes
            Not trusted; its digest is computed.

        Returns
        -------
        Offer
            ``accepted`` when it completes a bundle, ``wanted`` while
            others are missing, ``unrelated`` when nothing needs it. After
            an index chunk more chunks are missing than before.
        """
        wanting = [
            pending for pending in self._pending if digest in pending.missing
        ]
        if not wanting:
            return Offer('unrelated', f'chunk {digest[:64]} is not wanted', ())
        whole = digest_of(content) == digest
        takers = [
            pending
            for pending in wanting
            if whole and pending.add(digest, content)
        ]
        if not takers:
            message = f'chunk {digest} has other content'
            return Offer('invalid', message, tuple(wanting[0].missing))
        # The newest comes first; when it turns out to be invalid, the same
        # chunk may have completed the other one.
        offer = takers[0].offer()
        for pending in takers:
            if pending.collected() and offer.status != 'accepted':
                offer = self._complete(pending)
        return offer

    def _refusal(self, version: int, digest: str) -> Offer | None:
        if digest in self._refused:
            return Offer('invalid', f'version {version} was refused before', ())
        for pending in self._pending:
            if pending.version == version and pending.digest != digest:
                self._note_conflict(version, pending.digest, digest)
        held = self.accepted
        if held is None or version > held.version:
            return None
        if version < held.version:
            return Offer('older', f'version {held.version} is accepted', ())
        if digest == held.digest:
            return Offer('same', f'version {version} is accepted', ())
        message = self._note_conflict(version, held.digest, digest)
        return Offer('conflict', message, ())

    def _note_conflict(self, version: int, held: str, offered: str) -> str:
        message = (
            f'version {version} has digest {held} here and {offered} in '
            'an offer'
        )
        if message not in self.conflicts:
            self.conflicts.append(message)
            del self.conflicts[:-CONFLICTS_KEPT]
        return message

    def _pending_for(self, manifest: Manifest, digest: str) -> _Pending:
        for known in self._pending:
            if known.digest == digest:
                return known
        at_hand: dict[str, bytes] = {}
        for pending in self._pending:
            at_hand.update(pending.content_by_digest)
        if self.accepted is not None:
            at_hand.update(self.accepted.content_by_digest)
        offered = _Pending(manifest, digest, at_hand)
        newest = max((*self._pending, offered), key=_version_of)
        if newest is offered:
            self._pending = (offered, *self._pending[-1:])
        else:
            self._pending = (newest, offered)
        return offered

    def _complete(self, pending: _Pending) -> Offer:
        assembled: Result[Assembly, str] = Err(pending.fault)
        if not pending.fault:
            assembled = assemble(
                pending.manifest, pending.content_by_digest, self._entries
            )
        if assembled.is_err():
            self._refused.append(pending.digest)
            del self._refused[:-REFUSED_KEPT]
            self._pending = tuple(
                other for other in self._pending if other is not pending
            )
            return Offer('invalid', assembled.unwrap_err(), ())
        self._swap(pending, assembled.unwrap())
        return Offer('accepted', f'version {pending.version} is accepted', ())

    def _swap(self, pending: _Pending, assembly: Assembly) -> None:
        if self.accepted is not None:
            self._keep_previous(self.accepted)
        self.accepted = AcceptedBundle(
            version=pending.version,
            digest=pending.digest,
            document=assembly.document,
            manifest=pending.manifest,
            content_by_digest=pending.content_by_digest,
        )
        self._entries = assembly.entries_by_chunk
        self._pending = tuple(
            other for other in self._pending if other.version > pending.version
        )

    def _keep_previous(self, bundle: AcceptedBundle) -> None:
        # Peers are served from the accepted bundle only.
        self.previous[bundle.version] = bundle._replace(content_by_digest={})
        distinct = {id(kept.document) for kept in self.previous.values()}
        if len(distinct) > PREVIOUS_MAX:
            self._merge_oldest()

    def _merge_oldest(self) -> None:
        kept = sorted(self.previous.values(), key=_version_of)
        oldest = kept[0].document
        second = next(
            bundle.document for bundle in kept if bundle.document is not oldest
        )
        merged = _common(oldest, second)
        for bundle in kept:
            if bundle.document is oldest or bundle.document is second:
                self.previous[bundle.version] = bundle._replace(document=merged)

    def chunk(self, digest: str) -> bytes | None:
        """Return a chunk of the accepted bundle for a peer.

        Parameters
        ----------
        digest : str
            Digest of the chunk.

        Returns
        -------
        bytes or None
            None when the accepted bundle has no such chunk.
        """
        if self.accepted is None:
            return None
        return self.accepted.content_by_digest.get(digest)

    def forget_previous(self, keep: Collection[int]) -> None:
        """Drop earlier bundles that no share depends on any more.

        Parameters
        ----------
        keep : collection of int
            Versions that are still unsettled.
        """
        self.previous = {
            version: bundle
            for version, bundle in self.previous.items()
            if version in keep
        }


def _version_of(versioned: Any) -> int:
    version: int = versioned.version
    return version


def _common(older: BundleDocument, newer: BundleDocument) -> BundleDocument:
    """Return a document whose shares are no larger than in either one.

    A workspace that differs is left out: it then has no share until both
    versions have settled. The version is the negative of the newer one, so
    that nobody takes the result for a document of that version.
    """
    newer_by_name = {
        workspace['name']: workspace for workspace in newer['workspaces']
    }
    workspaces = [
        workspace
        for workspace in older['workspaces']
        if newer_by_name.get(workspace['name']) == workspace
    ]
    version = -abs(newer['version'])
    return {**newer, 'version': version, 'workspaces': workspaces}


def _checked_manifest(
    manifest: Manifest, trusted: Collection[str]
) -> Result[Manifest, str]:
    try:
        typed = convert(manifest, Manifest)
    except ValidationError as error:
        return Err(f'manifest: {error}')
    if typed['version'] < 1:
        return Err(f'manifest: version {typed["version"]}')
    if not typed['chunks']:
        return Err('manifest: no chunks')
    verified = verify(typed, trusted)
    if verified.is_err():
        return Err(verified.unwrap_err())
    return Ok(typed)
