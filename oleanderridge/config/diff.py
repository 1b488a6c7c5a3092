"""Compares two bundle documents entry by entry."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from oleanderridge.generated.bundle import BundleDocument

_ABSENT: Final = None


class FieldChange(NamedTuple):
    """Old and new value of a field; None where it is absent."""

    field: str
    old: Any
    new: Any


class Change(NamedTuple):
    """One entry that was ``added``, ``removed`` or ``changed``."""

    section: str
    name: str
    kind: str
    fields: tuple[FieldChange, ...]


def diff(old: BundleDocument, new: BundleDocument) -> Iterator[Change]:
    """Yield the changes between two documents.

    Parameters
    ----------
    old : BundleDocument
        The earlier document, complete.
    new : BundleDocument
        The later document, complete.

    Yields
    ------
    Change
        By section, then by name; version and parent do not count.
    """
    for section, name_of in _NAME_BY_SECTION.items():
        yield from _section_changes(
            section,
            _by_name(old, section, name_of),
            _by_name(new, section, name_of),
        )


def _by_name(
    document: Any, section: str, name_of: Callable[[Any], str]
) -> dict[str, Any]:
    return {name_of(entry): entry for entry in document[section]}


def _section_changes(
    section: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            yield Change(section, name, 'removed', ())
        elif name not in old:
            yield Change(section, name, 'added', ())
        elif old[name] != new[name]:
            fields = tuple(_field_changes(old[name], new[name]))
            yield Change(section, name, 'changed', fields)


def _field_changes(old: Any, new: Any) -> Iterator[FieldChange]:
    for field in sorted(old.keys() | new.keys()):
        before, after = old.get(field, _ABSENT), new.get(field, _ABSENT)
        if before == after:
            continue
        if field == 'targets':
            yield from _target_changes(before, after)
        elif isinstance(before, dict) and isinstance(after, dict):
            for change in _field_changes(before, after):
                yield change._replace(field=f'{field}.{change.field}')
        elif isinstance(before, list) and isinstance(after, list):
            yield FieldChange(
                field,
                [entry for entry in before if entry not in after],
                [entry for entry in after if entry not in before],
            )
        else:
            yield FieldChange(field, before, after)


def _target_changes(old: list[Any], new: list[Any]) -> Iterator[FieldChange]:
    before = {target['name']: target for target in old}
    after = {target['name']: target for target in new}
    for name in sorted(before.keys() | after.keys()):
        place = f'targets.{name}'
        if name not in before or name not in after:
            yield FieldChange(place, before.get(name), after.get(name))
            continue
        for change in _field_changes(before[name], after[name]):
            yield change._replace(field=f'{place}.{change.field}')


def _entry_name(entry: Any) -> str:
    name: str = entry['name']
    return name


def _route_name(route: Any) -> str:
    methods = ','.join(sorted(route['methods'])) or '*'
    return f'{methods} {route["prefix"]}'


_NAME_BY_SECTION: Final[dict[str, Callable[[Any], str]]] = {
    'workspaces': _entry_name,
    'services': _entry_name,
    'routes': _route_name,
}
