#!/bin/sh
exec "$(dirname "$0")/../case.sh" drill review/3
