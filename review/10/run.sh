#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1
export PYTHONDONTWRITEBYTECODE
timeout -k 5 114 python3 case.py
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
