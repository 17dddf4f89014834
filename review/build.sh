#!/bin/sh
# Checks that the stand-ins and the scripts of the cases compile. They need
# Python 3.11 and the build of the deploy file, nothing else; nothing is built.
set -eu
cd "$(dirname "$0")"
for source in standins.py [1-5]/case.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), *sys.argv[1:])' \
    "$source" exec
done
