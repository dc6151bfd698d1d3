#!/bin/sh
# The stand-ins of the scripts use only Python's standard library: this checks that they compile.
cd "$(dirname "$0")" || exit 2
python3 -B - <<'PYTHON'
import pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
