"""The current host list and the older ones that may still be in force."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from oleanderridge.generated.messages import HostEntry, HostList
from oleanderridge.membership.settle import Step, unsettled
from oleanderridge.membership.weights import cell_entries, list_weights


class ListHistory:
    """Host lists of one cell by revision, with their weights."""

    def __init__(self, cell: str) -> None:
        """Start without a list."""
        self.current: HostList | None = None
        self.entries: dict[str, HostEntry] = {}
        self.weights: dict[int, dict[str, float]] = {}
        self.steps: list[Step] = []
        self._cell = cell
        self._older: dict[int, HostList] = {}
        self._settled_below = 0

    @property
    def revision(self) -> int:
        """Return the revision of the current list, 0 without one."""
        return self.current['revision'] if self.current else 0

    @property
    def current_weights(self) -> dict[str, float]:
        """Return the weights of the current list."""
        return self.weights.get(self.revision, {})

    @property
    def older_revisions(self) -> list[int]:
        """Return the unsettled revisions below the current one."""
        return sorted(self._older)

    def adopt(self, host_list: HostList, doubt_from: float) -> None:
        """Make a list with a higher revision the current one.

        Parameters
        ----------
        host_list : HostList
            Its revision is higher than the current one.
        doubt_from : float
            When a majority last stated the former revision or less, in
            monotonic seconds.
        """
        revision = host_list['revision']
        if self.current is not None:
            older = self.revision
            self._older[older] = self.current
            self.steps.append(
                Step(
                    older=older,
                    successor=revision,
                    unknown_between=revision != older + 1,
                    doubt_from=doubt_from,
                )
            )
        self.current = host_list
        self.entries = cell_entries(host_list, self._cell)
        self.weights[revision] = list_weights(host_list, self._cell)

    def add_older(self, host_list: HostList) -> None:
        """Keep a list that this host skipped as unsettled.

        Parameters
        ----------
        host_list : HostList
            Ignored when it is known, settled or not older.
        """
        revision = host_list['revision']
        if revision > self.revision or self.knows_all((revision,)):
            return
        self._older[revision] = host_list
        self.weights[revision] = list_weights(host_list, self._cell)
        self.steps.append(
            Step(
                older=revision,
                successor=self.revision,
                unknown_between=False,
                doubt_from=-inf,
            )
        )

    def knows_all(self, revisions: Iterable[int]) -> bool:
        """Return whether this host has or has settled all these lists.

        Parameters
        ----------
        revisions : iterable of int
            Unsettled revisions of a peer.

        Returns
        -------
        bool
            False when one of them must be asked for.
        """
        return all(
            revision in self._older
            or revision == self.revision
            or revision < self._settled_below
            for revision in revisions
        )

    def older(self) -> tuple[HostList, ...]:
        """Return the unsettled lists below the current one.

        Returns
        -------
        tuple of HostList
            Oldest first.
        """
        return tuple(self._older[key] for key in sorted(self._older))

    def in_force(self) -> tuple[HostList, ...]:
        """Return the unsettled lists and the current one.

        Returns
        -------
        tuple of HostList
            Oldest first.
        """
        if self.current is None:
            return ()
        return (*self.older(), self.current)

    def fenced_after(self, revision: int) -> set[str]:
        """Return the hosts that a later list declares lost.

        Parameters
        ----------
        revision : int
            Of an older list.

        Returns
        -------
        set of str
            Host names.
        """
        return {
            entry['host']
            for host_list in self.in_force()
            if host_list['revision'] > revision
            for entry in host_list['hosts']
            if entry['state'] == 'fenced'
        }

    def settle(self, now: float, hold_s: float) -> bool:
        """Forget the older lists that can back no lease any more.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        hold_s : float
            Seconds from confirmation to settlement.

        Returns
        -------
        bool
            Whether a list was forgotten.
        """
        kept = unsettled(self.steps, now, hold_s)
        if len(kept) == len(self.steps):
            return False
        self.steps = kept
        remaining = {step.older for step in kept}
        for revision in self.older_revisions:
            if revision not in remaining:
                self._older.pop(revision)
                self.weights.pop(revision)
                self._settled_below = max(self._settled_below, revision + 1)
        return True

    def addresses(self) -> dict[str, str]:
        """Return the peer addresses of the hosts in all lists in force.

        Returns
        -------
        dict of str to str
            By host name, as the newest list has them.
        """
        addresses: dict[str, str] = {}
        for host_list in self.in_force():
            for host, entry in cell_entries(host_list, self._cell).items():
                if entry['state'] != 'fenced':
                    addresses[host] = entry['peer_address']
        return addresses

    def unfenced(self) -> set[str]:
        """Return the live and leaving hosts of the current list.

        Returns
        -------
        set of str
            Host names.
        """
        return {
            host
            for host, entry in self.entries.items()
            if entry['state'] != 'fenced'
        }
