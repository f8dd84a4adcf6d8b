#!/bin/sh
# Runs one measure with one variant of the policies and one seed, and prints the
# load tool's report with the engines' counts as JSON.
#
# usage: variant.sh MEASURE VARIANT SEED
measure=$1
variant=$2
seed=$3
ACCOUNTS=12
# Engine time is scaled so that a run takes a few seconds: a token takes 10 ms.
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
deployment "$DAEMON_COUNT" "$ENGINE_COUNT"
sleep 6

# slow_targets: one engine in five is slowed five times at moments drawn from the seed.
slow_targets() {
	i=0
	while [ $i -lt 5 ]; do
		victim=$(((seed + i * 7) % ENGINE_COUNT + 1))
		curl -s -X POST -d '{"factor": 5}' "http://127.0.0.1:$(engine_port $victim)/fault"
		sleep 2
		curl -s -X POST -d '{}' "http://127.0.0.1:$(engine_port $victim)/fault"
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
"$PIMENTORAIL" load --json --base "http://$BALANCER" $(keys) --seed "$seed" --programs "$programs" --span $span \
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
