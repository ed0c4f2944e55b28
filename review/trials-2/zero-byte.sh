#!/usr/bin/env bash
# A zero byte in the data of a forwarded statement cuts the text off. Exits like the scripts of the cases.
cd "$(dirname "$0")/../.."
[ -x target/review-2/case ] || exit 2
timeout 110 target/review-2/case zero-byte review/trials-2/zero-byte-record.txt
code=$?
[ $code -le 2 ] && exit $code
exit 2
