#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review2 ./review/harness2
