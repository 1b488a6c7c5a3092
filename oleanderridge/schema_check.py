"""Checks YAML sources and decoded documents against the project's schemas."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from functools import cache
from pkgutil import get_data
from typing import TYPE_CHECKING, Any, Final, NamedTuple

import yaml
from result import Err, Ok, Result

from oleanderridge.findings import Finding

if TYPE_CHECKING:
    from jsonschema import Draft202012Validator
    from jsonschema.exceptions import ValidationError

Schema = dict[str, Any]
Path = tuple[str | int, ...]
Fault = tuple[Path, str]

# Python's C-based YAML loader is about ten times faster; not every build of
# PyYAML has it.
_LOADER: Final = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)

# JSON numbers beyond this lose precision in other readers.
_LARGEST_NUMBER: Final = 2**53
_QUOTED_LENGTH: Final = 120

# An operator may paste a key where its hash belongs, so findings on these
# fields do not quote the value.
_UNQUOTED: Final = frozenset(('key_hashes', 'token_hashes', 'trusted_keys'))


_NUMBERS: Final[dict[str, Callable[[Any], Any]]] = {
    'integer': int,
    'number': float,
}


class YamlSource(NamedTuple):
    """A parsed YAML text that still knows the line of each value."""

    source: str
    root: yaml.Node | None
    content: Any


@cache
def load_schema(name: str) -> Schema:
    """Return a schema of the package.

    Parameters
    ----------
    name : str
        File name in ``oleanderridge/schema`` without its suffix.

    Returns
    -------
    dict
        The schema; shared, so callers must not change it.
    """
    text = get_data('oleanderridge', f'schema/{name}.yaml')
    if text is None:
        raise FileNotFoundError(f'the package has no schema {name}')
    schema: Schema = yaml.load(text, Loader=_LOADER)  # noqa: S506
    return schema


@cache
def _validator(name: str) -> Draft202012Validator:
    # Imported here: most starts check nothing against the schema itself.
    from jsonschema import Draft202012Validator, FormatChecker

    return Draft202012Validator(
        load_schema(name), format_checker=FormatChecker()
    )


def read_yaml(text: str, source: str) -> Result[YamlSource, list[Finding]]:
    """Parse one YAML document.

    Parameters
    ----------
    text : str
        The YAML text.
    source : str
        Name of the text in findings, usually its file name.

    Returns
    -------
    Result of YamlSource, list of Finding
        The content with its nodes; or the syntax error, all repeated keys
        and all numbers that JSON cannot carry.
    """
    loader = _LOADER(text)
    try:
        root = loader.get_single_node()
        findings = [
            Finding(source, line, path_text(path), message)
            for line, path, message in _node_faults(root)
        ]
        content = loader.construct_document(root) if root else None
    except (yaml.YAMLError, ValueError) as error:
        mark = getattr(error, 'problem_mark', None)
        line = mark.line + 1 if mark else 0
        problem = getattr(error, 'problem', None) or str(error)
        return Err([Finding(source, line, '', f'not YAML: {problem}')])
    finally:
        loader.dispose()
    if findings:
        return Err(findings)
    return Ok(YamlSource(source, root, content))


def _node_faults(
    root: yaml.Node | None,
) -> Iterator[tuple[int, Path, str]]:
    # An alias makes the same node reachable twice; visiting each node once
    # also ends the walk on recursive aliases.
    seen: set[int] = set()
    waiting: list[tuple[Path, yaml.Node]] = [((), root)] if root else []
    while waiting:
        path, node = waiting.pop()
        if id(node) in seen:
            continue
        seen.add(id(node))
        yield from _own_faults(path, node)
        waiting.extend(_children(path, node))


def _own_faults(path: Path, node: yaml.Node) -> Iterator[tuple[int, Path, str]]:
    line = node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        names = set()
        for key, _ in node.value:
            name = str(key.value)
            if name in names:
                yield key.start_mark.line + 1, (*path, name), 'repeated key'
            names.add(name)
    elif node.tag == 'tag:yaml.org,2002:float' and _unbounded(node.value):
        yield line, path, f'{node.value} is not a number that JSON can carry'
    elif node.tag == 'tag:yaml.org,2002:int' and len(node.value) > 15:
        yield line, path, f'{node.value[:20]} is too large'


def _unbounded(text: str) -> bool:
    try:
        number = float(text.replace('_', ''))
    except ValueError:
        # YAML's own forms such as .inf and .nan.
        return True
    return not math.isfinite(number) or abs(number) > _LARGEST_NUMBER


def _children(path: Path, node: yaml.Node) -> Iterator[tuple[Path, yaml.Node]]:
    if isinstance(node, yaml.MappingNode):
        for key, child in node.value:
            yield (*path, str(key.value)), child
    elif isinstance(node, yaml.SequenceNode):
        for position, child in enumerate(node.value):
            yield (*path, position), child


def line_of(root: yaml.Node | None, path: Path) -> int:
    """Return the line of a value.

    Parameters
    ----------
    root : yaml.Node or None
        Root of the parsed text; None when there is no text.
    path : tuple of str or int
        Keys and positions from the root; the line of the longest part of
        the path that exists is used.

    Returns
    -------
    int
        Line, counted from 1; 0 when unknown.
    """
    if root is None:
        return 0
    line, node = root.start_mark.line + 1, root
    for step in path:
        found = _step(node, step)
        if found is None:
            break
        line, node = found
    return line


def _step(node: yaml.Node, step: str | int) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        pairs = (pair for pair in node.value if pair[0].value == str(step))
        found = next(pairs, None)
        return (found[0].start_mark.line + 1, found[1]) if found else None
    if not isinstance(node, yaml.SequenceNode) or not isinstance(step, int):
        return None
    entry = node.value[step] if step < len(node.value) else None
    return (entry.start_mark.line + 1, entry) if entry else None


def path_text(path: Path) -> str:
    """Return a path the way findings show it.

    Parameters
    ----------
    path : tuple of str or int
        Keys and positions from the root.

    Returns
    -------
    str
        For instance ``$.services[2].targets[0].url``.
    """
    steps = (
        f'[{step}]' if isinstance(step, int) else f'.{step}' for step in path
    )
    return f'${"".join(steps)}'


def located(
    source: str, root: yaml.Node | None, faults: Iterable[Fault]
) -> list[Finding]:
    """Return faults as findings with their lines.

    Parameters
    ----------
    source : str
        Name of the text.
    root : yaml.Node or None
        Root of the parsed text; None when there is no text.
    faults : iterable of Fault
        Path and message of each.

    Returns
    -------
    list of Finding
        In the order of the faults.
    """
    return [
        Finding(source, line_of(root, path), path_text(path), message)
        for path, message in faults
    ]


def schema_faults(name: str, content: Any) -> Iterator[Fault]:
    """Yield every violation of a schema.

    Parameters
    ----------
    name : str
        Name of the schema.
    content : Any
        The value to check.

    Yields
    ------
    tuple of path, str
        Where the violation is, and what it is.
    """
    errors = _validator(name).iter_errors(content)
    for error in sorted(errors, key=_sort_key):
        yield from _faults_of(error)


def _sort_key(error: ValidationError) -> list[tuple[str, int]]:
    return [
        ('', step) if isinstance(step, int) else (step, 0)
        for step in _path(error)
    ]


def _path(error: ValidationError) -> Path:
    return tuple(error.absolute_path)


def _faults_of(error: ValidationError) -> Iterator[Fault]:
    path = _path(error)
    if error.validator == 'additionalProperties':
        known = error.schema.get('properties', {})
        for key in error.instance:
            if key not in known:
                yield (*path, str(key)), 'unknown field'
    elif _UNQUOTED.intersection(path):
        yield path, f'violates {error.validator}: {error.validator_value}'
    else:
        yield path, _shortened(error.message)


def _shortened(message: str) -> str:
    if len(message) <= 2 * _QUOTED_LENGTH:
        return message
    return f'{message[:_QUOTED_LENGTH]} ... {message[-_QUOTED_LENGTH:]}'


def fill_defaults(name: str, content: Any) -> Any:
    """Return a valid value with the schema's defaults filled in.

    Sections whose fields are all optional are filled in when absent.

    Parameters
    ----------
    name : str
        Name of the schema.
    content : Any
        A value without violations of the schema.

    Returns
    -------
    Any
        A copy; the argument is left unchanged.
    """
    schema = load_schema(name)
    return _filled(schema, schema['$defs'], content)


def _resolved(schema: Schema, definitions: Schema) -> Schema:
    reference = schema.get('$ref')
    if reference is None:
        return schema
    found: Schema = definitions[reference.rpartition('/')[2]]
    return found


def _filled(schema: Schema, definitions: Schema, content: Any) -> Any:
    schema = _resolved(schema, definitions)
    if isinstance(content, list):
        entry_schema = schema.get('items', {})
        return [_filled(entry_schema, definitions, entry) for entry in content]
    if isinstance(content, dict):
        return _filled_fields(schema, definitions, content)
    # The schema language counts 4.0 as an integer and 4 as a number.
    return _NUMBERS.get(schema.get('type', ''), _unchanged)(content)


def _unchanged(content: Any) -> Any:
    return content


def _filled_fields(
    schema: Schema, definitions: Schema, content: dict[str, Any]
) -> dict[str, Any]:
    fields = schema.get('properties')
    if fields is None:
        return dict(content)
    complete = {}
    for key, field in fields.items():
        field_schema = _resolved(field, definitions)
        given = content.get(key)
        if given is None:
            given = _default(field_schema)
        if given is not None:
            complete[key] = _filled(field_schema, definitions, given)
    return complete


def _default(schema: Schema) -> Any:
    all_optional = 'required' in schema and not schema['required']
    return schema.get('default', {} if all_optional else None)
