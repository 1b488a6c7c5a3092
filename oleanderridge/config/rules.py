"""Rules for bundle documents that a schema cannot state."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import chain
from operator import itemgetter
from typing import Any, Final

from oleanderridge.addresses import is_address_url
from oleanderridge.generated.bundle import (
    BundleDocument,
    Route,
    Service,
    Workspace,
)
from oleanderridge.schema_check import Fault, Path

_METHODS: Final = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'DELETE', 'PATCH')
)
_ANY_METHOD: Final = 'every method'
_NAME: Final = itemgetter('name')
_KEY_HASHES: Final = itemgetter('key_hashes')
_TARGETS: Final = itemgetter('targets')
# Sending one of these twice may run it twice, whatever the operator says.
_NEVER_IDEMPOTENT: Final = frozenset(('POST', 'PATCH'))
# Paths below this prefix belong to the proxy itself.
_RESERVED_PREFIX: Final = '/.oleanderridge'


def entry_faults(section: str, entries: Iterable[Any]) -> Iterator[Fault]:
    """Yield the faults that an entry has whatever the others are.

    Parameters
    ----------
    section : str
        ``workspaces``, ``services`` or ``routes``.
    entries : iterable of dict
        Complete entries that match the schema.

    Yields
    ------
    Fault
        Path and message.
    """
    check = _CHECK_BY_SECTION.get(section)
    if check is not None:
        for position, entry in enumerate(entries):
            yield from check((section, position), entry)


def _service_faults(path: Path, service: Any) -> Iterator[Fault]:
    for place, target in enumerate(service['targets']):
        if not is_address_url(target['url']):
            yield (
                (*path, 'targets', place, 'url'),
                f'{target["url"]} is not http://address:port',
            )
    policy = service['health']
    if policy['ejection_max_s'] < policy['ejection_s']:
        yield (
            (*path, 'health', 'ejection_max_s'),
            f'{policy["ejection_max_s"]} must not be below ejection_s '
            f'{policy["ejection_s"]}',
        )


def _route_faults(path: Path, route: Any) -> Iterator[Fault]:
    if f'{route["prefix"]}/'.startswith(f'{_RESERVED_PREFIX}/'):
        yield (*path, 'prefix'), f'{_RESERVED_PREFIX} is reserved'
    if route['open'] and 'workspaces' in route:
        yield (*path, 'workspaces'), 'an open route is open to everyone'
    for place, method in enumerate(route['methods']):
        if method not in _METHODS:
            yield (*path, 'methods', place), f'unknown method {method!r}'
    for place, method in enumerate(route['idempotent_methods']):
        where = (*path, 'idempotent_methods', place)
        if method not in _METHODS:
            yield where, f'unknown method {method!r}'
        elif method in _NEVER_IDEMPOTENT:
            yield where, f'{method} is never idempotent'


_CHECK_BY_SECTION: Final[dict[str, Callable[[Path, Any], Iterator[Fault]]]] = {
    'services': _service_faults,
    'routes': _route_faults,
}


def reference_faults(document: BundleDocument) -> Iterator[Fault]:
    """Yield the faults that lie between entries.

    Parameters
    ----------
    document : BundleDocument
        A complete document that matches the schema.

    Yields
    ------
    Fault
        Path and message.
    """
    workspaces = document['workspaces']
    services = document['services']
    yield from _name_faults('workspaces', workspaces)
    yield from _name_faults('services', services)
    yield from _key_faults(workspaces)
    yield from _target_faults(services)
    yield from _reference_faults(
        document['routes'],
        {service['name'] for service in services},
        {workspace['name'] for workspace in workspaces},
    )
    yield from _overlap_faults(document['routes'])


def _name_faults(section: str, entries: Iterable[Any]) -> Iterator[Fault]:
    names = [entry['name'] for entry in entries]
    if len(set(names)) == len(names):
        return
    first: dict[str, int] = {}
    for position, name in enumerate(names):
        if first.setdefault(name, position) != position:
            yield (
                (section, position, 'name'),
                f'{name} is also {section}[{first[name]}]',
            )


def _key_faults(workspaces: list[Workspace]) -> Iterator[Fault]:
    hashes = list(
        chain.from_iterable(entry['key_hashes'] for entry in workspaces)
    )
    if len(set(hashes)) == len(hashes):
        return
    owners: dict[str, str] = {}
    for position, workspace in enumerate(workspaces):
        for place, key_hash in enumerate(workspace['key_hashes']):
            owner = owners.get(key_hash)
            if owner is not None:
                yield (
                    ('workspaces', position, 'key_hashes', place),
                    f'the key of workspace {workspace["name"]} is also listed '
                    f'in {owner}',
                )
            owners[key_hash] = workspace['name']


def _target_faults(services: list[Service]) -> Iterator[Fault]:
    names: dict[str, str] = {}
    urls: dict[str, str] = {}
    for position, service in enumerate(services):
        for place, target in enumerate(service['targets']):
            path: Path = ('services', position, 'targets', place)
            name = target['name']
            owner = names.get(name)
            if owner is not None:
                yield (
                    (*path, 'name'),
                    f'target {name} is also in service {owner}',
                )
            names[name] = service['name']
            # The slots of one address would be given out twice.
            other = urls.setdefault(target['url'].removesuffix('/'), name)
            if other != name:
                yield (*path, 'url'), f'{name} has the address of {other}'


def _reference_faults(
    routes: list[Route], services: set[str], workspaces: set[str]
) -> Iterator[Fault]:
    for position, route in enumerate(routes):
        if route['service'] not in services:
            yield (
                ('routes', position, 'service'),
                f'no service {route["service"]}',
            )
        for place, name in enumerate(route.get('workspaces', ())):
            if name not in workspaces:
                yield (
                    ('routes', position, 'workspaces', place),
                    f'no workspace {name}',
                )


def _overlap_faults(routes: list[Route]) -> Iterator[Fault]:
    position_by_method: dict[str, dict[str, int]] = {}
    for position, route in enumerate(routes):
        prefix = route['prefix']
        methods = route['methods'] or [_ANY_METHOD]
        taken = position_by_method.setdefault(prefix, {})
        for method in methods:
            other = _other_route(taken, method)
            if other is not None:
                yield (
                    ('routes', position, 'prefix'),
                    f'{method} of {prefix} is also in routes[{other}]',
                )
            taken[method] = position


def _other_route(taken: dict[str, int], method: str) -> int | None:
    if method == _ANY_METHOD:
        return next(iter(taken.values()), None)
    return taken.get(method, taken.get(_ANY_METHOD))


def additions_hold(
    kept: Mapping[str, list[Any]], added: Mapping[str, list[Any]]
) -> bool:
    """Tell whether kept and added entries make up a valid document.

    It finds what ``reference_faults`` finds, but compares the kept entries
    with the added ones only.

    Parameters
    ----------
    kept : mapping of str to list
        Entries by section that are all part of one valid document.
    added : mapping of str to list
        Other entries by section; they match the schema.

    Returns
    -------
    bool
        False when there is any fault between entries; the full check tells
        which.
    """
    unique = all(
        _disjoint(values_of(added[section]), values_of(kept[section]))
        for section, values_of in _UNIQUE_VALUES
    )
    return (
        unique
        and _routes_hold(kept['routes'], added['routes'])
        and _references_hold(kept, added)
    )


def _disjoint(added: Iterable[str], kept: Iterable[str]) -> bool:
    values = list(added)
    distinct = set(values)
    if len(distinct) != len(values):
        return False
    return not distinct or distinct.isdisjoint(kept)


def _names(entries: list[Any]) -> Iterator[str]:
    return map(_NAME, entries)


def _keys(workspaces: list[Workspace]) -> Iterator[str]:
    return chain.from_iterable(map(_KEY_HASHES, workspaces))


def _target_names(services: list[Service]) -> Iterator[str]:
    return map(_NAME, chain.from_iterable(map(_TARGETS, services)))


def _target_places(services: list[Service]) -> Iterator[str]:
    targets = chain.from_iterable(map(_TARGETS, services))
    return (target['url'].removesuffix('/') for target in targets)


_UNIQUE_VALUES: Final[
    tuple[tuple[str, Callable[[list[Any]], Iterator[str]]], ...]
] = (
    ('workspaces', _names),
    ('workspaces', _keys),
    ('services', _names),
    ('services', _target_names),
    ('services', _target_places),
)


def _routes_hold(kept: list[Route], added: list[Route]) -> bool:
    prefixes = {route['prefix'] for route in added}
    near = [route for route in kept if route['prefix'] in prefixes]
    return not any(_overlap_faults([*near, *added]))


def _references_hold(
    kept: Mapping[str, list[Any]], added: Mapping[str, list[Any]]
) -> bool:
    routes = [*kept['routes'], *added['routes']]
    services = {route['service'] for route in routes}
    named = chain.from_iterable(route.get('workspaces', ()) for route in routes)
    workspaces = set(named)
    for group in (kept, added):
        services.difference_update(map(_NAME, group['services']))
        if workspaces:
            workspaces.difference_update(map(_NAME, group['workspaces']))
    return not services and not workspaces
