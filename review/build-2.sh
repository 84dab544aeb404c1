#!/bin/sh
# Build the stand-ins of the scripts: they are plain Python and are only checked here.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in (pathlib.Path("review/stand.py"), *pathlib.Path("review").glob("*/case.py")):
    ast.parse(path.read_text("utf-8"), str(path))
PYTHON
