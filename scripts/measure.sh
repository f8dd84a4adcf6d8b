#!/bin/sh
# Runs the same seeded programs with the default policies and with the baseline, and
# prints medians and ranges. Reports go to OUT (out/measure by default).
#
# usage: measure.sh [SEEDS]
#
# A measure is a workload and a variant a set of policies, "ours" being the default ones;
# variant.sh explains the names.
SEEDS=${1:-"1 2 3 4 5"}
OUT=${OUT:-out/measure}
mkdir -p "$OUT"
for seed in $SEEDS; do
	for measure in load stragglers crest slow; do
		for variant in ours baseline; do
			sh "$(dirname "$0")/variant.sh" "$measure" "$variant" "$seed" >"$OUT/$measure-$variant-$seed.json" 2>"$OUT/$measure-$variant-$seed.log" ||
				echo "$measure $variant seed $seed: exit code $?"
		done
	done
done
${PIMENTORAIL:-./bin/pimentorail} summary "$OUT"
