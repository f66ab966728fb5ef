#!/bin/bash
# Runs one trial: case-3.sh FOLDER PROGRAM [ARGUMENT]. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# trial couldn't run. All processes of the trial are in one group, which is ended with it.
cd "$(dirname "$0")/.." || exit 2
program="target/review-3/release/$2"
if [ ! -x "$program" ] || [ ! -x target/release/berylstep ]; then
    echo "not built: run the build of the deploy file, then review/build-3.sh" >&2
    exit 2
fi
set -m
timeout 110 "$program" "$1/record.txt" "${3:-}" &
trial=$!
trap 'kill -KILL -- "-$trial" 2>/dev/null' EXIT
wait "$trial"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
