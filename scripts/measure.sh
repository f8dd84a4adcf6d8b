#!/bin/sh
# Plays the same seeded programs against variants of the policies and prints a
# table of the five measures. Reports go to OUT (out/measure by default).
#
# usage: measure.sh [SEEDS]
SEEDS=${1:-"1 2 3 4 5"}
OUT=${OUT:-out/measure}
mkdir -p "$OUT"
for seed in $SEEDS; do
	for measure in load stragglers calm crest slow; do
		for variant in ours baseline; do
			sh "$(dirname "$0")/variant.sh" "$measure" "$variant" "$seed" >"$OUT/$measure-$variant-$seed.json" 2>"$OUT/$measure-$variant-$seed.log" ||
				echo "$measure $variant seed $seed: exit code $?"
		done
	done
done
