#!/bin/sh
# Checks that the stand-ins of the scripts compile; they need only the standard library.
set -eu
cd "$(dirname "$0")"
python3 -c '
import ast, pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
'
