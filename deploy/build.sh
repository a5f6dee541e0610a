#!/bin/sh
# Puts an entry instance and what it imports into target/deps.
# What is there stays until the new one is complete: a process may start meanwhile.
set -eu
deps=target/deps
new=target/deps.new
old=target/deps.old
rm -rf "$new" "$old"
python3 -m pip install -q --disable-pip-version-check --target "$new" \
    -r deploy/requirements.txt
for library in base routing admission entry; do
    cp -r "libs/$library/src/celeryfork_$library" "$new/"
done
cp -r platform/celeryfork_adapter "$new/"
python3 -m compileall -q "$new"
if [ -e "$deps" ]; then mv "$deps" "$old"; fi
mv "$new" "$deps"
rm -rf "$old"
