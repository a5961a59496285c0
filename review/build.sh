#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases that have a script, into review/bin. Needs the
# Go tool only: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off go build -o bin/ ./...
