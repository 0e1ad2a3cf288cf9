#!/bin/bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
export REVIEW_ROOT="$PWD/../.." REVIEW_RECORD="$PWD/record.txt"
[ -x "$REVIEW_ROOT/bin/review/case1" ] && [ -x "$REVIEW_ROOT/bin/spindlehitch" ] || exit 2
exec timeout -k 1 115 "$REVIEW_ROOT/bin/review/case1"
