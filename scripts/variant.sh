#!/bin/sh
# Runs one measure with one variant of the policies and one seed, and prints the report of
# the load command with the counts of the engines and the platform as JSON.
#
# usage: variant.sh MEASURE VARIANT SEED
#
# MEASURE names the workload:
#   load        150 programs that arrive over 15 s
#   stragglers  the same, but the first answer of 5 % of the programs is 50 times as long
#               as the median answer
#   crest       a load peak: 625 programs over 50 s, with six times the arrival rate in the
#               middle fifth
#   slow        as load, but one engine at a time is five times slower
#   quarter     light load: 30 programs over 15 s
# VARIANT names the policies:
#   ours          the default policies
#   baseline      another policy in place of each default one
#   the others    the default policies, except for the one that the name states
measure=$1
variant=$2
seed=$3
ACCOUNTS=12
# Engine time is scaled to 10 ms per token so that a run takes a few seconds.
ENGINE_FLAGS="--gap 10ms --prefill 200us --cache-tokens 30000 --batch 8"
case $variant in
ours) POLICIES='{}' ;;
baseline) POLICIES='{"order": "arrival", "routing": "spread", "fixed-window": true, "no-admission": true}' ;;
spread) POLICIES='{"routing": "spread"}' ;;
fair-arrival) POLICIES='{"order": "fair-arrival"}' ;;
arrival) POLICIES='{"order": "arrival"}' ;;
fixed-window) POLICIES='{"fixed-window": true}' ;;
no-admission) POLICIES='{"no-admission": true}' ;;
*)
	echo "unknown variant $variant" >&2
	exit 2
	;;
esac
span=15s
programs=150
flags=""
case $measure in
load) ;;
stragglers) flags="--stragglers 0.05 --longer 50" ;;
crest) programs=625 span=50s flags="--burst 6" ;;
slow) ;;
quarter) programs=30 ;;
esac
programs=${PROGRAMS:-$programs}
. "$(dirname "$0")/common.sh"
DAEMON_COUNT=${DAEMON_COUNT:-6}
ENGINE_COUNT=${ENGINE_COUNT:-5}
start_deployment "$DAEMON_COUNT" "$ENGINE_COUNT"
sleep 6

# slow_targets: slows down one engine at a time, five times for 2 s each. The seed selects
# the engines.
slow_targets() {
	i=0
	while [ $i -lt 5 ]; do
		slow_engine=$(((seed + i * 7) % ENGINE_COUNT + 1))
		curl -s -X POST -d '{"factor": 5}' "http://127.0.0.1:$(engine_port $slow_engine)/fault"
		sleep 2
		curl -s -X POST -d '{}' "http://127.0.0.1:$(engine_port $slow_engine)/fault"
		sleep 1
		i=$((i + 1))
	done
}
if [ "$measure" = slow ]; then
	slow_targets >/dev/null 2>&1 &
	PIDS="$PIDS $!"
fi
status=0
# shellcheck disable=SC2046,SC2086
"$PIMENTORAIL" load --json --base "http://$BALANCER" $(key_flags) --seed "$seed" --programs "$programs" --span $span \
	--patience 90s --services "127.0.0.1:$(tool_port 1)" --allow-fail $flags >"$WORK/report.json" || status=$?
echo '{"report":'
cat "$WORK/report.json"
echo ', "engines": ['
for i in $(seq 1 "$ENGINE_COUNT"); do
	[ "$i" -eq 1 ] || echo ,
	curl -s "http://127.0.0.1:$(engine_port "$i")/counts"
done
echo '], "platform":'
curl -s "http://$PLATFORM/counts"
echo '}'
exit "$status"
