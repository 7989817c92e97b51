#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does
# the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/joining
[ -x "$program" ] && [ -x target/platform/marjoram-node ] || exit 2
TROUBLE="${TROUBLE:-1}" "$program" review/5/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
