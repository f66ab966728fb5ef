#!/bin/sh
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../case.sh" drill review/3
