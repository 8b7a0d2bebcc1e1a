#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python programs, which
# need no build: their syntax is checked here, so that an error shows early.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standins/*.py [0-9]/run.py ../platform/soak/soaksite.py <<'CHECK'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        ast.parse(source.read(), name)
CHECK
