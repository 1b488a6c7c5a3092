"""Generates the typed messages, settings and bundle from their schemas."""

from __future__ import annotations

import argparse
import filecmp
import subprocess
import sys
import tempfile
from pathlib import Path

_SCHEMAS = Path('oleanderridge/schema')
_GENERATED = Path('oleanderridge/generated')
_NAMES = ('messages', 'settings', 'bundle', 'gateway', 'fleet')
_TYPED_DICT = (
    '--output-model-type=typing.TypedDict',
    '--no-use-closed-typed-dict',
)
# Messages whose field names would cost bytes on every datagram.
_COMPACT = (
    '--output-model-type=msgspec.Struct',
    '--base-class=oleanderridge.gateway.compact.Compact',
)
_OPTIONS_BY_NAME = {'fleet': _COMPACT}


def generate(name: str, output: Path) -> None:
    """Write the module of one schema.

    Parameters
    ----------
    name : str
        Schema name without its suffix.
    output : Path
        File to write.

    Raises
    ------
    subprocess.CalledProcessError
        The generator refused the schema.
    """
    generator = Path(sys.executable).parent / 'datamodel-codegen'
    command = [
        str(generator),
        f'--input={_SCHEMAS / name}.yaml',
        '--input-file-type=jsonschema',
        *_OPTIONS_BY_NAME.get(name, _TYPED_DICT),
        '--target-python-version=3.11',
        '--disable-timestamp',
        '--use-standard-collections',
        '--use-union-operator',
        '--use-schema-description',
        '--type-mappings=binary=bytes',
        '--formatters',
        'ruff-format',
        '--output',
        str(output),
    ]
    subprocess.run(command, check=True)


def stale_modules() -> list[str]:
    """Return the names whose committed module differs from its schema.

    Returns
    -------
    list of str
        Schema names; empty when the committed code is current.
    """
    stale = []
    with tempfile.TemporaryDirectory(dir=_GENERATED) as folder:
        for name in _NAMES:
            fresh = Path(folder) / f'{name}.py'
            generate(name, fresh)
            committed = _GENERATED / f'{name}.py'
            if not filecmp.cmp(fresh, committed, shallow=False):
                stale.append(name)
    return stale


def main() -> int:
    """Generate the modules, or check them with ``--check``.

    Returns
    -------
    int
        One when ``--check`` found a stale module, otherwise zero.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--check', action='store_true')
    if parser.parse_args().check:
        stale = stale_modules()
        for name in stale:
            print(f'{_GENERATED}/{name}.py is stale: run make generate')
        return int(bool(stale))
    for name in _NAMES:
        generate(name, _GENERATED / f'{name}.py')
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
