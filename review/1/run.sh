#!/bin/sh
# Exits with 1 if a runner ran what no requester may send, 0 if not, 2 if the
# case couldn't run. TROUBLE=0: the same requests with a space before the
# version, as usual.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 -B "$here/case.py" "$here"
