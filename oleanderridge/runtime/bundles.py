"""Fetches bundles from the platform and from peers and puts them in force."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable

from msgspec import DecodeError
from msgspec.json import decode as decode_json
from result import Err, Ok, Result

from oleanderridge.admission.keys import AdmissionIndex, build_index
from oleanderridge.config.relay import should_watch
from oleanderridge.config.store import Offer
from oleanderridge.generated.messages import (
    ChunkPull,
    ChunkPush,
    Manifest,
    ManifestPush,
)
from oleanderridge.runtime.node import Node
from oleanderridge.runtime.peering import Peering
from oleanderridge.runtime.platform import PlatformReader, PlatformValue
from oleanderridge.runtime.refresh import refresh_decisions
from oleanderridge.wire import Message

_MANIFEST = 'bundle/manifest'
_HOSTS = 'hosts'
_PLATFORM = 'platform'
_WANTED = 'wanted'
_ELECTION_CHECK_S = 1
_PEERS_FIRST_S = 1.5
_PEERS_POLL_S = 0.05
# Chunks in flight: enough to hide the round trip, and fewer than the send
# buffer of a peer holds.
_PLATFORM_WINDOW = 16
_PEER_WINDOW = 32
_PULL_REPEAT_S = 1
# 64 bits tell two bundles of one version apart; heartbeats carry them to
# every peer, so they are kept short.
_DIGEST_PREFIX = 16


class BundleSync:
    """Keeps the accepted bundle and the host list current.

    Parameters
    ----------
    node : Node
        The host.
    peering : Peering
        Takes the host lists.
    reader : PlatformReader
        Client of the platform.
    on_index : callable
        Called with the new index after each accepted bundle.
    """

    def __init__(
        self,
        node: Node,
        peering: Peering,
        reader: PlatformReader,
        on_index: Callable[[AdmissionIndex], None],
    ) -> None:
        self._node = node
        self._peering = peering
        self._reader = reader
        self._on_index = on_index
        self._revision_by_key: dict[str, int] = {}
        self._pulled_at_by_digest: dict[str, float] = {}
        handlers = node.handler_by_kind
        handlers['manifest_pull'] = self._on_manifest_pull
        handlers['manifest_push'] = self._on_manifest_push
        handlers['chunk_pull'] = self._on_chunk_pull
        handlers['chunk_push'] = self._on_chunk_push

    async def run(self) -> None:
        """Read the platform once, then watch it while elected."""
        await asyncio.gather(
            self._follow(_HOSTS, self._take_hosts),
            self._follow(_MANIFEST, self._take_manifest),
        )

    async def _follow(self, key: str, take: Callable) -> None:
        await self._read_first(key, take)
        while True:
            if not self._elected():
                self._node.membership.watching = False
                await asyncio.sleep(_ELECTION_CHECK_S)
                continue
            await self._watch_once(key, take)

    async def _read_first(self, key: str, take: Callable) -> None:
        outcome = await self._reader.read(key)
        if isinstance(outcome, Err):
            self._node.warn('platform-read-failed', error=outcome.err_value)
            return
        self._revision_by_key[key] = outcome.ok_value.revision
        await take(outcome.ok_value.content)

    async def _watch_once(self, key: str, take: Callable) -> None:
        node = self._node
        after = self._revision_by_key.get(key, 0)
        outcome = await self._reader.watch(key, after)
        if isinstance(outcome, Err):
            node.membership.watching = False
            node.warn('platform-watch-failed', error=outcome.err_value)
            await asyncio.sleep(
                node.settings['platform']['retry_s']
                * node.rng.uniform(0.5, 1.5),
            )
            return
        node.membership.watching = True
        value = outcome.ok_value
        if value is not None:
            self._revision_by_key[key] = value.revision
            await take(value.content)

    def _elected(self) -> bool:
        node = self._node
        return should_watch(
            node.host,
            node.members(),
            node.clock(),
            self._peering.last_watch_heard,
        )

    async def _take_hosts(self, content: bytes) -> None:
        self._peering.accept_platform_list(content)

    async def _take_manifest(self, content: bytes) -> None:
        try:
            manifest = decode_json(content, type=Manifest)
        except DecodeError as error:
            self._node.warn('manifest-malformed', error=error)
            return
        offer = self._offer_manifest(manifest, _PLATFORM)
        if offer.status == _WANTED and self._node.store.accepted is None:
            await self._wait_for_peers()
        while offer.status == _WANTED and offer.missing:
            batch = offer.missing[:_PLATFORM_WINDOW]
            chunks = await asyncio.gather(*map(self._read_chunk, batch))
            if not all(isinstance(chunk, Ok) for chunk in chunks):
                # The watch must deliver this manifest again.
                self._revision_by_key.pop(_MANIFEST, None)
                return
            for digest, chunk in zip(batch, chunks, strict=True):
                content = chunk.ok_value.content
                offer = self._offer_chunk(digest, content, _PLATFORM)

    async def _read_chunk(self, digest: str) -> Result[PlatformValue, str]:
        chunk = await self._reader.read(f'bundle/chunk/{digest}')
        if isinstance(chunk, Err):
            self._node.warn('chunk-unavailable', error=chunk.err_value)
        return chunk

    async def _wait_for_peers(self) -> None:
        # A fresh host takes the chunks from peers where it can: the platform
        # counts calls over all readers, and a rack may restart at once.
        node = self._node
        deadline = node.clock() + node.rng.uniform(1, 2) * _PEERS_FIRST_S
        others = len(node.membership.peer_addresses()) > 1
        while others and node.clock() < deadline:
            if node.store.accepted is not None:
                return
            await asyncio.sleep(_PEERS_POLL_S)

    def _on_manifest_pull(self, message: Message) -> None:
        node = self._node
        accepted = node.store.accepted
        if accepted is None:
            return
        push = ManifestPush(
            kind='manifest_push',
            host=node.host,
            manifest=accepted.manifest,
        )
        node.send(message['host'], push)

    def _on_manifest_push(self, message: Message) -> None:
        source = message['host']
        offer = self._offer_manifest(message['manifest'], source)
        self._pull_chunks(source, offer)

    def _pull_chunks(self, source: str, offer: Offer) -> None:
        if offer.status != _WANTED:
            self._pulled_at_by_digest.clear()
            return
        node = self._node
        now = node.clock()
        pulled_at = self._pulled_at_by_digest
        for digest in offer.missing[:_PEER_WINDOW]:
            if now - pulled_at.get(digest, 0) < _PULL_REPEAT_S:
                continue
            pull = ChunkPull(kind='chunk_pull', host=node.host, digest=digest)
            if node.send(source, pull):
                pulled_at[digest] = now

    def _on_chunk_pull(self, message: Message) -> None:
        node = self._node
        content = node.store.chunk(message['digest'])
        if content is None:
            return
        push = ChunkPush(
            kind='chunk_push',
            host=node.host,
            digest=message['digest'],
            content=content,
        )
        node.send(message['host'], push)

    def _on_chunk_push(self, message: Message) -> None:
        source = message['host']
        offer = self._offer_chunk(
            message['digest'],
            message['content'],
            source,
        )
        self._pull_chunks(source, offer)

    def _offer_manifest(self, manifest: Manifest, source: str) -> Offer:
        offer = self._node.store.offer_manifest(manifest)
        self._conclude(offer, source)
        return offer

    def _offer_chunk(self, digest: str, content: bytes, source: str) -> Offer:
        offer = self._node.store.offer_chunk(digest, content)
        self._conclude(offer, source)
        return offer

    def _conclude(self, offer: Offer, source: str) -> None:
        if offer.status == 'accepted':
            self._put_in_force(source)
        elif offer.status in {'invalid', 'conflict'}:
            self._node.warn(
                'bundle-refused',
                source=source,
                status=offer.status,
                detail=offer.message,
            )

    def _freeze_once(self) -> None:
        # A collection over the objects of 88,000 workspaces stops the loop
        # for 50 to 70 ms; they live as long as the process, so the collector
        # passes over them. Later bundles share what did not change.
        if not gc.get_freeze_count():
            gc.collect()
            gc.freeze()

    def _put_in_force(self, source: str) -> None:
        node = self._node
        accepted = node.store.accepted
        now = node.clock()
        node.index = build_index(accepted.document)
        services = accepted.document['services']
        node.services_by_name = {entry['name']: entry for entry in services}
        # Near capacity equal shares would refuse the large workspaces alone.
        node.weight_by_workspace = {
            entry['name']: entry['rate']
            for entry in accepted.document['workspaces']
        }
        node.url_by_target = {
            target['name']: target['url']
            for entry in services
            for target in entry['targets']
        }
        node.membership.set_bundle(
            accepted.version,
            accepted.digest[:_DIGEST_PREFIX],
            now,
        )
        node.bundle_accepted_at = now
        node.metrics.bundle_version.set({}, accepted.version)
        refresh_decisions(node)
        self._on_index(node.index)
        self._freeze_once()
        node.note('bundle-accepted', version=accepted.version, source=source)
        self._peering.beat()
