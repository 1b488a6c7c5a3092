#!/bin/sh
# The stand-ins need the standard library of Python 3.11 alone. Compiling them
# shows that they can be read.
cd "$(dirname "$0")" || exit 1
python3 - <<'END'
import pathlib
import sys
for file in sorted(pathlib.Path('.').rglob('*.py')):
    compile(file.read_text(), str(file), 'exec')
sys.exit(0 if sys.version_info >= (3, 11) else 1)
END
