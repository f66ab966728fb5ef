#!/bin/sh
exec "$(dirname "$0")/../case.sh" silence review/4
