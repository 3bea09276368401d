#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case cannot run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec timeout -k 2 118 python3 -B case.py
