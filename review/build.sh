#!/bin/sh
# Compiles the stand-ins and the scripts of the cases; they need Python 3.11
# and the build of the deploy file, nothing else.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins.py [1-5]/case.py
