"""Decodes the records of the platform's store."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from re import compile as compile_pattern
from typing import Any, Final, NamedTuple

from msgspec import DecodeError
from msgspec.json import decode
from result import Err, Ok, Result

from oleanderridge.addresses import is_address
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
from oleanderridge.gateway.store_position import StorePosition

CONFIGURATION_KEY: Final = 'op/config'
TARGET_PREFIX: Final = 'servers/'

_STATE_BY_NAME: Final = {'ready': READY, 'draining': DRAINING}
_KIND_BY_ROUTE_TYPE: Final = {'safe': SAFE, 'download': SAFE, 'unsafe': UNSAFE}
Fields = dict[str, Any]

_TARGET_NAME: Final = compile_pattern('[!-~]{1,200}')
_VERSION: Final = compile_pattern('r[0-9]{1,15}')
_MAX_NAME_LENGTH: Final = 255
# Of a value that is not valid, so many characters are reported.
_MAX_SHOWN: Final = 32
# Documents nested too deeply, or with numbers of too many digits.
_UNDECODABLE: Final = (DecodeError, ValueError, RecursionError)


class _Bounds(NamedTuple):
    """Inclusive bounds of a number."""

    least: float
    most: float


# Whole numbers up to this are the same in JSON, as a float and on the wire.
_NUMBER: Final = _Bounds(0, 2**53 - 1)
_SLOTS: Final = _Bounds(1, 65536)
_WARMUP_S: Final = _Bounds(-86400, 86400)


class _FieldError(Exception):
    """A field is missing or has the wrong type or value."""

    def __init__(self, path: str, message: str) -> None:
        super().__init__(message)
        self.path = path
        self.message = message


def decode_target(
    key: str, value: bytes, position: StorePosition
) -> Result[TargetRecord, Finding]:
    """Decode the registration of a target.

    Parameters
    ----------
    key : str
        Store key.
    value : bytes
        JSON document.
    position : StorePosition
        Where the store has its last change.

    Returns
    -------
    Result of TargetRecord, Finding
        The record, or the first error and its path.
    """
    target = key.removeprefix(TARGET_PREFIX)
    try:
        return Ok(
            _decode_target_fields(
                target, _as_object(decode(value), '$'), position
            )
        )
    except _FieldError as field_error:
        return Err(Finding(key, 0, field_error.path, field_error.message))
    except _UNDECODABLE as error:
        return Err(Finding(key, 0, '', f'cannot be decoded: {error}'))


def _decode_target_fields(
    target: str, fields: Fields, position: StorePosition
) -> TargetRecord:
    if not _TARGET_NAME.fullmatch(target):
        raise _FieldError('', 'the key names no target')
    state = _name_field(fields, 'state', '$')
    if state not in _STATE_BY_NAME:
        raise _FieldError('$.state', f'{state!r} is not a known state')
    address = _name_field(fields, 'address', '$')
    if not is_address(address, port_required=True):
        raise _FieldError('$.address', 'is not an IP address with a port')
    _name_field(fields, 'version', '$')
    return TargetRecord(
        target,
        _name_field(fields, 'service', '$'),
        address,
        _name_field(fields, 'zone', '$'),
        _integer_field(fields, 'slots', '$', _SLOTS),
        _STATE_BY_NAME[state],
        max(0, _number_field(fields, 'warmup_left_s', '$', bounds=_WARMUP_S)),
        _integer_field(fields, 'born', '$', default=0),
        position,
        _integer_field(fields, 'sequence', '$'),
    )


def decode_configuration(
    source: bytes,
) -> Result[Configuration, list[Finding]]:
    """Decode a configuration; any invalid entry rejects all of it.

    Parameters
    ----------
    source : bytes
        JSON document as published by the operator.

    Returns
    -------
    Result of Configuration, list of Finding
        The configuration, or the first error of each invalid entry.
    """
    try:
        document = _as_object(decode(source), '$')
        version = _parse_version(document)
        resources = _list_field(document, 'resources', '$')
    except _FieldError as field_error:
        return Err(
            [
                Finding(
                    CONFIGURATION_KEY, 0, field_error.path, field_error.message
                )
            ]
        )
    except _UNDECODABLE as error:
        message = f'cannot be decoded: {error}'
        return Err([Finding(CONFIGURATION_KEY, 0, '', message)])
    routes: list[RouteRule] = []
    workspaces: list[Workspace] = []
    limits = RequestLimits()
    findings = []
    for index, resource in enumerate(resources):
        try:
            entry = _decode_resource(resource, f'$.resources[{index}]')
        except _FieldError as field_error:
            findings.append(
                Finding(
                    CONFIGURATION_KEY, 0, field_error.path, field_error.message
                )
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
            _group_by_host(routes),
            _index_by_key(workspaces),
            {each.name: each for each in workspaces},
            limits,
        )
    )


def _decode_resource(
    resource: Any, path: str
) -> RouteRule | Workspace | RequestLimits | None:
    fields = _as_object(resource, path)
    decoder = _DECODER_BY_RESOURCE_TYPE.get(
        _string_field(fields, 'resource_type', path)
    )
    if decoder is None:
        return None
    metadata = _as_object(fields.get('metadata', {}), f'{path}.metadata')
    spec = _as_object(fields.get('spec', {}), f'{path}.spec')
    return decoder(metadata.get('name', ''), spec, f'{path}.spec')


def _index_by_key(workspaces: list[Workspace]) -> dict[str, Workspace]:
    by_key = {}
    for workspace in workspaces:
        for key in workspace.keys:
            by_key[key] = workspace
    return by_key


def _group_by_host(routes: list[RouteRule]) -> dict[str, tuple[RouteRule, ...]]:
    by_host: dict[str, list[RouteRule]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(rules, key=_prefix_length, reverse=True))
        for host, rules in by_host.items()
    }


def _prefix_length(route: RouteRule) -> int:
    return len(route.prefix)


def _decode_route(name: str, spec: Fields, path: str) -> RouteRule:
    kind = _string_field(spec, 'type', path)
    # An unknown type may have side effects, so it is executed at most once.
    timeout_s = _number_field(spec, 'timeout_s', path)
    return RouteRule(
        name,
        _string_field(spec, 'host', path).lower(),
        _string_field(spec, 'prefix', path),
        _KIND_BY_ROUTE_TYPE.get(kind, UNSAFE),
        timeout_s,
        _number_field(spec, 'target_latency_s', path, timeout_s),
        _integer_field(spec, 'priority', path, default=0),
        max(1, _integer_field(spec, 'max_attempts', path, default=1)),
        bool(spec.get('auth_exempt', False)),
        tuple(_decode_shares(spec, path)),
    )


def _decode_shares(spec: Fields, path: str) -> Iterator[Share]:
    if spec.get('weighted_services'):
        for index, part in enumerate(
            _list_field(spec, 'weighted_services', path)
        ):
            part_path = f'{path}.weighted_services[{index}]'
            fields = _as_object(part, part_path)
            service = _string_field(fields, 'service', part_path)
            yield Share(service, _number_field(fields, 'weight', part_path))
        return
    yield Share(_string_field(spec, 'service', path), 1)


def _decode_workspace(name: str, spec: Fields, path: str) -> Workspace:
    keys = [
        key
        for key in _list_field(spec, 'api_keys', path)
        if isinstance(key, str)
    ]
    priority = spec.get('priority')
    return Workspace(
        name,
        tuple(keys),
        None if priority is None else _integer_field(spec, 'priority', path),
        _number_field(spec, 'rate_per_s', path, 0),
        _number_field(spec, 'burst', path, 0),
    )


def _decode_limits(_name: str, spec: Fields, path: str) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        _integer_field(
            spec, 'max_header_bytes', path, default=defaults.header_bytes
        ),
        _integer_field(
            spec, 'max_body_bytes', path, default=defaults.body_bytes
        ),
        _number_field(
            spec, 'header_timeout_s', path, defaults.header_timeout_s
        ),
        _number_field(spec, 'idle_timeout_s', path, defaults.idle_timeout_s),
    )


_DECODER_BY_RESOURCE_TYPE: Final[dict[str, Callable[..., Any]]] = {
    'routes': _decode_route,
    'tenants': _decode_workspace,
    'limits': _decode_limits,
}


def _parse_version(document: Fields) -> int:
    version = _string_field(document, 'version', '$')
    if not _VERSION.fullmatch(version):
        shown = version[:_MAX_SHOWN]
        raise _FieldError('$.version', f'{shown!r} is not a valid version')
    return int(version[1:])


def _as_object(value: Any, path: str) -> Fields:
    if not isinstance(value, dict):
        raise _FieldError(path, 'is not an object')
    return value


def _list_field(fields: Fields, name: str, path: str) -> list[Any]:
    value = fields.get(name, [])
    if not isinstance(value, list):
        raise _FieldError(f'{path}.{name}', 'is not a list')
    return value


def _string_field(fields: Fields, name: str, path: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise _FieldError(f'{path}.{name}', 'is missing, empty or not a string')
    return value


def _name_field(fields: Fields, name: str, path: str) -> str:
    value = _string_field(fields, name, path)
    if len(value) > _MAX_NAME_LENGTH:
        raise _FieldError(f'{path}.{name}', 'is too long')
    return value


def _number_field(
    fields: Fields,
    name: str,
    path: str,
    default: float | None = None,
    *,
    bounds: _Bounds = _NUMBER,
) -> float:
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise _FieldError(f'{path}.{name}', 'is missing or not a number')
    if not bounds.least <= value <= bounds.most:
        message = f'is not between {bounds.least} and {bounds.most}'
        raise _FieldError(f'{path}.{name}', message)
    return value


def _integer_field(
    fields: Fields,
    name: str,
    path: str,
    bounds: _Bounds = _NUMBER,
    default: int | None = None,
) -> int:
    value = _number_field(fields, name, path, default, bounds=bounds)
    if value != int(value):
        raise _FieldError(f'{path}.{name}', 'is not a whole number')
    return int(value)
