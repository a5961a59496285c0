#!/bin/sh
# Builds the stand-ins of review/4, 5 and 6 (platform, leaves, operator and clients in one program).
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -tags reviewstage -o target/review-stage ./review/stage
