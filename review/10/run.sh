#!/bin/bash
# Plays the case and writes record.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review/case-10 ] || exit 2
exec bin/review/case-10
