#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases that have a script, into review/bin. They need
# no module but those of the program; the build tag keeps them out of ./... .
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
go build -tags review -o bin/ ./...
