"""Accepts bundles whole or not at all, and serves their chunks."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final, NamedTuple

from msgspec import ValidationError, convert
from result import Err, Ok, Result

from oleanderridge.config.chunks import CHUNK_LIMIT_BYTES, digest_of, join
from oleanderridge.config.document import decode
from oleanderridge.config.signing import manifest_digest, verify
from oleanderridge.findings import format_finding
from oleanderridge.generated.bundle import BundleDocument
from oleanderridge.generated.messages import Manifest

# The largest bundle of the two-year scale is about 20 MB; the limit leaves
# room for growth and keeps a faulty manifest from filling the memory.
BUNDLE_LIMIT_BYTES: Final = 48_000_000
CONFLICTS_KEPT: Final = 16
_FINDINGS_SHOWN: Final = 5


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

    def __init__(self, manifest: Manifest, digest: str) -> None:
        self.manifest = manifest
        self.digest = digest
        self.size_by_digest = {
            entry['digest']: entry['size'] for entry in manifest['chunks']
        }
        self.content_by_digest: dict[str, bytes] = {}

    def missing(self) -> tuple[str, ...]:
        return tuple(
            digest
            for digest in self.size_by_digest
            if digest not in self.content_by_digest
        )


class BundleStore:
    """Holds the accepted bundle and at most one that is being fetched.

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
        self._pending: _Pending | None = None
        self._refused_digest = ''

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
        checked = _check_manifest(manifest, self._trusted)
        if checked.is_err():
            return Offer('invalid', checked.unwrap_err(), ())
        digest = checked.unwrap()
        refusal = self._refusal(manifest, digest)
        if refusal is not None:
            return refusal
        if self._pending is None or self._pending.digest != digest:
            self._pending = self._start(manifest, digest)
        return self._progress(self._pending)

    def _refusal(self, manifest: Manifest, digest: str) -> Offer | None:
        version = manifest['version']
        if self.accepted is not None:
            held = self.accepted.version, self.accepted.digest
            refusal = self._compare(version, digest, held)
            if refusal is not None:
                return refusal
        if self._pending is not None and self._pending.digest != digest:
            held = self._pending.manifest['version'], self._pending.digest
            refusal = self._compare(version, digest, held)
            if refusal is not None:
                return refusal
        if digest == self._refused_digest:
            return Offer('invalid', f'version {version} was refused before', ())
        return None

    def _compare(
        self, version: int, digest: str, held: tuple[int, str]
    ) -> Offer | None:
        held_version, held_digest = held
        if version > held_version:
            return None
        if version < held_version:
            return Offer('older', f'version {held_version} is known', ())
        if digest == held_digest:
            return Offer('same', f'version {version} is accepted', ())
        message = (
            f'version {version} has digest {held_digest} here and '
            f'{digest} in the offer'
        )
        if message not in self.conflicts:
            self.conflicts.append(message)
            del self.conflicts[:-CONFLICTS_KEPT]
        return Offer('conflict', message, ())

    def _start(self, manifest: Manifest, digest: str) -> _Pending:
        at_hand: dict[str, bytes] = {}
        if self._pending is not None:
            at_hand.update(self._pending.content_by_digest)
        if self.accepted is not None:
            at_hand.update(self.accepted.content_by_digest)
        pending = _Pending(manifest, digest)
        for chunk_digest, size in pending.size_by_digest.items():
            content = at_hand.get(chunk_digest)
            if content is not None and len(content) == size:
                pending.content_by_digest[chunk_digest] = content
        return pending

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
            ``accepted`` when it completes the bundle, ``wanted`` while
            others are missing, ``unrelated`` when nothing needs it.
        """
        pending = self._pending
        if pending is None or digest not in pending.size_by_digest:
            return Offer('unrelated', f'chunk {digest[:64]} is not wanted', ())
        if digest not in pending.content_by_digest:
            size = pending.size_by_digest[digest]
            if len(content) != size or digest_of(content) != digest:
                return Offer(
                    'invalid',
                    f'chunk {digest} has other content',
                    pending.missing(),
                )
            pending.content_by_digest[digest] = content
        return self._progress(pending)

    def _progress(self, pending: _Pending) -> Offer:
        missing = pending.missing()
        version = pending.manifest['version']
        if missing:
            message = f'version {version} needs {len(missing)} chunks'
            return Offer('wanted', message, missing)
        self._pending = None
        bundle = _build(pending)
        if bundle.is_err():
            self._refused_digest = pending.digest
            return Offer('invalid', bundle.unwrap_err(), ())
        if self.accepted is not None:
            self.previous[self.accepted.version] = self.accepted
        self.accepted = bundle.unwrap()
        return Offer('accepted', f'version {version} is accepted', ())

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


def _check_manifest(
    manifest: Manifest, trusted: Collection[str]
) -> Result[str, str]:
    try:
        convert(manifest, Manifest)
    except ValidationError as error:
        return Err(f'manifest: {error}')
    total = 0
    for entry in manifest['chunks']:
        if not 0 < entry['size'] <= CHUNK_LIMIT_BYTES:
            return Err(f'manifest: a chunk of {entry["size"]} bytes')
        total += entry['size']
    if total > BUNDLE_LIMIT_BYTES:
        return Err(f'manifest: {total} bytes in chunks')
    verified = verify(manifest, trusted)
    if verified.is_err():
        return Err(verified.unwrap_err())
    return Ok(manifest_digest(manifest))


def _build(pending: _Pending) -> Result[AcceptedBundle, str]:
    manifest = pending.manifest
    joined = join(manifest, pending.content_by_digest)
    if joined.is_err():
        return Err(joined.unwrap_err())
    decoded = decode(joined.unwrap())
    if decoded.is_err():
        findings = decoded.unwrap_err()
        shown = '; '.join(map(format_finding, findings[:_FINDINGS_SHOWN]))
        return Err(f'{len(findings)} findings: {shown}')
    document = decoded.unwrap()
    for field in ('version', 'parent'):
        if document[field] != manifest[field]:  # type: ignore[literal-required]
            return Err(f'document and manifest differ in {field}')
    return Ok(
        AcceptedBundle(
            version=manifest['version'],
            digest=pending.digest,
            document=document,
            manifest=manifest,
            content_by_digest=pending.content_by_digest,
        )
    )
