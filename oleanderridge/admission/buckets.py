"""Token buckets of the workspaces for which this host is a minter."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import ceil
from random import Random
from typing import Any, Final, NamedTuple

from oleanderridge.admission.bucket import Bucket
from oleanderridge.admission.lease_clock import LeaseClock
from oleanderridge.admission.minter_shares import (
    MinterLookup,
    Share,
    Table,
    build_table,
    changed_names,
    smallest_share,
)
from oleanderridge.admission.replies import ReplyCache
from oleanderridge.generated.bundle import BundleDocument
from oleanderridge.generated.messages import (
    HostList,
    TokenReply,
    TokenRequest,
)
from oleanderridge.generated.settings import Settings
from oleanderridge.wire import Outgoing

TAKEN: Final = 'taken'
EMPTY: Final = 'empty'
NO_LEASE: Final = 'no-lease'
NOT_MINTER: Final = 'not-minter'

# Share of its capacity from which the local bucket is used first. If it were
# always used first, the buckets of the other minters would stay full and their
# share of the rate would be lost: of the requests of a workspace with burst 20
# at 94% of its rate, all at one host, 2.0% were refused then, 1.1% with 0.5 and
# 0.8% with 0.75.
LOCAL_FIRST_SHARE: Final = 0.75

# Number of list changes that can be replayed. A bucket that was unused for more
# of them starts empty.
_EPOCHS_MAX: Final = 16


class Take(NamedTuple):
    """Result of taking one token from the local bucket."""

    status: str
    retry_after_s: float


class _Epoch(NamedTuple):
    clock: float
    lists: tuple[HostList, ...]


def grant_usable(sent_at: float, now: float, settings: Settings) -> bool:
    """Return whether a granted token may still be used.

    Parameters
    ----------
    sent_at : float
        When this host first sent the request with that id, in monotonic
        seconds; a repetition does not move it.
    now : float
        Monotonic seconds.
    settings : Settings
        Of this host.

    Returns
    -------
    bool
        False once the minter may assume that the token is unused.
    """
    return 0 <= now - sent_at < settings['admission']['grant_expiry_s']


class TokenBuckets:
    """Buckets by workspace, created on first use."""

    def __init__(self, host: str, settings: Settings) -> None:
        """Start without host lists and bundles, and so without shares."""
        self._host = host
        self._cell = settings['cell']
        self._settings = settings['admission']
        self._hold_s = settings['membership']['hold_s']
        self._lookup = MinterLookup(self._settings['minters_max'])
        self._lists: tuple[HostList, ...] = ()
        # Lists in force and the lease clock when they took effect, by epoch.
        self._epoch = 0
        self._epochs: dict[int, _Epoch] = {}
        self._tables: tuple[Table, ...] = ()
        self._documents: tuple[BundleDocument, ...] = ()
        self._unsettled_workspaces: set[str] = set()
        self._clock = LeaseClock()
        self._buckets: dict[str, Bucket] = {}
        # Lease clock from which unused buckets accrue tokens, which is when
        # their share last changed: for all of them and by workspace.
        self._accrue_from: float = 0
        self._accrue_from_by_workspace: dict[str, float] = {}
        self._reply_cache = ReplyCache(self._settings['grant_hold_s'])

    def update(
        self,
        lists: Iterable[HostList],
        documents: Iterable[BundleDocument],
        now: float,
    ) -> None:
        """Apply the lists and bundles under which a host may hold a lease.

        Parameters
        ----------
        lists : iterable of HostList
            Unsettled lists, the current one last.
        documents : iterable of BundleDocument
            Bundles of the unsettled versions, the current one last.
        now : float
            Monotonic seconds.
        """
        self._clock.advance(now)
        new_lists = tuple(lists)
        new_documents = tuple(documents)
        if _revisions(new_lists) != _revisions(self._lists):
            self._change_lists(new_lists)
        if _versions(new_documents) != _versions(self._documents):
            self._change_documents(new_documents, now)

    def note_lease(self, now: float, lease_until: float) -> None:
        """Record the state of the lease between requests.

        Only observed leased time accrues tokens, so this must be called at
        least every ``lease_s``, for example with each heartbeat.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        lease_until : float
            Monotonic seconds; 0 without a lease.
        """
        gap_s = self._clock.observe(now, lease_until)
        # A host without a lease for longer than hold_s may resume under a list
        # that others have replaced meanwhile. It starts empty like a new
        # minter, so that its share is not spent twice.
        if gap_s > self._hold_s and lease_until > now:
            self._accrue_from = self._clock.elapsed
            for bucket in self._buckets.values():
                bucket.empty()

    def take(self, workspace: str, now: float, lease_until: float) -> Take:
        """Take one token from the local bucket.

        Parameters
        ----------
        workspace : str
            Workspace name.
        now : float
            Monotonic seconds.
        lease_until : float
            From the membership, for this moment.

        Returns
        -------
        Take
            ``taken``, ``empty``, ``no-lease`` or ``not-minter``.
        """
        self.note_lease(now, lease_until)
        bucket = self._bucket(workspace, now)
        if bucket is None:
            return Take(NOT_MINTER, 0)
        if lease_until <= now:
            return Take(NO_LEASE, 0)
        if bucket.take():
            return Take(TAKEN, 0)
        return Take(EMPTY, bucket.retry_after_s())

    def refund(self, workspace: str, now: float) -> None:
        """Put back a token of ``take`` whose request was not run.

        Parameters
        ----------
        workspace : str
            Workspace name.
        now : float
            Monotonic seconds.
        """
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.refund(now)

    def on_token_request(
        self,
        message: TokenRequest,
        now: float,
        lease_until: float,
    ) -> Outgoing:
        """Grant one token to another host, or refuse with a reason.

        Parameters
        ----------
        message : TokenRequest
            A repetition gets the same reply and no second token.
        now : float
            Monotonic seconds.
        lease_until : float
            From the membership, for this moment.

        Returns
        -------
        Outgoing
            The reply to the asking host.
        """
        self.note_lease(now, lease_until)
        reply = self._reply_cache.find(message, now)
        if reply is None:
            reply = self._reply(message, now, lease_until)
            self._reply_cache.store(message, reply, now)
        return Outgoing(message['host'], dict(reply))

    def minters(self, workspace: str) -> tuple[str, ...]:
        """Return the other hosts that may grant a token.

        Parameters
        ----------
        workspace : str
            Workspace name.

        Returns
        -------
        tuple of str
            By the current list and bundle, best first.
        """
        terms = self._tables[-1].get(workspace) if self._tables else None
        if terms is None or not self._lists:
            return ()
        listed = self._lookup(self._lists[-1], terms)
        return tuple(host for host in listed if host != self._host)

    def sources(
        self,
        workspace: str,
        now: float,
        lease_until: float,
        rng: Random,
    ) -> tuple[str, ...]:
        """Return the hosts to ask for a token, in order.

        The local bucket comes first only while it is nearly full.

        Parameters
        ----------
        workspace : str
            Workspace name.
        now : float
            Monotonic seconds.
        lease_until : float
            From the membership, for this moment.
        rng : Random
            Spreads the requests over the minters.

        Returns
        -------
        tuple of str
            Minters, including this host if it is one.
        """
        self.note_lease(now, lease_until)
        other_minters = list(self.minters(workspace))
        rng.shuffle(other_minters)
        bucket = self._bucket(workspace, now)
        if bucket is None or lease_until <= now:
            return tuple(other_minters)
        if bucket.level >= bucket.capacity * LOCAL_FIRST_SHARE:
            return (self._host, *other_minters)
        position = rng.randrange(len(other_minters) + 1)
        return (
            *other_minters[:position],
            self._host,
            *other_minters[position:],
        )

    def snapshot(self, limit: int) -> list[dict[str, Any]]:
        """Return the emptiest buckets for the status page.

        Parameters
        ----------
        limit : int
            Largest number of entries.

        Returns
        -------
        list of dict
            ``workspace``, ``level``, ``capacity`` in tokens and ``rate`` in
            tokens per second, as of the last use of the bucket.
        """
        by_free_capacity = sorted(
            self._buckets.items(),
            key=lambda entry: (entry[1].level - entry[1].capacity, entry[0]),
        )
        return [
            {
                'workspace': name,
                'level': bucket.level,
                'capacity': bucket.capacity,
                'rate': bucket.rate,
            }
            for name, bucket in by_free_capacity[:limit]
        ]

    def _reply(
        self,
        message: TokenRequest,
        now: float,
        lease_until: float,
    ) -> TokenReply:
        bucket = self._bucket(message['workspace'], now)
        granted = False
        retry_after_s = float(0)
        reason = NO_LEASE
        if bucket is not None and lease_until > now:
            hold_s = self._settings['grant_hold_s']
            granted = bucket.grant(now + hold_s)
            retry_after_s = bucket.retry_after_s()
            reason = '' if granted else EMPTY
        return {
            'kind': 'token_reply',
            'host': self._host,
            'request_id': message['request_id'],
            'granted': granted,
            'reason': reason,
            'retry_after_ms': ceil(retry_after_s * 1000),
        }

    def _share(self, workspace: str, lists: tuple[HostList, ...]) -> Share:
        return smallest_share(
            self._host,
            lists,
            [table.get(workspace) for table in self._tables],
            self._lookup,
        )

    def _bucket(self, workspace: str, now: float) -> Bucket | None:
        bucket = self._buckets.get(workspace)
        if bucket is None:
            share = self._share(workspace, self._lists)
            if not share.capacity:
                return None
            accrue_from = self._accrue_from_by_workspace.pop(
                workspace, self._accrue_from
            )
            bucket = Bucket(max(accrue_from, self._accrue_from), self._epoch)
            bucket.set_share(*share, now)
            self._buckets[workspace] = bucket
        self._replay_list_changes(workspace, bucket, now)
        return bucket if bucket.capacity else None

    def _change_lists(self, lists: tuple[HostList, ...]) -> None:
        self._lists = lists
        self._accrue_from = self._clock.elapsed
        self._accrue_from_by_workspace.clear()
        self._epoch += 1
        self._epochs[self._epoch] = _Epoch(self._clock.elapsed, lists)
        self._epochs.pop(self._epoch - _EPOCHS_MAX, None)

    def _replay_list_changes(
        self, workspace: str, bucket: Bucket, now: float
    ) -> None:
        # Replays the list changes since the last use of the bucket, so that a
        # list change costs nothing for unused buckets.
        if bucket.epoch <= self._epoch - _EPOCHS_MAX:
            bucket.empty()
            bucket.epoch = self._epoch - _EPOCHS_MAX
        while bucket.epoch < self._epoch:
            bucket.epoch += 1
            epoch = self._epochs[bucket.epoch]
            bucket.accrue(epoch.clock, now)
            bucket.set_share(*self._share(workspace, epoch.lists), now)
        bucket.accrue(self._clock.elapsed, now)

    def _change_documents(
        self,
        documents: tuple[BundleDocument, ...],
        now: float,
    ) -> None:
        known = {
            document['version']: table
            for document, table in zip(
                self._documents, self._tables, strict=True
            )
        }
        tables = tuple(
            known.get(document['version']) or build_table(document, self._cell)
            for document in documents
        )
        changed = self._changed_workspaces(tables)
        self._unsettled_workspaces = changed_names(tables)
        # The replay needs the rates and bursts in force until now.
        for name in changed & self._buckets.keys():
            self._replay_list_changes(name, self._buckets[name], now)
        self._documents = documents
        self._tables = tables
        for name in changed:
            bucket = self._buckets.get(name)
            if bucket is None:
                self._accrue_from_by_workspace[name] = self._clock.elapsed
            else:
                bucket.set_share(*self._share(name, self._lists), now)

    def _changed_workspaces(self, tables: Sequence[Table]) -> set[str]:
        if not self._tables:
            self._accrue_from = self._clock.elapsed
            return set()
        return self._unsettled_workspaces | changed_names(
            (self._tables[-1], *tables)
        )


def _revisions(lists: Iterable[HostList]) -> list[int]:
    return [host_list['revision'] for host_list in lists]


def _versions(documents: Iterable[BundleDocument]) -> list[int]:
    return [document['version'] for document in documents]
