#!/bin/sh
# Measures the cost of coordination to a daemon without load, for several numbers of
# daemons. Prints one line of JSON for each number.
#
# usage: slopes.sh [DAEMONS...]
SIZES=${*:-"6 12 24"}
ACCOUNTS=4
. "$(dirname "$0")/common.sh"
SPAN=${SPAN:-20}

# resident_kb PIDS...: prints the resident memory of the processes in kB, summed.
resident_kb() {
	sum=0
	for p in "$@"; do
		m=$(awk '/VmRSS/ {print $2}' "/proc/$p/status")
		sum=$((sum + m))
	done
	echo "$sum"
}

# platform_count NAME: prints a counter of the platform.
platform_count() { curl -s "http://$PLATFORM/counts" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"; }

for n in $SIZES; do
	start_deployment "$n" 2
	sleep 15
	# shellcheck disable=SC2086
	ticks=$(cpu_ticks $DAEMON_PIDS) commits=$(platform_count commits) reads=$(platform_count reads) \
		received=$(platform_count bytes-received) sent=$(platform_count bytes-sent)
	sleep "$SPAN"
	# shellcheck disable=SC2086
	ticks_after=$(cpu_ticks $DAEMON_PIDS) commits_after=$(platform_count commits) reads_after=$(platform_count reads) \
		received_after=$(platform_count bytes-received) sent_after=$(platform_count bytes-sent)
	# shellcheck disable=SC2086
	awk -v n="$n" -v t="$SPAN" -v cpu="$((ticks_after - ticks))" -v hz="$TICKS_PER_SECOND" -v w="$((commits_after - commits))" -v r="$((reads_after - reads))" \
		-v i="$((received_after - received))" -v o="$((sent_after - sent))" -v m="$(resident_kb $DAEMON_PIDS)" 'BEGIN {
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
