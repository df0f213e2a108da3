#!/bin/sh
# The stand-ins of review/6, review/8 and review/9 are Python programs without
# dependencies (Python 3.11 or newer); this checks that they can be run.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in ("stand_in_2.py", "6/case.py", "8/case.py", "9/case.py"):
    ast.parse(open(name, encoding="utf-8").read(), name)
CHECK
