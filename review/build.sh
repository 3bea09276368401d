#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python programs that use the standard library only, so nothing
# has to be compiled; the daemon comes from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
[ -x ../target/bin/greengage-platform ] || { echo "build the deploy file first: target/bin/greengage-platform is missing" >&2; exit 1; }
