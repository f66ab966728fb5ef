#!/bin/sh
# Runs a case: case.sh NAME FOLDER. Starts in the repository root, writes FOLDER/record.txt, and ends all
# processes that the case has started.
cd "$(dirname "$0")/.." || exit 2
[ -x target/release/review_case ] && [ -x target/release/berylstep ] || {
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
}
directory=$(mktemp -d) || exit 2
timeout -k 5 115 target/release/review_case "$1" "$2/record.txt" "$directory"
code=$?
if [ -f "$directory/pids" ]; then
    for pid in $(cat "$directory/pids"); do
        # Only the case's own gateways, not a process that has got the same number since.
        case $(tr '\0' ' ' 2>/dev/null </proc/"$pid"/cmdline) in
        target/release/berylstep*) kill -9 "$pid" ;;
        esac
    done
fi
rm -rf "$directory"
[ "$code" -le 2 ] || code=2
exit "$code"
