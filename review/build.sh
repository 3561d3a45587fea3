#!/bin/sh
# The stand-ins are Python programs without dependencies; this checks that each one can be read by the interpreter.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in glob.glob("stand/*.py") + glob.glob("other/*.py") + glob.glob("[0-9]/*.py"):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
