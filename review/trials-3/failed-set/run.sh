#!/bin/bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/endivetrestle ] && [ -x target/review-3/failed-set ] || exit 2
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
target/review-3/failed-set "$directory" review/trials-3/failed-set/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
