#!/bin/bash
# Plays the case and writes record.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/endivetrestle ] && [ -x target/review/standin ] || exit 2
exec target/review/standin late-removal review/3/record.txt
