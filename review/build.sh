#!/usr/bin/env bash
# Builds the stand-ins of the cases and the program that plays them. It needs the modules of go.mod and no network beyond them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/harness ./review/harness
