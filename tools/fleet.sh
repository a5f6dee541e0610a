#!/usr/bin/env bash
# Run a deployment as processes of their own and put a load on it:
#   tools/fleet.sh examples/wanjiru.json [options of celeryfork load]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=$1
shift
celeryfork=.venv/bin/celeryfork
directory=$(mktemp -d)
pids=()
stop() { kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$directory"; }
trap stop EXIT
"$celeryfork" standin "$deployment" --directory "$directory" >"$directory/standin.log" 2>&1 &
pids+=($!)
for _ in $(seq 200); do [ -s "$directory/addresses.json" ] && break; sleep 0.05; done
for settings in "$directory"/*entry*.json; do
  "$celeryfork" serve "$settings" >"$settings.log" 2>&1 &
  pids+=($!)
done
url=$(.venv/bin/python -c "import json,sys; print(json.load(open(sys.argv[1]))['platform'])" "$directory/addresses.json")
show_logs() { tail -n 5 "$directory"/*.log >&2; }
"$celeryfork" load "$deployment" --instances-url "$url" "$@" || { show_logs; exit 1; }
