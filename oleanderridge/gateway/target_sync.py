"""Synchronizes the table of targets between hosts."""

from __future__ import annotations

from oleanderridge.gateway.model import DRAINING, TargetRecord
from oleanderridge.gateway.store_position import (
    NO_POSITION,
    Statement,
    StorePosition,
)
from oleanderridge.gateway.target_table import (
    TargetChanges,
    TargetTable,
    Tombstone,
)
from oleanderridge.generated.fleet import (
    RemovedTarget,
    SyncReply,
    SyncRequest,
    TargetEntry,
)


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
        The whole table if the changes since then aren't known.
    """
    known = StorePosition(request.store_era, request.targets_revision)
    same_era = known.era == table.position.era
    whole = not same_era or known >= table.position or not known.revision
    if same_era and request.targets_digest == table.digest:
        changes, whole = TargetChanges([], {}), False
    else:
        changes = table.since(NO_POSITION if whole else known)
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
    )


def apply_targets(table: TargetTable, reply: SyncReply, until: float) -> None:
    """Apply the targets of another host's reply.

    Parameters
    ----------
    table : TargetTable
        What this host knows.
    reply : SyncReply
        What the other host knows.
    until : float
        Monotonic seconds until which a target that a copy of the store lacks
        may register again.
    """
    records = [_record_from_entry(entry) for entry in reply.targets]
    position = StorePosition(reply.store_era, reply.targets_revision)
    if reply.whole:
        former = table.position
        restored = former != NO_POSITION and position.era > former.era
        for target in table.replace(records, position):
            if restored and table.by_id[target].state != DRAINING:
                table.postpone_removal(target, position, until)
            else:
                table.remove(target, position)
    else:
        for record in records:
            table.put(record)
        for target in reply.removed:
            table.remove(target, position)
        table.advance(position)
    for entry in reply.removals:
        table.merge_removal(*_removal_from_entry(entry))


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
