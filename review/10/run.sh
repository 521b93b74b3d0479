#!/bin/sh
# Plays case 10: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 there is no disruption. Needs the build of deploy/system.toml and
# review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/quincewinch ] && [ -x target/review-2 ] || exit 2
export REVIEW_CASE=10 REVIEW_PROGRAM=target/quincewinch REVIEW_RECORD="$folder/record.txt"
exec target/review-2
