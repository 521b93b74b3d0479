#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start, the project's emulator
# of the platform among them. The program itself is built as deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/review-3 ./review/third
