#!/bin/sh
# Measures what control costs a daemon without load, at several numbers of
# daemons, and what a call costs. Prints one line of JSON for each size.
#
# usage: slopes.sh [DAEMONS...]
SIZES=${*:-"6 12 24"}
ACCOUNTS=4
. "$(dirname "$0")/common.sh"
SPAN=${SPAN:-20}

# resident PIDS...: resident memory in kB, summed.
resident() {
	sum=0
	for p in "$@"; do
		m=$(awk '/VmRSS/ {print $2}' "/proc/$p/status")
		sum=$((sum + m))
	done
	echo "$sum"
}

count() { curl -s "http://$PLATFORM/counts" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"; }

for n in $SIZES; do
	deployment "$n" 2
	sleep 15
	# shellcheck disable=SC2086
	a=$(used $DAEMONS) c=$(count commits) r=$(count reads) i=$(count bytes-received) o=$(count bytes-sent)
	sleep "$SPAN"
	# shellcheck disable=SC2086
	b=$(used $DAEMONS) d=$(count commits) s=$(count reads) j=$(count bytes-received) p=$(count bytes-sent)
	# shellcheck disable=SC2086
	awk -v n="$n" -v t="$SPAN" -v cpu="$((b - a))" -v hz="$TICKS" -v w="$((d - c))" -v r="$((s - r))" \
		-v i="$((j - i))" -v o="$((p - o))" -v m="$(resident $DAEMONS)" 'BEGIN {
		printf "{\"daemons\": %d, \"core-percent-each\": %.2f, \"writes-a-second-each\": %.2f, \"reads-a-second-each\": %.2f, \"bytes-sent-a-second-each\": %.0f, \"bytes-received-a-second-each\": %.0f, \"resident-mb-each\": %.1f}\n",
			n, 100 * cpu / hz / t / n, w / t / n, r / t / n, i / t / n, o / t / n, m / 1024 / n }'
	for p in $PIDS; do
		kill -KILL "$p" 2>/dev/null || true
		wait "$p" 2>/dev/null || true
	done
	PIDS=""
	BASE_PORT=$((BASE_PORT + 1000))
	PLATFORM=127.0.0.1:$BASE_PORT
	BALANCER=127.0.0.1:$((BASE_PORT + 1))
	export PIMENTORAIL_PLATFORM=$PLATFORM
done
