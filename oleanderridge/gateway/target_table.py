"""Replicated table of the targets that are registered in the store."""

from __future__ import annotations

import math
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
# The newest tombstones are passed on to a host that gets all records. One that
# lacks more removals than that gets all records.
MAX_REMOVALS_SHARED: Final = 256
_MAX_GAPS: Final = 32


class Tombstone(NamedTuple):
    """Position of a removal, and the last statement of the removed target."""

    position: StorePosition
    last: Statement


class _Retention(NamedTuple):
    """Position of a removal, and until when the target stays in use."""

    position: StorePosition
    until: float


class _Gap(NamedTuple):
    """Positions between which removals of short-lived targets are unknown."""

    after: StorePosition
    before: StorePosition


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
        self.needs_check = False
        self._removals_from = NO_POSITION
        self._last_removal = NO_POSITION
        self._gaps: list[_Gap] = []
        # Removed targets that stay in use.
        self._retained: dict[str, _Retention] = {}
        # Entries of a copy whose targets are known to be removed.
        self._withheld: dict[str, TargetRecord] = {}
        self._keeps_former_removals = False
        self._former_removals_until: float | None = None

    @property
    def digest(self) -> int:
        """Checksum of the records and their positions.

        Retained targets are left out: their removal is known.
        """
        if self._digest is None:
            # Records of the current era have no era in the text, so that hosts
            # of before, which know no eras, compute the same.
            era = self.position.era
            text = ','.join(
                f'{target}:{_position_text(self.by_id[target].position, era)}'
                for target in sorted(self.by_id.keys() - self._retained.keys())
            )
            self._digest = crc32(text.encode())
        return self._digest

    @property
    def last_removal(self) -> StorePosition:
        """Last position at which a target may have been removed."""
        return max(self._last_removal, self._removals_from)

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
        return self._put(record, self.position)

    def _put(self, record: TargetRecord, known_to: StorePosition) -> bool:
        target = record.target
        retention = self._retained.get(target)
        if retention is not None:
            if record.position <= max(retention.position, known_to):
                return False
            # It registered again.
            self._retained.pop(target)
            self._tombstones.pop(target, None)
            self._digest = None
        known = self.by_id.get(target)
        if known is None:
            if not self._may_insert(record, known_to):
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

    def merge_removal(
        self, target: str, tombstone: Tombstone, retain_until: float = 0
    ) -> bool:
        """Apply a removal that a peer knows of.

        Parameters
        ----------
        target : str
            Id of the target.
        tombstone : Tombstone
            As the peer has it.
        retain_until : float
            Monotonic seconds until which a target that doesn't drain stays in
            use; 0 if it doesn't.

        Returns
        -------
        bool
            Whether the target was removed from the table.
        """
        known = self.by_id.get(target)
        if known is None or target in self._retained:
            own = self._tombstones.get(target)
            if own is None or own.position < tombstone.position:
                self._add_tombstone(target, tombstone)
                self._retain_past(target, tombstone.position)
            return False
        if known.position <= tombstone.position:
            if retain_until and known.state != DRAINING:
                self.postpone_removal(target, tombstone.position, retain_until)
                return False
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
        if removed is not None and target not in self._retained:
            return removed.last.born_ms == born_ms
        known = self.by_id.get(target)
        return known is not None and (known.state, known.born_ms) == (
            DRAINING,
            born_ms,
        )

    def postpone_removal(
        self, target: str, position: StorePosition, until: float
    ) -> None:
        """Keep a target in use for a while that may register again.

        A target cannot renew its lease while the store is unavailable. The
        removal itself is recorded, so that it is passed on with the position.

        Parameters
        ----------
        target : str
            Its id.
        position : StorePosition
            Position of the removal. A later registration cancels it.
        until : float
            Monotonic seconds until which the target stays in use.
        """
        known = self.by_id.get(target)
        if known is None or known.position > position:
            return
        if target not in self._retained:
            self._retained[target] = _Retention(position, until)
            self._add_tombstone(target, Tombstone(position, known.statement()))
            self._digest = None

    def end_retention(self) -> None:
        """Let removed targets fall due that were kept in use."""
        for target, retention in self._retained.items():
            self._retained[target] = retention._replace(until=-math.inf)

    def lapse(self, now: float) -> list[str]:
        """End the use of removed targets, and former removals.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
            Ids of the targets that are out of use or are back.
        """
        due = [
            target
            for target, retention in self._retained.items()
            if retention.until <= now
        ]
        for target in due:
            del self.by_id[target]
            del self._retained[target]
        return due + self._end_former_removals(now)

    def advance(self, position: StorePosition) -> None:
        """Record that all changes up to a position have been applied."""
        is_restored = position.era > self.position.era
        self.position = max(self.position, position)
        if is_restored:
            self._removals_from = self.position
            self._gaps.clear()
            self._keeps_former_removals = True
            self._former_removals_until = None
            self._digest = None

    def adopt(
        self, position: StorePosition, last_removal: StorePosition
    ) -> None:
        """Take over the position of a host with the same records.

        Parameters
        ----------
        position : StorePosition
            Up to where that host knows the store.
        last_removal : StorePosition
            Its last removal: of a target that this host may never have known.
        """
        former = self.position
        self.advance(position)
        if former.era == position.era and last_removal > former:
            self._add_gap(former, min(last_removal, position))

    def knows_changes_since(self, position: StorePosition) -> bool:
        """Return whether all changes after a position are known.

        Parameters
        ----------
        position : StorePosition
            Position that another host has.

        Returns
        -------
        bool
            False if that host may have targets whose removal is unknown here.
        """
        if position.era != self.position.era:
            return False
        if not self._removals_from <= position <= self.position:
            return False
        return not any(gap.after < position < gap.before for gap in self._gaps)

    def since(self, position: StorePosition) -> TargetChanges:
        """Return the changes after a position.

        Parameters
        ----------
        position : StorePosition
            Position that the asking host has; ``NO_POSITION`` for everything.

        Returns
        -------
        TargetChanges
            All removals after the position, the newest ones if everything is
            asked for. Withheld records are included, since a target that a
            list lacks counts as removed.
        """
        records = [
            record
            for record in (*self.by_id.values(), *self._withheld.values())
            if record.position > position
            and record.target not in self._retained
        ]
        removed = {
            target: tombstone
            for target, tombstone in self._tombstones.items()
            if tombstone.position > position
        }
        if position != NO_POSITION:
            return TargetChanges(records, removed)
        newest = list(removed)[-MAX_REMOVALS_SHARED:]
        return TargetChanges(
            records, {target: removed[target] for target in newest}
        )

    def replace(
        self, records: Iterable[TargetRecord], position: StorePosition
    ) -> list[str]:
        """Apply a list of the store and return the ids that it lacks.

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
        former = self.position
        # One that was on its way while newer changes arrived adds nothing.
        is_newest = position >= former
        known_to = NO_POSITION if is_newest else former
        records = list(records)
        if is_newest:
            self.needs_check = False
            for listed in records:
                self._drop_refuted_removal(listed, position)
        return self._apply_list(records, position, known_to)

    def merge_list(
        self, records: Iterable[TargetRecord], position: StorePosition
    ) -> list[str]:
        """Apply all records of another host and return the ids that it lacks.

        Parameters
        ----------
        records : iterable of TargetRecord
            All targets that the other host knows.
        position : StorePosition
            Its position.

        Returns
        -------
        list of str
            Known targets that are not in the list and not newer; none if this
            host is further ahead than the other one.
        """
        former, records = self.position, list(records)
        if position < former:
            for outdated in records:
                self._put(outdated, former)
            return []
        if any(self._contradicts(record) for record in records):
            self.needs_check = True
        missing = self._apply_list(records, position, former)
        if position == former and missing:
            self.needs_check = True
        return missing

    def _apply_list(
        self,
        records: Iterable[TargetRecord],
        position: StorePosition,
        known_to: StorePosition,
    ) -> list[str]:
        former = self.position
        # Records of a copy must be known as such when they are put.
        self.advance(position)
        if former == NO_POSITION:
            self._removals_from = self.position
        elif former.era == position.era and position > former:
            self._add_gap(former, position)
        listed = set()
        for record in records:
            listed.add(record.target)
            self._put(record, known_to)
        for unlisted in self._withheld.keys() - listed:
            self._confirm_removal(unlisted, position)
        return [
            target
            for target, known in self.by_id.items()
            if target not in listed
            and target not in self._retained
            and known.position <= position
        ]

    def _drop_refuted_removal(
        self, listed: TargetRecord, position: StorePosition
    ) -> None:
        """Forget a removal that a later list of the store does not confirm."""
        tombstone = self._tombstones.get(listed.target)
        if tombstone is None or tombstone.position.era != position.era:
            return
        if listed.position <= tombstone.position <= position:
            del self._tombstones[listed.target]
            if self._retained.pop(listed.target, None) is not None:
                self._digest = None

    def _retain_past(self, target: str, position: StorePosition) -> None:
        """Let a retained target's removal count from a later position."""
        retention = self._retained.get(target)
        if retention is not None:
            self._retained[target] = retention._replace(position=position)

    def _contradicts(self, record: TargetRecord) -> bool:
        """Return whether a record's target should be known by the position."""
        return (
            record.position <= self.position
            and record.position.era == self.position.era
            and record.target not in self.by_id
            and record.target not in self._tombstones
        )

    def _add_gap(self, after: StorePosition, before: StorePosition) -> None:
        self._gaps.append(_Gap(after, before))
        if len(self._gaps) > _MAX_GAPS:
            self._forget_removals_to(self._gaps[0].before)

    def _forget_removals_to(self, position: StorePosition) -> None:
        self._removals_from = max(self._removals_from, position)
        self._gaps = [
            gap for gap in self._gaps if gap.before > self._removals_from
        ]

    def _may_insert(
        self, record: TargetRecord, known_to: StorePosition
    ) -> bool:
        if record.position <= known_to:
            # Also a list of a former era may hold what the store has no longer.
            return False
        tombstone = self._tombstones.get(record.target)
        if tombstone is None:
            return True
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
            self._last_removal = max(self._last_removal, position)

    def _bury(self, target: str, tombstone: Tombstone) -> None:
        del self.by_id[target]
        self._retained.pop(target, None)
        self._add_tombstone(target, tombstone)
        self._digest = None

    def _add_tombstone(self, target: str, tombstone: Tombstone) -> None:
        self._tombstones.pop(target, None)
        self._tombstones[target] = tombstone
        self._last_removal = max(self._last_removal, tombstone.position)
        while len(self._tombstones) > _MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            self._forget_removals_to(self._tombstones.pop(oldest).position)

    def _end_former_removals(self, now: float) -> list[str]:
        if not self._keeps_former_removals:
            return []
        if self._former_removals_until is None:
            self._former_removals_until = now + self._lapse_s
        if now < self._former_removals_until:
            return []
        self._keeps_former_removals = False
        withheld = list(self._withheld.values())
        return [
            record.target
            for record in withheld
            if self._put(record, NO_POSITION)
        ]


def _position_text(position: StorePosition, current_era: int) -> str:
    if position.era == current_era:
        return str(position.revision)
    return f'{position.revision}.{position.era}'
