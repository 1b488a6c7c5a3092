"""Replicated table of the targets that are registered in the store."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple
from zlib import crc32

from oleanderridge.gateway.model import DRAINING, TargetRecord
from oleanderridge.gateway.store_position import (
    NO_POSITION,
    Statement,
    StorePosition,
    replaces,
)

# Maximum number of tombstones, which prevent outdated updates from restoring
# a removed target.
_MAX_TOMBSTONES: Final = 4096
# The newest tombstones are passed on to a host that gets all records.
_MAX_TOMBSTONES_SHARED: Final = 256


class Tombstone(NamedTuple):
    """Position of a removal, and the last statement of the removed target."""

    position: StorePosition
    last: Statement


class _PostponedRemoval(NamedTuple):
    """Position of a removal, and when it takes effect."""

    position: StorePosition
    until: float


class TargetChanges(NamedTuple):
    """Records, and removals by target."""

    records: list[TargetRecord]
    removed: dict[str, Tombstone]


class TargetTable:
    """Target records by id; the newest statement of each wins.

    After a return of the store from an older copy, what is known of a target
    stays until the store has it newer or no longer: a removed target or one
    that drains is not brought back by the copy. A removal is kept so for
    ``lapse_s``; an entry that the store still holds then belongs to a target
    that renews it.

    Parameters
    ----------
    lapse_s : float
        Seconds after which the store drops the entry of a silent target.
    """

    def __init__(self, lapse_s: float = 0) -> None:
        self.by_id: dict[str, TargetRecord] = {}
        self.position = NO_POSITION
        self._lapse_s = lapse_s
        self._digest: int | None = None
        self._tombstones: dict[str, Tombstone] = {}
        self._postponed: dict[str, _PostponedRemoval] = {}
        # Entries of a copy whose targets are known to be removed.
        self._withheld: dict[str, TargetRecord] = {}
        self._keeps_former_removals = False
        self._former_removals_until: float | None = None

    @property
    def digest(self) -> int:
        """Checksum of the records and their positions."""
        if self._digest is None:
            # Records of the current era have no era in the text, so that hosts
            # of before, which know no eras, compute the same.
            era = self.position.era
            text = ','.join(
                f'{target}:{_position_text(self.by_id[target].position, era)}'
                for target in sorted(self.by_id)
            )
            self._digest = crc32(text.encode())
        return self._digest

    def put(self, record: TargetRecord) -> bool:
        """Insert or update a record.

        Parameters
        ----------
        record : TargetRecord
            From the store or from a peer.

        Returns
        -------
        bool
            False if something newer is known.
        """
        return self._put(record, record.position.era)

    def _put(self, record: TargetRecord, source_era: int) -> bool:
        target = record.target
        removal = self._postponed.get(target)
        if removal is not None and record.position > removal.position:
            del self._postponed[target]
        known = self.by_id.get(target)
        if known is None:
            if not self._may_insert(record, source_era):
                return False
        elif not replaces(record.statement(), known.statement()):
            return False
        self.by_id[target] = record
        self._tombstones.pop(target, None)
        self._withheld.pop(target, None)
        self._digest = None
        return True

    def remove(self, target: str, position: StorePosition) -> bool:
        """Remove a target and leave a tombstone.

        Parameters
        ----------
        target : str
            Its id.
        position : StorePosition
            Position of the removal.

        Returns
        -------
        bool
            False if it is unknown or a newer position is known.
        """
        known = self.by_id.get(target)
        if known is None:
            self._confirm_removal(target, position)
            return False
        if known.position > position:
            return False
        self._bury(target, Tombstone(position, known.statement()))
        return True

    def merge_removal(self, target: str, tombstone: Tombstone) -> bool:
        """Apply a removal that a peer knows of.

        Parameters
        ----------
        target : str
            Id of the target.
        tombstone : Tombstone
            As the peer has it.

        Returns
        -------
        bool
            Whether the target was in the table.
        """
        known = self.by_id.get(target)
        if known is None:
            own = self._tombstones.get(target)
            if own is None or own.position < tombstone.position:
                self._add_tombstone(target, tombstone)
            return False
        if known.position <= tombstone.position:
            self._bury(target, tombstone)
            return True
        if not self._is_of_the_copy(known, tombstone):
            return False
        self._bury(target, tombstone)
        self._withheld[target] = known
        return True

    def is_leaving(self, target: str, born_ms: int) -> bool:
        """Return whether a target drains or has been removed.

        Parameters
        ----------
        target : str
            Its id.
        born_ms : int
            Unix time of its start in milliseconds. A target that starts again
            under its id is another one.

        Returns
        -------
        bool
            False if the target isn't known.
        """
        removed = self._tombstones.get(target)
        if removed is not None:
            return removed.last.born_ms == born_ms
        known = self.by_id.get(target)
        return known is not None and (known.state, known.born_ms) == (
            DRAINING,
            born_ms,
        )

    def postpone_removal(
        self, target: str, position: StorePosition, until: float
    ) -> None:
        """Delay the removal of a target that may have expired in an outage.

        A target cannot renew its lease while the store is unavailable.

        Parameters
        ----------
        target : str
            Its id.
        position : StorePosition
            Position of the removal. A later registration cancels it.
        until : float
            Monotonic seconds at which it is removed.
        """
        if target in self.by_id:
            removal = _PostponedRemoval(position, until)
            self._postponed.setdefault(target, removal)

    def lapse(self, now: float) -> list[str]:
        """Carry out what is due: removals, and the end of former ones.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
            Ids of the targets that were removed or are back.
        """
        due = [
            target
            for target, removal in self._postponed.items()
            if removal.until <= now
        ]
        for target in due:
            known = self.by_id[target].position
            self.remove(target, max(self.position, known))
        return due + self._end_former_removals(now)

    def advance(self, position: StorePosition) -> None:
        """Record that all changes up to a position have been applied."""
        is_restored = position.era > self.position.era
        self.position = max(self.position, position)
        if is_restored:
            self._keeps_former_removals = True
            self._former_removals_until = None
            self._digest = None

    def since(self, position: StorePosition) -> TargetChanges:
        """Return the changes after a position.

        Parameters
        ----------
        position : StorePosition
            Position that the asking host has; ``NO_POSITION`` for everything.

        Returns
        -------
        TargetChanges
            The newest removals only. Withheld records are included, since a
            target that a list lacks counts as removed.
        """
        records = [
            record
            for record in (*self.by_id.values(), *self._withheld.values())
            if record.position > position
        ]
        removed = {
            target: tombstone
            for target, tombstone in self._tombstones.items()
            if tombstone.position > position
        }
        newest = list(removed)[-_MAX_TOMBSTONES_SHARED:]
        return TargetChanges(
            records, {target: removed[target] for target in newest}
        )

    def replace(
        self, records: Iterable[TargetRecord], position: StorePosition
    ) -> list[str]:
        """Apply a full list of targets and return the ids that it lacks.

        Parameters
        ----------
        records : iterable of TargetRecord
            All targets at the position.
        position : StorePosition
            Position of the list.

        Returns
        -------
        list of str
            Known targets that are not in the list and not newer.
        """
        # Records of a copy must be known as such when they are put.
        self.advance(position)
        listed = set()
        for record in records:
            listed.add(record.target)
            self._put(record, position.era)
        for unlisted in self._withheld.keys() - listed:
            self._confirm_removal(unlisted, position)
        return [
            target
            for target, known in self.by_id.items()
            if target not in listed and known.position <= position
        ]

    def _may_insert(self, record: TargetRecord, source_era: int) -> bool:
        tombstone = self._tombstones.get(record.target)
        if tombstone is None:
            # A list of a former era may hold what the store has no longer.
            return source_era >= self.position.era
        if record.position <= tombstone.position:
            return False
        if not self._is_of_the_copy(record, tombstone):
            return True
        self._withheld[record.target] = record
        return False

    def _is_of_the_copy(
        self, record: TargetRecord, tombstone: Tombstone
    ) -> bool:
        """Return whether a record is older than a removal in a former era."""
        return (
            self._keeps_former_removals
            and record.position.era > tombstone.position.era
            and (record.born_ms, record.sequence)
            <= (tombstone.last.born_ms, tombstone.last.sequence)
        )

    def _confirm_removal(self, target: str, position: StorePosition) -> None:
        withheld = self._withheld.get(target)
        if withheld is not None and withheld.position <= position:
            del self._withheld[target]
        tombstone = self._tombstones.get(target)
        if tombstone is not None and tombstone.position < position:
            self._tombstones[target] = tombstone._replace(position=position)

    def _bury(self, target: str, tombstone: Tombstone) -> None:
        del self.by_id[target]
        self._postponed.pop(target, None)
        self._add_tombstone(target, tombstone)
        self._digest = None

    def _add_tombstone(self, target: str, tombstone: Tombstone) -> None:
        self._tombstones[target] = tombstone
        while len(self._tombstones) > _MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            del self._tombstones[oldest]

    def _end_former_removals(self, now: float) -> list[str]:
        if not self._keeps_former_removals:
            return []
        if self._former_removals_until is None:
            self._former_removals_until = now + self._lapse_s
        if now < self._former_removals_until:
            return []
        self._keeps_former_removals = False
        withheld = list(self._withheld.values())
        return [record.target for record in withheld if self.put(record)]


def _position_text(position: StorePosition, current_era: int) -> str:
    if position.era == current_era:
        return str(position.revision)
    return f'{position.revision}.{position.era}'
