"""Wire form of the records and removals of targets."""

from __future__ import annotations

from oleanderridge.gateway.model import TargetRecord
from oleanderridge.gateway.store_position import Statement, StorePosition
from oleanderridge.gateway.target_table import Tombstone
from oleanderridge.generated.fleet import RemovedTarget, TargetEntry


def record_to_entry(record: TargetRecord) -> TargetEntry:
    """Return the wire form of a record."""
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


def record_from_entry(entry: TargetEntry) -> TargetRecord:
    """Return the record of a wire form."""
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


def removal_to_entry(target: str, tombstone: Tombstone) -> RemovedTarget:
    """Return the wire form of a removal."""
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


def removal_from_entry(entry: RemovedTarget) -> tuple[str, Tombstone]:
    """Return the target and the tombstone of a wire form."""
    last = Statement(
        StorePosition(entry.last_era, entry.last_revision),
        entry.born_ms,
        entry.sequence,
    )
    position = StorePosition(entry.store_era, entry.revision)
    return entry.target, Tombstone(position, last)
