#!/bin/sh
exec "$(dirname "$0")/../case.sh" endless review/1
