#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standin ./review/platform
