#!/bin/sh
# Plays case 1; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] || exit 2
REVIEW_CASE=1 exec target/review/cases review/1/record.txt
