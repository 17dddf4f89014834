#!/bin/sh
# Exits with 1 if the system didn't recover, 0 if it did, 2 if the case
# couldn't run. TROUBLE=0: no entry that can't be read.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 -B "$here/case.py" "$here"
