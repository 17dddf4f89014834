#!/bin/sh
# Exits with 1 if a requester got a success without a Server-Seal, 0 if none
# did, 2 if the case couldn't run. TROUBLE=0: the runners spoil nothing.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 -B "$here/case.py" "$here"
