#!/bin/sh
# Puts an entry instance and what it imports into target/deps.
set -eu
deps=target/deps
rm -rf "$deps"
python3 -m pip install -q --disable-pip-version-check --target "$deps" \
    -r deploy/requirements.txt
for library in base routing admission entry; do
    cp -r "libs/$library/src/celeryfork_$library" "$deps/"
done
cp -r platform/celeryfork_adapter "$deps/"
python3 -m compileall -q "$deps"
