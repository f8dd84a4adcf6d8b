#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. The build of deploy/system.toml comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-scenes ./review/second/platform
