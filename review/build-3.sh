#!/bin/sh
# The stand-ins of review/14 are Python programs without dependencies (Python
# 3.11 or newer), review/stand_in_2.py among them; this checks that they can be
# run.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in ("stand_in_2.py", "14/case.py"):
    ast.parse(open(name, encoding="utf-8").read(), name)
CHECK
