#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They are Python programs,
# which need no build: their syntax is checked here, so that an error shows
# early.
set -euo pipefail
cd "$(dirname "$0")"
shopt -s nullglob
python3 -B - standins-2/*.py [6-9]/run.py 1[0]/run.py ../platform/soak/soaksite.py <<'CHECK'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        ast.parse(source.read(), name)
CHECK
