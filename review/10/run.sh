#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh. Writes record.txt beside this file.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
timeout --signal=KILL 115 "target/review-2/case-$(basename "$here")" "$here"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
