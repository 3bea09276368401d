#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs that use only the standard library, so there is
# nothing to compile; this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-2/*.py */case.py <<'CHECK'
import ast
import sys
import tomllib  # noqa: F401, needs Python 3.11
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
