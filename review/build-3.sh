#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start besides the program of the deploy file.
# The stand-ins need nothing but the standard library of Python 3.11: they are only compiled.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
paths = [*pathlib.Path("common-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/*.py")]
for path in paths:
    ast.parse(path.read_text(), str(path))
PY
