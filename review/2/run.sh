#!/bin/sh
# Two of three daemons are lost for good; a request that crashes replicas comes again and again.
# TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pimentorail ] && [ -x target/review/standin ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review/standin survivor target/pimentorail review/2/record.txt
