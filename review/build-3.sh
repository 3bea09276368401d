#!/usr/bin/env bash
# Prepares the scripts 11 to 15. Their stand-ins are Python programs without dependencies, so nothing is compiled; this
# checks that they can be read by the interpreter.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-3/*.py 1[1-5]/*.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, 'exec')
PY
