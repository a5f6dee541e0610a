#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start: Python files, which need only the
# standard library. The program itself is built by the deploy file (target/deps).
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for folder in support-2 6 7 8 9 10; do
    if [ -d "$folder" ]; then python3 -m compileall -q "$folder"; fi
done
test -d ../target/deps/celeryfork_adapter
