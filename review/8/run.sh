#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
[ -x target/review-2/case ] || exit 2
timeout 110 target/review-2/case line-feed review/8/record.txt
code=$?
[ $code -le 2 ] && exit $code
exit 2
