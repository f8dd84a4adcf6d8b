#!/bin/sh
# Measures what a call costs the daemons: processor time, calls between daemons,
# journal batches and bytes. Prints one line of JSON.
ACCOUNTS=6
BASE_PORT=${BASE_PORT:-30000}
. "$(dirname "$0")/common.sh"
deployment 6 4
sleep 8

# total NAME: a metric summed over all daemons.
total() {
	for i in 1 2 3 4 5 6; do
		curl -s "http://127.0.0.1:$(http_port $i)/metrics"
	done | awk -v n="pimentorail_$1" '$1 == n {s += $2} END {printf "%.0f", s}'
}

requests() {
	for i in 1 2 3 4; do
		curl -s "http://127.0.0.1:$(engine_port $i)/counts" | sed 's/.*"requests":\([0-9]*\).*/\1/'
		echo
	done | awk '{s += $1} END {print s}'
}


# shellcheck disable=SC2086
a=$(used $DAEMONS) c=$(total rpc_calls) b=$(total journal_batches) r=$(total journal_records) y=$(total journal_bytes)
# shellcheck disable=SC2046
"$PIMENTORAIL" load --json --base "http://$BALANCER" $(keys) --programs "${PROGRAMS:-600}" --span 20s --patience 60s --services "127.0.0.1:$(tool_port 1)" >"$WORK/report.json" || { cat "$WORK/report.json"; exit 1; }
sleep 2
models=$(requests)
awk -v cpu="$(($(used $DAEMONS) - a))" -v hz="$TICKS" -v c="$(($(total rpc_calls) - c))" -v b="$(($(total journal_batches) - b))" \
	-v r="$(($(total journal_records) - r))" -v y="$(($(total journal_bytes) - y))" -v m="$models" -v t="$(sed -n 's/.*"tokens": \([0-9]*\),/\1/p' "$WORK/report.json")" 'BEGIN {
	printf "{\"model-calls\": %d, \"tokens\": %d, \"core-ms-per-model-call\": %.2f, \"daemon-calls-per-model-call\": %.1f, \"records-per-model-call\": %.2f, \"records-per-batch\": %.2f, \"journal-bytes-per-model-call\": %.0f}\n",
		m, t, 1000 * cpu / hz / m, c / m, r / m, r / b, y / m }'
