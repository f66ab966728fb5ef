#!/usr/bin/env bash
# Runs the program NAME of a case in the folder FOLDER: case-2.sh FOLDER NAME. Exits with 1 if the rule was broken,
# with 0 if it held and with 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
program=target/review-2/release/$2
[ -x "$program" ] || program=target/review-3/release/$2
if [ ! -x "$program" ] || [ ! -x target/release/berylstep ]; then
    echo "not built: run the build of the deploy file and review/build-2.sh"
    exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
WORK=$work RECORD=$folder/record.txt timeout 115 "$program"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
