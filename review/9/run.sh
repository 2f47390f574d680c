#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/pollenlever-sidecar target/review-2/case-9; do
  if [[ ! -x $program ]]; then
    echo "$program is missing" >&2
    exit 2
  fi
done
target/review-2/case-9 &
case=$!
# Interrupted, it ends the nodes as well, which the case ends itself otherwise.
trap 'pkill -KILL -P "$case"; kill -KILL "$case"; exit 2' INT TERM
wait "$case"
