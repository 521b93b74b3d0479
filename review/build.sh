#!/bin/sh
# Builds the stand-ins of all cases, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review || exit 2
exec go test -c -o target/review/cases ./review
