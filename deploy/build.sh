#!/bin/sh
# Puts the pinned runtime packages and our own under target/deps.
set -eu
if ! cat requirements-runtime.txt constraints.txt | cmp -s - target/pins; then
  rm -rf target/deps target/pins
  python3 -m pip install -q --target target/deps \
    -c constraints.txt -r requirements-runtime.txt
  cat requirements-runtime.txt constraints.txt > target/pins
fi
for package in core gateway server; do
  name=ragwortgw_$package
  rm -rf "target/deps/$name"
  cp -r "packages/ragwortgw-$package/$name" target/deps/
done
rm -rf target/deps/ragwortgw_platform
cp -r platform/ragwortgw_platform target/deps/
# Processes may not write compiled modules here themselves.
python3 -m compileall -q target/deps
