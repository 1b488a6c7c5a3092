"""Bundle documents: from YAML source or canonical JSON, checked."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Final, cast

import yaml
from msgspec import DecodeError
from msgspec.json import Decoder, Encoder
from result import Err, Ok, Result

from oleanderridge.findings import Finding
from oleanderridge.generated.bundle import BundleDocument
from oleanderridge.schema_check import (
    Path,
    fill_defaults,
    line_of,
    path_text,
    read_yaml,
    schema_faults,
)

SECTIONS: Final = ('workspaces', 'services', 'routes')

_Fault = tuple[Path, str]
_ENCODER: Final = Encoder(order='deterministic')
_DECODER: Final = Decoder()
_METHODS: Final = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'DELETE', 'PATCH')
)
# Sending one of these twice may run it twice, whatever the operator says.
_NEVER_IDEMPOTENT: Final = frozenset(('POST', 'PATCH'))
# Paths below this prefix belong to the proxy itself.
_RESERVED_PREFIX: Final = '/.oleanderridge'


def parse_source(
    text: str, source: str
) -> Result[BundleDocument, list[Finding]]:
    """Return the document that a YAML source describes.

    Parameters
    ----------
    text : str
        YAML.
    source : str
        Name of the text in findings.

    Returns
    -------
    Result of BundleDocument, list of Finding
        The complete document, defaults filled in; or all findings.
    """
    parsed = read_yaml(text, source)
    if parsed.is_err():
        return Err(parsed.unwrap_err())
    return _checked(parsed.unwrap().content, source, parsed.unwrap().root)


def decode(content: bytes) -> Result[BundleDocument, list[Finding]]:
    """Return the document in canonical JSON.

    Parameters
    ----------
    content : bytes
        JSON as ``canonical`` writes it.

    Returns
    -------
    Result of BundleDocument, list of Finding
        The complete document, defaults filled in; or all findings.
    """
    try:
        untyped = _DECODER.decode(content)
    except (DecodeError, UnicodeDecodeError) as error:
        return Err([Finding('bundle', 0, '', f'not JSON: {error}')])
    return _checked(untyped, 'bundle', None)


def _checked(
    content: Any, source: str, root: yaml.Node | None
) -> Result[BundleDocument, list[Finding]]:
    faults = list(schema_faults('bundle', content))
    document = None
    if not faults:
        document = cast(BundleDocument, fill_defaults('bundle', content))
        faults = list(_rule_faults(document))
    if document is None or faults:
        return Err(
            [
                Finding(source, line_of(root, path), path_text(path), message)
                for path, message in faults
            ]
        )
    return Ok(document)


def validate(document: BundleDocument, source: str) -> list[Finding]:
    """Return everything that is wrong with a document.

    Parameters
    ----------
    document : BundleDocument
        The document; optional fields may be absent.
    source : str
        Name of the document in findings.

    Returns
    -------
    list of Finding
        Empty when the document can be put in force.
    """
    return _checked(document, source, None).err() or []


def canonical(document: BundleDocument) -> bytes:
    """Return the JSON form that is split into chunks and signed.

    Entries are sorted by name and stand one to a line, so that a change of
    one entry leaves the bytes of all others as they were.

    Parameters
    ----------
    document : BundleDocument
        A valid document.

    Returns
    -------
    bytes
        UTF-8 JSON; equal documents have equal bytes.
    """
    head = _ENCODER.encode(
        {'version': document['version'], 'parent': document['parent']}
    )
    parts = [head[:-1]]
    for section in SECTIONS:
        entries = cast(list[dict[str, Any]], cast(Any, document)[section])
        ordered = sorted(entries, key=_ORDER_BY_SECTION[section])
        lines = b',\n'.join(map(_ENCODER.encode, ordered))
        parts.append(b',"%s":[\n%s\n]' % (section.encode(), lines))
    return b'%s}\n' % b''.join(parts)


def _name_of(entry: dict[str, Any]) -> str:
    name: str = entry['name']
    return name


def _route_order(route: dict[str, Any]) -> tuple[str, list[str]]:
    return route['prefix'], sorted(route.get('methods', ()))


_ORDER_BY_SECTION: Final[dict[str, Callable[[dict[str, Any]], Any]]] = {
    'workspaces': _name_of,
    'services': _name_of,
    'routes': _route_order,
}


def _rule_faults(document: BundleDocument) -> Iterator[_Fault]:
    yield from _workspace_faults(document)
    yield from _service_faults(document)
    yield from _route_faults(document)


def _workspace_faults(document: BundleDocument) -> Iterator[_Fault]:
    names: dict[str, int] = {}
    owner_by_hash: dict[str, str] = {}
    for position, workspace in enumerate(document['workspaces']):
        path: Path = ('workspaces', position)
        name = workspace['name']
        if names.setdefault(name, position) != position:
            yield (*path, 'name'), f'workspace {name} is defined twice'
        for place, key_hash in enumerate(workspace['key_hashes']):
            owner = owner_by_hash.setdefault(key_hash, name)
            if owner != name:
                yield (
                    (*path, 'key_hashes', place),
                    f'the key of workspace {name} also belongs to {owner}',
                )


def _service_faults(document: BundleDocument) -> Iterator[_Fault]:
    names: dict[str, int] = {}
    service_by_target: dict[str, str] = {}
    for position, service in enumerate(document['services']):
        path: Path = ('services', position)
        name = service['name']
        if names.setdefault(name, position) != position:
            yield (*path, 'name'), f'service {name} is defined twice'
        for place, target in enumerate(service['targets']):
            owner = service_by_target.get(target['name'])
            if owner is not None:
                yield (
                    (*path, 'targets', place, 'name'),
                    f'target {target["name"]} is also in service {owner}',
                )
            service_by_target[target['name']] = name
        policy = cast(dict[str, float], service.get('health', {}))
        if policy['ejection_max_s'] < policy['ejection_s']:
            yield (
                (*path, 'health', 'ejection_max_s'),
                f'{policy["ejection_max_s"]} must not be below ejection_s '
                f'{policy["ejection_s"]}',
            )


def _route_faults(document: BundleDocument) -> Iterator[_Fault]:
    services = {service['name'] for service in document['services']}
    workspaces = {workspace['name'] for workspace in document['workspaces']}
    taken: dict[tuple[str, str], int] = {}
    for position, route in enumerate(document['routes']):
        path: Path = ('routes', position)
        if route['service'] not in services:
            yield (*path, 'service'), f'no service {route["service"]}'
        for place, name in enumerate(route.get('workspaces', ())):
            if name not in workspaces:
                yield (*path, 'workspaces', place), f'no workspace {name}'
        if f'{route["prefix"]}/'.startswith(f'{_RESERVED_PREFIX}/'):
            yield (*path, 'prefix'), f'{_RESERVED_PREFIX} is reserved'
        for method in route['methods'] or ('*',):
            other = taken.setdefault((route['prefix'], method), position)
            if other != position:
                yield (
                    (*path, 'prefix'),
                    f'{method} {route["prefix"]} is also routes[{other}]',
                )
        yield from _method_faults(path, cast(dict[str, Any], route))


def _method_faults(path: Path, route: dict[str, Any]) -> Iterator[_Fault]:
    for field in ('methods', 'idempotent_methods'):
        for place, method in enumerate(route[field]):
            if method not in _METHODS:
                yield (*path, field, place), f'unknown method {method!r}'
            elif field != 'methods' and method in _NEVER_IDEMPOTENT:
                yield (*path, field, place), f'{method} is never idempotent'
