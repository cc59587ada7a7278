#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: review/standins-2, which is Python
# and needs no build, only an interpreter that can read it.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import ast
import glob

for name in glob.glob("standins-2/*.py") + glob.glob("[6-9]/*.py") + \
        glob.glob("10/*.py"):
    with open(name) as source:
        ast.parse(source.read(), name)
PY
