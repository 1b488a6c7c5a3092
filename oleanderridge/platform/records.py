"""Decodes what the platform's store holds."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Final

from msgspec import DecodeError
from msgspec.json import decode
from result import Err, Ok, Result

from oleanderridge.findings import Finding
from oleanderridge.gateway.model import (
    DRAINING,
    READY,
    SAFE,
    UNSAFE,
    Configuration,
    RequestLimits,
    RouteRule,
    Share,
    TargetRecord,
    Workspace,
)

CONFIGURATION_KEY: Final = 'op/config'
TARGET_PREFIX: Final = 'servers/'

_STATES: Final = {'ready': READY, 'draining': DRAINING}
_KINDS: Final = {'safe': SAFE, 'download': SAFE, 'unsafe': UNSAFE}
Fields = dict[str, Any]


class _FieldError(Exception):
    """A field is missing or of another type."""

    def __init__(self, path: str, message: str) -> None:
        super().__init__(message)
        self.path = path
        self.message = message


def decode_target(
    key: str, value: bytes, revision: int
) -> Result[TargetRecord, Finding]:
    """Return what one target says of itself.

    Parameters
    ----------
    key : str
        Key of the entry.
    value : bytes
        The entry.
    revision : int
        Revision of its last change.

    Returns
    -------
    Result of TargetRecord, Finding
        The record, or the first fault with its place.
    """
    target = key.removeprefix(TARGET_PREFIX)
    try:
        return Ok(_target(target, _object(decode(value), '$'), revision))
    except _FieldError as fault:
        return Err(Finding(key, 0, fault.path, fault.message))
    except (DecodeError, ValueError) as error:
        return Err(Finding(key, 0, '', f'cannot be read: {error}'))


def _target(target: str, fields: Fields, revision: int) -> TargetRecord:
    state = _string(fields, 'state', '$')
    if state not in _STATES:
        raise _FieldError('$.state', f'{state!r} is no state')
    address = _string(fields, 'address', '$')
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise _FieldError('$.address', 'is no address and port')
    slots = _number(fields, 'slots', '$')
    if slots < 1 or slots != int(slots):
        raise _FieldError('$.slots', f'{slots} is no number of slots')
    born = _number(fields, 'born', '$', 0)
    _number(fields, 'sequence', '$')
    _string(fields, 'version', '$')
    return TargetRecord(
        target,
        _string(fields, 'service', '$'),
        address,
        _string(fields, 'zone', '$'),
        int(slots),
        _STATES[state],
        _number(fields, 'warmup_left_s', '$'),
        int(born),
        revision,
    )


def decode_configuration(
    source: bytes,
) -> Result[Configuration, list[Finding]]:
    """Return a configuration, whole or not at all.

    Parameters
    ----------
    source : bytes
        The document as the operator wrote it.

    Returns
    -------
    Result of Configuration, list of Finding
        The configuration, or the first fault of each of its entries.
    """
    try:
        document = _object(decode(source), '$')
        version = _version(document)
        resources = _list(document, 'resources', '$')
    except _FieldError as fault:
        return Err([Finding(CONFIGURATION_KEY, 0, fault.path, fault.message)])
    except (DecodeError, ValueError) as error:
        message = f'cannot be read: {error}'
        return Err([Finding(CONFIGURATION_KEY, 0, '', message)])
    routes: list[RouteRule] = []
    workspaces: list[Workspace] = []
    limits = RequestLimits()
    findings = []
    for place, resource in enumerate(resources):
        try:
            entry = _entry(resource, f'$.resources[{place}]')
        except _FieldError as fault:
            findings.append(
                Finding(CONFIGURATION_KEY, 0, fault.path, fault.message)
            )
            continue
        if isinstance(entry, RouteRule):
            routes.append(entry)
        elif isinstance(entry, Workspace):
            workspaces.append(entry)
        elif isinstance(entry, RequestLimits):
            limits = entry
    if findings:
        return Err(findings)
    return Ok(
        Configuration(
            version,
            source,
            _by_host(routes),
            _by_key(workspaces),
            {each.name: each for each in workspaces},
            limits,
        )
    )


def _entry(
    resource: Any, at: str
) -> RouteRule | Workspace | RequestLimits | None:
    fields = _object(resource, at)
    read = _READ_BY_TYPE.get(_string(fields, 'resource_type', at))
    if read is None:
        return None
    meta = _object(fields.get('metadata', {}), f'{at}.metadata')
    spec = _object(fields.get('spec', {}), f'{at}.spec')
    return read(meta.get('name', ''), spec, f'{at}.spec')


def _by_key(workspaces: list[Workspace]) -> dict[str, Workspace]:
    by_key = {}
    for workspace in workspaces:
        for key in workspace.keys:
            by_key[key] = workspace
    return by_key


def _by_host(routes: list[RouteRule]) -> dict[str, tuple[RouteRule, ...]]:
    by_host: dict[str, list[RouteRule]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(rules, key=_prefix_length, reverse=True))
        for host, rules in by_host.items()
    }


def _prefix_length(route: RouteRule) -> int:
    return len(route.prefix)


def _route(name: str, spec: Fields, at: str) -> RouteRule:
    kind = _string(spec, 'type', at)
    # A kind that is not known may have effects: it runs once at most.
    timeout_s = _number(spec, 'timeout_s', at)
    return RouteRule(
        name,
        _string(spec, 'host', at).lower(),
        _string(spec, 'prefix', at),
        _KINDS.get(kind, UNSAFE),
        timeout_s,
        _number(spec, 'target_latency_s', at, timeout_s),
        int(_number(spec, 'priority', at, 0)),
        max(1, int(_number(spec, 'max_attempts', at, 1))),
        bool(spec.get('auth_exempt', False)),
        tuple(_shares(spec, at)),
    )


def _shares(spec: Fields, at: str) -> Iterator[Share]:
    if spec.get('weighted_services'):
        for place, part in enumerate(_list(spec, 'weighted_services', at)):
            part_at = f'{at}.weighted_services[{place}]'
            fields = _object(part, part_at)
            service = _string(fields, 'service', part_at)
            yield Share(service, _number(fields, 'weight', part_at))
        return
    yield Share(_string(spec, 'service', at), 1)


def _workspace(name: str, spec: Fields, at: str) -> Workspace:
    keys = [key for key in _list(spec, 'api_keys', at) if isinstance(key, str)]
    priority = spec.get('priority')
    return Workspace(
        name,
        tuple(keys),
        None if priority is None else int(_number(spec, 'priority', at)),
        _number(spec, 'rate_per_s', at, 0),
        _number(spec, 'burst', at, 0),
    )


def _limits(_name: str, spec: Fields, at: str) -> RequestLimits:
    known = RequestLimits()
    return RequestLimits(
        int(_number(spec, 'max_header_bytes', at, known.header_bytes)),
        int(_number(spec, 'max_body_bytes', at, known.body_bytes)),
        _number(spec, 'header_timeout_s', at, known.header_timeout_s),
        _number(spec, 'idle_timeout_s', at, known.idle_timeout_s),
    )


_READ_BY_TYPE: Final[dict[str, Callable[..., Any]]] = {
    'routes': _route,
    'tenants': _workspace,
    'limits': _limits,
}


def _version(document: Fields) -> int:
    version = _string(document, 'version', '$')
    if not version.startswith('r') or not version[1:].isdigit():
        raise _FieldError('$.version', f'{version!r} is no version')
    return int(version[1:])


def _object(value: Any, at: str) -> Fields:
    if not isinstance(value, dict):
        raise _FieldError(at, 'is not an object')
    return value


def _list(fields: Fields, name: str, at: str) -> list[Any]:
    value = fields.get(name, [])
    if not isinstance(value, list):
        raise _FieldError(f'{at}.{name}', 'is not a list')
    return value


def _string(fields: Fields, name: str, at: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise _FieldError(f'{at}.{name}', 'is missing or not text')
    return value


def _number(
    fields: Fields, name: str, at: str, default: float | None = None
) -> float:
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise _FieldError(f'{at}.{name}', 'is missing or not a number')
    return value
