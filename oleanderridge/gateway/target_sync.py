"""Synchronizes the table of targets between hosts."""

from __future__ import annotations

from typing import Final

from oleanderridge.gateway.model import DRAINING, TargetRecord
from oleanderridge.gateway.store_position import (
    NO_POSITION,
    Statement,
    StorePosition,
)
from oleanderridge.gateway.target_table import (
    MAX_REMOVALS_SHARED,
    TargetChanges,
    TargetTable,
    Tombstone,
)
from oleanderridge.generated.fleet import (
    Beat,
    RemovedTarget,
    SyncReply,
    SyncRequest,
    TargetEntry,
)

_NO_CHANGES: Final = TargetChanges([], {})


def targets_reply(
    table: TargetTable, request: SyncRequest, age_ms: int
) -> SyncReply:
    """Return a reply with the targets that another host is missing.

    Parameters
    ----------
    table : TargetTable
        What this host knows.
    request : SyncRequest
        What the other host knows.
    age_ms : int
        Age of the table in milliseconds.

    Returns
    -------
    SyncReply
        The whole table if the changes since then aren't known, or contradict
        what the other host has.
    """
    known = StorePosition(request.store_era, request.targets_revision)
    changes = _changes_since(table, known, request.targets_digest)
    whole, unstated = False, known.revision
    if changes is None:
        unstated = last_removal_revision(table)
        whole = (known.era, request.targets_digest) != (
            table.position.era,
            table.digest,
        )
        changes = table.since(NO_POSITION) if whole else _NO_CHANGES
    return SyncReply(
        b'',
        table.position.revision,
        whole,
        [_record_to_entry(record) for record in changes.records],
        [] if whole else list(changes.removed),
        [],
        age_ms,
        store_era=table.position.era,
        removals=[
            _removal_to_entry(target, tombstone)
            for target, tombstone in changes.removed.items()
        ],
        last_removal=unstated,
        targets_digest=table.digest,
    )


def last_removal_revision(table: TargetTable) -> int:
    """Return the revision of the last removal in the table's era, or 0."""
    last = table.last_removal
    return last.revision if last.era == table.position.era else 0


def adopt_position(table: TargetTable, known: Beat | SyncReply) -> None:
    """Take over the position of a host with the same targets.

    Parameters
    ----------
    table : TargetTable
        What this host knows.
    known : Beat or SyncReply
        From the other host. One that states no last removal may have had one
        at its position.
    """
    position = StorePosition(known.store_era, known.targets_revision)
    last_removal = StorePosition(known.store_era, known.last_removal)
    table.adopt(position, last_removal if known.last_removal else position)


def _changes_since(
    table: TargetTable, known: StorePosition, digest: int
) -> TargetChanges | None:
    """Return what a host lacks, or None if it needs everything."""
    if not known.revision or not table.knows_changes_since(known):
        return None
    if known == table.position and digest != table.digest:
        # One of both is wrong.
        return None
    changes = table.since(known)
    too_many = len(changes.removed) > MAX_REMOVALS_SHARED
    return None if too_many else changes


def apply_targets(
    table: TargetTable,
    reply: SyncReply,
    return_until: float,
    retain_until: float = 0,
) -> None:
    """Apply the targets of another host's reply.

    Parameters
    ----------
    table : TargetTable
        What this host knows.
    reply : SyncReply
        What the other host knows.
    return_until : float
        Monotonic seconds until which a target that a copy of the store lacks
        may register again.
    retain_until : float
        Monotonic seconds until which a target that may have expired while the
        store was away stays in use; 0 if the store wasn't.
    """
    records = [_record_from_entry(entry) for entry in reply.targets]
    position = StorePosition(reply.store_era, reply.targets_revision)
    if reply.whole:
        _apply_whole(table, records, position, (return_until, retain_until))
    else:
        for record in records:
            table.put(record)
    for entry in reply.removals:
        table.merge_removal(*_removal_from_entry(entry), retain_until)
    if reply.whole:
        return
    if not reply.removals:
        # Hosts of before name removals without their positions.
        for target in reply.removed:
            table.remove(target, position)
    adopt_position(table, reply)
    differs = reply.targets_digest not in {0, table.digest}
    if differs and table.position == position:
        table.needs_check = True


def _apply_whole(
    table: TargetTable,
    records: list[TargetRecord],
    position: StorePosition,
    untils: tuple[float, float],
) -> None:
    return_until, retain_until = untils
    former = table.position
    restored = former != NO_POSITION and position.era > former.era
    until = return_until if restored else retain_until
    for target in table.merge_list(records, position):
        if until and table.by_id[target].state != DRAINING:
            table.postpone_removal(target, position, until)
        else:
            table.remove(target, position)


def _record_to_entry(record: TargetRecord) -> TargetEntry:
    return TargetEntry(
        record.target,
        record.service,
        record.address,
        record.zone,
        record.slots,
        record.state,
        int(record.cold_s * 1000),
        record.born_ms,
        record.position.revision,
        record.position.era,
        record.sequence,
    )


def _record_from_entry(entry: TargetEntry) -> TargetRecord:
    return TargetRecord(
        entry.target,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.state,
        entry.cold_ms / 1000,
        entry.born_ms,
        StorePosition(entry.store_era, entry.revision),
        entry.sequence,
    )


def _removal_to_entry(target: str, tombstone: Tombstone) -> RemovedTarget:
    last = tombstone.last
    return RemovedTarget(
        target,
        tombstone.position.revision,
        tombstone.position.era,
        last.born_ms,
        last.sequence,
        last.position.revision,
        last.position.era,
    )


def _removal_from_entry(entry: RemovedTarget) -> tuple[str, Tombstone]:
    last = Statement(
        StorePosition(entry.last_era, entry.last_revision),
        entry.born_ms,
        entry.sequence,
    )
    position = StorePosition(entry.store_era, entry.revision)
    return entry.target, Tombstone(position, last)
