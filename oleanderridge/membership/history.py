"""The current host list, and older lists that may still be in force."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from oleanderridge.generated.messages import HostEntry, HostList
from oleanderridge.membership.settlement import (
    Transition,
    unsettled_transitions,
)
from oleanderridge.membership.weights import cell_entries, list_weights


class ListHistory:
    """Host lists of one cell by revision, with their voting weights."""

    def __init__(self, cell: str) -> None:
        """Start without a list."""
        self.current: HostList | None = None
        self.entries: dict[str, HostEntry] = {}
        self.weights: dict[int, dict[str, float]] = {}
        self.transitions: list[Transition] = []
        self._cell = cell
        self._older: dict[int, HostList] = {}
        self._settled_below = 0

    @property
    def revision(self) -> int:
        """Return the revision of the current list, 0 without one."""
        return self.current['revision'] if self.current else 0

    @property
    def current_weights(self) -> dict[str, float]:
        """Return the voting weights of the current list."""
        return self.weights.get(self.revision, {})

    @property
    def older_revisions(self) -> list[int]:
        """Return the unsettled revisions below the current one."""
        return sorted(self._older)

    def adopt(
        self, host_list: HostList, older_majority_at: float, now: float
    ) -> None:
        """Make a list with a higher revision the current one.

        Parameters
        ----------
        host_list : HostList
            Its revision is higher than the current one.
        older_majority_at : float
            When a majority last reported the previous revision or a lower
            one, in monotonic seconds.
        now : float
            Monotonic seconds.
        """
        revision = host_list['revision']
        if self.current is not None:
            older = self.revision
            self._older[older] = self.current
            self.transitions.append(
                Transition(
                    older=older,
                    successor=revision,
                    has_gap=revision != older + 1,
                    older_majority_at=older_majority_at,
                    adopted_at=now,
                )
            )
        self.current = host_list
        self.entries = cell_entries(host_list, self._cell)
        self.weights[revision] = list_weights(host_list, self._cell)

    def add_skipped(self, host_list: HostList) -> None:
        """Add an older list that this host skipped, as unsettled.

        Parameters
        ----------
        host_list : HostList
            Ignored if it is known, settled, or newer than the current one.
        """
        revision = host_list['revision']
        if revision > self.revision or self.covers_revisions((revision,)):
            return
        self._older[revision] = host_list
        self.weights[revision] = list_weights(host_list, self._cell)
        self.transitions.append(
            Transition(
                older=revision,
                successor=self.revision,
                has_gap=False,
                older_majority_at=-inf,
                adopted_at=-inf,
            )
        )

    def covers_revisions(self, revisions: Iterable[int]) -> bool:
        """Return whether this host has or has settled every revision.

        Parameters
        ----------
        revisions : iterable of int
            Revisions that a peer reports as unsettled.

        Returns
        -------
        bool
            False if one of them must be requested from the peer.
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
        """Return the hosts that a later list marks as fenced.

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
        """Remove the older lists that can no longer back a lease.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        hold_s : float
            Seconds from confirmation to settlement.

        Returns
        -------
        bool
            Whether a transition was settled.
        """
        kept = unsettled_transitions(self.transitions, now, hold_s)
        if len(kept) == len(self.transitions):
            return False
        self.transitions = kept
        remaining = {transition.older for transition in kept}
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
            Address by host name; the newest list takes precedence.
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
