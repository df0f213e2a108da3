#!/bin/sh
# Builds the stand-ins that the scripts start.  They are Python and need no
# build; this checks that they can be run.
set -e
cd "$(dirname "$0")/.."
for file in StandIns/fleet_stand_in.py review/stand_in.py review/*/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
