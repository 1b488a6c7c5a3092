"""The targets that the store names, as far as this host knows."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from zlib import crc32

from oleanderridge.gateway.model import TargetRecord

# Removed targets that are remembered, so that older news cannot revive them.
_REMOVED_MAX: Final = 4096


class TargetTable:
    """Records by target; for each the highest revision wins."""

    def __init__(self) -> None:
        self.by_id: dict[str, TargetRecord] = {}
        self.revision = 0
        self.digest = 0
        self._revision_of_removed: dict[str, int] = {}
        self._absent_until: dict[str, float] = {}

    def put(self, record: TargetRecord) -> bool:
        """Take in a record.

        Parameters
        ----------
        record : TargetRecord
            From the store or from a peer.

        Returns
        -------
        bool
            False when something newer is known.
        """
        self._absent_until.pop(record.target, None)
        known = self.by_id.get(record.target)
        newest = self._revision_of_removed.get(record.target, 0)
        if known is not None:
            newest = max(newest, known.revision)
        if record.revision <= newest:
            return False
        self.by_id[record.target] = record
        self._revision_of_removed.pop(record.target, None)
        self._changed()
        return True

    def remove(self, target: str, revision: int) -> bool:
        """Take out a target.

        Parameters
        ----------
        target : str
            Its id.
        revision : int
            Revision of the removal.

        Returns
        -------
        bool
            False when it is unknown or something newer is known.
        """
        known = self.by_id.get(target)
        if known is None or known.revision > revision:
            return False
        del self.by_id[target]
        self._absent_until.pop(target, None)
        self._revision_of_removed[target] = revision
        while len(self._revision_of_removed) > _REMOVED_MAX:
            oldest = next(iter(self._revision_of_removed))
            del self._revision_of_removed[oldest]
        self._changed()
        return True

    def postpone_removal(self, target: str, until: float) -> None:
        """Keep a target that may only have lapsed while the store was away.

        Parameters
        ----------
        target : str
            Its id.
        until : float
            Monotonic seconds at which it counts as gone.
        """
        if target in self.by_id:
            self._absent_until.setdefault(target, until)

    def lapse(self, now: float) -> list[str]:
        """Take out the targets whose postponed removal is due.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
            Ids of the removed.
        """
        due = [
            target
            for target, until in self._absent_until.items()
            if until <= now
        ]
        for target in due:
            known = self.by_id[target].revision
            self.remove(target, max(self.revision, known))
        return due

    def advance(self, revision: int) -> None:
        """Note that all changes up to a revision are known."""
        self.revision = max(self.revision, revision)

    def since(self, revision: int) -> tuple[list[TargetRecord], list[str]]:
        """Return what changed after a revision.

        Parameters
        ----------
        revision : int
            Revision that the asker knows; 0 for everything.

        Returns
        -------
        tuple of list, list
            Records, and ids of the removed.
        """
        records = [
            record
            for record in self.by_id.values()
            if record.revision > revision
        ]
        removed = [
            target
            for target, at in self._revision_of_removed.items()
            if at > revision
        ]
        return records, removed

    def replace(
        self, records: Iterable[TargetRecord], revision: int
    ) -> list[str]:
        """Take over a whole list and return the ids that it lacks.

        Parameters
        ----------
        records : iterable of TargetRecord
            All targets at the revision.
        revision : int
            Revision of the list.

        Returns
        -------
        list of str
            Known targets that are not in the list and not newer.
        """
        listed = set()
        for record in records:
            listed.add(record.target)
            self.put(record)
        self.advance(revision)
        return [
            target
            for target, known in self.by_id.items()
            if target not in listed and known.revision <= revision
        ]

    def _changed(self) -> None:
        text = ','.join(
            f'{target}:{self.by_id[target].revision}'
            for target in sorted(self.by_id)
        )
        self.digest = crc32(text.encode())
